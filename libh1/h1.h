#ifndef LIBH1_H1_H
#define LIBH1_H1_H

/* Internals of libh1: the message reader (reader.c), socket writes (write.c)
   and a look at what lies unread in a socket (unread.c), which server.c and
   client.c call; fetch.c calls client.c.  */

#include "bilberry/h1.h"

#include <glib.h>
#include <http_parser.h>

/* A byte buffer that grows as needed.  h1_buffer_append writes a NUL after the
   data, which the size does not count.  */
struct h1_buffer
{
  char *data;
  size_t size;
  size_t capacity;
};

void h1_buffer_append (struct h1_buffer *b, const char *data, size_t size);
/* Makes room for SIZE bytes in all, where that is known before.  */
void h1_buffer_reserve (struct h1_buffer *b, size_t size);
void h1_buffer_printf (struct h1_buffer *b, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void h1_buffer_free (struct h1_buffer *b);

struct h1_reader;

struct h1_reader_ops
{
  /* Called when the head is complete, in the message of R.  Returns true if no
     body follows, whatever the headers say, as in the response to HEAD.  */
  bool (*on_head) (struct h1_reader *r, void *user);
  /* Called with DATA, the next part of the body.  */
  void (*on_body) (struct h1_reader *r, struct bb_bytes data, void *user);
  /* Called when the message is complete.  */
  void (*on_complete) (struct h1_reader *r, void *user);
};

/* The position of a header in the head buffer of a reader.  */
struct h1_field
{
  uint32_t name_offset;
  uint32_t name_size;
  uint32_t value_offset;
  uint32_t value_size;
};

/* What of a status line is read next.  */
enum h1_status_line
{
  H1_STATUS_LINE_VERSION,
  H1_STATUS_LINE_CODE,
  H1_STATUS_LINE_REST
};

/* Reads the messages of a connection, one after the other.  */
struct h1_reader
{
  http_parser parser;
  const struct h1_reader_ops *ops;
  void *user;
  struct h1_buffer head; /* target, header names and values */
  struct h1_field fields[BB_H1_HEADERS_MAX];
  uint32_t fields_count;
  uint32_t target_size;
  uint32_t trailers_size; /* bytes of trailers, which are not kept */
  bool in_value;          /* the last part parsed was a header value */
  bool head_complete;     /* what follows may be body or trailers; the message
                             points into the head buffer, which must not grow */
  bool started;           /* the first bytes of a message have arrived */
  bool complete;          /* the message is complete; the parser is paused */
  enum h1_status_line status_line;
  uint32_t status_digits; /* digits of the status, with leading zeros */
  bool overflow;          /* more headers than BB_H1_HEADERS_MAX */
  struct bb_h1_message message;
};

void h1_reader_init (struct h1_reader *r, enum http_parser_type type,
                     const struct h1_reader_ops *ops, void *user);
void h1_reader_free (struct h1_reader *r);

/* Prepares for the next message.  */
void h1_reader_reset (struct h1_reader *r);

/* Parses the SIZE bytes at DATA up to the end of the message.  Returns the
   number of bytes parsed, or -1 if they are not valid HTTP.  */
ssize_t h1_reader_feed (struct h1_reader *r, const char *data, size_t size);

/* Called when the peer has closed the connection.  Returns whether that
   completes the message.  */
bool h1_reader_finish (struct h1_reader *r);

/* What waits to be sent on a socket.  */
struct h1_out
{
  size_t queued_bytes;
  int error; /* uv error of the first write that failed; 0: none.  The write
                has taken it from the socket: a read no longer reports it */
  struct bb_memory *memory; /* counts the queued bytes; NULL: nothing does */
  /* Called with USER when the last queued byte was sent; NULL: no call.  */
  void (*on_sent) (void *user);
  void *user;
};

/* Writes the SIZE bytes at DATA to S; what the kernel does not accept at once
   is copied and queued.  OUT must stay valid until S is closed.  Returns 0 or
   a uv error, which OUT keeps.  */
int h1_write (uv_stream_t *s, const char *data, size_t size,
              struct h1_out *out);
/* The same for BODY from OFFSET on, of which a reference is kept and nothing
   is copied.  */
int h1_write_bytes (uv_stream_t *s, GBytes *body, size_t offset,
                    struct h1_out *out);

enum h1_unread
{
  H1_UNREAD_NOTHING,
  H1_UNREAD_BYTES,
  H1_UNREAD_END,    /* the peer closed the connection in order */
  H1_UNREAD_FAILURE /* it was reset, or has failed */
};

/* Returns what the next read of TCP would get, without reading it.  Timers run
   before reads, so after a stall it may have been there for long.  */
enum h1_unread h1_look_unread (const uv_tcp_t *tcp);

/* Returns the loop of P.  */
uv_loop_t *h1_pool_loop (const struct bb_h1_pool *p);
/* Returns the address of the server of P.  */
const struct sockaddr *h1_pool_address (const struct bb_h1_pool *p);

#endif
