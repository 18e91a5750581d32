/* Unit tests of the gateway's decisions: event parsing, routes, retry budget, server selection,
 * link load, stop and settings. */
#include "gateway/event-scan.h"
#include "gateway/link-load.h"
#include "gateway/placement.h"
#include "gateway/retry-budget.h"
#include "gateway/routes.h"
#include "gateway/settings.h"
#include "gateway/stop.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  MS = 1000,
  SECOND = 1000 * MS
};

static const char stream_[]
    = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n"
      "id: 4\ndata: cut";

static void
events_are_found_for_any_split_of_the_stream (void **state)
{
  for (size_t step = 1; step < sizeof stream_; step++)
    {
      struct gw_event_scan scan = { 0 };
      size_t complete = 0;

      for (size_t at = 0; at < sizeof stream_ - 1; at += step)
        {
          size_t length = MIN (step, sizeof stream_ - 1 - at);
          size_t end = gw_event_scan_feed (&scan, stream_ + at, length);

          if (end > 0)
            complete = at + end;
        }
      assert_int_equal (scan.events, 3);
      assert_string_equal (scan.last_id, "3");
      assert_true (scan.has_content);
      assert_int_equal (complete, strstr (stream_, "id: 4") - stream_);
    }
}

/* The second copy of a stream was once joined to the first one. */
static void
an_event_that_goes_back_ends_the_scan (void **state)
{
  static const struct
  {
    const char *text;
    size_t complete; /* bytes before the event that goes back; 0: none does */
  } cases[] = {
    { "id: 1\n\nid: 2\n\n", 0 },
    { "id: 1\n\nid: 10\n\nid: 11\n\n", 0 },
    { "id: 1\n\ndata: a\n\ndata: b\n\n", 0 },
    { "id: a\n\nid: a\n\n", 0 },
    { "id: 1\n\nid: 2\n\nid: 1\n\n", 14 },
    { "id: 9\n\nid: 9\n\n", 7 },
    { "id: 10\n\nid: 9\n\n", 8 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct gw_event_scan scan = { 0 };
      size_t complete = gw_event_scan_feed (&scan, cases[i].text, strlen (cases[i].text));

      assert_int_equal (scan.went_back, cases[i].complete > 0);
      assert_int_equal (complete,
                        cases[i].complete > 0 ? cases[i].complete : strlen (cases[i].text));
    }
}

static struct gw_routes *
routes_ (void)
{
  struct gw_routes *routes = gw_routes_new (7);
  struct gw_route *route = gw_routes_add_route (routes, "short");
  struct gw_team *team = gw_routes_add_team (routes, "team-1");

  g_string_assign (route->host, "a.example");
  g_string_assign (route->path_prefix, "/x/");
  gw_route_add_target (route, "one", 3);
  gw_route_add_target (route, "two", 1);
  route = gw_routes_add_route (routes, "long");
  g_string_assign (route->host, "a.example");
  g_string_assign (route->path_prefix, "/x/y/");
  gw_route_add_target (route, "two", 1);
  gw_routes_add_key (routes, "key-1", team);
  gw_routes_finish (routes);
  return routes;
}

static void
the_longest_prefix_of_the_host_selects_the_route (void **state)
{
  struct gw_routes *routes = routes_ ();
  const struct gw_route *route;

  route = gw_routes_match (routes, net_string_view_of ("A.example:80"),
                           net_string_view_of ("/x/y/z"));
  assert_string_equal (route->name->str, "long");
  route = gw_routes_match (routes, net_string_view_of ("a.example"), net_string_view_of ("/x/yz"));
  assert_string_equal (route->name->str, "short");
  assert_null (
      gw_routes_match (routes, net_string_view_of ("a.example"), net_string_view_of ("/x")));
  assert_null (
      gw_routes_match (routes, net_string_view_of ("b.example"), net_string_view_of ("/x/")));
  assert_non_null (gw_routes_team (routes, net_string_view_of ("key-1")));
  assert_null (gw_routes_team (routes, net_string_view_of ("key-2")));
  assert_null (gw_routes_team (routes, (struct net_string_view){ "", 0 }));
  gw_routes_unref (routes);
}

static void
target_weights_split_the_traffic (void **state)
{
  struct gw_routes *routes = routes_ ();
  const struct gw_route *route
      = gw_routes_match (routes, net_string_view_of ("a.example"), net_string_view_of ("/x/"));
  unsigned picks = 0;

  for (uint32_t random = 0; random < 400; random++)
    picks += strcmp (gw_route_pick_service (route, random)->str, "one") == 0;
  assert_int_equal (picks, 300);
  gw_routes_unref (routes);
}

static void
the_retry_budget_is_not_exceeded_in_any_window (void **state)
{
  const struct gw_retry_budget_options options
      = { .ratio = 0.2, .extra = 54, .window_us = 10 * SECOND };
  struct gw_retry_budget budget;
  GRand *random = g_rand_new_with_seed (1);
  GArray *retries = g_array_new (FALSE, FALSE, sizeof (int64_t));
  GArray *requests = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int64_t now_us = 5 * SECOND;

  gw_retry_budget_init (&budget, &options, now_us, now_us);
  for (unsigned i = 0; i < 20000; i++)
    {
      now_us += g_rand_int_range (random, 0, i % 4000 < 2000 ? 4 * MS : 60 * MS);
      gw_retry_budget_count_request (&budget, now_us);
      g_array_append_val (requests, now_us);
      if (gw_retry_budget_take (&budget, 7, now_us))
        g_array_append_val (retries, now_us);
    }
  assert_true (retries->len > 100);
  for (unsigned first = 0, r = 0; first < retries->len; first += 50)
    {
      int64_t from_us = g_array_index (retries, int64_t, first);
      unsigned in_window = 0;
      unsigned counted = 0;

      for (unsigned i = first; i < retries->len; i++)
        in_window += g_array_index (retries, int64_t, i) < from_us + options.window_us;
      while (r < requests->len && g_array_index (requests, int64_t, r) < from_us)
        r++;
      for (unsigned i = r; i < requests->len; i++)
        counted += g_array_index (requests, int64_t, i) < from_us + options.window_us;
      assert_true (in_window <= options.ratio * counted + (double)options.extra / 7 + 1);
    }
  g_array_unref (retries);
  g_array_unref (requests);
  g_rand_free (random);
}

static void
a_new_process_does_not_get_the_fixed_part_of_the_retry_budget (void **state)
{
  const struct gw_retry_budget_options options
      = { .ratio = 0.2, .extra = 54, .window_us = 10 * SECOND };
  struct gw_retry_budget budget;

  gw_retry_budget_init (&budget, &options, SECOND, SECOND);
  assert_false (gw_retry_budget_take (&budget, 1, SECOND));
  assert_true (gw_retry_budget_take (&budget, 1, 12 * SECOND));
}

/* Those that have left may have used their share just before: the others must not use it again. */
static void
a_shrinking_fleet_does_not_exceed_the_retry_budget (void **state)
{
  enum
  {
    INSTANCES = 10,
    LEFT = 5
  };
  const struct gw_retry_budget_options options
      = { .ratio = 0.2, .extra = 54, .window_us = 10 * SECOND };
  struct gw_retry_budget budgets[INSTANCES];
  struct gw_fleet_size size = { 0 };
  int64_t now_us = 30 * SECOND;
  unsigned retries = 0;

  assert_int_equal (gw_fleet_size_recent (&size, now_us), 0);
  gw_fleet_size_note (&size, INSTANCES, options.window_us, now_us);
  for (unsigned i = 0; i < INSTANCES; i++)
    gw_retry_budget_init (&budgets[i], &options, 0, now_us);
  for (unsigned i = 0; i < INSTANCES; i++)
    while (gw_retry_budget_take (&budgets[i], gw_fleet_size_recent (&size, now_us), now_us))
      retries++;
  for (unsigned left = INSTANCES - 1; left >= LEFT; left--)
    {
      now_us += SECOND;
      gw_fleet_size_note (&size, left, options.window_us, now_us);
    }
  for (unsigned i = 0; i < LEFT; i++)
    while (gw_retry_budget_take (&budgets[i], gw_fleet_size_recent (&size, now_us), now_us))
      retries++;
  assert_true (retries <= options.extra);
  now_us += options.window_us;
  assert_int_equal (gw_fleet_size_recent (&size, now_us), LEFT);
}

/* An instance that is not registered yet knows of no other one, and may be one of many. */
static void
an_unknown_fleet_size_gives_no_fixed_part_of_the_retry_budget (void **state)
{
  const struct gw_retry_budget_options options
      = { .ratio = 0.2, .extra = 54, .window_us = 10 * SECOND };
  struct gw_retry_budget budget;

  gw_retry_budget_init (&budget, &options, 0, 30 * SECOND);
  assert_false (gw_retry_budget_take (&budget, 0, 30 * SECOND));
  assert_true (gw_retry_budget_take (&budget, 10, 30 * SECOND));
}

/* The first request to a service comes long after the start of the process, so none of its fixed
 * part can have been used by an earlier start. */
static void
a_new_service_in_an_old_process_gets_the_fixed_part_of_the_retry_budget (void **state)
{
  const struct gw_retry_budget_options options
      = { .ratio = 0.2, .extra = 54, .window_us = 10 * SECOND };
  struct gw_retry_budget budget;

  gw_retry_budget_init (&budget, &options, SECOND, 15 * SECOND);
  gw_retry_budget_count_request (&budget, 15 * SECOND);
  assert_true (gw_retry_budget_take (&budget, 7, 15 * SECOND));
}

struct fleet_
{
  struct gw_backends *table;
  struct gw_service service;
  GRand *random;
};

static void
fleet_set_up_ (struct fleet_ *fleet, unsigned count, bool is_model)
{
  fleet->table = gw_backends_new ();
  fleet->random = g_rand_new_with_seed (3);
  fleet->service = (struct gw_service){
    .is_model = is_model, .slots = 64, .tokens_per_event = 6, .memory_tokens = 460000
  };
  for (unsigned i = 0; i < count; i++)
    {
      struct gw_backend_facts facts = { .id = g_strdup_printf ("i-%u", i),
                                        .service = g_strdup ("s"),
                                        .data_centre = g_strdup (i % 3 == 0 ? "here" : "there"),
                                        .slots = is_model ? 64 : 6 };

      gw_backends_put (fleet->table, &facts);
    }
}

static void
fleet_tear_down_ (struct fleet_ *fleet)
{
  gw_backends_delete (fleet->table);
  g_rand_free (fleet->random);
}

static struct gw_placement_query
query_ (struct fleet_ *fleet, const struct gw_prompt *prompt, int64_t now_us)
{
  return (struct gw_placement_query){ .backends = gw_backends_of_service (fleet->table, "s"),
                                      .service = &fleet->service,
                                      .prompt = prompt,
                                      .data_centre = "here",
                                      .now_us = now_us };
}

/* Of sixty long prompts at once no server must get much more than its share of the uncached tokens.
 */
static void
long_prompts_are_spread_over_all_servers (void **state)
{
  struct fleet_ fleet;
  GHashTable *uncached = g_hash_table_new (NULL, NULL);
  int64_t most = 0;

  fleet_set_up_ (&fleet, 9, true);
  for (unsigned i = 0; i < 60; i++)
    {
      const struct gw_prompt prompt = { .is_declared = true,
                                        .input_tokens = 12000,
                                        .output_tokens_max = 400,
                                        .n_parts = 2,
                                        .parts = { { 1 + i % 40, 5000 }, { 1000 + i, 7000 } } };
      struct gw_placement_query query = query_ (&fleet, &prompt, 10 * SECOND + i * MS);
      struct gw_placement place;
      int64_t sum;

      assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_PICKED);
      gw_placement_begin_request (&place, &query, 12400);
      sum = GPOINTER_TO_INT (g_hash_table_lookup (uncached, place.backend)) + place.uncached_tokens;
      g_hash_table_insert (uncached, place.backend, GINT_TO_POINTER ((int)sum));
      most = MAX (most, sum);
    }
  assert_int_equal (g_hash_table_size (uncached), 9);
  assert_true (most <= 12000 * 60 / 9 * 3 / 2);
  g_hash_table_unref (uncached);
  fleet_tear_down_ (&fleet);
}

