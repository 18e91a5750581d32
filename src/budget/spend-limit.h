/* A promise about how fast a holder spends its grant, in the manner of a token bucket. Whoever
 * finds that the holder's process has ended can tell from it what may have been spent at most, so
 * that a large grant may be held through an outage of the platform and is not lost in a crash. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* For a time that nobody can vouch for. */
#define SR_TIME_UNKNOWN INT64_MAX

struct sr_spend_limit
{
  bool is_set;
  int64_t at_ms;    /* real time of the promise, or earlier */
  int64_t since_us; /* when it was made, by the steady clock of the holder's process */
  int64_t base;     /* tokens of the grant that may be in use from then on */
  int64_t after_us; /* time after which more may be, */
  int64_t per_s;    /* and how many with each second */
};

int64_t sr_spend_limit_at_elapsed (const struct sr_spend_limit *limit, int64_t elapsed_us);
int64_t sr_spend_limit_at_time (const struct sr_spend_limit *limit, int64_t time_ms);
