/* Placement of requests by several instances on servers whose memory they share. Each instance
 * knows its own requests and the numbers of requests that responses report. */
#include "gateway/backends.h"
#include "gateway/dialect.h"
#include "gateway/placement.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  MS = 1000,
  SERVERS = 6,
  INSTANCES_MAX = 60,
  SLOTS = 64,
  MEMORY_TOKENS = 464366,
  HOLD_MS = 2500, /* mean time that a request is at its server */
  FIRST_MS = 200, /* until its response head */
  LOAD_MS = 60000,
  MEAN_TOKENS = 6900, /* of draw_tokens_ */
  SEED = 3
};

struct held_
{
  unsigned instance;
  unsigned server;
  int64_t tokens;
  int64_t head_ms;
  int64_t end_ms;
  bool has_head;
};

struct result_
{
  double refused_percent;
  double most_percent; /* of the memory of a server, in use at one time */
  double over_percent; /* of the time of all servers with more than their memory in use */
};

/* Draws the memory that a request needs: many small ones, few of up to 54,600 tokens. */
static int64_t
draw_tokens_ (GRand *random)
{
  double kind = g_rand_double (random);

  return kind < 0.62   ? g_rand_int_range (random, 500, 4000)
         : kind < 0.93 ? g_rand_int_range (random, 4000, 14000)
                       : g_rand_int_range (random, 14000, 54600);
}

struct simulation_
{
  unsigned n_instances;
  bool is_bounded;
  GRand *random;
  struct gw_service service;
  struct gw_backends *tables[INSTANCES_MAX];
  GQueue held; /* struct held_ */
  int64_t used[SERVERS];
  unsigned running[SERVERS];
  int64_t now_ms;
  unsigned arrivals;
  unsigned refused;
};

static int64_t
now_us_ (const struct simulation_ *simulation)
{
  return (1000000 + simulation->now_ms) * MS;
}

static void
set_up_ (struct simulation_ *simulation, unsigned n_instances, bool is_bounded)
{
  *simulation = (struct simulation_){
    .n_instances = n_instances,
    .is_bounded = is_bounded,
    .random = g_rand_new_with_seed (SEED),
    .service = { .is_model = true, .slots = SLOTS, .memory_tokens = MEMORY_TOKENS },
    .held = G_QUEUE_INIT,
  };
  for (unsigned i = 0; i < n_instances; i++)
    {
      simulation->tables[i] = gw_backends_new ();
      for (unsigned k = 0; k < SERVERS; k++)
        {
          struct gw_backend_facts facts = { .id = g_strdup_printf ("i-%u", k),
                                            .service = g_strdup ("s"),
                                            .data_centre = g_strdup ("here"),
                                            .slots = SLOTS };

          gw_backends_put (simulation->tables[i], &facts);
        }
    }
}

static void
arrive_ (struct simulation_ *simulation)
{
  unsigned instance
      = (unsigned)g_rand_int_range (simulation->random, 0, (gint32)simulation->n_instances);
  int64_t tokens = draw_tokens_ (simulation->random);
  const struct gw_prompt prompt
      = { .is_declared = true, .input_tokens = tokens - 100, .output_tokens_max = 100 };
  const struct gw_placement_query query
      = { .backends = gw_backends_of_service (simulation->tables[instance], "s"),
          .service = &simulation->service,
          .prompt = &prompt,
          .data_centre = "here",
          .instances = simulation->is_bounded ? simulation->n_instances : 0,
          .rank = 0,
          .now_us = now_us_ (simulation) };
  struct gw_placement place;
  struct held_ *request;
  unsigned server = 0;

  simulation->arrivals++;
  if (gw_placement_pick (&query, simulation->random, &place) != GW_PLACEMENT_PICKED)
    {
      simulation->refused++;
      return;
    }
  gw_placement_begin_request (&place, &query, tokens);
  while (query.backends->pdata[server] != place.backend)
    server++;
  request = g_new0 (struct held_, 1);
  request->instance = instance;
  request->server = server;
  request->tokens = tokens;
  request->head_ms = simulation->now_ms + FIRST_MS;
  request->end_ms
      = simulation->now_ms + g_rand_int_range (simulation->random, HOLD_MS / 2, HOLD_MS * 3 / 2);
  g_queue_push_tail (&simulation->held, request);
  simulation->used[server] += tokens;
  simulation->running[server]++;
}

