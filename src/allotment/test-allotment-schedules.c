/* Schedules by chance, of which none may consume more than the total (checked in book_world_run).
 */
#include "unit/book-world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  STEP_US = 400 * MS, /* of a schedule */
  CUT_STEPS_MAX = 15
};

/* Whatever happens, in any order: nothing beyond the total is ever consumed (checked in run_). */
static void
no_schedule_overspends (void **state)
{
  for (uint32_t seed = 1; seed <= 150; seed++)
    {
      struct allotment_simulation simulation;

      allotment_simulation_set_up (&simulation, 800000, seed);
      simulation.datagram_loss = 0.1;
      simulation.late_datagrams = seed % 2 == 0 ? 0.1 : 0;
      simulation.lost_write_replies = 0.3;
      simulation.used_percent = 70;
      allotment_simulation_run (&simulation, 2 * SECOND);
      for (unsigned step = 0; step < 60; step++)
        {
          struct simulated_instance *instance
              = &simulation.instances[g_rand_int_range (simulation.random, 0, SIMULATED_INSTANCES)];

          switch (g_rand_int_range (simulation.random, 0, 8))
            {
            case 0:
              if (instance->manager != NULL)
                simulated_instance_kill (instance);
              break;
            case 1:
              instance->cut_from_store = !instance->cut_from_store;
              break;
            case 2:
              instance->cut_from_peers = !instance->cut_from_peers;
              break;
            case 3:
              if (instance->manager != NULL)
                allotment_book_leave (instance->manager, simulation.now_us);
              break;
            case 4:
              simulation.store_call_us = g_rand_boolean (simulation.random) ? 4 * MS : 240 * MS;
              break;
            default:
              break;
            }
          for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
            if (simulation.instances[i].manager == NULL
                && g_rand_int_range (simulation.random, 0, 3) == 0)
              simulated_instance_start (&simulation.instances[i]);
          allotment_simulation_load (&simulation, g_rand_int_range (simulation.random, 100, 9000),
                                     20, 400 * MS);
        }
      assert_true (simulation.granted > 0);
      allotment_simulation_tear_down (&simulation);
    }
}

/* The store comes back from copies of any age, also twice in a row, while all holders live: nothing
 * is overspent (checked in run_), callers are served from what is held, and draws go on. */
static void
a_store_that_comes_back_from_a_copy_forgets_no_grant (void **state)
{
  static const int64_t ages_us[] = { 200 * MS, 2 * SECOND, 5 * SECOND, 10 * SECOND };

  for (uint32_t seed = 1; seed <= 40; seed++)
    {
      struct allotment_simulation simulation;

      allotment_simulation_set_up (&simulation, 2000000, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, 5000, 10, (int64_t)(seed % 20) * SECOND);
      allotment_simulation_restore_store (&simulation, ages_us[seed % G_N_ELEMENTS (ages_us)]);
      allotment_simulation_load (&simulation, 5000, 10, (int64_t)(seed % 3) * SECOND);
      if (seed % 2 == 0)
        allotment_simulation_restore_store (&simulation, ages_us[seed % 3]);
      allotment_simulation_load (&simulation, 5000, 10,
                                 WATCH_NOTIFIES_MAX_US + 2500 * MS); /* until all have merged */
      simulation.refused = simulation.exhausted = 0;
      allotment_simulation_load (&simulation, 5000, 10, 3 * SECOND);
      assert_int_equal (simulation.refused - simulation.exhausted, 0);
      allotment_simulation_load (&simulation, 5000, 20, 20 * SECOND);
      allotment_simulation_load (&simulation, 500, 100, 5 * SECOND);
      assert_true (simulation.consumed >= simulation.prepaid * 90 / 100);
      allotment_simulation_tear_down (&simulation);
    }
}

struct restore_schedule_
{
  uint32_t first_seed;
  uint32_t last_seed;
  bool no_late_writes; /* no write takes effect later than its answer was due */
  bool cuts;           /* some instances are cut off from the store or the others for a while */
  unsigned late_start_step; /* at which one more instance starts; 0: none does */
};

