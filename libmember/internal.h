#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include "bilberry/member.h"

enum
{
  QUEUED_UPDATES_MAX = 1024,
  UPDATES_PER_MESSAGE = 8, /* number of updates that struct bb_gossip holds */
  RELAYED_PINGS_MAX = 16,
  HISTORY_MAX = 4, /* number of revisions kept as bases of changes */
  RECENT_SENDERS_MAX = 64,
  FETCH_WINDOW_CHUNKS = 8, /* chunk requests that a fetch keeps in flight */
  CHUNK_BYTES = 1100,      /* limit of bb_chunk.bytes in the schema */
  PUSHED_PER_MESSAGE = 2,
  CONFIG_MAX_BYTES = 16 * 1024 * 1024
};

/* What this process knows of one member.  */
struct member
{
  uint64_t incarnation;      /* incarnation of the process; 0: not known yet */
  uint64_t highest_sequence; /* highest sequence number of the datagrams of
                                this incarnation */
  uint64_t sequence_window;  /* bit N: highest_sequence - N was received */
  /* Time at which it is declared dead if still suspect.  */
  bb_ms suspect_until_ms;
  uint32_t counter; /* version of the status; only the member itself raises it,
                       to refute a wrong status and to leave */
  uint8_t status;   /* enum bb_member_status */
  uint8_t failed_probes; /* failed probes in a row */
};

/* A change of a member's status that is still to be gossiped.  */
struct queued_update
{
  uint32_t member; /* index of the member */
  uint32_t sends_left;
};

enum probe_stage
{
  PROBE_IDLE,
  PROBE_DIRECT,
  PROBE_INDIRECT
};

/* The probe of the present period.  */
struct probe
{
  enum probe_stage stage;
  uint32_t target; /* index of the member that is probed */
  uint64_t nonce;
  bb_ms indirect_at_ms; /* when other members are asked to ping the target */
  bb_ms next_at_ms;     /* when the next period starts */
  uint32_t next_target; /* target of the next probe; BB_MEMBER_NONE: random */
};

/* A ping that was sent for another member.  */
struct relayed_ping
{
  uint64_t nonce;           /* nonce of the ping; 0: unused or answered */
  uint64_t requester_nonce; /* nonce of the ack that the requester waits for */
  uint32_t requester;       /* index of the member that asked for the ping */
};

/* The fetch of a configuration from a peer.  The peer sends the part between
   the prefix and the suffix that the configuration shares with its base.  */
struct fetch
{
  bool active;
  uint32_t peer; /* index of the peer; BB_MEMBER_NONE: no longer a member */
  uint64_t revision;
  uint64_t hash;
  /* Counted reference to the base; NULL: all is fetched.  */
  struct bb_config_blob *base;
  bool size_known; /* a chunk has come, so prefix, suffix and middle sizes are
                      set */
  uint32_t prefix_bytes;
  uint32_t suffix_bytes;
  uint32_t middle_bytes;
  uint32_t received_count; /* number of chunks received */
  uint32_t next_chunk;     /* first chunk that was not requested yet */
  char *middle;
  uint8_t *received;    /* for each chunk: 1 when it has come */
  bb_ms progress_at_ms; /* time of the last new chunk or retry */
  uint32_t timeouts;    /* timeouts in a row */
};

/* A pushed value that is stored here.  */
struct pushed_entry
{
  struct bb_pushed item;
  bb_ms created_at_ms; /* time of creation on the clock of this process: time
                          of arrival minus age_ms */
  uint32_t sends_left;
};

struct bb_members
{
  const struct bb_directory *directory;
  uint32_t self; /* index of this process */
  uint64_t self_id;
  uint64_t incarnation;
  uint64_t sequence; /* sequence number of the last datagram sent */
  uint64_t nonce;    /* nonce of the last ping sent */
  uint32_t counter;  /* version of this process's status, see struct member */
  bool leaving;
  uint32_t current_sender; /* index of the sender of the datagram being
                              handled; BB_MEMBER_NONE: no datagram, or its
                              sender is not a member */
  uint64_t current_sender_incarnation;
  struct member *members; /* all members, by index in the directory */
  struct bb_signer *signer;
  GRand *rand;
  const struct bb_member_ops *ops;
  void *user;
  bb_ms started_at_ms;
  bb_ms last_tick_ms;
  bb_ms next_reader_check_ms;
  uint32_t recent_senders[RECENT_SENDERS_MAX]; /* ring of indexes: senders of
                                                  accepted datagrams */
  uint32_t recent_senders_count; /* number of accepted datagrams of all time,
                                    not bounded by the ring */
  struct probe probe;
  struct relayed_ping relays[RELAYED_PINGS_MAX];
  uint32_t relays_next;
  struct queued_update queued_updates[QUEUED_UPDATES_MAX];
  uint32_t queued_updates_count;
  struct bb_config_blob *history[HISTORY_MAX]; /* revisions, newest first: [0]
                                                  is active, NULL where none */
  uint64_t rejected_revision; /* last revision that this process rejected */
  uint64_t rejected_hash;
  struct fetch fetch;
  bool received_from_peer; /* a datagram of a member was accepted */
  bb_ms activated_at_ms;
  uint32_t announce_rounds;    /* rounds of announcements done for the active
                                  configuration */
  bb_ms fallback_at_ms;        /* time from which on to query the configuration
                                  service; 0: not needed */
  uint32_t delta_prefix_bytes; /* bytes that history[0] and history[1] share at
                                  the start */
  uint32_t delta_suffix_bytes; /* bytes that history[0] and history[1] share at
                                  the end */
  struct pushed_entry pushed[BB_PUSHED_MAX];
  uint32_t pushed_count;
  /* Index modulo pushed_count where fill_pushed goes on.  */
  uint32_t pushed_next;
  uint64_t push_sequence; /* sequence number of the last value that this
                             process pushed */
  struct bb_member_stats stats;
  msgpack_sbuffer body;     /* message that is being built */
  msgpack_sbuffer datagram; /* the signed message */
};

