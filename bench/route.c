/* Compares the choice of backend servers and the queues with simpler ways, on simple models of
 * engines, event by event, with the same seed for all. Prints a Markdown table. */
#include "admit/admit.h"
#include "route/route.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  MS = 1000,
  S = 1000 * MS,
  INSTANCES = 7,
  ENGINES = 10,
  DATA_CENTRES = 3,
  SLOTS = 8,
  SLOW_ENGINE = 3,  /* half as fast as the others */
  STUCK_ENGINE = 7, /* always reports no load */
  CACHED_PREFIXES = 12,
  PREFIXES = 60,
  TEAMS = 10,
  FLOODING_TEAM = 0,
  PACE_US = 15 * MS,
  PREFILL_US_PER_TOKEN = 250,
  CROSSING_US = 1500,
  TICK_US = 20 * MS,
  REPORT_EVERY_US = 200 * MS,
  WARM_UP_US = 20 * S,
  END_US = 140 * S,
  QUEUE_MAX = 400,
  SEED = 20260101
};

/* Part of the capacity that all teams together ask for before the flood. */
static const double BASE_LOAD = 0.7;
/* Requests a second the engines can serve without cached prefixes. */
static const double CAPACITY_PER_S = 41.0;

enum policy
{
  POLICY_ALL,
  POLICY_NO_AFFINITY,
  POLICY_NO_QUEUES,
  POLICY_RANDOM,
  POLICY_ROUND_ROBIN,
  POLICIES
};

static const char *const policy_strings[] = { "router and queues", "the same, no affinity",
                                              "router, no queues", "random", "round robin" };

enum event_kind
{
  EVENT_ARRIVAL,
  EVENT_FIRST_TOKEN,
  EVENT_END,
  EVENT_GIVE_UP,
  EVENT_TICK,
  EVENT_REPORT
};

enum job_state
{
  JOB_QUEUED,
  JOB_WAITING, /* at its engine */
  JOB_RUNNING,
  JOB_OVER
};

struct mix
{
  double share;
  enum sr_priority priority;
  int prompt_tokens;
  int output_tokens;
  int64_t patience_us;
};

static const struct mix mixes[] = {
  { 0.5, SR_PRIORITY_INTERACTIVE, 300, 30, 3 * S },
  { 0.3, SR_PRIORITY_NORMAL, 1500, 100, 10 * S },
  { 0.2, SR_PRIORITY_BATCH, 6000, 250, 60 * (int64_t)S },
};

struct job
{
  const struct mix *mix;
  enum job_state state;
  int team;
  int prefix;
  int instance;
  int engine;
  struct sr_route route;
  int64_t arrived_us;
  int64_t first_us;
  int references; /* events that point here */
};

struct event
{
  int64_t time_us;
  enum event_kind kind;
  struct job *job;
  int index; /* of the instance or engine */
};

struct engine
{
  int running;
  int reported;
  GQueue waiting; /* of struct job */
  GQueue cached;  /* prefix numbers, latest first */
  double busy_us;
};

struct instance
{
  struct sr_router *router;
  struct sr_admit *admit;
  GQueue fifo; /* of struct job, without queues */
};

struct world
{
  enum policy policy;
  double offered;
  int64_t now_us;
  GSequence *events;
  GRand *random;
  struct engine engines[ENGINES];
  struct instance instances[INSTANCES];
  GPtrArray *backends;
  int next_engine;
  int next_instance;
  GArray *first_token_us;
  int sent;
  int in_time;
  int refused;
  int others_sent;
  int others_in_time;
  int hits;
  int misses;
};

static gint
compare_events (gconstpointer left, gconstpointer right, gpointer data)
{
  const struct event *a = left;
  const struct event *b = right;

  return (a->time_us > b->time_us) - (a->time_us < b->time_us);
}

static void
schedule (struct world *world, int64_t in_us, enum event_kind kind, struct job *job, int index)
{
  struct event *event = g_new (struct event, 1);

  event->time_us = world->now_us + in_us;
  event->kind = kind;
  event->job = job;
  event->index = index;
  if (job != NULL)
    job->references++;
  g_sequence_insert_sorted (world->events, event, compare_events, NULL);
}

static bool
is_counted (const struct world *world, const struct job *job)
{
  return job->arrived_us >= WARM_UP_US && job->arrived_us < END_US - 60 * (int64_t)S;
}

static bool
has_queues (const struct world *world)
{
  return world->policy == POLICY_ALL || world->policy == POLICY_NO_AFFINITY;
}

static bool
has_router (const struct world *world)
{
  return has_queues (world) || world->policy == POLICY_NO_QUEUES;
}

