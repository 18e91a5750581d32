/* Merging a holder's state into a record after a restore of the platform from an older copy. */
#include "budget/ledger.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PREPAID = 1000, /* tokens */
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

/* Returns a copy of RECORD, such as the platform is restored from. */
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
  sr_ledger_apply_write (ledger, record);
}

static void
use_ (struct sr_ledger *ledger, int64_t tokens)
{
  GArray *parts = sr_ledger_reserve (ledger, tokens, NOW_US);

  assert_non_null (parts);
  sr_ledger_settle (ledger, parts, tokens);
}

/* Draws GRANTED tokens, uses USED of them and closes the record, which returns the rest. */
static void
draw_and_close_ (struct sr_ledger *ledger, struct sr_record *record, int64_t version)
{
  draw_ (ledger, record, version, GRANTED);
  use_ (ledger, USED);
  assert_true (sr_ledger_give_back (ledger, record, version + 1, 0, SR_LEDGER_CLOSE));
  sr_ledger_apply_write (ledger, record);
}

/* Two own records were opened and closed after the copy was made: the merge must count each once,
 * also when it is repeated. */
static void
records_closed_after_the_copy_count_once (void **state)
{
  struct sr_ledger *ledger = ledger_new_ ();
  struct sr_record *record = record_new_ ();
  struct sr_record *copy = copy_ (record);

  draw_and_close_ (ledger, record, 1);
  draw_and_close_ (ledger, record, 3);
  assert_int_equal (record->settled, 2 * USED);
  sr_ledger_reset_versions (ledger);
  assert_true (sr_ledger_merge (ledger, copy, 1));
  assert_int_equal (copy->settled, 2 * USED);
  assert_false (sr_ledger_merge (ledger, copy, 2));
  assert_int_equal (copy->settled, 2 * USED);
  sr_record_delete (copy);
  sr_record_delete (record);
  sr_ledger_delete (ledger);
}

/* An earlier own record is still in use when a later one is closed: the merge must open the earlier
 * one again, not take it for closed because a later one is. */
