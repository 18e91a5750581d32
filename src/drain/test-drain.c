#include "drain/drain.h"

#include "base/thread.h"

#include <glib.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  US_PER_S = 1000000,
  FUZZ_RUNS = 20000,
  LIMIT_S = 600
};

static const struct sr_drain_core_options core_options
    = { .leave_us = 2 * US_PER_S, .limit_us = 60 * US_PER_S, .hand_over_us = 5 * US_PER_S };

static enum sr_drain_action
signal_at (struct sr_drain_core *core, int64_t now_us)
{
  struct sr_drain_event event = { .kind = SR_DRAIN_EVENT_SIGNAL };

  return sr_drain_core_step (core, &event, now_us);
}

static enum sr_drain_action
tick_at (struct sr_drain_core *core, unsigned in_progress, int64_t now_us)
{
  struct sr_drain_event event = { .kind = SR_DRAIN_EVENT_TICK, .in_progress = in_progress };

  return sr_drain_core_step (core, &event, now_us);
}

static void
a_stop_goes_through_its_states_in_order (void **state)
{
  struct sr_drain_event handed_over
      = { .kind = SR_DRAIN_EVENT_HANDED_OVER, .all_bills = true, .all_budgets = true };
  struct sr_drain_core core;

  sr_drain_core_init (&core, &core_options);
  assert_int_equal (tick_at (&core, 0, 90 * US_PER_S), SR_DRAIN_ACTION_NONE);
  assert_int_equal (signal_at (&core, 100 * US_PER_S), SR_DRAIN_ACTION_LEAVE);
  assert_int_equal (tick_at (&core, 0, 101 * US_PER_S), SR_DRAIN_ACTION_NONE);
  assert_int_equal (tick_at (&core, 3, 102 * US_PER_S), SR_DRAIN_ACTION_CLOSE);
  assert_int_equal (tick_at (&core, 1, 154 * US_PER_S), SR_DRAIN_ACTION_NONE);
  assert_int_equal (sr_drain_core_step (&core, &handed_over, 154 * US_PER_S), SR_DRAIN_ACTION_NONE);
  assert_int_equal (tick_at (&core, 0, 154 * US_PER_S), SR_DRAIN_ACTION_HAND_OVER);
  assert_int_equal (tick_at (&core, 0, 155 * US_PER_S), SR_DRAIN_ACTION_NONE);
  assert_int_equal (sr_drain_core_step (&core, &handed_over, 155 * US_PER_S),
                    SR_DRAIN_ACTION_FINISH);
  assert_int_equal (core.state, SR_DRAIN_STOPPED);
  assert_int_equal (core.requests_left, 0);
  assert_false (core.bills_left || core.budgets_left);
}

static void
the_limit_ends_a_stop_and_reports_what_was_left (void **state)
{
  struct sr_drain_core core;

  sr_drain_core_init (&core, &core_options);
  signal_at (&core, 0);
  assert_int_equal (tick_at (&core, 7, 2 * US_PER_S), SR_DRAIN_ACTION_CLOSE);
  assert_int_equal (tick_at (&core, 7, 55 * US_PER_S), SR_DRAIN_ACTION_HAND_OVER);
  assert_true (sr_drain_core_hand_over_deadline_us (&core) < 60 * US_PER_S);
  assert_int_equal (tick_at (&core, 2, 59 * US_PER_S), SR_DRAIN_ACTION_NONE);
  assert_int_equal (tick_at (&core, 2, 60 * US_PER_S), SR_DRAIN_ACTION_FINISH);
  assert_int_equal (core.requests_left, 7);
  assert_true (core.bills_left && core.budgets_left);
}

static void
a_second_signal_ends_a_stop_at_once (void **state)
{
  struct sr_drain_core core;

  sr_drain_core_init (&core, &core_options);
  signal_at (&core, 0);
  tick_at (&core, 4, 3 * US_PER_S);
  assert_int_equal (signal_at (&core, 3 * US_PER_S), SR_DRAIN_ACTION_FINISH);
  assert_int_equal (core.requests_left, 4);
  assert_int_equal (signal_at (&core, 4 * US_PER_S), SR_DRAIN_ACTION_NONE);
}

