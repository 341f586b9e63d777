/* How answers end, as a matrix drawn by seed over whole processes: framing of
   the upstream's answer x where it ends x how x caller x kind of call x what
   befalls the edge.

   Checked, from the upstream's own record: a caller sees an end in order only
   of an answer that its upstream ended in order, whole, for this request; a
   refusal that says that the request has not run is true; what may not be
   repeated runs once at most.

   BILBERRY_SOAK_SEEDS=n plays n seeds, BILBERRY_SOAK_SEED=s begins with seed
   s.  */

#include "harness/relay.h"
#include "harness/upstream.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum caller_kind
{
  CALLER_10,          /* HTTP/1.0 */
  CALLER_11,          /* HTTP/1.1, connection: close */
  CALLER_KEPT,        /* a second request follows the answer */
  CALLER_PIPELINING,  /* the second request is sent at once */
  CALLER_HEAD,        /* the method is HEAD */
  CALLER_SLOW,        /* reads little at a time */
  CALLER_HALF_CLOSED, /* closes its sending side after the request */
  CALLER_KINDS
};

enum call_kind
{
  CALL_CHECK,  /* idempotent */
  CALL_ORDER,  /* not */
  CALL_FIXED,  /* a stream that may not be resumed */
  CALL_STREAM, /* one that may */
  CALL_KINDS
};

/* What befalls the edge while the answers are on their way.  */
enum event
{
  EVENT_NONE,
  EVENT_TERM,
  EVENT_KILL,
  EVENT_FREEZE,
  EVENT_LINK, /* the callers' link stands still for a while */
  EVENTS
};

enum
{
  CELLS_PER_BATCH = 45, /* drawn; they run side by side */
  EVENT_MIN_MS = 20,
  EVENT_MAX_MS = 500,
  PAUSE_MS = 900, /* of a freeze, or of the link */
  EVENT_GAP_MS = 25,
  READ_MAX_MS = 14000,
  SLOW_BYTES = 700,
  SLOW_MS = 15,
  SLOW_MAX_BYTES = 20000, /* read slowly; the rest is read on */
  READ_BYTES = 65536,
  PLAIN_SIZES = 4,
  SEEDS = 4
};

static const uint32_t plain_sizes[PLAIN_SIZES] = { 20, 4000, 17000, 400000 };

static const char fixed_route[]
    = ",{\"name\":\"fixed\",\"host\":\"127.0.0.1\",\"prefix\":"
      "\"/stream/fixed/\",\"route-kind\":\"streaming\",\"service\":\"app\","
      "\"timeout-ms\":3000,\"slo-ms\":400,\"max-attempts\":2,\"priority\":1}";

struct cell
{
  enum framing framing;
  enum place place;
  enum ending ending;
  enum caller_kind caller;
  enum call_kind call;
  uint32_t size;
  uint16_t port;
  char id[32];
  char next_id[32];
  GThread *thread;
  GString *in; /* all that the caller received */
  bool reset;  /* the connection ended by a reset */
  bool ended;  /* it ended in order */
};

static const char *const prefixes[CALL_KINDS]
    = { "/check", "/order", "/stream/fixed", "/stream" };

/* A response at the start of the received text.  */
struct response
{
  int status;
  bool complete;
  char *body;
  size_t used; /* bytes of it in the text */
};

static bool
is_stream (const struct cell *c)
{
  return c->call == CALL_FIXED || c->call == CALL_STREAM;
}

