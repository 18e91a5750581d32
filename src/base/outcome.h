/* What became of a request, as told to its caller. */
#pragma once

/* not run speaks of the request, not of one attempt: no byte of it can have reached a backend
 * server. */
enum sr_outcome
{
  SR_OUTCOME_ANSWERED,
  SR_OUTCOME_NOT_RUN,
  SR_OUTCOME_UNKNOWN
};

const char *sr_outcome_to_string (enum sr_outcome outcome);
