/* Exchanges the items of the store and the states of the processes with
   peers.  */

#include "internal.h"

#include "bilberry/settings.h"

enum
{
  STATE_INTERVAL_MS = 100 /* length of a tick */
};

bb_ms
peer_now_ms (const struct bb_peers *p)
{
  return (bb_ms)uv_now (p->loop);
}

static void
on_timer (uv_timer_t *t)
{
  struct bb_peers *p = t->data;

  peer_close_idle (p);
  if (p->connect_all)
    peer_connect_to_all (p);
  else
    {
      peer_keep_one (p);
      peer_connect_to_one (p);
    }
  peer_late_send (p);
  peer_resend_missing (p);
  peer_send_due_states (p);
  p->ticks++;
}

static void
free_peers (struct bb_peers *p)
{
  for (uint32_t i = 0; i < p->endpoints_count; i++)
    g_free (p->endpoints[i].address);
  g_free (p->address);
  g_free (p->name);
  g_free (p);
}

struct bb_peers *
bb_peers_new (uv_loop_t *loop, const struct bb_peers_options *o,
              struct bb_view *view, const struct bb_peers_ops *ops, void *user,
              int *error)
{
  struct bb_peers *p = g_new0 (struct bb_peers, 1);
  struct sockaddr_storage addr;

  p->loop = loop;
  p->name = g_strdup (o->name);
  p->address = g_strdup (o->address);
  p->connect_all = o->connect_all;
  p->incarnation = o->incarnation;
  p->next_endpoint = (uint32_t)o->incarnation;
  p->view = view;
  p->poison = o->poison;
  p->parts = o->parts;
  p->ops = ops;
  p->user = user;
  *error = 0;
  for (uint32_t i = 0; i < o->seeds_count; i++)
    peer_add_endpoint (p, bb_bytes_of (o->seeds[i]));
  if (p->address)
    {
      *error = UV_EINVAL;
      if (bb_address_parse (o->listen_address ? o->listen_address : p->address,
                            &addr))
        p->listener
            = bb_listener_open (loop, &addr, &peer_accept_ops, p, error);
      if (!p->listener)
        {
          free_peers (p);
          return NULL;
        }
    }
  peer_late_init (p);
  peer_large_init (p);
  uv_timer_init (loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_timer, 0, STATE_INTERVAL_MS);
  return p;
}
