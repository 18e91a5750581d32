/* Simulation of instances with slow links under a load that the balancer spreads unevenly: few
 * callers with long bodies, each at the instance that its hash picks. Compared with instances that
 * take each late handshake for a fault of the backend server. */
#include "gateway/link-load.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

enum
{
  MS = 1000,
  SECOND = 1000 * MS,
  INSTANCES_MAX = 59,
  ARRIVALS_MS = 30000, /* length of the simulated load */
  DRAIN_MS = 6000,     /* after the last arrival: longer than any deadline */
  BODY_BYTES = 12000,
  FIRST_EVENT_BYTES = 400,
  REST_BYTES = 2000, /* of a response, after its first event */
  PACKET_BYTES = 60, /* of a handshake */
  ROUND_TRIP_MS = 3,
  SERVER_MS = 90, /* of a backend server, until the first event */
  OBJECTIVE_MS = 600,
  DEADLINE_MS = 5000,
  PROBE_MS = 1000,
  MISSES = 2, /* failed probes after which the balancer sends no more callers */
  ATTEMPTS_MAX = 4,
  SERVER_FAULT_TIMEOUT_MS = 300, /* of METHOD_SERVER_FAULTS */
  SEEDS = 3
};

enum method_
{
  METHOD_OWN_LINK,      /* gw_link_load */
  METHOD_SERVER_FAULTS, /* each late handshake is a server fault; an overload has no minimum
                           duration */
  METHODS
};

static const char *const method_names_[] = { "own link", "server faults" };

/* Share of all requests that the heavy callers send. */
static const double HEAVY_SHARE = 0.7;

struct load_
{
  unsigned instances;
  unsigned heavy;        /* callers that send most requests, all equally many */
  unsigned light;        /* other callers */
  double megabits_per_s; /* of the link of each instance */
  double requests_per_s; /* of all callers */
};

struct instance_
{
  struct gw_link_load link;
  struct net_traffic traffic;
  double in_free_ms; /* when the link has passed all that is queued, in each direction */
  double out_free_ms;
  bool overloaded;
  unsigned misses;
};

struct request_
{
  unsigned caller;
  unsigned instance;
  unsigned refusals;
  unsigned handshakes;
  int64_t sent_ms;       /* by the caller, for the first time */
  int64_t connecting_ms; /* when the last handshake began */
  bool connected;
  bool ended;
  int references;
};

enum step_
{
  STEP_ARRIVED,   /* the instance has received the request */
  STEP_CONNECTED, /* the handshake is complete */
  STEP_LATE,      /* the time-out of the handshake has passed */
  STEP_SENT,      /* the backend server has received the request */
  STEP_RESPONDED, /* the instance has received the first event */
  STEP_SERVED,    /* the caller has received the first event */
  STEP_RETRY      /* the caller sends the request again */
};

struct event_
{
  enum step_ step;
  struct request_ *request;
  unsigned handshake; /* STEP_CONNECTED, STEP_LATE: number of the handshake */
};

struct simulation_
{
  enum method_ method;
  const struct load_ *load;
  GRand *random;
  struct instance_ instances[INSTANCES_MAX];
  GArray *events[ARRIVALS_MS + DRAIN_MS];
  int64_t now_ms;
  unsigned sent; /* requests of callers */
  unsigned in_time;
  unsigned late;
  unsigned accepted;      /* requests that an instance has not refused on arrival */
  unsigned handshakes;    /* begun for those */
  unsigned server_faults; /* found, though all backend servers are healthy */
};

static int64_t
now_us_ (const struct simulation_ *simulation)
{
  return 10 * SECOND + simulation->now_ms * MS;
}

static void
schedule_ (struct simulation_ *simulation, double at_ms, enum step_ step, struct request_ *request)
{
  const struct event_ event
      = { .step = step, .request = request, .handshake = request->handshakes };
  int64_t at = MAX ((int64_t)at_ms, simulation->now_ms + 1);

  if (at >= ARRIVALS_MS + DRAIN_MS)
    return;
  request->references++;
  if (simulation->events[at] == NULL)
    simulation->events[at] = g_array_new (FALSE, FALSE, sizeof (struct event_));
  g_array_append_val (simulation->events[at], event);
}

