/* Gateway instances run as real processes against the stand-in for the users' platform. Covers
 * responses, refusals, budgets, configuration and graceful stops while the store, backend servers
 * or instances fail. */
#include "testing/harness/harness.h"
#include "testing/harness/raw-http.h"
#include "testing/harness/site.h"

#include <errno.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 34100,
  ENTRY_PORT = PORT_BASE + 18, /* as in site.c */
  INSTANCES = 3,
  MODEL_BACKENDS = 3,
  PLAIN_BACKENDS = 2,
  PREPAID_TOKENS = 900000,
  STOP_LATE_PHASE_US = 3300000,     /* after the 3 s in which the load balancer redirects callers */
  REQUEST_INTERVAL_US = 20000,      /* between requests of cases that poll for some time */
  SLOW_REQUEST_INTERVAL_US = 60000, /* slower, so that granted tokens outlast a store outage */
  PROPAGATION_MAX_MS = 2000,  /* until a configuration or a backend server's drain takes effect */
  RECOVERY_MAX_MS = 3000,     /* until budgets are usable after a store outage */
  OPERATOR_REWRITE_MS = 2500, /* until the operator has rewritten the restored store */
  RESPONSE_WAIT_US = 150000,  /* within which a stand-in's response has arrived */
  TOLERANCE_MS = 1000         /* for quick responses, and delays in the stand-in's counts */
};

static struct site_fleet *fleet;
static unsigned ids;

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "gateway-path",
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
  site_fleet_control (fleet, "/store?mode=up");
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      if (!harness_process_is_running (fleet->instances[i]))
        {
          harness_process_kill (fleet->instances[i]);
          site_fleet_start_instance (fleet, i);
        }
      site_fleet_wait_ready (fleet, i, HARNESS_WAIT_MS);
    }
  return 0;
}

static char *
next_id_ (void)
{
  return g_strdup_printf ("id-%u", ++ids);
}

static struct site_response
send_request_ (unsigned instance, const char *path, int64_t output_tokens, const char *id)
{
  const struct site_request request = { .instance = instance,
                                        .path = path,
                                        .id = id,
                                        .input_tokens = output_tokens > 0 ? 1000 : 0,
                                        .output_tokens = output_tokens };

  return site_send (fleet, &request);
}

static void
set_backend_mode_ (unsigned from, unsigned to, const char *mode)
{
  g_autofree char *settings = g_strdup_printf ("mode=%s", mode);

  assert_true (site_fleet_set_backends (fleet, from, to, settings));
}

static unsigned
run_count_ (const char *id)
{
  json_t *counts = site_fleet_counts (fleet);
  unsigned runs = site_run_count (counts, id);

  json_decref (counts);
  return runs;
}

static void
every_caller_receives_its_own_complete_response (void **state)
{
  static const char *const paths[] = { "/stream/a", "/resume/a", "/once/a", "/safe/a" };
  json_t *counts;

  for (unsigned i = 0; i < 60; i++)
    {
      g_autofree char *id = next_id_ ();
      struct site_response answer
          = send_request_ (1 + i % INSTANCES, paths[i % 4], i % 4 < 2 ? 60 : 0, id);

      assert_int_equal (answer.outcome, SITE_COMPLETED);
      assert_int_equal (run_count_ (id), 1);
    }
  counts = site_fleet_counts (fleet);
  assert_int_equal (harness_json_number (counts, "keys_seen"), 0);
  json_decref (counts);
}

