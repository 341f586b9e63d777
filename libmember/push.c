/* Pushed facts: each has an origin, an age and a bound on it.  */

#include "internal.h"

static const bb_ms max_age_ms[BB_PUSHED_KINDS] = {
  [BB_PUSHED_QUARANTINE] = 600000,
  [BB_PUSHED_DEMAND] = 10000,
  [BB_PUSHED_LOAD] = 10000,
};

bb_ms
bb_pushed_max_age_ms (enum bb_pushed_kind kind)
{
  return kind < BB_PUSHED_KINDS ? max_age_ms[kind] : 0;
}

static bool
is_stale (const struct pushed_slot *s, bb_ms now)
{
#ifdef BB_MUTANT_member_stale_push
  return false;
#endif
  return now - s->born > max_age_ms[s->fact.kind];
}

static struct pushed_slot *
find (struct bb_members *m, const struct bb_pushed *p)
{
  for (uint32_t i = 0; i < m->pushed_count; i++)
    {
      struct pushed_slot *s = &m->pushed[i];
      if (s->fact.kind == p->kind && s->fact.key == p->key
          && s->fact.origin == p->origin)
        return s;
    }
  return NULL;
}

/* Returns a slot for a new fact: a free one, or the oldest fact's.  */
static struct pushed_slot *
make_room (struct bb_members *m)
{
  struct pushed_slot *oldest = &m->pushed[0];

  if (m->pushed_count < BB_PUSHED_MAX)
    return &m->pushed[m->pushed_count++];
  for (uint32_t i = 1; i < m->pushed_count; i++)
    if (m->pushed[i].born < oldest->born)
      oldest = &m->pushed[i];
  return oldest;
}

void
take_pushed (struct bb_members *m, bb_ms now, const struct bb_pushed *p)
{
  struct pushed_slot fresh = { .fact = *p, .born = now - (bb_ms)p->age_ms };
  struct pushed_slot *s;

  if (p->kind >= BB_PUSHED_KINDS || is_stale (&fresh, now))
    return;
  s = find (m, p);
#ifndef BB_MUTANT_member_push_order
  if (s && p->sequence <= s->fact.sequence)
    {
      /* The time on the way is not in the age: the older birth is nearer.  */
      if (p->sequence == s->fact.sequence)
        s->born = MIN (s->born, fresh.born);
      return;
    }
#else
  if (s && s->born >= fresh.born)
    return;
#endif
  if (!s)
    s = make_room (m);
  fresh.left = transmissions (m);
  *s = fresh;
}

void
fill_pushed (struct bb_members *m, bb_ms now, struct bb_gossip *g)
{
  for (uint32_t n = 0;
       n < m->pushed_count && g->pushed_count < PUSHED_PER_MESSAGE; n++)
    {
      struct pushed_slot *s = &m->pushed[m->pushed_next++ % m->pushed_count];
      if (s->left == 0 || is_stale (s, now))
        continue;
      s->left--;
      s->fact.age_ms = (uint32_t)(now - s->born);
      g->pushed[g->pushed_count++] = s->fact;
    }
}

void
bb_members_push (struct bb_members *m, bb_ms now, enum bb_pushed_kind kind,
                 uint64_t key, uint64_t value)
{
  struct bb_pushed p = { .kind = (uint8_t)kind,
                         .key = key,
                         .value = value,
                         .origin = m->incarnation,
                         .sequence = ++m->push_sequence };

  take_pushed (m, now, &p);
}

uint64_t
bb_members_sum_pushed (const struct bb_members *m, bb_ms now,
                       enum bb_pushed_kind kind, uint64_t key, uint32_t *count)
{
  uint64_t sum = 0;

  *count = 0;
  for (uint32_t i = 0; i < m->pushed_count; i++)
    {
      const struct pushed_slot *s = &m->pushed[i];
      if (s->fact.kind != kind || s->fact.key != key || is_stale (s, now))
        continue;
      sum += s->fact.value;
      (*count)++;
    }
  return sum;
}
