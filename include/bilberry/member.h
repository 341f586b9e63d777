#ifndef BILBERRY_MEMBER_H
#define BILBERRY_MEMBER_H

/* libmember - group membership and configuration distribution by gossip.
   Link with -lmember -lproto -lcrypto -lxxhash -lglib-2.0.

   The members are the entries and agents that the settings name.  Each one
   probes the others, exchanges membership updates and passes on the newest
   revision of the configuration.

   The library is a state machine without sockets and clock.  The caller hands
   in received datagrams, the time and a random generator; the library sends
   datagrams and activates configurations through struct bb_member_ops.

   At the start every member counts as alive and its incarnation is unknown.
   A message changes state only when a known key signed its datagram, its
   sender is a member, it is addressed to the incarnation of this process and
   its sequence number was not seen before.

   All times are in ms of the caller's monotonic clock.  */

#include "bilberry/base.h"
#include "bilberry/wire.h"

#include <glib.h>

enum
{
  BB_MEMBER_NONE = UINT32_MAX, /* index that stands for no member */
  BB_PEER_KEYS_MAX = 4,
  BB_PEER_KEY_BYTES = 32,
  BB_DATAGRAM_MAX_BYTES = 1700,
  BB_READERS_PER_DOMAIN = 2 /* members of each failure domain that poll the
                               configuration service */
};

/* A process that the settings name as a member.  */
struct bb_peer
{
  uint64_t id;             /* id of the member, from bb_peer_id */
  uint32_t failure_domain; /* number of the domain, the same at all members */
};

/* All members, this process included, in ascending order of their ids.
   Elsewhere in this header the index of a member is its index in PEERS.  */
struct bb_directory
{
  struct bb_peer *peers;
  uint32_t count;
};

/* Returns the id of the member with ROLE and NAME, a hash of both.  */
uint64_t bb_peer_id (enum bb_role role, const char *name);

/* Sorts the peers of D by id.  */
void bb_directory_sort (struct bb_directory *d);

/* Returns the index of the peer with ID in D, which must be sorted, or
   BB_MEMBER_NONE.  */
uint32_t bb_directory_find (const struct bb_directory *d, uint64_t id);

/* A secret shared by all members, which authenticates datagrams.  */
struct bb_peer_key
{
  uint32_t id; /* tells the receiver which key signed a datagram */
  uint8_t secret[BB_PEER_KEY_BYTES];
};

/* The first key signs what this process sends; a datagram signed by any of
   them is accepted.  */
struct bb_peer_keys
{
  struct bb_peer_key keys[BB_PEER_KEYS_MAX];
  uint32_t count;
};

/* Why a datagram or a configuration was refused.  bb_member_stats counts each
   reason.  */
enum bb_member_refusal
{
  BB_MEMBER_OK,             /* no refusal */
  BB_MEMBER_MALFORMED,      /* the datagram is not a signed message */
  BB_MEMBER_UNKNOWN_KEY,    /* signed by a key that is not configured here */
  BB_MEMBER_BAD_TAG,        /* wrong signature */
  BB_MEMBER_UNKNOWN_SENDER, /* the sender is not another member of the
                               directory */
  BB_MEMBER_MISADDRESSED,   /* addressed to another incarnation */
  BB_MEMBER_REPLAY,         /* sequence number already seen or too old */
  BB_MEMBER_OLD_PROCESS, /* the datagram is from an earlier incarnation of the
                            sender */
  BB_MEMBER_BAD_BODY,    /* a signed message that is invalid or asks for
                            an unknown revision; an offered configuration
                            above 16 MiB or with revision 0 */
  BB_MEMBER_LOWER_REVISION, /* revision below the active one */
  BB_MEMBER_CONFLICT,       /* the active revision with different content */
  BB_MEMBER_REJECTED,       /* bb_member_ops.accept rejected the revision */
  BB_MEMBER_BAD_HASH,       /* a fetched revision does not match its hash */
  BB_MEMBER_EARLY,          /* offered to a process that just started, which
                               must first hear from its peers */
  BB_MEMBER_REFUSALS
};

