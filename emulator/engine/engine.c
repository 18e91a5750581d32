#include "emulator/engine/engine.h"

#include "base/thread.h"
#include "emulator/common/text.h"
#include "emulator/engine/ledger.h"
#include "emulator/engine/load.h"
#include "emulator/engine/prefix.h"

#include <pthread.h>
#include <string.h>

enum
{
  CLOSE_POLL_US = 50000,
  BYTES_PER_TOKEN = 4
};

static const char *const fault_names[ENGINE_FAULT_COUNT]
    = { "none", "hang", "refuse", "loading", "cut" };

enum run_state
{
  RUN_WAITING,
  RUN_RUNNING,
  RUN_FINISHED,
  RUN_CANCELLED
};

struct engine_run
{
  struct engine *engine;
  int reference_count; /* one of the table of runs, one of the caller */
  pthread_cond_t changed;
  enum run_state state;
  char *request;
  char *key;
  char *budget;
  GString *prompt;
  int priority;
  int64_t offset;
  int64_t total_tokens; /* of the whole answer */
  int64_t prompt_tokens;
  int64_t output_tokens; /* made by this run */
  int64_t ready_us;      /* when the last step was made */
  enum engine_fault fault;
  int64_t fault_after;
};

struct engine
{
  struct engine_options options;
  pthread_mutex_t mutex;
  int running;
  GQueue *waiting;    /* struct engine_run *, in the order in which they get slots */
  GHashTable *runs;   /* request -> struct engine_run */
  GHashTable *fences; /* TEAM/ID -> highest number seen */
  struct prefix_cache *prefixes;
  struct load_history *loads;
  struct ledger *ledger;
  bool load_zero;
  enum engine_fault fault;
  int64_t fault_after;
  int64_t fault_count; /* requests it still hits; 0: all until changed */
};

static bool serves_model_ (const struct engine *engine, const char *model);
static bool is_full_ (const struct engine *engine);
static bool fence_passes_ (struct engine *engine, const struct engine_call *call);
static enum engine_fault take_fault_ (struct engine *engine, int64_t *after);
static struct engine_run *run_new_ (struct engine *engine, const char *request);
static void run_unref_ (gpointer data);
static void fill_run_ (struct engine_run *run, const struct engine_call *call);
static int compare_priority_ (gconstpointer a, gconstpointer b, gpointer data);
static bool wait_for_slot_ (struct engine_run *run, const struct standin_request *request);
static void fill_slots_ (struct engine *engine);
static void note_load_ (struct engine *engine);
static void end_run_ (struct engine_run *run, enum run_state state);
static bool
pause_until_ (struct engine_run *run, int64_t end_us, const struct standin_request *request);
static json_t *load_json_ (struct engine *engine);

/* An engine that lives as long as the process. */
struct engine *
engine_new (const struct engine_options *options)
{
  struct engine *engine = g_new0 (struct engine, 1);

  engine->options = *options;
  pthread_mutex_init (&engine->mutex, NULL);
  engine->waiting = g_queue_new ();
  engine->runs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, run_unref_);
  engine->fences = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  engine->prefixes = prefix_cache_new (options->prefix_capacity);
  engine->loads = load_history_new (options->load_lag_us);
  engine->ledger = ledger_new ();
  return engine;
}

/* Decides about a call and puts it into the queue. RUN is set when it is admitted; the caller ends
 * it with engine_run_finish. */
enum engine_verdict
engine_admit (struct engine *engine, const struct engine_call *call, struct engine_run **run)
{
  enum engine_verdict verdict = ENGINE_ADMITTED;
  const struct engine_run *known;
  enum engine_fault fault;
  int64_t fault_after;

  if (!serves_model_ (engine, call->model))
    return ENGINE_MODEL;
  pthread_mutex_lock (&engine->mutex);
  fault = take_fault_ (engine, &fault_after);
  known = g_hash_table_lookup (engine->runs, call->request);
  if (fault == ENGINE_FAULT_LOADING)
    verdict = ENGINE_LOADING;
  else if (known != NULL && known->state == RUN_CANCELLED)
    verdict = ENGINE_CANCELLED;
  else if (!fence_passes_ (engine, call))
    verdict = ENGINE_FENCE;
  else if (fault == ENGINE_FAULT_REFUSE || is_full_ (engine))
    verdict = ENGINE_FULL;
  if (verdict == ENGINE_ADMITTED)
    {
      *run = run_new_ (engine, call->request);
      fill_run_ (*run, call);
      (*run)->fault = fault;
      (*run)->fault_after = fault_after;
      g_queue_insert_sorted (engine->waiting, *run, compare_priority_, NULL);
      fill_slots_ (engine);
    }
  pthread_mutex_unlock (&engine->mutex);
  return verdict;
}

