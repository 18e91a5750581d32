/* Queues before the backend servers, with time passed in. */
#include "admit/admit.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

static const int64_t MS = 1000;
static const int64_t S = 1000000;

enum
{
  QUEUE_MAX = 100
};

static struct sr_admit *
new_admit (void)
{
  struct sr_admit_options options = { .queue_max = QUEUE_MAX, .seed = 7 };

  return sr_admit_new (&options);
}

static enum sr_admit_verdict
push (struct sr_admit *admit,
      const char *team,
      enum sr_priority priority,
      int64_t deadline_us,
      const char *owner)
{
  int64_t retry_after_ms = 0;
  struct sr_ticket ticket = {
    .service = "s",
    .team = team,
    .team_weight = 1,
    .priority = priority,
    .deadline_us = deadline_us,
    .cost_tokens = 100,
    .owner = (void *)owner,
  };

  return sr_admit_push (admit, &ticket, 0, &retry_after_ms);
}

/* Serves COUNT requests of TOOK_US, so that the rate is known, and leaves RUNNING in progress. */
static void
learn (struct sr_admit *admit, int count, int64_t took_us, int running)
{
  for (int i = 0; i < count + running; i++)
    {
      assert_int_equal (push (admit, "warm", SR_PRIORITY_NORMAL, 1000 * S, "warm"),
                        SR_ADMIT_QUEUED);
      assert_non_null (sr_admit_pop (admit, "s", 0));
      if (i < count)
        sr_admit_served (admit, "s", took_us);
    }
}

/* Pops COUNT times and counts the owners that begin with each letter. */
static void
pop_many (struct sr_admit *admit, int count, int letters[256])
{
  memset (letters, 0, 256 * sizeof *letters);
  for (int i = 0; i < count; i++)
    {
      const char *owner = sr_admit_pop (admit, "s", 0);

      letters[owner != NULL ? (unsigned char)owner[0] : 0]++;
    }
}

static void
the_earliest_deadline_of_a_team_goes_first (void **state)
{
  struct sr_admit *admit = new_admit ();

  push (admit, "t", SR_PRIORITY_NORMAL, 3 * S, "late");
  push (admit, "t", SR_PRIORITY_NORMAL, 1 * S, "early");
  push (admit, "t", SR_PRIORITY_NORMAL, 2 * S, "middle");
  assert_string_equal (sr_admit_pop (admit, "s", 0), "early");
  assert_string_equal (sr_admit_pop (admit, "s", 0), "middle");
  assert_string_equal (sr_admit_pop (admit, "s", 0), "late");
  assert_null (sr_admit_pop (admit, "s", 0));
  assert_null (sr_admit_pop (admit, "other", 0));
  sr_admit_delete (admit);
}

static void
interactive_goes_first_and_batch_goes_on (void **state)
{
  struct sr_admit *admit = new_admit ();
  int letters[256];

  for (int i = 0; i < 40; i++)
    push (admit, "t", SR_PRIORITY_BATCH, 100 * S, "batch");
  for (int i = 0; i < 40; i++)
    push (admit, "t", SR_PRIORITY_INTERACTIVE, 100 * S, "interactive");
  pop_many (admit, 34, letters);
  assert_in_range (letters['b'], 1, 3);
  assert_int_equal (letters['b'] + letters['i'], 34);
  sr_admit_delete (admit);
}

static void
teams_share_by_their_weight (void **state)
{
  struct sr_admit *admit = new_admit ();
  struct sr_ticket ticket = { .service = "s", .deadline_us = 100 * S, .cost_tokens = 100 };
  int64_t retry_after_ms;
  int letters[256];

  for (int i = 0; i < 40; i++)
    {
      ticket.team = "heavy";
      ticket.owner = "heavy";
      ticket.team_weight = 3;
      sr_admit_push (admit, &ticket, 0, &retry_after_ms);
      ticket.team = "light";
      ticket.owner = "light";
      ticket.team_weight = 1;
      sr_admit_push (admit, &ticket, 0, &retry_after_ms);
    }
  pop_many (admit, 40, letters);
  assert_in_range (letters['h'], 29, 31);
  assert_in_range (letters['l'], 9, 11);
  sr_admit_delete (admit);
}