/* Requests of a session go to the server that has its prompt parts cached while that server is
 * idle. */
static void
a_session_stays_at_the_server_that_has_it_cached (void **state)
{
  struct fleet_ fleet;
  const struct gw_prompt prompt = { .is_declared = true,
                                    .input_tokens = 6000,
                                    .output_tokens_max = 100,
                                    .n_parts = 2,
                                    .parts = { { 77, 5000 }, { 5, 1000 } } };
  struct gw_backend *first = NULL;

  fleet_set_up_ (&fleet, 9, true);
  for (unsigned i = 0; i < 20; i++)
    {
      struct gw_placement_query query = query_ (&fleet, &prompt, 10 * SECOND + i * SECOND);
      struct gw_placement place;

      gw_placement_pick (&query, fleet.random, &place);
      gw_placement_begin_request (&place, &query, 6100);
      if (first == NULL)
        first = place.backend;
      assert_ptr_equal (place.backend, first);
      gw_placement_note_first_byte (place.backend, place.uncached_tokens, query.now_us + 100 * MS);
      gw_placement_end_request (place.backend, 0, 6100, GW_ATTEMPT_OK, query.now_us + 500 * MS);
    }
  fleet_tear_down_ (&fleet);
}

static struct gw_backend *
backend_ (struct fleet_ *fleet, unsigned index)
{
  return gw_backends_of_service (fleet->table, "s")->pdata[index];
}

