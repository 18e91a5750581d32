/* Selection of backend servers through the router, on a simulated clock. */
#include "route/route.h"
#include "route/service-state.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

/* In microseconds. */
static const int64_t MS = 1000;
static const int64_t S = 1000000;

enum
{
  SLOTS = 8,
  BACKENDS_MAX = 400
};

/* A router with backend servers "b0", "b1" and so on of service "s"; the first are local. */
struct fixture
{
  struct sr_router *router;
  GPtrArray *backends;
  int64_t now_us;
};

static void
backend_free (void *data)
{
  struct sr_config_backend *backend = data;

  g_string_free (backend->name, TRUE);
  g_string_free (backend->service, TRUE);
  g_string_free (backend->address, TRUE);
  g_string_free (backend->data_centre, TRUE);
  g_free (backend);
}

static void
add_backends (struct fixture *fixture, const char *data_centre, int count)
{
  for (int i = 0; i < count; i++)
    {
      struct sr_config_backend *backend = g_new0 (struct sr_config_backend, 1);

      backend->name = g_string_new (NULL);
      g_string_printf (backend->name, "b%u", fixture->backends->len);
      backend->service = g_string_new ("s");
      backend->address = g_string_new ("127.0.2.101");
      backend->port = 1000 + fixture->backends->len;
      backend->data_centre = g_string_new (data_centre);
      backend->slots = SLOTS;
      g_ptr_array_add (fixture->backends, backend);
    }
}

static struct sr_config_backend *
backend_at (struct fixture *fixture, unsigned index)
{
  return fixture->backends->pdata[index];
}

static void
apply (struct fixture *fixture)
{
  sr_router_apply_backends (fixture->router, fixture->backends, fixture->now_us);
}

static void
start_as (struct fixture *fixture, const char *instance, int local, int remote)
{
  struct sr_router_options options = { .data_centre = "dc1", .instance = instance, .seed = 7 };

  fixture->router = sr_router_new (&options);
  fixture->backends = g_ptr_array_new_with_free_func (backend_free);
  fixture->now_us = 100 * S;
  add_backends (fixture, "dc1", local);
  add_backends (fixture, "dc2", remote);
  apply (fixture);
}

static void
start (struct fixture *fixture, int local, int remote)
{
  start_as (fixture, "a", local, remote);
}

static void
stop (struct fixture *fixture)
{
  sr_router_delete (fixture->router);
  g_ptr_array_unref (fixture->backends);
}

static enum sr_route_verdict
pick_for (struct fixture *fixture, uint64_t affinity, struct sr_route *route)
{
  struct sr_route_query query = { .service = "s", .affinity = affinity, .now_us = fixture->now_us };

  return sr_router_pick (fixture->router, &query, route);
}

static unsigned
index_of (const struct sr_route *route)
{
  return (unsigned)g_ascii_strtoull (route->backend + 1, NULL, 10);
}

static void
release (struct fixture *fixture,
         const struct sr_route *route,
         enum sr_route_result result,
         int64_t first_byte_us,
         int running)
{
  struct sr_route_report report = {
    .result = result,
    .first_byte_us = first_byte_us,
    .running = running,
    .waiting = running < 0 ? -1 : 0,
    .now_us = fixture->now_us,
  };

  sr_router_release (fixture->router, route, &report);
}

/* Picks COUNT times without releasing, and counts the picks of each backend server. */
static void
pick_many (struct fixture *fixture, int count, unsigned counts[BACKENDS_MAX])
{
  memset (counts, 0, BACKENDS_MAX * sizeof *counts);
  for (int i = 0; i < count; i++)
    {
      struct sr_route route;

      if (pick_for (fixture, 0, &route) == SR_ROUTE_PICKED)
        counts[index_of (&route)]++;
    }
}

/* Runs one request to its end at backend server INDEX; picks that select another are cancelled. */
static void
run_at (struct fixture *fixture,
        unsigned index,
        enum sr_route_result result,
        int64_t first_byte_us,
        int running)
{
  struct sr_route routes[BACKENDS_MAX];
  int taken = 0;

  while (taken < BACKENDS_MAX)
    {
      assert_int_equal (pick_for (fixture, 0, &routes[taken]), SR_ROUTE_PICKED);
      if (index_of (&routes[taken]) == index)
        break;
      taken++;
    }
  assert_true (taken < BACKENDS_MAX);
  for (int i = 0; i < taken; i++)
    release (fixture, &routes[i], SR_ROUTE_RESULT_CANCELLED, 0, -1);
  release (fixture, &routes[taken], result, first_byte_us, running);
}

