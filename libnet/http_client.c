/* The HTTP client, on that of h2o.  */

#include "bilberry/net.h"
#include "tcp_info.h"

#include <glib.h>
#include <h2o.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  HEADERS_MAX = 64,
  HEAD_MAX_BYTES = 80 * 1024,
  BODY_MAX_BYTES = 32 * 1024 * 1024,
  POOL_CONNECTIONS_MAX = 256,
  POOL_IDLE_TIMEOUT_MS = 10000
};

struct bb_http_client
{
  h2o_http1client_ctx_t ctx;
  h2o_timeout_t io_timeout;
  h2o_socketpool_t pool;
  char host[64];
  GPtrArray *headless_calls; /* calls whose head has not arrived */
  uv_check_t head_check;     /* active while there are such calls */
};

struct bb_http_call
{
  struct bb_http_client *owner;
  h2o_http1client_t *client;
  const struct bb_http_call_ops *ops;
  void *user;
  char *request; /* the bytes to send */
  size_t request_size;
  h2o_iovec_t request_iovec;
  bool is_head_request;
  bool chunked;        /* the response body has chunked encoding */
  bool ends_by_close;  /* the end of the connection ends the response body */
  bool awaits_head;    /* it is in headless_calls */
  uint64_t body_bytes; /* received */
  uint64_t body_max_bytes;
};

/* The head of C has arrived, or no longer matters.  */
static void
stop_awaiting_head (struct bb_http_call *c)
{
  c->awaits_head = false;
  g_ptr_array_remove_fast (c->owner->headless_calls, c);
}

static void
free_call (struct bb_http_call *c)
{
  if (c->awaits_head)
    stop_awaiting_head (c);
  free (c->request);
  free (c);
}

static void
end_call (struct bb_http_call *c, const char *error, enum bb_run run)
{
  c->ops->on_end (c, error, run);
  free_call (c);
}

/* Returns whether the connection was closed before the last chunk, or was
   reset where its end is that of the body.  The client of h2o reports both
   like the end of a complete body.  Before the last chunk the last read
   was at the end of the stream and returned no bytes.  */
static bool
is_truncated (const struct bb_http_call *c, const h2o_http1client_t *client)
{
  if (c->ends_by_close)
    return !tcp_is_closed_in_order (h2o_socket_get_fd (client->sock));
  return c->chunked && client->sock->bytes_read == 0;
}

/* Ends C, which has received a response that it does not take, with the text
   ERROR.  The connection is shut down, so that the pool of h2o does not use it
   again: more of that response may follow.  */
static void
reject_response (struct bb_http_call *c, const char *error)
{
  shutdown (h2o_socket_get_fd (c->client->sock), SHUT_RDWR);
  end_call (c, error, BB_RUN_MAYBE_RUN);
}

/* Whether the response of C has a head that is too large.  The client of h2o
   has no limit.  */
static bool
has_large_head (const struct bb_http_call *c)
{
#ifdef BB_MUTANT_net_head_max
  return false;
#endif
  return c->client && c->client->sock
         && c->client->sock->input->size > HEAD_MAX_BYTES;
}

/* Takes a call with such a head from headless_calls.  NULL: there is none.  */
static struct bb_http_call *
take_large_head (struct bb_http_client *client)
{
  GPtrArray *calls = client->headless_calls;

  for (guint i = 0; i < calls->len; i++)
    {
      struct bb_http_call *c = calls->pdata[i];
      if (!has_large_head (c))
        continue;
      c->awaits_head = false;
      return g_ptr_array_remove_index_fast (calls, i);
    }
  return NULL;
}

/* Called after each poll of the loop.  */
static void
on_head_check (uv_check_t *check)
{
  struct bb_http_client *client = check->data;
  struct bb_http_call *c;

  while ((c = take_large_head (client)))
    {
      h2o_http1client_cancel (c->client);
      end_call (c, "the head is too large", BB_RUN_MAYBE_RUN);
    }
  if (client->headless_calls->len == 0)
    uv_check_stop (check);
}

static int
on_body (h2o_http1client_t *client, const char *error)
{
  struct bb_http_call *c = client->data;
  h2o_buffer_t *in = client->sock->input;
  struct bb_bytes data = { .ptr = in->bytes, .size = (uint32_t)in->size };

  if (error && error != h2o_http1client_error_is_eos)
    {
      end_call (c, error, BB_RUN_MAYBE_RUN);
      return -1;
    }
  c->body_bytes += data.size;
#ifndef BB_MUTANT_net_body_max
  if (c->body_bytes > c->body_max_bytes)
    {
      reject_response (c, "the body is too large");
      return -1;
    }
#endif
  if (data.size > 0)
    {
      c->ops->on_data (c, data);
      h2o_buffer_consume (&client->sock->input, client->sock->input->size);
    }
  if (error && is_truncated (c, client))
    end_call (c, "the body is cut off", BB_RUN_MAYBE_RUN);
  else if (error)
    end_call (c, NULL, BB_RUN_RAN);
  return 0;
}

/* Extends the value of H by LINE, on which it is continued in the same buffer.
   The end of the line before becomes spaces.  */
static void
append_folded_line (struct bb_header *h, h2o_iovec_t line)
{
  char *end = (char *)h->value.ptr + h->value.size;

  memset (end, ' ', (size_t)(line.base - end));
  h->value.size = (uint32_t)(line.base + line.len - h->value.ptr);
}

/* A header without a name, which is never the first, is a line on which the
   value of the header before it is continued.  */
