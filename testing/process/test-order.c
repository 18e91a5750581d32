/* Orders, which must not be executed twice: instances are killed or paused at every step of an
 * order and responses are lost, while the callers retry at other instances. What was executed is
 * read from the ledgers of the services. */
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
  PORT_BASE = 30500,
  INSTANCES = 3,
  SERVICES = 3,
  ORDERS = 4, /* sent at the same time */
  RETRIERS = 2,
  US_PER_MS = 1000,
  RETRY_PAUSE_US = 150 * US_PER_MS,
  MIXED_ORDERS = 60,
  MIXED_CALLERS = 6,
  MIXED_TRIES = 5,
  MIXED_SEED = 20260101
};

static const char body[] = "{\"household\":12,\"amount\":30}";

static struct harness *harness;

/* One order and the numbers of the outcomes that its callers received. WRONG counts
 * invalid responses and outcomes that contradict the ledgers. */
struct order
{
  char *key;
  pthread_t first;
  pthread_t retriers[RETRIERS];
  atomic_bool finished;
  atomic_int answered;
  atomic_int not_run;
  atomic_int unknown;
  atomic_int wrong;
};

/* A caller that retries an order at one instance. */
struct retrier
{
  struct order *order;
  unsigned instance;
};

enum silenced
{
  SILENCE_NONE,
  SILENCE_PLATFORM,
  SILENCE_SERVICES
};

/* A step of an order's execution: the faults that make the step last long enough, and the time
 * after which the instance that executes the order is interrupted in it. */
struct step
{
  const char *name;
  const char *platform;   /* path of the stand-in's control request, or NULL */
  const char *service;    /* path of the stand-in's control request, or NULL */
  enum silenced silenced; /* what instance 1 can't exchange packets with */
  int outage_after_ms;    /* start of a platform outage; 0: none */
  int interrupt_after_ms;
};

static const struct step steps[] = {
  { "before the claim", NULL, NULL, SILENCE_PLATFORM, 0, 250 },
  { "in the claim", "/control/fault?mode=slow&delay_ms=700", NULL, SILENCE_NONE, 0, 250 },
  { "after the claim", NULL, NULL, SILENCE_SERVICES, 0, 500 },
  { "after the dispatch", NULL, "/control/fault?mode=none&delay_ms=900", SILENCE_NONE, 0, 450 },
  { "before the response", NULL, "/control/fault?mode=none&delay_ms=500", SILENCE_NONE, 250, 900 },
};

static int
start_fleet (void **state)
{
  static const struct harness_options options
      = { .name = "order", .port_base = PORT_BASE, .instances = INSTANCES, .services = SERVICES };

  harness = harness_start (&options);
  return harness != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  harness_stop (harness);
  return 0;
}

static void
set_service_fault (const char *path)
{
  for (unsigned i = 1; i <= SERVICES; i++)
    harness_control_backend (harness, i, path);
}

/* Clears every fault, continues paused instances and restarts killed ones. */
static int
reset_fleet (void **state)
{
  harness_clear_rules (harness);
  harness_control_platform (harness, "/control/fault?mode=none");
  harness_control_platform (harness, "/control/lose?kind=order&count=0");
  set_service_fault ("/control/fault?mode=none");
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      harness_process_signal (harness->instances[i], SIGCONT);
      if (!harness_process_is_running (harness->instances[i])
          && !harness_start_instance (harness, i))
        return -1;
      if (!harness_wait_instance_ready (harness, i, HARNESS_WAIT_MS))
        return -1;
    }
  return 0;
}

static int
executions_of (const struct order *order)
{
  g_autofree char *path = g_strdup_printf ("requests.team-1/%s", order->key);
  int executions = 0;

  for (unsigned i = 1; i <= SERVICES; i++)
    {
      json_t *ledger = harness_ledger (harness, i);

      executions += (int)MAX (harness_json_number (ledger, path), 0);
      json_decref (ledger);
    }
  return executions;
}

static struct order *
new_order (const char *name)
{
  static int number;
  struct order *order = g_new0 (struct order, 1);
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *day = g_date_time_format (now, "%Y%m%d");

  order->key = g_strdup_printf ("%s-%s-%d", day, name, ++number);
  return order;
}

static void
delete_order (struct order *order)
{
  g_free (order->key);
  g_free (order);
}

/* Sends ORDER once and counts the outcome. A response or a refusal as "not run" is compared with
 * the ledgers at once. */