/* Waits for a slot, then for the prompt to be read. Returns false when the run was cancelled, hangs
 * until its caller has gone, or is cut before the first token. */
bool
engine_run_start (struct engine_run *run, const struct standin_request *request)
{
  struct engine *engine = run->engine;
  int64_t cached_bytes, tokens;
  bool started;

  pthread_mutex_lock (&engine->mutex);
  started = wait_for_slot_ (run, request);
  if (started)
    {
      run->prompt_tokens = standin_prompt_tokens (run->prompt->len);
      ledger_add_run (engine->ledger, run->key);
      ledger_add_tokens (engine->ledger, run->budget, run->key, run->prompt_tokens);
      cached_bytes = prefix_cache_use (engine->prefixes, run->prompt->str, run->prompt->len);
      tokens = run->prompt_tokens - cached_bytes / BYTES_PER_TOKEN;
      run->ready_us = g_get_monotonic_time () + tokens * engine->options.prefill_us_per_token;
      started = pause_until_ (run, run->ready_us, request);
    }
  if (started && run->fault == ENGINE_FAULT_HANG && run->fault_after == 0)
    started = pause_until_ (run, G_MAXINT64, request);
  if (started && run->fault == ENGINE_FAULT_CUT && run->fault_after == 0)
    started = false;
  pthread_mutex_unlock (&engine->mutex);
  return started;
}

/* Makes the next token at its time and counts it. */
enum engine_step
engine_run_step (struct engine_run *run, const struct standin_request *request)
{
  struct engine *engine = run->engine;
  enum engine_step step = ENGINE_STEP_CUT;

  pthread_mutex_lock (&engine->mutex);
  if (run->output_tokens >= run->fault_after)
    {
      if (run->fault == ENGINE_FAULT_CUT)
        goto out;
      if (run->fault == ENGINE_FAULT_HANG && !pause_until_ (run, G_MAXINT64, request))
        goto out;
    }
  if (run->offset + run->output_tokens >= run->total_tokens)
    {
      if (run->state == RUN_RUNNING)
        {
          end_run_ (run, RUN_FINISHED);
          step = ENGINE_STEP_END;
        }
      goto out;
    }
  run->ready_us += engine->options.pace_us;
  if (!pause_until_ (run, run->ready_us, request))
    goto out;
  run->output_tokens++;
  ledger_add_tokens (engine->ledger, run->budget, run->key, 1);
  step = ENGINE_STEP_TOKEN;
out:
  pthread_mutex_unlock (&engine->mutex);
  return step;
}

/* Ends a run that has not ended by itself and drops the caller's reference. */
void
engine_run_finish (struct engine_run *run)
{
  struct engine *engine = run->engine;

  pthread_mutex_lock (&engine->mutex);
  end_run_ (run, RUN_FINISHED);
  run_unref_ (run);
  pthread_mutex_unlock (&engine->mutex);
}

/* The prompt, as long as the run. */
const GString *
engine_run_prompt (const struct engine_run *run)
{
  return run->prompt;
}

/* Index of the token made last plus one. */
int64_t
engine_run_next_index (const struct engine_run *run)
{
  return run->offset + run->output_tokens;
}

/* The request's name, as long as the run. */
const char *
engine_run_request (const struct engine_run *run)
{
  return run->request;
}

/* The line that ends a stream; the caller owns it. */
json_t *
engine_run_end (struct engine_run *run)
{
  json_t *load = engine_load (run->engine);

  return json_pack ("{s:b,s:s,s:I,s:I,s:o}", "end", 1, "request", run->request, "prompt_tokens",
                    (json_int_t)run->prompt_tokens, "output_tokens", (json_int_t)run->output_tokens,
                    "load", load);
}

