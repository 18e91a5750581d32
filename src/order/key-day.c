#include "order/key-day.h"

#include <glib.h>
#include <string.h>

enum
{
  DAY_DIGITS = 8,
  HOUR_MS = 3600 * 1000,
  /* A calendar day lasts, somewhere on Earth, from 14 hours before it begins in UTC until 12 hours
   * after it ends there. */
  EARLIEST_BEFORE_START_HOURS = 14,
  LATEST_AFTER_START_HOURS = 36,
  /* Longer than clocks of instances differ, and than a claim may take (see order.c). */
  REMOVAL_MARGIN_HOURS = 24
};

static bool day_start_ms_ (const char *key, int64_t *start_ms);

/* Tells whether KEY, which begins with `YYYYMMDD-`, is accepted at NOW_MS (real time,
 * milliseconds): as long as its day is the date of any time zone. */
enum sr_key_day_state
sr_key_day_state (const char *key, int64_t now_ms)
{
  int64_t start_ms;

  if (!day_start_ms_ (key, &start_ms))
    return SR_KEY_DAY_MALFORMED;
  if (now_ms < start_ms - (int64_t)EARLIEST_BEFORE_START_HOURS * HOUR_MS)
    return SR_KEY_DAY_FUTURE;
  if (now_ms >= start_ms + (int64_t)LATEST_AFTER_START_HOURS * HOUR_MS)
    return SR_KEY_DAY_OVER;
  return SR_KEY_DAY_ACCEPTED;
}

/* Tells whether the claim of KEY may be removed at NOW_MS: no instance can accept the key any more,
 * not even one whose clock is late. A malformed key was never claimed, and is left alone. */
bool
sr_key_day_is_removable (const char *key, int64_t now_ms)
{
  int64_t margin_ms = (int64_t)REMOVAL_MARGIN_HOURS * HOUR_MS;

  return sr_key_day_state (key, now_ms - margin_ms) == SR_KEY_DAY_OVER;
}

static bool
day_start_ms_ (const char *key, int64_t *start_ms)
{
  unsigned digits[DAY_DIGITS];
  g_autoptr (GDateTime) start = NULL;

  for (int i = 0; i < DAY_DIGITS; i++)
    {
      if (!g_ascii_isdigit (key[i]))
        return false;
      digits[i] = (unsigned)(key[i] - '0');
    }
  if (key[DAY_DIGITS] != '-')
    return false;
  start = g_date_time_new_utc (
      (int)(digits[0] * 1000 + digits[1] * 100 + digits[2] * 10 + digits[3]),
      (int)(digits[4] * 10 + digits[5]), (int)(digits[6] * 10 + digits[7]), 0, 0, 0);
  if (start == NULL)
    return false;
  *start_ms = g_date_time_to_unix (start) * 1000;
  return true;
}
