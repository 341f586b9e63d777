#include "relay.h"

#include "harness.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PAIRS_MAX = 256,
  POLL_MS = 5,
  LISTEN_BACKLOG = 128
};

enum mode
{
  MODE_FORWARD,
  MODE_HOLD,      /* keeps connections, forwards nothing */
  MODE_DISCONNECT /* closes connections */
};

/* The sockets of one relayed connection: to the client and to the target.  */
struct pair
{
  int fds[2];
};

struct relay
{
  pthread_t thread;
  atomic_int mode;
  atomic_int applied_mode; /* the mode that the thread has adopted */
  atomic_bool stopping;
  int listener;
  uint16_t target_port;
  struct pair pairs[PAIRS_MAX];
  uint32_t pairs_count;
};

static void
close_pair (struct relay *r, uint32_t i)
{
  close (r->pairs[i].fds[0]);
  close (r->pairs[i].fds[1]);
  r->pairs[i] = r->pairs[--r->pairs_count];
}

static void
accept_pair (struct relay *r)
{
  int client = accept (r->listener, NULL, NULL);
  int target = -1;

  if (client < 0)
    return;
  if (atomic_load (&r->mode) != MODE_DISCONNECT && r->pairs_count < PAIRS_MAX)
    target = harness_connect (r->target_port);
  if (target < 0)
    {
      close (client);
      return;
    }
  r->pairs[r->pairs_count].fds[0] = client;
  r->pairs[r->pairs_count++].fds[1] = target;
}

/* Forwards the bytes available at FROM.  Returns false when either socket is
   closed.  */
static bool
forward (int from, int to)
{
  char buf[65536];
  ssize_t n = recv (from, buf, sizeof buf, MSG_DONTWAIT);
  ssize_t sent = 0;

  /* What was reset on one side must not end in order on the other.  */
  if (n < 0)
    harness_reset_at_close (to);
  if (n <= 0)
    return false;
  while (sent < n)
    {
      ssize_t k = send (to, buf + sent, (size_t)(n - sent), MSG_NOSIGNAL);
      if (k <= 0)
        {
          harness_reset_at_close (from);
          return false;
        }
      sent += k;
    }
  return true;
}

static void
forward_pairs (struct relay *r, const struct pollfd *polled)
{
  for (uint32_t i = r->pairs_count; i-- > 0;)
    for (uint32_t side = 0; side < 2; side++)
      {
        if (polled[1 + 2 * i + side].revents == 0)
          continue;
        if (forward (r->pairs[i].fds[side], r->pairs[i].fds[1 - side]))
          continue;
        close_pair (r, i);
        break;
      }
}

static void
relay_poll (struct relay *r)
{
  struct pollfd polled[1 + 2 * PAIRS_MAX];
  int mode = atomic_load (&r->mode);
  uint32_t count = 1;

  while (mode == MODE_DISCONNECT && r->pairs_count > 0)
    close_pair (r, 0);
  atomic_store (&r->applied_mode, mode);
  polled[0].fd = r->listener;
  polled[0].events = POLLIN;
  for (uint32_t i = 0; mode == MODE_FORWARD && i < r->pairs_count; i++)
    for (uint32_t side = 0; side < 2; side++)
      {
        polled[count].fd = r->pairs[i].fds[side];
        polled[count++].events = POLLIN;
      }
  if (poll (polled, count, POLL_MS) <= 0)
    return;
  if (count > 1)
    forward_pairs (r, polled);
  if (polled[0].revents)
    accept_pair (r);
}

static void *
relay_run (void *arg)
{
  struct relay *r = arg;

  while (!atomic_load (&r->stopping))
    relay_poll (r);
  return NULL;
}

struct relay *
relay_start (uint16_t listen_port, uint16_t target_port)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons (listen_port) };
  struct relay *r = calloc (1, sizeof *r);
  int on = 1;

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  r->target_port = target_port;
  r->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (r->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (r->listener, (struct sockaddr *)&addr, sizeof addr) < 0
      || listen (r->listener, LISTEN_BACKLOG) < 0
      || pthread_create (&r->thread, NULL, relay_run, r) != 0)
    abort ();
  return r;
}

void
relay_stop (struct relay *r)
{
  atomic_store (&r->stopping, true);
  pthread_join (r->thread, NULL);
  while (r->pairs_count > 0)
    close_pair (r, 0);
  close (r->listener);
  free (r);
}

/* Sets the mode and waits until the thread has adopted it.  */
static void
set_mode (struct relay *r, int mode)
{
  atomic_store (&r->mode, mode);
  while (atomic_load (&r->applied_mode) != mode)
    harness_sleep_ms (1);
}

void
relay_disconnect (struct relay *r)
{
  set_mode (r, MODE_DISCONNECT);
}

void
relay_hold (struct relay *r)
{
  set_mode (r, MODE_HOLD);
}

void
relay_resume (struct relay *r)
{
  set_mode (r, MODE_FORWARD);
}
