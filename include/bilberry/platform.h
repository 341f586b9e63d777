#ifndef BILBERRY_PLATFORM_H
#define BILBERRY_PLATFORM_H

/* platform - adapter to the platform that the system runs on: settings file,
   store, HTTP headers and the control interface of replicas.  It translates
   names and formats and makes no decisions; no other part of the system
   depends on the platform's names.  Link with -lyaml -ljansson -lglib-2.0.

   The platform calls a failure domain a zone, an upstream a replica, a pool a
   service and a customer a tenant.  */

#include "bilberry/fleet.h"
#include "bilberry/h1.h"

/* Settings of a process.  Addresses are host:port.  */
struct bb_process_settings
{
  char *name; /* name of this process; the platform's "node" */
  char *ip;   /* own address, without port */
  char *failure_domain;
  uint32_t failure_domain_count; /* failure domains of the whole fleet */
  char *front_address;   /* address to listen on for callers; NULL: none */
  char *ready_address;   /* address to listen on for readiness checks */
  char *control_address; /* address to listen on for peers; see peer.h */
  char *seeds[8];        /* control addresses of some peers */
  uint32_t seeds_count;
  uint32_t port_first; /* first of the ports for the system's own use, on every
                          VM */
  uint32_t port_last;
  /* The upstream on the same VM, the platform's "app"; NULL: none.  */
  char *upstream_address;
  char *pool;          /* pool of the upstream on the same VM */
  char *store_address; /* address of the platform's store; NULL: none */
  /* Port for /metrics, from the command line; 0: none.  */
  uint32_t metrics_port;
  bool first_start;         /* the whole system starts for the first time */
  uint32_t memory_mb;       /* limit of the process */
  double link_mbps;         /* bandwidth of the VM's link, in megabits per
                               second; 0: not known */
  uint32_t descriptors_max; /* limit of open file descriptors */
  bb_ms heartbeat_ms;
  bb_ms drain_ms; /* time until a removed upstream must get no more requests */
  bb_ms grace_ms; /* time from SIGTERM until the process must have ended */
  bb_ms config_deadline_ms;
  bb_ms stability_ms;
  bb_ms stall_ms;     /* time from the loss of a rank until its group fails */
  double retry_ratio; /* retries per request; see bb_retry_window */
  bb_ms retry_window_ms;
  uint32_t retry_extra; /* retries per window beyond the ratio */
  double cold_overage;
  uint32_t cold_slack;
};

/* Read the settings file at PATH, or parse its contents, SIZE bytes of YAML at
   DATA.  Fields that are not known are ignored; a number that is missing or
   malformed gets its default; node, ip and zone are required.  Return the
   settings, or NULL with a message in *WHY, which the caller frees.  */
struct bb_process_settings *bb_process_settings_read (const char *path,
                                                      char **why);
struct bb_process_settings *
bb_process_settings_parse (const char *data, size_t size, char **why);

/* Frees S, which may be NULL.  */
void bb_process_settings_free (struct bb_process_settings *s);

/* Returns the path of the settings file that the environment names, or
   NULL.  */
const char *bb_process_settings_path (void);

/* Returns what KEY, the key of a store item, describes.  Sets *NAME to the
   part of KEY that names the upstream or the failure domain.  */
enum bb_item_kind bb_item_kind_of (const char *key, const char **name);

/* Decode the value of an item that was written at REVISION.  ID is the name
   from bb_item_kind_of.  Return the result, which the caller frees by
   bb_config_unref or bb_upstream_free, or NULL with a constant sentence in
   *WHY.  */
struct bb_config *bb_config_decode (GBytes *value, bb_revision revision,
                                    const char **why);
struct bb_upstream *bb_upstream_decode (const char *id, GBytes *value,
                                        bb_revision revision,
                                        const char **why);

/* Decodes a configuration in steps, as a large one takes long.  */
struct bb_config_decoder;

/* Starts to decode VALUE, which was written at REVISION.  Routes whose text is
   the same in BEFORE, which may be NULL, are taken over from there.  */
struct bb_config_decoder *bb_config_decoder_new (GBytes *value,
                                                 bb_revision revision,
                                                 struct bb_config *before);

