/* demo - a small fleet under work and trouble, summed up in a table.

   Starts three agents with their stand-ins and two entries; sends streamed
   drafts and orders; kills an engine, takes a failure domain out and back and
   ends an entry meanwhile.  With --keep it starts the fleet, prints the URL
   of an entry and waits for a signal.  */

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
  REQUESTS = 60, /* of each worker */
  TOKENS = 20,
  PAUSE_MS = 800
};

struct tally
{
  atomic_uint sent;
  atomic_uint whole;
  atomic_uint refused;
  atomic_uint lost;
};

static struct fleet fleet;
static struct tally drafts;
static struct tally orders;

/* Entries take turns; one that does not answer has not been sent anything. */
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
count (struct tally *t, const struct http_response *a, bool whole)
{
  t->sent++;
  if (whole)
    t->whole++;
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
  bool whole;

  snprintf (prompt, sizeof prompt, "restock list %u of %u", n, worker);
  snprintf (body, sizeof body,
            "{\"model\":\"m\",\"stream\":true,\"max_tokens\":%d,"
            "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
            TOKENS, prompt);
  a = send_request (worker + n, "/v1/chat/completions", fleet_auth_header,
                    body);
  whole = a.complete && a.status == 200
          && fleet_stream_is_complete (a.body, prompt, TOKENS);
  count (&drafts, &a, whole);
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
  count (&orders, &a, a.complete && a.status == 201);
  http_response_free (&a);
}

static void *
work (void *arg)
{
  uint32_t worker = (uint32_t)(uintptr_t)arg;

  for (uint32_t n = 0; n < REQUESTS; n++)
    {
      send_draft (worker, n);
      send_order (worker, n);
      harness_sleep_ms ((int)(10 + 7 * worker));
    }
  return NULL;
}

static void
cause_trouble (void)
{
  harness_sleep_ms (PAUSE_MS);
  printf ("kill the engine of %s\n", fleet.upstreams[0].name);
  harness_signal (fleet.h, fleet.upstreams[0].upstream_pid, SIGKILL);
  harness_wait (fleet.h, fleet.upstreams[0].upstream_pid);
  harness_sleep_ms (PAUSE_MS);
  printf ("start the engine of %s\n", fleet.upstreams[0].name);
  fleet_start_upstream (&fleet, &fleet.upstreams[0]);
  harness_sleep_ms (PAUSE_MS);
  printf ("take out %s\n", fleet.upstreams[1].failure_domain);
  fleet_set_out (&fleet, fleet.upstreams[1].failure_domain);
  harness_sleep_ms (PAUSE_MS);
  printf ("take %s back in\n", fleet.upstreams[1].failure_domain);
  fleet_set_out (&fleet, "");
  harness_sleep_ms (PAUSE_MS);
  printf ("end %s by SIGTERM\n", fleet.entries[1].name);
  harness_signal (fleet.h, fleet.entries[1].pid, SIGTERM);
  printf ("%s ended with status %d\n", fleet.entries[1].name,
          harness_wait (fleet.h, fleet.entries[1].pid));
}

/* Counts the orders that ran more than once.  */
static uint32_t
count_doubled (void)
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
print_row (const char *name, struct tally *t, uint32_t doubled)
{
  printf ("%-8s %8u %8u %8u %8u %8u\n", name, t->sent, t->whole, t->refused,
          t->lost, doubled);
}

static int
run_demo (void)
{
  pthread_t threads[WORKERS];
  uint32_t doubled;

  for (uintptr_t i = 0; i < WORKERS; i++)
    pthread_create (&threads[i], NULL, work, (void *)i);
  cause_trouble ();
  for (uint32_t i = 0; i < WORKERS; i++)
    pthread_join (threads[i], NULL);
  doubled = count_doubled ();
  printf ("\n%-8s %8s %8s %8s %8s %8s\n", "", "sent", "whole", "refused",
          "lost", "doubled");
  print_row ("drafts", &drafts, 0);
  print_row ("orders", &orders, doubled);
  return drafts.lost + orders.lost + doubled == 0 ? 0 : 1;
}

static int
keep (void)
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
  bool stay = argc > 1 && strcmp (argv[1], "--keep") == 0;
  int rc;

  setvbuf (stdout, NULL, _IOLBF, 0);
  fleet_init (&fleet, dirname (self), 2, 1, 2);
  fleet_start (&fleet);
  rc = stay ? keep () : run_demo ();
  fleet_free (&fleet);
  free (self);
  return rc;
}
