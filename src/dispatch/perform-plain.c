#include "dispatch/perform-private.h"

#include <stdio.h>

/* A plain service whose calls may be repeated. */
void
sr_perform_plain_ (struct performance *p)
{
  for (;;)
    {
      struct sr_backend_report report;
      struct sr_backend_call call;
      bool ran;

      if (!sr_perform_reserve_ (p, p->service->call_tokens))
        return;
      if (!sr_perform_take_place_ (p))
        {
          sr_budgets_settle (p->dispatch->options.budgets, p->reservation, 0);
          return;
        }
      sr_perform_prepare_call_ (p, &call);
      snprintf (p->call_id, sizeof p->call_id, "%s/%s", p->order->team->str,
                p->order->request->str);
      sr_backend_plain.call (&call, &report);
      sr_perform_give_up_place_ (p, sr_perform_route_result_ (report.status), &report);
      ran = report.status != SR_BACKEND_NOT_SENT && report.status != SR_BACKEND_REFUSED
            && report.status != SR_BACKEND_FENCED;
      p->may_have_run = p->may_have_run || ran;
      sr_budgets_settle (p->dispatch->options.budgets, p->reservation,
                         ran ? p->service->call_tokens : 0);
      if (report.status == SR_BACKEND_ANSWERED)
        {
          sr_perform_answer_plain_ (p, &report, false);
          return;
        }
      if (!sr_perform_after_failed_attempt_ (p, report.status, false))
        return;
    }
}

/* Answers with a plain service's result. IS_RECORDED: the platform holds the outcome, so the caller
 * gets the answer even when the bill has no second place. */
void
sr_perform_answer_plain_ (struct performance *p, struct sr_backend_report *report, bool is_recorded)
{
  struct sr_run_result result
      = { .outcome = SR_OUTCOME_ANSWERED, .billed_tokens = p->service->call_tokens };

  sr_run_set_result_text (p->run, report->result->str, report->result->len);
  g_string_free (report->result, TRUE);
  if (!sr_perform_place_bill_ (p, &result) && !is_recorded)
    {
      result = (struct sr_run_result){ .outcome = SR_OUTCOME_UNKNOWN,
                                       .error = SR_ERROR_BILL_NOT_PLACED,
                                       .retry_after_ms = SR_PERFORM_RETRY_LATER_MS };
    }
  sr_perform_finish_ (p, &result);
}
