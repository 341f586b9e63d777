#include "bilberry/route.h"

enum
{
  STALE_MS = 2000,         /* a report this old says nothing */
  NEAR_MAX_PERCENT = 30,   /* of its limit, for the nearest failure domain */
  PREFIX_MAX_PERCENT = 15, /* of its limit, that a holder may be fuller */
  TIER_COUNT = 3
};

/* The members of the candidates that a choice is made among.  */
struct among
{
  const struct bb_candidate *c;
  uint32_t count;
  uint32_t tier;
  bool near_only;
  uint32_t mean_others;
};

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
is_member (const struct among *a, const struct bb_candidate *c)
{
  return tier_of (c) == a->tier && (c->same_domain || !a->near_only);
}

static uint32_t
count_members (const struct among *a)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < a->count; i++)
    n += is_member (a, &a->c[i]) ? 1 : 0;
  return n;
}

static uint32_t
nth_member (const struct among *a, uint32_t n)
{
  uint32_t i = 0;

  while (!is_member (a, &a->c[i]) || n-- > 0)
    i++;
  return i;
}

/* Returns load over limit in hundredths of a percent.  */
static uint64_t
load_of (const struct among *a, const struct bb_candidate *c)
{
  uint64_t old = c->report_age_ms > STALE_MS ? STALE_MS
                 : c->report_age_ms > 0      ? (uint64_t)c->report_age_ms
                                             : 0;
  uint64_t others
      = (c->other_requests * (STALE_MS - old) + a->mean_others * old) * 100
        / STALE_MS;
  uint64_t limit = (uint64_t)(c->limit ? c->limit : 1) * c->ramp_percent;

  if (limit == 0)
    limit = 1;
  return ((uint64_t)c->own_in_flight * 100 + others) * 10000 / limit;
}

static uint32_t
choose_of_two (const struct among *a, uint32_t members, GRand *rand)
{
  uint32_t first;
  uint32_t second;

  if (members == 1)
    return nth_member (a, 0);
  first = (uint32_t)g_rand_int_range (rand, 0, (gint32)members);
  second = (uint32_t)g_rand_int_range (rand, 0, (gint32)members - 1);
  if (second >= first)
    second++;
  first = nth_member (a, first);
  second = nth_member (a, second);
  return load_of (a, &a->c[second]) < load_of (a, &a->c[first]) ? second
                                                                : first;
}

static uint32_t
mean_of_others (const struct bb_candidate *c, uint32_t count)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += c[i].other_requests;
  return (uint32_t)(sum / count);
}

/* Returns the choice by load and nearness.  */
static uint32_t
choose_by_load (struct among *a, GRand *rand)
{
  uint32_t members;
  uint32_t chosen;

  a->near_only = true;
  members = count_members (a);
  if (members > 0)
    {
      chosen = choose_of_two (a, members, rand);
      if (load_of (a, &a->c[chosen]) < (uint64_t)NEAR_MAX_PERCENT * 100)
        return chosen;
    }
  a->near_only = false;
  return choose_of_two (a, count_members (a), rand);
}

static bool
is_within (uint64_t load, uint64_t most)
{
#ifndef BB_MUTANT_prefix_bound
  return load <= most;
#else
  return load <= most || load > most;
#endif
}

/* Returns the candidate that holds the prompt's prefix where it is not much
   more loaded than CHOSEN.  */
static uint32_t
prefer_holder (const struct among *a, uint32_t chosen)
{
  uint64_t most
      = load_of (a, &a->c[chosen]) + (uint64_t)PREFIX_MAX_PERCENT * 100;

  for (uint32_t i = 0; i < a->count; i++)
    if (a->c[i].holds_prefix && tier_of (&a->c[i]) == a->tier
        && is_within (load_of (a, &a->c[i]), most))
      return i;
  return chosen;
}

uint32_t
bb_route_choose (const struct bb_candidate *c, uint32_t count, GRand *rand)
{
  struct among a = { .c = c, .count = count, .tier = TIER_COUNT };

  if (count == 0)
    return BB_ROUTE_NONE;
  for (uint32_t i = 0; i < count; i++)
    if (tier_of (&c[i]) < a.tier)
      a.tier = tier_of (&c[i]);
  a.mean_others = mean_of_others (c, count);
  return prefer_holder (&a, choose_by_load (&a, rand));
}
