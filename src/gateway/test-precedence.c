/* Plays loads to instances that decide alone, in front of servers that they share, and checks what
 * callers get. The servers serve the most urgent request first. */
#include "gateway/precedence.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  MS = 1000,
  CLASSES = 3,
  TEAMS = 6,
  INSTANCES_MAX = 60,
  SLOTS = 40,    /* of all servers together */
  WORK_MS = 400, /* mean time that a request has a slot */
  DEADLINE_MS = 8000,
  ATTEMPTS_MAX = 3, /* of a caller that is refused */
  WARM_UP_MS = 20000,
  PHASE_MS = 40000, /* the load that is judged */
  CALM_MS = 30000,  /* usual load afterwards */
  END_MS = WARM_UP_MS + PHASE_MS + CALM_MS,
  LATE_CALM_MS = 15000,
  SETTLE_MS = 5000, /* after the begin and the end of an overload */
  FLOOD_TEAM = 0,
  SEED = 5
};

static const unsigned objectives_ms_[CLASSES] = { 400, 500, 1500 };
static const double class_mix_[CLASSES] = { 0.4, 0.25, 0.35 };
static const double class_values_[CLASSES] = { 2.6, 0.44, 2.2 };

struct load_
{
  unsigned instances;
  double usual;      /* load before and after, relative to the capacity */
  double load;       /* in the phase that is judged */
  double flood;      /* factor of the requests of FLOOD_TEAM in that phase; 1: none */
  int flood_class;   /* the flood is of this class; -1: of all */
  double slow_share; /* of responses that are late through a fault of a server, without a queue */
  int64_t outage_ms; /* at the end of that phase, in which the servers do no work */
  bool is_undecided; /* nothing is refused, for comparison */
};

struct caller_
{
  unsigned class;
  unsigned team;
  unsigned instance;
  unsigned attempts;
  bool is_noted;    /* as late */
  int64_t first_ms; /* first attempt */
  int64_t sent_ms;
  int64_t due_ms; /* next attempt, or end of its work */
};

struct outcome_
{
  unsigned callers;
  unsigned on_time;
  unsigned refused; /* for good */
};

struct simulation_
{
  const struct load_ *load;
  GRand *random;
  struct gw_precedence *instances[INSTANCES_MAX];
  GQueue waiting[CLASSES]; /* struct caller_ */
  GQueue running;
  GQueue refused; /* callers that will come back */
  int64_t now_ms;
  /* Results of callers that arrived in the phase, after SETTLE_MS. */
  struct outcome_ classes[CLASSES];
  struct outcome_ teams[TEAMS];
  struct outcome_ usual[CLASSES]; /* of the teams other than FLOOD_TEAM */
  struct outcome_ late_calm;      /* of those that arrived LATE_CALM_MS after it */
  struct outcome_ calm;           /* of callers that arrived SETTLE_MS after the phase */
  double value;
};

static int64_t
now_us_ (const struct simulation_ *simulation)
{
  return 1000LL * MS * 1000 + simulation->now_ms * MS;
}

static void
count_ (struct simulation_ *simulation, struct caller_ *caller, bool on_time, bool refused)
{
  struct outcome_ *outcomes[3] = { NULL };

  if (caller->first_ms >= WARM_UP_MS + SETTLE_MS && caller->first_ms < WARM_UP_MS + PHASE_MS)
    {
      outcomes[0] = &simulation->classes[caller->class];
      outcomes[1] = &simulation->teams[caller->team];
      if (caller->team != FLOOD_TEAM)
        outcomes[2] = &simulation->usual[caller->class];
      simulation->value += on_time ? class_values_[caller->class] : 0;
    }
  else if (caller->first_ms >= WARM_UP_MS + PHASE_MS + SETTLE_MS)
    {
      outcomes[0] = &simulation->calm;
      if (caller->first_ms >= WARM_UP_MS + PHASE_MS + LATE_CALM_MS)
        outcomes[1] = &simulation->late_calm;
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (outcomes); i++)
    if (outcomes[i] != NULL)
      {
        outcomes[i]->callers++;
        outcomes[i]->on_time += on_time;
        outcomes[i]->refused += refused;
      }
  g_free (caller);
}

