/* Runs one instance from start to graceful stop. */
#pragma once

#include "settings/settings.h"

int sr_serve (const struct sr_settings *settings);
