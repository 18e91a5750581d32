/* Another program writes odd entries among those of the backend servers: the instances go on to
 * follow the other entries, and instances that start later become ready. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 34700,
  INSTANCES = 2,
  MODEL_BACKENDS = 3,
  PREPAID_TOKENS = 100000000,
  DRAIN_MAX_US = 2000000 /* until a leaving backend server gets no more requests */
};

static struct site_fleet *fleet;
static unsigned ids;
static int64_t started_ms = 2000; /* of the backend server that leaves in each case */

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "odd-entries",
                                               .port_base = PORT_BASE,
                                               .instances = INSTANCES,
                                               .model_backends = MODEL_BACKENDS,
                                               .plain_backends = 1,
                                               .event_interval_ms = 2,
                                               .prepaid = PREPAID_TOKENS };

  fleet = site_fleet_start (&options);
  return fleet != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  site_fleet_stop (fleet);
  return 0;
}

static enum site_outcome
send_ (unsigned instance)
{
  g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
  const struct site_request request = {
    .instance = instance, .path = "/stream/a", .id = id, .input_tokens = 100, .output_tokens = 12
  };

  return site_send (fleet, &request).outcome;
}

static enum site_outcome
send_plain_ (unsigned instance)
{
  g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
  const struct site_request request = { .instance = instance, .path = "/safe/a", .id = id };

  return site_send (fleet, &request).outcome;
}

static int64_t
latest_after_leaving_ms (void)
{
  json_t *counts = site_fleet_counts (fleet);
  int64_t latest_ms = json_integer_value (
      json_array_get (json_object_get (counts, "latest_after_leaving_ms"), 0));

  json_decref (counts);
  return latest_ms;
}

static void
assert_followed_after (const char *way)
{
  g_autofree char *odd = g_strdup_printf ("/odd-entry?way=%s", way);
  g_autofree char *back = NULL;

  assert_true (site_fleet_control (fleet, odd));
  g_usleep (DRAIN_MAX_US / 4);
  assert_true (site_fleet_set_backends (fleet, 0, 1, "state=draining"));
  g_usleep (DRAIN_MAX_US);
  for (unsigned i = 0; i < 20; i++)
    assert_int_equal (send_ (1 + i % INSTANCES), SITE_COMPLETED);
  assert_true (latest_after_leaving_ms () < DRAIN_MAX_US / 1000);
  harness_process_kill (fleet->instances[1]);
  assert_true (site_fleet_start_instance (fleet, 1));
  assert_true (site_fleet_wait_ready (fleet, 1, HARNESS_WAIT_MS));
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      assert_true (harness_process_is_running (fleet->instances[i]));
      assert_int_equal (send_ (i), SITE_COMPLETED);
    }
  back = g_strdup_printf ("state=ready&started_ms=%" G_GINT64_FORMAT, (gint64)++started_ms);
  assert_true (site_fleet_set_backends (fleet, 0, 1, back));
}

static void
a_deeply_nested_entry_hides_no_other_one (void **state)
{
  assert_followed_after ("deep");
}

static void
an_entry_with_too_large_a_number_hides_no_other_one (void **state)
{
  assert_followed_after ("number");
  assert_followed_after ("real");
}

static void
an_entry_with_a_port_out_of_range_hides_no_other_one (void **state)
{
  assert_followed_after ("port");
}

static void
an_entry_that_is_no_text_hides_no_other_one (void **state)
{
  assert_followed_after ("bytes");
}

/* Starts all processes anew and checks that each of them has the whole list. */
static void
assert_listed_after_restart (void)
{
  for (unsigned i = 1; i <= INSTANCES; i++)
    harness_process_kill (fleet->instances[i]);
  for (unsigned i = 1; i <= INSTANCES; i++)
    assert_true (site_fleet_start_instance (fleet, i));
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      assert_true (site_fleet_wait_ready (fleet, i, HARNESS_WAIT_MS));
      assert_int_equal (send_ (i), SITE_COMPLETED);
      /* The only plain server is the last one of the list. */
      assert_int_equal (send_plain_ (i), SITE_COMPLETED);
    }
}

/* A list ended at a page whose last entry has no name that can be read. */
static void
a_list_continues_behind_an_entry_without_a_name (void **state)
{
  /* The first two entries of the list, and so its first page. */
  assert_true (site_fleet_control (fleet, "/odd-entry?way=name&name=!"));
  assert_true (site_fleet_control (fleet, "/odd-entry?way=unnamed"));
  assert_true (site_fleet_control (fleet, "/page?objects=2"));
  assert_listed_after_restart ();
  assert_true (site_fleet_control (fleet, "/page?objects=500"));
}

/* A list was not continued behind a name that was written into the request as it was: no instance
 * that started had any backend server. */
static void
a_list_continues_behind_any_name (void **state)
{
  static const char *const names[]
      = { "i-1&x", "i-1+x", "i-1#x", "i-1%x",    "i-1%41",   "i-1 x",      "&",
          "#",     "?=/",   "\"",    "\r\nX: y", "\xc3\xa9", "i-1\r\nX: y" };

  assert_true (site_fleet_control (fleet, "/page?objects=1"));
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autofree char *encoded = g_uri_escape_string (names[i], NULL, FALSE);
      g_autofree char *odd = g_strdup_printf ("/odd-entry?way=name&name=%s", encoded);

      assert_true (site_fleet_control (fleet, odd));
      assert_listed_after_restart ();
    }
  assert_true (site_fleet_control (fleet, "/page?objects=500"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (an_entry_with_a_port_out_of_range_hides_no_other_one),
    cmocka_unit_test (a_deeply_nested_entry_hides_no_other_one),
    cmocka_unit_test (an_entry_with_too_large_a_number_hides_no_other_one),
    cmocka_unit_test (an_entry_that_is_no_text_hides_no_other_one),
    cmocka_unit_test (a_list_continues_behind_an_entry_without_a_name),
    cmocka_unit_test (a_list_continues_behind_any_name),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
