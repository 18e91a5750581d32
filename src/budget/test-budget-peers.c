/* Several instances in one process that exchange real messages: loans, witnesses, and reclaiming
 * the tokens of a crashed instance. */
#include "budget/budget.h"
#include "budget/top-up.h"
#include "platform/platform-memory.h"

#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  FIRST_PORT = 20311,
  INSTANCES = 4,
  WAIT_US = 8000000,       /* deadline of a reservation or a stop */
  SHORT_WAIT_US = 1000000, /* deadline that a hanging platform exceeds */
  HANG_US = 2000000,       /* duration of a call to a hanging platform */
  UNREACHABLE_US = 500000, /* time for which a lender does not listen */
  POLL_US = 20000,
  OUT_BACKOFF_US = 600000, /* longer than the backoff after a failed call */
  LONG_IDLE_S = 60,        /* never reached in a test */
  SHORT_IDLE_S = 1,
  PREPAID = 10000, /* tokens */
  SIZE = 50        /* tokens of one request */
};

struct instance
{
  char name[8];
  struct sr_peer_client *client;
  struct sr_peer_server *server;
  struct sr_budgets *budgets;
};

static pthread_mutex_t view_mutex = PTHREAD_MUTEX_INITIALIZER;
static struct sr_member members[INSTANCES];
static struct instance instances[INSTANCES];
static struct sr_platform *platform;
static unsigned idle_return_s = LONG_IDLE_S;
static const char *const data_centres[INSTANCES] = { "makole", "makole", "makole", "kikuyu" };

static struct sr_member_view *
view_ (void *data)
{
  struct sr_member_view *view;

  pthread_mutex_lock (&view_mutex);
  view = sr_member_view_new (members, INSTANCES);
  pthread_mutex_unlock (&view_mutex);
  for (size_t i = 0; i < view->length; i++)
    view->members[i].is_self = g_str_equal (view->members[i].name, data);
  return view;
}

static void
set_state_ (unsigned index, enum sr_member_state state)
{
  pthread_mutex_lock (&view_mutex);
  members[index].state = state;
  pthread_mutex_unlock (&view_mutex);
}

/* Starts the server for peers' calls to INSTANCE. */
static void
listen_ (struct instance *instance)
{
  struct sr_peer_server_options options
      = { .address = "127.0.0.1", .port = FIRST_PORT + (unsigned)(instance - instances) };

  instance->server = sr_peer_server_new (&options);
  sr_budgets_add_to_server (instance->budgets, instance->server);
  assert_true (sr_peer_server_start (instance->server));
}

static void
start_on_ (unsigned index, struct sr_platform *its_platform)
{
  struct instance *instance = &instances[index];
  struct sr_peer_client_options client = { .source_address = NULL };
  struct sr_budgets_options options = { .platform = its_platform,
                                        .view = view_,
                                        .view_data = instance->name,
                                        .instance = instance->name,
                                        .data_centre = data_centres[index],
                                        .allotment_cover_s = 30,
                                        .idle_return_s = idle_return_s,
                                        .settle_interval_ms = 100,
                                        .seed = index };

  g_snprintf (instance->name, sizeof instance->name, "i%u", index);
  pthread_mutex_lock (&view_mutex);
  options.incarnation = ++members[index].incarnation;
  members[index].state = SR_MEMBER_ALIVE;
  pthread_mutex_unlock (&view_mutex);
  instance->client = sr_peer_client_new (&client);
  options.peers = instance->client;
  instance->budgets = sr_budgets_new (&options);
  listen_ (instance);
  assert_true (sr_budgets_start (instance->budgets));
}

static void
start_ (unsigned index)
{
  start_on_ (index, platform);
}

static void
stop_ (unsigned index)
{
  struct instance *instance = &instances[index];

  sr_budgets_stop (instance->budgets);
  sr_peer_server_stop (instance->server);
  sr_peer_server_delete (instance->server);
  sr_budgets_delete (instance->budgets);
  sr_peer_client_delete (instance->client);
}

/* A platform that responds only after HANG_US, with a failure. */
static enum sr_platform_status
hang_ (
    struct sr_platform *self, const char *kind, const char *name, GString *body, int64_t *version)
{
  g_usleep (HANG_US);
  return SR_PLATFORM_UNREACHABLE;
}

