#include "gateway/stop.h"

enum
{
  BALANCER_NOTICE_MS = 3200, /* the balancer needs two failed probes, a second each */
  RETURN_TOKENS_MS = 400     /* reserved at the end for returning tokens */
};

/* Returns the step for STATE: serve until the balancer has moved the callers to peers, let running
 * requests finish, return the tokens, close what requests could still arrive on, end. Ends at the
 * limit in any case. */
enum gw_stop_step
gw_stop_next (const struct gw_stop_state *state)
{
  int64_t last_ms = state->limit_ms - GW_STOP_MARGIN_MS;

  if (state->elapsed_ms < BALANCER_NOTICE_MS)
    return GW_STOP_SERVE;
  if (!state->is_returning_tokens && state->elapsed_ms < last_ms - RETURN_TOKENS_MS
      && (state->requests > 0 || state->connections > 0))
    return GW_STOP_CLOSE_IDLE;
  if (!state->is_returning_tokens
      || (state->elapsed_ms < last_ms && (state->requests > 0 || state->has_tokens)))
    return GW_STOP_RETURN_TOKENS;
  if (state->elapsed_ms < last_ms
      && (state->is_listening || state->connections > 0 || state->finishing > 0))
    return GW_STOP_CLOSE_LISTENER;
  return GW_STOP_END;
}
