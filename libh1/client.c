/* The side of upstreams: channels that are kept and calls on them.  A channel
   is kept only after a whole answer with nothing odd about it.  */

#include "bilberry/net.h"
#include "h1.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

enum
{
  IDLE_DEFAULT_MS = 4000, /* where the upstream names no timeout */
  IDLE_MARGIN_MS = 700,   /* left before the upstream's own timeout */
  USER_TIMEOUT_MS = 4000, /* unacknowledged bytes end the channel */
  ANSWER_CHUNK_BYTES = 64 * 1024
};

struct bb_h1_call
{
  struct link *link;
  const struct bb_h1_call_ops *ops;
  void *user;
  struct h1_text out;
  bool is_head; /* of method HEAD */
};

/* A channel to the upstream.  */
struct link
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect;
  struct bb_h1_pool *pool;
  struct bb_h1_call *call;
  struct h1_reader reader;
  size_t queued_bytes;
  bool sent;   /* of the present call */
  bool headed; /* the head of the answer has come */
  bool closing;
  uint32_t handles;
  bb_ms idle_since_ms;
  bb_ms idle_max_ms;
  struct link *prev;
  struct link *next;
};

struct bb_h1_pool
{
  uv_loop_t *loop;
  struct sockaddr_storage addr;
  bb_ms connect_timeout_ms;
  struct link *idle; /* the one used last stands first */
  uint32_t links;
  bool freed;
};

uv_loop_t *
h1_pool_loop (const struct bb_h1_pool *p)
{
  return p->loop;
}

const char *
bb_h1_result_name (enum bb_h1_result e)
{
  static const char *const names[]
      = { "whole", "unsent", "unanswered", "malformed", "cut" };

  return e < BB_H1_RESULTS ? names[e] : "unknown";
}

static void
free_pool_if_last (struct bb_h1_pool *p)
{
  if (p->freed && p->links == 0)
    free (p);
}

static void
on_closed (uv_handle_t *h)
{
  struct link *l = h->data;
  struct bb_h1_pool *p = l->pool;

  if (--l->handles > 0)
    return;
  h1_reader_free (&l->reader);
  free (l);
  p->links--;
  free_pool_if_last (p);
}

static void
close_link (struct link *l)
{
  if (l->closing)
    return;
  l->closing = true;
  uv_close ((uv_handle_t *)&l->timer, on_closed);
  uv_close ((uv_handle_t *)&l->tcp, on_closed);
}

static void
free_call (struct bb_h1_call *c)
{
  h1_text_free (&c->out);
  free (c);
}

/* Ends the call of L, if any.  */
static void
end_call (struct link *l, enum bb_h1_result how)
{
  struct bb_h1_call *c = l->call;

  if (!c)
    return;
  l->call = NULL;
  c->link = NULL;
  c->ops->on_end (c, how, c->user);
  free_call (c);
}

/* The channel failed.  */
static void
fail (struct link *l, enum bb_h1_result how)
{
  if (l->closing)
    return;
  if (!l->call)
    DL_DELETE (l->pool->idle, l);
  close_link (l);
  end_call (l, how);
}

/* Returns how long the upstream keeps the channel, less a margin.  */
static bb_ms
keep_time (const struct h1_reader *r)
{
  struct bb_bytes v = bb_header_find (r->message.headers,
                                      r->message.headers_count, "keep-alive");
  char text[64];
  const char *at;
  bb_ms ms;

  if (v.size == 0 || v.size >= sizeof text)
    return IDLE_DEFAULT_MS;
  memcpy (text, v.ptr, v.size);
  text[v.size] = '\0';
  at = strstr (text, "timeout=");
  if (!at)
    return IDLE_DEFAULT_MS;
  ms = (bb_ms)strtoul (at + strlen ("timeout="), NULL, 10) * 1000
       - IDLE_MARGIN_MS;
  return ms > 0 ? ms : 0;
}

static bool
on_head (struct h1_reader *r, void *user)
{
  struct link *l = user;
  struct bb_h1_call *c = l->call;

  if (!c || r->message.status < 200)
    return true;
  l->headed = true;
  if (c->ops->on_head)
    c->ops->on_head (c, &r->message, c->user);
  return l->call && l->call->is_head;
}

static void
on_body (struct h1_reader *r, struct bb_bytes piece, void *user)
{
  struct link *l = user;

  (void)r;
  if (l->call && l->call->ops->on_data)
    l->call->ops->on_data (l->call, piece, l->call->user);
}