static enum harness_outcome
send_order (struct order *order, unsigned instance, bool first_attempt)
{
  g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, instance, false);
  struct harness_request request = { .address = address,
                                     .port = harness_port (harness, HARNESS_PORT_ENTRY),
                                     .service = "relief",
                                     .team = 1,
                                     .key = order->key,
                                     .first_attempt = first_attempt,
                                     .deadline_ms = 5000,
                                     .body = body };
  struct harness_result answer = harness_send (&request);

  switch (answer.outcome)
    {
    case HARNESS_COMPLETED:
      order->answered++;
      order->wrong += executions_of (order) != 1;
      break;
    case HARNESS_REFUSED:
      order->not_run++;
      order->wrong += executions_of (order) != 0;
      break;
    case HARNESS_WRONG:
      order->wrong++;
      break;
    default:
      order->unknown++;
      break;
    }
  return answer.outcome;
}

static void *
send_first (void *data)
{
  send_order (data, 1, false);
  return NULL;
}

static void *
retry_until_finished (void *data)
{
  struct retrier *retrier = data;

  while (!retrier->order->finished)
    {
      g_usleep (RETRY_PAUSE_US);
      send_order (retrier->order, retrier->instance, false);
    }
  g_free (retrier);
  return NULL;
}

static void
start_order (struct order *order)
{
  assert_true (sr_thread_start (&order->first, 0, send_first, order));
  for (unsigned i = 0; i < RETRIERS; i++)
    {
      struct retrier *retrier = g_new0 (struct retrier, 1);

      retrier->order = order;
      retrier->instance = i + 2;
      assert_true (sr_thread_start (&order->retriers[i], 0, retry_until_finished, retrier));
    }
}

static void
finish_order (struct order *order)
{
  order->finished = true;
  pthread_join (order->first, NULL);
  for (unsigned i = 0; i < RETRIERS; i++)
    pthread_join (order->retriers[i], NULL);
}

/* Checks what must hold under any fault: at most one execution, and no outcome that contradicts the
 * ledgers. */
static void
check_order (const struct order *order, const char *name)
{
  int executions = executions_of (order);

  if (executions > 1 || order->wrong > 0 || (order->not_run > 0 && executions > 0)
      || (order->answered > 0 && executions != 1))
    fail_msg (
        "%s, %s: %d executions, callers received: answered %d, not run %d, unknown %d, wrong %d",
        name, order->key, executions, order->answered, order->not_run, order->unknown,
        order->wrong);
}

/* Drops all traffic between instance 1 and the process at PORT and NUMBER. */
static void
drop_traffic_of_instance (enum harness_port port, unsigned number)
{
  g_autofree char *instance = harness_address (HARNESS_PORT_ENTRY, 1, false);
  g_autofree char *process = harness_address (port, number, true);

  harness_add_rule (harness, instance, process, "silence", 0);
}

static void
inject_step_faults (const struct step *step)
{
  if (step->platform != NULL)
    harness_control_platform (harness, step->platform);
  if (step->service != NULL)
    set_service_fault (step->service);
  if (step->silenced == SILENCE_PLATFORM)
    drop_traffic_of_instance (HARNESS_PORT_PLATFORM, 0);
  for (unsigned i = 1; step->silenced == SILENCE_SERVICES && i <= SERVICES; i++)
    drop_traffic_of_instance (HARNESS_PORT_BACKEND, i);
}

/* Sends orders to instance 1 and sends it SIGNAL_NUMBER during STEP, while callers retry at its
 * peers. Then clears all faults, lets the callers retry for another second, and checks the orders.
 */
static void
interrupt_in_step (const struct step *step, int signal_number)
{
  struct order *orders[ORDERS];

  assert_int_equal (reset_fleet (NULL), 0);
  inject_step_faults (step);
  for (int i = 0; i < ORDERS; i++)
    {
      orders[i] = new_order ("window");
      start_order (orders[i]);
    }
  if (step->outage_after_ms > 0)
    {
      g_usleep ((gulong)step->outage_after_ms * US_PER_MS);
      harness_control_platform (harness, "/control/fault?mode=outage");
    }
  g_usleep ((gulong)(step->interrupt_after_ms - step->outage_after_ms) * US_PER_MS);
  if (signal_number == SIGKILL)
    harness_process_kill (harness->instances[1]);
  else
    harness_process_signal (harness->instances[1], signal_number);
  g_usleep (1500 * US_PER_MS);
  assert_int_equal (reset_fleet (NULL), 0);
  g_usleep (1000 * US_PER_MS);
  for (int i = 0; i < ORDERS; i++)
    finish_order (orders[i]);
  for (int i = 0; i < ORDERS; i++)
    {
      check_order (orders[i], step->name);
      delete_order (orders[i]);
    }
}

static void
a_killed_instance_runs_no_order_twice (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (steps); i++)
    interrupt_in_step (&steps[i], SIGKILL);
}

