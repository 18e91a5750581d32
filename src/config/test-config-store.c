#include "audit/audit.h"
#include "base/thread.h"
#include "config/config.h"
#include "config/head.h"
#include "config/parts.h"
#include "config/store.h"
#include "platform/platform-memory.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

enum
{
  WAIT_US = 20000000,
  SUBMITTERS = 4,
  SUBMISSIONS = 20
};

/* A platform behind a faulty connection: after calls_left calls all further ones fail, as if the
 * caller had crashed; the response to a write may be lost. */
struct faulty_platform
{
  struct sr_platform base;
  struct sr_platform *inner;
  int calls_left; /* calls until the crash; -1: no crash */
  GRand *random;  /* NULL: no response is lost */
};

static bool
caller_has_crashed (struct sr_platform *platform)
{
  struct faulty_platform *connection = (struct faulty_platform *)platform;

  if (connection->calls_left == 0)
    return true;
  if (connection->calls_left > 0)
    connection->calls_left--;
  return false;
}

static enum sr_platform_status
faulty_get (struct sr_platform *platform,
            const char *kind,
            const char *name,
            GString *body,
            int64_t *version)
{
  if (caller_has_crashed (platform))
    return SR_PLATFORM_UNREACHABLE;
  return sr_platform_get (((struct faulty_platform *)platform)->inner, kind, name, body, version);
}

static enum sr_platform_status
faulty_put (struct sr_platform *platform,
            const char *kind,
            const char *name,
            const char *body,
            size_t length,
            int64_t expected,
            int64_t *version)
{
  struct faulty_platform *connection = (struct faulty_platform *)platform;
  enum sr_platform_status status;

  if (caller_has_crashed (platform))
    return SR_PLATFORM_UNREACHABLE;
  status = sr_platform_put (connection->inner, kind, name, body, length, expected, version);
  if (connection->random != NULL && g_rand_boolean (connection->random))
    return SR_PLATFORM_UNKNOWN;
  return status;
}

static enum sr_platform_status
faulty_list (struct sr_platform *platform,
             const char *kind,
             const char *prefix,
             const char *after,
             unsigned limit,
             GPtrArray *names,
             bool *more)
{
  if (caller_has_crashed (platform))
    return SR_PLATFORM_UNREACHABLE;
  return sr_platform_list (((struct faulty_platform *)platform)->inner, kind, prefix, after, limit,
                           names, more);
}

static enum sr_platform_status
faulty_remove (struct sr_platform *platform, const char *kind, const char *name, int64_t expected)
{
  if (caller_has_crashed (platform))
    return SR_PLATFORM_UNREACHABLE;
  return sr_platform_remove (((struct faulty_platform *)platform)->inner, kind, name, expected);
}

static const struct sr_platform_vtable faulty_vtable
    = { .get = faulty_get, .put = faulty_put, .list = faulty_list, .remove = faulty_remove };

/* Returns a configuration with N_BUDGETS budgets and one service with MAX_OUTPUT_TOKENS. */
static GString *
make_text (unsigned n_budgets, unsigned max_output_tokens)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "[team a]\nkey_digest = %064d\n"
                          "[service s]\nkind = model\nmodel = m\nmax_output_tokens = %u\n",
                          7, max_output_tokens);
  for (unsigned i = 0; i < n_budgets; i++)
    g_string_append_printf (text, "[budget b-%u]\nteam = a\n", i);
  return text;
}

static enum sr_submit_verdict
submit (
    struct sr_platform *platform, const GString *text, int64_t base, uint64_t id, GString *message)
{
  struct sr_submission submission = { .file_name = "c.ini",
                                      .text = text->str,
                                      .length = text->len,
                                      .base_revision = base,
                                      .who = "selin",
                                      .when_ms = 1700000000000 + (int64_t)(id & 0xffff),
                                      .id = id,
                                      .deadline_us = g_get_monotonic_time () + WAIT_US };
  struct sr_findings *findings = sr_findings_new ();
  struct sr_submit_result result;

  sr_config_submit (platform, &submission, &result, findings);
  assert_int_equal (result.verdict == SR_SUBMIT_FAULTY, sr_findings_count (findings) > 0);
  if (message != NULL)
    g_string_assign (message, result.message->str);
  sr_submit_result_clear (&result);
  sr_findings_delete (findings);
  return result.verdict;
}

static void
entry_free (void *data)
{
  sr_audit_entry_delete (data);
}

/* Asserts that each revision up to the one in force is in the audit trail exactly once. Returns the
 * revision in force, 0 if there is none. */
