#ifndef BILBERRY_FLEET_H
#define BILBERRY_FLEET_H

/* libfleet - the operator's configuration and an entry's local copy of the
   fleet's state.  The functions use no socket, no clock and no global state.
   Link with -lfleet -lglib-2.0.  */

#include "bilberry/base.h"

#include <glib.h>

/* A revision of the store, with the store's era in its upper 16 bits.  The era
   rises each time the store comes back from an older copy, which gives numbers
   out again; so of two revisions the higher one is newer.  */
typedef uint64_t bb_revision;

bb_revision bb_revision_of (uint64_t era, uint64_t number);
uint64_t bb_revision_era (bb_revision r);
/* The number that the store gave out in that era.  */
uint64_t bb_revision_number (bb_revision r);

/* The arguments of bb_log_event, for "s:I, s:I", that name revision R.  Needs
   jansson.h.  */
#define BB_LOG_REVISION(r)                                                    \
  "era", (json_int_t)bb_revision_era (r), "revision",                         \
      (json_int_t)bb_revision_number (r)

/* Whether a request may run more than once.  */
enum bb_call_kind
{
  BB_CALL_IDEMPOTENT,
  BB_CALL_AT_MOST_ONCE,
  BB_CALL_STREAM /* answered by an event stream; see bb_route.resumable */
};

enum
{
  BB_SPLIT_MAX = 8
};

/* A pool that gets a weighted share of a route's requests.  */
struct bb_weighted_pool
{
  char *pool;
  uint32_t weight; /* share of the requests relative to the other pools of the
                      route */
};

struct bb_route
{
  char *name;
  char *host;
  char *prefix; /* path prefix; begins and ends with a slash */
  enum bb_call_kind kind;
  struct bb_weighted_pool split[BB_SPLIT_MAX];
  uint32_t split_count;
  bb_ms timeout_ms;      /* longest time that a caller is kept waiting */
  bb_ms slo_ms;          /* latency objective for the first event or answer */
  bb_ms itl_target_ms;   /* objective for the time between events; 0: none */
  uint32_t attempts_max; /* attempts of one request that may have run */
  uint32_t priority;     /* 0 is the most urgent */
  bool is_public;        /* needs no bearer key */
  bool resumable;        /* another upstream can continue a stream after its
                            last event */
  uint64_t text_hash;    /* of what it was decoded from; 0: not known */
  uint32_t other_owners; /* configurations that have it too, beside one */
};

/* Performance model of a pool's inference engine, and the dimensions of its
   expert maps.  */
struct bb_engine
{
  uint32_t slots; /* requests that one upstream runs at a time */
  uint32_t steps_per_pass;
  double step_ms;     /* duration of one step */
  double sequence_ms; /* time that each request in decoding adds */
  double context_ms_per_1k_tokens; /* time that 1000 tokens of context add */
  double prompt_tokens_per_s;      /* speed of prompt processing */
  uint32_t report_lag_ms;          /* how far an engine's reports lag behind */
  double typical_prompt_tokens;
  double typical_output_tokens;
  uint32_t sets;    /* sets of experts, each mapped on its own */
  uint32_t experts; /* experts in a set */
  uint32_t places;  /* places for experts of each rank in each set */
  uint32_t spare; /* most experts of a set that a new map may add at a rank */
  double expert_mb;          /* size of an expert's weights */
  double link_mbps;          /* bandwidth for copying experts */
  double expert_time_share;  /* fraction of the time for tokens that experts
                                take */
  double group_formation_ms; /* time that a group takes to form until it takes
                                work again */
};

struct bb_pool
{
  char *name;
  char *health_path;
  uint32_t connections_max;
  double cold_start_s;
  double cold_requests_per_s; /* requests per second that a cold upstream
                                 accepts; 0: no limit */
  bool has_engine;            /* engine is set */
  struct bb_engine engine;
};

struct bb_fleet_customer
{
  char *name;
  int32_t priority; /* replaces the priority of the route; -1: the route's
                       applies */
};

enum
{
  BB_PRIORITY_CLASSES = 10 /* 0 is the most urgent */
};

/* Routes by host and prefix.  */
struct bb_route_index;

/* One accepted configuration.  Immutable once it is complete, and shared by
   reference count.  */
struct bb_config
{
  uint32_t reference_count;
  bb_revision revision; /* at which it was written */
  uint64_t version;     /* version number that the operator set */
  GPtrArray *routes;    /* struct bb_route, as the operator listed them */
  struct bb_route_index *index;
  GHashTable *routes_by_text; /* struct bb_route by text_hash */
  GHashTable *pools;          /* struct bb_pool by name */
  GPtrArray *customers;       /* struct bb_fleet_customer; owns them */
  GHashTable *keys;           /* bearer key to struct bb_fleet_customer */
  /* See bb_config_rank_priorities.  */
  uint8_t priority_classes[BB_PRIORITY_CLASSES][BB_PRIORITY_CLASSES];
  bool has_customers; /* requests to routes that are not public need a key */
  uint32_t head_max_bytes;
  uint32_t body_max_bytes;
  bb_ms head_timeout_ms; /* longest time for a request to arrive completely */
  bb_ms idle_timeout_ms; /* longest time for a caller's connection without a
                            request */
};

