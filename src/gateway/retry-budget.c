#include "gateway/retry-budget.h"

#include <glib.h>
#include <string.h>

/* Instances count by clocks and views of their own: they stay this far below the limit. */
static const double SAFETY = 0.75;

static int64_t step_at_ (const struct gw_retry_budget *budget, int64_t now_us);
static void advance_ (struct gw_retry_budget *budget, int64_t now_us);

/* Starts an empty window at NOW_US, in a process that started at STARTED_US. */
void
gw_retry_budget_init (struct gw_retry_budget *budget,
                      const struct gw_retry_budget_options *options,
                      int64_t started_us,
                      int64_t now_us)
{
  memset (budget, 0, sizeof *budget);
  budget->options = *options;
  budget->started_us = started_us;
  budget->step = step_at_ (budget, now_us);
}

/* Counts a request of a caller. */
void
gw_retry_budget_count_request (struct gw_retry_budget *budget, int64_t now_us)
{
  advance_ (budget, now_us);
  budget->requests[budget->step % GW_RETRY_SLOTS]++;
}

/* Takes one repeat, if the window has room for it; INSTANCES share the fixed part. A process that
 * has just started may have used it up before, so it goes without it for one window. */
bool
gw_retry_budget_take (struct gw_retry_budget *budget, unsigned instances, int64_t now_us)
{
  unsigned requests = 0;
  unsigned repeats = 0;
  double limit;

  advance_ (budget, now_us);
  for (unsigned i = 0; i < GW_RETRY_SLOTS; i++)
    {
      requests += budget->requests[i];
      repeats += budget->repeats[i];
    }
  limit = SAFETY * budget->options.ratio * requests;
  if (now_us - budget->started_us >= budget->options.window_us)
    limit += SAFETY * budget->options.extra / MAX (instances, 1U);
  if (repeats + 1 > limit)
    return false;
  budget->repeats[budget->step % GW_RETRY_SLOTS]++;
  return true;
}

/* Forgets what has left the window. */
static void
advance_ (struct gw_retry_budget *budget, int64_t now_us)
{
  int64_t step = step_at_ (budget, now_us);

  for (int64_t at = MAX (budget->step + 1, step - GW_RETRY_SLOTS + 1); at <= step; at++)
    {
      budget->requests[at % GW_RETRY_SLOTS] = 0;
      budget->repeats[at % GW_RETRY_SLOTS] = 0;
    }
  budget->step = MAX (budget->step, step);
}

/* All steps but the current one make up a whole window. */
static int64_t
step_at_ (const struct gw_retry_budget *budget, int64_t now_us)
{
  return now_us / (budget->options.window_us / (GW_RETRY_SLOTS - 1));
}
