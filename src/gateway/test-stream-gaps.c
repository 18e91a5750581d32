/* Streams that run beside large prompts: a server sends no event while it prefills a prompt, one
 * after the other, with a step of all streams between two of them. */
#include "gateway/backends.h"
#include "gateway/dialect.h"
#include "gateway/latency-model.h"
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
  SERVERS = 8,
  INSTANCES_MAX = 6,
  SLOTS = 64,
  TOKENS_PER_MS = 57,
  GAP_MS = 400,     /* a longer one makes a stream late */
  STREAM_MS = 2000, /* without delays */
  OBJECTIVE_MS = 1500,
  LOAD_MS = 60000,
  LARGE_MIN = 14000,
  MEAN_TOKENS = 2795, /* of draw_tokens_ */
  SAMPLES = 400,
  SEED = 9
};

struct request_
{
  unsigned instance;
  int64_t tokens;
  struct gw_placement place;
  int64_t arrived_ms;
  int64_t left; /* tokens to prefill, then milliseconds to run */
  bool is_late; /* as a stream */
};

struct server_
{
  GQueue waiting; /* struct request_; the first one is being prefilled */
  GQueue running;
  int64_t began_ms; /* the prefill of the first one; 0: not yet */
};

struct result_
{
  double late_streams_percent;
  double first_byte_percent; /* on time */
};

/* Draws the tokens of a prompt: many short ones, few of up to 54,600 tokens. */
static int64_t
draw_tokens_ (GRand *random)
{
  double kind = g_rand_double (random);

  return kind < 0.9    ? g_rand_int_range (random, 200, 1500)
         : kind < 0.95 ? g_rand_int_range (random, 4000, 9000)
                       : g_rand_int_range (random, LARGE_MIN, 54600);
}

struct simulation_
{
  unsigned n_instances;
  bool protects_streams;
  GRand *arrivals;
  GRand *random; /* of the placement */
  struct gw_service service;
  struct gw_backends *tables[INSTANCES_MAX];
  struct server_ servers[SERVERS];
  int64_t now_ms;
  unsigned ended;
  unsigned late;
  unsigned on_time;
};

static int64_t
now_us_ (const struct simulation_ *simulation)
{
  return (1000000 + simulation->now_ms) * MS;
}

static void
set_up_ (struct simulation_ *simulation, unsigned n_instances, bool protects_streams)
{
  *simulation = (struct simulation_){ .n_instances = n_instances,
                                      .protects_streams = protects_streams,
                                      .arrivals = g_rand_new_with_seed (SEED),
                                      .random = g_rand_new_with_seed (SEED),
                                      .service = { .is_model = true, .slots = SLOTS } };
  for (unsigned i = 0; i < n_instances; i++)
    {
      const struct gw_backend *backend;

      simulation->tables[i] = gw_backends_new ();
      for (unsigned k = 0; k < SERVERS; k++)
        {
          struct gw_backend_facts facts = { .id = g_strdup_printf ("i-%u", k),
                                            .service = g_strdup ("s"),
                                            .data_centre = g_strdup ("here"),
                                            .slots = SLOTS };

          gw_backends_put (simulation->tables[i], &facts);
        }
      backend = gw_backends_of_service (simulation->tables[i], "s")->pdata[0];
      for (unsigned n = 0; n < SAMPLES; n++)
        gw_latency_model_note_prefill (backend->latency_model, 10000, 10000 / TOKENS_PER_MS * MS);
    }
}

static void
arrive_ (struct simulation_ *simulation)
{
  struct request_ *request = g_new0 (struct request_, 1);
  struct gw_prompt prompt = { .is_declared = true, .output_tokens_max = 100 };
  struct gw_placement_query query = { .service = &simulation->service,
                                      .prompt = &prompt,
                                      .data_centre = "here",
                                      .protects_streams = simulation->protects_streams,
                                      .now_us = now_us_ (simulation) };

  request->instance
      = (unsigned)g_rand_int_range (simulation->arrivals, 0, (gint32)simulation->n_instances);
  request->tokens = request->left = prompt.input_tokens = draw_tokens_ (simulation->arrivals);
  request->arrived_ms = simulation->now_ms;
  query.backends = gw_backends_of_service (simulation->tables[request->instance], "s");
  assert_int_equal (gw_placement_pick (&query, simulation->random, &request->place),
                    GW_PLACEMENT_PICKED);
  gw_placement_begin_request (&request->place, &query, 0);
  for (unsigned k = 0; k < SERVERS; k++)
    if (query.backends->pdata[k] == request->place.backend)
      g_queue_push_tail (&simulation->servers[k].waiting, request);
}

