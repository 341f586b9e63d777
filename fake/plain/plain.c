/* fake-plain - a stand-in for an HTTP service that is not a model engine.

   POST on any path runs an order, identified by its idempotency key, or by its
   body if there is no key.  GET /ran returns how often each order ran.
   GET /stock/large-header returns a header of 20,000 bytes.  GET on any other
   path returns the request and changes nothing.  */

#include "../lib/fake.h"

#include <stdlib.h>
#include <string.h>

enum
{
  DELAY_MS,
  OPTIONS
};

static struct fake_option options[OPTIONS + 1] = {
  [DELAY_MS] = { "delay-ms", "time until the response to an order, in ms", 0 },
};

static json_t *run_counts; /* order key: how often it ran */

/* An order that has run and whose response is delayed.  */
struct order
{
  struct bb_http_request *r; /* NULL once the caller has disconnected */
  char *key;
  json_int_t run_count;
  uv_timer_t timer;
};

static void
on_timer_closed (uv_handle_t *h)
{
  struct order *o = h->data;

  free (o->key);
  free (o);
}

static void
on_delay_over (uv_timer_t *t)
{
  struct order *o = t->data;

  if (o->r)
    {
      o->r->user = NULL;
      fake_respond_json (
          o->r, 201,
          json_pack ("{s:s, s:I}", "order", o->key, "ran", o->run_count));
    }
  uv_close ((uv_handle_t *)t, on_timer_closed);
}

static void
on_request_done (struct bb_http_request *r)
{
  struct order *o = r->user;

  if (o)
    o->r = NULL;
}

static void
run_order (struct bb_http_request *r)
{
  struct order *o = calloc (1, sizeof *o);
  struct bb_bytes key
      = bb_header_find (r->headers, r->headers_count, "idempotency-key");

  if (key.size == 0)
    key = r->body;
  o->r = r;
  o->key = strndup (key.ptr ? key.ptr : "", key.size);
  o->run_count = json_integer_value (json_object_get (run_counts, o->key)) + 1;
  json_object_set_new (run_counts, o->key, json_integer (o->run_count));
  r->user = o;
  r->on_done = on_request_done;
  uv_timer_init (uv_default_loop (), &o->timer);
  o->timer.data = o;
  uv_timer_start (&o->timer, on_delay_over, (uint64_t)options[DELAY_MS].value,
                  0);
}

/* Responds with a header of 20,000 bytes.  */
static void
respond_large_header (struct bb_http_request *r)
{
  static char value[20001];
  struct bb_header h = { .name = bb_bytes_of ("x-large") };

  memset (value, 'x', sizeof value - 1);
  h.value = bb_bytes_of (value);
  bb_http_respond (r, 200, &h, 1, bb_bytes_of ("large"));
}

static void
on_request (struct bb_http_request *r, void *arg)
{
  (void)arg;
  if (bb_bytes_equal (r->method, "POST"))
    run_order (r);
  else if (bb_bytes_equal (r->path, "/stock/large-header"))
    respond_large_header (r);
  else if (bb_bytes_equal (r->path, "/ran"))
    fake_respond_json (r, 200, json_incref (run_counts));
  else
    fake_respond_json (r, 200,
                       json_pack ("{s:s%, s:s%, s:s%}", "method",
                                  r->method.ptr, (size_t)r->method.size,
                                  "path", r->path.ptr, (size_t)r->path.size,
                                  "body", r->body.ptr ? r->body.ptr : "",
                                  (size_t)r->body.size));
}

int
main (int argc, char **argv)
{
  run_counts = json_object ();
  return fake_main (argc, argv, options, on_request, NULL);
}
