/* bilberry check - checks a configuration of the platform, or a settings
   folder.  */

#include "commands.h"

#include "bilberry/audit.h"
#include "bilberry/platform.h"

#include <argtable2.h>
#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* The largest item that edges pass on to each other.  */
  FILE_MAX_BYTES = 16 * 1024 * 1024
};

struct check_options
{
  const char *path;
  const char *against; /* file of the configuration in force; NULL: none */
  double retry_ratio;  /* negative: not known */
  bool json;
};

/* Returns the contents of the file at PATH, or NULL after a message.  */
static GBytes *
read_file (const char *path)
{
  bool is_stdin = strcmp (path, "-") == 0;
  FILE *in = is_stdin ? stdin : fopen (path, "r");
  char *data = g_malloc (FILE_MAX_BYTES + 1);
  size_t size = in ? fread (data, 1, FILE_MAX_BYTES + 1, in) : 0;
  GBytes *bytes = NULL;

  if (!in || ferror (in))
    fprintf (stderr, "bilberry: %s: %s\n", path, strerror (errno));
  else if (size > FILE_MAX_BYTES)
    fprintf (stderr, "bilberry: %s: larger than %d bytes\n", path,
             FILE_MAX_BYTES);
  else
    bytes = g_bytes_new (data, size);
  if (in && !is_stdin)
    fclose (in);
  g_free (data);
  return bytes;
}

static void
print_finding (FILE *out, const char *path, const struct bb_finding *f)
{
  fputs (path, out);
  if (f->line > 0)
    fprintf (out, ":%u:%u", f->line, f->column);
  fprintf (out, ": %s: ", bb_severity_name (bb_finding_severity (f->kind)));
  if (f->place_kind == BB_PLACE_MEMBER)
    fprintf (out, "%s: ", f->place);
  else if (f->place_kind != BB_PLACE_FILE)
    fprintf (out, "%s%s%s: ", bb_place_kind_name (f->place_kind),
             *f->place ? " " : "", f->place);
  fprintf (out, "%s\n", f->text);
}

static uint32_t
count_all (const struct bb_findings *f)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < BB_SEVERITIES; i++)
    n += f->counts[i];
  return n;
}

static void
print_text (FILE *out, const char *path, const struct bb_findings *f)
{
  uint32_t omitted = count_all (f) - f->list->len;

  for (guint i = 0; i < f->list->len; i++)
    print_finding (out, path, g_ptr_array_index (f->list, i));
  if (omitted > 0)
    fprintf (out, "%s: %u further findings are not listed\n", path, omitted);
}

static json_t *
pack_finding (const struct bb_finding *f)
{
  json_t *o = json_pack ("{s:s, s:s, s:s, s:s, s:s}", "severity",
                         bb_severity_name (bb_finding_severity (f->kind)),
                         "kind", bb_finding_kind_name (f->kind), "place_kind",
                         bb_place_kind_name (f->place_kind), "place", f->place,
                         "text", f->text);

  if (f->line > 0)
    {
      json_object_set_new (o, "line", json_integer (f->line));
      json_object_set_new (o, "column", json_integer (f->column));
    }
  return o;
}

static void
print_json (const char *path, const struct bb_findings *f)
{
  char *file = g_utf8_make_valid (path, -1);
  json_t *list = json_array ();
  json_t *o;

  for (guint i = 0; i < f->list->len; i++)
    json_array_append_new (list,
                           pack_finding (g_ptr_array_index (f->list, i)));
  o = json_pack ("{s:s, s:i, s:i, s:i, s:i, s:o}", "file", file, "errors",
                 f->counts[BB_SEVERITY_ERROR], "warnings",
                 f->counts[BB_SEVERITY_WARNING], "changes",
                 f->counts[BB_SEVERITY_CHANGE], "not_listed",
                 count_all (f) - f->list->len, "findings", list);
  json_dumpf (o, stdout, JSON_INDENT (2) | JSON_PRESERVE_ORDER);
  putchar ('\n');
  json_decref (o);
  g_free (file);
}

/* Returns the configuration in the file at PATH, or NULL after a message.  */
static struct bb_config *
read_in_force (const char *path)
{
  GBytes *value = read_file (path);
  struct bb_findings *faults = bb_findings_new ();
  struct bb_config *c = value ? bb_config_examine (value, faults) : NULL;

  if (value && !c)
    print_text (stderr, path, faults);
  bb_findings_free (faults);
  g_bytes_unref (value);
  return c;
}

static int
print_result (const struct check_options *o, const struct bb_findings *f)
{
  if (o->json)
    print_json (o->path, f);
  else
    print_text (stdout, o->path, f);
  return f->counts[BB_SEVERITY_ERROR] + f->counts[BB_SEVERITY_WARNING] > 0;
}

static int
check_configuration (const struct check_options *o)
{
  struct bb_audit_options options = { .retry_ratio = o->retry_ratio };
  struct bb_findings *findings = bb_findings_new ();
  struct bb_config *in_force = NULL;
  struct bb_config *c = NULL;
  GBytes *value = NULL;
  int rc = 2;

  if (o->against && !(in_force = read_in_force (o->against)))
    goto end;
  value = read_file (o->path);
  if (!value)
    goto end;
  options.in_force = in_force;
  c = bb_config_examine (value, findings);
  if (c)
    bb_audit (c, &options, findings);
  rc = print_result (o, findings);
end:
  g_bytes_unref (value);
  bb_config_unref (c);
  bb_config_unref (in_force);
  bb_findings_free (findings);
  return rc;
}

static int
check (const struct check_options *o)
{
  bool has_options = o->json || o->against || o->retry_ratio >= 0;

  if (!g_file_test (o->path, G_FILE_TEST_IS_DIR))
    return check_configuration (o);
  if (!has_options)
    return check_settings_folder (o->path);
  fprintf (stderr, "bilberry: %s: a settings folder takes no options\n",
           o->path);
  return 2;
}

int
command_check (int argc, char **argv)
{
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_str *against
      = arg_str0 (NULL, "against", "FILE", "configuration in force");
  struct arg_dbl *retry_ratio
      = arg_dbl0 (NULL, "retry-ratio", "R", "retries allowed per request");
  struct arg_str *path = arg_str1 (
      NULL, NULL, "PATH", "configuration, - for standard input, or folder");
  struct arg_end *end = arg_end (4);
  void *table[] = { json, against, retry_ratio, path, end };
  struct check_options o = { .retry_ratio = -1 };
  int rc = 2;

  if (arg_parse (argc, argv, table) == 0
      && (retry_ratio->count == 0 || retry_ratio->dval[0] >= 0))
    {
      o.path = path->sval[0];
      o.against = against->count ? against->sval[0] : NULL;
      o.json = json->count > 0;
      if (retry_ratio->count)
        o.retry_ratio = retry_ratio->dval[0];
      rc = check (&o);
    }
  else
    {
      arg_print_errors (stderr, end, "bilberry check");
      fputs ("Usage: bilberry check", stderr);
      arg_print_syntax (stderr, table, "\n");
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return rc;
}
