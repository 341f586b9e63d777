#ifndef BILBERRY_MODEL_H
#define BILBERRY_MODEL_H

/* libmodel - discrete-event simulation of callers, entries, agents and
   engines in virtual time, for benchmarks and randomised tests.  The entries
   route with libroute; the admission control of the agents is an option.  Link
   with -lmodel -lroute -lsim.

   A request asks for a number of tokens.  An engine batches its sequences: in
   each step it generates one token of each running sequence, and a step takes
   longer the more sequences run.  The messages of an attempt are numbered: a
   gap fails the attempt as a lost connection would, and a message that is
   duplicated or late is dropped.

   The model asserts that
   - each caller gets the tokens of its own request, each once and in order,
     and one final answer;
   - no attempt is sent to a failure domain that was taken out more than 3 s
     ago, nor after the deadline of the request;
   - a request that was refused as not run did not run;
   - a request that is not idempotent ran at most once;
   - retries stay within the retry budget.  */

#include "bilberry/route.h"
#include "bilberry/sim.h"

/* Admission control of an agent.  A is the object that CREATE returned.  */
struct bb_model_admission
{
  /* Returns the admission control of an engine that is warm.  LIMIT and
     COLD_LIMIT are on requests in flight, COLD_LIMIT just after a restart.  */
  void *(*create) (uint32_t limit, uint32_t cold_limit);
  void (*free) (void *a);
  /* Counts a request as in flight and returns true, or sets *V to the
     refusal and returns false.  */
  bool (*try_start) (void *a, struct bb_request_result *v);
  /* Records the end of a request in flight.  SUCCEEDED is whether it was
     answered completely.  */
  void (*end) (void *a, bool succeeded);
  void (*upstream_restarted) (void *a);
  /* Returns the present limit on requests in flight.  */
  uint32_t (*limit) (const void *a);
};

/* Admission control by libadmit, without a queue.  */
extern const struct bb_model_admission bb_model_libadmit;

/* Load balancing policy of an entry.  */
struct bb_model_policy
{
  const char *name;
  /* Returns the index in C, an array of COUNT, of the agent for the next
     attempt, or BB_ROUTE_NONE where COUNT is 0.  *STATE is kept by the entry
     from call to call, 0 at first.  RAND is the source of random numbers.  */
  uint32_t (*choose) (const struct bb_candidate *c, uint32_t count,
                      uint32_t *state, GRand *rand);
  bool outlier_ejection; /* agents that fail are ejected */
  bool prefix_affinity;  /* entries set holds_prefix in struct bb_candidate */
};

/* Policies to compare: round robin; random; fewest requests of this entry in
   flight; libroute; and libroute without prefix affinity.  Only the latter two
   use outlier ejection.  */
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
  uint32_t domains; /* failure domains; get entries and agents in turn */
  uint32_t customers;
  uint32_t limit;      /* maximum of requests in flight at each agent */
  uint32_t cold_limit; /* maximum of requests in flight at an agent just
                          after its engine has started */
  uint32_t cold_max_sequences; /* a cold engine crashes when it runs more
                                  sequences than this */
  uint32_t rate_per_s;  /* requests per second of all customers together */
  uint32_t mean_tokens; /* mean number of tokens of a request */
  uint32_t distinct_prefixes; /* number of distinct prefixes among the prompts;
                                 0: all differ */
  uint32_t prefix_cache_size; /* maximum of prefixes in the LRU cache of an
                                 engine */
  bb_ms prefill_ms;        /* time added to the step that starts a sequence */
  bb_ms cached_prefill_ms; /* replaces prefill_ms where the prefix is cached */
  uint32_t non_idempotent_permille; /* of 1000 requests, how many are not
                                       idempotent */
  uint32_t customer_limit; /* maximum of requests in flight of a customer at
                              one entry; 0: no limit */
  bb_ms timeout_ms; /* time from the arrival of a request at an entry to its
                       deadline */
  bb_ms settings_delay_max_ms; /* maximum time until a change of the
                                  settings reaches a node */
  bb_ms hedge_delay_ms;        /* delay before a second, parallel attempt of
                                  an idempotent request; 0: no such attempt */
  struct bb_sim_net net;
  const struct bb_model_policy *policy;
  const struct bb_model_admission *admission;
};

