/* Evacuations of data centres, seen at the backend servers: a fleet of instances gets requests all
 * the time while evacuations begin and end, watches miss changes and the store fails or is
 * restored. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 35900,
  INSTANCES = 3,
  MODEL_BACKENDS = 4, /* in the data centres zone-1 and zone-2 in turn, like all */
  PLAIN_BACKENDS = 4,
  BACKENDS = MODEL_BACKENDS + PLAIN_BACKENDS,
  ZONES = 2,
  PREPAID_TOKENS = 100000000,
  LIMIT_MS = 5000,
  EFFECT_MAX_MS = LIMIT_MS / 2,
  SETTLE_MS = 300,   /* for a change whose watches are all in order */
  ABSENCE_MS = 2500, /* of the store for one instance */
  CALLERS = 6,
  CALL_INTERVAL_MS = 2,
  PRINTED_MAX = 3, /* failures of each caller */
  LONG_STREAMS = 8,
  LONG_TOKENS = 6000, /* 1,000 events: two seconds */
  US_PER_MS = 1000
};

struct caller_
{
  unsigned number;
  const char *path; /* NULL: all in turn */
  int stop;         /* atomic */
  unsigned completed;
  unsigned refused;
  unsigned other;
};

static struct site_fleet *fleet;
static unsigned ids;
static struct caller_ callers[CALLERS];
static GThread *threads[CALLERS]; /* NULL: not running */

static struct caller_ stop_callers_ (void);

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "evacuation",
                                               .port_base = PORT_BASE,
                                               .instances = INSTANCES,
                                               .model_backends = MODEL_BACKENDS,
                                               .plain_backends = PLAIN_BACKENDS,
                                               .event_interval_ms = 2,
                                               .prepaid = PREPAID_TOKENS,
                                               .zones = ZONES,
                                               .evacuation_limit_ms = LIMIT_MS,
                                               .with_proxy = true };

  fleet = site_fleet_start (&options);
  return fleet != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  site_fleet_stop (fleet);
  return 0;
}

/* Ends what the case has left in force or running. */
static int
end_evacuations (void **state)
{
  if (threads[0] != NULL)
    stop_callers_ ();
  site_fleet_clear_rules (fleet);
  site_fleet_control (fleet, "/store?mode=up");
  site_fleet_control (fleet, "/evacuation?zone=zone-1&on=0");
  site_fleet_control (fleet, "/evacuation?zone=zone-2&on=0");
  g_usleep (1500 * US_PER_MS);
  return 0;
}

static void
evacuate_ (const char *zone, bool on)
{
  g_autofree char *path = g_strdup_printf ("/evacuation?zone=%s&on=%d", zone, on);

  assert_true (site_fleet_control (fleet, path));
}

static struct site_response
send_ (unsigned instance, const char *path, int64_t output_tokens, const char *id)
{
  const struct site_request request = { .instance = instance,
                                        .path = path,
                                        .id = id,
                                        .input_tokens = 100,
                                        .output_tokens = output_tokens };

  return site_send (fleet, &request);
}

static void *
run_caller_ (void *data)
{
  static const char *const paths[] = { "/stream/a", "/safe/a", "/once/a", "/resume/a" };
  struct caller_ *caller = data;

  for (unsigned i = 0; !g_atomic_int_get (&caller->stop); i++)
    {
      g_autofree char *id = g_strdup_printf ("c%u-%u-%u", ids, caller->number, i);
      const char *path = caller->path != NULL ? caller->path : paths[i % G_N_ELEMENTS (paths)];
      bool is_stream = strcmp (path, "/stream/a") == 0 || strcmp (path, "/resume/a") == 0;
      struct site_response response
          = send_ (1 + (caller->number + i) % INSTANCES, path, is_stream ? 12 : 0, id);

      if (response.outcome == SITE_COMPLETED)
        caller->completed++;
      else if (response.outcome == SITE_NOT_RUN)
        caller->refused++;
      else
        {
          caller->other++;
          if (caller->other <= PRINTED_MAX)
            print_message ("%s: outcome %d, status %d\n", id, (int)response.outcome,
                           response.status);
        }
      g_usleep (CALL_INTERVAL_MS * US_PER_MS);
    }
  return NULL;
}

/* Sends requests all the time from now on, to PATH (NULL: all paths in turn). */
static void
start_callers_ (const char *path)
{
  ids++;
  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i] = (struct caller_){ .number = i, .path = path };
      threads[i] = g_thread_new ("caller", run_caller_, &callers[i]);
    }
}

