/* Runs the membership state machine of libmember over UDP, with members and
   keys from the settings.  */

#include "internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  RECV_BUFFER_BYTES = 1 << 20,
  EXPORT_PERIOD_TICKS = 10 /* ticks of BB_MEMBER_TICK_MS between exports */
};

struct gossip
{
  struct bb_daemon *d;
  uv_udp_t udp;
  uv_timer_t timer;
  struct bb_directory directory;
  /* Addresses of the members, by index in the directory; the family is
     AF_UNSPEC for a member without address.  */
  struct sockaddr_storage *addresses;
  GRand *rand;
  /* Sender of the datagram being handled; NULL where there is none.  */
  const struct sockaddr *source;
  uint64_t self_id;
  uint32_t ticks;
  struct bb_member_stats exported; /* statistics at the last export */
};

static struct gossip gossip;

/* A peer of the settings with its address, before sorting by id.  */
struct addressed_peer
{
  struct bb_peer peer;
  const char *address;
};

static uint32_t
failure_domain_number (const char *name)
{
  return XXH32 (name, strlen (name), 0);
}

static void
add_peer (struct addressed_peer *f, uint32_t *count, enum bb_role role,
          const char *name, const char *address, const char *domain)
{
  if (!address)
    return;
  f[*count].peer.id = bb_peer_id (role, name);
  f[*count].peer.failure_domain = failure_domain_number (domain);
  f[*count].address = address;
  (*count)++;
}

static uint32_t
collect_peers (const struct bb_settings *s, struct addressed_peer *f)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < s->entries_count; i++)
    add_peer (f, &count, BB_ROLE_ENTRY, s->entries[i].name, s->entries[i].peer,
              s->entries[i].failure_domain);
  for (uint32_t i = 0; i < s->upstreams_count; i++)
    add_peer (f, &count, BB_ROLE_AGENT, s->upstreams[i].name,
              s->upstreams[i].agent, s->upstreams[i].failure_domain);
  return count;
}

/* Builds the directory D of the members that S names, and their ADDRESSES by
   index.  This process stays a member when S no longer names it, because each
   directory must contain it; it then has no address.  */
static void
build_directory (struct gossip *g, const struct bb_settings *s,
                 struct bb_directory *d, struct sockaddr_storage **addresses)
{
  uint32_t max_count = s->entries_count + s->upstreams_count + 1;
  struct addressed_peer *f = g_new0 (struct addressed_peer, max_count);
  uint32_t count = collect_peers (s, f);

  d->peers = g_new0 (struct bb_peer, max_count);
  d->count = count;
  for (uint32_t i = 0; i < count; i++)
    d->peers[i] = f[i].peer;
  bb_directory_sort (d);
  if (g->directory.peers
      && bb_directory_find (d, g->self_id) == BB_MEMBER_NONE)
    {
      d->peers[d->count++]
          = g->directory.peers[bb_directory_find (&g->directory, g->self_id)];
      bb_directory_sort (d);
    }
  *addresses = g_new0 (struct sockaddr_storage, max_count);
  for (uint32_t i = 0; i < count; i++)
    bb_address_parse (f[i].address,
                      &(*addresses)[bb_directory_find (d, f[i].peer.id)]);
  g_free (f);
}

static void
add_key (struct bb_peer_keys *keys, const struct bb_peer_key_settings *k)
{
  struct bb_peer_key *key = &keys->keys[keys->count];

  if (keys->count == BB_PEER_KEYS_MAX)
    return;
  key->id = XXH32 (k->name, strlen (k->name), 0);
  for (uint32_t i = 0; i < BB_PEER_KEY_BYTES; i++)
    {
      const char *at = k->secret + (size_t)2 * i;
      char hex[3] = { at[0], at[1], '\0' };
      key->secret[i] = (uint8_t)strtoul (hex, NULL, 16);
    }
  keys->count++;
}

/* Returns the keys of S, signing keys first: the first one signs what this
   process sends.  */