static void
ignore_ (struct sr_platform *self)
{
}

static const struct sr_platform_vtable hanging_vtable = { .get = hang_, .finish = ignore_ };
static struct sr_platform hanging = { .vtable = &hanging_vtable, .reference_count = 1 };

static int
set_up_ (void **state)
{
  struct sr_top_up_request request
      = { .budget = "b", .id = "t", .who = "w", .tokens = PREPAID, .time_ms = 1 };
  struct sr_top_up_result result;

  platform = sr_platform_memory_new ();
  sr_top_up_apply (platform, &request, &result);
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      g_snprintf (members[i].name, sizeof members[i].name, "i%u", i);
      g_strlcpy (members[i].data_centre, data_centres[i], sizeof members[i].data_centre);
      g_strlcpy (members[i].peer.ip, "127.0.0.1", sizeof members[i].peer.ip);
      members[i].peer.port = FIRST_PORT + i;
      members[i].incarnation = 0;
    }
  for (unsigned i = 0; i < INSTANCES; i++)
    start_ (i);
  return 0;
}

static int
tear_down_ (void **state)
{
  for (unsigned i = 0; i < INSTANCES; i++)
    stop_ (i);
  sr_platform_unref (platform);
  return 0;
}

static bool
spend_ (unsigned index, int64_t tokens)
{
  struct sr_reservation *reservation;
  int64_t retry_after_ms;

  if (sr_budgets_reserve (instances[index].budgets, "b", tokens, g_get_monotonic_time () + WAIT_US,
                          &reservation, &retry_after_ms)
      != SR_BUDGET_RESERVED)
    return false;
  sr_budgets_settle (instances[index].budgets, reservation, tokens);
  return true;
}

static struct sr_record *
read_record_ (void)
{
  GString *body = g_string_new (NULL);
  struct sr_record *record;
  int64_t version;

  assert_int_equal (sr_platform_get (platform, "budget", "b", body, &version), SR_PLATFORM_OK);
  record = sr_record_parse (body->str, body->len);
  g_string_free (body, TRUE);
  assert_non_null (record);
  return record;
}

/* Returns the index of the only holder on the record. */
static unsigned
only_holder_ (void)
{
  struct sr_record *record = read_record_ ();
  unsigned index;

  assert_int_equal (record->holders->len, 1);
  index = (unsigned)(g_array_index (record->holders, struct sr_record_holder, 0).id.instance[1]
                     - '0');
  sr_record_delete (record);
  return index;
}

static unsigned
holders_in_ (const struct sr_record *record, const char *data_centre)
{
  unsigned count = 0;

  for (unsigned i = 0; i < record->holders->len; i++)
    count += g_str_equal (g_array_index (record->holders, struct sr_record_holder, i).data_centre,
                          data_centre);
  return count;
}

/* All instances spend the budget: no request is refused before the last token is spent, and the
 * record shows one holder in each data centre. */
static void
test_budget_is_spent_to_the_last_token (void **state)
{
  struct sr_record *record;
  int64_t spent = 0;

  for (unsigned i = 0; i < PREPAID / SIZE / 2; i++)
    spent += spend_ (i % INSTANCES, SIZE) ? SIZE : 0;
  assert_int_equal (spent, PREPAID / 2);
  record = read_record_ ();
  assert_int_equal (holders_in_ (record, "makole"), 1);
  assert_int_equal (holders_in_ (record, "kikuyu"), 1);
  sr_record_delete (record);
  for (unsigned i = 0; i < PREPAID / SIZE / 2; i++)
    spent += spend_ (i % INSTANCES, SIZE) ? SIZE : 0;
  assert_int_equal (spent, PREPAID);
  for (unsigned i = 0; i < INSTANCES; i++)
    assert_false (spend_ (i, SIZE));
}

/* The holder crashes: its witness seals the record, and peers can spend the tokens above the
 * ceiling. */