/* Ends the callers and returns their sum. */
static struct caller_
stop_callers_ (void)
{
  struct caller_ sum = { 0 };

  for (unsigned i = 0; i < CALLERS; i++)
    g_atomic_int_set (&callers[i].stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      if (threads[i] != NULL)
        g_thread_join (threads[i]);
      threads[i] = NULL;
      sum.completed += callers[i].completed;
      sum.refused += callers[i].refused;
      sum.other += callers[i].other;
    }
  print_message ("%u completed, %u refused, %u other\n", sum.completed, sum.refused, sum.other);
  return sum;
}

/* Returns the time from the last evacuation of ZONE (from 1) to the last request that it received.
 */
static int64_t
effect_ms_ (unsigned zone)
{
  json_t *counts = site_fleet_counts (fleet);
  int64_t latest_ms = 0;

  for (unsigned i = zone - 1; i < BACKENDS; i += ZONES)
    latest_ms = MAX (latest_ms, json_integer_value (json_array_get (
                                    json_object_get (counts, "latest_after_evacuation_ms"), i)));
  json_decref (counts);
  print_message ("zone-%u: last request after %d ms\n", zone, (int)latest_ms);
  return latest_ms;
}

static int64_t
received_ (unsigned zone)
{
  json_t *counts = site_fleet_counts (fleet);
  int64_t received = 0;

  for (unsigned i = zone - 1; i < BACKENDS; i += ZONES)
    received += json_integer_value (json_array_get (json_object_get (counts, "received"), i));
  json_decref (counts);
  return received;
}

static void *
run_long_stream_ (void *data)
{
  g_autofree char *id = g_strdup_printf ("long-%u", GPOINTER_TO_UINT (data));
  struct site_response response
      = send_ (1 + GPOINTER_TO_UINT (data) % INSTANCES, "/stream/long", LONG_TOKENS, id);

  return GINT_TO_POINTER (response.outcome == SITE_COMPLETED);
}

/* Guards against requests to an evacuated data centre, against streams there that are cut off, and
 * against a data centre that stays unused. */
static void
an_evacuation_ends_new_requests_and_no_running_ones (void **state)
{
  GThread *streams[LONG_STREAMS];
  struct caller_ sum;
  int64_t before;
  json_t *counts;
  unsigned there = 0;

  for (unsigned i = 0; i < LONG_STREAMS; i++)
    streams[i] = g_thread_new ("stream", run_long_stream_, GUINT_TO_POINTER (i));
  g_usleep (SETTLE_MS * US_PER_MS);
  start_callers_ (NULL);
  g_usleep (SETTLE_MS * US_PER_MS);
  assert_true (received_ (1) > 0 && received_ (2) > 0);
  evacuate_ ("zone-1", true);
  for (unsigned i = 0; i < LONG_STREAMS; i++)
    assert_true (GPOINTER_TO_INT (g_thread_join (streams[i])));
  assert_true (effect_ms_ (1) < SETTLE_MS);
  counts = site_fleet_counts (fleet);
  for (unsigned i = 0; i < LONG_STREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("long-%u", i);
      json_t *runs = json_object_get (json_object_get (counts, "runs"), id);

      assert_int_equal (json_array_size (runs), 1);
      /* Servers are named i-INDEX, and those in zone-1 have even numbers. */
      there += (json_string_value (json_array_get (runs, 0))[2] - '0') % ZONES == 0;
    }
  json_decref (counts);
  assert_true (there > 0);
  before = received_ (1);
  evacuate_ ("zone-1", false);
  g_usleep (EFFECT_MAX_MS * US_PER_MS);
  sum = stop_callers_ ();
  assert_true (received_ (1) > before);
  assert_true (sum.completed > 0);
  assert_int_equal (sum.refused + sum.other, 0);
}

/* Guards against a withdrawal that ends, or does not end, the wrong evacuation. */
static void
one_of_two_evacuations_is_withdrawn_at_once (void **state)
{
  struct caller_ sum;
  int64_t before;

  start_callers_ (NULL);
  g_usleep (SETTLE_MS * US_PER_MS);
  evacuate_ ("zone-2", true);
  evacuate_ ("zone-1", true);
  evacuate_ ("zone-2", false);
  g_usleep (EFFECT_MAX_MS * US_PER_MS);
  before = received_ (2);
  g_usleep (SETTLE_MS * US_PER_MS);
  assert_true (received_ (2) > before);
  assert_true (effect_ms_ (1) < SETTLE_MS);
  sum = stop_callers_ ();
  assert_true (sum.completed > 0);
  assert_int_equal (sum.other, 0);
}

