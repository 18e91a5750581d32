/* The entry and callers that are plain sockets: connections, framing, streamed replies, and callers
 * that disconnect. */
#include "entry/entry.h"

#include "entry/raw-request.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  PORT = 20381,
  TIMEOUT_S = 5,
  IDLE_MAX_MS = 1500,
  POLL_US = 10000,
  BODY_MAX_BYTES = 4096,
  DEADLINE_MS = 10000,
  LONG_BYTES = 16000000, /* more than the socket buffers hold */
  TEXT_BYTES = 4000,
  STOPS = 300 /* repetitions of the race between stopping and waking */
};

static const char configuration[]
    = "[team t]\n"
      "key_digest = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae\n"
      "budgets = b\n"
      "[budget b]\n"
      "team = t\n"
      "[service s]\n"
      "kind = model\n"
      "repeatable = yes\n"
      "model = m\n"
      "bytes_per_token_min = 2\n"
      "max_output_tokens = 100\n"
      "[backend e]\n"
      "service = s\n"
      "address = 127.0.0.1\n"
      "port = 9\n"
      "data_centre = d\n"
      "slots = 1\n";
static const char body[] = "{\"prompt\":\"p\",\"max_tokens\":9,\"stream\":true}";

static struct sr_settings settings
    = { .entry_port = PORT, .body_max_bytes = BODY_MAX_BYTES, .default_deadline_ms = DEADLINE_MS };
static struct sr_config_current *current;
static struct sr_run_table *table;
static struct sr_entry *entry;
static unsigned requests;

static void
print_status_ (GString *out, void *data)
{
  g_string_append (out, "{}");
}

static int
set_up_ (void **state)
{
  const struct sr_run_table_options kept = { .answers_kept_max = 2, .answer_kept_us = 1000000 };
  struct sr_findings *findings = sr_findings_new ();
  struct sr_entry_options options
      = { .settings = &settings, .idle_max_ms = IDLE_MAX_MS, .print_status = print_status_ };
  struct sr_config *config;

  settings.name = g_string_new ("i1");
  settings.listen_address = g_string_new ("127.0.0.1");
  current = sr_config_current_new ();
  config = sr_config_parse ("test", configuration, strlen (configuration), 1, findings);
  assert_non_null (config);
  assert_true (sr_config_current_apply (current, config));
  sr_config_unref (config);
  sr_findings_delete (findings);
  table = sr_run_table_new (&kept);
  options.current = current;
  options.table = table;
  entry = sr_entry_new (&options);
  assert_true (sr_entry_start (entry));
  sr_entry_set_ready (entry, true);
  return 0;
}

static int
tear_down_ (void **state)
{
  sr_entry_delete (entry);
  sr_run_table_delete (table);
  sr_config_current_delete (current);
  g_string_free (settings.name, TRUE);
  g_string_free (settings.listen_address, TRUE);
  return 0;
}

