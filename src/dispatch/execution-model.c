#include "dispatch/execution-private.h"

#include "base/counters.h"

#include <stdio.h>

static struct sr_counter resumed_total
    = { .name = "attempts_resumed_total", .help = "Calls that went on with an answer cut before." };
static struct sr_counter upper_bound_total
    = { .name = "attempts_settled_at_upper_bound_total",
        .help = "Calls whose use of tokens is not known and was settled at its upper bound." };

static bool try_model_once_ (struct execution *execution);
static void settle_model_ (struct execution *execution,
                           const struct sr_backend_call *call,
                           const struct sr_backend_report *report,
                           int64_t bound);
static int64_t model_bound_ (const struct execution *execution);
static void answer_model_ (struct execution *execution, const struct sr_backend_report *report);

void
sr_execution_register_model_metrics_ (void)
{
  sr_counter_register (&resumed_total);
  sr_counter_register (&upper_bound_total);
}

/* Executes a request to a model: each attempt continues after the tokens received so far. */
void
sr_execution_run_model_ (struct execution *execution)
{
  while (try_model_once_ (execution))
    ;
}

/* Makes one attempt. Returns true when another one is to be made; otherwise the run has ended. */
static bool
try_model_once_ (struct execution *execution)
{
  int64_t bound = model_bound_ (execution);
  struct sr_backend_report report;
  struct sr_backend_call call;

  if (!sr_execution_reserve_ (execution, bound))
    return false;
  if (!sr_execution_take_slot_ (execution))
    {
      sr_budgets_settle (execution->dispatch->options.budgets, execution->reservation, 0);
      return false;
    }
  sr_execution_prepare_call_ (execution, &call);
  snprintf (execution->call_id, sizeof execution->call_id,
            "%s/%s/%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "u",
            execution->params->team->str, execution->params->id->str,
            execution->dispatch->options.settings->name->str,
            execution->dispatch->options.incarnation,
            (guint64)atomic_fetch_add (&execution->dispatch->next_attempt, 1));
  if (call.offset > 0)
    sr_counter_add (&resumed_total, 1);
  sr_backend_model.call (&call, &report);
  sr_execution_release_slot_ (execution, sr_execution_route_result_ (report.status), &report);
  settle_model_ (execution, &call, &report, bound);
  if (report.status == SR_BACKEND_ANSWERED)
    {
      answer_model_ (execution, &report);
      return false;
    }
  return sr_execution_after_failed_attempt_ (execution, report.status,
                                             sr_run_tokens (execution->run) > call.offset);
}

/* Settles the reservation with the tokens used: those that the backend server reported, those that
 * it confirmed on cancellation, or the upper bound when neither is known. */
static void
settle_model_ (struct execution *execution,
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
    case SR_BACKEND_TIMEOUT:
    case SR_BACKEND_STOPPED:
      execution->may_have_run = true;
      cancel.idle_timeout_s = 1;
      if (!sr_backend_model.cancel (&cancel, &used))
        sr_counter_add (&upper_bound_total, 1);
      break;
    }
  sr_budgets_settle (execution->dispatch->options.budgets, execution->reservation, used);
}

/* Returns the upper bound of tokens of the next attempt: the prompt, which may be prefilled again,
 * and the output that is still missing. */
static int64_t
model_bound_ (const struct execution *execution)
{
  int64_t bytes_per_token = MAX (execution->service->bytes_per_token_min, 1);
  int64_t prompt_bytes = (int64_t)execution->params->text->len;

  return (prompt_bytes + bytes_per_token - 1) / bytes_per_token + execution->params->max_tokens
         - sr_run_tokens (execution->run);
}

static void
answer_model_ (struct execution *execution, const struct sr_backend_report *report)
{
  struct sr_run_result result = { .outcome = SR_OUTCOME_ANSWERED,
                                  .prompt_tokens = report->prompt_tokens,
                                  .output_tokens = sr_run_tokens (execution->run) };

  result.billed_tokens = result.prompt_tokens + result.output_tokens;
  if (!sr_execution_record_bill_ (execution, &result))
    {
      result = (struct sr_run_result){ .outcome = SR_OUTCOME_UNKNOWN,
                                       .error = SR_ERROR_BILL_NOT_PLACED,
                                       .retry_after_ms = SR_EXECUTION_RETRY_AFTER_MS };
    }
  sr_execution_finish_ (execution, &result);
}
