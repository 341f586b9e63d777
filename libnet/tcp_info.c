/* What the kernel tells of a TCP connection.  Stands alone because its header
   and that of the C library exclude each other.  */

#include "tcp_info.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

uint64_t
tcp_bytes_received (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) < 0)
    return 0;
  return info.tcpi_bytes_received;
}
