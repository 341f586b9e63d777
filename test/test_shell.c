/* Tests of the programs as an operator uses them: example settings, usage,
   logs, bilberry stat, metrics and /status.  */

#include "harness/fleet.h"

#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

/* Runs PROGRAM of the build folder with arguments A and B, NULL for none.
   Returns its exit status; sets *OUT and *ERR to its output, which the caller
   frees.  */
static int
run_program (const char *program, const char *a, const char *b, char **out,
             char **err)
{
  char *path = g_build_filename (harness_build_dir (), program, NULL);
  char *argv[] = { path, (char *)a, (char *)b, NULL };
  int status = 0;

  g_assert_true (g_spawn_sync (NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                               out, err, &status, NULL));
  g_free (path);
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128;
}

static void
test_examples (void)
{
  static const char *const folders[] = { "examples/qila", "examples/maison" };

  for (size_t i = 0; i < G_N_ELEMENTS (folders); i++)
    {
      char *out = NULL;
      char *err = NULL;
      g_assert_cmpint (
          run_program ("bilberry", "check", folders[i], &out, &err), ==, 0);
      g_free (out);
      g_free (err);
      g_assert_cmpint (
          run_program ("bilberry", "show", folders[i], &out, &err), ==, 0);
      g_assert_nonnull (strstr (out, "draft-12:"));
      g_free (out);
      g_free (err);
    }
}

static void
test_usage (void)
{
  static const char *const programs[]
      = { "bilberry", "bilberry-entry", "bilberry-agent" };

  for (size_t i = 0; i < G_N_ELEMENTS (programs); i++)
    {
      char *out = NULL;
      char *err = NULL;
      g_assert_cmpint (run_program (programs[i], "--help", NULL, &out, &err),
                       ==, 0);
      g_assert_nonnull (strstr (out, "Usage"));
      g_free (out);
      g_free (err);
      g_assert_cmpint (
          run_program (programs[i], "--version", NULL, &out, &err), ==, 0);
      g_assert_nonnull (strstr (out, programs[i]));
      g_free (out);
      g_free (err);
      g_assert_cmpint (
          run_program (programs[i], "--no-such", NULL, &out, &err), ==, 2);
      g_assert_nonnull (strstr (err, "Usage"));
      g_free (out);
      g_free (err);
    }
}

/* Checks that each line of TEXT is a JSON object with the fields of a log
   line, and that there is one.  */
static void
check_json_lines (const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);
  guint count = 0;

  for (guint i = 0; lines[i] && *lines[i]; i++, count++)
    {
      json_t *line = json_loads (lines[i], 0, NULL);
      g_assert_true (json_is_string (json_object_get (line, "time")));
      g_assert_true (json_is_string (json_object_get (line, "level")));
      g_assert_cmpstr (json_string_value (json_object_get (line, "part")), ==,
                       "entry");
      g_assert_true (json_is_string (json_object_get (line, "text")));
      json_decref (line);
    }
  g_assert_cmpuint (count, >, 0);
  g_strfreev (lines);
}

static char *
read_log (const struct fleet *f, const char *name)
{
  char *path
      = g_strdup_printf ("%s/../%s.log", harness_config_dir (f->h), name);
  char *text = NULL;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  g_free (path);
  return text;
}

/* Sends requests that carry secrets in headers and bodies: with a known and an
   unknown key, and one after an upstream was killed.  */
static void
send_secret_requests (struct fleet *f)
{
  static const char *const headers[]
      = { "Authorization: Bearer key-1\r\n",
          "Authorization: Bearer secret-unknown\r\n" };
  uint16_t port = f->entries[0].port;
  struct http_response a;

  for (size_t i = 0; i < G_N_ELEMENTS (headers); i++)
    {
      a = harness_http (port, "POST", "/orders", headers[i], "secret-body");
      http_response_free (&a);
      a = harness_http (port, "POST", "/v1/completions", headers[i],
                        "{\"secret-body\":");
      http_response_free (&a);
    }
  harness_signal (f->h, f->upstreams[1].upstream_pid, SIGKILL);
  harness_wait (f->h, f->upstreams[1].upstream_pid);
  a = harness_http (port, "POST", "/orders", fleet_auth_header, "secret-body");
  http_response_free (&a);
}

/* Logs contain neither keys nor bodies, whether requests succeed, are refused
   or fail.  */
