/* Tests of the view, an edge's copy of the store, where the store comes back
   from older copies of itself.  */

#include "bilberry/fleet.h"

#include <glib.h>
#include <string.h>

enum
{
  SEEDS = 500,
  KEYS = 6,
  STEPS = 60
};

static bool
put (struct bb_view *v, const char *key, const char *text, uint64_t era,
     uint64_t number)
{
  GBytes *value = text ? g_bytes_new (text, strlen (text)) : NULL;
  bool changed = bb_view_put (v, key, value, bb_revision_of (era, number));

  if (value)
    g_bytes_unref (value);
  return changed;
}

/* Returns the text of KEY, "" where it was removed or is not known.  The
   caller frees it.  */
static char *
text_of (const struct bb_view *v, const char *key)
{
  const struct bb_item *i = g_hash_table_lookup (v->items, key);
  gsize size = 0;
  const char *data = i && i->value ? g_bytes_get_data (i->value, &size) : "";

  return g_strndup (data, size);
}

static void
check (const struct bb_view *v, const char *key, const char *text)
{
  g_autofree char *seen = text_of (v, key);

  g_assert_cmpstr (seen, ==, text);
}

/* Of two revisions that of the later era is newer, whatever its number.  */
static void
test_revision (void)
{
  bb_revision a = bb_revision_of (1, 900);
  bb_revision b = bb_revision_of (2, 7);

  g_assert_cmpuint (b, >, a);
  g_assert_cmpuint (bb_revision_era (b), ==, 2);
  g_assert_cmpuint (bb_revision_number (b), ==, 7);
  /* A store without eras.  */
  g_assert_cmpuint (bb_revision_of (0, 900), ==, 900);
}

/* A configuration of a lower version replaces none, one of the same or a
   higher version does.  */
static void
test_config_back (void)
{
  struct bb_config *in_force = bb_config_new ();
  struct bb_config *next = bb_config_new ();

  in_force->version = 7;
  next->version = 6;
  g_assert_true (bb_config_may_replace (next, NULL));
  g_assert_false (bb_config_may_replace (next, in_force));
  next->version = 7;
  g_assert_true (bb_config_may_replace (next, in_force));
  next->version = 8;
  g_assert_true (bb_config_may_replace (next, in_force));
  bb_config_unref (next);
  bb_config_unref (in_force);
}

/* What the copy has does not replace what is newer; what is written in the new
   era does, at a number that was given out before.  */
static void
test_copy (void)
{
  struct bb_view *v = bb_view_new ();

  put (v, "k", "old", 1, 10);
  put (v, "k", "new", 1, 20);
  g_assert_false (put (v, "k", "old", 2, 10));
  check (v, "k", "new");
  /* The same again, and late answers of the earlier era.  */
  g_assert_false (put (v, "k", "old", 2, 10));
  g_assert_false (put (v, "k", "new", 1, 20));
  g_assert_false (put (v, "k", "late", 1, 99));
  check (v, "k", "new");
  g_assert_true (put (v, "k", "written", 2, 15));
  check (v, "k", "written");
  bb_view_free (v);
}

/* What was removed after the copy does not come back by it.  */
static void
test_removed (void)
{
  struct bb_view *v = bb_view_new ();

  put (v, "k", "old", 1, 10);
  put (v, "k", NULL, 1, 20);
  g_assert_false (put (v, "k", "old", 2, 10));
  check (v, "k", "");
  g_assert_true (put (v, "k", "again", 2, 18));
  check (v, "k", "again");
  bb_view_free (v);
}

static GHashTable *
set_of (const char *key)
{
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);

  if (key)
    g_hash_table_add (keys, (char *)key);
  return keys;
}

/* What the copy lacks stays until it is released; then the store's word
   counts, also for what the copy has otherwise.  */
