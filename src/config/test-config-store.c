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
  RACERS = 4,
  RACES = 20
};

/* A platform seen through a connection that fails: after calls_left calls its user is dead; a write
 * may lose its answer. */
struct frail_platform
{
  struct sr_platform base;
  struct sr_platform *inner;
  int calls_left; /* -1: no limit */
  GRand *random;  /* NULL: no answer is lost */
};

static bool
frail_is_dead (struct sr_platform *platform)
{
  struct frail_platform *frail = (struct frail_platform *)platform;

  if (frail->calls_left == 0)
    return true;
  if (frail->calls_left > 0)
    frail->calls_left--;
  return false;
}

static enum sr_platform_status
frail_get (struct sr_platform *platform,
           const char *kind,
           const char *name,
           GString *body,
           int64_t *version)
{
  if (frail_is_dead (platform))
    return SR_PLATFORM_OUT;
  return sr_platform_get (((struct frail_platform *)platform)->inner, kind, name, body, version);
}

static enum sr_platform_status
frail_put (struct sr_platform *platform,
           const char *kind,
           const char *name,
           const char *body,
           size_t length,
           int64_t expected,
           int64_t *version)
{
  struct frail_platform *frail = (struct frail_platform *)platform;
  enum sr_platform_status status;

  if (frail_is_dead (platform))
    return SR_PLATFORM_OUT;
  status = sr_platform_put (frail->inner, kind, name, body, length, expected, version);
  if (frail->random != NULL && g_rand_boolean (frail->random))
    return SR_PLATFORM_UNKNOWN;
  return status;
}

static enum sr_platform_status
frail_list (struct sr_platform *platform,
            const char *kind,
            const char *prefix,
            const char *after,
            unsigned limit,
            GPtrArray *names,
            bool *more)
{
  if (frail_is_dead (platform))
    return SR_PLATFORM_OUT;
  return sr_platform_list (((struct frail_platform *)platform)->inner, kind, prefix, after, limit,
                           names, more);
}

static enum sr_platform_status
frail_remove (struct sr_platform *platform, const char *kind, const char *name, int64_t expected)
{
  if (frail_is_dead (platform))
    return SR_PLATFORM_OUT;
  return sr_platform_remove (((struct frail_platform *)platform)->inner, kind, name, expected);
}

static const struct sr_platform_vtable frail_vtable
    = { .get = frail_get, .put = frail_put, .list = frail_list, .remove = frail_remove };

/* Returns a configuration of N_BUDGETS budgets whose one service has this cap. */
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

/* Asserts that revisions 1 to the one in force stand in the trail once each; returns the latter. */
static int64_t
assert_trail_is_exact (struct sr_platform *platform)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (entry_free);
  g_autoptr (GString) text = g_string_new (NULL);
  int64_t deadline_us = g_get_monotonic_time () + WAIT_US;
  int64_t revision = 0;
  enum sr_platform_status status = sr_config_fetch (platform, text, &revision, deadline_us);

  assert_true (status == SR_PLATFORM_OK || status == SR_PLATFORM_ABSENT);
  assert_int_equal (sr_config_read_trail (platform, entries, deadline_us), SR_PLATFORM_OK);
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
  assert_int_equal (assert_trail_is_exact (platform), 2);
  sr_config_unref (config);
  sr_findings_delete (findings);
  sr_platform_unref (platform);
}

static void
stale_base_is_told_what_changed (void **state)
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
  assert_int_equal (assert_trail_is_exact (platform), 2);
  sr_platform_unref (platform);
}

/* An operator's program dies after any number of calls, its last answers lost or not. Whatever was
 * accepted stays accepted and is in the trail once. */
static void
death_at_any_point_keeps_the_trail_exact (void **state)
{
  for (int calls = 0; calls < 40; calls++)
    {
      struct sr_platform *platform = sr_platform_memory_new ();
      struct frail_platform frail
          = { .base = { .vtable = &frail_vtable, .reference_count = 1 }, .inner = platform };
      g_autoptr (GString) last = make_text (3, 500);
      uint64_t id = 1;

      frail.random = calls % 2 == 0 ? NULL : g_rand_new_with_seed ((guint32)calls);
      for (unsigned i = 0; i < 12; i++)
        {
          g_autoptr (GString) text = make_text (1, 100 + i);

          assert_int_equal (submit (platform, text, -1, id++, NULL), SR_SUBMIT_ACCEPTED);
        }
      frail.calls_left = calls;
      submit (&frail.base, last, -1, id++, NULL);
      assert_true (assert_trail_is_exact (platform) >= 12);
      for (unsigned i = 0; i < 10; i++)
        {
          g_autoptr (GString) text = make_text (1, 200 + i);

          assert_int_equal (submit (platform, text, -1, id++, NULL), SR_SUBMIT_ACCEPTED);
        }
      assert_true (assert_trail_is_exact (platform) >= 22);
      if (frail.random != NULL)
        g_rand_free (frail.random);
      sr_platform_unref (platform);
    }
}

/* One of the operators of the next test. */
struct racer
{
  struct frail_platform frail;
  unsigned number;
  unsigned accepted;
  unsigned told; /* conflicts that say what changed */
  unsigned other;
};

static void *
race (void *data)
{
  struct racer *racer = data;

  for (unsigned i = 0; i < RACES; i++)
    {
      g_autoptr (GString) text = make_text (1, 1000 * (racer->number + 1) + i);
      g_autoptr (GString) message = g_string_new (NULL);
      enum sr_submit_verdict verdict
          = submit (&racer->frail.base, text, -1, (uint64_t)(racer->number + 1) << 32 | i, message);

      if (verdict == SR_SUBMIT_ACCEPTED)
        racer->accepted++;
      else if (verdict == SR_SUBMIT_CONFLICT && strstr (message->str, "revision") != NULL)
        racer->told++;
      else
        racer->other++;
    }
  return NULL;
}

static void
racing_operators_with_lost_answers_agree (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct racer racers[RACERS];
  pthread_t threads[RACERS];
  unsigned accepted = 0;

  for (unsigned i = 0; i < RACERS; i++)
    {
      racers[i]
          = (struct racer){ .frail = { .base = { .vtable = &frail_vtable, .reference_count = 1 },
                                       .inner = platform,
                                       .calls_left = -1,
                                       .random = g_rand_new_with_seed (i + 1) },
                            .number = i };
      assert_true (sr_thread_start (&threads[i], 0, race, &racers[i]));
    }
  for (unsigned i = 0; i < RACERS; i++)
    {
      pthread_join (threads[i], NULL);
      assert_int_equal (racers[i].accepted + racers[i].told, RACES);
      accepted += racers[i].accepted;
      g_rand_free (racers[i].frail.random);
    }
  assert_int_equal (assert_trail_is_exact (platform), accepted);
  assert_true (accepted >= RACES);
  sr_platform_unref (platform);
}

/* Damaged heads are refused or consistent; a faulty one on the platform is a finding. */
static void
damaged_heads_are_refused (void **state)
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
      g_autoptr (GString) damaged = g_string_new_len (body->str, (gssize)body->len);
      struct config_head *head;

      for (int i = 0; i < 2; i++)
        damaged->str[g_rand_int_range (random, 0, (int)damaged->len)]
            = (char)g_rand_int_range (random, 0, 256);
      head = config_head_decode (damaged->str, damaged->len);
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
    cmocka_unit_test (stale_base_is_told_what_changed),
    cmocka_unit_test (death_at_any_point_keeps_the_trail_exact),
    cmocka_unit_test (racing_operators_with_lost_answers_agree),
    cmocka_unit_test (damaged_heads_are_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
