/* The upstreams that this edge knows, and how long it remembers them.  One
   that registers again as another process, or elsewhere, gets a new target, so
   that nothing learned of the old one counts for it.

   A target is freed by on_free_timer alone, which only the event loop calls.
   So a pointer to a target is valid until the function that has it returns to
   the event loop.  What keeps one for longer, as a request in flight or a
   crash check, holds the target: see target_hold.  */

#include "edge.h"

#include <jansson.h>

#include "bilberry/settings.h"

#include <string.h>
#include <xxhash.h>

enum
{
  LAPSE_KEEP_MS = 2000, /* how long after the store recovers an upstream whose
                           registration expired meanwhile stays in use */
  /* How long an upstream that has left is remembered, as a
     multiple of bounds.drain-ms.  */
  REMEMBERED_DRAINS = 5,
  FREE_INTERVAL_MS = 50
};

static uv_timer_t free_timer;
static GPtrArray *replaced; /* targets that are neither in the table nor in the
                               list, and are freed once nothing holds them */

struct target *
targets_find (const struct edge *e, const char *id)
{
  return g_hash_table_lookup (e->targets, id);
}

void
target_hold (struct target *t)
{
  t->holds++;
}

void
target_release (struct target *t)
{
  t->holds--;
}

static struct target *
add_target (struct edge *e, struct bb_upstream *u)
{
  struct sockaddr_storage addr;
  struct target *t;

  if (!bb_address_parse (u->address, &addr))
    return NULL;
  t = g_new0 (struct target, 1);
  t->id = g_strdup (u->id);
  t->record = u;
  t->address = address_use (e, u);
  rest_apply_record (t, true);
  t->id_hash = XXH64 (u->id, strlen (u->id), 0);
  t->connections = bb_h1_pool_new (e->loop, &addr, CONNECT_TIMEOUT_MS);
  bb_h1_pool_set_memory (t->connections, &e->memory);
  g_hash_table_insert (e->targets, t->id, t);
  g_ptr_array_add (e->target_list, t);
  e->peer_loads_changed = true;
  return t;
}

static void
remove_target (struct edge *e, struct target *t)
{
  g_hash_table_remove (e->targets, t->id);
  g_ptr_array_remove_fast (e->target_list, t);
}

static void
free_target (struct edge *e, struct target *t)
{
  bb_h1_pool_free (t->connections);
  address_drop (e, t->address);
  bb_upstream_free (t->record);
  g_free (t->id);
  g_free (t);
}

static bool
is_held (const struct target *t)
{
#ifdef BB_MUTANT_target_held
  return false;
#endif
  return t->holds > 0;
}

static bool
is_forgotten (const struct edge *e, const struct target *t)
{
  bb_ms keep_ms = e->settings->drain_ms * REMEMBERED_DRAINS;

  return !is_held (t) && t->retire_at_ms != 0
         && edge_now (e) >= t->retire_at_ms + keep_ms;
}

static void
on_free_timer (uv_timer_t *timer)
{
  struct edge *e = timer->data;

  for (guint i = e->target_list->len; i-- > 0;)
    {
      struct target *t = g_ptr_array_index (e->target_list, i);
      if (!is_forgotten (e, t))
        continue;
      remove_target (e, t);
      free_target (e, t);
    }
  for (guint i = replaced->len; i-- > 0;)
    if (!is_held (g_ptr_array_index (replaced, i)))
      free_target (e, g_ptr_array_remove_index_fast (replaced, i));
}

/* T registered again as U, the same process, and U becomes its record.  After
   a removal that is newer evidence than the failures before.  */
static void
renew_target (struct target *t, struct bb_upstream *u)
{
  /* Nothing tells whether it has started anew.  */
  bool may_be_new = u->started_unix_ms == 0 && t->retire_at_ms != 0;

#ifdef BB_MUTANT_target_freed
  on_free_timer (&free_timer);
#endif
  if (t->retire_at_ms != 0)
    {
      bb_h1_pool_drop_idle (t->connections);
      memset (&t->ejection, 0, sizeof t->ejection);
    }
  bb_upstream_free (t->record);
  t->record = u;
  t->retire_at_ms = 0;
  rest_apply_record (t, may_be_new);
}

