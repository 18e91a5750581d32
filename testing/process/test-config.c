/* An accepted configuration takes effect on every instance within seconds and is never reverted,
 * and the audit trail lists each accepted change exactly once. */
#include "config/head.h"
#include "config/parts.h"
#include "platform/platform-http.h"
#include "testing/harness/harness.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 31800,
  INSTANCES = 4,
  RACES = 20,
  OVERSIZE_BYTES = 3 << 20
};

static struct harness *harness;
static int64_t
    last_seen[INSTANCES + 1]; /* last revision seen from each instance's current process */

static int
start_fleet (void **state)
{
  static const struct harness_options options = {
    .name = "config", .port_base = PORT_BASE, .instances = INSTANCES, .engines = 1, .services = 1
  };

  harness = harness_start (&options);
  return harness != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  harness_stop (harness);
  return 0;
}

/* Returns the revision in force on INSTANCE, or -1 when it does not respond. Checks that the
 * revision does not decrease during the life of the process. */
static int64_t
revision_of (unsigned instance)
{
  g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, instance, false);
  json_t *status
      = harness_get_json (address, harness_port (harness, HARNESS_PORT_ENTRY), "/status");
  int64_t revision = status != NULL ? harness_json_number (status, "revision") : -1;

  json_decref (status);
  if (revision >= 0)
    {
      assert_true (revision >= last_seen[instance]);
      last_seen[instance] = revision;
    }
  return revision;
}

/* The revision that the instances FIRST to LAST must have in force. */
struct expected
{
  unsigned first;
  unsigned last;
  int64_t revision;
};

static bool
is_in_force (void *data)
{
  const struct expected *expected = data;

  for (unsigned i = expected->first; i <= expected->last; i++)
    if (revision_of (i) != expected->revision)
      return false;
  return true;
}

static void
assert_in_force (unsigned first, unsigned last, int64_t revision)
{
  struct expected expected = { first, last, revision };

  if (!harness_wait_until (is_in_force, &expected, HARNESS_WAIT_MS))
    harness_print_logs (harness);
  assert_true (is_in_force (&expected));
}

/* Returns a configuration that MARK makes different from all others; the caller frees it. */
static GString *
marked_configuration (unsigned mark)
{
  GString *text = harness_configuration (harness);

  g_string_append_printf (text, "[budget mark-%u]\nteam = team-1\n", mark);
  return text;
}

static void
submit_mark (unsigned mark)
{
  GString *text = marked_configuration (mark);

  assert_true (harness_submit (harness, text->str));
  g_string_free (text, TRUE);
}

/* Returns a process, not started yet, that runs the sapphirerun binary with the arguments up to
 * NULL and --platform. */
static struct harness_process *
new_command (const char *name, ...)
{
  GPtrArray *arguments = g_ptr_array_new_with_free_func (g_free);
  const char *argument;
  va_list list;

  g_ptr_array_add (arguments, g_strdup_printf ("%s/sapphirerun", harness->build));
  va_start (list, name);
  while ((argument = va_arg (list, const char *)) != NULL)
    g_ptr_array_add (arguments, g_strdup (argument));
  va_end (list);
  g_ptr_array_add (arguments, g_strdup_printf ("--platform=127.0.1.200:%u",
                                               harness_port (harness, HARNESS_PORT_PLATFORM)));
  g_ptr_array_add (arguments, NULL);
  return harness_process_new (harness->directory, name, arguments);
}

/* Runs the process to its end and returns its output, which the caller frees. */
static char *
finish_command (struct harness_process *process, int *exit_code)
{
  char *log;

  assert_true (harness_process_wait (process, HARNESS_WAIT_MS, exit_code));
  log = harness_process_log (process);
  harness_process_delete (process);
  return log;
}

/* Returns the audit trail as JSON lines; the caller frees them. */
static char **
read_trail (void)
{
  struct harness_process *process = new_command ("audit", "audit", "--json", (char *)NULL);
  int exit_code;
  g_autofree char *log = NULL;

  assert_true (harness_process_start (process));
  log = finish_command (process, &exit_code);
  assert_int_equal (exit_code, 0);
  return g_strsplit (g_strchomp (log), "\n", -1);
}

static unsigned
count_revision (char **trail, int64_t revision)
{
  g_autofree char *member = g_strdup_printf ("\"revision\":%" G_GINT64_FORMAT ",", revision);
  unsigned count = 0;

  for (size_t i = 0; trail[i] != NULL; i++)
    count += strstr (trail[i], "\"type\":\"config\"") != NULL && strstr (trail[i], member) != NULL;
  return count;
}

