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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_holder_that_dies_before_it_merges_is_put_back_by_peers),
    cmocka_unit_test (tokens_settled_by_a_stopped_instance_are_put_back_by_peers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
