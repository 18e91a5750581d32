/* Callers that compete for too little capacity: what servers are told, and what callers get when
 * servers take no more requests. */
#include "testing/harness/site.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 35200,
  PREPAID = 1000000,
  REQUESTS = 60
};

static struct site_fleet *
start_ (const char *contracts)
{
  const struct site_options options = { .name = "competing-callers",
                                        .port_base = PORT_BASE,
                                        .instances = 1,
                                        .model_backends = 2,
                                        .plain_backends = 1,
                                        .event_interval_ms = 1,
                                        .contracts = contracts,
                                        .prepaid = PREPAID };

  return site_fleet_start (&options);
}

/* Sends a request to PATH that states the highest urgency itself. */
static void
send_urgent_ (struct site_fleet *fleet, const char *path, const char *id)
{
  g_autofree char *bytes = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
      "X-Request-Urgency: 0\r\nx-request-urgency: 1\r\nAuthorization: Token key-1\r\n"
      "X-Token-Counts: 100,12\r\nX-Prompt-Prefix: 5c1e:100\r\nContent-Length: 4\r\n\r\nbody",
      path, id);
  struct raw_http_response *response = site_call_raw (fleet, 1, bytes);

  assert_int_equal (response->status, 200);
  raw_reply_free (response);
}

/* Guards against a caller that sets its own urgency, and against requests whose server is told none
 * where callers compete, or one where they do not. */
static void
servers_are_told_the_rank_only_where_callers_compete (void **state)
{
  static const struct
  {
    const char *contracts;
    const char *urgency; /* of a request to /stream/; NULL: none */
  } cases[] = { { NULL, NULL }, { "", NULL }, { "calm", NULL }, { "calm,pressure", "2" } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct site_fleet *fleet = start_ (cases[i].contracts);
      json_t *urgencies;
      json_t *counts;

      assert_non_null (fleet);
      send_urgent_ (fleet, "/stream/a", "model");
      send_urgent_ (fleet, "/safe/a", "plain");
      counts = site_fleet_counts (fleet);
      urgencies = json_object_get (counts, "urgencies");
      if (cases[i].urgency == NULL)
        assert_true (json_is_null (json_object_get (urgencies, "model")));
      else
        assert_string_equal (json_string_value (json_object_get (urgencies, "model")),
                             cases[i].urgency);
      assert_true (json_is_null (json_object_get (urgencies, "plain")));
      json_decref (counts);
      site_fleet_stop (fleet);
    }
}

/* Guards against refusals that are not true, and against servers that are not used again, after
 * they have refused everything for some time. */
static void
servers_that_refused_all_are_used_again (void **state)
{
  struct site_fleet *fleet = start_ ("pressure");
  unsigned refused = 0;
  unsigned completed = 0;
  json_t *counts;

  assert_non_null (fleet);
  assert_true (site_fleet_set_backends (fleet, 0, 2, "mode=shed"));
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("shed-%u", i);
      const struct site_request request = { .instance = 1,
                                            .path = "/stream/a",
                                            .id = id,
                                            .input_tokens = 100,
                                            .output_tokens = 12,
                                            .deadline_ms = 1000 };
      struct site_response response = site_send (fleet, &request);

      assert_int_equal (response.outcome, SITE_NOT_RUN);
      assert_true (response.retry_after_s > 0 && response.retry_after_s < 1);
      refused++;
    }
  assert_true (site_fleet_set_backends (fleet, 0, 2, "mode=ok"));
  for (int64_t end_us = g_get_monotonic_time () + 20 * G_USEC_PER_SEC;
       completed < REQUESTS && g_get_monotonic_time () < end_us;)
    {
      g_autofree char *id = g_strdup_printf ("ok-%" G_GINT64_FORMAT, g_get_monotonic_time ());
      const struct site_request request = {
        .instance = 1, .path = "/stream/a", .id = id, .input_tokens = 100, .output_tokens = 12
      };
      struct site_response response = site_send (fleet, &request);

      completed += response.outcome == SITE_COMPLETED;
      assert_true (response.outcome == SITE_COMPLETED || response.outcome == SITE_NOT_RUN);
      g_usleep (20000);
    }
  counts = site_fleet_counts (fleet);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("shed-%u", i);

      assert_int_equal (site_run_count (counts, id), 0);
    }
  print_message ("%u refused, then %u completed\n", refused, completed);
  assert_int_equal (completed, REQUESTS);
  json_decref (counts);
  site_fleet_stop (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (servers_are_told_the_rank_only_where_callers_compete),
    cmocka_unit_test (servers_that_refused_all_are_used_again),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
