#include "gateway/config-guard.h"

enum
{
  ANSWER_WAIT_US = 1000000 /* a round trip, and a repeat of one that was lost */
};

/* There are N_PEERS other instances, which are being asked. */
void
config_guard_note_peers (struct config_guard *guard, unsigned n_peers, int64_t now_us)
{
  if (guard->peers == CONFIG_GUARD_PEERS_ASKED)
    return;
  guard->peers = n_peers > 0 ? CONFIG_GUARD_PEERS_ASKED : CONFIG_GUARD_PEERS_NONE;
  guard->asked_us = now_us;
}

/* Another instance has VERSION in force; 0: none yet. Returns whether that is news. */
bool
config_guard_hear (struct config_guard *guard, int64_t version)
{
  if (version <= guard->version)
    return false;
  guard->version = version;
  return true;
}

/* Tells whether VERSION may be taken as the first one. A store that has never returned from a copy
 * shows none that is older than one in force. */
bool
config_guard_allows (const struct config_guard *guard,
                     bool store_has_returned,
                     int64_t version,
                     int64_t now_us)
{
  if (!store_has_returned)
    return true;
  if (guard->version > 0)
    return version >= guard->version;
  switch (guard->peers)
    {
    case CONFIG_GUARD_PEERS_NONE:
      return true;
    case CONFIG_GUARD_PEERS_ASKED:
      return now_us - guard->asked_us >= ANSWER_WAIT_US;
    case CONFIG_GUARD_PEERS_UNKNOWN:
      break;
    }
  return false;
}
