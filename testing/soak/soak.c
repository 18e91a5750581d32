/* Fault soak: gateway processes in front of the stand-in for the users' platform. Faults are
 * injected in an order determined by a seed while callers keep sending requests. The observations
 * of callers and backend servers are checked against these guarantees:
 *
 * - a complete response belongs to the caller's own request;
 * - a request refused as not run has not run, and does not run later;
 * - a request that is not repeatable runs at most once;
 * - no budget is overspent;
 * - an instance exits only on request, and then with exit code 0;
 * - with --stops: a request that has run is answered, also by an instance that stops;
 * - after all faults have been cleared, every instance completes requests again. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  PORT_BASE = 34200,
  MODEL_BACKENDS = 3,
  PLAIN_BACKENDS = 2,
  CALLERS = 10,
  TOKENS_PER_EVENT = 6,
  RECOVERY_MS = 15000, /* the longest recovery time that the users' platforms specify */
  STOP_LIMIT_S = 5,
  FIRST_START_MS = 10000, /* above the start times that the stand-in reports initially */
  LEAVING_ONE_IN = 4,     /* share of faulty backend servers that announce their exit */
  RESTORE_ONE_IN = 6,     /* with --returns: share of faults followed by a restore */
  COPY_MIN_MS = 200,      /* age of the copy that is restored */
  COPY_MAX_MS = 6000,
  CRASH_ONE_IN = 4,       /* with --crashes: share of faults followed by one of these */
  CRASH_PART_ONE_IN = 16, /* with --crashes: share of streams with the part that ends servers */
  CRASH_DOWN_MS = 700
};

/* A request and its result as seen by the caller. */
struct sent_request_
{
  char *id;
  bool repeatable;
  enum site_outcome outcome;
  int64_t input_tokens;
  int64_t output_tokens; /* received */
};

struct caller_
{
  struct run_ *run;
  unsigned number;
  GRand *random;
  GPtrArray *sent; /* struct sent_request_ */
  GThread *thread;
};

/* State of the run of one seed. */
struct run_
{
  uint32_t seed;
  unsigned seconds;
  unsigned instances;
  struct site_fleet *fleet;
  GRand *random; /* selects the faults */
  /* Selects additional response headers of backend servers. Separate from random, so that a seed
   * keeps its sequence of faults. */
  GRand *headers_random;
  GRand *restores_random; /* selects restores of the store from a copy; NULL: none */
  GRand *crashes_random;  /* selects ends of backend servers and misleading responses; NULL: none */
  bool is_planned;        /* planned work only: stops, reloads and configurations */
  bool announces_leaving[MODEL_BACKENDS + PLAIN_BACKENDS];
  unsigned backend_restarts; /* restarts of backend servers, counted for their start times */
  int64_t prepaid;
  gint stop_callers; /* atomic; nonzero: callers stop */
  struct caller_ callers[CALLERS];
  bool paused[SITE_INSTANCES_MAX + 1];
  bool stopping[SITE_INSTANCES_MAX + 1];
  bool has_run[SITE_INSTANCES_MAX + 1]; /* since its last start: see has_run_ */
  unsigned violations;                  /* violations of guarantees */
};

struct fault_
{
  const char *name;
  void (*inject) (struct run_ *run);
};

static void kill_instance_ (struct run_ *run);
static void stop_instance_ (struct run_ *run);
static void pause_instance_ (struct run_ *run);
static void resume_instance_ (struct run_ *run);
static void disturb_store_ (struct run_ *run);
static void disturb_link_ (struct run_ *run);
static void clear_link_faults_ (struct run_ *run);
static void disturb_backend_ (struct run_ *run);
static void repair_backends_ (struct run_ *run);
static void drain_backend_ (struct run_ *run);
static void change_configuration_ (struct run_ *run);
static void reload_ (struct run_ *run);
static void restore_store_ (struct run_ *run);
static void crash_backend_ (struct run_ *run);

