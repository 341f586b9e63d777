/* Pushed values: each has an origin, an age and a maximum age.  */

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
is_stale (const struct pushed_entry *s, bb_ms now)
{
#ifdef BB_MUTANT_member_stale_push
  return false;
#endif
  return now - s->created_at_ms > max_age_ms[s->item.kind];
}

static struct pushed_entry *
find_pushed (struct bb_members *m, const struct bb_pushed *p)
{
  for (uint32_t i = 0; i < m->pushed_count; i++)
    {
      struct pushed_entry *s = &m->pushed[i];
      if (s->item.kind == p->kind && s->item.key == p->key
          && s->item.origin == p->origin)
        return s;
    }
  return NULL;
}

/* Returns an unused entry, or the oldest one when all are in use.  */
static struct pushed_entry *
allocate_entry (struct bb_members *m)
{
  struct pushed_entry *oldest = &m->pushed[0];

  if (m->pushed_count < BB_PUSHED_MAX)
    return &m->pushed[m->pushed_count++];
  for (uint32_t i = 1; i < m->pushed_count; i++)
    if (m->pushed[i].created_at_ms < oldest->created_at_ms)
      oldest = &m->pushed[i];
  return oldest;
}

void
apply_pushed (struct bb_members *m, bb_ms now, const struct bb_pushed *p)
{
  struct pushed_entry entry
      = { .item = *p, .created_at_ms = now - (bb_ms)p->age_ms };
  struct pushed_entry *s;

  if (p->kind >= BB_PUSHED_KINDS || is_stale (&entry, now))
    return;
  s = find_pushed (m, p);
#ifndef BB_MUTANT_member_push_order
  if (s && p->sequence <= s->item.sequence)
    {
      /* Ages do not include the time in transit, so a copy always seems to
         be created too late: the earliest time is the most exact.  */
      if (p->sequence == s->item.sequence)
        s->created_at_ms = MIN (s->created_at_ms, entry.created_at_ms);
      return;
    }
#else
  if (s && s->created_at_ms >= entry.created_at_ms)
    return;
#endif
  if (!s)
    s = allocate_entry (m);
  entry.sends_left = sends_per_update (m);
  *s = entry;
}

void
fill_pushed (struct bb_members *m, bb_ms now, struct bb_gossip *g)
{
  for (uint32_t n = 0;
       n < m->pushed_count && g->pushed_count < PUSHED_PER_MESSAGE; n++)
    {
      struct pushed_entry *s = &m->pushed[m->pushed_next++ % m->pushed_count];
      if (s->sends_left == 0 || is_stale (s, now))
        continue;
      s->sends_left--;
      s->item.age_ms = (uint32_t)(now - s->created_at_ms);
      g->pushed[g->pushed_count++] = s->item;
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

  apply_pushed (m, now, &p);
}

uint64_t
bb_members_sum_pushed (const struct bb_members *m, bb_ms now,
                       enum bb_pushed_kind kind, uint64_t key, uint32_t *count)
{
  uint64_t sum = 0;

  *count = 0;
  for (uint32_t i = 0; i < m->pushed_count; i++)
    {
      const struct pushed_entry *s = &m->pushed[i];
      if (s->item.kind != kind || s->item.key != key || is_stale (s, now))
        continue;
      sum += s->item.value;
      (*count)++;
    }
  return sum;
}
