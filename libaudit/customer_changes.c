/* Compares customers and their keys with those in force.  */

#include "internal.h"

#include <string.h>

/* Returns the customers of C by name.  The caller unrefs the table.  */
static GHashTable *
customers_by_name (const struct bb_config *c)
{
  GHashTable *customers = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < c->customers->len; i++)
    {
      struct bb_fleet_customer *customer = g_ptr_array_index (c->customers, i);
      if (!g_hash_table_contains (customers, customer->name))
        g_hash_table_insert (customers, customer->name, customer);
    }
  return customers;
}

/* Adds a finding of KIND for each customer of C that OTHERS lacks.  */
static void
add_unpaired (struct bb_findings *out, enum bb_finding_kind kind,
              const char *text, const struct bb_config *c, GHashTable *others)
{
  for (guint i = 0; i < c->customers->len; i++)
    {
      struct bb_fleet_customer *customer = g_ptr_array_index (c->customers, i);
      if (!g_hash_table_contains (others, customer->name))
        bb_findings_add (out, kind, BB_PLACE_CUSTOMER, customer->name, "%s",
                         text);
    }
}

static void
compare_priority (struct bb_findings *out,
                  const struct bb_fleet_customer *before,
                  const struct bb_fleet_customer *customer)
{
  if (before->priority == customer->priority)
    return;
  if (customer->priority < 0)
    bb_findings_add (out, BB_FINDING_CUSTOMER_PRIORITY, BB_PLACE_CUSTOMER,
                     customer->name, "priority of the route, was %d",
                     before->priority);
  else if (before->priority < 0)
    bb_findings_add (out, BB_FINDING_CUSTOMER_PRIORITY, BB_PLACE_CUSTOMER,
                     customer->name, "priority %d, was that of the route",
                     customer->priority);
  else
    bb_findings_add (out, BB_FINDING_CUSTOMER_PRIORITY, BB_PLACE_CUSTOMER,
                     customer->name, "priority %d, was %d", customer->priority,
                     before->priority);
}

/* A key of one configuration that the other one lacks, or has of another
   customer.  */
struct key_change
{
  enum bb_finding_kind kind;
  const char *customer;
  const char *customer_before; /* of a key that moves */
  char label[BB_KEY_LABEL_BYTES];
};

static gint
compare_key_changes (const void *a, const void *b)
{
  const struct key_change *x = a;
  const struct key_change *y = b;
  int order = strcmp (x->customer, y->customer);

  if (order == 0)
    order = (int)x->kind - (int)y->kind;
  return order != 0 ? order : strcmp (x->label, y->label);
}

static void
append_key_change (GArray *changes, enum bb_finding_kind kind, const char *key,
                   const char *customer, const char *customer_before)
{
  struct key_change k = { .kind = kind,
                          .customer = customer,
                          .customer_before = customer_before };

  bb_key_label (key, k.label);
  g_array_append_val (changes, k);
}

/* Appends the change of KEY, which OWNER has now, and OWNER_BEFORE, which may
   be NULL, had before.  */
static void
append_if_changed (GArray *changes, const char *key,
                   const struct bb_fleet_customer *owner,
                   const struct bb_fleet_customer *owner_before)
{
  if (!owner_before)
    append_key_change (changes, BB_FINDING_KEY_ADDED, key, owner->name, "");
  else if (strcmp (owner->name, owner_before->name) != 0)
    append_key_change (changes, BB_FINDING_KEY_MOVED, key, owner->name,
                       owner_before->name);
}

static GArray *
collect_key_changes (const struct bb_config *before, const struct bb_config *c)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct key_change));
  GHashTableIter iter;
  void *key;
  void *p;

  g_hash_table_iter_init (&iter, c->keys);
  while (g_hash_table_iter_next (&iter, &key, &p))
    append_if_changed (changes, key, p,
                       g_hash_table_lookup (before->keys, key));
  g_hash_table_iter_init (&iter, before->keys);
  while (g_hash_table_iter_next (&iter, &key, &p))
    {
      const struct bb_fleet_customer *owner_before = p;
      if (!g_hash_table_contains (c->keys, key))
        append_key_change (changes, BB_FINDING_KEY_REMOVED, key,
                           owner_before->name, "");
    }
  g_array_sort (changes, compare_key_changes);
  return changes;
}

static void
compare_keys (struct bb_findings *out, const struct bb_config *before,
              const struct bb_config *c)
{
  GArray *changes = collect_key_changes (before, c);

  for (guint i = 0; i < changes->len; i++)
    {
      const struct key_change *k
          = &g_array_index (changes, struct key_change, i);
      if (k->kind == BB_FINDING_KEY_MOVED)
        bb_findings_add (out, k->kind, BB_PLACE_CUSTOMER, k->customer,
                         "key with hash %s, was of customer %s", k->label,
                         k->customer_before);
      else
        bb_findings_add (out, k->kind, BB_PLACE_CUSTOMER, k->customer,
                         "key with hash %s %s", k->label,
                         k->kind == BB_FINDING_KEY_ADDED ? "added"
                                                         : "removed");
    }
  g_array_unref (changes);
}

void
compare_customers (struct audit *a)
{
  const struct bb_config *before = a->options->in_force;
  const struct bb_config *c = a->config;
  GHashTable *old_names = customers_by_name (before);
  GHashTable *names = customers_by_name (c);

  if (before->has_customers != c->has_customers)
    bb_findings_add (a->out, BB_FINDING_KEYS_NEEDED, BB_PLACE_FILE, NULL, "%s",
                     c->has_customers ? "routes that are not public need a key"
                                      : "no route needs a key any more");
  add_unpaired (a->out, BB_FINDING_CUSTOMER_REMOVED, "removed", before, names);
  add_unpaired (a->out, BB_FINDING_CUSTOMER_ADDED, "added", c, old_names);
  for (guint i = 0; i < c->customers->len; i++)
    {
      const struct bb_fleet_customer *customer
          = g_ptr_array_index (c->customers, i);
      const struct bb_fleet_customer *old
          = g_hash_table_lookup (old_names, customer->name);
      if (old)
        compare_priority (a->out, old, customer);
    }
  compare_keys (a->out, before, c);
  g_hash_table_unref (old_names);
  g_hash_table_unref (names);
}
