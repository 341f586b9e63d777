/* Statistics of the kernel about a TCP connection.  This is a file of its own
   because <linux/tcp.h> and <netinet/tcp.h> can't be included together.  */

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
