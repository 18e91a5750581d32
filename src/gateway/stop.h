/* Steps of stopping an instance under load, with callers that keep their connections and a store
 * that may be slow: unused tokens are returned before the process ends, and it ends only when no
 * further request can be read. No thread, socket or clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum
{
  GW_STOP_MARGIN_MS = 300 /* between the end of the last step and limit_ms */
};

enum gw_stop_step
{
  GW_STOP_SERVE,          /* callers may still connect */
  GW_STOP_CLOSE_IDLE,     /* idle connections are closed, running requests finish */
  GW_STOP_RETURN_TOKENS,  /* unused tokens are returned, running requests go on */
  GW_STOP_CLOSE_LISTENER, /* no further connection is accepted, open ones end */
  GW_STOP_END             /* of the process; what is left is cut */
};

struct gw_stop_state
{
  int64_t elapsed_ms;   /* since the stop was requested */
  int64_t limit_ms;     /* from the stop request until the process is killed */
  unsigned requests;    /* in progress, and answered ones whose bytes are not all sent */
  unsigned connections; /* of callers */
  unsigned finishing;   /* finished connections whose callers may not have got all bytes yet */
  bool is_returning_tokens;
  bool is_listening;
  bool has_tokens; /* some are to be returned, or store calls for that are pending */
};

enum gw_stop_step gw_stop_next (const struct gw_stop_state *state);