/* Returns an empty configuration with default limits and one reference.  */
struct bb_config *bb_config_new (void);

/* Adds a reference to C and returns C.  */
struct bb_config *bb_config_ref (struct bb_config *c);

/* Drops a reference to C and frees C with the last one.  C may be NULL.  */
void bb_config_unref (struct bb_config *c);

/* Whether C may replace IN_FORCE, the configuration in force, which may be
   NULL.  A lower version may not: the store has it again after it came back
   from an older copy.  */
bool bb_config_may_replace (const struct bb_config *c,
                            const struct bb_config *in_force);

/* Adds R to a configuration under construction, which takes ownership.  */
void bb_config_add_route (struct bb_config *c, struct bb_route *r);

/* Removes all routes of a configuration under construction.  */
void bb_config_clear_routes (struct bb_config *c);

/* Returns the route of C that was decoded from a text with the hash TEXT_HASH,
   to be added to another configuration too, or NULL.  */
struct bb_route *bb_config_reuse_route (struct bb_config *c,
                                        uint64_t text_hash);

/* Adds P to a configuration under construction, which takes ownership.  A pool
   of the same name is replaced and freed.  */
void bb_config_add_pool (struct bb_config *c, struct bb_pool *p);

/* Maps the bearer KEY, which is copied, to OWNER, a customer of C.  */
void bb_config_add_key (struct bb_config *c, const char *key,
                        struct bb_fleet_customer *owner);

/* Adds a customer and returns it; C owns it.  NAME is copied.  PRIORITY is -1
   where that of the route applies.  */
struct bb_fleet_customer *bb_config_add_customer (struct bb_config *c,
                                                  const char *name,
                                                  int32_t priority);

/* Assigns a class to each pair of priorities that requests of C may have.  To
   be called when all routes and customers are added; the time is that of
   routes times customers.  */
void bb_config_rank_priorities (struct bb_config *c);

/* Returns the class of a request, from 0, the most urgent, to
   BB_PRIORITY_CLASSES - 1.  PRIORITY is that of its customer, or of its route
   where the customer has none, ROUTE_PRIORITY that of its route.  PRIORITY
   decides; among equals ROUTE_PRIORITY does, so that the priorities of routes
   also count where all customers have the same one.  Pairs share classes where
   C has more than BB_PRIORITY_CLASSES pairs.  */
uint32_t bb_config_priority_class (const struct bb_config *c,
                                   uint32_t priority, uint32_t route_priority);

/* Returns the route of HOST with the longest prefix of TARGET, a request
   target, or NULL where there is none; the first one added of several with the
   same prefix.  HOST is compared without regard to
   case and without its port, TARGET without its query.  */
const struct bb_route *bb_config_find_route (const struct bb_config *c,
                                             struct bb_bytes host,
                                             struct bb_bytes target);

/* Returns the pool NAME, or NULL where there is none.  */
const struct bb_pool *bb_config_find_pool (const struct bb_config *c,
                                           const char *name);

/* Returns the customer that the bearer KEY belongs to, or NULL where the key
   is not known.  */
const struct bb_fleet_customer *
bb_config_find_customer (const struct bb_config *c, struct bb_bytes key);

/* Picks a pool of route R at random by weight.  DRAW is a uniform random
   number from 0 to 1.  Returns the name of the pool, which R owns; the last
   pool where all weights are 0, and "" where R has no pool.  */
const char *bb_route_pick_pool (const struct bb_route *r, double draw);

/* An upstream as it registered itself in the store.  */
struct bb_upstream
{
  char *id; /* usually new at each start of the upstream */
  char *pool;
  char *address; /* host:port */
  char *failure_domain;
  uint32_t slots;          /* requests that it runs at a time */
  bool draining;           /* takes no new requests */
  uint32_t cold_left_ms;   /* remaining cold start when it registered */
  int64_t started_unix_ms; /* time of its start; 0: not known */
  bb_revision revision;    /* at which it registered */
};

/* Whether A and B, which registered under one id, are the same process in the
   same pool and at the same address, so that what was learned of one holds for
   the other.  */
bool bb_upstream_is_same_process (const struct bb_upstream *a,
                                  const struct bb_upstream *b);

/* Frees U, which may be NULL.  */
void bb_upstream_free (struct bb_upstream *u);

