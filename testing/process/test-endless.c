/* Backend servers send endless heads, framing or bodies, at link speed or slowly (drips). The
 * instance's memory and the callers' waiting time must stay bounded, no such response may look
 * complete, callers of other services must be served meanwhile, and the server must be avoided. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 34500,
  MODEL_BACKENDS = 3,
  PLAIN_BACKENDS = 2,
  PREPAID_TOKENS = 50000000,
  OUTPUT_TOKENS = 60,
  DEADLINE_MS = 1500,
  TOLERANCE_MS = 1000,                 /* for a machine under load */
  MEMORY_MAX_KIB = 65536,              /* the smallest instance has 88 MB of memory */
  CONCURRENT_CALLERS = 4,              /* they use healthy servers */
  AVOIDANCE_REQUESTS = 12,             /* requests that show whether a server is avoided */
  REACHED_MAX = AVOIDANCE_REQUESTS / 2 /* of these, at the faulty server, which is one of three */
};

static const char *const kinds_[] = { "head",  "line",   "interim", "chunk_size", "trailer",
                                      "event", "events", "body",    "beyond",     "other" };

struct concurrent_caller_
{
  unsigned number;
  const char *path;
  int64_t output_tokens;
  struct site_response answer;
};

static struct site_fleet *fleet;
static unsigned ids;

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "endless",
                                               .port_base = PORT_BASE,
                                               .instances = 1,
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
  return site_fleet_set_backends (fleet, 0, MODEL_BACKENDS + PLAIN_BACKENDS, "mode=ok") ? 0 : -1;
}

static void
set_backend_mode_ (unsigned from, unsigned to, const char *mode, const char *kind, bool drips)
{
  g_autofree char *settings
      = g_strdup_printf ("mode=%s&endless=%s&drips=%d", mode, kind, (int)drips);

  assert_true (site_fleet_set_backends (fleet, from, to, settings));
}

static struct site_response
send_request_ (const char *path, int64_t output_tokens)
{
  g_autofree char *id = g_strdup_printf ("endless-%u", ++ids);
  const struct site_request request = { .instance = 1,
                                        .path = path,
                                        .id = id,
                                        .input_tokens = output_tokens > 0 ? 1000 : 0,
                                        .output_tokens = output_tokens,
                                        .deadline_ms = DEADLINE_MS };

  return site_send (fleet, &request);
}

static void *
run_concurrent_caller_ (void *data)
{
  struct concurrent_caller_ *caller = data;
  g_autofree char *id = g_strdup_printf ("concurrent-%u-%u", ids, caller->number);
  const struct site_request request = { .instance = 1,
                                        .path = caller->path,
                                        .id = id,
                                        .input_tokens = caller->output_tokens > 0 ? 1000 : 0,
                                        .output_tokens = caller->output_tokens };

  caller->answer = site_send (fleet, &request);
  return NULL;
}

/* Makes all servers of a service send endless responses of KIND, while callers use the other
 * service. */
static void
expect_bounded_ (const char *kind, bool drips, const char *path, int64_t output_tokens)
{
  bool is_model = output_tokens > 0;
  /* With "beyond", the response is complete before the excess bytes. */
  bool is_complete = g_strcmp0 (kind, "beyond") == 0 && !is_model;
  struct concurrent_caller_ callers[CONCURRENT_CALLERS] = { 0 };
  GThread *threads[CONCURRENT_CALLERS];
  struct site_response answer;
  int64_t memory_kib;

  set_backend_mode_ (is_model ? 0 : MODEL_BACKENDS,
                     is_model ? MODEL_BACKENDS : MODEL_BACKENDS + PLAIN_BACKENDS, "endless", kind,
                     drips);
  for (unsigned i = 0; i < CONCURRENT_CALLERS; i++)
    {
      callers[i] = (struct concurrent_caller_){ .number = i,
                                                .path = is_model ? "/safe/a" : "/resume/a",
                                                .output_tokens = is_model ? 0 : OUTPUT_TOKENS };
      threads[i] = g_thread_new ("concurrent", run_concurrent_caller_, &callers[i]);
    }
  answer = send_request_ (path, output_tokens);
  for (unsigned i = 0; i < CONCURRENT_CALLERS; i++)
    g_thread_join (threads[i]);
  memory_kib = harness_process_rss_kib (fleet->instances[1]);
  print_message ("%s%s on %s: verdict %d, status %d, %d ms, %d KiB\n", kind, drips ? " drips" : "",
                 path, (int)answer.outcome, answer.status, (int)answer.duration_ms,
                 (int)memory_kib);
  assert_true (harness_process_is_running (fleet->instances[1]));
  assert_true (memory_kib > 0 && memory_kib < MEMORY_MAX_KIB);
  assert_true (answer.duration_ms <= DEADLINE_MS + TOLERANCE_MS);
  if (is_complete)
    assert_int_equal (answer.outcome, SITE_COMPLETED);
  else if (!is_model || g_strcmp0 (kind, "beyond") != 0)
    assert_true (answer.outcome == SITE_FAILED || answer.outcome == SITE_TRUNCATED);
  for (unsigned i = 0; i < CONCURRENT_CALLERS; i++)
    assert_int_equal (callers[i].answer.outcome, SITE_COMPLETED);
  set_backend_mode_ (0, MODEL_BACKENDS + PLAIN_BACKENDS, "ok", kind, false);
}

