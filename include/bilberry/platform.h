#ifndef BILBERRY_PLATFORM_H
#define BILBERRY_PLATFORM_H

/* platform - the names, formats and calls of the platform that the system
   runs on.  Decides nothing.  Nothing outside knows the platform's names.
   Link with -lyaml -ljansson -lglib-2.0.  */

#include "bilberry/fleet.h"
#include "bilberry/h1.h"

/* What a process is told at its start.  The platform calls a failure domain
   a zone, an upstream a replica and a customer a tenant.  */
struct bb_process_settings
{
  char *name; /* the platform's "node" */
  char *ip;
  char *failure_domain;
  uint32_t failure_domain_count; /* in all */
  char *front_address;           /* listens for callers; NULL: none */
  char *ready_address;   /* is asked whether the process takes callers */
  char *control_address; /* listens for other processes of the system */
  char *seeds[8];        /* control addresses of some */
  uint32_t seeds_count;
  uint32_t port_first; /* free for the system's own use, on every VM */
  uint32_t port_last;
  char *upstream_address; /* beside this process; the platform's "app"; NULL:
                             none */
  char *pool;             /* of that upstream */
  char *store_address;    /* address; NULL: none */
  uint32_t metrics_port;  /* of the command line; 0: none */
  uint32_t memory_mb;
  uint32_t descriptors_max;
  bb_ms heartbeat_ms;
  bb_ms drain_ms;
  bb_ms grace_ms;
  bb_ms config_deadline_ms;
  bb_ms stability_ms;
  bb_ms stall_ms; /* of a group whose rank is gone, until it fails */
  double retry_ratio;
  bb_ms retry_window_ms;
  uint32_t retry_extra;
  double cold_overage;
  uint32_t cold_slack;
};

/* Reads the settings file at PATH.  NULL on a fault, told by *WHY, which the
   caller frees.  Fields that are not known are passed over.  */
struct bb_process_settings *bb_process_settings_read (const char *path,
                                                      char **why);
struct bb_process_settings *
bb_process_settings_parse (const char *data, size_t size, char **why);
void bb_process_settings_free (struct bb_process_settings *s);

/* Returns the path of the settings file from the environment, or NULL.  */
const char *bb_process_settings_path (void);

/* Tells what KEY names.  *NAME is the part after the kind.  */
enum bb_item_kind bb_item_kind_of (const char *key, const char **name);

/* Decode the value of an item.  NULL on a fault, told by *WHY, a constant
   sentence.  */
struct bb_config *bb_config_decode (GBytes *value, uint64_t revision,
                                    const char **why);
struct bb_upstream *bb_upstream_decode (const char *id, GBytes *value,
                                        uint64_t revision, const char **why);

/* How a call to the store ended.  */
enum bb_store_result
{
  BB_STORE_OK,
  BB_STORE_GONE,        /* the history asked for is dropped: list again */
  BB_STORE_BUSY,        /* over its rate */
  BB_STORE_UNAVAILABLE, /* says that it is */
  BB_STORE_LOST,        /* no answer, or one that broke off */
  BB_STORE_UNREADABLE,
  BB_STORE_RESULTS
};

const char *bb_store_result_name (enum bb_store_result r);

/* What the store answered.  */
struct bb_store_page
{
  GPtrArray *items;  /* struct bb_item */
  uint64_t revision; /* of the store */
  bool more;         /* further pages follow the last key */
  uint32_t unusable; /* items that could not be read */
};

struct bb_store;

/* Called once for each call; PAGE is NULL unless R is BB_STORE_OK.  */
typedef void bb_store_fn (enum bb_store_result r,
                          const struct bb_store_page *page, void *user);

struct bb_store *bb_store_new (uv_loop_t *loop, const char *address);

/* Lists items whose keys begin with PREFIX, after key AFTER ("": from the
   first).  One call at a time.  */
void bb_store_list (struct bb_store *s, const char *prefix, const char *after,
                    bb_ms timeout_ms, bb_store_fn *fn, void *user);

/* Waits up to WAIT_MS for changes after REVISION.  */
void bb_store_watch (struct bb_store *s, const char *prefix, uint64_t revision,
                     bb_ms wait_ms, bb_ms timeout_ms, bb_store_fn *fn,
                     void *user);

/* Gives the present call up; its function is not called.  */
void bb_store_cancel (struct bb_store *s);

/* What a caller sends.  Bytes are those of the message.  */
struct bb_request_info
{
  struct bb_bytes attempt_id; /* of this attempt */
  struct bb_bytes host;
  struct bb_bytes bearer_key; /* bearer key; empty: none */
  bool has_authorization;     /* an authorization header is there */
  uint32_t timeout_ms;        /* how long the caller waits; 0: not told */
  uint32_t prompt_tokens;
  uint32_t output_tokens_max;
  uint32_t output_tokens_hint; /* the caller's estimate; 0: none */
  uint64_t last_event_id;
  bool resumes; /* the caller has seen events up to last_event */
};

