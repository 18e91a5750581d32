/* Fault soak: real gateways before the stand-in of the users' platform, with faults by a seed,
 * while callers go on asking. What callers and backend servers see is held against the promises:
 *
 * - a whole answer is the caller's own;
 * - what is refused as not run has not run, and does not run later;
 * - what can't be repeated runs once at most;
 * - no budget is overspent;
 * - an instance ends only when it is told to, and then without a failure;
 * - once all is mended, every instance answers again. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  PORT_BASE = 34200,
  MODELS = 3,
  PLAINS = 2,
  CALLERS = 10,
  TOKENS_PER_EVENT = 6,
  RECOVERY_MS = 15000, /* the longest bound of recovery that the users' sites state */
  STOP_LIMIT_S = 5,
  FIRST_START_MS = 10000, /* above those of the stand-in */
  LEAVES_ONE_IN = 4,      /* of the disturbed backend servers: these say so in their answers */
  RETURN_ONE_IN = 6,      /* with --returns: of the faults, so many are followed by one */
  COPY_MIN_MS = 200,
  COPY_MAX_MS = 6000
};

/* A request and what its caller was told. */
struct asked_
{
  char *id;
  bool repeatable;
  enum site_verdict verdict;
  int64_t input_tokens;
  int64_t output_tokens; /* received */
};

struct caller_
{
  struct run_ *run;
  unsigned number;
  GRand *random;
  GPtrArray *asked; /* struct asked_ */
  GThread *thread;
};

/* One run of one seed. */
struct run_
{
  uint32_t seed;
  unsigned seconds;
  unsigned instances;
  struct site_fleet *fleet;
  GRand *random; /* of the faults */
  /* Of what backend servers say besides: the faults of a seed stay what they were. */
  GRand *words_random;
  GRand *returns_random; /* of the store, from copies; NULL: it never comes back from one */
  int64_t ended_us;      /* when an instance last ended */
  bool says_leaving[MODELS + PLAINS];
  unsigned starts; /* of backend servers, after the first ones */
  int64_t prepaid;
  gint ends; /* callers stop */
  struct caller_ callers[CALLERS];
  bool paused[SITE_INSTANCES_MAX + 1];
  bool stopping[SITE_INSTANCES_MAX + 1];
  bool has_run[SITE_INSTANCES_MAX + 1]; /* since its start: see has_run_ */
  unsigned broken;                      /* promises */
};

/* One kind of fault. */
struct fault_
{
  const char *name;
  void (*strike) (struct run_ *run);
};

static void kill_instance_ (struct run_ *run);
static void stop_instance_ (struct run_ *run);
static void pause_instance_ (struct run_ *run);
static void resume_instance_ (struct run_ *run);
static void disturb_store_ (struct run_ *run);
static void disturb_way_ (struct run_ *run);
static void mend_ways_ (struct run_ *run);
static void disturb_backend_ (struct run_ *run);
static void mend_backends_ (struct run_ *run);
static void drain_backend_ (struct run_ *run);
static void change_configuration_ (struct run_ *run);
static void reload_ (struct run_ *run);
static void return_store_ (struct run_ *run);

static const struct fault_ faults_[] = {
  { "kill", kill_instance_ },
  { "stop", stop_instance_ },
  { "pause", pause_instance_ },
  { "resume", resume_instance_ },
  { "store", disturb_store_ },
  { "way", disturb_way_ },
  { "mend_ways", mend_ways_ },
  { "backend", disturb_backend_ },
  { "mend_backends", mend_backends_ },
  { "drain", drain_backend_ },
  { "configure", change_configuration_ },
  { "reload", reload_ },
};

static void
broken_ (struct run_ *run, const char *promise, const char *what)
{
  run->broken++;
  printf ("seed %u BROKEN %s: %s\n", run->seed, promise, what);
}

static unsigned
any_instance_ (struct run_ *run)
{
  return (unsigned)g_rand_int_range (run->random, 1, (gint32)run->instances + 1);
}

/* Starts instance I again when it has ended, which it may have done only if it was told to. */
static void
start_again_ (struct run_ *run, unsigned i)
{
  struct harness_process *instance = run->fleet->instances[i];
  int code = 0;

  if (instance->pid != 0 && !harness_process_wait (instance, 0, &code))
    return;
  run->ended_us = g_get_monotonic_time ();
  if (!run->stopping[i])
    broken_ (run, "an instance ends only when told to", instance->name);
  else if (code != 0)
    broken_ (run, "a stop ends without a failure", instance->name);
  run->stopping[i] = false;
  run->paused[i] = false;
  run->has_run[i] = false;
  site_fleet_start_instance (run->fleet, i);
}