static int
connect_ (void)
{
  const struct sockaddr_in address = { .sin_family = AF_INET,
                                       .sin_port = htons (PORT),
                                       .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const struct timeval timeout = { .tv_sec = TIMEOUT_S };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (const struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
send_ (int fd, const char *text)
{
  assert_int_equal (send (fd, text, strlen (text), MSG_NOSIGNAL), strlen (text));
}

/* Appends received bytes to RECEIVED until it ends with END (NULL: until the peer closes). Returns
 * false when the connection breaks, or nothing is received for TIMEOUT_S. */
static bool
read_until_ (int fd, GString *received, const char *end)
{
  char buffer[65536];

  while (end == NULL || !g_str_has_suffix (received->str, end))
    {
      ssize_t length = read (fd, buffer, sizeof buffer);

      if (length <= 0)
        return length == 0 && end == NULL;
      g_string_append_len (received, buffer, length);
    }
  return true;
}

static void
assert_reply_ (int fd, const char *request, const char *begin, const char *end)
{
  g_autoptr (GString) received = g_string_new (NULL);

  send_ (fd, request);
  assert_true (read_until_ (fd, received, end));
  assert_true (g_str_has_prefix (received->str, begin));
}

/* A run, and a caller whose streamed reply comes from it. */
struct stream_
{
  char key[16];
  struct sr_run *run;
  int fd;
  GString *received; /* bytes that the caller has received */
};

static struct sr_run *
begin_run_ (char *key, size_t size)
{
  g_autoptr (GString) text = g_string_new (body);
  struct sr_config *config = sr_config_current_get (current);
  const struct sr_raw_request request
      = { .service = "s", .authorization = "Bearer foo", .idempotency_key = key, .body = text };
  const struct sr_raw_request_options options
      = { .config = config, .generated_id = "m", .default_deadline_ms = DEADLINE_MS };
  struct sr_run_params *params;
  struct sr_run *candidate;
  struct sr_run *run;
  bool stream;

  g_snprintf (key, size, "r%u", ++requests);
  assert_int_equal (sr_raw_request_parse (&request, &options, &params, &stream), SR_ERROR_NONE);
  candidate = sr_run_new (params, config);
  assert_int_equal (sr_run_table_find_or_add (table, candidate, &run), SR_RUN_FOUND_NEW);
  sr_run_unref (candidate);
  sr_config_unref (config);
  sr_run_set_running (run);
  return run;
}

static void
end_run_ (struct sr_run *run, enum sr_outcome outcome)
{
  const struct sr_run_result result = { .outcome = outcome, .error = SR_ERROR_TIMEOUT };

  sr_run_finish (run, &result);
  sr_run_table_ended (table, run);
  sr_run_unref (run);
}

static void
send_request_ (int fd, const char *key, const char *version)
{
  g_autofree char *request
      = g_strdup_printf ("POST /v1/services/s HTTP/%s\r\nHost: h\r\nAuthorization: Bearer foo\r\n"
                         "Idempotency-Key: %s\r\nContent-Length: %zu\r\n\r\n%s",
                         version, key, strlen (body), body);

  send_ (fd, request);
}

/* Starts a run and sends a request with the same key, so that a caller with HTTP/VERSION joins it.
 */
static void
stream_open_ (struct stream_ *stream, const char *version)
{
  stream->run = begin_run_ (stream->key, sizeof stream->key);
  stream->received = g_string_new (NULL);
  stream->fd = connect_ ();
  send_request_ (stream->fd, stream->key, version);
  while (sr_entry_open_requests (entry) == 0)
    g_usleep (POLL_US);
}

static void
stream_close_ (struct stream_ *stream)
{
  close (stream->fd);
  g_string_free (stream->received, TRUE);
}

static void
pipelined_requests_are_answered_in_order (void **state)
{
  int fd = connect_ ();
  g_autoptr (GString) received = g_string_new (NULL);

  send_ (fd, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\nGET /readyz HTTP/1.1\r\nHost: h\r\n\r\n"
             "GET /none HTTP/1.1\r\nHost: h\r\n\r\n");
  assert_true (read_until_ (fd, received, "not found\n"));
  assert_true (strstr (received->str, "\r\n\r\nok\nHTTP/1.1 200 OK\r\n") != NULL);
  assert_true (strstr (received->str, "\r\n\r\nready\nHTTP/1.1 404 Not Found\r\n") != NULL);
  assert_null (strstr (received->str, "Connection: close"));
  assert_reply_ (fd, "GET /status?x=1 HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200 OK\r\n",
                 "\r\n\r\n{}");
  assert_reply_ (fd, "HEAD /healthz HTTP/1.1\r\nHost: h\r\n\r\n",
                 "HTTP/1.1 405 Method Not Allowed\r\n", "\r\n\r\n");
  assert_reply_ (fd, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200 OK\r\n", "\nok\n");
  close (fd);
}

static void
connection_closes_after_reply_with_connection_close (void **state)
{
  static const char *const requests_that_close[]
      = { "GET /healthz HTTP/1.0\r\n\r\n",
          "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" };

  for (unsigned i = 0; i < G_N_ELEMENTS (requests_that_close); i++)
    {
      g_autoptr (GString) received = g_string_new (NULL);
      int fd = connect_ ();

      send_ (fd, requests_that_close[i]);
      assert_true (read_until_ (fd, received, NULL));
      assert_true (g_str_has_suffix (received->str, "\r\n\r\nok\n"));
      assert_true (strstr (received->str, "\r\nConnection: close\r\n") != NULL);
      close (fd);
    }
}

static void
malformed_or_oversized_head_is_rejected (void **state)
{
  g_autofree char *long_value = g_strnfill (20000, 'x');
  g_autofree char *long_head
      = g_strdup_printf ("GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", long_value);
  const char *const bytes[] = { "nothing\r\n\r\n", long_head };
  const char *const replies[] = { "HTTP/1.1 400 ", "HTTP/1.1 431 " };

  for (unsigned i = 0; i < G_N_ELEMENTS (bytes); i++)
    {
      int fd = connect_ ();

      assert_reply_ (fd, bytes[i], replies[i], NULL);
      close (fd);
    }
}

static void
expect_continue_is_answered_and_oversized_body_is_refused (void **state)
{
  g_autofree char *long_body = g_strnfill (BODY_MAX_BYTES + 1, 'x');
  g_autofree char *request
      = g_strdup_printf ("POST /v1/services/s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer foo\r\n"
                         "Content-Length: %d\r\n\r\n%s",
                         BODY_MAX_BYTES + 1, long_body);
  int fd = connect_ ();

  assert_reply_ (fd,
                 "POST /v1/services/s HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                 "Content-Length: 2\r\n\r\n",
                 "HTTP/1.1 100 Continue\r\n", "\r\n\r\n");
  assert_reply_ (fd, "{}", "HTTP/1.1 401 Unauthorized\r\n", "}");
  assert_reply_ (fd, request, "HTTP/1.1 413 ", "}");
  assert_reply_ (fd, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200 OK\r\n", "\nok\n");
  close (fd);
}

/* Waits, because a request counts as open for a moment after its caller has received the reply. */
static void
assert_open_requests_become_ (unsigned expected)
{
  int64_t end_us = g_get_monotonic_time () + TIMEOUT_S * G_USEC_PER_SEC;

  while (sr_entry_open_requests (entry) != expected && g_get_monotonic_time () < end_us)
    g_usleep (POLL_US);
  assert_int_equal (sr_entry_open_requests (entry), expected);
}

/* A retry may follow an attempt that ran at another instance; callers were told that their request
 * had not run. */
static void
early_refusal_of_a_retry_does_not_say_that_it_has_not_run (void **state)
{
  static const struct
  {
    const char *headers;
    const char *outcome;
  } cases[] = { { "", "\"not run\"" },
                { "Idempotency-Key: k\r\nX-Attempt: 1\r\n", "\"not run\"" },
                { "Idempotency-Key: k\r\nX-Attempt: 2\r\n", "\"unknown\"" },
                { "Idempotency-Key: k\r\n", "\"unknown\"" } };
  g_autofree char *long_body = g_strnfill (BODY_MAX_BYTES + 1, 'x');
  const char *const bodies[] = { "{}", long_body };

  for (unsigned i = 0; i < 2 * G_N_ELEMENTS (cases); i++)
    {
      /* No key of a team, and a body beyond the limit. */
      const char *text = bodies[i / G_N_ELEMENTS (cases)];
      g_autofree char *request = g_strdup_printf (
          "POST /v1/services/s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %zu\r\n\r\n%s",
          cases[i % G_N_ELEMENTS (cases)].headers, strlen (text), text);
      g_autoptr (GString) received = g_string_new (NULL);
      int fd = connect_ ();

      send_ (fd, request);
      assert_true (read_until_ (fd, received, "}"));
      assert_non_null (strstr (received->str, cases[i % G_N_ELEMENTS (cases)].outcome));
      close (fd);
    }
}

static void
streamed_reply_is_sent_while_the_run_continues (void **state)
{
  struct stream_ stream;

  stream_open_ (&stream, "1.1");
  sr_run_append (stream.run, "one", 3, 1);
  assert_true (read_until_ (stream.fd, stream.received, "{\"t\":\"one\"}\n\r\n"));
  assert_true (g_str_has_prefix (stream.received->str, "HTTP/1.1 200 OK\r\n"));
  assert_true (strstr (stream.received->str, "\r\nX-Request-Id: r") != NULL);
  assert_open_requests_become_ (1);
  sr_run_append (stream.run, "two", 3, 1);
  assert_true (read_until_ (stream.fd, stream.received, "{\"t\":\"two\"}\n\r\n"));
  end_run_ (stream.run, SR_OUTCOME_ANSWERED);
  assert_true (read_until_ (stream.fd, stream.received, "\r\n0\r\n\r\n"));
  assert_true (strstr (stream.received->str, "\"outcome\":\"answered\"") != NULL);
  stream_close_ (&stream);
}

/* HTTP/1.0 has no chunked encoding: the end of the connection marks the end of the stream. */
static void
http_1_0_caller_gets_stream_without_chunked_encoding (void **state)
{
  struct stream_ stream;

  stream_open_ (&stream, "1.0");
  sr_run_append (stream.run, "one", 3, 1);
  end_run_ (stream.run, SR_OUTCOME_ANSWERED);
  assert_true (read_until_ (stream.fd, stream.received, NULL));
  assert_null (strstr (stream.received->str, "chunked"));
  assert_true (strstr (stream.received->str, "\r\n\r\n{\"t\":\"one\"}\n{") != NULL);
  stream_close_ (&stream);
}

static void
stream_of_a_failed_run_is_not_ended_properly (void **state)
{
  struct stream_ stream;

  stream_open_ (&stream, "1.1");
  sr_run_append (stream.run, "one", 3, 1);
  assert_true (read_until_ (stream.fd, stream.received, "{\"t\":\"one\"}\n\r\n"));
  end_run_ (stream.run, SR_OUTCOME_UNKNOWN);
  assert_false (read_until_ (stream.fd, stream.received, "\r\n0\r\n\r\n"));
  stream_close_ (&stream);
}

/* Guards against lost bytes of a caller that does not read for a while, and against blocking
 * other callers. */
static void
slow_caller_receives_complete_stream_and_blocks_no_other (void **state)
{
  g_autofree char *text = g_strnfill (TEXT_BYTES, 'x'); /* ends with a character of two bytes */
  struct stream_ stream;
  int other = connect_ ();
  size_t received = 0;

  text[TEXT_BYTES - 2] = '\xc3';
  text[TEXT_BYTES - 1] = '\xa9';
  stream_open_ (&stream, "1.1");
  for (unsigned i = 0; i < LONG_BYTES / TEXT_BYTES; i++)
    sr_run_append (stream.run, text, TEXT_BYTES, 1);
  end_run_ (stream.run, SR_OUTCOME_ANSWERED);
  assert_reply_ (other, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200 OK\r\n",
                 "\nok\n");
  assert_open_requests_become_ (1);
  assert_true (read_until_ (stream.fd, stream.received, "\r\n0\r\n\r\n"));
  for (const char *at = strstr (stream.received->str, "\r\n\r\n"); *at != '\0'; at++)
    received += *at == 'x' || *at == '\xc3' || *at == '\xa9';
  assert_int_equal (received, LONG_BYTES);
  stream_close_ (&stream);
  close (other);
}

static void
run_is_abandoned_after_its_caller_disconnects (void **state)
{
  int64_t end_us = g_get_monotonic_time () + TIMEOUT_S * G_USEC_PER_SEC;
  int64_t later_us = end_us + 1000 * G_USEC_PER_SEC;
  struct stream_ stream;

  stream_open_ (&stream, "1.1");
  assert_false (sr_run_is_abandoned (stream.run, later_us));
  stream_close_ (&stream);
  while (sr_entry_open_requests (entry) > 0 && g_get_monotonic_time () < end_us)
    g_usleep (POLL_US);
  assert_true (sr_run_is_abandoned (stream.run, later_us));
  end_run_ (stream.run, SR_OUTCOME_ANSWERED);
}

static void
connection_closes_after_its_reply_once_the_listener_is_closed (void **state)
{
  struct stream_ stream;

  stream_open_ (&stream, "1.1");
  sr_entry_close_listener (entry);
  assert_int_equal (connect_ (), -1);
  sr_run_append (stream.run, "one", 3, 1);
  end_run_ (stream.run, SR_OUTCOME_ANSWERED);
  assert_true (read_until_ (stream.fd, stream.received, NULL));
  assert_true (strstr (stream.received->str, "\r\nConnection: close\r\n") != NULL);
  assert_true (g_str_has_suffix (stream.received->str, "\r\n0\r\n\r\n"));
  stream_close_ (&stream);
}

/* Guards against a race between deleting the entry and a wake-up of its loop: varies the time
 * between the two. */
static void
deleting_the_entry_does_not_race_with_wake_ups (void **state)
{
  for (unsigned i = 0; i < STOPS; i++)
    {
      struct stream_ stream;

      assert_int_equal (set_up_ (state), 0);
      stream_open_ (&stream, "1.1");
      sr_run_append (stream.run, "one", 3, 1);
      /* A request counts as open before it has joined the run. Reading the first line makes sure
       * that it has: if the run ended earlier, a new run would be needed, and this test has no
       * dispatcher to start it. */
      assert_true (read_until_ (stream.fd, stream.received, "{\"t\":\"one\"}\n\r\n"));
      end_run_ (stream.run, SR_OUTCOME_UNKNOWN);
      g_usleep (i % 50);
      assert_int_equal (tear_down_ (state), 0);
      stream_close_ (&stream);
    }
}

/* It ended without a word. */
static void
request_that_stops_arriving_is_refused (void **state)
{
  static const char *const beginnings[]
      = { "POST /v1/services/s HTTP/1.1\r\nHost",
          "POST /v1/services/s HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nha" };

  for (size_t i = 0; i < G_N_ELEMENTS (beginnings); i++)
    {
      int fd = connect_ ();
      GString *received = g_string_new (NULL);

      send_ (fd, beginnings[i]);
      assert_true (read_until_ (fd, received, NULL));
      assert_true (g_str_has_prefix (received->str, "HTTP/1.1 408 "));
      g_string_free (received, TRUE);
      close (fd);
    }
}

/* What came while it was being closed was read and dropped. */
static void
idle_connection_is_closed_without_reading (void **state)
{
  int fd = connect_ ();
  int error = 0;
  socklen_t length = sizeof error;
  char byte;

  assert_int_equal (read (fd, &byte, 1), 0);
  send_ (fd, "GET /status HTTP/1.1\r\nHost: h\r\n\r\n");
  g_usleep (IDLE_MAX_MS * 1000);
  assert_int_equal (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &length), 0);
  assert_int_not_equal (error, 0);
  close (fd);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (pipelined_requests_are_answered_in_order, set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (connection_closes_after_reply_with_connection_close, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (malformed_or_oversized_head_is_rejected, set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (expect_continue_is_answered_and_oversized_body_is_refused,
                                     set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (early_refusal_of_a_retry_does_not_say_that_it_has_not_run,
                                     set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (streamed_reply_is_sent_while_the_run_continues, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (http_1_0_caller_gets_stream_without_chunked_encoding, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (stream_of_a_failed_run_is_not_ended_properly, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (slow_caller_receives_complete_stream_and_blocks_no_other,
                                     set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (run_is_abandoned_after_its_caller_disconnects, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (connection_closes_after_its_reply_once_the_listener_is_closed,
                                     set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (request_that_stops_arriving_is_refused, set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (idle_connection_is_closed_without_reading, set_up_,
                                     tear_down_),
    cmocka_unit_test (deleting_the_entry_does_not_race_with_wake_ups),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
