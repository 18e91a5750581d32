/* Tests of the limit for cold backend servers. The model draws schedules of a fleet whose instances
 * join, end, restart, lose the store and miss changes of the list, with callers that use every
 * chance to send. It counts the arrivals at each cold server in all seconds. */
#include "gateway/cold-start.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

enum
{
  MS = 1000,
  SECOND = 1000 * MS,
  STEP_US = 100 * MS,
  START_US = 1000 * SECOND,
  SERVERS = 4,
  INSTANCES_MAX = 620,
  SLACK = 5,
  DELAY_MAX_US = 200 * MS,        /* between sending and arrival */
  SYNC_MAX_US = 19 * SECOND,      /* age of a list at the end of the longest watch */
  PARTITION_MAX_US = 60 * SECOND, /* in which an instance does not reach the store */
  LIST_MAX_US = 120 * SECOND,     /* until a list shows a change that the watch has missed */
  MISSED_PERCENT = 2,             /* of the changes, by each instance */
  SCHEDULE_US = 200 * SECOND,
  STEADY_US = 60 * SECOND,
  SCHEDULES = 3
};

static const double OVERAGE = 1.5;
static const double COLD_PER_S = 11;
/* Arrivals in any second, of all instances. */
static const double LIMIT = 21.5;
/* Of what a cold server sustains, with callers that use every chance: ten requests in 1.25 s are
 * 0.73, less up to STEP_US until a caller notices the chance. */
static const double USED_MIN = 0.65;

struct instance_
{
  char name[16];
  bool is_running;
  bool is_entered;            /* its entry is in the store */
  int64_t entered_us;         /* when that last changed */
  int64_t reachable_us;       /* it does not reach the store before */
  int64_t next_sync_us;       /* end of its watch */
  struct gw_cold_start *cold; /* of the running process */
  bool knows[INSTANCES_MAX];  /* entries in its list */
  bool has_list;
  struct gw_cold_server servers[SERVERS];
};

struct model_
{
  GRand *random;
  unsigned n_instances;
  struct instance_ *instances;
  GArray *arrivals[SERVERS]; /* int64_t */
  int64_t now_us;
};

static int64_t
draw_us_ (struct model_ *model, int64_t max_us)
{
  return (int64_t)g_rand_double_range (model->random, 0, (double)max_us);
}

static bool
draw_ (struct model_ *model, double probability)
{
  return g_rand_double (model->random) < probability;
}

static void sync_ (struct model_ *model, struct instance_ *instance);

/* The keys of the servers differ between the schedules. */
static uint64_t
server_key_ (unsigned seed, unsigned server)
{
  return (uint64_t)seed * 1000003 + server;
}

static void
set_entry_ (struct model_ *model, struct instance_ *instance, bool is_entered)
{
  instance->is_entered = is_entered;
  instance->entered_us = model->now_us;
}

/* Starts the process of INSTANCE, which writes its entry, then reads the list. */
static void
start_ (struct model_ *model, struct instance_ *instance)
{
  instance->is_running = true;
  instance->has_list = false;
  instance->cold = gw_cold_start_new (instance->name);
  gw_cold_start_set_limits (instance->cold, OVERAGE, SLACK);
  instance->reachable_us = 0;
  instance->next_sync_us = model->now_us;
  for (unsigned i = 0; i < model->n_instances; i++)
    instance->knows[i] = false;
  for (unsigned i = 0; i < SERVERS; i++)
    gw_cold_server_note_remaining (&instance->servers[i], 60000, model->now_us);
  set_entry_ (model, instance, true);
  sync_ (model, instance);
}

static void
end_ (struct model_ *model, struct instance_ *instance)
{
  instance->is_running = false;
  gw_cold_start_delete (instance->cold);
  instance->cold = NULL;
  for (unsigned i = 0; i < SERVERS; i++)
    {
      gw_cold_server_clear (&instance->servers[i]);
      instance->servers[i] = (struct gw_cold_server){ 0 };
    }
}

/* Ends a watch or list of INSTANCE: it shows the entries of now, but some changes are missed until
 * a later list. */
