/* Retry budget: how many requests may be sent to a second backend server within a sliding window,
 * as a share of all requests plus a fixed number for the whole fleet. When many requests fail at
 * once, retrying all of them would double the load. No thread, socket or clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum
{
  GW_RETRY_STEPS = 40 /* counters of the window; all but the current one make up a whole window */
};

struct gw_retry_budget_options
{
  double ratio;   /* retries per request in the window */
  unsigned extra; /* further retries in the window, for the whole fleet */
  int64_t window_us;
};

/* The number of instances that share the fixed part. Those that have left may have used their share
 * within the window, so a smaller number counts only once the window is over. */
struct gw_fleet_size
{
  unsigned current; /* 0: not known yet */
  unsigned before;  /* the largest number of the last window */
  int64_t before_until_us;
};

struct gw_retry_budget
{
  struct gw_retry_budget_options options;
  int64_t started_us; /* when the process started */
  int64_t step;       /* number of the current one */
  unsigned requests[GW_RETRY_STEPS];
  unsigned retries[GW_RETRY_STEPS];
};

void gw_retry_budget_init (struct gw_retry_budget *budget,
                           const struct gw_retry_budget_options *options,
                           int64_t started_us,
                           int64_t now_us);
void gw_retry_budget_count_request (struct gw_retry_budget *budget, int64_t now_us);
bool gw_retry_budget_take (struct gw_retry_budget *budget, unsigned instances, int64_t now_us);
void gw_fleet_size_note (struct gw_fleet_size *size,
                         unsigned instances,
                         int64_t window_us,
                         int64_t now_us);
unsigned gw_fleet_size_recent (const struct gw_fleet_size *size, int64_t now_us);
