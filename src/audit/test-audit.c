#include "audit/audit-instance.h"
#include "audit/audit-top-up.h"
#include "audit/audit.h"
#include "platform/platform-memory.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

enum
{
  WAIT_US = 20000000
};

static const int64_t day_ms = 86400000;
static const int64_t now_ms = 1700000000000;

static void
entry_free (void *data)
{
  sr_audit_entry_delete (data);
}

static GPtrArray *
read_all (struct sr_platform *platform)
{
  GPtrArray *entries = g_ptr_array_new_with_free_func (entry_free);

  assert_int_equal (sr_audit_read (platform, entries, g_get_monotonic_time () + WAIT_US),
                    SR_PLATFORM_OK);
  return entries;
}

static void
write_entry (struct sr_platform *platform, const char *id, int64_t when_ms)
{
  struct sr_audit_entry *entry = sr_audit_entry_new (SR_AUDIT_STOP, id, "entry-1", when_ms);

  assert_int_equal (sr_audit_write (platform, entry, g_get_monotonic_time () + WAIT_US),
                    SR_PLATFORM_OK);
  sr_audit_entry_delete (entry);
}

static void
a_repeated_write_adds_no_entry (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  g_autofree char *long_id = g_strnfill (300, 'x');
  g_autofree char *other_id = g_strnfill (301, 'x');
  g_autoptr (GPtrArray) entries = NULL;

  sr_platform_memory_lose_responses (platform, 2);
  write_entry (platform, "a", now_ms);
  write_entry (platform, "a", now_ms);
  write_entry (platform, "b", now_ms - 1);
  write_entry (platform, long_id, now_ms + 1);
  write_entry (platform, long_id, now_ms + 1);
  write_entry (platform, other_id, now_ms + 2);
  entries = read_all (platform);
  assert_int_equal (entries->len, 4);
  assert_string_equal (((struct sr_audit_entry *)entries->pdata[0])->id->str, "b");
  sr_platform_unref (platform);
}

static void
pruning_removes_only_expired_days (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  g_autoptr (GPtrArray) entries = NULL;

  for (int day = 0; day < 50; day++)
    {
      g_autofree char *id = g_strdup_printf ("day-%d", day);

      write_entry (platform, id, now_ms - day * day_ms);
    }
  for (int i = 0; i < 5; i++)
    sr_audit_prune (platform, now_ms);
  entries = read_all (platform);
  assert_int_equal (entries->len, 36);
  assert_string_equal (((struct sr_audit_entry *)entries->pdata[35])->id->str, "day-0");
  sr_platform_unref (platform);
}

/* Guards against missing and duplicate entries when the process that made a top-up dies before it
 * writes the audit entry: any other process that reads the budget's record writes it, only once. */
static void
top_up_entries_are_derived_from_the_budgets_record (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_record *record = sr_record_new ();
  g_autoptr (GString) body = g_string_new (NULL);
  g_autoptr (GPtrArray) entries = NULL;
  const struct sr_audit_entry *correction;
  int64_t deadline_us = g_get_monotonic_time () + WAIT_US;
  int64_t version;

  sr_record_top_up (record, "t1", 500, "asli", now_ms);
  sr_record_top_up (record, "t2", -100, "selin", now_ms + 1);
  sr_record_print (record, body);
  assert_int_equal (
      sr_platform_put (platform, SR_BUDGET_KIND, "b", body->str, body->len, 0, &version),
      SR_PLATFORM_OK);
  assert_int_equal (sr_audit_write_top_ups (platform, "b", "t1", deadline_us), SR_PLATFORM_OK);
  assert_int_equal (sr_audit_write_top_ups (platform, "b", NULL, deadline_us), SR_PLATFORM_OK);
  entries = read_all (platform);
  assert_int_equal (entries->len, 2);
  correction = entries->pdata[1];
  assert_int_equal (correction->type, SR_AUDIT_CORRECTION);
  assert_string_equal (correction->actor->str, "selin");
  assert_string_equal (correction->before->str, "prepaid = 500");
  assert_string_equal (correction->after->str, "prepaid = 400");
  sr_record_delete (record);
  sr_platform_unref (platform);
}

static void
damaged_entries_are_skipped (void **state)
{
  static const char *const bodies[]
      = { "", "[]", "{\"type\":\"config\"}", "{\"type\":7}", "\xff\xfe" };
  struct sr_platform *platform = sr_platform_memory_new ();
  g_autoptr (GPtrArray) entries = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      g_autofree char *name = g_strdup_printf ("20231114.config.%zu", i);
      int64_t version;

      sr_platform_put (platform, "audit", name, bodies[i], strlen (bodies[i]), 0, &version);
    }
  assert_int_equal (sr_audit_write_instance (platform, SR_AUDIT_LEAVING, "entry-1", 7, "", now_ms,
                                             g_get_monotonic_time () + WAIT_US),
                    SR_PLATFORM_OK);
  entries = read_all (platform);
  assert_int_equal (entries->len, 1);
  sr_platform_unref (platform);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_repeated_write_adds_no_entry),
    cmocka_unit_test (pruning_removes_only_expired_days),
    cmocka_unit_test (top_up_entries_are_derived_from_the_budgets_record),
    cmocka_unit_test (damaged_entries_are_skipped),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
