/* Tests when callers that were refused at the same moment retry, and how many of them retry in the
 * same step. */
#include "gateway/retry-after.h"

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

/* The retries of CALLERS callers. */
struct retries_
{
  unsigned callers[STEPS]; /* by the step in which they retry */
  unsigned max;            /* in one step */
  double first_s;
  double last_s;
};

static void
refuse_ (const struct gw_retry_after_query *query, struct retries_ *retries)
{
  GRand *random = g_rand_new_with_seed (SEED);

  *retries = (struct retries_){ .first_s = G_MAXDOUBLE };
  for (unsigned i = 0; i < CALLERS; i++)
    {
      double after_s = gw_retry_after_s (query, random);
      unsigned step = (unsigned)(after_s * MS_PER_S / STEP_MS);

      assert_true (after_s > 0 && step < STEPS);
      retries->callers[step]++;
      retries->max = MAX (retries->max, retries->callers[step]);
      retries->first_s = MIN (retries->first_s, after_s);
      retries->last_s = MAX (retries->last_s, after_s);
    }
  g_rand_free (random);
}

/* Guards against a burst of retries: an outage of two seconds has refused a thousand callers at
 * once. No step receives more than a tenth of them, and all retry within a third of their time. */
static void
callers_refused_in_an_outage_do_not_retry_all_at_once (void **state)
{
  const struct gw_retry_after_query query
      = { .cause = GW_RETRY_AFTER_OUTAGE, .outage_ms = 2000, .remaining_ms = 8000 };
  struct retries_ retries;

  refuse_ (&query, &retries);
  assert_true (retries.max <= CALLERS / 10);
  assert_true (retries.last_s <= 8.0 / 3);
}

/* Guards against retries too early to succeed: callers retry once and are refused throughout an
 * outage of eight seconds. At least 1.5 times as many are served as with a retry after SOON_S. */
static void
retries_are_not_wasted_early_in_an_outage (void **state)
{
  GRand *random = g_rand_new_with_seed (SEED);
  unsigned served = 0;
  unsigned served_soon = 0;

  for (unsigned i = 0; i < CALLERS; i++)
    {
      double refused_s = OUTAGE_S * g_rand_double (random);
      const struct gw_retry_after_query query = { .cause = GW_RETRY_AFTER_OUTAGE,
                                                  .outage_ms = (int64_t)(refused_s * MS_PER_S),
                                                  .remaining_ms = 8000 };

      served += refused_s + gw_retry_after_s (&query, random) >= OUTAGE_S;
      served_soon += refused_s + SOON_S >= OUTAGE_S;
    }
  assert_true (2 * served >= 3 * served_soon);
  g_rand_free (random);
}

/* Guards against waits beyond a close deadline, and against a burst before it. */
static void
a_close_deadline_is_not_missed_by_waiting (void **state)
{
  const struct gw_retry_after_query query
      = { .cause = GW_RETRY_AFTER_OUTAGE, .outage_ms = 6000, .remaining_ms = 1500 };
  struct retries_ retries;

  refuse_ (&query, &retries);
  assert_true (retries.last_s <= 0.5);
  assert_true (retries.max <= CALLERS / 4);
}

/* Guards against frequent retries in a long outage: the longer it lasts, the later they are. */
static void
a_long_outage_does_not_cause_frequent_retries (void **state)
{
  struct gw_retry_after_query query = { .cause = GW_RETRY_AFTER_OUTAGE, .outage_ms = 100 };
  struct retries_ before;
  struct retries_ after;

  refuse_ (&query, &before);
  query.outage_ms = 6000;
  refuse_ (&query, &after);
  assert_true (before.last_s <= 0.5);
  assert_true (after.first_s > before.last_s);
}

/* Guards against retries that are certain to fail. It is known when tokens are available again:
 * callers retry after that, but not much later and not all at once. Those whose deadline is too
 * close retry before it. */
static void
no_retry_before_tokens_are_available (void **state)
{
  struct gw_retry_after_query query = {
    .cause = GW_RETRY_AFTER_OUTAGE, .outage_ms = 600, .available_in_ms = 1800, .remaining_ms = 8000
  };
  struct retries_ retries;

  refuse_ (&query, &retries);
  assert_true (retries.first_s >= 1.8);
  assert_true (retries.last_s <= 2.5);
  assert_true (retries.max <= CALLERS / 5);
  query.remaining_ms = 3000;
  refuse_ (&query, &retries);
  assert_true (retries.last_s <= 1);
}

/* Guards against retries during a pause of the backend servers. */
static void
no_retry_before_a_pause_ends (void **state)
{
  const struct gw_retry_after_query query
      = { .cause = GW_RETRY_AFTER_PAUSE, .pause_ms = 1200, .remaining_ms = 1500 };
  struct retries_ retries;

  refuse_ (&query, &retries);
  assert_true (retries.first_s >= 1.2);
  assert_true (retries.max <= CALLERS / 10);
}

/* Guards against waits where a peer can serve the caller at once. */
static void
no_wait_where_a_peer_has_capacity (void **state)
{
  const struct gw_retry_after_query query
      = { .cause = GW_RETRY_AFTER_ELSEWHERE, .remaining_ms = 1500 };
  struct retries_ retries;

  refuse_ (&query, &retries);
  assert_true (retries.last_s <= 0.05);
}

/* Guards against callers that come back together, or beyond their time, after a refusal in favour
 * of others. */
static void
outranked_callers_come_back_spread_over_time (void **state)
{
  struct gw_retry_after_query query
      = { .cause = GW_RETRY_AFTER_OUTRANKED, .outranked_ms = 1200, .remaining_ms = 15000 };
  struct retries_ retries;

  refuse_ (&query, &retries);
  assert_true (retries.first_s >= 1.2);
  assert_true (retries.last_s <= 2.4);
  assert_true (retries.max <= CALLERS / 15);
  query.remaining_ms = 1500;
  refuse_ (&query, &retries);
  assert_true (retries.last_s <= 0.5);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (callers_refused_in_an_outage_do_not_retry_all_at_once),
    cmocka_unit_test (retries_are_not_wasted_early_in_an_outage),
    cmocka_unit_test (a_close_deadline_is_not_missed_by_waiting),
    cmocka_unit_test (a_long_outage_does_not_cause_frequent_retries),
    cmocka_unit_test (no_retry_before_tokens_are_available),
    cmocka_unit_test (no_retry_before_a_pause_ends),
    cmocka_unit_test (no_wait_where_a_peer_has_capacity),
    cmocka_unit_test (outranked_callers_come_back_spread_over_time),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
