/* Backend servers whose responses are misleading: an earlier refusal sent again, an error of the
 * server that should go on with a stream, streams that end inside an event. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 34800,
  INSTANCES = 1,
  MODEL_BACKENDS = 3,
  PLAIN_BACKENDS = 2,
  PREPAID_TOKENS = 100000000,
  KEPT_US = 40000, /* after which a connection may carry a request that must not run twice */
  REQUESTS = 16,
  SOUND_PER_RETRY = 8 /* requests that earn the budget for one retry */
};

static struct site_fleet *fleet;
static unsigned ids;

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "faulty-responses",
                                               .port_base = PORT_BASE,
                                               .instances = INSTANCES,
                                               .model_backends = MODEL_BACKENDS,
                                               .plain_backends = PLAIN_BACKENDS,
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

static int
clear_faults (void **state)
{
  site_fleet_set_backends (fleet, 0, MODEL_BACKENDS + PLAIN_BACKENDS, "mode=ok");
  return harness_process_is_running (fleet->instances[1]) ? 0 : -1;
}

static unsigned
run_count (const char *id)
{
  json_t *counts = site_fleet_counts (fleet);
  unsigned runs = site_run_count (counts, id);

  json_decref (counts);
  return runs;
}

static void
set_mode (unsigned from, unsigned to, const char *mode)
{
  g_autofree char *settings = g_strdup_printf ("mode=%s", mode);

  assert_true (site_fleet_set_backends (fleet, from, to, settings));
}

static void
assert_refusals_are_true (const char *mode)
{
  set_mode (MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS, mode);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      const struct site_request request
          = { .instance = 1, .path = i % 2 == 0 ? "/once/a" : "/safe/a", .id = id };
      struct site_response answer = site_send (fleet, &request);
      unsigned runs = run_count (id);

      assert_int_not_equal (answer.outcome, SITE_WRONG);
      if (answer.outcome == SITE_NOT_RUN)
        assert_int_equal (runs, 0);
      if (i % 2 == 0)
        assert_true (runs <= 1);
      else
        assert_int_equal (answer.outcome, SITE_COMPLETED);
      g_usleep (KEPT_US);
    }
}

static void
an_earlier_refusal_on_a_kept_connection_is_no_answer (void **state)
{
  assert_refusals_are_true ("stale");
}

static void
an_earlier_misdirection_on_a_kept_connection_is_no_answer (void **state)
{
  assert_refusals_are_true ("stale421");
}

/* The header with the server's id was once read without a check that it is there. */
static void
a_misdirection_without_the_servers_id_does_not_end_the_process (void **state)
{
  set_mode (MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS, "unnamed421");
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      const struct site_request request
          = { .instance = 1, .path = i % 2 == 0 ? "/once/a" : "/safe/a", .id = id };

      assert_int_equal (site_send (fleet, &request).outcome, SITE_NOT_RUN);
      assert_int_equal (run_count (id), 0);
      assert_true (harness_process_is_running (fleet->instances[1]));
    }
}

/* A request without an id once met a connection that had carried another one: its id was read
 * without a check that it is there. Its responses can't be told from late ones to others. */
static void
a_request_without_an_id_does_not_end_the_process (void **state)
{
  static const char *const modes[] = { "ok", "unnamed421", "shed", "stale", "error" };

  for (unsigned i = 0; i < G_N_ELEMENTS (modes) * REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      const struct site_request request = { .instance = 1, .path = "/safe/a", .id = id };
      struct raw_http_response *reply;

      set_mode (MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS, "ok");
      site_send (fleet, &request);
      set_mode (MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS, modes[i / REQUESTS]);
      reply = site_call_raw (fleet, 1,
                             "GET /safe/a HTTP/1.1\r\nHost: site.test\r\n"
                             "Authorization: Token key-1\r\nX-Deadline-Ms: 1000\r\n\r\n");
      assert_int_not_equal (reply->status, 0);
      assert_int_not_equal (reply->status, 200);
      raw_reply_free (reply);
      assert_true (harness_process_is_running (fleet->instances[1]));
    }
}

static void
assert_stream_is_pure (const struct site_request *request)
{
  struct raw_http_response *reply = site_call (fleet, request);
  g_autoptr (GString) expected = site_expected_events (request);
  bool is_stream = reply->status == 200 && g_str_has_prefix (reply->body->str, "id:");

  if (is_stream)
    {
      assert_true (g_str_has_prefix (expected->str, reply->body->str));
      assert_true (!reply->complete || g_string_equal (expected, reply->body));
      assert_true (!reply->closed || g_string_equal (expected, reply->body));
    }
  else
    assert_null (strstr (reply->body->str, "data:"));
  raw_reply_free (reply);
}

static void
an_error_of_the_next_server_is_not_put_into_a_begun_stream (void **state)
{
  static const char *const modes[]
      = { "json", "error", "shed", "other", "reset", "cut", "torn", "stale", "stale421" };

  set_mode (0, 1, "cut");
  for (unsigned i = 0; i < G_N_ELEMENTS (modes) * REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      const struct site_request request = {
        .instance = 1, .path = "/resume/a", .id = id, .input_tokens = 1000, .output_tokens = 60
      };

      set_mode (1, MODEL_BACKENDS, modes[i / REQUESTS]);
      assert_stream_is_pure (&request);
    }
}

