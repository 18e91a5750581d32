#include "gateway/retry-budget.h"

#include <glib.h>
#include <string.h>

/* Share of the limit that is used, as instances differ in clocks and in the peers they see. */
static const double SAFETY_FACTOR = 0.75;

static int64_t step_at_ (const struct gw_retry_budget *budget, int64_t now_us);
static void advance_ (struct gw_retry_budget *budget, int64_t now_us);

/* Starts an empty window at NOW_US; the process has started at STARTED_US. */
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

void
gw_retry_budget_count_request (struct gw_retry_budget *budget, int64_t now_us)
{
  advance_ (budget, now_us);
  budget->requests[budget->step % GW_RETRY_STEPS]++;
}

/* Takes one retry from the budget. Returns false when it is used up. INSTANCES share the fixed
 * part; while their number is unknown (0) there is none. A process has no fixed part for one window
 * after its start, as it may have used it up before a restart. */
bool
gw_retry_budget_take (struct gw_retry_budget *budget, unsigned instances, int64_t now_us)
{
  unsigned requests = 0;
  unsigned retries = 0;
  double limit;

  advance_ (budget, now_us);
  for (unsigned i = 0; i < GW_RETRY_STEPS; i++)
    {
      requests += budget->requests[i];
      retries += budget->retries[i];
    }
  limit = SAFETY_FACTOR * budget->options.ratio * requests;
  if (instances > 0 && now_us - budget->started_us >= budget->options.window_us)
    limit += SAFETY_FACTOR * budget->options.extra / instances;
  if (retries + 1 > limit)
    return false;
  budget->retries[budget->step % GW_RETRY_STEPS]++;
  return true;
}

/* The fleet has INSTANCES instances from now on. */
void
gw_fleet_size_note (struct gw_fleet_size *size,
                    unsigned instances,
                    int64_t window_us,
                    int64_t now_us)
{
  if (instances < size->current)
    {
      size->before = gw_fleet_size_recent (size, now_us);
      size->before_until_us = now_us + window_us;
    }
  size->current = instances;
}

/* Returns the largest number of instances of the last window, 0 if it is not known. */
unsigned
gw_fleet_size_recent (const struct gw_fleet_size *size, int64_t now_us)
{
  return now_us < size->before_until_us ? MAX (size->before, size->current) : size->current;
}

/* Clears the counters of steps that have left the window. */
static void
advance_ (struct gw_retry_budget *budget, int64_t now_us)
{
  int64_t step = step_at_ (budget, now_us);

  for (int64_t at = MAX (budget->step + 1, step - GW_RETRY_STEPS + 1); at <= step; at++)
    {
      budget->requests[at % GW_RETRY_STEPS] = 0;
      budget->retries[at % GW_RETRY_STEPS] = 0;
    }
  budget->step = MAX (budget->step, step);
}

/* All steps but the current one make up a whole window. */
static int64_t
step_at_ (const struct gw_retry_budget *budget, int64_t now_us)
{
  return now_us / (budget->options.window_us / (GW_RETRY_STEPS - 1));
}
