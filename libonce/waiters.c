/* Answers and refuses calls, and those that wait for the outcome of another
   call of their key.  */

#include "internal.h"

#include <stdlib.h>
#include <utlist.h>

enum
{
  RETRY_AFTER_MS = 1000,
  WAITERS_MAX = 16 /* most waiting calls of one key */
};

void
record_set_busy (struct bb_once *o, struct record *r, bool busy)
{
  if (r->in_busy_list != busy)
    record_link_busy (o, r, busy);
  r->in_busy_list = busy;
}

void
waiters_free (struct record *r)
{
  while (r->waiters)
    {
      struct waiter *w = r->waiters;
      r->waiters = w->next;
      free (w);
    }
  r->waiters_count = 0;
}

void
waiter_refuse (struct bb_once *o, uint64_t call, enum bb_run run,
               enum bb_reason reason)
{
  struct bb_request_result v = { .run = (uint8_t)run,
                                 .reason = (uint8_t)reason,
                                 .retry_after_ms = RETRY_AFTER_MS };

  if (reason == BB_REASON_KEY_REUSED)
    v.retry_after_ms = 0;
  if (call != 0)
    o->ops->refuse (o->user, call, &v);
}

void
waiters_refuse (struct bb_once *o, struct record *r, enum bb_run run,
                enum bb_reason reason)
{
  struct waiter *w;

  LL_FOREACH (r->waiters, w) waiter_refuse (o, w->call, run, reason);
  waiters_free (r);
}

void
waiter_replay (struct bb_once *o, const struct record *r, uint64_t call,
               bb_ms now)
{
  struct bb_once_note n;
  struct bb_message frame;

  if (call == 0)
    return;
  if (!record_note (r, now, &n, &frame))
    {
      waiter_refuse (o, call, BB_RUN_RAN, BB_REASON_IN_DOUBT);
      return;
    }
  if (n.cut)
    waiter_refuse (o, call, BB_RUN_RAN, BB_REASON_IN_DOUBT);
  else
    o->ops->answer (o->user, call, &n);
  bb_message_free (&frame);
}

void
waiters_replay (struct bb_once *o, struct record *r, bb_ms now)
{
  struct waiter *w;

  LL_FOREACH (r->waiters, w) waiter_replay (o, r, w->call, now);
  waiters_free (r);
}

void
waiters_add (struct bb_once *o, struct record *r, const struct bb_once_call *c,
             bb_ms deadline)
{
  struct waiter *w;

  if (r->waiters_count >= WAITERS_MAX)
    {
      waiter_refuse (o, c->id, BB_RUN_MAYBE_RUN, BB_REASON_IN_PROGRESS);
      return;
    }
  w = calloc (1, sizeof *w);
  w->call = c->id;
  w->deadline = deadline < c->deadline ? deadline : c->deadline;
  LL_APPEND (r->waiters, w);
  r->waiters_count++;
  record_set_busy (o, r, true);
}

void
waiters_cancel (struct bb_once *o, uint64_t call)
{
  for (struct record *r = o->busy; r; r = r->busy_next)
    {
      struct waiter *w;
      LL_SEARCH_SCALAR (r->waiters, w, call, call);
      if (!w)
        continue;
      LL_DELETE (r->waiters, w);
      r->waiters_count--;
      free (w);
      return;
    }
}

void
waiters_expire (struct bb_once *o, struct record *r, bb_ms now)
{
  struct waiter **at = &r->waiters;
  enum bb_reason reason = r->state == BB_ONCE_STATE_HELD
                              ? BB_REASON_IN_DOUBT
                              : BB_REASON_IN_PROGRESS;

  while (*at)
    {
      struct waiter *w = *at;
      if (now < w->deadline)
        {
          at = &w->next;
          continue;
        }
      waiter_refuse (o, w->call, BB_RUN_MAYBE_RUN, reason);
      *at = w->next;
      r->waiters_count--;
      free (w);
    }
  if (r->state == BB_ONCE_STATE_HELD && !r->waiters)
    record_set_busy (o, r, false);
}
