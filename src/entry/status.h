/* What GET /status tells of an instance. */
#pragma once

#include <glib.h>

void sr_status_print (GString *out, void *instance);
