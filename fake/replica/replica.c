/* fake-replica - a stand-in for a replica of the platform: its own sockets, so
   that answers can be spoiled.

   Usage: fake-replica ADDRESS:PORT ID [FAULT]

   It answers 200 to requests that expect ID or nobody, with the request's id
   echoed, and 421 to others.  FAULT spoils answers to all paths but /ran and
   /v1/...: reset, cut, garbage, extra, other-id, unsigned, not-run, fail,
   silent, unframed, early.  Paths that begin with /stream/ give events 1 to 6
   after Last-Event-Id; the fault break ends them after event 3 for callers
   that have seen none.  GET /ran gives the ids of requests that ran,
   and a line for each time that its counts were asked for.  */

#include "bilberry/settings.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

enum
{
  EVENTS = 6,
  BREAK_AFTER = 3
};

struct channel
{
  uv_tcp_t tcp;
  GString *in;
};

static const char *id;
static const char *fault = "";
static GString *ran;

static void
on_closed (uv_handle_t *h)
{
  struct channel *c = h->data;

  g_string_free (c->in, TRUE);
  g_free (c);
}

static void
close_channel (struct channel *c)
{
  if (!uv_is_closing ((uv_handle_t *)&c->tcp))
    uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

static void
put (struct channel *c, const char *text)
{
  uv_buf_t b = uv_buf_init ((char *)text, (unsigned)strlen (text));

  if (uv_try_write ((uv_stream_t *)&c->tcp, &b, 1) != (int)b.len)
    close_channel (c);
}

/* Returns the value of header NAME in HEAD; the caller frees it.  */
static char *
header (const char *head, const char *name)
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

/* A rank of a group of one with a map that is prepared and not in use.  */
static const char report_text[]
    = "{\"queued\":0,\"running\":0,\"group\":{\"name\":\"g\",\"epoch\":1,"
      "\"rank\":0,\"state\":\"open\"},\"size\":2,\"step\":9,\"map\":0,"
      "\"prepared\":5}";

/* A rank of another group, which has lost a rank.  */
static const char broken_text[]
    = "{\"queued\":0,\"running\":0,\"group\":{\"name\":\"b\",\"epoch\":1,"
      "\"rank\":0,\"state\":\"broken\"},\"size\":2,\"step\":9,\"map\":0}";

static bool
has_fault (const char *name)
{
  return strcmp (fault, name) == 0;
}

static void
answer (struct channel *c, const char *status, const char *attempt,
        const char *more, const char *body)
{
  char *text = g_strdup_printf ("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%s"
                                "Content-Length: %zu\r\n\r\n%s",
                                status, attempt, more, strlen (body), body);

  put (c, text);
  g_free (text);
}

static void
stream (struct channel *c, const char *head, const char *attempt)
{
  char *last = header (head, "Last-Event-Id");
  int from = atoi (last) + 1;
  char *start = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: %s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      attempt, id);

  put (c, start);
  for (int i = from; i <= EVENTS; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: piece %d\n\n", i, i);
      char *chunk = g_strdup_printf ("%zx\r\n%s\r\n", strlen (event), event);
      put (c, chunk);
      g_free (event);
      g_free (chunk);
      if (has_fault ("break") && from == 1 && i == BREAK_AFTER)
        {
          put (c, "15\r\nid: 4\nda");
          close_channel (c);
          break;
        }
    }
  if (!uv_is_closing ((uv_handle_t *)&c->tcp))
    put (c, "0\r\n\r\n");
  g_free (start);
  g_free (last);
}

