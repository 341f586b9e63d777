/* fake-replica - a stand-in for a replica of the platform.  It writes HTTP to
   its own sockets, without an HTTP library, so that it can send malformed
   responses.

   Usage: fake-replica ADDRESS:PORT ID [FAULT]

   Responds with 200 and the request's X-Attempt-Id if X-Expect-Replica is ID
   or missing, else with 421.  A path that begins with /stream/ returns events
   1 to 6 as server-sent events, from the one after Last-Event-Id.  GET /ran
   returns a line for each request that was executed, and the line "counted"
   for each GET /v1/picked.

   A request whose path contains "slow" gets its response after SLOW_MS.  One
   whose path contains "crash" ends the server when it is executed: all
   connections are closed and new ones are refused for DOWN_MS, after which the
   server listens again; GET /ran then has a line "ended" for it.  So does one
   with the part "dead" in its X-Prefix-Hash, unless that is the last part, as
   soon as it has sent the head of its response, which announces chunks.

   Faults in the responses to executed requests, except for /stream/:

     reset     closes the connection without a response
     cut       closes the connection within the body
     garbage   sends bytes that are not HTTP
     extra     sends a second response after the first
     other-id  sends another X-Attempt-Id
     unsigned  omits X-Replica-Signature
     fail      responds with 500
     status:TEXT  has TEXT in the place of status and reason
     header:LINE  has LINE, of any bytes, among its headers
     trailers  sends the body in chunks, followed by a long trailer
     unframed  omits Content-Length and closes the connection after the body;
               the head of a response to the part "dead" announces no chunks

   Other faults:

     silent    executes requests and does not respond, nor to /stream/
     break     closes a stream within event 4 if the caller has seen no event
     pause     sends nothing for PAUSE_MS after event 3 of a stream
     not-run   responds with 503 and X-Not-Executed instead of executing
     broken    as not-run, and GET /v1/report says that the group is broken
     rest      for SHED_MS from the first request on, as not-run, and asks for
               REST_S seconds of rest by Retry-After
     weary     as rest, and meanwhile GET /v1/report says that the group is
               broken
     leaving   has Server-Leaving in its responses
     left      as not-run, with Server-Leaving
     mute      responds with 503 to GET /v1/report
     answer-again   sends the answer to the earlier request of a connection
               once more when the next one arrives there
     refusal-again  as not-run to the first request of a connection; sends that
               refusal once more when the next one arrives there, and executes
               it
     resume-KIND    responds to a request with Last-Event-Id by what does not
               continue the stream: "plain" (text), "line" (text without
               an empty line), "typed" (text that is
   called a stream), "bare" (events without ids), "gap" (events from a later
   one on), "error" (500, in the form of events)

   paced:FIXED:EACH:EVENTS streams EVENTS events to each request, in passes as
   an engine does: every FIXED ms, and EACH ms more for each request in flight,
   all requests get an event.

   Faults in the bytes of responses: see bytes.h.

   GET /limit/VALUE makes it name VALUE as Server-Limit in its responses; GET
   /limit/ ends that.

   With the faults "rest", "weary", "leaving" and "left", or once a limit was
   named, GET /ran also has a line "reached ATTEMPT-ID at MS" for each request
   that is not answered with 421; MS is a time of bb_clock_now.  */

#include "bytes.h"

#include "bilberry/base.h"
#include "bilberry/settings.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

enum
{
  EVENTS = 6,                       /* number of events in a stream */
  RECEIVE_BUFFER_BYTES = 16 * 1024, /* of a replica that answers early */
  BREAK_AFTER = 3, /* number of events sent before the fault "break" */
  TRAILER_BYTES = 30000,
  SLOW_MS = 400,
  PAUSE_MS = 3700,
  DOWN_MS = 300,
  SHED_MS = 4000,
  LIMIT_TEXT_SIZE = 32
};

#define REST_S "2"

static char limit[LIMIT_TEXT_SIZE]; /* Server-Limit in responses; "": none */
static bool has_named_limit;

struct connection
{
  uv_tcp_t tcp;
  uv_timer_t slow_timer;
  GString *in;                /* bytes received and not yet handled */
  char *attempt_id;           /* of the request that gets a slow response */
  char *refused_id;           /* of the first request, which was refused */
  char *answered_id;          /* of the last request, which was answered */
  struct bytes_sender *bytes; /* NULL: none */
  uint32_t next_event;        /* of a paced stream; 0: there is none */
  uint32_t open_handles;
};

