#include "upstream.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  RESET_LATER_MAX_MS = 50,
  SILENCE_MS = 8000, /* longer than any deadline of a test */
  LISTEN_BACKLOG = 256,
  HEAD_MAX_BYTES = 8192
};

static const char garbage[] = "\x01\x02 no answer \r\n\r\n\x03";

/* One run of a request.  */
struct run
{
  char *id;
  char *body;     /* what was sent of the body */
  bool in_order;  /* all that it sent was ended in order */
  uint32_t first; /* its first event */
};

struct upstream
{
  int listener;
  char *id;
  int event_ms;
  gint stopping;
  GThread *thread;
  GMutex lock; /* of what follows */
  GPtrArray *runs;
  uint32_t connections; /* threads */
  GCond all_closed;
};

/* A connection, and the answer that is being sent on it.  */
struct connection
{
  struct upstream *upstream;
  int fd;
  char head[HEAD_MAX_BYTES];
  enum framing framing;
  enum place place;
  enum ending ending;
  uint32_t size;
  uint32_t first; /* of the events to send */
  bool stream;
  GString *body; /* sent so far */
};

static void
send_bytes (const struct connection *c, const char *data, size_t size)
{
  harness_send_all (c->fd, data, size);
}

static void
send_text (const struct connection *c, const char *text)
{
  send_bytes (c, text, strlen (text));
}

/* Returns the value of header NAME, "" where there is none.  */
static char *
header_of (const struct connection *c, const char *name)
{
  g_autofree char *start = g_strdup_printf ("\r\n%s: ", name);
  const char *at = strstr (c->head, start);

  return at ? g_strndup (at + strlen (start),
                         strcspn (at + strlen (start), "\r"))
            : g_strdup ("");
}

/* Reads a request.  Returns false where the connection ends.  */
static bool
read_request (struct connection *c)
{
  size_t size = 0;
  g_autofree char *length = NULL;
  size_t left;

  memset (c->head, 0, sizeof c->head);
  while (!strstr (c->head, "\r\n\r\n"))
    {
      ssize_t n
          = size + 1 < sizeof c->head ? recv (c->fd, c->head + size, 1, 0) : 0;
      if (n <= 0)
        return false;
      size += (size_t)n;
    }
  length = header_of (c, "Content-Length");
  for (left = strtoul (length, NULL, 10); left > 0;)
    {
      char buf[65536];
      ssize_t n = recv (c->fd, buf, MIN (left, sizeof buf), 0);
      if (n <= 0)
        return false;
      left -= (size_t)n;
    }
  return true;
}

/* Takes what the path says.  Returns false where it says nothing.  */
static bool
read_script (struct connection *c)
{
  g_autofree char *line = g_strndup (c->head, strcspn (c->head, "\r"));
  g_auto (GStrv) words = g_strsplit (line, " ", 3);
  g_auto (GStrv) parts = g_strsplit (words[1] ? words[1] : "", "/", -1);
  uint32_t n = g_strv_length (parts);
  g_autofree char *last = header_of (c, "Last-Event-Id");

  if (n < 6)
    return false;
  c->framing = (enum framing)atoi (parts[n - 4]);
  c->place = (enum place)atoi (parts[n - 3]);
  c->ending = (enum ending)atoi (parts[n - 2]);
  c->size = (uint32_t)atoi (parts[n - 1]);
  c->stream = strcmp (parts[1], "stream") == 0;
  c->first = (uint32_t)atoi (last) + 1;
  /* A stream is resumed without a fault.  */
  if (c->first > 1)
    {
      c->place = PLACE_END;
      c->ending = ENDING_ORDER;
    }
  return true;
}

static void
send_piece (struct connection *c, const char *data, size_t size)
{
  g_autofree char *start = g_strdup_printf ("%zx\r\n", size);
  bool chunked = c->framing == FRAMING_CHUNKS || c->framing == FRAMING_INTERIM;

  if (size == 0)
    return;
  g_string_append_len (c->body, data, (gssize)size);
  if (chunked)
    send_text (c, start);
  send_bytes (c, data, size);
  if (chunked)
    send_text (c, "\r\n");
}

/* Returns the body of a plain answer to attempt ID.  */
static char *
plain_body (const struct connection *c, const char *id)
{
  GString *s = g_string_new (id);

  while (s->len < c->size)
    g_string_append_printf (s, " %s", id);
  return g_string_free (s, FALSE);
}

static char *
event_of (const char *id, uint32_t n)
{
  return g_strdup_printf ("id: %u\ndata: %s %u\n\n", n, id, n);
}