static int64_t
assert_audit_trail_is_exact (struct sr_platform *platform)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (entry_free);
  g_autoptr (GString) text = g_string_new (NULL);
  int64_t deadline_us = g_get_monotonic_time () + WAIT_US;
  int64_t revision = 0;
  enum sr_platform_status status = sr_config_fetch (platform, text, &revision, deadline_us);

  assert_true (status == SR_PLATFORM_OK || status == SR_PLATFORM_ABSENT);
  assert_int_equal (sr_config_read_audit_trail (platform, entries, deadline_us), SR_PLATFORM_OK);
  assert_int_equal (entries->len, revision);
  for (int64_t wanted = 1; wanted <= revision; wanted++)
    {
      unsigned found = 0;

      for (size_t i = 0; i < entries->len; i++)
        found += ((struct sr_audit_entry *)g_ptr_array_index (entries, i))->revision == wanted;
      assert_int_equal (found, 1);
    }
  return revision;
}

static void
change_of_one_section_writes_one_part (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  g_autoptr (GString) first = make_text (9000, 100);
  g_autoptr (GString) second = make_text (9000, 200);
  g_autoptr (GString) fetched = g_string_new (NULL);
  struct sr_findings *findings = sr_findings_new ();
  struct sr_config *config;
  unsigned writes;
  int64_t revision;

  assert_int_equal (submit (platform, first, -1, 1, NULL), SR_SUBMIT_ACCEPTED);
  writes = sr_platform_memory_writes (platform);
  assert_true (writes > 8);
  assert_int_equal (submit (platform, second, 1, 2, NULL), SR_SUBMIT_ACCEPTED);
  assert_int_equal (sr_platform_memory_writes (platform) - writes, 3); /* part, head, audit */
  assert_int_equal (submit (platform, second, -1, 3, NULL), SR_SUBMIT_UNCHANGED);
  assert_int_equal (
      sr_config_fetch (platform, fetched, &revision, g_get_monotonic_time () + WAIT_US),
      SR_PLATFORM_OK);
  assert_int_equal (revision, 2);
  config = sr_config_parse ("fetched", fetched->str, fetched->len, revision, findings);
  assert_non_null (config);
  assert_int_equal (sr_config_budgets (config)->len, 9000);
  assert_int_equal (sr_config_service (config, "s")->max_output_tokens, 200);
  assert_int_equal (assert_audit_trail_is_exact (platform), 2);
  sr_config_unref (config);
  sr_findings_delete (findings);
  sr_platform_unref (platform);
}

static void
stale_base_is_refused_with_the_changes_since (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  g_autoptr (GString) first = make_text (1, 100);
  g_autoptr (GString) second = make_text (2, 200);
  g_autoptr (GString) message = g_string_new (NULL);
  g_autoptr (GString) faulty = g_string_new ("[budget b]\nteam = none\n");

  assert_int_equal (submit (platform, first, 0, 1, NULL), SR_SUBMIT_ACCEPTED);
  assert_int_equal (submit (platform, second, 1, 2, NULL), SR_SUBMIT_ACCEPTED);
  assert_int_equal (submit (platform, first, 1, 3, message), SR_SUBMIT_CONFLICT);
  assert_non_null (strstr (message->str, "revision 2 by selin"));
  assert_non_null (strstr (message->str, "~[service s]"));
  assert_non_null (strstr (message->str, "+[budget b-1]"));
  assert_int_equal (submit (platform, faulty, -1, 4, NULL), SR_SUBMIT_FAULTY);
  assert_int_equal (submit (platform, second, 1, 2, NULL), SR_SUBMIT_ACCEPTED);
  assert_int_equal (assert_audit_trail_is_exact (platform), 2);
  sr_platform_unref (platform);
}

/* Guards against changes that are lost from the audit trail, or recorded twice, when a submission
 * ends after any number of platform calls, with or without lost responses to its writes. */
static void
interrupted_submission_does_not_lose_audit_entries (void **state)
{
  for (int calls = 0; calls < 40; calls++)
    {
      struct sr_platform *platform = sr_platform_memory_new ();
      struct faulty_platform connection
          = { .base = { .vtable = &faulty_vtable, .reference_count = 1 }, .inner = platform };
      g_autoptr (GString) last = make_text (3, 500);
      uint64_t id = 1;

      connection.random = calls % 2 == 0 ? NULL : g_rand_new_with_seed ((guint32)calls);
      for (unsigned i = 0; i < 12; i++)
        {
          g_autoptr (GString) text = make_text (1, 100 + i);

          assert_int_equal (submit (platform, text, -1, id++, NULL), SR_SUBMIT_ACCEPTED);
        }
      connection.calls_left = calls;
      submit (&connection.base, last, -1, id++, NULL);
      assert_true (assert_audit_trail_is_exact (platform) >= 12);
      for (unsigned i = 0; i < 10; i++)
        {
          g_autoptr (GString) text = make_text (1, 200 + i);

          assert_int_equal (submit (platform, text, -1, id++, NULL), SR_SUBMIT_ACCEPTED);
        }
      assert_true (assert_audit_trail_is_exact (platform) >= 22);
      if (connection.random != NULL)
        g_rand_free (connection.random);
      sr_platform_unref (platform);
    }
}