static void
an_open_record_is_merged_beside_a_later_closed_one (void **state)
{
  struct sr_ledger *ledger = ledger_new_ ();
  struct sr_record *record = record_new_ ();
  struct sr_record *copy = copy_ (record);
  struct sr_holder_id first;
  GArray *parts;

  draw_ (ledger, record, 1, GRANTED);
  first = ledger->own->id;
  parts = sr_ledger_reserve (ledger, USED, NOW_US);
  sr_ledger_abandon (ledger); /* retired while a request holds tokens of it */
  draw_ (ledger, record, 2, 2 * GRANTED);
  use_ (ledger, GRANTED);
  assert_true (sr_ledger_give_back (ledger, record, 3, 0, SR_LEDGER_CLOSE));
  sr_ledger_apply_write (ledger, record);
  sr_ledger_reset_versions (ledger);
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

/* The response to the write that closed a record was lost, and the restored record shows it closed:
 * the merge must not open it again, or its tokens would count twice. */
static void
a_record_restored_as_closed_is_not_reopened (void **state)
{
  struct sr_ledger *ledger = ledger_new_ ();
  struct sr_record *record = record_new_ ();

  draw_ (ledger, record, 1, GRANTED);
  use_ (ledger, USED);
  assert_true (sr_ledger_give_back (ledger, record, 2, 0, SR_LEDGER_CLOSE));
  sr_ledger_reset_versions (ledger);
  assert_false (sr_ledger_merge (ledger, record, 1));
  sr_ledger_apply_read (ledger, record, 1);
  assert_int_equal (record->settled, USED);
  assert_int_equal (record->holders->len, 0);
  assert_null (ledger->own);
  assert_int_equal (sr_ledger_available (ledger), 0);
  sr_record_delete (record);
  sr_ledger_delete (ledger);
}

/* A draw before the restore took effect unnoticed, and a draw of the same size after it is in
 * doubt: the grant on the record must not be taken for the later one's, but is returned. */
static void
a_draw_before_the_restore_is_not_taken_for_a_later_one (void **state)
{
  struct sr_ledger *ledger = ledger_new_ ();
  struct sr_record *unseen = record_new_ ();
  struct sr_record *record = record_new_ ();
  struct sr_record *written;

  sr_ledger_draw (ledger, unseen, 5, GRANTED, 0, NULL, 0);
  sr_ledger_reset_versions (ledger);
  sr_ledger_draw (ledger, record, 0, GRANTED, 0, NULL, 0);
  written = copy_ (record);
  assert_true (sr_ledger_merge (ledger, unseen, 9));
  sr_ledger_apply_read (ledger, unseen, 9);
  assert_int_equal (sr_record_outstanding (unseen), 0);
  assert_int_equal (sr_ledger_available (ledger), 0);
  /* A record that holds the draw in doubt itself confirms it. */
  sr_ledger_draw (ledger, record, 9, GRANTED, 0, NULL, 0);
  sr_record_delete (written);
  written = copy_ (record);
  assert_false (sr_ledger_merge (ledger, written, 10));
  sr_ledger_apply_read (ledger, written, 10);
  assert_int_equal (sr_ledger_available (ledger), sr_record_outstanding (written));
  sr_record_delete (written);
  sr_record_delete (record);
  sr_record_delete (unseen);
  sr_ledger_delete (ledger);
}

/* The write that merges a grant may be lost: while it is in doubt, a record read without the grant
 * must be merged again. */
static void
a_merge_is_repeated_while_its_write_is_in_doubt (void **state)
{
  struct sr_ledger *ledger = ledger_new_ ();
  struct sr_record *record = record_new_ ();
  struct sr_record *copy = copy_ (record);
  struct sr_record *edited;

  draw_ (ledger, record, 1, GRANTED);
  sr_ledger_reset_versions (ledger);
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

static struct sr_holder_id
id_ (const char *instance, uint64_t generation)
{
  struct sr_holder_id id = { .incarnation = 1, .generation = generation };

  g_strlcpy (id.instance, instance, sizeof id.instance);
  return id;
}

static struct sr_record_holder *
open_ (struct sr_record *record, const struct sr_holder_id *id, int64_t granted, uint64_t serial)
{
  struct sr_record_holder *holder = sr_record_open (record, id, "makole");

  holder->granted = granted;
  holder->serial = serial;
  return holder;
}

/* Another instance's holder is opened or granted more after the copy: what an instance saw of it
 * must be put back once, without the spend limit, which the holder may have raised since. */
static void
holders_of_others_are_put_back (void **state)
{
  const struct sr_holder_id first = id_ ("front-2", 1);
  const struct sr_holder_id second = id_ ("front-3", 1);
  struct sr_record *known = record_new_ ();
  struct sr_record *copy = record_new_ ();

  open_ (copy, &first, GRANTED, 1);
  open_ (known, &first, 3 * GRANTED, 4)->limit = (struct sr_spend_limit){ .is_set = true };
  open_ (known, &second, GRANTED, 1);
  assert_true (sr_record_merge (copy, known, "front-1", 1));
  assert_int_equal (sr_record_outstanding (copy), 4 * GRANTED);
  assert_false (sr_record_find (copy, &first)->limit.is_set);
  assert_false (sr_record_merge (copy, known, "front-1", 1));
  sr_record_delete (copy);
  sr_record_delete (known);
}

/* A holder has given tokens back, and written that into the restored record, after an instance saw
 * its grant: the merge must not raise it again. */
static void
a_later_write_of_a_holder_is_kept (void **state)
{
  const struct sr_holder_id id = id_ ("front-2", 1);
  struct sr_record *known = record_new_ ();
  struct sr_record *record = record_new_ ();

  open_ (known, &id, 3 * GRANTED, 4);
  open_ (record, &id, GRANTED, 5);
  assert_false (sr_record_merge (record, known, "front-1", 1));
  assert_int_equal (sr_record_outstanding (record), GRANTED);
  sr_record_delete (record);
  sr_record_delete (known);
}

/* Two instances have closed holders after the copy. One has put its closing back already: the merge
 * must add what the other one had spent, not only raise the sum to the known one. */
static void
tokens_settled_by_others_are_put_back (void **state)
{
  const struct sr_holder_id first = id_ ("front-2", 1);
  const struct sr_holder_id second = id_ ("front-3", 1);
  struct sr_record *known = record_new_ ();
  struct sr_record *copy = record_new_ ();
  struct sr_record *parsed;

  open_ (copy, &first, GRANTED, 1);
  open_ (known, &first, GRANTED, 1);
  sr_record_close (known, &first, USED);
  assert_true (sr_record_merge_closed (copy, &second, GRANTED)); /* by its holder */
  parsed = copy_ (known);
  assert_true (sr_record_merge (copy, parsed, "front-1", 1));
  assert_int_equal (copy->settled, USED + GRANTED);
  assert_int_equal (sr_record_outstanding (copy), 0);
  assert_false (sr_record_merge (copy, parsed, "front-1", 1));
  sr_record_delete (parsed);
  sr_record_delete (copy);
  sr_record_delete (known);
}

/* While an instance is missing after a restore, nothing that was left may be granted, also after
 * the record was stored and read; what is returned and topped up later may. */
static void
tokens_of_missing_instances_are_frozen (void **state)
{
  const struct sr_holder_id id = id_ ("front-2", 1);
  struct sr_record *record = record_new_ ();
  struct sr_record *read;

  open_ (record, &id, GRANTED, 1);
  assert_true (sr_record_add_missing (record, "front-3", 7));
  assert_false (sr_record_add_missing (record, "front-3", 7));
  assert_int_equal (sr_record_remaining (record), 0);
  assert_true (sr_record_freeze (record));
  assert_false (sr_record_freeze (record));
  read = copy_ (record);
  assert_int_equal (sr_record_remaining (read), 0);
  sr_record_close (read, &id, USED);
  assert_int_equal (sr_record_remaining (read), GRANTED - USED);
  read->prepaid += PREPAID;
  assert_int_equal (sr_record_remaining (read), PREPAID + GRANTED - USED);
  assert_false (sr_record_remove_missing (read, "front-3", 8));
  assert_true (sr_record_remove_missing (read, "front-3", 7));
  assert_int_equal (sr_record_remaining (read), 2 * PREPAID - USED);
  sr_record_delete (read);
  sr_record_delete (record);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (records_closed_after_the_copy_count_once),
    cmocka_unit_test (an_open_record_is_merged_beside_a_later_closed_one),
    cmocka_unit_test (a_record_restored_as_closed_is_not_reopened),
    cmocka_unit_test (a_draw_before_the_restore_is_not_taken_for_a_later_one),
    cmocka_unit_test (a_merge_is_repeated_while_its_write_is_in_doubt),
    cmocka_unit_test (holders_of_others_are_put_back),
    cmocka_unit_test (a_later_write_of_a_holder_is_kept),
    cmocka_unit_test (tokens_settled_by_others_are_put_back),
    cmocka_unit_test (tokens_of_missing_instances_are_frozen),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
