#include "bilberry/map.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  VALUE_NUMBER_COUNT = 5,
  NUMBER_COUNT = 3 + 2 * VALUE_NUMBER_COUNT
};

static void
value_to_numbers (const struct bb_map_value *v, uint64_t *n)
{
  n[0] = v->id;
  n[1] = v->hash;
  n[2] = v->base_id;
  n[3] = v->base_hash;
  n[4] = v->from_step;
}

static void
value_from_numbers (const uint64_t *n, struct bb_map_value *v)
{
  v->id = n[0];
  v->hash = n[1];
  v->base_id = n[2];
  v->base_hash = n[3];
  v->from_step = n[4];
}

void
bb_switch_saved_state_print (const struct bb_switch_saved_state *m,
                             char text[BB_SWITCH_SAVED_STATE_TEXT_SIZE])
{
  uint64_t n[NUMBER_COUNT] = { m->accepted_ballot, m->started, m->decided };
  size_t length = 0;

  value_to_numbers (&m->accepted, n + 3);
  value_to_numbers (&m->in_force, n + 3 + VALUE_NUMBER_COUNT);
  for (uint32_t i = 0; i < NUMBER_COUNT; i++)
    length += (size_t)snprintf (text + length,
                                BB_SWITCH_SAVED_STATE_TEXT_SIZE - length,
                                i ? " %" PRIu64 : "%" PRIu64, n[i]);
}

bool
bb_switch_saved_state_parse (const char *text, struct bb_switch_saved_state *m)
{
  uint64_t n[NUMBER_COUNT];
  char *end = (char *)text;

  for (uint32_t i = 0; i < NUMBER_COUNT; i++)
    {
      const char *from = end;
      n[i] = strtoull (from, &end, 10);
      if (end == from)
        return false;
    }
  memset (m, 0, sizeof *m);
  m->accepted_ballot = n[0];
  m->started = n[1];
  m->decided = n[2] != 0;
  value_from_numbers (n + 3, &m->accepted);
  value_from_numbers (n + 3 + VALUE_NUMBER_COUNT, &m->in_force);
  return true;
}
