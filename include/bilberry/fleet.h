#ifndef BILBERRY_FLEET_H
#define BILBERRY_FLEET_H

/* libfleet - what an entry believes of the fleet, and its decisions on load.
   Pure: no socket, no clock, no global.  Link with -lfleet -lglib-2.0.  */

#include "bilberry/base.h"

#include <glib.h>

/* Whether a request may run more than once.  */
enum bb_call_kind
{
  BB_CALL_IDEMPOTENT,
  BB_CALL_AT_MOST_ONCE,
  BB_CALL_STREAM
};

enum
{
  BB_SPLIT_MAX = 8
};

/* A part of a route's requests.  */
struct bb_weighted_pool
{
  char *pool;
  uint32_t weight;
};

struct bb_route
{
  char *name;
  char *host;
  char *prefix; /* begins and ends with a slash */
  enum bb_call_kind kind;
  struct bb_weighted_pool split[BB_SPLIT_MAX];
  uint32_t split_count;
  bb_ms timeout_ms;    /* longest time to keep a caller waiting */
  bb_ms slo_ms;        /* within which an answer or first event is in time */
  bb_ms itl_target_ms; /* longest pause between events in time; 0: none */
  uint32_t attempts_max;
  uint32_t priority; /* 0 is the most urgent */
  bool is_public;    /* needs no key */
  bool resumable;    /* a stream may go on at its last event elsewhere */
};

/* How an engine spends time, and the sizes of its expert maps.  */
struct bb_engine
{
  uint32_t slots;
  uint32_t steps_per_pass; /* steps of a pass */
  double step_ms;          /* of one step */
  double sequence_ms;      /* more for each request that writes */
  double context_ms_per_1k_tokens;
  double prompt_tokens_per_s; /* prompt tokens */
  uint32_t report_lag_ms;
  double typical_prompt_tokens; /* tokens */
  double typical_output_tokens;
  uint32_t sets;
  uint32_t experts; /* of a set */
  uint32_t places;  /* of a rank and set */
  uint32_t spare;   /* experts of a set that may be new at a rank */
  double expert_mb;
  double link_mbps;
  double expert_time_share;  /* of the work for tokens */
  double group_formation_ms; /* until a group opens again */
};

struct bb_pool
{
  char *name;
  char *health_path;
  uint32_t connections_max;
  double cold_start_s;
  double cold_requests_per_s; /* requests a second that a cold upstream bears;
                                 0: any */
  bool has_engine;
  struct bb_engine engine;
};

struct bb_fleet_customer
{
  char *name;
  int32_t priority; /* replaces that of the route; -1: none */
};

/* One accepted configuration.  Never changed once it is made.  */
struct bb_config
{
  uint32_t reference_count;
  uint64_t revision; /* of the store */
  uint64_t version;  /* of the operator */
  GPtrArray *routes; /* struct bb_route, longest prefix first */
  GHashTable *pools; /* by name */
  GPtrArray *customers;
  GHashTable *keys; /* bearer key to struct bb_fleet_customer */
  bool has_customers;
  uint32_t head_max_bytes;
  uint32_t body_max_bytes;
  bb_ms head_timeout_ms;
  bb_ms idle_timeout_ms;
};

/* Makes an empty configuration with one reference.  */
struct bb_config *bb_config_new (void);
struct bb_config *bb_config_ref (struct bb_config *c);
void bb_config_unref (struct bb_config *c);

/* Adds to a configuration that is being made; it takes the memory over.  */
void bb_config_add_route (struct bb_config *c, struct bb_route *r);
void bb_config_add_pool (struct bb_config *c, struct bb_pool *p);
void bb_config_add_key (struct bb_config *c, const char *key,
                        struct bb_fleet_customer *owner);
struct bb_fleet_customer *bb_config_add_customer (struct bb_config *c,
                                                  const char *name,
                                                  int32_t priority);

/* Brings routes into the order of search.  */
void bb_config_sort_routes (struct bb_config *c);

/* Finds the route of HOST with the longest prefix that begins TARGET, up to
   its query.  NULL where there is none.  A port after the host counts for
   nothing.  */
const struct bb_route *bb_config_find_route (const struct bb_config *c,
                                             struct bb_bytes host,
                                             struct bb_bytes target);

const struct bb_pool *bb_config_find_pool (const struct bb_config *c,
                                           const char *name);
const struct bb_fleet_customer *
bb_config_find_customer (const struct bb_config *c, struct bb_bytes key);

/* Picks a pool of route R by weight; DRAW is from 0 to 1.  */
const char *bb_route_pick_pool (const struct bb_route *r, double draw);

/* An upstream as it registered itself.  */
struct bb_upstream
{
  char *id; /* of one start, mostly */
  char *pool;
  char *address;
  char *failure_domain;
  uint32_t slots;
  bool draining;
  uint32_t cold_left_ms;   /* when it registered */
  int64_t started_unix_ms; /* 0: not told */
  uint64_t revision;
};

void bb_upstream_free (struct bb_upstream *u);

/* Kinds of items that a view is made of.  */
enum bb_item_kind
{
  BB_ITEM_OTHER,
  BB_ITEM_CONFIG,
  BB_ITEM_UPSTREAM,  /* named by an upstream's id */
  BB_ITEM_EVACUATION /* named by a failure domain */
};

/* An item of the view as its source holds it.  */
struct bb_item
{
  char *key;
  GBytes *value; /* NULL: removed */
  uint64_t revision;
};

/* Frees a struct bb_item; of the type that GLib's containers take.  */
void bb_item_free (void *item);

/* What is known of the fleet: items by key, each at its highest revision.  */
struct bb_view
{
  GHashTable *items; /* by key */
  uint64_t revision; /* up to which all items are known */
};

struct bb_view *bb_view_new (void);
void bb_view_free (struct bb_view *v);

/* Takes an item of REVISION; VALUE NULL removes it.  Returns whether it is
   news.  An item never goes back to a lower revision.  */
bool bb_view_put (struct bb_view *v, const char *key, GBytes *value,
                  uint64_t revision);

/* Returns the keys that are held but not among KEYS, a set of a whole listing;
   the caller frees the array.  Items newer than REVISION do not count.  */
GPtrArray *bb_view_missing (const struct bb_view *v, GHashTable *keys,
                            uint64_t revision);

#endif
