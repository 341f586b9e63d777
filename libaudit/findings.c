/* The list of findings.  */

#include "bilberry/audit.h"

#include <stdio.h>
#include <string.h>

static const struct
{
  const char *name;
  enum bb_severity severity;
} kinds[BB_FINDING_KINDS] = {
  [BB_FINDING_SYNTAX] = { "syntax", BB_SEVERITY_ERROR },
  [BB_FINDING_DUPLICATE_MEMBER] = { "duplicate-member", BB_SEVERITY_ERROR },
  [BB_FINDING_MISSING_MEMBER] = { "missing-member", BB_SEVERITY_ERROR },
  [BB_FINDING_WRONG_TYPE] = { "wrong-type", BB_SEVERITY_ERROR },
  [BB_FINDING_WRONG_VALUE] = { "wrong-value", BB_SEVERITY_ERROR },
  [BB_FINDING_UNDECODABLE] = { "undecodable", BB_SEVERITY_ERROR },
  [BB_FINDING_DUPLICATE_POOL] = { "duplicate-pool", BB_SEVERITY_ERROR },
  [BB_FINDING_SHARED_KEY] = { "shared-key", BB_SEVERITY_ERROR },
  [BB_FINDING_REPEATED_KEY] = { "repeated-key", BB_SEVERITY_WARNING },
  [BB_FINDING_NO_VERSION] = { "no-version", BB_SEVERITY_WARNING },
  [BB_FINDING_VERSION_NOT_HIGHER]
  = { "version-not-higher", BB_SEVERITY_ERROR },
  [BB_FINDING_NO_ROUTES] = { "no-routes", BB_SEVERITY_WARNING },
  [BB_FINDING_DUPLICATE_ROUTE_NAME]
  = { "duplicate-route-name", BB_SEVERITY_WARNING },
  [BB_FINDING_NO_ROUTE_NAME] = { "no-route-name", BB_SEVERITY_WARNING },
  [BB_FINDING_SHADOWED_ROUTE] = { "shadowed-route", BB_SEVERITY_ERROR },
  [BB_FINDING_UNMATCHABLE_HOST] = { "unmatchable-host", BB_SEVERITY_ERROR },
  [BB_FINDING_UNMATCHABLE_PREFIX]
  = { "unmatchable-prefix", BB_SEVERITY_ERROR },
  [BB_FINDING_OPEN_PREFIX] = { "open-prefix", BB_SEVERITY_WARNING },
  [BB_FINDING_HOST_CASE] = { "host-case", BB_SEVERITY_WARNING },
  [BB_FINDING_NO_POOL] = { "no-pool", BB_SEVERITY_ERROR },
  [BB_FINDING_UNDEFINED_POOL] = { "undefined-pool", BB_SEVERITY_ERROR },
  [BB_FINDING_ZERO_WEIGHTS] = { "zero-weights", BB_SEVERITY_ERROR },
  [BB_FINDING_ZERO_SLO] = { "zero-slo", BB_SEVERITY_ERROR },
  [BB_FINDING_TIMEOUT_BELOW_SLO]
  = { "timeout-below-slo", BB_SEVERITY_WARNING },
  [BB_FINDING_ZERO_ATTEMPTS] = { "zero-attempts", BB_SEVERITY_WARNING },
  [BB_FINDING_ATTEMPTS_OF_AT_MOST_ONCE]
  = { "attempts-of-at-most-once", BB_SEVERITY_WARNING },
  [BB_FINDING_ATTEMPTS_WITHOUT_BUDGET]
  = { "attempts-without-budget", BB_SEVERITY_WARNING },
  [BB_FINDING_UNREACHABLE_TARGET]
  = { "unreachable-target", BB_SEVERITY_WARNING },
  [BB_FINDING_PRIORITY_RANGE] = { "priority-range", BB_SEVERITY_WARNING },
  [BB_FINDING_UNUSED_POOL] = { "unused-pool", BB_SEVERITY_WARNING },
  [BB_FINDING_NO_CUSTOMERS] = { "no-customers", BB_SEVERITY_WARNING },
  [BB_FINDING_DUPLICATE_CUSTOMER]
  = { "duplicate-customer", BB_SEVERITY_WARNING },
  [BB_FINDING_NO_KEYS] = { "no-keys", BB_SEVERITY_WARNING },
  [BB_FINDING_ZERO_LIMIT] = { "zero-limit", BB_SEVERITY_ERROR },
  [BB_FINDING_CONTRADICTING_LIMITS]
  = { "contradicting-limits", BB_SEVERITY_WARNING },
  [BB_FINDING_EQUAL] = { "equal", BB_SEVERITY_CHANGE },
  [BB_FINDING_ROUTE_ADDED] = { "route-added", BB_SEVERITY_CHANGE },
  [BB_FINDING_ROUTE_REMOVED] = { "route-removed", BB_SEVERITY_CHANGE },
  [BB_FINDING_ROUTE_RENAMED] = { "route-renamed", BB_SEVERITY_CHANGE },
  [BB_FINDING_ROUTE_KIND] = { "route-kind", BB_SEVERITY_CHANGE },
  [BB_FINDING_ROUTE_POOLS] = { "route-pools", BB_SEVERITY_CHANGE },
  [BB_FINDING_ROUTE_VALUE] = { "route-value", BB_SEVERITY_CHANGE },
  [BB_FINDING_CUSTOMER_ADDED] = { "customer-added", BB_SEVERITY_CHANGE },
  [BB_FINDING_CUSTOMER_REMOVED] = { "customer-removed", BB_SEVERITY_CHANGE },
  [BB_FINDING_CUSTOMER_PRIORITY] = { "customer-priority", BB_SEVERITY_CHANGE },
  [BB_FINDING_KEYS_NEEDED] = { "keys-needed", BB_SEVERITY_CHANGE },
  [BB_FINDING_KEY_ADDED] = { "key-added", BB_SEVERITY_CHANGE },
  [BB_FINDING_KEY_REMOVED] = { "key-removed", BB_SEVERITY_CHANGE },
  [BB_FINDING_KEY_MOVED] = { "key-moved", BB_SEVERITY_CHANGE },
  [BB_FINDING_POOL_ADDED] = { "pool-added", BB_SEVERITY_CHANGE },
  [BB_FINDING_POOL_REMOVED] = { "pool-removed", BB_SEVERITY_CHANGE },
  [BB_FINDING_POOL_VALUE] = { "pool-value", BB_SEVERITY_CHANGE },
  [BB_FINDING_LIMIT] = { "limit", BB_SEVERITY_CHANGE },
};