static void
test_crashed_holder_is_reclaimed (void **state)
{
  struct sr_record *record;
  const struct sr_record_holder *holder;
  unsigned crashed;
  int64_t spent = 0;
  int64_t granted;

  for (unsigned i = 0; i < 20; i++)
    spent += spend_ (i % 3, SIZE) ? SIZE : 0;
  assert_int_equal (spent, 20 * SIZE);
  record = read_record_ ();
  holder = &g_array_index (record->holders, struct sr_record_holder, 0);
  granted = holder->granted;
  assert_true (holder->witness[0] != '\0');
  crashed = (unsigned)(holder->id.instance[1] - '0');
  sr_record_delete (record);
  set_state_ (crashed, SR_MEMBER_DEAD);
  stop_ (crashed);
  while (spend_ ((crashed + 1) % 3, SIZE) || spend_ (3, SIZE))
    spent += SIZE;
  assert_in_range (spent, PREPAID - granted, PREPAID);
  record = read_record_ ();
  assert_int_equal (record->written_off, 0);
  assert_true (record->settled > 0);
  sr_record_delete (record);
  start_ (crashed);
}

/* A holder is assumed dead while it is alive: it must spend no more than the ceiling of the sealed
 * record, and continues with a new one. */
static void
test_sealed_holder_continues_with_a_new_record (void **state)
{
  struct sr_record *record;
  unsigned paused;
  int64_t spent = 0;

  for (unsigned i = 0; i < 20; i++)
    spent += spend_ (i % 3, SIZE) ? SIZE : 0;
  record = read_record_ ();
  paused = (unsigned)(g_array_index (record->holders, struct sr_record_holder, 0).id.instance[1]
                      - '0');
  sr_record_delete (record);
  set_state_ (paused, SR_MEMBER_DEAD);
  for (unsigned i = 0; i < 100 && spend_ ((paused + 1) % 3, SIZE); i++)
    spent += SIZE;
  while (spend_ (paused, SIZE) || spend_ ((paused + 1) % 3, SIZE) || spend_ (3, SIZE))
    spent += SIZE;
  assert_in_range (spent, PREPAID / 2, PREPAID);
  set_state_ (paused, SR_MEMBER_ALIVE);
}

/* The primary is cut off from the platform and has not noticed yet: a borrower must draw on the
 * platform itself before its caller's deadline. */
static void
test_hanging_primary_does_not_block_borrowers (void **state)
{
  struct sr_reservation *reservation;
  struct sr_record *record;
  unsigned primary;
  int64_t retry_after_ms;

  assert_true (spend_ (0, SIZE));
  record = read_record_ ();
  primary = (unsigned)(g_array_index (record->holders, struct sr_record_holder, 0).id.instance[1]
                       - '0');
  sr_record_delete (record);
  stop_ (primary);
  start_on_ (primary, &hanging);
  assert_int_equal (sr_budgets_reserve (instances[(primary + 1) % 3].budgets, "b", SIZE,
                                        g_get_monotonic_time () + SHORT_WAIT_US, &reservation,
                                        &retry_after_ms),
                    SR_BUDGET_RESERVED);
  sr_budgets_settle (instances[(primary + 1) % 3].budgets, reservation, SIZE);
}

/* The platform hangs and the instance that would draw has not noticed yet: it must borrow from
 * another data centre before its caller's deadline. */
static void
test_loans_replace_draws_while_the_platform_hangs (void **state)
{
  struct sr_reservation *reservation;
  unsigned primary;
  int64_t retry_after_ms;

  assert_true (spend_ (0, SIZE));
  primary = only_holder_ ();
  for (unsigned i = 0; i < 20; i++)
    assert_true (spend_ (INSTANCES - 1, SIZE));
  stop_ (primary);
  start_on_ (primary, &hanging);
  assert_int_equal (sr_budgets_reserve (instances[primary].budgets, "b", SIZE,
                                        g_get_monotonic_time () + SHORT_WAIT_US, &reservation,
                                        &retry_after_ms),
                    SR_BUDGET_RESERVED);
  sr_budgets_settle (instances[primary].budgets, reservation, SIZE);
}

/* While the platform is unreachable, instances without tokens borrow from those that hold some. */
static void
test_loans_replace_draws_in_an_outage (void **state)
{
  unsigned served = 0;

  for (unsigned i = 0; i < 20; i++)
    assert_true (spend_ (0, SIZE));
  sr_platform_memory_set_unreachable (platform, true);
  for (unsigned i = 0; i < 4; i++)
    served += spend_ (1 + i % 3, SIZE);
  assert_int_equal (served, 4);
  sr_platform_memory_set_unreachable (platform, false);
}

