/* The platform's list of instances. It may lag behind the actual state. */
#pragma once

#include "member/member.h"

#include <glib.h>

bool sr_instance_list_parse (const char *text, size_t length, GArray *members);
