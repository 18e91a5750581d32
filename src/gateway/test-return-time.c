/* Many callers refused at one moment: when they return, and what they meet. */
#include "gateway/return-time.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  CALLERS = 1000,
  STEP_MS = 50,
  STEPS = 400,
  SEED = 5
};

static const double MS_PER_S = 1000;
static const double OUTAGE_S = 8;
static const double SOON_S = 1;

struct herd_
{
  unsigned returns[STEPS]; /* callers by the step in which they return */
  unsigned most;           /* in one step */
  double first_s;
  double last_s;
};

static void
play_ (const struct gw_return_query *query, struct herd_ *herd)
{
  GRand *random = g_rand_new_with_seed (SEED);

  *herd = (struct herd_){ .first_s = G_MAXDOUBLE };
  for (unsigned i = 0; i < CALLERS; i++)
    {
      double after_s = gw_return_after_s (query, random);
      unsigned step = (unsigned)(after_s * MS_PER_S / STEP_MS);

      assert_true (after_s > 0 && step < STEPS);
      herd->returns[step]++;
      herd->most = MAX (herd->most, herd->returns[step]);
      herd->first_s = MIN (herd->first_s, after_s);
      herd->last_s = MAX (herd->last_s, after_s);
    }
  g_rand_free (random);
}

/* An outage of two seconds refuses a thousand callers at once: no step of their return gets more
 * than a tenth of them, and all are back within the third of their time that they wait. */
static void
callers_of_an_outage_return_spread (void **state)
{
  const struct gw_return_query query
      = { .cause = GW_RETURN_OUTAGE, .away_ms = 2000, .left_ms = 8000 };
  struct herd_ herd;

  play_ (&query, &herd);
  assert_true (herd.most <= CALLERS / 10);
  assert_true (herd.last_s <= 8.0 / 3);
}

/* An outage of eight seconds refuses callers all the while, each of which asks twice at most: more
 * of them are served than if they returned soon. */
static void
few_tries_are_used_late (void **state)
{
  GRand *random = g_rand_new_with_seed (SEED);
  unsigned served = 0;
  unsigned served_soon = 0;

  for (unsigned i = 0; i < CALLERS; i++)
    {
      double refused_s = OUTAGE_S * g_rand_double (random);
      const struct gw_return_query query = { .cause = GW_RETURN_OUTAGE,
                                             .away_ms = (int64_t)(refused_s * MS_PER_S),
                                             .left_ms = 8000 };

      served += refused_s + gw_return_after_s (&query, random) >= OUTAGE_S;
      served_soon += refused_s + SOON_S >= OUTAGE_S;
    }
  assert_true (2 * served >= 3 * served_soon);
  g_rand_free (random);
}

/* Who has little time left returns in time all the same, and not in one step. */
static void
little_time_bounds_the_wait (void **state)
{
  const struct gw_return_query query
      = { .cause = GW_RETURN_OUTAGE, .away_ms = 6000, .left_ms = 1500 };
  struct herd_ herd;

  play_ (&query, &herd);
  assert_true (herd.last_s <= 0.5);
  assert_true (herd.most <= CALLERS / 4);
}

/* The longer something is away, the later callers are told to ask again. */
static void
a_long_outage_is_asked_about_less_often (void **state)
{
  struct gw_return_query query = { .cause = GW_RETURN_OUTAGE, .away_ms = 100 };
  struct herd_ before;
  struct herd_ after;

  play_ (&query, &before);
  query.away_ms = 6000;
  play_ (&query, &after);
  assert_true (before.last_s <= 0.5);
  assert_true (after.first_s > before.last_s);
}

/* It is known when tokens are there again: nobody returns before, nor long after, and not all at
 * once. Who can't wait for so long asks once more in the time that is left. */
static void
a_bridged_outage_is_waited_for (void **state)
{
  struct gw_return_query query
      = { .cause = GW_RETURN_OUTAGE, .away_ms = 600, .opens_ms = 1800, .left_ms = 8000 };
  struct herd_ herd;

  play_ (&query, &herd);
  assert_true (herd.first_s >= 1.8);
  assert_true (herd.last_s <= 2.5);
  assert_true (herd.most <= CALLERS / 5);
  query.left_ms = 3000;
  play_ (&query, &herd);
  assert_true (herd.last_s <= 1);
}

/* Nobody is told to return before a pause is over. */
static void
a_pause_is_told_as_it_is (void **state)
{
  const struct gw_return_query query
      = { .cause = GW_RETURN_PAUSE, .pause_ms = 1200, .left_ms = 1500 };
  struct herd_ herd;

  play_ (&query, &herd);
  assert_true (herd.first_s >= 1.2);
  assert_true (herd.most <= CALLERS / 10);
}

/* Where another instance has room, the caller loses no more than a connection takes. */
static void
who_is_served_elsewhere_loses_no_time (void **state)
{
  const struct gw_return_query query = { .cause = GW_RETURN_ELSEWHERE, .left_ms = 1500 };
  struct herd_ herd;

  play_ (&query, &herd);
  assert_true (herd.last_s <= 0.05);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (callers_of_an_outage_return_spread),
    cmocka_unit_test (few_tries_are_used_late),
    cmocka_unit_test (little_time_bounds_the_wait),
    cmocka_unit_test (a_long_outage_is_asked_about_less_often),
    cmocka_unit_test (a_bridged_outage_is_waited_for),
    cmocka_unit_test (a_pause_is_told_as_it_is),
    cmocka_unit_test (who_is_served_elsewhere_loses_no_time),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
