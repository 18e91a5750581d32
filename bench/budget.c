/* Measures what a way of keeping one budget costs: overspend, false refusals, calls to the
 * platform, latency, and tokens stranded. Each way runs under the same seeded load and faults. */
#include "budget/budget.h"
#include "budget/top-up.h"
#include "platform/platform-memory.h"
#include "testing/harness/samples.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  FIRST_PORT = 31801,
  INSTANCES = 8,
  DATA_CENTRES = 3,
  CALLERS = 5,       /* at each instance */
  BUSY_CALLERS = 10, /* at the first one */
  PREPAID = 1200000,
  BOUND_TOKENS = 400, /* reserved by a request */
  USED_MIN_TOKENS = 50,
  HOLD_US = 30000, /* a request runs this long */
  THINK_US = 50000,
  PLATFORM_US = 3000, /* a call to the platform */
  PHASE_US = 2000000,
  LIMIT_US = 16000000,
  REFUSALS_TO_STOP = 6, /* in a row, after the last fault */
  REFUSAL_PAUSE_US = 150000,
  CRASHED = 7, /* draws on the platform for its data centre */
  US_PER_S = 1000000,
  TRIES_MAX = 40
};

enum way
{
  WAY_WITNESS,
  WAY_WRITE_OFF,
  WAY_FIXED_SHARE,
  WAY_PLATFORM_WRITE,
  WAYS
};

static const char *const way_names[]
    = { "loans, witness", "loans, write-off", "fixed share", "platform write a request" };

/* The platform as one instance sees it: slow, counted, and out while its flag is set. */
struct remote
{
  struct sr_platform base;
  atomic_bool out;
};

struct instance
{
  char name[8];
  unsigned index;
  struct remote *platform;
  struct sr_peer_client *client;
  struct sr_peer_server *server;
  struct sr_budgets *budgets;
  int64_t share; /* fixed share: what is left, under the world's mutex */
  atomic_bool crashed;
};

struct world
{
  enum way way;
  pthread_mutex_t mutex;
  struct sr_platform *memory;
  struct instance instances[INSTANCES];
  struct sr_member members[INSTANCES];
  bool partitioned;
  int silent; /* a socket that never answers */
  unsigned silent_port;
  int64_t committed; /* consumed or reserved by all requests, under the mutex */
  atomic_int_fast64_t platform_calls;
  atomic_int_fast64_t requests;
  atomic_int_fast64_t refused;
  atomic_int_fast64_t false_refusals;
  atomic_bool last_phase;
  struct samples *latency_us;
  int64_t end_us;
};

struct caller
{
  pthread_t thread;
  struct instance *instance;
  uint32_t seed;
};

static struct world world;

static enum sr_platform_status
remote_call_ (struct sr_platform *platform)
{
  struct remote *remote = (struct remote *)platform;

  atomic_fetch_add (&world.platform_calls, 1);
  if (atomic_load (&remote->out))
    return SR_PLATFORM_OUT;
  usleep (PLATFORM_US);
  return SR_PLATFORM_OK;
}

static enum sr_platform_status
remote_get_ (struct sr_platform *platform,
             const char *kind,
             const char *name,
             GString *body,
             int64_t *version)
{
  enum sr_platform_status status = remote_call_ (platform);

  if (status != SR_PLATFORM_OK)
    return status;
  return sr_platform_get (world.memory, kind, name, body, version);
}

static enum sr_platform_status
remote_put_ (struct sr_platform *platform,
             const char *kind,
             const char *name,
             const char *body,
             size_t length,
             int64_t expected_version,
             int64_t *version)
{
  enum sr_platform_status status = remote_call_ (platform);

  if (status != SR_PLATFORM_OK)
    return status;
  return sr_platform_put (world.memory, kind, name, body, length, expected_version, version);
}

static void
remote_finish_ (struct sr_platform *platform)
{
  g_free (platform);
}

static const struct sr_platform_vtable remote_vtable
    = { .get = remote_get_, .put = remote_put_, .finish = remote_finish_ };

