/* Opens connections to the known addresses of peers.  */

#include "internal.h"

#include "bilberry/settings.h"

#include <string.h>
#include <utlist.h>

enum
{
  /* Time between attempts to connect to the same address.  */
  RECONNECT_INTERVAL_MS = 400,
  /* Time after which one that needs a single connection tries the next address
     beside those that have not answered.  */
  NEXT_ATTEMPT_MS = 100,
  /* An attempt is given up after this, since a VM that is starting answers
     none that came before; doubled with each failure, as a link may be full.
   */
  CONNECT_TIMEOUT_MIN_MS = 200,
  CONNECT_TIMEOUT_MAX_MS = 800
};

static struct endpoint *
endpoint_of (const struct peer *peer)
{
  struct bb_peers *p = peer->owner;

  for (uint32_t i = 0; peer->connect_address && i < p->endpoints_count; i++)
    if (strcmp (p->endpoints[i].address, peer->connect_address) == 0)
      return &p->endpoints[i];
  return NULL;
}

void
peer_note_connected (struct peer *peer, bool connected)
{
  struct endpoint *e = endpoint_of (peer);

  if (e)
    e->failures = connected ? 0 : e->failures + 1;
}

bb_ms
peer_connect_max_ms (const struct peer *peer)
{
  const struct endpoint *e = endpoint_of (peer);
  bb_ms ms = CONNECT_TIMEOUT_MAX_MS;

  if (e && e->failures < 2)
    ms = (bb_ms)CONNECT_TIMEOUT_MIN_MS << e->failures;
#ifdef BB_MUTANT_connect_timeout
  ms = CONNECT_TIMEOUT_MAX_MS;
#endif
  return ms;
}

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

static struct peer *
find_open (const struct bb_peers *p)
{
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open)
    return peer;
  return NULL;
}

void
peer_connect_to_one (struct bb_peers *p)
{
  struct endpoint *endpoint;
  bb_ms now = peer_now_ms (p);

  if (find_open (p) || p->endpoints_count == 0
#ifdef BB_MUTANT_connect_next
      || p->peers
#endif
      || now - p->attempted_ms < NEXT_ATTEMPT_MS)
    return;
  endpoint = &p->endpoints[p->next_endpoint % p->endpoints_count];
  p->next_endpoint++;
  if (now - endpoint->attempted_ms < RECONNECT_INTERVAL_MS
      || has_connection (p, endpoint->address))
    return;
  p->attempted_ms = now;
  connect_to (p, endpoint);
}

void
peer_keep_one (struct bb_peers *p)
{
  struct peer *kept = find_open (p);
  struct peer *peer;
  struct peer *next;

  if (kept)
    DL_FOREACH_SAFE (p->peers, peer, next)
  if (peer != kept)
    bb_conn_close (peer->conn, "another is connected");
}