/* Prefills the first prompt that waits at SERVER for one millisecond. */
static void
prefill_ (struct simulation_ *simulation, struct server_ *server)
{
  struct request_ *first = g_queue_peek_head (&server->waiting);
  const struct gw_response_head response = { .has_load = true,
                                             .running = g_queue_get_length (&server->running) + 1,
                                             .waiting = g_queue_get_length (&server->waiting) - 1,
                                             .slots = SLOTS,
                                             .work_time_percent = 100 };

  if (server->began_ms == 0)
    server->began_ms = simulation->now_ms;
  for (GList *each = server->running.head; each != NULL; each = each->next)
    if (simulation->now_ms - server->began_ms > GAP_MS)
      ((struct request_ *)each->data)->is_late = true;
  first->left -= TOKENS_PER_MS;
  if (first->left > 0)
    return;
  g_queue_pop_head (&server->waiting);
  server->began_ms = 0;
  simulation->on_time += simulation->now_ms - first->arrived_ms <= OBJECTIVE_MS;
  gw_placement_note_response (first->place.backend, &response, now_us_ (simulation));
  gw_placement_note_first_byte (first->place.backend, first->place.uncached_tokens,
                                now_us_ (simulation));
  first->left = g_rand_int_range (simulation->arrivals, STREAM_MS / 2, STREAM_MS * 3 / 2);
  g_queue_push_tail (&server->running, first);
}

/* Runs the streams of SERVER for one millisecond. */
static void
run_ (struct simulation_ *simulation, struct server_ *server)
{
  for (GList *each = server->running.head; each != NULL;)
    {
      GList *following = each->next;
      struct request_ *request = each->data;

      gw_placement_note_received (request->place.backend, now_us_ (simulation));
      if (--request->left <= 0)
        {
          simulation->ended++;
          simulation->late += request->is_late;
          gw_placement_end_request (request->place.backend, 0, 0, GW_ATTEMPT_OK,
                                    now_us_ (simulation));
          g_queue_delete_link (&server->running, each);
          g_free (request);
        }
      each = following;
    }
}

/* Plays LOAD, relative to the prefill speed of all servers, at a fleet of INSTANCES. */
static struct result_
play_ (unsigned instances, double load, bool protects_streams)
{
  double per_ms = load * SERVERS * TOKENS_PER_MS / MEAN_TOKENS;
  struct simulation_ simulation;
  struct result_ result;

  set_up_ (&simulation, instances, protects_streams);
  for (simulation.now_ms = 1; simulation.now_ms < 2 * LOAD_MS; simulation.now_ms++)
    {
      for (unsigned i = 0; simulation.now_ms < LOAD_MS && i < (unsigned)ceil (per_ms); i++)
        if (g_rand_double (simulation.arrivals) < per_ms - i)
          arrive_ (&simulation);
      for (unsigned k = 0; k < SERVERS; k++)
        if (g_queue_is_empty (&simulation.servers[k].waiting))
          run_ (&simulation, &simulation.servers[k]);
        else
          prefill_ (&simulation, &simulation.servers[k]);
    }
  for (unsigned k = 0; k < SERVERS; k++)
    assert_true (g_queue_is_empty (&simulation.servers[k].waiting)
                 && g_queue_is_empty (&simulation.servers[k].running));
  result.late_streams_percent = 100.0 * simulation.late / simulation.ended;
  result.first_byte_percent = 100.0 * simulation.on_time / simulation.ended;
  print_message ("%u instances, load %.1f, %s: %.1f%% of streams late, %.1f%% of first bytes on "
                 "time\n",
                 instances, load, protects_streams ? "protected" : "not protected",
                 result.late_streams_percent, result.first_byte_percent);
  for (unsigned i = 0; i < instances; i++)
    gw_backends_delete (simulation.tables[i]);
  g_rand_free (simulation.arrivals);
  g_rand_free (simulation.random);
  return result;
}

/* Guards against large prompts placed beside many streams, which get no event meanwhile, and
 * against first bytes that are late for that. */
static void
large_prompts_are_placed_beside_few_streams (void **state)
{
  static const unsigned fleets[] = { 1, INSTANCES_MAX };
  static const double loads[] = { 0.2, 0.4 };

  for (size_t i = 0; i < G_N_ELEMENTS (fleets); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (loads); k++)
      {
        struct result_ with = play_ (fleets[i], loads[k], true);
        struct result_ without = play_ (fleets[i], loads[k], false);

        assert_true (with.late_streams_percent <= without.late_streams_percent / 2);
        assert_true (with.first_byte_percent >= without.first_byte_percent - 2);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (large_prompts_are_placed_beside_few_streams),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
