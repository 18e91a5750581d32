#include "dispatch/perform-private.h"

#include "base/counters.h"

#include <stdio.h>

static struct sr_counter resumed_total
    = { .name = "attempts_resumed_total", .help = "Calls that went on with an answer cut before." };
static struct sr_counter upper_bound_total
    = { .name = "attempts_settled_at_upper_bound_total",
        .help = "Calls whose use of tokens is not known and was settled at its upper bound." };

static bool try_model_once_ (struct performance *p);
static void settle_model_ (struct performance *p,
                           const struct sr_backend_call *call,
                           const struct sr_backend_report *report,
                           int64_t bound);
static int64_t model_bound_ (const struct performance *p);
static void answer_model_ (struct performance *p, const struct sr_backend_report *report);

/* Registers the counters of this file. */
void
sr_perform_model_register_ (void)
{
  sr_counter_register (&resumed_total);
  sr_counter_register (&upper_bound_total);
}

/* Carries out a request to a model: attempts that each go on from the tokens gained before. */
void
sr_perform_model_ (struct performance *p)
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

  if (!sr_perform_reserve_ (p, bound))
    return false;
  if (!sr_perform_take_place_ (p))
    {
      sr_budgets_settle (p->dispatch->options.budgets, p->reservation, 0);
      return false;
    }
  sr_perform_prepare_call_ (p, &call);
  snprintf (
      p->call_id, sizeof p->call_id, "%s/%s/%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "u",
      p->order->team->str, p->order->request->str, p->dispatch->options.settings->name->str,
      p->dispatch->options.incarnation, (guint64)atomic_fetch_add (&p->dispatch->next_attempt, 1));
  if (call.offset > 0)
    sr_counter_add (&resumed_total, 1);
  sr_backend_model.call (&call, &report);
  sr_perform_give_up_place_ (p, sr_perform_route_result_ (report.status), &report);
  settle_model_ (p, &call, &report, bound);
  if (report.status == SR_BACKEND_ANSWERED)
    {
      answer_model_ (p, &report);
      return false;
    }
  return sr_perform_after_failed_attempt_ (p, report.status, sr_run_tokens (p->run) > call.offset);
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
  if (!sr_perform_place_bill_ (p, &result))
    {
      result = (struct sr_run_result){ .outcome = SR_OUTCOME_UNKNOWN,
                                       .error = SR_ERROR_BILL_NOT_PLACED,
                                       .retry_after_ms = SR_PERFORM_RETRY_LATER_MS };
    }
  sr_perform_finish_ (p, &result);
}
