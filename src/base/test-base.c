#include "base/counters.h"
#include "base/event-log.h"
#include "base/findings.h"
#include "base/rendezvous.h"
#include "base/ring.h"
#include "base/thread.h"

#include <jansson.h>
#include <sched.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PRODUCED_ITEMS = 10000
};

static void *
produce (void *data)
{
  struct sr_ring *ring = data;

  for (uintptr_t i = 1; i <= PRODUCED_ITEMS; i++)
    while (!sr_ring_try_push (ring, (void *)i))
      sched_yield ();
  sr_ring_close (ring);
  return NULL;
}

static void
ring_rejects_items_when_full_or_closed (void **state)
{
  struct sr_ring *ring = sr_ring_new (2);
  int items[3];

  assert_true (sr_ring_try_push (ring, &items[0]));
  assert_true (sr_ring_try_push (ring, &items[1]));
  assert_false (sr_ring_try_push (ring, &items[2]));
  assert_ptr_equal (sr_ring_pop (ring, 0), &items[0]);
  assert_int_equal (sr_ring_length (ring), 1);
  sr_ring_close (ring);
  assert_false (sr_ring_try_push (ring, &items[2]));
  assert_ptr_equal (sr_ring_pop (ring, -1), &items[1]);
  assert_null (sr_ring_pop (ring, -1));
  sr_ring_delete (ring);
}

static void
ring_keeps_order_between_threads (void **state)
{
  struct sr_ring *ring = sr_ring_new (16);
  pthread_t thread;
  uintptr_t expected = 1;
  void *item;

  assert_true (sr_thread_start (&thread, 0, produce, ring));
  while ((item = sr_ring_pop (ring, -1)) != NULL)
    assert_int_equal ((uintptr_t)item, expected++);
  assert_int_equal (expected, PRODUCED_ITEMS + 1);
  pthread_join (thread, NULL);
  sr_ring_delete (ring);
}

static void
findings_keep_their_location (void **state)
{
  struct sr_findings *findings = sr_findings_new ();

  sr_findings_add (findings, "a.ini", 3, "limits", "open_max", "%d is out of range", 7);
  sr_findings_add (findings, "a.ini", 0, NULL, NULL, "is empty");
  assert_int_equal (sr_findings_count (findings), 2);
  assert_int_equal (sr_findings_get (findings, 0)->line, 3);
  assert_string_equal (sr_findings_get (findings, 0)->message->str, "7 is out of range");
  assert_string_equal (sr_findings_get (findings, 1)->section->str, "");
  sr_findings_delete (findings);
}

static void
rendezvous_moves_only_keys_of_removed_candidate (void **state)
{
  g_autoptr (GPtrArray) all = g_ptr_array_new ();
  g_autoptr (GPtrArray) fewer = g_ptr_array_new ();

  g_ptr_array_add (all, "a");
  g_ptr_array_add (all, "b");
  g_ptr_array_add (all, "c");
  g_ptr_array_add (fewer, "a");
  g_ptr_array_add (fewer, "c");
  for (int i = 0; i < 200; i++)
    {
      g_autofree char *key = g_strdup_printf ("key-%d", i);
      g_autoptr (GPtrArray) before = sr_rendezvous_order (key, strlen (key), all);
      g_autoptr (GPtrArray) after = sr_rendezvous_order (key, strlen (key), fewer);
      const char *first = before->pdata[0];

      if (strcmp (first, "b") != 0)
        assert_string_equal (first, after->pdata[0]);
    }
}

static void
metrics_are_printed_with_their_values (void **state)
{
  static struct sr_counter counter = { .name = "test_total", .help = "A test." };
  static struct sr_histogram histogram = { .name = "test_us", .help = "A test." };
  g_autoptr (GString) out = g_string_new (NULL);

  sr_counter_register (&counter);
  sr_counter_register (&counter);
  sr_histogram_register (&histogram);
  sr_counter_add (&counter, 5);
  sr_histogram_observe (&histogram, 150);
  sr_counters_print (out);
  assert_non_null (strstr (out->str, "test_total 5\n"));
  assert_non_null (strstr (out->str, "test_us_bucket{le=\"100\"} 0\n"));
  assert_non_null (strstr (out->str, "test_us_bucket{le=\"200\"} 1\n"));
}

/* No log is running here, so that each line is dropped. */
static void
dropped_log_line_releases_its_values (void **state)
{
  json_t *value = json_array ();

  sr_event (SR_EVENT_WARNING, "event", "{s:o,s:i}", "value", json_incref (value), "number", 1);
  sr_event (SR_EVENT_INFO, "event", "{s:o*}", "value", (json_t *)NULL);
  assert_int_equal (value->refcount, 1);
  json_decref (value);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (ring_rejects_items_when_full_or_closed),
    cmocka_unit_test (ring_keeps_order_between_threads),
    cmocka_unit_test (findings_keep_their_location),
    cmocka_unit_test (rendezvous_moves_only_keys_of_removed_candidate),
    cmocka_unit_test (metrics_are_printed_with_their_values),
    cmocka_unit_test (dropped_log_line_releases_its_values),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
