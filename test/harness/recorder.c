#include "recorder.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  AWAIT_TIMEOUT_MS = 5000,
  POLL_INTERVAL_MS = 25
};

void
recorder_register (struct testbed *t, struct recorder r, const char *id,
                   const char *pool, const char *fields)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", id);
  g_autofree char *value
      = g_strdup_printf ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
                         "\"version\":\"v1\",\"slots\":8,\"seq\":1,%s}",
                         pool, t->replica_ports[r.replica], fields);

  testbed_put_item (t, key, value);
}

struct recorder
recorder_start (struct testbed *t, const char *id, const char *pool,
                const char *fault)
{
  uint16_t port = harness_port (t->harness);
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", port);
  struct recorder r = { .replica = t->replicas_count++ };

  t->replica_ports[r.replica] = port;
  r.pid = harness_start (t->harness, id, "fake-recorder", address, id, fault,
                         NULL);
  recorder_register (t, r, id, pool, RECORDER_READY);
  return r;
}

char *
recorder_arrived (struct testbed *t, struct recorder r)
{
  struct http_response a
      = harness_http (t->replica_ports[r.replica], "GET", "/arrived", "", "");
  char *text = g_strdup (a.body ? a.body : "");

  http_response_free (&a);
  return text;
}

bool
recorder_await (struct testbed *t, struct recorder r, const char *text)
{
  for (int spent = 0; spent < AWAIT_TIMEOUT_MS; spent += POLL_INTERVAL_MS)
    {
      g_autofree char *arrived = recorder_arrived (t, r);
      if (strstr (arrived, text))
        return true;
      harness_sleep_ms (POLL_INTERVAL_MS);
    }
  return false;
}

void
caller_connect (struct caller *c, struct testbed *t, uint32_t e)
{
  c->fd = harness_connect (t->edges[e].front_port);
  c->in = g_string_new ("");
  c->state = c->fd < 0 ? CALLER_CLOSED : CALLER_CONNECTED;
}

void
caller_free (struct caller *c)
{
  if (c->fd >= 0)
    close (c->fd);
  g_string_free (c->in, TRUE);
}

void
caller_write (struct caller *c, const char *data, size_t size)
{
  while (size > 0 && c->state == CALLER_CONNECTED)
    {
      ssize_t n = send (c->fd, data, size, MSG_NOSIGNAL);
      if (n < 0)
        c->state = CALLER_CLOSED;
      else
        {
          data += n;
          size -= (size_t)n;
        }
    }
}

void
caller_send (struct caller *c, const char *method, const char *path,
             const char *id, const char *body)
{
  g_autofree char *length
      = body ? g_strdup_printf ("Content-Length: %zu\r\n", strlen (body))
             : g_strdup ("");
  g_autofree char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: %s\r\n"
      "Authorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\n%s\r\n%s",
      method, path, id, length, body ? body : "");

  caller_write (c, text, strlen (text));
}

/* Reads what is there.  Returns false if nothing is within TIMEOUT_MS.  */
static bool
read_more (struct caller *c, int timeout_ms)
{
  struct pollfd p = { .fd = c->fd, .events = POLLIN };
  char buf[4096];
  ssize_t n;

  if (poll (&p, 1, timeout_ms) <= 0)
    return false;
  n = read (c->fd, buf, sizeof buf);
  if (n > 0)
    g_string_append_len (c->in, buf, n);
  else
    c->state = n < 0 && errno == ECONNRESET ? CALLER_RESET : CALLER_CLOSED;
  return true;
}

bool
caller_read (struct caller *c, const char *text, int timeout_ms)
{
  while (c->state == CALLER_CONNECTED && !strstr (c->in->str, text))
    if (!read_more (c, timeout_ms))
      return false;
  return true;
}

int
caller_read_response (struct caller *c)
{
  int status = 0;
  size_t size = 0;
  const char *end;
  const char *length;

  caller_read (c, "\r\n\r\n", AWAIT_TIMEOUT_MS);
  end = strstr (c->in->str, "\r\n\r\n");
  length = strstr (c->in->str, "Content-Length: ");
  if (!end || !length || length > end
      || sscanf (c->in->str, "HTTP/1.1 %d", &status) != 1)
    return 0;
  size = (size_t)(end - c->in->str) + 4
         + strtoul (length + strlen ("Content-Length: "), NULL, 10);
  while (c->in->len < size && c->state == CALLER_CONNECTED)
    if (!read_more (c, AWAIT_TIMEOUT_MS))
      return 0;
  if (c->in->len < size)
    return 0;
  g_string_erase (c->in, 0, (gssize)size);
  return status;
}