/* Returns when BYTES that are sent now have passed one direction of a link, whose queue is empty at
 * FREE_MS, and advances that. */
static double
pass_ (const struct simulation_ *simulation, double *free_ms, unsigned bytes)
{
  *free_ms = MAX (*free_ms, (double)simulation->now_ms)
             + bytes * 8 / (simulation->load->megabits_per_s * 1000);
  return *free_ms;
}

static bool
is_in_rotation_ (const struct instance_ *instance)
{
  return instance->misses < MISSES;
}

/* Returns the balancer's choice: by the hash of the caller among the instances in rotation, or
 * among all when fewer than half are. A retry goes to another instance. */
static unsigned
balance_ (const struct simulation_ *simulation, const struct request_ *request)
{
  unsigned ready = 0;
  uint64_t best = 0;
  unsigned choice = 0;

  for (unsigned i = 0; i < simulation->load->instances; i++)
    ready += is_in_rotation_ (&simulation->instances[i]);
  for (unsigned i = 0; i < simulation->load->instances; i++)
    {
      uint64_t weight = (request->caller * 1000003ULL + i + 1) * 0x9E3779B97F4A7C15ULL;

      weight ^= weight >> 29;
      weight *= 0xBF58476D1CE4E5B9ULL;
      weight ^= weight >> 32;
      if (request->refusals > 0 && i == request->instance)
        continue;
      if (2 * ready >= simulation->load->instances && !is_in_rotation_ (&simulation->instances[i]))
        continue;
      if (weight >= best)
        {
          best = weight;
          choice = i;
        }
    }
  return choice;
}

static void
send_ (struct simulation_ *simulation, struct request_ *request)
{
  struct instance_ *instance;

  request->instance = balance_ (simulation, request);
  request->handshakes = 0;
  instance = &simulation->instances[request->instance];
  schedule_ (simulation, pass_ (simulation, &instance->in_free_ms, BODY_BYTES) + 1, STEP_ARRIVED,
             request);
}

static void
refuse_ (struct simulation_ *simulation, struct request_ *request)
{
  struct instance_ *instance = &simulation->instances[request->instance];
  double at_ms = pass_ (simulation, &instance->out_free_ms, 4 * PACKET_BYTES) + 20;

  if (request->refusals++ == 0)
    schedule_ (simulation, at_ms, STEP_RETRY, request);
  else
    request->ended = true;
}

static void
connect_ (struct simulation_ *simulation, struct request_ *request)
{
  struct instance_ *instance = &simulation->instances[request->instance];
  double there_ms = pass_ (simulation, &instance->out_free_ms, PACKET_BYTES);
  double back_ms = pass_ (simulation, &instance->in_free_ms, PACKET_BYTES);
  unsigned wait_ms = SERVER_FAULT_TIMEOUT_MS;

  simulation->handshakes++;
  request->handshakes++;
  request->connected = false;
  request->connecting_ms = simulation->now_ms;
  schedule_ (simulation, there_ms - (double)simulation->now_ms + back_ms + ROUND_TRIP_MS,
             STEP_CONNECTED, request);
  if (simulation->method == METHOD_OWN_LINK)
    gw_link_load_judge_handshake (&instance->link, 0, &wait_ms, now_us_ (simulation));
  schedule_ (simulation, (double)simulation->now_ms + wait_ms, STEP_LATE, request);
}

