/* What lies unread in a socket.  */

#include "h1.h"

#include <errno.h>
#include <sys/socket.h>

enum h1_unread
h1_look_unread (const uv_tcp_t *tcp)
{
  char byte;
  uv_os_fd_t fd;
  ssize_t n;

  if (uv_fileno ((const uv_handle_t *)tcp, &fd) < 0)
    return H1_UNREAD_FAILURE;
  n = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0)
    return H1_UNREAD_BYTES;
  if (n == 0)
    return H1_UNREAD_END;
  return errno == EAGAIN ? H1_UNREAD_NOTHING : H1_UNREAD_FAILURE;
}