static void
changes_reach_partitioned_paused_and_restarted_instances (void **state)
{
  int64_t revision = revision_of (1);

  assert_true (harness_add_rule (harness, "127.0.1.2", "127.0.2.200", "cut", 0));
  submit_mark (1);
  assert_in_force (1, INSTANCES, ++revision);
  assert_true (harness_clear_rules (harness));

  harness_process_signal (harness->instances[3], SIGSTOP);
  submit_mark (2);
  submit_mark (3);
  revision += 2;
  assert_in_force (1, 2, revision);
  harness_process_signal (harness->instances[3], SIGCONT);
  assert_in_force (1, INSTANCES, revision);

  assert_true (harness_control_platform (harness, "/control/fault?mode=outage"));
  harness_process_kill (harness->instances[4]);
  last_seen[4] = 0;
  assert_true (harness_start_instance (harness, 4));
  assert_true (harness_wait_instance_ready (harness, 4, HARNESS_WAIT_MS));
  assert_int_equal (revision_of (4), revision);
  assert_true (harness_control_platform (harness, "/control/fault?mode=none"));
  submit_mark (4);
  assert_in_force (1, INSTANCES, ++revision);
}

/* One operator's submission in a race. */
struct racer
{
  struct harness_process *process;
  char *path;
  char *who;
};

static void
racer_start (struct racer *racer, unsigned race, unsigned number, int64_t base)
{
  GString *text = marked_configuration (100 + 2 * race + number);
  g_autofree char *base_text = g_strdup_printf ("--base=%" G_GINT64_FORMAT, base);
  g_autofree char *name = g_strdup_printf ("operator-%u", number);

  racer->who = g_strdup_printf ("operator-%u-%u", race, number);
  racer->path = g_strdup_printf ("%s/%s.ini", harness->directory, name);
  assert_true (g_file_set_contents (racer->path, text->str, (gssize)text->len, NULL));
  racer->process
      = new_command (name, "submit", racer->path, base_text, "--who", racer->who, (char *)NULL);
  assert_true (harness_process_start (racer->process));
  g_string_free (text, TRUE);
}

/* Waits for the submission and returns whether it was accepted. If not, checks that its output
 * names WINNER. */
static bool
racer_finish (struct racer *racer, const char *winner)
{
  int exit_code;
  g_autofree char *log = finish_command (racer->process, &exit_code);

  g_free (racer->path);
  if (exit_code != 0)
    {
      assert_non_null (strstr (log, "conflict"));
      assert_non_null (strstr (log, winner));
    }
  return exit_code == 0;
}

static void
losers_of_a_submission_race_learn_the_winner_and_the_trail_is_exact (void **state)
{
  int64_t first = revision_of (1);
  char **trail;

  for (unsigned race = 0; race < RACES; race++)
    {
      struct racer racers[2];
      bool accepted[2];

      assert_true (harness_control_platform (harness, "/control/lose?kind=config&count=2"));
      for (unsigned i = 0; i < 2; i++)
        racer_start (&racers[i], race, i, first + race);
      accepted[0] = racer_finish (&racers[0], racers[1].who);
      accepted[1] = racer_finish (&racers[1], racers[0].who);
      assert_int_equal (accepted[0] + accepted[1], 1);
      for (unsigned i = 0; i < 2; i++)
        g_free (racers[i].who);
    }
  assert_true (harness_control_platform (harness, "/control/lose?kind=config&count=0"));
  assert_in_force (1, INSTANCES, first + RACES);
  trail = read_trail ();
  for (int64_t revision = 1; revision <= first + RACES; revision++)
    assert_int_equal (count_revision (trail, revision), 1);
  assert_int_equal (count_revision (trail, first + RACES + 1), 0);
  g_strfreev (trail);
}

/* Writes a configuration head with one part, TEXT, directly to the platform, as a fault of the
 * platform might. */
static void
put_head (struct sr_platform *platform, int64_t revision, const char *text, int64_t *version)
{
  g_autoptr (GString) part = g_string_new (text);
  GString *name = config_part_name (part, "00000000000000ff");
  struct config_head *head = config_head_new ();
  struct sr_audit_entry *change = sr_audit_entry_new (SR_AUDIT_CONFIG, "hostile", "nobody", 1);
  int64_t part_version;
  char *body;

  change->revision = revision;
  head->revision = revision;
  g_ptr_array_add (head->parts, name);
  g_ptr_array_add (head->changes, change);
  body = config_head_encode (head);
  sr_platform_put (platform, "config-part", name->str, part->str, part->len, 0, &part_version);
  assert_int_equal (
      sr_platform_put (platform, "config", "head", body, strlen (body), *version, version),
      SR_PLATFORM_OK);
  free (body);
  config_head_delete (head);
}