static void
a_high_priority_gives_no_more_than_the_share (void **state)
{
  struct sr_admit *admit = new_admit ();
  int letters[256];

  for (int i = 0; i < 40; i++)
    {
      push (admit, "large", SR_PRIORITY_INTERACTIVE, 100 * S, "flood");
      push (admit, "small", SR_PRIORITY_BATCH, 100 * S, "summary");
    }
  pop_many (admit, 40, letters);
  assert_in_range (letters['s'], 16, 20);
  sr_admit_delete (admit);
}

static void
a_flooding_team_keeps_no_other_team_out (void **state)
{
  struct sr_admit *admit = new_admit ();
  int64_t retry_after_ms;
  int evicted = 0;
  int letters[256];

  for (int i = 0; i < 2 * QUEUE_MAX; i++)
    push (admit, "large", SR_PRIORITY_INTERACTIVE, 100 * S, "flood");
  assert_int_equal (push (admit, "large", SR_PRIORITY_INTERACTIVE, 100 * S, "flood"),
                    SR_ADMIT_QUEUE_FULL);
  for (int i = 0; i < 10; i++)
    assert_int_equal (push (admit, "small", SR_PRIORITY_INTERACTIVE, 100 * S, "clerk"),
                      SR_ADMIT_QUEUED);
  pop_many (admit, 20, letters);
  assert_in_range (letters['c'], 9, 10);
  while (sr_admit_expire (admit, 0, &retry_after_ms) != NULL)
    evicted++;
  assert_int_equal (evicted, 10);
  assert_true (retry_after_ms > 0);
  sr_admit_delete (admit);
}

static void
what_cannot_be_in_time_is_refused_at_once (void **state)
{
  struct sr_admit *admit = new_admit ();
  int64_t retry_after_ms = 0;
  struct sr_ticket ticket = { .service = "s", .team = "t", .cost_tokens = 100, .owner = "x" };

  learn (admit, 20, 1 * S, 2);
  for (int i = 0; i < 20; i++)
    assert_int_equal (push (admit, "t", SR_PRIORITY_NORMAL, 20 * S, "x"), SR_ADMIT_QUEUED);
  ticket.deadline_us = 30 * S;
  ticket.priority = SR_PRIORITY_NORMAL;
  assert_int_equal (sr_admit_push (admit, &ticket, 0, &retry_after_ms), SR_ADMIT_QUEUED);
  for (int i = 0; i < 20; i++)
    push (admit, "t", SR_PRIORITY_NORMAL, 30 * S, "x");
  assert_int_equal (sr_admit_push (admit, &ticket, 0, &retry_after_ms), SR_ADMIT_QUEUED);
  ticket.deadline_us = 20 * S + 500 * MS;
  assert_int_equal (sr_admit_push (admit, &ticket, 0, &retry_after_ms), SR_ADMIT_QUEUED);
  ticket.deadline_us = 10 * S;
  assert_int_equal (sr_admit_push (admit, &ticket, 0, &retry_after_ms), SR_ADMIT_QUEUED);
  for (int i = 0; i < 20; i++)
    push (admit, "t", SR_PRIORITY_NORMAL, 10 * S, "x");
  ticket.deadline_us = 10 * S + 100 * MS;
  assert_int_equal (sr_admit_push (admit, &ticket, 0, &retry_after_ms), SR_ADMIT_DEADLINE);
  assert_in_range (retry_after_ms, 5000, 60000);
  ticket.team = "other";
  assert_int_equal (sr_admit_push (admit, &ticket, 0, &retry_after_ms), SR_ADMIT_QUEUED);
  sr_admit_delete (admit);
}

