/* Closing a lender's record while tokens are out on loan. */
#include "budget/ledger.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PREPAID = 1000,
  GRANTED = 500,
  LENT = 100,
  BORROWER_INCARNATION = 7,
  VERSION = 3
};

struct lender
{
  struct sr_ledger *ledger;
  struct sr_record *record;
  struct sr_holder_id id;
};

/* Creates a lender that was granted GRANTED tokens, LENT of which are out on loan. */
static int
set_up_ (void **state)
{
  static const struct sr_ledger_options options
      = { .instance = "lender", .data_centre = "makole", .incarnation = 1 };
  const struct sr_holder_id no_lender = { 0 };
  struct lender *lender = g_new0 (struct lender, 1);
  struct sr_loan_reply reply;

  lender->ledger = sr_ledger_new (&options);
  lender->record = sr_record_new ();
  lender->record->prepaid = PREPAID;
  sr_ledger_draw (lender->ledger, lender->record, VERSION, GRANTED, GRANTED, NULL, 0);
  sr_ledger_apply_write (lender->ledger, lender->record);
  lender->id = lender->ledger->own->id;
  sr_ledger_lend (lender->ledger, &no_lender, "borrower", BORROWER_INCARNATION, 0, LENT, LENT, 1,
                  &reply);
  assert_int_equal (reply.lent, LENT);
  *state = lender;
  return 0;
}

static int
tear_down_ (void **state)
{
  struct lender *lender = *state;

  sr_ledger_delete (lender->ledger);
  sr_record_delete (lender->record);
  g_free (lender);
  return 0;
}

static void
return_loan_ (struct lender *lender, int64_t returned)
{
  sr_ledger_set_open_loan (lender->ledger, &lender->id, "borrower", BORROWER_INCARNATION, LENT, 0);
  sr_ledger_apply_return (lender->ledger, &lender->id, "borrower", BORROWER_INCARNATION, returned);
}

/* A loan may be requested between the check for loans and the write that closes the record: the
 * record must stay open until the loan is returned. */
static void
a_stop_closes_a_record_once_its_loans_are_returned (void **state)
{
  struct lender *lender = *state;

  assert_true (sr_ledger_give_back (lender->ledger, lender->record, VERSION + 1, 0,
                                    SR_LEDGER_CLOSE_RETURNED));
  assert_non_null (sr_record_find (lender->record, &lender->id));
  sr_ledger_apply_write (lender->ledger, lender->record);
  return_loan_ (lender, LENT - 30);
  assert_true (sr_ledger_give_back (lender->ledger, lender->record, VERSION + 2, 0,
                                    SR_LEDGER_CLOSE_RETURNED));
  assert_null (sr_record_find (lender->record, &lender->id));
  assert_int_equal (lender->record->settled, 30);
}

/* A record retired because of its witness stays on the platform's record until its loans are
 * returned, and is then closed. */
static void
a_retired_record_waits_for_its_loans (void **state)
{
  struct lender *lender = *state;
  GArray *parts = sr_ledger_reserve (lender->ledger, GRANTED - LENT, 1);

  sr_ledger_abandon (lender->ledger);
  sr_ledger_settle (lender->ledger, parts, GRANTED - LENT);
  sr_ledger_close_retired (lender->ledger, lender->record, SR_LEDGER_KEEP_OPEN);
  sr_ledger_close_retired (lender->ledger, lender->record, SR_LEDGER_CLOSE_RETURNED);
  assert_non_null (sr_record_find (lender->record, &lender->id));
  return_loan_ (lender, LENT - 10);
  assert_true (sr_ledger_close_retired (lender->ledger, lender->record, SR_LEDGER_CLOSE_RETURNED));
  assert_null (sr_record_find (lender->record, &lender->id));
  assert_int_equal (lender->record->settled, GRANTED - LENT + 10);
}

/* A late report from an earlier incarnation of the borrower must not count the loan as spent; one
 * from a later incarnation must, as nothing can be returned any more. */
static void
a_late_report_of_an_earlier_incarnation_is_ignored (void **state)
{
  struct lender *lender = *state;

  sr_ledger_set_open_loan (lender->ledger, &lender->id, "borrower", BORROWER_INCARNATION - 1, 0, 0);
  assert_int_equal (sr_ledger_spent_of (lender->ledger, &lender->id), 0);
  assert_true (sr_ledger_open_loans (lender->ledger));
  sr_ledger_set_open_loan (lender->ledger, &lender->id, "borrower", BORROWER_INCARNATION + 1, 0, 0);
  assert_int_equal (sr_ledger_spent_of (lender->ledger, &lender->id), LENT);
  assert_false (sr_ledger_open_loans (lender->ledger));
}

/* SR_LEDGER_CLOSE does not wait for loans: those not returned count as spent. */
static void
a_forced_close_counts_loans_as_spent (void **state)
{
  struct lender *lender = *state;

  assert_true (
      sr_ledger_give_back (lender->ledger, lender->record, VERSION + 1, 0, SR_LEDGER_CLOSE));
  assert_null (sr_record_find (lender->record, &lender->id));
  assert_int_equal (lender->record->settled, LENT);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_stop_closes_a_record_once_its_loans_are_returned, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (a_retired_record_waits_for_its_loans, set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (a_late_report_of_an_earlier_incarnation_is_ignored, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (a_forced_close_counts_loans_as_spent, set_up_, tear_down_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
