/* fake-link - relays TCP connections on loopback at the speed of slow links.

   Usage: fake-link --rate BYTES --routes FILE

   Each line of FILE is a route, IP PORT TARGET FROM TO: it listens on IP:PORT
   and connects to port TARGET of 127.0.0.1, or to TARGET where that is
   IP:PORT. FROM is the number of the VM that connects and TO that of the VM
   that accepts, from 1 to VMS_MAX - 1; all routes that name a VM share its
   link, which carries BYTES a second in each direction.  0 is a VM with an
   unlimited link.  Where FROM is "edge", the name edge-N in the first bytes of
   a connection tells VM N + 1; where it is "rank", the address 127.1.0.N there
   tells VM N.  */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bilberry/base.h"

enum
{
  VMS_MAX = 160,
  ROUTES_MAX = 2048,
  PIPES_MAX = 4096,
  CHUNK_BYTES = 4096,
  TICK_MS = 5,
  WINDOW_BYTES = 65536, /* receive buffer, so that senders feel the link */
  LISTEN_BACKLOG = 64
};

struct link_vm
{
  int64_t out_bytes; /* that it may send now */
  int64_t in_bytes;  /* that it may receive now */
};

/* A name that tells a VM: TEXT and a number, to which FIRST is added.  */
struct name
{
  const char *from; /* as FROM of a route */
  const char *text;
  uint32_t first;
};

static const struct name names[]
    = { { "edge", "edge-", 1 }, { "rank", "127.1.0.", 0 } };

struct route
{
  int listener;
  struct sockaddr_in target;
  const struct name *name; /* by which the first bytes tell FROM; NULL: none */
  uint32_t from;
  uint32_t to;
};

/* One direction of a connection.  */
struct pipe
{
  int source; /* -1: not in use */
  int sink;
  struct link_vm *sender;
  struct link_vm *receiver;
  char data[CHUNK_BYTES]; /* read and not written yet */
  size_t size;
  bool ended;              /* the source has no more data */
  const struct name *name; /* by which the next bytes tell the sender; NULL:
                              they do not */
};

static struct link_vm vms[VMS_MAX];
static struct route routes[ROUTES_MAX];
static uint32_t routes_count;
static struct pipe pipes[PIPES_MAX]; /* two for each connection, in a row */

static struct sockaddr_in
loopback (uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (port),
                           .sin_addr = { htonl (INADDR_LOOPBACK) } };

  return a;
}

