/* The message reader: HTTP parsing by http-parser, and byte buffers.  */

#include "bilberry/net.h"
#include "h1.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STATUS_DIGITS = 3
};

void
h1_buffer_append (struct h1_buffer *b, const char *data, size_t size)
{
  if (b->size + size + 1 > b->capacity)
    {
      b->capacity = (b->size + size + 1) * 2;
      b->data = realloc (b->data, b->capacity);
      if (!b->data)
        abort ();
    }
  if (size > 0)
    memcpy (b->data + b->size, data, size);
  b->size += size;
  b->data[b->size] = '\0';
}

void
h1_buffer_reserve (struct h1_buffer *b, size_t size)
{
  if (size + 1 <= b->capacity)
    return;
  b->capacity = size + 1;
  b->data = realloc (b->data, b->capacity);
  if (!b->data)
    abort ();
}

void
h1_buffer_printf (struct h1_buffer *b, const char *format, ...)
{
  char buf[1024];
  va_list ap;
  int n;

  va_start (ap, format);
  n = vsnprintf (buf, sizeof buf, format, ap);
  va_end (ap);
  if (n < 0 || (size_t)n >= sizeof buf)
    abort ();
  h1_buffer_append (b, buf, (size_t)n);
}

void
h1_buffer_free (struct h1_buffer *b)
{
  free (b->data);
  memset (b, 0, sizeof *b);
}

static int
on_begin (http_parser *p)
{
  struct h1_reader *r = p->data;

  r->started = true;
  return 0;
}

static int
on_url (http_parser *p, const char *at, size_t size)
{
  struct h1_reader *r = p->data;

  h1_buffer_append (&r->head, at, size);
  r->target_size += (uint32_t)size;
  return 0;
}

/* Returns whether the SIZE bytes that were parsed belong to a trailer.  They
   are only counted: nothing here uses trailers.  */
static bool
skip_trailer (struct h1_reader *r, size_t size)
{
  if (!r->head_complete)
    return false;
  r->trailers_size += (uint32_t)size;
  return true;
}

static int
on_field (http_parser *p, const char *at, size_t size)
{
  struct h1_reader *r = p->data;
  struct h1_field *f;

  if (skip_trailer (r, size))
    return 0;
  if (r->fields_count == 0 || r->in_value)
    {
      r->in_value = false;
      if (r->fields_count == BB_H1_HEADERS_MAX)
        {
          r->overflow = true;
          return 1;
        }
      f = &r->fields[r->fields_count++];
      memset (f, 0, sizeof *f);
      f->name_offset = (uint32_t)r->head.size;
    }
  f = &r->fields[r->fields_count - 1];
  h1_buffer_append (&r->head, at, size);
  f->name_size += (uint32_t)size;
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t size)
{
  struct h1_reader *r = p->data;
  struct h1_field *f;

  /* The second: no header name precedes this value.  */
  if (skip_trailer (r, size) || r->fields_count == 0)
    return 0;
  f = &r->fields[r->fields_count - 1];
  if (!r->in_value)
    f->value_offset = (uint32_t)r->head.size;
  r->in_value = true;
  h1_buffer_append (&r->head, at, size);
  f->value_size += (uint32_t)size;
  return 0;
}

static struct bb_bytes
slice (const struct h1_reader *r, uint32_t offset, uint32_t size)
{
  struct bb_bytes b = { .ptr = r->head.data + offset, .size = size };

  return b;
}

static void
fill_message (struct h1_reader *r)
{
  struct bb_h1_message *m = &r->message;

  memset (m, 0, sizeof *m);
  m->status = (uint16_t)r->parser.status_code;
  if (r->parser.type == HTTP_REQUEST)
    m->method
        = bb_bytes_of (http_method_str ((enum http_method)r->parser.method));
  m->target = slice (r, 0, r->target_size);
  m->headers_count = r->fields_count;
  for (uint32_t i = 0; i < r->fields_count; i++)
    {
      const struct h1_field *f = &r->fields[i];
      m->headers[i].name = slice (r, f->name_offset, f->name_size);
      m->headers[i].value = slice (r, f->value_offset, f->value_size);
    }
}

/* Returns whether the message marks the end of its body, so that the close of
   the connection is not needed to end it.  */
static bool
is_framed (const http_parser *p)
{
  return (p->flags & F_CHUNKED) != 0 || p->content_length != UINT64_MAX
         || p->status_code == HTTP_STATUS_NO_CONTENT
         || p->status_code == HTTP_STATUS_NOT_MODIFIED;
}

