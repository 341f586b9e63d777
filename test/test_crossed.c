/* Tests of an entry whose agents send responses for requests that were not
   sent to them or that have already failed.  The test plays both agents.  */

#include "bilberry/base.h"
#include "harness/fleet.h"
#include "harness/frame.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

enum
{
  WAIT_MS = 15000
};

/* An entry that is connected to two agents played by the test.  */
struct fixture
{
  struct fleet f;
  int listeners[2];
  struct frame_peer *agents[2];
  msgpack_sbuffer buf;
};

static void
fixture_init (struct fixture *s)
{
  fleet_init (&s->f, harness_build_dir (), 2, 0, 1);
  msgpack_sbuffer_init (&s->buf);
  for (uint32_t i = 0; i < 2; i++)
    s->listeners[i] = frame_listen (s->f.upstreams[i].agent_port);
}

/* Accepts the entry's connection to each agent and sends hello on it.  */
static void *
send_hellos (void *arg)
{
  struct fixture *s = arg;

  for (uint32_t i = 0; i < 2; i++)
    {
      struct bb_hello hello = { .role = BB_ROLE_AGENT,
                                .incarnation = 77 + i,
                                .name = bb_bytes_of (s->f.upstreams[i].name),
                                .load = { .limit = 8 } };
      s->agents[i] = frame_accept (s->listeners[i]);
      bb_put_hello (&s->buf, &hello);
      frame_send (s->agents[i], &s->buf);
    }
  return NULL;
}

static void
fixture_start (struct fixture *s)
{
  pthread_t thread;

  pthread_create (&thread, NULL, send_hellos, s);
  fleet_start_entry (&s->f, &s->f.entries[0]);
  pthread_join (thread, NULL);
}

static void
fixture_free (struct fixture *s)
{
  for (uint32_t i = 0; i < 2; i++)
    {
      frame_close (s->agents[i]);
      close (s->listeners[i]);
    }
  msgpack_sbuffer_destroy (&s->buf);
  fleet_free (&s->f);
}

struct client
{
  struct fleet *f;
  const char *prompt;
  struct http_response answer;
};

static void *
send_request (void *arg)
{
  struct client *c = arg;
  char *body = g_strdup_printf ("{\"prompt\":\"%s\"}", c->prompt);

  c->answer = harness_http (c->f->entries[0].port, "POST", "/v1/completions",
                            fleet_auth_header, body);
  g_free (body);
  return NULL;
}

/* Waits until either agent receives a call; stores its id in *ID and returns
   the index of the agent.  */
static uint32_t
await_call (struct fixture *s, uint64_t *id)
{
  struct bb_message m;

  for (int spent = 0; spent < WAIT_MS; spent += 20)
    for (uint32_t i = 0; i < 2; i++)
      if (frame_await (s->agents[i], BB_MSG_CALL, &m, 10))
        {
          *id = m.u.call.id;
          bb_message_free (&m);
          return i;
        }
  g_assert_not_reached ();
}

static void
answer_call (struct fixture *s, uint32_t agent, uint64_t id, const char *text)
{
  struct bb_head head = { .id = id, .status = 200 };
  struct bb_data data = { .id = id, .body = bb_bytes_of (text) };
  struct bb_end end = { .id = id, .load = { .limit = 8 } };

  bb_put_head (&s->buf, &head);
  bb_put_data (&s->buf, &data);
  bb_put_end (&s->buf, &end);
  frame_send (s->agents[agent], &s->buf);
}

/* The agent that was not chosen responds under the id of the call, and the
   chosen one under an unknown id: the client must get the chosen agent's
   response to the call.  */
static void
test_crossed (void)
{
  struct fixture s;
  struct client c = { .f = &s.f, .prompt = "one" };
  pthread_t thread;
  uint64_t id;
  uint32_t chosen;

  fixture_init (&s);
  fixture_start (&s);
  pthread_create (&thread, NULL, send_request, &c);
  chosen = await_call (&s, &id);
  answer_call (&s, 1 - chosen, id, "crossed");
  answer_call (&s, chosen, id + 1000, "unknown");
  g_assert_true (harness_await (s.f.entries[0].operator_port, "/metrics",
                                "bilberry_late_answers_total 6", WAIT_MS));
  answer_call (&s, chosen, id, "right");
  pthread_join (thread, NULL);
  g_assert_cmpint (c.answer.status, ==, 200);
  g_assert_cmpstr (c.answer.body, ==, "right");
  http_response_free (&c.answer);
  fixture_free (&s);
}

/* The first attempt is refused, but its agent still sends a response to it:
   the client must get only the response to the second attempt.  */
static void
test_late (void)
{
  struct fixture s;
  struct client c = { .f = &s.f, .prompt = "two" };
  struct bb_refusal refusal = { .run = BB_RUN_NOT_RUN,
                                .reason = BB_REASON_OVERLOAD,
                                .load = { .limit = 8 } };
  pthread_t thread;
  uint64_t first_id;
  uint64_t id;
  uint32_t first;
  uint32_t second;

  fixture_init (&s);
  fixture_start (&s);
  /* Earlier requests add to the budget for the retry below.  */
  for (uint32_t i = 0; i < 5; i++)
    {
      pthread_create (&thread, NULL, send_request, &c);
      first = await_call (&s, &id);
      answer_call (&s, first, id, "filler");
      pthread_join (thread, NULL);
      http_response_free (&c.answer);
    }
  pthread_create (&thread, NULL, send_request, &c);
  first = await_call (&s, &first_id);
  refusal.id = first_id;
  bb_put_refusal (&s.buf, &refusal);
  frame_send (s.agents[first], &s.buf);
  second = await_call (&s, &id);
  g_assert_cmpuint (second, !=, first);
  g_assert_cmpuint (id, !=, first_id);
  answer_call (&s, first, first_id, "late");
  answer_call (&s, second, id, "right");
  pthread_join (thread, NULL);
  g_assert_cmpint (c.answer.status, ==, 200);
  g_assert_cmpstr (c.answer.body, ==, "right");
  http_response_free (&c.answer);
  fixture_free (&s);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crossed/other-agent", test_crossed);
  g_test_add_func ("/crossed/late", test_late);
  return g_test_run ();
}