static void
judge_ (struct simulation_ *simulation, struct request_ *request)
{
  struct instance_ *instance = &simulation->instances[request->instance];
  int64_t waited_ms = simulation->now_ms - request->connecting_ms;
  enum gw_link_verdict verdict = GW_LINK_SERVER_FAULT;
  unsigned wait_ms = 0;

  if (simulation->method == METHOD_OWN_LINK)
    verdict
        = gw_link_load_judge_handshake (&instance->link, waited_ms, &wait_ms, now_us_ (simulation));
  simulation->server_faults += verdict == GW_LINK_SERVER_FAULT;
  if (verdict == GW_LINK_WAIT)
    schedule_ (simulation, (double)simulation->now_ms + wait_ms, STEP_LATE, request);
  else if (verdict == GW_LINK_SERVER_FAULT && request->handshakes < ATTEMPTS_MAX)
    connect_ (simulation, request);
  else
    refuse_ (simulation, request);
}

static void
note_ (struct simulation_ *simulation, struct instance_ *instance, unsigned received, unsigned sent)
{
  instance->traffic.received += received;
  instance->traffic.sent += sent;
  gw_link_load_note_traffic (&instance->link, &instance->traffic, now_us_ (simulation));
}

static void
arrive_ (struct simulation_ *simulation, struct request_ *request)
{
  struct instance_ *instance = &simulation->instances[request->instance];

  gw_link_load_note_traffic (&instance->link, &instance->traffic, now_us_ (simulation));
  if (gw_link_load_refuses (&instance->link, simulation->random))
    {
      gw_link_load_note_unread (&instance->link, BODY_BYTES, now_us_ (simulation));
      refuse_ (simulation, request);
      return;
    }
  note_ (simulation, instance, BODY_BYTES, 0);
  simulation->accepted++;
  connect_ (simulation, request);
}

static void
serve_ (struct simulation_ *simulation, struct request_ *request)
{
  int64_t took_ms = simulation->now_ms - request->sent_ms;

  request->ended = true;
  if (took_ms <= OBJECTIVE_MS)
    simulation->in_time++;
  else if (took_ms <= DEADLINE_MS)
    simulation->late++;
}

static void
take_step_ (struct simulation_ *simulation, const struct event_ *event)
{
  struct request_ *request = event->request;
  struct instance_ *instance = &simulation->instances[request->instance];
  bool is_current = event->handshake == request->handshakes && !request->ended;

  switch (event->step)
    {
    case STEP_RETRY:
      send_ (simulation, request);
      break;
    case STEP_ARRIVED:
      arrive_ (simulation, request);
      break;
    case STEP_CONNECTED:
      if (!is_current || request->connected)
        break;
      request->connected = true;
      gw_link_load_note_handshake (&instance->link,
                                   (simulation->now_ms - request->connecting_ms) * MS, true,
                                   now_us_ (simulation));
      note_ (simulation, instance, 0, BODY_BYTES);
      schedule_ (simulation, pass_ (simulation, &instance->out_free_ms, BODY_BYTES) + 1, STEP_SENT,
                 request);
      break;
    case STEP_LATE:
      if (is_current && !request->connected)
        judge_ (simulation, request);
      break;
    case STEP_SENT:
      schedule_ (simulation, (double)simulation->now_ms + SERVER_MS, STEP_RESPONDED, request);
      break;
    case STEP_RESPONDED:
      note_ (simulation, instance, FIRST_EVENT_BYTES + REST_BYTES, FIRST_EVENT_BYTES + REST_BYTES);
      schedule_ (simulation,
                 pass_ (simulation, &instance->in_free_ms, FIRST_EVENT_BYTES)
                     - (double)simulation->now_ms
                     + pass_ (simulation, &instance->out_free_ms, FIRST_EVENT_BYTES),
                 STEP_SERVED, request);
      pass_ (simulation, &instance->in_free_ms, REST_BYTES);
      pass_ (simulation, &instance->out_free_ms, REST_BYTES);
      break;
    case STEP_SERVED:
      serve_ (simulation, request);
      break;
    }
}

/* A probe of the balancer. */
static void
probe_ (struct simulation_ *simulation, struct instance_ *instance)
{
  gw_link_load_note_traffic (&instance->link, &instance->traffic, now_us_ (simulation));
  if (simulation->method == METHOD_OWN_LINK)
    instance->overloaded = gw_link_load_is_overloaded (&instance->link, now_us_ (simulation));
  else
    instance->overloaded
        = gw_link_load_share (&instance->link) > (instance->overloaded ? 0.5 : 0.7);
  instance->misses = instance->overloaded ? instance->misses + 1 : 0;
}