static const char *id;
static const char *fault = "";
static GString *request_log; /* what GET /ran returns */
static struct sockaddr_storage listen_addr;
static uv_tcp_t listener;
static uv_timer_t restart_timer;
static bb_ms shed_until_ms;    /* 0: no request yet */
static GPtrArray *connections; /* the open ones, struct connection */
static uv_timer_t pass_timer;
/* Of a paced replica; 0 events: it is none.  */
static struct
{
  uint32_t fixed_ms;
  uint32_t request_ms;
  uint32_t events;
} pace;

static void
on_closed (uv_handle_t *h)
{
  struct connection *c = h->data;

  if (--c->open_handles > 0)
    return;
  g_string_free (c->in, TRUE);
  g_free (c->attempt_id);
  g_free (c->refused_id);
  g_free (c->answered_id);
  g_free (c);
}

static void
close_connection (struct connection *c)
{
  if (uv_is_closing ((uv_handle_t *)&c->tcp))
    return;
  g_ptr_array_remove_fast (connections, c);
  if (c->bytes)
    bytes_sender_free (c->bytes);
  uv_close ((uv_handle_t *)&c->tcp, on_closed);
  uv_close ((uv_handle_t *)&c->slow_timer, on_closed);
}

/* Writes TEXT; closes the connection if it cannot be written at once.  */
static void
write_text (struct connection *c, const char *text)
{
  uv_buf_t b = uv_buf_init ((char *)text, (unsigned)strlen (text));

  if (uv_try_write ((uv_stream_t *)&c->tcp, &b, 1) != (int)b.len)
    close_connection (c);
}

/* Returns the value of header NAME in the request head HEAD, "" if there is
   none.  The caller frees it.  */
static char *
get_header (const char *head, const char *name)
{
  char *line = g_strdup_printf ("\r\n%s: ", name);
  char *lower_head = g_ascii_strdown (head, -1);
  char *lower_line = g_ascii_strdown (line, -1);
  const char *at = strstr (lower_head, lower_line);
  char *value = NULL;

  if (at)
    {
      const char *from = head + (at - lower_head) + strlen (line);
      value = g_strndup (from, strcspn (from, "\r"));
    }
  g_free (line);
  g_free (lower_head);
  g_free (lower_line);
  return value ? value : g_strdup ("");
}

/* The report of rank 0 of the open group "g"; map 0 is in use, map 5 is
   prepared.  */
static const char prepared_report[]
    = "{\"queued\":0,\"running\":0,\"group\":{\"name\":\"g\",\"epoch\":1,"
      "\"rank\":0,\"state\":\"open\"},\"size\":2,\"step\":9,\"map\":0,"
      "\"prepared\":5}";

/* The report of rank 0 of the group "b", which is broken because it has lost a
   rank.  */
static const char broken_report[]
    = "{\"queued\":0,\"running\":0,\"group\":{\"name\":\"b\",\"epoch\":1,"
      "\"rank\":0,\"state\":\"broken\"},\"size\":2,\"step\":9,\"map\":0}";

static bool
has_fault (const char *name)
{
  return strcmp (fault, name) == 0;
}

static void
respond (struct connection *c, const char *status, const char *attempt_id,
         const char *extra_headers, const char *body)
{
  char *text = g_strdup_printf ("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%s"
                                "Content-Length: %zu\r\n\r\n%s",
                                status, attempt_id, extra_headers,
                                strlen (body), body);

  write_text (c, text);
  g_free (text);
}

/* Returns the headers that say that the replica leaves, and what it takes; ""
   where it says neither.  */
static const char *
state_headers (void)
{
  static char text[LIMIT_TEXT_SIZE + 64];

  g_snprintf (text, sizeof text, "%s%s%s%s",
              has_fault ("leaving") ? "Server-Leaving: 1\r\n" : "",
              *limit ? "Server-Limit: " : "", limit, *limit ? "\r\n" : "");
  return text;
}

/* Takes the limit of HEAD, a request for /limit/VALUE.  */
static void
set_limit (const char *head)
{
  sscanf (head, "GET /limit/%31[^ ]", limit); /* NOLINT(cert-err34-c) */
  if (g_str_has_prefix (head, "GET /limit/ "))
    *limit = '\0';
  has_named_limit = true;
}

/* Responds to ATTEMPT_ID, a request that continues a stream after event LAST,
   by what does not.  Returns false where the fault is another.  */