static void
note_ (struct simulation_ *simulation,
       const struct caller_ *caller,
       double objective_part,
       bool has_queue)
{
  const struct gw_precedence_result result
      = { .rank = caller->class,
          .admitted_us = now_us_ (simulation) - (simulation->now_ms - caller->sent_ms) * MS,
          .objective_part = objective_part,
          .server_has_queue = has_queue };

  gw_precedence_note_result (simulation->instances[caller->instance], &result,
                             now_us_ (simulation));
}

static void
try_ (struct simulation_ *simulation, struct caller_ *caller)
{
  struct gw_precedence *precedence;
  struct gw_precedence_request request
      = { .rank = caller->class, .team_hash = 1 + caller->team, .cost = 1 };
  int64_t retry_ms;

  caller->instance
      = (unsigned)g_rand_int_range (simulation->random, 0, (gint32)simulation->load->instances);
  caller->attempts++;
  caller->sent_ms = simulation->now_ms;
  caller->is_noted = false;
  precedence = simulation->instances[caller->instance];
  if (simulation->load->is_undecided
      || gw_precedence_admits (precedence, &request, simulation->random, now_us_ (simulation)))
    {
      g_queue_push_tail (&simulation->waiting[caller->class], caller);
      return;
    }
  retry_ms = gw_precedence_retry_ms (precedence);
  retry_ms = (int64_t)((double)retry_ms * (1 + g_rand_double (simulation->random)));
  caller->due_ms = simulation->now_ms + retry_ms;
  if (caller->attempts == ATTEMPTS_MAX || caller->due_ms > caller->first_ms + DEADLINE_MS)
    count_ (simulation, caller, false, true);
  else
    g_queue_push_tail (&simulation->refused, caller);
}

/* A caller of TEAM and CLASS arrives in this millisecond with the probability PER_MS. */
static void
arrive_ (struct simulation_ *simulation, unsigned team, unsigned class, double per_ms)
{
  for (unsigned i = 0; i < (unsigned)ceil (per_ms); i++)
    if (g_rand_double (simulation->random) < per_ms - i)
      {
        struct caller_ *caller = g_new0 (struct caller_, 1);

        caller->team = team;
        caller->class = class;
        caller->first_ms = simulation->now_ms;
        try_ (simulation, caller);
      }
}

static unsigned
waiting_ (const struct simulation_ *simulation)
{
  unsigned sum = 0;

  for (unsigned class = 0; class < CLASSES; class ++)
    sum += g_queue_get_length ((GQueue *)&simulation->waiting[class]);
  return sum;
}

static void
begin_work_ (struct simulation_ *simulation, struct caller_ *caller)
{
  bool is_slow = g_rand_double (simulation->random) < simulation->load->slow_share;
  int64_t took_ms = simulation->now_ms - caller->sent_ms + 60 + (is_slow ? 2000 : 0);

  if (!caller->is_noted)
    note_ (simulation, caller, (double)took_ms / objectives_ms_[caller->class],
           waiting_ (simulation) > 0);
  gw_precedence_note_served (simulation->instances[caller->instance], 1, now_us_ (simulation));
  caller->due_ms
      = simulation->now_ms + g_rand_int_range (simulation->random, WORK_MS / 2, WORK_MS * 3 / 2);
  caller->attempts = took_ms <= objectives_ms_[caller->class]; /* on time */
  g_queue_push_tail (&simulation->running, caller);
}

