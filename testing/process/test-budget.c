/* No budget is overspent: real instances in three data centres under partitions, outages, lost
 * answers, kills and pauses. What was consumed is what the engines' ledgers say. */
#include "bill/bill.h"
#include "budget/record.h"
#include "platform/platform-http.h"
#include "testing/harness/caller.h"

#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 31700,
  INSTANCES = 6,
  ENGINES = 2,
  PREPAID = 6000,
  TOP_UP = 3000,
  ANSWER_TOKENS = 20,
  REQUEST_TOKENS = 24,  /* consumed by one request: 4 of the prompt, 20 of the answer */
  REFUSALS_TO_STOP = 4, /* in a row */
  REFUSAL_PAUSE_US = 400000,
  STRANDED_MAX = PREPAID / 10, /* left when all are refused and every instance is alive */
  SOME_REQUESTS = 20,
  WAIT_MS = 60000
};

static const char *const data_centres[] = { "makole", "chamwino", "kikuyu", NULL };
static const char prompt[] = "water [n=20]";

/* One caller at one instance. */
struct caller
{
  pthread_t thread;
  unsigned instance;
  unsigned requests_max; /* 0: until it is refused for good */
  unsigned answered;
  unsigned refused;
  unsigned wrong;
};

static struct harness *harness;

static int
start_fleet_ (void **state)
{
  static const struct harness_options options = { .name = "budget",
                                                  .port_base = PORT_BASE,
                                                  .instances = INSTANCES,
                                                  .data_centres = data_centres,
                                                  .engines = ENGINES,
                                                  .teams = 1,
                                                  .prepaid_tokens = PREPAID };

  harness = harness_start (&options);
  return harness != NULL ? 0 : -1;
}

static int
stop_fleet_ (void **state)
{
  harness_stop (harness);
  return 0;
}

static struct harness_answer
ask_ (unsigned instance, const char *key)
{
  g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, instance, false);
  struct harness_ask ask = { .address = address,
                             .port = harness_port (harness, HARNESS_PORT_ENTRY),
                             .service = "diary",
                             .team = 1,
                             .key = key,
                             .prompt = prompt,
                             .max_tokens = ANSWER_TOKENS };

  return harness_ask (&ask);
}

static void *
caller_run_ (void *data)
{
  struct caller *caller = data;
  unsigned in_a_row = 0;

  while (in_a_row < REFUSALS_TO_STOP
         && (caller->requests_max == 0 || caller->answered < caller->requests_max))
    {
      struct harness_answer answer = ask_ (caller->instance, NULL);

      caller->answered += answer.verdict == HARNESS_ANSWERED;
      caller->refused += answer.verdict == HARNESS_REFUSED;
      caller->wrong += answer.verdict == HARNESS_WRONG;
      in_a_row = answer.verdict == HARNESS_ANSWERED ? 0 : in_a_row + 1;
      if (caller->requests_max > 0 && answer.verdict != HARNESS_ANSWERED)
        print_message ("request %u at instance %u: %s %s\n", caller->answered + caller->refused,
                       caller->instance, harness_verdict_to_string (answer.verdict), answer.code);
      if (in_a_row > 0)
        g_usleep (REFUSAL_PAUSE_US);
    }
  return NULL;
}

/* Callers at the instances FIRST to LAST at once; returns the sums. */
static struct caller
call_ (unsigned first, unsigned last, unsigned requests_max)
{
  struct caller callers[INSTANCES + 1] = { 0 };
  struct caller sum = { 0 };

  for (unsigned i = first; i <= last; i++)
    {
      callers[i].instance = i;
      callers[i].requests_max = requests_max;
      pthread_create (&callers[i].thread, NULL, caller_run_, &callers[i]);
    }
  for (unsigned i = first; i <= last; i++)
    {
      pthread_join (callers[i].thread, NULL);
      sum.answered += callers[i].answered;
      sum.refused += callers[i].refused;
      sum.wrong += callers[i].wrong;
    }
  assert_int_equal (sum.wrong, 0);
  return sum;
}

static int64_t
consumed_ (void)
{
  int64_t sum = 0;

  for (unsigned i = 1; i <= ENGINES; i++)
    {
      json_t *ledger = harness_ledger (harness, i);

      sum += harness_json_number (ledger, "budgets.budget-1");
      json_decref (ledger);
    }
  return sum;
}

