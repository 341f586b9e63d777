/* Calls to the store that overlap: one that was sent while the store did not
   respond may never get a response, so the next one does not wait for it.  */

#include "edge.h"

enum
{
  CALLS_MAX = 8 /* more than start within the timeout of one */
};

struct store_call
{
  struct bb_store *client; /* with a connection of its own */
  bool in_flight;
  bb_ms started_ms;
  size_t received_bytes; /* of the response, when last looked at */
  bb_ms advanced_ms;     /* when it was found that more had arrived */
};

static struct edge *edge;
static struct store_call calls[CALLS_MAX];

void
store_calls_start (struct edge *e)
{
  edge = e;
  for (uint32_t i = 0; i < CALLS_MAX; i++)
    calls[i].client = bb_store_new (e->loop, e->settings->store_address);
}

bool
store_calls_in_flight (void)
{
  for (uint32_t i = 0; i < CALLS_MAX; i++)
    if (calls[i].in_flight)
      return true;
  return false;
}

static struct store_call *
find_free (void)
{
  struct store_call *oldest = &calls[0];

  for (uint32_t i = 0; i < CALLS_MAX; i++)
    {
      if (!calls[i].in_flight)
        return &calls[i];
      if (calls[i].started_ms < oldest->started_ms)
        oldest = &calls[i];
    }
  bb_store_cancel (oldest->client);
  return oldest;
}

struct store_call *
store_call_begin (void)
{
  struct store_call *c = find_free ();

  c->in_flight = true;
  c->started_ms = edge_now (edge);
  c->received_bytes = 0;
  c->advanced_ms = INT64_MIN / 2;
  return c;
}

bool
store_calls_advance (void)
{
  bb_ms now = edge_now (edge);
  bool advance = false;

  for (uint32_t i = 0; i < CALLS_MAX; i++)
    {
      struct store_call *c = &calls[i];
      size_t n = c->in_flight ? bb_store_received (c->client) : 0;
      if (n > c->received_bytes)
        c->advanced_ms = now;
      c->received_bytes = n;
      advance |= c->in_flight
                 && bb_store_should_await (c->started_ms, c->advanced_ms, now);
    }
  return advance;
}

struct bb_store *
store_call_client (const struct store_call *c)
{
  return c->client;
}

bb_ms
store_call_end (struct store_call *c)
{
  c->in_flight = false;
  return edge_now (edge) - c->started_ms;
}

void
store_calls_cancel (void)
{
  for (uint32_t i = 0; i < CALLS_MAX; i++)
    {
      bb_store_cancel (calls[i].client);
      calls[i].in_flight = false;
    }
}