/* Sends the response heads that are due, and ends the requests that are. */
static void
step_ (struct simulation_ *simulation)
{
  for (GList *each = simulation->held.head; each != NULL;)
    {
      GList *following = each->next;
      struct held_ *request = each->data;
      struct gw_backend *backend
          = gw_backends_of_service (simulation->tables[request->instance], "s")
                ->pdata[request->server];

      if (!request->has_head && request->head_ms <= simulation->now_ms)
        {
          const struct gw_response_head response
              = { .has_load = true,
                  .running = simulation->running[request->server],
                  .slots = SLOTS,
                  .work_time_percent = 100 };

          request->has_head = true;
          gw_placement_note_response (backend, &response, now_us_ (simulation));
          gw_placement_note_first_byte (backend, request->tokens - 100, now_us_ (simulation));
        }
      if (request->end_ms <= simulation->now_ms)
        {
          simulation->used[request->server] -= request->tokens;
          simulation->running[request->server]--;
          gw_placement_end_request (backend, 0, request->tokens, GW_ATTEMPT_OK,
                                    now_us_ (simulation));
          g_queue_delete_link (&simulation->held, each);
          g_free (request);
        }
      each = following;
    }
}

/* Plays LOAD, relative to the memory of all servers, at a fleet of INSTANCES. */
static struct result_
play_ (unsigned instances, double load, bool is_bounded)
{
  double per_ms = load * SERVERS * MEMORY_TOKENS / MEAN_TOKENS / HOLD_MS;
  struct simulation_ simulation;
  struct result_ result = { 0 };
  unsigned over = 0;

  set_up_ (&simulation, instances, is_bounded);
  for (; simulation.now_ms < LOAD_MS + 3 * HOLD_MS; simulation.now_ms++)
    {
      for (unsigned i = 0; simulation.now_ms < LOAD_MS && i < (unsigned)ceil (per_ms); i++)
        if (g_rand_double (simulation.random) < per_ms - i)
          arrive_ (&simulation);
      step_ (&simulation);
      for (unsigned k = 0; k < SERVERS; k++)
        {
          result.most_percent
              = MAX (result.most_percent, 100.0 * (double)simulation.used[k] / MEMORY_TOKENS);
          over += simulation.used[k] > MEMORY_TOKENS;
        }
    }
  assert_true (g_queue_is_empty (&simulation.held));
  result.refused_percent = 100.0 * simulation.refused / simulation.arrivals;
  result.over_percent = 100.0 * over / (LOAD_MS * SERVERS);
  print_message ("%u instances, load %.1f, %s: at most %.0f%% in use, over it %.2f%% of the time, "
                 "%.1f%% refused\n",
                 instances, load, is_bounded ? "bounded" : "unbounded", result.most_percent,
                 result.over_percent, result.refused_percent);
  for (unsigned i = 0; i < instances; i++)
    gw_backends_delete (simulation.tables[i]);
  g_rand_free (simulation.random);
  return result;
}

/* Guards against servers that instances together fill beyond their memory, as each one counts only
 * its own requests: with one instance never, with several in at most half of the time. Guards also
 * against requests refused while half of the memory is free. */
static void
memory_is_seldom_exceeded_by_all_instances_together (void **state)
{
  static const unsigned fleets[] = { 1, 8, INSTANCES_MAX };
  static const double loads[] = { 0.5, 0.8, 1.2, 2 };

  for (size_t i = 0; i < G_N_ELEMENTS (fleets); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (loads); k++)
      {
        struct result_ bounded = play_ (fleets[i], loads[k], true);
        struct result_ unbounded = play_ (fleets[i], loads[k], false);

        assert_true (bounded.over_percent <= unbounded.over_percent / 2);
        if (fleets[i] == 1)
          assert_true (bounded.most_percent <= 100);
        if (loads[k] <= 0.5)
          assert_true (bounded.refused_percent <= 1);
      }
}

/* Guards against servers that get nothing for want of memory, after they have refused a request
 * without a report of their load. */
static void
a_refusal_says_nothing_about_memory (void **state)
{
  const struct gw_prompt prompt
      = { .is_declared = true, .input_tokens = 40000, .output_tokens_max = 12 };
  struct simulation_ simulation;
  struct gw_placement_query query;
  struct gw_placement place;

  set_up_ (&simulation, 8, true);
  query
      = (struct gw_placement_query){ .backends = gw_backends_of_service (simulation.tables[0], "s"),
                                     .service = &simulation.service,
                                     .prompt = &prompt,
                                     .data_centre = "here",
                                     .instances = 8,
                                     .now_us = now_us_ (&simulation) };
  for (unsigned k = 0; k < SERVERS; k++)
    {
      place = (struct gw_placement){ .backend = query.backends->pdata[k] };
      gw_placement_begin_request (&place, &query, 112);
      gw_placement_end_request (place.backend, 0, 112, GW_ATTEMPT_NOT_EXECUTED, query.now_us);
    }
  assert_int_equal (gw_placement_pick (&query, simulation.random, &place), GW_PLACEMENT_PICKED);
  for (unsigned i = 0; i < simulation.n_instances; i++)
    gw_backends_delete (simulation.tables[i]);
  g_rand_free (simulation.random);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (memory_is_seldom_exceeded_by_all_instances_together),
    cmocka_unit_test (a_refusal_says_nothing_about_memory),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