/* Returns the instance that has been granted the most by the platform. */
static unsigned
largest_holder_ (void)
{
  g_autofree char *address = harness_address (HARNESS_PORT_PLATFORM, 0, false);
  struct harness_call call = { .address = address,
                               .port = harness_port (harness, HARNESS_PORT_PLATFORM),
                               .path = "/v1/objects/budget/budget-1" };
  struct harness_reply *reply = harness_call (&call);
  struct sr_record *record = sr_record_parse (reply->body->str, reply->body->len);
  const struct sr_record_holder *largest = NULL;
  unsigned instance = 0;

  assert_non_null (record);
  for (unsigned i = 0; i < record->holders->len; i++)
    {
      const struct sr_record_holder *holder
          = &g_array_index (record->holders, struct sr_record_holder, i);

      if (largest == NULL || holder->granted > largest->granted)
        largest = holder;
    }
  assert_non_null (largest);
  assert_int_equal (sscanf (largest->id.instance, "entry-%u", &instance), 1);
  sr_record_delete (record);
  harness_reply_free (reply);
  return instance;
}

/* Runs the budget down at all instances, and checks what was consumed of PREPAID in all. */
static void
run_down_ (int64_t prepaid, int64_t stranded_max)
{
  struct caller sum = call_ (1, INSTANCES, 0);
  int64_t consumed = consumed_ ();

  print_message ("consumed %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
                 " tokens, %u answered, %u refused\n",
                 consumed, prepaid, sum.answered, sum.refused);
  assert_true (consumed <= prepaid);
  assert_true (consumed >= prepaid - stranded_max);
}

static void
cut_ (enum harness_port from_port, unsigned from, enum harness_port to_port, unsigned to)
{
  g_autofree char *source = harness_address (from_port, from, false);
  g_autofree char *target = harness_address (to_port, to, true);

  assert_true (harness_rule (harness, source, target, "cut", 0));
}

/* Instances of different data centres cannot reach each other; instance I is in data centre
 * (I - 1) % SIDES. */
static void
split_ (unsigned sides)
{
  for (unsigned a = 1; a <= INSTANCES; a++)
    for (unsigned b = 1; b <= INSTANCES; b++)
      if ((a - 1) % sides != (b - 1) % sides)
        cut_ (HARNESS_PORT_PEER, a, HARNESS_PORT_PEER, b);
}

static void
budget_runs_down_to_its_last_tokens (void **state)
{
  run_down_ (PREPAID, STRANDED_MAX);
}

/* Three sides; only the first reaches the platform, and a top-up arrives meanwhile. */
static void
partition_in_three_never_overspends (void **state)
{
  call_ (1, INSTANCES, SOME_REQUESTS / 4);
  split_ (3);
  for (unsigned i = 1; i <= INSTANCES; i++)
    if ((i - 1) % 3 != 0)
      cut_ (HARNESS_PORT_PEER, i, HARNESS_PORT_PLATFORM, 0);
  call_ (1, INSTANCES, SOME_REQUESTS);
  assert_true (harness_top_up (harness, "budget-1", TOP_UP, "more"));
  call_ (1, INSTANCES, SOME_REQUESTS);
  assert_true (consumed_ () <= PREPAID + TOP_UP);
  assert_true (harness_clear_rules (harness));
  run_down_ (PREPAID + TOP_UP, STRANDED_MAX);
}

/* Two sides that both reach the platform spend the same budget to its end. */
static void
partition_in_two_never_overspends (void **state)
{
  split_ (2);
  run_down_ (PREPAID, PREPAID / 2);
  assert_true (harness_clear_rules (harness));
  run_down_ (PREPAID, STRANDED_MAX);
}

static void
outage_of_the_platform_is_bridged (void **state)
{
  struct caller sum;

  call_ (1, INSTANCES, SOME_REQUESTS / 4);
  assert_true (harness_control_platform (harness, "/control/fault?mode=outage"));
  sum = call_ (1, INSTANCES, 2);
  assert_int_equal (sum.answered, 2 * INSTANCES);
  assert_int_equal (sum.refused, 0);
  assert_true (harness_control_platform (harness, "/control/fault?mode=silent"));
  sum = call_ (1, INSTANCES, 2);
  assert_int_equal (sum.answered, 2 * INSTANCES);
  assert_int_equal (sum.refused, 0);
  assert_true (harness_control_platform (harness, "/control/fault?mode=slow&delay_ms=300"));
  call_ (1, INSTANCES, 2);
  assert_true (harness_control_platform (harness, "/control/fault?mode=none"));
  run_down_ (PREPAID, STRANDED_MAX);
}

