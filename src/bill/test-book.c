/* The book of bills: copies, messages that overtake each other, and batches that two write. */
#include "bill/book.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static const struct sr_bill_instance owner = { .name = "owner", .incarnation = 1 };
static const struct sr_bill_instance keeper = { .name = "keeper", .incarnation = 2 };

static void
assert_batch_ (struct sr_book *book,
               const struct sr_bill_instance *origin,
               uint64_t number,
               const char *expected)
{
  g_autoptr (GString) body = g_string_new (NULL);
  struct sr_bill_batch batch;

  sr_book_batch (book, body, &batch);
  assert_string_equal (body->str, expected);
  if (batch.length == 0)
    return;
  assert_string_equal (batch.origin.name, origin->name);
  assert_int_equal (batch.origin.incarnation, origin->incarnation);
  assert_int_equal (batch.number, number);
}

static unsigned
take_ (struct sr_book *book, const char *first, const char *second)
{
  g_autoptr (GHashTable) texts = g_hash_table_new (g_str_hash, g_str_equal);

  g_hash_table_add (texts, (char *)first);
  g_hash_table_add (texts, (char *)second);
  return sr_book_batch_taken (book, texts);
}

static void
keep_ (struct sr_book *book, const struct sr_bill_line *line, uint64_t written_up_to)
{
  assert_true (sr_book_keep (book, &owner, line, written_up_to));
}

static struct sr_bill_line
line_ (uint64_t number, const char *text, uint64_t first_batch)
{
  return (struct sr_bill_line){
    .number = number, .text = (char *)text, .origin = owner, .first_batch = first_batch
  };
}

/* Whoever writes a number first has it; the other leaves out what stands there, also of lines that
 * were not in its batch yet, and goes on with the next number. */
static void
a_taken_number_leaves_out_what_stands_there (void **state)
{
  struct sr_book *book = sr_book_new (&owner);

  sr_book_add (book, "1");
  sr_book_add (book, "2");
  assert_batch_ (book, &owner, 1, "[1,2]");
  sr_book_add (book, "3");
  sr_book_add (book, "4");
  assert_batch_ (book, &owner, 1, "[1,2]");
  assert_int_equal (take_ (book, "2", "3"), 2);
  assert_int_equal (sr_book_written_up_to (book), 0);
  assert_batch_ (book, &owner, 2, "[1,4]");
  sr_book_batch_written (book);
  assert_int_equal (sr_book_written_up_to (book), 4);
  assert_batch_ (book, &owner, 3, "[]");
  sr_book_delete (book);
}

/* Lines that are taken over are written under the numbers of their origin, from the first one that
 * can hold them, and keep their origin when they are copied on. */
static void
lines_taken_over_keep_their_origin (void **state)
{
  struct sr_book *book = sr_book_new (&keeper);
  struct sr_bill_line first = line_ (7, "7", 3);
  struct sr_bill_line second = line_ (8, "8", 4);

  sr_book_add (book, "own");
  keep_ (book, &first, 0);
  keep_ (book, &second, 0);
  assert_int_equal (sr_book_adopt (book, &owner), 2);
  assert_string_equal (sr_book_find (book, 2)->origin.name, "owner");
  assert_batch_ (book, &keeper, 1, "[own]");
  sr_book_batch_written (book);
  assert_batch_ (book, &owner, 3, "[7,8]");
  assert_int_equal (take_ (book, "7", "6"), 1);
  assert_batch_ (book, &owner, 4, "[8]");
  sr_book_batch_written (book);
  assert_batch_ (book, &owner, 5, "[]");
  sr_book_delete (book);
}

/* A line that two owners had copied here, and one that comes back to its origin, are taken once. */
static void
a_line_is_taken_over_once (void **state)
{
  const struct sr_bill_instance second_owner = { .name = "second", .incarnation = 5 };
  struct sr_book *book = sr_book_new (&keeper);
  struct sr_book *origin = sr_book_new (&owner);
  struct sr_bill_line line = line_ (1, "1", 1);

  keep_ (book, &line, 0);
  line.number = 9;
  assert_true (sr_book_keep (book, &second_owner, &line, 0));
  assert_int_equal (sr_book_adopt (book, &owner), 1);
  assert_int_equal (sr_book_adopt (book, &second_owner), 0);
  sr_book_add (origin, "1");
  assert_true (sr_book_keep (origin, &second_owner, &line, 0));
  assert_int_equal (sr_book_adopt (origin, &second_owner), 0);
  assert_batch_ (origin, &owner, 1, "[1]");
  sr_book_delete (book);
  sr_book_delete (origin);
}

/* The copy of a line may arrive after the word that the line is written. */
static void
a_late_copy_of_a_written_line_is_not_kept (void **state)
{
  struct sr_book *book = sr_book_new (&keeper);
  struct sr_bill_line line = line_ (4, "4", 1);

  keep_ (book, NULL, 5);
  keep_ (book, &line, 3);
  assert_int_equal (sr_book_adopt (book, &owner), 0);
  sr_book_delete (book);
}

/* Every keeper that was sent a line is owed the word that it is written, until it has it. */
static void
keepers_are_owed_the_word (void **state)
{
  struct sr_book *book = sr_book_new (&owner);
  g_autoptr (GString) body = g_string_new (NULL);
  struct sr_bill_batch batch;
  GPtrArray *owed;

  sr_book_owe (book, "keeper", sr_book_add (book, "1"));
  owed = sr_book_owed (book);
  assert_int_equal (owed->len, 0);
  g_ptr_array_unref (owed);
  sr_book_batch (book, body, &batch);
  sr_book_batch_written (book);
  owed = sr_book_owed (book);
  assert_int_equal (owed->len, 1);
  assert_string_equal (owed->pdata[0], "keeper");
  g_ptr_array_unref (owed);
  sr_book_told (book, "keeper", 0);
  owed = sr_book_owed (book);
  assert_int_equal (owed->len, 1);
  g_ptr_array_unref (owed);
  sr_book_told (book, "keeper", 1);
  owed = sr_book_owed (book);
  assert_int_equal (owed->len, 0);
  g_ptr_array_unref (owed);
  sr_book_delete (book);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_taken_number_leaves_out_what_stands_there),
    cmocka_unit_test (lines_taken_over_keep_their_origin),
    cmocka_unit_test (a_line_is_taken_over_once),
    cmocka_unit_test (a_late_copy_of_a_written_line_is_not_kept),
    cmocka_unit_test (keepers_are_owed_the_word),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
