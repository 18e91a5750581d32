#include "quarantine/quarantine.h"

#include "quarantine/survivors.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  MS = 1000,
  SECOND = 1000 * MS,
  ANNOUNCED_MAX = 256
};

static struct quarantine *quarantine;
static struct quarantine_report announced[ANNOUNCED_MAX];
static unsigned n_announced;
static unsigned rank;
static unsigned verdicts;
static int64_t now_us;

static unsigned
trial_rank (uint64_t part, void *data)
{
  return rank;
}

static void
announce (const struct quarantine_report *reports, unsigned n_reports, void *data)
{
  for (unsigned i = 0; i < n_reports && n_announced < ANNOUNCED_MAX; i++)
    announced[n_announced++] = reports[i];
}

static void
blocked (uint64_t part, void *data)
{
  verdicts++;
}

static struct quarantine *
new_quarantine (void)
{
  static const struct quarantine_options options
      = { .trial_rank = trial_rank, .announce = announce, .blocked = blocked };

  return quarantine_new (&options);
}

static int
set_up (void **state)
{
  quarantine = new_quarantine ();
  n_announced = rank = verdicts = 0;
  now_us = 1000 * (int64_t)SECOND;
  return 0;
}

static int
tear_down (void **state)
{
  quarantine_delete (quarantine);
  return 0;
}

static struct quarantine_parts
parts_of (uint64_t first, uint64_t second)
{
  return (struct quarantine_parts){ .ids = { first, second }, .n = second == 0 ? 1 : 2 };
}

static void
end_process (uint64_t backend, uint64_t team, uint64_t first, uint64_t second)
{
  const struct quarantine_parts parts = parts_of (first, second);
  const struct quarantine_request request
      = { .parts = &parts, .team = team, .progress = QUARANTINE_BEGUN };
  const struct quarantine_process_end end = {
    .backend = backend, .started_ms = 1, .at_us = now_us, .requests = &request, .n_requests = 1
  };

  quarantine_note_end (quarantine, &end, now_us);
}

static void
answer (uint64_t first, uint64_t second)
{
  const struct quarantine_parts parts = parts_of (first, second);

  quarantine_note_survival (quarantine, &parts, now_us, now_us);
}

/* The end of a server where a request with PART was still waiting. */
static void
end_process_before_answer (uint64_t backend, uint64_t part)
{
  const struct quarantine_parts parts = parts_of (part, 0);
  const struct quarantine_request request = { .parts = &parts, .team = 7 };
  const struct quarantine_process_end end = {
    .backend = backend, .started_ms = 1, .at_us = now_us, .requests = &request, .n_requests = 1
  };

  quarantine_note_end (quarantine, &end, now_us);
}

static enum quarantine_verdict
check (uint64_t team, uint64_t first, uint64_t second)
{
  const struct quarantine_parts parts = parts_of (first, second);
  struct quarantine_result result;

  return quarantine_check (quarantine, &parts, team, now_us, &result);
}

static void
two_ends_without_an_answer_block_a_part (void **state)
{
  end_process (1, 7, 0xbad, 0);
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_PASS);
  now_us += SECOND;
  end_process (2, 7, 0xbad, 0);
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_BLOCKED);
  assert_int_equal (check (7, 0x50d0, 0), QUARANTINE_PASS);
  assert_int_equal (quarantine_blocked_count (quarantine), 1);
  assert_int_equal (verdicts, 1);
}

static void
reports_of_one_end_count_once (void **state)
{
  end_process (1, 7, 0xbad, 0);
  now_us += SECOND;
  end_process (1, 7, 0xbad, 0);
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_PASS);
}

static void
servers_that_end_together_count_once (void **state)
{
  for (uint64_t backend = 1; backend <= 10; backend++)
    {
      end_process (backend, 7, 0x50d0, 0);
      now_us += 5 * MS;
    }
  assert_int_equal (check (7, 0x50d0, 0), QUARANTINE_PASS);
}

static void
an_answer_between_two_ends_clears_a_part (void **state)
{
  end_process (1, 7, 0x50d0, 0);
  now_us += SECOND;
  answer (0x50d0, 0);
  now_us += SECOND;
  end_process (2, 7, 0x50d0, 0);
  assert_int_equal (check (7, 0x50d0, 0), QUARANTINE_PASS);
}

static void
an_answer_that_began_before_an_end_does_not_clear_it (void **state)
{
  const struct quarantine_parts parts = parts_of (0xbad, 0);

  end_process (1, 7, 0xbad, 0);
  now_us += SECOND;
  quarantine_note_survival (quarantine, &parts, now_us - 2 * SECOND, now_us - 2 * SECOND);
  end_process (2, 7, 0xbad, 0);
  now_us += SECOND;
  end_process (3, 7, 0xbad, 0);
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_BLOCKED);
}

