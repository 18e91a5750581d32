/* Servers that break their responses off by a reset, with the last bytes that they send, and those
 * that end them in order; also while the request is still being sent. Responses without a length
 * are complete only in the second case. And servers that send what is no response. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 35500,
  INSTANCES = 1,
  MODEL_BACKENDS = 2,
  PLAIN_BACKENDS = 2,
  PREPAID_TOKENS = 100000000,
  BODY_MAX_BYTES = 4000000,
  UPLOAD_BYTES = 3500000, /* more than the sockets on the way to the server take */
  REQUESTS = 36,
  MODEL_EVENTS = 20,
  TOKENS_PER_EVENT = 6
};

static struct site_fleet *fleet;
static unsigned ids;

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "cut-answers",
                                               .port_base = PORT_BASE,
                                               .instances = INSTANCES,
                                               .model_backends = MODEL_BACKENDS,
                                               .plain_backends = PLAIN_BACKENDS,
                                               .event_interval_ms = 2,
                                               .prepaid = PREPAID_TOKENS,
                                               .body_max_bytes = BODY_MAX_BYTES };

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

/* Sends a request of BODY_BYTES. The caller owns the reply. */
static struct raw_http_response *
call (const char *path, const char *id, size_t body_bytes)
{
  g_autofree char *body = g_strnfill (body_bytes, 'b');
  g_autofree char *bytes
      = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: %s\r\n"
                         "X-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         path, id, body_bytes, body);

  return site_call_raw (fleet, 1, bytes);
}

/* Forms of the responses of plain servers, beside what the cases add. */
static const char *const forms[]
    = { "early=0", "early=1", "early=1&filler=70000", "early=1&status=404" };

/* Neither the gateway's kernel nor its event loop tells such an end from an orderly one unless
 * asked in time: callers got the part as a complete response. */
static void
a_response_without_length_that_is_reset_is_not_passed_on_as_complete (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (forms) * REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      g_autofree char *form
          = g_strdup_printf ("mode=ok&unframed=1&reset=1&%s", forms[i / REQUESTS]);
      bool is_once = i % 2 == 0;
      struct raw_http_response *reply;
      unsigned runs;

      assert_true (
          site_fleet_set_backends (fleet, MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS, form));
      reply = call (is_once ? "/once/a" : "/safe/a", id, i % 3 == 0 ? 4 : UPLOAD_BYTES);
      runs = run_count (id);
      if (reply->status != 502)
        print_message ("%s: status %d, complete %d, closed in order %d, %u runs\n", form,
                       reply->status, reply->complete, reply->closed, runs);
      assert_true (reply->status == 502 || (!reply->complete && !reply->closed));
      assert_true (reply->status != 503 || runs == 0);
      assert_true (!is_once || runs <= 1);
      raw_reply_free (reply);
    }
}

static void
a_stream_without_length_that_is_reset_is_not_passed_on_as_complete (void **state)
{
  assert_true (site_fleet_set_backends (fleet, 0, MODEL_BACKENDS, "mode=reset_unframed"));
  for (unsigned i = 0; i < 2 * REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      const struct site_request request = { .instance = 1,
                                            .path = i % 2 == 0 ? "/stream/a" : "/resume/a",
                                            .id = id,
                                            .input_tokens = 100,
                                            .output_tokens = MODEL_EVENTS * TOKENS_PER_EVENT };
      struct raw_http_response *reply = site_call (fleet, &request);

      assert_false (reply->complete);
      assert_false (reply->closed);
      raw_reply_free (reply);
    }
}

static void
a_response_without_length_that_ends_in_order_is_passed_on_whole (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (forms) * REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      g_autofree char *form = g_strdup_printf ("mode=ok&unframed=1&%s", forms[i / REQUESTS]);
      g_autofree char *begin = g_strdup_printf ("answer to %s", id);
      struct raw_http_response *reply;

      assert_true (
          site_fleet_set_backends (fleet, MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS, form));
      reply = call ("/once/a", id, i % 3 == 0 ? 4 : UPLOAD_BYTES);
      assert_int_equal (reply->status, i / REQUESTS == 3 ? 404 : 200);
      assert_true (reply->closed || reply->complete);
      assert_true (g_str_has_prefix (reply->body->str, begin));
      assert_int_equal (reply->body->len, strlen (begin) + (i / REQUESTS == 2 ? 70000 : 0));
      raw_reply_free (reply);
    }
}

/* It was dropped when the reset met the rest of the request first. */
static void
an_early_response_with_its_length_is_passed_on_although_it_is_reset (void **state)
{
  for (unsigned i = 0; i < 2 * REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      g_autofree char *form = g_strdup_printf ("mode=ok&early=1&reset=1&chunked=%u", i / REQUESTS);
      g_autofree char *body = g_strdup_printf ("answer to %s", id);
      struct raw_http_response *reply;

      assert_true (
          site_fleet_set_backends (fleet, MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS, form));
      reply = call ("/once/a", id, UPLOAD_BYTES);
      assert_int_equal (reply->status, 200);
      assert_true (reply->complete);
      assert_string_equal (reply->body->str, body);
      raw_reply_free (reply);
    }
}

