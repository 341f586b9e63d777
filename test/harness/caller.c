#include "caller.h"

#include "bilberry/base.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  EDGES_MAX = 8,
  SILENT_MS = 30000, /* longer than any timeout of an edge */
  PAUSE_MAX_MS = 120,
  RETRY_MS = 20
};

/* What the callers are told of an edge, by the thread of the test.  */
struct edge_state
{
  gint draining;
  bool dying;         /* it was killed and may not have ended */
  gint64 killed_ms;   /* when it had ended by the last kill; 0: none */
  gint64 draining_ms; /* time of the last drain; 0: none */
};

struct caller;

struct callers
{
  GMutex lock; /* of edges */
  struct edge_state edges[EDGES_MAX];
  const uint16_t *ports;
  uint32_t edges_count;
  gint stopped;
  uint32_t count;
  struct caller *members;
};

struct connection
{
  int fd; /* -1: none */
  bool used;
  bb_ms opened_ms;
};

struct caller
{
  struct callers *owner;
  uint32_t index;
  uint32_t requests;
  GRand *rand;
  GThread *thread;
  GArray *results;
  struct connection connections[EDGES_MAX];
};

const char *
caller_end_name (enum caller_end end)
{
  static const char *const names[CALLER_ENDS]
      = { "answered", "closed", "lost", "cut", "silent", "foreign" };

  return names[end];
}

static struct edge_state
read_edge (struct callers *s, uint32_t edge)
{
  struct edge_state copy;

  g_mutex_lock (&s->lock);
  copy = s->edges[edge];
  g_mutex_unlock (&s->lock);
  return copy;
}

static void
close_connection (struct connection *c)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
}

/* Whether the idle connection C was closed by the edge, or has bytes that
   belong to no request.  */
static bool
is_dead (const struct connection *c)
{
  struct pollfd p = { .fd = c->fd, .events = POLLIN };

  return poll (&p, 1, 0) != 0;
}

/* Makes sure that there is a connection to EDGE.  Returns false where there is
   none to be had.  */
static bool
open_connection (struct caller *c, uint32_t edge)
{
  struct connection *conn = &c->connections[edge];

  if (conn->fd >= 0 && is_dead (conn))
    close_connection (conn);
  if (conn->fd >= 0)
    return true;
  if (read_edge (c->owner, edge).draining)
    return false;
  conn->opened_ms = bb_clock_now ();
  conn->used = false;
  conn->fd = harness_connect (c->owner->ports[edge]);
  if (conn->fd >= 0 && read_edge (c->owner, edge).draining)
    close_connection (conn);
  return conn->fd >= 0;
}

/* Whether TEXT is a complete response.  */
static bool
is_complete (const GString *text)
{
  const char *end = strstr (text->str, "\r\n\r\n");
  const char *length = strcasestr (text->str, "\r\ncontent-length:");

  if (!end)
    return false;
  if (length && length < end)
    return (size_t)(end + 4 - text->str) + strtoul (length + 17, NULL, 10)
           <= text->len;
  return g_str_has_suffix (text->str, "\r\n0\r\n\r\n");
}

static enum caller_end
read_response (struct connection *conn, GString *text)
{
  bb_ms deadline = bb_clock_now () + SILENT_MS;
  struct pollfd p = { .fd = conn->fd, .events = POLLIN };
  char piece[8192];

  while (!is_complete (text))
    {
      bb_ms left = deadline - bb_clock_now ();
      ssize_t n;
      if (left <= 0 || poll (&p, 1, (int)left) == 0)
        return CALLER_SILENT;
      n = recv (conn->fd, piece, sizeof piece, 0);
      if (n <= 0)
        return text->len > 0 ? CALLER_CUT : CALLER_LOST;
      g_string_append_len (text, piece, n);
    }
  return CALLER_ANSWERED;
}

/* Judges the response TEXT to request R on CONN.  */
static void
judge (struct caller *c, struct connection *conn, const GString *text,
       struct caller_result *r)
{
  struct edge_state e = read_edge (c->owner, r->edge);

  r->killed = e.dying || e.killed_ms >= conn->opened_ms;
  if (r->end == CALLER_ANSWERED)
    {
      r->status = atoi (text->str + strlen ("HTTP/1.1 "));
      if (r->status == 200 && !strstr (text->str, r->id))
        r->end = CALLER_FOREIGN;
    }
  else if (r->end == CALLER_LOST
           && (conn->used || e.draining_ms >= conn->opened_ms))
    r->end = CALLER_CLOSED;
}