static void
a_part_that_was_answered_lately_needs_three_ends (void **state)
{
  answer (0xbad, 0);
  now_us += SECOND;
  end_process (1, 7, 0xbad, 0);
  now_us += SECOND;
  end_process (2, 7, 0xbad, 0);
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_PASS);
  now_us += SECOND;
  end_process (3, 7, 0xbad, 0);
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_BLOCKED);
}

static void
a_part_of_requests_that_waited_needs_four_ends (void **state)
{
  for (uint64_t backend = 1; backend <= 4; backend++)
    {
      assert_int_equal (check (7, 0xbad, 0), QUARANTINE_PASS);
      end_process_before_answer (backend, 0xbad);
      now_us += SECOND;
    }
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_BLOCKED);
}

static void
requests_that_waited_do_not_hide_one_whose_answer_had_begun (void **state)
{
  for (uint64_t backend = 1; backend <= 2; backend++)
    {
      end_process_before_answer (backend, 0xbad);
      end_process (backend, 7, 0xbad, 0);
      end_process_before_answer (backend, 0xbad);
      now_us += SECOND;
    }
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_BLOCKED);
}

static void
requests_of_one_team_block_nothing_for_others (void **state)
{
  end_process (1, 7, 0xbad, 0x50d0);
  now_us += SECOND;
  end_process (2, 7, 0xbad, 0x50d0);
  assert_int_equal (check (7, 0xbad, 0x50d0), QUARANTINE_BLOCKED);
  assert_int_equal (check (8, 0x50d0, 0), QUARANTINE_PASS);
  assert_int_equal (check (8, 0xbad, 0x50d0), QUARANTINE_PASS);
  now_us += SECOND;
  verdicts = 0;
  end_process (3, 8, 0xbad, 0);
  assert_int_equal (verdicts, 1);
  assert_int_equal (check (9, 0xbad, 0), QUARANTINE_BLOCKED);
  assert_int_equal (check (9, 0x50d0, 0), QUARANTINE_PASS);
}

static void
a_part_that_only_came_with_the_crashing_one_is_served_without_it (void **state)
{
  end_process (1, 7, 0xc0c0, 0xbad);
  now_us += SECOND;
  end_process (2, 7, 0xc0c0, 0xbad);
  assert_int_equal (check (7, 0xc0c0, 0xbad), QUARANTINE_BLOCKED);
  assert_int_equal (check (7, 0xc0c0, 0x1d1d), QUARANTINE_PASS);
  now_us += SECOND;
  answer (0xc0c0, 0x1d1d);
  assert_int_equal (check (7, 0xbad, 0x1d1d), QUARANTINE_BLOCKED);
}

static void
few_instances_may_try_a_blocked_part_and_each_once (void **state)
{
  end_process (1, 7, 0xbad, 0);
  now_us += SECOND;
  end_process (2, 7, 0xbad, 0);
  now_us += 29 * SECOND;
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_BLOCKED);
  now_us += 2 * SECOND;
  rank = 3;
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_BLOCKED);
  now_us += 2 * SECOND;
  rank = 0;
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_TRIAL);
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_BLOCKED);
  /* The trial ends a server: the next one is due after twice the time. */
  now_us += SECOND;
  end_process (3, 7, 0xbad, 0);
  now_us += 59 * SECOND;
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_BLOCKED);
  now_us += 2 * SECOND;
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_TRIAL);
  now_us += SECOND;
  answer (0xbad, 0);
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_PASS);
  assert_int_equal (quarantine_blocked_count (quarantine), 0);
}

static void
an_exempt_part_is_not_blocked (void **state)
{
  const uint64_t part = 0xbad;

  end_process (1, 7, 0xbad, 0);
  now_us += SECOND;
  end_process (2, 7, 0xbad, 0);
  quarantine_set_exempt (quarantine, &part, 1);
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_PASS);
  quarantine_set_exempt (quarantine, NULL, 0);
  assert_int_equal (check (7, 0xbad, 0), QUARANTINE_BLOCKED);
}

static void
a_request_cut_off_with_a_suspected_part_is_not_repeated (void **state)
{
  const struct quarantine_parts parts = parts_of (0xbad, 0);

  end_process (1, 7, 0xbad, 0);
  assert_false (quarantine_is_suspect (quarantine, &parts, 1, 1));
  assert_true (quarantine_is_suspect (quarantine, &parts, 2, 1));
}