static struct sr_member_view *
view_ (void *data)
{
  const struct instance *self = data;
  struct sr_member_view *view;

  pthread_mutex_lock (&world.mutex);
  view = sr_member_view_new (world.members, INSTANCES);
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      view->members[i].is_self = i == self->index;
      if (world.partitioned && i % DATA_CENTRES != self->index % DATA_CENTRES)
        view->members[i].peer.port = world.silent_port;
    }
  pthread_mutex_unlock (&world.mutex);
  return view;
}

static void
start_instance_ (unsigned index)
{
  struct instance *instance = &world.instances[index];
  struct sr_peer_server_options server = { .address = "127.0.0.1", .port = FIRST_PORT + index };
  struct sr_peer_client_options client = { .source_address = NULL };
  struct sr_budgets_options options = { .platform = &instance->platform->base,
                                        .view = view_,
                                        .view_data = instance,
                                        .instance = instance->name,
                                        .data_centre = world.members[index].data_centre,
                                        .incarnation = 1,
                                        .allotment_cover_s = 10,
                                        .idle_return_s = 30,
                                        .settle_interval_ms = 1000,
                                        .without_witness = world.way == WAY_WRITE_OFF,
                                        .seed = index };

  instance->client = sr_peer_client_new (&client);
  instance->server = sr_peer_server_new (&server);
  options.peers = instance->client;
  instance->budgets = sr_budgets_new (&options);
  sr_budgets_add_to_server (instance->budgets, instance->server);
  if (!sr_peer_server_start (instance->server) || !sr_budgets_start (instance->budgets))
    g_error ("an instance could not be started");
}

static void
stop_instance_ (unsigned index)
{
  struct instance *instance = &world.instances[index];

  if (instance->budgets == NULL)
    return;
  sr_budgets_stop (instance->budgets);
  sr_peer_server_stop (instance->server);
  sr_peer_server_delete (instance->server);
  sr_budgets_delete (instance->budgets);
  sr_peer_client_delete (instance->client);
  instance->budgets = NULL;
}

/* Opens a socket whose datagrams nobody answers. */
static void
open_silent_ (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) }, .sin_port = 0 };
  socklen_t length = sizeof address;

  world.silent = socket (AF_INET, SOCK_DGRAM, 0);
  if (bind (world.silent, (struct sockaddr *)&address, length) != 0
      || getsockname (world.silent, (struct sockaddr *)&address, &length) != 0)
    g_error ("no socket");
  world.silent_port = ntohs (address.sin_port);
}

static void
start_ (enum way way)
{
  struct sr_top_up_request request
      = { .budget = "b", .id = "t", .who = "w", .tokens = PREPAID, .time_ms = 1 };
  struct sr_top_up_result result;

  world = (struct world){ .way = way,
                          .latency_us = samples_new (),
                          .memory = sr_platform_memory_new () };
  pthread_mutex_init (&world.mutex, NULL);
  open_silent_ ();
  sr_top_up_apply (world.memory, &request, &result);
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      struct instance *instance = &world.instances[i];
      struct sr_member *member = &world.members[i];

      g_snprintf (instance->name, sizeof instance->name, "i%u", i);
      instance->index = i;
      instance->share = PREPAID / INSTANCES;
      instance->platform = g_new0 (struct remote, 1);
      instance->platform->base.vtable = &remote_vtable;
      instance->platform->base.reference_count = 1;
      g_strlcpy (member->name, instance->name, sizeof member->name);
      g_snprintf (member->data_centre, sizeof member->data_centre, "dc%u", i % DATA_CENTRES);
      g_strlcpy (member->peer.ip, "127.0.0.1", sizeof member->peer.ip);
      member->peer.port = FIRST_PORT + i;
      member->incarnation = 1;
    }
  for (unsigned i = 0; i < INSTANCES && way <= WAY_WRITE_OFF; i++)
    start_instance_ (i);
}

