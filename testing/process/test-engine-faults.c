/* One engine of four is slow, hangs, crashes, or says that it has nothing to do: what callers see
 * is compared with the same load without a fault. */
#include "testing/harness/traffic.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 32100,
  ENGINES = 4,
  CALLERS = 12,
  REQUESTS = 400,
  PACE_MS = 2,
  US_PER_MS = 1000,
  /* The letter's first token at 95 in 100, and the silence after which a stream is taken up again.
   */
  FIRST_TOKEN_MAX_US = 1100 * US_PER_MS,
  SILENCE_US = 1000 * US_PER_MS
};

static const char *const targets[] = { "127.0.1.1:32100", "127.0.1.2:32100", NULL };

static struct harness *harness;

static int
start_fleet (void **state)
{
  static const char *const settings[] = { "backend", "idle_timeout_s", "2", NULL };
  static const struct harness_options options = { .name = "engine-faults",
                                                  .port_base = PORT_BASE,
                                                  .instances = 2,
                                                  .engines = ENGINES,
                                                  .slots = 8,
                                                  .pace_ms = PACE_MS,
                                                  .prepaid_tokens = 100000000,
                                                  .settings = settings };

  harness = harness_start (&options);
  return harness != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  harness_stop (harness);
  return 0;
}

static int
mend (void **state)
{
  struct harness_process *first = harness->backends[1];

  harness_process_signal (first, SIGCONT);
  if (!harness_process_is_running (first)
      && (!harness_process_start (first) || !harness_process_wait_ready (first, HARNESS_WAIT_MS)))
    return -1;
  harness_control_backend (harness, 1, "/control/fault?mode=none");
  harness_control_backend (harness, 1, "/control/load?zero=0");
  harness_control_backend (harness, 1, "/control/pace?ms=2");
  return 0;
}

/* Runs the load and expects every request answered, whole, and the first token of 95 in 100 within
 * LIMIT_US. */
static void
expect_first_token_within (const char *name, int64_t limit_us)
{
  struct traffic_options options = { .targets = targets,
                                     .callers = CALLERS,
                                     .requests = REQUESTS,
                                     .seed = 11,
                                     .service = "diary",
                                     .teams = 3,
                                     .large_team_percent = 40,
                                     .stream_percent = 100,
                                     .interactive_percent = 50,
                                     .prefixes = 20,
                                     .prefix_bytes = 256,
                                     .tokens_min = 5,
                                     .tokens_max = 40 };
  struct traffic_result *result = traffic_run (&options);
  int64_t p95_us = samples_percentile (result->first_token_us, 95);

  print_message ("%s: answered %d of %d, first token p95 %d ms\n", name,
                 (int)result->verdicts[HARNESS_ANSWERED], REQUESTS, (int)(p95_us / US_PER_MS));
  if (result->verdicts[HARNESS_ANSWERED] != REQUESTS)
    traffic_result_print (result, stderr);
  assert_int_equal (result->verdicts[HARNESS_ANSWERED], REQUESTS);
  assert_true (p95_us <= limit_us);
  traffic_result_delete (result);
}

static void
without_a_fault (void **state)
{
  expect_first_token_within ("no fault", FIRST_TOKEN_MAX_US);
}

static void
a_slow_engine_does_not_spoil_the_tail (void **state)
{
  harness_control_backend (harness, 1, "/control/pace?ms=40");
  expect_first_token_within ("slow engine", FIRST_TOKEN_MAX_US);
}

static void
a_hanging_engine_is_left_after_some_requests (void **state)
{
  harness_control_backend (harness, 1, "/control/fault?mode=hang&after_tokens=0");
  expect_first_token_within ("hanging engine", FIRST_TOKEN_MAX_US);
}

static void
a_crashed_engine_is_left_at_once (void **state)
{
  harness_process_kill (harness->backends[1]);
  expect_first_token_within ("crashed engine", FIRST_TOKEN_MAX_US);
}

static void
a_load_report_stuck_at_zero_does_not_attract_everything (void **state)
{
  harness_control_backend (harness, 1, "/control/load?zero=1");
  expect_first_token_within ("load stuck at zero", FIRST_TOKEN_MAX_US);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (without_a_fault, mend),
    cmocka_unit_test_teardown (a_slow_engine_does_not_spoil_the_tail, mend),
    cmocka_unit_test_teardown (a_hanging_engine_is_left_after_some_requests, mend),
    cmocka_unit_test_teardown (a_crashed_engine_is_left_at_once, mend),
    cmocka_unit_test_teardown (a_load_report_stuck_at_zero_does_not_attract_everything, mend),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
