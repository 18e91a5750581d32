#include "dispatch/dispatch-private.h"

#include "backend/backend.h"
#include "base/counters.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  ATTEMPTS_IN_VAIN_MAX = 3, /* in a row, without a token gained */
  PLACE_POLL_US = 5000,
  AFFINITY_PREFIX_BYTES = 256,
  RETRY_SOON_MS = 500,
  RETRY_LATER_MS = 2000,
  NAME_MAX_BYTES = 512,
  US_PER_S = 1000000
};

static struct sr_counter attempts_total
    = { .name = "attempts_total", .help = "Calls made to backend servers for requests." };
static struct sr_counter resumed_total
    = { .name = "attempts_resumed_total", .help = "Calls that went on with an answer cut before." };
static struct sr_counter upper_bound_total
    = { .name = "attempts_settled_at_upper_bound_total",
        .help = "Calls whose use of tokens is not known and was settled at its upper bound." };
static struct sr_histogram queue_to_first_us
    = { .name = "first_token_us", .help = "From the worker's start to the first token." };

/* One request in a worker's hands. */
struct performance
{
  struct sr_dispatch *dispatch;
  struct sr_run *run;
  const struct sr_run_order *order;
  const struct sr_config_service *service;
  int64_t started_us;
  bool has_place; /* counted as handed out no longer */
  bool may_have_run;
  unsigned attempts_in_vain;
  GPtrArray *failed; /* names of backend servers that failed this request */
  struct sr_route route;
  struct sr_reservation *reservation;
  char call_id[NAME_MAX_BYTES];
};

static void
perform_look_up_ (struct performance *p);
static bool
follow_elsewhere_ (struct performance *p);
static void
perform_model_ (struct performance *p);
static void
perform_plain_ (struct performance *p);
static void
perform_order_ (struct performance *p);
static bool
try_model_once_ (struct performance *p);
static bool
after_failed_attempt_ (struct performance *p, enum sr_backend_status status, bool has_gained);
static void
settle_model_ (struct performance *p,
               const struct sr_backend_call *call,
               const struct sr_backend_report *report,
               int64_t bound);
static bool
reserve_ (struct performance *p, int64_t tokens);
static bool
take_place_ (struct performance *p);
static enum sr_route_verdict
wait_for_place_ (struct performance *p);
static void
call_for_order_ (struct performance *p,
                 const struct sr_claim *claim,
                 struct sr_backend_report *report);
static void
give_up_place_ (struct performance *p,
                enum sr_route_result result,
                const struct sr_backend_report *report);
static enum sr_route_result
route_result_ (enum sr_backend_status status);
static void
prepare_call_ (struct performance *p, struct sr_backend_call *call);
static bool
sink_ (void *data, const char *text, size_t length);
static int64_t
model_bound_ (const struct performance *p);
static void
answer_model_ (struct performance *p, const struct sr_backend_report *report);
static void
answer_plain_ (struct performance *p, struct sr_backend_report *report, bool is_recorded);
static bool
place_bill_ (struct performance *p, const struct sr_run_result *result);
static void
finish_with_claim_ (struct performance *p, struct sr_claim *claim);
static void
end_order_ (struct performance *p,
            const struct sr_claim_request *request,
            struct sr_claim *claim,
            struct sr_backend_report *report);
static void
refuse_ (struct performance *p, enum sr_error error, int64_t retry_after_ms);
static void
finish_ (struct performance *p, const struct sr_run_result *result);

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

  sr_counter_register (&attempts_total);
  sr_counter_register (&resumed_total);
  sr_counter_register (&upper_bound_total);
  sr_histogram_register (&queue_to_first_us);
  p.failed = g_ptr_array_new_with_free_func (g_free);
  if (p.order->is_look_up)
    perform_look_up_ (&p);
  else if (sr_bills_is_stuck (dispatch->options.bills, p.started_us))
    refuse_ (&p, SR_ERROR_BILL_NOT_PLACED, RETRY_LATER_MS);
  else if (!p.service->repeatable)
    perform_order_ (&p);
  else if (follow_elsewhere_ (&p))
    ;
  else if (p.service->kind == SR_SERVICE_MODEL)
    perform_model_ (&p);
  else
    perform_plain_ (&p);
  g_ptr_array_unref (p.failed);
}