/* A server that answers twice: its second copy was joined to the first. */
static void
a_stream_whose_events_come_twice_is_not_passed_on_as_one (void **state)
{
  set_mode (0, MODEL_BACKENDS, "repeat");
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      const struct site_request request = { .instance = 1,
                                            .path = i % 2 == 0 ? "/stream/a" : "/resume/a",
                                            .id = id,
                                            .input_tokens = 1000,
                                            .output_tokens = 60 };

      assert_stream_is_pure (&request);
    }
}

static void
a_stream_that_ends_inside_an_event_is_not_complete (void **state)
{
  static const char *const modes[] = { "torn", "torn_unframed" };

  for (unsigned i = 0; i < G_N_ELEMENTS (modes) * REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      const struct site_request request = { .instance = 1,
                                            .path = i % 2 == 0 ? "/stream/a" : "/resume/a",
                                            .id = id,
                                            .input_tokens = 1000,
                                            .output_tokens = 60 };
      struct raw_http_response *reply;

      set_mode (0, MODEL_BACKENDS, modes[i / REQUESTS]);
      reply = site_call (fleet, &request);
      assert_false (reply->complete);
      assert_false (reply->closed);
      raw_reply_free (reply);
    }
}

static void
a_resumable_stream_that_ends_inside_an_event_goes_on_at_another_server (void **state)
{
  for (unsigned i = 0; i < REQUESTS * SOUND_PER_RETRY; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      const struct site_request request = {
        .instance = 1, .path = "/resume/a", .id = id, .input_tokens = 1000, .output_tokens = 60
      };
      unsigned torn = i / SOUND_PER_RETRY % MODEL_BACKENDS;

      set_mode (0, MODEL_BACKENDS, "ok");
      if (i % SOUND_PER_RETRY == SOUND_PER_RETRY - 1)
        set_mode (torn, torn + 1, "torn");
      assert_int_equal (site_send (fleet, &request).outcome, SITE_COMPLETED);
    }
}

static void
a_stream_that_ends_with_its_connection_is_passed_on_whole (void **state)
{
  set_mode (0, MODEL_BACKENDS, "unframed");
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      const struct site_request request = { .instance = 1,
                                            .path = i % 2 == 0 ? "/stream/a" : "/resume/a",
                                            .id = id,
                                            .input_tokens = 1000,
                                            .output_tokens = 60 };
      struct raw_http_response *reply = site_call (fleet, &request);
      g_autoptr (GString) expected = site_expected_events (&request);

      assert_true (reply->closed);
      assert_string_equal (reply->body->str, expected->str);
      assert_int_equal (run_count (id), 1);
      raw_reply_free (reply);
    }
}

/* A stream that began in chunks got its last chunk when the server that went on with it, without a
 * length or chunks, ended its connection between two events: nobody had said that it was whole. */
static void
a_resumed_stream_without_length_does_not_complete_a_chunked_one (void **state)
{
  unsigned began_in_chunks = 0;

  for (unsigned i = 0; i < REQUESTS * SOUND_PER_RETRY; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      const struct site_request request = {
        .instance = 1, .path = "/resume/a", .id = id, .input_tokens = 1000, .output_tokens = 60
      };
      bool is_faulty = i % SOUND_PER_RETRY == SOUND_PER_RETRY - 1;
      g_autoptr (GString) expected = site_expected_events (&request);
      struct raw_http_response *reply;

      set_mode (0, MODEL_BACKENDS, "ok");
      if (is_faulty)
        {
          set_mode (0, MODEL_BACKENDS, "short_unframed");
          set_mode (i / SOUND_PER_RETRY % MODEL_BACKENDS, i / SOUND_PER_RETRY % MODEL_BACKENDS + 1,
                    "cut");
        }
      reply = site_call (fleet, &request);
      began_in_chunks += is_faulty && !reply->closed;
      assert_true (!reply->complete || g_string_equal (expected, reply->body));
      raw_reply_free (reply);
    }
  assert_true (began_in_chunks > 0);
}

#define CASE(function) cmocka_unit_test_teardown (function, clear_faults)

int
main (void)
{
  /* The case that needs retries comes before those that use up the budget for them. */
  const struct CMUnitTest tests[] = {
    CASE (a_resumable_stream_that_ends_inside_an_event_goes_on_at_another_server),
    CASE (a_resumed_stream_without_length_does_not_complete_a_chunked_one),
    CASE (an_earlier_refusal_on_a_kept_connection_is_no_answer),
    CASE (an_earlier_misdirection_on_a_kept_connection_is_no_answer),
    CASE (a_misdirection_without_the_servers_id_does_not_end_the_process),
    CASE (a_request_without_an_id_does_not_end_the_process),
    CASE (an_error_of_the_next_server_is_not_put_into_a_begun_stream),
    CASE (a_stream_whose_events_come_twice_is_not_passed_on_as_one),
    CASE (a_stream_that_ends_inside_an_event_is_not_complete),
    CASE (a_stream_that_ends_with_its_connection_is_passed_on_whole),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
