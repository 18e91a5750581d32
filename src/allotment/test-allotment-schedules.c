/* Random schedules of faults. None may consume more tokens than the prepaid total, which
 * allotment_simulation_run asserts. */
#include "unit/allotment-simulation.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  STEP_US = 400 * MS, /* duration of one step of a schedule */
  CUT_STEPS_MAX = 15
};

/* Crashes, cuts, drains, slow calls, lost datagrams and lost replies in random order: nothing
 * beyond the total is consumed. */
static void
random_schedules_never_overspend (void **state)
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
                allotment_manager_drain (instance->manager, simulation.now_us);
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

/* The store is restored from copies of different ages, also twice in a row, while all holders live:
 * nothing is overspent, requests are served from what is held, and draws continue. */
static void
a_restored_store_forgets_no_grant (void **state)
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
                                 WATCH_NOTIFIES_MAX_US
                                     + 2500 * MS); /* until all instances have merged */
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
  bool no_late_writes; /* no write takes effect later than its reply was due */
  bool cuts;           /* some instances are cut off from the store or their peers for a while */
  unsigned late_start_step; /* when one more instance starts; 0: all run from the start */
};

/* Ends and begins cuts. None lasts longer than instances wait for their peers' merges after a
 * restore. */
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
      /* The instance that starts late was killed at the start. A restore before any draw, from
       * which nobody can tell what it drew, freezes the whole budget (seed 21). */
      assert_true (simulation.granted > 0 || allotment_simulation_has_frozen (&simulation));
      allotment_simulation_tear_down (&simulation);
    }
}

/* The store is restored repeatedly, while write replies and datagrams are lost, and all instances
 * live and reach it: nothing beyond the total is consumed. Guards against an instance that does not
 * know of the restore yet and draws on a revision that the copy has too (seed 266), and against
 * draws before all holders have merged, which takes long while their writes conflict (seed 300).
 */
static void
restores_with_lost_replies_never_overspend (void **state)
{
  run_restore_schedules_ (
      &(struct restore_schedule_){ .first_seed = 251, .last_seed = 350, .no_late_writes = true });
}

/* The same where half of the writes whose replies are lost take effect seconds later. */
static void
restores_with_late_writes_never_overspend (void **state)
{
  run_restore_schedules_ (&(struct restore_schedule_){ .first_seed = 1, .last_seed = 100 });
}

/* The same. Guards against a write from before the restore that finds the revision that it expects
 * (seed 162). */
static void
a_write_from_before_a_restore_never_overspends (void **state)
{
  run_restore_schedules_ (&(struct restore_schedule_){ .first_seed = 101, .last_seed = 200 });
}

/* The same with cuts, and with an instance that starts during the schedule. */
static void
restores_with_cuts_and_a_late_start_never_overspend (void **state)
{
  run_restore_schedules_ (&(struct restore_schedule_){
      .first_seed = 1, .last_seed = 100, .cuts = true, .late_start_step = 10 });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (random_schedules_never_overspend),
    cmocka_unit_test (a_restored_store_forgets_no_grant),
    cmocka_unit_test (restores_with_lost_replies_never_overspend),
    cmocka_unit_test (restores_with_late_writes_never_overspend),
    cmocka_unit_test (a_write_from_before_a_restore_never_overspends),
    cmocka_unit_test (restores_with_cuts_and_a_late_start_never_overspend),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
