/* Explores, state by state, what an edge, an agent and an edge that the store
   refuses know of one key of the store, in every order of writes, removals,
   starts of the edge, steps of its listings, watches, and messages between the
   three.  */

#include "bilberry/fleet.h"

#include <glib.h>
#include <string.h>

enum
{
  WRITES_MAX = 6, /* changes of the key in a run */
  PROCESSES = 3
};

enum process
{
  EDGE, /* lists and watches the store */
  AGENT,
  REFUSED /* an edge that the store refuses */
};

/* What a process knows of the key.  */
struct known
{
  uint8_t revision; /* 0: nothing */
  bool has_value;
};

enum listing
{
  LISTING_NONE,
  LISTING_BEGUN, /* its first page was read, without the key */
  LISTING_READ   /* the page that the key is on, or would be on, was read */
};

/* The state of all; no padding differs between equal ones, as it is zeroed. */
struct state
{
  struct known store; /* the last change of the key */
  uint8_t number;     /* of the store's last change */
  struct known known[PROCESSES];
  uint8_t settled; /* of the edge */
  uint8_t listing;
  uint8_t listing_revision;
  bool key_listed;
  bool watches;
  uint8_t watch_revision;
};

static const char key[] = "k";

/* Returns the view of process P in S; the value of the key at a revision is
   the revision itself.  */
static struct bb_view *
view_of (const struct state *s, enum process p)
{
  struct bb_view *v = bb_view_new ();
  const struct known *k = &s->known[p];
  struct bb_item *i;

  v->settled = p == EDGE ? s->settled : 0;
  if (k->revision == 0)
    return v;
  i = g_new0 (struct bb_item, 1);
  i->key = g_strdup (key);
  i->revision = k->revision;
  i->value = k->has_value ? g_bytes_new (&k->revision, 1) : NULL;
  g_hash_table_insert (v->items, i->key, i);
  return v;
}

/* Writes V to S as the view of process P, and frees V.  */
static void
save_view (struct state *s, enum process p, struct bb_view *v)
{
  const struct bb_item *i = g_hash_table_lookup (v->items, key);

  s->known[p].revision = i ? (uint8_t)i->revision : 0;
  s->known[p].has_value = i && i->value;
  if (p == EDGE)
    s->settled = (uint8_t)v->settled;
  bb_view_free (v);
}

/* Process P of S is told K by SOURCE.  */
static enum bb_verdict
tell (struct state *s, enum process p, struct known k, enum bb_source source)
{
  struct bb_view *v = view_of (s, p);
  g_autoptr (GBytes) value = k.has_value ? g_bytes_new (&k.revision, 1) : NULL;
  struct bb_item told
      = { .key = (char *)key, .value = value, .revision = k.revision };
  enum bb_verdict verdict = bb_view_take (v, &told, source);

  save_view (s, p, v);
  return verdict;
}

/* FROM sends TO what it knows, and TO replies as libpeer does.  */
static bool
exchange (struct state *s, enum process from, enum process to)
{
  struct known told = s->known[from];
  struct known before = s->known[to];
  struct known gone = { .revision = s->settled };
  enum bb_verdict verdict;

  if (told.revision == 0)
    return false;
  verdict = tell (s, to, told, BB_SOURCE_PEER);
  /* What the store cannot have told yet is believed.  */
  if (told.revision > before.revision
      && (to != EDGE || told.revision > s->settled))
    g_assert_cmpint (verdict, ==, BB_VERDICT_NEWS);
  if (verdict == BB_VERDICT_GONE)
    tell (s, from, gone, BB_SOURCE_PEER);
  if (verdict == BB_VERDICT_KNOWN && told.has_value && !s->known[to].has_value)
    tell (s, from, s->known[to], BB_SOURCE_PEER);
  return true;
}

static bool
write_key (struct state *s, bool has_value)
{
  if (s->number == WRITES_MAX || (!has_value && !s->store.has_value))
    return false;
  s->store.revision = ++s->number;
  s->store.has_value = has_value;
  return true;
}

static bool
put (struct state *s)
{
  return write_key (s, true);
}

static bool
take_away (struct state *s)
{
  return write_key (s, false);
}

static bool
start_edge (struct state *s)
{
  memset (&s->known[EDGE], 0, sizeof s->known[EDGE]);
  s->settled = 0;
  s->listing = LISTING_NONE;
  s->listing_revision = 0;
  s->key_listed = false;
  s->watches = false;
  s->watch_revision = 0;
  return true;
}

/* Also after a watch that got 410.  */
static bool
begin_listing (struct state *s)
{
  s->listing = LISTING_BEGUN;
  s->listing_revision = s->number;
  s->key_listed = false;
  s->watches = false;
  s->watch_revision = 0;
  return true;
}

