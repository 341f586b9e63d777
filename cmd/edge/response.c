/* Forwards responses to callers.  An event stream is forwarded in whole
   events, so that another upstream can continue it after the last one; any
   other response is forwarded once it is complete.  */

#include "edge.h"

#include "bilberry/net.h"

#include <jansson.h>

#include <math.h>
#include <string.h>
#include <strings.h>

enum
{
  BODY_MAX_BYTES = 32 * 1024 * 1024,
  MEMORY_WAIT_MS = 400, /* longest wait of a response for memory, in all */
  EVENT_MAX_BYTES = 1024 * 1024,
  EVENT_END_BYTES = 4, /* of the longest end of an event */
  /* Limit on unsent bytes; a slower caller is disconnected.  */
  BACKLOG_MAX_BYTES = 1024 * 1024
};

/* Weight of a new sample in the moving averages of response times.  */
static const double smoothing_weight = 0.1;

static void
smooth (double *value, double sample)
{
  *value
      = *value == 0 ? sample : *value + (sample - *value) * smoothing_weight;
}

static void
record_first_event (struct pool_queue *q, double ms)
{
  if (q->first_event_ms > 0)
    smooth (&q->first_event_dev_ms, fabs (ms - q->first_event_ms));
  smooth (&q->first_event_ms, ms);
}

static void
save_headers (struct request *r, const struct bb_h1_message *head)
{
  if (!r->headers_text)
    r->headers_text = g_string_chunk_new (1024);
  r->headers_count = head->headers_count;
  for (uint32_t i = 0; i < head->headers_count; i++)
    {
      const struct bb_header *h = &head->headers[i];
      r->headers[i].name.ptr = g_string_chunk_insert_len (
          r->headers_text, h->name.ptr, h->name.size);
      r->headers[i].name.size = h->name.size;
      r->headers[i].value.ptr = g_string_chunk_insert_len (
          r->headers_text, h->value.ptr, h->value.size);
      r->headers[i].value.size = h->value.size;
    }
}

static bool
is_success (uint16_t status)
{
  return status >= 200 && status < 300;
}

/* Cancels the try before its response is complete.  */
static void
abandon_try (struct request *r, enum bb_outcome outcome, const char *detail)
{
  bb_h1_call_cancel (r->call);
  r->call = NULL;
  request_clear_body (r);
  failure_handle (r, outcome, detail);
}

static void
on_head (struct bb_h1_call *c, const struct bb_h1_message *head, void *user)
{
  struct request *r = user;
  bool typed_as_events;

  (void)c;
  r->target->last_activity_ms = edge_now (r->edge);
  bb_response_info_decode (head, r->info.attempt_id, &r->reply);
  r->status = head->status;
  r->streaming = false;
#ifndef BB_MUTANT_edge_unframed
  r->ends_by_close = !head->framed;
#endif
#ifndef BB_MUTANT_edge_echo
  if (!r->reply.attempt_id_matches)
    {
      abandon_try (r, BB_OUTCOME_LOST, "the answer to another request");
      return;
    }
#endif
  rest_record_answer (r);
  limit_record_answer (r);
  if (!is_success (head->status))
    {
      save_headers (r, head);
      return;
    }
  if (!r->reply.has_signature || r->reply.has_content_encoding)
    {
      abandon_try (r, BB_OUTCOME_LOST, "an answer without proof");
      return;
    }
  typed_as_events
      = bb_headers_are_of_events (head->headers, head->headers_count);
  r->continues = r->response_started;
#ifndef BB_MUTANT_resume_typed
  if (r->continues && r->typed_as_events && !typed_as_events)
    {
      abandon_try (r, BB_OUTCOME_LOST, "not the stream that had begun");
      return;
    }
#endif
  r->streaming = r->route->kind == BB_CALL_STREAM;
  r->typed_as_events = typed_as_events;
  if (!r->response_started)
    save_headers (r, head);
}

/* Whether EVENT has a field: it is more than empty lines and comments.  */
static bool
has_field (struct bb_bytes event)
{
  bool line_starts = true;

  for (uint32_t i = 0; i < event.size; i++)
    {
      char c = event.ptr[i];
      if (line_starts && c != '\r' && c != '\n' && c != ':')
        return true;
      line_starts = c == '\n';
    }
  return false;
}

/* Decides whether EVENT is the next one, which is forwarded.  One that the
   caller already has is skipped.  One that skips ids, or that has none and so
   cannot be told to continue a stream, marks the stream as out of order.  */
static bool
accept_event (struct request *r, struct bb_bytes event)
{
  uint64_t id = 0;
  bool has_id = bb_sse_event_id (event, &id);

  if (has_id && r->event_sent && id <= r->last_event_id)
    return false;
  if (has_id && r->event_sent && id > r->last_event_id + 1)
    r->out_of_order = true;
#ifndef BB_MUTANT_resume_ids
  if (!has_id && r->continues && has_field (event))
    r->out_of_order = true;
#endif
  if (r->out_of_order)
    return false;
  if (has_id)
    {
      r->last_event_id = id;
      r->event_sent = true;
    }
  return true;
}