static void
send_stream (struct connection *c, const char *id)
{
  uint32_t end = c->place == PLACE_BODY ? 0
                 : c->place == PLACE_INSIDE || c->place == PLACE_BETWEEN
                     ? UPSTREAM_EVENTS / 2
                     : UPSTREAM_EVENTS;

  for (uint32_t n = c->first; n <= end; n++)
    {
      g_autofree char *event = event_of (id, n);
      send_piece (c, event, strlen (event));
      if (n < end)
        harness_sleep_ms (c->upstream->event_ms);
    }
  if (c->place == PLACE_INSIDE)
    send_piece (c, "id: 7\nda", 8);
}

static void
send_plain (struct connection *c, const char *body)
{
  size_t size = strlen (body);

  if (c->place == PLACE_INSIDE)
    size /= 2;
  else if (c->place == PLACE_BETWEEN)
    size -= 1;
  if (c->place != PLACE_BODY)
    send_piece (c, body, size);
}

static void
send_head (struct connection *c, const char *id, size_t size)
{
  g_autofree char *length = g_strdup_printf ("Content-Length: %zu\r\n", size);
  const char *const framings[FRAMINGS]
      = { length, "Transfer-Encoding: chunked\r\n", "",
          "Transfer-Encoding: chunked\r\n" };
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: %s\r\n"
      "%s%s\r\n",
      id, c->upstream->id,
      c->stream ? "Content-Type: text/event-stream\r\n" : "",
      framings[c->framing]);

  if (c->framing == FRAMING_INTERIM)
    send_text (c, "HTTP/1.1 102 Processing\r\n\r\n"
                  "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n");
  if (c->place == PLACE_HEAD)
    send_bytes (c, head, strlen (head) * 3 / 4);
  else
    send_text (c, head);
}

/* Sends the answer to attempt ID.  Returns whether all of it was sent.  */
static bool
send_answer (struct connection *c, const char *id)
{
  g_autofree char *body = plain_body (c, id);
  bool head_only = g_str_has_prefix (c->head, "HEAD ");
  size_t size = strlen (body);

  if (c->stream)
    {
      size = 0;
      for (uint32_t n = c->first; n <= UPSTREAM_EVENTS; n++)
        {
          g_autofree char *event = event_of (id, n);
          size += strlen (event);
        }
    }
  send_head (c, id, size);
  if (c->place == PLACE_HEAD)
    return false;
  if (head_only)
    return true;
  if (c->stream)
    send_stream (c, id);
  else
    send_plain (c, body);
  if (c->place == PLACE_END && c->framing != FRAMING_LENGTH
      && c->framing != FRAMING_NONE)
    send_text (c, "0\r\n\r\n");
  return c->place == PLACE_END;
}

/* Ends the answer as its script says.  Returns whether the connection is
   kept.  */
static bool
end_answer (const struct connection *c, bool whole)
{
  struct pollfd p = { .fd = c->fd, .events = POLLRDHUP };

  switch (c->ending)
    {
    case ENDING_ORDER:
      return whole && c->framing != FRAMING_NONE;
    case ENDING_RESET_LATER:
      harness_sleep_ms (g_random_int_range (1, RESET_LATER_MAX_MS));
      harness_reset_at_close (c->fd);
      return false;
    case ENDING_RESET:
      harness_reset_at_close (c->fd);
      return false;
    case ENDING_SILENCE:
      poll (&p, 1, SILENCE_MS);
      return false;
    default:
      send_text (c, garbage);
      return false;
    }
}

/* Whether what was sent is a complete answer, by the rules of its framing.  */
static bool
is_in_order (const struct connection *c, bool whole)
{
  if (c->framing == FRAMING_NONE)
    return c->ending == ENDING_ORDER && c->place != PLACE_HEAD
           && !(c->stream && c->place == PLACE_INSIDE);
  return whole;
}

/* Records a run before its answer is sent, so that a caller never has one that
   is not recorded; what it sent follows in note_sent.  */
static struct run *
note_run (struct connection *c, const char *id)
{
  struct run *r = g_new0 (struct run, 1);

  r->id = g_strdup (id);
  r->first = c->first;
  g_mutex_lock (&c->upstream->lock);
  g_ptr_array_add (c->upstream->runs, r);
  g_mutex_unlock (&c->upstream->lock);
  return r;
}

static void
note_sent (struct connection *c, struct run *r, bool whole)
{
  g_mutex_lock (&c->upstream->lock);
  r->body = g_strndup (c->body->str, c->body->len);
  r->in_order = is_in_order (c, whole);
  g_mutex_unlock (&c->upstream->lock);
}

