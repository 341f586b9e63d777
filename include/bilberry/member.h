#ifndef BILBERRY_MEMBER_H
#define BILBERRY_MEMBER_H

/* libmember - membership by gossip and the spread of configuration.
   Link with -lmember -lproto -lcrypto -lxxhash -lglib-2.0.

   A pure machine: datagrams and ticks go in, datagrams to send and revisions
   to put in force come out through a table of functions.  It has no socket
   and no clock; time and randomness are handed in.

   Members are the entries and agents that the settings name.  Each starts as
   alive with an unknown incarnation.  What a datagram says is believed only
   when a known key signed it, it names the receiver's incarnation and its
   sequence number is new.  */

#include "bilberry/base.h"
#include "bilberry/wire.h"

#include <glib.h>

enum
{
  BB_MEMBER_NONE = UINT32_MAX,
  BB_PEER_KEYS_MAX = 4,
  BB_PEER_KEY_BYTES = 32,
  BB_DATAGRAM_MAX_BYTES = 1700,
  BB_READERS_PER_DOMAIN = 2 /* readers of the service in each failure domain */
};

/* A process that the settings name.  */
struct bb_peer
{
  uint64_t id;             /* bb_peer_id of role and name */
  uint32_t failure_domain; /* any number, the same everywhere */
};

/* All peers, sorted by id.  */
struct bb_directory
{
  struct bb_peer *peers;
  uint32_t count;
};

uint64_t bb_peer_id (enum bb_role role, const char *name);
void bb_directory_sort (struct bb_directory *d);

/* Returns the index of ID, or BB_MEMBER_NONE.  */
uint32_t bb_directory_find (const struct bb_directory *d, uint64_t id);

/* Keys by which peers prove that they belong.  The first one signs, all are
   accepted.  */
struct bb_peer_key
{
  uint32_t id;
  uint8_t secret[BB_PEER_KEY_BYTES];
};

struct bb_peer_keys
{
  struct bb_peer_key keys[BB_PEER_KEYS_MAX];
  uint32_t count;
};

/* Why a datagram or an offer was refused.  One counter stands for each.  */
enum bb_member_refusal
{
  BB_MEMBER_OK,
  BB_MEMBER_MALFORMED,      /* no sealed message */
  BB_MEMBER_UNKNOWN_KEY,    /* signed by a key that is not in the settings */
  BB_MEMBER_BAD_TAG,        /* the signature is wrong */
  BB_MEMBER_UNKNOWN_SENDER, /* the settings name no such peer */
  BB_MEMBER_MISADDRESSED,   /* meant for another incarnation */
  BB_MEMBER_REPLAY,         /* the sequence number was seen or is too old */
  BB_MEMBER_OLD_PROCESS,    /* of an earlier process of that member */
  BB_MEMBER_BAD_BODY,       /* the message inside is malformed or of no use */
  BB_MEMBER_LOWER_REVISION, /* a revision below the one in force */
  BB_MEMBER_CONFLICT,       /* the revision in force with other content */
  BB_MEMBER_REJECTED,       /* the settings of the revision have faults */
  BB_MEMBER_BAD_HASH,       /* a fetched revision does not match its hash */
  BB_MEMBER_EARLY,          /* the peers of a fresh process have not spoken */
  BB_MEMBER_REFUSALS
};

/* Returns the name of R for logs and counters.  */
const char *bb_member_refusal_name (enum bb_member_refusal r);

/* One revision of the configuration; immutable and counted.  */
struct bb_config_blob
{
  uint32_t refs;
  uint32_t size;
  uint64_t revision;
  uint64_t hash;
  char data[];
};

/* What the machine asks its owner to do.  */
struct bb_member_ops
{
  /* Sends a datagram to the member with index TO; BB_MEMBER_NONE is the
     sender of the datagram being handled.  */
  void (*send) (void *user, uint32_t to, const void *data, size_t size);
  /* Judges a revision and puts it in force when it is good.  The verdict
     depends on the bytes alone.  */
  bool (*accept) (void *user, const struct bb_config_blob *b);
};

struct bb_members;

struct bb_member_options
{
  uint64_t self_id; /* own id; must be in the directory */
  uint64_t incarnation;
  const struct bb_directory *directory; /* borrowed until replaced */
  struct bb_peer_keys keys;
  GRand *rand; /* borrowed */
  const struct bb_member_ops *ops;
  void *user;
};