static void
invalid_requests_are_refused_without_running (void **state)
{
  g_autofree char *address = site_instance_address (1);
  g_autofree char *large = g_strnfill (70000, 'x');
  const struct
  {
    const char *path;
    const char *headers;
    const char *body;
    int status;
  } cases[] = {
    { "/safe/a", "Host: site.test\r\nX-Request-Id: r1\r\n", "b", 401 },
    { "/safe/a", "Host: site.test\r\nX-Request-Id: r2\r\nAuthorization: Token no\r\n", "b", 401 },
    { "/none/a", "Host: site.test\r\nX-Request-Id: r3\r\nAuthorization: Token key-1\r\n", "b",
      404 },
    { "/safe/a", "Host: other.test\r\nX-Request-Id: r4\r\nAuthorization: Token key-1\r\n", "b",
      404 },
    { "/safe/a", "Host: site.test\r\nX-Request-Id: r3\r\nAuthorization: Token key-1\r\n", large,
      413 },
    { "/safe/a", "Host: site.test\r\nHost: site.test\r\nX-Request-Id: r1\r\n", "b", 400 },
    { "/safe/a", "Host: site.test\r\nX-Request-Id: r1\r\n folded: x\r\n", "b", 400 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *bytes
          = g_strdup_printf ("POST %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n%s", cases[i].path,
                             cases[i].headers, strlen (cases[i].body), cases[i].body);
      struct raw_http_response *reply
          = raw_http_call (address, ENTRY_PORT, bytes, strlen (bytes), 10);

      assert_int_equal (reply->status, cases[i].status);
      raw_reply_free (reply);
    }
  assert_int_equal (run_count_ ("r1") + run_count_ ("r2") + run_count_ ("r3") + run_count_ ("r4"),
                    0);
}

/* Whichever way a backend server fails, a request that must not be repeated runs at most once, and
 * a refusal that reports it as not run is correct. */
static void
non_repeatable_requests_run_at_most_once (void **state)
{
  static const char *const modes[]
      = { "shed", "cut", "reset", "silent", "error", "extra", "unframed", "other" };

  for (unsigned i = 0; i < G_N_ELEMENTS (modes) * 6; i++)
    {
      g_autofree char *id = next_id_ ();
      struct site_response answer;
      unsigned runs;

      set_backend_mode_ (MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS, modes[i / 6]);
      answer = send_request_ (1 + i % INSTANCES, "/once/a", 0, id);
      runs = run_count_ (id);
      assert_true (runs <= 1);
      assert_int_not_equal (answer.outcome, SITE_WRONG);
      if (answer.outcome == SITE_NOT_RUN)
        assert_int_equal (runs, 0);
      if (answer.outcome == SITE_COMPLETED)
        assert_int_equal (runs, 1);
      if (strcmp (modes[i / 6], "silent") == 0)
        assert_true (answer.duration_ms >= 1400 && answer.duration_ms < 1500 + TOLERANCE_MS);
    }
}

static void
repeatable_requests_are_retried_on_another_server (void **state)
{
  static const char *const modes[] = { "cut", "reset", "silent", "error", "shed" };

  for (unsigned i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      unsigned answered = 0;

      set_backend_mode_ (MODEL_BACKENDS, MODEL_BACKENDS + 1, modes[i]);
      for (unsigned k = 0; k < 10; k++)
        {
          g_autofree char *id = next_id_ ();

          answered += send_request_ (1 + k % INSTANCES, "/safe/a", 0, id).outcome == SITE_COMPLETED;
          /* Retries are limited to a share of all requests, so other requests must be sent, too. */
          for (unsigned m = 0; m < 8; m++)
            {
              g_autofree char *other = next_id_ ();

              send_request_ (1 + k % INSTANCES, "/safe/a", 0, other);
            }
        }
      assert_true (answered >= 8);
      clear_faults (state);
    }
}

static void
resumable_streams_continue_on_another_server (void **state)
{
  unsigned answered = 0;

  for (unsigned i = 0; i < 12; i++)
    {
      g_autofree char *id = next_id_ ();
      struct site_response answer;

      for (unsigned k = 0; k < 10; k++)
        {
          g_autofree char *other = next_id_ ();

          send_request_ (1 + i % INSTANCES, "/resume/a", 6, other);
        }
      set_backend_mode_ (0, 1, "cut");
      answer = send_request_ (1 + i % INSTANCES, "/resume/a", 120, id);
      clear_faults (state);
      assert_int_not_equal (answer.outcome, SITE_WRONG);
      answered += answer.outcome == SITE_COMPLETED;
    }
  assert_true (answered >= 10);
}

static void
cut_streams_are_never_reported_as_complete (void **state)
{
  unsigned cut = 0;

  set_backend_mode_ (0, MODEL_BACKENDS, "cut");
  for (unsigned i = 0; i < 9; i++)
    {
      g_autofree char *id = next_id_ ();
      struct site_response answer = send_request_ (1 + i % INSTANCES, "/stream/a", 120, id);

      assert_int_equal (run_count_ (id), 1);
      assert_int_not_equal (answer.outcome, SITE_COMPLETED);
      assert_int_not_equal (answer.outcome, SITE_WRONG);
      cut += answer.outcome == SITE_TRUNCATED;
    }
  assert_int_equal (cut, 9);
}

static void
requests_are_served_during_store_outages (void **state)
{
  static const char *const modes[] = { "silent", "busy", "lost" };

  for (unsigned i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      g_autofree char *path = g_strdup_printf ("/store?mode=%s", modes[i]);
      int64_t end_us;

      assert_true (site_fleet_control (fleet, path));
      end_us = g_get_monotonic_time () + 3 * G_USEC_PER_SEC;
      while (g_get_monotonic_time () < end_us)
        {
          g_autofree char *id = next_id_ ();

          assert_int_equal (send_request_ (1 + ids % INSTANCES, "/stream/a", 60, id).outcome,
                            SITE_COMPLETED);
          for (unsigned k = 1; k <= INSTANCES; k++)
            assert_int_equal (site_fleet_ready_status (fleet, k), 200);
          g_usleep (REQUEST_INTERVAL_US);
        }
      site_fleet_control (fleet, "/store?mode=up");
      g_usleep (G_USEC_PER_SEC);
    }
}

static void
configuration_takes_effect_in_time_and_older_versions_are_ignored (void **state)
{
  int64_t end_us;
  unsigned instances = 0;

  assert_true (site_fleet_configure (fleet, PREPAID_TOKENS, true));
  end_us = g_get_monotonic_time () + PROPAGATION_MAX_MS * 1000;
  while (g_get_monotonic_time () < end_us && instances != (1U << INSTANCES) - 1)
    for (unsigned i = 1; i <= INSTANCES; i++)
      {
        g_autofree char *id = next_id_ ();

        if (send_request_ (i, "/extra/a", 0, id).outcome == SITE_COMPLETED)
          instances |= 1U << (i - 1);
      }
  assert_int_equal (instances, (1U << INSTANCES) - 1);
  /* An older version that is written later must be ignored. */
  fleet->version -= 2;
  assert_true (site_fleet_configure (fleet, PREPAID_TOKENS, false));
  g_usleep (PROPAGATION_MAX_MS * 1000);
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      g_autofree char *id = next_id_ ();

      assert_int_equal (send_request_ (i, "/extra/a", 0, id).outcome, SITE_COMPLETED);
    }
  fleet->version += 2;
}

