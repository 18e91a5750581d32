/* Which requests the allotment managers of several instances serve: during outages, crashes and
 * drains, and when a budget runs out. */
#include "unit/allotment-simulation.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static void
steady_load_refuses_no_request (void **state)
{
  struct allotment_simulation simulation;

  allotment_simulation_set_up (&simulation, 2000000, 1);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 10, 20 * SECOND);
  assert_int_equal (simulation.refused, 0);
  assert_true (simulation.longest_wait_us < 100 * MS);
  allotment_simulation_tear_down (&simulation);
}

static void
a_store_outage_refuses_no_request (void **state)
{
  struct allotment_simulation simulation;

  allotment_simulation_set_up (&simulation, 2000000, 2);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 10, 6 * SECOND);
  allotment_simulation_cut_all (&simulation);
  allotment_simulation_load (&simulation, 5000, 10, 9 * SECOND);
  assert_int_equal (simulation.refused, 0);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    simulation.instances[i].cut_from_store = false;
  allotment_simulation_load (&simulation, 5000, 10, 5 * SECOND);
  assert_int_equal (simulation.refused, 0);
  allotment_simulation_tear_down (&simulation);
}

/* Half of the budget is spent when the store becomes unreachable, for the time in which an eighth
 * of the budget is spent. */
static void
a_store_outage_at_half_of_a_budget_refuses_no_request (void **state)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct allotment_simulation simulation;

      allotment_simulation_set_up (&simulation, 2000000, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, 5000, 10, 20 * SECOND);
      allotment_simulation_cut_all (&simulation);
      simulation.refused = 0;
      allotment_simulation_load (&simulation, 5000, 10, 5 * SECOND);
      assert_int_equal (simulation.refused, 0);
      allotment_simulation_tear_down (&simulation);
    }
}

/* All instances know that the store is unreachable, and the primary has lent all its tokens: no
 * instance calls the store, and requests that can't be served are refused before a call to the
 * store would have timed out. */
static void
a_store_known_to_be_unreachable_is_not_called (void **state)
{
  struct allotment_simulation simulation;
  unsigned calls = 0;

  allotment_simulation_set_up (&simulation, 2000000, 15);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 20, 6 * SECOND);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    {
      simulation.instances[i].cut_from_store = true;
      allotment_manager_store_unreachable (simulation.instances[i].manager);
    }
  allotment_simulation_run (&simulation, SECOND);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    simulation.instances[i].reads = simulation.instances[i].writes = 0;
  simulation.longest_wait_us = 0;
  allotment_simulation_load (&simulation, 5000, 40, 20 * SECOND);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    calls += simulation.instances[i].reads + simulation.instances[i].writes;
  assert_true (simulation.refused > 0);
  assert_int_equal (calls, 0);
  assert_true (simulation.longest_wait_us < CALL_TIMEOUT_US / 4);
  allotment_simulation_reconnect_all (&simulation);
  allotment_simulation_run (&simulation, SECOND);
  simulation.refused = 0;
  allotment_simulation_load (&simulation, 5000, 10, 3 * SECOND);
  assert_int_equal (simulation.refused, 0);
  allotment_simulation_tear_down (&simulation);
}

static void
a_large_request_of_a_small_budget_is_served_by_any_instance (void **state)
{
  struct allotment_simulation simulation;

  allotment_simulation_set_up (&simulation, 250000, 3);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 1500, 10, 5 * SECOND);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    {
      if (i < 2)
        simulated_instance_reserve (&simulation.instances[i], 50000);
      allotment_simulation_run (&simulation, SECOND);
    }
  assert_int_equal (simulation.refused, 0);
  allotment_simulation_tear_down (&simulation);
}

static void
a_primary_that_is_cut_off_stops_no_other_instance (void **state)
{
  struct allotment_simulation simulation;
  struct simulated_instance *primary;
  unsigned before;

  allotment_simulation_set_up (&simulation, 4000000, 4);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 10, 4 * SECOND);
  primary = allotment_simulation_primary (&simulation);
  primary->cut_from_store = true;
  allotment_simulation_load (&simulation, 5000, 10, 25 * SECOND);
  assert_int_equal (simulation.refused, 0);
  before = simulation.refused;
  primary->cut_from_peers = true;
  allotment_simulation_load (&simulation, 5000, 10, 10 * SECOND);
  /* Only the instance that is cut off from its peers too runs out: one request in seven. */
  assert_true (simulation.refused - before <= 100 / SIMULATED_INSTANCES + 1);
  allotment_simulation_tear_down (&simulation);
}

