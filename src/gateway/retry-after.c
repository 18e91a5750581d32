#include "gateway/retry-after.h"

#include <stdbool.h>

enum
{
  ELSEWHERE_MS = 15, /* time to connect to a peer */
  SLOTS_MIN_MS = 50, /* a round trip and a new placement */
  SLOTS_MAX_MS = 1000,
  OUTAGE_MIN_MS = 250,
  OUTAGE_MAX_MS = 8000, /* the earliest retry grows no further in a longer outage */
  AVAILABLE_SPREAD_DIVISOR
  = 3, /* retries are spread over a third of the time until tokens are available */
  AVAILABLE_SPREAD_MIN_MS = 100,
  WAIT_DIVISOR = 3 /* callers wait a third of the time until their deadline at most */
};

static const double MS_PER_S = 1000;

static bool is_available_in_time_ (const struct gw_retry_after_query *query, int64_t max_wait_ms);
static int64_t earliest_ms_ (const struct gw_retry_after_query *query);

/* Returns the seconds after which the caller of QUERY should retry, spread by chance. It is never
 * earlier than the end of a pause, or than the known end of an outage for which the caller can
 * wait. Otherwise the caller's deadline bounds it. */
double
gw_retry_after_s (const struct gw_retry_after_query *query, GRand *random)
{
  int64_t earliest_ms = earliest_ms_ (query);
  int64_t latest_ms = 2 * earliest_ms;
  int64_t max_wait_ms = MAX (query->remaining_ms / WAIT_DIVISOR, 1);

  if (is_available_in_time_ (query, max_wait_ms))
    {
      earliest_ms = query->available_in_ms;
      latest_ms
          = earliest_ms + MAX (earliest_ms / AVAILABLE_SPREAD_DIVISOR, AVAILABLE_SPREAD_MIN_MS);
      if (query->remaining_ms > 0)
        latest_ms = MIN (latest_ms, max_wait_ms);
    }
  else if (query->remaining_ms > 0 && query->cause == GW_RETRY_AFTER_OUTAGE)
    {
      /* Callers retry only a few times; the later a retry, the more likely the outage has ended. */
      latest_ms = max_wait_ms;
      earliest_ms = max_wait_ms / 2;
    }
  else if (query->remaining_ms > 0 && query->cause != GW_RETRY_AFTER_PAUSE)
    {
      /* At least half of the spread remains, also before a close deadline. */
      latest_ms = MIN (latest_ms, max_wait_ms);
      earliest_ms = MIN (earliest_ms, latest_ms / 2);
    }
  return ((double)earliest_ms + g_rand_double (random) * (double)(latest_ms - earliest_ms))
         / MS_PER_S;
}

/* Returns whether tokens become available without the store while the caller can still wait. */
static bool
is_available_in_time_ (const struct gw_retry_after_query *query, int64_t max_wait_ms)
{
  return query->cause == GW_RETRY_AFTER_OUTAGE && query->available_in_ms > 0
         && (query->remaining_ms <= 0 || query->available_in_ms < max_wait_ms);
}

static int64_t
earliest_ms_ (const struct gw_retry_after_query *query)
{
  switch (query->cause)
    {
    case GW_RETRY_AFTER_PAUSE:
      return MAX (query->pause_ms, 1);
    case GW_RETRY_AFTER_BUSY:
      return CLAMP (query->response_ms / 2, SLOTS_MIN_MS, SLOTS_MAX_MS);
    case GW_RETRY_AFTER_OUTRANKED:
      return MAX (query->outranked_ms, SLOTS_MIN_MS);
    case GW_RETRY_AFTER_OUTAGE:
      /* An outage is likely to last as long again as it has lasted so far. */
      return CLAMP (query->outage_ms / 2, OUTAGE_MIN_MS, OUTAGE_MAX_MS);
    case GW_RETRY_AFTER_ELSEWHERE:
    default:
      return ELSEWHERE_MS;
    }
}