/* Whether a header name has white space in it, as before its colon: others
   might read such a name in another way.  */
static bool
has_spaced_name (const struct bb_h1_message *m)
{
#ifdef BB_MUTANT_h1_spaced_name
  return false;
#endif
  for (uint32_t i = 0; i < m->headers_count; i++)
    for (uint32_t k = 0; k < m->headers[i].name.size; k++)
      if (m->headers[i].name.ptr[k] == ' '
          || m->headers[i].name.ptr[k] == '\t')
        return true;
  return false;
}

/* Whether the status is one of HTTP.  The parser tells its number alone, and
   takes 0200 for 200.  */
static bool
has_valid_status (const struct h1_reader *r)
{
#ifndef BB_MUTANT_status_digits
  if (r->status_digits != STATUS_DIGITS)
    return false;
#endif
  return bb_http_status_is_valid (r->parser.status_code);
}

static bool
is_valid_head (const struct h1_reader *r)
{
  if (r->parser.type == HTTP_RESPONSE && !has_valid_status (r))
    return false;
  return !has_spaced_name (&r->message);
}

static int
on_headers (http_parser *p)
{
  struct h1_reader *r = p->data;

  h1_buffer_append (&r->head, "", 0);
  fill_message (r);
  if (!is_valid_head (r))
    return -1;
  r->head_complete = true;
  r->message.framed = is_framed (p);
  p->upgrade = 0;
  return r->ops->on_head (r, r->user) ? 1 : 0;
}

static int
on_body (http_parser *p, const char *at, size_t size)
{
  struct h1_reader *r = p->data;
  struct bb_bytes b = { .ptr = at, .size = (uint32_t)size };

  r->ops->on_body (r, b, r->user);
  return 0;
}

static int
on_complete (http_parser *p)
{
  struct h1_reader *r = p->data;

  r->complete = true;
  http_parser_pause (p, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
h1_reader_init (struct h1_reader *r, enum http_parser_type type,
                const struct h1_reader_ops *ops, void *user)
{
  memset (r, 0, sizeof *r);
  r->ops = ops;
  r->user = user;
  http_parser_init (&r->parser, type);
  r->parser.data = r;
}

void
h1_reader_free (struct h1_reader *r)
{
  h1_buffer_free (&r->head);
}

void
h1_reader_reset (struct h1_reader *r)
{
  enum http_parser_type type = (enum http_parser_type)r->parser.type;

  http_parser_init (&r->parser, type);
  r->head.size = 0;
  r->fields_count = 0;
  r->target_size = 0;
  r->trailers_size = 0;
  r->in_value = false;
  r->head_complete = false;
  r->started = false;
  r->complete = false;
  r->status_line = H1_STATUS_LINE_VERSION;
  r->status_digits = 0;
}

/* Counts the digits of the status in DATA, of SIZE bytes, the next of a
   response.  */
static void
count_status_digits (struct h1_reader *r, const char *data, size_t size)
{
  for (size_t i = 0; i < size && r->status_line != H1_STATUS_LINE_REST; i++)
    if (r->status_line == H1_STATUS_LINE_VERSION)
      {
        if (data[i] == ' ')
          r->status_line = H1_STATUS_LINE_CODE;
      }
    else if (g_ascii_isdigit (data[i]))
      r->status_digits++;
    else if (data[i] != ' ' || r->status_digits > 0)
      r->status_line = H1_STATUS_LINE_REST;
}

ssize_t
h1_reader_feed (struct h1_reader *r, const char *data, size_t size)
{
  enum http_errno e;
  size_t n;

  if (r->parser.type == HTTP_RESPONSE)
    count_status_digits (r, data, size);
  n = http_parser_execute (&r->parser, &callbacks, data, size);
  e = HTTP_PARSER_ERRNO (&r->parser);
  if (e == HPE_PAUSED && r->complete)
    {
      r->ops->on_complete (r, r->user);
      return (ssize_t)n;
    }
  return e == HPE_OK ? (ssize_t)n : -1;
}

bool
h1_reader_finish (struct h1_reader *r)
{
  if (!r->started || r->complete)
    return false;
  http_parser_execute (&r->parser, &callbacks, NULL, 0);
  if (!r->complete)
    return false;
  r->ops->on_complete (r, r->user);
  return true;
}
