/* Compares the router and the admission queues with simpler policies in a discrete-event simulation
 * of backend servers. All policies get the same seed. Prints a Markdown table. */
#include "admit/admit.h"
#include "route/route.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  US_PER_S = 1000 * US_PER_MS,
  INSTANCES = 7,
  SERVERS = 10,
  DATA_CENTRES = 3,
  SLOTS_PER_SERVER = 8,
  SLOW_SERVER = 3,          /* generates tokens at half the speed of the other servers */
  STUCK_REPORT_SERVER = 7,  /* always reports a load of 0 */
  CACHED_PREFIXES_MAX = 12, /* for each server */
  PREFIXES = 60,            /* distinct prompt prefixes */
  TEAMS = 10,
  FLOODING_TEAM = 0,
  TOKEN_INTERVAL_US = 15 * US_PER_MS,
  PREFILL_US_PER_TOKEN = 250,
  NETWORK_DELAY_US = 1500, /* added to the time to the first token */
  TICK_US = 20 * US_PER_MS,
  REPORT_INTERVAL_US = 200 * US_PER_MS,
  WARM_UP_US = 20 * US_PER_S,
  END_US = 140 * US_PER_S,
  QUEUE_MAX = 400, /* requests, for each instance */
  SEED = 20260101
};

/* Fraction of the capacity that all teams together request without the flooding team's extra load.
 */
static const double BASE_LOAD = 0.7;
/* Requests per second that all servers together complete when no prefix is cached. */
static const double CAPACITY_REQUESTS_PER_S = 41.0;

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
  EVENT_CALLER_TIMEOUT,
  EVENT_TICK,
  EVENT_REPORT
};

enum job_state
{
  JOB_QUEUED_AT_INSTANCE,
  JOB_QUEUED_AT_SERVER, /* for a free slot */
  JOB_RUNNING,
  JOB_FINISHED
};

struct request_class
{
  double share; /* of all requests */
  enum sr_priority priority;
  int prompt_tokens;
  int output_tokens;
  int64_t time_limit_us;
};

static const struct request_class request_classes[] = {
  { 0.5, SR_PRIORITY_INTERACTIVE, 300, 30, 3 * US_PER_S },
  { 0.3, SR_PRIORITY_NORMAL, 1500, 100, 10 * US_PER_S },
  { 0.2, SR_PRIORITY_BATCH, 6000, 250, 60 * (int64_t)US_PER_S },
};

struct job
{
  const struct request_class *class;
  enum job_state state;
  int team;
  int prefix;
  int instance;
  int server;
  struct sr_route route;
  int64_t arrived_us;
  int64_t first_token_at_us;
  int references; /* scheduled events that point to this job; freed with the last one */
};

struct event
{
  int64_t time_us;
  enum event_kind kind;
  struct job *job;
  int index; /* of the instance, for EVENT_TICK */
};

struct server
{
  int running;
  int reported_load;
  GQueue waiting;      /* of struct job */
  GQueue cached;       /* prefix numbers, most recently used first */
  double busy_slot_us; /* sum over all slots, after the warm-up */
};

struct instance
{
  struct sr_router *router;
  struct sr_admit *admit;
  GQueue fifo; /* of struct job, for POLICY_NO_QUEUES */
};

struct simulation
{
  enum policy policy;
  double offered_load;
  int64_t now_us;
  GSequence *events;
  GRand *random;
  struct server servers[SERVERS];
  struct instance instances[INSTANCES];
  GPtrArray *backends;
  int next_server;
  int next_instance;
  GArray *first_token_us;
  int sent;
  int in_time;
  int refused;
  int other_teams_sent;
  int other_teams_in_time;
  int prefix_hits;
  int prefix_misses;
};

static gint
compare_events (gconstpointer left, gconstpointer right, gpointer data)
{
  const struct event *a = left;
  const struct event *b = right;

  return (a->time_us > b->time_us) - (a->time_us < b->time_us);
}

