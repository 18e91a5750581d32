/* Measures time and heap of one instance's router by the number of backend servers, and of its
 * admission queues by the number of teams. Prints a Markdown table. */
#include "admit/admit.h"
#include "route/route.h"

#include <malloc.h>
#include <stdio.h>

enum
{
  ITERATIONS = 100000,
  SLOTS_PER_BACKEND = 64,
  QUEUED_REQUESTS = 1000,
  REQUEST_COST_TOKENS = 400,
  NS_PER_US = 1000,
  DEADLINE_US = 1000000000
};

static GPtrArray *
make_backends (unsigned count)
{
  GPtrArray *backends = g_ptr_array_new ();

  for (unsigned i = 0; i < count; i++)
    {
      struct sr_config_backend *backend = g_new0 (struct sr_config_backend, 1);

      backend->name = g_string_new (NULL);
      g_string_printf (backend->name, "engine-%u", i);
      backend->service = g_string_new ("s");
      backend->address = g_string_new ("127.0.0.1");
      backend->data_centre = g_string_new (i % 9 == 0 ? "dc1" : "dc2");
      backend->slots = SLOTS_PER_BACKEND;
      g_ptr_array_add (backends, backend);
    }
  return backends;
}

static void
measure_router (unsigned count)
{
  struct sr_router_options options = { .data_centre = "dc1", .instance = "a", .seed = 1 };
  GPtrArray *backends = make_backends (count);
  size_t heap_before_bytes = mallinfo2 ().uordblks;
  struct sr_router *router = sr_router_new (&options);
  int64_t start_us;

  sr_router_apply_backends (router, backends, 0);
  start_us = g_get_monotonic_time ();
  for (int i = 0; i < ITERATIONS; i++)
    {
      struct sr_route_query query
          = { .service = "s", .affinity = (uint64_t)i + 1, .now_us = g_get_monotonic_time () };
      struct sr_route_report report = { .first_byte_us = 1000, .running = 9, .waiting = 0 };
      struct sr_route route;

      if (sr_router_pick (router, &query, &route) != SR_ROUTE_PICKED)
        continue;
      report.now_us = query.now_us;
      sr_router_release (router, &route, &report);
    }
  printf ("| pick and done, service of %u backend servers | %.0f | %zu |\n", count,
          (double)(g_get_monotonic_time () - start_us) * NS_PER_US / ITERATIONS,
          mallinfo2 ().uordblks - heap_before_bytes);
  sr_router_delete (router);
}

static void
push_request (struct sr_admit *admit, unsigned team, unsigned number)
{
  char name[16];
  int64_t retry_after_ms;
  struct sr_ticket ticket = { .service = "s",
                              .team = name,
                              .team_weight = 1,
                              .priority = (enum sr_priority) (number % 3),
                              .deadline_us = DEADLINE_US + number,
                              .cost_tokens = REQUEST_COST_TOKENS,
                              .owner = admit };

  g_snprintf (name, sizeof name, "team-%u", team);
  sr_admit_push (admit, &ticket, 0, &retry_after_ms);
}

static void
measure_queues (unsigned teams)
{
  struct sr_admit_options options = { .queue_max = QUEUED_REQUESTS * 2, .seed = 1 };
  size_t heap_before_bytes = mallinfo2 ().uordblks;
  struct sr_admit *admit = sr_admit_new (&options);
  size_t queued_bytes;
  int64_t start_us;

  for (unsigned i = 0; i < QUEUED_REQUESTS; i++)
    push_request (admit, i % teams, i);
  queued_bytes = mallinfo2 ().uordblks - heap_before_bytes;
  start_us = g_get_monotonic_time ();
  for (unsigned i = 0; i < ITERATIONS; i++)
    {
      push_request (admit, i % teams, i);
      sr_admit_pop (admit, "s", 0);
      sr_admit_report_end (admit, "s", 1000);
    }
  printf ("| push and pop, %d waiting of %u teams | %.0f | %zu |\n", QUEUED_REQUESTS, teams,
          (double)(g_get_monotonic_time () - start_us) * NS_PER_US / ITERATIONS, queued_bytes);
  sr_admit_delete (admit);
}

int
main (void)
{
  static const unsigned backends[] = { 3, 10, 64, 350, 2800 };
  static const unsigned teams[] = { 10, 100, 1000 };

  printf ("| step | ns | bytes |\n|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (backends); i++)
    measure_router (backends[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (teams); i++)
    measure_queues (teams[i]);
  return 0;
}