enum
{
  BB_MODEL_REASONS_MAX = 32,
  BB_MODEL_CUSTOMERS_MAX = 64
};

/* A complete answer to a request.  */
struct bb_model_answer
{
  bb_ms sent_ms; /* when the caller sent the request */
  uint32_t latency_ms;
};

struct bb_model_stats
{
  uint64_t sent;      /* requests that callers sent, each counted once */
  uint64_t completed; /* requests answered completely */
  uint64_t refused;   /* requests that ended without a complete answer */
  uint64_t refused_by_reason[BB_MODEL_REASONS_MAX]; /* refused requests by
                                                       enum bb_reason */
  uint64_t refused_not_run; /* refused requests with BB_RUN_NOT_RUN */
  uint64_t retries;
  uint64_t resumed; /* retries that continued an answer */
  uint64_t hedges;
  uint64_t engine_crashes; /* engine crashes, including those by
                              bb_model_kill_engine */
  uint64_t engine_tokens;  /* generated tokens, including lost ones */
  uint64_t prefix_hits;    /* sequences whose prefix was cached at the start */
  uint64_t customer_sent[BB_MODEL_CUSTOMERS_MAX];
  uint64_t customer_completed[BB_MODEL_CUSTOMERS_MAX];
  struct bb_histogram first_token_ms; /* from sending to the first token */
  struct bb_histogram answer_ms;      /* from sending to a complete answer */
  GArray *answers; /* complete answers, as struct bb_model_answer */
};

struct bb_model;

/* Returns a model with the options O, at time 0.  The caller frees it with
   bb_model_free.  */
struct bb_model *bb_model_new (const struct bb_model_options *o);
void bb_model_free (struct bb_model *m);

/* Returns the event queue of the model, with which the caller runs it.  */
struct bb_sim *bb_model_sim (struct bb_model *m);
const struct bb_model_stats *bb_model_stats (const struct bb_model *m);

/* Starts the callers: each customer sends requests at random intervals until
   the time UNTIL_MS.  */
void bb_model_start_callers (struct bb_model *m, bb_ms until_ms);

/* From now on, CUSTOMER sends FACTOR times its equal share of the rate.  */
void bb_model_set_rate_factor (struct bb_model *m, uint32_t customer,
                               uint32_t factor);

/* Sends a request of customer 0 that crashes each engine that runs it.  */
void bb_model_send_poison (struct bb_model *m);

/* Crashes the engine of AGENT, which fails its attempts.  The engine restarts,
   cold, after DOWN_MS.  */
void bb_model_kill_engine (struct bb_model *m, uint32_t agent, bb_ms down_ms);

/* Kills AGENT.  Its attempts are lost, and the entries see their connections
   to it close.  It restarts with another incarnation after DOWN_MS.  */
void bb_model_kill_agent (struct bb_model *m, uint32_t agent, bb_ms down_ms);

/* Kills all agents and engines of the failure domain DOMAIN, as when its
   machines lose power: the entries see no closed connections, only that no
   reports come.  They restart after DOWN_MS.  */
void bb_model_kill_domain (struct bb_model *m, uint32_t domain, bb_ms down_ms);

/* Changes the setting that takes the failure domain DOMAIN out or in.  Each
   node learns of it after a random time of up to settings_delay_max_ms.  */
void bb_model_set_domain_out (struct bb_model *m, uint32_t domain, bool out);

/* Suspends the process of ENTRY for DURATION_MS.  */
void bb_model_pause_entry (struct bb_model *m, uint32_t entry,
                           bb_ms duration_ms);

/* Starts a network partition between the agents of the failure domain DOMAIN
   and the entries; ends it where PARTITIONED is false.  */
void bb_model_partition_domain (struct bb_model *m, uint32_t domain,
                                bool partitioned);

/* Asserts that each request has had one final answer, and that none that is
   not idempotent ran twice.  */
void bb_model_check_ended (const struct bb_model *m);

#endif