static void
release_ (struct request_ *request)
{
  if (--request->references == 0)
    g_free (request);
}

static void
begin_ (struct simulation_ *simulation)
{
  struct request_ *request = g_new0 (struct request_, 1);

  request->references = 1;
  if (g_rand_double (simulation->random) < HEAVY_SHARE)
    request->caller
        = (unsigned)g_rand_int_range (simulation->random, 0, (gint32)simulation->load->heavy);
  else
    request->caller
        = simulation->load->heavy
          + (unsigned)g_rand_int_range (simulation->random, 0, (gint32)simulation->load->light);
  request->sent_ms = simulation->now_ms;
  simulation->sent++;
  send_ (simulation, request);
  release_ (request);
}

/* Simulates LOAD; the results are in SIMULATION. */
static void
simulate_ (struct simulation_ *simulation,
           const struct load_ *load,
           enum method_ method,
           guint32 seed)
{
  memset (simulation, 0, sizeof *simulation);
  simulation->method = method;
  simulation->load = load;
  simulation->random = g_rand_new_with_seed (seed);
  for (unsigned i = 0; i < load->instances; i++)
    gw_link_load_init (&simulation->instances[i].link, load->megabits_per_s);
  for (; simulation->now_ms < ARRIVALS_MS + DRAIN_MS; simulation->now_ms++)
    {
      GArray *events = simulation->events[simulation->now_ms];

      for (double due = load->requests_per_s / 1000; simulation->now_ms < ARRIVALS_MS && due > 0;
           due--)
        if (g_rand_double (simulation->random) < due)
          begin_ (simulation);
      for (unsigned i = 0; i < load->instances; i++)
        if (simulation->now_ms % PROBE_MS == i * 17 % PROBE_MS)
          probe_ (simulation, &simulation->instances[i]);
      for (unsigned i = 0; events != NULL && i < events->len; i++)
        {
          struct event_ event = g_array_index (events, struct event_, i);

          take_step_ (simulation, &event);
          release_ (event.request);
        }
      if (events != NULL)
        g_array_unref (events);
    }
  print_message (
      "%u instances, %.0f requests/s, %s: %.1f%% in time, %.1f%% late, %.2f handshakes a "
      "request, %u server faults\n",
      load->instances, load->requests_per_s, method_names_[method],
      100.0 * simulation->in_time / simulation->sent, 100.0 * simulation->late / simulation->sent,
      simulation->accepted == 0 ? 0 : (double)simulation->handshakes / simulation->accepted,
      simulation->server_faults);
  g_rand_free (simulation->random);
}

/* Guards against a full link that is taken for faults of backend servers. Some instances receive
 * more than their link carries, while all servers are healthy: no server fault is found, no
 * handshake is repeated, and more callers are served in time. */
static void
a_full_link_is_not_taken_for_server_faults (void **state)
{
  static const struct load_ loads[] = { { 20, 12, 200, 10, 940 }, { 59, 36, 600, 10, 2900 } };
  struct simulation_ *simulation = g_new (struct simulation_, 1);
  unsigned in_time;

  for (unsigned i = 0; i < G_N_ELEMENTS (loads); i++)
    for (guint32 seed = 1; seed <= SEEDS; seed++)
      {
        simulate_ (simulation, &loads[i], METHOD_SERVER_FAULTS, seed);
        assert_true (simulation->server_faults > 0
                     && simulation->handshakes > simulation->accepted);
        in_time = simulation->in_time;
        simulate_ (simulation, &loads[i], METHOD_OWN_LINK, seed);
        assert_int_equal (simulation->server_faults, 0);
        assert_int_equal (simulation->handshakes, simulation->accepted);
        assert_true (simulation->in_time > in_time);
      }
  g_free (simulation);
}

