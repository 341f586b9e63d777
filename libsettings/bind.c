/* Validates a merged tree and converts it to the settings structs, as the
   generated tables describe them.  */

#include "table.h"

#include "bilberry/messages.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SUGGESTION_FAULTS_MAX = 100
};

struct binder
{
  const struct bb_node *root;
  struct bb_settings_faults *faults;
  uint32_t schema_declared; /* schema version that the files declare; 0: one
                               that is not supported */
};

static const char *
section_name_at (const void *arg, size_t i)
{
  (void)arg;
  return bb_sections[i].name;
}

static const char *
field_name_at (const void *arg, size_t i)
{
  return ((const struct bb_field *)arg)[i].name;
}

static const char *
enum_value_at (const void *arg, size_t i)
{
  return ((const char *const *)arg)[i];
}

/* Returns the name of the next item, or NULL at the end.  ARG points to the
   pointer to that item, which each call advances; I is not used.  */
static const char *
item_name_at (const void *arg, size_t i)
{
  const struct bb_node **at = (const struct bb_node **)arg;
  const struct bb_node *c = *at;

  (void)i;
  if (!c)
    return NULL;
  *at = c->next;
  return c->key;
}

/* Returns the name of the item of SECTION that is most similar to WORD, or
   NULL if none is similar.  Does not search once there are more than
   SUGGESTION_FAULTS_MAX faults, since each search reads the whole section.  */
static const char *
nearest_item_name (const struct binder *b, const struct bb_node *section,
                   const char *word)
{
  const struct bb_node *item = section ? section->children : NULL;

  if (b->faults->count > SUGGESTION_FAULTS_MAX)
    return NULL;
  return bb_nearest_name (word, item_name_at, &item);
}

/* Reports that the key of N is unknown.  SUGGESTION is a similar known name,
   or NULL.  */
static void
report_unknown (struct binder *b, const struct bb_node *n, const char *kind,
                const char *suggestion)
{
  if (suggestion)
    bb_settings_faults_add (b->faults, n->file, n->line,
                            "unknown %s '%s'; did you mean '%s'?", kind,
                            n->key, suggestion);
  else
    bb_settings_faults_add (b->faults, n->file, n->line, "unknown %s '%s'",
                            kind, n->key);
}

static bool
parse_u32 (struct binder *b, const struct bb_node *n, const struct bb_field *f,
           uint32_t *out)
{
  char *end;
  unsigned long long v = strtoull (n->value, &end, 10);

  if (!isdigit ((unsigned char)n->value[0]) || *end || n->quoted)
    {
      bb_settings_faults_add (
          b->faults, n->file, n->line,
          "%s: '%s' is not a whole number; write one from %u to %u", f->name,
          n->value, f->min, f->max);
      return false;
    }
  if (v < f->min || v > f->max)
    {
      bb_settings_faults_add (
          b->faults, n->file, n->line,
          "%s: %s is out of range; write a number from %u to %u", f->name,
          n->value, f->min, f->max);
      return false;
    }
  *out = (uint32_t)v;
  return true;
}

static bool
parse_enum (struct binder *b, const struct bb_node *n,
            const struct bb_field *f, uint32_t *out)
{
  const char *suggestion;

  for (uint32_t i = 0; f->words[i]; i++)
    if (strcmp (f->words[i], n->value) == 0)
      {
        *out = i;
        return true;
      }
  suggestion = bb_nearest_name (n->value, enum_value_at, f->words);
  bb_settings_faults_add (b->faults, n->file, n->line,
                          "%s: unknown value '%s'; write '%s'", f->name,
                          n->value, suggestion ? suggestion : f->words[0]);
  return false;
}

static bool
parse_bool (struct binder *b, const struct bb_node *n,
            const struct bb_field *f, bool *out)
{
  *out = strcmp (n->value, "true") == 0;
  if (*out || strcmp (n->value, "false") == 0)
    return true;
  bb_settings_faults_add (
      b->faults, n->file, n->line,
      "%s: '%s' is neither true nor false; write one of them", f->name,
      n->value);
  return false;
}

static bool
is_sha256 (const char *text)
{
  size_t n = strlen (text);

  for (size_t i = 0; i < n; i++)
    if (!isxdigit ((unsigned char)text[i]) || isupper ((unsigned char)text[i]))
      return false;
  return n == 64;
}

