/* The known addresses of peers.  */

#include "internal.h"

void
peer_add_endpoint (struct bb_peers *p, struct bb_bytes address)
{
  if (address.size == 0 || p->endpoints_count == ADDRESSES_MAX
      || (p->address && bb_bytes_equal (address, p->address)))
    return;
  for (uint32_t i = 0; i < p->endpoints_count; i++)
    if (bb_bytes_equal (address, p->endpoints[i].address))
      return;
  p->endpoints[p->endpoints_count].address
      = g_strndup (address.ptr, address.size);
  p->endpoints[p->endpoints_count].attempted_ms = INT64_MIN / 2;
  p->endpoints_count++;
}