/* Forwards EVENTS, of which there may be none.  */
static void
write_events (struct request *r, struct bb_bytes events)
{
  if (events.size == 0)
    return;
  if (!r->response_started)
    {
      bb_h1_start (r->exchange, r->status, r->headers, r->headers_count);
      r->response_started = true;
      latency_record (LATENCY_FIRST_EVENT, r->received_ms, edge_now (r->edge));
    }
  bb_h1_write (r->exchange, events);
}

/* An event without a field is no progress.  */
static void
record_event (struct request *r, struct bb_bytes event)
{
  bb_ms now = edge_now (r->edge);

#ifndef BB_MUTANT_event_empty
  if (!has_field (event))
    {
      r->empty_bytes += event.size;
      return;
    }
#endif
  r->empty_bytes = 0;

  if (r->group)
    bb_group_record_progress (&r->group->health, now);
  capacity_record_event (r, now);
  r->events++;
  estimate_progress (r);
  if (r->first_event_ms == 0)
    r->first_event_ms = now;
  if (r->first_event_seen)
    r->gap_max_ms = MAX (r->gap_max_ms, now - r->progress_ms);
  if (!r->first_event_seen)
    {
      request_prompt_processed (r);
      record_first_event (r->queue, (double)(now - r->sent_ms));
    }
  r->first_event_seen = true;
  r->progress_ms = now;
}

/* Returns the size of the first complete event in the SIZE bytes at DATA, or
   0.  There is no end of an event in the first SCANNED of them.  */
static size_t
event_size (const char *data, size_t size, size_t scanned)
{
  const char *at
      = data + (scanned > EVENT_END_BYTES ? scanned - EVENT_END_BYTES : 0);
  const char *end = data + size;

  while (at < end && (at = memchr (at, '\n', (size_t)(end - at))))
    {
      at++;
      if (at < end && *at == '\n')
        return (size_t)(at - data) + 1;
      if (at - data >= 2 && at[-2] == '\r' && end - at >= 2 && at[0] == '\r'
          && at[1] == '\n')
        return (size_t)(at - data) + 2;
    }
  return 0;
}

/* Forwards the complete events of the body, those next to each other at
   once.  */
static void
forward_events (struct request *r)
{
  const char *data = (const char *)r->body->data;
  size_t size = r->body->len;
  struct bb_bytes run = { data, 0 };
  size_t offset = 0;
  size_t n;

  while ((n = event_size (data + offset, size - offset, r->scanned_bytes)) > 0)
    {
      struct bb_bytes event = { data + offset, (uint32_t)n };
      record_event (r, event);
      offset += n;
      r->scanned_bytes = 0;
      if (accept_event (r, event))
        {
          run.size += event.size;
          continue;
        }
      write_events (r, run);
      run = (struct bb_bytes){ data + offset, 0 };
    }
  write_events (r, run);
  request_shorten_body (r, offset);
  r->scanned_bytes = r->body->len;
}

/* Has the upstream keep the rest of the response until there is memory.  */
static void
await_memory (struct request *r)
{
  if (r->memory_since_ms > 0)
    return;
  bb_counter ("bilberry_memory_waits_total", "")->value++;
  r->memory_since_ms = edge_now (r->edge);
  g_queue_push_tail (&r->edge->memory_waiting, r);
  bb_h1_call_pause (r->call);
}

void
response_tick (struct edge *e)
{
  bb_ms now = edge_now (e);

  /* Those at the head have waited longest.  */
  for (guint n = e->memory_waiting.length; n > 0; n--)
    {
      struct request *r = g_queue_pop_head (&e->memory_waiting);
      bb_ms waited = r->memory_waited_ms + now - r->memory_since_ms;
      bool has_room = bb_memory_has_room (&e->memory, BB_MEMORY_SMALL_BYTES,
                                          r->body->len);
      if (!has_room && waited <= MEMORY_WAIT_MS)
        {
          g_queue_push_tail (&e->memory_waiting, r);
          continue;
        }
      r->memory_since_ms = 0;
      r->memory_waited_ms = waited;
      if (has_room)
        bb_h1_call_resume (r->call);
      else
        abandon_try (r, BB_OUTCOME_LOST, "there is no memory for the answer");
    }
}