static void
an_idle_service_refuses_nothing (void **state)
{
  struct sr_admit *admit = new_admit ();

  learn (admit, 20, 10 * S, 0);
  assert_int_equal (push (admit, "t", SR_PRIORITY_NORMAL, 100 * MS, "x"), SR_ADMIT_QUEUED);
  assert_string_equal (sr_admit_pop (admit, "s", 50 * MS), "x");
  assert_int_equal (push (admit, "t", SR_PRIORITY_NORMAL, 0, "x"), SR_ADMIT_DEADLINE);
  sr_admit_delete (admit);
}

static void
late_tickets_expire_and_are_not_served (void **state)
{
  struct sr_admit *admit = new_admit ();
  int64_t retry_after_ms = 0;

  push (admit, "t", SR_PRIORITY_NORMAL, 1 * S, "first");
  push (admit, "t", SR_PRIORITY_NORMAL, 2 * S, "second");
  push (admit, "t", SR_PRIORITY_NORMAL, 9 * S, "third");
  assert_null (sr_admit_expire (admit, 999 * MS, &retry_after_ms));
  assert_string_equal (sr_admit_expire (admit, 1 * S, &retry_after_ms), "first");
  assert_true (retry_after_ms > 0);
  assert_string_equal (sr_admit_pop (admit, "s", 3 * S), "third");
  assert_string_equal (sr_admit_expire (admit, 3 * S, &retry_after_ms), "second");
  assert_null (sr_admit_expire (admit, 3 * S, &retry_after_ms));
  sr_admit_delete (admit);
}

static void
retries_are_a_share_of_the_traffic (void **state)
{
  struct sr_admit *admit = new_admit ();
  int allowed = 0;

  while (sr_admit_may_retry (admit, "s"))
    allowed++;
  assert_int_equal (allowed, 64);
  learn (admit, 100, 10 * MS, 0);
  for (allowed = 0; sr_admit_may_retry (admit, "s");)
    allowed++;
  assert_in_range (allowed, 9, 10);
  sr_admit_delete (admit);
}

static void
retry_after_follows_the_queue_and_is_spread (void **state)
{
  struct sr_admit *admit = new_admit ();
  int64_t shortest = G_MAXINT64;
  int64_t longest = 0;

  learn (admit, 20, 1 * S, 4);
  for (int i = 0; i < 80; i++)
    push (admit, "t", SR_PRIORITY_NORMAL, 25 * S, "x");
  for (int i = 0; i < 50; i++)
    {
      int64_t retry_after_ms = 0;
      struct sr_ticket ticket
          = { .service = "s", .team = "t", .deadline_us = 0, .cost_tokens = 100, .owner = "x" };

      assert_int_equal (sr_admit_push (admit, &ticket, 0, &retry_after_ms), SR_ADMIT_DEADLINE);
      shortest = MIN (shortest, retry_after_ms);
      longest = MAX (longest, retry_after_ms);
    }
  assert_in_range (shortest, 9000, 13000);
  assert_in_range (longest, 26000, 31000);
  sr_admit_delete (admit);
}

/* A service of SLOTS places that takes 100 ms a request, fed at RATE times what it can serve for
 * SECONDS. */
struct load
{
  struct sr_admit *admit;
  int64_t now_us;
  int64_t busy_until_us[4];
  int64_t deadline_of[4];
  int in_time;
  int too_late;
  int refused;
  int clerk_sent;
  int clerk_in_time;
  bool clerk_at[4];
};

/* The deadline of a request, handed through the queue. */
struct request
{
  int64_t deadline_us;
  bool is_clerk;
};

