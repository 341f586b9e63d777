#include "agent.h"

#include <stdlib.h>
#include <string.h>

enum
{
  OUTCOME_MAX_BYTES = 256 * 1024
};

static void
keep (struct outcome *o, struct bb_bytes b)
{
  if (o->cut || o->size + b.size > OUTCOME_MAX_BYTES)
    {
      o->cut = true;
      return;
    }
  o->data = realloc (o->data, o->size + b.size + 1);
  if (!o->data)
    abort ();
  memcpy (o->data + o->size, b.ptr, b.size);
  o->size += b.size;
}

void
outcome_head (struct outcome *o, uint16_t status,
              const struct bb_header *headers, uint32_t count)
{
  o->status = status;
  for (uint32_t i = 0; i < count; i++)
    {
      if (bb_header_is_hop_by_hop (headers[i].name))
        continue;
      o->headers[o->headers_count++] = headers[i];
      keep (o, headers[i].name);
      keep (o, headers[i].value);
    }
}

void
outcome_data (struct outcome *o, struct bb_bytes piece)
{
  keep (o, piece);
}

static struct bb_bytes
take (const char **at, uint32_t size)
{
  struct bb_bytes b = { .ptr = *at, .size = size };

  *at += size;
  return b;
}

void
outcome_note (struct outcome *o, struct bb_once_note *n)
{
  const char *at = o->data;

  n->state = BB_ONCE_STATE_DONE;
  n->status = o->status;
  n->cut = o->cut;
  if (o->cut)
    return;
  n->headers_count = o->headers_count;
  for (uint32_t i = 0; i < o->headers_count; i++)
    {
      n->headers[i].name = take (&at, o->headers[i].name.size);
      n->headers[i].value = take (&at, o->headers[i].value.size);
    }
  n->body.ptr = at;
  n->body.size = (uint32_t)(o->size - (size_t)(at - o->data));
}

void
outcome_free (struct outcome *o)
{
  free (o->data);
}
