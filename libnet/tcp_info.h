#ifndef TCP_INFO_H
#define TCP_INFO_H

#include <stdint.h>

/* Returns how many bytes the connection FD has received since its start; 0
   where the kernel does not tell.  */
uint64_t tcp_bytes_received (int fd);

#endif