static void
perform_look_up_ (struct performance *p)
{
  struct sr_claim claim = { 0 };

  sr_orders_look_up (p->dispatch->options.orders, p->order->team->str, p->order->request->str,
                     &claim);
  finish_with_claim_ (p, &claim);
  sr_claim_clear (&claim);
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
    case SR_RUN_FOLLOWED_TO_END:
      finish_ (p, &result);
      return true;
    case SR_RUN_FOLLOWED_OTHER_BODY:
      refuse_ (p, SR_ERROR_KEY_REUSED, 0);
      return true;
    case SR_RUN_FOLLOWED_OURS:
    default:
      return false;
    }
}

static void
perform_model_ (struct performance *p)
{
  while (try_model_once_ (p))
    ;
}

/* Makes one attempt. Returns true when another one is to be made; else the run has ended. */
static bool
try_model_once_ (struct performance *p)
{
  int64_t bound = model_bound_ (p);
  struct sr_backend_report report;
  struct sr_backend_call call;

  if (!reserve_ (p, bound))
    return false;
  if (!take_place_ (p))
    {
      sr_budgets_settle (p->dispatch->options.budgets, p->reservation, 0);
      return false;
    }
  prepare_call_ (p, &call);
  snprintf (
      p->call_id, sizeof p->call_id, "%s/%s/%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "u",
      p->order->team->str, p->order->request->str, p->dispatch->options.settings->name->str,
      p->dispatch->options.incarnation, (guint64)atomic_fetch_add (&p->dispatch->next_attempt, 1));
  sr_counter_add (&attempts_total, 1);
  if (call.offset > 0)
    sr_counter_add (&resumed_total, 1);
  sr_backend_model.call (&call, &report);
  give_up_place_ (p, route_result_ (report.status), &report);
  settle_model_ (p, &call, &report, bound);
  if (report.status == SR_BACKEND_ANSWERED)
    {
      answer_model_ (p, &report);
      return false;
    }
  return after_failed_attempt_ (p, report.status, sr_run_tokens (p->run) > call.offset);
}

/* Decides after a failed attempt: true for another one, else the run is ended. Attempts that gained
 * tokens or never reached a backend server are no load worth limiting; the others take from the
 * retry budget. */
static bool
after_failed_attempt_ (struct performance *p, enum sr_backend_status status, bool has_gained)
{
  struct sr_run_result result = { .outcome = SR_OUTCOME_UNKNOWN,
                                  .error = SR_ERROR_BACKEND_FAILED,
                                  .retry_after_ms = RETRY_SOON_MS };
  int64_t now_us = g_get_monotonic_time ();

  if (status == SR_BACKEND_STOPPED || now_us >= p->order->deadline_us)
    {
      result.error = now_us >= p->order->deadline_us ? SR_ERROR_TIMEOUT : SR_ERROR_ABANDONED;
      finish_ (p, &result);
      return false;
    }
  g_ptr_array_add (p->failed, g_strdup (p->route.backend));
  p->attempts_in_vain = has_gained ? 0 : p->attempts_in_vain + 1;
  if (p->attempts_in_vain < ATTEMPTS_IN_VAIN_MAX
      && (has_gained || status == SR_BACKEND_NOT_SENT
          || sr_admit_may_retry (p->dispatch->options.admit, p->order->service->str)))
    return true;
  if (!p->may_have_run)
    {
      result.outcome = sr_run_refusal_outcome (p->order);
      result.error = SR_ERROR_NO_BACKEND;
    }
  finish_ (p, &result);
  return false;
}

/* Settles what the attempt used: what the engine reported, what its cancel confirms, or, when
 * neither is known, the upper bound. */
static void
settle_model_ (struct performance *p,
               const struct sr_backend_call *call,
               const struct sr_backend_report *report,
               int64_t bound)
{
  struct sr_backend_call cancel = *call;
  int64_t used = bound;

  switch (report->status)
    {
    case SR_BACKEND_ANSWERED:
      used = report->prompt_tokens + report->output_tokens;
      break;
    case SR_BACKEND_NOT_SENT:
    case SR_BACKEND_REFUSED:
    case SR_BACKEND_FENCED:
      used = 0;
      break;
    case SR_BACKEND_FAILED:
    case SR_BACKEND_SILENT:
    case SR_BACKEND_STOPPED:
      p->may_have_run = true;
      cancel.idle_timeout_s = 1;
      if (!sr_backend_model.cancel (&cancel, &used))
        sr_counter_add (&upper_bound_total, 1);
      break;
    }
  sr_budgets_settle (p->dispatch->options.budgets, p->reservation, used);
}

