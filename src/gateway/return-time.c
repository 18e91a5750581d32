#include "gateway/return-time.h"

#include <stdbool.h>

enum
{
  ELSEWHERE_MS = 15,    /* a connection to another instance takes as long */
  PLACES_LEAST_MS = 50, /* a round trip and the choice anew */
  PLACES_MOST_MS = 1000,
  OUTAGE_LEAST_MS = 250,
  OUTAGE_MOST_MS = 8000,       /* outages that last longer are asked about as often */
  OPENS_SPREAD_DIVISOR = 3,    /* of the time until an outage is bridged: spread after it */
  OPENS_SPREAD_LEAST_MS = 100, /* the same at least */
  LEFT_DIVISOR = 3 /* callers wait for a third of the time that they have left at most */
};

static const double MS_PER_S = 1000;

static bool is_bridged_in_time_ (const struct gw_return_query *query, int64_t patience_ms);
static int64_t earliest_ms_ (const struct gw_return_query *query);

/* Returns the seconds after which the caller of QUERY may return. What is known not to be over
 * before a time is never promised sooner; else the caller's time bounds the wait. */
double
gw_return_after_s (const struct gw_return_query *query, GRand *random)
{
  int64_t earliest_ms = earliest_ms_ (query);
  int64_t latest_ms = 2 * earliest_ms;
  int64_t patience_ms = MAX (query->left_ms / LEFT_DIVISOR, 1);

  if (is_bridged_in_time_ (query, patience_ms))
    {
      earliest_ms = query->opens_ms;
      latest_ms = earliest_ms + MAX (earliest_ms / OPENS_SPREAD_DIVISOR, OPENS_SPREAD_LEAST_MS);
      if (query->left_ms > 0)
        latest_ms = MIN (latest_ms, patience_ms);
    }
  else if (query->left_ms > 0 && query->cause == GW_RETURN_OUTAGE)
    {
      /* A caller has few tries: it had better use them late, when more outages are over. */
      latest_ms = patience_ms;
      earliest_ms = patience_ms / 2;
    }
  else if (query->left_ms > 0 && query->cause != GW_RETURN_PAUSE)
    {
      /* Half of the spread stays, also for callers with little time. */
      latest_ms = MIN (latest_ms, patience_ms);
      earliest_ms = MIN (earliest_ms, latest_ms / 2);
    }
  return ((double)earliest_ms + g_rand_double (random) * (double)(latest_ms - earliest_ms))
         / MS_PER_S;
}

/* Tells whether the caller can wait until the outage is bridged. */
static bool
is_bridged_in_time_ (const struct gw_return_query *query, int64_t patience_ms)
{
  return query->cause == GW_RETURN_OUTAGE && query->opens_ms > 0
         && (query->left_ms <= 0 || query->opens_ms < patience_ms);
}

static int64_t
earliest_ms_ (const struct gw_return_query *query)
{
  switch (query->cause)
    {
    case GW_RETURN_PAUSE:
      return MAX (query->pause_ms, 1);
    case GW_RETURN_PLACES:
      return CLAMP (query->answer_ms / 2, PLACES_LEAST_MS, PLACES_MOST_MS);
    case GW_RETURN_OUTAGE:
      /* What has been away for a time is likely to stay away for as long again. */
      return CLAMP (query->away_ms / 2, OUTAGE_LEAST_MS, OUTAGE_MOST_MS);
    case GW_RETURN_ELSEWHERE:
    default:
      return ELSEWHERE_MS;
    }
}