/* Guards against requests that wait, or run, when no data centre is left, and against an early
 * return of all callers. */
static void
when_all_data_centres_are_evacuated_requests_are_refused (void **state)
{
  int64_t before;

  evacuate_ ("zone-1", true);
  evacuate_ ("zone-2", true);
  g_usleep (SETTLE_MS * US_PER_MS);
  before = received_ (1) + received_ (2);
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      g_autofree char *id = g_strdup_printf ("all-%u", i);
      struct site_response response = send_ (i, i % 2 == 0 ? "/stream/a" : "/safe/a", 12, id);

      assert_int_equal (response.outcome, SITE_NOT_RUN);
      assert_int_equal (response.status, 503);
      assert_true (response.retry_after_s > 0);
      assert_true (response.duration_ms < 200);
      assert_int_equal (site_fleet_ready_status (fleet, i), 200);
    }
  assert_int_equal (received_ (1) + received_ (2), before);
  evacuate_ ("zone-2", false);
  g_usleep (SETTLE_MS * US_PER_MS);
  assert_int_equal (send_ (1, "/safe/a", 0, "after-all").outcome, SITE_COMPLETED);
}

/* Guards against an instance that starts during an evacuation and sends there before it knows. */
static void
an_instance_that_starts_during_an_evacuation_sends_nothing_there (void **state)
{
  int64_t before;

  evacuate_ ("zone-1", true);
  g_usleep (SETTLE_MS * US_PER_MS);
  before = received_ (1);
  for (unsigned round = 0; round < 5; round++)
    {
      int64_t end_us;

      harness_process_kill (fleet->instances[2]);
      assert_true (site_fleet_start_instance (fleet, 2));
      end_us = g_get_monotonic_time () + 500 * US_PER_MS;
      /* Sent before it is ready, too. */
      for (unsigned i = 0; g_get_monotonic_time () < end_us; i++)
        {
          g_autofree char *id = g_strdup_printf ("new-%u-%u", round, i);

          send_ (2, "/safe/a", 0, id);
          g_usleep (2 * US_PER_MS);
        }
      assert_true (site_fleet_wait_ready (fleet, 2, HARNESS_WAIT_MS));
    }
  assert_int_equal (received_ (1), before);
  assert_int_equal (send_ (2, "/safe/a", 0, "new-ready").outcome, SITE_COMPLETED);
}

/* Guards against an evacuation that no watch of the fleet shows: lists must find it in time. */
static void
an_evacuation_that_all_watches_miss_takes_effect_in_time (void **state)
{

  assert_true (site_fleet_control (fleet, "/store?mode=blind"));
  start_callers_ ("/safe/a");
  g_usleep (SETTLE_MS * US_PER_MS);
  evacuate_ ("zone-1", true);
  g_usleep (LIMIT_MS * US_PER_MS);
  assert_int_equal (stop_callers_ ().other, 0);
  assert_true (effect_ms_ (1) < EFFECT_MAX_MS);
}

/* Guards against an instance that forgets an evacuation when it can't reach the store. */
static void
without_the_store_evacuations_stay_in_force (void **state)
{
  int64_t before;

  evacuate_ ("zone-1", true);
  g_usleep (SETTLE_MS * US_PER_MS);
  before = received_ (1);
  assert_true (site_fleet_control (fleet, "/store?mode=silent"));
  for (unsigned i = 0; i < 40; i++)
    {
      g_autofree char *id = g_strdup_printf ("out-%u", i);

      assert_int_equal (send_ (1 + i % INSTANCES, "/safe/a", 0, id).outcome, SITE_COMPLETED);
      g_usleep (100 * US_PER_MS);
    }
  assert_int_equal (received_ (1), before);
}

/* Guards against an instance that was cut off from the store when the evacuation began, and learns
 * of it late after its return: by connections that stay open and silent, and by ones that are
 * reset. */