void bb_request_info_decode (const struct bb_h1_message *m,
                             struct bb_request_info *info);

/* What an entry adds to a request.  */
struct bb_forward_options
{
  const char *upstream_id;
  const char *customer; /* NULL: none */
  bb_ms remaining_ms;
  uint64_t last_event_id; /* 0: the caller's own stays */
  int32_t priority;       /* 0 to 9, 0 first; -1: not told */
};

enum
{
  BB_FORWARD_HEADERS_MAX = BB_H1_HEADERS_MAX + 8,
  BB_HEADER_TEXT_BYTES = 256
};

/* Writes the headers to send upstream to OUT.  TEXT holds the numbers.
   Returns their number.  */
uint32_t bb_forward_headers (const struct bb_h1_message *m,
                             const struct bb_forward_options *o,
                             struct bb_header out[BB_FORWARD_HEADERS_MAX],
                             char text[BB_HEADER_TEXT_BYTES]);

/* The head of an upstream's answer.  */
struct bb_response_info
{
  bool not_run;            /* the upstream says that the request did not run */
  bool misdirected;        /* another upstream has the address */
  bool has_signature;      /* carries the proof of the upstream that made it */
  bool attempt_id_matches; /* echoes the id of the attempt */
  bool has_content_encoding; /* the body is not the upstream's own */
  bool closes_connection;    /* it ends its channel */
  struct bb_bytes
      failed_upstream; /* upstream that made it fail; may be empty */
};

void bb_response_info_decode (const struct bb_h1_message *head,
                              struct bb_bytes attempt_id,
                              struct bb_response_info *info);

/* Writes the header that says when to come back.  */
struct bb_header bb_retry_after (bb_ms wait_ms,
                                 char text[BB_HEADER_TEXT_BYTES]);

/* The id of an event in EVENT, the text of one event; false: none.  */
bool bb_sse_event_id (struct bb_bytes event, uint64_t *id);

/* What a replica says of itself.  */
struct bb_rank_report
{
  uint32_t queued;
  uint32_t running;
  uint64_t kv_used_tokens; /* tokens that cannot yield */
  double slowdown;         /* over 1: slow */
  bool in_group;           /* is a rank of a group */
  char group[64];
  uint64_t epoch;
  uint32_t rank;
  uint32_t group_size;  /* ranks of the group */
  bool open;            /* the group takes work */
  uint64_t step;        /* last pass that was begun */
  uint64_t map_version; /* version in use */
  uint64_t prepared_version;
  uint64_t armed_version;
  uint64_t armed_step;
  uint64_t held_step; /* pass that is not begun; 0: none */
};

bool bb_rank_report_decode (struct bb_bytes body, struct bb_rank_report *r);

/* How often the requests of a rank chose each expert since it started.
   Returns the number of counts written to OUT, set by set.  */
struct bb_expert_counts
{
  uint64_t step;
  uint64_t epoch;
  uint32_t count;
  uint32_t *values; /* freed by the caller */
};

bool bb_expert_counts_decode (struct bb_bytes body,
                              struct bb_expert_counts *c);

/* Reads a replica's own part of the map in use: rows of PLACES experts, set by
   set, BB_PLACE_EMPTY where a place holds none.  *COUNT is how many were
   written; false where they are malformed or more than MAX.  */
bool bb_map_rows_decode (struct bb_bytes body, uint64_t *version,
                         uint16_t *rows, uint32_t max, uint32_t places,
                         uint32_t *count);

/* Orders to a replica.  */
enum bb_order_op
{
  BB_ORDER_PREPARE,
  BB_ORDER_ARM,
  BB_ORDER_DISARM,
  BB_ORDER_HOLD,
  BB_ORDER_GO,
  BB_ORDER_OPS
};

struct bb_order
{
  enum bb_order_op op;
  uint64_t version;
  uint64_t step;
  uint64_t epoch;
  uint64_t fence;
  /* Of a prepare: the experts by set and rank, in rows of PLACES; a place
     without expert holds UINT16_MAX.  */
  const uint16_t *map;
  uint32_t sets;
  uint32_t ranks;
  uint32_t places;
};

/* Returns the body of an order, which the caller frees.  */
char *bb_order_encode (const struct bb_order *o);

/* Targets of the calls to a replica.  */
extern const char bb_report_target[];
extern const char bb_expert_counts_target[];
extern const char bb_map_rows_target[];
extern const char bb_order_target[];

/* Target by which the platform asks whether a process takes callers.  */
extern const char bb_ready_target[];

#endif
