/* Random schedules from seeds: instances share a faulty platform, crash at any point, and callers
 * retry. Guards against an order that is executed twice, and against a wrong outcome reported to a
 * caller. */
#include "order/order.h"
#include "platform/platform-memory.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

enum
{
  SEEDS = 3000,
  INSTANCES = 3,
  ATTEMPTS = 12,
  NESTING_DEPTH_MAX = 3
};

static const int64_t NOON_MS = 1767268800000; /* 2026-01-01 12:00 UTC */
static const char ANSWER[] = "{\"execution\":1}";

/* A platform whose calls fail, lose their responses or take effect late at random. The other
 * instances run between calls. */
struct faulty_platform
{
  struct sr_platform base;
  struct sr_platform *memory;
  struct simulation *simulation;
  GString *late_body; /* of a create that takes effect during a later call; NULL for none */
  GString *late_name;
};

/* The order under test, and the outcomes reported to callers. */
struct simulation
{
  struct faulty_platform platform;
  struct sr_orders *orders[INSTANCES];
  GRand *random;
  int attempts_left;
  int nesting;
  int attempts_made;
  int executions;
  int reported_not_run;     /* from the stored outcome: must stay true */
  int reported_not_run_yet; /* in an outage, while no other attempt had been made */
  int reported_answered;
  int wrong_reports; /* reports that were wrong when they were made */
};

static void attempt (struct simulation *simulation);

static bool
chance (struct simulation *simulation, double share)
{
  return g_rand_double (simulation->random) < share;
}

static void
run_other_instances (struct simulation *simulation)
{
  struct faulty_platform *faulty = &simulation->platform;
  int64_t version;

  if (faulty->late_body != NULL && chance (simulation, 0.5))
    {
      GString *body = g_steal_pointer (&faulty->late_body);

      sr_platform_put (faulty->memory, "order", faulty->late_name->str, body->str, body->len, 0,
                       &version);
      g_string_free (body, TRUE);
      g_string_free (g_steal_pointer (&faulty->late_name), TRUE);
    }
  if (simulation->nesting < NESTING_DEPTH_MAX && chance (simulation, 0.3))
    attempt (simulation);
}

static enum sr_platform_status
faulty_get (struct sr_platform *platform,
            const char *kind,
            const char *name,
            GString *body,
            int64_t *version)
{
  struct faulty_platform *faulty = (struct faulty_platform *)platform;

  run_other_instances (faulty->simulation);
  if (chance (faulty->simulation, 0.2))
    return SR_PLATFORM_UNREACHABLE;
  return sr_platform_get (faulty->memory, kind, name, body, version);
}

static enum sr_platform_status
faulty_put (struct sr_platform *platform,
            const char *kind,
            const char *name,
            const char *body,
            size_t length,
            int64_t expected_version,
            int64_t *version)
{
  struct faulty_platform *faulty = (struct faulty_platform *)platform;
  enum sr_platform_status status;

  run_other_instances (faulty->simulation);
  if (chance (faulty->simulation, 0.15))
    return SR_PLATFORM_UNREACHABLE;
  if (expected_version == 0 && faulty->late_body == NULL && chance (faulty->simulation, 0.15))
    {
      faulty->late_body = g_string_new_len (body, (gssize)length);
      faulty->late_name = g_string_new (name);
      return SR_PLATFORM_UNKNOWN;
    }
  status = sr_platform_put (faulty->memory, kind, name, body, length, expected_version, version);
  run_other_instances (faulty->simulation);
  return chance (faulty->simulation, 0.25) ? SR_PLATFORM_UNKNOWN : status;
}

static void
check_report (struct simulation *simulation, const struct sr_claim *claim, bool first_attempt)
{
  if (claim->outcome == SR_OUTCOME_NOT_RUN && claim->verdict == SR_CLAIM_TAKEN)
    simulation->reported_not_run++;
  else if (claim->outcome == SR_OUTCOME_NOT_RUN
           && (!first_attempt || simulation->attempts_made == 1))
    {
      simulation->reported_not_run_yet++;
      simulation->wrong_reports += simulation->executions > 0 ? 1 : 0;
    }
  if (claim->outcome != SR_OUTCOME_ANSWERED)
    return;
  simulation->reported_answered++;
  if (simulation->executions != 1 || claim->answer == NULL
      || strcmp (claim->answer->str, ANSWER) != 0)
    simulation->wrong_reports++;
}

