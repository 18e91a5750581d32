/* Unit tests of the account of memory: its sums, its limits, and who is closed first. */
#include "net/memory-account.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  KIB = 1024,
  MIB = 1024 * 1024,
  HOLDERS = 8,
  STALLED_MS = 5000,
  STEPS = 20000
};

static const struct net_memory_limits limits_ = { .bytes = 4 * MIB, .callers_max = HOLDERS };

static struct net_memory_account account_;
static struct net_memory_holder holders_[HOLDERS];

static int
open_holders (void **state)
{
  net_memory_account_init (&account_, &limits_);
  for (unsigned i = 0; i < HOLDERS; i++)
    net_memory_holder_open (&holders_[i], &account_, 1000);
  return 0;
}

static void
the_holder_of_most_bytes_is_closed_first (void **state)
{
  net_memory_holder_set (&holders_[1], NET_MEMORY_BODY, 3 * MIB);
  net_memory_holder_set (&holders_[2], NET_MEMORY_BODY, 2 * MIB);
  assert_true (net_memory_account_is_short (&account_));
  assert_ptr_equal (net_memory_account_pick_largest (&account_, 1001), &holders_[1]);
}

/* A body that arrives at the speed of its link is not closed for one that has stopped arriving. */
static void
of_similar_holders_the_one_without_progress_is_closed_first (void **state)
{
  net_memory_holder_set (&holders_[1], NET_MEMORY_BODY, 3 * MIB);
  net_memory_holder_set (&holders_[2], NET_MEMORY_BODY, 2 * MIB);
  holders_[1].progress_ms = 2000;
  assert_ptr_equal (net_memory_account_pick_largest (&account_, 2001), &holders_[2]);
}

/* A hundred idle connections were closed for one body that a client had stopped sending. */
static void
idle_connections_are_not_closed_for_a_large_body (void **state)
{
  net_memory_holder_set (&holders_[1], NET_MEMORY_BODY, 3 * MIB);
  holders_[1].progress_ms = 60000;
  assert_ptr_equal (net_memory_account_pick_largest (&account_, 60010), &holders_[1]);
}

/* A caller would lose a response in the middle. */
static void
a_response_that_is_read_is_never_closed (void **state)
{
  for (unsigned i = 0; i < HOLDERS; i++)
    {
      net_memory_holder_set_served (&holders_[i], true);
      net_memory_holder_note_unsent (&holders_[i], 2 * MIB, 1000);
    }
  for (int64_t now_ms = 1000; now_ms < 60000; now_ms += STALLED_MS - 1)
    {
      for (unsigned i = 0; i < HOLDERS; i++)
        net_memory_holder_note_unsent (&holders_[i], holders_[i].bytes[NET_MEMORY_UNSENT] - 1,
                                       now_ms);
      assert_null (net_memory_account_pick_largest (&account_, now_ms + STALLED_MS - 1));
      assert_null (net_memory_account_pick_oldest (&account_, now_ms + STALLED_MS - 1));
    }
}

/* After the last request of a connection its response may still be on its way. */
static void
a_response_that_is_read_is_never_closed_after_its_request_has_ended (void **state)
{
  for (unsigned i = 1; i < HOLDERS; i++)
    net_memory_holder_close (&holders_[i]);
  net_memory_holder_note_unsent (&holders_[0], 8 * MIB, 1000);
  assert_true (net_memory_account_is_short (&account_));
  assert_null (net_memory_account_pick_largest (&account_, 1000 + STALLED_MS - 1));
}

/* The kernel has all of the response; closing the connection beside unread input would drop it. */
static void
a_response_in_the_kernel_that_is_read_is_not_closed (void **state)
{
  for (unsigned i = 1; i < HOLDERS; i++)
    net_memory_holder_close (&holders_[i]);
  net_memory_holder_note_kernel (&holders_[0], 5 * MIB, 100 * KIB, 1000);
  for (int64_t now_ms = 1900; now_ms < 20000; now_ms += 900)
    {
      assert_null (net_memory_account_pick_largest (&account_, now_ms));
      assert_null (net_memory_account_pick_oldest (&account_, now_ms));
      net_memory_holder_note_kernel (&holders_[0], 5 * MIB, holders_[0].unacknowledged - KIB,
                                     now_ms);
    }
  assert_ptr_equal (net_memory_account_pick_largest (&account_, 40000), &holders_[0]);
}

/* Guards against clients that have one request served and send far ahead behind it: what they hold
 * could not be freed, and other callers were closed instead. */
static void
a_served_request_does_not_protect_what_is_sent_far_ahead (void **state)
{
  for (unsigned i = 0; i < HOLDERS; i++)
    net_memory_holder_set_served (&holders_[i], true);
  net_memory_holder_set (&holders_[0], NET_MEMORY_INPUT, 60 * KIB);
  net_memory_holder_set (&holders_[1], NET_MEMORY_INPUT, 96 * KIB);
  net_memory_holder_note_kernel (&holders_[1], 5 * MIB, 0, 1000);
  assert_ptr_equal (net_memory_account_pick_largest (&account_, 1001), &holders_[1]);
  net_memory_holder_close (&holders_[1]);
  assert_null (net_memory_account_pick_largest (&account_, 1001));
}

static void
a_response_that_nobody_reads_is_closed (void **state)
{
  net_memory_holder_set_served (&holders_[3], true);
  net_memory_holder_note_unsent (&holders_[3], 5 * MIB, 1000);
  assert_ptr_equal (net_memory_account_pick_largest (&account_, 1000 + STALLED_MS), &holders_[3]);
}

