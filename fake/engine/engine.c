/* fake-engine - a stand-in for a model engine.

   Continuous batching: each step, every running sequence generates one token.
   A sequence waits while the batch is full; once it runs, its first token
   comes after the prefill time.  The tokens are a function of the prompt, so
   that a test can check whether a response is complete.

   In a request, "priority" queues the sequence before the waiting ones of a
   lower priority, and "resume_tokens" is the number of tokens to skip at the
   start of the response.  A caller that disconnects cancels its sequence.

   The engine crashes on a prompt that contains "crash-engine", and, within
   --cold-ms of its start, on a request that exceeds --cold-batch sequences. */

#include "../lib/fake.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

enum
{
  STEP_MS,
  PREFILL_MS,
  BATCH,
  COLD_MS,
  COLD_BATCH,
  OPTIONS
};

static struct fake_option options[OPTIONS + 1] = {
  [STEP_MS] = { "step-ms", "time of one step, in ms", 5 },
  [PREFILL_MS] = { "prefill-ms", "time of the prefill, in ms", 10 },
  [BATCH] = { "batch", "maximum sequences that run at once", 16 },
  [COLD_MS]
  = { "cold-ms", "time for which a started engine is cold, in ms", 0 },
  [COLD_BATCH] = { "cold-batch", "maximum sequences of a cold engine", 2 },
};

struct sequence
{
  struct bb_http_request *r; /* request; its user data is this sequence */
  uint32_t prompt_hash;
  uint32_t next_token; /* index of the next token to generate */
  uint32_t max_tokens;
  uint32_t priority; /* higher runs first */
  bool stream;
  bool running;
  bb_ms prefill_end_ms;
  char *text; /* text of the tokens generated so far; used if the response is
                 not streamed */
  size_t text_size;
  struct sequence *prev;
  struct sequence *next;
};

static struct sequence *sequences; /* running, then waiting ones */
static uint32_t sequences_count;
static uv_timer_t step_timer;
static bb_ms start_time_ms;
static uint64_t cancelled;
static uint64_t finished;

static void
sequence_free (struct sequence *s)
{
  DL_DELETE (sequences, s);
  sequences_count--;
  free (s->text);
  free (s);
}

/* Cancels the sequence if the caller has disconnected.  The user data of the
   request is NULL if the sequence has finished.  */
static void
on_request_done (struct bb_http_request *r)
{
  struct sequence *s = r->user;

  if (!s)
    return;
  cancelled++;
  sequence_free (s);
}

static void
format_token (struct sequence *s, char *out, size_t size)
{
  snprintf (out, size, "t%08x-%u ", s->prompt_hash, s->next_token);
}

static void
send_event (struct sequence *s, const char *token)
{
  char event[256];

  snprintf (event, sizeof event,
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"}}]"
            "}\n\n",
            token);
  bb_http_write (s->r, bb_bytes_of (event));
}

static void
append_token (struct sequence *s, const char *token)
{
  size_t size = strlen (token);

  s->text = realloc (s->text, s->text_size + size + 1);
  memcpy (s->text + s->text_size, token, size + 1);
  s->text_size += size;
}

static void
sequence_finish (struct sequence *s)
{
  json_t *body;

  s->r->user = NULL;
  finished++;
  if (s->stream)
    {
      bb_http_write (s->r, bb_bytes_of ("data: [DONE]\n\n"));
      bb_http_end (s->r);
    }
  else
    {
      body = json_pack ("{s:[{s:i, s:{s:s, s:s}}], s:{s:i}}", "choices",
                        "index", 0, "message", "role", "assistant", "content",
                        s->text ? s->text : "", "usage", "completion_tokens",
                        (int)s->max_tokens);
      fake_respond_json (s->r, 200, body);
    }
  sequence_free (s);
}

static void
sequence_step (struct sequence *s)
{
  char token[64];

  if (s->next_token >= s->max_tokens)
    {
      sequence_finish (s); /* resume_tokens was not below max_tokens */
      return;
    }
  format_token (s, token, sizeof token);
  s->next_token++;
  if (s->stream)
    send_event (s, token);
  else
    append_token (s, token);
  if (s->next_token >= s->max_tokens)
    sequence_finish (s);
}

static void
crash (const char *why)
{
  fprintf (stderr, "fake-engine: %s\n", why);
  _exit (70);
}