static uint32_t
copy_headers (struct bb_header *out, const h2o_header_t *in, size_t count)
{
  uint32_t n = 0;

  for (size_t i = 0; i < count && n < HEADERS_MAX; i++)
    {
#ifndef BB_MUTANT_net_folded
      if (in[i].name->len == 0 && n > 0)
        {
          append_folded_line (&out[n - 1], in[i].value);
          continue;
        }
#endif
      out[n].name.ptr = in[i].name->base;
      out[n].name.size = (uint32_t)in[i].name->len;
      out[n].value.ptr = in[i].value.base;
      out[n].value.size = (uint32_t)in[i].value.len;
      n++;
    }
  return n;
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *client, const char *error, int minor, int status,
         h2o_iovec_t msg, h2o_header_t *headers, size_t count, int rlen)
{
  struct bb_http_call *c = client->data;
  struct bb_header copy[HEADERS_MAX] = { 0 };
  uint32_t n;

  (void)minor;
  (void)msg;
  (void)rlen;
  if (error && error != h2o_http1client_error_is_eos)
    {
      end_call (c, error, BB_RUN_MAYBE_RUN);
      return NULL;
    }
  if (status < 0 || !bb_http_status_is_valid ((uint32_t)status))
    {
      reject_response (c, "the status is not one of HTTP");
      return NULL;
    }
  stop_awaiting_head (c);
  n = copy_headers (copy, headers, count);
  c->chunked = bb_header_find (copy, n, "transfer-encoding").size > 0;
  c->ends_by_close
      = !c->chunked && bb_header_find (copy, n, "content-length").size == 0;
  c->ops->on_head (c, (uint16_t)status, copy, n);
  if (!error)
    return on_body;
  end_call (c, NULL, BB_RUN_RAN);
  return NULL;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *client, const char *error, h2o_iovec_t **bufs,
            size_t *bufs_count, int *is_head)
{
  struct bb_http_call *c = client->data;

  if (error)
    {
      end_call (c, error, BB_RUN_NOT_RUN);
      return NULL;
    }
  c->request_iovec = h2o_iovec_init (c->request, c->request_size);
  *bufs = &c->request_iovec;
  *bufs_count = 1;
  *is_head = c->is_head_request;
  return on_head;
}

struct bb_http_client *
bb_http_client_new (uv_loop_t *loop, const struct sockaddr_storage *addr,
                    const char *host, bb_ms io_timeout_ms)
{
  struct bb_http_client *client = calloc (1, sizeof *client);
  socklen_t size = addr->ss_family == AF_INET ? sizeof (struct sockaddr_in)
                                              : sizeof (struct sockaddr_in6);

  snprintf (client->host, sizeof client->host, "%s", host);
  h2o_timeout_init (loop, &client->io_timeout, (uint64_t)io_timeout_ms);
  client->ctx.loop = loop;
  client->ctx.io_timeout = &client->io_timeout;
  h2o_socketpool_init_by_address (&client->pool, (struct sockaddr *)addr, size,
                                  0, POOL_CONNECTIONS_MAX);
  h2o_socketpool_set_timeout (&client->pool, loop, POOL_IDLE_TIMEOUT_MS);
  client->headless_calls = g_ptr_array_new ();
  uv_check_init (loop, &client->head_check);
  uv_unref ((uv_handle_t *)&client->head_check);
  client->head_check.data = client;
  return client;
}

static void
format_request (struct bb_http_call *c, const char *host,
                struct bb_bytes method, struct bb_bytes path,
                const struct bb_header *headers, uint32_t count,
                struct bb_bytes body)
{
  FILE *out = open_memstream (&c->request, &c->request_size);

  fprintf (out, "%.*s %.*s HTTP/1.1\r\nhost: %s\r\n", (int)method.size,
           method.ptr, (int)path.size, path.ptr, host);
  for (uint32_t i = 0; i < count; i++)
    if (!bb_header_is_hop_by_hop (headers[i].name))
      fprintf (out, "%.*s: %.*s\r\n", (int)headers[i].name.size,
               headers[i].name.ptr, (int)headers[i].value.size,
               headers[i].value.ptr);
  if (body.size > 0 || !bb_bytes_equal (method, "GET"))
    fprintf (out, "content-length: %u\r\n", body.size);
  fputs ("\r\n", out);
  if (body.size > 0)
    fwrite (body.ptr, 1, body.size, out);
  fclose (out);
}

struct bb_http_call *
bb_http_client_send (struct bb_http_client *client, struct bb_bytes method,
                     struct bb_bytes path, const struct bb_header *headers,
                     uint32_t headers_count, struct bb_bytes body,
                     const struct bb_http_call_ops *ops, void *user)
{
  struct bb_http_call *c = calloc (1, sizeof *c);

  c->owner = client;
  c->ops = ops;
  c->user = user;
  c->body_max_bytes = BODY_MAX_BYTES;
  c->is_head_request = bb_bytes_equal (method, "HEAD");
  format_request (c, client->host, method, path, headers, headers_count, body);
  c->awaits_head = true;
  g_ptr_array_add (client->headless_calls, c);
  uv_check_start (&client->head_check, on_head_check);
  h2o_http1client_connect_with_pool (&c->client, c, &client->ctx,
                                     &client->pool, on_connect);
  return c;
}

void
bb_http_call_limit_body (struct bb_http_call *c, uint64_t max_bytes)
{
  c->body_max_bytes = max_bytes;
}

void
bb_http_call_cancel (struct bb_http_call *c)
{
  h2o_http1client_cancel (c->client);
  free_call (c);
}

void *
bb_http_call_user (const struct bb_http_call *c)
{
  return c->user;
}