static unsigned
picks_of_ (struct fleet_ *fleet, const char *id, int64_t now_us)
{
  const struct gw_prompt prompt = { 0 };
  unsigned picks = 0;

  for (unsigned i = 0; i < 60; i++)
    {
      struct gw_placement_query query = query_ (fleet, &prompt, now_us);
      struct gw_placement place;

      assert_int_not_equal (gw_placement_pick (&query, fleet->random, &place),
                            GW_PLACEMENT_NO_BACKEND);
      picks += strcmp (place.backend->facts.id, id) == 0;
    }
  return picks;
}

static void
run_request_ (struct fleet_ *fleet, unsigned index, enum gw_attempt_outcome outcome, int64_t now_us)
{
  const struct gw_prompt prompt = { 0 };
  const struct gw_placement_query query = query_ (fleet, &prompt, now_us);
  const struct gw_placement place = { .backend = backend_ (fleet, index) };

  gw_placement_begin_request (&place, &query, 0);
  gw_placement_end_request (place.backend, 0, 0, outcome, now_us);
}

static void
a_server_that_fails_often_is_ejected_temporarily (void **state)
{
  struct fleet_ fleet;

  fleet_set_up_ (&fleet, 3, false);
  assert_true (picks_of_ (&fleet, "i-0", 10 * SECOND) > 0);
  for (unsigned i = 0; i < 10; i++)
    run_request_ (&fleet, 0, i % 2 == 0 ? GW_ATTEMPT_ERROR : GW_ATTEMPT_OK, 10 * SECOND + i * MS);
  assert_int_equal (picks_of_ (&fleet, "i-0", 10 * SECOND + 20 * MS), 0);
  assert_true (picks_of_ (&fleet, "i-0", 20 * SECOND) > 0);
  fleet_tear_down_ (&fleet);
}

/* One failure in seven is normal for these services and must not eject a server. */
static void
a_normal_failure_rate_does_not_eject_a_server (void **state)
{
  struct fleet_ fleet;

  fleet_set_up_ (&fleet, 3, false);
  for (unsigned i = 0; i < 28; i++)
    run_request_ (&fleet, 0, i % 7 == 0 ? GW_ATTEMPT_ERROR : GW_ATTEMPT_OK, 10 * SECOND + i * MS);
  assert_true (picks_of_ (&fleet, "i-0", 11 * SECOND) > 0);
  fleet_tear_down_ (&fleet);
}

