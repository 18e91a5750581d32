/* Response body of GET /status. */
#pragma once

#include <glib.h>

void sr_status_print (GString *out, void *instance);