/* Writes take effect and their answers are lost, for draws, returns and a top-up. */
static void
lost_answers_count_once (void **state)
{
  assert_true (harness_control_platform (harness, "/control/lose?kind=budget&count=40"));
  call_ (1, INSTANCES, SOME_REQUESTS);
  assert_true (harness_top_up (harness, "budget-1", TOP_UP, "lost"));
  assert_true (harness_top_up (harness, "budget-1", TOP_UP, "lost"));
  assert_true (harness_control_platform (harness, "/control/lose?kind=budget&count=0"));
  run_down_ (PREPAID + TOP_UP, STRANDED_MAX);
}

/* The largest holder is killed, and another instance; what they held is taken back but for what
 * their witnesses had let them spend. */
static void
killed_holders_are_taken_back (void **state)
{
  unsigned killed[2];

  call_ (1, INSTANCES, SOME_REQUESTS / 2);
  killed[0] = largest_holder_ ();
  killed[1] = killed[0] % INSTANCES + 1;
  for (unsigned i = 0; i < 2; i++)
    harness_process_kill (harness->instances[killed[i]]);
  for (unsigned i = 0; i < 2; i++)
    assert_true (harness_start_instance (harness, killed[i]));
  for (unsigned i = 0; i < 2; i++)
    assert_true (harness_wait_instance_ready (harness, killed[i], WAIT_MS));
  run_down_ (PREPAID, PREPAID / 4);
}

/* The largest holder is stopped in its tracks, the others take back what it held and spend it, and
 * then it goes on: the engines of this fleet ignore fencing numbers. */
static void
paused_holder_does_not_spend_what_was_taken_back (void **state)
{
  unsigned paused;

  call_ (1, INSTANCES, SOME_REQUESTS / 2);
  paused = largest_holder_ ();
  harness_process_signal (harness->instances[paused], SIGSTOP);
  for (unsigned i = 1; i <= INSTANCES; i++)
    if (i != paused)
      call_ (i, i, 0);
  assert_true (consumed_ () <= PREPAID);
  assert_true (consumed_ () >= PREPAID - PREPAID / 4);
  harness_process_signal (harness->instances[paused], SIGCONT);
  run_down_ (PREPAID, PREPAID / 4);
}

static bool
count_bill_ (const struct sr_bill *bill, void *data)
{
  if (strcmp (bill->request, "same") == 0)
    ++*(unsigned *)data;
  return true;
}

static unsigned
bills_of_same_ (void)
{
  g_autofree char *address = harness_address (HARNESS_PORT_PLATFORM, 0, false);
  struct sr_platform_http_options options = { .address = address,
                                              .port = harness_port (harness, HARNESS_PORT_PLATFORM),
                                              .timeout_s = 5 };
  struct sr_platform *platform = sr_platform_http_new (&options);
  unsigned count = 0;

  assert_int_equal (sr_bills_read (platform, NULL, count_bill_, &count), SR_PLATFORM_OK);
  sr_platform_unref (platform);
  return count;
}

/* The same request at instances on three sides of a partition may run three times, and is billed
 * once; all its runs count against the budget. The bills are handed over by a planned stop. */
static void
request_on_three_sides_is_billed_once (void **state)
{
  int exit_code;

  split_ (3);
  for (unsigned i = 1; i <= 3; i++)
    assert_int_equal (ask_ (i, "same").verdict, HARNESS_ANSWERED);
  assert_true (consumed_ () >= REQUEST_TOKENS);
  assert_true (harness_clear_rules (harness));
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      assert_true (harness_process_terminate (harness->instances[i], WAIT_MS, &exit_code));
      assert_int_equal (exit_code, 0);
    }
  assert_int_equal (bills_of_same_ (), 1);
}

int
main (void)
{
#define FLEET_TEST(name) cmocka_unit_test_setup_teardown (name, start_fleet_, stop_fleet_)
  const struct CMUnitTest tests[] = {
    FLEET_TEST (budget_runs_down_to_its_last_tokens),
    FLEET_TEST (partition_in_three_never_overspends),
    FLEET_TEST (partition_in_two_never_overspends),
    FLEET_TEST (outage_of_the_platform_is_bridged),
    FLEET_TEST (lost_answers_count_once),
    FLEET_TEST (killed_holders_are_taken_back),
    FLEET_TEST (paused_holder_does_not_spend_what_was_taken_back),
    FLEET_TEST (request_on_three_sides_is_billed_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