static void
test_logs (void)
{
  static const char *const secrets[]
      = { "key-1", "secret-unknown", "secret-body" };
  const char *logs[] = { "json", "agent-draft-1", "agent-order-1" };
  struct fleet f;

  fleet_init (&f, harness_build_dir (), 1, 1, 1);
  for (uint32_t i = 0; i < f.upstreams_count; i++)
    {
      fleet_start_upstream (&f, &f.upstreams[i]);
      fleet_start_agent (&f, &f.upstreams[i]);
    }
  f.entries[0].pid = harness_start (f.h, "json", "bilberry-entry", "--config",
                                    harness_config_dir (f.h), "--name",
                                    f.entries[0].name, "--log-format", "json",
                                    "--log-level", "debug", (char *)NULL);
  while (harness_await (f.entries[0].operator_port, "/status",
                        "\"connected\": false", 20))
    ;
  send_secret_requests (&f);
  harness_signal (f.h, f.entries[0].pid, SIGTERM);
  g_assert_cmpint (harness_wait (f.h, f.entries[0].pid), ==, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (logs); i++)
    {
      char *text = read_log (&f, logs[i]);
      for (size_t j = 0; j < G_N_ELEMENTS (secrets); j++)
        g_assert_null (strstr (text, secrets[j]));
      if (i == 0)
        check_json_lines (text);
      g_free (text);
    }
  fleet_free (&f);
}

static void
test_stat (void)
{
  struct fleet f;
  char address[32];
  char *out = NULL;
  char *err = NULL;

  fleet_init (&f, harness_build_dir (), 1, 1, 1);
  fleet_start (&f);
  g_snprintf (address, sizeof address, "127.0.0.1:%u",
              f.entries[0].operator_port);
  g_assert_cmpint (run_program ("bilberry", "stat", address, &out, &err), ==,
                   0);
  g_assert_nonnull (strstr (out, "program: bilberry-entry\n"));
  g_assert_nonnull (strstr (out, "revision: 1\n"));
  g_assert_nonnull (strstr (out, "  name=draft-1 "));
  g_free (out);
  g_free (err);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", harness_port (f.h));
  g_assert_cmpint (run_program ("bilberry", "stat", address, &out, &err), ==,
                   1);
  g_assert_nonnull (strstr (err, "no status from"));
  g_free (out);
  g_free (err);
  g_assert_cmpint (run_program ("bilberry", "stat", "nowhere", &out, &err), ==,
                   1);
  g_assert_nonnull (strstr (err, "bad address"));
  g_free (out);
  g_free (err);
  fleet_free (&f);
}

static void
test_metrics (void)
{
  struct fleet f;
  struct http_response a;
  uint16_t port;

  fleet_init (&f, harness_build_dir (), 1, 1, 1);
  fleet_start (&f);
  port = f.entries[0].operator_port;
  a = harness_http (f.entries[0].port, "POST", "/v1/completions",
                    fleet_auth_header,
                    "{\"stream\":true,\"prompt\":\"a\",\"max_tokens\":3}");
  http_response_free (&a);
  a = harness_http (f.entries[0].port, "POST", "/orders", fleet_auth_header,
                    "a");
  http_response_free (&a);
  a = harness_http (f.entries[0].port, "GET", "/stock/1", fleet_auth_header,
                    "");
  http_response_free (&a);
  a = harness_http (port, "GET", "/metrics", "", "");
  g_assert_nonnull (
      strstr (a.body, "# TYPE bilberry_first_byte_ms histogram\n"));
  g_assert_nonnull (strstr (a.body, "# TYPE bilberry_answer_ms histogram\n"));
  g_assert_nonnull (strstr (
      a.body, "bilberry_answer_ms_bucket{class=\"stream\",le=\"+Inf\"} 1\n"));
  g_assert_nonnull (strstr (
      a.body, "bilberry_first_byte_ms_count{class=\"at_most_once\"} 1\n"));
  g_assert_nonnull (
      strstr (a.body, "bilberry_answers_total{class=\"idempotent\"} 1\n"));
  http_response_free (&a);
  a = harness_http (port, "GET", "/status", "", "");
  g_assert_nonnull (strstr (a.body, "\"name\": \"fd-c\""));
  g_assert_nonnull (strstr (a.body, "\"state\": \"in\""));
  g_assert_nonnull (strstr (a.body, "\"limit\": "));
  g_assert_nonnull (strstr (a.body, "\"revision\": 1"));
  http_response_free (&a);
  fleet_free (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/shell/examples", test_examples);
  g_test_add_func ("/shell/usage", test_usage);
  g_test_add_func ("/shell/logs", test_logs);
  g_test_add_func ("/shell/stat", test_stat);
  g_test_add_func ("/shell/metrics", test_metrics);
  return g_test_run ();
}
