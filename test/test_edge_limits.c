/* Tests of bilberry-edge with real processes: how often, how long and for whom
   replicas are made to work.  */

#include "harness/recorder.h"

#include "bilberry/base.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ATTEMPTS_MAX = 3, /* of the route of checks */
  REQUESTS = 12,
  TIMEOUT_MS = 60000,
  /* A retry sent over DEADLINE_SLACK_MS after the first may end that much
     after the caller's deadline.  */
  DEADLINE_SLACK_MS = 500,
  CALLER_DEADLINE_MS = 1500,
  PAUSE_MS = 400,           /* of fake-recorder with the fault "pause" */
  LEFT_MAX_MS = 500,        /* until no replica works for a caller that left */
  STREAM_TIMEOUT_MS = 3000, /* of the route of streams */
  ANSWER_SLACK_MS = 500,    /* after a route's timeout */
  STREAM_EVENTS = 5,
  ROUTES = 200
};

/* All replicas fail: a request runs at no more of them than its route says. */
static void
test_attempts (void)
{
  struct testbed t;

  testbed_init (&t);
  for (uint32_t i = 0; i < 2 * ATTEMPTS_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      recorder_start (&t, id, "app", "pause");
    }
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("c%u", i);
      struct http_response a
          = testbed_request (&t, 0, "GET", "/check/1", id, "key-1");
      g_assert_cmpint (a.status, >=, 500);
      http_response_free (&a);
      g_assert_cmpuint (testbed_count_runs (&t, id), <=, ATTEMPTS_MAX);
    }
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/limits/attempts", test_attempts);
  return g_test_run ();
}