static bool
check_string (struct binder *b, const struct bb_node *n,
              const struct bb_field *f)
{
  struct sockaddr_storage addr;
  const struct bb_node *section;
  const char *suggestion;

  switch (f->type)
    {
    case BB_FIELD_ADDRESS:
      if (bb_address_parse (n->value, &addr))
        return true;
      bb_settings_faults_add (
          b->faults, n->file, n->line,
          "%s: bad address '%s'; write an IP number and a port, such as "
          "127.0.0.1:8080",
          f->name, n->value);
      return false;
    case BB_FIELD_SHA256:
      if (is_sha256 (n->value))
        return true;
      bb_settings_faults_add (
          b->faults, n->file, n->line,
          "%s: not a SHA-256; write 64 lower-case hexadecimal digits",
          f->name);
      return false;
    case BB_FIELD_REF:
      section = bb_node_child (b->root, f->ref);
      if (section && bb_node_child (section, n->value))
        return true;
      suggestion = nearest_item_name (b, section, n->value);
      bb_settings_faults_add (
          b->faults, n->file, n->line, "%s: '%s' is not one of %s; %s%s%s",
          f->name, n->value, f->ref,
          suggestion ? "did you mean '" : "add it there",
          suggestion ? suggestion : "", suggestion ? "'?" : "");
      return false;
    default:
      if (*n->value)
        return true;
      bb_settings_faults_add (b->faults, n->file, n->line,
                              "%s: the value is empty", f->name);
      return false;
    }
}

static void
bind_value (struct binder *b, const struct bb_node *n,
            const struct bb_field *f, char *item)
{
  void *at = item + f->offset;

  if (n->kind != BB_NODE_SCALAR)
    {
      bb_settings_faults_add (b->faults, n->file, n->line,
                              "%s: wrong type; write a single value", f->name);
      return;
    }
  switch (f->type)
    {
    case BB_FIELD_U32:
      parse_u32 (b, n, f, at);
      break;
    case BB_FIELD_BOOL:
      parse_bool (b, n, f, at);
      break;
    case BB_FIELD_ENUM:
      parse_enum (b, n, f, at);
      break;
    default:
      if (check_string (b, n, f))
        *(char **)at = strdup (n->value);
      break;
    }
}

static const struct bb_field *
find_field (const struct bb_section *s, const char *name)
{
  for (const struct bb_field *f = s->fields; f->name; f++)
    if (strcmp (f->name, name) == 0)
      return f;
  return NULL;
}

/* Returns whether the declared schema version has the field or section N,
   which version SINCE added.  Reports a fault if not.  */
static bool
check_schema_has (struct binder *b, const struct bb_node *n, uint32_t since)
{
#ifdef BB_MUTANT_settings_since
  since = 0;
#endif
  if (since <= b->schema_declared)
    return true;
  bb_settings_faults_add (
      b->faults, n->file, n->line,
      "%s: not in schema %u; write 'schema: %u' once all processes "
      "support it",
      n->key, b->schema_declared, since);
  return false;
}

/* Returns the schema version that the files declare, 1 if they declare none,
   or 0 after reporting a fault if it is not from 1 to SCHEMA_MAX.  */
static uint32_t
declared_schema (struct binder *b, uint32_t schema_max)
{
  const struct bb_node *n = bb_node_child (b->root, "schema");
  struct bb_field f = { .name = "schema", .min = 1, .max = schema_max };
  uint32_t schema = 1;

  if (!n)
    return schema;
  if (n->kind != BB_NODE_SCALAR)
    bb_settings_faults_add (b->faults, n->file, n->line,
                            "schema: wrong type; write a number from 1 to %u",
                            schema_max);
  else if (parse_u32 (b, n, &f, &schema))
    return schema;
  return 0;
}

static void
bind_item (struct binder *b, const struct bb_section *s,
           const struct bb_node *map, char *item)
{
  *(char **)item = strdup (map->key);
  if (strlen (map->key) > BB_HELLO_NAME_MAX_BYTES || !*map->key)
    bb_settings_faults_add (b->faults, map->file, map->line,
                            "a name is empty or too long; write 1 to %d bytes",
                            BB_HELLO_NAME_MAX_BYTES);
  if (map->kind != BB_NODE_MAP)
    {
      bb_settings_faults_add (b->faults, map->file, map->line,
                              "%s: wrong type; write a mapping of fields",
                              map->key);
      return;
    }
  for (const struct bb_node *n = map->children; n; n = n->next)
    {
      const struct bb_field *f = find_field (s, n->key);
      if (f && check_schema_has (b, n, f->since))
        bind_value (b, n, f, item);
      else if (!f)
        report_unknown (b, n, "field",
                        bb_nearest_name (n->key, field_name_at, s->fields));
    }
  for (const struct bb_field *f = s->fields; f->name; f++)
    {
      struct bb_node fallback = { .kind = BB_NODE_SCALAR,
                                  .value = (char *)f->fallback,
                                  .file = map->file,
                                  .line = map->line };
      if (bb_node_child (map, f->name))
        continue;
      if (f->required)
        bb_settings_faults_add (b->faults, map->file, map->line,
                                "%s: field '%s' is missing", map->key,
                                f->name);
      else if (f->fallback)
        bind_value (b, &fallback, f, item);
    }
}