/* A plain service whose calls may be repeated. */
static void
perform_plain_ (struct performance *p)
{
  for (;;)
    {
      struct sr_backend_report report;
      struct sr_backend_call call;
      bool ran;

      if (!reserve_ (p, p->service->call_tokens))
        return;
      if (!take_place_ (p))
        {
          sr_budgets_settle (p->dispatch->options.budgets, p->reservation, 0);
          return;
        }
      prepare_call_ (p, &call);
      snprintf (p->call_id, sizeof p->call_id, "%s/%s", p->order->team->str,
                p->order->request->str);
      sr_counter_add (&attempts_total, 1);
      sr_backend_plain.call (&call, &report);
      give_up_place_ (p, route_result_ (report.status), &report);
      ran = report.status != SR_BACKEND_NOT_SENT && report.status != SR_BACKEND_REFUSED
            && report.status != SR_BACKEND_FENCED;
      p->may_have_run = p->may_have_run || ran;
      sr_budgets_settle (p->dispatch->options.budgets, p->reservation,
                         ran ? p->service->call_tokens : 0);
      if (report.status == SR_BACKEND_ANSWERED)
        {
          answer_plain_ (p, &report, false);
          return;
        }
      if (!after_failed_attempt_ (p, report.status, false))
        return;
    }
}

/* A plain service whose calls may not be repeated: budget and place first, then the claim, then one
 * call. Only a call of which no byte was sent is made again, under the same claim. */
static void
perform_order_ (struct performance *p)
{
  struct sr_claim_request request
      = { .team = p->order->team->str,
          .request = p->order->request->str,
          .fingerprint = { p->order->fingerprint[0], p->order->fingerprint[1] },
          .instance = p->dispatch->options.settings->name->str,
          .nonce = atomic_fetch_add (&p->dispatch->next_nonce, 1),
          .now_ms = g_get_real_time () / 1000,
          .first_attempt = p->order->is_first_attempt };
  struct sr_backend_report report = { .status = SR_BACKEND_NOT_SENT, .running = -1 };
  struct sr_claim claim = { 0 };

  if (!reserve_ (p, p->service->call_tokens))
    return;
  if (!take_place_ (p))
    {
      sr_budgets_settle (p->dispatch->options.budgets, p->reservation, 0);
      return;
    }
  sr_orders_claim (p->dispatch->options.orders, &request, &claim);
  if (claim.verdict == SR_CLAIM_WON)
    call_for_order_ (p, &claim, &report);
  else
    give_up_place_ (p, SR_ROUTE_RESULT_CANCELLED, &report);
  p->may_have_run = report.status == SR_BACKEND_ANSWERED || report.status == SR_BACKEND_FAILED
                    || report.status == SR_BACKEND_SILENT;
  sr_budgets_settle (p->dispatch->options.budgets, p->reservation,
                     p->may_have_run ? p->service->call_tokens : 0);
  if (claim.verdict == SR_CLAIM_WON)
    end_order_ (p, &request, &claim, &report);
  else
    finish_with_claim_ (p, &claim);
  sr_claim_clear (&claim);
}

/* Calls backend servers, one after the other, for the order that CLAIM was won for, until one of
 * them may have executed it. A place is held, and given back. REPORT tells of the last call;
 * NOT_SENT when the deadline was over. */
static void
call_for_order_ (struct performance *p,
                 const struct sr_claim *claim,
                 struct sr_backend_report *report)
{
  struct sr_backend_call call;

