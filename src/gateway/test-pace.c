/* Simulation of a fleet whose service gets a new backend server while callers send 0.8 of the
 * capacity. Instances know their own requests and, late, the number of requests at each server. */
#include "gateway/pace.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  MS = 1000,
  SECOND_MS = 1000,
  SERVERS = 4, /* the last one is new */
  NEW = SERVERS - 1,
  SLOTS = 16,
  RESPONSE_MS = 100,
  REPORT_LAG_MS = 50, /* age of the known number of requests at a server */
  DURATION_MS = 20000,
  CRASH_REQUESTS = 32, /* more requests at the new server end its process while it is slow */
  DOWN_MS = 1000,
  BAD_MS = 250,         /* a response that takes longer is a bad one */
  FULL_AFTER_MS = 6000, /* until the new server is used like the others */
  INSTANCES_MAX = 127,
  SEED = 9,
  SEEDS = 5
};

/* Of the capacity of all servers. */
static const double LOAD = 0.8;

struct request_
{
  unsigned instance;
  int64_t sent_ms;
  double left_ms; /* of its run */
  bool is_noted;  /* as a bad response */
};

struct server_
{
  GQueue waiting; /* struct request_ */
  GQueue running;
  unsigned history[DURATION_MS]; /* requests there, for the reports and results */
};

struct simulation_
{
  unsigned n_instances;
  bool has_pace;
  double speed_first; /* of the new server for the first seconds, and after these */
  double speed_later;
  int64_t slow_ms;
  bool crashes;
  int64_t end_ms; /* the process of the new server ends, and the next one is as slow at first; 0:
                     never */
  unsigned seed;
  GRand *random;
  struct server_ servers[SERVERS];
  struct gw_pace paces[INSTANCES_MAX];
  unsigned in_flight[INSTANCES_MAX];
  int64_t down_until_ms;
  int64_t now_ms;
  unsigned ends;      /* of the new server's process */
  unsigned first_max; /* requests at the new server at most, in the first seconds */
};

static void
begin_ (struct simulation_ *simulation)
{
  for (unsigned i = 0; i < simulation->n_instances; i++)
    {
      const struct gw_pace_options options = { .position = g_rand_double (simulation->random),
                                               .instances = simulation->n_instances,
                                               .slots = SLOTS };

      if (simulation->has_pace)
        gw_pace_begin (&simulation->paces[i], &options, simulation->now_ms * MS);
    }
}

static unsigned
requests_at_ (struct server_ *server)
{
  return g_queue_get_length (&server->waiting) + g_queue_get_length (&server->running);
}

/* Sends a request of a random instance to the server with the fewest requests, as last reported. */
static void
arrive_ (struct simulation_ *simulation)
{
  unsigned instance
      = (unsigned)g_rand_int_range (simulation->random, 0, (gint32)simulation->n_instances);
  int64_t report_ms = MAX (simulation->now_ms - REPORT_LAG_MS, 0);
  struct request_ *request = g_new0 (struct request_, 1);
  unsigned best = 0;
  double least = G_MAXDOUBLE;

  for (unsigned k = 0; k < SERVERS; k++)
    {
      double requests
          = simulation->servers[k].history[report_ms] + g_rand_double (simulation->random);

      if (k == NEW
          && (simulation->now_ms < simulation->down_until_ms
              || simulation->in_flight[instance]
                     >= gw_pace_limit (&simulation->paces[instance], simulation->now_ms * MS)))
        continue;
      if (requests < least)
        {
          least = requests;
          best = k;
        }
    }
  *request = (struct request_){ .instance = instance,
                                .sent_ms = simulation->now_ms,
                                .left_ms = RESPONSE_MS };
  g_queue_push_tail (&simulation->servers[best].waiting, request);
  if (best == NEW)
    simulation->in_flight[instance]++;
}

static void
respond_ (struct simulation_ *simulation, unsigned k, struct request_ *request, bool is_complete)
{
  struct gw_pace *pace = &simulation->paces[request->instance];

  if (k == NEW)
    {
      if (is_complete && simulation->now_ms - request->sent_ms <= BAD_MS)
        gw_pace_note_good (pace, simulation->in_flight[request->instance], simulation->now_ms * MS);
      else if (!request->is_noted)
        gw_pace_note_bad (pace, simulation->now_ms * MS);
      simulation->in_flight[request->instance]--;
    }
  g_free (request);
}

/* An instance notes a late response of the new server before that arrives. */
static void
note_late_ (struct simulation_ *simulation, const GQueue *requests)
{
  for (GList *each = requests->head; each != NULL; each = each->next)
    {
      struct request_ *request = each->data;

      if (request->is_noted || simulation->now_ms - request->sent_ms <= BAD_MS)
        continue;
      request->is_noted = true;
      gw_pace_note_bad (&simulation->paces[request->instance], simulation->now_ms * MS);
    }
}

