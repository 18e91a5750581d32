/* Backend servers become cold while callers send far more than cold ones sustain. No second may see
 * more requests at a cold server than the limit, which two instances share; callers are served by
 * other servers, or refused at once when all are cold, and served once they are warm. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 35200,
  INSTANCES = 2,
  BACKENDS = 3,
  CALLERS = 6,
  CALLER_PAUSE_US = 10000, /* between two requests: together far more than cold servers sustain */
  COLD_MS = 3000,
  FOUND_MS = 500,    /* until all instances have read a changed entry */
  SETTLE_MS = 37000, /* GW_COLD_SETTLE_US after the start, and a second */
  LIMIT_PER_S = 21,  /* 11 x 1.5 + 5 = 21.5 */
  REFUSAL_MAX_MS = 500,
  TOLERANCE_MS = 1000 /* for a machine under load */
};

struct caller_
{
  unsigned number;
  unsigned answered;
  unsigned refused;
  unsigned others;
  int64_t refusal_max_ms;
  double retry_after_max_s;
};

static struct site_fleet *fleet;
static gint stopping;
static gint ids;

static int
start_fleet (void **state)
{
  static const struct site_options options
      = { .name = "cold-servers",
          .port_base = PORT_BASE,
          .instances = INSTANCES,
          .plain_backends = BACKENDS,
          .event_interval_ms = 2,
          .prepaid = 1000,
          .cold_per_s = 11,
          .more_settings = "[cold]\noverage = 1.5\nslack = 5\n" };

  fleet = site_fleet_start (&options);
  return fleet != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  site_fleet_stop (fleet);
  return 0;
}

static void *
run_caller_ (void *data)
{
  struct caller_ *caller = data;

  while (!g_atomic_int_get (&stopping))
    {
      g_autofree char *id = g_strdup_printf ("cold-%d", g_atomic_int_add (&ids, 1));
      const struct site_request request
          = { .instance = 1 + caller->number % INSTANCES, .path = "/safe/a", .id = id };
      const struct site_response answer = site_send (fleet, &request);

      if (answer.outcome == SITE_COMPLETED)
        caller->answered++;
      else if (answer.outcome == SITE_NOT_RUN)
        {
          caller->refused++;
          caller->refusal_max_ms = MAX (caller->refusal_max_ms, answer.duration_ms);
          caller->retry_after_max_s = MAX (caller->retry_after_max_s, answer.retry_after_s);
        }
      else
        caller->others++;
      g_usleep (CALLER_PAUSE_US);
    }
  return NULL;
}

/* Runs callers for DURATION_MS and returns their sums. */
static struct caller_
run_callers_ (unsigned duration_ms)
{
  struct caller_ callers[CALLERS] = { 0 };
  GThread *threads[CALLERS];
  struct caller_ sum = { 0 };

  g_atomic_int_set (&stopping, 0);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i].number = i;
      threads[i] = g_thread_new ("caller", run_caller_, &callers[i]);
    }
  g_usleep ((gulong)duration_ms * 1000);
  g_atomic_int_set (&stopping, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      g_thread_join (threads[i]);
      sum.answered += callers[i].answered;
      sum.refused += callers[i].refused;
      sum.others += callers[i].others;
      sum.refusal_max_ms = MAX (sum.refusal_max_ms, callers[i].refusal_max_ms);
      sum.retry_after_max_s = MAX (sum.retry_after_max_s, callers[i].retry_after_max_s);
    }
  return sum;
}

/* Makes servers FROM (inclusive) to TO (exclusive) cold, and waits until the instances know. */
static void
make_cold_ (unsigned from, unsigned to)
{
  g_autofree char *settings = g_strdup_printf ("cold_ms=%d&state=ready", COLD_MS + FOUND_MS);

  assert_true (site_fleet_set_backends (fleet, from, to, settings));
  g_usleep (FOUND_MS * 1000);
}

static int64_t
count_of_ (const char *name, unsigned backend)
{
  json_t *counts = site_fleet_counts (fleet);
  int64_t count = json_integer_value (json_array_get (json_object_get (counts, name), backend));

  json_decref (counts);
  return count;
}

/* Guards against requests to cold servers from instances that have just started, which don't know
 * yet who else sends, and against callers that are refused although other servers are warm. */
static void
instances_that_have_just_started_use_no_cold_server (void **state)
{
  struct caller_ sum;

  make_cold_ (0, 1);
  sum = run_callers_ (COLD_MS - 500);
  print_message ("one cold: %u answered, %u refused, %u others\n", sum.answered, sum.refused,
                 sum.others);
  assert_int_equal (count_of_ ("arrivals_cold", 0), 0);
  assert_true (sum.answered > 0);
  assert_int_equal (sum.refused + sum.others, 0);
}

/* Guards against callers that wait, or are lost, while all servers are cold. */
static void
callers_are_refused_at_once_while_all_servers_are_cold (void **state)
{
  struct caller_ sum;

  make_cold_ (0, BACKENDS);
  sum = run_callers_ (COLD_MS - 500);
  print_message ("all cold: %u answered, %u refused in %d ms at most, to retry after %.1f s at "
                 "most, %u others\n",
                 sum.answered, sum.refused, (int)sum.refusal_max_ms, sum.retry_after_max_s,
                 sum.others);
  for (unsigned i = 0; i < BACKENDS; i++)
    assert_int_equal (count_of_ ("arrivals_cold", i), 0);
  assert_true (sum.refused > 0);
  assert_true (sum.refusal_max_ms <= REFUSAL_MAX_MS);
  assert_true (sum.retry_after_max_s > 0 && sum.retry_after_max_s <= 2.0 * COLD_MS / 1000 + 0.1);
  assert_int_equal (sum.others, 0);
  g_usleep ((500 + TOLERANCE_MS) * 1000);
  sum = run_callers_ (500);
  assert_true (sum.answered > 0);
  assert_int_equal (sum.refused + sum.others, 0);
}

/* Guards against too many requests at a cold server, and against one that is left idle. */
static void
cold_servers_get_no_more_than_the_limit (void **state)
{
  struct caller_ sum;

  g_usleep (SETTLE_MS * 1000);
  make_cold_ (0, BACKENDS);
  sum = run_callers_ (COLD_MS - 500);
  print_message ("all cold, later: %u answered, %u refused, %u others\n", sum.answered, sum.refused,
                 sum.others);
  for (unsigned i = 0; i < BACKENDS; i++)
    {
      print_message ("server %u: %d requests, %d in a second at most\n", i,
                     (int)count_of_ ("arrivals_cold", i), (int)count_of_ ("arrivals_cold_max", i));
      assert_true (count_of_ ("arrivals_cold", i) > 0);
      assert_true (count_of_ ("arrivals_cold_max", i) <= LIMIT_PER_S);
    }
  assert_true (sum.refused > 0);
  assert_int_equal (sum.others, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (instances_that_have_just_started_use_no_cold_server),
    cmocka_unit_test (callers_are_refused_at_once_while_all_servers_are_cold),
    cmocka_unit_test (cold_servers_get_no_more_than_the_limit),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