static void
send (struct load *load, const char *team, enum sr_priority priority, int64_t patience_us)
{
  struct request *request = g_new (struct request, 1);
  int64_t retry_after_ms;
  struct sr_ticket ticket = {
    .service = "s",
    .team = team,
    .team_weight = 1,
    .priority = priority,
    .deadline_us = load->now_us + patience_us,
    .cost_tokens = 100,
    .owner = request,
  };

  request->deadline_us = ticket.deadline_us;
  request->is_clerk = strcmp (team, "clerk") == 0;
  load->clerk_sent += request->is_clerk ? 1 : 0;
  if (sr_admit_push (load->admit, &ticket, load->now_us, &retry_after_ms) == SR_ADMIT_QUEUED)
    return;
  load->refused++;
  g_free (request);
}

static void
serve (struct load *load)
{
  struct request *request;
  int64_t retry_after_ms;

  for (int i = 0; i < 4; i++)
    {
      if (load->busy_until_us[i] > load->now_us)
        continue;
      if (load->busy_until_us[i] > 0)
        {
          bool in_time = load->busy_until_us[i] <= load->deadline_of[i];

          sr_admit_served (load->admit, "s", 100 * MS);
          load->in_time += in_time ? 1 : 0;
          load->too_late += in_time ? 0 : 1;
          load->clerk_in_time += in_time && load->clerk_at[i] ? 1 : 0;
          load->busy_until_us[i] = 0;
        }
      request = sr_admit_pop (load->admit, "s", load->now_us);
      if (request == NULL)
        continue;
      load->busy_until_us[i] = load->now_us + 100 * MS;
      load->deadline_of[i] = request->deadline_us;
      load->clerk_at[i] = request->is_clerk;
      g_free (request);
    }
  while ((request = sr_admit_expire (load->admit, load->now_us, &retry_after_ms)) != NULL)
    {
      load->refused++;
      g_free (request);
    }
}

/* Steps of 5 ms; the service ends one request in 25 ms on average. */
static void
run_load (struct load *load, double rate, int seconds)
{
  double due = 0;

  load->in_time = load->too_late = load->refused = load->clerk_sent = load->clerk_in_time = 0;
  for (int i = 0; i < seconds * 200; i++)
    {
      load->now_us += 5 * MS;
      due += rate / 5;
      while (due >= 1)
        {
          due -= 1;
          send (load, "large", SR_PRIORITY_BATCH, 1 * S);
        }
      if (i % 20 == 0)
        send (load, "clerk", SR_PRIORITY_INTERACTIVE, 300 * MS);
      serve (load);
    }
}

static void
goodput_holds_under_overload_and_recovers (void **state)
{
  struct load load = { .admit = new_admit (), .now_us = S };
  int steady;

  run_load (&load, 0.6, 20);
  assert_int_equal (load.refused, 0);
  run_load (&load, 1.0, 20);
  steady = load.in_time;
  run_load (&load, 5.0, 20);
  assert_true (load.in_time * 100 > steady * 95);
  assert_true (load.too_late * 20 < load.in_time);
  assert_true (load.clerk_in_time * 100 >= load.clerk_sent * 98);
  run_load (&load, 0.6, 2);
  run_load (&load, 0.6, 20);
  assert_int_equal (load.refused, 0);
  assert_int_equal (load.too_late, 0);
  run_load (&load, 0, 3);
  sr_admit_delete (load.admit);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_earliest_deadline_of_a_team_goes_first),
    cmocka_unit_test (interactive_goes_first_and_batch_goes_on),
    cmocka_unit_test (teams_share_by_their_weight),
    cmocka_unit_test (a_high_priority_gives_no_more_than_the_share),
    cmocka_unit_test (a_flooding_team_keeps_no_other_team_out),
    cmocka_unit_test (what_cannot_be_in_time_is_refused_at_once),
    cmocka_unit_test (an_idle_service_refuses_nothing),
    cmocka_unit_test (late_tickets_expire_and_are_not_served),
    cmocka_unit_test (retries_are_a_share_of_the_traffic),
    cmocka_unit_test (retry_after_follows_the_queue_and_is_spread),
    cmocka_unit_test (goodput_holds_under_overload_and_recovers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
