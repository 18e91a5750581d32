/* Tests token_account with log lines of the form that gateways write. */
#include "cli/token-account.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  ROWS_MAX = 4
};

struct rows_
{
  struct token_account_row rows[ROWS_MAX];
  unsigned n_rows;
};

#define WRITTEN(time, team, prepaid, off)                                                          \
  "{\"event\":\"allotment_written\",\"time\":\"" time "\",\"team\":\"" team                        \
  "\",\"prepaid\":" #prepaid ",\"written_off\":" #off "}"
#define ENDED(id, team, outcome, status, used)                                                     \
  "  3.1 front-1 {\"event\":\"request_ended\",\"request\":\"" id "\",\"team\":\"" team             \
  "\",\"outcome\":\"" outcome "\",\"status\":" #status ",\"used\":" #used "}"
#define REFUSED(id, team, reason, tokens)                                                          \
  "{\"event\":\"request_refused\",\"request\":\"" id "\",\"team\":\"" team                         \
  "\",\"reason\":\"" reason "\",\"tokens\":" #tokens "}"

static void
append_row_ (const struct token_account_row *row, void *data)
{
  struct rows_ *rows = data;

  assert_true (rows->n_rows < ROWS_MAX);
  rows->rows[rows->n_rows] = *row;
  rows->rows[rows->n_rows++].team = NULL;
}

static struct rows_
rows_from_lines_ (const char *const *lines)
{
  struct token_account *account = token_account_new ();
  struct rows_ rows = { .n_rows = 0 };

  for (unsigned i = 0; lines[i] != NULL; i++)
    assert_true (token_account_add (account, lines[i]));
  token_account_for_each_team (account, append_row_, &rows);
  token_account_delete (account);
  return rows;
}

static void
each_token_counts_in_one_column (void **state)
{
  const char *const lines[] = { WRITTEN ("02", "a", 1000, 100),
                                WRITTEN ("01", "a", 800, 0), /* of another instance, earlier */
                                WRITTEN ("01", "b", 500, 0),
                                ENDED ("1", "a", "answered", 200, 300),
                                ENDED ("2", "a", "caller_left", 200, 50),
                                ENDED ("3", "a", "answered", 500, 20),
                                NULL };
  struct rows_ rows = rows_from_lines_ (lines);

  assert_int_equal (rows.n_rows, 2);
  assert_int_equal (rows.rows[0].prepaid, 1000);
  assert_int_equal (rows.rows[0].answered, 300);
  assert_int_equal (rows.rows[0].unfinished, 70);
  assert_int_equal (rows.rows[0].written_off, 100);
  assert_int_equal (rows.rows[0].unspent, 530);
  assert_int_equal (rows.rows[1].unspent, 500);
}

/* A request refused for lack of tokens counts once however often it was refused, and not at all if
 * it was answered later or last refused for another reason. Of 300 remaining tokens (200 unspent
 * and written off) the smallest requests are served first. */
static void
refused_requests_count_once_and_smallest_are_servable (void **state)
{
  const char *const lines[] = { WRITTEN ("01", "a", 1000, 100),
                                ENDED ("0", "a", "answered", 200, 800),
                                REFUSED ("1", "a", "budget_exhausted", 90),
                                REFUSED ("1", "a", "budget_out_of_reach", 90),
                                REFUSED ("2", "a", "budget_exhausted", 60),
                                REFUSED ("3", "a", "budget_exhausted", 120),
                                REFUSED ("4", "a", "budget_exhausted", 40),
                                ENDED ("4", "a", "answered", 200, 0),
                                REFUSED ("5", "a", "budget_exhausted", 40),
                                REFUSED ("5", "a", "link_busy", 0),
                                NULL };
  struct rows_ rows = rows_from_lines_ (lines);

  assert_int_equal (rows.rows[0].refused, 3);
  assert_int_equal (rows.rows[0].refused_tokens, 270);
  assert_int_equal (rows.rows[0].servable, 2);
}

static void
text_that_is_not_an_event_is_rejected (void **state)
{
  struct token_account *account = token_account_new ();

  assert_false (token_account_add (account, "what happened"));
  assert_false (token_account_add (account, "{\"event\":3}"));
  assert_false (token_account_add (account, "{broken"));
  assert_true (token_account_add (account, "{\"event\":\"request_refused\"}"));
  assert_true (token_account_add (account, "{\"event\":\"allotment_written\",\"team\":\"a\"}"));
  token_account_delete (account);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (each_token_counts_in_one_column),
    cmocka_unit_test (refused_requests_count_once_and_smallest_are_servable),
    cmocka_unit_test (text_that_is_not_an_event_is_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