/* Decodes a further part, by parsing about BYTES bytes.  Returns whether all
   is done.  */
bool bb_config_decoder_step (struct bb_config_decoder *d, size_t bytes);

/* Frees D and returns the configuration, or NULL with a constant sentence in
 *WHY.  */
struct bb_config *bb_config_decoder_end (struct bb_config_decoder *d,
                                         const char **why);

/* Decodes VALUE after BEFORE in one step.  */
struct bb_config *bb_config_decode_next (GBytes *value, bb_revision revision,
                                         struct bb_config *before,
                                         const char **why);

struct bb_findings;

/* Decodes VALUE for an audit: adds to OUT what is wrong with its JSON text and
   what the decoded configuration does not show, such as members of the wrong
   type and keys of two customers.  Returns the configuration, which the caller
   frees by bb_config_unref, or NULL where it cannot be decoded; then OUT has
   an error.  See audit.h.  */
struct bb_config *bb_config_examine (GBytes *value, struct bb_findings *out);

/* Returns whether VALUE of the item KEY was written after KNOWN, by the
   version of a configuration, or by the start, the state or the count of
   changes of an upstream.  False also where they do not tell.  */
bool bb_item_is_newer (const char *key, GBytes *known, GBytes *value);

/* Result of a request to the store.  */
enum bb_store_result
{
  BB_STORE_OK,
  BB_STORE_GONE, /* the store no longer has the changes after the revision of
                    a watch: list again */
  BB_STORE_BUSY, /* too many requests; status 429 */
  BB_STORE_UNAVAILABLE, /* status 503 */
  BB_STORE_LOST,        /* no complete response in time */
  BB_STORE_UNREADABLE,  /* unexpected status, or a malformed or too large
                           body */
  BB_STORE_OUTDATED,    /* of an era before the present one; never passed to a
                           bb_store_fn */
  BB_STORE_RESULTS
};

/* Returns a word for R, for the log.  */
const char *bb_store_result_name (enum bb_store_result r);

/* Decoded response of the store.  */
struct bb_store_page
{
  GPtrArray *items;     /* struct bb_item */
  bb_revision revision; /* of the store at the time of the response */
  bool more;            /* a list has further pages, after its last key */
  uint32_t unusable;    /* number of malformed items, which are left out */
};

/* A read-only client of the platform's store.  It has at most one request in
   progress; a new one cancels it.  */
struct bb_store;

/* Called once for each request that is not cancelled.  PAGE is valid during
   the call, and NULL unless R is BB_STORE_OK.  */
typedef void bb_store_fn (enum bb_store_result r,
                          const struct bb_store_page *page, void *user);

/* Returns a client of the store at ADDRESS, host:port, or NULL where ADDRESS
   is malformed.  */
struct bb_store *bb_store_new (uv_loop_t *loop, const char *address);

/* Time limits of a request to the store.  */
struct bb_store_limits
{
  bb_ms response_ms; /* from the request to the head of the response */
  bb_ms silence_ms;  /* between parts of its body */
};

/* Requests a page of the items whose keys begin with PREFIX and come after the
   key AFTER, or the first page where AFTER is "".  */
void bb_store_list (struct bb_store *s, const char *prefix, const char *after,
                    const struct bb_store_limits *limits, bb_store_fn *fn,
                    void *user);

/* Requests the changes after REVISION of items whose keys begin with PREFIX.
   Where there are none yet, the store waits for one for up to WAIT_MS.  */
void bb_store_watch (struct bb_store *s, const char *prefix,
                     bb_revision revision, bb_ms wait_ms,
                     const struct bb_store_limits *limits, bb_store_fn *fn,
                     void *user);

/* Returns how many bytes of the response to the request in progress have
   arrived; 0 where there is none.  */
size_t bb_store_received (const struct bb_store *s);

/* Returns the era that the head of a response of the store tells; 0: none.  */
uint64_t bb_store_era (const struct bb_h1_message *head);

/* Cancels the request in progress, if any; its callback is not called.  */
void bb_store_cancel (struct bb_store *s);

enum
{
  BB_SHARED_PARTS_MAX = 16
};

/* What the headers of a caller's request say.  The bytes point into the
   message.  Numbers are 0 where the header is missing.  */