static void
send_request (const struct cell *c, int fd, const char *id, bool sound)
{
  bool order = c->call == CALL_ORDER;
  const char *method = c->caller == CALLER_HEAD ? "HEAD"
                       : order                  ? "POST"
                                                : "GET";
  g_autofree char *text = g_strdup_printf (
      "%s %s/%d/%d/%d/%u HTTP/1.%d\r\nHost: 127.0.0.1\r\nX-Attempt-Id: %s\r\n"
      "Authorization: Bearer key-1\r\nX-Deadline-Ms: 2500\r\n%s%s\r\n%s",
      method, prefixes[c->call], sound ? FRAMING_LENGTH : (int)c->framing,
      sound ? PLACE_END : (int)c->place, sound ? ENDING_ORDER : (int)c->ending,
      c->size, c->caller == CALLER_10 ? 0 : 1, id,
      c->caller == CALLER_11 ? "Connection: close\r\n" : "",
      order && c->caller != CALLER_HEAD ? "Content-Length: 4\r\n" : "",
      order && c->caller != CALLER_HEAD ? "body" : "");

  send (fd, text, strlen (text), MSG_NOSIGNAL);
}

/* Returns the size of the chunked body at the start of TEXT, appending its
   data to OUT; 0 where its last chunk is missing.  */
static size_t
read_chunks (const char *text, const char *end, GString *out)
{
  const char *at = text;

  for (;;)
    {
      const char *line = memmem (at, (size_t)(end - at), "\r\n", 2);
      size_t n = strtoul (at, NULL, 16);
      if (!line || (size_t)(end - line) < n + 4)
        return 0;
      if (n == 0)
        return (size_t)(line + 4 - text);
      g_string_append_len (out, line + 2, (gssize)n);
      at = line + 2 + n + 2;
    }
}

/* Reads the response at OFFSET of what C has received; its status is 0 where
   there is no whole head.  */
static struct response
parse_response (const struct cell *c, size_t offset)
{
  const char *text = c->in->str + offset;
  const char *end = c->in->str + c->in->len;
  const char *body = strstr (text, "\r\n\r\n");
  g_autofree char *head = body ? g_strndup (text, (gsize)(body - text)) : NULL;
  g_autoptr (GString) out = g_string_new ("");
  struct response r = { 0 };
  const char *length;

  if (!head || sscanf (head, "HTTP/1.1 %d", &r.status) != 1)
    return r;
  body += 4;
  length = strcasestr (head, "\r\nContent-Length:");
  if (c->caller == CALLER_HEAD)
    {
      r.complete = true;
      r.used = (size_t)(body - text);
    }
  else if (length)
    {
      size_t n = strtoul (length + 17, NULL, 10);
      r.complete = (size_t)(end - body) >= n;
      g_string_append_len (out, body,
                           r.complete ? (gssize)n : (gssize)(end - body));
      r.used = (size_t)(body - text) + n;
    }
  else if (strcasestr (head, "\r\nTransfer-Encoding: chunked"))
    {
      size_t n = read_chunks (body, end, out);
      r.complete = n > 0;
      r.used = (size_t)(body - text) + n;
    }
  else
    {
      r.complete = c->ended;
      g_string_append_len (out, body, (gssize)(end - body));
      r.used = (size_t)(end - text);
    }
  r.body = g_strdup (out->str);
  return r;
}

/* Whether C has received WANTED complete responses.  */
static bool
has_responses (const struct cell *c, uint32_t wanted)
{
  size_t offset = 0;

  for (uint32_t i = 0; i < wanted; i++)
    {
      struct response r = parse_response (c, offset);
      g_free (r.body);
      if (!r.complete)
        return false;
      offset += r.used;
    }
  return true;
}

/* Reads until the connection ends, there are WANTED complete responses, or
   nothing more comes.  */
static void
read_on (struct cell *c, int fd, uint32_t wanted)
{
  gint64 until = g_get_monotonic_time () + (gint64)READ_MAX_MS * 1000;
  size_t size = c->caller == CALLER_SLOW ? SLOW_BYTES : READ_BYTES;
  struct pollfd p = { .fd = fd, .events = POLLIN };
  char buf[READ_BYTES];

  while (!has_responses (c, wanted) && g_get_monotonic_time () < until
         && poll (&p, 1, READ_MAX_MS) > 0)
    {
      ssize_t n = recv (fd, buf, size, 0);
      c->reset = n < 0;
      c->ended = n == 0;
      if (n <= 0)
        return;
      g_string_append_len (c->in, buf, n);
      if (c->caller == CALLER_SLOW && c->in->len < SLOW_MAX_BYTES)
        harness_sleep_ms (SLOW_MS);
    }
}