static void
sync_ (struct model_ *model, struct instance_ *instance)
{
  if (!instance->is_entered)
    set_entry_ (model, instance, true);
  for (unsigned i = 0; i < model->n_instances; i++)
    {
      const struct instance_ *other = &model->instances[i];

      if (other == instance || other->is_entered == instance->knows[i])
        continue;
      if (instance->has_list && model->now_us - other->entered_us < LIST_MAX_US
          && draw_ (model, MISSED_PERCENT / 100.0))
        continue;
      instance->knows[i] = other->is_entered;
      if (other->is_entered)
        gw_cold_start_add_instance (instance->cold, other->name);
      else
        gw_cold_start_remove_instance (instance->cold, other->name, model->now_us);
    }
  instance->has_list = true;
  gw_cold_start_confirm_list (instance->cold, model->now_us);
  instance->next_sync_us = model->now_us + draw_us_ (model, SYNC_MAX_US);
}

/* Callers use every chance to send. */
static void
send_ (struct model_ *model, struct instance_ *instance, unsigned seed)
{
  int64_t now_us = model->now_us + draw_us_ (model, STEP_US);

  for (unsigned k = 0; k < SERVERS; k++)
    {
      struct gw_cold_server *server = &instance->servers[k];

      gw_cold_server_note_remaining (server, 60000, now_us);
      while (
          gw_cold_start_wait_us (instance->cold, server, server_key_ (seed, k), COLD_PER_S, now_us)
          == 0)
        {
          int64_t arrival_us = now_us + draw_us_ (model, DELAY_MAX_US);

          gw_cold_server_note_sent (server, now_us);
          g_array_append_val (model->arrivals[k], arrival_us);
        }
    }
}

/* Draws what happens to INSTANCE in this step. CHURN is the rate of starts and ends per second. */
static void
change_ (struct model_ *model, struct instance_ *instance, double churn)
{
  double step_s = (double)STEP_US / SECOND;

  if (!instance->is_running)
    {
      /* The entry of a process that crashed is removed later, or taken over by the next one. */
      if (instance->is_entered && draw_ (model, 0.1 * step_s))
        set_entry_ (model, instance, false);
      if (draw_ (model, churn * step_s))
        start_ (model, instance);
      return;
    }
  if (draw_ (model, churn * step_s))
    {
      if (draw_ (model, 0.5))
        set_entry_ (model, instance, false);
      end_ (model, instance);
      return;
    }
  if (draw_ (model, 0.005 * step_s))
    {
      instance->reachable_us = model->now_us + draw_us_ (model, PARTITION_MAX_US);
      if (draw_ (model, 0.3))
        set_entry_ (model, instance, false);
    }
}

static void
run_ (struct model_ *model, int64_t duration_us, double churn, unsigned seed)
{
  int64_t end_us = model->now_us + duration_us;

  for (; model->now_us < end_us; model->now_us += STEP_US)
    for (unsigned i = 0; i < model->n_instances; i++)
      {
        struct instance_ *instance = &model->instances[i];

        if (churn > 0)
          change_ (model, instance, churn);
        if (!instance->is_running)
          continue;
        if (model->now_us >= MAX (instance->next_sync_us, instance->reachable_us))
          sync_ (model, instance);
        send_ (model, instance, seed);
      }
}

static int
compare_ (const void *left, const void *right)
{
  int64_t a = *(const int64_t *)left;
  int64_t b = *(const int64_t *)right;

  return (a > b) - (a < b);
}

/* Returns the highest number of arrivals in any second. */
static unsigned
arrivals_max_ (GArray *arrivals)
{
  unsigned max = 0;
  unsigned first = 0;

  qsort (arrivals->data, arrivals->len, sizeof (int64_t), compare_);
  for (unsigned i = 0; i < arrivals->len; i++)
    {
      while (g_array_index (arrivals, int64_t, i) - g_array_index (arrivals, int64_t, first)
             >= SECOND)
        first++;
      max = MAX (max, i - first + 1);
    }
  return max;
}

