/* Decides whether an instance that has just started may apply the store's configuration. After a
 * restore of the store from an older copy, that configuration may be older than the one in force
 * and still accept revoked keys, so the instance first asks its peers for their version. Once a
 * configuration is applied, an older version is refused anyway, and the guard is no longer needed.
 * No thread, socket or clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum config_guard_peers
{
  CONFIG_GUARD_PEERS_UNKNOWN,
  CONFIG_GUARD_PEERS_NONE,
  CONFIG_GUARD_PEERS_ASKED
};

struct config_guard
{
  enum config_guard_peers peers;
  int64_t asked_us; /* when peers were asked for their version */
  int64_t version;  /* the highest one received from peers; 0: none */
};

void config_guard_note_peers (struct config_guard *guard, unsigned n_peers, int64_t now_us);
bool config_guard_note_version (struct config_guard *guard, int64_t version);
bool config_guard_allows (const struct config_guard *guard,
                          bool store_was_restored,
                          int64_t version,
                          int64_t now_us);
