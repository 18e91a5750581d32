/* No budget may be overspent by instances in three data centres under partitions, platform outages,
 * lost responses, kills and pauses. Consumption is read from the ledgers of the backend servers. */
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
  PREPAID_TOKENS = 6000,
  TOP_UP_TOKENS = 3000,
  ANSWER_TOKENS = 20,
  REQUEST_TOKENS = 24,  /* consumed by one request: 4 for the prompt, 20 for the response */
  REFUSALS_TO_STOP = 4, /* consecutive refusals after which a caller stops */
  REFUSAL_PAUSE_US = 400000,
  /* left when all requests are refused and every instance is alive */
  STRANDED_MAX_TOKENS = PREPAID_TOKENS / 10,
  REQUESTS_PER_CALLER = 20,
  WAIT_MS = 60000
};

static const char *const data_centres[] = { "makole", "chamwino", "kikuyu", NULL };
static const char prompt[] = "water [n=20]";

/* One caller, which sends all its requests to one instance. */
struct caller
{
  pthread_t thread;
  unsigned instance;
  unsigned requests_max; /* 0: no limit, ends after REFUSALS_TO_STOP refusals */
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
                                                  .prepaid_tokens = PREPAID_TOKENS };

  harness = harness_start (&options);
  return harness != NULL ? 0 : -1;
}

static int
stop_fleet_ (void **state)
{
  harness_stop (harness);
  return 0;
}

static struct harness_result
send_request_ (unsigned instance, const char *key)
{
  g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, instance, false);
  struct harness_request request = { .address = address,
                                     .port = harness_port (harness, HARNESS_PORT_ENTRY),
                                     .service = "diary",
                                     .team = 1,
                                     .key = key,
                                     .prompt = prompt,
                                     .max_tokens = ANSWER_TOKENS };

  return harness_send (&request);
}

static void *
run_caller_ (void *data)
{
  struct caller *caller = data;
  unsigned consecutive_refusals = 0;

  while (consecutive_refusals < REFUSALS_TO_STOP
         && (caller->requests_max == 0 || caller->answered < caller->requests_max))
    {
      struct harness_result answer = send_request_ (caller->instance, NULL);

      caller->answered += answer.outcome == HARNESS_COMPLETED;
      caller->refused += answer.outcome == HARNESS_REFUSED;
      caller->wrong += answer.outcome == HARNESS_WRONG;
      consecutive_refusals = answer.outcome == HARNESS_COMPLETED ? 0 : consecutive_refusals + 1;
      if (caller->requests_max > 0 && answer.outcome != HARNESS_COMPLETED)
        print_message ("request %u at instance %u: %s %s\n", caller->answered + caller->refused,
                       caller->instance, harness_outcome_to_string (answer.outcome), answer.code);
      if (consecutive_refusals > 0)
        g_usleep (REFUSAL_PAUSE_US);
    }
  return NULL;
}

/* Runs one caller at each of the instances FIRST to LAST, all at the same time, and returns the
 * sums of their counts. */