static void
draining_servers_receive_no_new_requests (void **state)
{
  json_t *counts;
  int64_t end_us = g_get_monotonic_time () + 4 * G_USEC_PER_SEC;

  assert_true (site_fleet_control (fleet, "/backend?index=0&state=draining"));
  while (g_get_monotonic_time () < end_us)
    {
      g_autofree char *id = next_id_ ();

      assert_int_equal (send_request_ (1 + ids % INSTANCES, "/stream/a", 6, id).outcome,
                        SITE_COMPLETED);
      g_usleep (REQUEST_INTERVAL_US);
    }
  counts = site_fleet_counts (fleet);
  assert_true (
      json_integer_value (json_array_get (json_object_get (counts, "latest_after_leaving_ms"), 0))
      <= PROPAGATION_MAX_MS);
  json_decref (counts);
}

/* Sends requests to all instances in turn for PERIOD_MS; every request must be answered. */
static void
expect_answers_for_ (const char *path, int64_t output_tokens, int64_t period_ms)
{
  int64_t end_us = g_get_monotonic_time () + period_ms * 1000;

  while (g_get_monotonic_time () < end_us)
    {
      g_autofree char *id = next_id_ ();

      assert_int_equal (send_request_ (1 + ids % INSTANCES, path, output_tokens, id).outcome,
                        SITE_COMPLETED);
      g_usleep (SLOW_REQUEST_INTERVAL_US);
    }
}

