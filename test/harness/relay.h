#ifndef RELAY_H
#define RELAY_H

/* A TCP relay on loopback that tests put between two processes to cut or
   hold their traffic.  It runs in a thread of the test.  */

#include <stdint.h>

struct relay;

/* Listens on LISTEN_PORT of 127.0.0.1 and relays to TARGET_PORT.  */
struct relay *relay_start (uint16_t listen_port, uint16_t target_port);
void relay_stop (struct relay *r);

/* Closes all connections and refuses new ones until relay_resume.  */
void relay_disconnect (struct relay *r);

/* Keeps connections open but passes nothing on until relay_resume, as a
   partition does; what was held is passed on then.  */
void relay_hold (struct relay *r);
void relay_resume (struct relay *r);

#endif