/* Tells whether instance I has answered since its start. Before it runs no program can take a
 * signal: the system ends it. */
static bool
has_run_ (struct run_ *run, unsigned i)
{
  if (!run->has_run[i] && !run->paused[i])
    run->has_run[i] = site_fleet_ready_status (run->fleet, i) != 0;
  return run->has_run[i];
}

static void
kill_instance_ (struct run_ *run)
{
  unsigned i = any_instance_ (run);

  harness_process_kill (run->fleet->instances[i]);
  run->ended_us = g_get_monotonic_time ();
  run->paused[i] = run->stopping[i] = run->has_run[i] = false;
  site_fleet_start_instance (run->fleet, i);
}

static void
stop_instance_ (struct run_ *run)
{
  unsigned i = any_instance_ (run);

  if (run->stopping[i] || run->paused[i] || !has_run_ (run, i))
    return;
  run->stopping[i] = true;
  harness_process_signal (run->fleet->instances[i], SIGTERM);
}

static void
pause_instance_ (struct run_ *run)
{
  unsigned i = any_instance_ (run);

  has_run_ (run, i); /* looked at while it can still answer */
  run->paused[i] = true;
  harness_process_signal (run->fleet->instances[i], SIGSTOP);
}

static void
resume_instance_ (struct run_ *run)
{
  for (unsigned i = 1; i <= run->instances; i++)
    {
      if (run->paused[i])
        harness_process_signal (run->fleet->instances[i], SIGCONT);
      run->paused[i] = false;
    }
}

static void
disturb_store_ (struct run_ *run)
{
  static const char *const paths[] = { "/store?mode=silent", "/store?mode=busy", "/store?mode=lost",
                                       "/store?mode=up", "/store?mode=up" };

  site_fleet_control (run->fleet, paths[g_rand_int_range (run->random, 0, G_N_ELEMENTS (paths))]);
}

static void
disturb_way_ (struct run_ *run)
{
  static const char *const modes[] = { "cut", "silence", "silence_open", "delay" };

  site_fleet_rule (run->fleet, any_instance_ (run),
                   modes[g_rand_int_range (run->random, 0, G_N_ELEMENTS (modes))],
                   g_rand_int_range (run->random, 20, 400));
}

static void
mend_ways_ (struct run_ *run)
{
  site_fleet_clear_rules (run->fleet);
}

static void
disturb_backend_ (struct run_ *run)
{
  static const char *const modes[]
      = { "shed", "cut", "reset", "silent", "error", "extra", "unframed", "other" };
  static const char *const pauses[] = { "0.5", "2", "-1", "soon", "0" };
  int index = g_rand_int_range (run->random, 0, MODELS + PLAINS);
  const char *mode = modes[g_rand_int_range (run->random, 0, G_N_ELEMENTS (modes))];
  const char *pause = pauses[g_rand_int_range (run->words_random, 0, G_N_ELEMENTS (pauses))];
  bool leaves = g_rand_int_range (run->words_random, 0, LEAVES_ONE_IN) == 0;
  g_autofree char *path
      = g_strdup_printf ("/backend?index=%d&mode=%s&retry_after=%s&says_leaving=%d", index, mode,
                         pause, leaves || run->says_leaving[index]);

  run->says_leaving[index] = run->says_leaving[index] || leaves;

  site_fleet_control (run->fleet, path);
}

static void
mend_backends_ (struct run_ *run)
{
  for (unsigned i = 0; i < MODELS + PLAINS; i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/backend?index=%u&mode=ok&retry_after=0&state=ready", i);

      if (run->says_leaving[i])
        {
          g_autofree char *restart = g_strdup_printf (
              "/backend?index=%u&says_leaving=0&started_ms=%u", i, FIRST_START_MS + ++run->starts);

          site_fleet_control (run->fleet, restart);
          run->says_leaving[i] = false;
        }
      site_fleet_control (run->fleet, path);
    }
}

static void
drain_backend_ (struct run_ *run)
{
  g_autofree char *path = g_strdup_printf ("/backend?index=%d&state=draining",
                                           g_rand_int_range (run->random, 0, MODELS + PLAINS));

  site_fleet_control (run->fleet, path);
}

static void
change_configuration_ (struct run_ *run)
{
  run->prepaid += g_rand_int_range (run->random, 0, 200000);
  site_fleet_configure (run->fleet, run->prepaid, g_rand_boolean (run->random));
}