/* A planned stop of all instances must leave no holder on the record. */
static void
test_planned_stop_returns_all_tokens (void **state)
{
  struct sr_record *record;

  for (unsigned i = 0; i < 16; i++)
    assert_true (spend_ (i % INSTANCES, SIZE));
  for (unsigned i = 0; i < INSTANCES; i++)
    assert_true (sr_budgets_return_all (instances[i].budgets, g_get_monotonic_time () + WAIT_US));
  record = read_record_ ();
  assert_int_equal (record->holders->len, 0);
  assert_int_equal (record->settled, 16 * SIZE);
  sr_record_delete (record);
}

static int
set_up_with_short_idle_time_ (void **state)
{
  idle_return_s = SHORT_IDLE_S;
  return set_up_ (state);
}

static int
tear_down_with_short_idle_time_ (void **state)
{
  idle_return_s = LONG_IDLE_S;
  return tear_down_ (state);
}

/* The lender is idle while one long request of a borrower still runs: the record must stay open
 * until the loan is returned, so that only used tokens are settled. */
static void
test_idle_lender_waits_for_its_loans (void **state)
{
  int64_t end_us = g_get_monotonic_time () + WAIT_US;
  struct sr_reservation *reservation;
  struct sr_record *record;
  unsigned borrower;
  int64_t retry_after_ms;

  assert_true (spend_ (0, SIZE));
  borrower = (only_holder_ () + 1) % 3;
  assert_int_equal (sr_budgets_reserve (instances[borrower].budgets, "b", SIZE,
                                        g_get_monotonic_time () + WAIT_US, &reservation,
                                        &retry_after_ms),
                    SR_BUDGET_RESERVED);
  g_usleep (SHORT_IDLE_S * 1500000);
  sr_budgets_settle (instances[borrower].budgets, reservation, 1);
  do
    {
      g_usleep (POLL_US);
      record = read_record_ ();
      if (record->holders->len == 0 || g_get_monotonic_time () >= end_us)
        break;
      sr_record_delete (record);
    }
  while (true);
  assert_int_equal (record->holders->len, 0);
  assert_int_equal (record->settled, SIZE + 1);
  sr_record_delete (record);
}

/* The witness of the lender restarts, so that the lender retires the record of a loan: the borrower
 * must still return the loan when it stops. */
static void
test_loan_of_a_retired_record_is_returned (void **state)
{
  struct sr_reservation *reservation;
  struct sr_record *record;
  const struct sr_record_holder *holder;
  unsigned lender;
  unsigned witness;
  unsigned borrower;
  int64_t retry_after_ms;
  int64_t spent = 0;

  assert_true (spend_ (0, SIZE));
  record = read_record_ ();
  assert_int_equal (record->holders->len, 1);
  holder = &g_array_index (record->holders, struct sr_record_holder, 0);
  lender = (unsigned)(holder->id.instance[1] - '0');
  witness = (unsigned)(holder->witness[1] - '0');
  borrower = 3 - lender - witness; /* the third instance in makole */
  sr_record_delete (record);
  assert_int_equal (sr_budgets_reserve (instances[borrower].budgets, "b", SIZE,
                                        g_get_monotonic_time () + WAIT_US, &reservation,
                                        &retry_after_ms),
                    SR_BUDGET_RESERVED);
  stop_ (witness);
  start_ (witness);
  for (spent = SIZE; spent < PREPAID / 4; spent += SIZE)
    assert_true (spend_ (lender, SIZE));
  for (unsigned i = 0; i < 20; i++, spent += SIZE)
    assert_true (spend_ (borrower, SIZE));
  sr_budgets_settle (instances[borrower].budgets, reservation, 1);
  assert_true (
      sr_budgets_return_all (instances[borrower].budgets, g_get_monotonic_time () + WAIT_US));
  for (unsigned i = 0; i < INSTANCES; i++)
    assert_true (sr_budgets_return_all (instances[i].budgets, g_get_monotonic_time () + WAIT_US));
  record = read_record_ ();
  assert_int_equal (record->holders->len, 0);
  assert_int_equal (record->settled, spent + 1);
  sr_record_delete (record);
}

