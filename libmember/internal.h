#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include "bilberry/member.h"

enum
{
  QUEUED_UPDATES_MAX = 1024,
  UPDATES_PER_MESSAGE = 8,
  RELAYED_PINGS_MAX = 16,
  HISTORY_MAX = 4,
  RECENT_SENDERS_MAX = 64,
  FETCH_WINDOW_CHUNKS = 8,
  CHUNK_BYTES = 1100,
  PUSHED_PER_MESSAGE = 2,
  CONFIG_MAX_BYTES = 16 * 1024 * 1024
};

struct member
{
  uint64_t incarnation;      /* 0: not known yet */
  uint64_t highest_sequence; /* highest sequence number seen */
  uint64_t sequence_window;  /* which of the 64 below it were seen */
  bb_ms suspect_until_ms;
  uint32_t counter;
  uint8_t status; /* enum bb_member_status */
  uint8_t failed_probes;
};

struct queued_update
{
  uint32_t member;
  uint32_t sends_left; /* transmissions to go */
};

enum probe_stage
{
  PROBE_IDLE,
  PROBE_DIRECT,
  PROBE_INDIRECT
};

struct probe
{
  enum probe_stage stage;
  uint32_t target;
  uint64_t nonce;
  bb_ms indirect_at_ms;
  bb_ms next_at_ms;
  uint32_t next_target; /* to be probed next, or BB_MEMBER_NONE */
};

/* A ping on behalf of another member.  */
struct relayed_ping
{
  uint64_t nonce;
  uint64_t requester_nonce;
  uint32_t requester;
};

struct fetch
{
  bool active;
  uint32_t peer;
  uint64_t revision;
  uint64_t hash;
  struct bb_config_blob *base; /* counted; NULL: the whole is fetched */
  bool size_known;             /* the first piece has come */
  uint32_t prefix_bytes;
  uint32_t suffix_bytes;
  uint32_t middle_bytes;
  uint32_t received_count;
  uint32_t next_chunk;
  char *middle;
  uint8_t *received; /* by chunk */
  bb_ms progress_at_ms;
  uint32_t timeouts;
};

struct pushed_entry
{
  struct bb_pushed item;
  bb_ms created_at_ms; /* on the clock of this process */
  uint32_t sends_left;
};

struct bb_members
{
  const struct bb_directory *directory;
  uint32_t self;
  uint64_t self_id;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t nonce;
  uint32_t counter;
  bool leaving;
  uint32_t current_sender; /* sender of the datagram in hand; BB_MEMBER_NONE */
  uint64_t current_sender_incarnation;
  struct member *members;
  struct bb_signer *signer;
  GRand *rand;
  const struct bb_member_ops *ops;
  void *user;
  bb_ms started_at_ms;
  bb_ms last_tick_ms;
  bb_ms next_reader_check_ms;
  uint32_t
      recent_senders[RECENT_SENDERS_MAX]; /* senders of believed messages */
  uint32_t recent_senders_count;          /* rises without bound */
  struct probe probe;
  struct relayed_ping relays[RELAYED_PINGS_MAX];
  uint32_t relays_next;
  struct queued_update queued_updates[QUEUED_UPDATES_MAX];
  uint32_t queued_updates_count;
  struct bb_config_blob *history[HISTORY_MAX]; /* the newest first */
  uint64_t rejected_revision;                  /* judged here and rejected */
  uint64_t rejected_hash;
  struct fetch fetch;
  bool heard_from_peer; /* some peer has spoken */
  bb_ms activated_at_ms;
  uint32_t announce_rounds;
  bb_ms fallback_at_ms; /* when to ask the service; 0: no need */
  uint32_t
      delta_prefix_bytes; /* of the change from history[1] to history[0] */
  uint32_t delta_suffix_bytes;
  struct pushed_entry pushed[BB_PUSHED_MAX];
  uint32_t pushed_count;
  uint32_t pushed_next;
  uint64_t push_sequence;
  struct bb_member_stats stats;
  msgpack_sbuffer body;
  msgpack_sbuffer datagram;
};

/* send.c */

/* Adds what every message carries.  Tells member ABOUT what is believed of it
   when that differs from an alive one.  */
void fill_gossip (struct bb_members *m, bb_ms now, struct bb_gossip *g,
                  uint32_t recipient);

/* Seals the message in m->body and sends it to member TO.  */
void send_message (struct bb_members *m, uint32_t to);
void send_ping (struct bb_members *m, bb_ms now, uint32_t to, uint64_t nonce);
void send_ack (struct bb_members *m, bb_ms now, uint32_t to, uint64_t nonce);
void send_notice (struct bb_members *m, bb_ms now, uint32_t to);

/* update.c */
uint32_t sends_per_update (const struct bb_members *m);
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

/* Picks a random live member other than self.  With KNOWN, one whose
   incarnation is known.  BB_MEMBER_NONE where it finds none.  */
uint32_t pick_random_live (struct bb_members *m, bool known_incarnation);

/* spread.c */
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

/* Puts B in force when it is higher than what is; takes the reference.  */
enum bb_member_refusal config_sync_adopt (struct bb_members *m, bb_ms now,
                                          struct bb_config_blob *b);

/* blob.c */
struct bb_config_blob *blob_new (uint64_t revision, uint32_t size);
struct bb_config_blob *blob_ref (struct bb_config_blob *b);
void blob_unref (struct bb_config_blob *b);
uint64_t blob_hash (const struct bb_config_blob *b);

/* Finds how many bytes A and B share at both ends.  */
void blob_common_ends (const struct bb_config_blob *a,
                       const struct bb_config_blob *b, uint32_t *prefix,
                       uint32_t *suffix);

/* push.c */
void fill_pushed (struct bb_members *m, bb_ms now, struct bb_gossip *g);
void apply_pushed (struct bb_members *m, bb_ms now, const struct bb_pushed *p);

/* reader.c */
void reader_tick (struct bb_members *m, bb_ms now);

#endif