static void
set_up_ (struct model_ *model, unsigned n_instances, unsigned seed)
{
  *model = (struct model_){ .random = g_rand_new_with_seed (seed),
                            .n_instances = n_instances,
                            .instances = g_new0 (struct instance_, n_instances),
                            .now_us = START_US };
  for (unsigned i = 0; i < n_instances; i++)
    g_snprintf (model->instances[i].name, sizeof model->instances[i].name, "g-%u", i);
  for (unsigned i = 0; i < SERVERS; i++)
    model->arrivals[i] = g_array_new (FALSE, FALSE, sizeof (int64_t));
}

static void
tear_down_ (struct model_ *model)
{
  for (unsigned i = 0; i < model->n_instances; i++)
    if (model->instances[i].is_running)
      end_ (model, &model->instances[i]);
  for (unsigned i = 0; i < SERVERS; i++)
    g_array_unref (model->arrivals[i]);
  g_free (model->instances);
  g_rand_free (model->random);
}

/* Guards against a cold server that crashes because instances with different lists of the fleet
 * send to it together. */
static void
check_limit_ (unsigned n_instances)
{
  for (unsigned seed = 1; seed <= SCHEDULES; seed++)
    {
      struct model_ model;
      unsigned max = 0;
      unsigned sent = 0;

      set_up_ (&model, n_instances, seed);
      /* A part of the fleet, then all at once, with more and with fewer changes. */
      for (unsigned i = 0; i < MAX (n_instances / 2, 1); i++)
        start_ (&model, &model.instances[i]);
      run_ (&model, SCHEDULE_US / 4, 0, seed);
      for (unsigned i = 0; i < n_instances; i++)
        if (!model.instances[i].is_running)
          start_ (&model, &model.instances[i]);
      run_ (&model, SCHEDULE_US / 4, 0.002, seed);
      for (unsigned i = 0; i < n_instances; i++)
        if (model.instances[i].is_running && draw_ (&model, 0.5))
          {
            set_entry_ (&model, &model.instances[i], false);
            end_ (&model, &model.instances[i]);
          }
      run_ (&model, SCHEDULE_US / 4, 0.01, seed);
      run_ (&model, SCHEDULE_US / 4, 0.1, seed);
      for (unsigned i = 0; i < SERVERS; i++)
        {
          max = MAX (max, arrivals_max_ (model.arrivals[i]));
          sent += model.arrivals[i]->len;
        }
      print_message ("%u instances, seed %u: %u arrivals at most in a second, %.1f on average\n",
                     n_instances, seed, max,
                     (double)sent / SERVERS / ((double)SCHEDULE_US / SECOND));
      assert_true (max <= LIMIT);
      tear_down_ (&model);
    }
}

static void
one_instance_stays_within_the_limit (void **state)
{
  check_limit_ (1);
}

static void
a_small_fleet_stays_within_the_limit (void **state)
{
  check_limit_ (8);
}

static void
a_large_fleet_stays_within_the_limit (void **state)
{
  check_limit_ (127);
}

static void
the_largest_fleet_stays_within_the_limit (void **state)
{
  check_limit_ (INSTANCES_MAX);
}

/* Guards against instances that go on sending to a cold server after others have taken their place.
 * One group of the fleet after the other loses the store, as do its entries, and goes on; at the
 * same time as many new ones start. The rest of the fleet notices at once. */