const char *
bb_finding_kind_name (enum bb_finding_kind kind)
{
  return kinds[kind].name;
}

enum bb_severity
bb_finding_severity (enum bb_finding_kind kind)
{
  return kinds[kind].severity;
}

const char *
bb_severity_name (enum bb_severity severity)
{
  static const char *const names[BB_SEVERITIES]
      = { "error", "warning", "change" };

  return names[severity];
}

const char *
bb_place_kind_name (enum bb_place_kind kind)
{
  static const char *const names[BB_PLACE_KINDS]
      = { "file", "member", "route", "pool", "customer", "limits" };

  return names[kind];
}

static void
free_finding (void *p)
{
  struct bb_finding *f = p;

  g_free (f->place);
  g_free (f->text);
  g_free (f);
}

struct bb_findings *
bb_findings_new (void)
{
  struct bb_findings *f = g_new0 (struct bb_findings, 1);

  f->list = g_ptr_array_new_with_free_func (free_finding);
  return f;
}

void
bb_findings_free (struct bb_findings *f)
{
  if (!f)
    return;
  g_ptr_array_unref (f->list);
  g_free (f);
}

bool
bb_findings_has_room (const struct bb_findings *f, enum bb_finding_kind kind)
{
  return f->counts[kinds[kind].severity] < BB_FINDINGS_MAX;
}

/* Returns a copy of TEXT with a question mark for each character that is not
   printable: names come from the file and must not end a line or control a
   terminal.  */
static char *
copy_printable (const char *text)
{
  char *valid = g_utf8_make_valid (text, -1);
  GString *out = g_string_new ("");

  for (const char *at = valid; *at; at = g_utf8_next_char (at))
    {
      gunichar c = g_utf8_get_char (at);
      g_string_append_unichar (out, g_unichar_isprint (c) ? c : '?');
    }
  g_free (valid);
  return g_string_free (out, FALSE);
}

/* Counts a finding of KIND and returns it, without place and text; NULL where
   the list has no room.  */
static struct bb_finding *
add (struct bb_findings *f, enum bb_finding_kind kind)
{
  bool has_room = bb_findings_has_room (f, kind);
  struct bb_finding *finding;

  f->counts[kinds[kind].severity]++;
  if (!has_room)
    return NULL;
  finding = g_new0 (struct bb_finding, 1);
  finding->kind = kind;
  g_ptr_array_add (f->list, finding);
  return finding;
}

void
bb_findings_add (struct bb_findings *f, enum bb_finding_kind kind,
                 enum bb_place_kind place_kind, const char *place,
                 const char *format, ...)
{
  struct bb_finding *finding = add (f, kind);
  char text[BB_FINDING_TEXT_BYTES];
  char cut_place[BB_FINDING_PLACE_BYTES];
  va_list args;

  if (!finding)
    return;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  g_strlcpy (cut_place, place ? place : "", sizeof cut_place);
  finding->place_kind = place_kind;
  finding->place = copy_printable (cut_place);
  finding->text = copy_printable (text);
}

void
bb_findings_add_at_line (struct bb_findings *f, enum bb_finding_kind kind,
                         uint32_t line, uint32_t column, const char *text)
{
  struct bb_finding *finding = add (f, kind);

  if (!finding)
    return;
  finding->line = line;
  finding->column = column;
  finding->place = g_strdup ("");
  finding->text = copy_printable (text);
}

void
bb_key_label (const char *key, char out[BB_KEY_LABEL_BYTES])
{
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);

  g_strlcpy (out, digest, BB_KEY_LABEL_BYTES);
  g_free (digest);
}