static char *
make_request (struct caller *c, struct caller_result *r)
{
  static const char *const lines[]
      = { "POST /order/1", "GET /check/1", "GET /stream/1", "GET /check/slow",
          "GET /draft/1" };
  uint32_t kind = (uint32_t)g_rand_int_range (c->rand, 0, 5);

  r->is_order = kind == 0;
  g_snprintf (r->id, sizeof r->id, "c%u-%u.", c->index, ++c->requests);
  return g_strdup_printf (
      "%s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
      "Authorization: Bearer key-1\r\n"
      "X-Deadline-Ms: 1500\r\nX-Attempt-Id: %s\r\n%s\r\n%s",
      lines[kind], r->id, r->is_order ? "Content-Length: 4\r\n" : "",
      r->is_order ? "body" : "");
}

static void
send_one (struct caller *c, uint32_t edge)
{
  struct connection *conn = &c->connections[edge];
  struct caller_result r = { .edge = edge };
  g_autofree char *request = make_request (c, &r);
  GString *text = g_string_new ("");
  size_t size = strlen (request);

  /* A request that was not sent completely is none.  */
  if (send (conn->fd, request, size, MSG_NOSIGNAL) == (ssize_t)size)
    {
      r.end = read_response (conn, text);
      judge (c, conn, text, &r);
      g_array_append_val (c->results, r);
      conn->used = true;
    }
  else
    r.end = CALLER_CLOSED;
  if (r.end != CALLER_ANSWERED
      || strcasestr (text->str, "\r\nconnection: close"))
    close_connection (conn);
  g_string_free (text, TRUE);
}

static gpointer
run_caller (gpointer user)
{
  struct caller *c = user;
  struct callers *s = c->owner;

  while (!g_atomic_int_get (&s->stopped))
    {
      uint32_t edge
          = (uint32_t)g_rand_int_range (c->rand, 0, (int)s->edges_count);
      if (!open_connection (c, edge))
        {
          harness_sleep_ms (RETRY_MS);
          continue;
        }
      send_one (c, edge);
      harness_sleep_ms (g_rand_int_range (c->rand, 0, PAUSE_MAX_MS));
    }
  return NULL;
}

struct callers *
callers_start (const uint16_t *ports, uint32_t edges, uint32_t count,
               uint32_t seed)
{
  struct callers *s = g_new0 (struct callers, 1);

  g_assert_cmpuint (edges, <=, EDGES_MAX);
  g_mutex_init (&s->lock);
  s->ports = ports;
  s->edges_count = edges;
  s->count = count;
  s->members = g_new0 (struct caller, count);
  for (uint32_t i = 0; i < count; i++)
    {
      struct caller *c = &s->members[i];
      c->owner = s;
      c->index = i;
      c->rand = g_rand_new_with_seed (seed * count + i);
      c->results = g_array_new (FALSE, FALSE, sizeof (struct caller_result));
      for (uint32_t e = 0; e < edges; e++)
        c->connections[e].fd = -1;
      c->thread = g_thread_new ("caller", run_caller, c);
    }
  return s;
}

void
callers_note_kill (struct callers *s, uint32_t edge)
{
  g_mutex_lock (&s->lock);
  s->edges[edge].dying = true;
  g_mutex_unlock (&s->lock);
}

void
callers_note_end (struct callers *s, uint32_t edge)
{
  g_mutex_lock (&s->lock);
  if (s->edges[edge].dying)
    s->edges[edge].killed_ms = bb_clock_now ();
  s->edges[edge].dying = false;
  g_mutex_unlock (&s->lock);
}

void
callers_set_draining (struct callers *s, uint32_t edge, bool draining)
{
  g_mutex_lock (&s->lock);
  s->edges[edge].draining = draining;
  if (draining)
    s->edges[edge].draining_ms = bb_clock_now ();
  g_mutex_unlock (&s->lock);
}

GArray *
callers_stop (struct callers *s)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct caller_result));

  g_atomic_int_set (&s->stopped, 1);
  for (uint32_t i = 0; i < s->count; i++)
    {
      struct caller *c = &s->members[i];
      g_thread_join (c->thread);
      g_array_append_vals (all, c->results->data, c->results->len);
      g_array_unref (c->results);
      g_rand_free (c->rand);
      for (uint32_t e = 0; e < s->edges_count; e++)
        close_connection (&c->connections[e]);
    }
  g_mutex_clear (&s->lock);
  g_free (s->members);
  g_free (s);
  return all;
}
