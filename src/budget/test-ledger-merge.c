/* What a holder puts back into a record that has come back from a copy. */
#include "budget/ledger.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PREPAID = 1000,
  GRANTED = 100,
  USED = 40,
  NOW_US = 100000000
};

static struct sr_ledger *
ledger_new_ (void)
{
  static const struct sr_ledger_options options
      = { .instance = "front-1", .data_centre = "makole", .incarnation = 1 };

  return sr_ledger_new (&options);
}

/* A copy of the record, as it is in the platform's copy. */
static struct sr_record *
copy_ (const struct sr_record *record)
{
  json_t *json = sr_record_to_json (record);
  struct sr_record *copy = sr_record_from_json (json);

  json_decref (json);
  return copy;
}

static struct sr_record *
record_new_ (void)
{
  struct sr_record *record = sr_record_new ();

  record->prepaid = PREPAID;
  return record;
}

static void
draw_ (struct sr_ledger *ledger, struct sr_record *record, int64_t version, int64_t tokens)
{
  sr_ledger_draw (ledger, record, version, tokens, 0, NULL, 0);
  sr_ledger_written (ledger, record);
}

static void
use_ (struct sr_ledger *ledger, int64_t tokens)
{
  GArray *parts = sr_ledger_reserve (ledger, tokens, NOW_US);

  assert_non_null (parts);
  sr_ledger_settle (ledger, parts, tokens);
}

/* Draws, uses USED of it and gives the rest back. */
static void
draw_and_close_ (struct sr_ledger *ledger, struct sr_record *record, int64_t version)
{
  draw_ (ledger, record, version, GRANTED);
  use_ (ledger, USED);
  assert_true (sr_ledger_give_back (ledger, record, version + 1, 0, SR_LEDGER_CLOSE));
  sr_ledger_written (ledger, record);
}

/* Two of its records were opened and closed since the copy: both count, and each once, however
 * often it is put back. */
static void
records_closed_since_the_copy_count_once (void **state)
{
  struct sr_ledger *ledger = ledger_new_ ();
  struct sr_record *record = record_new_ ();
  struct sr_record *copy = copy_ (record);

  draw_and_close_ (ledger, record, 1);
  draw_and_close_ (ledger, record, 3);
  assert_int_equal (record->settled, 2 * USED);
  sr_ledger_forget_versions (ledger);
  assert_true (sr_ledger_merge (ledger, copy, 1));
  assert_int_equal (copy->settled, 2 * USED);
  assert_false (sr_ledger_merge (ledger, copy, 2));
  assert_int_equal (copy->settled, 2 * USED);
  sr_record_delete (copy);
  sr_record_delete (record);
  sr_ledger_delete (ledger);
}

/* An earlier record is still in use when a later one is closed: the earlier one is put back as
 * open, and is not taken for closed. */
static void
an_open_record_is_put_back_beside_a_later_closed_one (void **state)
{
  struct sr_ledger *ledger = ledger_new_ ();
  struct sr_record *record = record_new_ ();
  struct sr_record *copy = copy_ (record);
  struct sr_holder_id first;
  GArray *parts;

  draw_ (ledger, record, 1, GRANTED);
  first = ledger->own->id;
  parts = sr_ledger_reserve (ledger, USED, NOW_US);
  sr_ledger_abandon (ledger); /* a request runs on it, and nothing more is drawn */
  draw_ (ledger, record, 2, 2 * GRANTED);
  use_ (ledger, GRANTED);
  assert_true (sr_ledger_give_back (ledger, record, 3, 0, SR_LEDGER_CLOSE));
  sr_ledger_written (ledger, record);
  sr_ledger_forget_versions (ledger);
  assert_true (sr_ledger_merge (ledger, copy, 1));
  assert_non_null (sr_record_find (copy, &first));
  assert_true (copy->settled + sr_record_outstanding (copy)
               >= record->settled + sr_record_outstanding (record));
  assert_false (sr_ledger_merge (ledger, copy, 2));
  sr_ledger_settle (ledger, parts, USED);
  sr_record_delete (copy);
  sr_record_delete (record);
  sr_ledger_delete (ledger);
}

