#include "harness.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  RESPONSE_TIMEOUT_MS = 60000,
  POLL_MS = 20
};

int
harness_connect (uint16_t port)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
harness_send_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t n = send (fd, data, size, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      data += n;
      size -= (size_t)n;
    }
  return true;
}

void
harness_reset_at_close (int fd)
{
  struct linger linger = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Sets *RESET if the connection ended by a reset.  */
static char *
read_all (int fd, size_t *size, int timeout_ms, bool *reset)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, size);
  struct pollfd p = { .fd = fd, .events = POLLIN };
  char buf[65536];
  ssize_t n = 0;

  while (poll (&p, 1, timeout_ms) > 0 && (n = read (fd, buf, sizeof buf)) > 0)
    fwrite (buf, 1, (size_t)n, out);
  *reset = n < 0;
  fclose (out);
  return text;
}

/* As harness_send_raw; sets *RESET if the connection ended by a reset.  */
static char *
exchange (uint16_t port, const char *data, size_t size, int timeout_ms,
          bool *reset)
{
  int fd = harness_connect (port);
  size_t received_bytes = 0;
  char *text;

  if (fd < 0)
    return strdup ("");
  harness_send_all (fd, data, size);
  text = read_all (fd, &received_bytes, timeout_ms, reset);
  close (fd);
  return text;
}

char *
harness_send_raw (uint16_t port, const char *data, size_t size, int timeout_ms)
{
  bool reset = false;

  return exchange (port, data, size, timeout_ms, &reset);
}

int
harness_send_unread (uint16_t port, const char *data, size_t size)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int buffer_bytes = 4096;

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) < 0
      || !harness_send_all (fd, data, size))
    abort ();
  return fd;
}

/* Decodes the chunked encoding of BODY in place, also of a part of it, and
   updates *SIZE.  Returns false when the last chunk is missing.  */
static bool
decode_chunks (char *body, size_t *size)
{
  char *in = body;
  char *out = body;
  char *end = body + *size;
  bool complete = false;

  for (;;)
    {
      char *rest;
      size_t n = strtoul (in, &rest, 16);
      if (rest == in || rest + 2 > end || !(in = strstr (rest, "\r\n")))
        break;
      in += 2;
      complete = n == 0 && end - in >= 2;
      if (n == 0)
        break;
      if (n > (size_t)(end - in))
        n = (size_t)(end - in);
      memmove (out, in, n);
      out += n;
      in += n + 2;
      if (in > end)
        break;
    }
  *size = (size_t)(out - body);
  *out = '\0';
  return complete;
}

static void
parse_response (struct http_response *r, char *text, size_t size, bool reset)
{
  char *body = strstr (text, "\r\n\r\n");
  const char *length;

  if (!body || sscanf (text, "HTTP/1.%*d %d", &r->status) != 1)
    {
      r->status = 0;
      return;
    }
  r->headers = strndup (text, (size_t)(body - text) + 2);
  body += 4;
  r->body_size = size - (size_t)(body - text);
  r->body = malloc (r->body_size + 1);
  memcpy (r->body, body, r->body_size);
  r->body[r->body_size] = '\0';
  length = strcasestr (r->headers, "\r\ncontent-length:");
  if (length)
    r->complete = strtoul (length + 17, NULL, 10) == r->body_size;
  else if (strcasestr (r->headers, "\r\ntransfer-encoding: chunked"))
    r->complete = decode_chunks (r->body, &r->body_size);
  else
    r->complete = !reset;
}

struct http_response
harness_http (uint16_t port, const char *method, const char *path,
              const char *headers, const char *body)
{
  struct http_response r = { 0 };
  char *request = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&request, &size);
  bool reset = false;
  char *text;

  fprintf (out, "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n%s",
           method, path, headers);
  if (*body || strcmp (method, "POST") == 0)
    fprintf (out, "Content-Length: %zu\r\n", strlen (body));
  fprintf (out, "\r\n%s", body);
  fclose (out);
  text = exchange (port, request, size, RESPONSE_TIMEOUT_MS, &reset);
  parse_response (&r, text, strlen (text), reset);
  free (text);
  free (request);
  return r;
}

void
http_response_free (struct http_response *r)
{
  free (r->headers);
  free (r->body);
  memset (r, 0, sizeof *r);
}

bool
harness_await (uint16_t port, const char *path, const char *text,
               int timeout_ms)
{
  for (int spent = 0; spent < timeout_ms; spent += POLL_MS)
    {
      struct http_response r = harness_http (port, "GET", path, "", "");
      bool matches = r.body && strstr (r.body, text);
      http_response_free (&r);
      if (matches)
        return true;
      harness_sleep_ms (POLL_MS);
    }
  return false;
}

uint64_t
harness_counter (uint16_t port, const char *name, const char *labels)
{
  struct http_response r = harness_http (port, "GET", "/metrics", "", "");
  char line[256];
  const char *found;
  uint64_t value = 0;

  if (*labels)
    snprintf (line, sizeof line, "\n%s{%s} ", name, labels);
  else
    snprintf (line, sizeof line, "\n%s ", name);
  found = r.body ? strstr (r.body, line) : NULL;
  if (found)
    value = strtoull (found + strlen (line), NULL, 10);
  http_response_free (&r);
  return value;
}
