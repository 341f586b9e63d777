#ifndef BILBERRY_AUDIT_H
#define BILBERRY_AUDIT_H

/* libaudit - finds faults in a configuration before it is sent, and what it
   changes.  The functions use no file, no socket, no clock and no global
   state.  Link with -laudit -lfleet -lglib-2.0.  */

#include "bilberry/fleet.h"

enum
{
  /* Findings of each severity that a list keeps; further ones are counted. */
  BB_FINDINGS_MAX = 1000,
  BB_FINDING_PLACE_BYTES = 160,
  BB_FINDING_TEXT_BYTES = 480
};

enum bb_severity
{
  BB_SEVERITY_ERROR,   /* something in the configuration cannot work, or is not
                          taken as it stands */
  BB_SEVERITY_WARNING, /* something has no effect, or contradicts another
                          value */
  BB_SEVERITY_CHANGE,  /* a difference from the configuration in force */
  BB_SEVERITIES
};

enum bb_finding_kind
{
  /* Of the JSON text.  */
  BB_FINDING_SYNTAX,
  BB_FINDING_DUPLICATE_MEMBER,
  BB_FINDING_MISSING_MEMBER,
  BB_FINDING_WRONG_TYPE,
  BB_FINDING_WRONG_VALUE, /* of the right type, but not allowed */
  BB_FINDING_UNDECODABLE,
  BB_FINDING_DUPLICATE_POOL,
  BB_FINDING_SHARED_KEY,   /* of two customers */
  BB_FINDING_REPEATED_KEY, /* twice of one customer */
  /* Of the configuration.  */
  BB_FINDING_NO_VERSION,
  BB_FINDING_VERSION_NOT_HIGHER,
  BB_FINDING_NO_ROUTES,
  BB_FINDING_DUPLICATE_ROUTE_NAME,
  BB_FINDING_NO_ROUTE_NAME,
  BB_FINDING_SHADOWED_ROUTE,
  BB_FINDING_UNMATCHABLE_HOST,
  BB_FINDING_UNMATCHABLE_PREFIX,
  BB_FINDING_OPEN_PREFIX, /* without a slash at its end */
  BB_FINDING_HOST_CASE,
  BB_FINDING_NO_POOL,
  BB_FINDING_UNDEFINED_POOL,
  BB_FINDING_ZERO_WEIGHTS,
  BB_FINDING_ZERO_SLO,
  BB_FINDING_TIMEOUT_BELOW_SLO,
  BB_FINDING_ZERO_ATTEMPTS,
  BB_FINDING_ATTEMPTS_OF_AT_MOST_ONCE,
  BB_FINDING_ATTEMPTS_WITHOUT_BUDGET,
  BB_FINDING_UNREACHABLE_TARGET,
  BB_FINDING_PRIORITY_RANGE,
  BB_FINDING_UNUSED_POOL,
  BB_FINDING_NO_CUSTOMERS,
  BB_FINDING_DUPLICATE_CUSTOMER,
  BB_FINDING_NO_KEYS,
  BB_FINDING_ZERO_LIMIT,
  BB_FINDING_CONTRADICTING_LIMITS,
  /* Against the configuration in force.  */
  BB_FINDING_EQUAL,
  BB_FINDING_ROUTE_ADDED,
  BB_FINDING_ROUTE_REMOVED,
  BB_FINDING_ROUTE_RENAMED,
  BB_FINDING_ROUTE_KIND,
  BB_FINDING_ROUTE_POOLS,
  BB_FINDING_ROUTE_VALUE,
  BB_FINDING_CUSTOMER_ADDED,
  BB_FINDING_CUSTOMER_REMOVED,
  BB_FINDING_CUSTOMER_PRIORITY,
  BB_FINDING_KEYS_NEEDED,
  BB_FINDING_KEY_ADDED,
  BB_FINDING_KEY_REMOVED,
  BB_FINDING_KEY_MOVED,
  BB_FINDING_POOL_ADDED,
  BB_FINDING_POOL_REMOVED,
  BB_FINDING_POOL_VALUE,
  BB_FINDING_LIMIT,
  BB_FINDING_KINDS
};

/* What the place of a finding names.  */
enum bb_place_kind
{
  BB_PLACE_FILE,   /* the whole; no place, but perhaps a line */
  BB_PLACE_MEMBER, /* path of a JSON member, such as routes[3].slo-ms */
  BB_PLACE_ROUTE,  /* name of a route; its host and prefix if it has no name */
  BB_PLACE_POOL,
  BB_PLACE_CUSTOMER,
  BB_PLACE_LIMITS, /* the limits of callers' connections; no place */
  BB_PLACE_KINDS
};

/* A finding.  Its strings are valid UTF-8 of printable characters, and are cut
   to the lengths above.  */
struct bb_finding
{
  enum bb_finding_kind kind;
  enum bb_place_kind place_kind;
  char *place;     /* "" where there is none */
  uint32_t line;   /* in the JSON text, from 1; 0: not known */
  uint32_t column; /* likewise */
  char *text;
};

struct bb_findings
{
  GPtrArray *list; /* struct bb_finding, in the order of their detection */
  uint32_t counts[BB_SEVERITIES]; /* of all findings, listed or not */
};

/* Returns an empty list.  */
struct bb_findings *bb_findings_new (void);

/* Frees F, which may be NULL.  */
void bb_findings_free (struct bb_findings *f);

/* Adds a finding.  PLACE may be NULL.  */
void bb_findings_add (struct bb_findings *f, enum bb_finding_kind kind,
                      enum bb_place_kind place_kind, const char *place,
                      const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Adds a finding at a line and column of the JSON text.  */
void bb_findings_add_at_line (struct bb_findings *f, enum bb_finding_kind kind,
                              uint32_t line, uint32_t column,
                              const char *text);

/* Returns whether F keeps a further finding of KIND, rather than counting
   it.  */
bool bb_findings_has_room (const struct bb_findings *f,
                           enum bb_finding_kind kind);

/* Return constant words for the log and for JSON.  */
const char *bb_finding_kind_name (enum bb_finding_kind kind);
enum bb_severity bb_finding_severity (enum bb_finding_kind kind);
const char *bb_severity_name (enum bb_severity severity);
const char *bb_place_kind_name (enum bb_place_kind kind);

enum
{
  BB_KEY_LABEL_BYTES = 9
};

/* Writes a label of the bearer KEY to OUT: the first 8 hexadecimal digits of
   its SHA-256, from which the key cannot be derived.  */
void bb_key_label (const char *key, char out[BB_KEY_LABEL_BYTES]);

struct bb_audit_options
{
  const struct bb_config *in_force; /* to compare with; NULL: none */
  double retry_ratio; /* retries per request that the budget allows;
                         negative: not known */
};

/* Adds the findings in C to OUT, first errors and warnings, then changes.  */
void bb_audit (const struct bb_config *c, const struct bb_audit_options *o,
               struct bb_findings *out);

#endif
