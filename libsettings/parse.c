/* Parses a YAML file, with libyaml, into a tree that records the file and line
   of each value.  */

#include "table.h"

#include <stdlib.h>
#include <string.h>
#include <yaml.h>

enum
{
  FILE_MAX_BYTES = 1024 * 1024,
  DEPTH_MAX = 16,
  ALIASES_MAX = 100, /* anchors and aliases of a file: libyaml compares each
                        with all anchors before it */
  NODES_MAX = 200000 /* nodes of a file, with aliases expanded */
};

struct converter
{
  yaml_document_t doc;
  const char *file;
  struct bb_settings_faults *faults;
  uint32_t node_count;
};

static struct bb_node *convert (struct converter *p, int id, uint32_t depth);

static bool
contains_nul (const yaml_node_t *scalar)
{
  return strlen ((const char *)scalar->data.scalar.value)
         != scalar->data.scalar.length;
}

static bool
convert_pair (struct converter *p, struct bb_node *map,
              const yaml_node_pair_t *pair, uint32_t depth)
{
  const yaml_node_t *key = yaml_document_get_node (&p->doc, pair->key);
  struct bb_node *child;

  if (key->type != YAML_SCALAR_NODE)
    {
      bb_settings_faults_add (p->faults, p->file, key->start_mark.line + 1,
                              "a key must be a scalar");
      return false;
    }
  if (contains_nul (key))
    {
      bb_settings_faults_add (
          p->faults, p->file, key->start_mark.line + 1,
          "a key holds a null character; write it without");
      return false;
    }
  if (bb_node_child (map, (const char *)key->data.scalar.value))
    {
      bb_settings_faults_add (
          p->faults, p->file, key->start_mark.line + 1,
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
convert_children (struct converter *p, struct bb_node *n, const yaml_node_t *y,
                  uint32_t depth)
{
  bool converted = true;

  if (y->type == YAML_MAPPING_NODE)
    {
      const yaml_node_pair_t *pair = y->data.mapping.pairs.start;
      for (; pair < y->data.mapping.pairs.top; pair++)
        converted &= convert_pair (p, n, pair, depth);
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
  return converted;
}

static struct bb_node *
convert (struct converter *p, int id, uint32_t depth)
{
  const yaml_node_t *y = yaml_document_get_node (&p->doc, id);
  struct bb_node *n;

  if (depth > DEPTH_MAX)
    {
      bb_settings_faults_add (p->faults, p->file, y->start_mark.line + 1,
                              "values are nested too deeply");
      return NULL;
    }
  if (++p->node_count > NODES_MAX)
    {
      if (p->node_count == NODES_MAX + 1)
        bb_settings_faults_add (
            p->faults, p->file, y->start_mark.line + 1,
            "the file expands to more than %d values; split it or use fewer "
            "aliases",
            NODES_MAX);
      return NULL;
    }
  if (y->type == YAML_SCALAR_NODE && contains_nul (y))
    {
      bb_settings_faults_add (
          p->faults, p->file, y->start_mark.line + 1,
          "a value holds a null character; write it without");
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

/* Counts the anchors and aliases of FILE without resolving them.  Stops above
   ALIASES_MAX and at a syntax error.  */
static uint32_t
count_aliases (const struct bb_settings_file *file)
{
  yaml_parser_t y;
  yaml_event_t event;
  uint32_t count = 0;
  bool done = false;

  if (!yaml_parser_initialize (&y))
    abort ();
  yaml_parser_set_input_string (&y, (const unsigned char *)file->data,
                                file->size);
  while (!done && count <= ALIASES_MAX && yaml_parser_parse (&y, &event))
    {
      count += event.type == YAML_ALIAS_EVENT
               || (event.type == YAML_SCALAR_EVENT && event.data.scalar.anchor)
               || (event.type == YAML_MAPPING_START_EVENT
                   && event.data.mapping_start.anchor)
               || (event.type == YAML_SEQUENCE_START_EVENT
                   && event.data.sequence_start.anchor);
      done = event.type == YAML_STREAM_END_EVENT;
      yaml_event_delete (&event);
    }
  yaml_parser_delete (&y);
  return count;
}

static void
report_syntax_error (const struct bb_settings_file *file,
                     const yaml_parser_t *y, struct bb_settings_faults *faults)
{
  if (y->error == YAML_READER_ERROR)
    bb_settings_faults_add (faults, file->name, 1,
                            "not UTF-8 text: %s at byte %zu", y->problem,
                            y->problem_offset);
  else
    bb_settings_faults_add (faults, file->name, y->problem_mark.line + 1,
                            "not YAML: %s",
                            y->problem ? y->problem : "unknown error");
}

/* Returns whether FILE is small enough to be parsed in a short time; reports a
   fault if not.  Anchors and aliases are counted only if the file has enough
   of their indicators, '&' and '*', to exceed the limit.  */
static bool
check_size (const struct bb_settings_file *file,
            struct bb_settings_faults *faults)
{
  size_t markers = 0;

  if (file->size > FILE_MAX_BYTES)
    {
      bb_settings_faults_add (faults, file->name, 0,
                              "the file is larger than a megabyte; split it");
      return false;
    }
  for (size_t i = 0; i < file->size; i++)
    markers += file->data[i] == '&' || file->data[i] == '*';
  if (markers <= ALIASES_MAX || count_aliases (file) <= ALIASES_MAX)
    return true;
  bb_settings_faults_add (
      faults, file->name, 0,
      "the file holds more than %d anchors and aliases; write the "
      "values out",
      ALIASES_MAX);
  return false;
}

/* Returns whether FILE ends after the document that Y has loaded; reports a
   fault if not.  */
static bool
check_single_document (yaml_parser_t *y, const struct bb_settings_file *file,
                       struct bb_settings_faults *faults)
{
  yaml_document_t next;
  bool last;

  if (!yaml_parser_load (y, &next))
    {
      report_syntax_error (file, y, faults);
      return false;
    }
  last = !yaml_document_get_root_node (&next);
  if (!last)
    bb_settings_faults_add (faults, file->name, next.start_mark.line + 1,
                            "a second document; write one mapping in a file");
  yaml_document_delete (&next);
  return last;
}

struct bb_node *
bb_node_parse (const struct bb_settings_file *file,
               struct bb_settings_faults *faults)
{
  struct converter p = { .file = file->name, .faults = faults };
  struct bb_node *root = NULL;
  yaml_parser_t y;
  const yaml_node_t *top;

  if (!check_size (file, faults))
    return NULL;
  if (!yaml_parser_initialize (&y))
    abort ();
  yaml_parser_set_input_string (&y, (const unsigned char *)file->data,
                                file->size);
  if (!yaml_parser_load (&y, &p.doc))
    {
      report_syntax_error (file, &y, faults);
      goto out;
    }
  top = yaml_document_get_root_node (&p.doc);
  if (!top || top->type != YAML_MAPPING_NODE)
    bb_settings_faults_add (faults, file->name, 1,
                            "the file must hold a mapping");
  else if (check_single_document (&y, file, faults))
    root = convert (&p, 1, 0);
  yaml_document_delete (&p.doc);
out:
  yaml_parser_delete (&y);
  return root;
}
