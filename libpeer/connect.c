/* Opens connections to the known addresses of peers.  */

#include "internal.h"

#include "bilberry/settings.h"

#include <string.h>
#include <utlist.h>

enum
{
  /* Time between attempts to connect to the same address.  */
  RECONNECT_INTERVAL_MS = 400
};

static void
connect_to (struct bb_peers *p, struct endpoint *endpoint)
{
  struct sockaddr_storage addr;
  struct peer *peer;

  endpoint->attempted_ms = peer_now_ms (p);
  if (!bb_address_parse (endpoint->address, &addr))
    return;
  peer = peer_add (p);
  peer->connect_address = g_strdup (endpoint->address);
  peer->conn = bb_conn_connect (p->loop, &addr, &peer_connect_ops, peer);
}

static bool
has_connection (const struct bb_peers *p, const char *address)
{
  const struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if ((peer->connect_address && strcmp (peer->connect_address, address) == 0)
      || (peer->listen_address && strcmp (peer->listen_address, address) == 0))
    return true;
  return false;
}

void
peer_connect_to_all (struct bb_peers *p)
{
  for (uint32_t i = 0; i < p->endpoints_count; i++)
    if (peer_now_ms (p) - p->endpoints[i].attempted_ms >= RECONNECT_INTERVAL_MS
        && !has_connection (p, p->endpoints[i].address))
      connect_to (p, &p->endpoints[i]);
}

void
peer_connect_to_one (struct bb_peers *p)
{
  struct endpoint *endpoint;

  if (p->peers || p->endpoints_count == 0)
    return;
  endpoint = &p->endpoints[p->next_endpoint % p->endpoints_count];
  if (peer_now_ms (p) - endpoint->attempted_ms < RECONNECT_INTERVAL_MS)
    return;
  p->next_endpoint++;
  connect_to (p, endpoint);
}
