#include "internal.h"

typedef void check_fn (struct audit *a);

static void
check_version (struct audit *a)
{
  const struct bb_config *in_force = a->options->in_force;
  uint64_t version = a->config->version;

  if (version == 0)
    bb_findings_add (a->out, BB_FINDING_NO_VERSION, BB_PLACE_FILE, NULL,
                     "the version is 0 or missing");
  if (in_force && version <= in_force->version)
    bb_findings_add (
        a->out, BB_FINDING_VERSION_NOT_HIGHER, BB_PLACE_FILE, NULL,
        "version %" G_GUINT64_FORMAT " is not higher than the one in force, "
        "%" G_GUINT64_FORMAT,
        version, in_force->version);
}

static check_fn *const checks[]
    = { check_version, check_matching,  check_route_values,
        check_pools,   check_customers, check_limits };

static check_fn *const comparisons[]
    = { compare_routes, compare_customers, compare_pools, compare_limits };

static void
compare (struct audit *a)
{
  uint32_t before = a->out->counts[BB_SEVERITY_CHANGE];

  for (uint32_t i = 0; i < G_N_ELEMENTS (comparisons); i++)
    comparisons[i](a);
  if (a->out->counts[BB_SEVERITY_CHANGE] == before)
    bb_findings_add (a->out, BB_FINDING_EQUAL, BB_PLACE_FILE, NULL,
                     "equal in effect to the configuration in force");
}

void
bb_audit (const struct bb_config *c, const struct bb_audit_options *o,
          struct bb_findings *out)
{
  struct audit a = { .config = c, .options = o, .out = out };

  for (uint32_t i = 0; i < G_N_ELEMENTS (checks); i++)
    checks[i](&a);
  if (o->in_force)
    compare (&a);
}
