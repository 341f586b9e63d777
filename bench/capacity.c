/* capacity - cost of settings by their size, of a heartbeat and of an open
   connection, for docs/CAPACITY.md.  */

#include "bilberry/net.h"
#include "bilberry/settings.h"
#include "report.h"

#include <glib.h>
#include <malloc.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  CUSTOMERS = 5200,
  UPSTREAMS = 5000,
  ENTRIES = 1100,
  HEARTBEATS_PER_S = 2,
  HEARTBEAT_ITERATIONS = 200000,
  CONNECTIONS_PER_STEP = 500,
  CONNECTION_STEPS = 4,
  IP_TCP_HEADER_BYTES = 52 /* IP and TCP headers, with TCP timestamps */
};

static double
cpu_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 m = mallinfo2 ();

  return m.uordblks + m.hblkhd;
}

/* Returns the settings of the upstreams of a fleet that has SCALE_PERCENT of
   the size designed for, as allocated text of *SIZE bytes.  */
static char *
make_upstreams (uint32_t scale_percent, size_t *size)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, size);

  fputs ("upstreams:\n", out);
  for (uint32_t i = 0; i < UPSTREAMS * scale_percent / 100; i++)
    fprintf (out,
             "  upstream-%u: {address: '10.%u.%u.%u:8000', agent: "
             "'10.%u.%u.%u:7000', operator: '10.%u.%u.%u:7001', "
             "failure_domain: fd-%u, pool: model-%u, limit: 32}\n",
             i, i >> 16, i >> 8 & 255, i & 255, i >> 16, i >> 8 & 255, i & 255,
             i >> 16, i >> 8 & 255, i & 255, i % 7, i % 9);
  fclose (out);
  return text;
}

/* Returns the failure domains, customers and entries of a fleet that has
   SCALE_PERCENT of the size designed for, as allocated text of *SIZE bytes. */
static char *
make_other_settings (uint32_t scale_percent, size_t *size)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, size);

  fputs ("failure_domains:\n", out);
  for (uint32_t i = 0; i < 7; i++)
    fprintf (out, "  fd-%u: {state: in}\n", i);
  fputs ("customers:\n", out);
  for (uint32_t i = 0; i < CUSTOMERS * scale_percent / 100; i++)
    fprintf (out, "  customer-%u: {key_sha256: '%064u', weight: 2}\n", i, i);
  fputs ("entries:\n", out);
  for (uint32_t i = 0; i < ENTRIES * scale_percent / 100; i++)
    fprintf (out,
             "  entry-%u: {address: '10.9.%u.%u:80', operator: "
             "'10.9.%u.%u:81', failure_domain: fd-%u}\n",
             i, i >> 8, i & 255, i >> 8, i & 255, i % 7);
  fclose (out);
  return text;
}

static void
measure_settings (FILE *csv)
{
  static const uint32_t scale_percents[] = { 1, 10, 25, 50, 100 };

  printf ("settings   share   bytes   parse ms   held bytes\n");
  for (uint32_t i = 0; i < G_N_ELEMENTS (scale_percents); i++)
    {
      char first[] = "10-rest.yaml";
      char second[] = "20-upstreams.yaml";
      struct bb_settings_file file[]
          = { { .name = first }, { .name = second } };
      struct bb_settings_files files
          = { .files = file, .count = G_N_ELEMENTS (file) };
      struct bb_settings_faults faults = { 0 };
      struct bb_settings *s;
      size_t before;
      double start;
      file[0].data = make_other_settings (scale_percents[i], &file[0].size);
      file[1].data = make_upstreams (scale_percents[i], &file[1].size);
      before = heap_bytes ();
      start = cpu_s ();
      s = bb_settings_parse (&files, &faults);
      start = cpu_s () - start;
      if (!s)
        {
          printf ("settings rejected: %s\n", faults.lines[0]);
          exit (1);
        }
      printf ("          %5u%% %8zu %10.1f %12zu\n", scale_percents[i],
              file[0].size + file[1].size, start * 1000,
              heap_bytes () - before);
      fprintf (csv, "settings,%u,%zu,%.3f,%zu\n", scale_percents[i],
               file[0].size + file[1].size, start * 1000,
               heap_bytes () - before);
      bb_settings_free (s);
      free (file[0].data);
      free (file[1].data);
    }
}

