#ifndef RANK_H
#define RANK_H

/* bilberry-rank - agent that runs beside an engine, which is one rank of a
   group.  It polls the engine's report and its counts of chosen experts, and
   sends the engine orders.  One agent of each group is the leader: it plans
   expert maps and switches all ranks to a new map at the same forward pass.  A
   step is the sequence number of a forward pass.

   main.c      startup, timers and signals
   follower.c  leader election and the connection to the leader
   head.c      connection to the agent that takes the counts
   leader*.c   leader of a group: collects the state of all ranks, plans maps
               and drives their switch (leader.h)
   orders.c    orders of the leader to the local engine
   maps.c      the last maps that the leader has sent
   engine.c    polls the local engine and calls agent->on_poll_done
   remote.c    HTTP calls to the engine at an address
   view.c      configuration and upstreams, received from bilberry-edge
   share.c     the share of the link that counts and maps may use
   clock.c     the time

   Each file calls only functions of the files listed after it.  */

#include "bilberry/group.h"
#include "bilberry/peer.h"
#include "bilberry/platform.h"
#include "bilberry/start.h"

enum
{
  RANKS_MAX = BB_GROUP_RANKS_MAX,
  COUNTS_MAX = 8192, /* limit on the expert counts of a rank: sets times
                        experts */
  POLL_INTERVAL_MS = 100,
  /* Poll interval while a switch is in progress.  */
  SWITCH_POLL_INTERVAL_MS = 20,
  /* Result of a PREPARE whose map the agent lacks; by HTTP "Precondition
     Required".  */
  STATUS_MAP_MISSING = 428
};

/* The fence of an order that an engine has accepted.  */
struct accepted_fence
{
  uint64_t fence; /* 0: none */
  uint64_t epoch; /* of the group; a rank that restarts forgets its fence */
};

/* Last known state of the local engine, to be sent to the leader.  */
struct engine
{
  struct bb_rank_report report;
  bool in_group;     /* the engine has reported that it is a rank of a group */
  bb_ms reported_ms; /* time of the last report */
  uint32_t counts[COUNTS_MAX]; /* counts since the engine started */
  /* Counts of this rank, and of those whose agents send theirs to this one,
     since the last send.  */
  uint32_t unsent_counts[COUNTS_MAX];
  uint16_t sent_counts[COUNTS_MAX]; /* counts in the last send */
  bool has_unsent_counts;           /* counts were read since the last send */
  size_t packed_counts_bytes; /* size of the last send, or, at the leader, of
                                 the last received; 0: none yet */
  uint32_t counts_count;
  uint64_t counts_epoch;
  uint16_t lists[COUNTS_MAX]; /* the engine's rows of the map in use */
  uint32_t lists_count;       /* elements of lists in use */
  uint64_t lists_version;     /* map version of lists */
  uint64_t lists_epoch;       /* epoch in which lists were read */
  bool lists_known;
  /* Last arm order that this agent sent to another rank's engine at the
     leader's request.  */
  uint64_t relayed_epoch;
  uint64_t relayed_version;
  uint32_t relayed_rank;
  bool relayed_accepted;     /* the other rank's engine answered 200 or 202 */
  uint64_t disarmed_version; /* map version of the last disarm order */
  uint64_t disarmed_epoch;
  uint64_t fence_seen; /* highest fence of the orders sent to the engine */
  struct accepted_fence accepted; /* the highest, of those that it accepted */
  struct accepted_fence polled;   /* accepted when the poll under way began */
  struct accepted_fence reported; /* accepted when the last report was asked
                                     for */
  uint32_t leader_rank;       /* rank of the leader that sent the last order */
  uint64_t preparing_version; /* map version of the last PREPARE order */
  bb_ms preparing_ms;         /* when it was sent to the engine */
};

