/* Outcome of a request, as reported to its caller. */
#pragma once

/* NOT_RUN applies to the request as a whole, not to one attempt: no byte of it can have reached
 * a backend server. UNKNOWN: it may have run. */
enum sr_outcome
{
  SR_OUTCOME_ANSWERED,
  SR_OUTCOME_NOT_RUN,
  SR_OUTCOME_UNKNOWN
};

const char *sr_outcome_to_string (enum sr_outcome outcome);
