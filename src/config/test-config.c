#include "base/thread.h"
#include "config/config.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* SHA-256 of "one" and of "two". */
#define DIGEST_ONE "7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed"
#define DIGEST_TWO "3fc4ccfe745870e2c0d99f71f30ff0656c8dedd41cc1d7d3d376b0dbe685e2f3"

static const char valid_text[] = "[team census]\n"
                                 "key_digest = " DIGEST_ONE ", " DIGEST_TWO "\n"
                                 "budgets = census-2\n"
                                 "weight = 3\n"
                                 "[budget census-1]\n"
                                 "team = census\n"
                                 "[budget census-2]\n"
                                 "team = census\n"
                                 "[service diary]\n"
                                 "kind = model\n"
                                 "model = swahili-coder\n"
                                 "version = 4\n"
                                 "max_output_tokens = 512\n"
                                 "[service relief]\n"
                                 "kind = plain\n"
                                 "call_tokens = 2\n"
                                 "[backend engine-1]\n"
                                 "service = diary\n"
                                 "address = 127.0.2.101\n"
                                 "port = 7000\n"
                                 "data_centre = makole\n"
                                 "leaving = yes\n";

static struct sr_config *
parse (const char *text, int64_t revision)
{
  struct sr_findings *findings = sr_findings_new ();
  struct sr_config *config = sr_config_parse ("c.ini", text, strlen (text), revision, findings);

  assert_int_equal (config == NULL, sr_findings_count (findings) > 0);
  sr_findings_delete (findings);
  return config;
}

static void
look_ups_find_what_was_configured (void **state)
{
  struct sr_config *config = parse (valid_text, 7);
  const struct sr_config_team *team;

  assert_non_null (config);
  assert_int_equal (sr_config_revision (config), 7);
  team = sr_config_team_by_key (config, "two", 3);
  assert_non_null (team);
  assert_ptr_equal (team, sr_config_team (config, "census"));
  assert_ptr_equal (team, sr_config_team_by_key (config, "one", 3));
  assert_null (sr_config_team_by_key (config, "one1", 4));
  assert_null (sr_config_team_by_key (config, "", 0));
  assert_int_equal (team->weight, 3);
  assert_string_equal (((GString *)team->budgets->pdata[0])->str, "census-2");
  assert_string_equal (((GString *)team->budgets->pdata[1])->str, "census-1");
  assert_true (sr_config_team_owns_budget (team, "census-1"));
  assert_false (sr_config_team_owns_budget (team, "census-3"));
  assert_true (sr_config_service (config, "diary")->repeatable);
  assert_false (sr_config_service (config, "relief")->repeatable);
  assert_int_equal (sr_config_service_backends (config, "diary")->len, 1);
  assert_int_equal (sr_config_service_backends (config, "relief")->len, 0);
  assert_null (sr_config_service_backends (config, "none"));
  assert_int_equal (sr_config_budgets (config)->len, 2);
  assert_true (((struct sr_config_backend *)sr_config_backends (config)->pdata[0])->leaving);
  sr_config_unref (config);
}