/* The primary is cut off from the store and has no tokens left. Its substitute draws ahead of
 * demand: one write a second, not one for each request. */
static void
a_substitute_does_not_write_for_each_request (void **state)
{
  enum
  {
    SPAN_S = 20
  };
  struct allotment_simulation simulation;
  unsigned writes = 0;
  unsigned refused;

  allotment_simulation_set_up (&simulation, 8000000, 13);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 20, 4 * SECOND);
  allotment_simulation_primary (&simulation)->cut_from_store = true;
  allotment_simulation_load (&simulation, 5000, 20, 20 * SECOND);
  refused = simulation.refused;
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    simulation.instances[i].writes = 0;
  allotment_simulation_load (&simulation, 5000, 20, SPAN_S * SECOND);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    writes += simulation.instances[i].writes;
  assert_int_equal (simulation.refused, refused);
  assert_true (writes <= SPAN_S + SIMULATED_INSTANCES);
  allotment_simulation_tear_down (&simulation);
}

static void
a_crash_of_all_keeps_half_of_the_remaining_tokens (void **state)
{
  struct allotment_simulation simulation;
  int64_t left;
  unsigned before;

  allotment_simulation_set_up (&simulation, 2000000, 5);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 10, 25 * SECOND);
  left = simulation.prepaid - simulation.consumed;
  allotment_simulation_crash_all (&simulation);
  before = simulation.granted;
  allotment_simulation_load (&simulation, 5000, 10, 30 * SECOND);
  assert_true ((simulation.granted - before) * 5000 >= left / 2 - 100000);
  allotment_simulation_tear_down (&simulation);
}

/* Seven tenths are spent when all instances crash: a fifth of the rest may be lost, besides the 3%
 * of the total that are left over at several instances in the end. */
static void
a_crash_of_all_loses_at_most_a_fifth_of_the_remaining_tokens (void **state)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct allotment_simulation simulation;
      int64_t left;

      allotment_simulation_set_up (&simulation, 2000000, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, 5000, 20, 14 * SECOND);
      for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
        simulated_instance_kill (&simulation.instances[i]);
      left = simulation.prepaid - simulation.consumed;
      allotment_simulation_run (&simulation, SECOND);
      for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
        simulated_instance_start (&simulation.instances[i]);
      allotment_simulation_run (&simulation, 2 * SECOND);
      allotment_simulation_load (&simulation, 5000, 20, 20 * SECOND);
      allotment_simulation_load (&simulation, 1000, 50, 5 * SECOND);
      assert_true (simulation.prepaid - simulation.consumed
                   <= left / 5 + simulation.prepaid * 3 / 100);
      allotment_simulation_tear_down (&simulation);
    }
}

/* Stops PRIMARY, which is draining already, and asserts that its peers can then spend the budget:
 * all but the 3% that are left over at several instances in the end. */
static void
assert_stop_returns_all_ (struct allotment_simulation *simulation,
                          struct simulated_instance *primary)
{
  allotment_manager_stop (primary->manager, simulation->now_us);
  allotment_simulation_run (simulation, SECOND);
  assert_true (allotment_manager_has_returned_all (primary->manager));
  simulated_instance_kill (primary);
  allotment_simulation_load (simulation, 5000, 10, 30 * SECOND);
  allotment_simulation_load (simulation, 1000, 100, 10 * SECOND);
  assert_true (simulation->consumed >= simulation->prepaid * 97 / 100);
}

static void
a_draining_instance_returns_its_tokens (void **state)
{
  struct allotment_simulation simulation;
  struct simulated_instance *primary;

  allotment_simulation_set_up (&simulation, 2000000, 6);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 10, 4 * SECOND);
  primary = allotment_simulation_primary (&simulation);
  allotment_manager_drain (primary->manager, simulation.now_us);
  allotment_simulation_run (&simulation, 2 * SECOND);
  assert_stop_returns_all_ (&simulation, primary);
  allotment_simulation_tear_down (&simulation);
}

/* The primary was cut off during a draw, so that it does not know its record, and drains soon
 * after. */