static void
schedule (
    struct simulation *sim, int64_t delay_us, enum event_kind kind, struct job *job, int index)
{
  struct event *event = g_new (struct event, 1);

  event->time_us = sim->now_us + delay_us;
  event->kind = kind;
  event->job = job;
  event->index = index;
  if (job != NULL)
    job->references++;
  g_sequence_insert_sorted (sim->events, event, compare_events, NULL);
}

/* Jobs that arrive during the warm-up, or less than the longest time limit (60 s) before the end,
 * are not counted. */
static bool
is_counted (const struct simulation *sim, const struct job *job)
{
  return job->arrived_us >= WARM_UP_US && job->arrived_us < END_US - 60 * (int64_t)US_PER_S;
}

static bool
has_queues (const struct simulation *sim)
{
  return sim->policy == POLICY_ALL || sim->policy == POLICY_NO_AFFINITY;
}

static bool
has_router (const struct simulation *sim)
{
  return has_queues (sim) || sim->policy == POLICY_NO_QUEUES;
}

static void dispatch (struct simulation *sim, int index);

/* Starts JOB in a free slot of its server. A cached prefix reduces the prefill time to a tenth. */
static void
run_job (struct simulation *sim, struct job *job)
{
  struct server *server = &sim->servers[job->server];
  GList *cached = g_queue_find (&server->cached, GINT_TO_POINTER (job->prefix));
  int64_t token_interval_us
      = job->server == SLOW_SERVER ? 2 * TOKEN_INTERVAL_US : TOKEN_INTERVAL_US;
  int64_t prefill_us = (int64_t)job->class->prompt_tokens * PREFILL_US_PER_TOKEN;
  int64_t total_us;

  if (cached != NULL)
    {
      prefill_us /= 10;
      g_queue_delete_link (&server->cached, cached);
    }
  if (is_counted (sim, job))
    *(cached != NULL ? &sim->prefix_hits : &sim->prefix_misses) += 1;
  g_queue_push_head (&server->cached, GINT_TO_POINTER (job->prefix));
  if (server->cached.length > CACHED_PREFIXES_MAX)
    g_queue_pop_tail (&server->cached);
  job->state = JOB_RUNNING;
  server->running++;
  total_us = prefill_us + job->class->output_tokens * token_interval_us;
  schedule (sim, prefill_us + token_interval_us, EVENT_FIRST_TOKEN, job, 0);
  schedule (sim, total_us, EVENT_END, job, 0);
}

static void
send_job (struct simulation *sim, struct job *job, int server)
{
  job->server = server;
  job->state = JOB_QUEUED_AT_SERVER;
  if (sim->servers[server].running < SLOTS_PER_SERVER)
    run_job (sim, job);
  else
    g_queue_push_tail (&sim->servers[server].waiting, job);
}

/* Removes JOB, completed or cancelled by its caller, from its server and starts queued jobs there.
 */
static void
remove_from_server (struct simulation *sim, struct job *job, enum sr_route_result result)
{
  struct server *server = &sim->servers[job->server];
  struct instance *instance = &sim->instances[job->instance];
  struct sr_route_report report = {
    .result = result,
    .first_byte_us = job->first_token_at_us > 0 ? job->first_token_at_us - job->route.picked_us : 0,
    .running = result == SR_ROUTE_RESULT_OK ? server->reported_load : -1,
    .waiting = result == SR_ROUTE_RESULT_OK ? 0 : -1,
    .now_us = sim->now_us,
  };

  if (job->state == JOB_RUNNING)
    server->running--;
  else
    g_queue_remove (&server->waiting, job);
  job->state = JOB_FINISHED;
  while (server->running < SLOTS_PER_SERVER && server->waiting.length > 0)
    run_job (sim, g_queue_pop_head (&server->waiting));
  if (!has_router (sim))
    return;
  sr_router_release (instance->router, &job->route, &report);
  if (has_queues (sim))
    sr_admit_report_end (instance->admit, "s", sim->now_us - job->route.picked_us);
  dispatch (sim, job->instance);
}

