/* Run table, listeners of a run, and the registry of a directory instance. */
#include "request/registry.h"
#include "request/table.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

static const char configuration[]
    = "[team t]\n"
      "key_digest = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae\n"
      "budgets = b\n"
      "[budget b]\n"
      "team = t\n"
      "[service s]\n"
      "kind = model\n"
      "repeatable = yes\n"
      "model = m\n"
      "bytes_per_token_min = 2\n"
      "max_output_tokens = 100\n"
      "[backend e]\n"
      "service = s\n"
      "address = 127.0.0.1\n"
      "port = 9\n"
      "data_centre = d\n"
      "slots = 1\n";

static struct sr_config *config;
static unsigned n_calls;

static int
set_up (void **state)
{
  struct sr_findings *findings = sr_findings_new ();

  config = sr_config_parse ("test", configuration, strlen (configuration), 1, findings);
  sr_findings_print (findings, stderr);
  sr_findings_delete (findings);
  return config != NULL ? 0 : -1;
}

static int
tear_down (void **state)
{
  sr_config_unref (config);
  return 0;
}

static struct sr_run *
new_run (const char *request, bool id_is_from_caller, uint64_t fingerprint)
{
  struct sr_run_params *params = g_new0 (struct sr_run_params, 1);

  params->team = g_string_new ("t");
  params->id = g_string_new (request);
  params->id_is_from_caller = id_is_from_caller;
  params->service = g_string_new ("s");
  params->budget = g_string_new ("b");
  params->text = g_string_new ("hello");
  params->fingerprint[0] = fingerprint;
  return sr_run_new (params, config);
}

static void
listener (void *data)
{
  n_calls++;
}

static void
a_retry_joins_the_run_in_progress_or_gets_its_answer (void **state)
{
  struct sr_run_table_options options = { .answers_kept_max = 2, .answer_kept_us = 1000000000 };
  struct sr_run_table *table = sr_run_table_new (&options);
  struct sr_run_result answered = { .outcome = SR_OUTCOME_ANSWERED };
  struct sr_run *first = new_run ("r", true, 1);
  struct sr_run *retry = new_run ("r", true, 1);
  struct sr_run *other = new_run ("r", true, 2);
  struct sr_run *found;

  assert_int_equal (sr_run_table_find_or_add (table, first, &found), SR_RUN_FOUND_NEW);
  sr_run_unref (found);
  assert_int_equal (sr_run_table_find_or_add (table, retry, &found), SR_RUN_FOUND_JOINED);
  assert_ptr_equal (found, first);
  sr_run_unref (found);
  assert_int_equal (sr_run_table_find_or_add (table, other, &found), SR_RUN_FOUND_OTHER_BODY);
  assert_null (found);
  sr_run_finish (first, &answered);
  sr_run_table_ended (table, first);
  assert_int_equal (sr_run_table_in_progress (table), 0);
  assert_int_equal (sr_run_table_find_or_add (table, retry, &found), SR_RUN_FOUND_JOINED);
  assert_ptr_equal (found, first);
  sr_run_unref (found);
  sr_run_unref (first);
  sr_run_unref (retry);
  sr_run_unref (other);
  sr_run_table_delete (table);
}

static void
refused_runs_are_removed_and_kept_answers_are_bounded (void **state)
{
  struct sr_run_table_options options = { .answers_kept_max = 1, .answer_kept_us = 1000000000 };
  struct sr_run_table *table = sr_run_table_new (&options);
  struct sr_run_result refused = { .outcome = SR_OUTCOME_NOT_RUN, .error = SR_ERROR_NO_BUDGET };
  struct sr_run_result answered = { .outcome = SR_OUTCOME_ANSWERED };
  const char *const names[] = { "a", "b", "c" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      struct sr_run *run = new_run (names[i], true, 1);
      struct sr_run *found;

      assert_int_equal (sr_run_table_find_or_add (table, run, &found), SR_RUN_FOUND_NEW);
      sr_run_unref (found);
      sr_run_finish (run, i == 0 ? &refused : &answered);
      sr_run_table_ended (table, run);
      sr_run_unref (run);
    }
  assert_null (sr_run_table_find (table, "t", "a"));
  assert_null (sr_run_table_find (table, "t", "b"));
  assert_null (sr_run_table_find (table, "another team", "c"));
  sr_run_table_delete (table);
}

static void
listeners_are_called_only_when_their_condition_is_met (void **state)
{
  struct sr_run_result answered = { .outcome = SR_OUTCOME_ANSWERED };
  struct sr_run *run = new_run ("r", false, 1);
  int removed;

  n_calls = 0;
  sr_run_add_listener (run);
  sr_run_add_listener (run);
  assert_false (sr_run_wait_for_more (run, 0, false, listener, run));
  assert_false (sr_run_wait_for_more (run, 0, true, listener, run));
  assert_false (sr_run_wait_for_more (run, 0, true, listener, &removed));
  sr_run_remove_listener (run, &removed);
  sr_run_append (run, "abc", 3, 1);
  assert_int_equal (n_calls, 1);
  assert_true (sr_run_wait_for_more (run, 0, false, listener, run));
  sr_run_finish (run, &answered);
  assert_int_equal (n_calls, 2);
  assert_false (sr_run_is_abandoned (run, g_get_monotonic_time ()));
  sr_run_remove_listener (run, run);
  assert_true (sr_run_is_abandoned (run, g_get_monotonic_time ()));
  sr_run_unref (run);
}

static void
a_claim_is_replaced_only_for_a_dead_owner (void **state)
{
  struct sr_registry_options options = { .entries_max = 2, .entry_kept_us = 100 };
  struct sr_registry *registry = sr_registry_new (&options);
  struct sr_registry_claim claim = { .key = "t/r", .fingerprint = { 1, 2 }, .now_us = 10 };
  struct sr_registry_owner owner;

  claim.owner = (struct sr_registry_owner){ .instance = "a", .incarnation = 5 };
  assert_int_equal (sr_registry_claim (registry, &claim, &owner), SR_REGISTRY_YOURS);
  assert_int_equal (sr_registry_claim (registry, &claim, &owner), SR_REGISTRY_YOURS);
  claim.owner = (struct sr_registry_owner){ .instance = "b", .incarnation = 6 };
  assert_int_equal (sr_registry_claim (registry, &claim, &owner), SR_REGISTRY_ELSEWHERE);
  assert_string_equal (owner.instance, "a");
  claim.instead_of = 4;
  assert_int_equal (sr_registry_claim (registry, &claim, &owner), SR_REGISTRY_ELSEWHERE);
  claim.instead_of = 5;
  assert_int_equal (sr_registry_claim (registry, &claim, &owner), SR_REGISTRY_YOURS);
  claim.fingerprint[0] = 9;
  assert_int_equal (sr_registry_claim (registry, &claim, &owner), SR_REGISTRY_OTHER_BODY);
  claim.now_us = 200;
  assert_int_equal (sr_registry_claim (registry, &claim, &owner), SR_REGISTRY_YOURS);
  sr_registry_delete (registry);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_retry_joins_the_run_in_progress_or_gets_its_answer),
    cmocka_unit_test (refused_runs_are_removed_and_kept_answers_are_bounded),
    cmocka_unit_test (listeners_are_called_only_when_their_condition_is_met),
    cmocka_unit_test (a_claim_is_replaced_only_for_a_dead_owner),
  };

  return cmocka_run_group_tests (tests, set_up, tear_down);
}