/* Ends the process of the new server, with all its requests. */
static void
end_ (struct simulation_ *simulation)
{
  struct server_ *server = &simulation->servers[NEW];
  struct request_ *request;

  while ((request = g_queue_pop_head (&server->waiting)) != NULL
         || (request = g_queue_pop_head (&server->running)) != NULL)
    respond_ (simulation, NEW, request, false);
  simulation->ends++;
  simulation->down_until_ms = simulation->now_ms + DOWN_MS;
  begin_ (simulation);
}

static void
run_server_ (struct simulation_ *simulation, unsigned k)
{
  struct server_ *server = &simulation->servers[k];
  bool is_slow = k == NEW && simulation->now_ms < simulation->slow_ms;
  double speed = k != NEW ? 1 : is_slow ? simulation->speed_first : simulation->speed_later;

  while (g_queue_get_length (&server->running) < SLOTS && !g_queue_is_empty (&server->waiting))
    g_queue_push_tail (&server->running, g_queue_pop_head (&server->waiting));
  for (GList *each = server->running.head; each != NULL;)
    {
      GList *following = each->next;
      struct request_ *request = each->data;

      request->left_ms -= speed;
      if (request->left_ms <= 0)
        {
          g_queue_delete_link (&server->running, each);
          respond_ (simulation, k, request, true);
        }
      each = following;
    }
  if (k == NEW)
    {
      note_late_ (simulation, &server->waiting);
      note_late_ (simulation, &server->running);
    }
  server->history[simulation->now_ms] = requests_at_ (server);
  if (is_slow)
    simulation->first_max = MAX (simulation->first_max, requests_at_ (server));
  if (is_slow && simulation->crashes && requests_at_ (server) > CRASH_REQUESTS)
    end_ (simulation);
}

static struct simulation_ *
simulate_ (const struct simulation_ *settings)
{
  struct simulation_ *simulation = g_memdup2 (settings, sizeof *settings);
  double per_ms = LOAD * SERVERS * SLOTS / RESPONSE_MS; /* less than one */

  simulation->random = g_rand_new_with_seed (SEED + settings->seed);
  begin_ (simulation);
  for (; simulation->now_ms < DURATION_MS; simulation->now_ms++)
    {
      if (g_rand_double (simulation->random) < per_ms)
        arrive_ (simulation);
      if (simulation->end_ms != 0 && simulation->now_ms == simulation->end_ms)
        {
          end_ (simulation);
          simulation->slow_ms = simulation->down_until_ms + settings->slow_ms;
        }
      for (unsigned k = 0; k < SERVERS; k++)
        run_server_ (simulation, k);
    }
  g_rand_free (simulation->random);
  for (unsigned k = 0; k < SERVERS; k++)
    {
      g_queue_clear_full (&simulation->servers[k].waiting, g_free);
      g_queue_clear_full (&simulation->servers[k].running, g_free);
    }
  return simulation;
}

/* Returns the mean number of requests at server K between two times. */
static double
mean_ (const struct simulation_ *simulation, unsigned k, int64_t from_ms, int64_t to_ms)
{
  double sum = 0;

  for (int64_t ms = from_ms; ms < to_ms; ms++)
    sum += simulation->servers[k].history[ms];
  return sum / (double)(to_ms - from_ms);
}

static const unsigned fleets_[] = { 1, 8, INSTANCES_MAX };

/* Guards against a new server that crashes because all instances send to it at once while it is
 * slow. Without the pace it does. */
static void
a_new_server_that_is_slow_at_first_does_not_crash (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (fleets_); i++)
    for (unsigned has_pace = 0; has_pace < 2; has_pace++)
      {
        const struct simulation_ settings = { .n_instances = fleets_[i],
                                              .has_pace = has_pace == 1,
                                              .speed_first = 0.1,
                                              .speed_later = 1,
                                              .slow_ms = 3 * SECOND_MS,
                                              .crashes = true };
        struct simulation_ *simulation = simulate_ (&settings);

        print_message ("%u instances, %s: %u ends, %u requests at most in the first 3 s, later "
                       "%.1f, at others %.1f\n",
                       fleets_[i], has_pace == 1 ? "pace" : "no pace", simulation->ends,
                       simulation->first_max, mean_ (simulation, NEW, 10 * SECOND_MS, DURATION_MS),
                       mean_ (simulation, 0, 10 * SECOND_MS, DURATION_MS));
        if (has_pace == 0)
          assert_true (simulation->ends > 0);
        else
          {
            assert_int_equal (simulation->ends, 0);
            assert_true (simulation->first_max <= SLOTS);
            assert_true (mean_ (simulation, NEW, 10 * SECOND_MS, DURATION_MS)
                         >= 0.8 * mean_ (simulation, 0, 10 * SECOND_MS, DURATION_MS));
          }
        g_free (simulation);
      }
}