static void
an_unreachable_server_is_ejected_unless_all_are (void **state)
{
  struct fleet_ fleet;

  fleet_set_up_ (&fleet, 3, false);
  run_request_ (&fleet, 1, GW_ATTEMPT_BROKEN, 10 * SECOND);
  assert_int_equal (picks_of_ (&fleet, "i-1", 10 * SECOND + MS), 0);
  run_request_ (&fleet, 0, GW_ATTEMPT_BROKEN, 10 * SECOND);
  run_request_ (&fleet, 2, GW_ATTEMPT_BROKEN, 10 * SECOND);
  picks_of_ (&fleet, "i-0", 10 * SECOND + MS);
  fleet_tear_down_ (&fleet);
}

/* A server that has exited may stay listed for seconds, while another one at its address rejects
 * its requests as misdirected. */
static void
a_server_whose_address_another_one_uses_is_ejected (void **state)
{
  struct fleet_ fleet;

  fleet_set_up_ (&fleet, 3, false);
  assert_true (gw_placement_set_replaced (backend_ (&fleet, 1), 10 * SECOND));
  run_request_ (&fleet, 1, GW_ATTEMPT_MISDIRECTED, 10 * SECOND);
  assert_int_equal (picks_of_ (&fleet, "i-1", 10 * SECOND + MS), 0);
  assert_int_equal (picks_of_ (&fleet, "i-1", 19 * SECOND), 0);
  assert_false (
      gw_placement_set_replaced (backend_ (&fleet, 1), 11 * SECOND)); /* not reported again */
  assert_true (picks_of_ (&fleet, "i-1", 25 * SECOND) > 0);
  fleet_tear_down_ (&fleet);
}

static void
leaving_and_already_tried_servers_are_not_picked (void **state)
{
  struct fleet_ fleet;
  const struct gw_prompt prompt = { 0 };
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();
  struct gw_placement_query query;
  struct gw_placement place;

  fleet_set_up_ (&fleet, 2, false);
  query = query_ (&fleet, &prompt, SECOND);
  backend_ (&fleet, 0)->facts.is_leaving = true;
  for (unsigned i = 0; i < 20; i++)
    {
      assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_PICKED);
      assert_string_equal (place.backend->facts.id, "i-1");
    }
  g_ptr_array_add (tried, backend_ (&fleet, 1));
  query.excluded = tried;
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_NO_BACKEND);
  fleet_tear_down_ (&fleet);
}

/* While its own link is congested an instance does not learn which servers are leaving, so it uses
 * only servers that have responded recently. */
static void
a_congested_instance_picks_only_servers_that_responded_recently (void **state)
{
  struct fleet_ fleet;
  const struct gw_prompt prompt = { 0 };
  const struct gw_response_head response = { 0 };
  struct gw_placement_query query;
  struct gw_placement place;

  fleet_set_up_ (&fleet, 3, false);
  query = query_ (&fleet, &prompt, 10 * SECOND);
  query.responded_since_us = 9 * SECOND;
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place),
                    GW_PLACEMENT_NO_RECENT_RESPONSE);
  gw_placement_note_response (backend_ (&fleet, 0), &response, 8 * SECOND);
  gw_placement_note_response (backend_ (&fleet, 1), &response, 9500 * MS);
  for (unsigned i = 0; i < 20; i++)
    {
      assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_PICKED);
      assert_string_equal (place.backend->facts.id, "i-1");
    }
  backend_ (&fleet, 1)->facts.is_leaving = true;
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place),
                    GW_PLACEMENT_NO_RECENT_RESPONSE);
  fleet_tear_down_ (&fleet);
}

static void
entries_missing_after_an_outage_stay_in_use_for_a_grace_period (void **state)
{
  struct fleet_ fleet;

  fleet_set_up_ (&fleet, 3, false);
  backend_ (&fleet, 2)->facts.is_leaving = true;
  gw_backends_begin_list (fleet.table);
  assert_true (gw_backends_end_list (fleet.table, true));
  assert_int_equal (gw_backends_of_service (fleet.table, "s")->len,
                    2); /* the leaving one is removed at once */
  gw_backends_drop_missing (fleet.table);
  assert_int_equal (gw_backends_of_service (fleet.table, "s")->len, 0);
  gw_backends_begin_list (fleet.table);
  assert_false (gw_backends_end_list (fleet.table, true));
  fleet_tear_down_ (&fleet);
}

static void
put_entry_at_ (struct fleet_ *fleet, const char *id, int64_t started_ms, uint16_t port)
{
  struct gw_backend_facts facts = { .id = g_strdup (id),
                                    .service = g_strdup ("s"),
                                    .data_centre = g_strdup ("here"),
                                    .slots = 6,
                                    .started_ms = started_ms,
                                    .address = { .sin_port = port } };

  gw_backends_put (fleet->table, &facts);
}

static void
put_entry_ (struct fleet_ *fleet, const char *id, int64_t started_ms)
{
  put_entry_at_ (fleet, id, started_ms, 1);
}

static void
count_leaving_ (uint64_t key, int64_t started_ms, void *data)
{
  (*(unsigned *)data)++;
}

/* A server's own announcement that it is leaving overrides a store entry that says it is ready,
 * also if that entry was removed meanwhile or came later. It does not apply to the server's next
 * start. */