static void
a_draining_instance_that_does_not_know_its_record_returns_its_tokens (void **state)
{
  struct allotment_simulation simulation;
  struct simulated_instance *primary;

  allotment_simulation_set_up (&simulation, 2000000, 12);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 10, 4 * SECOND);
  primary = allotment_simulation_primary (&simulation);
  primary->cut_from_store = true;
  allotment_simulation_load (&simulation, 5000, 10, 8 * SECOND);
  primary->cut_from_store = false;
  allotment_manager_drain (primary->manager, simulation.now_us);
  allotment_simulation_run (&simulation, 5 * SECOND);
  assert_stop_returns_all_ (&simulation, primary);
  allotment_simulation_tear_down (&simulation);
}

static void
an_exhausted_budget_is_reported (void **state)
{
  struct allotment_simulation simulation;

  allotment_simulation_set_up (&simulation, 300000, 7);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 20, 10 * SECOND);
  assert_true (simulation.consumed >= simulation.prepaid * 97 / 100 - 5000);
  assert_true (simulation.refused > 0);
  simulated_instance_reserve (&simulation.instances[0], 400000);
  allotment_simulation_run (&simulation, SECOND);
  assert_true (simulation.exhausted > 0);
  allotment_simulation_tear_down (&simulation);
}

/* No retry can succeed once a budget is spent: all requests are refused as exhausted, not only
 * those that need more than the prepaid total. */
static void
all_requests_are_refused_as_exhausted_once_a_budget_is_spent (void **state)
{
  struct allotment_simulation simulation;
  unsigned refused;
  unsigned exhausted;

  allotment_simulation_set_up (&simulation, 300000, 14);
  simulation.used_percent = 70;
  simulation.checks_exhausted_verdicts = true;
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 20, 12 * SECOND);
  refused = simulation.refused;
  exhausted = simulation.exhausted;
  allotment_simulation_load (&simulation, 5000, 20, 5 * SECOND);
  assert_true (simulation.refused - refused >= 95);
  assert_int_equal (simulation.exhausted - exhausted, simulation.refused - refused);
  allotment_simulation_tear_down (&simulation);
}

/* Tokens held by crashed instances are lost. Whichever instance is the primary afterwards, requests
 * are refused as exhausted once the rest is spent. */
static void
all_requests_are_refused_as_exhausted_once_a_budget_is_spent_after_a_crash (void **state)
{
  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      struct allotment_simulation simulation;
      unsigned refused;
      unsigned exhausted;

      allotment_simulation_set_up (&simulation, 600000, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, 5000, 20, 3 * SECOND);
      allotment_simulation_primary (&simulation)->cut_from_store
          = true; /* so that there are several holders */
      allotment_simulation_load (&simulation, 5000, 20, 2 * SECOND);
      for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
        simulated_instance_kill (&simulation.instances[i]);
      allotment_simulation_run (&simulation, SECOND);
      for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
        {
          simulation.instances[i].cut_from_store = false;
          if (i != seed % SIMULATED_INSTANCES) /* one starts later */
            simulated_instance_start (&simulation.instances[i]);
        }
      allotment_simulation_load (&simulation, 5000, 20, 8 * SECOND);
      simulated_instance_start (&simulation.instances[seed % SIMULATED_INSTANCES]);
      allotment_simulation_load (&simulation, 5000, 20, 5 * SECOND);
      refused = simulation.refused;
      exhausted = simulation.exhausted;
      allotment_simulation_load (&simulation, 5000, 20, 5 * SECOND);
      assert_true (simulation.refused > refused);
      assert_int_equal (simulation.exhausted - exhausted, simulation.refused - refused);
      allotment_simulation_tear_down (&simulation);
    }
}

/* Announces the newest total to all instances. */
static void
announce_total_ (struct allotment_simulation *simulation)
{
  simulation->known_prepaid = simulation->prepaid;
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    allotment_manager_set_prepaid (simulation->instances[i].manager, "team", simulation->prepaid,
                                   simulation->now_us);
}

/* While tokens are left, but in use or held by peers that are out of reach, no request that they
 * could serve is refused as exhausted (checks_exhausted_verdicts). */