static int64_t
count_of_ (const char *name, unsigned backend)
{
  json_t *counts = site_fleet_counts (fleet);
  int64_t count = json_integer_value (json_array_get (json_object_get (counts, name), backend));

  json_decref (counts);
  return count;
}

/* A backend server announces its drain in its responses only: its entry in the store is unchanged,
 * and the store does not respond meanwhile. After a restart under the same id it is used again. */
static void
servers_announcing_drain_in_responses_receive_no_new_requests (void **state)
{
  int64_t end_us;

  assert_true (site_fleet_control (fleet, "/store?mode=silent"));
  assert_true (site_fleet_control (fleet, "/backend?index=3&says_leaving=1"));
  expect_answers_for_ ("/safe/a", 0, 2 * PROPAGATION_MAX_MS);
  assert_true (count_of_ ("latest_after_leaving_ms", MODEL_BACKENDS) <= PROPAGATION_MAX_MS);
  /* Rewriting the unchanged entry must not bring the server back. */
  assert_true (site_fleet_control (fleet, "/store?mode=up"));
  assert_true (site_fleet_control (fleet, "/backend?index=3&state=ready"));
  expect_answers_for_ ("/safe/a", 0, 2 * PROPAGATION_MAX_MS);
  assert_true (count_of_ ("latest_after_leaving_ms", MODEL_BACKENDS) <= PROPAGATION_MAX_MS);
  assert_true (
      site_fleet_control (fleet, "/backend?index=3&says_leaving=0&started_ms=2000&state=ready"));
  set_backend_mode_ (MODEL_BACKENDS + 1, MODEL_BACKENDS + PLAIN_BACKENDS, "shed");
  end_us = g_get_monotonic_time () + HARNESS_WAIT_MS * 1000;
  for (unsigned answered = 0; answered == 0;)
    {
      g_autofree char *id = next_id_ ();

      answered = send_request_ (1, "/safe/a", 0, id).outcome == SITE_COMPLETED;
      assert_true (g_get_monotonic_time () < end_us);
    }
}

/* Backend servers refuse requests with a retry-after time: they receive no requests until it has
 * passed, and callers are refused at once with a matching retry-after. */
static void
retry_after_of_backend_servers_is_respected (void **state)
{
  int64_t end_us = g_get_monotonic_time () + 2500 * 1000;
  unsigned refused = 0;

  for (unsigned i = MODEL_BACKENDS; i < MODEL_BACKENDS + PLAIN_BACKENDS; i++)
    {
      g_autofree char *path = g_strdup_printf ("/backend?index=%u&mode=shed&retry_after=2.5", i);

      assert_true (site_fleet_control (fleet, path));
    }
  while (g_get_monotonic_time () < end_us)
    {
      g_autofree char *id = next_id_ ();
      struct site_response answer = send_request_ (1, "/once/a", 0, id);

      assert_int_equal (answer.outcome, SITE_NOT_RUN);
      assert_true (answer.duration_ms < TOLERANCE_MS);
      if (refused++ > 1)
        assert_true (answer.retry_after_s * 1000
                     >= (double)(end_us - g_get_monotonic_time ()) / 1000 - TOLERANCE_MS);
      g_usleep (REQUEST_INTERVAL_US);
    }
  for (unsigned i = MODEL_BACKENDS; i < MODEL_BACKENDS + PLAIN_BACKENDS; i++)
    assert_int_equal (count_of_ ("arrivals_paused", i), 0);
  /* While only one server is paused, the other one must serve all requests. */
  assert_true (site_fleet_control (fleet, "/backend?index=4&mode=ok"));
  g_usleep (TOLERANCE_MS * 1000);
  expect_answers_for_ ("/safe/a", 0, TOLERANCE_MS);
}

