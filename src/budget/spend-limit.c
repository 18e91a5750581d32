#include "budget/spend-limit.h"

#include <glib.h>

static const int64_t US_PER_S = 1000000;
static const int64_t US_PER_MS = 1000;
static const int64_t ELAPSED_MAX_US
    = INT64_C (86400000000); /* one day, after which no limit applies */

/* Returns the tokens that LIMIT allows to be used ELAPSED_US after it was set; INT64_MAX when it is
 * not set, or set more than a day ago. */
int64_t
sr_spend_limit_at_elapsed (const struct sr_spend_limit *limit, int64_t elapsed_us)
{
  int64_t more;

  if (!limit->is_set || elapsed_us > ELAPSED_MAX_US
      || __builtin_mul_overflow (limit->per_s, MAX (elapsed_us - limit->after_us, 0), &more)
      || __builtin_add_overflow (more / US_PER_S, limit->base, &more))
    return INT64_MAX;
  return more;
}

/* Returns the most tokens that a holder that kept LIMIT can have used until TIME_MS, a Unix time or
 * an upper bound of it. INT64_MAX when the time is SR_TIME_UNKNOWN, or before the limit was set. */
int64_t
sr_spend_limit_at_time (const struct sr_spend_limit *limit, int64_t time_ms)
{
  int64_t elapsed_ms;

  if (!limit->is_set || time_ms == SR_TIME_UNKNOWN || time_ms < limit->at_ms
      || __builtin_sub_overflow (time_ms, limit->at_ms, &elapsed_ms)
      || elapsed_ms > ELAPSED_MAX_US / US_PER_MS)
    return INT64_MAX;
  return sr_spend_limit_at_elapsed (limit, elapsed_ms * US_PER_MS);
}
