#include "platform/platform-memory.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

static void
put_and_remove_fail_on_version_mismatch (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  g_autoptr (GString) body = g_string_new (NULL);
  int64_t version;
  int64_t first;

  assert_int_equal (sr_platform_put (platform, "k", "n", "one", 3, 0, &first), SR_PLATFORM_OK);
  assert_int_equal (sr_platform_put (platform, "k", "n", "two", 3, 0, &version),
                    SR_PLATFORM_CONFLICT);
  assert_int_equal (version, first);
  assert_int_equal (sr_platform_put (platform, "k", "n", "two", 3, first, &version),
                    SR_PLATFORM_OK);
  assert_int_equal (sr_platform_get (platform, "k", "n", body, &version), SR_PLATFORM_OK);
  assert_string_equal (body->str, "two");
  assert_int_equal (sr_platform_remove (platform, "k", "n", first), SR_PLATFORM_CONFLICT);
  assert_int_equal (sr_platform_remove (platform, "k", "n", version), SR_PLATFORM_OK);
  assert_int_equal (sr_platform_get (platform, "k", "n", body, &version), SR_PLATFORM_ABSENT);
  sr_platform_unref (platform);
}

static void
write_with_lost_response_takes_effect (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  g_autoptr (GString) body = g_string_new (NULL);
  int64_t version;

  sr_platform_memory_lose_responses (platform, 1);
  assert_int_equal (sr_platform_put (platform, "k", "n", "x", 1, 0, &version), SR_PLATFORM_UNKNOWN);
  assert_int_equal (sr_platform_get (platform, "k", "n", body, &version), SR_PLATFORM_OK);
  sr_platform_memory_set_unreachable (platform, true);
  assert_int_equal (sr_platform_get (platform, "k", "n", body, &version), SR_PLATFORM_UNREACHABLE);
  sr_platform_unref (platform);
}

static void
list_pages_are_ordered_by_name (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  int64_t version;
  bool more;

  sr_platform_put (platform, "k", "a1", "", 0, 0, &version);
  sr_platform_put (platform, "k", "a2", "", 0, 0, &version);
  sr_platform_put (platform, "k", "b", "", 0, 0, &version);
  sr_platform_list (platform, "k", "a", NULL, 1, names, &more);
  assert_true (more);
  sr_platform_list (platform, "k", "a", "a1", 10, names, &more);
  assert_false (more);
  assert_int_equal (names->len, 2);
  assert_string_equal (names->pdata[1], "a2");
  sr_platform_unref (platform);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (put_and_remove_fail_on_version_mismatch),
    cmocka_unit_test (write_with_lost_response_takes_effect),
    cmocka_unit_test (list_pages_are_ordered_by_name),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
