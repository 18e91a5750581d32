/* Measures what forwarding costs a gateway: processor time per stream event and memory per open
 * stream, with many concurrent streams from the stand-in of the users' platform. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <stdio.h>

enum
{
  PORT_BASE = 34500,
  STREAMS_MAX = 400,
  EVENTS_PER_STREAM = 400,
  TOKEN_INTERVAL_MS = 10,
  OPEN_STREAMS_US = 1500000 /* until all streams are open */
};

struct stream_
{
  struct site_fleet *fleet;
  unsigned number;
  bool answered;
};

static void *
run_stream_ (void *data)
{
  struct stream_ *stream = data;
  g_autofree char *id = g_strdup_printf ("bench-%u", stream->number);
  const struct site_request request = { .instance = 1,
                                        .path = "/stream/a",
                                        .id = id,
                                        .input_tokens = 100,
                                        .output_tokens = EVENTS_PER_STREAM * 6,
                                        .deadline_ms = 60000 };

  stream->answered = site_send (stream->fleet, &request).outcome == SITE_COMPLETED;
  return NULL;
}

static void
measure_ (struct site_fleet *fleet, unsigned n_streams, unsigned first_number)
{
  struct stream_ streams[STREAMS_MAX];
  GThread *threads[STREAMS_MAX];
  struct harness_process *instance = fleet->instances[1];
  int64_t rss_before_kib = harness_process_rss_kib (instance);
  int64_t cpu_us = harness_process_cpu_us (instance);
  int64_t rss_growth_kib;
  unsigned answered = 0;

  for (unsigned i = 0; i < n_streams; i++)
    {
      streams[i] = (struct stream_){ .fleet = fleet, .number = first_number + i };
      threads[i] = g_thread_new ("stream", run_stream_, &streams[i]);
    }
  g_usleep (OPEN_STREAMS_US);
  rss_growth_kib = harness_process_rss_kib (instance) - rss_before_kib;
  for (unsigned i = 0; i < n_streams; i++)
    {
      g_thread_join (threads[i]);
      answered += streams[i].answered;
    }
  cpu_us = harness_process_cpu_us (instance) - cpu_us;
  printf ("%8u %9u %12.1f %15.1f\n", n_streams, answered,
          (double)cpu_us / ((double)n_streams * EVENTS_PER_STREAM),
          (double)rss_growth_kib / n_streams);
}

int
main (void)
{
  const struct site_options options = { .name = "bench-gateway",
                                        .port_base = PORT_BASE,
                                        .instances = 1,
                                        .model_backends = 4,
                                        .plain_backends = 1,
                                        .event_interval_ms = TOKEN_INTERVAL_MS,
                                        .prepaid = 1000000000 };
  struct site_fleet *fleet = site_fleet_start (&options);

  if (fleet == NULL)
    return 1;
  printf (" streams  answered  us an event  KiB an open one\n");
  measure_ (fleet, 10, 0);
  measure_ (fleet, 100, 1000);
  measure_ (fleet, STREAMS_MAX, 2000);
  site_fleet_stop (fleet);
  return 0;
}
