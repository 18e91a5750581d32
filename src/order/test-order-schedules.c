/* Seeded schedules: instances that share a faulty platform, crash anywhere and are retried. */
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
  NESTING_MAX = 3
};

static const int64_t NOON_MS = 1767268800000; /* 2026-01-01 12:00 UTC */
static const char ANSWER[] = "{\"execution\":1}";

/* A platform whose calls fail, lose their answers, or take effect late, by chance; between calls
 * the other instances go on. */
struct faulty_platform
{
  struct sr_platform base;
  struct sr_platform *memory;
  struct world *world;
  GString *late_body; /* of a creation that takes effect at a later call; NULL for none */
  GString *late_name;
};

/* The order under test, and what callers were told of it. */
struct world
{
  struct faulty_platform platform;
  struct sr_orders *orders[INSTANCES];
  GRand *random;
  int attempts_left;
  int nesting;
  int attempts_made;
  int executions;
  int told_not_run;     /* by the stored outcome: for good */
  int told_not_run_yet; /* in an outage, to a caller that had sent nothing before or since */
  int told_answered;
  int lies; /* what was told and was wrong at that moment */
};

static void attempt (struct world *world);

static bool
chance (struct world *world, double share)
{
  return g_rand_double (world->random) < share;
}

static void
let_others_run (struct world *world)
{
  struct faulty_platform *faulty = &world->platform;
  int64_t version;

  if (faulty->late_body != NULL && chance (world, 0.5))
    {
      GString *body = g_steal_pointer (&faulty->late_body);

      sr_platform_put (faulty->memory, "order", faulty->late_name->str, body->str, body->len, 0,
                       &version);
      g_string_free (body, TRUE);
      g_string_free (g_steal_pointer (&faulty->late_name), TRUE);
    }
  if (world->nesting < NESTING_MAX && chance (world, 0.3))
    attempt (world);
}

static enum sr_platform_status
faulty_get (struct sr_platform *platform,
            const char *kind,
            const char *name,
            GString *body,
            int64_t *version)
{
  struct faulty_platform *faulty = (struct faulty_platform *)platform;

  let_others_run (faulty->world);
  if (chance (faulty->world, 0.2))
    return SR_PLATFORM_OUT;
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

  let_others_run (faulty->world);
  if (chance (faulty->world, 0.15))
    return SR_PLATFORM_OUT;
  if (expected_version == 0 && faulty->late_body == NULL && chance (faulty->world, 0.15))
    {
      faulty->late_body = g_string_new_len (body, (gssize)length);
      faulty->late_name = g_string_new (name);
      return SR_PLATFORM_UNKNOWN;
    }
  status = sr_platform_put (faulty->memory, kind, name, body, length, expected_version, version);
  let_others_run (faulty->world);
  return chance (faulty->world, 0.25) ? SR_PLATFORM_UNKNOWN : status;
}

static void
tell (struct world *world, const struct sr_claim *claim, bool first_attempt)
{
  if (claim->outcome == SR_OUTCOME_NOT_RUN && claim->verdict == SR_CLAIM_TAKEN)
    world->told_not_run++;
  else if (claim->outcome == SR_OUTCOME_NOT_RUN && (!first_attempt || world->attempts_made == 1))
    {
      world->told_not_run_yet++;
      world->lies += world->executions > 0 ? 1 : 0;
    }
  if (claim->outcome != SR_OUTCOME_ANSWERED)
    return;
  world->told_answered++;
  if (world->executions != 1 || claim->answer == NULL || strcmp (claim->answer->str, ANSWER) != 0)
    world->lies++;
}

/* What an instance does that won: it may crash before and after the call, or call nobody. */
static void
dispatch (struct world *world,
          struct sr_orders *orders,
          const struct sr_claim_request *request,
          struct sr_claim *claim)
{
  if (chance (world, 0.2))
    return;
  if (chance (world, 0.2))
    {
      sr_orders_finish (orders, request, claim, SR_OUTCOME_NOT_RUN, NULL, 0);
      world->told_not_run++;
      return;
    }
  world->executions++;
  if (chance (world, 0.2))
    return;
  if (chance (world, 0.2))
    sr_orders_finish (orders, request, claim, SR_OUTCOME_UNKNOWN, NULL, 0);
  else
    sr_orders_finish (orders, request, claim, SR_OUTCOME_ANSWERED, ANSWER, strlen (ANSWER));
}

static void
attempt (struct world *world)
{
  struct sr_orders *orders = world->orders[g_rand_int_range (world->random, 0, INSTANCES)];
  struct sr_claim claim;
  struct sr_claim_request request = {
    .team = "ege",
    .request = "20260101-refill",
    .fingerprint = { 1, 2 },
    .instance = "a",
    .nonce = (uint64_t)world->attempts_made + 1,
    .now_ms = NOON_MS,
    .first_attempt = world->attempts_made == 0,
  };

  if (world->attempts_left == 0)
    return;
  world->attempts_left--;
  world->attempts_made++;
  world->nesting++;
  sr_orders_claim (orders, &request, &claim);
  if (claim.verdict == SR_CLAIM_WON)
    dispatch (world, orders, &request, &claim);
  else
    tell (world, &claim, request.first_attempt);
  sr_claim_clear (&claim);
  sr_orders_retry_pending (orders);
  world->nesting--;
}

static void
run_schedule (struct world *world, uint32_t seed)
{
  static const struct sr_platform_vtable vtable = { .get = faulty_get, .put = faulty_put };

  memset (world, 0, sizeof *world);
  world->platform.base.vtable = &vtable;
  world->platform.base.reference_count = 1 + INSTANCES;
  world->platform.memory = sr_platform_memory_new ();
  world->platform.world = world;
  world->random = g_rand_new_with_seed (seed);
  world->attempts_left = ATTEMPTS;
  for (int i = 0; i < INSTANCES; i++)
    world->orders[i] = sr_orders_new (&world->platform.base);
  while (world->attempts_left > 0)
    attempt (world);
  for (int i = 0; i < INSTANCES; i++)
    sr_orders_delete (world->orders[i]);
  if (world->platform.late_body != NULL)
    {
      g_string_free (world->platform.late_body, TRUE);
      g_string_free (world->platform.late_name, TRUE);
    }
  sr_platform_unref (world->platform.memory);
  g_rand_free (world->random);
}

static void
schedules_execute_once_and_tell_the_truth (void **state)
{
  int executed = 0;
  int answered = 0;
  int not_run = 0;
  int not_run_yet = 0;

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world world;

      run_schedule (&world, seed);
      if (world.executions > 1 || (world.executions == 1 && world.told_not_run > 0)
          || (world.executions == 0 && world.told_answered > 0) || world.lies > 0)
        fail_msg ("seed %u: %d executions, told not run %d, answered %d, lies %d", seed,
                  world.executions, world.told_not_run, world.told_answered, world.lies);
      executed += world.executions;
      answered += world.told_answered > 0 ? 1 : 0;
      not_run += world.told_not_run > 0 ? 1 : 0;
      not_run_yet += world.told_not_run_yet;
    }
  print_message ("%d schedules: %d executed, %d told answered, %d told not run, %d not run yet\n",
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
    cmocka_unit_test (schedules_execute_once_and_tell_the_truth),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
