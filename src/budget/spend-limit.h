/* A token-bucket limit on how fast a holder spends its grant, stored on the record. When the
 * holder's process is found to have ended, it bounds the tokens that may have been spent. A holder
 * can thus keep a large grant through an outage of the platform without losing it all in a crash.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* The time at which a process ended is not known. */
#define SR_TIME_UNKNOWN INT64_MAX

struct sr_spend_limit
{
  bool is_set;
  int64_t at_ms;    /* Unix time at which it was set, or earlier */
  int64_t since_us; /* when it was set, by the monotonic clock of the holder's process */
  int64_t base;     /* tokens of the grant that may be used from then on */
  int64_t after_us; /* time after which the limit rises */
  int64_t per_s;    /* tokens per second by which it rises */
};

int64_t sr_spend_limit_at_elapsed (const struct sr_spend_limit *limit, int64_t elapsed_us);
int64_t sr_spend_limit_at_time (const struct sr_spend_limit *limit, int64_t time_ms);
