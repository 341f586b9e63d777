/* Forwards the response of an upstream to the client.  */

#include "entry.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  BACKLOG_MAX_BYTES = 256 * 1024,      /* unsent part of a stream, above which
                                          the client counts as too slow */
  BUFFERS_MAX_BYTES = 96 * 1024 * 1024 /* of all responses that are not
                                          complete */
};

/* Returns the request whose current attempt has ID and runs over L.  NULL for
   an earlier attempt or one over another link; the message is then counted
   and must be dropped.  */
static struct request *
find_request (const struct link *l, uint64_t id)
{
  struct request *q;

  HASH_FIND (hh, l->entry->requests, &id, sizeof id, q);
#ifndef BB_MUTANT_crossed
  if (q && q->link != l)
    q = NULL;
#endif
  if (!q)
    bb_counter ("bilberry_late_answers_total", "")->value++;
  return q;
}

static void
append_to_buffer (struct request *q, const char *data, size_t size)
{
  q->buffer = realloc (q->buffer, q->buffer_size_bytes + size + 1);
  if (!q->buffer)
    abort ();
  memcpy (q->buffer + q->buffer_size_bytes, data, size);
  q->buffer_size_bytes += size;
  bb_memory_add (&q->entry->memory, size);
}

static bool
is_event_stream (const struct bb_head *m)
{
  return bb_headers_are_of_events (m->headers, m->headers_count);
}

/* Fails the current attempt because the upstream's response is unusable.  */
static void
fail_attempt (struct request *q)
{
  struct bb_request_result v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_UPSTREAM_FAILED };

  attempt_cancel (q);
  attempt_failed (q, &v);
}

/* Starts a streamed response, without Content-Length: another upstream may
   continue the stream, so its length is not known.  */
static void
start_stream (struct request *q, const struct bb_head *m)
{
  static const char length[] = "content-length";
  struct bb_header headers[64];
  uint32_t n = 0;

  for (uint32_t i = 0; i < m->headers_count; i++)
    {
      struct bb_bytes name = m->headers[i].name;
      if (name.size != sizeof length - 1
          || strncasecmp (name.ptr, length, name.size) != 0)
        headers[n++] = m->headers[i];
    }
  q->streaming = true;
  measure_first_byte (q);
  bb_http_start (q->http, m->status, headers, n);
}

/* Stores the head of a response that is sent once it is complete.  The bytes
   go into Q->buffer, which may move as it grows, so only the sizes in
   Q->headers are valid until restore_headers.  */
static void
buffer_head (struct request *q, const struct bb_head *m)
{
  q->headers_count = m->headers_count;
  for (uint32_t i = 0; i < m->headers_count; i++)
    {
      q->headers[i] = m->headers[i];
      append_to_buffer (q, m->headers[i].name.ptr, m->headers[i].name.size);
      append_to_buffer (q, m->headers[i].value.ptr, m->headers[i].value.size);
    }
}

void
response_on_head (struct link *l, const struct bb_head *m)
{
  struct request *q = find_request (l, m->id);

  if (!q)
    return;
  if (q->streaming && (m->status != q->status || !is_event_stream (m)))
    {
      fail_attempt (q);
      return;
    }
  if (q->streaming)
    return;
  q->status = m->status;
  if (is_event_stream (m))
    start_stream (q, m);
  else
    {
      measure_first_byte (q);
      buffer_head (q, m);
    }
}

static void
write_event (void *arg, struct bb_bytes event)
{
  struct request *q = arg;

  bb_http_write (q->http, event);
}

/* Whether the client reads its stream too slowly.  */
static bool
is_slow_client (const struct request *q)
{
#ifdef BB_MUTANT_stream_backlog
  return false;
#endif
  return bb_http_backlog_bytes (q->http) > BACKLOG_MAX_BYTES;
}

static void
abort_slow_client (struct request *q)
{
  attempt_cancel (q);
  bb_count_refusal (BB_REASON_SLOW_CLIENT);
  bb_http_abort (q->http);
  request_end (q);
}