/* Cancels a request for good, also one that has not come yet, and tells what it consumed. */
json_t *
engine_cancel (struct engine *engine, const char *request)
{
  const char *state = "unknown";
  struct engine_run *run;
  json_t *reply;

  pthread_mutex_lock (&engine->mutex);
  run = g_hash_table_lookup (engine->runs, request);
  if (run == NULL)
    {
      run = run_new_ (engine, request);
      run->state = RUN_CANCELLED;
      run->reference_count--;
    }
  else if (run->state == RUN_FINISHED)
    state = "finished";
  else if (run->budget != NULL)
    {
      end_run_ (run, RUN_CANCELLED);
      state = "cancelled";
    }
  reply
      = json_pack ("{s:s,s:s,s:I,s:I}", "request", request, "state", state, "prompt_tokens",
                   (json_int_t)run->prompt_tokens, "output_tokens", (json_int_t)run->output_tokens);
  pthread_mutex_unlock (&engine->mutex);
  return reply;
}

/* {"running","waiting","slots"} as of the lag ago; the caller owns it. */
json_t *
engine_load (struct engine *engine)
{
  json_t *reply;

  pthread_mutex_lock (&engine->mutex);
  reply = load_json_ (engine);
  pthread_mutex_unlock (&engine->mutex);
  return reply;
}

/* What was consumed; the caller owns it. */
json_t *
engine_ledger (struct engine *engine)
{
  json_t *reply;

  pthread_mutex_lock (&engine->mutex);
  reply = ledger_to_json (engine->ledger);
  json_object_set_new (reply, "prefix_hits", json_integer (prefix_cache_hits (engine->prefixes)));
  json_object_set_new (reply, "prefix_misses",
                       json_integer (prefix_cache_misses (engine->prefixes)));
  json_object_set_new (reply, "running", json_integer (engine->running));
  pthread_mutex_unlock (&engine->mutex);
  return reply;
}

/* Sets the fault that hits the next COUNT requests (0: all); false when there is no such MODE. */
bool
engine_set_fault (struct engine *engine, const char *mode, int64_t after_tokens, int64_t count)
{
  unsigned fault = 0;

  while (fault < ENGINE_FAULT_COUNT && g_strcmp0 (mode, fault_names[fault]) != 0)
    fault++;
  if (fault == ENGINE_FAULT_COUNT)
    return false;
  pthread_mutex_lock (&engine->mutex);
  engine->fault = fault;
  engine->fault_after = after_tokens;
  engine->fault_count = count;
  pthread_mutex_unlock (&engine->mutex);
  return true;
}

/* Sets the time between tokens, also of the runs in progress. */
void
engine_set_pace (struct engine *engine, int64_t pace_us)
{
  pthread_mutex_lock (&engine->mutex);
  engine->options.pace_us = pace_us;
  pthread_mutex_unlock (&engine->mutex);
}

/* While ZERO is set, the engine reports that it is idle. */
void
engine_set_load_zero (struct engine *engine, bool zero)
{
  pthread_mutex_lock (&engine->mutex);
  engine->load_zero = zero;
  pthread_mutex_unlock (&engine->mutex);
}

static bool
serves_model_ (const struct engine *engine, const char *model)
{
  for (guint i = 0; i < engine->options.models->len; i++)
    if (strcmp (g_ptr_array_index (engine->options.models, i), model) == 0)
      return true;
  return false;
}

static bool
is_full_ (const struct engine *engine)
{
  return engine->running >= engine->options.slots
         && (int)g_queue_get_length (engine->waiting) >= engine->options.queue_max;
}

/* Whether the call's fencing number is not below the highest one seen for its request. */
static bool
fence_passes_ (struct engine *engine, const struct engine_call *call)
{
  g_autofree char *key = ledger_key (call->request);
  int64_t *highest = g_hash_table_lookup (engine->fences, key);

  if (!engine->options.checks_fence)
    return true;
  if (highest == NULL)
    {
      highest = g_new0 (int64_t, 1);
      g_hash_table_insert (engine->fences, g_strdup (key), highest);
    }
  if (call->fence < *highest)
    return false;
  *highest = call->fence;
  return true;
}