/* Guards against refusals and late responses under a load that the hash spreads evenly. */
static void
an_even_load_is_not_shed (void **state)
{
  static const struct load_ load = { 20, 1000, 1000, 10, 300 };
  struct simulation_ *simulation = g_new (struct simulation_, 1);

  simulate_ (simulation, &load, METHOD_OWN_LINK, 1);
  assert_int_equal (simulation->in_time, simulation->sent);
  g_free (simulation);
}

/* Uses PERCENT of a link of 8 Mbit/s for one second. */
static void
fill_ (struct gw_link_load *load, struct net_traffic *total, unsigned percent, int64_t *now_us)
{
  for (unsigned i = 0; i < 100; i++, *now_us += 10 * MS)
    {
      total->received += percent * 100;
      gw_link_load_note_traffic (load, total, *now_us);
    }
}

/* Guards against an instance that is overloaded again and again by the same callers: each time they
 * are sent elsewhere for longer. */
static void
callers_that_overload_again_are_sent_away_for_longer (void **state)
{
  struct gw_link_load load;
  struct net_traffic total = { 0 };
  int64_t now_us = 10 * SECOND;
  unsigned before_s = 0;

  gw_link_load_init (&load, 8);
  for (unsigned round = 0; round < 4; round++)
    {
      unsigned away_s = 0;

      fill_ (&load, &total, 98, &now_us);
      assert_true (gw_link_load_is_overloaded (&load, now_us));
      for (; gw_link_load_is_overloaded (&load, now_us); away_s++)
        fill_ (&load, &total, 2, &now_us);
      assert_true (away_s > before_s);
      before_s = away_s;
    }
}

/* Guards against a ready instance whose link is full of the unread bytes of refused requests. */
static void
unread_bytes_are_not_ignored_for_readiness (void **state)
{
  struct gw_link_load load;
  struct net_traffic total = { 0 };
  int64_t now_us = 10 * SECOND;

  gw_link_load_init (&load, 8);
  fill_ (&load, &total, 10, &now_us);
  assert_false (gw_link_load_is_overloaded (&load, now_us));
  for (unsigned i = 0; i < 80; i++)
    gw_link_load_note_unread (&load, 10000, now_us);
  assert_true (gw_link_load_is_overloaded (&load, now_us));
  assert_true (gw_link_load_share (&load) < 0.2);
}

/* Guards against server faults that are taken for congestion: a few backend servers do not respond,
 * on a busy link beside others that do, and on an idle link beside none. */
static void
an_unresponsive_server_is_not_excused_by_the_link (void **state)
{
  struct gw_link_load load;
  struct net_traffic total = { 0 };
  int64_t now_us = 10 * SECOND;
  unsigned wait_ms = 0;

  gw_link_load_init (&load, 8);
  fill_ (&load, &total, 90, &now_us);
  for (unsigned i = 0; i < 6; i++)
    gw_link_load_note_handshake (&load, 4 * MS, true, now_us);
  assert_int_equal (gw_link_load_judge_handshake (&load, 0, &wait_ms, now_us), GW_LINK_WAIT);
  for (unsigned i = 0; i < 3; i++)
    assert_int_equal (gw_link_load_judge_handshake (&load, wait_ms, &wait_ms, now_us),
                      GW_LINK_SERVER_FAULT);
  now_us += 10 * SECOND;
  gw_link_load_note_traffic (&load, &total, now_us);
  for (unsigned i = 0; i < 6; i++)
    assert_int_equal (gw_link_load_judge_handshake (&load, 300, &wait_ms, now_us),
                      GW_LINK_SERVER_FAULT);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_full_link_is_not_taken_for_server_faults),
    cmocka_unit_test (an_even_load_is_not_shed),
    cmocka_unit_test (callers_that_overload_again_are_sent_away_for_longer),
    cmocka_unit_test (unread_bytes_are_not_ignored_for_readiness),
    cmocka_unit_test (an_unresponsive_server_is_not_excused_by_the_link),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
