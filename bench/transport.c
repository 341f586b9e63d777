/* transport - processor time and bytes on the wire of a request and its reply
   by UDP datagram, by frames on an open connection, and by frames on a
   connection opened for each exchange.  Both ends run in this process.  */

#include "bilberry/net.h"
#include "bilberry/settings.h"
#include "report.h"

#include <glib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  EXCHANGES = 20000,
  PAYLOAD_BYTES = 150,
  IP_UDP_HEADER_BYTES = 28,
  IP_TCP_HEADER_BYTES = 52, /* IP and TCP headers, with TCP timestamps */
  TCP_ACK_PACKETS = 1, /* one for each message; none is piggybacked on data */
  TCP_OPEN_PACKETS = 3,
  TCP_CLOSE_PACKETS = 4
};

static uv_loop_t *loop;
static uint32_t exchanges_done;
static bool connection_per_exchange;
static struct sockaddr_storage server;
static char payload[PAYLOAD_BYTES];

static double
cpu_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void
send_message (struct bb_conn *c)
{
  struct bb_data d = { .id = 1 };

  d.body.ptr = payload;
  d.body.size = sizeof payload;
  bb_put_data (bb_conn_out (c), &d);
}

static void
on_server_message (struct bb_conn *c, const struct bb_message *m)
{
  (void)m;
  send_message (c);
}

static void
on_closed (struct bb_conn *c, const char *why)
{
  (void)c;
  (void)why;
}

static void
on_client_message (struct bb_conn *c, const struct bb_message *m)
{
  (void)m;
  if (++exchanges_done == EXCHANGES)
    uv_stop (loop);
  else if (!connection_per_exchange)
    send_message (c);
  if (connection_per_exchange)
    bb_conn_close (c, "done");
}

static const struct bb_conn_ops server_ops
    = { .on_message = on_server_message, .on_close = on_closed };

static void connect_next (struct bb_conn *c, const char *why);

static const struct bb_conn_ops client_ops = { .on_message = on_client_message,
                                               .on_open = send_message,
                                               .on_close = connect_next };

static void
connect_next (struct bb_conn *c, const char *why)
{
  (void)c;
  (void)why;
  if (exchanges_done < EXCHANGES)
    bb_conn_connect (loop, &server, &client_ops, NULL);
}

static void
on_alloc (uv_handle_t *h, size_t size, uv_buf_t *buf)
{
  static char buffer[2048];

  (void)h;
  (void)size;
  *buf = uv_buf_init (buffer, sizeof buffer);
}

static void
on_datagram (uv_udp_t *udp, ssize_t size, const uv_buf_t *buf,
             const struct sockaddr *from, unsigned flags)
{
  uv_buf_t out = uv_buf_init (buf->base, (unsigned)(size > 0 ? size : 0));

  (void)flags;
  if (size <= 0)
    return;
  if (udp->data && ++exchanges_done == EXCHANGES)
    uv_stop (loop);
  else
    uv_udp_try_send (udp, &out, 1, from);
}

static void
udp_open (uv_udp_t *udp, void *client, struct sockaddr_storage *address)
{
  struct sockaddr_in any_port = { .sin_family = AF_INET };
  int size = sizeof *address;

  any_port.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  uv_udp_init (loop, udp);
  udp->data = client;
  uv_udp_bind (udp, (struct sockaddr *)&any_port, 0);
  uv_udp_getsockname (udp, (struct sockaddr *)address, &size);
  uv_udp_recv_start (udp, on_alloc, on_datagram);
}

static double
run_udp (void)
{
  static uv_udp_t a;
  static uv_udp_t b;
  struct sockaddr_storage server_address;
  struct sockaddr_storage client_address;
  uv_buf_t out = uv_buf_init (payload, sizeof payload);
  double start;

  udp_open (&a, NULL, &server_address);
  udp_open (&b, &b, &client_address);
  exchanges_done = 0;
  start = cpu_s ();
  uv_udp_try_send (&b, &out, 1, (struct sockaddr *)&server_address);
  uv_run (loop, UV_RUN_DEFAULT);
  return (cpu_s () - start) / EXCHANGES;
}

static double
run_tcp (bool per_exchange)
{
  double start = cpu_s ();

  connection_per_exchange = per_exchange;
  exchanges_done = 0;
  bb_conn_connect (loop, &server, &client_ops, NULL);
  uv_run (loop, UV_RUN_DEFAULT);
  return (cpu_s () - start) / EXCHANGES;
}

static void
print_result (FILE *csv, const char *label, double cpu_each_s, uint32_t bytes)
{
  printf ("%-28s %7.1f us both ends, %4u bytes on the wire\n", label,
          cpu_each_s * 1e6, bytes);
  fprintf (csv, "%s,%.2f,%u\n", label, cpu_each_s * 1e6, bytes);
}

int
main (void)
{
  FILE *csv = report_open ("transport.csv");
  char text[32];
  int error = 0;
  uint32_t message_bytes
      = IP_TCP_HEADER_BYTES * (1 + TCP_ACK_PACKETS) + PAYLOAD_BYTES;

  loop = uv_default_loop ();
  print_result (csv, "datagrams", run_udp (),
                2 * (IP_UDP_HEADER_BYTES + PAYLOAD_BYTES));
  g_snprintf (text, sizeof text, "127.0.0.1:%d", 20000 + getpid () % 10000);
  bb_address_parse (text, &server);
  if (!bb_listener_open (loop, &server, &server_ops, NULL, &error))
    {
      printf ("cannot listen on %s: %s; TCP not measured\n", text,
              uv_strerror (error));
      return 1;
    }
  print_result (csv, "frames, open connection", run_tcp (false),
                2 * message_bytes);
  print_result (csv, "frames, connection for each", run_tcp (true),
                2 * message_bytes
                    + IP_TCP_HEADER_BYTES
                          * (TCP_OPEN_PACKETS + TCP_CLOSE_PACKETS));
  fclose (csv);
  return 0;
}