/* One of the concurrent submitters of the next test. */
struct submitter
{
  struct faulty_platform connection;
  unsigned number;
  unsigned accepted;
  unsigned explained; /* conflicts whose message lists what changed */
  unsigned other;
};

static void *
submit_repeatedly (void *data)
{
  struct submitter *submitter = data;

  for (unsigned i = 0; i < SUBMISSIONS; i++)
    {
      g_autoptr (GString) text = make_text (1, 1000 * (submitter->number + 1) + i);
      g_autoptr (GString) message = g_string_new (NULL);
      enum sr_submit_verdict verdict
          = submit (&submitter->connection.base, text, -1,
                    (uint64_t)(submitter->number + 1) << 32 | i, message);

      if (verdict == SR_SUBMIT_ACCEPTED)
        submitter->accepted++;
      else if (verdict == SR_SUBMIT_CONFLICT && strstr (message->str, "revision") != NULL)
        submitter->explained++;
      else
        submitter->other++;
    }
  return NULL;
}

static void
concurrent_submissions_with_lost_responses_are_not_misreported (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct submitter submitters[SUBMITTERS];
  pthread_t threads[SUBMITTERS];
  unsigned accepted = 0;

  for (unsigned i = 0; i < SUBMITTERS; i++)
    {
      submitters[i]
          = (struct submitter){ .connection
                                = { .base = { .vtable = &faulty_vtable, .reference_count = 1 },
                                    .inner = platform,
                                    .calls_left = -1,
                                    .random = g_rand_new_with_seed (i + 1) },
                                .number = i };
      assert_true (sr_thread_start (&threads[i], 0, submit_repeatedly, &submitters[i]));
    }
  for (unsigned i = 0; i < SUBMITTERS; i++)
    {
      pthread_join (threads[i], NULL);
      assert_int_equal (submitters[i].accepted + submitters[i].explained, SUBMISSIONS);
      accepted += submitters[i].accepted;
      g_rand_free (submitters[i].connection.random);
    }
  assert_int_equal (assert_audit_trail_is_exact (platform), accepted);
  assert_true (accepted >= SUBMISSIONS);
  sr_platform_unref (platform);
}

/* Guards against crashes and inconsistent heads on decoding corrupt bytes. A corrupt head on the
 * platform is reported as a finding. */
static void
corrupt_heads_are_refused (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  GRand *random = g_rand_new_with_seed (20261205);
  g_autoptr (GString) text = make_text (1, 100);
  g_autoptr (GString) body = g_string_new (NULL);
  int64_t version;

  assert_int_equal (submit (platform, text, -1, 1, NULL), SR_SUBMIT_ACCEPTED);
  assert_int_equal (sr_platform_get (platform, "config", "head", body, &version), SR_PLATFORM_OK);
  for (int round = 0; round < 4000; round++)
    {
      g_autoptr (GString) corrupt = g_string_new_len (body->str, (gssize)body->len);
      struct config_head *head;

      for (int i = 0; i < 2; i++)
        corrupt->str[g_rand_int_range (random, 0, (int)corrupt->len)]
            = (char)g_rand_int_range (random, 0, 256);
      head = config_head_decode (corrupt->str, corrupt->len);
      assert_true (head == NULL || (head->revision > 0 && head->parts->len > 0));
      config_head_delete (head);
    }
  assert_int_equal (sr_platform_put (platform, "config", "head", "{}", 2, version, &version),
                    SR_PLATFORM_OK);
  assert_int_equal (submit (platform, text, -1, 2, NULL), SR_SUBMIT_FAULTY);
  g_rand_free (random);
  sr_platform_unref (platform);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (change_of_one_section_writes_one_part),
    cmocka_unit_test (stale_base_is_refused_with_the_changes_since),
    cmocka_unit_test (interrupted_submission_does_not_lose_audit_entries),
    cmocka_unit_test (concurrent_submissions_with_lost_responses_are_not_misreported),
    cmocka_unit_test (corrupt_heads_are_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