/* Answers a request that ran, spoiled or not.  */
static void
answer_run (struct channel *c, const char *attempt)
{
  char *sign = g_strdup_printf ("X-Replica-Signature: %s\r\n", id);
  char *body = g_strdup_printf ("answer of %s", id);

  if (has_fault ("reset"))
    close_channel (c);
  else if (has_fault ("garbage"))
    put (c, "\x01\x02 this is no answer\r\n\r\n");
  else if (has_fault ("cut"))
    {
      put (c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ");
      put (c, attempt);
      put (c, "\r\nX-Replica-Signature: x\r\nContent-Length: 100\r\n\r\nha");
      close_channel (c);
    }
  else if (has_fault ("other-id"))
    answer (c, "200 OK", "another", sign, body);
  else if (has_fault ("unsigned"))
    answer (c, "200 OK", attempt, "", body);
  else if (has_fault ("fail"))
    answer (c, "500 Failed", attempt, sign, "no");
  else if (has_fault ("unframed"))
    {
      put (c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ");
      put (c, attempt);
      put (c, "\r\nX-Replica-Signature: x\r\n\r\nup to the end");
      close_channel (c);
    }
  else
    answer (c, "200 OK", attempt, sign, body);
  if (has_fault ("extra"))
    answer (c, "200 OK", attempt, sign, "a second answer");
  g_free (sign);
  g_free (body);
}

static void
serve (struct channel *c, const char *head)
{
  char *attempt = header (head, "X-Attempt-Id");
  char *expect = header (head, "X-Expect-Replica");

  if (g_str_has_prefix (head, "GET /ran "))
    {
      answer (c, "200 OK", attempt, "Connection: close\r\n", ran->str);
      close_channel (c);
    }
  else if (g_str_has_prefix (head, "GET /v1/report ") && has_fault ("mute"))
    answer (c, "503 Starting", attempt, "", "");
  else if (g_str_has_prefix (head, "GET /v1/report "))
    answer (c, "200 OK", attempt, "",
            has_fault ("broken") ? broken_text : report_text);
  else if (g_str_has_prefix (head, "GET /v1/picked "))
    {
      g_string_append (ran, "counted\n");
      answer (c, "200 OK", attempt, "",
              "{\"step\":9,\"epoch\":1,\"counts\":[1,2]}");
    }
  else if (*expect && strcmp (expect, id) != 0)
    answer (c, "421 Elsewhere", attempt, "X-Not-Executed: 1\r\n", "");
  else if (has_fault ("broken"))
    answer (c, "503 Broken", attempt,
            "X-Not-Executed: 1\r\nAt-Server: i-9\r\n", "");
  else if (has_fault ("not-run"))
    answer (c, "503 Full", attempt, "X-Not-Executed: 1\r\n", "");
  else
    {
      char *customer = header (head, "X-Tenant");
      char *deadline = header (head, "X-Deadline-Ms");
      char *key = header (head, "Authorization");
      g_string_append_printf (ran, "%s by %s within %s key %s\n", attempt,
                              customer, deadline, key);
      g_free (customer);
      g_free (deadline);
      g_free (key);
      if (has_fault ("silent"))
        ;
      else if (strstr (head, " /stream/"))
        stream (c, head, attempt);
      else
        answer_run (c, attempt);
    }
  g_free (attempt);
  g_free (expect);
}

/* Serves each request that is whole.  */
static void
take (struct channel *c)
{
  char *end;

  while (!uv_is_closing ((uv_handle_t *)&c->tcp)
         && (end = strstr (c->in->str, "\r\n\r\n")))
    {
      size_t head_size = (size_t)(end - c->in->str) + 4;
      char *head = g_strndup (c->in->str, head_size);
      char *length = header (head, "Content-Length");
      size_t size = head_size + strtoul (length, NULL, 10);
      bool whole = c->in->len >= size;
      g_free (length);
      if (whole)
        {
          g_string_erase (c->in, 0, (gssize)size);
          serve (c, head);
        }
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
  struct channel *c = s->data;

  if (size < 0)
    {
      close_channel (c);
      return;
    }
  g_string_append_len (c->in, b->base, size);
  take (c);
}

static void
on_connection (uv_stream_t *s, int status)
{
  struct channel *c = g_new0 (struct channel, 1);

  (void)status;
  c->in = g_string_new ("");
  c->tcp.data = c;
  uv_tcp_init (s->loop, &c->tcp);
  if (uv_accept (s, (uv_stream_t *)&c->tcp) < 0
      || uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read) < 0)
    close_channel (c);
}

int
main (int argc, char **argv)
{
  uv_loop_t *loop = uv_default_loop ();
  struct sockaddr_storage addr;
  uv_tcp_t tcp;

  if (argc < 3 || !bb_address_parse (argv[1], &addr))
    {
      fprintf (stderr, "Usage: fake-replica ADDRESS:PORT ID [FAULT]\n");
      return 2;
    }
  id = argv[2];
  fault = argc > 3 ? argv[3] : "";
  ran = g_string_new ("");
  uv_tcp_init (loop, &tcp);
  if (uv_tcp_bind (&tcp, (const struct sockaddr *)&addr, 0) < 0
      || uv_listen ((uv_stream_t *)&tcp, 64, on_connection) < 0)
    {
      fprintf (stderr, "fake-replica: cannot listen on %s\n", argv[1]);
      return 1;
    }
  printf ("ready\n");
  fflush (stdout);
  return uv_run (loop, UV_RUN_DEFAULT);
}