static struct job *
next_job (struct simulation *sim, struct instance *instance)
{
  if (has_queues (sim))
    return sr_admit_pop (instance->admit, "s", sim->now_us);
  return g_queue_pop_head (&instance->fifo);
}

/* Sends queued jobs of the instance INDEX to servers while the router has free slots. */
static void
dispatch (struct simulation *sim, int index)
{
  struct instance *instance = &sim->instances[index];
  struct job *job;

  while (sr_router_free_slots (instance->router, "s", sim->now_us) > 0
         && (job = next_job (sim, instance)) != NULL)
    {
      struct sr_route_query query = {
        .service = "s",
        .affinity = sim->policy == POLICY_NO_AFFINITY ? 0 : (uint64_t)job->prefix + 1,
        .now_us = sim->now_us,
      };

      g_assert (sr_router_pick (instance->router, &query, &job->route) == SR_ROUTE_PICKED);
      send_job (sim, job, job->route.port);
    }
}

static void
refuse_expired (struct simulation *sim, int index)
{
  struct job *job;
  int64_t retry_after_ms;

  while ((job = sr_admit_expire (sim->instances[index].admit, sim->now_us, &retry_after_ms))
         != NULL)
    {
      job->state = JOB_FINISHED;
      sim->refused += is_counted (sim, job) ? 1 : 0;
    }
}

static void
queue_job (struct simulation *sim, struct job *job)
{
  struct instance *instance = &sim->instances[job->instance];
  char team[16];
  int64_t retry_after_ms;
  struct sr_ticket ticket = {
    .service = "s",
    .team = team,
    .team_weight = 1,
    .priority = job->class->priority,
    .deadline_us = job->arrived_us + job->class->time_limit_us,
    .cost_tokens = job->class->prompt_tokens / 10 + job->class->output_tokens,
    .owner = job,
  };

  g_snprintf (team, sizeof team, "t%d", job->team);
  if (sr_admit_push (instance->admit, &ticket, sim->now_us, &retry_after_ms) == SR_ADMIT_QUEUED)
    return;
  job->state = JOB_FINISHED;
  sim->refused += is_counted (sim, job) ? 1 : 0;
}

static struct job *
make_job (struct simulation *sim)
{
  struct job *job = g_new0 (struct job, 1);
  double class_draw = g_rand_double (sim->random);
  bool is_flood = g_rand_double (sim->random) * sim->offered_load > BASE_LOAD;

  job->class = &request_classes[class_draw < 0.5 ? 0 : class_draw < 0.8 ? 1 : 2];
  job->team = is_flood ? FLOODING_TEAM : g_rand_int_range (sim->random, 0, TEAMS);
  job->prefix = (int)(PREFIXES * pow (g_rand_double (sim->random), 2));
  job->instance = sim->next_instance++ % INSTANCES;
  job->arrived_us = sim->now_us;
  return job;
}

static void
handle_arrival (struct simulation *sim)
{
  double gap_s
      = -log (1 - g_rand_double (sim->random)) / (sim->offered_load * CAPACITY_REQUESTS_PER_S);
  struct job *job = make_job (sim);

  schedule (sim, (int64_t)(gap_s * US_PER_S), EVENT_ARRIVAL, NULL, 0);
  schedule (sim, job->class->time_limit_us, EVENT_CALLER_TIMEOUT, job, 0);
  if (is_counted (sim, job))
    {
      sim->sent++;
      sim->other_teams_sent += job->team != FLOODING_TEAM ? 1 : 0;
    }
  if (sim->policy == POLICY_RANDOM)
    send_job (sim, job, g_rand_int_range (sim->random, 0, SERVERS));
  else if (sim->policy == POLICY_ROUND_ROBIN)
    send_job (sim, job, sim->next_server++ % SERVERS);
  else if (sim->policy == POLICY_NO_QUEUES)
    g_queue_push_tail (&sim->instances[job->instance].fifo, job);
  else
    queue_job (sim, job);
  if (has_router (sim))
    dispatch (sim, job->instance);
}

