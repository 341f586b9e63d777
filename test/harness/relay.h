#ifndef RELAY_H
#define RELAY_H

/* A TCP relay on loopback between two processes, with which tests close or
   stall their connections.  It runs in a thread of the test.  */

#include <stdint.h>

struct relay;

/* Starts a relay from port LISTEN_PORT of 127.0.0.1 to TARGET_PORT.  Returns
   it; aborts on failure.  */
struct relay *relay_start (uint16_t listen_port, uint16_t target_port);

/* Closes all connections, ends the thread and frees R.  */
void relay_stop (struct relay *r);

/* Closes all connections, and each new one after it is accepted, until
   relay_resume.  */
void relay_disconnect (struct relay *r);

/* Keeps connections open but forwards nothing until relay_resume, as in a
   network partition.  Data sent meanwhile is forwarded then.  */
void relay_hold (struct relay *r);

/* Forwards again, after relay_disconnect or relay_hold.  */
void relay_resume (struct relay *r);

#endif