struct bb_request_info
{
  struct bb_bytes attempt_id; /* chosen by the caller for this attempt */
  struct bb_bytes host;
  struct bb_bytes bearer_key; /* bearer key of the caller; empty: none */
  bool has_authorization;     /* there is an Authorization header */
  uint32_t timeout_ms;        /* how long the caller waits; 0: not given */
  uint32_t prompt_tokens;
  uint32_t output_tokens_max;
  uint32_t output_tokens_hint; /* output that the caller expects */
  uint64_t last_event_id;      /* last event that the caller has; valid where
                                  RESUMES is set */
  bool resumes; /* the caller has the events up to LAST_EVENT_ID already */
  /* Ids of the parts of the prompt, in order, without the last part, which
     belongs to this request or its session; at most the first
     BB_SHARED_PARTS_MAX.  */
  struct bb_bytes shared_parts[BB_SHARED_PARTS_MAX];
  uint32_t shared_parts_count;
};

/* Decodes the headers of the request M into INFO.  */
void bb_request_info_decode (const struct bb_h1_message *m,
                             struct bb_request_info *info);

/* What a forwarded request tells the upstream in its headers.  */
struct bb_forward_options
{
  const char *upstream_id; /* id of the upstream that is meant */
  const char *customer; /* name of the customer; NULL: no header, whatever the
                           caller sent */
  bb_ms remaining_ms;   /* time until the request's deadline */
  uint64_t last_event_id; /* last event that the caller has; 0: the caller's
                             header is kept */
  int32_t priority; /* priority from 0 to 9, 0 is the most urgent; -1: the
                       caller's header is kept */
};

enum
{
  BB_FORWARD_HEADERS_MAX = BB_H1_HEADERS_MAX + 8,
  BB_HEADER_TEXT_BYTES = 256
};

/* Writes to OUT the headers to send upstream for the request M: those of O in
   place of the caller's, and the caller's other headers except Authorization,
   Expect, Retry-After and hop-by-hop headers.  OUT points into M, O and TEXT,
   which gets the formatted numbers.  Returns how many headers it wrote.  */
uint32_t bb_forward_headers (const struct bb_h1_message *m,
                             const struct bb_forward_options *o,
                             struct bb_header out[BB_FORWARD_HEADERS_MAX],
                             char text[BB_HEADER_TEXT_BYTES]);

enum
{
  /* Longest rest that an upstream can ask for.  One damaged header must not
     remove an upstream for good; one that is away for longer drains.  */
  /* A limit above it, a million requests a second, is none in practice.  */
  BB_LIMIT_MAX_MILLI = 1000 * 1000 * 1000,
  BB_REST_MAX_MS = 600000
};

/* What the head of an upstream's response says.  */
struct bb_response_info
{
  bool not_run;       /* the upstream states that the request did not run */
  bool misdirected;   /* status 421: the address is another upstream's */
  bool has_signature; /* the response has a signature of the upstream that
                         produced it; not verified */
  bool attempt_id_matches; /* the response has the attempt id of the request */
  bool has_content_encoding; /* the body is encoded, so it is not the
                                upstream's own */
  bool closes_connection;
  bool leaving; /* the upstream leaves, and must get no new requests */
  /* For how long the upstream, which has turned the request away, wants no
     requests of this process: a number of seconds, with or without a fraction,
     at most BB_REST_MAX_MS.  0: no time given, or anything else, such as a
     date or a negative number, which says nothing.  */
  bb_ms rest_ms;
  /* The upstream names how many requests a second it takes from all processes
     together: a number with or without a fraction, in thousandths, rounded
     down and at most BB_LIMIT_MAX_MILLI.  -1: it names something else.  */
  bool names_limit;
  int64_t limit_milli;
  /* Id of the upstream that made the request fail; empty: not given.  */
  struct bb_bytes failed_upstream;
};

/* Decodes HEAD, the response to the request with ATTEMPT_ID, into INFO.  Its
   bytes point into HEAD.  */
void bb_response_info_decode (const struct bb_h1_message *head,
                              struct bb_bytes attempt_id,
                              struct bb_response_info *info);

/* Returns a Retry-After header for WAIT_MS, in seconds with three decimals.
   The value is stored in TEXT.  */