static void
replaced_instances_stay_within_the_limit (void **state)
{
  enum
  {
    GROUPS = 9, /* of these, the last starts while the others are cut off */
    GROUP_INTERVAL_US = 2 * SECOND
  };
  static const unsigned sizes[] = { 8, 127, INSTANCES_MAX };

  for (unsigned s = 0; s < G_N_ELEMENTS (sizes); s++)
    {
      const unsigned n = sizes[s];
      struct model_ model;
      unsigned max = 0;

      set_up_ (&model, n, s);
      for (unsigned i = 0; i < n; i++)
        if (i % GROUPS < GROUPS - 1)
          start_ (&model, &model.instances[i]);
      run_ (&model, GW_COLD_SETTLE_US + 5 * SECOND, 0, s);
      for (unsigned group = 0; group + 1 < GROUPS; group++)
        {
          for (unsigned i = group; i < n && group + 2 < GROUPS; i += GROUPS)
            {
              model.instances[i].reachable_us = INT64_MAX;
              set_entry_ (&model, &model.instances[i], false);
            }
          for (unsigned i = GROUPS - 1; i < n; i += GROUPS)
            if (i / GROUPS % (GROUPS - 1) == group)
              start_ (&model, &model.instances[i]);
          for (unsigned i = 0; i < n; i++)
            model.instances[i].next_sync_us = model.now_us;
          run_ (&model, GROUP_INTERVAL_US, 0, s);
        }
      run_ (&model, 2 * GW_COLD_SETTLE_US, 0, s);
      for (unsigned i = 0; i < SERVERS; i++)
        max = MAX (max, arrivals_max_ (model.arrivals[i]));
      print_message ("%u instances, groups replaced: %u arrivals at most in a second\n", n, max);
      assert_true (max <= LIMIT);
      tear_down_ (&model);
    }
}

/* Guards against cold servers that are left idle: a fleet of any size that does not change uses
 * USED_MIN of what they sustain. */
static void
an_unchanged_fleet_uses_cold_servers (void **state)
{
  static const unsigned sizes[] = { 1, 2, 3, 6, 8, 11, 127, INSTANCES_MAX };

  for (unsigned i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct model_ model;

      set_up_ (&model, sizes[i], i);
      for (unsigned k = 0; k < sizes[i]; k++)
        start_ (&model, &model.instances[k]);
      run_ (&model, GW_COLD_SETTLE_US + SECOND, 0, i);
      for (unsigned k = 0; k < SERVERS; k++)
        g_array_set_size (model.arrivals[k], 0);
      run_ (&model, STEADY_US, 0, i);
      for (unsigned k = 0; k < SERVERS; k++)
        {
          assert_true (model.arrivals[k]->len >= USED_MIN * COLD_PER_S * STEADY_US / SECOND);
          assert_true (arrivals_max_ (model.arrivals[k]) <= LIMIT);
        }
      tear_down_ (&model);
    }
}

/* Guards against an instance that sends to cold servers without knowing who else does: it has just
 * started, or has lost the store. */
static void
an_instance_without_a_recent_list_sends_nothing (void **state)
{
  struct gw_cold_start *cold = gw_cold_start_new ("g-1");
  struct gw_cold_server server = { 0 };
  int64_t now_us = START_US;

  gw_cold_start_set_limits (cold, OVERAGE, SLACK);
  gw_cold_server_note_remaining (&server, 50000, now_us);
  assert_true (gw_cold_start_wait_us (cold, &server, 1, COLD_PER_S, now_us) > 0);
  gw_cold_start_confirm_list (cold, now_us);
  assert_true (gw_cold_start_wait_us (cold, &server, 1, COLD_PER_S, now_us + SECOND) > 0);
  now_us += GW_COLD_SETTLE_US;
  assert_true (gw_cold_start_wait_us (cold, &server, 1, COLD_PER_S, now_us) > 0);
  gw_cold_start_confirm_list (cold, now_us);
  assert_int_equal (gw_cold_start_wait_us (cold, &server, 1, COLD_PER_S, now_us), 0);
  now_us += GW_COLD_STALE_US + 1;
  gw_cold_server_note_remaining (&server, 50000, now_us);
  assert_true (gw_cold_start_wait_us (cold, &server, 1, COLD_PER_S, now_us) > 0);
  gw_cold_server_clear (&server);
  gw_cold_start_delete (cold);
}

/* Guards against a limit that takes effect where it is off, or for servers that are never cold. */
static void
without_the_limit_nothing_is_withheld (void **state)
{
  struct gw_cold_start *cold = gw_cold_start_new ("g-1");
  struct gw_cold_server server = { 0 };

  gw_cold_server_note_remaining (&server, 50000, START_US);
  assert_int_equal (gw_cold_start_wait_us (cold, &server, 1, COLD_PER_S, START_US), 0);
  assert_int_equal (gw_cold_start_wait_us (NULL, &server, 1, COLD_PER_S, START_US), 0);
  gw_cold_start_set_limits (cold, OVERAGE, SLACK);
  assert_int_equal (gw_cold_start_wait_us (cold, &server, 1, 0, START_US), 0);
  assert_true (gw_cold_start_wait_us (cold, &server, 1, COLD_PER_S, START_US) > 0);
  gw_cold_start_delete (cold);
}

