/* Fuzz target: responses of upstreams to the HTTP client, over real
   connections.  The first byte says whether the upstream ends its connections
   by a reset, and the second where the input is divided: what is before is
   sent in response to a first call, what is after to a second one, which is
   sent on the kept connection where the client keeps it.  */

#include "bilberry/h1.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The name is fixed by libFuzzer.
   NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  IDLE_MAX_MS = 1000
};

struct played
{
  bool head_seen;
  bool framed;
  size_t body_bytes;
  uint32_t ends;
  enum bb_h1_result result;
};

static uv_loop_t loop;
static int listener = -1;
static struct sockaddr_storage address;

static void
check (bool holds)
{
  if (!holds)
    abort ();
}

static void
on_head (struct bb_h1_call *c, const struct bb_h1_message *head, void *user)
{
  struct played *p = user;

  (void)c;
  check (!p->head_seen && p->ends == 0 && head->status >= 200);
  p->head_seen = true;
  p->framed = head->framed;
}

static void
on_data (struct bb_h1_call *c, struct bb_bytes data, void *user)
{
  struct played *p = user;

  (void)c;
  check (p->head_seen && p->ends == 0);
  p->body_bytes += data.size;
}

static void
on_end (struct bb_h1_call *c, enum bb_h1_result result, void *user)
{
  struct played *p = user;

  (void)c;
  p->ends++;
  p->result = result;
}

static const struct bb_h1_call_ops ops = { on_head, on_data, on_end };

static void
start_listening (void)
{
  struct sockaddr_in *in = (struct sockaddr_in *)&address;
  socklen_t size = sizeof *in;

  uv_loop_init (&loop);
  in->sin_family = AF_INET;
  in->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  check (bind (listener, (struct sockaddr *)in, sizeof *in) == 0
         && listen (listener, 8) == 0
         && getsockname (listener, (struct sockaddr *)in, &size) == 0);
}

/* Runs the loop until a request has arrived on *FD, which is accepted where it
   is -1.  */
static void
await_request (int *fd)
{
  char buf[512];

  if (*fd < 0)
    *fd = accept (listener, NULL, NULL);
  check (*fd >= 0);
  while (recv (*fd, buf, sizeof buf, MSG_DONTWAIT) <= 0)
    uv_run (&loop, UV_RUN_NOWAIT);
}

static void
end_connection (int fd, bool by_reset)
{
  struct linger linger = { 1, 0 };

  if (by_reset)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* Sends the SIZE bytes at DATA in response to a call.  LAST says that nothing
   follows.  */
static void
play (struct bb_h1_pool *pool, int *fd, const uint8_t *data, size_t size,
      bool last, bool by_reset)
{
  struct played p = { 0 };
  struct bb_h1_request request = { .method = bb_bytes_of ("GET"),
                                   .target = bb_bytes_of ("/"),
                                   .host = bb_bytes_of ("a"),
                                   .idle_max_ms = IDLE_MAX_MS };

  bb_h1_call (pool, &request, &ops, &p);
  await_request (fd);
  check (send (*fd, data, size, MSG_NOSIGNAL) == (ssize_t)size);
  /* The reset would overtake what was sent.  */
  for (int i = 0; i < 8 && p.ends == 0; i++)
    uv_run (&loop, UV_RUN_NOWAIT);
  if (last || p.ends == 0 || p.result != BB_H1_WHOLE)
    {
      end_connection (*fd, by_reset);
      *fd = -1;
    }
  while (p.ends == 0)
    uv_run (&loop, UV_RUN_ONCE);
  check (p.ends == 1 && p.body_bytes <= size);
  check (p.result != BB_H1_UNSENT);
  check (p.result != BB_H1_WHOLE || p.head_seen);
  check (p.result != BB_H1_CUT || p.head_seen);
  /* Only an orderly close ends a body that has no other end.  */
  check (p.result != BB_H1_WHOLE || p.framed || !by_reset);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bb_h1_pool *pool;
  bool by_reset;
  size_t first;
  int fd = -1;
  char byte;

  if (listener < 0)
    start_listening ();
  if (size < 2)
    return 0;
  by_reset = data[0] & 1;
  first = data[1] < size - 2 ? data[1] : size - 2;
  data += 2;
  size -= 2;
  pool = bb_h1_pool_new (&loop, &address, CONNECT_TIMEOUT_MS);
  play (pool, &fd, data, first, false, by_reset);
  /* The client may have closed the connection.  */
  errno = 0;
  if (fd >= 0 && recv (fd, &byte, 1, MSG_DONTWAIT) <= 0 && errno != EAGAIN)
    {
      close (fd);
      fd = -1;
    }
  play (pool, &fd, data + first, size - first, true, by_reset);
  bb_h1_pool_free (pool);
  uv_run (&loop, UV_RUN_DEFAULT);
  return 0;
}