static void
a_server_that_announced_its_shutdown_is_not_picked_again (void **state)
{
  struct fleet_ fleet;
  unsigned reports = 0;

  fleet_set_up_ (&fleet, 2, false);
  gw_backends_set_leaving_func (fleet.table, count_leaving_, &reports);
  put_entry_ (&fleet, "i-9", 100);
  assert_true (picks_of_ (&fleet, "i-9", 10 * SECOND) > 0);
  assert_true (gw_backends_set_leaving (fleet.table, gw_backend_key ("i-9"), 100));
  assert_false (gw_backends_set_leaving (fleet.table, gw_backend_key ("i-9"), 100));
  assert_int_equal (reports, 1);
  assert_int_equal (picks_of_ (&fleet, "i-9", 10 * SECOND), 0);
  put_entry_ (&fleet, "i-9", 100);
  assert_int_equal (picks_of_ (&fleet, "i-9", 10 * SECOND), 0);
  gw_backends_remove (fleet.table, "i-9", false);
  put_entry_ (&fleet, "i-9", 100);
  assert_int_equal (picks_of_ (&fleet, "i-9", 10 * SECOND), 0);
  put_entry_ (&fleet, "i-9", 200);
  assert_true (picks_of_ (&fleet, "i-9", 10 * SECOND) > 0);
  /* A late report that an earlier start of it is leaving. */
  assert_false (gw_backends_set_leaving (fleet.table, gw_backend_key ("i-9"), 99));
  assert_true (picks_of_ (&fleet, "i-9", 10 * SECOND) > 0);
  /* The report comes before the entry. */
  assert_true (gw_backends_set_leaving (fleet.table, gw_backend_key ("i-10"), 300));
  put_entry_ (&fleet, "i-10", 300);
  assert_int_equal (picks_of_ (&fleet, "i-10", 10 * SECOND), 0);
  /* Without a start time a different address shows that it is another process. */
  put_entry_at_ (&fleet, "i-11", 0, 1);
  assert_true (gw_backends_set_leaving (fleet.table, gw_backend_key ("i-11"), 0));
  gw_backends_remove (fleet.table, "i-11", false);
  put_entry_at_ (&fleet, "i-11", 0, 1);
  assert_int_equal (picks_of_ (&fleet, "i-11", 10 * SECOND), 0);
  put_entry_at_ (&fleet, "i-11", 0, 2);
  assert_true (picks_of_ (&fleet, "i-11", 10 * SECOND) > 0);
  fleet_tear_down_ (&fleet);
}

/* A server that asked for a pause gets no requests, even if all others are failing. If all have
 * asked for one, the result says when the first pause ends. */
static void
a_server_that_asked_for_a_pause_gets_no_requests (void **state)
{
  struct fleet_ fleet;
  const struct gw_prompt prompt = { 0 };
  struct gw_placement_query query;
  struct gw_placement place;

  fleet_set_up_ (&fleet, 3, false);
  gw_placement_pause (backend_ (&fleet, 0), 2000, 10 * SECOND);
  gw_placement_pause (backend_ (&fleet, 0), 100, 10 * SECOND); /* the longer pause applies */
  run_request_ (&fleet, 1, GW_ATTEMPT_BROKEN, 10 * SECOND);
  run_request_ (&fleet, 2, GW_ATTEMPT_BROKEN, 10 * SECOND);
  assert_int_equal (picks_of_ (&fleet, "i-0", 11 * SECOND), 0);
  gw_placement_pause (backend_ (&fleet, 1), 1500, 10 * SECOND);
  gw_placement_pause (backend_ (&fleet, 2), 3000, 10 * SECOND);
  query = query_ (&fleet, &prompt, 11 * SECOND);
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_ALL_PAUSED);
  assert_int_equal (place.resumes_in_ms, 500);
  assert_int_equal (picks_of_ (&fleet, "i-1", 11 * SECOND + 500 * MS), 60);
  assert_true (picks_of_ (&fleet, "i-0", 12 * SECOND) > 0);
  fleet_tear_down_ (&fleet);
}

/* Guards against a cold server that gets more than the share of this instance, or that is picked as
 * the last one left. Once all are cold and the share is used up, the result says when to retry. */
static void
cold_servers_get_only_the_share_of_this_instance (void **state)
{
  enum
  {
    SHARE = 10 /* 11 x 1.5 + 5, of which a half */
  };
  struct fleet_ fleet;
  const struct gw_prompt prompt = { 0 };
  struct gw_cold_start *cold = gw_cold_start_new ("g-1");
  int64_t now_us = 100 * SECOND;
  struct gw_placement_query query;
  struct gw_placement place;
  unsigned picks = 0;

  fleet_set_up_ (&fleet, 2, false);
  fleet.service.cold_per_s = 11;
  gw_cold_start_set_limits (cold, 1.5, 5);
  gw_cold_start_confirm_list (cold, now_us - GW_COLD_SETTLE_US);
  gw_cold_start_confirm_list (cold, now_us);
  query = query_ (&fleet, &prompt, now_us);
  query.cold_start = cold;
  gw_cold_server_note_remaining (&backend_ (&fleet, 0)->cold, 3000, now_us);
  for (unsigned i = 0; i < 60; i++)
    {
      assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_PICKED);
      assert_string_equal (place.backend->facts.id, "i-1"); /* a warm one is preferred */
    }
  gw_cold_server_note_remaining (&backend_ (&fleet, 1)->cold, 3000, now_us);
  while (gw_placement_pick (&query, fleet.random, &place) == GW_PLACEMENT_PICKED)
    {
      gw_cold_server_note_sent (&place.backend->cold, now_us);
      picks++;
    }
  assert_int_equal (picks, 2 * SHARE);
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_ALL_COLD);
  assert_int_equal (place.cold_withheld, 2);
  assert_true (place.resumes_in_ms >= 1000 && place.resumes_in_ms <= 1500);
  query.now_us += place.resumes_in_ms * MS;
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_PICKED);
  query.now_us = now_us;
  gw_cold_start_set_limits (cold, 0, 0);
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_PICKED);
  fleet_tear_down_ (&fleet);
  gw_cold_start_delete (cold);
}

