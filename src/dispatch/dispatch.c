#include "dispatch/dispatch-private.h"

#include "base/counters.h"
#include "base/thread.h"

enum
{
  POLL_INTERVAL_US = 20000, /* without a wake-up; bounds how late expired requests are refused */
  WORKER_STACK_BYTES = 128 * 1024,
  NO_WORKER_RETRY_AFTER_MS = 1000
};

static struct sr_counter queued_total
    = { .name = "requests_queued_total", .help = "Requests that were put into a queue." };
static struct sr_counter refused_total
    = { .name = "requests_refused_total", .help = "Requests that ended as not run." };
static struct sr_counter answered_total
    = { .name = "requests_answered_total", .help = "Requests that were answered." };
static struct sr_counter unknown_total
    = { .name = "requests_unknown_total", .help = "Requests that ended as unknown." };

static void *dispatch_loop_ (void *data);
static void
apply_configuration_ (struct sr_dispatch *dispatch, struct sr_config *config, int64_t now_us);
static void refuse_expired_ (struct sr_dispatch *dispatch, int64_t now_us);
static void
dispatch_queued_ (struct sr_dispatch *dispatch, struct sr_config *config, int64_t now_us);
static bool dispatch_next_ (struct sr_dispatch *dispatch, const char *service, int64_t now_us);
static unsigned count_awaiting_slot_ (struct sr_dispatch *dispatch, const char *service);
static void change_awaiting_slot_ (struct sr_dispatch *dispatch, const char *service, int change);
static void work_ (void *item, void *data);
static void refuse_ (struct sr_dispatch *dispatch,
                     struct sr_run *run,
                     enum sr_error error,
                     int64_t retry_after_ms);

/* OPTIONS is copied. The dispatcher is not started yet. */
struct sr_dispatch *
sr_dispatch_new (const struct sr_dispatch_options *options)
{
  struct sr_dispatch *dispatch = g_new0 (struct sr_dispatch, 1);
  struct sr_workers_options workers = { .threads_max = options->settings->calls_max,
                                        .stack_bytes = WORKER_STACK_BYTES,
                                        .work = work_,
                                        .data = dispatch };

  dispatch->options = *options;
  pthread_mutex_init (&dispatch->mutex, NULL);
  sr_cond_init (&dispatch->wake);
  dispatch->awaiting_slot = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  dispatch->workers = sr_workers_new (&workers);
  dispatch->next_nonce = ((uint64_t)options->seed << 32) ^ options->incarnation;
  sr_counter_register (&queued_total);
  sr_counter_register (&refused_total);
  sr_counter_register (&answered_total);
  sr_counter_register (&unknown_total);
  sr_dispatch_register_metrics_ ();
  return dispatch;
}

/* Stops DISPATCH and waits until the runs in progress have ended. NULL is allowed. */
void
sr_dispatch_delete (struct sr_dispatch *dispatch)
{
  if (dispatch == NULL)
    return;
  sr_dispatch_stop (dispatch);
  sr_workers_delete (dispatch->workers);
  g_hash_table_unref (dispatch->awaiting_slot);
  pthread_cond_destroy (&dispatch->wake);
  pthread_mutex_destroy (&dispatch->mutex);
  g_free (dispatch);
}

/* Starts the dispatcher thread. Returns false when the thread cannot be created. */
bool
sr_dispatch_start (struct sr_dispatch *dispatch)
{
  g_assert (!dispatch->started);
  dispatch->started = sr_thread_start (&dispatch->thread, 0, dispatch_loop_, dispatch);
  return dispatch->started;
}

/* Stops the dispatcher thread: no more requests are taken from the queues. Runs in progress
 * continue. */
void
sr_dispatch_stop (struct sr_dispatch *dispatch)
{
  if (!dispatch->started)
    return;
  pthread_mutex_lock (&dispatch->mutex);
  dispatch->stopping = true;
  pthread_cond_signal (&dispatch->wake);
  pthread_mutex_unlock (&dispatch->mutex);
  pthread_join (dispatch->thread, NULL);
  dispatch->started = false;
}