static void
record_first_token (struct simulation *sim, struct job *job)
{
  int64_t elapsed_us;

  if (job->state != JOB_RUNNING)
    return;
  job->first_token_at_us = sim->now_us + NETWORK_DELAY_US;
  elapsed_us = job->first_token_at_us - job->arrived_us;
  if (is_counted (sim, job))
    g_array_append_val (sim->first_token_us, elapsed_us);
}

static void
handle_end (struct simulation *sim, struct job *job)
{
  if (job->state != JOB_RUNNING)
    return;
  if (is_counted (sim, job))
    {
      sim->in_time++;
      sim->other_teams_in_time += job->team != FLOODING_TEAM ? 1 : 0;
    }
  remove_from_server (sim, job, SR_ROUTE_RESULT_OK);
}

/* The caller closes the connection at its deadline. Jobs in an admission queue are left to
 * refuse_expired (). */
static void
handle_caller_timeout (struct simulation *sim, struct job *job)
{
  if (job->state == JOB_FINISHED)
    return;
  if (job->state == JOB_QUEUED_AT_INSTANCE && sim->policy == POLICY_NO_QUEUES)
    {
      g_queue_remove (&sim->instances[job->instance].fifo, job);
      job->state = JOB_FINISHED;
    }
  else if (job->state != JOB_QUEUED_AT_INSTANCE)
    remove_from_server (sim, job, SR_ROUTE_RESULT_CANCELLED);
}

static void
tick (struct simulation *sim, int index)
{
  if (has_queues (sim))
    refuse_expired (sim, index);
  if (has_router (sim))
    dispatch (sim, index);
  schedule (sim, TICK_US, EVENT_TICK, NULL, index);
}

static void
refresh_reports (struct simulation *sim)
{
  for (int i = 0; i < SERVERS; i++)
    {
      struct server *server = &sim->servers[i];

      server->reported_load
          = i == STUCK_REPORT_SERVER ? 0 : server->running + (int)server->waiting.length;
      if (sim->now_us >= WARM_UP_US)
        server->busy_slot_us += (double)server->running * REPORT_INTERVAL_US;
    }
  schedule (sim, REPORT_INTERVAL_US, EVENT_REPORT, NULL, 0);
}