/* The fault that hits the next request; counts it off. */
static enum engine_fault
take_fault_ (struct engine *engine, int64_t *after)
{
  enum engine_fault fault = engine->fault;

  *after = engine->fault_after;
  if (engine->fault_count > 0 && --engine->fault_count == 0)
    engine->fault = ENGINE_FAULT_NONE;
  return fault;
}

/* A run known by its request, with one reference for the table and one for the caller. */
static struct engine_run *
run_new_ (struct engine *engine, const char *request)
{
  struct engine_run *run = g_new0 (struct engine_run, 1);

  run->engine = engine;
  run->reference_count = 2;
  sr_cond_init (&run->changed);
  run->request = g_strdup (request);
  run->key = ledger_key (request);
  run->prompt = g_string_new (NULL);
  g_hash_table_replace (engine->runs, run->request, run);
  return run;
}

static void
run_unref_ (gpointer data)
{
  struct engine_run *run = data;

  if (--run->reference_count > 0)
    return;
  pthread_cond_destroy (&run->changed);
  g_free (run->request);
  g_free (run->key);
  g_free (run->budget);
  g_string_free (run->prompt, TRUE);
  g_free (run);
}

static void
fill_run_ (struct engine_run *run, const struct engine_call *call)
{
  g_string_append_len (run->prompt, call->prompt, (gssize)call->prompt_length);
  run->budget = g_strdup (call->budget);
  run->priority = call->priority;
  run->offset = call->offset;
  run->total_tokens = standin_output_tokens (call->prompt, call->prompt_length, call->max_tokens);
}

static int
compare_priority_ (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct engine_run *left = a;
  const struct engine_run *right = b;

  return left->priority - right->priority;
}

static bool
wait_for_slot_ (struct engine_run *run, const struct standin_request *request)
{
  while (run->state == RUN_WAITING)
    {
      sr_cond_wait_until (&run->changed, &run->engine->mutex,
                          g_get_monotonic_time () + CLOSE_POLL_US);
      if (run->state == RUN_WAITING && standin_peer_closed (request))
        return false;
    }
  return run->state == RUN_RUNNING;
}

/* Gives free slots to those who wait. */
static void
fill_slots_ (struct engine *engine)
{
  while (engine->running < engine->options.slots && !g_queue_is_empty (engine->waiting))
    {
      struct engine_run *run = g_queue_pop_head (engine->waiting);

      run->state = RUN_RUNNING;
      engine->running++;
      pthread_cond_signal (&run->changed);
    }
  note_load_ (engine);
}

static void
note_load_ (struct engine *engine)
{
  struct load load = { engine->running, (int)g_queue_get_length (engine->waiting) };

  load_history_add (engine->loads, load, g_get_monotonic_time ());
}

/* Takes a run out of its slot or out of the queue; no effect on one that has ended. */
static void
end_run_ (struct engine_run *run, enum run_state state)
{
  struct engine *engine = run->engine;

  if (run->state == RUN_RUNNING)
    engine->running--;
  else if (run->state == RUN_WAITING)
    g_queue_remove (engine->waiting, run);
  else
    return;
  run->state = state;
  pthread_cond_signal (&run->changed);
  fill_slots_ (engine);
}

/* Sleeps, with the engine's lock let go, until END_US; returns false when the run was cancelled or
 * its caller has gone meanwhile. */
static bool
pause_until_ (struct engine_run *run, int64_t end_us, const struct standin_request *request)
{
  int64_t now_us;

  while (run->state == RUN_RUNNING && (now_us = g_get_monotonic_time ()) < end_us)
    {
      sr_cond_wait_until (&run->changed, &run->engine->mutex, MIN (end_us, now_us + CLOSE_POLL_US));
      if (standin_peer_closed (request))
        return false;
    }
  return run->state == RUN_RUNNING;
}

static json_t *
load_json_ (struct engine *engine)
{
  struct load load = load_history_read (engine->loads, g_get_monotonic_time ());

  if (engine->load_zero)
    load = (struct load){ 0, 0 };
  return json_pack ("{s:i,s:i,s:i}", "running", load.running, "waiting", load.waiting, "slots",
                    engine->options.slots);
}