/* Guards against a returning server that ends again at once, because all instances send to it as
 * before. */
static void
a_server_that_returns_does_not_end_again (void **state)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (fleets_) * SEEDS; i++)
    {
      struct simulation_ settings = { .n_instances = fleets_[i / SEEDS],
                                      .has_pace = true,
                                      .speed_first = 0.1,
                                      .speed_later = 1,
                                      .slow_ms = 3 * SECOND_MS,
                                      .crashes = true,
                                      .end_ms = 8 * SECOND_MS,
                                      .seed = i % SEEDS };
      struct simulation_ *simulation = simulate_ (&settings);
      unsigned ends_without;

      assert_int_equal (simulation->ends, 1);
      assert_true (mean_ (simulation, NEW, 17 * SECOND_MS, DURATION_MS)
                   >= 0.8 * mean_ (simulation, 0, 17 * SECOND_MS, DURATION_MS));
      g_free (simulation);
      settings.has_pace = false;
      simulation = simulate_ (&settings);
      ends_without = simulation->ends;
      g_free (simulation);
      assert_true (ends_without > 1);
    }
}

/* Returns the least mean number of requests at server K in a half second. */
static double
least_ (const struct simulation_ *simulation, unsigned k)
{
  double least = G_MAXDOUBLE;

  for (int64_t ms = FULL_AFTER_MS; ms < DURATION_MS; ms += SECOND_MS / 2)
    least = MIN (least, mean_ (simulation, k, ms, ms + SECOND_MS / 2));
  return least;
}

/* Guards against a new server that is left idle while others have queues, and against a limit that
 * goes up and down: after FULL_AFTER_MS it is used as without the pace, also if it is faster than
 * the others, and the number of its requests falls no lower. */
static void
a_new_server_is_fully_used_within_seconds (void **state)
{
  static const double speeds[] = { 1, 2 };

  for (unsigned i = 0; i < G_N_ELEMENTS (fleets_) * G_N_ELEMENTS (speeds); i++)
    {
      struct simulation_ settings = { .n_instances = fleets_[i / G_N_ELEMENTS (speeds)],
                                      .speed_first = 1,
                                      .speed_later = speeds[i % G_N_ELEMENTS (speeds)] };
      struct simulation_ *without = simulate_ (&settings);
      struct simulation_ *with;

      settings.has_pace = true;
      with = simulate_ (&settings);
      print_message (
          "%u instances, speed %.0f: %.1f requests, %.1f at least; without the pace %.1f, "
          "%.1f\n",
          settings.n_instances, settings.speed_later, mean_ (with, NEW, FULL_AFTER_MS, DURATION_MS),
          least_ (with, NEW), mean_ (without, NEW, FULL_AFTER_MS, DURATION_MS),
          least_ (without, NEW));
      assert_true (mean_ (with, NEW, FULL_AFTER_MS, DURATION_MS)
                   >= 0.9 * mean_ (without, NEW, FULL_AFTER_MS, DURATION_MS));
      assert_true (least_ (with, NEW) >= 0.7 * least_ (without, NEW));
      g_free (with);
      g_free (without);
    }
}

/* Guards against a server that is never tried again after bad responses, whose state would never be
 * known. */
static void
a_server_with_bad_responses_is_tried_again (void **state)
{
  const struct gw_pace_options options = { .position = 0.99, .instances = 1, .slots = SLOTS };
  struct gw_pace pace = { 0 };
  int64_t closed_max_us = 0;
  int64_t open_us = 0;

  gw_pace_begin (&pace, &options, 0);
  for (int64_t now_us = 0; now_us < 60000 * MS; now_us += MS)
    if (gw_pace_limit (&pace, now_us) > 0)
      {
        closed_max_us = MAX (closed_max_us, now_us - open_us);
        open_us = now_us;
        gw_pace_note_bad (&pace, now_us);
      }
  assert_true (closed_max_us > 1000 * MS);
  assert_true (closed_max_us <= 6100 * MS);
}

static void
without_a_begin_there_is_no_limit (void **state)
{
  struct gw_pace pace = { 0 };

  gw_pace_note_bad (&pace, 1);
  assert_int_equal (gw_pace_limit (&pace, 2), G_MAXUINT);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_new_server_that_is_slow_at_first_does_not_crash),
    cmocka_unit_test (a_server_that_returns_does_not_end_again),
    cmocka_unit_test (a_new_server_is_fully_used_within_seconds),
    cmocka_unit_test (a_server_with_bad_responses_is_tried_again),
    cmocka_unit_test (without_a_begin_there_is_no_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