static void
every_fault_of_references_and_kinds_is_found (void **state)
{
  static const char bad[] = "[team a]\n"                     /* 1 */
                            "key_digest = " DIGEST_ONE "\n"  /* 2 */
                            "budgets = b1, none\n"           /* 3 */
                            "[team b]\n"                     /* 4 */
                            "key_digest = " DIGEST_ONE "\n"  /* 5 */
                            "[budget b1]\n"                  /* 6 */
                            "team = b\n"                     /* 7 */
                            "[budget b2]\n"                  /* 8 */
                            "team = c\n"                     /* 9 */
                            "[service m]\n"                  /* 10 */
                            "kind = model\n"                 /* 11 */
                            "repeatable = no\n"              /* 12 */
                            "[service p]\n"                  /* 13 */
                            "kind = plain\n"                 /* 14 */
                            "model = x\n"                    /* 15 */
                            "[backend e1]\n"                 /* 16 */
                            "service = q\n"                  /* 17 */
                            "address = 127.0.0.1\n"          /* 18 */
                            "port = 1\n"                     /* 19 */
                            "data_centre = a\n"              /* 20 */
                            "[backend e2]\n"                 /* 21 */
                            "service = q\n"                  /* 22 */
                            "address = 127.0.0.1\n"          /* 23 */
                            "port = 1\n"                     /* 24 */
                            "data_centre = a\n"              /* 25 */
                            "[thing x]\n[team]\n[budget]\n"; /* 26 */
  static const struct
  {
    unsigned line;
    const char *key;
  } expected[] = { { 1, "budgets" },     { 1, "budgets" },  { 4, "key_digest" },
                   { 8, "team" },        { 10, "model" },   { 10, "max_output_tokens" },
                   { 10, "repeatable" }, { 13, "model" },   { 16, "service" },
                   { 21, "address" },    { 21, "service" }, { 26, "" },
                   { 27, "" },           { 28, "" } };
  struct sr_findings *findings = sr_findings_new ();

  assert_null (sr_config_parse ("c.ini", bad, strlen (bad), 1, findings));
  if (sr_findings_count (findings) != G_N_ELEMENTS (expected))
    sr_findings_print (findings, stderr);
  assert_int_equal (sr_findings_count (findings), G_N_ELEMENTS (expected));
  for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      bool found = false;

      for (size_t j = 0; j < sr_findings_count (findings); j++)
        found = found
                || (sr_findings_get (findings, j)->line == expected[i].line
                    && strcmp (sr_findings_get (findings, j)->key->str, expected[i].key) == 0);
      assert_true (found);
    }
  sr_findings_delete (findings);
}

/* Shared by the reader threads of the next test. */
struct shared
{
  struct sr_config_current *current;
  _Atomic bool stop;
};

static void *
check_revisions_rise (void *data)
{
  struct shared *shared = data;
  int64_t last = 0;

  while (!atomic_load (&shared->stop))
    {
      struct sr_config *config = sr_config_current_get (shared->current);

      if (config == NULL)
        continue;
      if (sr_config_revision (config) < last || sr_config_team_by_key (config, "one", 3) == NULL)
        return shared;
      last = sr_config_revision (config);
      sr_config_unref (config);
    }
  return NULL;
}

static void
readers_never_see_a_lower_revision (void **state)
{
  struct shared shared = { .current = sr_config_current_new () };
  pthread_t readers[4];
  void *failed;

  assert_null (sr_config_current_get (shared.current));
  for (size_t i = 0; i < G_N_ELEMENTS (readers); i++)
    assert_true (sr_thread_start (&readers[i], 0, check_revisions_rise, &shared));
  for (int64_t revision = 1; revision <= 200; revision++)
    {
      struct sr_config *config = parse (valid_text, revision);
      struct sr_config *older = parse (valid_text, revision - 1);

      assert_true (sr_config_current_apply (shared.current, config));
      assert_false (sr_config_current_apply (shared.current, config));
      assert_false (sr_config_current_apply (shared.current, older));
      sr_config_unref (config);
      sr_config_unref (older);
    }
  atomic_store (&shared.stop, true);
  for (size_t i = 0; i < G_N_ELEMENTS (readers); i++)
    {
      pthread_join (readers[i], &failed);
      assert_null (failed);
    }
  sr_config_current_delete (shared.current);
}

/* Guards against crashes and against failures without a finding, with corrupt copies of a valid
 * configuration. */
static void
corrupt_configurations_are_accepted_or_refused_with_findings (void **state)
{
  GRand *random = g_rand_new_with_seed (20261204);

  for (int round = 0; round < 4000; round++)
    {
      char text[sizeof (valid_text)];
      size_t length = (size_t)g_rand_int_range (random, 1, sizeof (valid_text));

      memcpy (text, valid_text, sizeof (valid_text));
      text[length] = '\0';
      for (int i = 0; i < 3; i++)
        text[g_rand_int_range (random, 0, (int)length)] = (char)g_rand_int_range (random, 1, 256);
      sr_config_unref (parse (text, 1));
    }
  g_rand_free (random);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (look_ups_find_what_was_configured),
    cmocka_unit_test (every_fault_of_references_and_kinds_is_found),
    cmocka_unit_test (readers_never_see_a_lower_revision),
    cmocka_unit_test (corrupt_configurations_are_accepted_or_refused_with_findings),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
