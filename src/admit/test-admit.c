/* Admission control on a simulated clock. */
#include "admit/admit.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

/* In microseconds. */
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

/* Serves COUNT requests of SERVICE_TIME_US each, so that the service rate is known, and leaves
 * RUNNING more in progress. */
static void
serve_to_learn_rate (struct sr_admit *admit, int count, int64_t service_time_us, int running)
{
  for (int i = 0; i < count + running; i++)
    {
      assert_int_equal (push (admit, "warm", SR_PRIORITY_NORMAL, 1000 * S, "warm"),
                        SR_ADMIT_QUEUED);
      assert_non_null (sr_admit_pop (admit, "s", 0));
      if (i < count)
        sr_admit_report_end (admit, "s", service_time_us);
    }
}

/* Pops COUNT times and counts the owners by their first letter. */
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
the_earliest_deadline_of_a_team_is_served_first (void **state)
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
interactive_load_does_not_starve_batch (void **state)
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
teams_are_served_in_proportion_to_their_weight (void **state)
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
a_high_priority_does_not_exceed_the_fair_share (void **state)
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
a_team_that_fills_the_queue_does_not_lock_out_others (void **state)
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
a_request_that_would_miss_its_deadline_is_refused_at_once (void **state)
{
  struct sr_admit *admit = new_admit ();
  int64_t retry_after_ms = 0;
  struct sr_ticket ticket = { .service = "s", .team = "t", .cost_tokens = 100, .owner = "x" };

  serve_to_learn_rate (admit, 20, 1 * S, 2);
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
an_idle_service_accepts_short_deadlines (void **state)
{
  struct sr_admit *admit = new_admit ();

  serve_to_learn_rate (admit, 20, 10 * S, 0);
  assert_int_equal (push (admit, "t", SR_PRIORITY_NORMAL, 100 * MS, "x"), SR_ADMIT_QUEUED);
  assert_string_equal (sr_admit_pop (admit, "s", 50 * MS), "x");
  assert_int_equal (push (admit, "t", SR_PRIORITY_NORMAL, 0, "x"), SR_ADMIT_DEADLINE);
  sr_admit_delete (admit);
}

static void
overdue_tickets_expire_and_are_not_served (void **state)
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
retries_are_limited_to_a_share_of_the_traffic (void **state)
{
  struct sr_admit *admit = new_admit ();
  int allowed = 0;

  while (sr_admit_may_retry (admit, "s"))
    allowed++;
  assert_int_equal (allowed, 64);
  serve_to_learn_rate (admit, 100, 10 * MS, 0);
  for (allowed = 0; sr_admit_may_retry (admit, "s");)
    allowed++;
  assert_in_range (allowed, 9, 10);
  sr_admit_delete (admit);
}

static void
retry_after_follows_the_queue_length_with_jitter (void **state)
{
  struct sr_admit *admit = new_admit ();
  int64_t shortest = G_MAXINT64;
  int64_t longest = 0;

  serve_to_learn_rate (admit, 20, 1 * S, 4);
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

/* A simulated service with 4 slots that takes 100 ms per request. */
struct simulation
{
  struct sr_admit *admit;
  int64_t now_us;
  int64_t slot_busy_until_us[4];
  int64_t slot_deadline_us[4];
  int met_deadline;
  int missed_deadline;
  int refused;
  int clerk_sent;
  int clerk_in_time;
  bool slot_has_clerk[4];
};

/* The owner of a queued ticket. */
struct request
{
  int64_t deadline_us;
  bool is_clerk;
};

static void
submit (struct simulation *simulation,
        const char *team,
        enum sr_priority priority,
        int64_t timeout_us)
{
  struct request *request = g_new (struct request, 1);
  int64_t retry_after_ms;
  struct sr_ticket ticket = {
    .service = "s",
    .team = team,
    .team_weight = 1,
    .priority = priority,
    .deadline_us = simulation->now_us + timeout_us,
    .cost_tokens = 100,
    .owner = request,
  };

  request->deadline_us = ticket.deadline_us;
  request->is_clerk = strcmp (team, "clerk") == 0;
  simulation->clerk_sent += request->is_clerk ? 1 : 0;
  if (sr_admit_push (simulation->admit, &ticket, simulation->now_us, &retry_after_ms)
      == SR_ADMIT_QUEUED)
    return;
  simulation->refused++;
  g_free (request);
}

static void
serve_slots (struct simulation *simulation)
{
  struct request *request;
  int64_t retry_after_ms;

  for (int i = 0; i < 4; i++)
    {
      if (simulation->slot_busy_until_us[i] > simulation->now_us)
        continue;
      if (simulation->slot_busy_until_us[i] > 0)
        {
          bool met_deadline = simulation->slot_busy_until_us[i] <= simulation->slot_deadline_us[i];

          sr_admit_report_end (simulation->admit, "s", 100 * MS);
          simulation->met_deadline += met_deadline ? 1 : 0;
          simulation->missed_deadline += met_deadline ? 0 : 1;
          simulation->clerk_in_time += met_deadline && simulation->slot_has_clerk[i] ? 1 : 0;
          simulation->slot_busy_until_us[i] = 0;
        }
      request = sr_admit_pop (simulation->admit, "s", simulation->now_us);
      if (request == NULL)
        continue;
      simulation->slot_busy_until_us[i] = simulation->now_us + 100 * MS;
      simulation->slot_deadline_us[i] = request->deadline_us;
      simulation->slot_has_clerk[i] = request->is_clerk;
      g_free (request);
    }
  while ((request = sr_admit_expire (simulation->admit, simulation->now_us, &retry_after_ms))
         != NULL)
    {
      simulation->refused++;
      g_free (request);
    }
}

/* Offers RATE times the capacity of the service (one request per 25 ms) for SECONDS, in steps of 5
 * ms. In addition, an interactive team sends one request per 100 ms. */
static void
run_simulation (struct simulation *simulation, double rate, int seconds)
{
  double due = 0;

  simulation->met_deadline = simulation->missed_deadline = simulation->refused
      = simulation->clerk_sent = simulation->clerk_in_time = 0;
  for (int i = 0; i < seconds * 200; i++)
    {
      simulation->now_us += 5 * MS;
      due += rate / 5;
      while (due >= 1)
        {
          due -= 1;
          submit (simulation, "large", SR_PRIORITY_BATCH, 1 * S);
        }
      if (i % 20 == 0)
        submit (simulation, "clerk", SR_PRIORITY_INTERACTIVE, 300 * MS);
      serve_slots (simulation);
    }
}

static void
goodput_holds_under_overload_and_recovers (void **state)
{
  struct simulation simulation = { .admit = new_admit (), .now_us = S };
  int steady;

  run_simulation (&simulation, 0.6, 20);
  assert_int_equal (simulation.refused, 0);
  run_simulation (&simulation, 1.0, 20);
  steady = simulation.met_deadline;
  run_simulation (&simulation, 5.0, 20);
  assert_true (simulation.met_deadline * 100 > steady * 95);
  assert_true (simulation.missed_deadline * 20 < simulation.met_deadline);
  assert_true (simulation.clerk_in_time * 100 >= simulation.clerk_sent * 98);
  run_simulation (&simulation, 0.6, 2);
  run_simulation (&simulation, 0.6, 20);
  assert_int_equal (simulation.refused, 0);
  assert_int_equal (simulation.missed_deadline, 0);
  run_simulation (&simulation, 0, 3);
  sr_admit_delete (simulation.admit);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_earliest_deadline_of_a_team_is_served_first),
    cmocka_unit_test (interactive_load_does_not_starve_batch),
    cmocka_unit_test (teams_are_served_in_proportion_to_their_weight),
    cmocka_unit_test (a_high_priority_does_not_exceed_the_fair_share),
    cmocka_unit_test (a_team_that_fills_the_queue_does_not_lock_out_others),
    cmocka_unit_test (a_request_that_would_miss_its_deadline_is_refused_at_once),
    cmocka_unit_test (an_idle_service_accepts_short_deadlines),
    cmocka_unit_test (overdue_tickets_expire_and_are_not_served),
    cmocka_unit_test (retries_are_limited_to_a_share_of_the_traffic),
    cmocka_unit_test (retry_after_follows_the_queue_length_with_jitter),
    cmocka_unit_test (goodput_holds_under_overload_and_recovers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