static struct bb_peer_keys
build_keys (const struct bb_settings *s)
{
  static const uint32_t order[]
      = { BB_PEER_KEY_STATE_SIGNS, BB_PEER_KEY_STATE_ACCEPTED };
  struct bb_peer_keys keys = { 0 };

  for (uint32_t o = 0; o < 2; o++)
    for (uint32_t i = 0; i < s->peer_keys_count; i++)
      if (s->peer_keys[i].state == order[o])
        add_key (&keys, &s->peer_keys[i]);
  return keys;
}

static void
on_send (void *user, uint32_t to, const void *data, size_t size)
{
  struct gossip *g = user;
  const struct sockaddr *addr
      = to == BB_MEMBER_NONE ? g->source
                             : (const struct sockaddr *)&g->addresses[to];
  uv_buf_t buf = uv_buf_init ((char *)data, (unsigned)size);

  if (!addr || addr->sa_family == AF_UNSPEC)
    return;
  if (uv_udp_try_send (&g->udp, &buf, 1, addr) < 0)
    bb_counter ("bilberry_gossip_unsent_total", "")->value++;
}

/* Activates revision B where its files have no faults.  The result depends on
   the files alone, so that it is the same at all members.  */
static bool
on_accept (void *user, const struct bb_config_blob *b)
{
  struct gossip *g = user;
  struct bb_settings_files files = { 0 };
  struct bb_settings_faults faults = { 0 };
  struct bb_settings *s = NULL;
  char malformed[] = "the files are malformed";
  char *lines[] = { malformed };
  struct bb_settings_faults unpack_faults = { .lines = lines, .count = 1 };

  if (fileset_unpack (b->data, b->size, &files))
    s = bb_settings_parse (&files, &faults);
  if (s)
    settings_activate (g->d, s, bb_settings_files_hash (&files), b->revision);
  else
    settings_reject (g->d, faults.count > 0 ? &faults : &unpack_faults);
  bb_settings_faults_free (&faults);
  bb_settings_files_free (&files);
  return s != NULL;
}

static const struct bb_member_ops member_ops
    = { .send = on_send, .accept = on_accept };

static void
on_alloc (uv_handle_t *h, size_t size, uv_buf_t *buf)
{
  static char buffer[BB_DATAGRAM_MAX_BYTES + 1];

  (void)h;
  (void)size;
  *buf = uv_buf_init (buffer, sizeof buffer);
}

static void
on_datagram (uv_udp_t *udp, ssize_t size, const uv_buf_t *buf,
             const struct sockaddr *from, unsigned flags)
{
  struct gossip *g = udp->data;

  if (size <= 0 || !from || (flags & UV_UDP_PARTIAL) != 0)
    return;
  g->source = from;
  bb_members_receive (g->d->members, bb_clock_now (), buf->base, (size_t)size);
  g->source = NULL;
}

static void
export_counter (const char *name, const char *labels, uint64_t total,
                uint64_t *exported)
{
  bb_counter (name, labels)->value += total - *exported;
  *exported = total;
}

/* Adds the increase of the statistics of libmember since the last export to
   the counters of /metrics.  */
static void
export_stats (struct gossip *g)
{
  const struct bb_member_stats *s = bb_members_stats (g->d->members);
  struct bb_member_stats *e = &g->exported;
  char labels[64];

  export_counter ("bilberry_gossip_sent_total", "", s->sent, &e->sent);
  export_counter ("bilberry_gossip_sent_bytes_total", "", s->sent_bytes,
                  &e->sent_bytes);
  export_counter ("bilberry_gossip_received_total", "", s->received,
                  &e->received);
  export_counter ("bilberry_gossip_received_bytes_total", "",
                  s->received_bytes, &e->received_bytes);
  export_counter ("bilberry_gossip_suspected_total", "", s->suspected,
                  &e->suspected);
  export_counter ("bilberry_gossip_declared_dead_total", "", s->declared_dead,
                  &e->declared_dead);
  export_counter ("bilberry_gossip_pauses_total", "", s->pauses, &e->pauses);
  for (uint32_t r = 1; r < BB_MEMBER_REFUSALS; r++)
    {
      g_snprintf (labels, sizeof labels, "reason=\"%s\"",
                  bb_member_refusal_name (r));
      export_counter ("bilberry_gossip_refused_total", labels, s->refused[r],
                      &e->refused[r]);
    }
}