static void
test_release (void)
{
  struct bb_view *v = bb_view_new ();
  g_autoptr (GHashTable) keys = set_of ("k");
  g_autoptr (GPtrArray) missing = NULL;

  put (v, "k", "old", 1, 10);
  put (v, "k", "new", 1, 20);
  put (v, "late", "x", 1, 21);
  put (v, "k", "old", 2, 10);
  bb_view_hold_missing (v, keys, bb_revision_of (2, 12));
  check (v, "late", "x");
  /* Still missing in a later listing.  */
  missing = bb_view_missing (v, keys, bb_revision_of (2, 14));
  g_assert_cmpuint (missing->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (missing, 0), ==, "late");
  g_assert_false (put (v, "k", "old", 2, 10));
  bb_view_release_held (v);
  g_assert_true (put (v, "k", "old", 2, 10));
  check (v, "k", "old");
  bb_view_free (v);
}

/* A second return, from the same copy, shortly after the first.  */
static void
test_twice (void)
{
  struct bb_view *v = bb_view_new ();

  put (v, "k", "old", 1, 10);
  put (v, "k", "new", 1, 20);
  put (v, "k", "old", 2, 10);
  put (v, "k", "old", 3, 10);
  check (v, "k", "new");
  g_assert_true (put (v, "k", "written", 3, 11));
  g_assert_false (put (v, "k", "late", 2, 40));
  check (v, "k", "written");
  bb_view_free (v);
}

static enum bb_verdict
tell (struct bb_view *v, const char *key, const char *text, uint64_t era,
      uint64_t number)
{
  g_autoptr (GBytes) value = text ? g_bytes_new (text, strlen (text)) : NULL;
  struct bb_item told = { .key = (char *)key,
                          .value = value,
                          .revision = bb_revision_of (era, number) };

  return bb_view_take (v, &told, BB_SOURCE_PEER);
}

/* Guards against peers that bring back what the store has told to be gone, by
   a listing or by a watch after it; what the store cannot have told yet is
   believed.  */
static void
test_gone (void)
{
  struct bb_view *v = bb_view_new ();

  g_assert_cmpint (tell (v, "before", "x", 1, 3), ==, BB_VERDICT_NEWS);
  put (v, "k", "listed", 1, 9);
  bb_view_settle (v, 0, bb_revision_of (1, 10));
  g_assert_true (bb_view_is_gone (v, "a", bb_revision_of (1, 10)));
  g_assert_false (bb_view_is_gone (v, "a", bb_revision_of (1, 11)));
  g_assert_false (bb_view_is_gone (v, "k", bb_revision_of (1, 9)));
  g_assert_cmpint (tell (v, "a", "x", 1, 10), ==, BB_VERDICT_GONE);
  g_assert_cmpint (tell (v, "k", "x", 1, 10), ==, BB_VERDICT_GONE);
  check (v, "a", "");
  check (v, "k", "listed");
  g_assert_cmpint (tell (v, "a", "x", 1, 11), ==, BB_VERDICT_NEWS);
  g_assert_cmpint (tell (v, "k", NULL, 1, 12), ==, BB_VERDICT_NEWS);
  /* A watch after a gap tells less than it seems.  */
  bb_view_settle (v, bb_revision_of (1, 15), bb_revision_of (1, 20));
  g_assert_cmpint (tell (v, "b", "x", 1, 13), ==, BB_VERDICT_NEWS);
  bb_view_settle (v, bb_revision_of (1, 10), bb_revision_of (1, 20));
  g_assert_cmpint (tell (v, "c", "x", 1, 20), ==, BB_VERDICT_GONE);
  bb_view_free (v);
}

/* Guards against refusing what the store may have lost with its copy: it is
   held until a later listing.  */
static void
test_unsettled (void)
{
  struct bb_view *v = bb_view_new ();
  g_autoptr (GHashTable) keys = set_of (NULL);
  g_autoptr (GPtrArray) missing = NULL;

  bb_view_settle (v, 0, bb_revision_of (2, 10));
  g_assert_cmpint (tell (v, "k", "lost", 1, 20), ==, BB_VERDICT_UNSETTLED);
  check (v, "k", "lost");
  g_assert_cmpint (tell (v, "k", "lost", 1, 20), ==, BB_VERDICT_KNOWN);
  g_assert_cmpint (tell (v, "l", NULL, 1, 20), ==, BB_VERDICT_NEWS);
  missing = bb_view_missing (v, keys, bb_revision_of (2, 11));
  g_assert_cmpuint (missing->len, ==, 1);
  g_assert_true (put (v, "k", NULL, 2, 11));
  bb_view_free (v);
}

