/* Error responses.  */

#include "entry.h"

#include <stdio.h>
#include <stdlib.h>

/* Formats the problem details (RFC 9457) of V as JSON.  The caller frees the
   text.  */
static char *
print_problem (const struct bb_request_result *v)
{
  json_t *body = json_object ();
  char *text;

  json_object_set_new (body, "type", json_string ("about:blank"));
  json_object_set_new (body, "title",
                       json_string (bb_reason_text (v->reason)));
  json_object_set_new (body, "status",
                       json_integer (bb_reason_status (v->reason)));
  json_object_set_new (body, "reason",
                       json_string (bb_reason_name (v->reason)));
  json_object_set_new (body, "run", json_string (bb_run_word (v->run)));
  if (v->retry_after_ms > 0)
    json_object_set_new (body, "retry_after_ms",
                         json_integer (v->retry_after_ms));
  text = json_dumps (body, JSON_COMPACT | JSON_PRESERVE_ORDER);
  json_decref (body);
  if (!text)
    abort ();
  return text;
}

void
problem_respond (struct bb_http_request *r, const struct bb_request_result *v)
{
  char retry_after[16];
  struct bb_header headers[3]
      = { { bb_bytes_of ("content-type"),
            bb_bytes_of ("application/problem+json") },
          { bb_bytes_of ("bilberry-run"), bb_bytes_of (bb_run_word (v->run)) },
          { bb_bytes_of ("retry-after"), bb_bytes_of (NULL) } };
  uint32_t count = 2;
  char *text = print_problem (v);

  bb_count_refusal (v->reason);
  if (v->retry_after_ms > 0)
    {
      snprintf (retry_after, sizeof retry_after, "%u",
                (v->retry_after_ms + 999) / 1000);
      headers[count++].value = bb_bytes_of (retry_after);
    }
  bb_http_respond (r, bb_reason_status (v->reason), headers, count,
                   bb_bytes_of (text));
  free (text);
}

char *
problem_for_status (uint16_t status, void *arg)
{
  struct bb_request_result v
      = { .run = BB_RUN_NOT_RUN, .reason = BB_REASON_BAD_REQUEST };

  (void)arg;
  if (status == bb_reason_status (BB_REASON_BODY_TOO_LARGE))
    v.reason = BB_REASON_BODY_TOO_LARGE;
  else if (status == bb_reason_status (BB_REASON_SLOW_CLIENT))
    v.reason = BB_REASON_SLOW_CLIENT;
  bb_count_refusal (v.reason);
  return print_problem (&v);
}

void
problem_end_stream (struct bb_http_request *r,
                    const struct bb_request_result *v)
{
  char *text = print_problem (v);

  bb_count_refusal (v->reason);
  bb_http_write (r, bb_bytes_of ("event: error\ndata: "));
  bb_http_write (r, bb_bytes_of (text));
  bb_http_write (r, bb_bytes_of ("\n\n"));
  bb_http_end (r);
  free (text);
}