static void
no_request_is_refused_as_exhausted_while_tokens_are_left (void **state)
{
  unsigned seeds_with_exhausted = 0;

  for (uint32_t seed = 1; seed <= 60; seed++)
    {
      struct allotment_simulation simulation;

      allotment_simulation_set_up (&simulation, 600000, seed);
      simulation.datagram_loss = 0.1;
      simulation.late_datagrams = seed % 2 == 0 ? 0.1 : 0;
      simulation.lost_write_replies = 0.2;
      simulation.used_percent = 60;
      simulation.checks_exhausted_verdicts = true;
      allotment_simulation_run (&simulation, 2 * SECOND);
      for (unsigned step = 0; step < 40; step++)
        {
          struct simulated_instance *instance
              = &simulation.instances[g_rand_int_range (simulation.random, 0, SIMULATED_INSTANCES)];

          switch (g_rand_int_range (simulation.random, 0, 6))
            {
            case 0:
              instance->cut_from_store = !instance->cut_from_store;
              break;
            case 1:
              instance->cut_from_peers = !instance->cut_from_peers;
              break;
            case 2:
              simulation.store_call_us = g_rand_boolean (simulation.random) ? 4 * MS : 240 * MS;
              break;
            case 3:
              /* The newest total reaches one instance, and all of them by the next step. */
              announce_total_ (&simulation);
              simulation.prepaid += 5000;
              allotment_manager_set_prepaid (instance->manager, "team", simulation.prepaid,
                                             simulation.now_us);
              break;
            default:
              announce_total_ (&simulation);
              break;
            }
          allotment_simulation_load (&simulation, g_rand_int_range (simulation.random, 100, 9000),
                                     20, 400 * MS);
        }
      simulation.store_call_us = 4 * MS;
      announce_total_ (&simulation);
      for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
        simulation.instances[i].cut_from_store = simulation.instances[i].cut_from_peers = false;
      allotment_simulation_load (&simulation, 9000, 20, 20 * SECOND);
      seeds_with_exhausted += simulation.exhausted > 0;
      allotment_simulation_tear_down (&simulation);
    }
  assert_true (seeds_with_exhausted > 0); /* the verdict has occurred, so that it was checked */
}

/* Nothing is left, and all instances have restarted: the primary reads the record and reports to
 * its peers, which do not call the store for each request themselves. */
static void
an_exhausted_record_is_read_by_the_primary_only (void **state)
{
  struct allotment_simulation simulation;
  unsigned most = 0;
  unsigned sum = 0;

  allotment_simulation_set_up (&simulation, 100000, 11);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 20, 3 * SECOND);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    simulated_instance_kill (&simulation.instances[i]);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    simulated_instance_start (&simulation.instances[i]);
  allotment_simulation_run (&simulation, 3 * SECOND);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    simulation.instances[i].reads = 0;
  allotment_simulation_load (&simulation, 5000, 20, 10 * SECOND);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    {
      most = MAX (most, simulation.instances[i].reads);
      sum += simulation.instances[i].reads;
    }
  assert_true (sum - most <= SIMULATED_INSTANCES);
  allotment_simulation_tear_down (&simulation);
}

static void
a_top_up_is_available_at_once (void **state)
{
  struct allotment_simulation simulation;
  unsigned before;

  allotment_simulation_set_up (&simulation, 200000, 8);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 20, 5 * SECOND);
  simulation.prepaid = 600000;
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    allotment_manager_set_prepaid (simulation.instances[i].manager, "team", simulation.prepaid,
                                   simulation.now_us);
  before = simulation.refused;
  allotment_simulation_load (&simulation, 5000, 10, 3 * SECOND);
  assert_int_equal (simulation.refused, before);
  allotment_simulation_tear_down (&simulation);
}

static void
a_slow_store_refuses_no_request (void **state)
{
  struct allotment_simulation simulation;

  allotment_simulation_set_up (&simulation, 2000000, 9);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 10, 5 * SECOND);
  simulation.store_call_us = 240 * MS;
  allotment_simulation_load (&simulation, 5000, 10, 8 * SECOND);
  assert_int_equal (simulation.refused, 0);
  allotment_simulation_tear_down (&simulation);
}

/* Of a scarce budget the primary holds little and draws often. All writes take effect, but their
 * replies are lost: a read shows that long before the call times out. */
static void
a_lost_write_reply_does_not_hold_up_requests (void **state)
{
  struct allotment_simulation simulation;

  allotment_simulation_set_up (&simulation, 3000000, 21);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 40, 8 * SECOND);
  simulation.lost_write_replies = 1;
  simulation.no_late_writes = true;
  allotment_simulation_load (&simulation, 5000, 40, 3 * SECOND);
  assert_int_equal (simulation.refused, 0);
  assert_true (simulation.longest_wait_us < 400 * MS);
  allotment_simulation_tear_down (&simulation);
}

