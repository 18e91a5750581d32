/* Overload: one team sends several times the load that the backend servers can serve. Short
 * interactive requests of other teams (the clerks) must still be answered within their deadlines,
 * and goodput must not collapse as the overload grows. */
#include "base/thread.h"
#include "testing/harness/traffic.h"

#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 30700,
  ENGINES = 2,
  SLOTS = 4,
  TOKEN_INTERVAL_MS = 10,
  FLOOD_TOKENS = 20, /* output tokens of a request */
  CAPACITY_REQUESTS_PER_S = ENGINES * SLOTS * 1000 / (FLOOD_TOKENS * TOKEN_INTERVAL_MS),
  CLERK_TOKENS = 5, /* likewise */
  CLERK_REQUESTS_PER_S = 4,
  PHASE_S = 6,
  FLOOD_DEADLINE_MS = 3000,
  CLERK_DEADLINE_MS = 1500,
  PERCENT = 100
};

static const char *const targets[] = { "127.0.1.1:30700", "127.0.1.2:30700", NULL };

static struct harness *harness;

/* The load of one phase and its results. */
struct phase
{
  struct traffic_options flood;
  struct traffic_options clerks;
  struct traffic_result *flood_result;
  struct traffic_result *clerk_result;
};

static int
start_fleet (void **state)
{
  static const struct harness_options options = { .name = "overload",
                                                  .port_base = PORT_BASE,
                                                  .instances = 2,
                                                  .engines = ENGINES,
                                                  .slots = SLOTS,
                                                  .token_interval_ms = TOKEN_INTERVAL_MS,
                                                  .load_lag_ms = 50,
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

static void *
run_flood (void *data)
{
  struct phase *phase = data;

  phase->flood_result = traffic_run (&phase->flood);
  return NULL;
}

/* Runs one phase with the large team's load (the flood) at LOAD times the capacity of the backend
 * servers. The caller frees the result with phase_free (). */
static struct phase *
run_phase (double load, uint32_t seed)
{
  struct phase *phase = g_new0 (struct phase, 1);
  double rate = load * CAPACITY_REQUESTS_PER_S;
  pthread_t thread;

  phase->flood
      = (struct traffic_options){ .targets = targets,
                                  .callers = (unsigned)(rate * FLOOD_DEADLINE_MS / 1000) + 8,
                                  .rate_per_s = rate,
                                  .requests = (int64_t)(rate * PHASE_S),
                                  .seed = seed,
                                  .service = "diary",
                                  .teams = 1,
                                  .large_team_percent = PERCENT,
                                  .interactive_percent = PERCENT / 2,
                                  .tokens_min = FLOOD_TOKENS,
                                  .tokens_max = FLOOD_TOKENS,
                                  .deadline_ms = FLOOD_DEADLINE_MS };
  phase->clerks = (struct traffic_options){ .targets = targets,
                                            .callers = CLERK_REQUESTS_PER_S * 2,
                                            .rate_per_s = CLERK_REQUESTS_PER_S,
                                            .requests = CLERK_REQUESTS_PER_S * PHASE_S,
                                            .seed = seed + 1,
                                            .service = "diary",
                                            .teams = 3,
                                            .interactive_percent = PERCENT,
                                            .tokens_min = CLERK_TOKENS,
                                            .tokens_max = CLERK_TOKENS,
                                            .deadline_ms = CLERK_DEADLINE_MS };
  assert_true (sr_thread_start (&thread, 0, run_flood, phase));
  phase->clerk_result = traffic_run (&phase->clerks);
  pthread_join (thread, NULL);
  print_message ("load %.1f: flood %d answered (%.1f/s), %d not run, %d other; clerks %d of %d\n",
                 load, (int)phase->flood_result->outcomes[HARNESS_COMPLETED],
                 (double)phase->flood_result->outcomes[HARNESS_COMPLETED] * 1e6
                     / (double)phase->flood_result->duration_us,
                 (int)phase->flood_result->outcomes[HARNESS_REFUSED],
                 (int)(phase->flood.requests - phase->flood_result->outcomes[HARNESS_COMPLETED]
                       - phase->flood_result->outcomes[HARNESS_REFUSED]),
                 (int)phase->clerk_result->outcomes[HARNESS_COMPLETED],
                 (int)phase->clerks.requests);
  return phase;
}

static void
phase_free (struct phase *phase)
{
  traffic_result_delete (phase->flood_result);
  traffic_result_delete (phase->clerk_result);
  g_free (phase);
}

static double
answered_per_s (const struct phase *phase)
{
  return (double)phase->flood_result->outcomes[HARNESS_COMPLETED] * 1e6
         / (double)phase->flood_result->duration_us;
}

static void
check_clerks (const struct phase *phase)
{
  int64_t answered = phase->clerk_result->outcomes[HARNESS_COMPLETED];

  assert_true (answered * PERCENT >= phase->clerks.requests * 90);
}

static void
overload_by_one_team_does_not_starve_others_or_lower_goodput (void **state)
{
  struct phase *below_capacity = run_phase (0.5, 1);
  struct phase *twice = run_phase (2.0, 2);
  struct phase *five_times = run_phase (5.0, 3);
  struct phase *after = run_phase (0.5, 4);

  assert_int_equal (below_capacity->flood_result->outcomes[HARNESS_COMPLETED],
                    below_capacity->flood.requests);
  check_clerks (below_capacity);
  check_clerks (twice);
  check_clerks (five_times);
  assert_true (answered_per_s (twice) >= 0.5 * CAPACITY_REQUESTS_PER_S);
  assert_true (answered_per_s (five_times) >= 0.8 * answered_per_s (twice));
  assert_true (five_times->flood_result->outcomes[HARNESS_REFUSED] > 0);
  assert_int_equal (twice->flood_result->outcomes[HARNESS_WRONG], 0);
  assert_int_equal (five_times->flood_result->outcomes[HARNESS_WRONG], 0);
  assert_true (after->flood_result->outcomes[HARNESS_COMPLETED] * PERCENT
               >= after->flood.requests * 95);
  check_clerks (after);
  phase_free (below_capacity);
  phase_free (twice);
  phase_free (five_times);
  phase_free (after);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (overload_by_one_team_does_not_starve_others_or_lower_goodput),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
