#ifndef RANK_H
#define RANK_H

/* bilberry-rank - runs beside an engine that is a rank of a group.  Reads its
   rank's report and counts, and gives it orders.  One agent of each group
   leads: it plans expert maps and brings all ranks to them.

   main.c starts; member.c keeps the connection to the leader; leader.c takes
   the members' states and drives the switch; own.c asks the own rank, and says
   so by agent->on_own; remote.c reaches ranks that have no agent; view.c
   learns the fleet from an entry.  Each calls only those after it.  */

#include "bilberry/group.h"
#include "bilberry/peer.h"
#include "bilberry/platform.h"
#include "bilberry/start.h"

enum
{
  RANKS_MAX = BB_GROUP_RANKS_MAX,
  COUNTS_MAX = 8192, /* of a rank: sets times experts */
  POLL_INTERVAL_MS = 100,
  SWITCH_POLL_INTERVAL_MS = 20 /* while a switch is under way */
};

/* What the own rank last said, ready to be told.  */
struct engine
{
  struct bb_rank_report report;
  bool in_group;
  bb_ms reported_ms;
  uint32_t counts[COUNTS_MAX];        /* since the rank started */
  uint32_t unsent_counts[COUNTS_MAX]; /* since they were last told */
  uint16_t sent_counts[COUNTS_MAX];   /* of these, as they are being told */
  bool has_unsent_counts;             /* since they were last told */
  uint32_t counts_count;
  uint64_t counts_epoch;
  uint16_t lists[COUNTS_MAX];
  uint32_t lists_count;
  uint64_t lists_version;
  uint64_t lists_epoch;
  bool lists_known;
  /* The last arm that this agent gave to another rank.  */
  uint64_t relayed_epoch;
  uint64_t relayed_version;
  uint32_t relayed_rank;
  bool relayed_accepted;     /* it has said that it is armed */
  uint64_t disarmed_version; /* version that it was told to disarm */
  uint64_t disarmed_epoch;
  uint32_t leader_rank; /* leader of the last order to the own rank */
};

struct agent
{
  uv_loop_t *loop;
  struct bb_start *start;
  char *settings_path;
  struct bb_view *view;
  struct bb_peers *peers;
  struct bb_config *config;
  const struct bb_pool *pool; /* of the configuration; NULL: not known */
  GHashTable *upstreams;      /* address of each upstream of the pool, by id */
  char *host;                 /* of the own upstream */
  struct engine engine;
  uv_timer_t poll_timer;
  bool switch_in_progress;                /* a switch is under way */
  struct bb_election election;            /* who leads */
  void (*on_poll_done) (struct agent *a); /* the own rank was asked */
  struct bb_wake pause_detector;
};

bb_ms agent_now (const struct agent *a);

/* view.c */
bool view_start (struct agent *a);
/* Returns the IP number of ADDRESS; freed by the caller.  */
char *view_host_of (const char *address);
/* Returns the hosts of the pool's upstreams, in order; freed by the caller
   with g_ptr_array_unref.  */
GPtrArray *view_hosts (const struct agent *a);

/* own.c */
typedef void engine_result_fn (uint16_t status, void *user);
void engine_start (struct agent *a);
void engine_poll (struct agent *a);
/* Gives the own rank an order; FN is told the status, 0 without answer.  */
void engine_send_order (struct agent *a, const struct bb_order *o,
                        engine_result_fn *fn, void *user);
/* The leader BY has the own rank given an order.  */
void engine_note_leader (struct agent *a, uint32_t rank, enum bb_order_op op,
                         uint64_t version, uint64_t epoch);
/* Fills M from what the own rank said.  With COUNTS, those that were not told
   yet go along where some were read since the last time.  */
void engine_fill_state (struct agent *a, struct bb_rank_state *m, bool counts);
void engine_discard_counts (struct agent *a);

/* member.c */
bool follower_start (struct agent *a);
void follower_tick (struct agent *a);
/* The process was paused: its beliefs are old.  */
void follower_resume (struct agent *a);

/* leader.c */
void leader_start (struct agent *a);
void leader_handle_engine_state (struct agent *a,
                                 const struct bb_rank_state *m);
void leader_tick (struct agent *a);
void leader_stop (struct agent *a);
extern const struct bb_conn_ops leader_ops;

/* remote.c */
/* Asks the upstream at ADDRESS for its report.  */
typedef void remote_report_fn (const struct bb_rank_report *r, void *user);
void remote_get_report (struct agent *a, const char *address,
                        remote_report_fn *fn, void *user);
typedef void remote_result_fn (uint16_t status, void *user);
void remote_send_order (struct agent *a, const char *address,
                        const struct bb_order *o, remote_result_fn *fn,
                        void *user);

#endif
