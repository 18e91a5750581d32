#include "order/key-day.h"

#include <glib.h>
#include <string.h>

enum
{
  DAY_DIGITS = 8,
  HOUR_MS = 3600 * 1000,
  /* Over all time zones (UTC+14 to UTC-12), a calendar day lasts from 14 hours before its start in
   * UTC to 12 hours after its end in UTC, which is 36 hours after its start. */
  EARLIEST_BEFORE_START_HOURS = 14,
  LATEST_AFTER_START_HOURS = 36,
  /* More than the clock difference between instances plus the longest duration of a claim (see
   * CLAIM_DURATION_MAX_S in order.c), so that no claim is removed while a write of its key can
   * still arrive. */
  REMOVAL_MARGIN_HOURS = 24
};

static bool day_start_ms_ (const char *key, int64_t *start_ms);

/* Returns whether KEY is accepted at NOW_MS (real time): while its day is the current date in any
 * time zone. */
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

/* Returns whether the claim of KEY may be removed at NOW_MS (real time): no instance accepts the
 * key any more, even if its clock is behind. False for a malformed key, which no instance can have
 * claimed. */
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
