#ifndef BILBERRY_MODEL_H
#define BILBERRY_MODEL_H

/* libmodel - callers, entries, agents and engines in virtual time, for
   experiments and randomised runs.  The entries decide by libroute; agents
   admit by a table of functions.  Link with -lmodel -lroute -lsim.

   A request asks for a number of tokens.  An engine gives one token of each
   running sequence in each step; a step takes longer the more run.  Messages
   of one try are numbered: a gap ends the try as a lost connection does, and
   a message that comes twice or late is dropped.  The model asserts that each
   caller is given the tokens of its own request, each once and in order, and
   one final answer; that no try is sent to a failure domain that has been out
   for 3 s; that a request refused as not run did not run; that one that is
   not idempotent ran at most once; that retries stay within the budget; and
   that an answer does not come after the deadline.  */

#include "bilberry/route.h"
#include "bilberry/sim.h"

/* How an agent admits.  */
struct bb_model_admission
{
  void *(*create) (uint32_t limit, uint32_t cold_limit);
  void (*free) (void *a);
  bool (*try_start) (void *a, struct bb_request_result *v);
  void (*end) (void *a, bool succeeded);
  void (*upstream_restarted) (void *a);
  uint32_t (*limit) (const void *a);
};

/* Admission by bb_admit.  */
extern const struct bb_model_admission bb_model_libadmit;

/* How an entry chooses; TURN is a number of the entry's own.  */
struct bb_model_policy
{
  const char *name;
  uint32_t (*choose) (const struct bb_candidate *c, uint32_t count,
                      uint32_t *state, GRand *rand);
  bool outlier_ejection; /* leaves out upstreams that fail */
  bool prefix_affinity;  /* sends a prefix where it is likely cached */
};

extern const struct bb_model_policy bb_model_round_robin;
extern const struct bb_model_policy bb_model_random;
extern const struct bb_model_policy bb_model_least_in_flight;
extern const struct bb_model_policy bb_model_bilberry;
extern const struct bb_model_policy bb_model_bilberry_no_prefix;

struct bb_model_options
{
  uint64_t seed;
  uint32_t entries;
  uint32_t agents;
  uint32_t domains;
  uint32_t customers;
  uint32_t limit;              /* of each agent */
  uint32_t cold_limit;         /* of each agent */
  uint32_t cold_max_sequences; /* sequences that kill a cold engine are more */
  uint32_t rate_per_s;         /* requests of all customers */
  uint32_t mean_tokens;        /* mean for a request */
  uint32_t distinct_prefixes;  /* different ones among the prompts; 0: all */
  uint32_t prefix_cache_size;  /* prefixes that an engine keeps */
  bb_ms prefill_ms;        /* lengthens the step that takes a sequence in */
  bb_ms cached_prefill_ms; /* the same where the prefix is cached */
  uint32_t non_idempotent_permille; /* requests that are not idempotent */
  uint32_t customer_limit;          /* in flight at one entry; 0: none */
  bb_ms timeout_ms;
  bb_ms settings_delay_max_ms; /* longest time for a change to reach a node */
  bb_ms hedge_delay_ms;        /* sends a second try after so long; 0: never */
  struct bb_sim_net net;
  const struct bb_model_policy *policy;
  const struct bb_model_admission *admission;
};

enum
{
  BB_MODEL_REASONS_MAX = 32,
  BB_MODEL_CUSTOMERS_MAX = 64
};

/* A whole answer.  */
struct bb_model_answer
{
  bb_ms sent_ms;
  uint32_t latency_ms;
};

struct bb_model_stats
{
  uint64_t sent;
  uint64_t completed;
  uint64_t refused;
  uint64_t refused_by_reason[BB_MODEL_REASONS_MAX]; /* by enum bb_reason */
  uint64_t refused_not_run;
  uint64_t retries;
  uint64_t resumed;
  uint64_t hedges;
  uint64_t engine_crashes; /* of engines */
  uint64_t engine_tokens;  /* given by engines */
  uint64_t prefix_hits;    /* sequences whose prefix was cached */
  uint64_t customer_sent[BB_MODEL_CUSTOMERS_MAX];
  uint64_t customer_completed[BB_MODEL_CUSTOMERS_MAX];
  struct bb_histogram first_token_ms;
  struct bb_histogram answer_ms;
  GArray *answers; /* struct bb_model_answer */
};

struct bb_model;

struct bb_model *bb_model_new (const struct bb_model_options *o);
void bb_model_free (struct bb_model *m);
struct bb_sim *bb_model_sim (struct bb_model *m);
const struct bb_model_stats *bb_model_stats (const struct bb_model *m);

/* Callers send until UNTIL_MS.  */
void bb_model_start_callers (struct bb_model *m, bb_ms until_ms);

/* Customer CUSTOMER sends FACTOR times its share from now on.  */
void bb_model_set_rate_factor (struct bb_model *m, uint32_t customer,
                               uint32_t factor);

/* Sends a request that kills each engine that runs it.  */
void bb_model_send_poison (struct bb_model *m);

/* Kills the engine of an agent; it starts again, cold, after BACK_MS.  */
void bb_model_kill_engine (struct bb_model *m, uint32_t agent, bb_ms down_ms);

/* Kills an agent; its calls are lost.  It is back, with another incarnation,
   after BACK_MS.  */
void bb_model_kill_agent (struct bb_model *m, uint32_t agent, bb_ms down_ms);

/* Kills all engines and agents of a failure domain.  */
void bb_model_kill_domain (struct bb_model *m, uint32_t domain, bb_ms down_ms);

/* Operators take a failure domain out or in again.  */
void bb_model_set_domain_out (struct bb_model *m, uint32_t domain, bool out);

/* Stops the process of an entry for a while.  */
void bb_model_pause_entry (struct bb_model *m, uint32_t entry,
                           bb_ms duration_ms);

/* Cuts a failure domain's agents off from the entries, or joins them.  */
void bb_model_partition_domain (struct bb_model *m, uint32_t domain,
                                bool partitioned);

/* Asserts that each request has had its final answer.  */
void bb_model_check_ended (const struct bb_model *m);

#endif