/* Queues RUN, which was just added to the run table, or ends it at once when the queues are full or
 * it would miss its deadline. Takes its own reference to RUN. */
void
sr_dispatch_submit (struct sr_dispatch *dispatch, struct sr_run *run)
{
  const struct sr_run_params *params = sr_run_params (run);
  struct sr_ticket ticket = { .service = params->service->str,
                              .team = params->team->str,
                              .team_weight = params->team_weight,
                              .priority = params->priority,
                              .deadline_us = params->deadline_us,
                              .cost_tokens = MAX (params->max_tokens, 1),
                              .owner = run };
  int64_t retry_after_ms = 0;

  sr_run_ref (run);
  switch (
      sr_admit_push (dispatch->options.admit, &ticket, g_get_monotonic_time (), &retry_after_ms))
    {
    case SR_ADMIT_QUEUED:
      sr_counter_add (&queued_total, 1);
      sr_dispatch_wake_ (dispatch);
      break;
    case SR_ADMIT_QUEUE_FULL:
      refuse_ (dispatch, run, SR_ERROR_QUEUE_FULL, retry_after_ms);
      break;
    case SR_ADMIT_DEADLINE:
      refuse_ (dispatch, run, SR_ERROR_DEADLINE, retry_after_ms);
      break;
    }
}

/* Has a worker look up the outcome of RUN's order, bypassing the queues. RUN must not be in the run
 * table. Takes its own reference to RUN. */
void
sr_dispatch_look_up (struct sr_dispatch *dispatch, struct sr_run *run)
{
  struct sr_run_result result = { .outcome = SR_OUTCOME_UNKNOWN,
                                  .error = SR_ERROR_QUEUE_FULL,
                                  .retry_after_ms = NO_WORKER_RETRY_AFTER_MS };

  sr_run_ref (run);
  if (sr_workers_submit (dispatch->workers, run))
    return;
  sr_run_finish (run, &result);
  sr_run_unref (run);
}

/* Ends RUN with RESULT, counts the outcome, and releases the reference taken at submission. */
void
sr_dispatch_finish_ (struct sr_dispatch *dispatch,
                     struct sr_run *run,
                     const struct sr_run_result *result)
{
  static struct sr_counter *const by_outcome[]
      = { &answered_total, &refused_total, &unknown_total };

  sr_counter_add (by_outcome[result->outcome], 1);
  sr_run_finish (run, result);
  if (!sr_run_params (run)->is_look_up)
    sr_run_table_ended (dispatch->options.table, run);
  sr_run_unref (run);
  sr_dispatch_wake_ (dispatch);
}

/* Stops counting RUN in awaiting_slot, because it has a slot at a backend server or needs none any
 * more. Call it once for each run that was given to a worker from the queues. */
void
sr_dispatch_end_slot_wait_ (struct sr_dispatch *dispatch, struct sr_run *run)
{
  change_awaiting_slot_ (dispatch, sr_run_params (run)->service->str, -1);
}

/* Wakes the dispatcher thread to check the queues. */
void
sr_dispatch_wake_ (struct sr_dispatch *dispatch)
{
  pthread_mutex_lock (&dispatch->mutex);
  dispatch->wake_requested = true;
  pthread_cond_signal (&dispatch->wake);
  pthread_mutex_unlock (&dispatch->mutex);
}

static void *
dispatch_loop_ (void *data)
{
  struct sr_dispatch *dispatch = data;
  bool stopping = false;

  while (!stopping)
    {
      struct sr_config *config = sr_config_current_get (dispatch->options.current);
      int64_t now_us = g_get_monotonic_time ();

      refuse_expired_ (dispatch, now_us);
      sr_run_table_expire (dispatch->options.table, now_us);
      if (config != NULL)
        {
          apply_configuration_ (dispatch, config, now_us);
          dispatch_queued_ (dispatch, config, now_us);
          sr_config_unref (config);
        }
      pthread_mutex_lock (&dispatch->mutex);
      if (!dispatch->wake_requested && !dispatch->stopping)
        sr_cond_wait_until (&dispatch->wake, &dispatch->mutex, now_us + POLL_INTERVAL_US);
      dispatch->wake_requested = false;
      stopping = dispatch->stopping;
      pthread_mutex_unlock (&dispatch->mutex);
    }
  return NULL;
}

