#include "config/follow.h"

enum
{
  PAUSE_MIN_US = 200000,
  PAUSE_MAX_US = 2000000,
  PERCENT = 100
};

static void note_failure_ (struct config_follow *follow, unsigned jitter_percent, int64_t now_us);

/* Records how a watch of the head object on the platform ended. JITTER_PERCENT (0 to 99) is random;
 * NOW_US is monotonic. After SR_PLATFORM_OK, which reports a new head, config_follow_note_head has
 * to be called as well, once the head was processed. */
void
config_follow_note_watch (struct config_follow *follow,
                          enum sr_platform_status status,
                          unsigned jitter_percent,
                          int64_t now_us)
{
  follow->peer_read_allowed = true;
  if (status == SR_PLATFORM_OK || status == SR_PLATFORM_UNCHANGED || status == SR_PLATFORM_ABSENT)
    {
      follow->platform_failed = false;
      follow->failures = 0;
      return;
    }
  note_failure_ (follow, jitter_percent, now_us);
}

/* Records the result of reading the parts of the head with VERSION. If a part could not be read,
 * the head is read again after a pause; a corrupt head is not read again. */
void
config_follow_note_head (struct config_follow *follow,
                         enum config_bundle_status status,
                         int64_t version,
                         unsigned jitter_percent,
                         int64_t now_us)
{
  if (status == CONFIG_BUNDLE_OK || status == CONFIG_BUNDLE_CORRUPT)
    follow->platform_version = version;
  else
    note_failure_ (follow, jitter_percent, now_us);
}

/* Records that REVISION came into force in this instance. */
void
config_follow_note_applied (struct config_follow *follow, int64_t revision)
{
  follow->revision = revision;
}

/* Records an attempt to read from a peer, successful or not. */
void
config_follow_note_peer_read (struct config_follow *follow)
{
  follow->peer_read_allowed = false;
}

/* Returns what to do next. PEERS_REVISION is the highest revision that a peer reports. Between two
 * watches of the platform, whatever their result, there is at most one attempt to read from a peer,
 * and only if PEERS_REVISION is higher than the revision in force. */
enum config_follow_action
config_follow_next (const struct config_follow *follow, int64_t peers_revision, int64_t now_us)
{
  if (follow->peer_read_allowed && peers_revision > follow->revision)
    return CONFIG_FOLLOW_READ_FROM_PEER;
  if (now_us < follow->pause_until_us)
    return CONFIG_FOLLOW_PAUSE;
  return CONFIG_FOLLOW_WATCH_PLATFORM;
}

/* Exponential back-off: the pause doubles with each consecutive failure. Up to half of it is taken
 * off at random, so that the instances of a fleet do not all retry at once. */
static void
note_failure_ (struct config_follow *follow, unsigned jitter_percent, int64_t now_us)
{
  int64_t pause_us = PAUSE_MIN_US;

  for (unsigned i = 0; i < follow->failures && pause_us < PAUSE_MAX_US; i++)
    pause_us *= 2;
  pause_us = MIN (pause_us, PAUSE_MAX_US);
  pause_us -= pause_us / 2 * jitter_percent / PERCENT;
  follow->platform_failed = true;
  follow->failures++;
  follow->pause_until_us = now_us + pause_us;
}