static void
slots_are_taken_and_released (void **state)
{
  struct fixture fixture;
  struct sr_route_query unknown = { .service = "other", .now_us = 1 };
  struct sr_route route;

  start (&fixture, 1, 0);
  assert_int_equal (sr_router_pick (fixture.router, &unknown, &route), SR_ROUTE_NONE);
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), SLOTS);
  for (int i = 0; i < SLOTS; i++)
    assert_int_equal (pick_for (&fixture, 0, &route), SR_ROUTE_PICKED);
  assert_string_equal (route.backend, "b0");
  assert_string_equal (route.address, "127.0.2.101");
  assert_int_equal (route.port, 1000);
  assert_false (route.is_probe);
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), 0);
  assert_int_equal (pick_for (&fixture, 0, &route), SR_ROUTE_BUSY);
  release (&fixture, &route, SR_ROUTE_RESULT_OK, 5 * MS, -1);
  assert_int_equal (pick_for (&fixture, 0, &route), SR_ROUTE_PICKED);
  stop (&fixture);
}

static void
requests_are_spread_over_equal_servers (void **state)
{
  struct fixture fixture;
  unsigned counts[BACKENDS_MAX];

  start (&fixture, 10, 0);
  pick_many (&fixture, 40, counts);
  for (int i = 0; i < 10; i++)
    assert_in_range (counts[i], 2, 6);
  stop (&fixture);
}

static void
reported_load_is_avoided_until_the_report_is_old (void **state)
{
  struct fixture fixture;
  unsigned counts[BACKENDS_MAX];

  start (&fixture, 2, 0);
  run_at (&fixture, 0, SR_ROUTE_RESULT_OK, 5 * MS, 2 * SLOTS);
  pick_many (&fixture, 4, counts);
  assert_int_equal (counts[0], 0);
  fixture.now_us += 60 * S;
  pick_many (&fixture, SLOTS, counts);
  assert_true (counts[0] >= 3);
  stop (&fixture);
}

static void
a_full_service_is_tried_again_when_reports_are_old (void **state)
{
  struct fixture fixture;
  struct sr_route routes[2 * SLOTS];

  start (&fixture, 2, 0);
  for (int i = 0; i < 2 * SLOTS; i++)
    assert_int_equal (pick_for (&fixture, 0, &routes[i]), SR_ROUTE_PICKED);
  for (int i = 0; i < 2 * SLOTS; i++)
    release (&fixture, &routes[i], SR_ROUTE_RESULT_OK, 5 * MS, 5 * SLOTS);
  assert_int_equal (pick_for (&fixture, 0, &routes[0]), SR_ROUTE_BUSY);
  fixture.now_us += 30 * S;
  assert_int_equal (pick_for (&fixture, 0, &routes[0]), SR_ROUTE_PICKED);
  stop (&fixture);
}

/* Instances share ten backend servers, and b0 always reports zero load. If these reports were
 * trusted, it would look idle and get most requests. */
static void
a_load_report_stuck_at_zero_does_not_attract_most_requests (void **state)
{
  enum
  {
    INSTANCES = 7,
    HELD = 42
  };
  struct fixture fixtures[INSTANCES];
  struct sr_route held[HELD];
  unsigned in_flight[10] = { 0 };
  unsigned picks_of_stuck = 0;
  unsigned picks = 0;

  for (int i = 0; i < INSTANCES; i++)
    start_as (&fixtures[i], "a", 10, 0);
  for (int i = 0; i < HELD * 20; i++)
    {
      struct fixture *fixture = &fixtures[i % INSTANCES];
      struct sr_route *route = &held[i % HELD];
      unsigned index;

      for (int j = 0; j < INSTANCES; j++)
        fixtures[j].now_us += 10 * MS;
      if (i >= HELD)
        {
          index = index_of (route);
          in_flight[index]--;
          release (fixture, route, SR_ROUTE_RESULT_OK, 5 * MS,
                   index == 0 ? 0 : (int)in_flight[index]);
        }
      assert_int_equal (pick_for (fixture, 0, route), SR_ROUTE_PICKED);
      in_flight[index_of (route)]++;
      picks++;
      picks_of_stuck += index_of (route) == 0 ? 1 : 0;
    }
  assert_true (picks_of_stuck * 100 < picks * 12);
  for (int i = 0; i < INSTANCES; i++)
    stop (&fixtures[i]);
}