static void
an_instance_that_returns_to_the_store_follows_in_time (void **state)
{
  static const char *const modes[] = { "silence", "cut" };

  for (size_t k = 0; k < G_N_ELEMENTS (modes); k++)
    {
      assert_true (site_fleet_add_rule (fleet, 2, modes[k], 0));
      start_callers_ ("/safe/a");
      g_usleep (SETTLE_MS * US_PER_MS);
      evacuate_ ("zone-1", true);
      g_usleep (ABSENCE_MS * US_PER_MS);
      assert_true (site_fleet_clear_rules (fleet));
      g_usleep (LIMIT_MS * US_PER_MS);
      assert_int_equal (stop_callers_ ().other, 0);
      assert_true (effect_ms_ (1) < ABSENCE_MS + EFFECT_MAX_MS);
      evacuate_ ("zone-1", false);
      g_usleep (EFFECT_MAX_MS * US_PER_MS);
    }
}

/* Guards against requests to an evacuated data centre after a restore of the store from a copy that
 * lacks the evacuation, until it is requested again. */
static void
an_evacuation_that_a_restore_lost_stays_in_force (void **state)
{

  start_callers_ ("/safe/a");
  g_usleep (1500 * US_PER_MS);
  evacuate_ ("zone-1", true);
  g_usleep (SETTLE_MS * US_PER_MS);
  assert_true (site_fleet_control (fleet, "/restore?age_ms=1000"));
  g_usleep (LIMIT_MS / 2 * US_PER_MS);
  assert_true (effect_ms_ (1) < SETTLE_MS);
  /* The evacuation that is requested again counts anew: nothing may arrive after it. */
  evacuate_ ("zone-1", true);
  g_usleep ((LIMIT_MS + SETTLE_MS) * US_PER_MS);
  assert_int_equal (stop_callers_ ().other, 0);
  assert_int_equal (effect_ms_ (1), 0);
}

/* Guards against a misspelled name that stops requests. */
static void
a_name_that_is_not_a_data_centre_changes_nothing (void **state)
{
  int64_t before = received_ (1);

  evacuate_ ("ZONE-1", true);
  g_usleep (SETTLE_MS * US_PER_MS);
  for (unsigned i = 0; i < 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("name-%u", i);

      assert_int_equal (send_ (1 + i % INSTANCES, "/safe/a", 0, id).outcome, SITE_COMPLETED);
    }
  assert_true (received_ (1) > before);
  evacuate_ ("ZONE-1", false);
}

/* Guards against store calls, or an effect, where the settings don't ask for evacuations. */
static void
without_the_setting_nothing_is_called_and_nothing_changes (void **state)
{
  static const struct site_options options = { .name = "evacuation-off",
                                               .port_base = PORT_BASE + 50,
                                               .instances = 1,
                                               .plain_backends = 1,
                                               .prepaid = PREPAID_TOKENS };
  struct site_fleet *before = fleet;
  json_t *counts;

  fleet = site_fleet_start (&options);
  assert_non_null (fleet);
  evacuate_ ("zone-1", true);
  g_usleep (SETTLE_MS * US_PER_MS);
  assert_int_equal (send_ (1, "/safe/a", 0, "off").outcome, SITE_COMPLETED);
  counts = site_fleet_counts (fleet);
  assert_int_equal (json_integer_value (json_object_get (counts, "evacuation_calls")), 0);
  json_decref (counts);
  site_fleet_stop (fleet);
  fleet = before;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (an_evacuation_ends_new_requests_and_no_running_ones,
                               end_evacuations),
    cmocka_unit_test_teardown (one_of_two_evacuations_is_withdrawn_at_once, end_evacuations),
    cmocka_unit_test_teardown (when_all_data_centres_are_evacuated_requests_are_refused,
                               end_evacuations),
    cmocka_unit_test_teardown (an_instance_that_starts_during_an_evacuation_sends_nothing_there,
                               end_evacuations),
    cmocka_unit_test_teardown (an_evacuation_that_all_watches_miss_takes_effect_in_time,
                               end_evacuations),
    cmocka_unit_test_teardown (without_the_store_evacuations_stay_in_force, end_evacuations),
    cmocka_unit_test_teardown (an_instance_that_returns_to_the_store_follows_in_time,
                               end_evacuations),
    cmocka_unit_test_teardown (an_evacuation_that_a_restore_lost_stays_in_force, end_evacuations),
    cmocka_unit_test_teardown (a_name_that_is_not_a_data_centre_changes_nothing, end_evacuations),
    cmocka_unit_test (without_the_setting_nothing_is_called_and_nothing_changes),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
