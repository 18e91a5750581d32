/* How many requests may be sent to a second backend server: a share of the requests, plus a fixed
 * number that all instances have together. Answers failures that come in crowds, where repeating
 * everything would double the load. No thread, socket or clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum
{
  GW_RETRY_SLOTS = 40 /* the window is counted in this many steps; the last one may be partial */
};

struct gw_retry_budget_options
{
  double ratio;   /* of the requests in the window */
  unsigned extra; /* in the window, for the whole fleet */
  int64_t window_us;
};

struct gw_retry_budget
{
  struct gw_retry_budget_options options;
  int64_t started_us; /* the process */
  int64_t step;       /* the current one */
  unsigned requests[GW_RETRY_SLOTS];
  unsigned repeats[GW_RETRY_SLOTS];
};

void gw_retry_budget_init (struct gw_retry_budget *budget,
                           const struct gw_retry_budget_options *options,
                           int64_t started_us,
                           int64_t now_us);
void gw_retry_budget_count_request (struct gw_retry_budget *budget, int64_t now_us);
bool gw_retry_budget_take (struct gw_retry_budget *budget, unsigned instances, int64_t now_us);