static void
bind_section (struct binder *b, const struct bb_section *s,
              const struct bb_node *map, struct bb_settings *out)
{
  uint32_t count = map->children_count;
  char *items = calloc (count ? count : 1, s->item_size);
  char *item = items;

  *(void **)((char *)out + s->items_offset) = items;
  *(uint32_t *)((char *)out + s->count_offset) = count;
  if (map->kind != BB_NODE_MAP)
    {
      bb_settings_faults_add (
          b->faults, map->file, map->line,
          "%s: wrong type; write a mapping from names to items", map->key);
      *(uint32_t *)((char *)out + s->count_offset) = 0;
      return;
    }
  for (const struct bb_node *n = map->children; n; n = n->next)
    {
      bind_item (b, s, n, item);
      item += s->item_size;
    }
}

/* Reports each customer that has the same key as an earlier one.  */
static void
check_duplicate_keys (struct binder *b)
{
  const struct bb_node *customers = bb_node_child (b->root, "customers");
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (const struct bb_node *c = customers ? customers->children : NULL; c;
       c = c->next)
    {
      const struct bb_node *key = bb_node_child (c, "key_sha256");
      const char *other;
      if (!key || key->kind != BB_NODE_SCALAR)
        continue;
      other = g_hash_table_lookup (seen, key->value);
      if (other)
        bb_settings_faults_add (
            b->faults, key->file, key->line,
            "key_sha256: '%s' has the same key; give each customer a "
            "key of its own",
            other);
      else if (c->key)
        g_hash_table_insert (seen, key->value, c->key);
    }
  g_hash_table_destroy (seen);
}

/* Reports routes to a pool without upstreams.  */
static void
check_route_pools (struct binder *b)
{
  const struct bb_node *upstreams = bb_node_child (b->root, "upstreams");
  const struct bb_node *routes = bb_node_child (b->root, "routes");
  GHashTable *pools = g_hash_table_new (g_str_hash, g_str_equal);

  for (const struct bb_node *u = upstreams ? upstreams->children : NULL; u;
       u = u->next)
    {
      const struct bb_node *pool = bb_node_child (u, "pool");
      if (pool && pool->kind == BB_NODE_SCALAR)
        g_hash_table_add (pools, pool->value);
    }
  for (const struct bb_node *r = routes ? routes->children : NULL; r;
       r = r->next)
    {
      const struct bb_node *pool = bb_node_child (r, "pool");
      if (pool && pool->kind == BB_NODE_SCALAR && *pool->value
          && !g_hash_table_contains (pools, pool->value))
        bb_settings_faults_add (
            b->faults, pool->file, pool->line,
            "pool: no upstream is in '%s'; write the pool of an upstream",
            pool->value);
    }
  g_hash_table_destroy (pools);
}

static const struct bb_section *
find_section (const char *name)
{
  for (const struct bb_section *s = bb_sections; s->name; s++)
    if (strcmp (s->name, name) == 0)
      return s;
  return NULL;
}

struct bb_settings *
bb_settings_parse (const struct bb_settings_files *files,
                   struct bb_settings_faults *faults)
{
  return bb_settings_parse_for_schema (files, BB_SCHEMA_VERSION, faults);
}

struct bb_settings *
bb_settings_parse_for_schema (const struct bb_settings_files *files,
                              uint32_t schema_max,
                              struct bb_settings_faults *faults)
{
  size_t faults_before = faults->count;
  struct bb_node *root = bb_node_merge_files (files, faults);
  struct binder b = { .root = root, .faults = faults };
  struct bb_settings *out;

  if (!root)
    return NULL;
  out = calloc (1, sizeof *out);
  b.schema_declared = declared_schema (&b, schema_max);
  for (const struct bb_node *n = root->children; n && b.schema_declared;
       n = n->next)
    {
      const struct bb_section *s = find_section (n->key);
      if (strcmp (n->key, "schema") == 0)
        continue;
      if (s && check_schema_has (&b, n, s->since))
        bind_section (&b, s, n, out);
      else if (!s)
        report_unknown (&b, n, "section",
                        bb_nearest_name (n->key, section_name_at, NULL));
    }
  check_duplicate_keys (&b);
  check_route_pools (&b);
  bb_node_free (root);
  if (faults->count == faults_before)
    {
      out->index = bb_index_new (out);
      return out;
    }
  bb_settings_free (out);
  return NULL;
}

static void
free_item (const struct bb_section *s, char *item)
{
  free (*(char **)item);
  for (const struct bb_field *f = s->fields; f->name; f++)
    if (f->type != BB_FIELD_U32 && f->type != BB_FIELD_BOOL
        && f->type != BB_FIELD_ENUM)
      free (*(char **)(item + f->offset));
}

void
bb_settings_free (struct bb_settings *s)
{
  if (!s)
    return;
  bb_index_free (s->index);
  for (const struct bb_section *t = bb_sections; t->name; t++)
    {
      char *items = *(char **)((char *)s + t->items_offset);
      uint32_t count = *(uint32_t *)((char *)s + t->count_offset);
      for (uint32_t i = 0; i < count; i++)
        free_item (t, items + i * t->item_size);
      free (items);
    }
  free (s);
}
