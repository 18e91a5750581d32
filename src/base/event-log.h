/* Structured log on standard output: one JSON object a line, written by a thread of its own so that
 * a slow reader never stops the caller. Volume is bounded; what is left out is counted. */
#pragma once

#include <stdbool.h>

enum sr_event_level
{
  SR_EVENT_INFO,   /* the usual course; left out first */
  SR_EVENT_FAILURE /* a request that was not answered with success, a lost dependency */
};

bool sr_event_log_start (const char *instance);
void sr_event_log_stop (void);
void sr_event (enum sr_event_level level, const char *event, const char *format, ...);