static void
step_ (struct simulation_ *simulation)
{
  bool is_out = simulation->now_ms >= WARM_UP_MS + PHASE_MS - simulation->load->outage_ms
                && simulation->now_ms < WARM_UP_MS + PHASE_MS;

  for (GList *each = simulation->running.head; each != NULL;)
    {
      GList *following = each->next;
      struct caller_ *caller = each->data;

      if (caller->due_ms <= simulation->now_ms)
        {
          g_queue_delete_link (&simulation->running, each);
          count_ (simulation, caller, caller->attempts != 0, false);
        }
      each = following;
    }
  for (unsigned class = 0; class < CLASSES; class ++)
    {
      GQueue *queue = &simulation->waiting[class];

      while (!g_queue_is_empty (queue)
             && simulation->now_ms - ((struct caller_ *)queue->head->data)->sent_ms > DEADLINE_MS)
        {
          struct caller_ *caller = g_queue_pop_head (queue);

          count_ (simulation, caller, false, false);
        }
      for (GList *each = queue->head; each != NULL; each = each->next)
        {
          struct caller_ *caller = each->data;

          if (!caller->is_noted
              && simulation->now_ms - caller->sent_ms
                     > (int64_t)objectives_ms_[caller->class] * 3 / 4)
            {
              caller->is_noted = true;
              note_ (simulation, caller, 1, true);
            }
        }
      while (!is_out && !g_queue_is_empty (queue)
             && g_queue_get_length (&simulation->running) < SLOTS)
        begin_work_ (simulation, g_queue_pop_head (queue));
    }
  for (GList *each = simulation->refused.head; each != NULL;)
    {
      GList *following = each->next;
      struct caller_ *caller = each->data;

      if (caller->due_ms <= simulation->now_ms)
        {
          g_queue_delete_link (&simulation->refused, each);
          try_ (simulation, caller);
        }
      each = following;
    }
}

static double
percent_ (const struct outcome_ *outcome)
{
  return outcome->callers == 0 ? 100 : 100.0 * outcome->on_time / outcome->callers;
}

/* Plays LOAD. The caller has the results in SIMULATION. */
static void
play_ (struct simulation_ *simulation, const struct load_ *load)
{
  *simulation = (struct simulation_){ .load = load, .random = g_rand_new_with_seed (SEED) };
  for (unsigned i = 0; i < load->instances; i++)
    simulation->instances[i] = gw_precedence_new (now_us_ (simulation));
  for (; simulation->now_ms < END_MS + DEADLINE_MS + 3 * WORK_MS; simulation->now_ms++)
    {
      bool in_phase
          = simulation->now_ms >= WARM_UP_MS && simulation->now_ms < WARM_UP_MS + PHASE_MS;
      double per_ms = (in_phase ? load->load : load->usual) * SLOTS / WORK_MS / TEAMS;

      for (unsigned team = 0; simulation->now_ms < END_MS && team < TEAMS; team++)
        for (unsigned class = 0; class < CLASSES; class ++)
          {
            bool floods = in_phase && team == FLOOD_TEAM
                          && (load->flood_class < 0 || load->flood_class == (int)class);

            arrive_ (simulation, team, class,
                     per_ms * class_mix_[class] * (floods ? load->flood : 1));
          }
      step_ (simulation);
    }
  print_message ("%u instances, load %.1f, flood %.0f of class %d%s: on time %.0f%% %.0f%% %.0f%% "
                 "(without the flooding team %.0f%% %.0f%% %.0f%%), afterwards %.0f%%, %u refused; "
                 "value %.0f\n",
                 load->instances, load->load, load->flood, load->flood_class,
                 load->is_undecided ? ", undecided" : "", percent_ (&simulation->classes[0]),
                 percent_ (&simulation->classes[1]), percent_ (&simulation->classes[2]),
                 percent_ (&simulation->usual[0]), percent_ (&simulation->usual[1]),
                 percent_ (&simulation->usual[2]), percent_ (&simulation->calm),
                 simulation->calm.refused, simulation->value);
  for (unsigned i = 0; i < load->instances; i++)
    gw_precedence_delete (simulation->instances[i]);
  g_rand_free (simulation->random);
}

static const unsigned fleets_[] = { 1, 8, INSTANCES_MAX };

/* Returns the share of callers that were served or are at least not refused for good. */
static double
admitted_percent_ (const struct outcome_ *outcome)
{
  return 100 - 100.0 * outcome->refused / MAX (outcome->callers, 1U);
}

/* A class is served no less often than a less urgent one, within the chance of the draws. */
static void
assert_served_by_rank_ (const struct outcome_ *classes)
{
  const double tolerance = 2;

  for (unsigned class = 1; class < CLASSES; class ++)
    {
      assert_true (percent_ (&classes[class - 1]) >= percent_ (&classes[class]) - tolerance);
      assert_true (admitted_percent_ (&classes[class - 1])
                   >= admitted_percent_ (&classes[class]) - tolerance);
    }
}

