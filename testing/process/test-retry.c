/* Retries with the same key at another instance, while the first instance still runs the request,
 * and after it has been killed. What ran is read from the ledgers of the backend servers, what was
 * billed from the bills on the platform. */
#include "bill/bill.h"
#include "platform/platform-http.h"
#include "testing/harness/caller.h"

#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 30400,
  INSTANCES = 3,
  ENGINES = 2,
  STREAMS = 24,
  TOKENS = 120,
  TRIES_MAX = 40,
  RETRY_PAUSE_US = 100000,
  DISCONNECT_AFTER_PIECES = 3,
  US_PER_MS = 1000
};

static struct harness *harness;

/* One caller, which retries its request under KEY, and the last response that it received. */
struct keyed_caller
{
  pthread_t thread;
  char *key;
  char *prompt;
  struct harness_result answer;
  unsigned aborted;
};

/* Whether every instance sees all instances alive, so that they agree on each request's directory
 * instance. */
static bool
all_instances_see_all_alive (void *data)
{
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      g_autofree char *address = g_strdup_printf ("127.0.1.%u", i);
      json_t *status = harness_get_json (address, PORT_BASE, "/status");
      size_t alive = 0;
      json_t *member;
      size_t j;

      json_array_foreach (json_object_get (status, "members"), j, member) alive
          += strcmp (harness_json_text (member, "state"), "alive") == 0;
      json_decref (status);
      if (alive < INSTANCES)
        return false;
    }
  return true;
}

static int
start_fleet (void **state)
{
  static const struct harness_options options = { .name = "retry",
                                                  .port_base = PORT_BASE,
                                                  .instances = INSTANCES,
                                                  .engines = ENGINES,
                                                  .slots = 64,
                                                  .token_interval_ms = 15,
                                                  .prepaid_tokens = 100000000 };

  harness = harness_start (&options);
  if (harness == NULL)
    return -1;
  return harness_wait_until (all_instances_see_all_alive, NULL, HARNESS_WAIT_MS) ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  harness_stop (harness);
  return 0;
}

static struct harness_request
make_request (unsigned instance, const char *key, const char *prompt)
{
  static char addresses[INSTANCES + 1][16];

  g_snprintf (addresses[instance], sizeof addresses[instance], "127.0.1.%u", instance);
  return (struct harness_request){ .address = addresses[instance],
                                   .port = PORT_BASE,
                                   .service = "diary",
                                   .team = 1,
                                   .key = key,
                                   .prompt = prompt,
                                   .max_tokens = TOKENS,
                                   .stream = true };
}

/* Sends the request to instance 1, then to its peers in turn, until a complete or a wrong response
 * arrives. */
static void *
retry_until_answered (void *data)
{
  struct keyed_caller *caller = data;

  for (unsigned attempt = 0; attempt < TRIES_MAX; attempt++)
    {
      unsigned instance = attempt == 0 ? 1 : 2 + attempt % (INSTANCES - 1);
      struct harness_request request = make_request (instance, caller->key, caller->prompt);

      request.first_attempt = attempt == 0;
      caller->answer = harness_send (&request);
      if (caller->answer.outcome == HARNESS_COMPLETED || caller->answer.outcome == HARNESS_WRONG)
        break;
      caller->aborted += caller->answer.outcome == HARNESS_TRUNCATED;
      g_usleep (RETRY_PAUSE_US);
    }
  return NULL;
}

static int64_t
engines_running (void)
{
  int64_t running = 0;

  for (unsigned engine = 1; engine <= ENGINES; engine++)
    {
      json_t *ledger = harness_ledger (harness, engine);

      running += harness_json_number (ledger, "running");
      json_decref (ledger);
    }
  return running;
}

static bool
all_streams_are_running (void *data)
{
  return engines_running () >= STREAMS;
}

static bool
no_stream_is_running (void *data)
{
  return engines_running () == 0;
}

static int64_t
tokens_consumed (void)
{
  int64_t tokens = 0;

  for (unsigned engine = 1; engine <= ENGINES; engine++)
    {
      json_t *ledger = harness_ledger (harness, engine);

      tokens += harness_json_number (ledger, "tokens");
      json_decref (ledger);
    }
  return tokens;
}

struct bill_count
{
  const char *key;
  unsigned bills;
};

