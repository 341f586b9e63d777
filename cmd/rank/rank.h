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
  IDLE_EVERY_MS = 100,
  BUSY_EVERY_MS = 20 /* while a switch is under way */
};

/* What the own rank last said, ready to be told.  */
struct own
{
  struct bb_rank_report report;
  bool known;
  bb_ms heard_ms;
  uint32_t counts[COUNTS_MAX]; /* since the rank started */
  uint32_t deltas[COUNTS_MAX]; /* since they were last told */
  uint16_t told[COUNTS_MAX];   /* of these, as they are being told */
  bool counts_read;            /* since they were last told */
  uint32_t counts_count;
  uint64_t counts_epoch;
  uint16_t lists[COUNTS_MAX];
  uint32_t lists_count;
  uint64_t lists_version;
  uint64_t lists_epoch;
  bool lists_known;
  /* The last arm that this agent gave to another rank.  */
  uint64_t gave_epoch;
  uint64_t gave_version;
  uint32_t gave_rank;
  bool gave_taken;   /* it has said that it is armed */
  uint64_t given_up; /* version that it was told to disarm */
  uint64_t given_up_epoch;
  uint32_t led_by; /* leader of the last order to the own rank */
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
  GHashTable *fellows;        /* address of each upstream of the pool, by id */
  char *host;                 /* of the own upstream */
  struct own own;
  uv_timer_t timer;
  bool busy;                        /* a switch is under way */
  struct bb_election follow;        /* who leads */
  void (*on_own) (struct agent *a); /* the own rank was asked */
  struct bb_wake wake;
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
typedef void own_fn (uint16_t status, void *user);
void own_start (struct agent *a);
void own_ask (struct agent *a);
/* Gives the own rank an order; FN is told the status, 0 without answer.  */
void own_order (struct agent *a, const struct bb_order *o, own_fn *fn,
                void *user);
/* The leader BY has the own rank given an order.  */
void own_led_by (struct agent *a, uint32_t by, enum bb_order_op op,
                 uint64_t version, uint64_t epoch);
/* Fills M from what the own rank said.  With COUNTS, those that were not told
   yet go along where some were read since the last time.  */
void own_fill (struct agent *a, struct bb_rank_state *m, bool counts);
void own_forget_counts (struct agent *a);

/* member.c */
bool member_start (struct agent *a);
void member_tick (struct agent *a);
/* The process was paused: its beliefs are old.  */
void member_woke (struct agent *a);

/* leader.c */
void leader_start (struct agent *a);
void leader_take_own (struct agent *a, const struct bb_rank_state *m);
void leader_tick (struct agent *a);
void leader_stop (struct agent *a);
extern const struct bb_conn_ops leader_ops;

/* remote.c */
/* Asks the upstream at ADDRESS for its report.  */
typedef void remote_fn (const struct bb_rank_report *r, void *user);
void remote_ask (struct agent *a, const char *address, remote_fn *fn,
                 void *user);
typedef void remote_result_fn (uint16_t status, void *user);
void remote_order (struct agent *a, const char *address,
                   const struct bb_order *o, remote_result_fn *fn, void *user);

#endif
