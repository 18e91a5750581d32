/* What a stopping instance does next. Answers a stop under load, with callers that keep their
 * connections and a store that may be slow: tokens go back before the process ends. No thread,
 * socket or clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum
{
  GW_STOP_MARGIN_MS = 300 /* between the last thing that is waited for and the end by force */
};

enum gw_stop_step
{
  GW_STOP_SERVE,     /* callers may still come here */
  GW_STOP_FINISH,    /* no idle connection is kept */
  GW_STOP_HAND_BACK, /* tokens go back, what runs goes on */
  GW_STOP_END
};

struct gw_stop_state
{
  int64_t since_ms;
  int64_t limit_ms; /* after it the process would be killed */
  unsigned requests;
  unsigned connections;
  bool is_handing_back;
  bool has_tokens; /* some have to go back, or calls for that are out */
};

enum gw_stop_step gw_stop_next (const struct gw_stop_state *state);
