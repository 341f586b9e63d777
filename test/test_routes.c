/* Tests of the choice of a route against a naive version of it.  */

#include "bilberry/fleet.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

enum
{
  ROUTES = 120,
  REQUESTS = 20000,
  SEEDS = 5,
  TEXT_SIZE = 64
};

static const char *const hosts[]
    = { "a.example", "B.example", "b.EXAMPLE", "[fd00::1]" };
static const char *const parts[]
    = { "a", "b", "long-part", "", "x%2f", "c", "d", "e", "f", "g", "h" };

/* Writes a random path that begins with a slash.  */
static void
make_path (GRand *rand, char out[TEXT_SIZE], bool ends_with_slash)
{
  uint32_t n = (uint32_t)g_rand_int_range (rand, 1, 5);

  g_strlcpy (out, "/", TEXT_SIZE);
  for (uint32_t i = 0; i < n; i++)
    {
      g_strlcat (out, parts[g_rand_int_range (rand, 0, G_N_ELEMENTS (parts))],
                 TEXT_SIZE);
      if (ends_with_slash || i + 1 < n)
        g_strlcat (out, "/", TEXT_SIZE);
    }
}

static const char *
pick_host (GRand *rand)
{
  return hosts[g_rand_int_range (rand, 0, G_N_ELEMENTS (hosts))];
}

static const struct bb_route *
find_naively (const struct bb_config *c, const char *host, const char *path)
{
  const struct bb_route *found = NULL;

  for (guint i = 0; i < c->routes->len; i++)
    {
      const struct bb_route *r = g_ptr_array_index (c->routes, i);
      if (strcasecmp (host, r->host) == 0
          && strncmp (path, r->prefix, strlen (r->prefix)) == 0
          && (!found || strlen (r->prefix) > strlen (found->prefix)))
        found = r;
    }
  return found;
}

static struct bb_config *
make_config (GRand *rand)
{
  struct bb_config *c = bb_config_new ();

  for (uint32_t i = 0; i < ROUTES; i++)
    {
      struct bb_route *r = g_new0 (struct bb_route, 1);
      char path[TEXT_SIZE];
      make_path (rand, path, g_rand_int_range (rand, 0, 20) > 0);
      r->name = g_strdup_printf ("r%u", i);
      r->host = g_strdup (pick_host (rand));
      r->prefix = g_strdup (path);
      bb_config_add_route (c, r);
    }
  return c;
}

static void
test_naive (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct bb_config *c = make_config (rand);
      uint32_t found = 0;
      for (uint32_t i = 0; i < REQUESTS; i++)
        {
          const char *host = pick_host (rand);
          char path[TEXT_SIZE];
          g_autofree char *target = NULL;
          g_autofree char *host_and_port = g_strconcat (host, ":80", NULL);
          const struct bb_route *r;
          make_path (rand, path, g_rand_boolean (rand));
          target = g_strconcat (path, i % 3 == 0 ? "?q=/a/b/" : "", NULL);
          r = bb_config_find_route (
              c, bb_bytes_of (i % 2 == 0 ? host : host_and_port),
              bb_bytes_of (target));
          g_assert_true (r == find_naively (c, host, path));
          found += r != NULL;
        }
      g_test_message ("seed %u: %u of %u found", seed, found, REQUESTS);
      bb_config_unref (c);
      g_rand_free (rand);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/routes/naive", test_naive);
  return g_test_run ();
}