static void
on_step (uv_timer_t *t)
{
  bb_ms now = (bb_ms)uv_now (t->loop);
  int running = 0;
  struct sequence *s;
  struct sequence *next;

  DL_FOREACH_SAFE (sequences, s, next)
  {
    if (running >= options[BATCH].value)
      break;
    running++;
    if (!s->running)
      {
        s->running = true;
        s->prefill_end_ms = now + options[PREFILL_MS].value;
      }
    if (now >= s->prefill_end_ms)
      sequence_step (s);
  }
}

/* Returns the content of the last message, or the field "prompt"; NULL if
   neither is there.  */
static const char *
get_prompt (json_t *body)
{
  json_t *messages = json_object_get (body, "messages");
  json_t *last = json_array_get (messages, json_array_size (messages) > 0
                                               ? json_array_size (messages) - 1
                                               : 0);
  const char *prompt = json_string_value (json_object_get (last, "content"));

  if (!prompt)
    prompt = json_string_value (json_object_get (body, "prompt"));
  return prompt;
}

static uint32_t
get_number (json_t *body, const char *name, uint32_t fallback)
{
  json_t *v = json_object_get (body, name);

  return json_is_integer (v) ? (uint32_t)json_integer_value (v) : fallback;
}

/* Inserts S before the first waiting sequence of a lower priority.  */
static void
enqueue (struct sequence *s)
{
  struct sequence *at;

  DL_FOREACH (sequences, at)
  {
    if (!at->running && at->priority < s->priority)
      break;
  }
  DL_PREPEND_ELEM (sequences, at, s);
  sequences_count++;
}

static void
sequence_start (struct bb_http_request *r, json_t *body, const char *prompt)
{
  struct bb_header h = { .name = bb_bytes_of ("content-type"),
                         .value = bb_bytes_of ("text/event-stream") };
  struct sequence *s = calloc (1, sizeof *s);

  s->r = r;
  s->prompt_hash = XXH32 (prompt, strlen (prompt), 0);
  s->max_tokens = get_number (body, "max_tokens", 16);
  s->next_token = get_number (body, "resume_tokens", 0);
  s->stream = json_is_true (json_object_get (body, "stream"));
  r->user = s;
  r->on_done = on_request_done;
  s->priority = get_number (body, "priority", 0);
  enqueue (s);
  if (s->stream)
    bb_http_start (r, 200, &h, 1);
}

static void
start_completion (struct bb_http_request *r)
{
  json_t *body = json_loadb (r->body.ptr, r->body.size, 0, NULL);
  const char *prompt = get_prompt (body);
  bb_ms age = (bb_ms)uv_now (step_timer.loop) - start_time_ms;

  if (!prompt)
    {
      fake_respond_text (r, 400, "no prompt\n");
      json_decref (body);
      return;
    }
  if (strstr (prompt, "crash-engine"))
    crash ("crashed by a prompt with crash-engine");
  if (age < options[COLD_MS].value
      && sequences_count >= (uint32_t)options[COLD_BATCH].value)
    crash ("crashed by too many sequences while cold");
  sequence_start (r, body, prompt);
  json_decref (body);
}

static void
respond_metrics (struct bb_http_request *r)
{
  char text[512];

  snprintf (text, sizeof text,
            "engine_start_time_ms %lld\nengine_sequences %u\n"
            "engine_finished_total %llu\nengine_cancelled_total %llu\n",
            (long long)start_time_ms, sequences_count,
            (unsigned long long)finished, (unsigned long long)cancelled);
  fake_respond_text (r, 200, text);
}

static void
on_request (struct bb_http_request *r, void *arg)
{
  (void)arg;
  if (bb_bytes_equal (r->method, "GET")
      && bb_bytes_equal (r->path, "/metrics"))
    respond_metrics (r);
  else if (bb_bytes_equal (r->method, "GET")
           && bb_bytes_equal (r->path, "/health"))
    fake_respond_text (r, 200, "ok\n");
  else if (bb_bytes_equal (r->method, "POST")
           && (bb_bytes_equal (r->path, "/v1/chat/completions")
               || bb_bytes_equal (r->path, "/v1/completions")))
    start_completion (r);
  else
    fake_respond_text (r, 404, "no such path\n");
}

static void
start_steps (uv_timer_t *t)
{
  uv_timer_start (t, on_step, (uint64_t)options[STEP_MS].value,
                  (uint64_t)options[STEP_MS].value);
}

int
main (int argc, char **argv)
{
  uv_timer_init (uv_default_loop (), &step_timer);
  start_time_ms = (bb_ms)uv_now (step_timer.loop);
  uv_timer_start (&step_timer, start_steps, 0, 0);
  return fake_main (argc, argv, options, on_request, NULL);
}