static const struct fault_ faults_[] = {
  { "kill", kill_instance_ },
  { "stop", stop_instance_ },
  { "pause", pause_instance_ },
  { "resume", resume_instance_ },
  { "store", disturb_store_ },
  { "link", disturb_link_ },
  { "clear_links", clear_link_faults_ },
  { "backend", disturb_backend_ },
  { "repair_backends", repair_backends_ },
  { "drain", drain_backend_ },
  { "configure", change_configuration_ },
  { "reload", reload_ },
};

static const struct fault_ planned_work_[] = {
  { "stop", stop_instance_ },
  { "stop", stop_instance_ },
  { "configure", change_configuration_ },
  { "reload", reload_ },
};

static void
report_violation_ (struct run_ *run, const char *guarantee, const char *what)
{
  run->violations++;
  printf ("seed %u BROKEN %s: %s\n", run->seed, guarantee, what);
}

static unsigned
random_instance_ (struct run_ *run)
{
  return (unsigned)g_rand_int_range (run->random, 1, (gint32)run->instances + 1);
}

/* Restarts instance I if it has exited; reports a violation unless it was requested to stop and its
 * exit code is 0. */
static void
restart_if_exited_ (struct run_ *run, unsigned i)
{
  struct harness_process *instance = run->fleet->instances[i];
  int code = 0;

  if (instance->pid != 0 && !harness_process_wait (instance, 0, &code))
    return;
  if (!run->stopping[i])
    report_violation_ (run, "an instance exits only on request", instance->name);
  else if (code != 0)
    report_violation_ (run, "a requested stop ends with exit code 0", instance->name);
  run->stopping[i] = false;
  run->paused[i] = false;
  run->has_run[i] = false;
  site_fleet_start_instance (run->fleet, i);
}

/* Whether instance I has responded since its start. A signal sent earlier could arrive before the
 * process has installed its handlers, and the kernel would then terminate it. */
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
  unsigned i = random_instance_ (run);

  harness_process_kill (run->fleet->instances[i]);
  run->paused[i] = run->stopping[i] = run->has_run[i] = false;
  site_fleet_start_instance (run->fleet, i);
}

static void
stop_instance_ (struct run_ *run)
{
  unsigned i = random_instance_ (run);

  if (run->stopping[i] || run->paused[i] || !has_run_ (run, i))
    return;
  run->stopping[i] = true;
  harness_process_signal (run->fleet->instances[i], SIGTERM);
}

