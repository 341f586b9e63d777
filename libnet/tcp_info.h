#ifndef TCP_INFO_H
#define TCP_INFO_H

#include <stdint.h>

/* Returns how many bytes the connection FD has received in all; 0 if the
   kernel does not report it. */
uint64_t tcp_bytes_received (int fd);

#endif