static void
handle_event (struct simulation *sim, struct event *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      handle_arrival (sim);
      break;
    case EVENT_FIRST_TOKEN:
      record_first_token (sim, event->job);
      break;
    case EVENT_END:
      handle_end (sim, event->job);
      break;
    case EVENT_CALLER_TIMEOUT:
      handle_caller_timeout (sim, event->job);
      break;
    case EVENT_TICK:
      tick (sim, event->index);
      break;
    case EVENT_REPORT:
      refresh_reports (sim);
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

/* The port of each backend server is its index in the simulation. */
static GPtrArray *
make_backends (void)
{
  GPtrArray *backends = g_ptr_array_new_with_free_func (backend_free);

  for (int i = 0; i < SERVERS; i++)
    {
      struct sr_config_backend *backend = g_new0 (struct sr_config_backend, 1);

      backend->name = g_string_new (NULL);
      g_string_printf (backend->name, "engine-%d", i);
      backend->service = g_string_new ("s");
      backend->address = g_string_new ("127.0.0.1");
      backend->port = (unsigned)i;
      backend->data_centre = g_string_new (NULL);
      g_string_printf (backend->data_centre, "dc%d", i % DATA_CENTRES);
      backend->slots = SLOTS_PER_SERVER;
      g_ptr_array_add (backends, backend);
    }
  return backends;
}

static void
start_instance (struct simulation *sim, int index)
{
  char name[16];
  char data_centre[16];
  struct sr_router_options router_options
      = { .data_centre = data_centre, .instance = name, .seed = SEED + (uint32_t)index };
  struct sr_admit_options admit_options
      = { .queue_max = QUEUE_MAX, .seed = SEED + (uint32_t)index };
  struct instance *instance = &sim->instances[index];

  g_snprintf (name, sizeof name, "instance-%d", index);
  g_snprintf (data_centre, sizeof data_centre, "dc%d", index % DATA_CENTRES);
  instance->router = sr_router_new (&router_options);
  instance->admit = sr_admit_new (&admit_options);
  g_queue_init (&instance->fifo);
  sr_router_apply_backends (instance->router, sim->backends, 0);
  schedule (sim, TICK_US * (index + 1) / INSTANCES, EVENT_TICK, NULL, index);
}

static int
compare_times (const void *left, const void *right)
{
  int64_t a = *(const int64_t *)left;
  int64_t b = *(const int64_t *)right;

  return (a > b) - (a < b);
}

static void
print_row (struct simulation *sim)
{
  GArray *times = sim->first_token_us;
  const int64_t *sorted = (const int64_t *)(void *)times->data;
  double seconds = (double)(END_US - WARM_UP_US) / US_PER_S - 60;
  double busiest_us = 0;
  double sum_us = 0;

  qsort (times->data, times->len, sizeof (int64_t), compare_times);
  for (int i = 0; i < SERVERS; i++)
    {
      busiest_us = MAX (busiest_us, sim->servers[i].busy_slot_us);
      sum_us += sim->servers[i].busy_slot_us;
    }
  printf ("| %.1f | %s | %lld | %lld | %.1f | %.1f | %.1f | %.1f | %.0f | %.2f |\n",
          sim->offered_load, policy_strings[sim->policy],
          (long long)(sorted[times->len / 2] / US_PER_MS),
          (long long)(sorted[times->len * 95 / 100] / US_PER_MS), sim->in_time / seconds,
          100.0 * sim->refused / sim->sent,
          100.0 * (sim->sent - sim->in_time - sim->refused) / sim->sent,
          100.0 * sim->other_teams_in_time / sim->other_teams_sent,
          100.0 * sim->prefix_hits / (sim->prefix_hits + sim->prefix_misses),
          busiest_us * SERVERS / sum_us);
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
run_simulation (enum policy policy, double offered_load)
{
  struct simulation sim = { .policy = policy, .offered_load = offered_load };

  sim.events = g_sequence_new (release_event);
  sim.random = g_rand_new_with_seed (SEED);
  sim.first_token_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  sim.backends = make_backends ();
  for (int i = 0; i < SERVERS; i++)
    {
      g_queue_init (&sim.servers[i].waiting);
      g_queue_init (&sim.servers[i].cached);
    }
  for (int i = 0; i < INSTANCES; i++)
    start_instance (&sim, i);
  schedule (&sim, 0, EVENT_ARRIVAL, NULL, 0);
  schedule (&sim, 0, EVENT_REPORT, NULL, 0);
  while (sim.now_us < END_US)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (sim.events);
      struct event *event = g_sequence_get (first);

      sim.now_us = event->time_us;
      handle_event (&sim, event);
      g_sequence_remove (first);
    }
  print_row (&sim);
  g_sequence_free (sim.events);
  g_array_unref (sim.first_token_us);
  g_rand_free (sim.random);
  g_ptr_array_unref (sim.backends);
  for (int i = 0; i < INSTANCES; i++)
    {
      sr_router_delete (sim.instances[i].router);
      sr_admit_delete (sim.instances[i].admit);
      g_queue_clear (&sim.instances[i].fifo);
    }
  for (int i = 0; i < SERVERS; i++)
    {
      g_queue_clear (&sim.servers[i].waiting);
      g_queue_clear (&sim.servers[i].cached);
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
      run_simulation ((enum policy)policy, loads[i]);
  return 0;
}
