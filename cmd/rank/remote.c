/* Calls to a replica, the own one or another's.  */

#include "rank.h"

#include "bilberry/settings.h"

#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 250,
  ORDER_TIMEOUT_MS = 120,
  KEPT_IDLE_MAX_MS = 1500,
  ANSWER_MAX_BYTES = 1 << 20
};

/* A call under way.  */
struct call
{
  struct bb_h1_call *http;
  uv_timer_t timer;
  GByteArray *body;
  uint16_t status;
  remote_fn *on_report;
  remote_result_fn *on_result;
  void *user;
};

static GHashTable *pools; /* by address */

static struct bb_h1_pool *
pool_of (struct agent *a, const char *address)
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
on_timer_closed (uv_handle_t *h)
{
  struct call *c = h->data;

  g_byte_array_unref (c->body);
  g_free (c);
}

static void
finish (struct call *c, bool whole)
{
  struct bb_bytes body = { (const char *)c->body->data, c->body->len };
  struct bb_rank_report report;
  bool good
      = whole && c->status == 200 && bb_rank_report_decode (body, &report);

  if (c->on_report)
    c->on_report (good ? &report : NULL, c->user);
  if (c->on_result)
    c->on_result (whole ? c->status : 0, c->user);
  uv_close ((uv_handle_t *)&c->timer, on_timer_closed);
}

static void
on_head (struct bb_h1_call *http, const struct bb_h1_message *head, void *user)
{
  struct call *c = user;

  (void)http;
  c->status = head->status;
}

static void
on_data (struct bb_h1_call *http, struct bb_bytes piece, void *user)
{
  struct call *c = user;

  (void)http;
  if (c->body->len + piece.size <= ANSWER_MAX_BYTES)
    g_byte_array_append (c->body, (const guint8 *)piece.ptr, piece.size);
}

static void
on_end (struct bb_h1_call *http, enum bb_h1_end how, void *user)
{
  (void)http;
  finish (user, how == BB_H1_WHOLE);
}

static const struct bb_h1_call_ops ops = { on_head, on_data, on_end };

static void
on_timeout (uv_timer_t *t)
{
  struct call *c = t->data;

  bb_h1_cancel (c->http);
  finish (c, false);
}

static void
start (struct agent *a, const char *address, const char *method,
       const char *target, struct bb_bytes body, struct call *c)
{
  static const char type[] = "application/json";
  struct bb_header header
      = { bb_bytes_of ("Content-Type"), bb_bytes_of (type) };
  struct bb_h1_out out = { .method = bb_bytes_of (method),
                           .target = bb_bytes_of (target),
                           .host = bb_bytes_of (address),
                           .headers = &header,
                           .headers_count = body.size > 0 ? 1 : 0,
                           .body = body,
                           .idle_max_ms = KEPT_IDLE_MAX_MS };

  c->body = g_byte_array_new ();
  uv_timer_init (a->loop, &c->timer);
  c->timer.data = c;
  uv_timer_start (&c->timer, on_timeout, ORDER_TIMEOUT_MS, 0);
  c->http = bb_h1_call (pool_of (a, address), &out, &ops, c);
}

void
remote_ask (struct agent *a, const char *address, remote_fn *fn, void *user)
{
  struct call *c = g_new0 (struct call, 1);
  struct bb_bytes none = { NULL, 0 };

  c->on_report = fn;
  c->user = user;
  start (a, address, "GET", bb_report_target, none, c);
}

void
remote_order (struct agent *a, const char *address, const struct bb_order *o,
              remote_result_fn *fn, void *user)
{
  struct call *c = g_new0 (struct call, 1);
  char *body = bb_order_encode (o);

  c->on_result = fn;
  c->user = user;
  start (a, address, "POST", bb_order_target, bb_bytes_of (body), c);
  free (body);
}
