#include "dispatch/perform-private.h"

#include "base/counters.h"

#include <xxhash.h>

enum
{
  PLACE_POLL_US = 5000,
  AFFINITY_PREFIX_BYTES = 256,
  RETRY_SOON_MS = 500,
  US_PER_S = 1000000
};

static struct sr_counter attempts_total
    = { .name = "attempts_total", .help = "Calls made to backend servers for requests." };
static struct sr_histogram queue_to_first_us
    = { .name = "first_token_us", .help = "From the worker's start to the first token." };

static bool follow_elsewhere_ (struct performance *p);
static bool sink_ (void *data, const char *text, size_t length);

/* Registers the metrics of carrying out requests. */
void
sr_dispatch_register_metrics_ (void)
{
  sr_counter_register (&attempts_total);
  sr_perform_model_register_ ();
  sr_histogram_register (&queue_to_first_us);
}

/* Carries RUN out from its place in the queue to its end. Runs in a worker thread and takes over
 * the queue's reference. */
void
sr_dispatch_perform_ (struct sr_dispatch *dispatch, struct sr_run *run)
{
  struct performance p = { .dispatch = dispatch,
                           .run = run,
                           .order = sr_run_order (run),
                           .service = sr_run_service (run),
                           .started_us = g_get_monotonic_time () };

  p.failed = g_ptr_array_new_with_free_func (g_free);
  if (p.order->is_look_up)
    sr_perform_look_up_ (&p);
  else if (sr_bills_is_stuck (dispatch->options.bills, p.started_us))
    sr_perform_refuse_ (&p, SR_ERROR_BILL_NOT_PLACED, SR_PERFORM_RETRY_LATER_MS);
  else if (!p.service->repeatable)
    sr_perform_order_ (&p);
  else if (follow_elsewhere_ (&p))
    ;
  else if (p.service->kind == SR_SERVICE_MODEL)
    sr_perform_model_ (&p);
  else
    sr_perform_plain_ (&p);
  g_ptr_array_unref (p.failed);
}

/* Decides after a failed attempt: true for another one, else the run is ended. Attempts that gained
 * tokens or never reached a backend server are no load worth limiting; the others take from the
 * retry budget. */
bool
sr_perform_after_failed_attempt_ (struct performance *p,
                                  enum sr_backend_status status,
                                  bool has_gained)
{
  struct sr_run_result result = { .outcome = SR_OUTCOME_UNKNOWN,
                                  .error = SR_ERROR_BACKEND_FAILED,
                                  .retry_after_ms = RETRY_SOON_MS };
  int64_t now_us = g_get_monotonic_time ();

  if (status == SR_BACKEND_STOPPED || now_us >= p->order->deadline_us)
    {
      result.error = now_us >= p->order->deadline_us ? SR_ERROR_TIMEOUT : SR_ERROR_ABANDONED;
      sr_perform_finish_ (p, &result);
      return false;
    }
  g_ptr_array_add (p->failed, g_strdup (p->route.backend));
  p->attempts_in_vain = has_gained ? 0 : p->attempts_in_vain + 1;
  if (p->attempts_in_vain < SR_PERFORM_ATTEMPTS_IN_VAIN_MAX
      && (has_gained || status == SR_BACKEND_NOT_SENT
          || sr_admit_may_retry (p->dispatch->options.admit, p->order->service->str)))
    return true;
  if (!p->may_have_run)
    {
      result.outcome = sr_run_refusal_outcome (p->order);
      result.error = SR_ERROR_NO_BACKEND;
    }
  sr_perform_finish_ (p, &result);
  return false;
}

/* Reserves TOKENS of the request's budget. On failure the run is ended. */
bool
sr_perform_reserve_ (struct performance *p, int64_t tokens)
{
  int64_t retry_after_ms = SR_PERFORM_RETRY_LATER_MS;

  switch (sr_budgets_reserve (p->dispatch->options.budgets, p->order->budget->str, tokens,
                              p->order->deadline_us, &p->reservation, &retry_after_ms))
    {
    case SR_BUDGET_RESERVED:
      return true;
    case SR_BUDGET_EXHAUSTED:
      sr_perform_refuse_ (p, SR_ERROR_NO_BUDGET, retry_after_ms);
      return false;
    case SR_BUDGET_UNREACHABLE:
    default:
      sr_perform_refuse_ (p, SR_ERROR_PLATFORM_OUT, retry_after_ms);
      return false;
    }
}

/* Takes a place at a backend server, waiting for one until the deadline. On failure the run is
 * ended. */
bool
sr_perform_take_place_ (struct performance *p)
{
  enum sr_route_verdict verdict = sr_perform_wait_for_place_ (p);

  if (verdict == SR_ROUTE_PICKED)
    {
      if (!p->has_place)
        sr_dispatch_got_place_ (p->dispatch, p->run);
      p->has_place = true;
      return true;
    }
  sr_perform_refuse_ (p, verdict == SR_ROUTE_NONE ? SR_ERROR_NO_BACKEND : SR_ERROR_DEADLINE,
                      SR_PERFORM_RETRY_LATER_MS);
  return false;
}

/* Gives the place at the backend server back and reports how the call went to the router and the
 * queues. */
void
sr_perform_give_up_place_ (struct performance *p,
                           enum sr_route_result result,
                           const struct sr_backend_report *report)
{
  struct sr_route_report route_report = { .result = result,
                                          .running = report->running,
                                          .waiting = report->waiting,
                                          .now_us = g_get_monotonic_time () };

  if (report->first_byte_us > 0)
    {
      route_report.first_byte_us = report->first_byte_us - p->route.picked_us;
      sr_histogram_observe (&queue_to_first_us, report->first_byte_us - p->started_us);
    }
  sr_router_done (p->dispatch->options.router, &p->route, &route_report);
}

