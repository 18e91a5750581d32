/* Under random faults from a fixed seed and under overload, a request that was refused as "not run"
 * must not be in the ledger of any backend server, and an answered one must be. */
#include "base/thread.h"
#include "testing/harness/caller.h"

#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 30600,
  INSTANCES = 2,
  ENGINES = 2,
  SERVICES = 1,
  REQUESTS = 1200,
  CALLERS = 40,
  REFUSED_MIN = 20,
  US_PER_MS = 1000,
  SEED = 20260102
};

static struct harness *harness;

/* The requests of the test, and the outcomes that their callers received. */
struct run
{
  atomic_int next_request;
  atomic_int callers_left;
  bool not_run[REQUESTS];
  bool answered[REQUESTS];
  atomic_int outcomes[HARNESS_WRONG + 1];
};

static int
start_fleet (void **state)
{
  static const struct harness_options options = { .name = "not-run",
                                                  .port_base = PORT_BASE,
                                                  .instances = INSTANCES,
                                                  .engines = ENGINES,
                                                  .services = SERVICES,
                                                  .slots = 4,
                                                  .token_interval_ms = 5,
                                                  .prepaid_tokens = 100000000 };

  harness = harness_start (&options);
  return harness != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  harness_stop (harness);
  return 0;
}

static bool
is_model_request (int number)
{
  return number % 3 != 0;
}

/* Sends request NUMBER under a key of its own. Every third request goes to the plain service, whose
 * calls may be repeated. */
static void
send_request (struct run *run, int number, GRand *random)
{
  unsigned instance = (unsigned)g_rand_int_range (random, 1, INSTANCES + 1);
  g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, instance, false);
  g_autofree char *key = g_strdup_printf ("run-%d", number);
  g_autofree char *prompt = g_strdup_printf ("request %d [n=20]", number);
  struct harness_request request = { .address = address,
                                     .port = harness_port (harness, HARNESS_PORT_ENTRY),
                                     .service = is_model_request (number) ? "diary" : "lookup",
                                     .team = 1 + (unsigned)number % 3,
                                     .key = key,
                                     .first_attempt = true,
                                     .deadline_ms = g_rand_int_range (random, 50, 1500),
                                     .max_tokens = 20,
                                     .stream = number % 2 == 0 };
  struct harness_result answer;

  if (is_model_request (number))
    request.prompt = prompt;
  else
    request.body = "{\"pump\":7}";
  answer = harness_send (&request);
  run->not_run[number] = answer.outcome == HARNESS_REFUSED;
  run->answered[number] = answer.outcome == HARNESS_COMPLETED;
  run->outcomes[answer.outcome]++;
  if (answer.outcome != HARNESS_COMPLETED)
    g_usleep (100 * US_PER_MS);
}

static void *
run_caller (void *data)
{
  struct run *run = data;
  int number;

  while ((number = run->next_request++) < REQUESTS)
    {
      GRand *random = g_rand_new_with_seed (SEED + (guint32)number);

      send_request (run, number, random);
      g_rand_free (random);
    }
  run->callers_left--;
  return NULL;
}

static void
inject_fault (GRand *random)
{
  static const char *const engine_faults[]
      = { "/control/fault?mode=cut&after_tokens=3&count=2",
          "/control/fault?mode=cut&after_tokens=0&count=2",
          "/control/fault?mode=hang&after_tokens=2&count=1", "/control/fault?mode=refuse&count=4",
          "/control/fault?mode=loading&count=4" };
  static const char *const service_faults[]
      = { "/control/fault?mode=close_after_run&count=2",
          "/control/fault?mode=close_before_run&count=2", "/control/fault?mode=hang&count=1",
          "/control/fault?mode=refuse&count=4" };
  unsigned engine = (unsigned)g_rand_int_range (random, 1, ENGINES + 1);
  g_autofree char *address = harness_address (HARNESS_PORT_BACKEND, engine, true);

  switch (g_rand_int_range (random, 0, 5))
    {
    case 0:
      harness_add_rule (harness, "*", address, "cut", 0);
      g_usleep (200 * US_PER_MS);
      harness_clear_rules (harness);
      break;
    case 1:
      harness_control_platform (harness, "/control/fault?mode=outage");
      g_usleep (200 * US_PER_MS);
      harness_control_platform (harness, "/control/fault?mode=none");
      break;
    case 2:
      harness_control_backend (harness, ENGINES + 1,
                               service_faults[g_rand_int_range (random, 0, 4)]);
      break;
    default:
      harness_control_backend (harness, engine, engine_faults[g_rand_int_range (random, 0, 5)]);
      break;
    }
  g_usleep (150 * US_PER_MS);
}

/* Marks in RAN the requests that the ledger of BACKEND lists, as "TEAM/run-N" or
 * "TEAM/run-N/ATTEMPT". */
static void
mark_requests_in_ledger (unsigned backend, bool ran[REQUESTS])
{
  json_t *ledger = harness_ledger (harness, backend);
  const char *name;
  json_t *value;

  json_object_foreach (json_object_get (ledger, "requests"), name, value)
  {
    const char *key = strstr (name, "/run-");
    gint64 number = key != NULL ? g_ascii_strtoll (key + strlen ("/run-"), NULL, 10) : -1;

    if (number >= 0 && number < REQUESTS)
      ran[number] = true;
  }
  json_decref (ledger);
}

static void
a_request_refused_as_not_run_has_not_run (void **state)
{
  static struct run run = { .callers_left = CALLERS };
  bool ran[REQUESTS] = { false };
  GRand *random = g_rand_new_with_seed (SEED);
  pthread_t callers[CALLERS];

  for (int i = 0; i < CALLERS; i++)
    assert_true (sr_thread_start (&callers[i], 0, run_caller, &run));
  while (run.callers_left > 0)
    inject_fault (random);
  for (int i = 0; i < CALLERS; i++)
    pthread_join (callers[i], NULL);
  g_rand_free (random);
  for (unsigned i = 1; i <= ENGINES + SERVICES; i++)
    mark_requests_in_ledger (i, ran);
  print_message ("%d answered, %d not run, %d unknown, %d aborted\n",
                 run.outcomes[HARNESS_COMPLETED], run.outcomes[HARNESS_REFUSED],
                 run.outcomes[HARNESS_UNKNOWN], run.outcomes[HARNESS_TRUNCATED]);
  for (int i = 0; i < REQUESTS; i++)
    {
      if (run.not_run[i] && ran[i])
        fail_msg ("request %d was refused as not run, but it ran", i);
      if (run.answered[i] && !ran[i])
        fail_msg ("request %d was answered, but it did not run", i);
    }
  assert_int_equal (run.outcomes[HARNESS_WRONG], 0);
  assert_true (run.outcomes[HARNESS_REFUSED] >= REFUSED_MIN);
  assert_true (run.outcomes[HARNESS_COMPLETED] >= REQUESTS / 4);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_request_refused_as_not_run_has_not_run),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
