/* Serves the metrics of a process by HTTP.  */

#include "bilberry/start.h"

#include "bilberry/settings.h"

#include <stdlib.h>

enum
{
  HEAD_MAX_BYTES = 8192,
  HEAD_TIMEOUT_MS = 2000,
  IDLE_TIMEOUT_MS = 10000,
  CONNECTIONS_MAX = 16
};

bool
bb_metrics_respond (struct bb_h1_exchange *x)
{
  char *text;

  if (!bb_bytes_equal (x->request.target, "/metrics"))
    return false;
  text = bb_metrics_format ();
  bb_h1_respond (x, 200, NULL, 0, bb_bytes_of (text));
  free (text);
  return true;
}

static void
on_request (struct bb_h1_exchange *x, void *arg)
{
  (void)arg;
  if (!bb_metrics_respond (x))
    bb_h1_respond (x, 404, NULL, 0, bb_bytes_of ("no such page\n"));
}

static void
on_fault (uint16_t status, void *arg)
{
  (void)arg;
  bb_log_event ("unreadable_question", "{s:i}", "status", (int)status);
}

bool
bb_metrics_listen (uv_loop_t *loop, const struct bb_process_settings *s)
{
  struct bb_h1_limits limits = { .head_max_bytes = HEAD_MAX_BYTES,
                                 .read_timeout_ms = HEAD_TIMEOUT_MS,
                                 .idle_timeout_ms = IDLE_TIMEOUT_MS,
                                 .connections_max = CONNECTIONS_MAX };
  struct sockaddr_storage addr;
  char *address;
  int error = UV_EINVAL;
  bool listening;

  if (s->metrics_port == 0)
    return true;
  address = g_strdup_printf ("%s:%u", s->ip, (unsigned)s->metrics_port);
  listening = bb_address_parse (address, &addr)
              && bb_h1_server_open (loop, &addr, &limits, on_request, on_fault,
                                    NULL, &error);
  if (!listening)
    bb_log_event ("cannot_listen", "{s:s, s:s}", "address", address, "why",
                  uv_strerror (error));
  g_free (address);
  return listening;
}
