/* Tests which configuration an instance applies when it starts after a restore of the store. */
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
no_wait_for_a_store_that_was_never_restored (void **state)
{
  struct config_guard guard = { 0 };

  assert_true (config_guard_allows (&guard, false, 5, NOW_US));
}

static void
no_restored_configuration_before_peers_respond (void **state)
{
  struct config_guard guard = { 0 };

  assert_false (config_guard_allows (&guard, true, 5, NOW_US));
  config_guard_note_peers (&guard, 3, NOW_US);
  assert_false (config_guard_allows (&guard, true, 5, NOW_US + 10 * MS));
  config_guard_note_version (&guard, 0); /* a peer that has just started as well */
  assert_false (config_guard_allows (&guard, true, 5, NOW_US + 15 * MS));
  config_guard_note_version (&guard, 5);
  assert_true (config_guard_allows (&guard, true, 5, NOW_US + 20 * MS));
}

/* Guards against a revoked key that is accepted again after a restore, however long the operator
 * takes to store the newer configuration. */
static void
no_older_version_than_that_of_peers (void **state)
{
  struct config_guard guard = { 0 };

  config_guard_note_peers (&guard, 3, NOW_US);
  config_guard_note_version (&guard, 6);
  config_guard_note_version (&guard, 5); /* a peer that lags behind */
  assert_false (config_guard_allows (&guard, true, 5, NOW_US + 20 * MS));
  assert_false (config_guard_allows (&guard, true, 5, NOW_US + 60000 * MS));
  assert_true (config_guard_allows (&guard, true, 6, NOW_US + 60001 * MS));
  assert_true (config_guard_allows (&guard, true, 7, NOW_US + 60001 * MS));
}

/* Guards against an instance that never gets a configuration because it has no peers, or none
 * responds.
 */
static void
no_endless_wait_without_peers (void **state)
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
    cmocka_unit_test (no_wait_for_a_store_that_was_never_restored),
    cmocka_unit_test (no_restored_configuration_before_peers_respond),
    cmocka_unit_test (no_older_version_than_that_of_peers),
    cmocka_unit_test (no_endless_wait_without_peers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