static void dispatch (struct world *world, int index);

/* Starts JOB in a free slot of its engine. */
static void
run_job (struct world *world, struct job *job)
{
  struct engine *engine = &world->engines[job->engine];
  GList *cached = g_queue_find (&engine->cached, GINT_TO_POINTER (job->prefix));
  int64_t pace_us = job->engine == SLOW_ENGINE ? 2 * PACE_US : PACE_US;
  int64_t prefill_us = (int64_t)job->mix->prompt_tokens * PREFILL_US_PER_TOKEN;
  int64_t total_us;

  if (cached != NULL)
    {
      prefill_us /= 10;
      g_queue_delete_link (&engine->cached, cached);
    }
  if (is_counted (world, job))
    *(cached != NULL ? &world->hits : &world->misses) += 1;
  g_queue_push_head (&engine->cached, GINT_TO_POINTER (job->prefix));
  if (engine->cached.length > CACHED_PREFIXES)
    g_queue_pop_tail (&engine->cached);
  job->state = JOB_RUNNING;
  engine->running++;
  total_us = prefill_us + job->mix->output_tokens * pace_us;
  schedule (world, prefill_us + pace_us, EVENT_FIRST_TOKEN, job, 0);
  schedule (world, total_us, EVENT_END, job, 0);
}

static void
send_job (struct world *world, struct job *job, int engine)
{
  job->engine = engine;
  job->state = JOB_WAITING;
  if (world->engines[engine].running < SLOTS)
    run_job (world, job);
  else
    g_queue_push_tail (&world->engines[engine].waiting, job);
}

/* Ends JOB at its engine, in time or by its caller's giving up, and lets the next one in. */
static void
leave_engine (struct world *world, struct job *job, enum sr_route_result result)
{
  struct engine *engine = &world->engines[job->engine];
  struct instance *instance = &world->instances[job->instance];
  struct sr_route_report report = {
    .result = result,
    .first_byte_us = job->first_us > 0 ? job->first_us - job->route.picked_us : 0,
    .running = result == SR_ROUTE_RESULT_OK ? engine->reported : -1,
    .waiting = result == SR_ROUTE_RESULT_OK ? 0 : -1,
    .now_us = world->now_us,
  };

  if (job->state == JOB_RUNNING)
    engine->running--;
  else
    g_queue_remove (&engine->waiting, job);
  job->state = JOB_OVER;
  while (engine->running < SLOTS && engine->waiting.length > 0)
    run_job (world, g_queue_pop_head (&engine->waiting));
  if (!has_router (world))
    return;
  sr_router_release (instance->router, &job->route, &report);
  if (has_queues (world))
    sr_admit_report_end (instance->admit, "s", world->now_us - job->route.picked_us);
  dispatch (world, job->instance);
}

static struct job *
next_job (struct world *world, struct instance *instance)
{
  if (has_queues (world))
    return sr_admit_pop (instance->admit, "s", world->now_us);
  return g_queue_pop_head (&instance->fifo);
}

/* Sends what waits at the instance INDEX as long as there are places. */
static void
dispatch (struct world *world, int index)
{
  struct instance *instance = &world->instances[index];
  struct job *job;

  while (sr_router_free_slots (instance->router, "s", world->now_us) > 0
         && (job = next_job (world, instance)) != NULL)
    {
      struct sr_route_query query = {
        .service = "s",
        .affinity = world->policy == POLICY_NO_AFFINITY ? 0 : (uint64_t)job->prefix + 1,
        .now_us = world->now_us,
      };

      g_assert (sr_router_pick (instance->router, &query, &job->route) == SR_ROUTE_PICKED);
      send_job (world, job, job->route.port);
    }
}

static void
refuse_late (struct world *world, int index)
{
  struct job *job;
  int64_t retry_after_ms;

  while ((job = sr_admit_expire (world->instances[index].admit, world->now_us, &retry_after_ms))
         != NULL)
    {
      job->state = JOB_OVER;
      world->refused += is_counted (world, job) ? 1 : 0;
    }
}

static void
queue_job (struct world *world, struct job *job)
{
  struct instance *instance = &world->instances[job->instance];
  char team[16];
  int64_t retry_after_ms;
  struct sr_ticket ticket = {
    .service = "s",
    .team = team,
    .team_weight = 1,
    .priority = job->mix->priority,
    .deadline_us = job->arrived_us + job->mix->patience_us,
    .cost_tokens = job->mix->prompt_tokens / 10 + job->mix->output_tokens,
    .owner = job,
  };

  g_snprintf (team, sizeof team, "t%d", job->team);
  if (sr_admit_push (instance->admit, &ticket, world->now_us, &retry_after_ms) == SR_ADMIT_QUEUED)
    return;
  job->state = JOB_OVER;
  world->refused += is_counted (world, job) ? 1 : 0;
}