struct bb_header bb_retry_after (bb_ms wait_ms,
                                 char text[BB_HEADER_TEXT_BYTES]);

/* Parses the id of EVENT, the text of one server-sent event.  Returns false
   where it has no numeric id.  */
bool bb_sse_event_id (struct bb_bytes event, uint64_t *id);

/* State of a replica, as it reports it.  Steps are numbers of passes of its
   group; see group.h for expert maps and orders.  */
struct bb_rank_report
{
  uint32_t queued;         /* requests that wait */
  uint32_t running;        /* requests that run */
  uint64_t kv_used_tokens; /* tokens in the KV cache that cannot be evicted */
  double slowdown;         /* above 1: slower than normal */
  bool in_group; /* the replica is a rank of a group; else the fields up to
                    OPEN are 0 */
  char group[64];
  uint64_t epoch; /* epoch of the group */
  uint32_t rank;
  uint32_t group_size;       /* number of ranks of the group */
  bool open;                 /* the group accepts requests */
  uint64_t step;             /* last pass that was begun */
  uint64_t map_version;      /* version of the map in use */
  uint64_t prepared_version; /* version of the map whose experts it has copied;
                                0: none */
  uint64_t armed_version; /* version of the map to use from armed_step on; 0:
                             none */
  uint64_t armed_step;
  uint64_t held_step; /* pass that must not begin; 0: none */
};

/* Decodes the body of a report.  Returns false where it is no JSON object.  */
bool bb_rank_report_decode (struct bb_bytes body, struct bb_rank_report *r);

/* How often each expert was chosen for the requests of a rank since it
   started.  */
struct bb_expert_counts
{
  uint64_t step;
  uint64_t epoch;
  uint32_t count;   /* length of VALUES */
  uint32_t *values; /* expert by expert, set by set; freed by the caller */
};

/* Decodes a response of bb_expert_counts_target into C.  Returns false, with
   values NULL, where it is malformed.  */
bool bb_expert_counts_decode (struct bb_bytes body,
                              struct bb_expert_counts *c);

/* Decodes a response of bb_map_rows_target: the replica's rows of the map in
   use, one of PLACES experts for each set, with BB_PLACE_EMPTY in empty
   places.  ROWS has room for MAX places.  Sets *VERSION to the version of the
   map and *COUNT to the number of places written.  Returns false where BODY is
   malformed or has more than MAX places.  */
bool bb_map_rows_decode (struct bb_bytes body, uint64_t *version,
                         uint16_t *rows, uint32_t max, uint32_t places,
                         uint32_t *count);

/* Orders to a replica, for the switch of its group to another map.  */
enum bb_order_op
{
  BB_ORDER_PREPARE, /* copy the experts of a map */
  BB_ORDER_ARM,     /* use a prepared map from a step on */
  BB_ORDER_DISARM,  /* withdraw an ARM */
  BB_ORDER_HOLD,    /* keep the group from beginning a pass */
  BB_ORDER_GO,      /* end a HOLD */
  BB_ORDER_FENCE,   /* change nothing, but see the fence */
  BB_ORDER_OPS
};

struct bb_order
{
  enum bb_order_op op;
  uint64_t version; /* version of the map, in PREPARE, ARM and DISARM */
  uint64_t step;    /* number of a pass, in ARM, HOLD and GO */
  uint64_t epoch;   /* epoch of the group */
  uint64_t fence;   /* fencing token; an order with a lower one than the
                       replica has seen gets 412 */
  /* The map of a PREPARE: by set and rank a row of PLACES experts, with
     UINT16_MAX in empty places.  */
  const uint16_t *map;
  uint32_t sets;
  uint32_t ranks;
  uint32_t places;
};

/* Returns the body of the request that gives order O; the caller frees it.  */
char *bb_order_encode (const struct bb_order *o);

/* Request targets of a replica: its report, expert counts and map rows by GET,
   orders by POST.  */
extern const char bb_report_target[];
extern const char bb_expert_counts_target[];
extern const char bb_map_rows_target[];
extern const char bb_order_target[];

/* Request target of the platform's readiness check of a process.  */
extern const char bb_ready_target[];

#endif