struct agent
{
  uv_loop_t *loop;
  struct bb_process_settings *settings;
  char *settings_path;
  struct bb_view *view;
  struct bb_peers *peers;
  struct bb_config *config;
  /* Pool of the local engine, from config; NULL: none is configured, or it has
     no expert sets.  */
  const struct bb_pool *pool;
  GHashTable *upstreams; /* address of each upstream of the pool, by id */
  char *host;            /* host part of the local engine's address */
  struct engine engine;
  uv_timer_t poll_timer;
  bool switch_in_progress; /* a switch was in progress at the last poll */
  struct bb_election election;
  /* Called at the end of each poll of the engine, also of a failed one.  */
  void (*on_poll_done) (struct agent *a);
  struct bb_pause_detector pause_detector;
};

/* clock.c */
/* Returns the time of the event loop, in ms.  */
bb_ms agent_now (const struct agent *a);

/* view.c */
/* Connects to a bilberry-edge process, which sends the configuration and the
   upstreams.  Returns false on failure.  */
bool view_start (struct agent *a);
/* Returns the host part of ADDRESS; freed by the caller.  */
char *view_host_of (const char *address);
/* Returns the hosts of the pool's upstreams as strings in strcmp order; freed
   by the caller with g_ptr_array_unref.  */
GPtrArray *view_hosts (const struct agent *a);

/* engine.c */
/* STATUS is the HTTP status of the response, 0 if there was none.  */
typedef void engine_result_fn (uint16_t status, void *user);
/* Sets up the connections to the local engine.  */
void engine_start (struct agent *a);
/* Starts a poll of the local engine unless one is in progress: reads the
   report, then the counts or the lists if they are due.  */
void engine_poll (struct agent *a);
/* Sends order O to the local engine; FN is called once with the result.  */
void engine_send_order (struct agent *a, const struct bb_order *o,
                        engine_result_fn *fn, void *user);
/* Whether an order with a higher fence than FENCE was sent to the engine.  */
bool engine_is_fenced (const struct agent *a, uint64_t fence);
/* Returns whether an order with FENCE may be sent to the engine, and records
   it if so: no order with a higher one was.  The engine may be one that does
   not fence.  */
bool engine_see_fence (struct agent *a, uint64_t fence);
/* Records that the engine has accepted an order with FENCE in EPOCH.  */
void engine_accept_fence (struct agent *a, uint64_t fence, uint64_t epoch);
/* Records that the leader, the agent of RANK, has sent order OP to the local
   engine.  VERSION and EPOCH are those of the order; they are kept where it
   disarms VERSION or, as a FENCE, tells that it is revoked.  */
void engine_note_leader (struct agent *a, uint32_t rank, enum bb_order_op op,
                         uint64_t version, uint64_t epoch);
/* Fills M, which points into A then, with the last known state of the local
   engine.  */
void engine_fill_state (struct agent *a, struct bb_rank_state *m);
/* Returns the unsent counts, and their number in *COUNT, if counts were read
   since the last call, and NULL otherwise.  They are no longer unsent.  */
const uint16_t *engine_take_counts (struct agent *a, uint32_t *count);
/* Adds DELTAS, COUNT counts of other ranks in EPOCH, to the unsent ones,
   unless they are of another epoch or model.  */
void engine_add_counts (struct agent *a, uint64_t epoch,
                        const uint16_t *deltas, uint32_t count);
/* Drops the unsent counts.  Called when there is no leader to send them to. */
void engine_discard_counts (struct agent *a);
/* Whether the local engine is preparing a map, armed or held, and so is to be
   polled often.  */
bool engine_is_switching (const struct agent *a);

/* follower.c */
/* Joins the election and listens for connections of other agents.  Always
   returns true.  */
bool follower_start (struct agent *a);
/* Takes part in the election of the leader; called at regular intervals.  */
void follower_tick (struct agent *a);
/* Called after a pause of the process, during which the leader may have
   changed: stops leading, leaves the leader and starts a new election.  */
void follower_resume (struct agent *a);

/* head.c */
void head_init (struct agent *a);
/* Sends counts to the agent on HOST from now on, which also passes on maps.
   HOST is empty where the leader, which is on the host LEADER, has not named
   it yet.  */
void head_set (const char *host, const char *leader);
/* Whether counts can be sent: the head is known and connected.  Until then
   they are kept, since those of all agents at once would fill the leader's
   link.  */