static bool
list_key (struct state *s)
{
  if (s->listing != LISTING_BEGUN)
    return false;
  s->listing = LISTING_READ;
  s->key_listed = s->store.has_value;
  if (s->key_listed)
    tell (s, EDGE, s->store, BB_SOURCE_STORE);
  return true;
}

static bool
finish_listing (struct state *s)
{
  struct known missing = { .revision = s->listing_revision };
  g_autoptr (GHashTable) keys = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) lacking = NULL;
  struct bb_view *v;

  if (s->listing != LISTING_READ)
    return false;
  if (s->key_listed)
    g_hash_table_add (keys, (char *)key);
  v = view_of (s, EDGE);
  lacking = bb_view_missing (v, keys, s->listing_revision);
  save_view (s, EDGE, v);
  if (lacking->len > 0)
    tell (s, EDGE, missing, BB_SOURCE_STORE);
  v = view_of (s, EDGE);
  bb_view_settle (v, 0, s->listing_revision);
  save_view (s, EDGE, v);
  s->listing = LISTING_NONE;
  s->watches = true;
  s->watch_revision = s->listing_revision;
  s->listing_revision = 0;
  s->key_listed = false;
  return true;
}

static bool
watch (struct state *s)
{
  struct bb_view *v;

  if (!s->watches)
    return false;
  if (s->store.revision > s->watch_revision)
    tell (s, EDGE, s->store, BB_SOURCE_STORE);
  v = view_of (s, EDGE);
  bb_view_settle (v, s->watch_revision, s->number);
  save_view (s, EDGE, v);
  s->watch_revision = s->number;
  return true;
}

static bool
agent_to_edge (struct state *s)
{
  return exchange (s, AGENT, EDGE);
}

static bool
edge_to_agent (struct state *s)
{
  return exchange (s, EDGE, AGENT);
}

static bool
refused_to_edge (struct state *s)
{
  return exchange (s, REFUSED, EDGE);
}

static bool
edge_to_refused (struct state *s)
{
  return exchange (s, EDGE, REFUSED);
}

static bool
agent_to_refused (struct state *s)
{
  return exchange (s, AGENT, REFUSED);
}

static bool
refused_to_agent (struct state *s)
{
  return exchange (s, REFUSED, AGENT);
}

/* An event; returns false where it cannot happen.  */
typedef bool event_fn (struct state *s);

static event_fn *const events[] = { put,
                                    take_away,
                                    start_edge,
                                    begin_listing,
                                    list_key,
                                    finish_listing,
                                    watch,
                                    agent_to_edge,
                                    edge_to_agent,
                                    refused_to_edge,
                                    edge_to_refused,
                                    agent_to_refused,
                                    refused_to_agent };

/* Once the edge has heard all that the store has to tell, it knows what the
   store has, whatever peers have told it.  */
static void
check_edge (const struct state *s)
{
  const struct known *k = &s->known[EDGE];

  if (!s->watches || s->watch_revision != s->number)
    return;
  g_assert_cmpint (k->has_value, ==, s->store.has_value);
  if (k->has_value)
    g_assert_cmpuint (k->revision, ==, s->store.revision);
}

/* Once all have exchanged what they know as well, nobody remembers what the
   store no longer has.  */
static void
check_end (struct state s)
{
  if (!s.watches)
    {
      begin_listing (&s);
      list_key (&s);
      finish_listing (&s);
    }
  watch (&s);
  check_edge (&s);
  for (enum process p = AGENT; p <= REFUSED; p++)
    {
      exchange (&s, EDGE, p);
      exchange (&s, p, EDGE);
      g_assert_cmpint (s.known[p].has_value, ==,
                       s.store.has_value && s.known[p].revision > 0);
    }
  check_edge (&s);
}

static void
test_explore (void)
{
  g_autoptr (GHashTable) seen = g_hash_table_new_full (
      g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
  g_autoptr (GPtrArray) states
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  struct state first;

  memset (&first, 0, sizeof first);
  g_ptr_array_add (states, g_bytes_new (&first, sizeof first));
  g_hash_table_add (seen, g_bytes_new (&first, sizeof first));
  for (guint i = 0; i < states->len; i++)
    for (size_t n = 0; n < G_N_ELEMENTS (events); n++)
      {
        struct state s;
        GBytes *next;
        memcpy (&s, g_bytes_get_data (g_ptr_array_index (states, i), NULL),
                sizeof s);
        if (!events[n](&s))
          continue;
        next = g_bytes_new (&s, sizeof s);
        if (!g_hash_table_add (seen, next))
          continue;
        check_edge (&s);
        check_end (s);
        g_ptr_array_add (states, g_bytes_ref (next));
      }
  g_test_message ("%u states", states->len);
  g_assert_cmpuint (states->len, >, 1000);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/view-explore/orders", test_explore);
  return g_test_run ();
}