static void
measure_heartbeats (FILE *csv)
{
  struct bb_heartbeat h
      = { .incarnation = UINT64_MAX,
          .load
          = { .in_flight = 20, .queued = 300, .limit = 32, .wait_ms = 1000 },
          .revision = 6800 };
  msgpack_sbuffer buf;
  double start = cpu_s ();
  double cpu_each_s;
  size_t size = 0;

  msgpack_sbuffer_init (&buf);
  for (uint32_t i = 0; i < HEARTBEAT_ITERATIONS; i++)
    {
      struct bb_message m;
      struct bb_decode_error e;
      msgpack_sbuffer_clear (&buf);
      bb_put_heartbeat (&buf, &h);
      size = buf.size;
      if (!bb_message_decode (buf.data + BB_FRAME_HEADER_BYTES,
                              size - BB_FRAME_HEADER_BYTES, &m, &e))
        abort ();
      bb_message_free (&m);
    }
  cpu_each_s = (cpu_s () - start) / HEARTBEAT_ITERATIONS;
  msgpack_sbuffer_destroy (&buf);
  size += IP_TCP_HEADER_BYTES;
  printf ("heartbeat: %zu bytes with IP and TCP heads, %.2f us to write and "
          "read\n",
          size, cpu_each_s * 1e6);
  printf ("  agent to %d entries: %.0f bytes/s; 3 KB/s carry %.0f entries\n",
          ENTRIES, (double)size * HEARTBEATS_PER_S * ENTRIES,
          3000.0 / (double)(size * HEARTBEATS_PER_S));
  printf ("  entry from %d agents: %.0f bytes/s, %.1f%% of a core in the "
          "codec alone\n",
          UPSTREAMS, (double)size * HEARTBEATS_PER_S * UPSTREAMS,
          cpu_each_s * HEARTBEATS_PER_S * UPSTREAMS * 100);
  fprintf (csv, "heartbeat,%zu,%.3f\n", size, cpu_each_s * 1e6);
}

/* Hellos received at both ends of all connections.  Each end sends one hello
   when the connection opens, and nothing more.  */
static uint32_t hellos_received;

static void
on_open (struct bb_conn *c)
{
  struct bb_hello h = { .role = BB_ROLE_AGENT,
                        .incarnation = 1,
                        .name = bb_bytes_of ("upstream-1") };

  bb_put_hello (bb_conn_out (c), &h);
}

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  (void)c;
  (void)m;
  hellos_received++;
}

static void
on_close (struct bb_conn *c, const char *why)
{
  (void)c;
  printf ("connection lost: %s\n", why);
  exit (1);
}

static void
measure_connections (FILE *csv)
{
  static const struct bb_conn_ops ops
      = { .on_open = on_open, .on_message = on_message, .on_close = on_close };
  struct rlimit files;
  struct sockaddr_storage addr;
  uv_loop_t *loop = uv_default_loop ();
  double x[CONNECTION_STEPS];
  double y[CONNECTION_STEPS];
  double intercept;
  double slope;
  int error = 0;
  char text[32];

  getrlimit (RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit (RLIMIT_NOFILE, &files);
  g_snprintf (text, sizeof text, "127.0.0.1:%d", 20000 + getpid () % 10000);
  bb_address_parse (text, &addr);
  if (!bb_listener_open (loop, &addr, &ops, NULL, &error))
    {
      printf ("cannot listen on %s: %s; connections not measured\n", text,
              uv_strerror (error));
      return;
    }
  for (uint32_t step = 0; step < CONNECTION_STEPS; step++)
    {
      uint32_t expected_hellos = (step + 1) * CONNECTIONS_PER_STEP * 2;
      for (uint32_t i = 0; i < CONNECTIONS_PER_STEP; i++)
        bb_conn_connect (loop, &addr, &ops, NULL);
      while (hellos_received < expected_hellos)
        uv_run (loop, UV_RUN_ONCE);
      x[step] = expected_hellos;
      y[step] = (double)heap_bytes ();
    }
  report_fit_line (x, y, CONNECTION_STEPS, &intercept, &slope);
  printf ("connection end: %.0f bytes of heap; %d of them %.1f MB\n", slope,
          UPSTREAMS, slope * UPSTREAMS / 1e6);
  fprintf (csv, "connection,%.0f\n", slope);
}

int
main (void)
{
  FILE *csv = report_open ("capacity.csv");

  measure_settings (csv);
  measure_heartbeats (csv);
  measure_connections (csv);
  fclose (csv);
  return 0;
}