/* Guards against refusing what a peer holds as the store may have lost it: a
   listing in the new era, before or after, does not settle that.  */
static void
test_held_by_peer (void)
{
  struct bb_view *v = bb_view_new ();
  g_autoptr (GBytes) value = g_bytes_new_static ("held", 4);
  struct bb_item told = {
    .key = "a", .value = value, .revision = bb_revision_of (2, 9), .held = true
  };

  put (v, "k", "copy", 2, 9);
  put (v, "written", "again", 2, 10);
  put (v, "removed", "x", 2, 5);
  put (v, "removed", NULL, 2, 10);
  bb_view_settle (v, 0, bb_revision_of (2, 10));
  g_assert_cmpint (bb_view_take (v, &told, BB_SOURCE_PEER), ==,
                   BB_VERDICT_UNSETTLED);
  told.key = "k";
  g_assert_cmpint (bb_view_take (v, &told, BB_SOURCE_PEER), ==,
                   BB_VERDICT_UNSETTLED);
  check (v, "k", "held");
  g_assert_cmpint (bb_view_take (v, &told, BB_SOURCE_PEER), ==,
                   BB_VERDICT_KNOWN);
  told.key = "written";
  g_assert_cmpint (bb_view_take (v, &told, BB_SOURCE_PEER), ==,
                   BB_VERDICT_KNOWN);
  told.key = "removed";
  g_assert_cmpint (bb_view_take (v, &told, BB_SOURCE_PEER), ==,
                   BB_VERDICT_KNOWN);
  bb_view_free (v);
}

/* Guards against what stays held although a listing lacks it, since nothing
   was written to the store between its listings.  */
static void
test_missing_unchanged (void)
{
  struct bb_view *v = bb_view_new ();
  g_autoptr (GHashTable) keys = set_of (NULL);
  g_autoptr (GPtrArray) missing = NULL;
  bb_revision revision = bb_revision_of (2, 10);

  put (v, "k", "lost", 1, 20);
  g_assert_cmpuint (bb_view_hold_missing (v, keys, revision), ==, 1);
  missing = bb_view_missing (v, keys, revision);
  g_assert_cmpuint (missing->len, ==, 1);
  g_assert_true (put (v, "k", NULL, 2, 10));
  check (v, "k", "");
  g_assert_false (put (v, "k", NULL, 2, 10));
  bb_view_free (v);
}

/* A store, the values of its keys counted up, and copies of it.  */
struct store
{
  uint64_t era;
  uint64_t number;
  uint64_t revisions[KEYS]; /* 0: the key was never written */
  uint32_t values[KEYS];    /* 0: removed */
};

static void
write_key (struct store *s, uint32_t k, uint32_t value)
{
  s->values[k] = value;
  s->revisions[k] = ++s->number;
}

static void
put_key (struct bb_view *v, const struct store *s, uint32_t k)
{
  char key[2] = { (char)('a' + k), '\0' };
  g_autofree char *text = g_strdup_printf ("%u", s->values[k]);

  if (s->revisions[k] > 0)
    put (v, key, s->values[k] ? text : NULL, s->era, s->revisions[k]);
}

/* Lists S into V.  */
static void
list (struct bb_view *v, const struct store *s, bool hold)
{
  g_autoptr (GHashTable) keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bb_revision revision = bb_revision_of (s->era, s->number);
  g_autoptr (GPtrArray) missing = NULL;

  for (uint32_t k = 0; k < KEYS; k++)
    if (s->values[k])
      {
        g_hash_table_add (keys, g_strdup_printf ("%c", (char)('a' + k)));
        put_key (v, s, k);
      }
  if (hold)
    {
      bb_view_hold_missing (v, keys, revision);
      return;
    }
  missing = bb_view_missing (v, keys, revision);
  for (guint i = 0; i < missing->len; i++)
    bb_view_put (v, g_ptr_array_index (missing, i), NULL, revision);
}

