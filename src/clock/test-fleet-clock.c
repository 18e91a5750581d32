/* Bounds of the real time computed from the clocks of several instances, some of which jump. */
#include "clock/fleet-clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  US_PER_MS = 1000,
  ROUND_TRIP_US = 3000,
  SPREAD_MS = 200 /* largest width of the bounds when all clocks are right */
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
add_reading_ (struct fleet_clock *clock, const char *name, int64_t ahead_ms)
{
  fleet_clock_add_reading (clock, name, REAL_MS + ahead_ms, STEADY_US - ROUND_TRIP_US / 2,
                           STEADY_US + ROUND_TRIP_US / 2);
}

static void
assert_bounds_hold_ (struct fleet_clock *clock, int64_t own_ahead_ms, int64_t elapsed_ms)
{
  const struct fleet_time now = { .steady_us = STEADY_US + elapsed_ms * US_PER_MS,
                                  .real_ms = REAL_MS + elapsed_ms + own_ahead_ms };
  int64_t earliest_ms;
  int64_t latest_ms;

  assert_true (fleet_clock_bounds (clock, &now, &earliest_ms, &latest_ms));
  assert_true (earliest_ms <= REAL_MS + elapsed_ms);
  assert_true (latest_ms >= REAL_MS + elapsed_ms);
}

static void
right_clocks_give_narrow_bounds (void **state)
{
  struct fleet_clock *clock = clock_new_ (3);
  const struct fleet_time now = { .steady_us = STEADY_US, .real_ms = REAL_MS };
  int64_t earliest_ms;
  int64_t latest_ms;

  add_reading_ (clock, "front-2", 0);
  add_reading_ (clock, "front-3", 0);
  assert_true (fleet_clock_bounds (clock, &now, &earliest_ms, &latest_ms));
  assert_true (earliest_ms <= REAL_MS && latest_ms >= REAL_MS);
  assert_true (latest_ms - earliest_ms <= SPREAD_MS);
  fleet_clock_delete (clock);
}

/* This instance's clock and those of all peers but one have jumped. */
static void
bounds_hold_while_one_clock_is_right (void **state)
{
  static const int64_t jumps_ms[] = { -2400, 2400, -60000, 60000 };

  for (size_t i = 0; i < G_N_ELEMENTS (jumps_ms); i++)
    {
      struct fleet_clock *clock = clock_new_ (4);

      add_reading_ (clock, "front-2", jumps_ms[i]);
      add_reading_ (clock, "front-3", 0);
      add_reading_ (clock, "front-4", jumps_ms[i]);
      assert_bounds_hold_ (clock, jumps_ms[i], 0);
      assert_bounds_hold_ (clock, jumps_ms[i], 9000);
      fleet_clock_delete (clock);
    }
}

/* A reading from before a suspension stays usable, since the steady clock advances during it. */
static void
bounds_hold_after_a_suspension (void **state)
{
  struct fleet_clock *clock = clock_new_ (2);

  add_reading_ (clock, "front-2", 0);
  assert_bounds_hold_ (clock, -5000, 12000);
  fleet_clock_delete (clock);
}

static void
no_bounds_without_a_quorum (void **state)
{
  struct fleet_clock *clock = fleet_clock_new ();
  const struct fleet_time now = { .steady_us = STEADY_US, .real_ms = REAL_MS };
  const struct fleet_time later
      = { .steady_us = STEADY_US + 60000 * (int64_t)US_PER_MS, .real_ms = REAL_MS + 60000 };
  int64_t earliest_ms;
  int64_t latest_ms;

  /* The fleet size is not known yet. */
  assert_false (fleet_clock_bounds (clock, &now, &earliest_ms, &latest_ms));
  fleet_clock_set_instances (clock, 5);
  add_reading_ (clock, "front-2", 0);
  add_reading_ (clock, "front-2", 0);
  assert_false (fleet_clock_bounds (clock, &now, &earliest_ms, &latest_ms));
  add_reading_ (clock, "front-3", 0);
  assert_true (fleet_clock_bounds (clock, &now, &earliest_ms, &latest_ms));
  /* Readings expire. */
  assert_false (fleet_clock_bounds (clock, &later, &earliest_ms, &latest_ms));
  fleet_clock_delete (clock);
}

/* The quorum does not grow with the fleet beyond five clocks. */
static void
a_large_fleet_needs_five_clocks (void **state)
{
  struct fleet_clock *clock = clock_new_ (620);

  for (unsigned i = 0; i < 4; i++)
    {
      g_autofree char *name = g_strdup_printf ("front-%u", i);

      assert_false (fleet_clock_has_quorum (clock, STEADY_US));
      add_reading_ (clock, name, 0);
    }
  assert_true (fleet_clock_has_quorum (clock, STEADY_US));
  fleet_clock_delete (clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (right_clocks_give_narrow_bounds),
    cmocka_unit_test (bounds_hold_while_one_clock_is_right),
    cmocka_unit_test (bounds_hold_after_a_suspension),
    cmocka_unit_test (no_bounds_without_a_quorum),
    cmocka_unit_test (a_large_fleet_needs_five_clocks),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
