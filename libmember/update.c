/* Updates of the status of members: the queue of those to gossip, and which of
   two contradicting ones counts.  */

#include "internal.h"

#include <string.h>

enum
{
  SENDS_PER_DOUBLING = 2 /* sends for each doubling of the number of members */
};

uint32_t
sends_per_update (const struct bb_members *m)
{
  return SENDS_PER_DOUBLING * (uint32_t)g_bit_storage (m->directory->count);
}

void
queue_update (struct bb_members *m, uint32_t index)
{
  uint32_t i = 0;

  while (i < m->queued_updates_count && m->queued_updates[i].member != index)
    i++;
  if (i < m->queued_updates_count
      || m->queued_updates_count == QUEUED_UPDATES_MAX)
    {
      if (i == m->queued_updates_count)
        i = 0;
      memmove (&m->queued_updates[i], &m->queued_updates[i + 1],
               (m->queued_updates_count - i - 1)
                   * sizeof m->queued_updates[0]);
      m->queued_updates_count--;
    }
  m->queued_updates[m->queued_updates_count].member = index;
  m->queued_updates[m->queued_updates_count++].sends_left
      = sends_per_update (m);
}

static void
fill_update (const struct bb_members *m, uint32_t i,
             struct bb_member_update *u)
{
  const struct member *p = &m->members[i];

  u->id = m->directory->peers[i].id;
  u->incarnation = i == m->self ? m->incarnation : p->incarnation;
  u->counter = i == m->self ? m->counter : p->counter;
  u->status = p->status;
}

/* Adds the state of a random member that has changed since the start, if a few
   tries find one.  So members that missed an update receive it later.  */
static void
fill_random_update (struct bb_members *m, struct bb_gossip *g)
{
  enum
  {
    TRIES = 8
  };

  for (uint32_t n = 0; n < TRIES; n++)
    {
      uint32_t i = (uint32_t)g_rand_int_range (m->rand, 0,
                                               (gint32)m->directory->count);
      const struct member *p = &m->members[i];
      if (i == m->self
          || (p->status == BB_MEMBER_STATUS_ALIVE && p->counter == 0))
        continue;
      fill_update (m, i, &g->updates[g->updates_count++]);
      return;
    }
}

/* Adds updates from the end of the queue, where the newest are.  One that has
   sends left moves to the front, behind all others.  */
void
fill_updates (struct bb_members *m, struct bb_gossip *g)
{
  uint32_t room = UPDATES_PER_MESSAGE - g->updates_count;

  for (uint32_t n = 0; n < room && m->queued_updates_count > 0; n++)
    {
      struct queued_update s = m->queued_updates[m->queued_updates_count - 1];
      if (n > 0 && s.member == m->queued_updates[0].member
          && n >= m->queued_updates_count)
        break;
      fill_update (m, s.member, &g->updates[g->updates_count++]);
      m->queued_updates_count--;
      if (--s.sends_left == 0)
        continue;
      memmove (&m->queued_updates[1], &m->queued_updates[0],
               m->queued_updates_count * sizeof m->queued_updates[0]);
      m->queued_updates[0] = s;
      m->queued_updates_count++;
      if (n + 1 >= m->queued_updates_count)
        break;
    }
  if (g->updates_count < UPDATES_PER_MESSAGE)
    fill_random_update (m, g);
}

void
set_status (struct bb_members *m, bb_ms now, uint32_t i, uint8_t status)
{
  enum
  {
    SUSPICION_MIN_MS = 4000,
    /* Added for each doubling of the number of members.  */
    SUSPICION_PER_DOUBLING_MS = 500
  };
  struct member *p = &m->members[i];

  if (status == BB_MEMBER_STATUS_SUSPECT && p->status != status)
    p->suspect_until_ms = now + SUSPICION_MIN_MS
                          + (bb_ms)SUSPICION_PER_DOUBLING_MS
                                * (bb_ms)g_bit_storage (m->directory->count);
  p->status = status;
  p->failed_probes = 0;
}

/* Returns whether U replaces the state P: it does if its counter is higher;
   with equal counters, if its incarnation is higher; with equal incarnations,
   if its status is worse.  Incarnations are compared only when both are
   known.  */
static bool
supersedes (const struct member *p, const struct bb_member_update *u)
{
  if (u->counter != p->counter)
    return u->counter > p->counter;
  if (u->incarnation == 0 || p->incarnation == 0)
    return u->status > p->status;
  if (u->incarnation != p->incarnation)
    return u->incarnation > p->incarnation;
  return u->status > p->status;
}

/* Handles update U about this process: when it is wrong, refutes it by a
   higher counter.  */
static void
refute_update (struct bb_members *m, const struct bb_member_update *u)
{
  bool is_correct = (u->incarnation == 0 || u->incarnation == m->incarnation)
                    && u->status == m->members[m->self].status;

  if (u->counter < m->counter || is_correct)
    return;
  m->counter = u->counter + 1;
  queue_update (m, m->self);
}

void
apply_update (struct bb_members *m, bb_ms now,
              const struct bb_member_update *u)
{
  uint32_t i = bb_directory_find (m->directory, u->id);
  struct member *p;
  uint8_t old_status;

  if (i == BB_MEMBER_NONE || u->status >= BB_MEMBER_STATUS_COUNT)
    return;
  if (i == m->self)
    {
      refute_update (m, u);
      return;
    }
  p = &m->members[i];
  if (p->incarnation == 0 && u->counter == p->counter)
    p->incarnation = u->incarnation;
  if (!supersedes (p, u))
    return;
  old_status = p->status;
  if (u->incarnation != 0 && p->incarnation != u->incarnation)
    {
      p->incarnation = u->incarnation;
      p->highest_sequence = 0;
      p->sequence_window = 0;
    }
  p->counter = u->counter;
  set_status (m, now, i, u->status);
  if (old_status != u->status || u->counter > 0)
    queue_update (m, i);
}