/* Random sequences of events; the invariants of each action are checked. */
static void
random_event_sequences_keep_the_invariants (void **state)
{
  GRand *random = g_rand_new_with_seed (41);

  for (int run = 0; run < FUZZ_RUNS; run++)
    {
      struct sr_drain_core core;
      enum sr_drain_action last = SR_DRAIN_ACTION_NONE;
      int64_t now_us = 0;
      int64_t signalled_us = -1;
      unsigned signals = 0;

      sr_drain_core_init (&core, &core_options);
      for (int step = 0; step < 60; step++)
        {
          struct sr_drain_event event
              = { .kind = (enum sr_drain_event_kind)g_rand_int_range (random, 0, 3),
                  .in_progress = (unsigned)g_rand_int_range (random, 0, 3),
                  .all_bills = g_rand_boolean (random),
                  .all_budgets = true };
          enum sr_drain_state before = core.state;
          enum sr_drain_action action;

          if (event.kind == SR_DRAIN_EVENT_SIGNAL && signals == 1 && run % 4 != 0)
            event.kind = SR_DRAIN_EVENT_TICK;
          now_us += g_rand_int_range (random, 0, 3 * US_PER_S);
          if (event.kind == SR_DRAIN_EVENT_SIGNAL && signals++ == 0)
            signalled_us = now_us;
          action = sr_drain_core_step (&core, &event, now_us);
          assert_true (core.state >= before);
          if (action == SR_DRAIN_ACTION_NONE)
            continue;
          assert_true (action == last + 1 || (action == SR_DRAIN_ACTION_FINISH && signals >= 2));
          if (action == SR_DRAIN_ACTION_CLOSE)
            assert_true (now_us - signalled_us >= core_options.leave_us);
          if (action == SR_DRAIN_ACTION_HAND_OVER && event.in_progress > 0)
            assert_true (now_us - signalled_us
                         >= core_options.limit_us - core_options.hand_over_us);
          if (action == SR_DRAIN_ACTION_FINISH && event.kind != SR_DRAIN_EVENT_HANDED_OVER)
            assert_true (core.bills_left && core.budgets_left);
          last = action;
        }
    }
  g_rand_free (random);
}

/* A fake instance whose requests end one at a time once it is closed. */
struct fake
{
  atomic_uint in_progress;
  atomic_bool left;
  atomic_bool closed;
  atomic_uint order; /* decimal digits in call order: 1 bills, 2 budgets */
  bool hangs;
  atomic_bool release;
};

static void
fake_leave (void *data)
{
  struct fake *fake = data;

  atomic_store (&fake->left, true);
}

static void
fake_close (void *data)
{
  struct fake *fake = data;

  assert_true (atomic_load (&fake->left));
  atomic_store (&fake->closed, true);
}

static unsigned
fake_in_progress (void *data)
{
  struct fake *fake = data;
  unsigned left = atomic_load (&fake->in_progress);

  if (atomic_load (&fake->closed) && left > 0)
    atomic_store (&fake->in_progress, left - 1);
  return left;
}

static bool
fake_hand_over_bills (int64_t end_us, void *data)
{
  struct fake *fake = data;

  while (fake->hangs && !atomic_load (&fake->release))
    g_usleep (1000);
  atomic_store (&fake->order, atomic_load (&fake->order) * 10 + 1);
  return true;
}

/* Returns false: allotments left on the platform's record don't make a stop unclean. */
static bool
fake_hand_over_budgets (int64_t end_us, void *data)
{
  struct fake *fake = data;

  atomic_store (&fake->order, atomic_load (&fake->order) * 10 + 2);
  return false;
}

static const struct sr_drain_vtable fake_vtable = {
  .leave = fake_leave,
  .close = fake_close,
  .in_progress = fake_in_progress,
  .hand_over_bills = fake_hand_over_bills,
  .hand_over_budgets = fake_hand_over_budgets,
};

static void *
run_drain (void *data)
{
  return sr_drain_run (data) ? data : NULL;
}

static void
a_signal_drains_the_instance_and_hands_over (void **state)
{
  static struct fake fake;
  struct sr_drain_options options
      = { .vtable = &fake_vtable, .data = &fake, .leave_ms = 10, .limit_s = LIMIT_S };
  struct sr_drain *drain = sr_drain_new (&options);
  pthread_t thread;
  void *result;

  atomic_store (&fake.in_progress, 3);
  assert_true (sr_thread_start (&thread, 0, run_drain, drain));
  kill (getpid (), SIGTERM);
  pthread_join (thread, &result);
  assert_ptr_equal (result, drain);
  assert_int_equal (atomic_load (&fake.in_progress), 0);
  assert_int_equal (atomic_load (&fake.order), 12);
  assert_int_equal (sr_drain_state (drain), SR_DRAIN_STOPPED);
  sr_drain_delete (drain);
}

static void
a_second_request_ends_a_stop_whose_hand_over_hangs (void **state)
{
  static struct fake fake = { .hangs = true };
  struct sr_drain_options options
      = { .vtable = &fake_vtable, .data = &fake, .leave_ms = 0, .limit_s = LIMIT_S };
  struct sr_drain *drain = sr_drain_new (&options);
  pthread_t thread;
  void *result;

  assert_true (sr_thread_start (&thread, 0, run_drain, drain));
  sr_drain_request (drain);
  while (sr_drain_state (drain) != SR_DRAIN_HANDING_OVER)
    g_usleep (1000);
  sr_drain_request (drain);
  pthread_join (thread, &result);
  assert_null (result);
  sr_drain_delete (drain);
  atomic_store (&fake.release, true);
  while (atomic_load (&fake.order) != 12)
    g_usleep (1000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_stop_goes_through_its_states_in_order),
    cmocka_unit_test (the_limit_ends_a_stop_and_reports_what_was_left),
    cmocka_unit_test (a_second_signal_ends_a_stop_at_once),
    cmocka_unit_test (random_event_sequences_keep_the_invariants),
    cmocka_unit_test (a_signal_drains_the_instance_and_hands_over),
    cmocka_unit_test (a_second_request_ends_a_stop_whose_hand_over_hangs),
  };

  sr_drain_block_signals ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
