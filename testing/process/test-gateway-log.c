/* The cause of a failed request can be found by its id from the log and the metrics alone. A
 * stalled reader of the log must not block requests. */
#include "testing/harness/harness.h"
#include "testing/harness/raw-http.h"
#include "testing/harness/site.h"

#include <fcntl.h>
#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 34400,
  METRICS_PORT = PORT_BASE + 20, /* PEERS_OFFSET in site.c */
  LOG_WAIT_MS = 5000             /* twenty times the interval at which log lines are written */
};

static struct site_fleet *fleet;

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "gateway-log",
                                               .port_base = PORT_BASE,
                                               .instances = 1,
                                               .model_backends = 1,
                                               .plain_backends = 1,
                                               .event_interval_ms = 2,
                                               .prepaid = 5000 };

  fleet = site_fleet_start (&options);
  return fleet != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  site_fleet_stop (fleet);
  return 0;
}

/* Waits for a log line of EVENT whose FIELD is VALUE (any line of EVENT if FIELD is NULL). Returns
 * NULL after LOG_WAIT_MS. The caller releases it. */
static json_t *
wait_for_log_line_ (const char *event, const char *field, const char *value)
{
  int64_t end_us = g_get_monotonic_time () + LOG_WAIT_MS * 1000;

  while (g_get_monotonic_time () < end_us)
    {
      g_autofree char *log = harness_process_log (fleet->instances[1]);
      g_auto (GStrv) lines = g_strsplit (log, "\n", -1);

      for (unsigned i = 0; lines[i] != NULL; i++)
        {
          json_t *line = json_loads (lines[i], 0, NULL);

          if (line != NULL && strcmp (harness_json_text (line, "event"), event) == 0
              && (field == NULL || strcmp (harness_json_text (line, field), value) == 0))
            return line;
          json_decref (line);
        }
      g_usleep (50000);
    }
  return NULL;
}

static int64_t
read_metric_ (const char *name)
{
  g_autofree char *address = site_instance_address (1);
  const char request[] = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
  struct raw_http_response *reply
      = raw_http_call (address, METRICS_PORT, request, strlen (request), 5);
  g_autofree char *wanted = g_strdup_printf ("\n%s ", name);
  const char *found = strstr (reply->body->str, wanted);
  int64_t value = found == NULL ? -1 : g_ascii_strtoll (found + strlen (wanted), NULL, 10);

  raw_reply_free (reply);
  return value;
}

static void
log_explains_budget_refusal_during_store_outage (void **state)
{
  const struct site_request large = {
    .instance = 1, .path = "/stream/a", .id = "cut-1", .input_tokens = 3000, .output_tokens = 600
  };
  int64_t refused = read_metric_ ("sapphirerun_requests_refused_total");
  struct site_response answer;
  json_t *line;

  assert_true (site_fleet_control (fleet, "/store?mode=silent"));
  answer = site_send (fleet, &large);
  assert_int_equal (answer.outcome, SITE_NOT_RUN);
  assert_true (answer.retry_after_s > 0);
  line = wait_for_log_line_ ("request_refused", "request", "cut-1");
  assert_non_null (line);
  assert_string_equal (harness_json_text (line, "reason"), "budget_out_of_reach");
  assert_string_equal (harness_json_text (line, "team"), "team-1");
  assert_int_equal (harness_json_number (line, "tokens"), 3600);
  json_decref (line);
  line = wait_for_log_line_ ("allotment_store_failed", "team", "team-1");
  assert_non_null (line);
  json_decref (line);
  line = wait_for_log_line_ ("store_lost", NULL, NULL);
  assert_non_null (line);
  json_decref (line);
  assert_int_equal (read_metric_ ("sapphirerun_requests_refused_total"), refused + 1);
  site_fleet_control (fleet, "/store?mode=up");
  line = wait_for_log_line_ ("store_regained", NULL, NULL);
  assert_non_null (line);
  json_decref (line);
}

/* The budget becomes usable shortly after the store is reachable again: retries until a request is
 * answered. */
static void
wait_for_budget_ (void)
{
  for (unsigned attempt = 0; attempt < 50; attempt++)
    {
      g_autofree char *id = g_strdup_printf ("budget-%u", attempt);
      const struct site_request request = {
        .instance = 1, .path = "/stream/a", .id = id, .input_tokens = 100, .output_tokens = 10
      };

      if (site_send (fleet, &request).outcome == SITE_COMPLETED)
        return;
      g_usleep (100000);
    }
  fail_msg ("budget still unusable 5 s after the store became reachable");
}

