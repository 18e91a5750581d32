/* Bounds of the real time by the clocks of several instances, some of which jump. */
#include "clock/fleet-clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  US_PER_MS = 1000,
  ROUND_TRIP_US = 3000,
  SPREAD_MS = 200 /* by which the bounds may lie apart when all clocks are right */
};

static const int64_t REAL_MS = INT64_C (1790000000000);
static const int64_t STEADY_US = INT64_C (50000000000);

static struct fleet_clock *
clock_new_ (unsigned instances)
{
  struct fleet_clock *clock = fleet_clock_new ();

  fleet_clock_set_instances (clock, instances);
  return clock;
}

static void
note_ (struct fleet_clock *clock, const char *name, int64_t ahead_ms)
{
  fleet_clock_note (clock, name, REAL_MS + ahead_ms, STEADY_US - ROUND_TRIP_US / 2,
                    STEADY_US + ROUND_TRIP_US / 2);
}

static void
assert_holds_ (struct fleet_clock *clock, int64_t own_ahead_ms, int64_t later_ms)
{
  const struct fleet_instant now = { .steady_us = STEADY_US + later_ms * US_PER_MS,
                                     .real_ms = REAL_MS + later_ms + own_ahead_ms };
  int64_t earliest_ms;
  int64_t latest_ms;

  assert_true (fleet_clock_bounds (clock, &now, &earliest_ms, &latest_ms));
  assert_true (earliest_ms <= REAL_MS + later_ms);
  assert_true (latest_ms >= REAL_MS + later_ms);
}

static void
right_clocks_bound_the_time_closely (void **state)
{
  struct fleet_clock *clock = clock_new_ (3);
  const struct fleet_instant now = { .steady_us = STEADY_US, .real_ms = REAL_MS };
  int64_t earliest_ms;
  int64_t latest_ms;

  note_ (clock, "front-2", 0);
  note_ (clock, "front-3", 0);
  assert_true (fleet_clock_bounds (clock, &now, &earliest_ms, &latest_ms));
  assert_true (earliest_ms <= REAL_MS && latest_ms >= REAL_MS);
  assert_true (latest_ms - earliest_ms <= SPREAD_MS);
  fleet_clock_delete (clock);
}

/* The own clock and all but one of the others have jumped. */
static void
one_right_clock_is_enough (void **state)
{
  static const int64_t jumps_ms[] = { -2400, 2400, -60000, 60000 };

  for (size_t i = 0; i < G_N_ELEMENTS (jumps_ms); i++)
    {
      struct fleet_clock *clock = clock_new_ (4);

      note_ (clock, "front-2", jumps_ms[i]);
      note_ (clock, "front-3", 0);
      note_ (clock, "front-4", jumps_ms[i]);
      assert_holds_ (clock, jumps_ms[i], 0);
      assert_holds_ (clock, jumps_ms[i], 9000);
      fleet_clock_delete (clock);
    }
}

/* A clock says nothing about the time of the own suspension, but the steady clock counts it. */
static void
time_passes_in_a_suspension (void **state)
{
  struct fleet_clock *clock = clock_new_ (2);

  note_ (clock, "front-2", 0);
  assert_holds_ (clock, -5000, 12000);
  fleet_clock_delete (clock);
}

static void
too_few_clocks_tell_nothing (void **state)
{
  struct fleet_clock *clock = fleet_clock_new ();
  const struct fleet_instant now = { .steady_us = STEADY_US, .real_ms = REAL_MS };
  const struct fleet_instant later
      = { .steady_us = STEADY_US + 60000 * (int64_t)US_PER_MS, .real_ms = REAL_MS + 60000 };
  int64_t earliest_ms;
  int64_t latest_ms;

  /* How many there are is not known yet. */
  assert_false (fleet_clock_bounds (clock, &now, &earliest_ms, &latest_ms));
  fleet_clock_set_instances (clock, 5);
  note_ (clock, "front-2", 0);
  note_ (clock, "front-2", 0);
  assert_false (fleet_clock_bounds (clock, &now, &earliest_ms, &latest_ms));
  note_ (clock, "front-3", 0);
  assert_true (fleet_clock_bounds (clock, &now, &earliest_ms, &latest_ms));
  /* Answers get old. */
  assert_false (fleet_clock_bounds (clock, &later, &earliest_ms, &latest_ms));
  fleet_clock_delete (clock);
}

/* Of hundreds of instances a few are asked. */
static void
a_large_fleet_needs_few_clocks (void **state)
{
  struct fleet_clock *clock = clock_new_ (620);

  for (unsigned i = 0; i < 4; i++)
    {
      g_autofree char *name = g_strdup_printf ("front-%u", i);

      assert_false (fleet_clock_has_quorum (clock, STEADY_US));
      note_ (clock, name, 0);
    }
  assert_true (fleet_clock_has_quorum (clock, STEADY_US));
  fleet_clock_delete (clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (right_clocks_bound_the_time_closely),
    cmocka_unit_test (one_right_clock_is_enough),
    cmocka_unit_test (time_passes_in_a_suspension),
    cmocka_unit_test (too_few_clocks_tell_nothing),
    cmocka_unit_test (a_large_fleet_needs_few_clocks),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