/* Guards against a cold time that ends too early, or never because lists repeat an old entry. */
static void
the_longest_remaining_time_applies_and_each_entry_counts_once (void **state)
{
  struct gw_cold_server server = { 0 };
  int64_t now_us = START_US;

  assert_true (gw_cold_server_note_entry (&server, 1, 7, 3000, now_us));
  assert_true (gw_cold_server_is_cold (&server, now_us + 2999 * MS));
  assert_false (gw_cold_server_is_cold (&server, now_us + 3000 * MS));
  now_us += 2 * SECOND;
  assert_false (gw_cold_server_note_entry (&server, 1, 7, 3000, now_us));
  assert_false (gw_cold_server_note_remaining (&server, 500, now_us));
  assert_false (gw_cold_server_note_remaining (&server, 0, now_us));
  assert_true (gw_cold_server_is_cold (&server, now_us + 999 * MS));
  assert_false (gw_cold_server_is_cold (&server, now_us + 1000 * MS));
  assert_false (gw_cold_server_note_remaining (&server, 4000, now_us));
  assert_true (gw_cold_server_is_cold (&server, now_us + 3999 * MS));
  now_us += 10 * SECOND;
  assert_false (gw_cold_server_note_entry (&server, 1, 7, 3000, now_us));
  assert_false (gw_cold_server_is_cold (&server, now_us));
  /* After a restore of the store the same revision may be another entry. */
  assert_true (gw_cold_server_note_entry (&server, 2, 7, 3000, now_us));
  now_us += 10 * SECOND;
  assert_true (gw_cold_server_note_entry (&server, 2, 8, 3000, now_us));
  /* A false value does not keep the server out of use for long. */
  gw_cold_server_note_remaining (&server, INT64_MAX, now_us);
  assert_false (gw_cold_server_is_cold (&server, now_us + 60 * SECOND));
}

/* Guards against a server that becomes cold right after a burst and gets a full share on top. */
static void
requests_sent_before_the_server_became_cold_count (void **state)
{
  struct gw_cold_start *cold = gw_cold_start_new ("g-1");
  struct gw_cold_server server = { 0 };
  int64_t now_us = START_US + GW_COLD_SETTLE_US;

  gw_cold_start_set_limits (cold, OVERAGE, SLACK);
  gw_cold_start_confirm_list (cold, START_US);
  gw_cold_start_confirm_list (cold, now_us);
  for (unsigned i = 0; i < 10; i++)
    {
      assert_int_equal (gw_cold_start_wait_us (cold, &server, 1, COLD_PER_S, now_us), 0);
      gw_cold_server_note_sent (&server, now_us);
    }
  gw_cold_server_note_remaining (&server, 3000, now_us);
  assert_true (gw_cold_start_wait_us (cold, &server, 1, COLD_PER_S, now_us) >= SECOND);
  assert_int_equal (gw_cold_start_wait_us (cold, &server, 1, COLD_PER_S, now_us + 2 * SECOND), 0);
  gw_cold_server_clear (&server);
  gw_cold_start_delete (cold);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (one_instance_stays_within_the_limit),
    cmocka_unit_test (a_small_fleet_stays_within_the_limit),
    cmocka_unit_test (a_large_fleet_stays_within_the_limit),
    cmocka_unit_test (the_largest_fleet_stays_within_the_limit),
    cmocka_unit_test (replaced_instances_stay_within_the_limit),
    cmocka_unit_test (an_unchanged_fleet_uses_cold_servers),
    cmocka_unit_test (an_instance_without_a_recent_list_sends_nothing),
    cmocka_unit_test (without_the_limit_nothing_is_withheld),
    cmocka_unit_test (the_longest_remaining_time_applies_and_each_entry_counts_once),
    cmocka_unit_test (requests_sent_before_the_server_became_cold_count),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