static void
log_explains_cut_stream (void **state)
{
  const struct site_request request = {
    .instance = 1, .path = "/stream/a", .id = "cut-2", .input_tokens = 100, .output_tokens = 120
  };
  json_t *line;

  wait_for_budget_ ();
  assert_true (site_fleet_control (fleet, "/backend?index=0&mode=cut"));
  assert_int_equal (site_send (fleet, &request).outcome, SITE_TRUNCATED);
  site_fleet_control (fleet, "/backend?index=0&mode=ok");
  line = wait_for_log_line_ ("attempt_failed", "request", "cut-2");
  assert_non_null (line);
  assert_string_equal (harness_json_text (line, "backend"), "i-0");
  assert_string_equal (harness_json_text (line, "reason"), "closed");
  assert_int_equal (harness_json_number (line, "events"), 10);
  json_decref (line);
  line = wait_for_log_line_ ("request_ended", "request", "cut-2");
  assert_non_null (line);
  assert_string_equal (harness_json_text (line, "outcome"), "cut");
  assert_true (harness_json_number (line, "used") >= 160);
  json_decref (line);
}

static void
log_explains_request_timeout (void **state)
{
  const struct site_request request
      = { .instance = 1, .path = "/once/a", .id = "late-1", .deadline_ms = 400 };
  struct site_response answer;
  json_t *line;

  assert_true (site_fleet_control (fleet, "/backend?index=1&mode=silent"));
  answer = site_send (fleet, &request);
  site_fleet_control (fleet, "/backend?index=1&mode=ok");
  assert_int_equal (answer.status, 504);
  line = wait_for_log_line_ ("request_sent", "request", "late-1");
  assert_non_null (line);
  assert_string_equal (harness_json_text (line, "backend"), "i-1");
  assert_true (harness_json_number (line, "left_ms") <= 400);
  json_decref (line);
  line = wait_for_log_line_ ("request_refused", "request", "late-1");
  assert_non_null (line);
  assert_string_equal (harness_json_text (line, "reason"), "timeout");
  assert_string_equal (harness_json_text (line, "state"), "sent");
  json_decref (line);
}

/* The log is written to a pipe that nobody reads: requests are served, and dropped lines are
 * counted. */
static void
stalled_log_reader_does_not_block_requests (void **state)
{
  g_autofree char *fifo = g_strdup_printf ("%s/stalled.fifo", fleet->directory);
  g_autofree char *command = NULL;
  struct harness_process *stalled = fleet->instances[1];
  GPtrArray *arguments = g_ptr_array_new_with_free_func (g_free);
  int reader;

  unlink (fifo);
  assert_int_equal (mkfifo (fifo, 0600), 0);
  reader = open (fifo, O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  assert_true (reader >= 0);
  harness_process_kill (stalled);
  command = g_strdup_printf ("exec %s serve --gateway %s > %s",
                             (const char *)stalled->arguments->pdata[0],
                             (const char *)stalled->arguments->pdata[3], fifo);
  g_ptr_array_add (arguments, g_strdup ("/bin/sh"));
  g_ptr_array_add (arguments, g_strdup ("-c"));
  g_ptr_array_add (arguments, g_strdup (command));
  fleet->instances[1] = harness_process_new (fleet->directory, "stalled", arguments);
  assert_true (site_fleet_start_instance (fleet, 1));
  assert_true (site_fleet_wait_ready (fleet, 1, HARNESS_WAIT_MS));
  for (unsigned i = 0; i < 3000; i++)
    {
      g_autofree char *id = g_strdup_printf ("stall-%u", i);
      const struct site_request request = { .instance = 1, .path = "/safe/a", .id = id };

      assert_int_equal (site_send (fleet, &request).outcome, SITE_COMPLETED);
    }
  assert_true (read_metric_ ("sapphirerun_log_lines_dropped_total") > 0);
  close (reader);
  harness_process_delete (stalled);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (log_explains_budget_refusal_during_store_outage),
    cmocka_unit_test (log_explains_cut_stream),
    cmocka_unit_test (log_explains_request_timeout),
    cmocka_unit_test (stalled_log_reader_does_not_block_requests),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
