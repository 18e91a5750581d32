/* An entry instance from its settings to its planned stop. */
#pragma once

#include "settings/settings.h"

int sr_serve (const struct sr_settings *settings);