static struct job *
make_job (struct world *world)
{
  struct job *job = g_new0 (struct job, 1);
  double draw = g_rand_double (world->random);
  bool is_flood = g_rand_double (world->random) * world->offered > BASE_LOAD;

  job->mix = &mixes[draw < 0.5 ? 0 : draw < 0.8 ? 1 : 2];
  job->team = is_flood ? FLOODING_TEAM : g_rand_int_range (world->random, 0, TEAMS);
  job->prefix = (int)(PREFIXES * pow (g_rand_double (world->random), 2));
  job->instance = world->next_instance++ % INSTANCES;
  job->arrived_us = world->now_us;
  return job;
}

static void
arrive (struct world *world)
{
  double gap_s = -log (1 - g_rand_double (world->random)) / (world->offered * CAPACITY_PER_S);
  struct job *job = make_job (world);

  schedule (world, (int64_t)(gap_s * S), EVENT_ARRIVAL, NULL, 0);
  schedule (world, job->mix->patience_us, EVENT_GIVE_UP, job, 0);
  if (is_counted (world, job))
    {
      world->sent++;
      world->others_sent += job->team != FLOODING_TEAM ? 1 : 0;
    }
  if (world->policy == POLICY_RANDOM)
    send_job (world, job, g_rand_int_range (world->random, 0, ENGINES));
  else if (world->policy == POLICY_ROUND_ROBIN)
    send_job (world, job, world->next_engine++ % ENGINES);
  else if (world->policy == POLICY_NO_QUEUES)
    g_queue_push_tail (&world->instances[job->instance].fifo, job);
  else
    queue_job (world, job);
  if (has_router (world))
    dispatch (world, job->instance);
}

static void
note_first_token (struct world *world, struct job *job)
{
  int64_t taken_us;

  if (job->state != JOB_RUNNING)
    return;
  job->first_us = world->now_us + CROSSING_US;
  taken_us = job->first_us - job->arrived_us;
  if (is_counted (world, job))
    g_array_append_val (world->first_token_us, taken_us);
}

static void
end_job (struct world *world, struct job *job)
{
  if (job->state != JOB_RUNNING)
    return;
  if (is_counted (world, job))
    {
      world->in_time++;
      world->others_in_time += job->team != FLOODING_TEAM ? 1 : 0;
    }
  leave_engine (world, job, SR_ROUTE_RESULT_OK);
}

/* The caller hangs up at its deadline. */
static void
give_up (struct world *world, struct job *job)
{
  if (job->state == JOB_OVER)
    return;
  if (job->state == JOB_QUEUED && world->policy == POLICY_NO_QUEUES)
    {
      g_queue_remove (&world->instances[job->instance].fifo, job);
      job->state = JOB_OVER;
    }
  else if (job->state != JOB_QUEUED)
    leave_engine (world, job, SR_ROUTE_RESULT_CANCELLED);
}

static void
tick (struct world *world, int index)
{
  if (has_queues (world))
    refuse_late (world, index);
  if (has_router (world))
    dispatch (world, index);
  schedule (world, TICK_US, EVENT_TICK, NULL, index);
}

static void
refresh_reports (struct world *world)
{
  for (int i = 0; i < ENGINES; i++)
    {
      struct engine *engine = &world->engines[i];

      engine->reported = i == STUCK_ENGINE ? 0 : engine->running + (int)engine->waiting.length;
      if (world->now_us >= WARM_UP_US)
        engine->busy_us += (double)engine->running * REPORT_EVERY_US;
    }
  schedule (world, REPORT_EVERY_US, EVENT_REPORT, NULL, 0);
}

static void
handle (struct world *world, struct event *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      arrive (world);
      break;
    case EVENT_FIRST_TOKEN:
      note_first_token (world, event->job);
      break;
    case EVENT_END:
      end_job (world, event->job);
      break;
    case EVENT_GIVE_UP:
      give_up (world, event->job);
      break;
    case EVENT_TICK:
      tick (world, event->index);
      break;
    case EVENT_REPORT:
      refresh_reports (world);
      break;
    }
}

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