/* send.c */

/* Fills G with what every message carries: the active revision, updates and
   pushed values.  When this process does not believe the member RECIPIENT to
   be alive, or knows another incarnation of it than the one that it now
   answers, the first update says so, and RECIPIENT can refute it.  */
void fill_gossip (struct bb_members *m, bb_ms now, struct bb_gossip *g,
                  uint32_t recipient);

/* Signs the message in m->body and sends it to the member TO; BB_MEMBER_NONE
   is the sender of the datagram being handled.  */
void send_message (struct bb_members *m, uint32_t to);
void send_ping (struct bb_members *m, bb_ms now, uint32_t to, uint64_t nonce);
void send_ack (struct bb_members *m, bb_ms now, uint32_t to, uint64_t nonce);
void send_notice (struct bb_members *m, bb_ms now, uint32_t to);

/* update.c */

/* Returns how often an update or a pushed value is sent.  */
uint32_t sends_per_update (const struct bb_members *m);

/* Queues the present state of the member INDEX to be gossiped.  When the queue
   is full, drops the update that would be sent last.  */
void queue_update (struct bb_members *m, uint32_t index);
void fill_updates (struct bb_members *m, struct bb_gossip *g);
void apply_update (struct bb_members *m, bb_ms now,
                   const struct bb_member_update *u);
void set_status (struct bb_members *m, bb_ms now, uint32_t i, uint8_t status);

/* probe.c */
void probe_tick (struct bb_members *m, bb_ms now);
void probe_handle_ack (struct bb_members *m, bb_ms now, uint64_t nonce);
void probe_handle_request (struct bb_members *m, bb_ms now, uint32_t requester,
                           const struct bb_ping_request *q);

/* Returns a random member that is alive or suspect, other than this process;
   with KNOWN_INCARNATION one whose incarnation is known.  Returns
   BB_MEMBER_NONE when it finds none in a few tries.  */
uint32_t pick_random_live (struct bb_members *m, bool known_incarnation);

/* config_sync.c */
void config_sync_tick (struct bb_members *m, bb_ms now);
void config_sync_handle_gossip (struct bb_members *m, bb_ms now, uint32_t from,
                                const struct bb_gossip *g);
enum bb_member_refusal config_sync_handle_fetch (struct bb_members *m,
                                                 uint32_t from,
                                                 const struct bb_fetch *f);
enum bb_member_refusal config_sync_handle_chunk (struct bb_members *m,
                                                 bb_ms now, uint32_t from,
                                                 const struct bb_chunk *c);
void config_sync_free (struct bb_members *m);

/* Activates B when its revision is higher than the active one and the caller
   accepts it.  Takes over the reference to B.  */
enum bb_member_refusal config_sync_adopt (struct bb_members *m, bb_ms now,
                                          struct bb_config_blob *b);

/* blob.c */
struct bb_config_blob *blob_new (uint64_t revision, uint32_t size);
struct bb_config_blob *blob_ref (struct bb_config_blob *b);
void blob_unref (struct bb_config_blob *b);
uint64_t blob_hash (const struct bb_config_blob *b);

/* Sets *PREFIX and *SUFFIX to the numbers of bytes that A and B share at the
   start and at the end; they do not overlap in either.  */
void blob_common_ends (const struct bb_config_blob *a,
                       const struct bb_config_blob *b, uint32_t *prefix,
                       uint32_t *suffix);

/* push.c */
void fill_pushed (struct bb_members *m, bb_ms now, struct bb_gossip *g);
void apply_pushed (struct bb_members *m, bb_ms now, const struct bb_pushed *p);

/* reader.c */
void reader_tick (struct bb_members *m, bb_ms now);

#endif
