#ifndef H1_SERVER_FIXTURE_H
#define H1_SERVER_FIXTURE_H

/* The HTTP server of libh1 in the process of a test, whose loop runs only
   where the test says so.  */

#include "harness.h"

#include "bilberry/h1.h"

#include <glib.h>

enum
{
  IDLE_TIMEOUT_MS = 300,
  READ_TIMEOUT_MS = 600000,
  SHORT_READ_TIMEOUT_MS = 300,
  WAIT_MS = 60000,                /* longest wait for what must come */
  LARGE_BYTES = 16 * 1024 * 1024, /* more than the sockets hold */
  BODY_MAX_BYTES = 512 * 1024,
  CONNECTIONS_MAX = 8
};

struct h1_fixture
{
  struct harness *harness;
  uv_loop_t loop;
  struct bb_h1_server *server;
  struct bb_h1_limits limits;
  uint16_t port;
  bool holds; /* requests get no response from the handler */
  struct bb_h1_exchange *held[CONNECTIONS_MAX * 2];
  uint32_t held_count;
};

/* Opens the server, which responds "served" unless F holds requests.  */
void h1_fixture_init (struct h1_fixture *f);
void h1_fixture_free (struct h1_fixture *f);
/* Runs the loop for MS.  */
void h1_fixture_run (struct h1_fixture *f, int ms);
/* Lets MS pass in which the loop does not run.  */
void h1_fixture_stall (int ms);
void h1_fixture_send (int fd, const char *text);
void h1_fixture_ask (int fd);
/* Runs the loop until the server has sent TEXT on FD.  Returns whether it has,
   before the connection ended.  GOT has what was received so far.  */
bool h1_fixture_await (struct h1_fixture *f, int fd, GString *got,
                       const char *text);

#endif
