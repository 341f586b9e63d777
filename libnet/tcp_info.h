#ifndef TCP_INFO_H
#define TCP_INFO_H

#include <stdbool.h>
#include <stdint.h>

/* Returns the number of bytes received on connection FD since its start; 0 if
   the kernel does not report it.  */
uint64_t tcp_bytes_received (int fd);

/* Whether the peer has closed connection FD in order, and nothing has reset
   it.  */
bool tcp_is_closed_in_order (int fd);

#endif
