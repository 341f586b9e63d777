/* Limits on the requests of each customer in flight at this entry.  */

#include "entry.h"

#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_AFTER_MS = 1000
};

static struct customer *
find_or_add (struct entry *e, const char *name)
{
  struct customer *c;

  HASH_FIND_STR (e->customers, name, c);
  if (c)
    return c;
  c = calloc (1, sizeof *c);
  c->name = strdup (name);
  HASH_ADD_KEYPTR (hh, e->customers, c->name, strlen (c->name), c);
  return c;
}

static bool
is_at_limit (const struct customer *c, uint32_t limit)
{
#ifndef BB_MUTANT_customer_limit
  return c->in_flight >= limit;
#else
  return c->in_flight > limit && limit == 0;
#endif
}

struct customer *
customer_acquire (struct entry *e, const struct bb_customer_settings *s,
                  struct bb_request_result *v)
{
  struct customer *c = find_or_add (e, s->name);
  uint32_t limit = bb_customer_share (s->limit, s->fleet_limit,
                                      e->daemon->settings->entries_count);

  if (is_at_limit (c, limit))
    {
      v->reason = BB_REASON_CUSTOMER_LIMIT;
      v->retry_after_ms = RETRY_AFTER_MS;
      return NULL;
    }
  c->in_flight++;
  return c;
}

void
customer_release (struct entry *e, struct customer *c)
{
  if (--c->in_flight > 0)
    return;
  HASH_DEL (e->customers, c);
  free (c->name);
  free (c);
}