/* Writes invalid configuration heads, one after the other, each for long enough that every instance
 * reads it. None may change the configuration in force. */
static void
put_invalid_heads (struct sr_platform *platform, int64_t revision, int64_t *version)
{
  g_autofree char *oversize = g_strnfill (1000000, '[');
  const char *const bodies[] = { "", "{}", "[1,2", oversize, "{\"revision\":9223372036854775807}" };

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      assert_int_equal (sr_platform_put (platform, "config", "head", bodies[i], strlen (bodies[i]),
                                         *version, version),
                        SR_PLATFORM_OK);
      g_usleep (300000);
    }
  put_head (platform, revision + 1, "[budget x]\nteam = nobody\n", version);
  g_usleep (300000);
  put_head (platform, revision + 1, "no section at all", version);
  g_usleep (300000);
  put_head (
      platform, 1,
      "[team low]\nkey_digest = 7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed\n",
      version);
  g_usleep (300000);
}

static void
invalid_objects_on_the_platform_change_nothing (void **state)
{
  struct sr_platform_http_options options = { .address = "127.0.1.200",
                                              .port = harness_port (harness, HARNESS_PORT_PLATFORM),
                                              .idle_timeout_s = 5 };
  struct sr_platform *platform = sr_platform_http_new (&options);
  g_autoptr (GString) good = g_string_new (NULL);
  int64_t revision = revision_of (1);
  int64_t version;

  assert_int_equal (sr_platform_get (platform, "config", "head", good, &version), SR_PLATFORM_OK);
  put_invalid_heads (platform, revision, &version);
  for (unsigned i = 1; i <= INSTANCES; i++)
    assert_true (harness_process_is_running (harness->instances[i]));
  assert_in_force (1, INSTANCES, revision);
  assert_int_equal (
      sr_platform_put (platform, "config", "head", good->str, good->len, version, &version),
      SR_PLATFORM_OK);
  submit_mark (500);
  assert_in_force (1, INSTANCES, revision + 1);
  sr_platform_unref (platform);
}

static void
invalid_and_oversized_submissions_are_refused (void **state)
{
  g_autofree char *path = g_strdup_printf ("%s/faulty.ini", harness->directory);
  g_autofree char *oversize = g_strnfill (OVERSIZE_BYTES, 'x');
  const char *const texts[] = { "", "[team a]\nkey_digest = 1\n", oversize, "[[[[\n]]]\n= 1\n" };
  int64_t revision = revision_of (1);

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct harness_process *process = new_command ("faulty", "submit", path, (char *)NULL);
      g_autofree char *log = NULL;
      int exit_code;

      assert_true (g_file_set_contents (path, texts[i], -1, NULL));
      assert_true (harness_process_start (process));
      log = finish_command (process, &exit_code);
      assert_int_equal (exit_code, 1);
      assert_non_null (strstr (log, "refused: nothing was changed"));
    }
  assert_in_force (1, INSTANCES, revision);
}

static unsigned
count_lines_with (char **trail, const char *first, const char *second)
{
  unsigned count = 0;

  for (size_t i = 0; trail[i] != NULL; i++)
    count += strstr (trail[i], first) != NULL && strstr (trail[i], second) != NULL;
  return count;
}

static void
top_ups_and_planned_stops_are_in_the_trail (void **state)
{
  char **trail;
  int exit_code;

  assert_true (harness_top_up (harness, "budget-1", 500, "invoice-7"));
  assert_true (harness_top_up (harness, "budget-1", 500, "invoice-7"));
  assert_true (harness_top_up (harness, "budget-1", -100, "correction-7"));
  assert_true (harness_process_terminate (harness->instances[2], HARNESS_WAIT_MS, &exit_code));
  assert_int_equal (exit_code, 0);
  trail = read_trail ();
  assert_int_equal (count_lines_with (trail, "\"type\":\"top-up\"", "invoice-7"), 1);
  assert_int_equal (count_lines_with (trail, "\"type\":\"correction\"", "correction-7"), 1);
  assert_int_equal (count_lines_with (trail, "\"type\":\"leaving\"", "entry-2"), 1);
  assert_int_equal (count_lines_with (trail, "\"type\":\"stop\"", "entry-2"), 1);
  g_strfreev (trail);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (changes_reach_partitioned_paused_and_restarted_instances),
    cmocka_unit_test (losers_of_a_submission_race_learn_the_winner_and_the_trail_is_exact),
    cmocka_unit_test (invalid_and_oversized_submissions_are_refused),
    cmocka_unit_test (invalid_objects_on_the_platform_change_nothing),
    cmocka_unit_test (top_ups_and_planned_stops_are_in_the_trail),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
