/* The platform's list of instances, which lags. */
#pragma once

#include "member/member.h"

#include <glib.h>

bool sr_instance_list_parse (const char *text, size_t length, GArray *members);
