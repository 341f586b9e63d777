#ifndef BILBERRY_PEER_H
#define BILBERRY_PEER_H

/* libpeer - connections between the processes of the system that share one
   view of the fleet.  Link with -lpeer -lfleet -lnet -lproto.

   Entries connect to each other, all to all; agents connect to one entry.
   Each side sends its items at first, then its state often; that tells up to
   which revision it knows all items, and what it lacks for a while is sent.
   A silent connection is closed.  */

#include "bilberry/fleet.h"
#include "bilberry/net.h"

struct bb_peers;

struct bb_peers_ops
{
  /* An item was told.  */
  void (*on_item) (const char *key, GBytes *value, uint64_t revision,
                   void *user);
  /* A peer's view is whole up to M->revision, and all its items up to M->sent
     were told, or are known here.  */
  void (*on_state) (const char *name, const struct bb_peer_state *m,
                    void *user);
  /* Fills the own state.  */
  void (*fill_state) (struct bb_peer_state *m, void *user);
  /* A peer came or went.  */
  void (*on_connection_change) (const char *name, bool connected, void *user);
};

struct bb_peers_options
{
  const char *name;
  const char *address; /* own, for others to connect to; NULL: none */
  char *const *seeds;
  uint32_t seeds_count;
  bool connect_all; /* connect to all members, not to one */
  uint64_t incarnation;
};

/* Listens where an address is given.  NULL with a uv error.  */
struct bb_peers *bb_peers_new (uv_loop_t *loop,
                               const struct bb_peers_options *o,
                               struct bb_view *view,
                               const struct bb_peers_ops *ops, void *user,
                               int *error);

/* Tells all peers an item at once.  To be called by one of those that learn
   of it from its source; a peer that lacks it later gets it anyway.  */
void bb_peers_broadcast_item (struct bb_peers *p, const struct bb_item *i);

/* All items after revision SINCE were told by bb_peers_tell.  */
void bb_peers_mark_sent (struct bb_peers *p, uint64_t since);

/* Sends the own state now, beside the regular times.  */
void bb_peers_send_state (struct bb_peers *p);

/* Returns how many peers are connected that take callers themselves.  */
uint32_t bb_peers_count_accepting (const struct bb_peers *p);

/* Returns how many peers with a lower incarnation read the store.  */
uint32_t bb_peers_count_readers_before (const struct bb_peers *p);

#endif
