#include "gateway/stop.h"

enum
{
  BALANCER_NOTICE_MS = 3200, /* two questions of the balancer, a second each, go unanswered */
  HAND_BACK_MS = 400         /* for giving tokens back at the end */
};

/* Serves on until the balancer has moved the callers, then until what runs has ended, gives the
 * tokens back and ends; at the limit in any case. */
enum gw_stop_step
gw_stop_next (const struct gw_stop_state *state)
{
  int64_t last_ms = state->limit_ms - GW_STOP_MARGIN_MS;

  if (state->since_ms < BALANCER_NOTICE_MS)
    return GW_STOP_SERVE;
  if (!state->is_handing_back && state->since_ms < last_ms - HAND_BACK_MS
      && (state->requests > 0 || state->connections > 0))
    return GW_STOP_FINISH;
  if (!state->is_handing_back
      || (state->since_ms < last_ms && (state->requests > 0 || state->has_tokens)))
    return GW_STOP_HAND_BACK;
  return GW_STOP_END;
}
