#include "dispatch/execution-private.h"

#include "base/counters.h"

#include <xxhash.h>

enum
{
  SLOT_POLL_INTERVAL_US = 5000,
  AFFINITY_PREFIX_BYTES = 256,
  FAILED_RETRY_AFTER_MS = 500,
  US_PER_S = 1000000
};

static struct sr_counter attempts_total
    = { .name = "attempts_total", .help = "Calls made to backend servers for requests." };
static struct sr_histogram start_to_first_token_us
    = { .name = "first_token_us", .help = "From the worker's start to the first token." };

static bool follow_peer_ (struct execution *execution);
static bool append_token_ (void *data, const char *text, size_t length);

void
sr_dispatch_register_metrics_ (void)
{
  sr_counter_register (&attempts_total);
  sr_execution_register_model_metrics_ ();
  sr_histogram_register (&start_to_first_token_us);
}

/* Executes RUN, which was taken from the queue or is a look-up, to its end. Called in a worker
 * thread; takes over the reference taken at submission. */
void
sr_dispatch_execute_ (struct sr_dispatch *dispatch, struct sr_run *run)
{
  struct execution execution = { .dispatch = dispatch,
                                 .run = run,
                                 .params = sr_run_params (run),
                                 .service = sr_run_service (run),
                                 .started_us = g_get_monotonic_time () };

  execution.failed_backends = g_ptr_array_new_with_free_func (g_free);
  if (execution.params->is_look_up)
    sr_execution_look_up_ (&execution);
  else if (sr_bills_are_stalled (dispatch->options.bills, execution.started_us))
    sr_execution_refuse_ (&execution, SR_ERROR_BILL_NOT_PLACED, SR_EXECUTION_RETRY_AFTER_MS);
  else if (!execution.service->repeatable)
    sr_execution_run_order_ (&execution);
  else if (follow_peer_ (&execution))
    ;
  else if (execution.service->kind == SR_SERVICE_MODEL)
    sr_execution_run_model_ (&execution);
  else
    sr_execution_run_plain_ (&execution);
  g_ptr_array_unref (execution.failed_backends);
}

/* Call it after a failed attempt. Returns true when another attempt is to be made; otherwise ends
 * the run. Retries take from the retry budget, except after an attempt that received tokens or that
 * never reached a backend server: these retries do not multiply the load. */
bool
sr_execution_after_failed_attempt_ (struct execution *execution,
                                    enum sr_backend_status status,
                                    bool has_new_tokens)
{
  struct sr_run_result result = { .outcome = SR_OUTCOME_UNKNOWN,
                                  .error = SR_ERROR_BACKEND_FAILED,
                                  .retry_after_ms = FAILED_RETRY_AFTER_MS };
  int64_t now_us = g_get_monotonic_time ();

  if (status == SR_BACKEND_STOPPED || now_us >= execution->params->deadline_us)
    {
      result.error
          = now_us >= execution->params->deadline_us ? SR_ERROR_TIMEOUT : SR_ERROR_ABANDONED;
      sr_execution_finish_ (execution, &result);
      return false;
    }
  g_ptr_array_add (execution->failed_backends, g_strdup (execution->route.backend));
  execution->attempts_without_progress
      = has_new_tokens ? 0 : execution->attempts_without_progress + 1;
  if (execution->attempts_without_progress < SR_EXECUTION_ATTEMPTS_WITHOUT_PROGRESS_MAX
      && (has_new_tokens || status == SR_BACKEND_NOT_SENT
          || sr_admit_may_retry (execution->dispatch->options.admit,
                                 execution->params->service->str)))
    return true;
  if (!execution->may_have_run)
    {
      result.outcome = sr_run_refusal_outcome (execution->params);
      result.error = SR_ERROR_NO_BACKEND;
    }
  sr_execution_finish_ (execution, &result);
  return false;
}

