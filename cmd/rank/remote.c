/* HTTP calls to the local engine or to that of another rank.  */

#include "rank.h"

#include "bilberry/settings.h"

#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 250,
  REQUEST_TIMEOUT_MS = 120,
  IDLE_CONNECTION_MAX_MS = 1500,
  RESPONSE_MAX_BYTES = 1 << 20
};

/* A call in progress; one of the two functions is NULL.  */
struct call
{
  uv_timer_t timer; /* ends a call to what is no address */
  remote_report_fn *on_report;
  remote_result_fn *on_result;
  void *user;
};

static GHashTable *pools; /* connection pools by address */

/* Returns the pool of ADDRESS, or NULL where that is no address.  */
static struct bb_h1_pool *
get_pool (struct agent *a, const char *address)
{
  struct bb_h1_pool *p;
  struct sockaddr_storage addr;

  if (!pools)
    pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                   (GDestroyNotify)bb_h1_pool_free);
  p = g_hash_table_lookup (pools, address);
  if (p || !bb_address_parse (address, &addr))
    return p;
  p = bb_h1_pool_new (a->loop, &addr, CONNECT_TIMEOUT_MS);
  g_hash_table_insert (pools, g_strdup (address), p);
  return p;
}

static void
on_response (enum bb_h1_fetch_result how, uint16_t status,
             struct bb_bytes body, void *user)
{
  struct call *c = user;
  bool answered = how == BB_H1_FETCH_COMPLETE;
  struct bb_rank_report report;

  if (c->on_report)
    c->on_report (answered && status == 200
                          && bb_rank_report_decode (body, &report)
                      ? &report
                      : NULL,
                  c->user);
  if (c->on_result)
    c->on_result (answered ? status : 0, c->user);
  g_free (c);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct bb_bytes none = { NULL, 0 };

  on_response (BB_H1_FETCH_FAILED, 0, none, h->data);
}

static void
on_timer (uv_timer_t *t)
{
  uv_close ((uv_handle_t *)t, on_timer_closed);
}

/* Ends C without a response, after the function that sends it has returned. */
static void
fail_call (struct agent *a, struct call *c)
{
  uv_timer_init (a->loop, &c->timer);
  c->timer.data = c;
  uv_timer_start (&c->timer, on_timer, 0, 0);
}

static void
send_request (struct agent *a, const char *address, const char *method,
              const char *target, struct bb_bytes body, struct call *c)
{
  static const char type[] = "application/json";
  struct bb_header header
      = { bb_bytes_of ("Content-Type"), bb_bytes_of (type) };
  struct bb_h1_request out = { .method = bb_bytes_of (method),
                               .target = bb_bytes_of (target),
                               .host = bb_bytes_of (address),
                               .headers = &header,
                               .headers_count = body.size > 0 ? 1 : 0,
                               .body = body,
                               .idle_max_ms = IDLE_CONNECTION_MAX_MS };
  struct bb_h1_fetch_limits limits = { .timeout_ms = REQUEST_TIMEOUT_MS,
                                       .body_max_bytes = RESPONSE_MAX_BYTES };
  struct bb_h1_pool *pool = get_pool (a, address);

  if (pool)
    bb_h1_fetch (pool, &out, &limits, on_response, c);
  else
    fail_call (a, c);
}

void
remote_get_report (struct agent *a, const char *address, remote_report_fn *fn,
                   void *user)
{
  struct call *c = g_new0 (struct call, 1);
  struct bb_bytes none = { NULL, 0 };

  c->on_report = fn;
  c->user = user;
  send_request (a, address, "GET", bb_report_target, none, c);
}

void
remote_send_order (struct agent *a, const char *address,
                   const struct bb_order *o, remote_result_fn *fn, void *user)
{
  struct call *c = g_new0 (struct call, 1);
  char *body = bb_order_encode (o);

  c->on_result = fn;
  c->user = user;
  send_request (a, address, "POST", bb_order_target, bb_bytes_of (body), c);
  free (body);
}