struct bb_members *bb_members_new (const struct bb_member_options *o);
void bb_members_free (struct bb_members *m);

/* Replaces the directory; what is known of members that stay is kept.  */
void bb_members_set_directory (struct bb_members *m,
                               const struct bb_directory *d);
void bb_members_set_keys (struct bb_members *m, const struct bb_peer_keys *k);

/* Takes one datagram.  */
enum bb_member_refusal bb_members_receive (struct bb_members *m, bb_ms now,
                                           const void *data, size_t size);

/* To be called every BB_MEMBER_TICK_MS.  A tick that comes much too late
   shows that the process was paused: nothing is decided by old timers, and
   the peers are asked first.  */
enum
{
  BB_MEMBER_TICK_MS = 100
};
void bb_members_tick (struct bb_members *m, bb_ms now);

/* Takes a revision from a source.  It comes in force only when it is higher
   than the one in force and accepted.  */
enum bb_member_refusal bb_members_offer_config (struct bb_members *m,
                                                bb_ms now, uint64_t revision,
                                                const void *data, size_t size);

/* Whether the owner should ask the configuration service: the member is a
   reader of its failure domain, or its peers have nothing for it.  */
bool bb_members_should_query_service (const struct bb_members *m, bb_ms now);

/* The VM list says that the member ID has gone or is there.  The list lags,
   so this only brings the next probe forward.  */
void bb_members_probe_next (struct bb_members *m, uint64_t id);

/* Tells all that this process leaves.  */
void bb_members_leave (struct bb_members *m, bb_ms now);

/* Kinds of pushed facts, each with the age at which it is forgotten.  */
enum bb_pushed_kind
{
  BB_PUSHED_QUARANTINE, /* key: fingerprint of a request */
  BB_PUSHED_DEMAND,     /* key: customer; value: requests a second */
  BB_PUSHED_LOAD,       /* key: pool; value: requests in flight */
  BB_PUSHED_KINDS
};

/* Returns the staleness bound of KIND in ms.  */
bb_ms bb_pushed_max_age_ms (enum bb_pushed_kind kind);

/* Spreads a fact; at most BB_PUSHED_MAX are kept, the oldest go first.  */
enum
{
  BB_PUSHED_MAX = 128
};
void bb_members_push (struct bb_members *m, bb_ms now,
                      enum bb_pushed_kind kind, uint64_t key, uint64_t value);

/* Sums the values of all origins for KEY; *COUNT is how many told it.  Facts
   older than the bound do not count.  */
uint64_t bb_members_sum_pushed (const struct bb_members *m, bb_ms now,
                                enum bb_pushed_kind kind, uint64_t key,
                                uint32_t *count);

/* The revision in force; NULL where there is none yet.  */
const struct bb_config_blob *
bb_members_active_config (const struct bb_members *m);
enum bb_member_status bb_members_status (const struct bb_members *m,
                                         uint32_t index);

/* What a machine has done so far.  */
struct bb_member_stats
{
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t received;
  uint64_t received_bytes;
  uint64_t suspected;     /* suspicions that this member raised */
  uint64_t declared_dead; /* members that it declared dead by its own timer */
  uint64_t pauses;        /* pauses found */
  uint64_t fetches;       /* revisions asked of peers */
  uint64_t refused[BB_MEMBER_REFUSALS];
  uint64_t rejected_revision; /* highest one that this or a peer rejected */
  bb_ms confirmed_at_ms; /* when a peer or the service last showed no higher */
  bool reader;
};
const struct bb_member_stats *bb_members_stats (const struct bb_members *m);

/* Returns how many members are believed alive or suspect, itself included. */
uint32_t bb_members_live_count (const struct bb_members *m);

/* seal - the envelope of a datagram.  */
struct bb_signer;

struct bb_signer *bb_signer_new (const struct bb_peer_keys *keys);
void bb_signer_free (struct bb_signer *g);

/* Appends S, signed by the first key, to BUF.  */
void bb_sign_datagram (msgpack_sbuffer *buf, struct bb_sealed *s,
                       const struct bb_signer *g);

/* Decodes and checks a datagram.  On BB_MEMBER_OK the caller ends the use of
   M by bb_message_free.  */
enum bb_member_refusal bb_verify_datagram (const void *data, size_t size,
                                           const struct bb_signer *g,
                                           struct bb_message *m);

#endif