static void *
listen_again_ (void *data)
{
  g_usleep (UNREACHABLE_US);
  listen_ (data);
  return NULL;
}

/* The lender is unreachable when the borrower begins to stop, and reachable again shortly after:
 * the loan must be returned. */
static void
test_loan_is_returned_to_a_lender_reached_late (void **state)
{
  struct sr_record *record;
  struct instance *lender;
  struct instance *borrower;
  pthread_t thread;
  int64_t spent;

  assert_true (spend_ (0, SIZE));
  lender = &instances[only_holder_ ()];
  borrower = &instances[(lender - instances + 1) % 3];
  for (spent = SIZE; spent < 20 * SIZE; spent += SIZE)
    assert_true (spend_ ((unsigned)(borrower - instances), SIZE));
  sr_peer_server_stop (lender->server);
  sr_peer_server_delete (lender->server);
  assert_int_equal (pthread_create (&thread, NULL, listen_again_, lender), 0);
  assert_true (sr_budgets_return_all (borrower->budgets, g_get_monotonic_time () + WAIT_US));
  pthread_join (thread, NULL);
  stop_ ((unsigned)(borrower - instances));
  for (unsigned i = 0; i < INSTANCES; i++)
    if (&instances[i] != borrower)
      assert_true (sr_budgets_return_all (instances[i].budgets, g_get_monotonic_time () + WAIT_US));
  start_ ((unsigned)(borrower - instances));
  record = read_record_ ();
  assert_int_equal (record->holders->len, 0);
  assert_int_equal (record->settled, spent);
  sr_record_delete (record);
}

/* A planned stop while the platform is unreachable: the witness receives the number of used tokens,
 * so that peers can spend all of the rest. */
static void
test_stop_in_an_outage_leaves_all_tokens_reclaimable (void **state)
{
  struct sr_record *record;
  unsigned stopped;
  int64_t spent = 0;

  for (unsigned i = 0; i < 20; i++)
    spent += spend_ (i % 3, SIZE) ? SIZE : 0;
  record = read_record_ ();
  stopped = (unsigned)(g_array_index (record->holders, struct sr_record_holder, 0).id.instance[1]
                       - '0');
  sr_record_delete (record);
  sr_platform_memory_set_unreachable (platform, true);
  assert_true (
      sr_budgets_return_all (instances[stopped].budgets, g_get_monotonic_time () + SHORT_WAIT_US));
  set_state_ (stopped, SR_MEMBER_DEAD);
  stop_ (stopped);
  sr_platform_memory_set_unreachable (platform, false);
  g_usleep (OUT_BACKOFF_US);
  while (spend_ ((stopped + 1) % 3, SIZE) || spend_ ((stopped + 2) % 3, SIZE) || spend_ (3, SIZE))
    spent += SIZE;
  assert_int_equal (spent, PREPAID);
  start_ (stopped);
}

/* No peer responds, but the platform does: requests are served without a witness. */
static void
test_isolated_instance_draws_without_witness (void **state)
{
  struct sr_record *record;

  for (unsigned i = 1; i < INSTANCES; i++)
    {
      stop_ (i);
      set_state_ (i, SR_MEMBER_ALIVE);
    }
  assert_true (spend_ (0, SIZE));
  record = read_record_ ();
  assert_int_equal (record->holders->len, 1);
  sr_record_delete (record);
  for (unsigned i = 1; i < INSTANCES; i++)
    start_ (i);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_budget_is_spent_to_the_last_token, set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (test_crashed_holder_is_reclaimed, set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (test_sealed_holder_continues_with_a_new_record, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (test_hanging_primary_does_not_block_borrowers, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (test_loans_replace_draws_while_the_platform_hangs, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (test_loans_replace_draws_in_an_outage, set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (test_planned_stop_returns_all_tokens, set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (test_loan_is_returned_to_a_lender_reached_late, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (test_idle_lender_waits_for_its_loans,
                                     set_up_with_short_idle_time_, tear_down_with_short_idle_time_),
    cmocka_unit_test_setup_teardown (test_loan_of_a_retired_record_is_returned, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (test_stop_in_an_outage_leaves_all_tokens_reclaimable, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (test_isolated_instance_draws_without_witness, set_up_,
                                     tear_down_),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
