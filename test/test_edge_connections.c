/* Tests of callers' connections at bilberry-edge, with real processes.  */

#include "harness/testbed.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  CONNECTIONS_MAX = 300, /* 60 in 100 of the descriptors of the testbed */
  WAIT_MS = 5000
};

static const char request[]
    = "GET /check/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: a1\r\n"
      "X-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n\r\n";

/* Writes a configuration by which the head of a request may take long.  */
static void
put_patient_config (struct testbed *t)
{
  g_autofree char *text = testbed_config (2, "", "");
  g_auto (GStrv) parts = g_strsplit (text, "\"header-timeout-ms\":500", -1);
  g_autofree char *patient = g_strjoinv ("\"header-timeout-ms\":60000", parts);

  testbed_put_item (t, "op/config", patient);
}

/* Returns a connection with the first part of a request.  */
static int
connect_partly (const struct testbed *t)
{
  int fd = harness_connect (t->edges[0].front_port);

  g_assert_cmpint (fd, >=, 0);
  g_assert_cmpint ((int)send (fd, request, 10, MSG_NOSIGNAL), ==, 10);
  return fd;
}

/* A caller whose connection is one more than the limit, while all others carry
   requests, is refused with a time to come back, not cut off.  */
static void
test_over_limit (void)
{
  struct testbed t;
  int fds[CONNECTIONS_MAX];
  char *got;

  testbed_init (&t);
  put_patient_config (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    fds[i] = connect_partly (&t);
  got = harness_send_raw (t.edges[0].front_port, request, strlen (request),
                          WAIT_MS);
  g_assert_true (g_str_has_prefix (got, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (got, "\r\nRetry-After: "));
  g_assert_nonnull (strstr (got, "\r\nConnection: close"));
  free (got);
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    close (fds[i]);
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-connections/over-limit", test_over_limit);
  return g_test_run ();
}
