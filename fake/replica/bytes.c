#include "bytes.h"

#include <glib.h>
#include <string.h>

enum
{
  BLOCK_BYTES = 64 * 1024,
  SLOW_MS = 1000, /* interval between two bytes */
  RESET_MS = 50,  /* time until what was sent before a reset was read */
  LATE_MS = 900,
  UPLOAD_MS = 100, /* time until an upload has filled the buffers */
  PART_EVENTS = 4000,
  EXTENSION_BYTES = 2000,
  EVENTS = 6,
  WHOLE_EVENTS = 3, /* events before the fault in a stream */
  HEAD_BYTES = 1024
};

/* What is sent before the endless part, and a unit of that part.  */
struct endless_kind
{
  const char *name;
  bool has_head;       /* the head of a response precedes START */
  const char *framing; /* headers at the end of that head */
  const char *start;
  const char *unit;
};

static const char chunked[] = "Transfer-Encoding: chunked\r\n";

static const struct endless_kind kinds[] = {
  { "junk", false, "", "", "\x01" },
  { "blank", false, "", "", "\r\n" },
  { "reason", false, "", "HTTP/1.1 200 ", "O" },
  { "value", false, "", "HTTP/1.1 200 OK\r\nX-Long: ", "x" },
  { "headers", false, "", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n" },
  { "interim", false, "", "", "HTTP/1.1 102 Processing\r\n\r\n" },
  { "body", true, "", "", "x" },
  { "length", true, "Content-Length: 1000000000000\r\n", "", "x" },
  { "chunks", true, chunked, "", "10\r\n0123456789abcdef\r\n" },
  { "extension", true, chunked, "1;", "e" },
  { "extensions", true, chunked, "", NULL },
  { "trailers", true, chunked, "1\r\nx\r\n0\r\n", "X-More: 1\r\n" },
  { "event", true, "", "id: 1\ndata: ", "x" },
  { "lines", true, "", "id: 1\ndata: piece 1\n\n", "\n" },
  { "pieces", true, chunked, "", "1\r\nx\r\n" },
};

static const char *const other_faults[]
    = { "chunk-first",  "close-whole",  "close-inside",
        "chunk-inside", "reset-inside", "reset-between",
        "reset-body",   "reset-upload", "late-head" };

struct bytes_sender
{
  uv_tcp_t *tcp;
  uv_timer_t timer;
  uv_write_t write;
  const char *fault;
  const char *id;
  void (*close) (void *);
  void *user;
  const struct endless_kind *kind;
  char *attempt_id;
  char block[BLOCK_BYTES]; /* whole units */
  size_t block_bytes;
  size_t position; /* of the next byte of the block that is sent slowly */
  bool writing;
  bool freed;
  bool timer_closed;
  uint32_t responses;
};

static const struct endless_kind *
find_kind (const char *fault)
{
  const char *name = strchr (fault, ':');

  for (size_t i = 0; name && i < G_N_ELEMENTS (kinds); i++)
    if (strcmp (name + 1, kinds[i].name) == 0)
      return &kinds[i];
  return NULL;
}

bool
bytes_is_fault (const char *fault)
{
  for (size_t i = 0; i < G_N_ELEMENTS (other_faults); i++)
    if (strcmp (fault, other_faults[i]) == 0)
      return true;
  return find_kind (fault) != NULL;
}

bool
bytes_answers_early (const char *fault)
{
  return strcmp (fault, "reset-upload") == 0;
}

static void
free_if_unused (struct bytes_sender *s)
{
  if (!s->freed || s->writing || !s->timer_closed)
    return;
  g_free (s->attempt_id);
  g_free (s);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct bytes_sender *s = h->data;

  s->timer_closed = true;
  free_if_unused (s);
}

void
bytes_sender_free (struct bytes_sender *s)
{
  s->freed = true;
  uv_close ((uv_handle_t *)&s->timer, on_timer_closed);
}

static void
fill_block (struct bytes_sender *s)
{
  g_autofree char *extension = g_strnfill (EXTENSION_BYTES, 'e');
  g_autofree char *chunk = g_strdup_printf ("1;%s\r\nx\r\n", extension);
  const char *unit = s->kind->unit ? s->kind->unit : chunk;
  size_t n = strlen (unit);

  while (s->block_bytes + n <= BLOCK_BYTES)
    {
      memcpy (s->block + s->block_bytes, unit, n);
      s->block_bytes += n;
    }
}

struct bytes_sender *
bytes_sender_new (uv_tcp_t *tcp, const char *fault, const char *id,
                  void (*close) (void *), void *user)
{
  struct bytes_sender *s = g_new0 (struct bytes_sender, 1);

  s->tcp = tcp;
  s->fault = fault;
  s->id = id;
  s->close = close;
  s->user = user;
  s->kind = find_kind (fault);
  if (s->kind)
    fill_block (s);
  uv_timer_init (tcp->loop, &s->timer);
  s->timer.data = s;
  s->write.data = s;
  return s;
}

static void
send_text (struct bytes_sender *s, const char *text)
{
  uv_buf_t b = uv_buf_init ((char *)text, (unsigned)strlen (text));

  uv_try_write ((uv_stream_t *)s->tcp, &b, 1);
}

static void
send_head (struct bytes_sender *s, const char *attempt_id, const char *framing)
{
  char text[HEAD_BYTES];

  g_snprintf (text, sizeof text,
              "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
              "X-Replica-Signature: %s\r\n%s\r\n",
              attempt_id, s->id, framing);
  send_text (s, text);
}

static void
send_sound_body (struct bytes_sender *s, const char *attempt_id)
{
  char body[64];
  char framing[64];

  g_snprintf (body, sizeof body, "answer of %s", s->id);
  g_snprintf (framing, sizeof framing, "Content-Length: %zu\r\n",
              strlen (body));
  send_head (s, attempt_id, framing);
  send_text (s, body);
}

static void send_block (struct bytes_sender *s);

static void
on_written (uv_write_t *req, int status)
{
  struct bytes_sender *s = req->data;

  s->writing = false;
  if (s->freed)
    free_if_unused (s);
  else if (status == 0)
    send_block (s);
}

static void
send_block (struct bytes_sender *s)
{
  uv_buf_t b = uv_buf_init (s->block, (unsigned)s->block_bytes);

  s->writing
      = uv_write (&s->write, (uv_stream_t *)s->tcp, &b, 1, on_written) == 0;
}

static void
on_slow_timer (uv_timer_t *t)
{
  struct bytes_sender *s = t->data;
  uv_buf_t b = uv_buf_init (s->block + s->position, 1);

  uv_try_write ((uv_stream_t *)s->tcp, &b, 1);
  s->position = (s->position + 1) % s->block_bytes;
}

static void
send_endless (struct bytes_sender *s, const char *attempt_id)
{
  if (s->kind->has_head)
    send_head (s, attempt_id, s->kind->framing);
  send_text (s, s->kind->start);
  if (strstr (s->fault, "slow:"))
    uv_timer_start (&s->timer, on_slow_timer, 0, SLOW_MS);
  else
    send_block (s);
}

/* Closes the connection by a reset.  */
static void
on_reset_timer (uv_timer_t *t)
{
  struct bytes_sender *s = t->data;
  struct linger linger = { 1, 0 };
  uv_os_fd_t fd;

  if (uv_fileno ((uv_handle_t *)s->tcp, &fd) == 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  s->close (s->user);
}

/* Sends a part of a body, whole events, to a peer that is still writing, and
   resets.  */
static void
on_upload_timer (uv_timer_t *t)
{
  struct bytes_sender *s = t->data;
  g_autoptr (GString) part = g_string_new ("");

  for (int i = 0; i < PART_EVENTS; i++)
    g_string_append (part, "data: xy\n\n");
  send_head (s, s->attempt_id, "");
  send_text (s, part->str);
  on_reset_timer (t);
}

static void
keep_attempt_id (struct bytes_sender *s, const char *attempt_id)
{
  g_free (s->attempt_id);
  s->attempt_id = g_strdup (attempt_id);
}

static void
send_part_of_stream (struct bytes_sender *s, const char *text, bool in_chunks)
{
  g_autofree char *chunk
      = g_strdup_printf ("%zx\r\n%s\r\n", strlen (text), text);

  send_text (s, in_chunks ? chunk : text);
}

/* Sends the events after LAST, or up to WHOLE_EVENTS and PART where it is not
   NULL.  */
static void
send_events (struct bytes_sender *s, const char *attempt_id, int last,
             bool in_chunks, const char *part)
{
  int end = part ? WHOLE_EVENTS : EVENTS;

  if (strcmp (s->fault, "chunk-first") == 0)
    end = 0;
  send_head (s, attempt_id,
             in_chunks ? "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n"
                       : "Content-Type: text/event-stream\r\n");
  for (int i = last + 1; i <= end; i++)
    {
      char event[64];
      g_snprintf (event, sizeof event, "id: %d\ndata: piece %d\n\n", i, i);
      send_part_of_stream (s, event, in_chunks);
    }
  if (part && *part)
    send_part_of_stream (s, part, in_chunks);
  if (in_chunks)
    send_text (s, "0\r\n\r\n");
}

/* Sends the events after LAST and ends the stream as the fault says.  */
static void
send_stream (struct bytes_sender *s, const char *attempt_id, int last)
{
  bool in_chunks = g_str_has_prefix (s->fault, "chunk-");
  bool whole = last > 0 || strcmp (s->fault, "close-whole") == 0;
  const char *part = "";

  if (g_str_has_suffix (s->fault, "-inside"))
    part = "id: 4\nda";
  else if (g_str_has_suffix (s->fault, "-first"))
    part = "id: 1\nda";

  send_events (s, attempt_id, last, in_chunks, whole ? NULL : part);
  if (in_chunks)
    return;
  if (!whole && g_str_has_prefix (s->fault, "reset-"))
    uv_timer_start (&s->timer, on_reset_timer, RESET_MS, 0);
  else
    s->close (s->user);
}

static void
on_late_timer (uv_timer_t *t)
{
  struct bytes_sender *s = t->data;

  send_sound_body (s, s->attempt_id);
}

static void
send_sound_response (struct bytes_sender *s, const char *attempt_id,
                     bool stream, int last)
{
  if (stream)
    send_events (s, attempt_id, last, true, NULL);
  else
    send_sound_body (s, attempt_id);
}

void
bytes_respond (struct bytes_sender *s, const char *attempt_id, bool stream,
               int last)
{
  bool is_first = s->responses++ == 0;

  if (s->kind && g_str_has_prefix (s->fault, "after-"))
    send_sound_response (s, attempt_id, stream, last);
  if (s->kind && g_str_has_prefix (s->fault, "kept-") && is_first)
    send_sound_response (s, attempt_id, stream, last);
  else if (s->kind)
    send_endless (s, attempt_id);
  else if (strcmp (s->fault, "late-head") == 0)
    {
      keep_attempt_id (s, attempt_id);
      uv_timer_start (&s->timer, on_late_timer, LATE_MS, 0);
    }
  else if (strcmp (s->fault, "reset-upload") == 0)
    {
      keep_attempt_id (s, attempt_id);
      uv_read_stop ((uv_stream_t *)s->tcp);
      uv_timer_start (&s->timer, on_upload_timer, UPLOAD_MS, 0);
    }
  else if (strcmp (s->fault, "reset-body") == 0)
    {
      send_head (s, attempt_id, "");
      send_text (s, "part of a body");
      uv_timer_start (&s->timer, on_reset_timer, RESET_MS, 0);
    }
  else if (stream)
    send_stream (s, attempt_id, last);
  else
    send_sound_body (s, attempt_id);
}
