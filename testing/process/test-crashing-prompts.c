/* A part of a prompt that ends each backend server which begins to answer a request with it, played
 * against real gateway processes: few servers end, no more requests than needed are refused, and
 * unrelated ends of servers block nothing. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 34600,
  INSTANCES = 5,
  MODEL_BACKENDS = 9,
  PREPAID_TOKENS = 100000000,
  DOWN_MS = 1500, /* from the end of a backend server to its next process */
  REQUESTS = 12,
  ENDS_MAX = 4,                 /* of backend servers by one part */
  REQUEST_INTERVAL_US = 100000, /* in which an end is noticed and reported to peers */
  SAVE_US = 4000000,            /* in which the store has what is blocked */
  GOSSIP_US = 1500000,          /* in which an instance that has just started learns from peers */
  REFUSAL_MAX_MS = 300
};

static struct site_fleet *fleet;
static unsigned ids;

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "crashing-prompts",
                                               .port_base = PORT_BASE,
                                               .instances = INSTANCES,
                                               .model_backends = MODEL_BACKENDS,
                                               .plain_backends = 1,
                                               .event_interval_ms = 20,
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

/* Starts a case with a crashing part of its own, and with all backend servers up. */
static void
set_crash_part_ (const char *part)
{
  g_autofree char *settings = g_strdup_printf ("crash_part=%s&down_ms=%d", part, DOWN_MS);

  assert_true (site_fleet_set_backends (fleet, 0, MODEL_BACKENDS, settings));
}

static struct site_response
send_parts_ (unsigned instance, const char *path, const char *shared_parts)
{
  g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
  g_autofree char *parts = g_strdup_printf ("%s,%x:100", shared_parts, 0x7000000 + ids);
  const struct site_request request = { .instance = instance,
                                        .path = path,
                                        .id = id,
                                        .input_tokens = 1000,
                                        .output_tokens = 120,
                                        .parts = parts };

  return site_send (fleet, &request);
}

static unsigned
count_ (const char *name)
{
  json_t *counts = site_fleet_counts (fleet);
  unsigned count = (unsigned)harness_json_number (counts, name);

  json_decref (counts);
  return count;
}

static void
a_part_that_ends_backend_servers_is_refused_by_all_instances (void **state)
{
  unsigned refused = 0;
  unsigned before;

  set_crash_part_ ("bad1");
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      struct site_response sound
          = send_parts_ (1 + i % INSTANCES, "/stream/a", "aaaa:500,5a5a:300");
      struct site_response bad
          = send_parts_ (1 + (i + 2) % INSTANCES, "/stream/a", "aaaa:500,bad1:300");

      assert_int_equal (sound.outcome, SITE_COMPLETED);
      if (bad.outcome == SITE_NOT_RUN)
        {
          refused++;
          assert_true (bad.duration_ms < REFUSAL_MAX_MS);
          assert_true (bad.retry_after_s > 0);
        }
      g_usleep (REQUEST_INTERVAL_US);
    }
  assert_in_range (count_ ("crashes"), 1, ENDS_MAX);
  assert_true (refused >= REQUESTS - ENDS_MAX);
  /* An instance that starts later learns it from its peers. */
  before = count_ ("crash_arrivals");
  harness_process_kill (fleet->instances[1]);
  assert_true (site_fleet_start_instance (fleet, 1));
  assert_true (site_fleet_wait_ready (fleet, 1, HARNESS_WAIT_MS));
  g_usleep (GOSSIP_US);
  for (unsigned i = 1; i <= INSTANCES; i++)
    assert_int_equal (send_parts_ (i, "/stream/a", "aaaa:500,bad1:300").outcome, SITE_NOT_RUN);
  assert_int_equal (count_ ("crash_arrivals"), before);
}

/* Depends on the case before. */
static void
a_blocked_part_stays_blocked_when_all_instances_start_again (void **state)
{
  unsigned before = count_ ("crash_arrivals");

  g_usleep (SAVE_US);
  for (unsigned i = 1; i <= INSTANCES; i++)
    harness_process_kill (fleet->instances[i]);
  for (unsigned i = 1; i <= INSTANCES; i++)
    assert_true (site_fleet_start_instance (fleet, i));
  for (unsigned i = 1; i <= INSTANCES; i++)
    assert_true (site_fleet_wait_ready (fleet, i, HARNESS_WAIT_MS));
  for (unsigned i = 1; i <= INSTANCES; i++)
    assert_int_equal (send_parts_ (i, "/stream/a", "aaaa:500,bad1:300").outcome, SITE_NOT_RUN);
  assert_int_equal (count_ ("crash_arrivals"), before);
}

static void
a_resumable_stream_with_such_a_part_is_not_sent_on_and_on (void **state)
{
  unsigned before = count_ ("crashes");

  set_crash_part_ ("bad2");
  for (unsigned i = 0; i < 12; i++)
    {
      send_parts_ (1 + i % INSTANCES, "/resume/a", "aaaa:500,bad2:300");
      g_usleep (REQUEST_INTERVAL_US);
    }
  assert_in_range (count_ ("crashes") - before, 1, ENDS_MAX);
}

/* The companion occurs only beside the crashing part until servers have ended. */
static void
sound_parts_beside_a_crashing_part_are_not_refused (void **state)
{
  set_crash_part_ ("bad3");
  for (unsigned i = 0; i < 6; i++)
    {
      send_parts_ (1 + i % INSTANCES, "/stream/a", "c0c0:500,bad3:300");
      g_usleep (REQUEST_INTERVAL_US);
    }
  assert_int_equal (send_parts_ (1, "/stream/a", "c0c0:500,bad3:300").outcome, SITE_NOT_RUN);
  for (unsigned i = 0; i < 10; i++)
    assert_int_equal (send_parts_ (1 + i % INSTANCES, "/stream/a", "c0c0:500,1d1d:300").outcome,
                      SITE_COMPLETED);
}

static void
unrelated_ends_of_backend_servers_block_nothing (void **state)
{
  set_crash_part_ ("0");
  g_usleep (DOWN_MS * 1000 + GOSSIP_US);
  for (unsigned i = 0; i < MODEL_BACKENDS - 1; i++)
    {
      g_autofree char *crash = g_strdup_printf ("/backend?index=%u&crash=1", i);

      assert_true (site_fleet_control (fleet, crash));
      for (unsigned k = 0; k < 3; k++)
        {
          struct site_response answer
              = send_parts_ (1 + (i + k) % INSTANCES, "/stream/a", "aaaa:500,50d0:300");

          assert_int_equal (answer.outcome, SITE_COMPLETED);
        }
      g_usleep (DOWN_MS * 300);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_part_that_ends_backend_servers_is_refused_by_all_instances),
    cmocka_unit_test (a_blocked_part_stays_blocked_when_all_instances_start_again),
    cmocka_unit_test (a_resumable_stream_with_such_a_part_is_not_sent_on_and_on),
    cmocka_unit_test (sound_parts_beside_a_crashing_part_are_not_refused),
    cmocka_unit_test (unrelated_ends_of_backend_servers_block_nothing),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