/* Guards against a cold server that stays less preferred after its cold time, because its entry is
 * not written again. Without the limit the entry alone counts. */
static void
without_the_limit_a_cold_server_is_only_less_preferred (void **state)
{
  struct fleet_ fleet;
  const struct gw_prompt prompt = { 0 };
  struct gw_cold_start *cold = gw_cold_start_new ("g-1");
  struct gw_placement_query query;
  struct gw_placement place;
  unsigned picks = 0;

  fleet_set_up_ (&fleet, 2, false);
  fleet.service.cold_per_s = 11;
  for (unsigned i = 0; i < 2; i++)
    backend_ (&fleet, i)->facts.warm_up_ms = i == 0 ? 3000 : 0;
  assert_int_equal (picks_of_ (&fleet, "i-0", 10 * SECOND), 0);
  assert_int_equal (picks_of_ (&fleet, "i-0", 100 * SECOND), 0);
  gw_cold_start_set_limits (cold, 1.5, 5);
  query = query_ (&fleet, &prompt, 100 * SECOND);
  query.cold_start = cold;
  for (unsigned i = 0; i < 60; i++)
    {
      gw_placement_pick (&query, fleet.random, &place);
      picks += place.backend == backend_ (&fleet, 0);
    }
  assert_true (picks > 0);
  fleet_tear_down_ (&fleet);
  gw_cold_start_delete (cold);
}

/* Guards against a full load on servers that were not used for the time of an evacuation. */
static void
servers_of_a_data_centre_are_assumed_cold (void **state)
{
  struct fleet_ fleet;
  struct gw_routes *routes = gw_routes_new (1);
  struct gw_service *service = gw_routes_add_service (routes, "s");
  int64_t now_us = 100 * SECOND;

  fleet_set_up_ (&fleet, 3, false);
  gw_routes_finish (routes);
  service->cold_ms = 3000;
  gw_backends_assume_cold (fleet.table, routes, "there", now_us);
  assert_false (gw_cold_server_is_cold (&backend_ (&fleet, 1)->cold, now_us)); /* never cold */
  service->cold_per_s = 11;
  gw_backends_assume_cold (fleet.table, routes, "there", now_us);
  assert_false (gw_cold_server_is_cold (&backend_ (&fleet, 0)->cold, now_us));
  for (unsigned i = 1; i < 3; i++)
    {
      assert_true (gw_cold_server_is_cold (&backend_ (&fleet, i)->cold, now_us + 2999 * MS));
      assert_false (gw_cold_server_is_cold (&backend_ (&fleet, i)->cold, now_us + 3000 * MS));
    }
  gw_routes_unref (routes);
  fleet_tear_down_ (&fleet);
}

/* A link of 8 Mbit/s gets 4 Mbit/s, then 8 Mbit/s. */
static void
a_full_link_refuses_requests_and_a_half_full_one_does_not (void **state)
{
  struct gw_link_load load;
  GRand *random = g_rand_new_with_seed (1);
  struct net_traffic total = { 0 };
  unsigned refused = 0;

  gw_link_load_init (&load, 8);
  for (unsigned i = 0; i < 500; i++)
    {
      total.received += i < 250 ? 5000 : 10000;
      gw_link_load_note_traffic (&load, &total, 10 * SECOND + i * 10 * MS);
      refused = i == 250 ? 0 : refused + gw_link_load_refuses (&load, random);
      if (i == 249)
        assert_int_equal (refused, 0);
    }
  assert_true (refused > 100);
  gw_link_load_note_traffic (&load, &total, 30 * SECOND);
  assert_false (gw_link_load_refuses (&load, random));
  gw_link_load_init (&load, 0);
  total.received = 1 << 30;
  gw_link_load_note_traffic (&load, &total, SECOND);
  assert_false (gw_link_load_refuses (&load, random));
  g_rand_free (random);
}

/* The load on a link rises and falls around the limit. The instance must report itself as
 * overloaded to the load balancer before it has to refuse requests, and the state must not flap. */
static void
an_instance_reports_overload_before_its_link_is_full (void **state)
{
  static const unsigned percent[] = { 50, 60, 65, 72, 66, 72, 66, 60, 45, 60, 69 };
  static const bool overloaded[]
      = { false, false, false, true, true, true, true, true, false, false, false };
  struct gw_link_load load;
  GRand *random = g_rand_new_with_seed (1);
  struct net_traffic total = { 0 };
  int64_t now_us = 10 * SECOND;

  gw_link_load_init (&load, 8);
  for (unsigned s = 0; s < G_N_ELEMENTS (percent); s++)
    {
      for (unsigned i = 0; i < 100; i++, now_us += 10 * MS)
        {
          total.sent += percent[s] * 100;
          gw_link_load_note_traffic (&load, &total, now_us);
          assert_false (gw_link_load_refuses (&load, random));
        }
      assert_int_equal (gw_link_load_is_overloaded (&load, now_us), overloaded[s]);
    }
  g_rand_free (random);
}

/* One direction is full, while the other has carried more bytes since the start but none recently.
 */
