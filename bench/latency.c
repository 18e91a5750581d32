/* Measures what one instance adds to a call: latency, processor time, and memory per open stream.
 * Calls go to the backend server's stand-in directly first, then through the instance. */
#include "base/thread.h"
#include "testing/harness/harness.h"
#include "testing/harness/samples.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

enum
{
  PORT_BASE = 31100,
  US_PER_MS = 1000,
  US_PER_S = 1000000,
  THREAD_STACK_BYTES = 256 * 1024,
  SEQUENTIAL_CALLS = 500,
  CONCURRENT_CALLERS = 32,
  CONCURRENT_CALLS = 10000,
  STREAMS = 530,
  STREAM_TOKENS = 60,
  STREAM_TOKEN_INTERVAL_MS = 75,
  RSS_SAMPLE_DELAY_MS = 2500, /* all streams are open then; they last for 4.5 s */
  BACKEND = 1                 /* number of the only backend server */
};

/* Calls with the same options, made by several threads. */
struct series
{
  struct harness *harness;
  bool direct; /* to the backend server, bypassing the instance */
  unsigned tokens;
  int64_t calls;
  _Atomic int64_t next_call;
  _Atomic int64_t failed;
  struct samples *total_us;
  struct samples *gap_us;
};

/* Measures the time between the pieces of one response. */
struct gap_timer
{
  struct series *series;
  int64_t last_piece_us;
};

static struct harness *start_ (void);
static void run_series_ (struct series *series, unsigned callers);
static void free_series_ (struct series *series);
static void *call_repeatedly_ (void *data);
static void run_call_ (struct series *series, int64_t number);
static bool record_gap_ (void *data, const char *bytes, size_t length);
static void measure_latency_ (struct harness *harness);
static void measure_throughput_ (struct harness *harness);
static void measure_streams_ (struct harness *harness);
static void *run_streams_ (void *data);

int
main (void)
{
  struct harness *harness = start_ ();

  if (harness == NULL)
    return 1;
  measure_latency_ (harness);
  measure_throughput_ (harness);
  measure_streams_ (harness);
  harness_stop (harness);
  return 0;
}

static struct harness *
start_ (void)
{
  static const struct harness_options options = { .name = "latency",
                                                  .port_base = PORT_BASE,
                                                  .instances = 1,
                                                  .engines = 1,
                                                  .slots = 600,
                                                  .prepaid_tokens = 1000000000,
                                                  .without_proxy = true };

  return harness_start (&options);
}

static void
measure_latency_ (struct harness *harness)
{
  struct series direct
      = { .harness = harness, .direct = true, .tokens = 1, .calls = SEQUENTIAL_CALLS };
  struct series through
      = { .harness = harness, .direct = false, .tokens = 1, .calls = SEQUENTIAL_CALLS };

  run_series_ (&direct, 1);
  run_series_ (&through, 1);
  printf (
      "one call after another, one token: engine p50 %.2f ms, p99 %.2f ms; through the instance "
      "p50 %.2f ms, p99 %.2f ms; failed %d\n",
      (double)samples_percentile (direct.total_us, 50) / US_PER_MS,
      (double)samples_percentile (direct.total_us, 99) / US_PER_MS,
      (double)samples_percentile (through.total_us, 50) / US_PER_MS,
      (double)samples_percentile (through.total_us, 99) / US_PER_MS,
      (int)(direct.failed + through.failed));
  free_series_ (&direct);
  free_series_ (&through);
}

static void
measure_throughput_ (struct harness *harness)
{
  struct series through
      = { .harness = harness, .direct = false, .tokens = 1, .calls = CONCURRENT_CALLS };
  int64_t cpu_us = harness_process_cpu_us (harness->instances[1]);
  int64_t start_us = g_get_monotonic_time ();
  double elapsed_s;

  run_series_ (&through, CONCURRENT_CALLERS);
  elapsed_s = (double)(g_get_monotonic_time () - start_us) / US_PER_S;
  cpu_us = harness_process_cpu_us (harness->instances[1]) - cpu_us;
  printf (
      "short requests, %d callers: %.0f a second, %.0f us of processor time a request, p99 %.2f "
      "ms; failed %d\n",
      CONCURRENT_CALLERS, CONCURRENT_CALLS / elapsed_s, (double)cpu_us / CONCURRENT_CALLS,
      (double)samples_percentile (through.total_us, 99) / US_PER_MS, (int)through.failed);
  free_series_ (&through);
}