/* Acts as the instance whose claim was won: it may crash before or after the call, or find that it
 * cannot make it. */
static void
dispatch (struct simulation *simulation,
          struct sr_orders *orders,
          const struct sr_claim_request *request,
          struct sr_claim *claim)
{
  if (chance (simulation, 0.2))
    return;
  if (chance (simulation, 0.2))
    {
      sr_orders_finish (orders, request, claim, SR_OUTCOME_NOT_RUN, NULL, 0);
      simulation->reported_not_run++;
      return;
    }
  simulation->executions++;
  if (chance (simulation, 0.2))
    return;
  if (chance (simulation, 0.2))
    sr_orders_finish (orders, request, claim, SR_OUTCOME_UNKNOWN, NULL, 0);
  else
    sr_orders_finish (orders, request, claim, SR_OUTCOME_ANSWERED, ANSWER, strlen (ANSWER));
}

static void
attempt (struct simulation *simulation)
{
  struct sr_orders *orders
      = simulation->orders[g_rand_int_range (simulation->random, 0, INSTANCES)];
  struct sr_claim claim;
  struct sr_claim_request request = {
    .team = "ege",
    .request = "20260101-refill",
    .fingerprint = { 1, 2 },
    .instance = "a",
    .nonce = (uint64_t)simulation->attempts_made + 1,
    .now_ms = NOON_MS,
    .first_attempt = simulation->attempts_made == 0,
  };

  if (simulation->attempts_left == 0)
    return;
  simulation->attempts_left--;
  simulation->attempts_made++;
  simulation->nesting++;
  sr_orders_claim (orders, &request, &claim);
  if (claim.verdict == SR_CLAIM_WON)
    dispatch (simulation, orders, &request, &claim);
  else
    check_report (simulation, &claim, request.first_attempt);
  sr_claim_clear (&claim);
  sr_orders_retry_pending (orders);
  simulation->nesting--;
}

static void
run_schedule (struct simulation *simulation, uint32_t seed)
{
  static const struct sr_platform_vtable vtable = { .get = faulty_get, .put = faulty_put };

  memset (simulation, 0, sizeof *simulation);
  simulation->platform.base.vtable = &vtable;
  simulation->platform.base.reference_count = 1 + INSTANCES;
  simulation->platform.memory = sr_platform_memory_new ();
  simulation->platform.simulation = simulation;
  simulation->random = g_rand_new_with_seed (seed);
  simulation->attempts_left = ATTEMPTS;
  for (int i = 0; i < INSTANCES; i++)
    simulation->orders[i] = sr_orders_new (&simulation->platform.base);
  while (simulation->attempts_left > 0)
    attempt (simulation);
  for (int i = 0; i < INSTANCES; i++)
    sr_orders_delete (simulation->orders[i]);
  if (simulation->platform.late_body != NULL)
    {
      g_string_free (simulation->platform.late_body, TRUE);
      g_string_free (simulation->platform.late_name, TRUE);
    }
  sr_platform_unref (simulation->platform.memory);
  g_rand_free (simulation->random);
}

static void
orders_are_executed_at_most_once_and_reported_correctly (void **state)
{
  int executed = 0;
  int answered = 0;
  int not_run = 0;
  int not_run_yet = 0;

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct simulation simulation;

      run_schedule (&simulation, seed);
      if (simulation.executions > 1
          || (simulation.executions == 1 && simulation.reported_not_run > 0)
          || (simulation.executions == 0 && simulation.reported_answered > 0)
          || simulation.wrong_reports > 0)
        fail_msg ("seed %u: %d executions, reported not run %d, answered %d, wrong reports %d",
                  seed, simulation.executions, simulation.reported_not_run,
                  simulation.reported_answered, simulation.wrong_reports);
      executed += simulation.executions;
      answered += simulation.reported_answered > 0 ? 1 : 0;
      not_run += simulation.reported_not_run > 0 ? 1 : 0;
      not_run_yet += simulation.reported_not_run_yet;
    }
  print_message ("%d schedules: %d executed, %d reported answered, %d not run, %d not run yet\n",
                 SEEDS, executed, answered, not_run, not_run_yet);
  assert_true (executed > SEEDS / 10);
  assert_true (answered > SEEDS / 20);
  assert_true (not_run > SEEDS / 20);
  assert_true (not_run_yet > SEEDS / 20);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (orders_are_executed_at_most_once_and_reported_correctly),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
