/* Outcomes of calls: stores an upstream's response as it arrives, so that
   repeats of the idempotency key can be answered with it.  */

#include "agent.h"

#include <stdlib.h>
#include <string.h>

enum
{
  OUTCOME_MAX_BYTES = 256 * 1024
};

static void
append (struct outcome *o, struct bb_bytes b)
{
  if (o->too_large || o->size + b.size > OUTCOME_MAX_BYTES)
    {
      o->too_large = true;
      return;
    }
  o->data = realloc (o->data, o->size + b.size + 1);
  if (!o->data)
    abort ();
  memcpy (o->data + o->size, b.ptr, b.size);
  o->size += b.size;
}

void
outcome_set_head (struct outcome *o, uint16_t status,
                  const struct bb_header *headers, uint32_t count)
{
  o->status = status;
  for (uint32_t i = 0; i < count; i++)
    {
      if (bb_header_is_hop_by_hop (headers[i].name))
        continue;
      o->headers[o->headers_count++] = headers[i];
      append (o, headers[i].name);
      append (o, headers[i].value);
    }
}

void
outcome_append_body (struct outcome *o, struct bb_bytes piece)
{
  append (o, piece);
}

static struct bb_bytes
next_bytes (const char **at, uint32_t size)
{
  struct bb_bytes b = { .ptr = *at, .size = size };

  *at += size;
  return b;
}

void
outcome_fill_note (struct outcome *o, struct bb_once_note *n)
{
  const char *at = o->data;

  n->state = BB_ONCE_STATE_DONE;
  n->status = o->status;
  n->cut = o->too_large;
  if (o->too_large)
    return;
  n->headers_count = o->headers_count;
  for (uint32_t i = 0; i < o->headers_count; i++)
    {
      n->headers[i].name = next_bytes (&at, o->headers[i].name.size);
      n->headers[i].value = next_bytes (&at, o->headers[i].value.size);
    }
  n->body.ptr = at;
  n->body.size = (uint32_t)(o->size - (size_t)(at - o->data));
}

void
outcome_free (struct outcome *o)
{
  free (o->data);
}
