#ifndef MODEL_INTERNAL_H
#define MODEL_INTERNAL_H

#include "bilberry/model.h"

enum
{
  ATTEMPTS_MAX = 8,
  HEARTBEAT_MS = 500,
  TICK_MS = 250,
  REPORT_STALE_MS = 1200,
  REPORT_TIMEOUT_MS = 1500,
  REPORT_WAIT_MS = 1500,
  DOMAIN_OUT_DELAY_MAX_MS
  = 3000 /* a failure domain that is out longer gets no try */
};

enum kind
{
  KIND_CALL,
  KIND_CANCEL,
  KIND_TOKEN,
  KIND_END,
  KIND_REFUSAL,
  KIND_PROBE,
  KIND_REPORT
};

/* A message; which fields count depends on the kind.  */
struct message
{
  uint8_t kind;
  uint64_t attempt_id;
  uint64_t incarnation; /* of the agent */
  uint32_t request;
  uint32_t message_number; /* within the answer of a try */
  uint32_t token_index;    /* the first to give, or the index of the token */
  uint64_t nonce;
  struct bb_request_result result;
  struct bb_load load;
};

struct request
{
  uint32_t number;
  uint32_t customer;
  uint32_t entry_number;
  struct entry *entry; /* the same, once it has arrived */
  uint32_t open_index; /* among the open requests of the entry */
  uint32_t token_count;
  uint64_t prefix;
  bool idempotent;
  bool poison;
  bool ended;
  bool waiting_for_report; /* for an agent to report after a pause */
  bb_ms sent_ms;
  bb_ms deadline_ms;
  uint32_t runs;        /* at engines */
  uint32_t tokens_sent; /* tokens given to the caller */
  uint64_t attempt_id;  /* of the present try; 0: none */
  uint64_t hedge_id;
  uint32_t agent;
  uint32_t hedge_agent;
  uint32_t next_message;
  uint32_t tried[ATTEMPTS_MAX];
  uint32_t tried_count;
  uint32_t attempts;
  uint32_t crashes; /* of upstreams that it was in flight at */
  struct bb_request_result result;
};

/* What an entry knows of an agent.  */
struct link
{
  uint64_t incarnation; /* 0: not heard of */
  struct bb_load load;
  uint32_t other_requests;
  uint32_t in_flight;
  bb_ms last_report_ms;
  bool reported_since_pause;
  uint64_t probe_nonce;
  struct bb_health health;
};

struct entry
{
  struct bb_model *model;
  uint32_t number;
  struct link *links; /* by agent */
  bool *domain_out;   /* by failure domain, as its settings say */
  struct bb_health_pool pool;
  struct bb_retry_budget budget;
  struct bb_pause pause;
  bb_ms pause_end_ms;
  uint32_t policy_state;
  uint64_t first_attempts;
  uint64_t retry_cost;      /* for retries, in hundredths */
  GPtrArray *open_requests; /* requests without a final answer */
  uint32_t customer_in_flight[BB_MODEL_CUSTOMERS_MAX]; /* in flight */
};

/* A try at an agent.  */
struct sequence
{
  uint64_t attempt_id;
  uint32_t entry;
  uint32_t request;
  uint32_t next_token;
  uint32_t next_message; /* of messages sent */
  bool running;          /* its prefill is done */
};

struct agent
{
  struct bb_model *model;
  uint32_t number;
  uint32_t domain;
  bool up;
  bool draining;
  uint64_t incarnation;
  void *admission;
  GPtrArray *sequences;
  GArray *prefix_cache;      /* prefixes, the one used last at the end */
  GHashTable *seen_attempts; /* numbers of all tries */
  bool engine_up;
  uint32_t engine_starts;
  bb_ms engine_start_ms;
  bool step_scheduled;
};

struct bb_model
{
  struct bb_model_options options;
  struct bb_sim *sim;
  GRand
      *workload_rand; /* of what callers send, alike for all ways to choose */
  struct bb_model_stats stats;
  struct entry *entries;
  struct agent *agents;
  GPtrArray *requests;
  bb_ms send_until_ms;
  uint32_t rate_factor[BB_MODEL_CUSTOMERS_MAX];
  bb_ms *out_since_ms; /* by failure domain; -1: in */
  uint64_t last_id;
};

bb_ms model_now (const struct bb_model *m);
struct request *model_request (struct bb_model *m, uint32_t number);
uint32_t model_agent_node (const struct bb_model *m, uint32_t agent);
void model_send (struct bb_model *m, uint32_t from, uint32_t to,
                 const struct message *msg);

/* entry.c */
void entry_init (struct entry *e, struct bb_model *m, uint32_t number);
void entry_free (struct entry *e);
void entry_accept (struct entry *e, struct request *q);
void entry_agent_lost (struct entry *e, uint32_t agent);
void entry_receive (struct entry *e, uint32_t agent,
                    const struct message *msg);

/* agent.c */
void agent_init (struct agent *a, struct bb_model *m, uint32_t number);
void agent_free (struct agent *a);
void agent_receive (struct agent *a, uint32_t entry,
                    const struct message *msg);
void agent_kill_engine (struct agent *a, bb_ms down_ms);
void agent_kill (struct agent *a, bb_ms down_ms);

#endif