/* "@" stands for the id of the request. All but one thing is as in a sound response. */
#define SOUND_FIELDS "X-Request-Id: @\r\nX-Response-Seal: seal-@\r\n"
#define SOUND_END "Content-Length: 6\r\n\r\nanswer"

static const char *const no_responses[] = {
  "HTTP/1.1 000 OK\r\n" SOUND_FIELDS SOUND_END,
  "HTTP/1.1 0200 OK\r\n" SOUND_FIELDS SOUND_END,
  "HTTP/1.1  200 OK\r\n" SOUND_FIELDS SOUND_END,
  "HTTP/1.1 099 OK\r\n" SOUND_FIELDS SOUND_END,
  "HTTP/1.1 600 OK\r\n" SOUND_FIELDS SOUND_END,
  "HTTP/1.1 200 O\x01K\r\n" SOUND_FIELDS SOUND_END,
  "HTTP/1.1 101 Other\r\n\r\nHTTP/1.1 200 OK\r\n" SOUND_FIELDS SOUND_END,
  "HTTP/1.1 000 More\r\n\r\nHTTP/1.1 200 OK\r\n" SOUND_FIELDS SOUND_END,
  "HTTP/1.1 100 More\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n" SOUND_FIELDS SOUND_END,
  "HTTP/1.1 200 OK\r\n" SOUND_FIELDS "X Y: 1\r\n" SOUND_END,
  "HTTP/1.1 200 OK\r\n" SOUND_FIELDS " X: 1\r\n" SOUND_END,
  "HTTP/1.1 200 OK\r\n" SOUND_FIELDS "X : 1\r\n" SOUND_END,
  "HTTP/1.1 200 OK\r\n" SOUND_FIELDS "X\x01Y: 1\r\n" SOUND_END,
  "HTTP/1.1 200 OK\r\n" SOUND_FIELDS "X\x7f: 1\r\n" SOUND_END,
  "HTTP/1.1 200 OK\r\n" SOUND_FIELDS "Content\tLength: 2\r\n" SOUND_END,
  "HTTP/1.1 500 Error\r\n" SOUND_FIELDS "X Y: 1\r\n" SOUND_END,
  "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n" SOUND_FIELDS "X Y: 1\r\n" SOUND_END,
};

/* Sends REQUESTS for each of RESPONSES, which servers send in place of a sound one and whose status
 * is that of a success: callers get neither them nor a promise that their request has not run. */
static void
assert_no_responses_ (const char *const *responses, size_t count)
{
  for (unsigned i = 0; i < count * 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%u", ++ids);
      g_autoptr (GString) form = g_string_new ("mode=ok&place=instead&stray=");
      bool is_once = i % 2 == 0;
      struct raw_http_response *reply;

      for (const char *at = responses[i / 4]; *at != '\0'; at++)
        g_string_append_printf (form, "%02x", (unsigned)(guint8)*at);
      g_string_append_printf (form, "&pieces=%u", i / 2 % 2);
      assert_true (site_fleet_set_backends (fleet, MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS,
                                            form->str));
      reply = call (is_once ? "/once/a" : "/safe/a", id, 4);
      if (reply->status != 502)
        print_message ("%s: status %d\n", responses[i / 4], reply->status);
      assert_int_equal (reply->status, 502);
      assert_int_equal (reply->seal->len, 0);
      if (is_once)
        assert_int_equal (run_count (id), 1);
      raw_reply_free (reply);
      assert_int_equal (clear_faults (NULL), 0);
      reply = call ("/once/a", id, 4);
      assert_int_equal (reply->status, 200);
      raw_reply_free (reply);
    }
}

static void
a_head_that_is_none_is_not_passed_on (void **state)
{
  assert_no_responses_ (no_responses, G_N_ELEMENTS (no_responses));
}

#define CHUNKED_HEAD "HTTP/1.1 200 OK\r\n" SOUND_FIELDS "Transfer-Encoding: chunked\r\n\r\n"

static const char *const no_bodies[] = {
  CHUNKED_HEAD "6\r\nanswerXY0\r\n\r\n",
  CHUNKED_HEAD "6 x\r\nanswer\r\n0\r\n\r\n",
  CHUNKED_HEAD "6\r\nanswer\r\n0\r\nX Y: 1\r\n\r\n",
  CHUNKED_HEAD "6\r\nanswer\r\n0\r\nX : 1\r\n\r\n",
  CHUNKED_HEAD "6\r\nanswer\r\n0\r\nX\x01Y: 1\r\n\r\n",
  CHUNKED_HEAD "6\r\nanswer\r\n0\r\nX: 1\n\r\n",
};

static void
a_chunked_body_that_is_none_is_not_passed_on (void **state)
{
  assert_no_responses_ (no_bodies, G_N_ELEMENTS (no_bodies));
}

#define CASE(function) cmocka_unit_test_teardown (function, clear_faults)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CASE (a_head_that_is_none_is_not_passed_on),
    CASE (a_chunked_body_that_is_none_is_not_passed_on),
    CASE (a_response_without_length_that_is_reset_is_not_passed_on_as_complete),
    CASE (a_stream_without_length_that_is_reset_is_not_passed_on_as_complete),
    CASE (a_response_without_length_that_ends_in_order_is_passed_on_whole),
    CASE (an_early_response_with_its_length_is_passed_on_although_it_is_reset),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