/* Ends and begins cuts; none lasts longer than instances wait for each other after a return. */
static void
change_cuts_ (struct allotment_simulation *simulation, unsigned *cut_steps)
{
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    {
      struct simulated_instance *instance = &simulation->instances[i];

      if (cut_steps[i] > 0 && --cut_steps[i] == 0)
        instance->cut_from_store = instance->cut_from_peers = false;
    }
  if (g_rand_int_range (simulation->random, 0, 6) == 0)
    {
      unsigned pick = (unsigned)g_rand_int_range (simulation->random, 0, SIMULATED_INSTANCES);

      if (cut_steps[pick] > 0)
        return;
      cut_steps[pick] = (unsigned)g_rand_int_range (simulation->random, 1, CUT_STEPS_MAX + 1);
      simulation->instances[pick].cut_from_store = g_rand_boolean (simulation->random);
      simulation->instances[pick].cut_from_peers = g_rand_boolean (simulation->random);
    }
}

static void
run_restore_schedules_ (const struct restore_schedule_ *schedule)
{
  for (uint32_t seed = schedule->first_seed; seed <= schedule->last_seed; seed++)
    {
      struct allotment_simulation simulation;
      struct simulated_instance *late_starter = &simulation.instances[seed % SIMULATED_INSTANCES];
      unsigned cut_steps[SIMULATED_INSTANCES] = { 0 };

      allotment_simulation_set_up (&simulation, 800000, seed);
      if (schedule->late_start_step > 0)
        simulated_instance_kill (late_starter);
      simulation.datagram_loss = 0.1;
      simulation.lost_write_replies = 0.3;
      simulation.no_late_writes = schedule->no_late_writes;
      simulation.used_percent = 70;
      allotment_simulation_run (&simulation, 2 * SECOND);
      for (unsigned step = 0; step < 60; step++)
        {
          if (g_rand_int_range (simulation.random, 0, 10) == 0)
            allotment_simulation_restore_store (
                &simulation, g_rand_int_range (simulation.random, 200, 10000) * MS);
          if (schedule->late_start_step > 0 && step == schedule->late_start_step + seed % 10)
            simulated_instance_start (late_starter);
          if (schedule->cuts)
            change_cuts_ (&simulation, cut_steps);
          if (g_rand_int_range (simulation.random, 0, 8) == 0)
            simulation.store_call_us = g_rand_boolean (simulation.random) ? 4 * MS : 240 * MS;
          allotment_simulation_load (&simulation, g_rand_int_range (simulation.random, 100, 9000),
                                     20, STEP_US);
        }
      assert_true (simulation.granted > 0);
      allotment_simulation_tear_down (&simulation);
    }
}

/* The store comes back from copies again and again, while answers of writes and datagrams are lost,
 * and all instances live and reach it: nothing beyond the total is ever consumed. One that has not
 * heard of the return may draw on a version that the copy has too (seed 266); holders merge slowly,
 * each behind the writes of the others (seed 300). */
static void
no_schedule_with_returns_and_lost_answers_overspends (void **state)
{
  run_restore_schedules_ (
      &(struct restore_schedule_){ .first_seed = 251, .last_seed = 350, .no_late_writes = true });
}

/* The same where half of the writes whose answers are lost take effect seconds later. */
static void
no_schedule_with_returns_overspends (void **state)
{
  run_restore_schedules_ (&(struct restore_schedule_){ .first_seed = 1, .last_seed = 100 });
}

/* The same: a write of before the return met the number that it expected (seed 162). */
static void
no_schedule_with_returns_and_late_writes_overspends (void **state)
{
  run_restore_schedules_ (&(struct restore_schedule_){ .first_seed = 101, .last_seed = 200 });
}

/* The same, beside cuts, and with an instance that starts in the midst of it. */
static void
no_schedule_with_returns_cuts_and_a_start_overspends (void **state)
{
  run_restore_schedules_ (&(struct restore_schedule_){
      .first_seed = 1, .last_seed = 100, .cuts = true, .late_start_step = 10 });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (no_schedule_overspends),
    cmocka_unit_test (a_store_that_comes_back_from_a_copy_forgets_no_grant),
    cmocka_unit_test (no_schedule_with_returns_and_lost_answers_overspends),
    cmocka_unit_test (no_schedule_with_returns_overspends),
    cmocka_unit_test (no_schedule_with_returns_and_late_writes_overspends),
    cmocka_unit_test (no_schedule_with_returns_cuts_and_a_start_overspends),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
