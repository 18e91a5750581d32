#include "dispatch/execution-private.h"

#include <stdio.h>

/* Executes a call of a plain service that may be repeated. */
void
sr_execution_run_plain_ (struct execution *execution)
{
  for (;;)
    {
      struct sr_backend_report report;
      struct sr_backend_call call;
      bool may_have_executed;

      if (!sr_execution_reserve_ (execution, execution->service->call_tokens))
        return;
      if (!sr_execution_take_slot_ (execution))
        {
          sr_budgets_settle (execution->dispatch->options.budgets, execution->reservation, 0);
          return;
        }
      sr_execution_prepare_call_ (execution, &call);
      snprintf (execution->call_id, sizeof execution->call_id, "%s/%s",
                execution->params->team->str, execution->params->id->str);
      sr_backend_plain.call (&call, &report);
      sr_execution_release_slot_ (execution, sr_execution_route_result_ (report.status), &report);
      may_have_executed = report.status != SR_BACKEND_NOT_SENT
                          && report.status != SR_BACKEND_REFUSED
                          && report.status != SR_BACKEND_FENCED;
      execution->may_have_run = execution->may_have_run || may_have_executed;
      sr_budgets_settle (execution->dispatch->options.budgets, execution->reservation,
                         may_have_executed ? execution->service->call_tokens : 0);
      if (report.status == SR_BACKEND_ANSWERED)
        {
          sr_execution_answer_plain_ (execution, &report, false);
          return;
        }
      if (!sr_execution_after_failed_attempt_ (execution, report.status, false))
        return;
    }
}

/* Ends the run with the result of a plain service, and frees the result in REPORT. IS_RECORDED: the
 * platform holds the outcome, so the caller gets the answer even if no second copy of the bill
 * could be stored. */
void
sr_execution_answer_plain_ (struct execution *execution,
                            struct sr_backend_report *report,
                            bool is_recorded)
{
  struct sr_run_result result
      = { .outcome = SR_OUTCOME_ANSWERED, .billed_tokens = execution->service->call_tokens };

  sr_run_set_result_text (execution->run, report->result->str, report->result->len);
  g_string_free (report->result, TRUE);
  if (!sr_execution_record_bill_ (execution, &result) && !is_recorded)
    {
      result = (struct sr_run_result){ .outcome = SR_OUTCOME_UNKNOWN,
                                       .error = SR_ERROR_BILL_NOT_PLACED,
                                       .retry_after_ms = SR_EXECUTION_RETRY_AFTER_MS };
    }
  sr_execution_finish_ (execution, &result);
}