struct caller_
{
  unsigned instance;
  unsigned requests;
  int64_t output_tokens;
  unsigned outcomes[SITE_WRONG + 1];
  const char *name;
};

static void *
run_caller_ (void *data)
{
  struct caller_ *caller = data;

  for (unsigned i = 0; i < caller->requests; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u", caller->name, i);
      struct site_response answer
          = send_request_ (caller->instance, "/stream/a", caller->output_tokens, id);

      caller->outcomes[answer.outcome]++;
    }
  return NULL;
}

static void
graceful_stop_finishes_running_requests (void **state)
{
  struct caller_ caller = { .instance = 1, .requests = 1, .output_tokens = 12000, .name = "stop" };
  GThread *thread = g_thread_new ("caller", run_caller_, &caller);
  int code = -1;

  g_usleep (300000);
  harness_process_signal (fleet->instances[1], SIGTERM);
  g_usleep (200000);
  assert_int_equal (site_fleet_ready_status (fleet, 1), 503);
  /* The load balancer may still send callers here: requests that would outlast the stop are refused
   * at once. */
  g_usleep (STOP_LATE_PHASE_US);
  assert_int_equal (send_request_ (1, "/stream/a", 60, "stop-late-stream").outcome, SITE_NOT_RUN);
  assert_int_equal (send_request_ (1, "/once/a", 0, "stop-late-order").outcome, SITE_COMPLETED);
  g_thread_join (thread);
  assert_int_equal (caller.outcomes[SITE_COMPLETED], 1);
  assert_true (harness_process_wait (fleet->instances[1], 9000, &code));
  assert_int_equal (code, 0);
}

static int
connect_ (unsigned instance)
{
  g_autofree char *address = site_instance_address (instance);
  struct sockaddr_in target = { .sin_family = AF_INET, .sin_port = htons (ENTRY_PORT) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, address, &target.sin_addr);
  assert_int_equal (connect (fd, (struct sockaddr *)&target, sizeof target), 0);
  return fd;
}

/* Sends a non-repeatable request on FD and returns the beginning of the response, empty if there is
 * none. The caller frees it. */
static char *
send_non_repeatable_ (int fd, const char *id)
{
  g_autofree char *request
      = g_strdup_printf ("POST /once/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: %s\r\n"
                         "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n",
                         id);
  char reply[4096];
  ssize_t length;

  assert_int_equal (send (fd, request, strlen (request), MSG_NOSIGNAL), strlen (request));
  g_usleep (RESPONSE_WAIT_US);
  length = recv (fd, reply, sizeof reply, MSG_DONTWAIT);
  return g_strndup (reply, length < 0 ? 0 : (gsize)length);
}

/* Returns whether the remote side has reset the connection, which shows that it read no further. */
static bool
is_reset_ (int fd)
{
  int error = 0;
  socklen_t size = sizeof error;

  assert_int_equal (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size), 0);
  return error == EPIPE || error == ECONNRESET;
}

/* On a slow link, requests arrive after a stopping instance has begun to close connections. A
 * request on a new connection is answered. A request on a connection that was already closed is not
 * read, and the connection is reset so that the caller knows. */
static void
requests_arriving_late_in_a_stop_are_not_lost (void **state)
{
  int kept = connect_ (1);
  g_autofree char *before = send_non_repeatable_ (kept, "stop-kept-1");
  g_autofree char *answer = NULL;
  g_autofree char *kept_reply = NULL;
  int code = -1;
  int fresh;

  assert_true (g_str_has_prefix (before, "HTTP/1.1 200"));
  harness_process_signal (fleet->instances[1], SIGTERM);
  g_usleep (STOP_LATE_PHASE_US - 200000);
  fresh = connect_ (1);
  g_usleep (400000);
  answer = send_non_repeatable_ (fresh, "stop-fresh");
  assert_true (g_str_has_prefix (answer, "HTTP/1.1 "));
  kept_reply = send_non_repeatable_ (kept, "stop-kept-2");
  assert_string_equal (kept_reply, "");
  assert_true (is_reset_ (kept));
  assert_int_equal (run_count_ ("stop-kept-2"), 0);
  close (fresh);
  close (kept);
  assert_true (harness_process_wait (fleet->instances[1], 9000, &code));
}