/* It may have run, and its caller would not know. */
static void
a_request_that_is_served_is_not_closed (void **state)
{
  net_memory_holder_set (&holders_[1], NET_MEMORY_BODY, 5 * MIB);
  net_memory_holder_set_served (&holders_[1], true);
  assert_ptr_not_equal (net_memory_account_pick_largest (&account_, 60000), &holders_[1]);
  for (unsigned i = 0; i < HOLDERS; i++)
    net_memory_holder_set_served (&holders_[i], true);
  assert_null (net_memory_account_pick_largest (&account_, 60000));
}

static void
a_new_connection_takes_the_place_of_the_oldest_idle_one (void **state)
{
  assert_true (net_memory_account_is_full (&account_));
  for (unsigned i = 0; i < HOLDERS; i++)
    holders_[i].progress_ms = 2000 - i;
  net_memory_holder_set_served (&holders_[HOLDERS - 1], true);
  assert_ptr_equal (net_memory_account_pick_oldest (&account_, 3000), &holders_[HOLDERS - 2]);
  net_memory_holder_close (&holders_[HOLDERS - 2]);
  assert_false (net_memory_account_is_full (&account_));
}

/* Requests with large bodies at a slow server kept everybody else out. */
static void
served_requests_leave_room_for_others (void **state)
{
  unsigned admitted = 0;

  for (unsigned i = 0; i < HOLDERS - 1; i++)
    {
      net_memory_holder_set (&holders_[i], NET_MEMORY_BODY, MIB);
      if (net_memory_account_admits (&account_, &holders_[i]))
        {
          net_memory_holder_set_served (&holders_[i], true);
          admitted++;
        }
      else
        net_memory_holder_close (&holders_[i]);
    }
  assert_int_equal (admitted, 2);
  assert_true (net_memory_account_admits (&account_, &holders_[HOLDERS - 1]));
  assert_false (net_memory_account_is_short (&account_));
}

static void
the_sums_are_right_after_any_changes (void **state)
{
  GRand *random = g_rand_new_with_seed (1);

  for (unsigned step = 0; step < STEPS; step++)
    {
      struct net_memory_holder *holder = &holders_[g_rand_int_range (random, 0, HOLDERS)];
      size_t total = 0;
      size_t served = 0;

      if (holder->account == NULL)
        net_memory_holder_open (holder, &account_, step);
      else if (g_rand_int_range (random, 0, 10) == 0)
        net_memory_holder_close (holder);
      else if (g_rand_int_range (random, 0, 10) == 0)
        net_memory_holder_set_served (holder, !holder->is_served);
      else
        net_memory_holder_set (holder, g_rand_int_range (random, 0, NET_MEMORY_KINDS),
                               (size_t)g_rand_int_range (random, 0, 100 * KIB));
      for (unsigned i = 0; i < HOLDERS; i++)
        {
          total += holders_[i].account == NULL ? 0 : holders_[i].total;
          served += holders_[i].is_served ? holders_[i].total : 0;
        }
      assert_int_equal (account_.total, total);
      assert_int_equal (account_.served_total, served);
      total = 0;
      for (unsigned kind = 0; kind < NET_MEMORY_KINDS; kind++)
        total += account_.bytes[kind];
      assert_int_equal (account_.total, total);
    }
  for (unsigned i = 0; i < HOLDERS; i++)
    net_memory_holder_close (&holders_[i]);
  assert_int_equal (account_.total, 0);
  assert_int_equal (account_.holders.length, 0);
  g_rand_free (random);
}

/* The limits of all machines leave descriptors for servers and files, and room for the largest
 * bodies. */
static void
limits_leave_room_for_everything_else (void **state)
{
  static const struct
  {
    double memory_mb;
    unsigned descriptors;
  } machines[] = { { 0, 0 }, { 88, 2870 }, { 88, 256 }, { 512, 8192 }, { 1, 1 }, { 64, 100 } };

  for (size_t i = 0; i < G_N_ELEMENTS (machines); i++)
    {
      struct net_memory_limits limits
          = net_memory_limits (machines[i].memory_mb, machines[i].descriptors);

      assert_true (limits.bytes >= 8 * MIB);
      assert_true (limits.callers_max >= 4 && limits.status_max >= 1);
      if (machines[i].memory_mb >= 64)
        assert_true ((double)limits.bytes <= machines[i].memory_mb * MIB / 2);
      if (machines[i].descriptors >= 100)
        assert_true (limits.callers_max + 2 * limits.status_max
                     <= machines[i].descriptors - machines[i].descriptors / 8);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup (the_holder_of_most_bytes_is_closed_first, open_holders),
    cmocka_unit_test_setup (of_similar_holders_the_one_without_progress_is_closed_first,
                            open_holders),
    cmocka_unit_test_setup (idle_connections_are_not_closed_for_a_large_body, open_holders),
    cmocka_unit_test_setup (a_response_that_is_read_is_never_closed, open_holders),
    cmocka_unit_test_setup (a_response_that_is_read_is_never_closed_after_its_request_has_ended,
                            open_holders),
    cmocka_unit_test_setup (a_response_in_the_kernel_that_is_read_is_not_closed, open_holders),
    cmocka_unit_test_setup (a_response_that_nobody_reads_is_closed, open_holders),
    cmocka_unit_test_setup (a_request_that_is_served_is_not_closed, open_holders),
    cmocka_unit_test_setup (a_served_request_does_not_protect_what_is_sent_far_ahead, open_holders),
    cmocka_unit_test_setup (a_new_connection_takes_the_place_of_the_oldest_idle_one, open_holders),
    cmocka_unit_test_setup (served_requests_leave_room_for_others, open_holders),
    cmocka_unit_test_setup (the_sums_are_right_after_any_changes, open_holders),
    cmocka_unit_test (limits_leave_room_for_everything_else),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
