/* Fuzz target: the audit of a configuration of the platform.  The input is the
   configuration, and perhaps after a null character the one in force.  */

#include "bilberry/audit.h"
#include "bilberry/platform.h"

#include <string.h>

/* The name is given by libFuzzer.  */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size); // NOLINT

/* Findings are one line each, and bounded.  */
static void
check_findings (const struct bb_findings *findings)
{
  for (guint i = 0; i < findings->list->len; i++)
    {
      const struct bb_finding *f = g_ptr_array_index (findings->list, i);
      g_assert_true (g_utf8_validate (f->text, -1, NULL));
      g_assert_true (g_utf8_validate (f->place, -1, NULL));
      g_assert_null (strpbrk (f->text, "\n\033"));
      g_assert_null (strpbrk (f->place, "\n\033"));
    }
  g_assert_cmpuint (findings->list->len / BB_SEVERITIES, <=, BB_FINDINGS_MAX);
}

static struct bb_config *
examine (const uint8_t *data, size_t size, struct bb_findings *findings)
{
  GBytes *value = g_bytes_new (data, size);
  uint32_t before = findings->counts[BB_SEVERITY_ERROR];
  struct bb_config *c = bb_config_examine (value, findings);

  g_assert_true (c || findings->counts[BB_SEVERITY_ERROR] > before);
  g_bytes_unref (value);
  return c;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) // NOLINT
{
  const uint8_t *end = size > 0 ? memchr (data, 0, size) : NULL;
  size_t first = end ? (size_t)(end - data) : size;
  struct bb_findings *findings = bb_findings_new ();
  struct bb_config *c = examine (data, first, findings);
  struct bb_config *in_force = NULL;
  struct bb_audit_options options = { .retry_ratio = 0 };

  if (end)
    in_force = examine (end + 1, size - first - 1, findings);
  options.in_force = in_force;
  if (c)
    bb_audit (c, &options, findings);
  check_findings (findings);
  bb_config_unref (c);
  bb_config_unref (in_force);
  bb_findings_free (findings);
  return 0;
}