static void
measure_streams_ (struct harness *harness)
{
  struct series direct
      = { .harness = harness, .direct = true, .tokens = STREAM_TOKENS, .calls = STREAMS };
  struct series through
      = { .harness = harness, .direct = false, .tokens = STREAM_TOKENS, .calls = STREAMS };
  g_autofree char *path = g_strdup_printf ("/control/pace?ms=%d", STREAM_TOKEN_INTERVAL_MS);
  int64_t before_kib, open_kib, cpu_us;
  pthread_t thread;

  harness_control_backend (harness, BACKEND, path);
  run_series_ (&direct, STREAMS);
  before_kib = harness_process_rss_kib (harness->instances[1]);
  cpu_us = harness_process_cpu_us (harness->instances[1]);
  sr_thread_start (&thread, 0, run_streams_, &through);
  g_usleep (RSS_SAMPLE_DELAY_MS * US_PER_MS);
  open_kib = harness_process_rss_kib (harness->instances[1]);
  pthread_join (thread, NULL);
  cpu_us = harness_process_cpu_us (harness->instances[1]) - cpu_us;
  printf (
      "%d streams at %d ms a token: between tokens p95 %.1f ms from the engine, %.1f ms through "
      "the instance; %.1f KiB a stream (%.1f MiB in all); %.0f us of processor time a token; "
      "failed %d\n",
      STREAMS, STREAM_TOKEN_INTERVAL_MS, (double)samples_percentile (direct.gap_us, 95) / US_PER_MS,
      (double)samples_percentile (through.gap_us, 95) / US_PER_MS,
      (double)(open_kib - before_kib) / STREAMS, (double)open_kib / 1024,
      (double)cpu_us / (STREAMS * STREAM_TOKENS), (int)(direct.failed + through.failed));
  free_series_ (&direct);
  free_series_ (&through);
}

static void *
run_streams_ (void *data)
{
  run_series_ (data, STREAMS);
  return NULL;
}

static void
run_series_ (struct series *series, unsigned callers)
{
  pthread_t *threads = g_new0 (pthread_t, callers);
  unsigned started = 0;

  series->total_us = samples_new ();
  series->gap_us = samples_new ();
  while (started < callers
         && sr_thread_start (&threads[started], THREAD_STACK_BYTES, call_repeatedly_, series))
    started++;
  for (unsigned i = 0; i < started; i++)
    pthread_join (threads[i], NULL);
  g_free (threads);
}

static void
free_series_ (struct series *series)
{
  samples_delete (series->total_us);
  samples_delete (series->gap_us);
}

static void *
call_repeatedly_ (void *data)
{
  struct series *series = data;
  int64_t number;

  while ((number = series->next_call++) < series->calls)
    run_call_ (series, number);
  return NULL;
}

static void
run_call_ (struct series *series, int64_t number)
{
  static const char *const headers[] = { "Authorization", "Bearer key-1", NULL };
  struct gap_timer timer = { series, 0 };
  g_autofree char *prompt
      = g_strdup_printf ("bench %d-%d-%" G_GINT64_FORMAT " [n=%u]", series->direct,
                         (int)series->calls, number, series->tokens);
  g_autofree char *body
      = series->direct
            ? g_strdup_printf ("{\"request\":\"bench/%d-%" G_GINT64_FORMAT
                               "/1\",\"budget\":\"bench\",\"model\":\"coder\",\"prompt\":\"%s\","
                               "\"max_tokens\":%u}",
                               (int)series->calls, number, prompt, series->tokens)
            : g_strdup_printf ("{\"prompt\":\"%s\",\"max_tokens\":%u,\"stream\":true}", prompt,
                               series->tokens);
  struct harness_call call = {
    .address = series->direct ? "127.0.1.101" : "127.0.1.1",
    .port
    = harness_port (series->harness, series->direct ? HARNESS_PORT_BACKEND : HARNESS_PORT_ENTRY),
    .path = series->direct ? "/v1/generate" : "/v1/services/diary",
    .headers = headers,
    .body = body,
    .on_body_part = record_gap_,
    .data = &timer,
  };
  struct harness_http_response *reply = harness_call (&call);

  if (reply->status == 200 && reply->complete)
    samples_add (series->total_us, reply->total_us);
  else if (series->failed++ == 0)
    printf ("first failure: %d %s\n", reply->status, reply->body->str);
  harness_reply_free (reply);
}

static bool
record_gap_ (void *data, const char *bytes, size_t length)
{
  struct gap_timer *timer = data;
  int64_t now_us = g_get_monotonic_time ();

  if (timer->last_piece_us > 0)
    samples_add (timer->series->gap_us, now_us - timer->last_piece_us);
  timer->last_piece_us = now_us;
  return true;
}