static void
on_tick (uv_timer_t *t)
{
  struct gossip *g = t->data;

  bb_members_tick (g->d->members, bb_clock_now ());
  if (g->ticks++ % EXPORT_PERIOD_TICKS == 0)
    export_stats (g);
}

static bool
open_socket (struct gossip *g, const struct sockaddr *addr)
{
  int size = RECV_BUFFER_BYTES;
  int rc;

  uv_udp_init (g->d->loop, &g->udp);
  g->udp.data = g;
  rc = uv_udp_bind (&g->udp, addr, 0);
  if (rc == 0)
    rc = uv_udp_recv_start (&g->udp, on_alloc, on_datagram);
  if (rc < 0)
    {
      bb_log (BB_LOG_ERROR, g->d->ops->part,
              "Cannot open the gossip socket: %s.", uv_strerror (rc));
      return false;
    }
  uv_recv_buffer_size ((uv_handle_t *)&g->udp, &size);
  return true;
}

bool
gossip_open (struct bb_daemon *d)
{
  struct gossip *g = &gossip;
  struct bb_member_options o
      = { .incarnation = d->incarnation, .ops = &member_ops, .user = g };
  uint32_t self_index;

  g->d = d;
  g->self_id = bb_peer_id (d->ops->role, d->name);
  o.self_id = g->self_id;
  o.keys = build_keys (d->settings);
  build_directory (g, d->settings, &g->directory, &g->addresses);
  self_index = bb_directory_find (&g->directory, g->self_id);
  if (o.keys.count == 0 || self_index == BB_MEMBER_NONE)
    return true;
  g->rand = g_rand_new_with_seed ((guint32)d->incarnation);
  o.directory = &g->directory;
  o.rand = g->rand;
  if (!open_socket (g, (const struct sockaddr *)&g->addresses[self_index]))
    return false;
  d->members = bb_members_new (&o);
  uv_timer_init (d->loop, &g->timer);
  g->timer.data = g;
  uv_timer_start (&g->timer, on_tick, 0, BB_MEMBER_TICK_MS);
  return true;
}

void
gossip_reconfigure (struct bb_daemon *d)
{
  struct gossip *g = &gossip;
  struct bb_directory directory;
  struct sockaddr_storage *addresses;
  struct bb_peer_keys keys;

  if (!d->members)
    return;
  keys = build_keys (d->settings);
  build_directory (g, d->settings, &directory, &addresses);
  bb_members_set_directory (d->members, &directory);
  if (keys.count > 0)
    bb_members_set_keys (d->members, &keys);
  g_free (g->directory.peers);
  g_free (g->addresses);
  g->directory = directory;
  g->addresses = addresses;
  /* The members borrow the directory, so point them to the lasting copy.  */
  bb_members_set_directory (d->members, &g->directory);
}

void
gossip_check_listed (struct bb_daemon *d, enum bb_role role, const char *name,
                     bool listed)
{
  uint64_t id = bb_peer_id (role, name);
  uint32_t i = bb_directory_find (&gossip.directory, id);
  enum bb_member_status s;

  if (i == BB_MEMBER_NONE)
    return;
  s = bb_members_status (d->members, i);
  if (listed == (s == BB_MEMBER_STATUS_ALIVE || s == BB_MEMBER_STATUS_SUSPECT))
    return;
  bb_counter ("bilberry_vms_hints_total", "")->value++;
  bb_members_probe_next (d->members, id);
}

void
gossip_leave (struct bb_daemon *d)
{
  if (d->members)
    bb_members_leave (d->members, bb_clock_now ());
}

void
gossip_add_status (struct bb_daemon *d, json_t *out)
{
  const struct bb_member_stats *s;
  bb_ms since;

  if (!d->members)
    return;
  s = bb_members_stats (d->members);
  since = s->confirmed_at_ms ? bb_clock_now () - s->confirmed_at_ms : -1;
  json_object_set_new (out, "members_live",
                       json_integer (bb_members_live_count (d->members)));
  json_object_set_new (out, "reader", json_boolean (s->reader));
  json_object_set_new (out, "revision_confirmed_ms_ago", json_integer (since));
  json_object_set_new (out, "revision_rejected",
                       json_integer ((json_int_t)s->rejected_revision));
}