static bool
spoil_resumption (struct connection *c, const char *attempt_id, int last)
{
  static const struct
  {
    const char *fault;
    const char *status;
    const char *type;
    const char *body;
  } kinds[] = {
    { "resume-plain", "200 OK", "text/plain", "strange text\n\nstrange end" },
    { "resume-line", "200 OK", "text/plain", "strange end" },
    { "resume-typed", "200 OK", "text/event-stream",
      "strange text\n\nstrange end\n\n" },
    { "resume-bare", "200 OK", "text/event-stream",
      "data: strange\n\ndata: strange\n\n" },
    { "resume-gap", "200 OK", "text/event-stream",
      "id: 6\ndata: strange\n\n" },
    { "resume-error", "500 Failed", "text/event-stream",
      "id: 4\ndata: strange\n\n" },
  };

  for (size_t i = 0; last > 0 && i < G_N_ELEMENTS (kinds); i++)
    if (has_fault (kinds[i].fault))
      {
        g_autofree char *headers
            = g_strdup_printf ("X-Replica-Signature: %s\r\nContent-Type: "
                               "%s\r\n",
                               id, kinds[i].type);
        respond (c, kinds[i].status, attempt_id, headers, kinds[i].body);
        return true;
      }
  return false;
}

/* Sends event I in a chunk of its own.  */
static void
send_event (struct connection *c, int i)
{
  g_autofree char *event
      = g_strdup_printf ("id: %d\ndata: piece %d\n\n", i, i);
  g_autofree char *chunk
      = g_strdup_printf ("%zx\r\n%s\r\n", strlen (event), event);

  write_text (c, chunk);
}

static void on_pass (uv_timer_t *t);

/* Starts the next pass of a paced replica, if a request is in flight.  */
static void
start_pass (void)
{
  uint32_t n = 0;

  for (guint i = 0; i < connections->len; i++)
    {
      const struct connection *c = g_ptr_array_index (connections, i);
      n += c->next_event > 0;
    }
  if (n > 0)
    uv_timer_start (&pass_timer, on_pass,
                    pace.fixed_ms + (uint64_t)n * pace.request_ms, 0);
}

/* From the last connection on, since one that fails is removed.  */
static void
on_pass (uv_timer_t *t)
{
  (void)t;
  for (guint i = connections->len; i-- > 0;)
    {
      struct connection *c = g_ptr_array_index (connections, i);
      if (c->next_event == 0)
        continue;
      send_event (c, (int)c->next_event);
      if (c->next_event++ < pace.events)
        continue;
      c->next_event = 0;
      if (!uv_is_closing ((uv_handle_t *)&c->tcp))
        write_text (c, "0\r\n\r\n");
    }
  start_pass ();
}

static void
on_pause_timer (uv_timer_t *t)
{
  struct connection *c = t->data;

  for (int i = BREAK_AFTER + 1; i <= EVENTS; i++)
    send_event (c, i);
  write_text (c, "0\r\n\r\n");
}

/* Sends the events after Last-Event-Id, each in a chunk of its own.  */
static void
send_stream (struct connection *c, const char *head, const char *attempt_id)
{
  char *last = get_header (head, "Last-Event-Id");
  int from = atoi (last) + 1;
  char *start = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: %s\r\n"
      "%sContent-Type: text/event-stream\r\nTransfer-Encoding: "
      "chunked\r\n\r\n",
      attempt_id, id, state_headers ());

  if (spoil_resumption (c, attempt_id, from - 1))
    {
      g_free (start);
      g_free (last);
      return;
    }
  write_text (c, start);
  if (pace.events > 0)
    {
      c->next_event = (uint32_t)from;
      if (!uv_is_active ((uv_handle_t *)&pass_timer))
        start_pass ();
      g_free (start);
      g_free (last);
      return;
    }
  for (int i = from; i <= EVENTS; i++)
    {
      send_event (c, i);
      if (has_fault ("pause") && i == BREAK_AFTER)
        {
          uv_timer_start (&c->slow_timer, on_pause_timer, PAUSE_MS, 0);
          g_free (start);
          g_free (last);
          return;
        }
      if (has_fault ("break") && from == 1 && i == BREAK_AFTER)
        {
          write_text (c, "15\r\nid: 4\nda");
          close_connection (c);
          break;
        }
    }
  if (!uv_is_closing ((uv_handle_t *)&c->tcp))
    write_text (c, "0\r\n\r\n");
  g_free (start);
  g_free (last);
}

