/* Compares methods of enforcing one budget on several instances: overspend, false refusals, calls
 * to the platform, latency, and tokens left unspent. Each method runs under the same seeded load
 * and faults. */
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
  CALLERS_PER_INSTANCE = 5, /* at each instance */
  EXTRA_CALLERS = 10,       /* in addition, at the first instance */
  PREPAID_TOKENS = 1200000,
  RESERVED_TOKENS = 400, /* reserved for each request, and the most it uses */
  USED_MIN_TOKENS = 50,
  REQUEST_RUN_US = 30000,   /* time from reservation to settlement */
  MEAN_PAUSE_US = 50000,    /* of a caller between served requests */
  PLATFORM_CALL_US = 3000,  /* latency of a call to the platform */
  PHASE_US = 2000000,       /* length of each fault phase */
  METHOD_MAX_US = 16000000, /* callers start no request after this time */
  REFUSALS_TO_STOP = 6,     /* consecutive ones, in the last phase: the budget is spent */
  REFUSAL_PAUSE_US = 150000,
  CRASHED_INSTANCE = 7, /* it draws tokens from the platform for its data centre */
  US_PER_S = 1000000,
  WRITE_ATTEMPTS_MAX = 40
};

enum method
{
  METHOD_WITNESS,
  METHOD_WRITE_OFF,
  METHOD_FIXED_SHARE,
  METHOD_PLATFORM_WRITE,
  METHODS
};

static const char *const method_names[]
    = { "loans, witness", "loans, write-off", "fixed share", "platform write a request" };

/* One instance's access to the platform: delays and counts each call, and fails it while
 * unavailable is set. */
struct remote_platform
{
  struct sr_platform base;
  atomic_bool unavailable;
};

struct instance
{
  char name[8];
  unsigned index;
  struct remote_platform *platform;
  struct sr_peer_client *client;
  struct sr_peer_server *server;
  struct sr_budgets *budgets;
  int64_t share_tokens; /* remaining, for METHOD_FIXED_SHARE; guarded by bench.mutex */
  atomic_bool crashed;
};

struct bench
{
  enum method method;
  pthread_mutex_t mutex;
  struct sr_platform *store;
  struct instance instances[INSTANCES];
  struct sr_member members[INSTANCES];
  bool partitioned;
  int unreachable_socket; /* bound, but never read: calls to it time out */
  unsigned unreachable_port;
  int64_t committed_tokens; /* consumed or reserved by all requests; guarded by mutex */
  atomic_int_fast64_t platform_calls;
  atomic_int_fast64_t requests;
  atomic_int_fast64_t refused;
  atomic_int_fast64_t false_refusals;
  atomic_bool last_phase;
  struct samples *latency_us;
  int64_t deadline_us;
};

struct caller
{
  pthread_t thread;
  struct instance *instance;
  uint32_t seed;
};

static struct bench bench;

static enum sr_platform_status
remote_call_ (struct sr_platform *platform)
{
  struct remote_platform *remote_platform = (struct remote_platform *)platform;

  atomic_fetch_add (&bench.platform_calls, 1);
  if (atomic_load (&remote_platform->unavailable))
    return SR_PLATFORM_UNREACHABLE;
  usleep (PLATFORM_CALL_US);
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
  return sr_platform_get (bench.store, kind, name, body, version);
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
  return sr_platform_put (bench.store, kind, name, body, length, expected_version, version);
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

  pthread_mutex_lock (&bench.mutex);
  view = sr_member_view_new (bench.members, INSTANCES);
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      view->members[i].is_self = i == self->index;
      if (bench.partitioned && i % DATA_CENTRES != self->index % DATA_CENTRES)
        view->members[i].peer.port = bench.unreachable_port;
    }
  pthread_mutex_unlock (&bench.mutex);
  return view;
}

