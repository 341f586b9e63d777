/* Trees of YAML values: insertion, look-up by key and merging.  */

#include "table.h"

#include <stdlib.h>
#include <string.h>

enum
{
  HASH_MIN_CHILDREN = 16 /* maps with fewer children are searched linearly */
};

static void
hash_children (struct bb_node *map)
{
  map->children_by_key = g_hash_table_new (g_str_hash, g_str_equal);
  for (struct bb_node *c = map->children; c; c = c->next)
    g_hash_table_insert (map->children_by_key, c->key, c);
}

void
bb_node_add (struct bb_node *parent, struct bb_node *child)
{
  child->next = NULL;
  if (parent->last_child)
    parent->last_child->next = child;
  else
    parent->children = child;
  parent->last_child = child;
  parent->children_count++;
  if (parent->children_by_key)
    g_hash_table_insert (parent->children_by_key, child->key, child);
  else if (parent->kind == BB_NODE_MAP
           && parent->children_count == HASH_MIN_CHILDREN)
    hash_children (parent);
}

struct bb_node *
bb_node_child (const struct bb_node *map, const char *key)
{
  if (map->children_by_key)
    return g_hash_table_lookup (map->children_by_key, key);
  for (struct bb_node *c = map->children; c; c = c->next)
    if (c->key && strcmp (c->key, key) == 0)
      return c;
  return NULL;
}

void
bb_node_free (struct bb_node *node)
{
  struct bb_node *next;

  if (!node)
    return;
  if (node->children_by_key)
    g_hash_table_destroy (node->children_by_key);
  for (struct bb_node *c = node->children; c; c = next)
    {
      next = c->next;
      bb_node_free (c);
    }
  free (node->key);
  free (node->value);
  free (node);
}

/* Replaces the value of BASE, with its file and line, by that of LATER and
   frees LATER.  BASE keeps its key and its position among its siblings.  */
static void
replace_node (struct bb_node *base, struct bb_node *later)
{
  struct bb_node old = *base;

  *base = *later;
  base->key = old.key;
  base->next = old.next;
  old.key = later->key;
  old.next = NULL;
  *later = old;
  bb_node_free (later);
}

void
bb_node_merge (struct bb_node *base, struct bb_node *later)
{
  struct bb_node *next;

  if (base->kind != BB_NODE_MAP || later->kind != BB_NODE_MAP)
    {
      replace_node (base, later);
      return;
    }
  for (struct bb_node *c = later->children; c; c = next)
    {
      struct bb_node *same = bb_node_child (base, c->key);
      next = c->next;
      if (same)
        bb_node_merge (same, c);
      else
        bb_node_add (base, c);
    }
  later->children = NULL;
  bb_node_free (later);
}

struct bb_node *
bb_node_merge_files (const struct bb_settings_files *files,
                     struct bb_settings_faults *faults)
{
  struct bb_node *root = calloc (1, sizeof *root);
  size_t faults_before = faults->count;

  root->kind = BB_NODE_MAP;
  root->file = "";
  for (size_t i = 0; i < files->count; i++)
    {
      struct bb_node *n = bb_node_parse (&files->files[i], faults);
      if (n)
        bb_node_merge (root, n);
    }
  if (faults->count == faults_before)
    return root;
  bb_node_free (root);
  return NULL;
}
