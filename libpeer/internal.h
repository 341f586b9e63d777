#ifndef PEER_INTERNAL_H
#define PEER_INTERNAL_H

/* The connections to peers, and what libpeer's files share.

   peer.c        start and regular work
   connect.c     opens connections
   connection.c  hello, messages and end of a connection
   state.c       states of the processes
   told.c        items that peers tell
   late.c        those of them that other peers may not get otherwise
   items.c       items of the store
   large.c       those of them that are large
   past.c        the values that these had before
   pack.c        their packing
   slot.c        requests to upstreams that limit them
   tell.c        requests that crash upstreams, to and from peers
   endpoints.c   known addresses
   suspect.c     messages about requests that crash upstreams

   Apart from peer_now_ms, each file calls only functions of the files listed
   after it.  */

#include "bilberry/peer.h"

enum
{
  ADDRESSES_MAX = 64, /* number of addresses that a state message can carry */

  /* Ticks after which this process sends its items to a peer that still lacks
     them: the peer did not get them from the process that broadcast them.  */
  RESEND_DELAY_TICKS = 2
};

/* A connection to a peer, which this process or the peer opened.  */
struct peer
{
  struct bb_peers *owner;
  struct bb_conn *conn;
  char *connect_address; /* address that this process connected to; NULL where
                            the peer connected */
  char *listen_address;  /* address that the peer listens on, from its hello;
                            NULL: none */
  char *name;
  uint64_t incarnation;
  bool open; /* the connection is established */
  bool hello_received;
  bool accepting;         /* the peer accepts requests of callers */
  bool reads_store;       /* the peer watches the store */
  uint64_t sent_revision; /* the peer was sent, or has, all items up to it */
  GHashTable *exchanges;  /* of large items, by key */
  struct peer *prev;
  struct peer *next;
};

/* An address that a process listens on for peers.  */
struct endpoint
{
  char *address;
  bb_ms attempted_ms; /* time of the last attempt to connect */
  uint32_t failures;  /* attempts without a connection since the last one */
};

struct bb_peers
{
  uv_loop_t *loop;
  uv_timer_t timer;
  struct bb_listener *listener;
  char *name;
  char *address; /* address to listen on; NULL: none */
  bool connect_all;
  uint64_t incarnation;
  struct bb_view *view;
  struct bb_poison *poison;
  struct bb_parts *parts;
  const struct bb_peers_ops *ops;
  void *user;
  struct endpoint endpoints[ADDRESSES_MAX];
  uint32_t endpoints_count;
  uint32_t next_endpoint; /* next endpoint to try, modulo endpoints_count; used
                             where CONNECT_ALL is not set */
  bb_ms attempted_ms;     /* time of the last attempt to any of them */
  uint64_t ticks;
  /* Revisions of the view at the last RESEND_DELAY_TICKS ticks: a ring buffer,
     indexed by tick.  */
  uint64_t past_revisions[RESEND_DELAY_TICKS];
  struct peer *peers;
  GHashTable *late;       /* keys of items that peers may lack; see late.c */
  GHashTable *past;       /* values of large items, by key; see past.c */
  GHashTable *needs;      /* large items that this process lacks, by key */
  uv_timer_t large_timer; /* active while there are any of them */
};

/* connect.c */
/* Records that PEER, to which this process connects, is connected, or that the
   attempt has failed.  */
void peer_note_connected (struct peer *peer, bool connected);
/* Returns how long the attempt to connect to PEER may take.  */
bb_ms peer_connect_max_ms (const struct peer *peer);
/* Closes all connections but the first that is established, if any is.  */
void peer_keep_one (struct bb_peers *p);
/* Connects to each known address that has no connection.  */
void peer_connect_to_all (struct bb_peers *p);
/* Connects to one known address after the other until a connection is
   established.  */
void peer_connect_to_one (struct bb_peers *p);

/* connection.c */
/* Callbacks of connections that this process opened, with the peer as user,
   and that it accepted, with struct bb_peers.  */
extern const struct bb_conn_ops peer_connect_ops;
extern const struct bb_conn_ops peer_accept_ops;
/* Adds a peer without a connection.  */
struct peer *peer_add (struct bb_peers *p);
/* Closes connections that are silent for too long.  */
void peer_close_idle (struct bb_peers *p);

/* state.c */
/* Returns whether PEER is an agent: only agents have no address to listen
   on.  */
bool peer_is_agent (const struct peer *peer);
/* Sends the own state to PEER.  */
void peer_send_state (struct peer *peer);
/* Sends the own state to all peers for which it is due in this tick.  */
void peer_send_due_states (struct bb_peers *p);
/* Takes the state M of PEER.  */
void peer_on_state (struct peer *peer, const struct bb_peer_state *m);