static void
reloading_settings_interrupts_no_requests (void **state)
{
  struct caller_ caller = { .instance = 2, .requests = 5, .output_tokens = 300, .name = "hup" };
  GThread *thread = g_thread_new ("caller", run_caller_, &caller);

  for (unsigned i = 0; i < 5; i++)
    {
      harness_process_signal (fleet->instances[2], SIGHUP);
      g_usleep (50000);
    }
  g_thread_join (thread);
  assert_int_equal (caller.outcomes[SITE_COMPLETED], 5);
  assert_true (harness_process_is_running (fleet->instances[2]));
}

/* A caller disconnects before the first response byte: the request to the backend server is
 * abandoned at once. */
static void
caller_disconnect_cancels_the_backend_request (void **state)
{
  g_autofree char *address = site_instance_address (3);
  const char request[] = "POST /stream/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: gone-1\r\n"
                         "X-Token-Counts: 100,60\r\nAuthorization: Token key-1\r\n"
                         "Content-Length: 0\r\n\r\n";
  struct sockaddr_in target = { .sin_family = AF_INET, .sin_port = htons (ENTRY_PORT) };
  int64_t end_us;
  json_t *counts = site_fleet_counts (fleet);
  int64_t before = harness_json_number (counts, "abandoned");
  int64_t after = before;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  json_decref (counts);
  set_backend_mode_ (0, MODEL_BACKENDS, "silent");
  inet_pton (AF_INET, address, &target.sin_addr);
  assert_int_equal (connect (fd, (struct sockaddr *)&target, sizeof target), 0);
  assert_int_equal (send (fd, request, sizeof request - 1, 0), sizeof request - 1);
  g_usleep (200000);
  assert_int_equal (run_count_ ("gone-1"), 1);
  close (fd);
  end_us = g_get_monotonic_time () + 500 * 1000;
  while (after == before && g_get_monotonic_time () < end_us)
    {
      g_usleep (20000);
      counts = site_fleet_counts (fleet);
      after = harness_json_number (counts, "abandoned");
      json_decref (counts);
    }
  assert_int_equal (after, before + 1);
}

/* Instances are killed and restarted and the store fails while a budget is used up: no more than
 * the budget may be consumed, and no response may be complete but wrong. Leaves the budget empty;
 * the cases after it raise the total. */
static void
budget_is_not_overspent_across_crashes_and_store_outages (void **state)
{
  struct caller_ callers[9];
  GThread *threads[G_N_ELEMENTS (callers)];
  g_autofree char *names[G_N_ELEMENTS (callers)] = { 0 };
  json_t *counts = site_fleet_counts (fleet);
  int64_t spent = harness_json_number (json_object_get (counts, "consumed"), "team-1");
  int64_t prepaid = MAX (spent, PREPAID_TOKENS) + 60000;
  unsigned answered = 0;
  unsigned refused = 0;

  json_decref (counts);
  fleet->version += 10;
  /* A prepaid total can only be raised. */
  assert_true (site_fleet_configure (fleet, prepaid, true));
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      names[i] = g_strdup_printf ("spend-%u", i);
      callers[i] = (struct caller_){
        .instance = 1 + i % INSTANCES, .requests = 40, .output_tokens = 1800, .name = names[i]
      };
      threads[i] = g_thread_new ("caller", run_caller_, &callers[i]);
    }
  g_usleep (G_USEC_PER_SEC);
  harness_process_kill (fleet->instances[1]);
  site_fleet_start_instance (fleet, 1);
  g_usleep (G_USEC_PER_SEC);
  site_fleet_control (fleet, "/store?mode=lost");
  g_usleep (G_USEC_PER_SEC);
  site_fleet_control (fleet, "/store?mode=silent");
  harness_process_kill (fleet->instances[2]);
  site_fleet_start_instance (fleet, 2);
  g_usleep (G_USEC_PER_SEC);
  site_fleet_control (fleet, "/store?mode=up");
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      g_thread_join (threads[i]);
      g_clear_pointer (&names[i], g_free);
      answered += callers[i].outcomes[SITE_COMPLETED];
      refused += callers[i].outcomes[SITE_NOT_RUN];
      assert_int_equal (callers[i].outcomes[SITE_WRONG], 0);
    }
  counts = site_fleet_counts (fleet);
  spent = harness_json_number (json_object_get (counts, "consumed"), "team-1");
  json_decref (counts);
  print_message ("prepaid %" G_GINT64_FORMAT ", consumed %" G_GINT64_FORMAT
                 ", answered %u, refused %u\n",
                 (gint64)prepaid, (gint64)spent, answered, refused);
  assert_true (spent <= prepaid);
  assert_true (answered > 0);
}

