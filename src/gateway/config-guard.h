/* Whether an instance that has just started may use the configuration that the store shows. After a
 * return of the store from a copy that may be an older one than is in force, with keys that have
 * been withdrawn since: other instances know. Once one has been taken, versions never go back by
 * themselves, and the guard is done. No thread, socket or clock. */
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
  int64_t asked_us; /* when other instances were asked for their version */
  int64_t version;  /* the highest one that was heard; 0: none */
};

void config_guard_note_peers (struct config_guard *guard, unsigned n_peers, int64_t now_us);
bool config_guard_hear (struct config_guard *guard, int64_t version);
bool config_guard_allows (const struct config_guard *guard,
                          bool store_has_returned,
                          int64_t version,
                          int64_t now_us);
