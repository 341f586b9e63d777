#ifndef TABLE_H
#define TABLE_H

/* Tables of the settings; generated from the schema.  */

#include "bilberry/settings.h"

#include <glib.h>

enum bb_field_type
{
  BB_FIELD_STRING,
  BB_FIELD_U32,
  BB_FIELD_BOOL,
  BB_FIELD_ENUM,
  BB_FIELD_REF,
  BB_FIELD_ADDRESS,
  BB_FIELD_SHA256
};

struct bb_field
{
  const char *name;
  enum bb_field_type type;
  size_t offset;
  bool required;
  const char *fallback; /* default value as it would be written */
  uint32_t min;
  uint32_t max;
  const char *const *words; /* of an enum */
  const char *ref;          /* section that a reference names */
  uint32_t since;           /* schema that brought it; 0: the first */
};

struct bb_section
{
  const char *name;
  const struct bb_field *fields;
  size_t item_size;
  size_t items_offset;
  size_t count_offset;
  uint32_t since; /* schema that brought it */
};

extern const struct bb_section bb_sections[];

/* A merged YAML tree.  Each value keeps the place that it came from.  */
enum bb_node_kind
{
  BB_NODE_SCALAR,
  BB_NODE_MAP,
  BB_NODE_LIST
};

struct bb_node
{
  enum bb_node_kind kind;
  char *key;   /* in a parent map */
  char *value; /* of a scalar */
  bool quoted;
  const char *file;
  size_t line;
  struct bb_node *children;
  struct bb_node *last_child;  /* of the children */
  uint32_t children_count;     /* of the children */
  GHashTable *children_by_key; /* of a map with many children */
  struct bb_node *next;
};

/* Adds CHILD, whose key is set, to the end of a map or list.  */
void bb_node_add (struct bb_node *parent, struct bb_node *child);

/* Parses FILE into a tree; NULL and a fault when it is not a YAML mapping.  */
struct bb_node *bb_node_parse (const struct bb_settings_file *file,
                               struct bb_settings_faults *faults);

/* Merges LATER into BASE and frees LATER.  */
void bb_node_merge (struct bb_node *base, struct bb_node *later);
struct bb_node *bb_node_child (const struct bb_node *map, const char *key);
void bb_node_free (struct bb_node *node);

/* Merges all files; NULL when there are faults.  */
struct bb_node *bb_node_merge_files (const struct bb_settings_files *files,
                                     struct bb_settings_faults *faults);

/* Hash tables over bound settings, for look-ups by name.  */
struct bb_settings_index
{
  GHashTable *failure_domains;
  GHashTable *upstreams;
  GHashTable *entries;
  GHashTable *customers;
  GHashTable *customers_by_key;
};

struct bb_settings_index *bb_index_new (const struct bb_settings *s);
void bb_index_free (struct bb_settings_index *index);

void bb_settings_faults_add (struct bb_settings_faults *faults,
                             const char *file, size_t line, const char *format,
                             ...) __attribute__ ((format (printf, 4, 5)));

/* Returns the known name nearest to WORD, or NULL when none is near.
   NAME_AT yields the names by index, NULL at the end.  */
const char *bb_nearest_name (const char *word,
                             const char *(*name_at) (const void *arg,
                                                     size_t i),
                             const void *arg);

#endif