/* Reserves TOKENS of the request's budget. On failure ends the run and returns false. */
bool
sr_execution_reserve_ (struct execution *execution, int64_t tokens)
{
  int64_t retry_after_ms = SR_EXECUTION_RETRY_AFTER_MS;

  switch (sr_budgets_reserve (execution->dispatch->options.budgets, execution->params->budget->str,
                              tokens, execution->params->deadline_us, &execution->reservation,
                              &retry_after_ms))
    {
    case SR_BUDGET_RESERVED:
      return true;
    case SR_BUDGET_EXHAUSTED:
      sr_execution_refuse_ (execution, SR_ERROR_NO_BUDGET, retry_after_ms);
      return false;
    case SR_BUDGET_UNREACHABLE:
    default:
      sr_execution_refuse_ (execution, SR_ERROR_PLATFORM_OUT, retry_after_ms);
      return false;
    }
}

/* Takes a slot at a backend server, waiting for one until the deadline. On failure ends the run and
 * returns false. */
bool
sr_execution_take_slot_ (struct execution *execution)
{
  enum sr_route_verdict verdict = sr_execution_wait_for_slot_ (execution);

  if (verdict == SR_ROUTE_PICKED)
    {
      if (!execution->has_had_slot)
        sr_dispatch_end_slot_wait_ (execution->dispatch, execution->run);
      execution->has_had_slot = true;
      return true;
    }
  sr_execution_refuse_ (execution,
                        verdict == SR_ROUTE_NONE ? SR_ERROR_NO_BACKEND : SR_ERROR_DEADLINE,
                        SR_EXECUTION_RETRY_AFTER_MS);
  return false;
}

/* Releases the slot at the backend server and reports the result of the call to the router. */
void
sr_execution_release_slot_ (struct execution *execution,
                            enum sr_route_result result,
                            const struct sr_backend_report *report)
{
  struct sr_route_report route_report = { .result = result,
                                          .running = report->running,
                                          .waiting = report->waiting,
                                          .now_us = g_get_monotonic_time () };

  if (report->first_byte_us > 0)
    {
      route_report.first_byte_us = report->first_byte_us - execution->route.picked_us;
      sr_histogram_observe (&start_to_first_token_us,
                            report->first_byte_us - execution->started_us);
    }
  sr_router_release (execution->dispatch->options.router, &execution->route, &route_report);
}

/* Maps the status of a call to the result that the router counts for the backend server. */
enum sr_route_result
sr_execution_route_result_ (enum sr_backend_status status)
{
  switch (status)
    {
    case SR_BACKEND_ANSWERED:
      return SR_ROUTE_RESULT_OK;
    case SR_BACKEND_REFUSED:
    case SR_BACKEND_FENCED:
      return SR_ROUTE_RESULT_REFUSED;
    case SR_BACKEND_STOPPED:
      return SR_ROUTE_RESULT_CANCELLED;
    default:
      return SR_ROUTE_RESULT_FAILED;
    }
}

/* Fills CALL for the request and the picked backend server; the caller adds what is specific to the
 * kind of service. The strings are owned by EXECUTION. */
void
sr_execution_prepare_call_ (struct execution *execution, struct sr_backend_call *call)
{
  const struct sr_settings *settings = execution->dispatch->options.settings;
  int64_t left_us = execution->params->deadline_us - g_get_monotonic_time ();

  *call = (struct sr_backend_call){
    .address = execution->route.address,
    .port = execution->route.port,
    .source_address = settings->listen_address->str,
    .connect_timeout_s = (int)settings->connect_timeout_s,
    .idle_timeout_s = (int)settings->idle_timeout_s,
    .request = execution->call_id,
    .team = execution->params->team->str,
    .budget = execution->params->budget->str,
    .model = execution->service->model != NULL ? execution->service->model->str : "",
    .version = execution->service->version != NULL ? execution->service->version->str : "",
    .adapter = execution->service->adapter != NULL ? execution->service->adapter->str : "",
    .text = execution->params->text,
    .max_tokens = execution->params->max_tokens,
    .offset = sr_run_tokens (execution->run),
    .priority = (unsigned)execution->params->priority,
    .sink = append_token_,
    .sink_data = execution
  };
  sr_counter_add (&attempts_total, 1);
  call->idle_timeout_s = (int)MIN (call->idle_timeout_s, MAX (left_us / US_PER_S, 0) + 1);
}

/* Records the bill of RESULT and has a copy stored outside this instance. Returns false when that
 * was not confirmed before the deadline. */
