/* The day at the start of an order key (YYYYMMDD-), and the time in which keys of that day are
 * accepted. It bounds how long claims have to be stored. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum sr_key_day_state
{
  SR_KEY_DAY_ACCEPTED,
  SR_KEY_DAY_FUTURE, /* has not begun in any time zone */
  SR_KEY_DAY_OVER,   /* has ended in all time zones */
  SR_KEY_DAY_MALFORMED
};

enum sr_key_day_state sr_key_day_state (const char *key, int64_t now_ms);
bool sr_key_day_is_removable (const char *key, int64_t now_ms);
