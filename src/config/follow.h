/* Decides where the next configuration is looked for: a state machine without thread, socket or
 * clock. Private to this slice. */
#pragma once

#include "config/bundle.h"

#include <stdbool.h>
#include <stdint.h>

enum config_follow_action
{
  CONFIG_FOLLOW_WATCH_PLATFORM,
  CONFIG_FOLLOW_ASK_PEER,
  CONFIG_FOLLOW_PAUSE
};

struct config_follow
{
  int64_t revision;         /* in force here */
  int64_t platform_version; /* of the newest head that was dealt with */
  bool platform_failed;     /* its last call */
  bool peer_due;     /* the platform had no news: a peer may be asked before the next watch */
  unsigned failures; /* of the platform, in a row */
  int64_t pause_until_us;
};

void config_follow_note_watch (struct config_follow *follow,
                               enum sr_platform_status status,
                               unsigned jitter_percent,
                               int64_t now_us);
void config_follow_note_head (struct config_follow *follow,
                              enum config_bundle_status status,
                              int64_t version,
                              unsigned jitter_percent,
                              int64_t now_us);
void config_follow_note_applied (struct config_follow *follow, int64_t revision);
void config_follow_note_peer (struct config_follow *follow);
enum config_follow_action
config_follow_next (const struct config_follow *follow, int64_t peers_revision, int64_t now_us);