static gpointer
run_caller (gpointer data)
{
  struct cell *c = data;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons (c->port) };
  int small = 4096;

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (c->caller == CALLER_SLOW)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) < 0)
    {
      close (fd);
      return NULL;
    }
  send_request (c, fd, c->id, false);
  if (c->caller == CALLER_PIPELINING)
    send_request (c, fd, c->next_id, true);
  if (c->caller == CALLER_HALF_CLOSED)
    shutdown (fd, SHUT_WR);
  read_on (c, fd, c->caller == CALLER_PIPELINING ? 2 : 1);
  if (c->caller == CALLER_KEPT && has_responses (c, 1))
    {
      send_request (c, fd, c->next_id, true);
      read_on (c, fd, 2);
    }
  close (fd);
  return NULL;
}

static void
describe (const struct cell *c, enum event event, const struct response *r)
{
  g_test_message ("framing %d place %d ending %d caller %d call %d size %u "
                  "event %d id %s: "
                  "status %d complete %d reset %d ended %d, %zu bytes",
                  (int)c->framing, (int)c->place, (int)c->ending,
                  (int)c->caller, (int)c->call, c->size, (int)event, c->id,
                  r->status, r->complete, c->reset, c->ended, c->in->len);
}

/* Returns what is wrong with response R of C to the request ID, or NULL.  */
static const char *
find_fault (struct upstream *u, const struct cell *c, const char *id,
            const struct response *r)
{
  uint32_t runs = upstream_runs (u, id);
  bool repeatable = c->call == CALL_CHECK || c->call == CALL_STREAM;

  if (!repeatable && runs > 1)
    return "it ran twice";
  if ((r->status == 503 || r->status == 429 || r->status == 408) && r->complete
      && runs > 0)
    return "the refusal says that it has not run";
  if (r->status == 200 && r->complete && c->caller != CALLER_HEAD
      && !upstream_may_be_whole (u, id, r->body, is_stream (c)))
    return "a part looks complete";
  return NULL;
}

static bool
check_cell (struct upstream *u, const struct cell *c, enum event event)
{
  struct response first = parse_response (c, 0);
  struct response second = { 0 };
  const char *fault = find_fault (u, c, c->id, &first);
  bool two = c->caller == CALLER_KEPT || c->caller == CALLER_PIPELINING;

  if (!fault && two && first.complete && c->in->len > first.used)
    {
      second = parse_response (c, first.used);
      fault = find_fault (u, c, c->next_id, &second);
    }
  if (fault)
    {
      describe (c, event, &first);
      g_test_message ("%s", fault);
    }
  g_free (first.body);
  g_free (second.body);
  return fault == NULL;
}

static void
let_befall (struct testbed *t, struct relay *link, enum event event,
            GRand *draws)
{
  pid_t pid = t->edges[0].pid;

  harness_sleep_ms (g_rand_int_range (draws, EVENT_MIN_MS, EVENT_MAX_MS));
  switch (event)
    {
    case EVENT_TERM:
      harness_signal (t->harness, pid, SIGTERM);
      break;
    case EVENT_KILL:
      harness_signal (t->harness, pid, SIGKILL);
      break;
    case EVENT_FREEZE:
      harness_signal (t->harness, pid, SIGSTOP);
      harness_sleep_ms (PAUSE_MS);
      harness_signal (t->harness, pid, SIGCONT);
      break;
    case EVENT_LINK:
      relay_hold (link);
      harness_sleep_ms (PAUSE_MS);
      relay_resume (link);
      break;
    default:
      break;
    }
}

