/* Structured log on stderr, one JSON object per line, for changes of state only. Request events
 * go to event-log.h. */
#pragma once

#include <glib.h>

void sr_log_init (const char *instance);
void sr_log (GLogLevelFlags level, const char *event, const char *format, ...) G_GNUC_PRINTF (3, 4);
