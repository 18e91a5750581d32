/* Claims of orders on an in-memory platform with single faults. */
#include "base/thread.h"
#include "order/key-day.h"
#include "order/maintenance.h"
#include "platform/platform-memory.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

static const int64_t HOUR_MS = 3600 * 1000;
static const int64_t NOON_MS = 1767268800000; /* 2026-01-01 12:00 UTC */
static const char KEY[] = "20260101-refill-7";

enum
{
  CLAIMERS = 8
};

static struct sr_claim_request
make_request (uint64_t nonce)
{
  struct sr_claim_request request = {
    .team = "ege",
    .request = KEY,
    .fingerprint = { 1, 2 },
    .instance = "a",
    .nonce = nonce,
    .now_ms = NOON_MS,
  };

  return request;
}

static enum sr_claim_verdict
claim_once (struct sr_orders *orders, const struct sr_claim_request *request)
{
  struct sr_claim claim;

  sr_orders_claim (orders, request, &claim);
  sr_claim_clear (&claim);
  return claim.verdict;
}

static void
an_order_is_claimed_once_and_its_answer_stored (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_orders *orders = sr_orders_new (platform);
  struct sr_claim_request first = make_request (1);
  struct sr_claim_request second = make_request (2);
  struct sr_claim won;
  struct sr_claim taken;

  sr_orders_claim (orders, &first, &won);
  assert_int_equal (won.verdict, SR_CLAIM_WON);
  assert_true (won.version > 0);
  sr_orders_claim (orders, &second, &taken);
  assert_int_equal (taken.verdict, SR_CLAIM_TAKEN);
  assert_true (taken.in_progress);
  assert_int_equal (taken.outcome, SR_OUTCOME_UNKNOWN);
  assert_string_equal (taken.holder, "a");
  assert_true (sr_orders_finish (orders, &first, &won, SR_OUTCOME_ANSWERED, "a\n\0b", 4));
  sr_orders_claim (orders, &second, &taken);
  assert_int_equal (taken.outcome, SR_OUTCOME_ANSWERED);
  assert_false (taken.in_progress);
  assert_int_equal (taken.answer->len, 4);
  assert_memory_equal (taken.answer->str, "a\n\0b", 4);
  sr_claim_clear (&taken);
  second.fingerprint[1] = 3;
  assert_int_equal (claim_once (orders, &second), SR_CLAIM_OTHER_BODY);
  sr_orders_delete (orders);
  sr_platform_unref (platform);
}

static void
a_key_stays_claimed_after_not_run (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_orders *orders = sr_orders_new (platform);
  struct sr_claim_request request = make_request (1);
  struct sr_claim claim;

  sr_orders_claim (orders, &request, &claim);
  assert_true (sr_orders_finish (orders, &request, &claim, SR_OUTCOME_NOT_RUN, NULL, 0));
  request.nonce = 2;
  sr_orders_claim (orders, &request, &claim);
  assert_int_equal (claim.verdict, SR_CLAIM_TAKEN);
  assert_int_equal (claim.outcome, SR_OUTCOME_NOT_RUN);
  sr_orders_look_up (orders, "ege", "20260101-other", &claim);
  assert_int_equal (claim.verdict, SR_CLAIM_ABSENT);
  sr_orders_delete (orders);
  sr_platform_unref (platform);
}

static void
a_key_is_accepted_only_on_its_day (void **state)
{
  int64_t start_ms = NOON_MS - 12 * HOUR_MS;
  int64_t over_ms = start_ms + 36 * HOUR_MS;

  assert_int_equal (sr_key_day_state (KEY, start_ms - 14 * HOUR_MS - 1), SR_KEY_DAY_FUTURE);
  assert_int_equal (sr_key_day_state (KEY, start_ms - 14 * HOUR_MS), SR_KEY_DAY_ACCEPTED);
  assert_int_equal (sr_key_day_state (KEY, over_ms - 1), SR_KEY_DAY_ACCEPTED);
  assert_int_equal (sr_key_day_state (KEY, over_ms), SR_KEY_DAY_OVER);
  assert_false (sr_key_day_is_removable (KEY, over_ms + 23 * HOUR_MS));
  assert_true (sr_key_day_is_removable (KEY, over_ms + 24 * HOUR_MS));
  assert_int_equal (sr_key_day_state ("20260231-x", NOON_MS), SR_KEY_DAY_MALFORMED);
  assert_int_equal (sr_key_day_state ("2026010-x", NOON_MS), SR_KEY_DAY_MALFORMED);
  assert_int_equal (sr_key_day_state ("20260101", NOON_MS), SR_KEY_DAY_MALFORMED);
  assert_int_equal (sr_key_day_state ("", NOON_MS), SR_KEY_DAY_MALFORMED);
}

static void
a_key_is_refused_after_its_expired_claim_is_removed (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_orders *orders = sr_orders_new (platform);
  struct sr_claim_request request = make_request (1);
  int64_t later_ms = NOON_MS + 48 * HOUR_MS;

  assert_int_equal (claim_once (orders, &request), SR_CLAIM_WON);
  request.request = "20260103-refill-8";
  request.now_ms = later_ms;
  assert_int_equal (claim_once (orders, &request), SR_CLAIM_WON);
  assert_int_equal (sr_orders_remove_expired (orders, NOON_MS, 10), 0);
  assert_int_equal (sr_orders_remove_expired (orders, later_ms, 1), 1);
  assert_int_equal (sr_orders_remove_expired (orders, later_ms, 1), 0);
  request.request = KEY;
  assert_int_equal (claim_once (orders, &request), SR_CLAIM_EXPIRED);
  sr_orders_delete (orders);
  sr_platform_unref (platform);
}