/* Returns the name of R for logs and metrics.  */
const char *bb_member_refusal_name (enum bb_member_refusal r);

/* The content of one revision of the configuration.  Immutable and
   reference-counted.  */
struct bb_config_blob
{
  uint32_t refs;
  uint32_t size; /* size of DATA in bytes */
  uint64_t revision;
  uint64_t hash; /* hash of DATA and REVISION */
  char data[];
};

/* Callbacks of the caller.  */
struct bb_member_ops
{
  /* Sends the SIZE bytes at DATA as one datagram to the member with index TO.
     BB_MEMBER_NONE stands for the source address of the datagram that
     bb_members_receive is handling.  */
  void (*send) (void *user, uint32_t to, const void *data, size_t size);
  /* Validates B and, when it is valid, activates it.  Returns whether it is
     valid.  The result must depend on the bytes alone: the last rejected
     revision is not validated again, and its number is sent to the peers.  */
  bool (*accept) (void *user, const struct bb_config_blob *b);
};

/* What a process knows of the members, and its configuration.  */
struct bb_members;

struct bb_member_options
{
  uint64_t self_id;     /* id of this process; must be in the directory */
  uint64_t incarnation; /* identifies this run of the process; not 0 */
  /* The members; borrowed until replaced.  */
  const struct bb_directory *directory;
  struct bb_peer_keys keys;
  GRand *rand; /* random generator; borrowed */
  const struct bb_member_ops *ops;
  void *user; /* passed to the callbacks in OPS */
};

/* Returns a new membership state for the options O, for bb_members_free.  */
struct bb_members *bb_members_new (const struct bb_member_options *o);
void bb_members_free (struct bb_members *m);

/* Replaces the directory by D, which is borrowed and must contain this
   process.  Keeps the state of members that are in both directories; the old
   directory must still be valid during the call.  */
void bb_members_set_directory (struct bb_members *m,
                               const struct bb_directory *d);

/* Replaces the keys by K, which must hold at least one.  */
void bb_members_set_keys (struct bb_members *m, const struct bb_peer_keys *k);

/* Handles one received datagram of SIZE bytes at DATA.  Returns why it was
   refused, or BB_MEMBER_OK.  */
enum bb_member_refusal bb_members_receive (struct bb_members *m, bb_ms now,
                                           const void *data, size_t size);

enum
{
  BB_MEMBER_TICK_MS = 100 /* period of bb_members_tick */
};

/* Runs the timers.  To be called every BB_MEMBER_TICK_MS.  A call that comes
   more than 1.5 s after the last one shows that the process was paused: then
   probes and suspicions that timed out meanwhile are not acted on, and peers
   are pinged first.  */
void bb_members_tick (struct bb_members *m, bb_ms now);

/* Offers the SIZE bytes at DATA, read from the configuration service, as
   REVISION.  Activates them when REVISION is higher than the active one and
   bb_member_ops.accept accepts them.  Returns BB_MEMBER_OK also when REVISION
   is active already with the same content, else why it was refused.  */
enum bb_member_refusal bb_members_offer_config (struct bb_members *m,
                                                bb_ms now, uint64_t revision,
                                                const void *data, size_t size);

/* Returns whether the caller should query the configuration service: this
   member is a reader of its failure domain, or its peers have not supplied a
   configuration in time.  */
bool bb_members_should_query_service (const struct bb_members *m, bb_ms now);

/* Makes the member with ID the target of the next probe.  For use when the VM
   list contradicts the status of the member.  The list lags behind, so the
   status changes only by the result of the probe.  */
void bb_members_probe_next (struct bb_members *m, uint64_t id);

/* Announces to the other members that this process leaves.  */
void bb_members_leave (struct bb_members *m, bb_ms now);

/* Kinds of pushed values.  A pushed value is a small value that a member
   spreads to all others by gossip.  It expires at a maximum age that depends
   on its kind.  */