/* Few are refused, and hardly anybody is late, soon after the load is back to the usual one. */
static void
assert_calm_ (const struct simulation_ *simulation)
{
  assert_true (percent_ (&simulation->calm) >= 95);
  assert_true (admitted_percent_ (&simulation->calm) >= 95);
}

/* Guards against refusals while all can be served. */
static void
enough_capacity_refuses_nobody (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fleets_); i++)
    {
      const struct load_ load
          = { .instances = fleets_[i], .usual = 0.7, .load = 0.8, .flood = 1, .flood_class = -1 };
      struct simulation_ simulation;

      play_ (&simulation, &load);
      for (unsigned class = 0; class < CLASSES; class ++)
        assert_int_equal (simulation.classes[class].refused, 0);
    }
}

/* Guards against callers refused for a faulty server, while others have no queue. */
static void
a_faulty_server_without_a_queue_refuses_nobody (void **state)
{
  const struct load_ load = {
    .instances = 8, .usual = 0.5, .load = 0.5, .flood = 1, .flood_class = -1, .slow_share = 0.3
  };
  struct simulation_ simulation;

  play_ (&simulation, &load);
  for (unsigned class = 0; class < CLASSES; class ++)
    assert_int_equal (simulation.classes[class].refused, 0);
}

/* Guards against an overload in which every class is late, a less urgent class is served more often
 * than a more urgent one, or less is gained than without any refusal. */
static void
an_overload_is_served_by_rank (void **state)
{
  static const double loads[] = { 1.2, 1.6, 2.4 };

  for (size_t i = 0; i < G_N_ELEMENTS (fleets_); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (loads); k++)
      {
        struct load_ load = {
          .instances = fleets_[i], .usual = 0.7, .load = loads[k], .flood = 1, .flood_class = -1
        };
        struct simulation_ simulation;
        struct simulation_ undecided;

        play_ (&simulation, &load);
        load.is_undecided = true;
        play_ (&undecided, &load);
        assert_served_by_rank_ (simulation.classes);
        assert_true (percent_ (&simulation.classes[0]) >= 85);
        assert_true (simulation.value > undecided.value);
        assert_calm_ (&simulation);
      }
}

/* Guards against a team that takes the capacity of the others by sending twenty times its usual
 * volume, whatever its class. */
static void
a_flooding_team_takes_nothing_from_others (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fleets_); i++)
    for (int class = -1; class < CLASSES; class ++)
      {
        struct load_ load = { .instances = fleets_[i],
                              .usual = 0.7,
                              .load = 0.7,
                              .flood = 20,
                              .flood_class = class };
        struct simulation_ simulation;
        struct simulation_ undecided;

        play_ (&simulation, &load);
        load.is_undecided = true;
        play_ (&undecided, &load);
        assert_served_by_rank_ (simulation.usual);
        assert_true (percent_ (&simulation.usual[0]) >= 95);
        assert_true (percent_ (&simulation.usual[1]) >= 55);
        for (unsigned each = 0; each < CLASSES; each++)
          assert_true (percent_ (&simulation.usual[each]) >= percent_ (&undecided.usual[each]) - 5);
        assert_calm_ (&simulation);
      }
}

/* Guards against requests that are refused for good after an outage, as nothing is learned about
 * servers that get none. */
static void
servers_are_used_again_after_an_outage (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fleets_); i++)
    {
      const struct load_ load = { .instances = fleets_[i],
                                  .usual = 0.7,
                                  .load = 0.7,
                                  .flood = 1,
                                  .flood_class = -1,
                                  .outage_ms = 15000 };
      struct simulation_ simulation;

      play_ (&simulation, &load);
      assert_true (percent_ (&simulation.calm) >= 75);
      assert_true (percent_ (&simulation.late_calm) >= 98);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (enough_capacity_refuses_nobody),
    cmocka_unit_test (a_faulty_server_without_a_queue_refuses_nobody),
    cmocka_unit_test (an_overload_is_served_by_rank),
    cmocka_unit_test (a_flooding_team_takes_nothing_from_others),
    cmocka_unit_test (servers_are_used_again_after_an_outage),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
