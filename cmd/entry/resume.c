/* Resumption of a streamed response at another upstream.  */

#include "entry.h"

bool
resume_possible (const struct request *q, const struct link *l)
{
  return q->idempotent && !q->stream.broken && l->resume != BB_RESUME_NONE;
}

char *
resume_body (const struct request *q)
{
  struct bb_bytes b = q->http->body;
  json_t *json = json_loadb (b.ptr, b.size, 0, NULL);
  char *text;

  if (!json_is_object (json))
    {
      json_decref (json);
      return NULL;
    }
  json_object_set_new (json, "resume_tokens",
                       json_integer (q->stream.tokens_sent));
  text = json_dumps (json, JSON_COMPACT | JSON_PRESERVE_ORDER);
  json_decref (json);
  return text;
}