static void
a_prefix_keeps_its_server_until_the_load_bound (void **state)
{
  struct fixture fixture;
  unsigned counts[10] = { 0 };
  struct sr_route route;

  start (&fixture, 10, 0);
  for (int i = 0; i < 20; i++)
    {
      assert_int_equal (pick_for (&fixture, 12345, &route), SR_ROUTE_PICKED);
      counts[index_of (&route)]++;
      release (&fixture, &route, SR_ROUTE_RESULT_OK, 5 * MS, -1);
    }
  assert_int_equal (counts[index_of (&route)], 20);
  memset (counts, 0, sizeof counts);
  for (int i = 0; i < 20; i++)
    {
      assert_int_equal (pick_for (&fixture, 12345, &route), SR_ROUTE_PICKED);
      counts[index_of (&route)]++;
    }
  for (int i = 0; i < 10; i++)
    assert_true (counts[i] <= SLOTS / 2);
  stop (&fixture);
}

static void
the_limit_falls_and_recovers_with_latency (void **state)
{
  struct fixture fixture;
  struct sr_route routes[SLOTS];
  unsigned lowered;

  start (&fixture, 1, 0);
  for (int i = 0; i < 200; i++)
    {
      fixture.now_us += 20 * MS;
      run_at (&fixture, 0, SR_ROUTE_RESULT_OK, 10 * MS, -1);
    }
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), SLOTS);
  for (int i = 0; i < 12; i++)
    {
      fixture.now_us += 200 * MS;
      run_at (&fixture, 0, SR_ROUTE_RESULT_OK, 100 * MS, -1);
    }
  lowered = sr_router_free_slots (fixture.router, "s", fixture.now_us);
  assert_in_range (lowered, 1, SLOTS - 2);
  for (int i = 0; i < 200; i++)
    {
      unsigned free_slots = sr_router_free_slots (fixture.router, "s", fixture.now_us);

      fixture.now_us += 20 * MS;
      for (unsigned j = 0; j < free_slots; j++)
        assert_int_equal (pick_for (&fixture, 0, &routes[j]), SR_ROUTE_PICKED);
      for (unsigned j = 0; j < free_slots; j++)
        release (&fixture, &routes[j], SR_ROUTE_RESULT_OK, 10 * MS, -1);
    }
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), SLOTS);
  stop (&fixture);
}

static void
refusals_lower_the_limit (void **state)
{
  struct fixture fixture;

  start (&fixture, 1, 0);
  run_at (&fixture, 0, SR_ROUTE_RESULT_REFUSED, 0, -1);
  assert_in_range (sr_router_free_slots (fixture.router, "s", fixture.now_us), 1, SLOTS - 2);
  stop (&fixture);
}

static void
the_local_data_centre_is_preferred (void **state)
{
  struct fixture fixture;
  unsigned counts[BACKENDS_MAX];

  start (&fixture, 2, 4);
  pick_many (&fixture, SLOTS, counts);
  assert_int_equal (counts[0] + counts[1], SLOTS);
  pick_many (&fixture, 3 * SLOTS, counts);
  assert_true (counts[2] + counts[3] + counts[4] + counts[5] >= 2 * SLOTS);
  stop (&fixture);
}

static void
failures_eject_and_a_successful_probe_starts_slowly (void **state)
{
  struct fixture fixture;
  unsigned counts[BACKENDS_MAX];
  struct sr_route probe;
  struct sr_route other;

  start (&fixture, 3, 0);
  for (int i = 0; i < 3; i++)
    run_at (&fixture, 0, SR_ROUTE_RESULT_FAILED, 0, -1);
  pick_many (&fixture, 2 * SLOTS, counts);
  assert_int_equal (counts[0], 0);
  fixture.now_us += 1 * S;
  assert_int_equal (pick_for (&fixture, 0, &probe), SR_ROUTE_PICKED);
  assert_int_equal (index_of (&probe), 0);
  assert_true (probe.is_probe);
  assert_int_equal (pick_for (&fixture, 0, &other), SR_ROUTE_BUSY);
  release (&fixture, &probe, SR_ROUTE_RESULT_FAILED, 0, -1);
  fixture.now_us += 999 * MS;
  assert_int_equal (pick_for (&fixture, 0, &other), SR_ROUTE_BUSY);
  fixture.now_us += 1001 * MS;
  assert_int_equal (pick_for (&fixture, 0, &probe), SR_ROUTE_PICKED);
  release (&fixture, &probe, SR_ROUTE_RESULT_OK, 5 * MS, -1);
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), 1);
  fixture.now_us += 5 * S;
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), SLOTS / 2);
  fixture.now_us += 5 * S;
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), SLOTS);
  stop (&fixture);
}

static void
the_last_servers_of_a_service_are_not_ejected (void **state)
{
  struct fixture fixture;
  struct sr_route route;

  start (&fixture, 3, 0);
  for (int i = 0; i < 50; i++)
    if (pick_for (&fixture, 0, &route) == SR_ROUTE_PICKED)
      release (&fixture, &route, SR_ROUTE_RESULT_FAILED, 0, -1);
  assert_int_equal (pick_for (&fixture, 0, &route), SR_ROUTE_PICKED);
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), SLOTS - 1);
  stop (&fixture);
}