static void
replace_target (struct edge *e, struct target *t)
{
  remove_target (e, t);
  bb_h1_pool_drop_idle (t->connections);
  g_ptr_array_add (replaced, t);
}

static void
apply_record (struct edge *e, const char *id, GBytes *value,
              bb_revision revision, const char *source)
{
  struct target *t = targets_find (e, id);
  const char *error = NULL;
  struct bb_upstream *u = bb_upstream_decode (id, value, revision, &error);

  if (!u)
    {
      bb_counter ("bilberry_items_unusable_total", "kind=\"upstream\"")
          ->value++;
      bb_log_event ("upstream_unusable", "{s:s, s:s, s:I, s:I, s:s}",
                    "upstream", id, "source", source,
                    BB_LOG_REVISION (revision), "why", error);
      if (t)
        t->retire_at_ms = edge_now (e);
      return;
    }
  bb_log_event ("upstream", "{s:s, s:s, s:s, s:s, s:b, s:i, s:I, s:I}",
                "upstream", id, "source", source, "pool", u->pool, "address",
                u->address, "draining", u->draining, "cold_left_ms",
                (int)u->cold_left_ms, BB_LOG_REVISION (revision));
  if (t && bb_upstream_is_same_process (t->record, u))
    {
      renew_target (t, u);
      return;
    }
  if (t)
    replace_target (e, t);
  if (!add_target (e, u))
    bb_upstream_free (u);
}

static void
apply_removal (struct edge *e, const char *id, bb_revision revision,
               const char *source)
{
  struct target *t = targets_find (e, id);
  bb_ms now = edge_now (e);
  bool lapsed;

  if (!t || t->retire_at_ms != 0)
    return;
  address_note_gone (t->address, t->record);
  lapsed = !t->leaving && e->store_recovered_ms > 0
           && now - e->store_recovered_ms < LAPSE_KEEP_MS;
  t->retire_at_ms = lapsed ? e->store_recovered_ms + LAPSE_KEEP_MS : now;
  /* The upstream may have left for good, even if its registration seems to
     have expired: stop sending to it well within drain_ms from now.  */
  if (t->retire_at_ms > now + e->settings->drain_ms / 2)
    t->retire_at_ms = now + e->settings->drain_ms / 2;
  if (t->retire_at_ms < 1)
    t->retire_at_ms = 1;
  bb_log_event ("upstream_gone", "{s:s, s:s, s:I, s:I, s:b}", "upstream", id,
                "source", source, BB_LOG_REVISION (revision), "lapsed",
                lapsed);
}

void
targets_apply (struct edge *e, const char *id, GBytes *value,
               bb_revision revision, const char *source)
{
  if (value)
    apply_record (e, id, value, revision, source);
  else
    apply_removal (e, id, revision, source);
}

void
targets_apply_config (struct edge *e)
{
  address_forget_claims (e);
  for (guint i = 0; i < e->target_list->len; i++)
    {
      const struct target *t = g_ptr_array_index (e->target_list, i);
      if (t->retire_at_ms == 0)
        address_claim (e, t->address, t->record);
    }
}

void
targets_init (struct edge *e)
{
  e->targets = g_hash_table_new (g_str_hash, g_str_equal);
  e->target_list = g_ptr_array_new ();
  e->addresses = g_hash_table_new (g_str_hash, g_str_equal);
  replaced = g_ptr_array_new ();
  uv_timer_init (e->loop, &free_timer);
  free_timer.data = e;
#ifndef BB_MUTANT_target_freed
  uv_timer_start (&free_timer, on_free_timer, FREE_INTERVAL_MS,
                  FREE_INTERVAL_MS);
#endif
}
