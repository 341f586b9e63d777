#ifndef AUDIT_INTERNAL_H
#define AUDIT_INTERNAL_H

/* Private to libaudit.  */

#include "bilberry/audit.h"

enum
{
  PRIORITY_MAX = 9 /* the last priority that engines know */
};

/* The state of an audit.  */
struct audit
{
  const struct bb_config *config;
  const struct bb_audit_options *options;
  struct bb_findings *out;
};

/* Adds a finding on the route R.  */
#define ADD_ROUTE_FINDING(out, kind, r, ...)                                  \
  do                                                                          \
    {                                                                         \
      char place_[BB_FINDING_PLACE_BYTES];                                    \
      bb_findings_add (out, kind, BB_PLACE_ROUTE, route_place (r, place_),    \
                       __VA_ARGS__);                                          \
    }                                                                         \
  while (0)

/* matching.c */
/* Writes the place of R, its name or else its host and prefix, to BUFFER and
   returns it.  */
const char *route_place (const struct bb_route *r,
                         char buffer[BB_FINDING_PLACE_BYTES]);
/* Returns a string that routes share if their hosts and prefixes are the same.
   The caller frees it.  */
char *route_match_key (const struct bb_route *r);
/* Returns the routes of C that can match, struct bb_route by the string of
   route_match_key.  Of several with the same string it has the first.  The
   caller unrefs it.  */
GHashTable *matching_routes (const struct bb_config *c);

/* parts.c */
/* Returns the names of the pools of C in order; the caller frees the list
   alone.  */
GList *sorted_pool_names (const struct bb_config *c);

/* Each adds what it finds to A->out.  */
void check_matching (struct audit *a);     /* matching.c */
void check_route_values (struct audit *a); /* route_values.c */
void check_pools (struct audit *a);        /* parts.c */
void check_customers (struct audit *a);    /* parts.c */
void check_limits (struct audit *a);       /* parts.c */

/* Each adds the differences between A->config and the configuration in
   force.  */
void compare_routes (struct audit *a);    /* changes.c */
void compare_customers (struct audit *a); /* customer_changes.c */
void compare_pools (struct audit *a);     /* pool_changes.c */
void compare_limits (struct audit *a);    /* pool_changes.c */

/* changes.c */
/* A number before and after.  */
struct number_change
{
  const char *name; /* of the member of the JSON text */
  double before;
  double after;
};
/* Adds a finding of KIND for each of the COUNT numbers that differ.  */
void add_number_changes (struct bb_findings *out, enum bb_finding_kind kind,
                         enum bb_place_kind place_kind, const char *place,
                         const struct number_change *numbers, uint32_t count);

/* engine.c */
/* Returns the shortest time between two events of a stream that E can reach,
   with one request running.  */
double engine_shortest_gap_ms (const struct bb_engine *e);

#endif
