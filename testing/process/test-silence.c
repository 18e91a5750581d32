/* Connections to the platform that go silent for good while new ones work, and silence between the
 * instances: service goes on within the stated seconds. Streams of engines are in test-streams. */
#include "testing/harness/caller.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 31900,
  INSTANCES = 3,
  IN_FORCE_MAX_MS = 20000, /* a silent watch of 4 s, its timeout of 2 s, and a machine under load */
  ANSWER_MAX_US = 10000000,
  REQUESTS = 30
};

static const char platform_ip[] = "127.0.2.200";

static struct harness *harness;

static int
start_fleet (void **state)
{
  static const struct harness_options options = { .name = "silence",
                                                  .port_base = PORT_BASE,
                                                  .instances = INSTANCES,
                                                  .engines = 1,
                                                  .services = 1,
                                                  .slots = 16,
                                                  .prepaid_tokens = 1000000 };

  harness = harness_start (&options);
  return harness != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  harness_stop (harness);
  return 0;
}

static int
mend (void **state)
{
  harness_clear_rules (harness);
  return 0;
}

static bool
all_have_revision (void *data)
{
  const int64_t *revision = data;

  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      g_autofree char *address = g_strdup_printf ("127.0.1.%u", i);
      json_t *status = harness_get_json (address, PORT_BASE, "/status");
      bool has = harness_json_number (status, "revision") >= *revision;

      json_decref (status);
      if (!has)
        return false;
    }
  return true;
}

static void
ask_all (const char *name)
{
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *address = g_strdup_printf ("127.0.1.%u", 1 + i % INSTANCES);
      g_autofree char *key = g_strdup_printf ("%s-%u", name, i);
      g_autofree char *prompt = g_strdup_printf ("%s %u [n=4]", name, i);
      struct harness_ask ask = { .address = address,
                                 .port = PORT_BASE,
                                 .service = "diary",
                                 .team = 1 + i % 3,
                                 .key = key,
                                 .first_attempt = true,
                                 .prompt = prompt,
                                 .max_tokens = 8 };
      struct harness_answer answer = harness_ask (&ask);

      if (answer.verdict != HARNESS_ANSWERED)
        print_error ("%s: %d %s\n", key, answer.status, answer.code);
      assert_string_equal (harness_verdict_to_string (answer.verdict), "answered");
      assert_true (answer.total_us < ANSWER_MAX_US);
    }
}

static void
a_silent_watch_does_not_hold_a_configuration_back (void **state)
{
  GString *text = harness_configuration (harness);
  int64_t revision = 2;

  /* The watches are open by now: an instance is ready once it has read the configuration. */
  assert_true (harness_rule (harness, "*", platform_ip, "silence_open", 0));
  g_string_append (text, "[budget late-addition]\nteam = team-1\n");
  assert_true (harness_submit (harness, text->str));
  g_string_free (text, TRUE);
  assert_true (harness_wait_until (all_have_revision, &revision, IN_FORCE_MAX_MS));
  ask_all ("silent-platform");
}

static void
silence_between_instances_does_not_hold_requests_back (void **state)
{
  ask_all ("before");
  for (unsigned from = 1; from <= INSTANCES; from++)
    {
      for (unsigned to = 1; to <= INSTANCES; to++)
        {
          g_autofree char *source = g_strdup_printf ("127.0.1.%u", from);
          g_autofree char *target = g_strdup_printf ("127.0.2.%u", to);

          assert_true (harness_rule (harness, source, target, "silence", 0));
        }
    }
  ask_all ("silent-peers");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (a_silent_watch_does_not_hold_a_configuration_back, mend),
    cmocka_unit_test_teardown (silence_between_instances_does_not_hold_requests_back, mend),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
