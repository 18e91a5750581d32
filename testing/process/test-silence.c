/* Open connections to the platform go silent permanently while new ones work, or connections
 * between instances go silent: configuration updates and responses must arrive within the stated
 * limits. Silent connections to backend servers are covered by test-streams. */
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
  /* 4 s until a watch counts as silent, its timeout of 2 s, and a machine under load */
  UPDATE_MAX_MS = 20000,
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
clear_faults (void **state)
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
      bool has_revision = harness_json_number (status, "revision") >= *revision;

      json_decref (status);
      if (!has_revision)
        return false;
    }
  return true;
}

static void
expect_all_answered (const char *name)
{
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *address = g_strdup_printf ("127.0.1.%u", 1 + i % INSTANCES);
      g_autofree char *key = g_strdup_printf ("%s-%u", name, i);
      g_autofree char *prompt = g_strdup_printf ("%s %u [n=4]", name, i);
      struct harness_request request = { .address = address,
                                         .port = PORT_BASE,
                                         .service = "diary",
                                         .team = 1 + i % 3,
                                         .key = key,
                                         .first_attempt = true,
                                         .prompt = prompt,
                                         .max_tokens = 8 };
      struct harness_result answer = harness_send (&request);

      if (answer.outcome != HARNESS_COMPLETED)
        print_error ("%s: %d %s\n", key, answer.status, answer.code);
      assert_string_equal (harness_outcome_to_string (answer.outcome), "answered");
      assert_true (answer.total_us < ANSWER_MAX_US);
    }
}

static void
silent_watch_does_not_delay_configuration_updates (void **state)
{
  GString *text = harness_configuration (harness);
  int64_t revision = 2;

  /* The watches are already open: an instance is ready only after it has read the
   * configuration. */
  assert_true (harness_add_rule (harness, "*", platform_ip, "silence_open", 0));
  g_string_append (text, "[budget late-addition]\nteam = team-1\n");
  assert_true (harness_submit (harness, text->str));
  g_string_free (text, TRUE);
  assert_true (harness_wait_until (all_have_revision, &revision, UPDATE_MAX_MS));
  expect_all_answered ("silent-platform");
}

static void
silence_between_instances_does_not_delay_requests (void **state)
{
  expect_all_answered ("before");
  for (unsigned from = 1; from <= INSTANCES; from++)
    {
      for (unsigned to = 1; to <= INSTANCES; to++)
        {
          g_autofree char *source = g_strdup_printf ("127.0.1.%u", from);
          g_autofree char *target = g_strdup_printf ("127.0.2.%u", to);

          assert_true (harness_add_rule (harness, source, target, "silence", 0));
        }
    }
  expect_all_answered ("silent-peers");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (silent_watch_does_not_delay_configuration_updates, clear_faults),
    cmocka_unit_test_teardown (silence_between_instances_does_not_delay_requests, clear_faults),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