static void
on_whole (struct h1_reader *r, void *user)
{
  (void)r;
  (void)user;
}

static const struct h1_reader_ops reader_ops = { on_head, on_body, on_whole };

static void on_timer (uv_timer_t *t);

static void
keep (struct link *l)
{
  l->idle_since_ms = (bb_ms)uv_now (l->pool->loop);
  l->headed = false;
  l->sent = false;
  h1_reader_reset (&l->reader);
  DL_PREPEND (l->pool->idle, l);
  uv_timer_start (&l->timer, on_timer, (uint64_t)l->idle_max_ms, 0);
}

/* The answer is whole.  ODD tells that more bytes came than belong to it.  */
static void
take_whole (struct link *l, bool odd)
{
  bool stays = !odd && http_should_keep_alive (&l->reader.parser)
               && l->queued_bytes == 0 && !l->pool->freed;
  struct bb_h1_call *c = l->call;

  l->idle_max_ms = keep_time (&l->reader);
  l->call = NULL;
  c->link = NULL;
  if (stays && l->idle_max_ms > 0)
    keep (l);
  else
    close_link (l);
  c->ops->on_end (c, BB_H1_WHOLE, c->user);
  free_call (c);
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  static char shared[ANSWER_CHUNK_BYTES];

  (void)h;
  (void)suggested;
  *buf = uv_buf_init (shared, sizeof shared);
}

/* Takes bytes of an answer; interim answers are passed over.  */
static void
take (struct link *l, const char *data, size_t size)
{
  while (size > 0 && !l->closing && l->call)
    {
      ssize_t n = h1_reader_feed (&l->reader, data, size);
      if (l->closing || !l->call)
        return;
      if (n < 0)
        {
          fail (l, l->headed ? BB_H1_CUT : BB_H1_MALFORMED);
          return;
        }
      data += n;
      size -= (size_t)n;
      if (!l->reader.whole)
        continue;
      if (l->headed)
        {
          take_whole (l, size > 0);
          return;
        }
      h1_reader_reset (&l->reader);
    }
}

/* What a close by the upstream means for the present call.  */
static enum bb_h1_result
how_closed (const struct link *l)
{
  if (!l->sent)
    return BB_H1_UNSENT;
  if (l->headed)
    return BB_H1_CUT;
  return l->reader.started ? BB_H1_MALFORMED : BB_H1_UNANSWERED;
}

static void
on_read (uv_stream_t *s, ssize_t size, const uv_buf_t *buf)
{
  struct link *l = s->data;

  if (size == 0 || l->closing)
    return;
  if (!l->call)
    {
      fail (l, BB_H1_UNANSWERED);
      return;
    }
  if (size > 0)
    {
      take (l, buf->base, (size_t)size);
      return;
    }
  if (size == UV_EOF && l->headed && h1_reader_finish (&l->reader))
    {
      take_whole (l, true);
      return;
    }
  if (!l->closing)
    fail (l, how_closed (l));
}

static void
send_call (struct link *l)
{
  struct bb_h1_call *c = l->call;

  l->sent = true;
  if (h1_write ((uv_stream_t *)&l->tcp, c->out.data, c->out.size,
                &l->queued_bytes)
      < 0)
    fail (l, BB_H1_UNANSWERED);
}

static void
on_connect (uv_connect_t *req, int status)
{
  struct link *l = req->data;

  if (l->closing)
    return;
  if (status < 0
      || uv_read_start ((uv_stream_t *)&l->tcp, on_alloc, on_read) < 0)
    {
      fail (l, BB_H1_UNSENT);
      return;
    }
  uv_timer_stop (&l->timer);
  send_call (l);
}

/* A connect or an idle channel took too long.  */
static void
on_timer (uv_timer_t *t)
{
  struct link *l = t->data;

  fail (l, BB_H1_UNSENT);
}

static void
set_options (struct link *l)
{
  int user_timeout = USER_TIMEOUT_MS;
  uv_os_fd_t fd;

  uv_tcp_nodelay (&l->tcp, 1);
  uv_tcp_keepalive (&l->tcp, 1, 1);
  if (uv_fileno ((uv_handle_t *)&l->tcp, &fd) == 0
      && setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
                     sizeof user_timeout)
             < 0)
    bb_log (BB_LOG_DEBUG, "h1", "TCP_USER_TIMEOUT is not to be had.");
}

