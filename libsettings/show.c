#include "table.h"

#include <stdio.h>
#include <stdlib.h>

static void
show_scalar (FILE *out, const struct bb_node *n)
{
  if (!n->quoted)
    {
      fputs (n->value, out);
      return;
    }
  fputc ('\'', out);
  for (const char *p = n->value; *p; p++)
    {
      if (*p == '\'')
        fputc ('\'', out);
      fputc (*p, out);
    }
  fputc ('\'', out);
}

static void
show_node (FILE *out, const struct bb_node *n, int indent)
{
  fprintf (out, "%*s", indent, "");
  if (n->key)
    fprintf (out, "%s:", n->key);
  else
    fputc ('-', out);
  if (n->kind == BB_NODE_SCALAR)
    {
      fputc (' ', out);
      show_scalar (out, n);
      fprintf (out, " # %s\n", n->file);
      return;
    }
  fputc ('\n', out);
  for (const struct bb_node *c = n->children; c; c = c->next)
    show_node (out, c, indent + 2);
}

char *
bb_settings_show (const struct bb_files *files, struct bb_faults *faults)
{
  struct bb_settings *s = bb_settings_make (files, faults);
  struct bb_node *root;
  char *text = NULL;
  size_t size = 0;
  FILE *out;

  if (!s)
    return NULL;
  bb_settings_free (s);
  root = bb_files_merge (files, faults);
  out = open_memstream (&text, &size);
  for (const struct bb_node *c = root->children; c; c = c->next)
    show_node (out, c, 0);
  fclose (out);
  bb_node_free (root);
  return text;
}