  snprintf (p->call_id, sizeof p->call_id, "%s/%s", p->order->team->str, p->order->request->str);
  for (unsigned attempt = 1;; attempt++)
    {
      if (g_get_monotonic_time () >= p->order->deadline_us)
        {
          give_up_place_ (p, SR_ROUTE_RESULT_CANCELLED, report);
          return;
        }
      prepare_call_ (p, &call);
      call.fence = p->route.checks_fence ? claim->version : 0;
      sr_counter_add (&attempts_total, 1);
      sr_backend_plain.call (&call, report);
      give_up_place_ (p, route_result_ (report->status), report);
      if (report->status != SR_BACKEND_NOT_SENT && report->status != SR_BACKEND_REFUSED)
        return;
      g_ptr_array_add (p->failed, g_strdup (p->route.backend));
      if (attempt == ATTEMPTS_IN_VAIN_MAX
          || (report->status == SR_BACKEND_REFUSED
              && !sr_admit_may_retry (p->dispatch->options.admit, p->order->service->str))
          || wait_for_place_ (p) != SR_ROUTE_PICKED)
        return;
    }
}

/* Records the outcome of a dispatched order on the platform, and ends the run. */
static void
end_order_ (struct performance *p,
            const struct sr_claim_request *request,
            struct sr_claim *claim,
            struct sr_backend_report *report)
{
  struct sr_orders *orders = p->dispatch->options.orders;
  struct sr_run_result result = { .outcome = SR_OUTCOME_UNKNOWN,
                                  .error = SR_ERROR_BACKEND_FAILED,
                                  .retry_after_ms = RETRY_LATER_MS };

  if (report->status == SR_BACKEND_ANSWERED)
    {
      bool is_recorded = sr_orders_finish (orders, request, claim, SR_OUTCOME_ANSWERED,
                                           report->result->str, report->result->len);

      answer_plain_ (p, report, is_recorded);
      return;
    }
  if (!p->may_have_run)
    {
      result.outcome = SR_OUTCOME_NOT_RUN;
      result.error = SR_ERROR_NO_BACKEND;
    }
  else if (report->status == SR_BACKEND_SILENT)
    result.error = SR_ERROR_TIMEOUT;
  sr_orders_finish (orders, request, claim, result.outcome, NULL, 0);
  finish_ (p, &result);
}

/* Ends a run whose claim was not won with what the claim tells. */
static void
finish_with_claim_ (struct performance *p, struct sr_claim *claim)
{
  struct sr_run_result result = { .outcome = claim->outcome, .retry_after_ms = RETRY_LATER_MS };

  switch (claim->verdict)
    {
    case SR_CLAIM_WON:
    case SR_CLAIM_ABSENT:
      result.error = SR_ERROR_UNKNOWN_REQUEST;
      result.retry_after_ms = 0;
      break;
    case SR_CLAIM_OTHER_BODY:
      result.error = SR_ERROR_KEY_REUSED;
      result.retry_after_ms = 0;
      break;
    case SR_CLAIM_EXPIRED:
      result.error = SR_ERROR_KEY_EXPIRED;
      result.retry_after_ms = 0;
      break;
    case SR_CLAIM_PLATFORM_OUT:
    case SR_CLAIM_DOUBT:
      result.error = SR_ERROR_PLATFORM_OUT;
      break;
    case SR_CLAIM_TAKEN:
      result.error = claim->in_progress ? SR_ERROR_IN_PROGRESS : SR_ERROR_BACKEND_FAILED;
      if (result.outcome == SR_OUTCOME_NOT_RUN)
        result.error = SR_ERROR_NO_BACKEND;
      if (result.outcome == SR_OUTCOME_ANSWERED)
        {
          result.error = SR_ERROR_NONE;
          result.retry_after_ms = 0;
          result.billed_tokens = p->service != NULL ? p->service->call_tokens : 0;
          if (claim->answer != NULL)
            sr_run_set_result_text (p->run, claim->answer->str, claim->answer->len);
        }
      break;
    }
  finish_ (p, &result);
}

/* Reserves TOKENS of the request's budget. On failure the run is ended. */
static bool
reserve_ (struct performance *p, int64_t tokens)
{
  int64_t retry_after_ms = RETRY_LATER_MS;

  switch (sr_budgets_reserve (p->dispatch->options.budgets, p->order->budget->str, tokens,
                              p->order->deadline_us, &p->reservation, &retry_after_ms))
    {
    case SR_BUDGET_RESERVED:
      return true;
    case SR_BUDGET_EXHAUSTED:
      refuse_ (p, SR_ERROR_NO_BUDGET, retry_after_ms);
      return false;
    case SR_BUDGET_UNREACHABLE:
    default:
      refuse_ (p, SR_ERROR_PLATFORM_OUT, retry_after_ms);
      return false;
    }
}

