/* The connection to the head of this agent's block, which takes its counts and
   passes on maps.  */

#include "rank.h"

#include "bilberry/settings.h"
#include "bilberry/wire.h"

#include <jansson.h>
#include <string.h>

enum
{
  RETRY_MS = 1000 /* between attempts to connect to one host */
};

struct head
{
  struct agent *agent;
  char *host;           /* NULL: not named yet */
  bool is_leader;       /* the leader itself takes the counts */
  struct bb_conn *conn; /* NULL: not connected */
  bool open;            /* conn is established */
  bb_ms attempt_ms;     /* when it was last connected to */
};

static struct head head;

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  if (c == head.conn && m->type == BB_MSG_RANK_MAP)
    leader_take_map (&m->u.rank_map);
}

static void
on_open (struct bb_conn *c)
{
  struct bb_rank_state m;

  if (c != head.conn)
    return;
  head.open = true;
  engine_fill_state (head.agent, &m);
  bb_put_rank_state (bb_conn_out (c), &m);
}

static void
on_close (struct bb_conn *c, const char *why)
{
  if (c != head.conn)
    return;
  bb_log_event ("head_lost", "{s:s, s:s}", "host", head.host, "why", why);
  head.conn = NULL;
  head.open = false;
}

static const struct bb_conn_ops conn_ops = { on_message, on_open, on_close };

static void
disconnect (void)
{
  struct bb_conn *c = head.conn;

  head.conn = NULL;
  head.open = false;
  if (c)
    bb_conn_close (c, "another head");
}

static void
connect_head (void)
{
  struct agent *a = head.agent;
  struct sockaddr_storage addr;
  char *address = g_strdup_printf ("%s:%u", head.host,
                                   (unsigned)a->settings->port_first);

  head.attempt_ms = agent_now (a);
  if (bb_address_parse (address, &addr))
    head.conn = bb_conn_connect (a->loop, &addr, &conn_ops, NULL);
  g_free (address);
}

void
head_set (const char *host, const char *leader)
{
  bool changed = g_strcmp0 (host, head.host ? head.host : "") != 0;

  head.is_leader = g_strcmp0 (host, leader) == 0;
  if (changed)
    {
      disconnect ();
      g_free (head.host);
      head.host = *host ? g_strdup (host) : NULL;
      bb_log_event ("head", "{s:s}", "host", host);
    }
  if (head.host && !head.is_leader && !head.conn
      && (changed || agent_now (head.agent) - head.attempt_ms >= RETRY_MS))
    connect_head ();
}

bool
head_takes_counts (void)
{
#ifdef BB_MUTANT_head_named
  return true;
#endif
  return head.host && (head.is_leader || head.open);
}

void
head_send_counts (struct bb_conn *leader, const uint16_t *deltas,
                  uint32_t count)
{
  struct engine *e = &head.agent->engine;
  GBytes *bytes = g_bytes_new_static (deltas, count * sizeof *deltas);
  GBytes *packed = bb_pack (bytes, NULL);
  struct bb_rank_counts m = { .epoch = e->counts_epoch, .count = count };

  if (packed)
    {
      m.packed.ptr = g_bytes_get_data (packed, &e->packed_counts_bytes);
      m.packed.size = (uint32_t)e->packed_counts_bytes;
      if (head.open)
        bb_put_rank_counts (bb_conn_out (head.conn), &m);
      else
        bb_put_rank_counts (bb_conn_out (leader), &m);
      g_bytes_unref (packed);
    }
  g_bytes_unref (bytes);
}

void
head_init (struct agent *a)
{
  head.agent = a;
}
