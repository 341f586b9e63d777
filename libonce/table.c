/* The table of records, limited in number, bytes and age.  */

#include "internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

static uint32_t
record_bytes (const struct record *r)
{
  return (uint32_t)sizeof *r + r->table_key_size + r->outcome_size;
}

/* Writes the hash table key to OUT.  Returns its size; 0 if it is too long. */
static uint32_t
make_table_key (char out[TABLE_KEY_MAX_BYTES], struct bb_bytes customer,
                struct bb_bytes key)
{
  if (customer.size + key.size + 1 > TABLE_KEY_MAX_BYTES)
    return 0;
  memcpy (out, customer.ptr, customer.size);
  out[customer.size] = '\0';
  memcpy (out + customer.size + 1, key.ptr, key.size);
  return customer.size + 1 + key.size;
}

struct record *
record_find (struct bb_once *o, struct bb_bytes customer, struct bb_bytes key)
{
  char table_key[TABLE_KEY_MAX_BYTES];
  uint32_t size = make_table_key (table_key, customer, key);
  struct record *r;

  HASH_FIND (hh, o->records, table_key, size, r);
  return r;
}

/* Searches from the newest, as records are added nearly in order of age.  */
static void
insert_by_age (struct bb_once *o, struct record *r)
{
  struct record *after = o->newest;

  while (after && after->created_at > r->created_at)
    after = after->prev;
  r->prev = after;
  r->next = after ? after->next : o->oldest;
  if (after)
    after->next = r;
  else
    o->oldest = r;
  if (r->next)
    r->next->prev = r;
  else
    o->newest = r;
}

static void
remove_by_age (struct bb_once *o, struct record *r)
{
  if (r->prev)
    r->prev->next = r->next;
  else
    o->oldest = r->next;
  if (r->next)
    r->next->prev = r->prev;
  else
    o->newest = r->prev;
}

struct record *
record_add (struct bb_once *o, struct bb_bytes customer, struct bb_bytes key,
            uint64_t request_hash, bb_ms created_at)
{
  char table_key[TABLE_KEY_MAX_BYTES];
  uint32_t size = make_table_key (table_key, customer, key);
  struct record *r;

  if (size == 0 || HASH_COUNT (o->records) >= o->limits.keys_max
      || o->bytes + sizeof *r + size > o->limits.bytes_max)
    return NULL;
  r = calloc (1, sizeof *r);
  if (!r)
    abort ();
  r->table_key = malloc (size);
  if (!r->table_key)
    abort ();
  memcpy (r->table_key, table_key, size);
  r->table_key_size = size;
  r->customer_size = customer.size;
  r->key_size = key.size;
  r->request_hash = request_hash;
  r->created_at = created_at;
  HASH_ADD_KEYPTR (hh, o->records, r->table_key, r->table_key_size, r);
  insert_by_age (o, r);
  o->bytes += record_bytes (r);
  return r;
}

void
record_delete (struct bb_once *o, struct record *r)
{
  o->bytes -= record_bytes (r);
  assert (o->records);
  HASH_DEL (o->records, r);
  remove_by_age (o, r);
  free (r->table_key);
  free (r->outcome);
  free (r);
}

void
record_link_busy (struct bb_once *o, struct record *r, bool busy)
{
  if (busy)
    DL_APPEND2 (o->busy, r, busy_prev, busy_next);
  else
    DL_DELETE2 (o->busy, r, busy_prev, busy_next);
}

static void
set_outcome (struct bb_once *o, struct record *r, const struct bb_once_note *n)
{
  msgpack_sbuffer buf;

  msgpack_sbuffer_init (&buf);
  bb_put_once_note (&buf, n);
  o->bytes -= r->outcome_size;
  free (r->outcome);
  r->outcome_size = (uint32_t)buf.size;
  o->bytes += r->outcome_size;
  r->outcome = malloc (buf.size);
  if (!r->outcome)
    abort ();
  memcpy (r->outcome, buf.data, buf.size);
  msgpack_sbuffer_destroy (&buf);
}

void
record_store_outcome (struct bb_once *o, struct record *r,
                      const struct bb_once_note *n)
{
  struct bb_once_note cut = *n;

  r->state = BB_ONCE_STATE_DONE;
  set_outcome (o, r, n);
  if (o->bytes <= o->limits.bytes_max)
    return;
  cut.cut = true;
  cut.headers_count = 0;
  cut.body.size = 0;
  set_outcome (o, r, &cut);
}

void
table_expire (struct bb_once *o, bb_ms now)
{
  struct record *r = o->oldest;

  while (r && r->created_at + o->limits.retention_ms <= now
         && !r->in_busy_list)
    {
      struct record *next = r->next;
      record_delete (o, r);
      r = next;
    }
}

struct bb_bytes
record_customer (const struct record *r)
{
  struct bb_bytes b = { .ptr = r->table_key, .size = r->customer_size };

  return b;
}

struct bb_bytes
record_key (const struct record *r)
{
  struct bb_bytes b
      = { .ptr = r->table_key + r->customer_size + 1, .size = r->key_size };

  return b;
}

bool
record_note (const struct record *r, bb_ms now, struct bb_once_note *n,
             struct bb_message *frame)
{
  struct bb_decode_error e;
  bool has_frame = r->outcome
                   && bb_message_decode (
                       r->outcome + BB_FRAME_HEADER_BYTES,
                       r->outcome_size - BB_FRAME_HEADER_BYTES, frame, &e);

  if (has_frame)
    *n = frame->u.once_note;
  else
    memset (n, 0, sizeof *n);
  n->customer = record_customer (r);
  n->key = record_key (r);
  n->print = r->request_hash;
  n->state = r->state;
  n->runner = r->runner;
  n->id = r->id;
  n->age_ms = (uint32_t)(now - r->created_at);
  return has_frame;
}
