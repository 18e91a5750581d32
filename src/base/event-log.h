/* Structured log on standard output, one JSON object per line. A separate thread writes it, so
 * that a slow reader never blocks the caller. The volume is limited; dropped lines are counted. */
#pragma once

#include <stdbool.h>

enum sr_event_level
{
  SR_EVENT_INFO,   /* normal operation; dropped first */
  SR_EVENT_WARNING /* a failed request, a lost dependency; level "warning" */
};

bool sr_event_log_start (const char *instance);
void sr_event_log_stop (void);
void sr_event (enum sr_event_level level, const char *event, const char *format, ...);