/* Makes the engines; the port carries the index. */
static GPtrArray *
make_backends (void)
{
  GPtrArray *backends = g_ptr_array_new_with_free_func (backend_free);

  for (int i = 0; i < ENGINES; i++)
    {
      struct sr_config_backend *backend = g_new0 (struct sr_config_backend, 1);

      backend->name = g_string_new (NULL);
      g_string_printf (backend->name, "engine-%d", i);
      backend->service = g_string_new ("s");
      backend->address = g_string_new ("127.0.0.1");
      backend->port = (unsigned)i;
      backend->data_centre = g_string_new (NULL);
      g_string_printf (backend->data_centre, "dc%d", i % DATA_CENTRES);
      backend->slots = SLOTS;
      g_ptr_array_add (backends, backend);
    }
  return backends;
}

static void
start_instance (struct world *world, int index)
{
  char name[16];
  char data_centre[16];
  struct sr_router_options router_options
      = { .data_centre = data_centre, .instance = name, .seed = SEED + (uint32_t)index };
  struct sr_admit_options admit_options
      = { .queue_max = QUEUE_MAX, .seed = SEED + (uint32_t)index };
  struct instance *instance = &world->instances[index];

  g_snprintf (name, sizeof name, "instance-%d", index);
  g_snprintf (data_centre, sizeof data_centre, "dc%d", index % DATA_CENTRES);
  instance->router = sr_router_new (&router_options);
  instance->admit = sr_admit_new (&admit_options);
  g_queue_init (&instance->fifo);
  sr_router_apply_backends (instance->router, world->backends, 0);
  schedule (world, TICK_US * (index + 1) / INSTANCES, EVENT_TICK, NULL, index);
}

static int
compare_times (const void *left, const void *right)
{
  int64_t a = *(const int64_t *)left;
  int64_t b = *(const int64_t *)right;

  return (a > b) - (a < b);
}

static void
print_row (struct world *world)
{
  GArray *times = world->first_token_us;
  const int64_t *sorted = (const int64_t *)(void *)times->data;
  double seconds = (double)(END_US - WARM_UP_US) / S - 60;
  double most = 0;
  double sum = 0;

  qsort (times->data, times->len, sizeof (int64_t), compare_times);
  for (int i = 0; i < ENGINES; i++)
    {
      most = MAX (most, world->engines[i].busy_us);
      sum += world->engines[i].busy_us;
    }
  printf ("| %.1f | %s | %lld | %lld | %.1f | %.1f | %.1f | %.1f | %.0f | %.2f |\n", world->offered,
          policy_strings[world->policy], (long long)(sorted[times->len / 2] / MS),
          (long long)(sorted[times->len * 95 / 100] / MS), world->in_time / seconds,
          100.0 * world->refused / world->sent,
          100.0 * (world->sent - world->in_time - world->refused) / world->sent,
          100.0 * world->others_in_time / world->others_sent,
          100.0 * world->hits / (world->hits + world->misses), most * ENGINES / sum);
}

static void
release_event (void *data)
{
  struct event *event = data;

  if (event->job != NULL && --event->job->references == 0)
    g_free (event->job);
  g_free (event);
}

static void
run_world (enum policy policy, double offered)
{
  struct world world = { .policy = policy, .offered = offered };

  world.events = g_sequence_new (release_event);
  world.random = g_rand_new_with_seed (SEED);
  world.first_token_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  world.backends = make_backends ();
  for (int i = 0; i < ENGINES; i++)
    {
      g_queue_init (&world.engines[i].waiting);
      g_queue_init (&world.engines[i].cached);
    }
  for (int i = 0; i < INSTANCES; i++)
    start_instance (&world, i);
  schedule (&world, 0, EVENT_ARRIVAL, NULL, 0);
  schedule (&world, 0, EVENT_REPORT, NULL, 0);
  while (world.now_us < END_US)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world.events);
      struct event *event = g_sequence_get (first);

      world.now_us = event->time_us;
      handle (&world, event);
      g_sequence_remove (first);
    }
  print_row (&world);
  g_sequence_free (world.events);
  g_array_unref (world.first_token_us);
  g_rand_free (world.random);
  g_ptr_array_unref (world.backends);
  for (int i = 0; i < INSTANCES; i++)
    {
      sr_router_delete (world.instances[i].router);
      sr_admit_delete (world.instances[i].admit);
      g_queue_clear (&world.instances[i].fifo);
    }
  for (int i = 0; i < ENGINES; i++)
    {
      g_queue_clear (&world.engines[i].waiting);
      g_queue_clear (&world.engines[i].cached);
    }
}

int
main (void)
{
  static const double loads[] = { 0.7, 1.0, 2.0, 5.0 };

  printf ("| load | way | first token p50 ms | p95 ms | in time /s | refused %% | late %% "
          "| others in time %% | prefix hits %% | busiest / mean |\n");
  printf ("|---|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    for (int policy = 0; policy < POLICIES; policy++)
      run_world ((enum policy)policy, loads[i]);
  return 0;
}