static struct caller
run_callers_ (unsigned first, unsigned last, unsigned requests_max)
{
  struct caller callers[INSTANCES + 1] = { 0 };
  struct caller sum = { 0 };

  for (unsigned i = first; i <= last; i++)
    {
      callers[i].instance = i;
      callers[i].requests_max = requests_max;
      pthread_create (&callers[i].thread, NULL, run_caller_, &callers[i]);
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
consumed_tokens_ (void)
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

/* Returns the number of the instance with the largest grant on the budget's record. */
static unsigned
largest_holder_ (void)
{
  g_autofree char *address = harness_address (HARNESS_PORT_PLATFORM, 0, false);
  struct harness_call call = { .address = address,
                               .port = harness_port (harness, HARNESS_PORT_PLATFORM),
                               .path = "/v1/objects/budget/budget-1" };
  struct harness_http_response *reply = harness_call (&call);
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

/* Sends requests to all instances until the budget is exhausted, and checks that at most PREPAID
 * tokens were consumed and at most STRANDED_MAX are left unspent. */
static void
exhaust_budget_ (int64_t prepaid, int64_t stranded_max)
{
  struct caller sum = run_callers_ (1, INSTANCES, 0);
  int64_t consumed = consumed_tokens_ ();

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

  assert_true (harness_add_rule (harness, source, target, "cut", 0));
}

/* Partitions the fleet into SIDES: instances of different sides cannot reach each other. Instance I
 * is on side (I - 1) % SIDES. */
static void
partition_ (unsigned sides)
{
  for (unsigned a = 1; a <= INSTANCES; a++)
    for (unsigned b = 1; b <= INSTANCES; b++)
      if ((a - 1) % sides != (b - 1) % sides)
        cut_ (HARNESS_PORT_PEER, a, HARNESS_PORT_PEER, b);
}

static void
budget_can_be_spent_almost_to_the_last_token (void **state)
{
  exhaust_budget_ (PREPAID_TOKENS, STRANDED_MAX_TOKENS);
}

/* Three partitions, of which only the first reaches the platform, and a top-up during the
 * partition. */
static void
partition_in_three_does_not_overspend (void **state)
{
  run_callers_ (1, INSTANCES, REQUESTS_PER_CALLER / 4);
  partition_ (3);
  for (unsigned i = 1; i <= INSTANCES; i++)
    if ((i - 1) % 3 != 0)
      cut_ (HARNESS_PORT_PEER, i, HARNESS_PORT_PLATFORM, 0);
  run_callers_ (1, INSTANCES, REQUESTS_PER_CALLER);
  assert_true (harness_top_up (harness, "budget-1", TOP_UP_TOKENS, "more"));
  run_callers_ (1, INSTANCES, REQUESTS_PER_CALLER);
  assert_true (consumed_tokens_ () <= PREPAID_TOKENS + TOP_UP_TOKENS);
  assert_true (harness_clear_rules (harness));
  exhaust_budget_ (PREPAID_TOKENS + TOP_UP_TOKENS, STRANDED_MAX_TOKENS);
}

/* Two partitions that both reach the platform exhaust the same budget. */
static void
partition_in_two_does_not_overspend (void **state)
{
  partition_ (2);
  exhaust_budget_ (PREPAID_TOKENS, PREPAID_TOKENS / 2);
  assert_true (harness_clear_rules (harness));
  exhaust_budget_ (PREPAID_TOKENS, STRANDED_MAX_TOKENS);
}

static void
requests_are_answered_during_a_platform_outage (void **state)
{
  struct caller sum;

  run_callers_ (1, INSTANCES, REQUESTS_PER_CALLER / 4);
  assert_true (harness_control_platform (harness, "/control/fault?mode=outage"));
  sum = run_callers_ (1, INSTANCES, 2);
  assert_int_equal (sum.answered, 2 * INSTANCES);
  assert_int_equal (sum.refused, 0);
  assert_true (harness_control_platform (harness, "/control/fault?mode=silent"));
  sum = run_callers_ (1, INSTANCES, 2);
  assert_int_equal (sum.answered, 2 * INSTANCES);
  assert_int_equal (sum.refused, 0);
  assert_true (harness_control_platform (harness, "/control/fault?mode=slow&delay_ms=300"));
  run_callers_ (1, INSTANCES, 2);
  assert_true (harness_control_platform (harness, "/control/fault?mode=none"));
  exhaust_budget_ (PREPAID_TOKENS, STRANDED_MAX_TOKENS);
}

/* Draws, returns and a top-up are written by the platform but their responses are lost, so that the
 * writes are retried; each must count once. */
static void
writes_with_lost_responses_count_once (void **state)
{
  assert_true (harness_control_platform (harness, "/control/lose?kind=budget&count=40"));
  run_callers_ (1, INSTANCES, REQUESTS_PER_CALLER);
  assert_true (harness_top_up (harness, "budget-1", TOP_UP_TOKENS, "lost"));
  assert_true (harness_top_up (harness, "budget-1", TOP_UP_TOKENS, "lost"));
  assert_true (harness_control_platform (harness, "/control/lose?kind=budget&count=0"));
  exhaust_budget_ (PREPAID_TOKENS + TOP_UP_TOKENS, STRANDED_MAX_TOKENS);
}

/* The largest holder and another instance are killed. The tokens that they held are reclaimed,
 * except for what they may have spent under the ceilings that their witnesses acknowledged. */
static void
tokens_of_killed_holders_are_reclaimed (void **state)
{
  unsigned killed[2];

  run_callers_ (1, INSTANCES, REQUESTS_PER_CALLER / 2);
  killed[0] = largest_holder_ ();
  killed[1] = killed[0] % INSTANCES + 1;
  for (unsigned i = 0; i < 2; i++)
    harness_process_kill (harness->instances[killed[i]]);
  for (unsigned i = 0; i < 2; i++)
    assert_true (harness_start_instance (harness, killed[i]));
  for (unsigned i = 0; i < 2; i++)
    assert_true (harness_wait_instance_ready (harness, killed[i], WAIT_MS));
  exhaust_budget_ (PREPAID_TOKENS, PREPAID_TOKENS / 4);
}

/* The largest holder is paused, its peers reclaim and spend the tokens that it held, and then it
 * continues. It must not spend them again; the backend servers of this fleet ignore fencing
 * numbers, so that they do not prevent it. */
static void
paused_holder_does_not_spend_reclaimed_tokens (void **state)
{
  unsigned paused;

  run_callers_ (1, INSTANCES, REQUESTS_PER_CALLER / 2);
  paused = largest_holder_ ();
  harness_process_signal (harness->instances[paused], SIGSTOP);
  for (unsigned i = 1; i <= INSTANCES; i++)
    if (i != paused)
      run_callers_ (i, i, 0);
  assert_true (consumed_tokens_ () <= PREPAID_TOKENS);
  assert_true (consumed_tokens_ () >= PREPAID_TOKENS - PREPAID_TOKENS / 4);
  harness_process_signal (harness->instances[paused], SIGCONT);
  exhaust_budget_ (PREPAID_TOKENS, PREPAID_TOKENS / 4);
}

static bool
count_bill_ (const struct sr_bill *bill, void *data)
{
  if (strcmp (bill->request, "same") == 0)
    ++*(unsigned *)data;
  return true;
}

static unsigned
count_bills_of_same_ (void)
{
  g_autofree char *address = harness_address (HARNESS_PORT_PLATFORM, 0, false);
  struct sr_platform_http_options options = { .address = address,
                                              .port = harness_port (harness, HARNESS_PORT_PLATFORM),
                                              .idle_timeout_s = 5 };
  struct sr_platform *platform = sr_platform_http_new (&options);
  unsigned count = 0;

  assert_int_equal (sr_bills_read (platform, NULL, count_bill_, &count), SR_PLATFORM_OK);
  sr_platform_unref (platform);
  return count;
}

/* The same request, sent to instances in three partitions, may run three times but is billed once;
 * all its runs count against the budget. A planned stop of every instance hands over the bills. */
static void
request_in_three_partitions_is_billed_once (void **state)
{
  int exit_code;

  partition_ (3);
  for (unsigned i = 1; i <= 3; i++)
    assert_int_equal (send_request_ (i, "same").outcome, HARNESS_COMPLETED);
  assert_true (consumed_tokens_ () >= REQUEST_TOKENS);
  assert_true (harness_clear_rules (harness));
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      assert_true (harness_process_terminate (harness->instances[i], WAIT_MS, &exit_code));
      assert_int_equal (exit_code, 0);
    }
  assert_int_equal (count_bills_of_same_ (), 1);
}

int
main (void)
{
#define FLEET_TEST(name) cmocka_unit_test_setup_teardown (name, start_fleet_, stop_fleet_)
  const struct CMUnitTest tests[] = {
    FLEET_TEST (budget_can_be_spent_almost_to_the_last_token),
    FLEET_TEST (partition_in_three_does_not_overspend),
    FLEET_TEST (partition_in_two_does_not_overspend),
    FLEET_TEST (requests_are_answered_during_a_platform_outage),
    FLEET_TEST (writes_with_lost_responses_count_once),
    FLEET_TEST (tokens_of_killed_holders_are_reclaimed),
    FLEET_TEST (paused_holder_does_not_spend_reclaimed_tokens),
    FLEET_TEST (request_in_three_partitions_is_billed_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
