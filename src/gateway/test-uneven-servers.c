/* Placement among servers on which the same work takes different times. */
#include "gateway/backends.h"
#include "gateway/dialect.h"
#include "gateway/placement.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  MS = 1000,
  SECOND = 1000 * MS,
  SERVERS = 3,
  PICKS = 60,
  ROUNDS = 2000,
  ROUND_MS = 25,   /* between two requests */
  CHANGE_MS = 100, /* time of work of one server changes after this time */
  SEED = 7
};

struct fleet_
{
  struct gw_backends *backends;
  struct gw_service service;
  GRand *random;
};

static void
fleet_set_up_ (struct fleet_ *fleet)
{
  *fleet = (struct fleet_){ .backends = gw_backends_new (),
                            .service = { .is_model = true, .slots = 64 },
                            .random = g_rand_new_with_seed (SEED) };
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct gw_backend_facts facts = { .id = g_strdup_printf ("i-%u", i),
                                        .service = g_strdup ("s"),
                                        .data_centre = g_strdup ("here"),
                                        .slots = 64 };

      gw_backends_put (fleet->backends, &facts);
    }
}

static void
fleet_tear_down_ (struct fleet_ *fleet)
{
  gw_backends_delete (fleet->backends);
  g_rand_free (fleet->random);
}

static struct gw_backend *
backend_ (const struct fleet_ *fleet, unsigned server)
{
  return gw_backends_of_service (fleet->backends, "s")->pdata[server];
}

/* Returns the server that a prompt of 3,000 tokens without shared parts gets. */
static unsigned
pick_ (struct fleet_ *fleet, int64_t now_us)
{
  const struct gw_prompt prompt
      = { .is_declared = true, .input_tokens = 3000, .output_tokens_max = 100 };
  const struct gw_placement_query query
      = { .backends = gw_backends_of_service (fleet->backends, "s"),
          .service = &fleet->service,
          .prompt = &prompt,
          .data_centre = "here",
          .now_us = now_us };
  struct gw_placement place;

  assert_int_equal (gw_placement_pick (&query, fleet->random, &place), GW_PLACEMENT_PICKED);
  for (unsigned i = 0; i < SERVERS; i++)
    if (place.backend == backend_ (fleet, i))
      return i;
  fail ();
  return SERVERS;
}

static unsigned
picks_of_ (struct fleet_ *fleet, unsigned server, int64_t now_us)
{
  unsigned picks = 0;

  for (unsigned i = 0; i < PICKS; i++)
    picks += pick_ (fleet, now_us) == server;
  return picks;
}

static void
report_ (struct fleet_ *fleet, unsigned server, unsigned percent, int64_t now_us)
{
  const struct gw_response_head response
      = { .has_load = true, .slots = 64, .work_time_percent = percent };

  gw_placement_note_response (backend_ (fleet, server), &response, now_us);
}

/* Guards against work given to a server that has just said that it is slow, while others are not,
 * and against a server that is avoided for long after one such report. */
static void
a_slow_server_gets_nothing_until_its_report_is_old (void **state)
{
  struct fleet_ fleet;

  fleet_set_up_ (&fleet);
  report_ (&fleet, 0, 200, 10 * SECOND);
  assert_int_equal (picks_of_ (&fleet, 0, 10 * SECOND + 10 * MS), 0);
  assert_true (picks_of_ (&fleet, 0, 11 * SECOND + 500 * MS) >= PICKS / 6);
  report_ (&fleet, 1, 50, 20 * SECOND);
  assert_int_equal (picks_of_ (&fleet, 1, 20 * SECOND + 10 * MS), PICKS);
  report_ (&fleet, 1, 100, 20 * SECOND + 20 * MS);
  assert_true (picks_of_ (&fleet, 1, 20 * SECOND + 30 * MS) <= PICKS / 2);
  fleet_tear_down_ (&fleet);
}

/* Guards against a false report that keeps all work away, or draws all of it, after it is old. */
static void
no_report_counts_for_long (void **state)
{
  static const unsigned reports[] = { 0, 1, 65535 };

  for (size_t i = 0; i < G_N_ELEMENTS (reports); i++)
    {
      struct fleet_ fleet;
      unsigned picks;

      fleet_set_up_ (&fleet);
      report_ (&fleet, 2, reports[i], 10 * SECOND);
      picks = picks_of_ (&fleet, 2, 12 * SECOND);
      assert_true (picks >= PICKS / 6 && picks <= PICKS / 2);
      fleet_tear_down_ (&fleet);
    }
}

/* Returns the mean time of work, in percent, at the servers picked while the time of work of each
 * one changes often. REPORTS: the servers report it, in the response to each request. */
static double
mean_time_of_work_ (bool reports)
{
  struct fleet_ fleet;
  unsigned percent[SERVERS] = { 100, 100, 100 };
  double sum = 0;

  fleet_set_up_ (&fleet);
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      int64_t now_us = 10 * SECOND + (int64_t)i * ROUND_MS * MS;
      unsigned server;

      if (i % (CHANGE_MS / ROUND_MS) == 0)
        percent[g_rand_int_range (fleet.random, 0, SERVERS)]
            = (unsigned)g_rand_int_range (fleet.random, 80, 300);
      server = pick_ (&fleet, now_us);
      sum += percent[server];
      report_ (&fleet, server, reports ? percent[server] : 100, now_us + 5 * MS);
    }
  fleet_tear_down_ (&fleet);
  return sum / ROUNDS;
}

/* Guards against reports that are followed too long, so that they do more harm than good on servers
 * whose time of work changes often. */
static void
reports_that_change_often_make_work_faster (void **state)
{
  double without = mean_time_of_work_ (false);
  double with = mean_time_of_work_ (true);

  print_message ("mean time of work: %.0f%% without reports, %.0f%% with them\n", without, with);
  assert_true (with < without * 0.9);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_slow_server_gets_nothing_until_its_report_is_old),
    cmocka_unit_test (no_report_counts_for_long),
    cmocka_unit_test (reports_that_change_often_make_work_faster),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