/* Sends BODY in one chunk, followed by a trailer of TRAILER_BYTES.  */
static void
respond_with_trailer (struct connection *c, const char *attempt_id,
                      const char *body)
{
  char *trailer = g_strnfill (TRAILER_BYTES, 't');
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: %s\r\n"
      "Keep-Alive: timeout=9\r\nTransfer-Encoding: chunked\r\n\r\n"
      "%zx\r\n%s\r\n0\r\nX-Trailer: %s\r\n\r\n",
      attempt_id, id, strlen (body), body, trailer);

  write_text (c, text);
  g_free (text);
  g_free (trailer);
}

/* Responds to a request that was executed, as FAULT says.  */
static void
respond_executed (struct connection *c, const char *attempt_id)
{
  char *signature = g_strdup_printf ("X-Replica-Signature: %s\r\n%s", id,
                                     state_headers ());
  char *body = g_strdup_printf ("answer of %s", id);

  if (has_fault ("answer-again") && c->answered_id)
    respond (c, "200 OK", c->answered_id, signature, "an earlier answer");
  g_free (c->answered_id);
  c->answered_id = g_strdup (attempt_id);
  if (has_fault ("reset"))
    close_connection (c);
  else if (has_fault ("garbage"))
    write_text (c, "\x01\x02 this is no answer\r\n\r\n");
  else if (has_fault ("cut"))
    {
      write_text (c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ");
      write_text (c, attempt_id);
      write_text (
          c, "\r\nX-Replica-Signature: x\r\nContent-Length: 100\r\n\r\nha");
      close_connection (c);
    }
  else if (has_fault ("trailers"))
    respond_with_trailer (c, attempt_id, body);
  else if (has_fault ("other-id"))
    respond (c, "200 OK", "another", signature, body);
  else if (has_fault ("unsigned"))
    respond (c, "200 OK", attempt_id, "", body);
  else if (has_fault ("fail"))
    respond (c, "500 Failed", attempt_id, signature, "no");
  else if (g_str_has_prefix (fault, "status:"))
    respond (c, fault + strlen ("status:"), attempt_id, signature, body);
  else if (g_str_has_prefix (fault, "header:"))
    {
      g_autofree char *headers
          = g_strconcat (signature, fault + strlen ("header:"), "\r\n", NULL);
      respond (c, "200 OK", attempt_id, headers, body);
    }
  else if (has_fault ("unframed"))
    {
      write_text (c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ");
      write_text (c, attempt_id);
      write_text (c, "\r\nX-Replica-Signature: x\r\n\r\nup to the end");
      close_connection (c);
    }
  else
    respond (c, "200 OK", attempt_id, signature, body);
  if (has_fault ("extra"))
    respond (c, "200 OK", attempt_id, signature, "a second answer");
  g_free (signature);
  g_free (body);
}

static void
on_slow_timer (uv_timer_t *t)
{
  struct connection *c = t->data;

  respond_executed (c, c->attempt_id);
}

/* Responds to a request that was executed after SLOW_MS.  */
static void
respond_slowly (struct connection *c, const char *attempt_id)
{
  g_free (c->attempt_id);
  c->attempt_id = g_strdup (attempt_id);
  uv_timer_start (&c->slow_timer, on_slow_timer, SLOW_MS, 0);
}

static bool start_listening (void);

static void
on_restart_timer (uv_timer_t *t)
{
  (void)t;
  if (!start_listening ())
    {
      fprintf (stderr, "fake-replica: cannot listen again\n");
      exit (1);
    }
}

/* Plays the end and the restart of the server process.  */
static void
crash (void)
{
  g_string_append (request_log, "ended\n");
  while (connections->len > 0)
    close_connection (g_ptr_array_index (connections, 0));
  if (!uv_is_closing ((uv_handle_t *)&listener))
    uv_close ((uv_handle_t *)&listener, NULL);
  uv_timer_start (&restart_timer, on_restart_timer, DOWN_MS, 0);
}

/* Returns whether the path in HEAD contains WORD.  */
static bool
path_contains (const char *head, const char *word)
{
  const char *end = strstr (head, " HTTP/");

  return end && g_strstr_len (head, end - head, word) != NULL;
}

/* Returns whether the prompt in HEAD has the part "dead", not as the last.  */
static bool
has_dead_part (const char *head)
{
  g_autofree char *parts = get_header (head, "X-Prefix-Hash");
  g_auto (GStrv) list = g_strsplit (parts, ",", -1);

  for (guint i = 0; i + 1 < g_strv_length (list); i++)
    if (g_str_has_prefix (list[i], "dead:"))
      return true;
  return false;
}

/* Logs that the request ATTEMPT_ID has reached the replica.  Returns whether
   it is turned away with 503, and sets *HEADERS to what the response says.  */
static bool
turns_away (const char *attempt_id, const char **headers)
{
  bb_ms now = bb_clock_now ();

  if (has_fault ("rest") || has_fault ("weary") || has_fault ("leaving")
      || has_fault ("left") || has_named_limit)
    g_string_append_printf (request_log, "reached %s at %lld\n", attempt_id,
                            (long long)now);
  if (has_fault ("rest") || has_fault ("weary"))
    {
      if (shed_until_ms == 0)
        shed_until_ms = now + SHED_MS;
      *headers = has_fault ("rest")
                     ? "X-Not-Executed: 1\r\nRetry-After: " REST_S "\r\n"
                     : "X-Not-Executed: 1\r\nAt-Server: i-9\r\n"
                       "Retry-After: " REST_S "\r\n";
      return now < shed_until_ms;
    }
  *headers = has_fault ("left") ? "X-Not-Executed: 1\r\nServer-Leaving: 1\r\n"
             : has_fault ("broken") ? "X-Not-Executed: 1\r\nAt-Server: i-9\r\n"
                                    : "X-Not-Executed: 1\r\n";
  return has_fault ("left") || has_fault ("broken") || has_fault ("not-run");
}

/* Returns whether the group of the replica is broken.  */
static bool
is_broken (void)
{
  return has_fault ("broken")
         || (has_fault ("weary") && shed_until_ms > 0
             && bb_clock_now () < shed_until_ms);
}

static void
close_by_fault (void *user)
{
  close_connection (user);
}

/* Responds with a fault of bytes.h.  */
static void
respond_bytes (struct connection *c, const char *head, const char *attempt_id)
{
  g_autofree char *last = get_header (head, "Last-Event-Id");

  if (!c->bytes)
    c->bytes = bytes_sender_new (&c->tcp, fault, id, close_by_fault, c);
  bytes_respond (c->bytes, attempt_id, strstr (head, " /stream/") != NULL,
                 atoi (last));
}

static void
handle_request (struct connection *c, const char *head)
{
  const char *headers;
  char *attempt_id = get_header (head, "X-Attempt-Id");
  char *expected_id = get_header (head, "X-Expect-Replica");

  if (g_str_has_prefix (head, "GET /ran "))
    {
      respond (c, "200 OK", attempt_id, "Connection: close\r\n",
               request_log->str);
      close_connection (c);
    }
  else if (g_str_has_prefix (head, "GET /limit/"))
    {
      set_limit (head);
      respond (c, "200 OK", attempt_id, "Connection: close\r\n", "");
      close_connection (c);
    }
  else if (g_str_has_prefix (head, "GET /v1/report ") && has_fault ("mute"))
    respond (c, "503 Starting", attempt_id, "", "");
  else if (g_str_has_prefix (head, "GET /v1/report "))
    respond (c, "200 OK", attempt_id, "",
             is_broken () ? broken_report : prepared_report);
  else if (g_str_has_prefix (head, "GET /v1/picked "))
    {
      g_string_append (request_log, "counted\n");
      respond (c, "200 OK", attempt_id, "",
               "{\"step\":9,\"epoch\":1,\"counts\":[1,2]}");
    }
  else if (*expected_id && strcmp (expected_id, id) != 0)
    respond (c, "421 Elsewhere", attempt_id, "X-Not-Executed: 1\r\n", "");
  else if (has_fault ("refusal-again") && !c->refused_id)
    {
      c->refused_id = g_strdup (attempt_id);
      respond (c, "503 Full", attempt_id, "X-Not-Executed: 1\r\n", "");
    }
  else if (turns_away (attempt_id, &headers))
    {
      g_autofree char *all
          = g_strconcat (headers, *limit ? state_headers () : "", NULL);
      respond (c, "503 Full", attempt_id, all, "");
    }
  else
    {
      char *customer = get_header (head, "X-Tenant");
      char *deadline = get_header (head, "X-Deadline-Ms");
      char *key = get_header (head, "Authorization");
      g_string_append_printf (request_log, "%s by %s within %s key %s\n",
                              attempt_id, customer, deadline, key);
      g_free (customer);
      g_free (deadline);
      g_free (key);
      if (c->refused_id)
        respond (c, "503 Full", c->refused_id, "X-Not-Executed: 1\r\n", "");
      if (has_dead_part (head))
        {
          write_text (c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ");
          write_text (c, attempt_id);
          write_text (c, has_fault ("unframed")
                             ? "\r\nX-Replica-Signature: x\r\n\r\n"
                             : "\r\nX-Replica-Signature: x\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n");
          crash ();
        }
      else if (path_contains (head, "crash"))
        crash ();
      else if (has_fault ("silent"))
        ;
      else if (bytes_is_fault (fault))
        respond_bytes (c, head, attempt_id);
      else if (path_contains (head, "slow"))
        respond_slowly (c, attempt_id);
      else if (pace.events > 0 || strstr (head, " /stream/"))
        send_stream (c, head, attempt_id);
      else
        respond_executed (c, attempt_id);
    }
  g_free (attempt_id);
  g_free (expected_id);
}

/* Handles each request that has been received completely, or earlier with a
   fault that answers earlier.  */
static void
process_input (struct connection *c)
{
  char *end;

  while (!uv_is_closing ((uv_handle_t *)&c->tcp)
         && (end = strstr (c->in->str, "\r\n\r\n")))
    {
      size_t head_size = (size_t)(end - c->in->str) + 4;
      char *head = g_strndup (c->in->str, head_size);
      char *length = get_header (head, "Content-Length");
      size_t size = head_size + strtoul (length, NULL, 10);
      bool whole = c->in->len >= size;
      g_free (length);
      if (whole)
        g_string_erase (c->in, 0, (gssize)size);
      if (whole || bytes_answers_early (fault))
        handle_request (c, head);
      g_free (head);
      if (!whole)
        return;
    }
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *b)
{
  static char shared[65536];

  (void)h;
  (void)suggested;
  *b = uv_buf_init (shared, sizeof shared);
}

static void
on_read (uv_stream_t *s, ssize_t size, const uv_buf_t *b)
{
  struct connection *c = s->data;

  if (size < 0)
    {
      close_connection (c);
      return;
    }
  g_string_append_len (c->in, b->base, size);
  process_input (c);
}

static void
on_connection (uv_stream_t *s, int status)
{
  struct connection *c = g_new0 (struct connection, 1);

  (void)status;
  c->in = g_string_new ("");
  c->tcp.data = c;
  c->slow_timer.data = c;
  c->open_handles = 2;
  uv_tcp_init (s->loop, &c->tcp);
  uv_timer_init (s->loop, &c->slow_timer);
  g_ptr_array_add (connections, c);
  if (uv_accept (s, (uv_stream_t *)&c->tcp) < 0
      || uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read) < 0)
    close_connection (c);
}

static bool
start_listening (void)
{
  int size = RECEIVE_BUFFER_BYTES;

  uv_tcp_init (uv_default_loop (), &listener);
  if (uv_tcp_bind (&listener, (const struct sockaddr *)&listen_addr, 0) < 0)
    return false;
  if (bytes_answers_early (fault))
    uv_recv_buffer_size ((uv_handle_t *)&listener, &size);
  return uv_listen ((uv_stream_t *)&listener, 64, on_connection) == 0;
}

int
main (int argc, char **argv)
{
  uv_loop_t *loop = uv_default_loop ();

  if (argc < 3 || !bb_address_parse (argv[1], &listen_addr))
    {
      fprintf (stderr, "Usage: fake-replica ADDRESS:PORT ID [FAULT]\n");
      return 2;
    }
  id = argv[2];
  fault = argc > 3 ? argv[3] : "";
  request_log = g_string_new ("");
  connections = g_ptr_array_new ();
  /* NOLINTNEXTLINE(cert-err34-c) */
  sscanf (fault, "paced:%u:%u:%u", &pace.fixed_ms, &pace.request_ms,
          &pace.events);
  uv_timer_init (loop, &restart_timer);
  uv_timer_init (loop, &pass_timer);
  if (!start_listening ())
    {
      fprintf (stderr, "fake-replica: cannot listen on %s\n", argv[1]);
      return 1;
    }
  printf ("ready\n");
  fflush (stdout);
  return uv_run (loop, UV_RUN_DEFAULT);
}