/* Waits until every instance serves requests that need a budget again after a store outage. */
static void
wait_for_budgets_ (void)
{
  int64_t end_us = g_get_monotonic_time () + RECOVERY_MAX_MS * 1000;

  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      enum site_outcome outcome = SITE_NOT_RUN;

      while (outcome != SITE_COMPLETED && g_get_monotonic_time () < end_us)
        {
          g_autofree char *id = next_id_ ();

          outcome = send_request_ (i, "/resume/a", 60, id).outcome;
          g_usleep (REQUEST_INTERVAL_US);
        }
      assert_int_equal (outcome, SITE_COMPLETED);
    }
}

/* The store is restored three times from copies of up to some seconds ago: no caller may be refused
 * (for lack of a backend server, of the configuration in force or of budget), and every instance
 * keeps running. */
static void
store_restores_cause_no_refusals (void **state)
{
  static const int ages_ms[] = { 300, 2500, 1000 };
  unsigned refused = 0;

  /* An earlier case has used up the budget. */
  assert_true (site_fleet_configure (fleet, 4 * PREPAID_TOKENS, true));
  wait_for_budgets_ ();
  for (unsigned i = 0; i < 90; i++)
    {
      g_autofree char *id = next_id_ ();
      struct site_response answer;

      if (i % 30 == 10)
        {
          g_autofree char *path = g_strdup_printf ("/restore?age_ms=%d", ages_ms[i / 30]);

          assert_true (site_fleet_control (fleet, path));
        }
      answer = send_request_ (1 + i % INSTANCES, i % 2 == 0 ? "/resume/a" : "/safe/a",
                              i % 2 == 0 ? 60 : 0, id);
      assert_true (answer.outcome == SITE_COMPLETED || answer.outcome == SITE_NOT_RUN);
      refused += answer.outcome == SITE_NOT_RUN;
      g_usleep (SLOW_REQUEST_INTERVAL_US);
    }
  print_message ("%u of 90 refused\n", refused);
  assert_int_equal (refused, 0);
  for (unsigned i = 1; i <= INSTANCES; i++)
    assert_true (harness_process_is_running (fleet->instances[i]));
}

/* A route has been removed when the store is restored from a copy that still contains it, and the
 * operator rewrites the store only after OPERATOR_REWRITE_MS. An instance that starts meanwhile
 * must not serve the removed route, and must serve the current routes once the store contains them
 * again. */