static void
on_data (struct bb_h1_call *c, struct bb_bytes piece, void *user)
{
  struct request *r = user;

  (void)c;
  r->target->last_activity_ms = edge_now (r->edge);
  request_append_body (r, piece);
  if (r->body->len > BODY_MAX_BYTES)
    {
      abandon_try (r, BB_OUTCOME_LOST, "the answer is too large");
      return;
    }
#ifndef BB_MUTANT_bodies_max
  if (!bb_memory_has_room (&r->edge->memory, 0, r->body->len))
    await_memory (r);
#endif
  if (!r->streaming)
    return;
  forward_events (r);
  if (r->out_of_order)
    abandon_try (r, BB_OUTCOME_LOST, "events out of order");
#ifndef BB_MUTANT_event_max
  else if (r->body->len + r->empty_bytes > EVENT_MAX_BYTES)
    abandon_try (r, BB_OUTCOME_LOST, "an event is too large");
#endif
  else if (r->response_started
           && bb_h1_backlog_bytes (r->exchange) > BACKLOG_MAX_BYTES)
    abandon_try (r, BB_OUTCOME_LOST, "the caller reads too slowly");
}

static void
log_response (const struct request *r)
{
  bb_ms now = edge_now (r->edge);

  bb_log_event (
      "answer",
      "{s:s%, s:s, s:i, s:i, s:I, s:i, s:I, s:b, s:I, s:I, s:i, s:i, s:i}",
      "id", r->info.attempt_id.ptr, (size_t)r->info.attempt_id.size, "route",
      r->route->name, "priority", (int)r->priority, "status", (int)r->status,
      "took_ms", (json_int_t)(now - r->received_ms), "tries", (int)r->tries,
      "last_event", (json_int_t)r->last_event_id, "leaving", r->reply.leaving,
      "first_event_ms",
      (json_int_t)(r->first_event_ms > 0 ? r->first_event_ms - r->received_ms
                                         : 0),
      "longest_gap_ms", (json_int_t)r->gap_max_ms, "events", (int)r->events,
      "expected_tokens", (int)r->cost.output_tokens, "expected_ms",
      (int)r->work_ms);
}

static void
record_success (struct request *r)
{
  bb_ms now = edge_now (r->edge);

  bb_ejection_ok (&r->target->ejection);
  if (!r->streaming)
    {
      smooth (&r->target->latency_ms, (double)(now - r->sent_ms));
      record_first_event (r->queue, (double)(now - r->sent_ms));
    }
}

/* Sends the rest of a complete response to the caller and ends the
   request.  */
static void
finish_response (struct request *r)
{
  struct pool_queue *q = r->queue;
  GBytes *rest;

  record_success (r);
  if (!r->ends_by_close)
    suspect_answered (r->edge, &r->identity);
  estimate_learn (r, true);
  log_response (r);
  latency_record (LATENCY_RESPONSE, r->received_ms, edge_now (r->edge));
  bb_counter ("bilberry_answers_total", "")->value++;
  if (r->streaming && r->response_started)
    {
      struct bb_bytes end = { (const char *)r->body->data, r->body->len };
      bb_h1_write (r->exchange, end);
      bb_h1_end (r->exchange);
    }
  else
    {
      rest = request_take_body (r);
      bb_h1_respond_bytes (r->exchange, r->status, r->headers,
                           r->headers_count, rest);
      g_bytes_unref (rest);
    }
  request_release (r);
  request_free (r);
  q->edge->queue_ops->dispatch (q);
}

static enum bb_outcome
outcome_of (const struct request *r, enum bb_h1_result how)
{
  if (how == BB_H1_UNSENT)
    return BB_OUTCOME_UNSENT;
  if (how != BB_H1_WHOLE)
    return BB_OUTCOME_LOST;
  if (r->reply.misdirected)
    return BB_OUTCOME_ELSEWHERE;
  if (r->reply.not_run)
    return BB_OUTCOME_NOT_RUN;
  return is_success (r->status) ? BB_OUTCOME_ANSWERED : BB_OUTCOME_FAILED;
}

/* Whether the bytes after the last whole event are part of another.  Line ends
   alone are none, and a body whose length is marked and that is no stream of
   events has none.  */
static bool
ends_inside_event (const struct request *r)
{
#ifdef BB_MUTANT_stream_inside
  return false;
#endif
  if (!r->streaming
      || !(r->typed_as_events || r->ends_by_close || r->first_event_seen))
    return false;
  for (guint i = 0; i < r->body->len; i++)
    if (r->body->data[i] != '\r' && r->body->data[i] != '\n')
      return true;
  return false;
}

static void
on_end (struct bb_h1_call *c, enum bb_h1_result how, void *user)
{
  struct request *r = user;
  /* A stream that ends inside an event has been broken off, however its
     connection ended.  */
  bool broken = how == BB_H1_WHOLE && ends_inside_event (r);
  enum bb_outcome outcome = broken ? BB_OUTCOME_LOST : outcome_of (r, how);

  (void)c;
  r->call = NULL;
  if (how != BB_H1_UNSENT && (how != BB_H1_WHOLE || r->ends_by_close))
    crash_check_upstream (r, how == BB_H1_WHOLE && !broken);
  if (outcome == BB_OUTCOME_ANSWERED)
    finish_response (r);
  else
    failure_handle (r, outcome,
                    broken ? "inside an event" : bb_h1_result_name (how));
}

const struct bb_h1_call_ops response_ops = { on_head, on_data, on_end };