static void
a_paused_instance_runs_no_order_twice (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (steps); i++)
    interrupt_in_step (&steps[i], SIGSTOP);
}

static void
an_order_whose_claim_response_is_lost_runs_once (void **state)
{
  struct order *order = new_order ("lost");

  harness_control_platform (harness, "/control/lose?kind=order&count=1");
  assert_int_equal (send_order (order, 1, true), HARNESS_COMPLETED);
  assert_int_equal (send_order (order, 2, false), HARNESS_COMPLETED);
  assert_int_equal (executions_of (order), 1);
  check_order (order, "lost claim");
  delete_order (order);
}

static void
an_outcome_whose_write_response_is_lost_is_reported_to_callers (void **state)
{
  struct order *order = new_order ("lost-outcome");

  set_service_fault ("/control/fault?mode=none&delay_ms=600");
  assert_true (sr_thread_start (&order->first, 0, send_first, order));
  g_usleep (300 * US_PER_MS);
  harness_control_platform (harness, "/control/lose?kind=order&count=1");
  pthread_join (order->first, NULL);
  assert_int_equal (order->answered, 1);
  assert_int_equal (send_order (order, 3, false), HARNESS_COMPLETED);
  check_order (order, "lost outcome");
  delete_order (order);
}

static void
an_order_on_a_closed_connection_is_not_sent_again (void **state)
{
  struct order *executed = new_order ("closed-after");
  struct order *not_executed = new_order ("closed-before");

  set_service_fault ("/control/fault?mode=close_after_run&count=1");
  assert_int_equal (send_order (executed, 1, true), HARNESS_UNKNOWN);
  for (unsigned i = 1; i <= INSTANCES; i++)
    assert_int_equal (send_order (executed, i, false), HARNESS_UNKNOWN);
  assert_int_equal (executions_of (executed), 1);
  set_service_fault ("/control/fault?mode=close_before_run&count=1");
  assert_int_equal (send_order (not_executed, 1, true), HARNESS_UNKNOWN);
  for (unsigned i = 1; i <= INSTANCES; i++)
    assert_int_equal (send_order (not_executed, i, false), HARNESS_UNKNOWN);
  assert_int_equal (executions_of (not_executed), 0);
  delete_order (executed);
  delete_order (not_executed);
}

/* Whether an instance accepts orders again after a platform outage. It probes a failed platform
 * twice a second, and after a refusal for lack of budget it does not try that budget again for a
 * third of a second, so it has recovered only when several orders in a row are answered. */
static bool
accepts_orders (void *data)
{
  const unsigned *instance = data;
  bool answered = true;

  for (unsigned i = 0; answered && i < ORDERS; i++)
    {
      struct order *order = new_order ("after-outage");

      answered = send_order (order, *instance, true) == HARNESS_COMPLETED;
      check_order (order, "after an outage");
      delete_order (order);
    }
  return answered;
}

static bool
retry_is_answered (void *data)
{
  return send_order (data, 1, false) == HARNESS_COMPLETED;
}

static void
an_order_during_a_platform_outage_is_refused_at_once (void **state)
{
  struct order *order = new_order ("outage");
  int64_t start_us = g_get_monotonic_time ();

  harness_control_platform (harness, "/control/fault?mode=outage");
  assert_int_equal (send_order (order, 1, true), HARNESS_REFUSED);
  assert_int_equal (send_order (order, 2, false), HARNESS_UNKNOWN);
  assert_true (g_get_monotonic_time () - start_us < 4000 * US_PER_MS);
  assert_int_equal (executions_of (order), 0);
  harness_control_platform (harness, "/control/fault?mode=none");
  assert_true (harness_wait_until (retry_is_answered, order, HARNESS_WAIT_MS));
  assert_int_equal (executions_of (order), 1);
  delete_order (order);
  for (unsigned instance = 1; instance <= INSTANCES; instance++)
    assert_true (harness_wait_until (accepts_orders, &instance, HARNESS_WAIT_MS));
}

static void
an_order_refused_by_one_service_is_executed_by_another (void **state)
{
  harness_control_backend (harness, 1, "/control/fault?mode=refuse");
  harness_control_backend (harness, 2, "/control/fault?mode=refuse");
  for (unsigned i = 0; i < 2 * INSTANCES; i++)
    {
      struct order *order = new_order ("refused");

      assert_int_equal (send_order (order, 1 + i % INSTANCES, true), HARNESS_COMPLETED);
      check_order (order, "refused by some services");
      delete_order (order);
    }
}

/* The orders of the test with random faults, shared by its callers. */
struct mixed_run
{
  struct order *orders[MIXED_ORDERS];
  atomic_int next_order;
  atomic_int callers_left;
};