static void
start_instance_ (unsigned index)
{
  struct instance *instance = &bench.instances[index];
  struct sr_peer_server_options server = { .address = "127.0.0.1", .port = FIRST_PORT + index };
  struct sr_peer_client_options client = { .source_address = NULL };
  struct sr_budgets_options options = { .platform = &instance->platform->base,
                                        .view = view_,
                                        .view_data = instance,
                                        .instance = instance->name,
                                        .data_centre = bench.members[index].data_centre,
                                        .incarnation = 1,
                                        .allotment_cover_s = 10,
                                        .idle_return_s = 30,
                                        .settle_interval_ms = 1000,
                                        .without_witness = bench.method == METHOD_WRITE_OFF,
                                        .seed = index };

  instance->client = sr_peer_client_new (&client);
  instance->server = sr_peer_server_new (&server);
  options.peers = instance->client;
  instance->budgets = sr_budgets_new (&options);
  sr_budgets_add_to_server (instance->budgets, instance->server);
  if (!sr_peer_server_start (instance->server) || !sr_budgets_start (instance->budgets))
    g_error ("cannot start the peer server or the budgets of an instance");
}

static void
stop_instance_ (unsigned index)
{
  struct instance *instance = &bench.instances[index];

  if (instance->budgets == NULL)
    return;
  sr_budgets_stop (instance->budgets);
  sr_peer_server_stop (instance->server);
  sr_peer_server_delete (instance->server);
  sr_budgets_delete (instance->budgets);
  sr_peer_client_delete (instance->client);
  instance->budgets = NULL;
}

/* Opens a socket that is never read, so that calls to its port time out as in a network partition.
 */
static void
open_unreachable_socket_ (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) }, .sin_port = 0 };
  socklen_t length = sizeof address;

  bench.unreachable_socket = socket (AF_INET, SOCK_DGRAM, 0);
  if (bind (bench.unreachable_socket, (struct sockaddr *)&address, length) != 0
      || getsockname (bench.unreachable_socket, (struct sockaddr *)&address, &length) != 0)
    g_error ("cannot bind the UDP socket for unreachable peers");
  bench.unreachable_port = ntohs (address.sin_port);
}

static void
start_ (enum method method)
{
  struct sr_top_up_request request
      = { .budget = "b", .id = "t", .who = "w", .tokens = PREPAID_TOKENS, .time_ms = 1 };
  struct sr_top_up_result result;

  bench = (struct bench){ .method = method,
                          .latency_us = samples_new (),
                          .store = sr_platform_memory_new () };
  pthread_mutex_init (&bench.mutex, NULL);
  open_unreachable_socket_ ();
  sr_top_up_apply (bench.store, &request, &result);
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      struct instance *instance = &bench.instances[i];
      struct sr_member *member = &bench.members[i];

      g_snprintf (instance->name, sizeof instance->name, "i%u", i);
      instance->index = i;
      instance->share_tokens = PREPAID_TOKENS / INSTANCES;
      instance->platform = g_new0 (struct remote_platform, 1);
      instance->platform->base.vtable = &remote_vtable;
      instance->platform->base.reference_count = 1;
      g_strlcpy (member->name, instance->name, sizeof member->name);
      g_snprintf (member->data_centre, sizeof member->data_centre, "dc%u", i % DATA_CENTRES);
      g_strlcpy (member->peer.ip, "127.0.0.1", sizeof member->peer.ip);
      member->peer.port = FIRST_PORT + i;
      member->incarnation = 1;
    }
  for (unsigned i = 0; i < INSTANCES && method <= METHOD_WRITE_OFF; i++)
    start_instance_ (i);
}

static void
stop_ (void)
{
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      stop_instance_ (i);
      sr_platform_unref (&bench.instances[i].platform->base);
    }
  sr_platform_unref (bench.store);
  samples_delete (bench.latency_us);
  close (bench.unreachable_socket);
  pthread_mutex_destroy (&bench.mutex);
}