static bool
count_bill (const struct sr_bill *bill, void *data)
{
  struct bill_count *count = data;

  count->bills += strcmp (bill->request, count->key) == 0;
  return true;
}

static unsigned
count_bills_of (const char *key)
{
  struct sr_platform_http_options options = { .address = "127.0.1.200",
                                              .port = PORT_BASE + HARNESS_PORT_PLATFORM,
                                              .idle_timeout_s = 5 };
  struct sr_platform *platform = sr_platform_http_new (&options);
  struct bill_count count = { .key = key };

  assert_int_equal (sr_bills_read (platform, NULL, count_bill, &count), SR_PLATFORM_OK);
  sr_platform_unref (platform);
  return count.bills;
}

static bool
is_billed (void *data)
{
  return count_bills_of (data) > 0;
}

static void
a_retry_at_another_instance_joins_the_run_in_progress (void **state)
{
  struct keyed_caller first = { .key = "join-1", .prompt = "joined at another instance [n=120]" };
  struct harness_request retry = make_request (2, first.key, first.prompt);
  struct harness_request other
      = make_request (3, first.key, "another body under the same key [n=5]");
  int64_t before = tokens_consumed ();
  struct harness_result refused;
  struct harness_result answer;

  assert_int_equal (pthread_create (&first.thread, NULL, retry_until_answered, &first), 0);
  while (engines_running () == 0)
    g_usleep (10 * US_PER_MS);
  refused = harness_send (&other);
  answer = harness_send (&retry);
  pthread_join (first.thread, NULL);
  assert_string_equal (refused.code, "key_reused");
  assert_int_equal (answer.outcome, HARNESS_COMPLETED);
  assert_int_equal (first.answer.outcome, HARNESS_COMPLETED);
  assert_int_equal (tokens_consumed () - before, first.answer.billed_tokens);
  assert_true (harness_wait_until (is_billed, first.key, HARNESS_WAIT_MS));
  assert_int_equal (count_bills_of (first.key), 1);
}

static bool
disconnect_after_some_pieces (void *data, const char *bytes, size_t length)
{
  unsigned *pieces = data;

  (*pieces)++;
  return *pieces < DISCONNECT_AFTER_PIECES;
}

static void
a_request_of_a_disconnected_caller_is_cancelled_at_the_backend_server (void **state)
{
  struct harness_request request = make_request (1, NULL, "nobody waits for this [n=120]");
  int64_t before = tokens_consumed ();
  struct harness_http_response *reply;
  unsigned pieces = 0;

  request.on_body_part = disconnect_after_some_pieces;
  request.data = &pieces;
  reply = harness_send_raw (&request);
  assert_false (reply->complete);
  harness_reply_free (reply);
  assert_true (harness_wait_until (no_stream_is_running, NULL, HARNESS_WAIT_MS));
  assert_true (tokens_consumed () - before < TOKENS);
}

static void
streams_of_a_killed_instance_are_answered_by_its_peers_and_billed_once (void **state)
{
  struct keyed_caller callers[STREAMS] = { 0 };
  unsigned aborted = 0;

  for (unsigned i = 0; i < STREAMS; i++)
    {
      callers[i].key = g_strdup_printf ("kill-%u", i);
      callers[i].prompt = g_strdup_printf ("killed with stream %u open [n=%d]", i, TOKENS);
      assert_int_equal (
          pthread_create (&callers[i].thread, NULL, retry_until_answered, &callers[i]), 0);
    }
  assert_true (harness_wait_until (all_streams_are_running, NULL, HARNESS_WAIT_MS));
  harness_process_kill (harness->instances[1]);
  for (unsigned i = 0; i < STREAMS; i++)
    pthread_join (callers[i].thread, NULL);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      assert_string_equal (harness_outcome_to_string (callers[i].answer.outcome), "answered");
      aborted += callers[i].aborted;
      assert_true (harness_wait_until (is_billed, callers[i].key, HARNESS_WAIT_MS));
      assert_int_equal (count_bills_of (callers[i].key), 1);
      g_free (callers[i].key);
      g_free (callers[i].prompt);
    }
  assert_true (aborted > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_retry_at_another_instance_joins_the_run_in_progress),
    cmocka_unit_test (a_request_of_a_disconnected_caller_is_cancelled_at_the_backend_server),
    cmocka_unit_test (streams_of_a_killed_instance_are_answered_by_its_peers_and_billed_once),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