/* Answers the next request.  Returns whether the connection is kept.  */
static bool
serve (struct connection *c)
{
  g_autofree char *id = NULL;
  struct run *r;
  bool whole;

  if (!read_request (c))
    return false;
  if (!read_script (c))
    {
      send_text (c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
  id = header_of (c, "X-Attempt-Id");
  g_string_truncate (c->body, 0);
  r = note_run (c, id);
  whole = send_answer (c, id);
  note_sent (c, r, whole);
  return end_answer (c, whole);
}

static gpointer
run_connection (gpointer data)
{
  struct connection *c = data;
  struct upstream *u = c->upstream;

  c->body = g_string_new ("");
  while (serve (c))
    ;
  close (c->fd);
  g_string_free (c->body, TRUE);
  g_free (c);
  g_mutex_lock (&u->lock);
  if (--u->connections == 0)
    g_cond_signal (&u->all_closed);
  g_mutex_unlock (&u->lock);
  return NULL;
}

static gpointer
run_listener (gpointer data)
{
  struct upstream *u = data;
  int fd;

  while ((fd = accept (u->listener, NULL, NULL)) >= 0
         && !g_atomic_int_get (&u->stopping))
    {
      struct connection *c = g_new0 (struct connection, 1);
      c->upstream = u;
      c->fd = fd;
      g_mutex_lock (&u->lock);
      u->connections++;
      g_mutex_unlock (&u->lock);
      g_thread_unref (g_thread_new ("upstream", run_connection, c));
    }
  if (fd >= 0)
    close (fd);
  return NULL;
}

static void
free_run (gpointer data)
{
  struct run *r = data;

  g_free (r->id);
  g_free (r->body);
  g_free (r);
}

struct upstream *
upstream_start (struct testbed *t, const char *id, int event_ms)
{
  struct upstream *u = g_new0 (struct upstream, 1);
  struct sockaddr_in addr = { .sin_family = AF_INET };
  uint32_t n = t->replicas_count++;

  u->id = g_strdup (id);
  u->event_ms = event_ms;
  u->runs = g_ptr_array_new_with_free_func (free_run);
  t->replica_ports[n] = harness_port (t->harness);
  g_snprintf (t->replica_ips[n], TESTBED_TEXT_SIZE, "127.0.0.1");
  g_snprintf (t->replica_pools[n], TESTBED_TEXT_SIZE, "app");
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  addr.sin_port = htons (t->replica_ports[n]);
  u->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (u->listener, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 },
              sizeof (int));
  g_assert_cmpint (bind (u->listener, (struct sockaddr *)&addr, sizeof addr),
                   ==, 0);
  g_assert_cmpint (listen (u->listener, LISTEN_BACKLOG), ==, 0);
  u->thread = g_thread_new ("upstream", run_listener, u);
  testbed_register (t, n, id, 1);
  return u;
}

void
upstream_free (struct upstream *u)
{
  g_atomic_int_set (&u->stopping, 1);
  shutdown (u->listener, SHUT_RDWR);
  g_thread_join (u->thread);
  close (u->listener);
  g_mutex_lock (&u->lock);
  while (u->connections > 0)
    g_cond_wait (&u->all_closed, &u->lock);
  g_mutex_unlock (&u->lock);
  g_ptr_array_unref (u->runs);
  g_free (u->id);
  g_free (u);
}

uint32_t
upstream_runs (struct upstream *u, const char *id)
{
  uint32_t n = 0;

  g_mutex_lock (&u->lock);
  for (guint i = 0; i < u->runs->len; i++)
    n += strcmp (((struct run *)u->runs->pdata[i])->id, id) == 0;
  g_mutex_unlock (&u->lock);
  return n;
}

/* Whether the events of BODY, of attempt ID, are whole, in order and each
   there once; sets *LAST to the last of them.  */
static bool
count_events (const char *id, const char *body, uint32_t *last)
{
  for (*last = 0; *body; (*last)++)
    {
      g_autofree char *event = event_of (id, *last + 1);
      if (!g_str_has_prefix (body, event))
        return false;
      body += strlen (event);
    }
  return true;
}

/* Whether run R ended in order, with what is the whole of BODY or, for a
   stream, with event LAST, or with no event after that.  */
static bool
ends_with (const struct run *r, const char *body, bool stream, uint32_t last)
{
  g_autofree char *event = event_of (r->id, last);

  if (!r->body || !r->in_order)
    return false;
  if (!stream)
    return strcmp (r->body, body) == 0;
  return g_str_has_suffix (r->body, event)
         || (*r->body == '\0' && r->first == last + 1);
}

bool
upstream_may_be_whole (struct upstream *u, const char *id, const char *body,
                       bool stream)
{
  bool found = false;
  uint32_t last = 0;

  if (stream && !count_events (id, body, &last))
    return false;
  g_mutex_lock (&u->lock);
  for (guint i = 0; i < u->runs->len && !found; i++)
    {
      const struct run *r = u->runs->pdata[i];
      found = strcmp (r->id, id) == 0 && ends_with (r, body, stream, last);
    }
  g_mutex_unlock (&u->lock);
  return found;
}
