/* Decides where the next configuration is read from, the platform or a peer: a state machine
 * without threads, I/O or clock. Internal to src/config. */
#pragma once

#include "config/bundle.h"

#include <stdbool.h>
#include <stdint.h>

enum config_follow_action
{
  CONFIG_FOLLOW_WATCH_PLATFORM,
  CONFIG_FOLLOW_READ_FROM_PEER,
  CONFIG_FOLLOW_PAUSE
};

struct config_follow
{
  int64_t revision;         /* of the configuration in force */
  int64_t platform_version; /* of the last head object that was processed, see sr_platform_watch */
  bool platform_failed;     /* whether the last call of the platform failed */
  bool peer_read_allowed;   /* a peer may be read from before the next watch */
  unsigned failures;        /* consecutive failures of the platform */
  int64_t pause_until_us;   /* monotonic: no call of the platform before */
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
void config_follow_note_peer_read (struct config_follow *follow);
enum config_follow_action
config_follow_next (const struct config_follow *follow, int64_t peers_revision, int64_t now_us);