/* Returns what STATUS means for the standing of the backend server. */
enum sr_route_result
sr_perform_route_result_ (enum sr_backend_status status)
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

/* Fills CALL for the request and the backend server picked; the caller adds what its kind needs.
 * The strings stay owned by P. */
void
sr_perform_prepare_call_ (struct performance *p, struct sr_backend_call *call)
{
  const struct sr_settings *settings = p->dispatch->options.settings;
  int64_t left_us = p->order->deadline_us - g_get_monotonic_time ();

  *call = (struct sr_backend_call){
    .address = p->route.address,
    .port = p->route.port,
    .source_address = settings->listen_address->str,
    .connect_timeout_s = (int)settings->connect_timeout_s,
    .idle_timeout_s = (int)settings->idle_timeout_s,
    .request = p->call_id,
    .team = p->order->team->str,
    .budget = p->order->budget->str,
    .model = p->service->model != NULL ? p->service->model->str : "",
    .version = p->service->version != NULL ? p->service->version->str : "",
    .adapter = p->service->adapter != NULL ? p->service->adapter->str : "",
    .text = p->order->text,
    .max_tokens = p->order->max_tokens,
    .offset = sr_run_tokens (p->run),
    .priority = (unsigned)p->order->priority,
    .sink = sink_,
    .sink_data = p
  };
  sr_counter_add (&attempts_total, 1);
  call->idle_timeout_s = (int)MIN (call->idle_timeout_s, MAX (left_us / US_PER_S, 0) + 1);
}

/* Has a second place take the bill of RESULT. Returns false when none did in time. */
bool
sr_perform_place_bill_ (struct performance *p, const struct sr_run_result *result)
{
  struct sr_bill bill = { .team = p->order->team->str,
                          .budget = p->order->budget->str,
                          .request = p->order->request->str,
                          .service = p->order->service->str,
                          .prompt_tokens = result->prompt_tokens,
                          .output_tokens = result->output_tokens,
                          .billed_tokens = result->billed_tokens,
                          .time_ms = g_get_real_time () / 1000 };

  return sr_bills_record (p->dispatch->options.bills, &bill, p->order->deadline_us);
}

/* Ends the run as refused with ERROR: not run, as far as that is known, else unknown. */
void
sr_perform_refuse_ (struct performance *p, enum sr_error error, int64_t retry_after_ms)
{
  struct sr_run_result result
      = { .outcome = p->may_have_run ? SR_OUTCOME_UNKNOWN : sr_run_refusal_outcome (p->order),
          .error = error,
          .retry_after_ms = retry_after_ms };

  sr_perform_finish_ (p, &result);
}

/* Ends the run with RESULT. P must not be used for its run any more. */
void
sr_perform_finish_ (struct performance *p, const struct sr_run_result *result)
{
  int64_t took_us = p->has_place ? g_get_monotonic_time () - p->started_us : 0;

  if (!p->has_place && !p->order->is_look_up)
    sr_dispatch_got_place_ (p->dispatch, p->run);
  if (!p->order->is_look_up)
    sr_admit_served (p->dispatch->options.admit, p->order->service->str, took_us);
  sr_dispatch_finish_ (p->dispatch, p->run, result);
}

/* Joins the run of the same request at another instance, if there is one. Returns true when the run
 * has ended with it. */
static bool
follow_elsewhere_ (struct performance *p)
{
  struct sr_run_result result;

  if (!p->order->request_was_given || p->dispatch->options.peers == NULL)
    return false;
  switch (sr_run_peers_follow (p->dispatch->options.peers, p->run, &result, &p->may_have_run))
    {
    case SR_RUN_FOLLOW_COMPLETED:
      sr_perform_finish_ (p, &result);
      return true;
    case SR_RUN_FOLLOW_OTHER_BODY:
      sr_perform_refuse_ (p, SR_ERROR_KEY_REUSED, 0);
      return true;
    case SR_RUN_FOLLOW_RUN_HERE:
    default:
      return false;
    }
}

/* Picks a backend server, waiting while all are full until the deadline. */
/* Picks a backend server as soon as one has a place, until the deadline. */
enum sr_route_verdict
sr_perform_wait_for_place_ (struct performance *p)
{
  struct sr_route_query query = { .service = p->order->service->str, .excluded = p->failed };
  enum sr_route_verdict verdict;

  if (p->service->kind == SR_SERVICE_MODEL)
    query.affinity
        = XXH3_64bits (p->order->text->str, MIN (p->order->text->len, AFFINITY_PREFIX_BYTES));
  for (;;)
    {
      query.now_us = g_get_monotonic_time ();
      verdict = sr_router_pick (p->dispatch->options.router, &query, &p->route);
      if (verdict == SR_ROUTE_NONE && p->failed->len > 0)
        {
          /* All have failed this request once: any of them may be tried again. */
          g_ptr_array_set_size (p->failed, 0);
          continue;
        }
      if (verdict != SR_ROUTE_BUSY || query.now_us >= p->order->deadline_us)
        return verdict;
      g_usleep (PLACE_POLL_US);
    }
}

static bool
sink_ (void *data, const char *text, size_t length)
{
  struct performance *p = data;
  int64_t now_us = g_get_monotonic_time ();

  if (now_us >= p->order->deadline_us || sr_run_is_abandoned (p->run, now_us))
    return false;
  sr_run_append (p->run, text, length, 1);
  return true;
}