/* Returns the request of E with the largest buffer; NULL where all are
   empty.  */
static struct request *
find_largest (const struct entry *e)
{
  struct request *largest = NULL;
  struct request *q;
  struct request *next;
  size_t size = 0;

  HASH_ITER (hh, e->requests, q, next)
  {
    if (q->buffer_size_bytes > size)
      {
        largest = q;
        size = q->buffer_size_bytes;
      }
  }
  return largest;
}

/* Fails the attempts with the largest responses until the others fit: a
   response without end must not end the process, nor another request.  */
static void
limit_buffers (struct entry *e)
{
  struct request *q;

#ifdef BB_MUTANT_entry_buffers
  return;
#endif
  while (e->memory.used_bytes > BUFFERS_MAX_BYTES && (q = find_largest (e)))
    {
      bb_log (BB_LOG_WARN, "entry",
              "Gave up a response of %zu bytes: there is no memory for it.",
              q->buffer_size_bytes);
      fail_attempt (q);
    }
}

void
response_on_data (struct link *l, const struct bb_data *m)
{
  struct request *q = find_request (l, m->id);

  if (!q)
    return;
  if (!q->streaming)
    {
      append_to_buffer (q, m->body.ptr, m->body.size);
      limit_buffers (l->entry);
      return;
    }
  bb_stream_feed (&q->stream, m->body, write_event, q);
  if (is_slow_client (q))
    abort_slow_client (q);
  else if (q->stream.broken)
    fail_attempt (q);
}

/* Sets the pointers of the stored headers into the buffer; returns the
   body.  */
static struct bb_bytes
restore_headers (struct request *q)
{
  struct bb_bytes body;
  const char *p = q->buffer;

  for (uint32_t i = 0; i < q->headers_count; i++)
    {
      q->headers[i].name.ptr = p;
      p += q->headers[i].name.size;
      q->headers[i].value.ptr = p;
      p += q->headers[i].value.size;
    }
  body.ptr = p;
  body.size = (uint32_t)(q->buffer_size_bytes - (size_t)(p - q->buffer));
  return body;
}

void
response_finish (struct request *q)
{
  struct bb_bytes body;

  if (q->streaming)
    {
      struct bb_bytes rest
          = { .ptr = q->stream.partial_event,
              .size = (uint32_t)q->stream.partial_size_bytes };
      if (rest.size > 0)
        bb_http_write (q->http, rest);
      bb_http_end (q->http);
    }
  else
    {
      body = restore_headers (q);
      bb_http_respond (q->http, q->status, q->headers, q->headers_count, body);
    }
  measure_response (q);
  suspect_answered (q->entry, q->fingerprint);
  request_end (q);
}

void
response_on_end (struct link *l, const struct bb_end *m)
{
  struct request *q = find_request (l, m->id);

  if (!q)
    return;
  bb_health_ok (&q->link->health, &q->pool->health, entry_now ());
  if (q->streaming && q->stream.tokens_sent > 0 && !q->stream.done)
    fail_attempt (q);
  else
    response_finish (q);
}

/* Records a failure of the upstream of the current attempt, which may eject
   it.  */
static void
record_failure (struct request *q, uint32_t reason)
{
  struct link *l = q->link;

  if (!bb_health_failed (&l->health, &q->pool->health, reason, entry_now ()))
    return;
  bb_counter ("bilberry_ejections_total", "")->value++;
  bb_log (BB_LOG_WARN, "entry", "Upstream %s ejected: %s.", l->name,
          bb_reason_text (reason));
}

void
response_on_refusal (struct link *l, const struct bb_refusal *m)
{
  struct request *q = find_request (l, m->id);
  struct bb_request_result v = { .run = m->run,
                                 .reason = m->reason,
                                 .retry_after_ms = m->retry_after_ms };

  if (!q)
    return;
  record_failure (q, m->reason);
  attempt_failed (q, &v);
}
