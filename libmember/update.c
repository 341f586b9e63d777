/* Updates about members: which one wins, and how often each is told.  */

#include "internal.h"

#include <string.h>

enum
{
  TRANSMISSIONS_PER_DOUBLING = 2
};

uint32_t
transmissions (const struct bb_members *m)
{
  return TRANSMISSIONS_PER_DOUBLING
         * (uint32_t)g_bit_storage (m->directory->count);
}

void
queue_update (struct bb_members *m, uint32_t index)
{
  uint32_t i = 0;

  while (i < m->updates_count && m->updates[i].index != index)
    i++;
  if (i < m->updates_count || m->updates_count == UPDATES_MAX)
    {
      if (i == m->updates_count)
        i = 0;
      memmove (&m->updates[i], &m->updates[i + 1],
               (m->updates_count - i - 1) * sizeof m->updates[0]);
      m->updates_count--;
    }
  m->updates[m->updates_count].index = index;
  m->updates[m->updates_count++].left = transmissions (m);
}

static void
describe (const struct bb_members *m, uint32_t i, struct bb_member_update *u)
{
  const struct member *p = &m->members[i];

  u->id = m->directory->peers[i].id;
  u->incarnation = i == m->self ? m->incarnation : p->incarnation;
  u->counter = i == m->self ? m->counter : p->counter;
  u->status = p->status;
}

/* Adds what is believed of a random member that is not as all were at the
   start.  So a member that missed an update hears of it later.  */
static void
fill_known (struct bb_members *m, struct bb_gossip *g)
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
      describe (m, i, &g->updates[g->updates_count++]);
      return;
    }
}

/* Moves the slot at the end of the newest to the back once it is told.  */
void
fill_updates (struct bb_members *m, struct bb_gossip *g)
{
  uint32_t most = UPDATES_PER_MESSAGE - g->updates_count;

  for (uint32_t n = 0; n < most && m->updates_count > 0; n++)
    {
      struct update_slot s = m->updates[m->updates_count - 1];
      if (n > 0 && s.index == m->updates[0].index && n >= m->updates_count)
        break;
      describe (m, s.index, &g->updates[g->updates_count++]);
      m->updates_count--;
      if (--s.left == 0)
        continue;
      memmove (&m->updates[1], &m->updates[0],
               m->updates_count * sizeof m->updates[0]);
      m->updates[0] = s;
      m->updates_count++;
      if (n + 1 >= m->updates_count)
        break;
    }
  if (g->updates_count < UPDATES_PER_MESSAGE)
    fill_known (m, g);
}

void
set_status (struct bb_members *m, bb_ms now, uint32_t i, uint8_t status)
{
  enum
  {
    SUSPICION_MIN_MS = 4000,
    SUSPICION_PER_DOUBLING_MS = 500
  };
  struct member *p = &m->members[i];

  if (status == BB_MEMBER_STATUS_SUSPECT && p->status != status)
    p->suspect_until = now + SUSPICION_MIN_MS
                       + (bb_ms)SUSPICION_PER_DOUBLING_MS
                             * (bb_ms)g_bit_storage (m->directory->count);
  p->status = status;
  p->failures = 0;
}

/* An update by somebody who does not know the incarnation, or to somebody who
   does not, counts by its status alone.  */
static bool
wins (const struct member *p, const struct bb_member_update *u)
{
  if (u->counter != p->counter)
    return u->counter > p->counter;
  if (u->incarnation == 0 || p->incarnation == 0)
    return u->status > p->status;
  if (u->incarnation != p->incarnation)
    return u->incarnation > p->incarnation;
  return u->status > p->status;
}

/* A member that hears itself described wrongly contradicts.  */
static void
take_own (struct bb_members *m, const struct bb_member_update *u)
{
  bool right = (u->incarnation == 0 || u->incarnation == m->incarnation)
               && u->status == m->members[m->self].status;

  if (u->counter < m->counter || right)
    return;
  m->counter = u->counter + 1;
  queue_update (m, m->self);
}

void
take_update (struct bb_members *m, bb_ms now, const struct bb_member_update *u)
{
  uint32_t i = bb_directory_find (m->directory, u->id);
  struct member *p;
  uint8_t before;

  if (i == BB_MEMBER_NONE || u->status >= BB_MEMBER_STATUS_COUNT)
    return;
  if (i == m->self)
    {
      take_own (m, u);
      return;
    }
  p = &m->members[i];
  if (p->incarnation == 0 && u->counter == p->counter)
    p->incarnation = u->incarnation;
  if (!wins (p, u))
    return;
  before = p->status;
  if (u->incarnation != 0 && p->incarnation != u->incarnation)
    {
      p->incarnation = u->incarnation;
      p->top = 0;
      p->window = 0;
    }
  p->counter = u->counter;
  set_status (m, now, i, u->status);
  if (before != u->status || u->counter > 0)
    queue_update (m, i);
}
