/* Passes on an event stream so that another upstream can continue it.  */

#include "bilberry/route.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EVENT_MAX_BYTES = 1024 * 1024
};

enum event_kind
{
  KIND_OTHER,
  KIND_ROLE, /* states the role of the answer, before its first token */
  KIND_TOKEN,
  KIND_DONE
};

struct parsed_event
{
  enum event_kind kind;
  json_t *json; /* the data, parsed; NULL where it is not JSON */
};

/* Returns the value of the first data line of EVENT, empty where it has none.
 */
static struct bb_bytes
find_event_data (struct bb_bytes event)
{
  static const char field[] = "data:";
  struct bb_bytes empty = { 0 };
  const char *at = event.ptr;
  const char *end = event.ptr + event.size;

  while (at < end)
    {
      const char *line_end = memchr (at, '\n', (size_t)(end - at));
      struct bb_bytes line = { .ptr = at };
      line.size = (uint32_t)((line_end ? line_end : end) - at);
      if (line.size > 0 && line.ptr[line.size - 1] == '\r')
        line.size--;
      if (line.size >= sizeof field - 1
          && memcmp (line.ptr, field, sizeof field - 1) == 0)
        {
          line.ptr += sizeof field - 1;
          line.size -= sizeof field - 1;
          if (line.size > 0 && *line.ptr == ' ')
            {
              line.ptr++;
              line.size--;
            }
          return line;
        }
      if (!line_end)
        break;
      at = line_end + 1;
    }
  return empty;
}

/* Returns whether the member NAME of OBJECT is a string that is not empty.  */
static bool
has_text (json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text && *text;
}

static struct parsed_event
parse_event (struct bb_bytes bytes)
{
  struct parsed_event e = { 0 };
  struct bb_bytes data = find_event_data (bytes);
  json_t *choice;
  json_t *delta;

  if (bb_bytes_equal (data, "[DONE]"))
    {
      e.kind = KIND_DONE;
      return e;
    }
  e.json = json_loadb (data.ptr ? data.ptr : "", data.size, 0, NULL);
  choice = json_array_get (json_object_get (e.json, "choices"), 0);
  delta = json_object_get (choice, "delta");
  if (has_text (delta, "content") || has_text (choice, "text"))
    e.kind = KIND_TOKEN;
  else if (has_text (delta, "role"))
    e.kind = KIND_ROLE;
  return e;
}

/* Writes the event JSON with the token counts of its usage replaced by those
   of all upstreams together.  */
static void
write_usage (const struct bb_stream *s, json_t *json,
             bb_stream_write_fn *write, void *arg)
{
  json_t *usage = json_object_get (json, "usage");
  json_int_t prompt
      = json_integer_value (json_object_get (usage, "prompt_tokens"));
  char *text;

  json_object_set_new (usage, "completion_tokens",
                       json_integer (s->tokens_sent));
  if (json_object_get (usage, "total_tokens"))
    json_object_set_new (usage, "total_tokens",
                         json_integer (prompt + s->tokens_sent));
  text = json_dumps (json, JSON_COMPACT | JSON_PRESERVE_ORDER);
  if (!text)
    abort ();
  write (arg, bb_bytes_of ("data: "));
  write (arg, bb_bytes_of (text));
  write (arg, bb_bytes_of ("\n\n"));
  free (text);
}

/* Returns whether the caller has got E already, so that it is dropped.  While
   tokens are skipped, all events are dropped, and each token E is counted off.
 */
static bool
already_sent (struct bb_stream *s, const struct parsed_event *e)
{
  if (s->skip_tokens > 0)
    {
#ifndef BB_MUTANT_stream_skip
      s->skip_tokens -= e->kind == KIND_TOKEN ? 1 : 0;
      return true;
#else
      return e->kind != KIND_TOKEN;
#endif
    }
  return s->role_sent && e->kind == KIND_ROLE;
}

static void
process_event (struct bb_stream *s, struct bb_bytes bytes,
               bb_stream_write_fn *write, void *arg)
{
  struct parsed_event e = parse_event (bytes);

  if (e.kind == KIND_DONE && s->skip_tokens > 0)
    s->broken = true;
  else if (!already_sent (s, &e))
    {
      s->tokens_sent += e.kind == KIND_TOKEN ? 1 : 0;
      s->role_sent = s->role_sent || e.kind == KIND_ROLE;
      s->done = e.kind == KIND_DONE;
      if (s->resumed && json_is_object (json_object_get (e.json, "usage")))
        write_usage (s, e.json, write, arg);
      else
        write (arg, bytes);
    }
  json_decref (e.json);
}

static void
append_partial (struct bb_stream *s, struct bb_bytes piece)
{
  size_t need = s->partial_size_bytes + piece.size;

  if (need > s->partial_capacity_bytes)
    {
      s->partial_capacity_bytes = need * 2;
      s->partial_event = realloc (s->partial_event, s->partial_capacity_bytes);
      if (!s->partial_event)
        abort ();
    }
  if (piece.size > 0)
    memcpy (s->partial_event + s->partial_size_bytes, piece.ptr, piece.size);
  s->partial_size_bytes = need;
}

/* Returns the size in bytes of the first event in the SIZE bytes at P, with
   the empty line that ends it; 0 where the event is incomplete.  */
static size_t
event_size (const char *p, size_t size)
{
  for (size_t i = 0; i + 1 < size; i++)
    {
      if (p[i] != '\n')
        continue;
      if (p[i + 1] == '\n')
        return i + 2;
      if (p[i + 1] == '\r' && i + 2 < size && p[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

void
bb_stream_feed (struct bb_stream *s, struct bb_bytes piece,
                bb_stream_write_fn *write, void *arg)
{
  size_t at = 0;
  size_t n;

  append_partial (s, piece);
  while (
      !s->done && !s->broken
      && (n = event_size (s->partial_event + at, s->partial_size_bytes - at))
             > 0)
    {
      struct bb_bytes event
          = { .ptr = s->partial_event + at, .size = (uint32_t)n };
      process_event (s, event, write, arg);
      at += n;
    }
  s->partial_size_bytes -= at;
  memmove (s->partial_event, s->partial_event + at, s->partial_size_bytes);
  if (s->done)
    s->partial_size_bytes = 0;
  if (s->partial_size_bytes > EVENT_MAX_BYTES)
    s->broken = true;
}

void
bb_stream_resume (struct bb_stream *s, enum bb_resume how)
{
  s->resumed = true;
  s->partial_size_bytes = 0;
  s->skip_tokens = how == BB_RESUME_CONTINUE ? 0 : s->tokens_sent;
}

void
bb_stream_free (struct bb_stream *s)
{
  free (s->partial_event);
  s->partial_event = NULL;
}
