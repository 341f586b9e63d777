/* The server for the platform's readiness checks and for metrics.  */

#include "edge.h"

#include "bilberry/settings.h"

#include <string.h>

enum
{
  HEAD_MAX_BYTES = 8192,
  HEAD_TIMEOUT_MS = 2000,
  IDLE_TIMEOUT_MS = 10000,
  CHANNELS_MAX = 64
};

bool
status_is_ready (const struct edge *e)
{
  return !e->draining && e->config && e->target_list->len > 0;
}

static void
on_request (struct bb_h1_exchange *x, void *arg)
{
  struct edge *e = arg;

  if (bb_metrics_respond (x))
    return;
  if (!bb_bytes_equal (x->request.target, bb_ready_target))
    {
      bb_h1_respond (x, 404, NULL, 0, bb_bytes_of ("no such page\n"));
      return;
    }
  if (status_is_ready (e))
    bb_h1_respond (x, 200, NULL, 0, bb_bytes_of ("ready\n"));
  else
    bb_h1_respond (x, 503, NULL, 0, bb_bytes_of ("not ready\n"));
}

static void
on_fault (uint16_t status, void *arg)
{
  (void)arg;
  bb_log_event ("unreadable_question", "{s:i}", "status", (int)status);
}

struct bb_h1_server *
status_listen (struct edge *e, const char *address,
               const struct bb_h1_limits *limits, bb_h1_handler *handler,
               bb_h1_error_handler *fault)
{
  struct bb_h1_server *s = NULL;
  struct sockaddr_storage addr;
  int error = UV_EINVAL;

  if (bb_address_parse (address, &addr))
    s = bb_h1_server_open (e->loop, &addr, limits, handler, fault, e, &error);
  if (!s)
    bb_log_event ("cannot_listen", "{s:s, s:s}", "address", address, "why",
                  uv_strerror (error));
  return s;
}

bool
status_start (struct edge *e)
{
  struct bb_h1_limits limits = { .head_max_bytes = HEAD_MAX_BYTES,
                                 .body_max_bytes = 0,
                                 .read_timeout_ms = HEAD_TIMEOUT_MS,
                                 .idle_timeout_ms = IDLE_TIMEOUT_MS,
                                 .connections_max = CHANNELS_MAX };

  e->ready_server = status_listen (e, e->settings->ready_address, &limits,
                                   on_request, on_fault);
  return e->ready_server != NULL;
}
