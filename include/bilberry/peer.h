#ifndef BILBERRY_PEER_H
#define BILBERRY_PEER_H

/* libpeer - replication of the fleet's state between edges and to agents.
   Link with -lpeer -lload -lfleet -ladmit -lnet -lproto.

   Edges connect to all other edges; an agent connects to one edge.  On a new
   connection each side sends all items of its view.  Later it sends the items
   that the other side lacks, and at regular intervals its state, which tells
   the revision up to which it has all items.  A process that is told a value
   which its view takes for gone, or knows to be removed, replies with the
   removal.  What an agent tells is passed on.  A large item is only offered;
   a process that lacks it asks one peer at a time for it.  A connection on
   which no byte arrives for some time is closed.

   Requests and parts of prompts that crash upstreams are told like items: all
   that are known on a new connection, and each change at once to all peers.
   Agents keep them too, so that edges that were all restarted learn of them
   again.  A process that is told of a crash with a part that it knows to be
   sound tells the sender so.  */

#include "bilberry/admit.h"
#include "bilberry/fleet.h"
#include "bilberry/net.h"

/* The connections of one process to its peers.  */
struct bb_peers;

/* The phrase of a connection that was closed since no byte came for some
   time.  */
#define BB_PEER_SILENT "silent"

/* How a connection to a peer ended.  */
struct bb_peer_end
{
  const char *why;      /* phrase for the log */
  size_t partial_bytes; /* received of a message that was not complete */
  size_t unsent_bytes;  /* not passed to the kernel */
};

/* Callbacks to the owner, with the USER of bb_peers_new.  Those that are
   marked as optional may be NULL.  Strings and messages are valid during the
   call.
 */
struct bb_peers_ops
{
  /* A peer sent the item KEY as of REVISION.  VALUE is NULL where the item was
     removed.  The item may be known already, or older than the known one.  */
  void (*on_item) (const char *key, GBytes *value, bb_revision revision,
                   void *user);
  /* Likewise, of an item that the peer holds, as the store may have lost it
     with its copy.  Optional; without it, such items are given to on_item.  */
  void (*on_held_item) (const char *key, GBytes *value, bb_revision revision,
                        void *user);
  /* The peer NAME sent its state M.  It has all items up to M->revision, and
     this process has received or already had all items up to M->sent.
     Optional.  */
  void (*on_state) (const char *name, const struct bb_peer_state *m,
                    void *user);
  /* Fills in the fields of the own state M that libpeer does not know: loads,
     taking and reads.  Not called for a peer that is known to be an agent.
     Optional.  */
  void (*fill_state) (struct bb_peer_state *m, void *user);
  /* Returns whether the store is expected to send what the view lacks, so that
     peers are asked for large items only later.  Optional.  */
  bool (*is_reading) (void *user);
  /* The peer NAME connected, or its last connection ended as END tells; END is
     NULL where it connected.  */
  void (*on_connection_change) (const char *name,
                                const struct bb_peer_end *end, void *user);
  /* The peer NAME told how it uses an upstream for an isolated request.
     Optional.  */
  void (*on_isolated) (const char *name, const struct bb_peer_isolated *m,
                       void *user);
  /* A peer asks for M, and gets REPLY, which is zeroed.  Optional.  */
  void (*on_slot_ask) (const struct bb_peer_slot_ask *m,
                       struct bb_peer_slot *reply, void *user);
  /* A peer replied M to bb_peers_ask_slot.  Optional.  */
  void (*on_slot) (const struct bb_peer_slot *m, void *user);
  /* A peer sent M, which was new and is in POISON now.  Optional.  */
  void (*on_suspect) (const struct bb_suspect *m, void *user);
  /* A peer told of C, which was new and is in PARTS now.  Optional.  */
  void (*on_part_crash) (const struct bb_part_crash *c, void *user);
  /* A peer told that PART, which was suspect or quarantined, is sound.
     Optional.  */
  void (*on_sound_part) (uint64_t part, void *user);
};

struct bb_peers_options
{
  const char *name;           /* name of this process, sent to its peers */
  const char *address;        /* host:port that peers connect to; NULL: none */
  const char *listen_address; /* host:port to listen on; NULL: ADDRESS */
  char *const *seeds;         /* addresses of the first peers to connect to */
  uint32_t seeds_count;
  bool connect_all;         /* connect to all known addresses, not to one */
  uint64_t incarnation;     /* random; identifies this run of the process */
  struct bb_poison *poison; /* requests that crash upstreams, with times of the
                               loop's clock; must outlive the result */
  struct bb_parts *parts;   /* parts that do; likewise */
};

