/* demo - runs a small fleet under load, injects failures and prints a table of
   the outcomes.

   Starts two model engines and one plain service (all stand-ins), an agent for
   each, and two entries.  Clients send streamed completions ("drafts") to the
   engines and idempotent requests ("orders") to the plain service.  Meanwhile
   an engine is killed and restarted, a failure domain is taken out of service
   and put back, and an entry is stopped by SIGTERM.  Exits with 0 if no
   response was lost and no order ran more than once.

   With --keep it only starts the fleet, prints the URL of an entry and waits
   for SIGINT or SIGTERM.  */

#include "harness/fleet.h"

#include <libgen.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  WORKERS = 8,
  REQUESTS_PER_WORKER = 60, /* requests of each kind that a worker sends */
  MAX_TOKENS = 20,
  PAUSE_MS = 800 /* time between injected failures */
};

/* Outcomes of the requests of one kind.  */
struct outcome_counts
{
  atomic_uint sent;
  atomic_uint complete; /* response received in full, with the right content */
  atomic_uint refused;  /* response received in full, but an error */
  atomic_uint lost;     /* no response, one cut off, or wrong content */
};

static struct fleet fleet;
static struct outcome_counts drafts;
static struct outcome_counts orders;

/* Sends a request to the entry of number TURN modulo their count.  Goes on to
   the next entry where a test connection fails, or where no status arrives. */
static struct http_response
send_request (uint32_t turn, const char *path, const char *headers,
              const char *body)
{
  struct http_response a = { 0 };

  for (uint32_t i = 0; i < fleet.entries_count; i++)
    {
      uint16_t port = fleet.entries[(turn + i) % fleet.entries_count].port;
      int fd = harness_connect (port);
      if (fd < 0)
        continue;
      close (fd);
      a = harness_http (port, "POST", path, headers, body);
      if (a.status != 0)
        return a;
      http_response_free (&a);
    }
  return a;
}

static void
count_outcome (struct outcome_counts *t, const struct http_response *a,
               bool complete)
{
  t->sent++;
  if (complete)
    t->complete++;
  else if (a->complete
           && (a->status >= 400
               || (a->body && strstr (a->body, "event: error"))))
    t->refused++;
  else
    t->lost++;
}

static void
send_draft (uint32_t worker, uint32_t n)
{
  char prompt[64];
  char body[256];
  struct http_response a;
  bool complete;

  snprintf (prompt, sizeof prompt, "restock list %u of %u", n, worker);
  snprintf (body, sizeof body,
            "{\"model\":\"m\",\"stream\":true,\"max_tokens\":%d,"
            "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
            MAX_TOKENS, prompt);
  a = send_request (worker + n, "/v1/chat/completions", fleet_auth_header,
                    body);
  complete = a.complete && a.status == 200
             && fleet_stream_is_complete (a.body, prompt, MAX_TOKENS);
  count_outcome (&drafts, &a, complete);
  http_response_free (&a);
}

static void
send_order (uint32_t worker, uint32_t n)
{
  char headers[256];
  struct http_response a;

  snprintf (headers, sizeof headers, "%sIdempotency-Key: order-%u-%u\r\n",
            fleet_auth_header, worker, n);
  a = send_request (worker + n, "/orders", headers, "{\"crates\":1}");
  count_outcome (&orders, &a, a.complete && a.status == 201);
  http_response_free (&a);
}

static void *
run_worker (void *arg)
{
  uint32_t worker = (uint32_t)(uintptr_t)arg;

  for (uint32_t n = 0; n < REQUESTS_PER_WORKER; n++)
    {
      send_draft (worker, n);
      send_order (worker, n);
      harness_sleep_ms ((int)(10 + 7 * worker));
    }
  return NULL;
}

static void
inject_failures (void)
{
  harness_sleep_ms (PAUSE_MS);
  printf ("killing the engine of %s\n", fleet.upstreams[0].name);
  harness_signal (fleet.h, fleet.upstreams[0].upstream_pid, SIGKILL);
  harness_wait (fleet.h, fleet.upstreams[0].upstream_pid);
  harness_sleep_ms (PAUSE_MS);
  printf ("restarting the engine of %s\n", fleet.upstreams[0].name);
  fleet_start_upstream (&fleet, &fleet.upstreams[0]);
  harness_sleep_ms (PAUSE_MS);
  printf ("taking failure domain %s out of service\n",
          fleet.upstreams[1].failure_domain);
  fleet_set_out (&fleet, fleet.upstreams[1].failure_domain);
  harness_sleep_ms (PAUSE_MS);
  printf ("putting failure domain %s back in service\n",
          fleet.upstreams[1].failure_domain);
  fleet_set_out (&fleet, "");
  harness_sleep_ms (PAUSE_MS);
  printf ("stopping %s by SIGTERM\n", fleet.entries[1].name);
  harness_signal (fleet.h, fleet.entries[1].pid, SIGTERM);
  printf ("%s exited with status %d\n", fleet.entries[1].name,
          harness_wait (fleet.h, fleet.entries[1].pid));
}

/* Counts the orders that a plain service ran more than once.  */
static uint32_t
count_duplicated_orders (void)
{
  uint32_t doubled = 0;

  for (uint32_t i = 0; i < fleet.upstreams_count; i++)
    {
      struct http_response a;
      const char *at;
      if (strcmp (fleet.upstreams[i].pool, "order") != 0)
        continue;
      a = harness_http (fleet.upstreams[i].port, "GET", "/ran", "", "");
      for (at = a.body; at && (at = strstr (at, "\":")); at += 2)
        if (strtoul (at + 2, NULL, 10) > 1)
          doubled++;
      http_response_free (&a);
    }
  return doubled;
}

static void
print_row (const char *name, struct outcome_counts *t, uint32_t doubled)
{
  printf ("%-8s %8u %8u %8u %8u %8u\n", name, t->sent, t->complete, t->refused,
          t->lost, doubled);
}

static int
run_demo (void)
{
  pthread_t threads[WORKERS];
  uint32_t doubled;

  for (uintptr_t i = 0; i < WORKERS; i++)
    pthread_create (&threads[i], NULL, run_worker, (void *)i);
  inject_failures ();
  for (uint32_t i = 0; i < WORKERS; i++)
    pthread_join (threads[i], NULL);
  doubled = count_duplicated_orders ();
  printf ("\n%-8s %8s %8s %8s %8s %8s\n", "", "sent", "whole", "refused",
          "lost", "doubled");
  print_row ("drafts", &drafts, 0);
  print_row ("orders", &orders, doubled);
  return drafts.lost + orders.lost + doubled == 0 ? 0 : 1;
}

static int
wait_for_signal (void)
{
  sigset_t set;
  int number;

  sigemptyset (&set);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGTERM);
  sigprocmask (SIG_BLOCK, &set, NULL);
  printf ("entry   http://127.0.0.1:%u  (bearer key-1)\n"
          "status  http://127.0.0.1:%u/status\n"
          "folder  %s\n",
          fleet.entries[0].port, fleet.entries[0].operator_port,
          harness_config_dir (fleet.h));
  fflush (stdout);
  sigwait (&set, &number);
  return 0;
}

int
main (int argc, char **argv)
{
  char *self = strdup (argv[0]);
  bool keep_running = argc > 1 && strcmp (argv[1], "--keep") == 0;
  int rc;

  setvbuf (stdout, NULL, _IOLBF, 0);
  fleet_init (&fleet, dirname (self), 2, 1, 2);
  fleet_start (&fleet);
  rc = keep_running ? wait_for_signal () : run_demo ();
  fleet_free (&fleet);
  free (self);
  return rc;
}