static void
reload_ (struct run_ *run)
{
  unsigned i = any_instance_ (run);

  if (!run->stopping[i] && has_run_ (run, i))
    harness_process_signal (run->fleet->instances[i], SIGHUP);
}

/* The store comes back from a copy, which is no older than the last end of an instance: what one
 * that has ended was granted since the copy nobody can put back (docs/design/store-copies.md). */
static void
return_store_ (struct run_ *run)
{
  int64_t whole_ms = (g_get_monotonic_time () - run->ended_us) / 1000;
  int age_ms = g_rand_int_range (run->returns_random, COPY_MIN_MS, COPY_MAX_MS);
  g_autofree char *path
      = g_strdup_printf ("/restore?age_ms=%" G_GINT64_FORMAT, (gint64)MIN (age_ms, whole_ms));

  site_fleet_control (run->fleet, path);
}

static void *
call_ (void *data)
{
  static const char *const paths[] = { "/stream/a", "/resume/a", "/once/a", "/safe/a" };
  struct caller_ *caller = data;
  struct run_ *run = caller->run;

  while (g_atomic_int_get (&run->ends) == 0)
    {
      unsigned kind = (unsigned)g_rand_int_range (caller->random, 0, G_N_ELEMENTS (paths));
      struct asked_ *asked = g_new0 (struct asked_, 1);
      struct site_request request = {
        .instance = (unsigned)g_rand_int_range (caller->random, 1, (gint32)run->instances + 1),
        .path = paths[kind],
        .input_tokens = kind < 2 ? g_rand_int_range (caller->random, 10, 4000) : 0,
        .output_tokens = kind < 2 ? 6 * g_rand_int_range (caller->random, 1, 150) : 0,
        .deadline_ms = 3000,
      };
      struct site_answer answer;

      asked->id = g_strdup_printf ("s%u-c%u-%u", run->seed, caller->number, caller->asked->len);
      asked->repeatable = kind == 1 || kind == 3;
      request.id = asked->id;
      answer = site_ask (run->fleet, &request);
      asked->verdict = answer.verdict;
      asked->input_tokens = request.input_tokens;
      asked->output_tokens = answer.events * TOKENS_PER_EVENT;
      g_ptr_array_add (caller->asked, asked);
      if (asked->verdict == SITE_NO_ANSWER || asked->verdict == SITE_NOT_RUN)
        g_usleep (20000);
    }
  return NULL;
}

/* Holds what callers were told against what ran. Returns the number of answers. */
static unsigned
judge_ (struct run_ *run)
{
  json_t *counts = site_fleet_counts (run->fleet);
  int64_t consumed = 0;
  unsigned answers = 0;

  for (unsigned c = 0; c < CALLERS; c++)
    for (unsigned i = 0; i < run->callers[c].asked->len; i++)
      {
        const struct asked_ *asked = run->callers[c].asked->pdata[i];
        unsigned runs = site_runs_of (counts, asked->id);

        answers += asked->verdict == SITE_ANSWERED;
        if (runs > 0)
          consumed += asked->input_tokens + asked->output_tokens;
        if (asked->verdict == SITE_WRONG)
          broken_ (run, "a whole answer is the caller's own", asked->id);
        if (asked->verdict == SITE_NOT_RUN && runs > 0)
          broken_ (run, "what is refused as not run has not run", asked->id);
        if (!asked->repeatable && runs > 1)
          broken_ (run, "what can't be repeated runs once at most", asked->id);
      }
  if (consumed > run->prepaid)
    broken_ (run, "no budget is overspent", "team-1");
  printf ("seed %u: %u answers, consumed %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT "\n", run->seed,
          answers, (gint64)consumed, (gint64)run->prepaid);
  json_decref (counts);
  return answers;
}

/* Mends all and waits until every instance answers. */
static void
recover_ (struct run_ *run)
{
  int64_t end_us;

  site_fleet_control (run->fleet, "/store?mode=up");
  mend_ways_ (run);
  mend_backends_ (run);
  resume_instance_ (run);
  end_us = g_get_monotonic_time () + RECOVERY_MS * 1000;
  for (unsigned i = 1; i <= run->instances; i++)
    {
      enum site_verdict verdict = SITE_NO_ANSWER;

      for (unsigned try = 0; verdict != SITE_ANSWERED && g_get_monotonic_time () < end_us; try++)
        {
          g_autofree char *id = g_strdup_printf ("s%u-r%u-%u", run->seed, i, try);
          const struct site_request request = { .instance = i, .path = "/safe/a", .id = id };

          start_again_ (run, i);
          verdict = site_ask (run->fleet, &request).verdict;
          g_usleep (50000);
        }
      if (verdict != SITE_ANSWERED)
        broken_ (run, "once all is mended, every instance answers", run->fleet->instances[i]->name);
    }
}

