/* Items that one peer told and that the others may not get otherwise: what an
   agent told, since agents tell it to one edge alone, and what is not above
   the revision up to which this process and its peers take themselves for
   complete.  They are sent to all peers, of which one may know better.  */

#include "internal.h"

void
peer_late_init (struct bb_peers *p)
{
  p->late = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
peer_late_note (const struct peer *from, const struct bb_item *told)
{
  struct bb_peers *p = from->owner;

#ifndef BB_MUTANT_late_items
  if (peer_is_agent (from) || told->revision <= p->view->revision)
    g_hash_table_add (p->late, g_strdup (told->key));
#endif
}

/* Whether the store has told I to this process, and so to others.  */
static bool
is_settled (const struct bb_view *v, const struct bb_item *i)
{
  return i->value && i->revision <= v->settled;
}

void
peer_late_send (struct bb_peers *p)
{
  g_autoptr (GPtrArray) items = g_ptr_array_new ();
  GHashTableIter it;
  void *key;

  g_hash_table_iter_init (&it, p->late);
  while (g_hash_table_iter_next (&it, &key, NULL))
    {
      struct bb_item *i = g_hash_table_lookup (p->view->items, key);
      if (i && !is_settled (p->view, i))
        g_ptr_array_add (items, i);
    }
  g_hash_table_remove_all (p->late);
  peer_send_items (p, items);
}
