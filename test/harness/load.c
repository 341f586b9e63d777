#include "load.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  RESPONSE_MAX_BYTES = 16384,
  EVENTS_MAX = 256,
  POLL_MS = 100
};

struct connection
{
  int fd;
  uint64_t sent_ns;
  size_t size;
  char in[RESPONSE_MAX_BYTES + 1];
};

struct worker
{
  const struct load_options *o;
  pthread_t thread;
  uint32_t connections;
  size_t request_size;
  int epoll_fd;
  uint64_t failed_requests;
  GArray *latencies;
};

static uint64_t
now_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t)ts.tv_sec * 1000000000 + (uint64_t)ts.tv_nsec;
}

static void
send_request (struct worker *w, struct connection *c)
{
  c->size = 0;
  c->sent_ns = now_ns ();
  if (send (c->fd, w->o->request, w->request_size, MSG_NOSIGNAL)
      != (ssize_t)w->request_size)
    w->failed_requests++;
}

/* Whether C has received a complete response.  Responses without
   Content-Length are not supported.  */
static bool
is_complete (const struct connection *c)
{
  const char *end = strstr (c->in, "\r\n\r\n");
  const char *length = end ? strcasestr (c->in, "content-length:") : NULL;

  return length
         && (size_t)(end + 4 - c->in) + strtoul (length + 15, NULL, 10)
                <= c->size;
}

static void
record_response (struct worker *w, struct connection *c)
{
  uint64_t latency_ns = now_ns () - c->sent_ns;

  if (strncmp (c->in, "HTTP/1.1 200", 12) == 0)
    g_array_append_val (w->latencies, latency_ns);
  else
    w->failed_requests++;
}

/* Reads from C and, once the response is complete, sends the next request.
   Returns false when the connection is lost.  */
static bool
read_response (struct worker *w, struct connection *c)
{
  ssize_t n = recv (c->fd, c->in + c->size, RESPONSE_MAX_BYTES - c->size, 0);

  if (n <= 0)
    {
      w->failed_requests++;
      return false;
    }
  c->size += (size_t)n;
  c->in[c->size] = '\0';
  if (!is_complete (c))
    return true;
  record_response (w, c);
  send_request (w, c);
  return true;
}

static struct connection *
open_connections (struct worker *w)
{
  struct connection *connections
      = calloc (w->connections, sizeof *connections);

  for (uint32_t i = 0; i < w->connections; i++)
    {
      struct epoll_event e
          = { .events = EPOLLIN, .data.ptr = &connections[i] };
      connections[i].fd = harness_connect (w->o->port);
      if (connections[i].fd < 0)
        abort ();
      epoll_ctl (w->epoll_fd, EPOLL_CTL_ADD, connections[i].fd, &e);
      send_request (w, &connections[i]);
    }
  return connections;
}

static void *
run_worker (void *arg)
{
  struct worker *w = arg;
  struct epoll_event events[EVENTS_MAX];
  struct connection *connections;
  uint64_t end = now_ns () + (uint64_t)w->o->duration_ms * 1000000;

  w->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  connections = open_connections (w);
  while (now_ns () < end)
    {
      int n = epoll_wait (w->epoll_fd, events, EVENTS_MAX, POLL_MS);
      for (int i = 0; i < n; i++)
        {
          struct connection *c = events[i].data.ptr;
          if (!read_response (w, c))
            epoll_ctl (w->epoll_fd, EPOLL_CTL_DEL, c->fd, NULL);
        }
    }
  for (uint32_t i = 0; i < w->connections; i++)
    close (connections[i].fd);
  close (w->epoll_fd);
  free (connections);
  return NULL;
}

static int
compare (const void *a, const void *b)
{
  const uint64_t *x = a;
  const uint64_t *y = b;

  return (*x > *y) - (*x < *y);
}

static void
merge_results (struct load_result *r, struct worker *workers, uint32_t count)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (uint32_t i = 0; i < count; i++)
    {
      GArray *latencies = workers[i].latencies;
      g_array_append_vals (all, latencies->data, latencies->len);
      r->failed_requests += workers[i].failed_requests;
      g_array_free (latencies, TRUE);
    }
  r->ok_responses = all->len;
  r->latencies_ns = (uint64_t *)g_array_free (all, FALSE);
  if (r->ok_responses > 0)
    qsort (r->latencies_ns, r->ok_responses, sizeof (uint64_t), compare);
}

void
load_run (const struct load_options *o, struct load_result *r)
{
  struct worker *workers = calloc (o->threads, sizeof *workers);
  uint64_t start = now_ns ();

  memset (r, 0, sizeof *r);
  for (uint32_t i = 0; i < o->threads; i++)
    {
      struct worker *w = &workers[i];
      w->o = o;
      w->connections = o->connections / o->threads;
      w->request_size = strlen (o->request);
      w->latencies = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      pthread_create (&w->thread, NULL, run_worker, w);
    }
  for (uint32_t i = 0; i < o->threads; i++)
    pthread_join (workers[i].thread, NULL);
  r->duration_s = (double)(now_ns () - start) / 1e9;
  merge_results (r, workers, o->threads);
  free (workers);
}

void
load_free (struct load_result *r)
{
  g_free (r->latencies_ns);
}

double
load_quantile_us (const struct load_result *r, double q)
{
  size_t rank = (size_t)(q * (double)r->ok_responses);

  if (r->ok_responses == 0)
    return 0;
  if (rank >= r->ok_responses)
    rank = r->ok_responses - 1;
  return (double)r->latencies_ns[rank] / 1e3;
}
