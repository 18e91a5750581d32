/* Retry-after: when a refused caller should retry. Many callers may be refused at the same moment;
 * they retry when they are likely to be served, spread so that they do not all arrive together
 * again, and before their deadlines. No thread, socket or clock. */
#pragma once

#include <glib.h>
#include <stdint.h>

enum gw_retry_after_cause
{
  GW_RETRY_AFTER_ELSEWHERE, /* a peer has capacity now */
  GW_RETRY_AFTER_BUSY,      /* slots of backend servers become free all the time */
  GW_RETRY_AFTER_PAUSE,     /* backend servers accept no requests before a known time */
  GW_RETRY_AFTER_OUTRANKED, /* servers have too little capacity for all, for an unknown time */
  GW_RETRY_AFTER_OUTAGE     /* something is unreachable, often for an unknown time */
};

struct gw_retry_after_query
{
  enum gw_retry_after_cause cause;
  int64_t response_ms;     /* GW_RETRY_AFTER_BUSY: mean time of a response; 0: unknown */
  int64_t pause_ms;        /* GW_RETRY_AFTER_PAUSE: remaining time of the pause */
  int64_t outranked_ms;    /* GW_RETRY_AFTER_OUTRANKED: earliest time, without a deadline */
  int64_t outage_ms;       /* GW_RETRY_AFTER_OUTAGE: its duration so far */
  int64_t available_in_ms; /* GW_RETRY_AFTER_OUTAGE: until tokens are available without the store;
                              0: unknown */
  int64_t remaining_ms;    /* until the caller's deadline; 0 or less: not stated */
};

double gw_retry_after_s (const struct gw_retry_after_query *query, GRand *random);
