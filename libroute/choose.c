/* Chooses the upstream for the next attempt of a request.  */

#include "bilberry/route.h"

enum
{
  REPORT_STALE_MS = 2000, /* a report of this age is ignored */
  /* Load below which an upstream in the entry's own failure domain is
     preferred, in percent of its limit.  */
  SAME_DOMAIN_MAX_PERCENT = 30,
  /* How much higher the load of an upstream that holds the prefix may be, in
     percent of its limit.  */
  PREFIX_EXTRA_LOAD_PERCENT = 15,
  TIER_COUNT = 3
};

/* The candidates, and which of them are eligible.  */
struct candidate_set
{
  const struct bb_candidate *candidates;
  uint32_t count;
  uint32_t tier;
  bool same_domain_only;
  uint32_t mean_other_requests;
};

/* Returns the tier of C; a lower one is better.  */
static uint32_t
tier_of (const struct bb_candidate *c)
{
  if (c->tried)
    return 2;
#ifndef BB_MUTANT_retry_other_domain
  return c->domain_tried ? 1 : 0;
#else
  return 0;
#endif
}

static bool
is_eligible (const struct candidate_set *set, const struct bb_candidate *c)
{
  return tier_of (c) == set->tier
         && (c->same_domain || !set->same_domain_only);
}

static uint32_t
count_eligible (const struct candidate_set *set)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < set->count; i++)
    n += is_eligible (set, &set->candidates[i]) ? 1 : 0;
  return n;
}

/* Returns the index of the eligible candidate number N, counted from 0.  */
static uint32_t
nth_eligible (const struct candidate_set *set, uint32_t n)
{
  uint32_t i = 0;

  while (!is_eligible (set, &set->candidates[i]) || n-- > 0)
    i++;
  return i;
}

/* Returns the number of requests at C relative to its limit, in hundredths of
   a percent.  As the report ages, the mean of all candidates replaces the
   reported requests of other entries linearly.  */
static uint64_t
load_of (const struct candidate_set *set, const struct bb_candidate *c)
{
  uint64_t age_ms = c->report_age_ms > REPORT_STALE_MS ? REPORT_STALE_MS
                    : c->report_age_ms > 0 ? (uint64_t)c->report_age_ms
                                           : 0;
  uint64_t other_hundredths = (c->other_requests * (REPORT_STALE_MS - age_ms)
                               + set->mean_other_requests * age_ms)
                              * 100 / REPORT_STALE_MS;
  uint64_t limit = (uint64_t)(c->limit ? c->limit : 1) * c->ramp_percent;

  if (limit == 0)
    limit = 1;
  return ((uint64_t)c->own_in_flight * 100 + other_hundredths) * 10000 / limit;
}

/* Power of two choices: returns the index of the less loaded of two random
   eligible candidates.  ELIGIBLE is their number, at least 1.  */
static uint32_t
choose_lighter_of_two (const struct candidate_set *set, uint32_t eligible,
                       GRand *rand)
{
  uint32_t first;
  uint32_t second;

  if (eligible == 1)
    return nth_eligible (set, 0);
  first = (uint32_t)g_rand_int_range (rand, 0, (gint32)eligible);
  second = (uint32_t)g_rand_int_range (rand, 0, (gint32)eligible - 1);
  if (second >= first)
    second++;
  first = nth_eligible (set, first);
  second = nth_eligible (set, second);
  return load_of (set, &set->candidates[second])
                 < load_of (set, &set->candidates[first])
             ? second
             : first;
}

static uint32_t
mean_other_requests (const struct bb_candidate *c, uint32_t count)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += c[i].other_requests;
  return (uint32_t)(sum / count);
}

/* Returns the choice by load and failure domain, without regard to prefixes.
 */
static uint32_t
choose_by_load (struct candidate_set *set, GRand *rand)
{
  uint32_t eligible;
  uint32_t chosen;

  set->same_domain_only = true;
  eligible = count_eligible (set);
  if (eligible > 0)
    {
      chosen = choose_lighter_of_two (set, eligible, rand);
      if (load_of (set, &set->candidates[chosen])
          < (uint64_t)SAME_DOMAIN_MAX_PERCENT * 100)
        return chosen;
    }
  set->same_domain_only = false;
  return choose_lighter_of_two (set, count_eligible (set), rand);
}

static bool
is_within (uint64_t load, uint64_t load_max)
{
#ifndef BB_MUTANT_prefix_bound
  return load <= load_max;
#else
  return load <= load_max || load > load_max;
#endif
}

/* Returns the candidate that holds the prompt's prefix if it is in the best
   tier and not much more loaded than CHOSEN, otherwise CHOSEN.  */
static uint32_t
prefer_prefix_holder (const struct candidate_set *set, uint32_t chosen)
{
  uint64_t load_max = load_of (set, &set->candidates[chosen])
                      + (uint64_t)PREFIX_EXTRA_LOAD_PERCENT * 100;

  for (uint32_t i = 0; i < set->count; i++)
    if (set->candidates[i].holds_prefix
        && tier_of (&set->candidates[i]) == set->tier
        && is_within (load_of (set, &set->candidates[i]), load_max))
      return i;
  return chosen;
}

uint32_t
bb_route_choose (const struct bb_candidate *c, uint32_t count, GRand *rand)
{
  struct candidate_set set
      = { .candidates = c, .count = count, .tier = TIER_COUNT };

  if (count == 0)
    return BB_ROUTE_NONE;
  for (uint32_t i = 0; i < count; i++)
    if (tier_of (&c[i]) < set.tier)
      set.tier = tier_of (&c[i]);
  set.mean_other_requests = mean_other_requests (c, count);
  return prefer_prefix_holder (&set, choose_by_load (&set, rand));
}
