/* fake-bare - an HTTP server that gives every request the same response, by a
   handler of h2o on libuv without any other code.  The benchmarks use it as
   the baseline: how many requests a second one core can serve.  */

#include "bilberry/settings.h"

#include <h2o.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <uv.h>

enum
{
  LISTEN_BACKLOG = 1024
};

static h2o_globalconf_t conf;
static h2o_context_t context;
static h2o_accept_ctx_t accept_ctx;

static int
on_request (h2o_handler_t *self, h2o_req_t *req)
{
  static h2o_generator_t generator;
  h2o_iovec_t body = h2o_iovec_init (H2O_STRLIT ("{\"stock\":7}"));

  (void)self;
  req->res.status = 200;
  req->res.reason = "OK";
  req->res.content_length = body.len;
  h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                  H2O_STRLIT ("application/json"));
  h2o_start_response (req, &generator);
  h2o_send (req, &body, 1, H2O_SEND_STATE_FINAL);
  return 0;
}

static void
on_closed (uv_handle_t *h)
{
  free (h);
}

static void
on_connection (uv_stream_t *server, int status)
{
  uv_tcp_t *tcp;

  if (status < 0)
    return;
  tcp = calloc (1, sizeof *tcp);
  uv_tcp_init (server->loop, tcp);
  if (uv_accept (server, (uv_stream_t *)tcp) < 0)
    {
      uv_close ((uv_handle_t *)tcp, on_closed);
      return;
    }
  uv_tcp_nodelay (tcp, 1);
  h2o_accept (&accept_ctx,
              h2o_uv_socket_create ((uv_stream_t *)tcp, on_closed));
}

int
main (int argc, char **argv)
{
  uv_loop_t *loop = uv_default_loop ();
  struct sockaddr_storage addr;
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  uv_tcp_t tcp;

  if (argc != 3 || strcmp (argv[1], "--address") != 0
      || !bb_address_parse (argv[2], &addr))
    {
      fprintf (stderr, "Usage: fake-bare --address ADDRESS:PORT\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  h2o_config_init (&conf);
  host = h2o_config_register_host (
      &conf, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  path = h2o_config_register_path (host, "/", 0);
  h2o_create_handler (path, sizeof (h2o_handler_t))->on_req = on_request;
  h2o_context_init (&context, loop, &conf);
  accept_ctx.ctx = &context;
  accept_ctx.hosts = conf.hosts;
  uv_tcp_init (loop, &tcp);
  if (uv_tcp_bind (&tcp, (const struct sockaddr *)&addr, 0) < 0
      || uv_listen ((uv_stream_t *)&tcp, LISTEN_BACKLOG, on_connection) < 0)
    return 1;
  printf ("ready\n");
  fflush (stdout);
  return uv_run (loop, UV_RUN_DEFAULT);
}