/* The answer of the write that closed a record was lost, and the record comes back closed: it is
 * not opened again, to be counted twice. */
static void
a_record_that_comes_back_closed_stays_so (void **state)
{
  struct sr_ledger *ledger = ledger_new_ ();
  struct sr_record *record = record_new_ ();

  draw_ (ledger, record, 1, GRANTED);
  use_ (ledger, USED);
  assert_true (sr_ledger_give_back (ledger, record, 2, 0, SR_LEDGER_CLOSE));
  sr_ledger_forget_versions (ledger);
  assert_false (sr_ledger_merge (ledger, record, 1));
  sr_ledger_read (ledger, record, 1);
  assert_int_equal (record->settled, USED);
  assert_int_equal (record->holders->len, 0);
  assert_null (ledger->own);
  assert_int_equal (sr_ledger_available (ledger), 0);
  sr_record_delete (record);
  sr_ledger_delete (ledger);
}

/* A draw of before the return took effect unseen, and one of the same size after it is in doubt:
 * the grant on the record is not that one's, and goes back. */
static void
a_draw_of_before_the_return_is_not_taken_for_a_later_one (void **state)
{
  struct sr_ledger *ledger = ledger_new_ ();
  struct sr_record *unseen = record_new_ ();
  struct sr_record *record = record_new_ ();
  struct sr_record *written;

  sr_ledger_draw (ledger, unseen, 5, GRANTED, 0, NULL, 0);
  sr_ledger_forget_versions (ledger);
  sr_ledger_draw (ledger, record, 0, GRANTED, 0, NULL, 0);
  written = copy_ (record);
  assert_true (sr_ledger_merge (ledger, unseen, 9));
  sr_ledger_read (ledger, unseen, 9);
  assert_int_equal (sr_record_outstanding (unseen), 0);
  assert_int_equal (sr_ledger_available (ledger), 0);
  /* The one in doubt is known again where the record has it. */
  sr_ledger_draw (ledger, record, 9, GRANTED, 0, NULL, 0);
  sr_record_delete (written);
  written = copy_ (record);
  assert_false (sr_ledger_merge (ledger, written, 10));
  sr_ledger_read (ledger, written, 10);
  assert_int_equal (sr_ledger_available (ledger), sr_record_outstanding (written));
  sr_record_delete (written);
  sr_record_delete (record);
  sr_record_delete (unseen);
  sr_ledger_delete (ledger);
}

/* A write that puts a grant back may be lost: while that is in doubt, what was read lacks it still.
 */
static void
what_a_write_in_doubt_puts_back_stays_due (void **state)
{
  struct sr_ledger *ledger = ledger_new_ ();
  struct sr_record *record = record_new_ ();
  struct sr_record *copy = copy_ (record);
  struct sr_record *edited;

  draw_ (ledger, record, 1, GRANTED);
  sr_ledger_forget_versions (ledger);
  edited = copy_ (copy);
  assert_true (sr_ledger_merge (ledger, edited, 0));
  sr_ledger_draw (ledger, edited, 0, 0, 0, NULL, 0);
  assert_true (sr_ledger_merge (ledger, copy, 0));
  assert_int_equal (sr_record_outstanding (copy), GRANTED);
  sr_record_delete (edited);
  sr_record_delete (copy);
  sr_record_delete (record);
  sr_ledger_delete (ledger);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (records_closed_since_the_copy_count_once),
    cmocka_unit_test (an_open_record_is_put_back_beside_a_later_closed_one),
    cmocka_unit_test (a_record_that_comes_back_closed_stays_so),
    cmocka_unit_test (a_draw_of_before_the_return_is_not_taken_for_a_later_one),
    cmocka_unit_test (what_a_write_in_doubt_puts_back_stays_due),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