static void
leaving_servers_get_no_requests_and_state_survives_revisions (void **state)
{
  struct fixture fixture;
  unsigned counts[BACKENDS_MAX];
  struct sr_route route;

  start (&fixture, 2, 0);
  pick_many (&fixture, 6, counts);
  backend_at (&fixture, 0)->leaving = true;
  apply (&fixture);
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), SLOTS - counts[1]);
  backend_at (&fixture, 0)->leaving = false;
  apply (&fixture);
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), 2 * SLOTS - 6);
  assert_int_equal (pick_for (&fixture, 0, &route), SR_ROUTE_PICKED);
  g_ptr_array_set_size (fixture.backends, 0);
  apply (&fixture);
  release (&fixture, &route, SR_ROUTE_RESULT_OK, 5 * MS, -1);
  assert_int_equal (pick_for (&fixture, 0, &route), SR_ROUTE_NONE);
  stop (&fixture);
}

static void
an_added_server_starts_slowly (void **state)
{
  struct fixture fixture;

  start (&fixture, 2, 0);
  add_backends (&fixture, "dc1", 1);
  apply (&fixture);
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), 2 * SLOTS + 1);
  fixture.now_us += 10 * S;
  assert_int_equal (sr_router_free_slots (fixture.router, "s", fixture.now_us), 3 * SLOTS);
  stop (&fixture);
}

static void
excluded_servers_are_not_picked (void **state)
{
  struct fixture fixture;
  GPtrArray *excluded = g_ptr_array_new ();
  struct sr_route_query query = { .service = "s", .affinity = 99, .excluded = excluded };
  struct sr_route route;

  start (&fixture, 3, 0);
  query.now_us = fixture.now_us;
  g_ptr_array_add (excluded, "b0");
  g_ptr_array_add (excluded, "b2");
  for (int i = 0; i < SLOTS; i++)
    {
      assert_int_equal (sr_router_pick (fixture.router, &query, &route), SR_ROUTE_PICKED);
      assert_string_equal (route.backend, "b1");
    }
  assert_int_equal (sr_router_pick (fixture.router, &query, &route), SR_ROUTE_BUSY);
  g_ptr_array_add (excluded, "b1");
  assert_int_equal (sr_router_pick (fixture.router, &query, &route), SR_ROUTE_NONE);
  g_ptr_array_unref (excluded);
  stop (&fixture);
}

/* 69 instances share a service of 350 backend servers, 39 of them local. */
static void
a_large_service_is_used_in_subsets (void **state)
{
  unsigned users[BACKENDS_MAX] = { 0 };
  unsigned remote_users = 0;

  for (int i = 0; i < 69; i++)
    {
      g_autofree char *instance = g_strdup_printf ("instance-%d", i);
      struct fixture fixture;
      unsigned counts[BACKENDS_MAX];
      unsigned used = 0;

      start_as (&fixture, instance, 39, 311);
      pick_many (&fixture, 1000, counts);
      for (int j = 0; j < 350; j++)
        {
          used += counts[j] > 0 ? 1 : 0;
          users[j] += counts[j] > 0 ? 1 : 0;
        }
      assert_int_equal (used, SR_SUBSET_MAX);
      stop (&fixture);
    }
  for (int j = 0; j < 39; j++)
    assert_int_equal (users[j], 69);
  for (int j = 39; j < 350; j++)
    remote_users += users[j] > 0 ? 1 : 0;
  assert_true (remote_users > 300);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (slots_are_taken_and_released),
    cmocka_unit_test (requests_are_spread_over_equal_servers),
    cmocka_unit_test (reported_load_is_avoided_until_the_report_is_old),
    cmocka_unit_test (a_full_service_is_tried_again_when_reports_are_old),
    cmocka_unit_test (a_load_report_stuck_at_zero_does_not_attract_most_requests),
    cmocka_unit_test (a_prefix_keeps_its_server_until_the_load_bound),
    cmocka_unit_test (the_limit_falls_and_recovers_with_latency),
    cmocka_unit_test (refusals_lower_the_limit),
    cmocka_unit_test (the_local_data_centre_is_preferred),
    cmocka_unit_test (failures_eject_and_a_successful_probe_starts_slowly),
    cmocka_unit_test (the_last_servers_of_a_service_are_not_ejected),
    cmocka_unit_test (leaving_servers_get_no_requests_and_state_survives_revisions),
    cmocka_unit_test (an_added_server_starts_slowly),
    cmocka_unit_test (excluded_servers_are_not_picked),
    cmocka_unit_test (a_large_service_is_used_in_subsets),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