static void
start_after_a_restore_uses_no_older_configuration (void **state)
{
  const int64_t prepaid = 5 * PREPAID_TOKENS;
  g_autofree char *path = g_strdup_printf ("/restore?age_ms=%d&operator_ms=%d",
                                           PROPAGATION_MAX_MS + 500, OPERATOR_REWRITE_MS);
  int64_t end_us;
  bool answered = false;

  assert_true (site_fleet_configure (fleet, prepaid, true));
  g_usleep (PROPAGATION_MAX_MS * 1000);
  assert_true (site_fleet_configure (fleet, prepaid, false));
  g_usleep (PROPAGATION_MAX_MS * 1000);
  harness_process_kill (fleet->instances[2]);
  assert_true (site_fleet_control (fleet, path));
  end_us = g_get_monotonic_time () + OPERATOR_REWRITE_MS * 1000;
  site_fleet_start_instance (fleet, 2);
  while (g_get_monotonic_time () < end_us)
    {
      g_autofree char *id = next_id_ ();

      assert_int_not_equal (send_request_ (2, "/extra/a", 0, id).outcome, SITE_COMPLETED);
      g_usleep (REQUEST_INTERVAL_US);
    }
  end_us += PROPAGATION_MAX_MS * 1000;
  while (!answered && g_get_monotonic_time () < end_us)
    {
      g_autofree char *id = next_id_ ();

      answered = send_request_ (2, "/safe/a", 0, id).outcome == SITE_COMPLETED;
      g_usleep (REQUEST_INTERVAL_US);
    }
  assert_true (answered);
}

/* The other servers are leaving, so that none is left to go on with the stream. */
static void
a_begun_stream_is_cut_when_no_server_can_resume_it (void **state)
{
  g_autofree char *id = next_id_ ();
  struct site_response answer;

  assert_true (site_fleet_set_backends (fleet, 1, MODEL_BACKENDS, "state=draining"));
  g_usleep (PROPAGATION_MAX_MS * 1000);
  set_backend_mode_ (0, 1, "cut");
  answer = send_request_ (1, "/resume/a", 60, id);
  assert_true (site_fleet_set_backends (fleet, 1, MODEL_BACKENDS, "state=ready&started_ms=2000"));
  g_usleep (PROPAGATION_MAX_MS * 1000);
  assert_int_equal (answer.outcome, SITE_TRUNCATED);
  assert_true (harness_process_is_running (fleet->instances[1]));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (every_caller_receives_its_own_complete_response, clear_faults),
    cmocka_unit_test_teardown (invalid_requests_are_refused_without_running, clear_faults),
    cmocka_unit_test_teardown (non_repeatable_requests_run_at_most_once, clear_faults),
    cmocka_unit_test_teardown (repeatable_requests_are_retried_on_another_server, clear_faults),
    cmocka_unit_test_teardown (resumable_streams_continue_on_another_server, clear_faults),
    cmocka_unit_test_teardown (cut_streams_are_never_reported_as_complete, clear_faults),
    cmocka_unit_test_teardown (a_begun_stream_is_cut_when_no_server_can_resume_it, clear_faults),
    cmocka_unit_test_teardown (requests_are_served_during_store_outages, clear_faults),
    cmocka_unit_test_teardown (configuration_takes_effect_in_time_and_older_versions_are_ignored,
                               clear_faults),
    cmocka_unit_test_teardown (draining_servers_receive_no_new_requests, clear_faults),
    cmocka_unit_test_teardown (servers_announcing_drain_in_responses_receive_no_new_requests,
                               clear_faults),
    cmocka_unit_test_teardown (retry_after_of_backend_servers_is_respected, clear_faults),
    cmocka_unit_test_teardown (graceful_stop_finishes_running_requests, clear_faults),
    cmocka_unit_test_teardown (requests_arriving_late_in_a_stop_are_not_lost, clear_faults),
    cmocka_unit_test_teardown (reloading_settings_interrupts_no_requests, clear_faults),
    cmocka_unit_test_teardown (caller_disconnect_cancels_the_backend_request, clear_faults),
    cmocka_unit_test_teardown (budget_is_not_overspent_across_crashes_and_store_outages,
                               clear_faults),
    cmocka_unit_test_teardown (store_restores_cause_no_refusals, clear_faults),
    cmocka_unit_test_teardown (start_after_a_restore_uses_no_older_configuration, clear_faults),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