static void
draw_cell (struct cell *c, GRand *draws, uint32_t seed, uint32_t n)
{
  c->framing = (enum framing)g_rand_int_range (draws, 0, FRAMINGS);
  c->place = (enum place)g_rand_int_range (draws, 0, PLACES);
  c->ending = (enum ending)g_rand_int_range (draws, 0, ENDINGS);
  c->caller = (enum caller_kind)g_rand_int_range (draws, 0, CALLER_KINDS);
  c->call = (enum call_kind)g_rand_int_range (draws, 0, CALL_KINDS);
  /* What follows a part of a body that ends by its length or its connection is
     the rest of it.  */
  if (c->ending == ENDING_GARBAGE
      && (c->framing == FRAMING_NONE
          || (c->framing == FRAMING_LENGTH && c->place < PLACE_END)))
    c->ending = ENDING_RESET;
  c->size = plain_sizes[g_rand_int_range (draws, 0, PLAIN_SIZES)];
  g_snprintf (c->id, sizeof c->id, "a%u-%u", seed, n);
  g_snprintf (c->next_id, sizeof c->next_id, "b%u-%u", seed, n);
}

/* Plays the COUNT cells side by side while EVENT befalls the edge.  Returns
   how many have a fault.  */
static uint32_t
play_cells (struct cell *cells, uint32_t count, enum event event, GRand *draws)
{
  struct testbed t;
  struct upstream *u;
  struct relay *link;
  uint16_t port;
  uint32_t faults = 0;

  testbed_init (&t);
  testbed_put_config (&t, 2, fixed_route, "");
  u = upstream_start (&t, "i-1", EVENT_GAP_MS);
  testbed_start_edge (&t, 0);
  port = harness_port (t.harness);
  link = relay_start (port, t.edges[0].front_port);
  for (uint32_t n = 0; n < count; n++)
    {
      struct cell *c = &cells[n];
      c->port = event == EVENT_LINK ? port : t.edges[0].front_port;
      c->in = g_string_new ("");
      c->thread = g_thread_new ("caller", run_caller, c);
    }
  let_befall (&t, link, event, draws);
  for (uint32_t n = 0; n < count; n++)
    g_thread_join (cells[n].thread);
  for (uint32_t n = 0; n < count; n++)
    {
      faults += !check_cell (u, &cells[n], event);
      g_string_free (cells[n].in, TRUE);
    }
  relay_stop (link);
  testbed_free (&t);
  upstream_free (u);
  return faults;
}

static void
test_matrix (gconstpointer data)
{
  enum event event = (enum event)GPOINTER_TO_INT (data);
  uint32_t first = harness_number ("BILBERRY_SOAK_SEED", 1);
  uint32_t seeds = harness_number ("BILBERRY_SOAK_SEEDS", SEEDS);
  uint32_t faults = 0;

  for (uint32_t seed = first; seed < first + seeds; seed++)
    {
      GRand *draws = g_rand_new_with_seed (seed * EVENTS + event);
      struct cell cells[CELLS_PER_BATCH] = { 0 };
      g_test_message ("seed %u", seed);
      for (uint32_t n = 0; n < CELLS_PER_BATCH; n++)
        draw_cell (&cells[n], draws, seed, n);
      faults += play_cells (cells, CELLS_PER_BATCH, event, draws);
      g_rand_free (draws);
    }
  g_assert_cmpuint (faults, ==, 0);
}

int
main (int argc, char **argv)
{
  static const char *const names[EVENTS]
      = { "none", "term", "kill", "freeze", "link" };

  g_test_init (&argc, &argv, NULL);
  for (int e = 0; e < EVENTS; e++)
    {
      g_autofree char *path = g_strdup_printf ("/answer-matrix/%s", names[e]);
      g_test_add_data_func (path, GINT_TO_POINTER (e), test_matrix);
    }
  return g_test_run ();
}