static void
stop_ (void)
{
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      stop_instance_ (i);
      sr_platform_unref (&world.instances[i].platform->base);
    }
  sr_platform_unref (world.memory);
  samples_delete (world.latency_us);
  close (world.silent);
  pthread_mutex_destroy (&world.mutex);
}

/* The baseline that adds TOKENS to the platform's settled ones with each request. */
static bool
write_to_platform_ (struct instance *instance, int64_t tokens)
{
  struct sr_platform *platform = &instance->platform->base;
  GString *body = g_string_new (NULL);
  bool done = false;
  bool enough = true;

  for (unsigned try = 0; try < TRIES_MAX && !done && enough; try++)
    {
      struct sr_record *record;
      int64_t version;

      g_string_truncate (body, 0);
      if (sr_platform_get (platform, SR_BUDGET_KIND, "b", body, &version) != SR_PLATFORM_OK)
        break;
      record = sr_record_parse (body->str, body->len);
      enough = sr_record_remaining (record) >= tokens;
      record->settled += tokens;
      g_string_truncate (body, 0);
      sr_record_print (record, body);
      done = enough
             && sr_platform_put (platform, SR_BUDGET_KIND, "b", body->str, body->len, version,
                                 &version)
                    == SR_PLATFORM_OK;
      sr_record_delete (record);
    }
  g_string_free (body, TRUE);
  return done;
}

static bool
reserve_ (struct instance *instance, struct sr_reservation **reservation)
{
  bool taken = false;
  int64_t retry_after_ms;

  switch (world.way)
    {
    case WAY_WITNESS:
    case WAY_WRITE_OFF:
      return sr_budgets_reserve (instance->budgets, "b", BOUND_TOKENS,
                                 g_get_monotonic_time () + 2 * US_PER_S, reservation,
                                 &retry_after_ms)
             == SR_BUDGET_RESERVED;
    case WAY_FIXED_SHARE:
      pthread_mutex_lock (&world.mutex);
      taken = instance->share >= BOUND_TOKENS;
      instance->share -= taken ? BOUND_TOKENS : 0;
      pthread_mutex_unlock (&world.mutex);
      return taken;
    default:
      return write_to_platform_ (instance, BOUND_TOKENS);
    }
}

static void
settle_ (struct instance *instance, struct sr_reservation *reservation, int64_t used)
{
  switch (world.way)
    {
    case WAY_WITNESS:
    case WAY_WRITE_OFF:
      sr_budgets_settle (instance->budgets, reservation, used);
      break;
    case WAY_FIXED_SHARE:
      pthread_mutex_lock (&world.mutex);
      instance->share += BOUND_TOKENS - used;
      pthread_mutex_unlock (&world.mutex);
      break;
    default:
      write_to_platform_ (instance, used - BOUND_TOKENS);
    }
}

/* One request. Returns false when it was refused. A refusal is false when the budget as a whole
 * still held the tokens at that moment: prepaid less what all requests consumed or reserved. */
static bool
request_ (struct instance *instance, GRand *random)
{
  struct sr_reservation *reservation = NULL;
  int64_t begin_us = g_get_monotonic_time ();
  bool reserved = reserve_ (instance, &reservation);
  int64_t used = g_rand_int_range (random, USED_MIN_TOKENS, BOUND_TOKENS + 1);

  atomic_fetch_add (&world.requests, 1);
  samples_add (world.latency_us, g_get_monotonic_time () - begin_us);
  pthread_mutex_lock (&world.mutex);
  if (reserved)
    world.committed += BOUND_TOKENS;
  else if (world.committed + BOUND_TOKENS <= PREPAID)
    atomic_fetch_add (&world.false_refusals, 1);
  pthread_mutex_unlock (&world.mutex);
  if (!reserved)
    {
      atomic_fetch_add (&world.refused, 1);
      return false;
    }
  usleep (HOLD_US);
  settle_ (instance, reservation, used);
  pthread_mutex_lock (&world.mutex);
  world.committed -= BOUND_TOKENS - used;
  pthread_mutex_unlock (&world.mutex);
  return true;
}

