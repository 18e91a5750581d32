/* Structured log lines on stderr, one JSON object a line, for changes of state only. */
#pragma once

#include <glib.h>

void sr_log_init (const char *instance);
void sr_log (GLogLevelFlags level, const char *event, const char *format, ...) G_GNUC_PRINTF (3, 4);