bool
sr_execution_record_bill_ (struct execution *execution, const struct sr_run_result *result)
{
  struct sr_bill bill = { .team = execution->params->team->str,
                          .budget = execution->params->budget->str,
                          .request = execution->params->id->str,
                          .service = execution->params->service->str,
                          .prompt_tokens = result->prompt_tokens,
                          .output_tokens = result->output_tokens,
                          .billed_tokens = result->billed_tokens,
                          .time_ms = g_get_real_time () / 1000 };

  return sr_bills_record (execution->dispatch->options.bills, &bill,
                          execution->params->deadline_us);
}

/* Ends the run with ERROR. The outcome is not run if that is certain, otherwise unknown. */
void
sr_execution_refuse_ (struct execution *execution, enum sr_error error, int64_t retry_after_ms)
{
  struct sr_run_result result
      = { .outcome = execution->may_have_run ? SR_OUTCOME_UNKNOWN
                                             : sr_run_refusal_outcome (execution->params),
          .error = error,
          .retry_after_ms = retry_after_ms };

  sr_execution_finish_ (execution, &result);
}

/* Ends the run with RESULT and releases it: do not use the run of EXECUTION after this call. */
void
sr_execution_finish_ (struct execution *execution, const struct sr_run_result *result)
{
  int64_t took_us = execution->has_had_slot ? g_get_monotonic_time () - execution->started_us : 0;

  if (!execution->has_had_slot && !execution->params->is_look_up)
    sr_dispatch_end_slot_wait_ (execution->dispatch, execution->run);
  if (!execution->params->is_look_up)
    sr_admit_report_end (execution->dispatch->options.admit, execution->params->service->str,
                         took_us);
  sr_dispatch_finish_ (execution->dispatch, execution->run, result);
}

/* Follows the run of the same request at a peer, if there is one. Returns true when the run has
 * ended with its result or as refused. */
static bool
follow_peer_ (struct execution *execution)
{
  struct sr_run_result result;

  if (!execution->params->id_is_from_caller || execution->dispatch->options.peers == NULL)
    return false;
  switch (sr_run_peers_follow (execution->dispatch->options.peers, execution->run, &result,
                               &execution->may_have_run))
    {
    case SR_RUN_FOLLOW_COMPLETED:
      sr_execution_finish_ (execution, &result);
      return true;
    case SR_RUN_FOLLOW_OTHER_BODY:
      sr_execution_refuse_ (execution, SR_ERROR_KEY_REUSED, 0);
      return true;
    case SR_RUN_FOLLOW_RUN_HERE:
    default:
      return false;
    }
}

/* Picks a backend server and takes a slot, polling while all are full, until the deadline. Returns
 * BUSY when the deadline passed. */
enum sr_route_verdict
sr_execution_wait_for_slot_ (struct execution *execution)
{
  struct sr_route_query query
      = { .service = execution->params->service->str, .excluded = execution->failed_backends };
  enum sr_route_verdict verdict;

  if (execution->service->kind == SR_SERVICE_MODEL)
    query.affinity = XXH3_64bits (execution->params->text->str,
                                  MIN (execution->params->text->len, AFFINITY_PREFIX_BYTES));
  for (;;)
    {
      query.now_us = g_get_monotonic_time ();
      verdict = sr_router_pick (execution->dispatch->options.router, &query, &execution->route);
      if (verdict == SR_ROUTE_NONE && execution->failed_backends->len > 0)
        {
          /* All have failed this request once, so any of them may be tried again. */
          g_ptr_array_set_size (execution->failed_backends, 0);
          continue;
        }
      if (verdict != SR_ROUTE_BUSY || query.now_us >= execution->params->deadline_us)
        return verdict;
      g_usleep (SLOT_POLL_INTERVAL_US);
    }
}

static bool
append_token_ (void *data, const char *text, size_t length)
{
  struct execution *execution = data;
  int64_t now_us = g_get_monotonic_time ();

  if (now_us >= execution->params->deadline_us || sr_run_is_abandoned (execution->run, now_us))
    return false;
  sr_run_append (execution->run, text, length, 1);
  return true;
}