static void
expect_all_bounded_ (const char *path, int64_t output_tokens)
{
  for (size_t i = 0; i < G_N_ELEMENTS (kinds_); i++)
    {
      expect_bounded_ (kinds_[i], false, path, output_tokens);
      expect_bounded_ (kinds_[i], true, path, output_tokens);
    }
}

static void
endless_responses_to_streams_are_bounded (void **state)
{
  expect_all_bounded_ ("/stream/a", OUTPUT_TOKENS);
}

static void
endless_responses_to_resumable_streams_are_bounded (void **state)
{
  expect_all_bounded_ ("/resume/a", OUTPUT_TOKENS);
}

static void
endless_responses_to_non_repeatable_requests_are_bounded (void **state)
{
  expect_all_bounded_ ("/once/a", 0);
}

static void
endless_responses_to_repeatable_requests_are_bounded (void **state)
{
  expect_all_bounded_ ("/safe/a", 0);
}

static unsigned
runs_at_ (json_t *counts, const char *backend)
{
  unsigned runs = 0;
  const char *id;
  json_t *list;
  json_t *each;
  size_t index;

  json_object_foreach (json_object_get (counts, "runs"), id, list)
  {
    if (!g_str_has_prefix (id, "endless-"))
      continue;
    json_array_foreach (list, index, each) runs
        += g_strcmp0 (json_string_value (each), backend) == 0;
  }
  return runs;
}

/* One server of three sends endless responses: resumable requests are answered by the others, and
 * the faulty server receives at most REACHED_MAX of them. */
static void
servers_sending_endless_responses_are_avoided (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (kinds_); i++)
    {
      json_t *before;
      json_t *after;
      unsigned reached;
      unsigned answered = 0;

      if (g_strcmp0 (kinds_[i], "beyond") == 0)
        continue; /* its responses are complete */
      set_backend_mode_ (0, 1, "endless", kinds_[i], false);
      before = site_fleet_counts (fleet);
      for (unsigned k = 0; k < AVOIDANCE_REQUESTS; k++)
        answered += send_request_ ("/resume/a", OUTPUT_TOKENS).outcome == SITE_COMPLETED;
      after = site_fleet_counts (fleet);
      reached = runs_at_ (after, "i-0") - runs_at_ (before, "i-0");
      print_message ("%s: %u of %u answered, %u reached the server\n", kinds_[i], answered,
                     (unsigned)AVOIDANCE_REQUESTS, reached);
      assert_true (reached <= REACHED_MAX);
      assert_true (answered + reached >= AVOIDANCE_REQUESTS);
      json_decref (before);
      json_decref (after);
      set_backend_mode_ (0, 1, "ok", kinds_[i], false);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (endless_responses_to_streams_are_bounded, clear_faults),
    cmocka_unit_test_teardown (endless_responses_to_resumable_streams_are_bounded, clear_faults),
    cmocka_unit_test_teardown (endless_responses_to_non_repeatable_requests_are_bounded,
                               clear_faults),
    cmocka_unit_test_teardown (endless_responses_to_repeatable_requests_are_bounded, clear_faults),
    cmocka_unit_test_teardown (servers_sending_endless_responses_are_avoided, clear_faults),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