/* told.c */
/* Handles the message M of PEER.  */
void peer_on_item (struct peer *peer, const struct bb_peer_item *m);

/* late.c */
void peer_late_init (struct bb_peers *p);
/* FROM told the item TOLD, which is news.  */
void peer_late_note (const struct peer *from, const struct bb_item *told);
/* Sends all peers what was noted since the last time.  */
void peer_late_send (struct bb_peers *p);

/* items.c */
/* Sends the items of ITEMS to all peers.  */
void peer_send_items (struct bb_peers *p, const GPtrArray *items);
/* Sends PEER all items of the view.  */
void peer_send_all_items (struct peer *peer);
/* Sends the missing items to peers that lack any that this process had
   RESEND_DELAY_TICKS ago.  */
void peer_resend_missing (struct bb_peers *p);

/* Appends I to OUT, which is sent to COPIES peers.  */
void peer_put_item (const struct bb_peers *p, msgpack_sbuffer *out,
                    const struct bb_item *i, uint32_t copies);
/* Whether peers are told that I is held.  */
bool peer_tells_held (const struct bb_peers *p, const struct bb_item *i);

/* Tells PEER that KEY was removed, as of REVISION at the latest.  */
void peer_tell_removal (struct peer *peer, const char *key,
                        bb_revision revision);
/* Tells PEER, which has KEY as of REVISION, that the store no longer has it.
 */
void peer_tell_gone (struct peer *peer, const char *key, bb_revision revision);

/* large.c */
void peer_large_init (struct bb_peers *p);
void peer_exchanges_init (struct peer *peer);
/* Whether I is not sent to peers that have not asked for it.  */
bool peer_is_large (const struct bb_item *i);
/* Appends an offer of I, which has a value, to OUT.  */
void peer_put_offer (struct bb_peers *p, msgpack_sbuffer *out,
                     const struct bb_item *i);
/* Handle the message M of PEER.  */
void peer_on_offer (struct peer *peer, const struct bb_peer_offer *m);
void peer_on_want (struct peer *peer, const struct bb_peer_want *m);
void peer_on_busy (struct peer *peer, const struct bb_peer_busy *m);
/* Returns the value of M, a packed item KEY that PEER sent, which the caller
   frees; NULL where it cannot be unpacked.  */
GBytes *peer_unpack_item (struct peer *peer, const char *key,
                          const struct bb_peer_item *m);
/* PEER sent the item KEY, which is in the view now.  */
void peer_on_asked_item (struct peer *peer, const char *key);
/* The item KEY of the view may have changed.  */
void peer_note_item (struct bb_peers *p, const char *key);

/* past.c */
GHashTable *peer_past_new (void);
/* Returns the XXH64 hash of VALUE, or of the value of I, which is kept as one
   that peers may have.  */
uint64_t peer_hash (GBytes *value);
uint64_t peer_past_note (struct bb_peers *p, const struct bb_item *i);
/* Returns the packed value of I, which the caller frees: as the difference
   against the value with the hash *BASE, which is set to 0 if that is not
   known.  NULL where it cannot be packed.  */
GBytes *peer_past_pack (struct bb_peers *p, const struct bb_item *i,
                        uint64_t *base);

/* slot.c */
/* Handle the message M of PEER.  */
void peer_on_slot_ask (struct peer *peer, const struct bb_peer_slot_ask *m);
void peer_on_slot (struct peer *peer, const struct bb_peer_slot *m);

/* tell.c */
/* Handle the message M that FROM sent: record it, and forward what is new to
   all peers but FROM.  */
void peer_on_suspect (struct peer *from, const struct bb_suspect *m);
void peer_on_suspect_parts (struct peer *from,
                            const struct bb_suspect_parts *m);
void peer_on_sound_part (struct peer *from, const struct bb_sound_part *m);
void peer_on_isolated (struct peer *from, const struct bb_peer_isolated *m);

/* Returns how many connections are established.  */
uint32_t peer_count_open (const struct bb_peers *p);

/* Sends FRAMES, encoded messages, to all connected peers but EXCEPT, which may
   be NULL, and frees FRAMES.  */
void peer_send_to_all (struct bb_peers *p, const struct peer *except,
                       msgpack_sbuffer *frames);

/* endpoints.c */
/* Adds ADDRESS unless it is known, is the own one, or there is no room.  */
void peer_add_endpoint (struct bb_peers *p, struct bb_bytes address);

/* Returns the time of the event loop.  */
bb_ms peer_now_ms (const struct bb_peers *p);

#endif
