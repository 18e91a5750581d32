/* The life of one instance: from its start to the end of its graceful shutdown. */
#pragma once

#include "settings/settings.h"

int
sr_serve (const struct sr_settings *settings);
