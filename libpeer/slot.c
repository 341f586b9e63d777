/* Times at which a request may be sent to an upstream that limits its
   requests: one process asks for them, another gives them out.  */

#include "internal.h"

#include <string.h>
#include <utlist.h>
#include <xxhash.h>

void
bb_peers_ask_slot (struct bb_peers *p, uint64_t name_hash,
                   const struct bb_peer_slot_ask *m)
{
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->hello_received
      && XXH64 (peer->name, strlen (peer->name), 0) == name_hash)
    {
      bb_put_peer_slot_ask (bb_conn_out (peer->conn), m);
      return;
    }
}

void
peer_on_slot_ask (struct peer *peer, const struct bb_peer_slot_ask *m)
{
  struct bb_peers *p = peer->owner;
  struct bb_peer_slot reply = { 0 };

  if (!p->ops->on_slot_ask)
    return;
  p->ops->on_slot_ask (m, &reply, p->user);
  bb_put_peer_slot (bb_conn_out (peer->conn), &reply);
}

void
peer_on_slot (struct peer *peer, const struct bb_peer_slot *m)
{
  struct bb_peers *p = peer->owner;

  if (p->ops->on_slot)
    p->ops->on_slot (m, p->user);
}
