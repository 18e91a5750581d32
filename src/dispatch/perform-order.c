#include "dispatch/perform-private.h"

#include <stdio.h>

static bool was_claimed_before_ (struct performance *p, const struct sr_claim_request *request);
static void call_for_order_ (struct performance *p,
                             const struct sr_claim *claim,
                             struct sr_backend_report *report);
static void end_order_ (struct performance *p,
                        const struct sr_claim_request *request,
                        struct sr_claim *claim,
                        struct sr_backend_report *report);
static void finish_with_claim_ (struct performance *p, struct sr_claim *claim);

/* Finds out what became of an order, for a caller that only asks. */
void
sr_perform_look_up_ (struct performance *p)
{
  struct sr_claim claim = { 0 };

  sr_orders_look_up (p->dispatch->options.orders, p->order->team->str, p->order->request->str,
                     &claim);
  finish_with_claim_ (p, &claim);
  sr_claim_clear (&claim);
}

/* A plain service whose calls may not be repeated: budget and place first, then the claim, then one
 * call. Only a call of which no byte was sent is made again, under the same claim. */
void
sr_perform_order_ (struct performance *p)
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

  if (was_claimed_before_ (p, &request) || !sr_perform_reserve_ (p, p->service->call_tokens))
    return;
  if (!sr_perform_take_place_ (p))
    {
      sr_budgets_settle (p->dispatch->options.budgets, p->reservation, 0);
      return;
    }
  sr_orders_claim (p->dispatch->options.orders, &request, &claim);
  if (claim.verdict == SR_CLAIM_WON)
    call_for_order_ (p, &claim, &report);
  else
    sr_perform_give_up_place_ (p, SR_ROUTE_RESULT_CANCELLED, &report);
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

/* Ends a retry with what became of its first attempt, whatever its budget holds by now. Returns
 * false when nothing is known of one. */
static bool
was_claimed_before_ (struct performance *p, const struct sr_claim_request *request)
{
  struct sr_claim claim = { 0 };
  bool known;

  if (p->order->is_first_attempt)
    return false;
  sr_orders_peek (p->dispatch->options.orders, request, &claim);
  known = claim.verdict == SR_CLAIM_TAKEN || claim.verdict == SR_CLAIM_OTHER_BODY;
  if (known)
    finish_with_claim_ (p, &claim);
  sr_claim_clear (&claim);
  return known;
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
          sr_perform_give_up_place_ (p, SR_ROUTE_RESULT_CANCELLED, report);
          return;
        }
      sr_perform_prepare_call_ (p, &call);
      call.fence = p->route.checks_fence ? claim->version : 0;
      sr_backend_plain.call (&call, report);
      sr_perform_give_up_place_ (p, sr_perform_route_result_ (report->status), report);
      if (report->status != SR_BACKEND_NOT_SENT && report->status != SR_BACKEND_REFUSED)
        return;
      g_ptr_array_add (p->failed, g_strdup (p->route.backend));
      if (attempt == SR_PERFORM_ATTEMPTS_IN_VAIN_MAX
          || (report->status == SR_BACKEND_REFUSED
              && !sr_admit_may_retry (p->dispatch->options.admit, p->order->service->str))
          || sr_perform_wait_for_place_ (p) != SR_ROUTE_PICKED)
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
                                  .retry_after_ms = SR_PERFORM_RETRY_LATER_MS };

  if (report->status == SR_BACKEND_ANSWERED)
    {
      bool is_recorded = sr_orders_finish (orders, request, claim, SR_OUTCOME_ANSWERED,
                                           report->result->str, report->result->len);

      sr_perform_answer_plain_ (p, report, is_recorded);
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
  sr_perform_finish_ (p, &result);
}

/* Ends a run whose claim was not won with what the claim tells. */
static void
finish_with_claim_ (struct performance *p, struct sr_claim *claim)
{
  struct sr_run_result result
      = { .outcome = claim->outcome, .retry_after_ms = SR_PERFORM_RETRY_LATER_MS };

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
  sr_perform_finish_ (p, &result);
}