/* METHOD_PLATFORM_WRITE: adds TOKENS to the settled tokens of the budget's record on the platform,
 * repeating the write when its version is out of date. Returns false when the budget does not
 * suffice, the platform is unavailable, or all attempts failed. */
static bool
write_to_platform_ (struct instance *instance, int64_t tokens)
{
  struct sr_platform *platform = &instance->platform->base;
  GString *body = g_string_new (NULL);
  bool done = false;
  bool sufficient = true;

  for (unsigned attempt = 0; attempt < WRITE_ATTEMPTS_MAX && !done && sufficient; attempt++)
    {
      struct sr_record *record;
      int64_t version;

      g_string_truncate (body, 0);
      if (sr_platform_get (platform, SR_BUDGET_KIND, "b", body, &version) != SR_PLATFORM_OK)
        break;
      record = sr_record_parse (body->str, body->len);
      sufficient = sr_record_remaining (record) >= tokens;
      record->settled += tokens;
      g_string_truncate (body, 0);
      sr_record_print (record, body);
      done = sufficient
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
  bool reserved = false;
  int64_t retry_after_ms;

  switch (bench.method)
    {
    case METHOD_WITNESS:
    case METHOD_WRITE_OFF:
      return sr_budgets_reserve (instance->budgets, "b", RESERVED_TOKENS,
                                 g_get_monotonic_time () + 2 * US_PER_S, reservation,
                                 &retry_after_ms)
             == SR_BUDGET_RESERVED;
    case METHOD_FIXED_SHARE:
      pthread_mutex_lock (&bench.mutex);
      reserved = instance->share_tokens >= RESERVED_TOKENS;
      instance->share_tokens -= reserved ? RESERVED_TOKENS : 0;
      pthread_mutex_unlock (&bench.mutex);
      return reserved;
    default:
      return write_to_platform_ (instance, RESERVED_TOKENS);
    }
}

static void
settle_ (struct instance *instance, struct sr_reservation *reservation, int64_t used)
{
  switch (bench.method)
    {
    case METHOD_WITNESS:
    case METHOD_WRITE_OFF:
      sr_budgets_settle (instance->budgets, reservation, used);
      break;
    case METHOD_FIXED_SHARE:
      pthread_mutex_lock (&bench.mutex);
      instance->share_tokens += RESERVED_TOKENS - used;
      pthread_mutex_unlock (&bench.mutex);
      break;
    default:
      write_to_platform_ (instance, used - RESERVED_TOKENS);
    }
}

/* Runs one request. Returns whether its tokens were reserved. A refusal counts as false if at that
 * moment the prepaid tokens exceeded those consumed or reserved by all requests by enough for this
 * one. */
static bool
run_request_ (struct instance *instance, GRand *random)
{
  struct sr_reservation *reservation = NULL;
  int64_t begin_us = g_get_monotonic_time ();
  bool reserved = reserve_ (instance, &reservation);
  int64_t used = g_rand_int_range (random, USED_MIN_TOKENS, RESERVED_TOKENS + 1);

  atomic_fetch_add (&bench.requests, 1);
  samples_add (bench.latency_us, g_get_monotonic_time () - begin_us);
  pthread_mutex_lock (&bench.mutex);
  if (reserved)
    bench.committed_tokens += RESERVED_TOKENS;
  else if (bench.committed_tokens + RESERVED_TOKENS <= PREPAID_TOKENS)
    atomic_fetch_add (&bench.false_refusals, 1);
  pthread_mutex_unlock (&bench.mutex);
  if (!reserved)
    {
      atomic_fetch_add (&bench.refused, 1);
      return false;
    }
  usleep (REQUEST_RUN_US);
  settle_ (instance, reservation, used);
  pthread_mutex_lock (&bench.mutex);
  bench.committed_tokens -= RESERVED_TOKENS - used;
  pthread_mutex_unlock (&bench.mutex);
  return true;
}

static void *
caller_run_ (void *data)
{
  struct caller *caller = data;
  GRand *random = g_rand_new_with_seed (caller->seed);
  unsigned consecutive_refusals = 0;

  while (consecutive_refusals < REFUSALS_TO_STOP && g_get_monotonic_time () < bench.deadline_us
         && !atomic_load (&caller->instance->crashed))
    {
      bool served = run_request_ (caller->instance, random);

      consecutive_refusals
          = served || !atomic_load (&bench.last_phase) ? 0 : consecutive_refusals + 1;
      usleep (served ? (useconds_t)g_rand_int_range (random, 0, 2 * MEAN_PAUSE_US)
                     : REFUSAL_PAUSE_US);
    }
  g_rand_free (random);
  return NULL;
}

static void
set_platform_unavailable_ (unsigned index, bool unavailable)
{
  atomic_store (&bench.instances[index].platform->unavailable, unavailable);
}

/* The phases: normal operation; platform unavailable to all instances; data centres partitioned,
 * with the platform reachable from the first only; then partition and outage end, one instance
 * crashes, and the callers spend the rest of the budget. */
static void
run_phases_ (void)
{
  usleep (PHASE_US);
  for (unsigned i = 0; i < INSTANCES; i++)
    set_platform_unavailable_ (i, true);
  usleep (PHASE_US);
  pthread_mutex_lock (&bench.mutex);
  bench.partitioned = true;
  pthread_mutex_unlock (&bench.mutex);
  for (unsigned i = 0; i < INSTANCES; i++)
    set_platform_unavailable_ (i, i % DATA_CENTRES != 0);
  usleep (PHASE_US);
  for (unsigned i = 0; i < INSTANCES; i++)
    set_platform_unavailable_ (i, false);
  atomic_store (&bench.instances[CRASHED_INSTANCE].crashed, true);
  pthread_mutex_lock (&bench.mutex);
  bench.partitioned = false;
  bench.members[CRASHED_INSTANCE].state = SR_MEMBER_DEAD;
  pthread_mutex_unlock (&bench.mutex);
  atomic_store (&bench.last_phase, true);
}

static void
report_ (void)
{
  double requests = (double)atomic_load (&bench.requests);

  printf ("%-26s %8.0f %9" G_GINT64_FORMAT " %9" G_GINT64_FORMAT " %8" G_GINT64_FORMAT
          " %9" G_GINT64_FORMAT " %9.3f %8" G_GINT64_FORMAT " %8" G_GINT64_FORMAT "\n",
          method_names[bench.method], requests, MAX (bench.committed_tokens - PREPAID_TOKENS, 0),
          PREPAID_TOKENS - bench.committed_tokens, (gint64)atomic_load (&bench.refused),
          (gint64)atomic_load (&bench.false_refusals),
          (double)atomic_load (&bench.platform_calls) / requests,
          samples_percentile (bench.latency_us, 50), samples_percentile (bench.latency_us, 99));
}

static void
run_ (enum method method)
{
  struct caller callers[CALLERS_PER_INSTANCE * INSTANCES + EXTRA_CALLERS];
  unsigned count = 0;

  start_ (method);
  bench.deadline_us = g_get_monotonic_time () + METHOD_MAX_US;
  for (unsigned i = 0; i < INSTANCES; i++)
    for (unsigned j = 0; j < CALLERS_PER_INSTANCE + (i == 0 ? EXTRA_CALLERS : 0); j++)
      {
        callers[count] = (struct caller){ .instance = &bench.instances[i], .seed = count + 1 };
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
          INSTANCES, DATA_CENTRES, PREPAID_TOKENS, RESERVED_TOKENS, PHASE_US / US_PER_S);
  printf ("%-26s %8s %9s %9s %8s %9s %9s %8s %8s\n", "", "requests", "overspend", "unspent",
          "refused", "falsely", "calls/req", "p50 us", "p99 us");
  for (unsigned method = 0; method < METHODS; method++)
    run_ ((enum method)method);
  return 0;
}
