/* Calls whose response is collected in memory, with a timeout.  */

#include "h1.h"

#include <glib.h>

struct bb_h1_fetch
{
  struct bb_h1_call *call;
  uv_timer_t timer;
  void *sent; /* a copy of a large body of the request; NULL: none */
  GByteArray *body;
  uint32_t body_max_bytes;
  bb_ms silence_ms; /* 0: the timer runs from the start of the call */
  uint16_t status;
  bb_h1_fetch_head_fn *on_head;
  bb_h1_fetch_fn *fn;
  void *user;
};

static void
on_timer_closed (uv_handle_t *h)
{
  struct bb_h1_fetch *f = h->data;

  g_byte_array_unref (f->body);
  g_free (f->sent);
  g_free (f);
}

static void
finish_fetch (struct bb_h1_fetch *f, enum bb_h1_fetch_result result)
{
  struct bb_bytes body = { (const char *)f->body->data, f->body->len };

  f->call = NULL;
  f->fn (result, f->status, body, f->user);
  uv_close ((uv_handle_t *)&f->timer, on_timer_closed);
}

static void
on_timeout (uv_timer_t *t)
{
  struct bb_h1_fetch *f = t->data;

  bb_h1_call_cancel (f->call);
  finish_fetch (f, BB_H1_FETCH_FAILED);
}

static void
note_progress (struct bb_h1_fetch *f)
{
  if (f->silence_ms > 0)
    uv_timer_start (&f->timer, on_timeout, (uint64_t)f->silence_ms, 0);
}

static void
on_head (struct bb_h1_call *c, const struct bb_h1_message *head, void *user)
{
  struct bb_h1_fetch *f = user;

  (void)c;
  f->status = head->status;
  note_progress (f);
  if (f->on_head)
    f->on_head (head, f->user);
}

static void
on_data (struct bb_h1_call *c, struct bb_bytes data, void *user)
{
  struct bb_h1_fetch *f = user;

  if (f->body->len + data.size <= f->body_max_bytes)
    {
      g_byte_array_append (f->body, (const guint8 *)data.ptr, data.size);
      note_progress (f);
      return;
    }
  bb_h1_call_cancel (c);
  finish_fetch (f, BB_H1_FETCH_TOO_LARGE);
}

static void
on_end (struct bb_h1_call *c, enum bb_h1_result result, void *user)
{
  (void)c;
  finish_fetch (user, result == BB_H1_WHOLE ? BB_H1_FETCH_COMPLETE
                                            : BB_H1_FETCH_FAILED);
}

static const struct bb_h1_call_ops ops = { on_head, on_data, on_end };

struct bb_h1_fetch *
bb_h1_fetch (struct bb_h1_pool *p, const struct bb_h1_request *request,
             const struct bb_h1_fetch_limits *limits, bb_h1_fetch_fn *fn,
             void *user)
{
  struct bb_h1_fetch *f = g_new0 (struct bb_h1_fetch, 1);
  struct bb_h1_request copy;

  f->body = g_byte_array_new ();
  f->body_max_bytes = limits->body_max_bytes;
  f->silence_ms = limits->silence_ms;
  f->on_head = limits->on_head;
  f->fn = fn;
  f->user = user;
  uv_timer_init (h1_pool_loop (p), &f->timer);
  f->timer.data = f;
  uv_timer_start (&f->timer, on_timeout, (uint64_t)limits->timeout_ms, 0);
  copy = *request;
  if (copy.body.size > BB_MEMORY_SMALL_BYTES)
    copy.body.ptr = f->sent = g_memdup2 (copy.body.ptr, copy.body.size);
  f->call = bb_h1_call (p, &copy, &ops, f);
  return f;
}

size_t
bb_h1_fetch_received (const struct bb_h1_fetch *f)
{
  return f->body->len;
}

void
bb_h1_fetch_cancel (struct bb_h1_fetch *f)
{
  bb_h1_call_cancel (f->call);
  uv_close ((uv_handle_t *)&f->timer, on_timer_closed);
}