/* The reports reach a second instance in any order and more than once. */
static void
merging_reports_gives_the_same_verdict_in_any_order (void **state)
{
  end_process (1, 7, 0xbad, 0xc0c0);
  now_us += SECOND;
  answer (0xc0c0, 0x1d1d);
  now_us += SECOND;
  end_process (2, 8, 0xbad, 0x1d1d);
  for (guint32 seed = 1; seed <= 200; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      struct quarantine *other = new_quarantine ();
      const struct quarantine_parts bad = parts_of (0xbad, 0);
      const struct quarantine_parts sound = parts_of (0xc0c0, 0x1d1d);
      struct quarantine_report reports[ANNOUNCED_MAX];
      unsigned n = n_announced;

      memcpy (reports, announced, sizeof reports);
      for (unsigned i = 0; i < 3 * n; i++)
        quarantine_merge (other, &reports[g_rand_int_range (random, 0, (gint32)n)], 1, now_us);
      for (unsigned i = 0; i < n; i++)
        quarantine_merge (other, &reports[i], 1, now_us);
      n_announced = n;
      assert_true (quarantine_blocks (other, &bad, 9));
      assert_false (quarantine_blocks (other, &sound, 9));
      quarantine_delete (other);
      g_rand_free (random);
    }
}

/* An instance that has just started learns what is blocked from one answer of a peer. */
static void
reports_to_a_new_instance_block_the_same_parts (void **state)
{
  struct quarantine_report reports[QUARANTINE_REPORTS_MAX];
  struct quarantine *other = new_quarantine ();
  const struct quarantine_parts bad = parts_of (0xbad, 0);
  unsigned n;

  end_process (1, 7, 0xbad, 0);
  now_us += SECOND;
  end_process (2, 8, 0xbad, 0);
  now_us += 3600 * (int64_t)SECOND;
  n = quarantine_reports (quarantine, false, reports, QUARANTINE_REPORTS_MAX, now_us);
  assert_int_equal (n, 2);
  quarantine_merge (other, reports, n, now_us);
  assert_true (quarantine_blocks (other, &bad, 9));
  quarantine_delete (other);
}

static void
a_flood_of_suspected_parts_removes_no_blocked_one (void **state)
{
  end_process (1, 7, 0xbad, 0);
  now_us += SECOND;
  end_process (2, 7, 0xbad, 0);
  for (uint64_t i = 0; i < 2000; i++)
    {
      now_us += SECOND;
      end_process (100 + i, 6, 0x100000 + 2 * i, 0x100001 + 2 * i);
    }
  assert_int_not_equal (check (7, 0xbad, 0), QUARANTINE_PASS);
}

static void
a_flood_of_new_parts_does_not_forget_an_often_answered_one (void **state)
{
  struct survivors *survivors = survivors_new ();

  for (uint64_t i = 0; i < 100000; i++)
    {
      survivors_add (survivors, 0x1000 + i, now_us);
      if (i % 1000 == 0)
        survivors_add (survivors, 0xaaaa, now_us);
    }
  assert_true (survivors_has (survivors, 0xaaaa, now_us));
  assert_false (survivors_has (survivors, 0x1000, now_us));
  assert_false (survivors_has (survivors, 0xaaaa, now_us + 60 * (int64_t)SECOND));
  survivors_delete (survivors);
}

#define CASE(function) cmocka_unit_test_setup_teardown (function, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CASE (two_ends_without_an_answer_block_a_part),
    CASE (reports_of_one_end_count_once),
    CASE (servers_that_end_together_count_once),
    CASE (an_answer_between_two_ends_clears_a_part),
    CASE (an_answer_that_began_before_an_end_does_not_clear_it),
    CASE (a_part_that_was_answered_lately_needs_three_ends),
    CASE (a_part_of_requests_that_waited_needs_four_ends),
    CASE (requests_that_waited_do_not_hide_one_whose_answer_had_begun),
    CASE (requests_of_one_team_block_nothing_for_others),
    CASE (a_part_that_only_came_with_the_crashing_one_is_served_without_it),
    CASE (few_instances_may_try_a_blocked_part_and_each_once),
    CASE (an_exempt_part_is_not_blocked),
    CASE (a_request_cut_off_with_a_suspected_part_is_not_repeated),
    CASE (merging_reports_gives_the_same_verdict_in_any_order),
    CASE (reports_to_a_new_instance_block_the_same_parts),
    CASE (a_flood_of_suspected_parts_removes_no_blocked_one),
    CASE (a_flood_of_new_parts_does_not_forget_an_often_answered_one),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
