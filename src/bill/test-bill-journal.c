/* The bill journal: copies, reordered messages, and batches written by two instances. */
#include "bill/bill-journal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static const struct sr_bill_instance owner = { .name = "owner", .incarnation = 1 };
static const struct sr_bill_instance keeper = { .name = "keeper", .incarnation = 2 };

static void
assert_batch_ (struct sr_bill_journal *journal,
               const struct sr_bill_instance *origin,
               uint64_t number,
               const char *expected)
{
  g_autoptr (GString) body = g_string_new (NULL);
  struct sr_bill_batch batch;

  sr_bill_journal_next_batch (journal, body, &batch);
  assert_string_equal (body->str, expected);
  if (batch.length == 0)
    return;
  assert_string_equal (batch.origin.name, origin->name);
  assert_int_equal (batch.origin.incarnation, origin->incarnation);
  assert_int_equal (batch.number, number);
}

static unsigned
conflict_ (struct sr_bill_journal *journal, const char *first, const char *second)
{
  g_autoptr (GHashTable) texts = g_hash_table_new (g_str_hash, g_str_equal);

  g_hash_table_add (texts, (char *)first);
  g_hash_table_add (texts, (char *)second);
  return sr_bill_journal_batch_conflict (journal, texts);
}

static void
store_copy_ (struct sr_bill_journal *journal,
             const struct sr_bill_line *line,
             uint64_t written_up_to)
{
  assert_true (sr_bill_journal_store_copy (journal, &owner, line, written_up_to));
}

static struct sr_bill_line
line_ (uint64_t number, const char *text, uint64_t first_batch)
{
  return (struct sr_bill_line){
    .number = number, .text = (char *)text, .origin = owner, .first_batch = first_batch
  };
}

/* The first write of a batch number wins; the other instance leaves out the lines in that
 * object, also those that were not in its own batch yet, and continues with the next number. */
static void
batch_conflict_skips_lines_written_by_other_instance (void **state)
{
  struct sr_bill_journal *journal = sr_bill_journal_new (&owner);

  sr_bill_journal_append (journal, "1");
  sr_bill_journal_append (journal, "2");
  assert_batch_ (journal, &owner, 1, "[1,2]");
  sr_bill_journal_append (journal, "3");
  sr_bill_journal_append (journal, "4");
  assert_batch_ (journal, &owner, 1, "[1,2]");
  assert_int_equal (conflict_ (journal, "2", "3"), 2);
  assert_int_equal (sr_bill_journal_written_up_to (journal), 0);
  assert_batch_ (journal, &owner, 2, "[1,4]");
  sr_bill_journal_batch_written (journal);
  assert_int_equal (sr_bill_journal_written_up_to (journal), 4);
  assert_batch_ (journal, &owner, 3, "[]");
  sr_bill_journal_delete (journal);
}

/* Adopted lines are written under the batch numbers of their origin, from the first one that can
 * contain them, and keep their origin when they are copied again. */
static void
adopted_lines_keep_origin_and_batch_numbers (void **state)
{
  struct sr_bill_journal *journal = sr_bill_journal_new (&keeper);
  struct sr_bill_line first = line_ (7, "7", 3);
  struct sr_bill_line second = line_ (8, "8", 4);

  sr_bill_journal_append (journal, "own");
  store_copy_ (journal, &first, 0);
  store_copy_ (journal, &second, 0);
  assert_int_equal (sr_bill_journal_adopt (journal, &owner), 2);
  assert_string_equal (sr_bill_journal_find (journal, 2)->origin.name, "owner");
  assert_batch_ (journal, &keeper, 1, "[own]");
  sr_bill_journal_batch_written (journal);
  assert_batch_ (journal, &owner, 3, "[7,8]");
  assert_int_equal (conflict_ (journal, "7", "6"), 1);
  assert_batch_ (journal, &owner, 4, "[8]");
  sr_bill_journal_batch_written (journal);
  assert_batch_ (journal, &owner, 5, "[]");
  sr_bill_journal_delete (journal);
}

/* A line received from two owners is adopted once, and a line that returns to its origin is not
 * adopted at all. */
static void
line_copied_twice_is_adopted_once (void **state)
{
  const struct sr_bill_instance second_owner = { .name = "second", .incarnation = 5 };
  struct sr_bill_journal *journal = sr_bill_journal_new (&keeper);
  struct sr_bill_journal *origin = sr_bill_journal_new (&owner);
  struct sr_bill_line line = line_ (1, "1", 1);

  store_copy_ (journal, &line, 0);
  line.number = 9;
  assert_true (sr_bill_journal_store_copy (journal, &second_owner, &line, 0));
  assert_int_equal (sr_bill_journal_adopt (journal, &owner), 1);
  assert_int_equal (sr_bill_journal_adopt (journal, &second_owner), 0);
  sr_bill_journal_append (origin, "1");
  assert_true (sr_bill_journal_store_copy (origin, &second_owner, &line, 0));
  assert_int_equal (sr_bill_journal_adopt (origin, &second_owner), 0);
  assert_batch_ (origin, &owner, 1, "[1]");
  sr_bill_journal_delete (journal);
  sr_bill_journal_delete (origin);
}

/* The copy of a line may arrive after the notice that the line is written. */
static void
late_copy_of_written_line_is_not_stored (void **state)
{
  struct sr_bill_journal *journal = sr_bill_journal_new (&keeper);
  struct sr_bill_line line = line_ (4, "4", 1);

  store_copy_ (journal, NULL, 5);
  store_copy_ (journal, &line, 3);
  assert_int_equal (sr_bill_journal_adopt (journal, &owner), 0);
  sr_bill_journal_delete (journal);
}

/* Every keeper that was sent a line is notified that the line is written. */
static void
keepers_are_notified_of_written_lines (void **state)
{
  struct sr_bill_journal *journal = sr_bill_journal_new (&owner);
  g_autoptr (GString) body = g_string_new (NULL);
  struct sr_bill_batch batch;
  GPtrArray *to_notify;

  sr_bill_journal_note_sent (journal, "keeper", sr_bill_journal_append (journal, "1"));
  to_notify = sr_bill_journal_keepers_to_notify (journal);
  assert_int_equal (to_notify->len, 0);
  g_ptr_array_unref (to_notify);
  sr_bill_journal_next_batch (journal, body, &batch);
  sr_bill_journal_batch_written (journal);
  to_notify = sr_bill_journal_keepers_to_notify (journal);
  assert_int_equal (to_notify->len, 1);
  assert_string_equal (to_notify->pdata[0], "keeper");
  g_ptr_array_unref (to_notify);
  sr_bill_journal_note_notified (journal, "keeper", 0);
  to_notify = sr_bill_journal_keepers_to_notify (journal);
  assert_int_equal (to_notify->len, 1);
  g_ptr_array_unref (to_notify);
  sr_bill_journal_note_notified (journal, "keeper", 1);
  to_notify = sr_bill_journal_keepers_to_notify (journal);
  assert_int_equal (to_notify->len, 0);
  g_ptr_array_unref (to_notify);
  sr_bill_journal_delete (journal);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (batch_conflict_skips_lines_written_by_other_instance),
    cmocka_unit_test (adopted_lines_keep_origin_and_batch_numbers),
    cmocka_unit_test (line_copied_twice_is_adopted_once),
    cmocka_unit_test (late_copy_of_written_line_is_not_stored),
    cmocka_unit_test (keepers_are_notified_of_written_lines),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