/* Half of the writes get no reply, and half of those take effect seconds later, while the store
 * replies to all other calls: it must not be taken for unreachable, which would refuse all waiting
 * requests at once. */
static void
a_store_that_loses_write_replies_is_not_taken_for_unreachable (void **state)
{
  unsigned granted = 0;
  unsigned refused = 0;

  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      struct allotment_simulation simulation;

      allotment_simulation_set_up (&simulation, 3000000, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, 5000, 40, 8 * SECOND);
      simulation.lost_write_replies = 0.5;
      allotment_simulation_load (&simulation, 5000, 40, 3 * SECOND);
      granted += simulation.granted;
      refused += simulation.refused;
      allotment_simulation_tear_down (&simulation);
    }
  assert_true (granted > 0);
  assert_int_equal (refused, 0);
}

/* A lender is paused with a loan request in its queue, the borrower is killed and restarts, and
 * then the lender replies. The loan to the killed process must not be used by its successor. */
static void
a_loan_to_an_earlier_incarnation_is_not_used (void **state)
{
  struct allotment_simulation simulation;
  struct simulated_instance *primary;
  struct simulated_instance *borrower;
  int64_t most_available = 0;

  allotment_simulation_set_up (&simulation, 2000000, 10);
  allotment_simulation_run (&simulation, 3 * SECOND);
  allotment_simulation_load (&simulation, 5000, 20, 5 * SECOND);
  primary = allotment_simulation_primary (&simulation);
  borrower
      = primary == &simulation.instances[0] ? &simulation.instances[1] : &simulation.instances[0];
  allotment_simulation_run (&simulation, SECOND);
  simulated_instance_reserve (borrower, 5000);
  assert_true (allotment_simulation_delay_loan_request (&simulation, borrower, 2 * SECOND));
  simulated_instance_kill (borrower);
  simulated_instance_start (borrower);
  for (unsigned ms = 0; ms < 2500; ms++)
    {
      allotment_simulation_run (&simulation, MS);
      most_available
          = MAX (most_available, allotment_manager_available (borrower->manager, "team"));
    }
  assert_true (most_available <= 5000);
  allotment_simulation_tear_down (&simulation);
}

/* The store becomes unreachable when a budget is scarce: its reserve is spent once the store has
 * not been reached for 2.5 s, and no request is refused after that. */
static void
a_scarce_budget_is_served_during_a_store_outage (void **state)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct allotment_simulation simulation;
      unsigned granted;

      allotment_simulation_set_up (&simulation, 2000000, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, 5000, 10, 28 * SECOND);
      allotment_simulation_cut_all (&simulation);
      allotment_simulation_load (&simulation, 5000, 10, 3 * SECOND);
      simulation.refused = 0;
      granted = simulation.granted;
      allotment_simulation_load (&simulation, 5000, 10, 5 * SECOND);
      assert_int_equal (simulation.refused, 0);
      assert_true (simulation.granted - granted >= 49);
      allotment_simulation_tear_down (&simulation);
    }
}

/* Seven tenths are spent when all instances crash and restart after a second: the spend limits on
 * the record show that what they held was not spent, and at most 3% of the total can't be spent. */
static void
a_crash_of_all_loses_little_of_a_scarce_budget (void **state)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct allotment_simulation simulation;

      allotment_simulation_set_up (&simulation, 4000000, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, 5000, 20, 28 * SECOND);
      allotment_simulation_crash_all (&simulation);
      allotment_simulation_load (&simulation, 5000, 20, 20 * SECOND);
      allotment_simulation_load (&simulation, 500, 100, 5 * SECOND);
      assert_true (simulation.prepaid - simulation.consumed <= simulation.prepaid * 3 / 100);
      allotment_simulation_tear_down (&simulation);
    }
}

/* A quarter is spent when the primary alone is killed, a second after a store outage: its holding
 * covers twelve seconds of demand, but only about half of that is lost. */
