/* One backend server of four is slow, hangs, crashes, or reports a load of zero. Under the same
 * load as without a fault, every request must be answered and the 95th percentile of the time to
 * first token must stay within its limit. */
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
  TOKEN_INTERVAL_MS = 2,
  US_PER_MS = 1000,
  /* Required 95th percentile of the time to first token, and the silence after which a stream is
   * resumed at another backend server. */
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
                                                  .token_interval_ms = TOKEN_INTERVAL_MS,
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
reset_fleet (void **state)
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

/* Runs the load and checks that every request is answered completely, and that the 95th percentile
 * of the time to first token is at most LIMIT_US. */
static void
check_first_token_within (const char *name, int64_t limit_us)
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
                 (int)result->outcomes[HARNESS_COMPLETED], REQUESTS, (int)(p95_us / US_PER_MS));
  if (result->outcomes[HARNESS_COMPLETED] != REQUESTS)
    traffic_result_print (result, stderr);
  assert_int_equal (result->outcomes[HARNESS_COMPLETED], REQUESTS);
  assert_true (p95_us <= limit_us);
  traffic_result_delete (result);
}

static void
first_tokens_are_in_time_without_a_fault (void **state)
{
  check_first_token_within ("no fault", FIRST_TOKEN_MAX_US);
}

static void
a_slow_backend_server_does_not_delay_first_tokens (void **state)
{
  harness_control_backend (harness, 1, "/control/pace?ms=40");
  check_first_token_within ("slow backend server", FIRST_TOKEN_MAX_US);
}

static void
a_hanging_backend_server_is_avoided_after_some_requests (void **state)
{
  harness_control_backend (harness, 1, "/control/fault?mode=hang&after_tokens=0");
  check_first_token_within ("hanging backend server", FIRST_TOKEN_MAX_US);
}

static void
a_crashed_backend_server_is_avoided_at_once (void **state)
{
  harness_process_kill (harness->backends[1]);
  check_first_token_within ("crashed backend server", FIRST_TOKEN_MAX_US);
}

static void
a_load_report_stuck_at_zero_does_not_attract_all_requests (void **state)
{
  harness_control_backend (harness, 1, "/control/load?zero=1");
  check_first_token_within ("load stuck at zero", FIRST_TOKEN_MAX_US);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (first_tokens_are_in_time_without_a_fault, reset_fleet),
    cmocka_unit_test_teardown (a_slow_backend_server_does_not_delay_first_tokens, reset_fleet),
    cmocka_unit_test_teardown (a_hanging_backend_server_is_avoided_after_some_requests,
                               reset_fleet),
    cmocka_unit_test_teardown (a_crashed_backend_server_is_avoided_at_once, reset_fleet),
    cmocka_unit_test_teardown (a_load_report_stuck_at_zero_does_not_attract_all_requests,
                               reset_fleet),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