/* Writes, copies and returns at random.  The view follows by listings and
   single changes, gets answers of earlier eras late, and never takes a value
   back: values count up, also over a return, since they are written again.  In
   the end it has what the store has.  */
static void
play_view (uint64_t seed)
{
  GRand *rand = g_rand_new_with_seed ((uint32_t)seed);
  struct bb_view *v = bb_view_new ();
  struct store s = { .era = 1, .number = 1 };
  struct store copy = s;
  struct store stale = s;
  uint32_t latest[KEYS] = { 0 };
  uint32_t highest[KEYS] = { 0 };

  for (uint32_t i = 0; i < STEPS; i++)
    {
      uint32_t k = (uint32_t)g_rand_int_range (rand, 0, KEYS);
      switch (g_rand_int_range (rand, 0, 8))
        {
        case 0:
          copy = s;
          break;
        case 1:
          copy.era = s.era + 1;
          stale = s;
          s = copy;
          list (v, &s, true);
          break;
        case 2:
          put_key (v, &stale, k);
          break;
        case 3:
          /* What was lost is written again.  */
          if (latest[k] != s.values[k])
            write_key (&s, k, latest[k]);
          put_key (v, &s, k);
          break;
        default:
          write_key (&s, k, ++latest[k]);
          put_key (v, &s, k);
        }
      for (uint32_t n = 0; n < KEYS; n++)
        {
          char key[2] = { (char)('a' + n), '\0' };
          g_autofree char *text = text_of (v, key);
          uint32_t value = (uint32_t)g_ascii_strtoull (text, NULL, 10);
          g_assert_cmpuint (value, >=, highest[n]);
          highest[n] = value;
        }
    }
  bb_view_release_held (v);
  list (v, &s, false);
  for (uint32_t n = 0; n < KEYS; n++)
    {
      char key[2] = { (char)('a' + n), '\0' };
      g_autofree char *text
          = s.values[n] ? g_strdup_printf ("%u", s.values[n]) : g_strdup ("");
      check (v, key, text);
    }
  bb_view_free (v);
  g_rand_free (rand);
}

static void
test_runs (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      g_test_message ("seed %" G_GUINT64_FORMAT, seed);
      play_view (seed);
    }
}

/* The process of an upstream is known by its start, address and pool, not by
   its failure domain, its state or its slots.  */
static void
test_same_process (void)
{
  struct bb_upstream a = { .pool = "p",
                           .address = "1:1",
                           .failure_domain = "z",
                           .slots = 8,
                           .started_unix_ms = 7 };
  struct bb_upstream same = { .pool = "p",
                              .address = "1:1",
                              .failure_domain = "y",
                              .slots = 9,
                              .draining = true,
                              .started_unix_ms = 7 };
  struct bb_upstream other;

  g_assert_true (bb_upstream_is_same_process (&a, &same));
  other = a;
  other.started_unix_ms = 8;
  g_assert_false (bb_upstream_is_same_process (&a, &other));
  other = a;
  other.address = "1:2";
  g_assert_false (bb_upstream_is_same_process (&a, &other));
  other = a;
  other.pool = "q";
  g_assert_false (bb_upstream_is_same_process (&a, &other));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/view/revision", test_revision);
  g_test_add_func ("/view/config-back", test_config_back);
  g_test_add_func ("/view/copy", test_copy);
  g_test_add_func ("/view/removed", test_removed);
  g_test_add_func ("/view/release", test_release);
  g_test_add_func ("/view/twice", test_twice);
  g_test_add_func ("/view/gone", test_gone);
  g_test_add_func ("/view/unsettled", test_unsettled);
  g_test_add_func ("/view/held-by-peer", test_held_by_peer);
  g_test_add_func ("/view/missing-unchanged", test_missing_unchanged);
  g_test_add_func ("/view/runs", test_runs);
  g_test_add_func ("/view/same-process", test_same_process);
  return g_test_run ();
}
