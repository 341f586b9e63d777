#ifndef MODEL_INTERNAL_H
#define MODEL_INTERNAL_H

#include "bilberry/model.h"

enum
{
  ATTEMPTS_MAX = 8,   /* limit on the agents recorded as tried by a request */
  HEARTBEAT_MS = 500, /* interval between reports of an agent */
  TICK_MS = 250,      /* interval between checks of an entry */
  /* An agent whose last report is this old gets no attempts.  */
  REPORT_STALE_MS = 1200,
  /* Idempotent attempts at an agent fail if its last report is this old.  */
  REPORT_TIMEOUT_MS = 1500,
  /* Longest time after a pause that requests wait for agents to report.  */
  REPORT_WAIT_MS = 1500,
  /* No attempt may go to a failure domain that has been out of service for
     longer than this.  */
  DOMAIN_OUT_DELAY_MAX_MS = 3000
};

enum kind
{
  KIND_CALL,    /* entry to agent: start an attempt */
  KIND_CANCEL,  /* entry to agent: end an attempt */
  KIND_TOKEN,   /* agent to entry: a token of the answer */
  KIND_END,     /* agent to entry: the answer is complete */
  KIND_REFUSAL, /* agent to entry: the attempt was refused or failed */
  KIND_PROBE,   /* entry to agent: send a report */
  KIND_REPORT   /* agent to entry: load and incarnation */
};

/* A message between an entry and an agent.  KIND, an enum kind, says which
   other fields are set; those of agents always have incarnation and load.  */
struct message
{
  uint8_t kind;
  uint64_t attempt_id;
  uint64_t incarnation; /* incarnation of the agent */
  uint32_t request;
  uint32_t message_number; /* number of this message in the answer of an
                              attempt, from 0 */
  uint32_t token_index; /* index of the token; in a call, of the first token to
                           generate */
  uint64_t nonce;       /* identifies a probe; repeated in its report */
  struct bb_request_result result;
  struct bb_load load;
};

struct request
{
  uint32_t number;
  uint32_t customer;
  uint32_t entry_number;
  struct entry *entry; /* NULL until the request has arrived there */
  uint32_t open_index; /* index in open_requests of the entry */
  uint32_t token_count;
  uint64_t prefix;
  bool idempotent;
  bool poison; /* crashes the engine that runs it */
  bool ended;
  bool waiting_for_report; /* held until agents report, after a pause of the
                              entry */
  bb_ms sent_ms;
  bb_ms deadline_ms;
  uint32_t runs;        /* number of attempts that agents started */
  uint32_t tokens_sent; /* number of tokens sent to the caller */
  uint64_t attempt_id;  /* id of the present attempt; 0: no attempt */
  uint64_t hedge_id;    /* id of a second, parallel attempt; 0: no hedge */
  uint32_t agent;
  uint32_t hedge_agent;
  uint32_t next_message;        /* number expected from the present attempt */
  uint32_t tried[ATTEMPTS_MAX]; /* agents of ended or hedged attempts */
  uint32_t tried_count;
  uint32_t attempts;
  uint32_t crashes; /* engine crashes while it was in flight there */
  struct bb_request_result result; /* merged from all attempts */
};

/* The state that an entry keeps for an agent.  */
struct link
{
  uint64_t incarnation;    /* 0: no report yet, or connection lost */
  struct bb_load load;     /* load that the agent last reported */
  uint32_t other_requests; /* requests in flight there from other entries */
  uint32_t in_flight;      /* requests in flight there from this entry */
  bb_ms last_report_ms;
  bool reported_since_pause; /* true before the first pause too, once the agent
                                has reported */
  uint64_t probe_nonce;      /* nonce of the last probe */
  struct bb_health health;
};

struct entry
{
  struct bb_model *model;
  uint32_t number;
  struct link *links; /* indexed by agent number */
  bool *domain_out; /* indexed by failure domain; as this entry last read it */
  struct bb_health_pool pool;
  struct bb_retry_budget budget;
  struct bb_pause pause;
  bb_ms pause_end_ms;    /* end of the last pause; 0: no pause yet */
  uint32_t policy_state; /* state of the policy; see bb_model_policy */
  uint64_t first_attempts;
  uint64_t retry_cost;      /* cost of retries and hedges, in 1/100 retry */
  GPtrArray *open_requests; /* requests without a final answer */
  uint32_t customer_in_flight[BB_MODEL_CUSTOMERS_MAX]; /* by customer */
};

/* An attempt at an agent, a sequence in the batch of its engine.  */
struct sequence
{
  uint64_t attempt_id;
  uint32_t entry;
  uint32_t request;
  uint32_t next_token;
  uint32_t next_message; /* number of the next message to the entry */
  bool running;          /* a step has started it */
};

struct agent
{
  struct bb_model *model;
  uint32_t number;
  uint32_t domain;
  bool up;       /* the agent runs, whether or not its engine does */
  bool draining; /* its failure domain is out of service */
  uint64_t incarnation;
  void *admission; /* object that the bb_model_admission created */
  GPtrArray *sequences;
  GArray *prefix_cache;      /* prefixes, the most recently used one last */
  GHashTable *seen_attempts; /* attempt_id of all calls and cancellations */
  bool engine_up;
  uint32_t engine_starts;
  bb_ms engine_start_ms;
  bool step_scheduled;
};

struct bb_model
{
  struct bb_model_options options;
  struct bb_sim *sim;
  /* Random numbers of the callers.  They are separate so that a seed gives the
     same requests under each policy.  */
  GRand *workload_rand;
  struct bb_model_stats stats;
  struct entry *entries;
  struct agent *agents;
  GPtrArray *requests;
  bb_ms send_until_ms;
  uint32_t rate_factor[BB_MODEL_CUSTOMERS_MAX]; /* indexed by customer */
  bb_ms *out_since_ms; /* indexed by failure domain; -1: it is in service */
  uint64_t last_id; /* last number used as attempt id, incarnation or nonce */
};

bb_ms model_now (const struct bb_model *m);

/* Returns the request with number NUMBER.  */
struct request *model_request (struct bb_model *m, uint32_t number);

/* Returns the simulation node of agent number AGENT.  Entries are the nodes
   from 0, agents follow.  */
uint32_t model_agent_node (const struct bb_model *m, uint32_t agent);

/* Sends a copy of MSG from node FROM to node TO.  */
void model_send (struct bb_model *m, uint32_t from, uint32_t to,
                 const struct message *msg);

/* entry.c */
void entry_init (struct entry *e, struct bb_model *m, uint32_t number);
void entry_free (struct entry *e);

/* Handles request Q of a caller, which has arrived at E.  */
void entry_accept (struct entry *e, struct request *q);

/* Handles the loss of the connection of E to agent number AGENT: the attempts
   there fail.  */
void entry_agent_lost (struct entry *e, uint32_t agent);

/* Handles MSG from agent number AGENT.  */
void entry_receive (struct entry *e, uint32_t agent,
                    const struct message *msg);

/* agent.c */
void agent_init (struct agent *a, struct bb_model *m, uint32_t number);
void agent_free (struct agent *a);

/* Handles MSG from entry number ENTRY.  */
void agent_receive (struct agent *a, uint32_t entry,
                    const struct message *msg);

/* Crash the engine, or the agent without its engine, for DOWN_MS.  */
void agent_kill_engine (struct agent *a, bb_ms down_ms);
void agent_kill (struct agent *a, bb_ms down_ms);

#endif
