/* Parses YAML by libyaml into trees that keep the file and line of each
   value.  */

#include "table.h"

#include <stdlib.h>
#include <string.h>
#include <yaml.h>

enum
{
  DEPTH_MAX = 16
};

struct parse
{
  yaml_document_t doc;
  const char *file;
  struct bb_faults *faults;
};

static struct bb_node *convert (struct parse *p, int id, uint32_t depth);

static bool
convert_pair (struct parse *p, struct bb_node *map,
              const yaml_node_pair_t *pair, uint32_t depth)
{
  const yaml_node_t *key = yaml_document_get_node (&p->doc, pair->key);
  struct bb_node *child;

  if (key->type != YAML_SCALAR_NODE)
    {
      bb_fault (p->faults, p->file, key->start_mark.line + 1,
                "a key must be a plain word");
      return false;
    }
  if (bb_node_child (map, (const char *)key->data.scalar.value))
    {
      bb_fault (p->faults, p->file, key->start_mark.line + 1,
                "duplicate name '%s'; give each name once in a file",
                key->data.scalar.value);
      return false;
    }
  child = convert (p, pair->value, depth + 1);
  if (!child)
    return false;
  child->key = strdup ((const char *)key->data.scalar.value);
  child->line = key->start_mark.line + 1;
  bb_node_add (map, child);
  return true;
}

static bool
convert_children (struct parse *p, struct bb_node *n, const yaml_node_t *y,
                  uint32_t depth)
{
  bool good = true;

  if (y->type == YAML_MAPPING_NODE)
    {
      const yaml_node_pair_t *pair = y->data.mapping.pairs.start;
      for (; pair < y->data.mapping.pairs.top; pair++)
        good &= convert_pair (p, n, pair, depth);
    }
  else
    {
      const yaml_node_item_t *item = y->data.sequence.items.start;
      for (; item < y->data.sequence.items.top; item++)
        {
          struct bb_node *child = convert (p, *item, depth + 1);
          if (!child)
            return false;
          bb_node_add (n, child);
        }
    }
  return good;
}

static struct bb_node *
convert (struct parse *p, int id, uint32_t depth)
{
  const yaml_node_t *y = yaml_document_get_node (&p->doc, id);
  struct bb_node *n;

  if (depth > DEPTH_MAX)
    {
      bb_fault (p->faults, p->file, y->start_mark.line + 1,
                "values are nested too deep");
      return NULL;
    }
  n = calloc (1, sizeof *n);
  n->file = p->file;
  n->line = y->start_mark.line + 1;
  if (y->type == YAML_SCALAR_NODE)
    {
      n->kind = BB_NODE_SCALAR;
      n->value = strdup ((const char *)y->data.scalar.value);
      n->quoted = y->data.scalar.style != YAML_PLAIN_SCALAR_STYLE;
      return n;
    }
  n->kind = y->type == YAML_MAPPING_NODE ? BB_NODE_MAP : BB_NODE_LIST;
  if (convert_children (p, n, y, depth))
    return n;
  bb_node_free (n);
  return NULL;
}

static void
report_syntax (const struct bb_file *file, const yaml_parser_t *y,
               struct bb_faults *faults)
{
  if (y->error == YAML_READER_ERROR)
    bb_fault (faults, file->name, 1, "not UTF-8 text: %s at byte %zu",
              y->problem, y->problem_offset);
  else
    bb_fault (faults, file->name, y->problem_mark.line + 1, "not YAML: %s",
              y->problem ? y->problem : "unknown fault");
}

struct bb_node *
bb_node_parse (const struct bb_file *file, struct bb_faults *faults)
{
  struct parse p = { .file = file->name, .faults = faults };
  struct bb_node *root = NULL;
  yaml_parser_t y;
  const yaml_node_t *top;

  if (!yaml_parser_initialize (&y))
    abort ();
  yaml_parser_set_input_string (&y, (const unsigned char *)file->data,
                                file->size);
  if (!yaml_parser_load (&y, &p.doc))
    {
      report_syntax (file, &y, faults);
      goto out;
    }
  top = yaml_document_get_root_node (&p.doc);
  if (!top || top->type != YAML_MAPPING_NODE)
    bb_fault (faults, file->name, 1, "the file must hold a mapping");
  else
    root = convert (&p, 1, 0);
  yaml_document_delete (&p.doc);
out:
  yaml_parser_delete (&y);
  return root;
}
