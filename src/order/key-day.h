/* The day that an order's key begins with, and how long keys of that day are accepted. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum sr_key_day_state
{
  SR_KEY_DAY_ACCEPTED,
  SR_KEY_DAY_FUTURE,
  SR_KEY_DAY_OVER,
  SR_KEY_DAY_MALFORMED
};

enum sr_key_day_state sr_key_day_state (const char *key, int64_t now_ms);
bool sr_key_day_is_removable (const char *key, int64_t now_ms);