enum bb_pushed_kind
{
  BB_PUSHED_QUARANTINE, /* key: fingerprint of a request */
  BB_PUSHED_DEMAND,     /* key: customer; value: requests per second */
  BB_PUSHED_LOAD,       /* key: pool; value: requests in flight */
  BB_PUSHED_KINDS
};

/* Returns the maximum age of values of KIND in ms; 0 for an unknown KIND.  */
bb_ms bb_pushed_max_age_ms (enum bb_pushed_kind kind);

enum
{
  BB_PUSHED_MAX = 128 /* pushed values that a member stores */
};

/* Spreads VALUE for KEY to all members.  It replaces the value that this
   process pushed for the same KIND and KEY before.  When BB_PUSHED_MAX values
   are stored, the oldest is discarded.  */
void bb_members_push (struct bb_members *m, bb_ms now,
                      enum bb_pushed_kind kind, uint64_t key, uint64_t value);

/* Returns the sum of the values of KIND and KEY over all processes that pushed
   one, without expired values.  Sets *COUNT to the number of values in the
   sum.  */
uint64_t bb_members_sum_pushed (const struct bb_members *m, bb_ms now,
                                enum bb_pushed_kind kind, uint64_t key,
                                uint32_t *count);

/* Returns the active configuration; NULL before the first one.  */
const struct bb_config_blob *
bb_members_active_config (const struct bb_members *m);

/* Returns what this process believes of the member with INDEX.  */
enum bb_member_status bb_members_status (const struct bb_members *m,
                                         uint32_t index);

/* Counters since bb_members_new, and state for metrics.  */
struct bb_member_stats
{
  uint64_t sent; /* datagrams sent */
  uint64_t sent_bytes;
  uint64_t received; /* datagrams received, refused ones included */
  uint64_t received_bytes;
  uint64_t suspected;     /* suspicions that this process raised */
  uint64_t declared_dead; /* members whose suspicion timed out here */
  uint64_t pauses;        /* pauses of this process that were detected */
  uint64_t fetches;       /* revisions requested from peers */
  uint64_t refused[BB_MEMBER_REFUSALS]; /* refused datagrams and
                                           configurations, by reason */
  uint64_t rejected_revision; /* highest revision rejected here or by a peer */
  bb_ms confirmed_at_ms; /* last time that a peer or the configuration service
                            reported the active revision; 0: never */
  bool reader; /* this process polls the configuration service for its failure
                  domain */
};

/* Returns the statistics of M.  They change as M is used.  */
const struct bb_member_stats *bb_members_stats (const struct bb_members *m);

/* Returns the number of members that are alive or suspect, this process
   included.  */
uint32_t bb_members_live_count (const struct bb_members *m);

/* Authentication of datagrams.  A datagram is one framed struct bb_sealed: a
   message with its addressing and a tag, which is the first 16 bytes of an
   HMAC-SHA256 over both.  The message is not encrypted.  */

/* Keys prepared for signing and verification.  */
struct bb_signer;

/* Returns a signer that holds a copy of KEYS, for bb_signer_free.  */
struct bb_signer *bb_signer_new (const struct bb_peer_keys *keys);
void bb_signer_free (struct bb_signer *g);

/* Signs S by the first key of G and appends the datagram to BUF.  Sets the key
   of S; ignores its tag.  */
void bb_sign_datagram (msgpack_sbuffer *buf, struct bb_sealed *s,
                       const struct bb_signer *g);

/* Decodes the datagram of SIZE bytes at DATA into M and checks its tag.
   Returns BB_MEMBER_OK, BB_MEMBER_MALFORMED, BB_MEMBER_UNKNOWN_KEY or
   BB_MEMBER_BAD_TAG.  On BB_MEMBER_OK the caller frees M by bb_message_free;
   otherwise M needs no free.  */
enum bb_member_refusal bb_verify_datagram (const void *data, size_t size,
                                           const struct bb_signer *g,
                                           struct bb_message *m);

#endif
