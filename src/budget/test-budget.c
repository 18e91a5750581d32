/* Budgets with their threads, on an in-memory platform and without peers. */
#include "budget/budget.h"
#include "budget/top-up.h"
#include "platform/platform-memory.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  WAIT_US = 5000000
};

static struct sr_budgets *
start_budgets_ (struct sr_platform *platform, const char *instance)
{
  struct sr_budgets_options options = { .platform = platform,
                                        .instance = instance,
                                        .data_centre = "kikuyu",
                                        .incarnation = 1,
                                        .allotment_cover_s = 30,
                                        .idle_return_s = 60,
                                        .settle_interval_ms = 50,
                                        .seed = 1 };
  struct sr_budgets *budgets = sr_budgets_new (&options);

  assert_true (sr_budgets_start (budgets));
  return budgets;
}

static void
top_up_ (struct sr_platform *platform, const char *id, int64_t tokens)
{
  struct sr_top_up_request request
      = { .budget = "b", .id = id, .who = "w", .tokens = tokens, .time_ms = 1 };
  struct sr_top_up_result result;

  sr_top_up_apply (platform, &request, &result);
  assert_int_equal (result.status, SR_PLATFORM_OK);
  assert_int_equal (result.verdict, SR_TOP_UP_APPLIED);
}

static enum sr_budget_verdict
reserve_ (struct sr_budgets *budgets, int64_t tokens, struct sr_reservation **reservation)
{
  int64_t retry_after_ms;

  return sr_budgets_reserve (budgets, "b", tokens, g_get_monotonic_time () + WAIT_US, reservation,
                             &retry_after_ms);
}

static struct sr_record *
read_record_ (struct sr_platform *platform)
{
  GString *body = g_string_new (NULL);
  struct sr_record *record;
  int64_t version;

  assert_int_equal (sr_platform_get (platform, "budget", "b", body, &version), SR_PLATFORM_OK);
  record = sr_record_parse (body->str, body->len);
  g_string_free (body, TRUE);
  assert_non_null (record);
  return record;
}

static void
delete_budgets_ (struct sr_budgets *budgets)
{
  sr_budgets_stop (budgets);
  sr_budgets_delete (budgets);
}

/* Two instances without loans between them spend one budget, and not more than was paid in. */
static void
test_two_instances_never_overspend (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_budgets *first = start_budgets_ (platform, "one");
  struct sr_budgets *second = start_budgets_ (platform, "two");
  struct sr_reservation *reservation;
  struct sr_record *record;
  int64_t spent = 0;

  top_up_ (platform, "t1", 1000);
  for (unsigned i = 0; i < 30; i++)
    {
      if (reserve_ (i % 2 == 0 ? first : second, 50, &reservation) != SR_BUDGET_RESERVED)
        continue;
      sr_budgets_settle (i % 2 == 0 ? first : second, reservation, 50);
      spent += 50;
    }
  assert_in_range (spent, 500, 1000);
  assert_true (sr_budgets_return_all (first, g_get_monotonic_time () + WAIT_US));
  assert_true (sr_budgets_return_all (second, g_get_monotonic_time () + WAIT_US));
  record = read_record_ (platform);
  assert_int_equal (record->settled, spent);
  assert_int_equal (record->holders->len, 0);
  sr_record_delete (record);
  delete_budgets_ (first);
  delete_budgets_ (second);
  sr_platform_unref (platform);
}

/* The platform's response to a draw is lost, and the one to the final return of tokens: the record
 * must still be right. */
static void
test_lost_responses_are_read_back (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_budgets *budgets = start_budgets_ (platform, "one");
  struct sr_reservation *reservation;
  struct sr_record *record;

  top_up_ (platform, "t1", 1000);
  sr_platform_memory_lose_responses (platform, 1);
  assert_int_equal (reserve_ (budgets, 100, &reservation), SR_BUDGET_RESERVED);
  sr_budgets_settle (budgets, reservation, 60);
  sr_platform_memory_lose_responses (platform, 1);
  assert_true (sr_budgets_return_all (budgets, g_get_monotonic_time () + WAIT_US));
  record = read_record_ (platform);
  assert_int_equal (record->settled, 60);
  assert_int_equal (record->holders->len, 0);
  sr_record_delete (record);
  delete_budgets_ (budgets);
  sr_platform_unref (platform);
}

/* In an outage, held tokens can still be reserved, and a larger reservation must be refused as
 * unreachable, not as exhausted. */
static void
test_outage_is_not_reported_as_exhausted (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_budgets *budgets = start_budgets_ (platform, "one");
  struct sr_reservation *reservation;

  top_up_ (platform, "t1", 1000);
  assert_int_equal (reserve_ (budgets, 100, &reservation), SR_BUDGET_RESERVED);
  sr_budgets_settle (budgets, reservation, 50);
  sr_platform_memory_set_unreachable (platform, true);
  assert_int_equal (reserve_ (budgets, 50, &reservation), SR_BUDGET_RESERVED);
  sr_budgets_settle (budgets, reservation, 50);
  assert_int_equal (reserve_ (budgets, 900, &reservation), SR_BUDGET_UNREACHABLE);
  sr_platform_memory_set_unreachable (platform, false);
  delete_budgets_ (budgets);
  sr_platform_unref (platform);
}

/* After an outage the platform has responded to a call of another component: the next draw must not
 * wait for the end of the backoff. */
static void
test_response_to_another_call_ends_the_backoff (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_budgets *budgets = start_budgets_ (platform, "one");
  struct sr_reservation *reservation;
  int64_t retry_after_ms;

  top_up_ (platform, "t1", 1000);
  sr_platform_memory_set_unreachable (platform, true);
  assert_int_equal (sr_budgets_reserve (budgets, "other", 100, g_get_monotonic_time () + WAIT_US,
                                        &reservation, &retry_after_ms),
                    SR_BUDGET_UNREACHABLE);
  sr_platform_memory_set_unreachable (platform, false);
  sr_record_delete (read_record_ (platform));
  assert_int_equal (reserve_ (budgets, 100, &reservation), SR_BUDGET_RESERVED);
  sr_budgets_settle (budgets, reservation, 100);
  delete_budgets_ (budgets);
  sr_platform_unref (platform);
}

/* A top-up whose response is lost is applied once, the same id with other tokens is refused, and so
 * is a correction below zero. */
static void
test_top_up_is_idempotent (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_top_up_request request
      = { .budget = "b", .id = "t1", .who = "w", .tokens = 70, .time_ms = 1 };
  struct sr_top_up_result result;

  sr_platform_memory_lose_responses (platform, 1);
  sr_top_up_apply (platform, &request, &result);
  assert_int_equal (result.verdict, SR_TOP_UP_REPEATED);
  assert_int_equal (result.prepaid, 70);
  request.tokens = 71;
  sr_top_up_apply (platform, &request, &result);
  assert_int_equal (result.verdict, SR_TOP_UP_CONFLICT);
  request.id = "t2";
  request.tokens = -71;
  sr_top_up_apply (platform, &request, &result);
  assert_int_equal (result.verdict, SR_TOP_UP_OVERFLOW);
  sr_platform_unref (platform);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_two_instances_never_overspend),
    cmocka_unit_test (test_lost_responses_are_read_back),
    cmocka_unit_test (test_outage_is_not_reported_as_exhausted),
    cmocka_unit_test (test_response_to_another_call_ends_the_backoff),
    cmocka_unit_test (test_top_up_is_idempotent),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
