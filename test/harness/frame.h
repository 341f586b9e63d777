#ifndef FRAME_H
#define FRAME_H

/* A peer that speaks frames to a process by blocking calls, so that a test
   can say what no well-behaved process would.  */

#include "bilberry/wire.h"

struct frame_peer
{
  int fd;
  char in[1 << 20];
  size_t in_size;
  size_t consumed_bytes; /* bytes of the message last returned */
};

/* Connects to 127.0.0.1:PORT; aborts when that fails.  */
struct frame_peer *frame_connect (uint16_t port);
void frame_close (struct frame_peer *p);

/* Listens on 127.0.0.1:PORT in the place of an agent.  Returns the socket.  */
int frame_listen (uint16_t port);

/* Takes the next connection at LISTENER.  */
struct frame_peer *frame_accept (int listener);

/* Sends the frames in BUF and empties it.  */
void frame_send (struct frame_peer *p, msgpack_sbuffer *buf);

/* Waits for the next message of TYPE; others are passed over.  False when the
   peer closes or TIMEOUT_MS is over.  M is valid until the next call and is
   freed by bb_message_free.  */
bool frame_await (struct frame_peer *p, enum bb_message_type type,
                  struct bb_message *m, int timeout_ms);

#endif
