/* Which upstream has an address.  Until the registration of an upstream that
   has ended expires, another one may be registered at its address.  */

#include "edge.h"

struct address
{
  char *text; /* host:port */
  uint32_t uses;
  int64_t last_start_unix_ms; /* of the upstreams that claim it; 0: not
                                 known */
};

void
address_claim (const struct edge *e, struct address *a,
               const struct bb_upstream *u)
{
#ifndef BB_MUTANT_address_unknown
  if (!e->config || !bb_config_find_pool (e->config, u->pool))
    return;
#endif
  a->last_start_unix_ms = MAX (a->last_start_unix_ms, u->started_unix_ms);
}

void
address_forget_claims (struct edge *e)
{
  GHashTableIter it;
  void *a;

  g_hash_table_iter_init (&it, e->addresses);
  while (g_hash_table_iter_next (&it, NULL, &a))
    ((struct address *)a)->last_start_unix_ms = 0;
}

struct address *
address_use (struct edge *e, const struct bb_upstream *u)
{
  struct address *a = g_hash_table_lookup (e->addresses, u->address);

  if (!a)
    {
      a = g_new0 (struct address, 1);
      a->text = g_strdup (u->address);
      g_hash_table_insert (e->addresses, a->text, a);
    }
  a->uses++;
  address_claim (e, a, u);
  return a;
}

void
address_drop (struct edge *e, struct address *a)
{
  if (--a->uses > 0)
    return;
  g_hash_table_remove (e->addresses, a->text);
  g_free (a->text);
  g_free (a);
}

bool
address_is_taken_over (const struct address *a, const struct bb_upstream *u)
{
#ifdef BB_MUTANT_address_start
  return false;
#endif
  return u->started_unix_ms != 0 && u->started_unix_ms < a->last_start_unix_ms;
}

void
address_note_gone (struct address *a, const struct bb_upstream *u)
{
#ifndef BB_MUTANT_address_gone
  if (u->started_unix_ms >= a->last_start_unix_ms)
    a->last_start_unix_ms = 0;
#endif
}
