/* Restores of the store from older copies while instances end: nothing beyond the prepaid total may
 * be consumed, which allotment_simulation_run asserts. */
#include "unit/allotment-simulation.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  PREPAID = 2000000, /* tokens */
  TOKENS = 5000,     /* of a request */
  PER_S = 40         /* requests */
};

/* The holder of most tokens dies after a restore, before it could merge: it was cut off from the
 * store. Other instances that had drawn saw its grant on the record, and must put it back (soak
 * seed 5200: 511,874 of 400,000 tokens consumed). */
static void
a_holder_that_dies_before_it_merges_is_put_back_by_peers (void **state)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      struct allotment_simulation simulation;
      struct simulated_instance *primary;

      allotment_simulation_set_up (&simulation, PREPAID, seed);
      allotment_simulation_run (&simulation, 2 * SECOND);
      allotment_simulation_load (&simulation, TOKENS, PER_S, 3 * SECOND);
      primary = allotment_simulation_primary (&simulation);
      primary->cut_from_peers = true; /* the others draw for themselves, and so read the record */
      allotment_simulation_load (&simulation, TOKENS, PER_S, SECOND);
      primary->cut_from_peers = false;
      primary->cut_from_store = true;
      allotment_simulation_restore_store (&simulation, 6 * SECOND + seed % 7 * 500 * MS);
      allotment_simulation_load (&simulation, TOKENS, PER_S, SECOND);
      simulated_instance_kill (primary);
      allotment_simulation_run (&simulation, SECOND);
      primary->cut_from_store = false;
      simulated_instance_start (primary);
      allotment_simulation_load (&simulation, TOKENS, PER_S, 30 * SECOND);
      allotment_simulation_tear_down (&simulation);
    }
}

/* The primary stops as planned, with everything accounted for on the record, and the copy is older
 * than its grants. The next primary has read the record since, and must put the settled tokens back
 * (review/1: 354,240 of 180,000 tokens consumed). */
static void
tokens_settled_by_a_stopped_instance_are_put_back_by_peers (void **state)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      struct allotment_simulation simulation;
      struct simulated_instance *primary;

      allotment_simulation_set_up (&simulation, PREPAID, seed);
      allotment_simulation_run (&simulation, 2 * SECOND);
      allotment_simulation_load (&simulation, TOKENS, PER_S, 3 * SECOND);
      primary = allotment_simulation_primary (&simulation);
      allotment_manager_drain (primary->manager, simulation.now_us);
      allotment_simulation_load (&simulation, TOKENS, PER_S, SECOND);
      allotment_manager_stop (primary->manager, simulation.now_us);
      allotment_simulation_run (&simulation, SECOND);
      simulated_instance_kill (primary);
      allotment_simulation_load (&simulation, TOKENS, PER_S, SECOND);
      allotment_simulation_restore_store (&simulation, 6500 * MS);
      allotment_simulation_run (&simulation, 500 * MS);
      simulated_instance_start (primary);
      allotment_simulation_load (&simulation, TOKENS, PER_S, 30 * SECOND);
      allotment_simulation_tear_down (&simulation);
    }
}

/* The primary is killed, and the store restored before anyone has read what the primary drew, also
 * as the only instance that ever read the record: what it may have drawn must not be granted again
 * (review/1 with PARTS=kill+drill: 354,240 of 180,000 tokens consumed). */
static void
grants_that_nobody_knows_are_not_repeated (void **state)
{
  for (uint32_t seed = 1; seed <= 40; seed++)
    {
      struct allotment_simulation simulation;
      struct simulated_instance *primary;
      bool is_restored_first = seed % 2 == 0;

      allotment_simulation_set_up (&simulation, PREPAID, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, TOKENS, PER_S, 4 * SECOND);
      primary = allotment_simulation_primary (&simulation);
      if (is_restored_first)
        {
          primary->cut_from_store = true;
          allotment_simulation_restore_store (&simulation, 5 * SECOND);
          allotment_simulation_load (&simulation, TOKENS, PER_S, SECOND);
        }
      simulated_instance_kill (primary);
      if (!is_restored_first)
        allotment_simulation_restore_store (&simulation, 5 * SECOND);
      allotment_simulation_run (&simulation, SECOND);
      primary->cut_from_store = false;
      simulated_instance_start (primary);
      allotment_simulation_load (&simulation, TOKENS, PER_S, 60 * SECOND);
      allotment_simulation_tear_down (&simulation);
    }
}

/* The primary goes on serving while it is cut off from the store and its peers through a restore,
 * for longer than the others wait for its merge. They must not grant again what it still spends,
 * and once it has merged, nothing is frozen any more. */
static void
a_holder_that_merges_late_overspends_nothing (void **state)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      struct allotment_simulation simulation;
      struct simulated_instance *primary;

      allotment_simulation_set_up (&simulation, PREPAID, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, 1000, PER_S, 3 * SECOND);
      primary = allotment_simulation_primary (&simulation);
      primary->cut_from_store = primary->cut_from_peers = true;
      allotment_simulation_restore_store (&simulation, 5 * SECOND);
      allotment_simulation_load (&simulation, TOKENS, PER_S, 30 * SECOND);
      primary->cut_from_store = primary->cut_from_peers = false;
      allotment_simulation_load (&simulation, TOKENS, PER_S, 30 * SECOND);
      allotment_simulation_load (&simulation, 1000, PER_S, 20 * SECOND);
      assert_true (simulation.consumed >= simulation.prepaid * 90 / 100);
      allotment_simulation_tear_down (&simulation);
    }
}

/* All instances are replaced in turn, with a restore a few seconds after the last: everything is
 * known, so that no token may be frozen, and no request refused after the wait for the merges. */
static void
a_restore_after_planned_replacements_freezes_nothing (void **state)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      struct allotment_simulation simulation;

      allotment_simulation_set_up (&simulation, PREPAID, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, 1000, PER_S, 2 * SECOND);
      for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
        {
          struct simulated_instance *instance
              = &simulation.instances[(i + seed) % SIMULATED_INSTANCES];

          allotment_manager_drain (instance->manager, simulation.now_us);
          allotment_simulation_load (&simulation, 1000, PER_S, SECOND);
          allotment_manager_stop (instance->manager, simulation.now_us);
          allotment_simulation_run (&simulation, 500 * MS);
          simulated_instance_kill (instance);
          allotment_simulation_run (&simulation, 500 * MS);
          simulated_instance_start (instance);
          allotment_simulation_load (&simulation, 1000, PER_S, SECOND);
        }
      allotment_simulation_load (&simulation, 1000, PER_S, (int64_t)(seed % 4) * SECOND);
      allotment_simulation_restore_store (&simulation, 5 * SECOND);
      allotment_simulation_load (&simulation, 1000, PER_S, WATCH_NOTIFIES_MAX_US + 2500 * MS);
      simulation.refused = simulation.exhausted = 0;
      allotment_simulation_load (&simulation, 1000, PER_S, 5 * SECOND);
      assert_int_equal (simulation.refused, 0);
      allotment_simulation_load (&simulation, TOKENS, PER_S, 30 * SECOND);
      assert_true (simulation.consumed >= simulation.prepaid * 90 / 100);
      allotment_simulation_tear_down (&simulation);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_holder_that_dies_before_it_merges_is_put_back_by_peers),
    cmocka_unit_test (tokens_settled_by_a_stopped_instance_are_put_back_by_peers),
    cmocka_unit_test (grants_that_nobody_knows_are_not_repeated),
    cmocka_unit_test (a_holder_that_merges_late_overspends_nothing),
    cmocka_unit_test (a_restore_after_planned_replacements_freezes_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
