#include "dispatch/execution-private.h"

#include <stdio.h>

static bool end_if_claimed_ (struct execution *execution, const struct sr_claim_request *request);
static void call_for_order_ (struct execution *execution,
                             const struct sr_claim *claim,
                             struct sr_backend_report *report);
static void end_order_ (struct execution *execution,
                        const struct sr_claim_request *request,
                        struct sr_claim *claim,
                        struct sr_backend_report *report);
static void finish_with_claim_ (struct execution *execution, struct sr_claim *claim);

/* Reports the outcome of an order without executing it. */
void
sr_execution_look_up_ (struct execution *execution)
{
  struct sr_claim claim = { 0 };

  sr_orders_look_up (execution->dispatch->options.orders, execution->params->team->str,
                     execution->params->id->str, &claim);
  finish_with_claim_ (execution, &claim);
  sr_claim_clear (&claim);
}

/* Executes a call that may not be repeated (an order). The budget is reserved and the slot taken
 * first, then the order is claimed, then one call is made. The call is made again under the same
 * claim only if no byte was sent or the backend server refused it unexecuted. */
void
sr_execution_run_order_ (struct execution *execution)
{
  struct sr_claim_request request
      = { .team = execution->params->team->str,
          .request = execution->params->id->str,
          .fingerprint = { execution->params->fingerprint[0], execution->params->fingerprint[1] },
          .instance = execution->dispatch->options.settings->name->str,
          .nonce = atomic_fetch_add (&execution->dispatch->next_nonce, 1),
          .now_ms = g_get_real_time () / 1000,
          .first_attempt = execution->params->is_first_attempt };
  struct sr_backend_report report = { .status = SR_BACKEND_NOT_SENT, .running = -1 };
  struct sr_claim claim = { 0 };

  if (end_if_claimed_ (execution, &request)
      || !sr_execution_reserve_ (execution, execution->service->call_tokens))
    return;
  if (!sr_execution_take_slot_ (execution))
    {
      sr_budgets_settle (execution->dispatch->options.budgets, execution->reservation, 0);
      return;
    }
  sr_orders_claim (execution->dispatch->options.orders, &request, &claim);
  if (claim.verdict == SR_CLAIM_WON)
    call_for_order_ (execution, &claim, &report);
  else
    sr_execution_release_slot_ (execution, SR_ROUTE_RESULT_CANCELLED, &report);
  execution->may_have_run = report.status == SR_BACKEND_ANSWERED
                            || report.status == SR_BACKEND_FAILED
                            || report.status == SR_BACKEND_TIMEOUT;
  sr_budgets_settle (execution->dispatch->options.budgets, execution->reservation,
                     execution->may_have_run ? execution->service->call_tokens : 0);
  if (claim.verdict == SR_CLAIM_WON)
    end_order_ (execution, &request, &claim, &report);
  else
    finish_with_claim_ (execution, &claim);
  sr_claim_clear (&claim);
}

/* If EXECUTION is a possible retry of an order that is already claimed, ends the run with the
 * outcome of the claim, whether or not the budget still has tokens, and returns true. */
static bool
end_if_claimed_ (struct execution *execution, const struct sr_claim_request *request)
{
  struct sr_claim claim = { 0 };
  bool is_claimed;

  if (execution->params->is_first_attempt)
    return false;
  sr_orders_check_claim (execution->dispatch->options.orders, request, &claim);
  is_claimed = claim.verdict == SR_CLAIM_TAKEN || claim.verdict == SR_CLAIM_OTHER_BODY;
  if (is_claimed)
    finish_with_claim_ (execution, &claim);
  sr_claim_clear (&claim);
  return is_claimed;
}

/* Calls backend servers one after the other for the order of CLAIM, which was won, until one may
 * have executed it. Called with a slot held, which is released. REPORT is that of the last call, or
 * NOT_SENT when the deadline had passed before the first. */
static void
call_for_order_ (struct execution *execution,
                 const struct sr_claim *claim,
                 struct sr_backend_report *report)
{
  struct sr_backend_call call;

  snprintf (execution->call_id, sizeof execution->call_id, "%s/%s", execution->params->team->str,
            execution->params->id->str);
  for (unsigned attempt = 1;; attempt++)
    {
      if (g_get_monotonic_time () >= execution->params->deadline_us)
        {
          sr_execution_release_slot_ (execution, SR_ROUTE_RESULT_CANCELLED, report);
          return;
        }
      sr_execution_prepare_call_ (execution, &call);
      call.fence = execution->route.checks_fence ? claim->version : 0;
      sr_backend_plain.call (&call, report);
      sr_execution_release_slot_ (execution, sr_execution_route_result_ (report->status), report);
      if (report->status != SR_BACKEND_NOT_SENT && report->status != SR_BACKEND_REFUSED)
        return;
      g_ptr_array_add (execution->failed_backends, g_strdup (execution->route.backend));
      if (attempt == SR_EXECUTION_ATTEMPTS_WITHOUT_PROGRESS_MAX
          || (report->status == SR_BACKEND_REFUSED
              && !sr_admit_may_retry (execution->dispatch->options.admit,
                                      execution->params->service->str))
          || sr_execution_wait_for_slot_ (execution) != SR_ROUTE_PICKED)
        return;
    }
}

/* Stores on the platform the outcome of an order whose claim this run won, and ends the run. */
static void
end_order_ (struct execution *execution,
            const struct sr_claim_request *request,
            struct sr_claim *claim,
            struct sr_backend_report *report)
{
  struct sr_orders *orders = execution->dispatch->options.orders;
  struct sr_run_result result = { .outcome = SR_OUTCOME_UNKNOWN,
                                  .error = SR_ERROR_BACKEND_FAILED,
                                  .retry_after_ms = SR_EXECUTION_RETRY_AFTER_MS };

  if (report->status == SR_BACKEND_ANSWERED)
    {
      bool is_recorded = sr_orders_finish (orders, request, claim, SR_OUTCOME_ANSWERED,
                                           report->result->str, report->result->len);

      sr_execution_answer_plain_ (execution, report, is_recorded);
      return;
    }
  if (!execution->may_have_run)
    {
      result.outcome = SR_OUTCOME_NOT_RUN;
      result.error = SR_ERROR_NO_BACKEND;
    }
  else if (report->status == SR_BACKEND_TIMEOUT)
    result.error = SR_ERROR_TIMEOUT;
  sr_orders_finish (orders, request, claim, result.outcome, NULL, 0);
  sr_execution_finish_ (execution, &result);
}

/* Ends a run that did not win CLAIM, or only looked it up, with the outcome in CLAIM. */
static void
finish_with_claim_ (struct execution *execution, struct sr_claim *claim)
{
  struct sr_run_result result
      = { .outcome = claim->outcome, .retry_after_ms = SR_EXECUTION_RETRY_AFTER_MS };

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
    case SR_CLAIM_UNCONFIRMED:
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
          result.billed_tokens = execution->service != NULL ? execution->service->call_tokens : 0;
          if (claim->answer != NULL)
            sr_run_set_result_text (execution->run, claim->answer->str, claim->answer->len);
        }
      break;
    }
  sr_execution_finish_ (execution, &result);
}
