/* Statistics of the kernel about a TCP connection.  This is a file of its own
   because <linux/tcp.h> and <netinet/tcp.h> can't be included together.  */

#include "tcp_info.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

enum
{
  STATE_CLOSE_WAIT = 8 /* TCP_CLOSE_WAIT of <netinet/tcp.h> */
};

uint64_t
tcp_bytes_received (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) < 0)
    return 0;
  return info.tcpi_bytes_received;
}

bool
tcp_is_closed_in_order (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;

#ifdef BB_MUTANT_net_reset_end
  return true;
#endif
  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
         && info.tcpi_state == STATE_CLOSE_WAIT;
}