static void *
caller_run_ (void *data)
{
  struct caller *caller = data;
  GRand *random = g_rand_new_with_seed (caller->seed);
  unsigned in_a_row = 0;

  while (in_a_row < REFUSALS_TO_STOP && g_get_monotonic_time () < world.end_us
         && !atomic_load (&caller->instance->crashed))
    {
      bool served = request_ (caller->instance, random);

      in_a_row = served || !atomic_load (&world.last_phase) ? 0 : in_a_row + 1;
      usleep (served ? (useconds_t)g_rand_int_range (random, 0, 2 * THINK_US) : REFUSAL_PAUSE_US);
    }
  g_rand_free (random);
  return NULL;
}

static void
set_out_ (unsigned index, bool out)
{
  atomic_store (&world.instances[index].platform->out, out);
}

/* Normal; the platform out for all; data centres apart, only the first with the platform; then one
 * instance crashes, and the budget runs down. */
static void
run_phases_ (void)
{
  usleep (PHASE_US);
  for (unsigned i = 0; i < INSTANCES; i++)
    set_out_ (i, true);
  usleep (PHASE_US);
  pthread_mutex_lock (&world.mutex);
  world.partitioned = true;
  pthread_mutex_unlock (&world.mutex);
  for (unsigned i = 0; i < INSTANCES; i++)
    set_out_ (i, i % DATA_CENTRES != 0);
  usleep (PHASE_US);
  for (unsigned i = 0; i < INSTANCES; i++)
    set_out_ (i, false);
  atomic_store (&world.instances[CRASHED].crashed, true);
  pthread_mutex_lock (&world.mutex);
  world.partitioned = false;
  world.members[CRASHED].state = SR_MEMBER_DEAD;
  pthread_mutex_unlock (&world.mutex);
  atomic_store (&world.last_phase, true);
}

static void
report_ (void)
{
  double requests = (double)atomic_load (&world.requests);

  printf ("%-26s %8.0f %9" G_GINT64_FORMAT " %9" G_GINT64_FORMAT " %8" G_GINT64_FORMAT
          " %9" G_GINT64_FORMAT " %9.3f %8" G_GINT64_FORMAT " %8" G_GINT64_FORMAT "\n",
          way_names[world.way], requests, MAX (world.committed - PREPAID, 0),
          PREPAID - world.committed, (gint64)atomic_load (&world.refused),
          (gint64)atomic_load (&world.false_refusals),
          (double)atomic_load (&world.platform_calls) / requests,
          samples_percentile (world.latency_us, 50), samples_percentile (world.latency_us, 99));
}

static void
run_ (enum way way)
{
  struct caller callers[CALLERS * INSTANCES + BUSY_CALLERS];
  unsigned count = 0;

  start_ (way);
  world.end_us = g_get_monotonic_time () + LIMIT_US;
  for (unsigned i = 0; i < INSTANCES; i++)
    for (unsigned j = 0; j < CALLERS + (i == 0 ? BUSY_CALLERS : 0); j++)
      {
        callers[count] = (struct caller){ .instance = &world.instances[i], .seed = count + 1 };
        pthread_create (&callers[count].thread, NULL, caller_run_, &callers[count]);
        count++;
      }
  run_phases_ ();
  for (unsigned i = 0; i < count; i++)
    pthread_join (callers[i].thread, NULL);
  report_ ();
  stop_ ();
}

int
main (void)
{
  printf ("%d instances in %d data centres, %d tokens prepaid, %d reserved by a request; phases of "
          "%d s: normal, platform out, data centres apart, one crash and run-down\n",
          INSTANCES, DATA_CENTRES, PREPAID, BOUND_TOKENS, PHASE_US / US_PER_S);
  printf ("%-26s %8s %9s %9s %8s %9s %9s %8s %8s\n", "", "requests", "overspend", "unspent",
          "refused", "falsely", "calls/req", "p50 us", "p99 us");
  for (unsigned way = 0; way < WAYS; way++)
    run_ ((enum way)way);
  return 0;
}