bool head_takes_counts (void);
/* Sends COUNT counts, DELTAS, to the head, or on the connection LEADER where
   the leader takes them.  */
void head_send_counts (struct bb_conn *leader, const uint16_t *deltas,
                       uint32_t count);

/* leader.c */
/* Takes M, a map from the leader or the head: keeps it, passes it on to the
   agents that send counts to this one, and has a waiting PREPARE carried
   out.  */
void leader_take_map (const struct bb_rank_map *m);
/* Listens for connections of other agents.  A failure is logged.  */
void leader_start (struct agent *a);
/* Handles state M of the local engine, and its unsent counts, if this agent is
   the leader.  */
void leader_handle_engine_state (struct agent *a,
                                 const struct bb_rank_state *m);
/* Closes silent connections.  If this agent is the leader, polls the engines
   whose agent is not connected, and advances the switch or plans one.  Called
   at regular intervals.  */
void leader_tick (struct agent *a);
/* Stops leading and frees the state of the switch.  Does nothing if this agent
   is not the leader.  */
void leader_stop (struct agent *a);

/* orders.c */
/* STATUS is the result of order ID, which came on the connection of number
   CONNECTION.  */
typedef void orders_result_fn (uint64_t connection, uint64_t id,
                               uint16_t status);
/* FN is called with the result of each order.  */
void orders_init (struct agent *a, orders_result_fn *fn);
/* Carries out order M, which came on the connection of number CONNECTION.  A
   PREPARE waits for its map.  */
void orders_handle (const struct bb_rank_order *m, uint64_t connection);
/* Carries out a PREPARE whose map has arrived.  */
void orders_on_map (void);

/* maps.c */
/* A map that a leader has sent.  */
struct known_map
{
  uint64_t epoch;
  uint64_t version;
  uint64_t hash; /* XXH64 of bytes: a leader that has begun anew may give a
                    version to another map */
  struct bb_group_size size; /* spare is not set */
  GBytes *bytes;             /* uint16_t[sets][ranks][places], rows sorted */
};
/* Keeps MAP as the newest.  */
void maps_keep (uint64_t epoch, uint64_t version,
                const struct bb_group_size *size, const uint16_t *map);
/* Unpacks and keeps the map of M.  Returns false where it is known already,
   malformed, or the difference against a map that is not known.  */
bool maps_receive (const struct bb_rank_map *m);
/* Returns the map of VERSION in EPOCH that has HASH, or NULL.  It is valid
   until the next map is kept.  */
const struct known_map *maps_find (uint64_t epoch, uint64_t version,
                                   uint64_t hash);
/* Returns the map that a group of SIZE begins with, rows sorted; the caller
   frees it.  */
GBytes *maps_initial (const struct bb_group_size *size);

/* share.c */
/* Returns the share of the link for counts, and as much for maps, in bytes per
   ms; 0 where the link is not known.  */
double share_bytes_per_ms (const struct agent *a);
/* Returns how many agents send their counts to one, for the counts that the
   engine was last seen to have.  */
uint32_t share_fan_out (const struct agent *a);
/* Returns the time between two readings of the counts.  */
bb_ms share_counts_interval_ms (const struct agent *a);
/* Returns how long counts may wait at a head on their way to the leader.  */
bb_ms share_counts_delay_ms (const struct agent *a);

/* remote.c */
/* R is the report, or NULL without a valid response; it is valid during the
   call.  */
typedef void remote_report_fn (const struct bb_rank_report *r, void *user);
/* Requests the report of the engine at ADDRESS; FN is called once.  */
void remote_get_report (struct agent *a, const char *address,
                        remote_report_fn *fn, void *user);
/* STATUS is the HTTP status of the response, 0 if there was none.  */
typedef void remote_result_fn (uint16_t status, void *user);
/* Sends order O to the engine at ADDRESS; FN is called once.  */
void remote_send_order (struct agent *a, const char *address,
                        const struct bb_order *o, remote_result_fn *fn,
                        void *user);

#endif