static struct link *
open_link (struct bb_h1_pool *p)
{
  struct link *l = calloc (1, sizeof *l);

  if (!l)
    abort ();
  l->pool = p;
  p->links++;
  l->handles = 2;
  uv_tcp_init (p->loop, &l->tcp);
  uv_timer_init (p->loop, &l->timer);
  l->tcp.data = l;
  l->timer.data = l;
  l->connect.data = l;
  h1_reader_init (&l->reader, HTTP_RESPONSE, &reader_ops, l);
  uv_timer_start (&l->timer, on_timer, (uint64_t)p->connect_timeout_ms, 0);
  return l;
}

static void
print_request (struct bb_h1_call *c, const struct bb_h1_request *out)
{
  struct h1_text *t = &c->out;

  h1_text_add (t, out->method.ptr, out->method.size);
  h1_text_add (t, " ", 1);
  h1_text_add (t, out->target.ptr, out->target.size);
  h1_text_add (t, " HTTP/1.1\r\nHost: ", 17);
  h1_text_add (t, out->host.ptr, out->host.size);
  h1_text_add (t, "\r\n", 2);
  for (uint32_t i = 0; i < out->headers_count; i++)
    {
      const struct bb_header *h = &out->headers[i];
      if (bb_header_is_hop_by_hop (h->name))
        continue;
      h1_text_add (t, h->name.ptr, h->name.size);
      h1_text_add (t, ": ", 2);
      h1_text_add (t, h->value.ptr, h->value.size);
      h1_text_add (t, "\r\n", 2);
    }
  if (out->body.size > 0 || !bb_bytes_equal (out->method, "GET"))
    h1_text_print (t, "Content-Length: %u\r\n", out->body.size);
  h1_text_add (t, "\r\n", 2);
  h1_text_add (t, out->body.ptr, out->body.size);
}

/* Finds a kept channel that has been idle for no longer than allowed.  */
static struct link *
find_idle (struct bb_h1_pool *p, bb_ms idle_max_ms)
{
  bb_ms now = (bb_ms)uv_now (p->loop);
  struct link *l = p->idle;

  if (!l || now - l->idle_since_ms >= idle_max_ms)
    return NULL;
  DL_DELETE (p->idle, l);
  uv_timer_stop (&l->timer);
  return l;
}

static void
start_connect (struct link *l)
{
  int rc
      = uv_tcp_connect (&l->connect, &l->tcp,
                        (const struct sockaddr *)&l->pool->addr, on_connect);

  if (rc == 0)
    set_options (l);
  else
    uv_timer_start (&l->timer, on_timer, 0, 0);
}

/* Sends on a later turn, so that the caller has the call before it ends.  */
static void
on_kept_timer (uv_timer_t *t)
{
  struct link *l = t->data;

  send_call (l);
}

struct bb_h1_call *
bb_h1_call (struct bb_h1_pool *p, const struct bb_h1_request *out,
            const struct bb_h1_call_ops *ops, void *user)
{
  struct bb_h1_call *c = calloc (1, sizeof *c);
  struct link *l = find_idle (p, out->idle_max_ms);

  if (!c)
    abort ();
  c->ops = ops;
  c->user = user;
  c->is_head = bb_bytes_equal (out->method, "HEAD");
  print_request (c, out);
  if (l)
    {
      c->link = l;
      l->call = c;
      uv_timer_start (&l->timer, on_kept_timer, 0, 0);
      return c;
    }
  l = open_link (p);
  c->link = l;
  l->call = c;
  start_connect (l);
  return c;
}

void
bb_h1_call_cancel (struct bb_h1_call *c)
{
  struct link *l = c->link;

  l->call = NULL;
  close_link (l);
  free_call (c);
}

struct bb_h1_pool *
bb_h1_pool_new (uv_loop_t *loop, const struct sockaddr_storage *addr,
                bb_ms connect_timeout_ms)
{
  struct bb_h1_pool *p = calloc (1, sizeof *p);

  if (!p)
    abort ();
  p->loop = loop;
  p->addr = *addr;
  p->connect_timeout_ms = connect_timeout_ms;
  return p;
}

void
bb_h1_pool_drop_idle (struct bb_h1_pool *p)
{
  struct link *l;
  struct link *next;

  DL_FOREACH_SAFE (p->idle, l, next)
  {
    DL_DELETE (p->idle, l);
    close_link (l);
  }
}

void
bb_h1_pool_free (struct bb_h1_pool *p)
{
  bb_h1_pool_drop_idle (p);
  p->freed = true;
  free_pool_if_last (p);
}