static void
the_two_directions_of_a_link_are_measured_separately (void **state)
{
  struct gw_link_load load;
  struct net_traffic total = { .received = 100000000 };

  gw_link_load_init (&load, 8);
  gw_link_load_note_traffic (&load, &total, SECOND);
  for (unsigned i = 0; i < 100; i++)
    {
      total.sent += 9000;
      gw_link_load_note_traffic (&load, &total, 10 * SECOND + i * 10 * MS);
    }
  assert_true (gw_link_load_share (&load) > 0.85);
}

/* Tokens are returned within the time reserved for that, also if callers stay connected until the
 * end. */
static void
a_stop_returns_tokens_before_the_process_exits (void **state)
{
  struct gw_stop_state stop
      = { .limit_ms = 8000, .requests = 1, .connections = 2, .is_listening = true };

  assert_int_equal (gw_stop_next (&stop), GW_STOP_SERVE);
  stop.elapsed_ms = 4000;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_CLOSE_IDLE);
  stop.requests = 0;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_CLOSE_IDLE);
  stop.connections = 0;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_RETURN_TOKENS);
  stop.connections = 2;
  stop.elapsed_ms = 7300;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_RETURN_TOKENS);
  stop.is_returning_tokens = true;
  stop.has_tokens = true;
  stop.elapsed_ms = 7650;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_RETURN_TOKENS);
  stop.has_tokens = false;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_CLOSE_LISTENER);
  stop.requests = 1;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_RETURN_TOKENS);
  stop.elapsed_ms = 7700;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_END);
}

/* A process that ended while callers could still send requests once lost those that arrived with
 * its last check. */
static void
a_stop_ends_only_when_no_request_can_arrive (void **state)
{
  struct gw_stop_state stop
      = { .limit_ms = 8000, .elapsed_ms = 3300, .is_returning_tokens = true, .is_listening = true };

  assert_int_equal (gw_stop_next (&stop), GW_STOP_CLOSE_LISTENER);
  stop.is_listening = false;
  stop.connections = 1;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_CLOSE_LISTENER);
  stop.connections = 0;
  stop.finishing = 1;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_CLOSE_LISTENER);
  stop.finishing = 0;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_END);
  stop.connections = 1;
  stop.finishing = 1;
  stop.elapsed_ms = 7700;
  assert_int_equal (gw_stop_next (&stop), GW_STOP_END);
}

/* Guards against callers' urgency taken from the wrong place, and against competition that no
 * setting asks for. */
static void
a_team_with_a_priority_overrides_the_rank_of_the_route (void **state)
{
  const char text[] = "[instance]\nname = a\ndata_centre = b\n[listen]\naddress = 10.0.0.1\n"
                      "entry = 10.0.0.1:80\nready = 10.0.0.1:81\npeer_port = 82\n[store]\n"
                      "address = 10.0.0.2:83\n[callers]\ncontracts =\n";
  const struct gw_route route = { .priority = 2 };
  const struct gw_team without = { .priority = 1 };
  const struct gw_team with = { .has_priority = true, .priority = 0 };
  struct sr_findings *findings = sr_findings_new ();
  struct gw_settings *settings = gw_settings_parse ("f", text, strlen (text), findings);

  assert_non_null (settings);
  assert_false (settings->callers_compete);
  assert_int_equal (settings->contracts->len, 0);
  gw_settings_delete (settings);
  sr_findings_delete (findings);
  assert_int_equal (gw_request_rank (&route, NULL), 2);
  assert_int_equal (gw_request_rank (&route, &without), 2);
  assert_int_equal (gw_request_rank (&route, &with), 0);
}

/* Guards against an instance that follows evacuations, or does not start, where the settings say
 * nothing of them. */
static void
without_a_limit_evacuations_are_off (void **state)
{
  const char text[] = "[instance]\nname = a\ndata_centre = b\n[listen]\naddress = 10.0.0.1\n"
                      "entry = 10.0.0.1:80\nready = 10.0.0.1:81\npeer_port = 82\n"
                      "[store]\naddress = 10.0.0.2:83\n";
  struct sr_findings *findings = sr_findings_new ();
  struct gw_settings *settings = gw_settings_parse ("f", text, strlen (text), findings);

  assert_non_null (settings);
  assert_int_equal (settings->evacuation_limit_ms, 0);
  gw_settings_delete (settings);
  sr_findings_delete (findings);
}