/* What an item of the store describes.  */
enum bb_item_kind
{
  BB_ITEM_OTHER,
  BB_ITEM_CONFIG,
  BB_ITEM_UPSTREAM,  /* the key holds the upstream's id */
  BB_ITEM_EVACUATION /* the key holds a failure domain that gets no
                        requests */
};

/* A key-value pair of the store.  */
struct bb_item
{
  char *key;
  GBytes *value;        /* NULL: the key was removed */
  bb_revision revision; /* at which the item last changed */
  bool held; /* the store has something older, or nothing, since it came back
                from a copy */
};

/* Frees ITEM, a struct bb_item.  Usable as a GDestroyNotify.  */
void bb_item_free (void *item);

/* What tells of an item.  */
enum bb_source
{
  BB_SOURCE_STORE, /* a listing or a watch of the store */
  BB_SOURCE_PEER,  /* another process, from its own copy */
  BB_SOURCES
};

/* Returns the name of S for logs.  */
const char *bb_source_name (enum bb_source s);

/* What a view does with an item that it is told of.  */
enum bb_verdict
{
  BB_VERDICT_NEWS,      /* stores it */
  BB_VERDICT_UNSETTLED, /* stores it, held: the store may have lost it with its
                           copy; to be settled by a listing some time later */
  BB_VERDICT_KNOWN,     /* has it already, or something newer */
  BB_VERDICT_OLDER,     /* keeps its own value, held: the store has told an
                           older one since it came back from a copy */
  BB_VERDICT_GONE       /* refuses it: the store has told that it no longer has
                           it, and the peer did not learn of that */
};

/* Local copy of the store: items by key, each at the highest revision seen.
   Removed items stay, without a value, so that an older one that arrives late
   does not bring them back.

   The store's word counts for all revisions up to SETTLED: what a peer tells
   as of such a revision is in the view already, or is gone.  What the store
   cannot tell yet is believed: items of a later revision, all items before the
   first listing, and what the store may have lost with its copy.

   When the store has come back from an older copy, an item of the new era
   whose number is not higher than that of the one in the view is what the copy
   has: the view keeps its own item, held, at the new revision, unless the
   values show that the store's is newer.  A later change in the new era
   replaces it.  */
struct bb_view
{
  GHashTable *items; /* struct bb_item by key */
  /* All changes up to it are in ITEMS; kept by the caller.  */
  bb_revision revision;
  /* The store itself has told all changes up to it; 0: nothing yet.  */
  bb_revision settled;
  /* Peers are told which items are held, since listings will settle them; set
     by the caller.  */
  bool tells_held;
  /* Returns whether VALUE of KEY was written after KNOWN, as far as they tell
     themselves; set by the caller, NULL: they never do.  */
  bool (*is_newer_value) (const char *key, GBytes *known, GBytes *value);
};

/* Returns an empty view.  */
struct bb_view *bb_view_new (void);

/* Frees V and its items.  */
void bb_view_free (struct bb_view *v);

/* Returns what V does with the item TOLD by SOURCE.  All that V learns passes
   this function.  */
enum bb_verdict bb_view_judge (const struct bb_view *v,
                               const struct bb_item *told,
                               enum bb_source source);

/* Whether the store has told V that it no longer has what a peer has of KEY as
   of REVISION.  */
bool bb_view_is_gone (const struct bb_view *v, const char *key,
                      bb_revision revision);

/* Does with the item TOLD by SOURCE what bb_view_judge returns, and returns
   that.  The key is copied and the value referenced.  */
enum bb_verdict bb_view_take (struct bb_view *v, const struct bb_item *told,
                              enum bb_source source);

/* Takes VALUE for KEY at REVISION, told by the store; NULL removes the key.
   Returns whether it is news.  */
bool bb_view_put (struct bb_view *v, const char *key, GBytes *value,
                  bb_revision revision);

/* The store has told V all changes after SINCE up to REVISION: by a complete
   listing, whose first page was at REVISION, where SINCE is 0, otherwise by a
   watch from SINCE.  */
void bb_view_settle (struct bb_view *v, bb_revision since,
                     bb_revision revision);

/* Holds the items of earlier eras that a complete listing at REVISION lacks;
   KEYS is the set of its keys.  Returns how many values are held anew.  */
uint32_t bb_view_hold_missing (struct bb_view *v, GHashTable *keys,
                               bb_revision revision);

/* Holds no item any more: the next listing replaces those that the store has
   otherwise.  */
void bb_view_release_held (struct bb_view *v);

/* Returns the keys that V has but the store no longer does.  KEYS is the set
   of keys of a complete listing of the store at REVISION; items newer than
   REVISION are not reported.  The array owns the keys; the caller frees it. */
GPtrArray *bb_view_missing (const struct bb_view *v, GHashTable *keys,
                            bb_revision revision);

#endif