/* Plays one seed. Returns how many promises were broken. */
static unsigned
play_ (uint32_t seed, unsigned seconds, unsigned instances, bool with_returns)
{
  struct run_ run = { .seed = seed, .seconds = seconds, .instances = instances };
  const struct site_options options = { .name = "soak",
                                        .port_base = PORT_BASE,
                                        .instances = instances,
                                        .models = MODELS,
                                        .plains = PLAINS,
                                        .pace_ms = 1,
                                        .prepaid = 400000,
                                        .stop_limit_s = STOP_LIMIT_S,
                                        .with_proxy = true };
  int64_t end_us;

  run.prepaid = options.prepaid;
  run.random = g_rand_new_with_seed (seed);
  run.words_random = g_rand_new_with_seed (seed + 1);
  if (with_returns)
    run.returns_random = g_rand_new_with_seed (seed + 2);
  run.ended_us = g_get_monotonic_time ();
  run.fleet = site_fleet_start (&options);
  if (run.fleet == NULL)
    {
      printf ("seed %u did not start\n", seed);
      return 1;
    }
  for (unsigned c = 0; c < CALLERS; c++)
    {
      struct caller_ *caller = &run.callers[c];

      *caller = (struct caller_){ .run = &run, .number = c };
      caller->random = g_rand_new_with_seed (seed * 31 + c);
      caller->asked = g_ptr_array_new ();
      caller->thread = g_thread_new ("caller", call_, caller);
    }
  end_us = g_get_monotonic_time () + (int64_t)seconds * G_USEC_PER_SEC;
  while (g_get_monotonic_time () < end_us)
    {
      const struct fault_ *fault
          = &faults_[g_rand_int_range (run.random, 0, G_N_ELEMENTS (faults_))];

      fault->strike (&run);
      if (with_returns && g_rand_int_range (run.returns_random, 0, RETURN_ONE_IN) == 0)
        return_store_ (&run);
      g_usleep ((gulong)g_rand_int_range (run.random, 20, 500) * 1000);
      for (unsigned i = 1; i <= instances; i++)
        start_again_ (&run, i);
    }
  recover_ (&run);
  g_atomic_int_set (&run.ends, 1);
  for (unsigned c = 0; c < CALLERS; c++)
    g_thread_join (run.callers[c].thread);
  if (judge_ (&run) == 0)
    broken_ (&run, "callers are answered", "none was");
  site_fleet_stop (run.fleet);
  g_rand_free (run.random);
  g_rand_free (run.words_random);
  if (run.returns_random != NULL)
    g_rand_free (run.returns_random);
  return run.broken;
}

int
main (int argc, char **argv)
{
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "first seed (from the time of day)");
  struct arg_int *count = arg_int0 (NULL, "seeds", "N", "seeds to play (1)");
  struct arg_int *seconds = arg_int0 (NULL, "seconds", "S", "of faults for each seed (8)");
  struct arg_int *instances = arg_int0 (NULL, "instances", "N", "gateways (4)");
  struct arg_lit *returns = arg_lit0 (NULL, "returns", "the store comes back from copies");
  struct arg_end *end = arg_end (8);
  void *table[] = { seed, count, seconds, instances, returns, end };
  unsigned passed = 0;
  unsigned failed = 0;
  uint32_t first;

  if (arg_parse (argc, argv, table) != 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      return 2;
    }
  first = seed->count > 0 ? (uint32_t)seed->ival[0]
                          : (uint32_t)(g_get_real_time () / G_USEC_PER_SEC % 1000000);
  setvbuf (stdout, NULL, _IOLBF, 0);
  for (int i = 0; i < (count->count > 0 ? count->ival[0] : 1); i++)
    if (play_ (first + (uint32_t)i, seconds->count > 0 ? (unsigned)seconds->ival[0] : 8,
               instances->count > 0 ? (unsigned)instances->ival[0] : 4, returns->count > 0)
        == 0)
      passed++;
    else
      failed++;
  printf ("%u passed, %u failed\n", passed, failed);
  arg_freetable (table, G_N_ELEMENTS (table));
  return failed == 0 ? 0 : 1;
}