static void
all_errors_in_the_settings_are_reported (void **state)
{
  const char good[]
      = "[instance]\nname = a\ndata_centre = b\n[listen]\naddress = 10.0.0.1\n"
        "entry = 10.0.0.1:80\nready = 10.0.0.1:81\npeer_port = 82\n[store]\n"
        "address = 10.0.0.2:83\n[retries]\nratio = 0.2\nextra = 54\nwindow_s = 10\n"
        "[limits]\nmemory_mb = 88.5\ndescriptors = 2870\n"
        "[prompts]\npart_memory_s = 7.4\nnever_block = 5c1e07a2, BAD\n[backends]\nleave_ms = 3000\n"
        "[callers]\ncompete = yes\ncontracts = a, b\n[evacuation]\nlimit_ms = 5000\n"
        "[cold]\noverage = 1.5\nslack = 5\n[stop]\nlimit_s = 8\n";
  const char bad[] = "[instance]\nname = a\ndata_centre = b\n[listen]\naddress = 10.0.0.1\n"
                     "entry = 10.0.0.1\nready = x\npeer_port = 82\n[store]\naddress = 10.0.0.2:83\n"
                     "[limits]\nmemory_mb = -1\ndescriptors = 2.5\n"
                     "[retries]\nratio = 2\n[prompts]\npart_memory_s = -1\nnever_block = 5c1e,x\n"
                     "[cold]\noverage = nan\nslack = 5\n";
  struct sr_findings *findings = sr_findings_new ();
  struct gw_settings *settings = gw_settings_parse ("f", good, strlen (good), findings);

  assert_non_null (settings);
  assert_int_equal (sr_findings_count (findings), 0);
  assert_int_equal (ntohs (settings->store_address.sin_port), 83);
  assert_true (settings->retry_ratio > 0.19 && settings->retry_ratio < 0.21);
  assert_true (settings->part_memory_s > 7.3 && settings->part_memory_s < 7.5);
  assert_true (settings->memory_mb > 88.4 && settings->memory_mb < 88.6);
  assert_int_equal (settings->descriptors, 2870);
  assert_int_equal (settings->leave_ms, 3000);
  assert_true (settings->callers_compete);
  assert_int_equal (settings->contracts->len, 2);
  assert_string_equal (((const GString *)settings->contracts->pdata[1])->str, "b");
  assert_int_equal (settings->evacuation_limit_ms, 5000);
  assert_true (settings->cold_overage > 1.49 && settings->cold_overage < 1.51);
  assert_int_equal (settings->cold_slack, 5);
  assert_int_equal (settings->never_blocked_parts->len, 2);
  assert_int_equal (g_array_index (settings->never_blocked_parts, uint64_t, 0), 0x5c1e07a2);
  assert_int_equal (g_array_index (settings->never_blocked_parts, uint64_t, 1), 0xbad);
  gw_settings_delete (settings);
  assert_null (gw_settings_parse ("f", bad, strlen (bad), findings));
  assert_int_equal (sr_findings_count (findings), 8);
  sr_findings_delete (findings);
}

/* Guards against a limit for cold servers that takes effect where the settings have no [cold]. */
static void
settings_without_the_cold_section_have_no_limit (void **state)
{
  const char text[] = "[instance]\nname = a\ndata_centre = b\n[listen]\naddress = 10.0.0.1\n"
                      "entry = 10.0.0.1:80\nready = 10.0.0.1:81\npeer_port = 82\n[store]\n"
                      "address = 10.0.0.2:83\n";
  struct sr_findings *findings = sr_findings_new ();
  struct gw_settings *settings = gw_settings_parse ("f", text, strlen (text), findings);

  assert_non_null (settings);
  assert_true (settings->cold_overage <= 0);
  assert_int_equal (settings->cold_slack, 0);
  gw_settings_delete (settings);
  sr_findings_delete (findings);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (events_are_found_for_any_split_of_the_stream),
    cmocka_unit_test (an_event_that_goes_back_ends_the_scan),
    cmocka_unit_test (the_longest_prefix_of_the_host_selects_the_route),
    cmocka_unit_test (target_weights_split_the_traffic),
    cmocka_unit_test (the_retry_budget_is_not_exceeded_in_any_window),
    cmocka_unit_test (a_shrinking_fleet_does_not_exceed_the_retry_budget),
    cmocka_unit_test (an_unknown_fleet_size_gives_no_fixed_part_of_the_retry_budget),
    cmocka_unit_test (a_new_process_does_not_get_the_fixed_part_of_the_retry_budget),
    cmocka_unit_test (a_new_service_in_an_old_process_gets_the_fixed_part_of_the_retry_budget),
    cmocka_unit_test (long_prompts_are_spread_over_all_servers),
    cmocka_unit_test (a_session_stays_at_the_server_that_has_it_cached),
    cmocka_unit_test (a_server_that_fails_often_is_ejected_temporarily),
    cmocka_unit_test (a_normal_failure_rate_does_not_eject_a_server),
    cmocka_unit_test (an_unreachable_server_is_ejected_unless_all_are),
    cmocka_unit_test (a_server_whose_address_another_one_uses_is_ejected),
    cmocka_unit_test (leaving_and_already_tried_servers_are_not_picked),
    cmocka_unit_test (a_congested_instance_picks_only_servers_that_responded_recently),
    cmocka_unit_test (entries_missing_after_an_outage_stay_in_use_for_a_grace_period),
    cmocka_unit_test (a_server_that_announced_its_shutdown_is_not_picked_again),
    cmocka_unit_test (a_server_that_asked_for_a_pause_gets_no_requests),
    cmocka_unit_test (a_full_link_refuses_requests_and_a_half_full_one_does_not),
    cmocka_unit_test (an_instance_reports_overload_before_its_link_is_full),
    cmocka_unit_test (the_two_directions_of_a_link_are_measured_separately),
    cmocka_unit_test (a_stop_returns_tokens_before_the_process_exits),
    cmocka_unit_test (a_stop_ends_only_when_no_request_can_arrive),
    cmocka_unit_test (a_team_with_a_priority_overrides_the_rank_of_the_route),
    cmocka_unit_test (without_a_limit_evacuations_are_off),
    cmocka_unit_test (cold_servers_get_only_the_share_of_this_instance),
    cmocka_unit_test (without_the_limit_a_cold_server_is_only_less_preferred),
    cmocka_unit_test (servers_of_a_data_centre_are_assumed_cold),
    cmocka_unit_test (all_errors_in_the_settings_are_reported),
    cmocka_unit_test (settings_without_the_cold_section_have_no_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