static void
pause_instance_ (struct run_ *run)
{
  unsigned i = random_instance_ (run);

  has_run_ (run, i); /* updates has_run while the instance can still respond */
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
disturb_link_ (struct run_ *run)
{
  static const char *const modes[] = { "cut", "silence", "silence_open", "delay" };

  site_fleet_add_rule (run->fleet, random_instance_ (run),
                       modes[g_rand_int_range (run->random, 0, G_N_ELEMENTS (modes))],
                       g_rand_int_range (run->random, 20, 400));
}

static void
clear_link_faults_ (struct run_ *run)
{
  site_fleet_clear_rules (run->fleet);
}

static void
disturb_backend_ (struct run_ *run)
{
  static const char *const modes[]
      = { "shed", "cut", "reset", "silent", "error", "extra", "unframed", "other" };
  static const char *const retry_afters[] = { "0.5", "2", "-1", "soon", "0" };
  int index = g_rand_int_range (run->random, 0, MODEL_BACKENDS + PLAIN_BACKENDS);
  const char *mode = modes[g_rand_int_range (run->random, 0, G_N_ELEMENTS (modes))];
  const char *retry_after
      = retry_afters[g_rand_int_range (run->headers_random, 0, G_N_ELEMENTS (retry_afters))];
  bool leaving = g_rand_int_range (run->headers_random, 0, LEAVING_ONE_IN) == 0;
  g_autofree char *path
      = g_strdup_printf ("/backend?index=%d&mode=%s&retry_after=%s&says_leaving=%d", index, mode,
                         retry_after, leaving || run->announces_leaving[index]);

  run->announces_leaving[index] = run->announces_leaving[index] || leaving;

  site_fleet_control (run->fleet, path);
}

static void
repair_backends_ (struct run_ *run)
{
  for (unsigned i = 0; i < MODEL_BACKENDS + PLAIN_BACKENDS; i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/backend?index=%u&mode=ok&retry_after=0&state=ready", i);

      if (run->announces_leaving[i])
        {
          g_autofree char *restart
              = g_strdup_printf ("/backend?index=%u&says_leaving=0&started_ms=%u", i,
                                 FIRST_START_MS + ++run->backend_restarts);

          site_fleet_control (run->fleet, restart);
          run->announces_leaving[i] = false;
        }
      site_fleet_control (run->fleet, path);
    }
}

static void
drain_backend_ (struct run_ *run)
{
  g_autofree char *path
      = g_strdup_printf ("/backend?index=%d&state=draining",
                         g_rand_int_range (run->random, 0, MODEL_BACKENDS + PLAIN_BACKENDS));

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
  unsigned i = random_instance_ (run);

  if (!run->stopping[i] && has_run_ (run, i))
    harness_process_signal (run->fleet->instances[i], SIGHUP);
}

/* Restores the store from a copy that is up to COPY_MAX_MS old, also older than the last end of an
 * instance. */
static void
restore_store_ (struct run_ *run)
{
  g_autofree char *path = g_strdup_printf (
      "/restore?age_ms=%d", g_rand_int_range (run->restores_random, COPY_MIN_MS, COPY_MAX_MS));

  site_fleet_control (run->fleet, path);
}

/* Ends the process of a model engine, or makes one send misleading responses. */
static void
crash_backend_ (struct run_ *run)
{
  static const char *const settings[]
      = { "crash=1", "mode=stale", "mode=stale421", "mode=torn", "mode=torn_unframed" };
  g_autofree char *path = g_strdup_printf (
      "/backend?index=%d&%s", g_rand_int_range (run->crashes_random, 0, MODEL_BACKENDS),
      settings[g_rand_int_range (run->crashes_random, 0, G_N_ELEMENTS (settings))]);

  site_fleet_control (run->fleet, path);
}

static void *
send_requests_ (void *data)
{
  static const char *const paths[] = { "/stream/a", "/resume/a", "/once/a", "/safe/a" };
  struct caller_ *caller = data;
  struct run_ *run = caller->run;

  while (g_atomic_int_get (&run->stop_callers) == 0)
    {
      unsigned kind = (unsigned)g_rand_int_range (caller->random, 0, G_N_ELEMENTS (paths));
      struct sent_request_ *sent = g_new0 (struct sent_request_, 1);
      struct site_request request = {
        .instance = (unsigned)g_rand_int_range (caller->random, 1, (gint32)run->instances + 1),
        .path = paths[kind],
        .input_tokens = kind < 2 ? g_rand_int_range (caller->random, 10, 4000) : 0,
        .output_tokens = kind < 2 ? 6 * g_rand_int_range (caller->random, 1, 150) : 0,
        .deadline_ms = 3000,
      };
      struct site_response answer;

      if (run->crashes_random != NULL)
        request.parts = g_rand_int_range (caller->random, 0, CRASH_PART_ONE_IN) == 0
                            ? "5c1e:1,dead:1,1:1"
                            : "5c1e:1,50d0:1,1:1";
      sent->id = g_strdup_printf ("s%u-c%u-%u", run->seed, caller->number, caller->sent->len);
      sent->repeatable = kind == 1 || kind == 3;
      request.id = sent->id;
      answer = site_send (run->fleet, &request);
      sent->outcome = answer.outcome;
      sent->input_tokens = request.input_tokens;
      sent->output_tokens = answer.events * TOKENS_PER_EVENT;
      g_ptr_array_add (caller->sent, sent);
      if (sent->outcome == SITE_NO_RESPONSE || sent->outcome == SITE_NOT_RUN)
        g_usleep (20000);
    }
  return NULL;
}

/* Compares the results seen by callers with the runs at backend servers. Returns the number of
 * completed requests. */
static unsigned
check_guarantees_ (struct run_ *run)
{
  json_t *counts = site_fleet_counts (run->fleet);
  int64_t consumed = 0;
  unsigned completed = 0;

  for (unsigned c = 0; c < CALLERS; c++)
    for (unsigned i = 0; i < run->callers[c].sent->len; i++)
      {
        const struct sent_request_ *sent = run->callers[c].sent->pdata[i];
        unsigned runs = site_run_count (counts, sent->id);

        completed += sent->outcome == SITE_COMPLETED;
        if (runs > 0)
          consumed += sent->input_tokens + sent->output_tokens;
        if (sent->outcome == SITE_WRONG)
          report_violation_ (run, "a complete response belongs to the caller's own request",
                             sent->id);
        if (sent->outcome == SITE_NOT_RUN && runs > 0)
          report_violation_ (run, "a request refused as not run has not run", sent->id);
        if (run->is_planned && runs > 0
            && (sent->outcome == SITE_NO_RESPONSE || sent->outcome == SITE_TRUNCATED))
          report_violation_ (run, "a request that has run is answered", sent->id);
        if (!sent->repeatable && runs > 1)
          report_violation_ (run, "a request that is not repeatable runs at most once", sent->id);
      }
  if (consumed > run->prepaid)
    report_violation_ (run, "no budget is overspent", "team-1");
  printf ("seed %u: %u requests completed, consumed %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT "\n",
          run->seed, completed, (gint64)consumed, (gint64)run->prepaid);
  if (run->crashes_random != NULL)
    printf ("seed %u: one part of prompts ended %d servers\n", run->seed,
            (int)harness_json_number (counts, "crashes"));
  json_decref (counts);
  return completed;
}

/* Clears all faults and waits until every instance completes a request. */
static void
recover_ (struct run_ *run)
{
  int64_t end_us;

  site_fleet_control (run->fleet, "/store?mode=up");
  clear_link_faults_ (run);
  repair_backends_ (run);
  resume_instance_ (run);
  end_us = g_get_monotonic_time () + RECOVERY_MS * 1000;
  for (unsigned i = 1; i <= run->instances; i++)
    {
      enum site_outcome outcome = SITE_NO_RESPONSE;

      for (unsigned try = 0; outcome != SITE_COMPLETED && g_get_monotonic_time () < end_us; try++)
        {
          g_autofree char *id = g_strdup_printf ("s%u-r%u-%u", run->seed, i, try);
          const struct site_request request = { .instance = i, .path = "/safe/a", .id = id };

          restart_if_exited_ (run, i);
          outcome = site_send (run->fleet, &request).outcome;
          g_usleep (50000);
        }
      if (outcome != SITE_COMPLETED)
        report_violation_ (run, "after recovery every instance completes requests",
                           run->fleet->instances[i]->name);
    }
}

static void
inject_ (struct run_ *run)
{
  const struct fault_ *faults = run->is_planned ? planned_work_ : faults_;
  size_t count = run->is_planned ? G_N_ELEMENTS (planned_work_) : G_N_ELEMENTS (faults_);

  faults[g_rand_int_range (run->random, 0, (gint32)count)].inject (run);
}

/* Runs one seed. Returns the number of violations. */
static unsigned
run_seed_ (uint32_t seed,
           unsigned seconds,
           unsigned instances,
           bool with_restores,
           bool with_crashes,
           bool is_planned)
{
  struct run_ run
      = { .seed = seed, .seconds = seconds, .instances = instances, .is_planned = is_planned };
  const struct site_options options = { .name = "soak",
                                        .port_base = PORT_BASE,
                                        .instances = instances,
                                        .model_backends = MODEL_BACKENDS,
                                        .plain_backends = PLAIN_BACKENDS,
                                        .event_interval_ms = 1,
                                        .prepaid = 400000,
                                        .stop_limit_s = STOP_LIMIT_S,
                                        .with_proxy = true };
  int64_t end_us;

  run.prepaid = options.prepaid;
  run.random = g_rand_new_with_seed (seed);
  run.headers_random = g_rand_new_with_seed (seed + 1);
  if (with_restores)
    run.restores_random = g_rand_new_with_seed (seed + 2);
  run.fleet = site_fleet_start (&options);
  if (run.fleet == NULL)
    {
      printf ("seed %u did not start\n", seed);
      return 1;
    }
  if (with_crashes)
    {
      g_autofree char *settings = g_strdup_printf ("crash_part=dead&down_ms=%d", CRASH_DOWN_MS);

      run.crashes_random = g_rand_new_with_seed (seed + 3);
      site_fleet_set_backends (run.fleet, 0, MODEL_BACKENDS, settings);
    }
  for (unsigned c = 0; c < CALLERS; c++)
    {
      struct caller_ *caller = &run.callers[c];

      *caller = (struct caller_){ .run = &run, .number = c };
      caller->random = g_rand_new_with_seed (seed * 31 + c);
      caller->sent = g_ptr_array_new ();
      caller->thread = g_thread_new ("caller", send_requests_, caller);
    }
  end_us = g_get_monotonic_time () + (int64_t)seconds * G_USEC_PER_SEC;
  while (g_get_monotonic_time () < end_us)
    {
      inject_ (&run);
      if (with_restores && g_rand_int_range (run.restores_random, 0, RESTORE_ONE_IN) == 0)
        restore_store_ (&run);
      if (with_crashes && g_rand_int_range (run.crashes_random, 0, CRASH_ONE_IN) == 0)
        crash_backend_ (&run);
      g_usleep ((gulong)g_rand_int_range (run.random, 20, 500) * 1000);
      for (unsigned i = 1; i <= instances; i++)
        restart_if_exited_ (&run, i);
    }
  recover_ (&run);
  g_atomic_int_set (&run.stop_callers, 1);
  for (unsigned c = 0; c < CALLERS; c++)
    g_thread_join (run.callers[c].thread);
  if (check_guarantees_ (&run) == 0)
    report_violation_ (&run, "requests are completed", "none was");
  site_fleet_stop (run.fleet);
  g_rand_free (run.random);
  g_rand_free (run.headers_random);
  if (run.restores_random != NULL)
    g_rand_free (run.restores_random);
  if (run.crashes_random != NULL)
    g_rand_free (run.crashes_random);
  return run.violations;
}

int
main (int argc, char **argv)
{
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "first seed (default: from the time of day)");
  struct arg_int *count = arg_int0 (NULL, "seeds", "N", "number of seeds to run (default 1)");
  struct arg_int *seconds
      = arg_int0 (NULL, "seconds", "S", "duration of fault injection per seed (default 8)");
  struct arg_int *instances = arg_int0 (NULL, "instances", "N", "number of gateways (default 4)");
  struct arg_lit *returns
      = arg_lit0 (NULL, "returns", "restore the store from copies during the run");
  struct arg_lit *crashes
      = arg_lit0 (NULL, "crashes", "end model engines, and a part of prompts that ends them");
  struct arg_lit *stops = arg_lit0 (NULL, "stops", "planned stops and changes only");
  struct arg_end *end = arg_end (8);
  void *table[] = { seed, count, seconds, instances, returns, crashes, stops, end };
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
    if (run_seed_ (first + (uint32_t)i, seconds->count > 0 ? (unsigned)seconds->ival[0] : 8,
                   instances->count > 0 ? (unsigned)instances->ival[0] : 4, returns->count > 0,
                   crashes->count > 0, stops->count > 0)
        == 0)
      passed++;
    else
      failed++;
  printf ("%u passed, %u failed\n", passed, failed);
  arg_freetable (table, G_N_ELEMENTS (table));
  return failed == 0 ? 0 : 1;
}