static int
new_socket (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int window = WINDOW_BYTES;
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

/* Parses TEXT, a port of 127.0.0.1 or IP:PORT.  */
static bool
parse_target (char *text, struct sockaddr_in *target)
{
  char *colon = strchr (text, ':');

  *target = loopback ((uint16_t)strtoul (colon ? colon + 1 : text, NULL, 10));
  if (!colon)
    return true;
  *colon = '\0';
  return inet_pton (AF_INET, text, &target->sin_addr) == 1;
}

static const struct name *
find_name (const char *from)
{
  for (uint32_t i = 0; i < sizeof names / sizeof *names; i++)
    if (strcmp (from, names[i].from) == 0)
      return &names[i];
  return NULL;
}

static bool
add_route (const char *text)
{
  char ip[16];
  char from[8];
  char target[24];
  unsigned port;
  unsigned to;
  struct sockaddr_in a;
  struct route *r = &routes[routes_count];

  if (routes_count == ROUTES_MAX
      || sscanf (text, "%15s %u %23s %7s %u", /* NOLINT(cert-err34-c) */
                 ip, &port, target, from, &to)
             != 5
      || to >= VMS_MAX || !parse_target (target, &r->target))
    return false;
  r->listener = new_socket ();
  r->name = find_name (from);
  r->from = r->name ? 0 : (uint32_t)strtoul (from, NULL, 10) % VMS_MAX;
  r->to = to;
  a = loopback ((uint16_t)port);
  if (inet_pton (AF_INET, ip, &a.sin_addr) != 1)
    return false;
  fcntl (r->listener, F_SETFL, O_NONBLOCK);
  routes_count++;
  return bind (r->listener, (struct sockaddr *)&a, sizeof a) == 0
         && listen (r->listener, LISTEN_BACKLOG) == 0;
}

static bool
read_routes (const char *path)
{
  char line[64];
  FILE *in = fopen (path, "r");
  bool valid = in != NULL;

  while (valid && fgets (line, sizeof line, in))
    valid = add_route (line);
  if (in)
    fclose (in);
  return valid;
}

static struct pipe *
find_free_pair (void)
{
  for (uint32_t i = 0; i + 1 < PIPES_MAX; i += 2)
    if (pipes[i].source < 0 && pipes[i + 1].source < 0)
      return &pipes[i];
  return NULL;
}

static void
pipe_start (struct pipe *p, int source, int sink, uint32_t from, uint32_t to)
{
  p->source = source;
  p->sink = sink;
  p->sender = &vms[from];
  p->receiver = &vms[to];
  p->size = 0;
  p->ended = false;
  p->name = NULL;
}

static void
accept_all (const struct route *r)
{
  int fd;

  while ((fd = accept (r->listener, NULL, NULL)) >= 0)
    {
      struct pipe *pair = find_free_pair ();
      int out = new_socket ();
      if (!pair
          || connect (out, (const struct sockaddr *)&r->target,
                      sizeof r->target)
                 < 0)
        {
          close (out);
          close (fd);
          continue;
        }
      fcntl (fd, F_SETFL, O_NONBLOCK);
      fcntl (out, F_SETFL, O_NONBLOCK);
      pipe_start (&pair[0], fd, out, r->from, r->to);
      pipe_start (&pair[1], out, fd, r->to, r->from);
      pair[0].name = r->name;
    }
}

/* Closes both directions of the connection that pipe I belongs to.  */
static void
close_connection (uint32_t i)
{
  struct pipe *pair = &pipes[i & ~1U];

  close (pair[0].source);
  close (pair[1].source);
  pair[0].source = -1;
  pair[1].source = -1;
}

static bool
has_room (const struct link_vm *sender, const struct link_vm *receiver)
{
  return (sender == &vms[0] || sender->out_bytes > 0)
         && (receiver == &vms[0] || receiver->in_bytes > 0);
}

/* Sets the VM that opened the connection of pipe I by its first bytes.  */
static void
identify (uint32_t i)
{
  struct pipe *p = &pipes[i];
  const struct name *n = p->name;
  const char *at = memmem (p->data, p->size, n->text, strlen (n->text));
  char digits[4] = "";

  p->name = NULL;
  if (!at)
    return;
  at += strlen (n->text);
  for (uint32_t k = 0;
       k < 3 && at + k < p->data + p->size && at[k] >= '0' && at[k] <= '9';
       k++)
    digits[k] = at[k];
  p->sender = &vms[(strtoul (digits, NULL, 10) + n->first) % VMS_MAX];
  pipes[i ^ 1U].receiver = p->sender;
}

/* Moves up to CHUNK_BYTES through pipe I.  Returns whether any were moved.  */
static bool
move (uint32_t i)
{
  struct pipe *p = &pipes[i];
  ssize_t n;

  if (p->source < 0 || !has_room (p->sender, p->receiver))
    return false;
  if (p->size == 0 && !p->ended)
    {
      n = recv (p->source, p->data, CHUNK_BYTES, 0);
      if (n == 0)
        {
          p->ended = true;
          shutdown (p->sink, SHUT_WR);
        }
      if (n < 0 && errno != EAGAIN)
        close_connection (i);
      if (n <= 0)
        return false;
      p->size = (size_t)n;
      if (p->name)
        identify (i);
      p->sender->out_bytes -= n;
      p->receiver->in_bytes -= n;
    }
  if (p->size == 0)
    {
      if (pipes[i ^ 1U].ended)
        close_connection (i);
      return false;
    }
  n = send (p->sink, p->data, p->size, MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN)
    close_connection (i);
  if (n <= 0)
    return false;
  memmove (p->data, p->data + n, p->size - (size_t)n);
  p->size -= (size_t)n;
  return true;
}

/* Gives each link what it may carry in ELAPSED_MS; an unused share is lost
   after a tick.  */
static void
refill (int64_t rate, bb_ms elapsed_ms)
{
  int64_t share = rate * elapsed_ms / 1000;

  for (uint32_t v = 1; v < VMS_MAX; v++)
    {
      vms[v].out_bytes = (vms[v].out_bytes < 0 ? vms[v].out_bytes : 0) + share;
      vms[v].in_bytes = (vms[v].in_bytes < 0 ? vms[v].in_bytes : 0) + share;
    }
}

static void
run (int64_t rate)
{
  bb_ms last_ms = bb_clock_now ();
  uint32_t first = 0;

  for (;;)
    {
      bool moved;
      bb_ms now;
      poll (NULL, 0, TICK_MS);
      now = bb_clock_now ();
      refill (rate, now - last_ms);
      last_ms = now;
      for (uint32_t r = 0; r < routes_count; r++)
        accept_all (&routes[r]);
      first += 2;
      do
        {
          moved = false;
          for (uint32_t k = 0; k < PIPES_MAX; k++)
            moved |= move ((first + k) % PIPES_MAX);
        }
      while (moved);
    }
}

int
main (int argc, char **argv)
{
  int64_t rate = 0;

  signal (SIGPIPE, SIG_IGN);
  for (uint32_t i = 0; i < PIPES_MAX; i++)
    pipes[i].source = -1;
  if (argc == 5 && strcmp (argv[1], "--rate") == 0
      && strcmp (argv[3], "--routes") == 0)
    rate = strtoll (argv[2], NULL, 10);
  if (rate <= 0 || !read_routes (argv[4]))
    {
      fprintf (stderr, "Usage: fake-link --rate BYTES --routes FILE\n");
      return 2;
    }
  printf ("ready\n");
  fflush (stdout);
  run (rate);
}
