/* bilberry trace - generates a synthetic trace of expert popularity.  */

#include "commands.h"

#include "bilberry/map.h"

#include <argtable2.h>
#include <string.h>

enum
{
  NUMBER_OPTIONS = 7,
  NUMBER_MAX = 1000000000
};

/* An option that takes an integer.  */
struct number_option
{
  const char *name;
  const char *help;
  int default_value;
};

enum number_option_index
{
  LAYERS,
  EXPERTS,
  RANKS,
  SLOTS,
  INTERVALS,
  TOKENS,
  SEED
};

static const struct number_option number_options[NUMBER_OPTIONS] = {
  [LAYERS] = { "layers", "layers of the model", 1 },
  [EXPERTS] = { "experts", "experts per layer", 128 },
  [RANKS] = { "ranks", "ranks in the group", 128 },
  [SLOTS] = { "slots", "slots per rank and layer", 2 },
  [INTERVALS] = { "intervals", "intervals of 10 s", 60 },
  [TOKENS] = { "tokens", "tokens per layer and interval", 1600000 },
  [SEED] = { "seed", "seed of the random number generator", 1 },
};

static bool
find_kind (const char *name, uint32_t *kind)
{
  for (*kind = 0; *kind < BB_TRACE_KINDS; (*kind)++)
    if (strcmp (bb_trace_kind_name (*kind), name) == 0)
      return true;
  return false;
}

/* Checks the ranges of the options, and that the slots of all ranks hold every
   expert of a layer at least once.  */
static bool
numbers_are_valid (struct arg_int *const *n)
{
  for (uint32_t i = 0; i < NUMBER_OPTIONS; i++)
    if (n[i]->ival[0] < 1 || n[i]->ival[0] > NUMBER_MAX)
      return false;
  for (uint32_t i = LAYERS; i <= SLOTS; i++)
    if (n[i]->ival[0] > BB_TRACE_SIZE_MAX)
      return false;
  return n[INTERVALS]->ival[0] <= BB_TRACE_SIZE_MAX
         && n[EXPERTS]->ival[0] <= n[RANKS]->ival[0] * n[SLOTS]->ival[0];
}

static void
print_trace (uint32_t kind, double zipf, struct arg_int *const *n)
{
  enum
  {
    INTERVAL_MS = 10000
  };
  struct bb_map_size size = { .layers = (uint32_t)n[LAYERS]->ival[0],
                              .experts = (uint32_t)n[EXPERTS]->ival[0],
                              .ranks = (uint32_t)n[RANKS]->ival[0],
                              .slots = (uint32_t)n[SLOTS]->ival[0] };
  GRand *rand = g_rand_new_with_seed ((guint32)n[SEED]->ival[0]);
  struct bb_trace *t = bb_trace_make (kind, zipf, &size, INTERVAL_MS,
                                      (uint32_t)n[INTERVALS]->ival[0],
                                      (uint32_t)n[TOKENS]->ival[0], rand);

  bb_trace_write (t, stdout);
  bb_trace_free (t);
  g_rand_free (rand);
}

int
command_trace (int argc, char **argv)
{
  struct arg_str *kind
      = arg_str1 (NULL, NULL, "KIND", "steady, drift, evening or sudden");
  struct arg_dbl *zipf
      = arg_dbl0 (NULL, "zipf", "X", "exponent of the Zipf distribution");
  struct arg_int *n[NUMBER_OPTIONS];
  void *table[NUMBER_OPTIONS + 3] = { kind, zipf };
  struct arg_end *end = arg_end (4);
  uint32_t kind_index = 0;
  int rc = 2;

  for (uint32_t i = 0; i < NUMBER_OPTIONS; i++)
    {
      n[i] = arg_int0 (NULL, number_options[i].name, "N",
                       number_options[i].help);
      n[i]->ival[0] = number_options[i].default_value;
      table[i + 2] = n[i];
    }
  table[NUMBER_OPTIONS + 2] = end;
  zipf->dval[0] = 1;
  if (arg_parse (argc, argv, table) == 0 && numbers_are_valid (n)
      && find_kind (kind->sval[0], &kind_index))
    {
      print_trace (kind_index, zipf->dval[0], n);
      rc = 0;
    }
  else
    {
      arg_print_errors (stderr, end, "bilberry trace");
      fputs ("Usage: bilberry trace", stderr);
      arg_print_syntax (stderr, table, "\n");
    }
  arg_freetable (table, NUMBER_OPTIONS + 3);
  return rc;
}