static void
an_outage_is_reported_after_one_call (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_orders *orders = sr_orders_new (platform);
  struct sr_claim_request request = make_request (1);
  struct sr_claim claim;

  sr_platform_memory_set_unreachable (platform, true);
  sr_orders_claim (orders, &request, &claim);
  assert_int_equal (claim.verdict, SR_CLAIM_PLATFORM_OUT);
  assert_int_equal (claim.outcome, SR_OUTCOME_UNKNOWN);
  assert_true (sr_platform_memory_writes (platform) <= 1);
  request.first_attempt = true;
  sr_orders_claim (orders, &request, &claim);
  assert_int_equal (claim.outcome, SR_OUTCOME_NOT_RUN);
  sr_platform_memory_set_unreachable (platform, false);
  assert_int_equal (claim_once (orders, &request), SR_CLAIM_WON);
  sr_orders_delete (orders);
  sr_platform_unref (platform);
}

static void
a_write_with_a_lost_response_is_read_back (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_orders *orders = sr_orders_new (platform);
  struct sr_claim_request request = make_request (1);
  struct sr_claim claim;

  sr_platform_memory_lose_responses (platform, 1);
  sr_orders_claim (orders, &request, &claim);
  assert_int_equal (claim.verdict, SR_CLAIM_WON);
  assert_true (claim.version > 0);
  sr_platform_memory_lose_responses (platform, 1);
  assert_true (sr_orders_finish (orders, &request, &claim, SR_OUTCOME_ANSWERED, "x", 1));
  assert_int_equal (sr_orders_retry_pending (orders), 0);
  sr_orders_delete (orders);
  sr_platform_unref (platform);
}

static void
a_pending_outcome_is_stored_after_an_outage (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_orders *orders = sr_orders_new (platform);
  struct sr_claim_request request = make_request (1);
  struct sr_claim claim;

  sr_orders_claim (orders, &request, &claim);
  sr_platform_memory_set_unreachable (platform, true);
  assert_false (sr_orders_finish (orders, &request, &claim, SR_OUTCOME_ANSWERED, "x", 1));
  assert_int_equal (sr_orders_retry_pending (orders), 1);
  sr_platform_memory_set_unreachable (platform, false);
  assert_int_equal (sr_orders_retry_pending (orders), 0);
  sr_orders_look_up (orders, "ege", KEY, &claim);
  assert_string_equal (claim.answer->str, "x");
  sr_claim_clear (&claim);
  sr_orders_delete (orders);
  sr_platform_unref (platform);
}

static void
the_maintenance_thread_stores_pending_outcomes (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_orders *orders = sr_orders_new (platform);
  struct sr_order_maintenance_options options
      = { .orders = orders, .retry_interval_ms = 5, .removal_interval_s = 1, .removal_page = 10 };
  struct sr_order_maintenance *maintenance = sr_order_maintenance_new (&options);
  struct sr_claim_request request = make_request (1);
  int64_t end_us = g_get_monotonic_time () + 60 * G_USEC_PER_SEC;
  struct sr_claim claim;

  sr_orders_claim (orders, &request, &claim);
  sr_platform_memory_set_unreachable (platform, true);
  assert_false (sr_orders_finish (orders, &request, &claim, SR_OUTCOME_UNKNOWN, NULL, 0));
  assert_true (sr_order_maintenance_start (maintenance));
  sr_platform_memory_set_unreachable (platform, false);
  do
    {
      g_usleep (1000);
      sr_orders_look_up (orders, "ege", KEY, &claim);
    }
  while (claim.in_progress && g_get_monotonic_time () < end_us);
  assert_false (claim.in_progress);
  assert_true (sr_order_maintenance_flush (maintenance, end_us));
  sr_order_maintenance_delete (maintenance);
  sr_orders_delete (orders);
  sr_platform_unref (platform);
}

/* One of several threads that claim the same key at once. */
struct claimer
{
  struct sr_orders *orders;
  uint64_t nonce;
  bool won;
};

static void *
claim_in_thread (void *data)
{
  struct claimer *claimer = data;
  struct sr_claim_request request = make_request (claimer->nonce);

  claimer->won = claim_once (claimer->orders, &request) == SR_CLAIM_WON;
  return NULL;
}

static void
only_one_of_concurrent_claims_wins (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_orders *orders = sr_orders_new (platform);
  struct claimer claimers[CLAIMERS] = { 0 };
  pthread_t threads[CLAIMERS];
  int won = 0;

  sr_platform_memory_lose_responses (platform, 2);
  for (int i = 0; i < CLAIMERS; i++)
    {
      claimers[i].orders = orders;
      claimers[i].nonce = (uint64_t)i + 1;
      assert_true (sr_thread_start (&threads[i], 0, claim_in_thread, &claimers[i]));
    }
  for (int i = 0; i < CLAIMERS; i++)
    {
      pthread_join (threads[i], NULL);
      won += claimers[i].won ? 1 : 0;
    }
  assert_int_equal (won, 1);
  sr_orders_delete (orders);
  sr_platform_unref (platform);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (an_order_is_claimed_once_and_its_answer_stored),
    cmocka_unit_test (a_key_stays_claimed_after_not_run),
    cmocka_unit_test (a_key_is_accepted_only_on_its_day),
    cmocka_unit_test (a_key_is_refused_after_its_expired_claim_is_removed),
    cmocka_unit_test (an_outage_is_reported_after_one_call),
    cmocka_unit_test (a_write_with_a_lost_response_is_read_back),
    cmocka_unit_test (a_pending_outcome_is_stored_after_an_outage),
    cmocka_unit_test (the_maintenance_thread_stores_pending_outcomes),
    cmocka_unit_test (only_one_of_concurrent_claims_wins),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