/* Takes a place at a backend server, waiting for one until the deadline. On failure the run is
 * ended. */
static bool
take_place_ (struct performance *p)
{
  enum sr_route_verdict verdict = wait_for_place_ (p);

  if (verdict == SR_ROUTE_PICKED)
    {
      if (!p->has_place)
        sr_dispatch_got_place_ (p->dispatch, p->run);
      p->has_place = true;
      return true;
    }
  refuse_ (p, verdict == SR_ROUTE_NONE ? SR_ERROR_NO_BACKEND : SR_ERROR_DEADLINE, RETRY_LATER_MS);
  return false;
}

/* Picks a backend server, waiting while all are full until the deadline. */
static enum sr_route_verdict
wait_for_place_ (struct performance *p)
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

static void
give_up_place_ (struct performance *p,
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

static enum sr_route_result
route_result_ (enum sr_backend_status status)
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

static void
prepare_call_ (struct performance *p, struct sr_backend_call *call)
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
  call->idle_timeout_s = (int)MIN (call->idle_timeout_s, MAX (left_us / US_PER_S, 0) + 1);
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

/* The most tokens the next attempt can use: the prompt, which may be read again, and the output
 * that is still missing. */
static int64_t
model_bound_ (const struct performance *p)
{
  int64_t bytes_per_token = MAX (p->service->bytes_per_token_min, 1);
  int64_t prompt_bytes = (int64_t)p->order->text->len;

  return (prompt_bytes + bytes_per_token - 1) / bytes_per_token + p->order->max_tokens
         - sr_run_tokens (p->run);
}

static void
answer_model_ (struct performance *p, const struct sr_backend_report *report)
{
  struct sr_run_result result = { .outcome = SR_OUTCOME_ANSWERED,
                                  .prompt_tokens = report->prompt_tokens,
                                  .output_tokens = sr_run_tokens (p->run) };

  result.billed_tokens = result.prompt_tokens + result.output_tokens;
  if (!place_bill_ (p, &result))
    {
      result = (struct sr_run_result){ .outcome = SR_OUTCOME_UNKNOWN,
                                       .error = SR_ERROR_BILL_NOT_PLACED,
                                       .retry_after_ms = RETRY_LATER_MS };
    }
  finish_ (p, &result);
}

/* Answers with a plain service's result. IS_RECORDED: the platform holds the outcome, so the caller
 * gets the answer even when the bill has no second place. */
static void
answer_plain_ (struct performance *p, struct sr_backend_report *report, bool is_recorded)
{
  struct sr_run_result result
      = { .outcome = SR_OUTCOME_ANSWERED, .billed_tokens = p->service->call_tokens };

  sr_run_set_result_text (p->run, report->result->str, report->result->len);
  g_string_free (report->result, TRUE);
  if (!place_bill_ (p, &result) && !is_recorded)
    {
      result = (struct sr_run_result){ .outcome = SR_OUTCOME_UNKNOWN,
                                       .error = SR_ERROR_BILL_NOT_PLACED,
                                       .retry_after_ms = RETRY_LATER_MS };
    }
  finish_ (p, &result);
}

static bool
place_bill_ (struct performance *p, const struct sr_run_result *result)
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

static void
refuse_ (struct performance *p, enum sr_error error, int64_t retry_after_ms)
{
  struct sr_run_result result
      = { .outcome = p->may_have_run ? SR_OUTCOME_UNKNOWN : sr_run_refusal_outcome (p->order),
          .error = error,
          .retry_after_ms = retry_after_ms };

  finish_ (p, &result);
}

static void
finish_ (struct performance *p, const struct sr_run_result *result)
{
  int64_t took_us = p->has_place ? g_get_monotonic_time () - p->started_us : 0;

  if (!p->has_place && !p->order->is_look_up)
    sr_dispatch_got_place_ (p->dispatch, p->run);
  if (!p->order->is_look_up)
    sr_admit_served (p->dispatch->options.admit, p->order->service->str, took_us);
  sr_dispatch_finish_ (p->dispatch, p->run, result);
}
