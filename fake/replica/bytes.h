#ifndef REPLICA_BYTES_H
#define REPLICA_BYTES_H

/* Faults in the bytes of responses: bytes without end, and responses that end
   with their connection.

   WHEN-PACE:KIND sends bytes without end until the peer closes.  WHEN is "new"
   (the first response on a connection), "kept" (each but the first, which is
   sound) or "after" (after a sound response).  PACE is "fast" or "slow", one
   byte a second.  KIND is one of

     junk        bytes that are not HTTP
     blank       blank lines before a head
     reason      the first line of a head
     value       the value of a header
     headers     headers
     interim     interim responses (1xx)
     body        a body that ends with its connection
     length      a body with a length of a terabyte
     chunks      a body in chunks
     extension   the extension of a chunk
     extensions  chunks of one byte with an extension of 2,000 bytes
     trailers    trailers
     event       an event of a stream
     lines       empty lines in a stream
     pieces      an event of a stream in chunks of one byte

   Other faults, in responses that have neither length nor chunks unless a line
   says otherwise:

     close-whole   closes a stream after its last event
     close-inside  closes a stream inside event 4 if the caller has no event
     chunk-inside  ends a stream in chunks, by the last chunk, likewise
     chunk-first   likewise inside event 1
     reset-inside  resets a stream likewise
     reset-between resets a stream after event 3 if the caller has no event
     reset-body    resets a body
     reset-upload  reads the first part of the body of a request and, UPLOAD_MS
                   later, sends events as a part of a body and resets at
                   once
     late-head     sends a sound response LATE_MS after the request  */

#include <stdbool.h>
#include <uv.h>

struct bytes_sender;

/* Whether FAULT is one of the above.  */
bool bytes_is_fault (const char *fault);

/* Whether FAULT answers requests whose bodies have not arrived.  */
bool bytes_answers_early (const char *fault);

/* Returns a sender of responses with FAULT of replica ID on TCP, on which
   CLOSE (USER) closes the connection.  */
struct bytes_sender *bytes_sender_new (uv_tcp_t *tcp, const char *fault,
                                       const char *id, void (*close) (void *),
                                       void *user);
/* Responds to the request ATTEMPT_ID.  STREAM says that it is for a stream,
   after event LAST.  */
void bytes_respond (struct bytes_sender *s, const char *attempt_id,
                    bool stream, int last);
/* Stops S and frees it.  */
void bytes_sender_free (struct bytes_sender *s);

#endif
