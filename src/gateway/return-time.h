/* When a refused caller may return. Answers a load in which many callers are refused at the same
 * moment: they return when they are likely to be served, spread so that they do not meet again, and
 * early enough for the time they have left. No thread, socket or clock. */
#pragma once

#include <glib.h>
#include <stdint.h>

enum gw_return_cause
{
  GW_RETURN_ELSEWHERE, /* another instance has room now */
  GW_RETURN_PLACES,    /* places at backend servers free up all the time */
  GW_RETURN_PAUSE,     /* backend servers want nothing before a known time */
  GW_RETURN_OUTAGE     /* something is away, and perhaps nobody knows for how long */
};

struct gw_return_query
{
  enum gw_return_cause cause;
  int64_t answer_ms; /* GW_RETURN_PLACES: mean time of an answer */
  int64_t pause_ms;  /* GW_RETURN_PAUSE: until it is over */
  int64_t away_ms;   /* GW_RETURN_OUTAGE: since when it is away */
  int64_t opens_ms;  /* GW_RETURN_OUTAGE: until it is bridged; 0: nobody knows */
  int64_t left_ms;   /* of the caller's time; 0: not stated */
};

double gw_return_after_s (const struct gw_return_query *query, GRand *random);
