#include "config/follow.h"

enum
{
  PAUSE_FIRST_US = 200000,
  PAUSE_LAST_US = 2000000,
  PERCENT = 100
};

static void note_failure_ (struct config_follow *follow, unsigned jitter_percent, int64_t now_us);

/* Notes how a watch of the platform's head ended. JITTER_PERCENT (0 to 99) is random; NOW_US is
 * monotonic. News are noted with config_follow_note_head as well, once they were dealt with. */
void
config_follow_note_watch (struct config_follow *follow,
                          enum sr_platform_status status,
                          unsigned jitter_percent,
                          int64_t now_us)
{
  follow->peer_due = true;
  if (status == SR_PLATFORM_OK || status == SR_PLATFORM_UNCHANGED || status == SR_PLATFORM_ABSENT)
    {
      follow->platform_failed = false;
      follow->failures = 0;
      return;
    }
  note_failure_ (follow, jitter_percent, now_us);
}

/* Notes what became of the head of VERSION: read whole, or why not. A head that could not be read
 * whole is looked at again after a pause; a corrupt one is not. */
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

/* Notes that REVISION came into force here. */
void
config_follow_note_applied (struct config_follow *follow, int64_t revision)
{
  follow->revision = revision;
}

/* Notes that a peer was asked, whatever it answered. */
void
config_follow_note_peer (struct config_follow *follow)
{
  follow->peer_due = false;
}

/* Returns what to do next. PEERS_REVISION is the highest that a peer is said to have. A peer is
 * asked when it is said to have more than the platform showed in its last answer, or when the
 * platform does not answer. */
enum config_follow_action
config_follow_next (const struct config_follow *follow, int64_t peers_revision, int64_t now_us)
{
  if (follow->peer_due && peers_revision > follow->revision)
    return CONFIG_FOLLOW_ASK_PEER;
  if (now_us < follow->pause_until_us)
    return CONFIG_FOLLOW_PAUSE;
  return CONFIG_FOLLOW_WATCH_PLATFORM;
}

/* The pause doubles with each failure in a row, less up to half of it, so that a fleet does not
 * come back all at once. */
static void
note_failure_ (struct config_follow *follow, unsigned jitter_percent, int64_t now_us)
{
  int64_t pause_us = PAUSE_FIRST_US;

  for (unsigned i = 0; i < follow->failures && pause_us < PAUSE_LAST_US; i++)
    pause_us *= 2;
  pause_us = MIN (pause_us, PAUSE_LAST_US);
  pause_us -= pause_us / 2 * jitter_percent / PERCENT;
  follow->platform_failed = true;
  follow->failures++;
  follow->pause_until_us = now_us + pause_us;
}