/* Sends one order after the other, each to random instances until it is answered, refused as "not
 * run", or MIXED_TRIES are used up. */
static void *
run_mixed_caller (void *data)
{
  struct mixed_run *mixed_run = data;
  int number;

  while ((number = mixed_run->next_order++) < MIXED_ORDERS)
    {
      GRand *random = g_rand_new_with_seed (MIXED_SEED + (guint32)number);

      for (int i = 0; i < MIXED_TRIES; i++)
        {
          unsigned instance = (unsigned)g_rand_int_range (random, 1, INSTANCES + 1);
          enum harness_outcome outcome = send_order (mixed_run->orders[number], instance, i == 0);

          if (outcome == HARNESS_COMPLETED || outcome == HARNESS_REFUSED)
            break;
          g_usleep (RETRY_PAUSE_US);
        }
      g_rand_free (random);
    }
  mixed_run->callers_left--;
  return NULL;
}

static void
inject_fault (GRand *random)
{
  static const char *const faults[]
      = { "/control/fault?mode=close_after_run&count=2",
          "/control/fault?mode=close_before_run&count=2", "/control/fault?mode=hang&count=1",
          "/control/fault?mode=refuse&count=2", "/control/fault?mode=none&delay_ms=300&count=3" };
  unsigned instance = (unsigned)g_rand_int_range (random, 1, INSTANCES + 1);

  switch (g_rand_int_range (random, 0, 6))
    {
    case 0:
      harness_process_kill (harness->instances[instance]);
      g_usleep (200 * US_PER_MS);
      harness_start_instance (harness, instance);
      break;
    case 1:
      harness_process_signal (harness->instances[instance], SIGSTOP);
      g_usleep (600 * US_PER_MS);
      harness_process_signal (harness->instances[instance], SIGCONT);
      break;
    case 2:
      harness_control_platform (harness, "/control/fault?mode=outage");
      g_usleep (300 * US_PER_MS);
      harness_control_platform (harness, "/control/fault?mode=none");
      break;
    case 3:
      harness_control_platform (harness, "/control/fault?mode=slow&delay_ms=200");
      g_usleep (500 * US_PER_MS);
      harness_control_platform (harness, "/control/fault?mode=none");
      break;
    case 4:
      harness_control_platform (harness, "/control/lose?kind=order&count=3");
      break;
    default:
      set_service_fault (faults[g_rand_int_range (random, 0, G_N_ELEMENTS (faults))]);
      break;
    }
  g_usleep (100 * US_PER_MS);
}

static void
mixed_faults_run_no_order_twice (void **state)
{
  struct mixed_run mixed_run = { .callers_left = MIXED_CALLERS };
  GRand *random = g_rand_new_with_seed (MIXED_SEED);
  pthread_t callers[MIXED_CALLERS];
  int answered = 0;
  int not_run = 0;

  for (int i = 0; i < MIXED_ORDERS; i++)
    mixed_run.orders[i] = new_order ("mixed");
  for (int i = 0; i < MIXED_CALLERS; i++)
    assert_true (sr_thread_start (&callers[i], 0, run_mixed_caller, &mixed_run));
  while (mixed_run.callers_left > 0)
    inject_fault (random);
  for (int i = 0; i < MIXED_CALLERS; i++)
    pthread_join (callers[i], NULL);
  assert_int_equal (reset_fleet (NULL), 0);
  for (int i = 0; i < MIXED_ORDERS; i++)
    {
      check_order (mixed_run.orders[i], "mixed");
      answered += mixed_run.orders[i]->answered > 0;
      not_run += mixed_run.orders[i]->not_run > 0;
      delete_order (mixed_run.orders[i]);
    }
  print_message ("%d orders: %d answered, %d refused as not run\n", MIXED_ORDERS, answered,
                 not_run);
  assert_true (answered > MIXED_ORDERS / 4);
  g_rand_free (random);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (an_order_whose_claim_response_is_lost_runs_once, reset_fleet),
    cmocka_unit_test_teardown (an_outcome_whose_write_response_is_lost_is_reported_to_callers,
                               reset_fleet),
    cmocka_unit_test_teardown (an_order_on_a_closed_connection_is_not_sent_again, reset_fleet),
    cmocka_unit_test_teardown (an_order_during_a_platform_outage_is_refused_at_once, reset_fleet),
    cmocka_unit_test_teardown (an_order_refused_by_one_service_is_executed_by_another, reset_fleet),
    cmocka_unit_test_teardown (a_killed_instance_runs_no_order_twice, reset_fleet),
    cmocka_unit_test_teardown (a_paused_instance_runs_no_order_twice, reset_fleet),
    cmocka_unit_test_teardown (mixed_faults_run_no_order_twice, reset_fleet),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
