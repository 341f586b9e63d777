/* Writes merged settings as YAML that parses to the same settings.  */

#include "table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns whether TEXT can be written without quotes.  Refuses some strings
   that YAML would allow.  */
static bool
is_plain (const char *text)
{
  static const char punctuation[] = "_/.*+-:";

  if (!g_ascii_isalnum (*text) && *text != '_' && *text != '/')
    return false;
  for (const char *p = text; *p; p++)
    if (!g_ascii_isalnum (*p) && !strchr (punctuation, *p))
      return false;
  return text[strlen (text) - 1] != ':';
}

static bool
is_printable (const char *text)
{
  for (const char *p = text; *p; p++)
    if (!g_ascii_isprint (*p))
      return false;
  return true;
}

static void
write_single_quoted (FILE *out, const char *text)
{
  fputc ('\'', out);
  for (const char *p = text; *p; p++)
    {
      if (*p == '\'')
        fputc ('\'', out);
      fputc (*p, out);
    }
  fputc ('\'', out);
}

/* Writes every character outside printable ASCII as an escaped code point.  */
static void
write_double_quoted (FILE *out, const char *text)
{
  fputc ('"', out);
  for (const char *p = text; *p; p = g_utf8_next_char (p))
    {
      gunichar c = g_utf8_get_char (p);
      if (c == '"' || c == '\\')
        fprintf (out, "\\%c", (char)c);
      else if (c >= ' ' && c <= '~')
        fputc ((int)c, out);
      else
        fprintf (out, "\\U%08X", c);
    }
  fputc ('"', out);
}

static void
write_string (FILE *out, const char *text, bool quoted)
{
  if (!quoted && is_plain (text))
    fputs (text, out);
  else if (is_printable (text))
    write_single_quoted (out, text);
  else
    write_double_quoted (out, text);
}

static void
write_node (FILE *out, const struct bb_node *n, int indent)
{
  fprintf (out, "%*s", indent, "");
  if (n->key)
    {
      write_string (out, n->key, false);
      fputc (':', out);
    }
  else
    fputc ('-', out);
  if (n->kind == BB_NODE_SCALAR)
    {
      fputc (' ', out);
      write_string (out, n->value, n->quoted);
      fprintf (out, " # %s\n", n->file);
      return;
    }
  if (!n->children)
    fprintf (out, " %s # %s", n->kind == BB_NODE_MAP ? "{}" : "[]", n->file);
  fputc ('\n', out);
  for (const struct bb_node *c = n->children; c; c = c->next)
    write_node (out, c, indent + 2);
}

char *
bb_settings_to_yaml (const struct bb_settings_files *files,
                     struct bb_settings_faults *faults)
{
  struct bb_settings *s = bb_settings_parse (files, faults);
  struct bb_node *root;
  char *text = NULL;
  size_t size = 0;
  FILE *out;

  if (!s)
    return NULL;
  bb_settings_free (s);
  root = bb_node_merge_files (files, faults);
  out = open_memstream (&text, &size);
  for (const struct bb_node *c = root->children; c; c = c->next)
    write_node (out, c, 0);
  if (!root->children)
    fputs ("{}\n", out);
  fclose (out);
  bb_node_free (root);
  return text;
}
