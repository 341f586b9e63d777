#ifndef LIBH1_H1_H
#define LIBH1_H1_H

/* Inside of libh1: the reader of messages and the writer of bytes.  Files
   call down only: server.c and client.c call reader.c and writer.c.  */

#include "bilberry/h1.h"

#include <http_parser.h>

/* A growing run of bytes.  */
struct h1_buffer
{
  char *data;
  size_t size;
  size_t capacity;
};

void h1_buffer_append (struct h1_buffer *b, const char *data, size_t size);
void h1_buffer_printf (struct h1_buffer *b, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void h1_buffer_free (struct h1_buffer *b);

struct h1_reader;

struct h1_reader_ops
{
  /* The head is whole.  Returns whether the message has no body whatever it
     says.  */
  bool (*on_head) (struct h1_reader *r, void *user);
  void (*on_body) (struct h1_reader *r, struct bb_bytes data, void *user);
  void (*on_complete) (struct h1_reader *r, void *user);
};

struct h1_field
{
  uint32_t name_offset;
  uint32_t name_size;
  uint32_t value_offset;
  uint32_t value_size;
};

/* Reads one message after the other.  */
struct h1_reader
{
  http_parser parser;
  const struct h1_reader_ops *ops;
  void *user;
  struct h1_buffer head; /* target and fields of the present message */
  struct h1_field fields[BB_H1_HEADERS_MAX];
  uint32_t fields_count;
  uint32_t target_size;
  bool in_value;
  bool started;  /* bytes of a message have come */
  bool complete; /* the message is whole; the reader is paused */
  bool overflow; /* more fields than fit */
  struct bb_h1_message message;
};

void h1_reader_init (struct h1_reader *r, enum http_parser_type type,
                     const struct h1_reader_ops *ops, void *user);
void h1_reader_free (struct h1_reader *r);

/* Gets ready for the next message.  */
void h1_reader_reset (struct h1_reader *r);

/* Reads DATA up to the end of a message.  Returns how many bytes it took, or
   -1 when they are no message.  */
ssize_t h1_reader_feed (struct h1_reader *r, const char *data, size_t size);

/* The peer closed.  Returns whether the message is whole by that.  */
bool h1_reader_finish (struct h1_reader *r);

/* Writes DATA to S: at once as far as the kernel takes it, the rest queued.
   QUEUED_BYTES is kept up to date.  Returns a uv error.  */
int h1_write (uv_stream_t *s, const char *data, size_t size,
              size_t *queued_bytes);

/* client.c */
uv_loop_t *h1_pool_loop (const struct bb_h1_pool *p);

#endif
