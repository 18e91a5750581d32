/* An instance that starts after the store has come back from a copy. */
#include "gateway/config-guard.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  NOW_US = 100000000,
  MS = 1000
};

static void
a_store_that_never_returned_is_believed_at_once (void **state)
{
  struct config_guard guard = { 0 };

  assert_true (config_guard_allows (&guard, false, 5, NOW_US));
}

static void
others_are_heard_before_the_store_is_believed (void **state)
{
  struct config_guard guard = { 0 };

  assert_false (config_guard_allows (&guard, true, 5, NOW_US));
  config_guard_note_peers (&guard, 3, NOW_US);
  assert_false (config_guard_allows (&guard, true, 5, NOW_US + 10 * MS));
  config_guard_hear (&guard, 0); /* one that has just started as well */
  assert_false (config_guard_allows (&guard, true, 5, NOW_US + 15 * MS));
  config_guard_hear (&guard, 5);
  assert_true (config_guard_allows (&guard, true, 5, NOW_US + 20 * MS));
}

/* A withdrawn key does not come back with the copy, however long the operator takes. */
static void
an_older_version_than_the_others_have_is_not_taken (void **state)
{
  struct config_guard guard = { 0 };

  config_guard_note_peers (&guard, 3, NOW_US);
  config_guard_hear (&guard, 6);
  config_guard_hear (&guard, 5); /* one that is behind */
  assert_false (config_guard_allows (&guard, true, 5, NOW_US + 20 * MS));
  assert_false (config_guard_allows (&guard, true, 5, NOW_US + 60000 * MS));
  assert_true (config_guard_allows (&guard, true, 6, NOW_US + 60001 * MS));
  assert_true (config_guard_allows (&guard, true, 7, NOW_US + 60001 * MS));
}

/* Nobody is left who could know, or all are silent: the store is all there is. */
static void
without_others_the_store_is_believed (void **state)
{
  struct config_guard guard = { 0 };

  config_guard_note_peers (&guard, 0, NOW_US);
  assert_true (config_guard_allows (&guard, true, 5, NOW_US));
  config_guard_note_peers (&guard, 2, NOW_US);
  assert_false (config_guard_allows (&guard, true, 5, NOW_US + 999 * MS));
  assert_true (config_guard_allows (&guard, true, 5, NOW_US + 1000 * MS));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_store_that_never_returned_is_believed_at_once),
    cmocka_unit_test (others_are_heard_before_the_store_is_believed),
    cmocka_unit_test (an_older_version_than_the_others_have_is_not_taken),
    cmocka_unit_test (without_others_the_store_is_believed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