/* Starts to connect to the seeds, and to listen where O has an address.  The
   strings of O are copied; VIEW, OPS and USER must outlive the result.  The
   owner stores received items in VIEW and keeps its revision up to date.
   Returns NULL with a uv error in *ERROR where the address is malformed or
   cannot be listened on.  */
struct bb_peers *bb_peers_new (uv_loop_t *loop,
                               const struct bb_peers_options *o,
                               struct bb_view *view,
                               const struct bb_peers_ops *ops, void *user,
                               int *error);

/* Sends item I to all connected peers at once.  For a process that reads the
   store; one such process is enough.  A peer that this does not reach gets the
   item later from any peer that has it.  */
void bb_peers_broadcast_item (struct bb_peers *p, const struct bb_item *i);

/* Offers item I, which came from the store, to all connected peers if it is
   large.  For a process that does not broadcast what it reads.  */
void bb_peers_offer_item (struct bb_peers *p, const struct bb_item *i);

/* Returns the highest revision, REVISION at most, up to which no large item is
   missing that a peer has offered.  A process that was sent all items up to
   REVISION has all items up to the result.  */
bb_revision bb_peers_complete_revision (const struct bb_peers *p,
                                        bb_revision revision);

/* Tells P that all items of the view after revision SINCE were given to
   bb_peers_broadcast_item, so that they are not sent once more to the peers
   that have all items up to SINCE.  */
void bb_peers_mark_sent (struct bb_peers *p, uint64_t since);

/* Sends C, which is new in the poison of the options, to all connected peers.
   An event of 0 says that its fingerprint was answered.  */
void bb_peers_broadcast_crash (struct bb_peers *p, const struct bb_crash *c);

/* Sends C, which is new in the parts of the options, to all connected peers.
 */
void bb_peers_broadcast_part_crash (struct bb_peers *p,
                                    const struct bb_part_crash *c);

/* Tells all connected peers that PART, which was suspect or quarantined, is
   sound.  */
void bb_peers_broadcast_sound_part (struct bb_peers *p, uint64_t part);

/* Sends M to all connected peers.  */
void bb_peers_broadcast_isolated (struct bb_peers *p,
                                  const struct bb_peer_isolated *m);

/* Sends M to the peer whose name has the XXH64 hash NAME_HASH, if it is
   connected.  */
void bb_peers_ask_slot (struct bb_peers *p, uint64_t name_hash,
                        const struct bb_peer_slot_ask *m);

/* Sends the own state to all connected peers now, in addition to the regular
   times.  */
void bb_peers_send_state (struct bb_peers *p);

/* Returns how many connected peers accept requests of callers.  */
uint32_t bb_peers_count_accepting (const struct bb_peers *p);

/* Returns how many connected peers watch the store.  */
uint32_t bb_peers_count_readers (const struct bb_peers *p);

/* Returns how many connected peers with a lower incarnation than this process
   watch the store.  */
uint32_t bb_peers_count_readers_before (const struct bb_peers *p);

/* Returns the message that tells C, and what the message M tells.  */
struct bb_suspect bb_suspect_of (const struct bb_crash *c);
struct bb_crash bb_crash_of (const struct bb_suspect *m);
/* Appends the message that tells C to OUT.  */
void bb_put_crash (msgpack_sbuffer *out, const struct bb_crash *c);
/* Appends a message for each fingerprint of P that is not clean to OUT.  */
void bb_put_crashes (msgpack_sbuffer *out, struct bb_poison *p, bb_ms now);
/* Records the report M in P.  Returns whether it is new, and so is to be
   forwarded.  */
bool bb_poison_receive (struct bb_poison *p, const struct bb_suspect *m,
                        bb_ms now);
/* Appends the message that tells C to OUT.  */
void bb_put_part_crash (msgpack_sbuffer *out, const struct bb_part_crash *c);
/* Appends a message for each crash that P knows to OUT.  */
void bb_put_part_crashes (msgpack_sbuffer *out, struct bb_parts *p, bb_ms now);
/* Records the report M in P, and appends a message for each of its parts that
   P knows to be sound to REPLY.  Returns as bb_parts_record_crash.  */
const struct bb_part_crash *bb_parts_receive (struct bb_parts *p,
                                              const struct bb_suspect_parts *m,
                                              msgpack_sbuffer *reply,
                                              bb_ms now);

#endif