static void
a_primary_killed_after_an_outage_loses_part_of_its_holding (void **state)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct allotment_simulation simulation;
      struct simulated_instance *primary;

      allotment_simulation_set_up (&simulation, 4000000, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, 5000, 20, 5 * SECOND);
      allotment_simulation_cut_all (&simulation);
      allotment_simulation_load (&simulation, 5000, 20, 5 * SECOND);
      allotment_simulation_reconnect_all (&simulation);
      allotment_simulation_load (&simulation, 5000, 20, SECOND);
      primary = allotment_simulation_primary (&simulation);
      simulated_instance_kill (primary);
      allotment_simulation_load (&simulation, 5000, 20, SECOND);
      simulated_instance_start (primary);
      allotment_simulation_load (&simulation, 5000, 20, 30 * SECOND);
      allotment_simulation_load (&simulation, 500, 100, 5 * SECOND);
      assert_true (simulation.prepaid - simulation.consumed <= simulation.prepaid * 18 / 100);
      allotment_simulation_tear_down (&simulation);
    }
}

/* The store becomes unreachable while writes are under way, and all instances crash 0.2 s after the
 * outage: the spend limits are renewed by then, and little is lost. */
static void
a_crash_soon_after_an_outage_loses_little (void **state)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct allotment_simulation simulation;

      allotment_simulation_set_up (&simulation, 4000000, seed);
      allotment_simulation_run (&simulation, 3 * SECOND);
      allotment_simulation_load (&simulation, 5000, 20, 27 * SECOND);
      simulation.lost_write_replies = 1;
      allotment_simulation_load (&simulation, 5000, 20, 200 * MS);
      simulation.lost_write_replies = 0;
      allotment_simulation_cut_all (&simulation);
      allotment_simulation_load (&simulation, 5000, 20, 5 * SECOND);
      allotment_simulation_reconnect_all (&simulation);
      allotment_simulation_load (&simulation, 5000, 20, 200 * MS);
      allotment_simulation_crash_all (&simulation);
      allotment_simulation_load (&simulation, 5000, 20, 20 * SECOND);
      allotment_simulation_load (&simulation, 500, 100, 5 * SECOND);
      assert_true (simulation.prepaid - simulation.consumed <= simulation.prepaid * 3 / 100);
      allotment_simulation_tear_down (&simulation);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (steady_load_refuses_no_request),
    cmocka_unit_test (a_store_outage_refuses_no_request),
    cmocka_unit_test (a_store_outage_at_half_of_a_budget_refuses_no_request),
    cmocka_unit_test (a_store_known_to_be_unreachable_is_not_called),
    cmocka_unit_test (a_large_request_of_a_small_budget_is_served_by_any_instance),
    cmocka_unit_test (a_primary_that_is_cut_off_stops_no_other_instance),
    cmocka_unit_test (a_substitute_does_not_write_for_each_request),
    cmocka_unit_test (a_crash_of_all_keeps_half_of_the_remaining_tokens),
    cmocka_unit_test (a_crash_of_all_loses_at_most_a_fifth_of_the_remaining_tokens),
    cmocka_unit_test (a_scarce_budget_is_served_during_a_store_outage),
    cmocka_unit_test (a_crash_of_all_loses_little_of_a_scarce_budget),
    cmocka_unit_test (a_primary_killed_after_an_outage_loses_part_of_its_holding),
    cmocka_unit_test (a_crash_soon_after_an_outage_loses_little),
    cmocka_unit_test (a_draining_instance_returns_its_tokens),
    cmocka_unit_test (a_draining_instance_that_does_not_know_its_record_returns_its_tokens),
    cmocka_unit_test (an_exhausted_budget_is_reported),
    cmocka_unit_test (all_requests_are_refused_as_exhausted_once_a_budget_is_spent),
    cmocka_unit_test (all_requests_are_refused_as_exhausted_once_a_budget_is_spent_after_a_crash),
    cmocka_unit_test (no_request_is_refused_as_exhausted_while_tokens_are_left),
    cmocka_unit_test (an_exhausted_record_is_read_by_the_primary_only),
    cmocka_unit_test (a_top_up_is_available_at_once),
    cmocka_unit_test (a_slow_store_refuses_no_request),
    cmocka_unit_test (a_lost_write_reply_does_not_hold_up_requests),
    cmocka_unit_test (a_store_that_loses_write_replies_is_not_taken_for_unreachable),
    cmocka_unit_test (a_loan_to_an_earlier_incarnation_is_not_used),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