static void
apply_configuration_ (struct sr_dispatch *dispatch, struct sr_config *config, int64_t now_us)
{
  int64_t revision = sr_config_revision (config);

  if (revision <= dispatch->revision)
    return;
  sr_router_apply (dispatch->options.router, config, now_us);
  dispatch->revision = revision;
}

static void
refuse_expired_ (struct sr_dispatch *dispatch, int64_t now_us)
{
  int64_t retry_after_ms = 0;
  struct sr_run *run;

  while ((run = sr_admit_expire (dispatch->options.admit, now_us, &retry_after_ms)) != NULL)
    refuse_ (dispatch, run, SR_ERROR_DEADLINE, retry_after_ms);
}

static void
dispatch_queued_ (struct sr_dispatch *dispatch, struct sr_config *config, int64_t now_us)
{
  const GPtrArray *services = sr_config_services (config);

  for (guint i = 0; i < services->len; i++)
    {
      const struct sr_config_service *service = services->pdata[i];

      while (dispatch_next_ (dispatch, service->name->str, now_us))
        ;
    }
}

static bool
dispatch_next_ (struct sr_dispatch *dispatch, const char *service, int64_t now_us)
{
  unsigned free_slots = sr_router_free_slots (dispatch->options.router, service, now_us);
  struct sr_run *run;

  if (free_slots <= count_awaiting_slot_ (dispatch, service)
      || sr_workers_idle_count (dispatch->workers) == 0)
    return false;
  run = sr_admit_pop (dispatch->options.admit, service, now_us);
  if (run == NULL)
    return false;
  if (sr_run_is_abandoned (run, now_us))
    {
      sr_admit_report_end (dispatch->options.admit, service, 0);
      refuse_ (dispatch, run, SR_ERROR_ABANDONED, 0);
      return true;
    }
  sr_run_set_running (run);
  change_awaiting_slot_ (dispatch, service, 1);
  if (!sr_workers_submit (dispatch->workers, run))
    {
      change_awaiting_slot_ (dispatch, service, -1);
      sr_admit_report_end (dispatch->options.admit, service, 0);
      refuse_ (dispatch, run, SR_ERROR_QUEUE_FULL, NO_WORKER_RETRY_AFTER_MS);
      return false;
    }
  return true;
}

static unsigned
count_awaiting_slot_ (struct sr_dispatch *dispatch, const char *service)
{
  unsigned count;

  pthread_mutex_lock (&dispatch->mutex);
  count = GPOINTER_TO_UINT (g_hash_table_lookup (dispatch->awaiting_slot, service));
  pthread_mutex_unlock (&dispatch->mutex);
  return count;
}

static void
change_awaiting_slot_ (struct sr_dispatch *dispatch, const char *service, int change)
{
  unsigned count;

  pthread_mutex_lock (&dispatch->mutex);
  count = GPOINTER_TO_UINT (g_hash_table_lookup (dispatch->awaiting_slot, service));
  g_hash_table_insert (dispatch->awaiting_slot, g_strdup (service),
                       GUINT_TO_POINTER (count + (unsigned)change));
  pthread_mutex_unlock (&dispatch->mutex);
}

static void
work_ (void *item, void *data)
{
  sr_dispatch_execute_ (data, item);
}

static void
refuse_ (struct sr_dispatch *dispatch,
         struct sr_run *run,
         enum sr_error error,
         int64_t retry_after_ms)
{
  struct sr_run_result result = { .outcome = sr_run_refusal_outcome (sr_run_params (run)),
                                  .error = error,
                                  .retry_after_ms = retry_after_ms };

  sr_dispatch_finish_ (dispatch, run, &result);
}
