#ifndef TABLE_H
#define TABLE_H

/* The tables that schema/generate makes of schema/settings.yaml, and the
   functions that libsettings shares between its files.  */

#include "bilberry/settings.h"

#include <glib.h>

/* Type of a field.  References, addresses and hashes are stored as strings. */
enum bb_field_type
{
  BB_FIELD_STRING,
  BB_FIELD_U32,
  BB_FIELD_BOOL,
  BB_FIELD_ENUM,
  BB_FIELD_REF,     /* name of an item of another section */
  BB_FIELD_ADDRESS, /* numeric IP address and port */
  BB_FIELD_SHA256   /* 64 lower-case hexadecimal digits */
};

/* A field of the items of a section.  */
struct bb_field
{
  const char *name;
  enum bb_field_type type;
  size_t offset; /* offset of the field in the struct of the item */
  bool required;
  const char *fallback;     /* default value as YAML text; NULL: none */
  uint32_t min;             /* smallest valid number */
  uint32_t max;             /* largest valid number */
  const char *const *words; /* values of an enum, ending with NULL */
  const char *ref;          /* section of the item that a reference names */
  uint32_t since; /* schema version that added the field; 0: the first */
};

/* A section of the settings.  */
struct bb_section
{
  const char *name;
  const struct bb_field *fields; /* array whose last field has no name */
  size_t item_size;              /* size of the struct of an item, in bytes */
  size_t items_offset; /* offset of the array of items in struct bb_settings */
  size_t count_offset; /* offset of the item count in struct bb_settings */
  uint32_t since;      /* schema version that added the section */
};

/* All sections; the last has no name.  */
extern const struct bb_section bb_sections[];

/* Kind of a YAML value.  */
enum bb_node_kind
{
  BB_NODE_SCALAR,
  BB_NODE_MAP,
  BB_NODE_LIST
};

/* A value of a YAML tree, with the file and line that it comes from.  */
struct bb_node
{
  enum bb_node_kind kind;
  char *key;        /* key of the value in the parent map; NULL in a list */
  char *value;      /* text of a scalar */
  bool quoted;      /* the scalar was not written as a plain one */
  const char *file; /* file name, owned by the struct bb_settings_file */
  size_t line;      /* line number, from 1 */
  struct bb_node *children;
  struct bb_node *last_child;
  uint32_t children_count;
  GHashTable *children_by_key; /* the children by key; NULL in a list or a
                                  small map */
  struct bb_node *next;
};

/* Appends CHILD to PARENT, a map or list, which takes ownership.  The key of a
   child of a map must be set.  */
void bb_node_add (struct bb_node *parent, struct bb_node *child);

/* Parses FILE into a tree, which the caller frees.  Returns NULL after adding
   to FAULTS if FILE is not one YAML mapping or exceeds a limit.  */
struct bb_node *bb_node_parse (const struct bb_settings_file *file,
                               struct bb_settings_faults *faults);

/* Merges LATER into BASE and frees LATER.  Maps merge by key; any other value
   is replaced by that of LATER.  */
void bb_node_merge (struct bb_node *base, struct bb_node *later);

/* Returns the child KEY of MAP, or NULL if there is none.  */
struct bb_node *bb_node_child (const struct bb_node *map, const char *key);

/* Frees NODE with its children.  NODE may be NULL.  */
void bb_node_free (struct bb_node *node);

/* Parses FILES and merges them into a tree, which the caller frees.  Returns
   NULL after adding to FAULTS if one of them is not valid.  */
struct bb_node *bb_node_merge_files (const struct bb_settings_files *files,
                                     struct bb_settings_faults *faults);

/* Hash tables that find items of the settings, by name unless a comment says
   otherwise.  The items and keys belong to the settings.  */
struct bb_settings_index
{
  GHashTable *failure_domains;
  GHashTable *upstreams;
  GHashTable *entries;
  GHashTable *customers;
  GHashTable *customers_by_key; /* by SHA-256 of the key, in hexadecimal */
};

/* Returns an index of S, which must outlive it.  */
struct bb_settings_index *bb_index_new (const struct bb_settings *s);

/* Frees INDEX, which may be NULL.  */
void bb_index_free (struct bb_settings_index *index);

/* Adds a fault with the message FORMAT at LINE of FILE.  With LINE 0 the fault
   names no line.  */
void bb_settings_faults_add (struct bb_settings_faults *faults,
                             const char *file, size_t line, const char *format,
                             ...) __attribute__ ((format (printf, 4, 5)));

/* Returns the known name most similar to WORD, or NULL if each differs by more
   than two edits.  NAME_AT is called with ARG and I from 0 upwards; it returns
   a known name, or NULL at the end.  */
const char *bb_nearest_name (const char *word,
                             const char *(*name_at) (const void *arg,
                                                     size_t i),
                             const void *arg);

#endif
