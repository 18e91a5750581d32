#include "gateway/config-guard.h"

enum
{
  RESPONSE_WAIT_US = 1000000 /* a round trip, and a repetition of a lost one */
};

/* Notes that there are N_PEERS and that they are asked for their version now. Once peers are asked,
 * further calls change nothing. */
void
config_guard_note_peers (struct config_guard *guard, unsigned n_peers, int64_t now_us)
{
  if (guard->peers == CONFIG_GUARD_PEERS_ASKED)
    return;
  guard->peers = n_peers > 0 ? CONFIG_GUARD_PEERS_ASKED : CONFIG_GUARD_PEERS_NONE;
  guard->asked_us = now_us;
}

/* Notes that a peer has VERSION in force; 0: none yet. Returns whether it is the highest so
 * far. */
bool
config_guard_note_version (struct config_guard *guard, int64_t version)
{
  if (version <= guard->version)
    return false;
  guard->version = version;
  return true;
}

/* Returns whether VERSION may be applied as the first one. A store that was never restored has no
 * version older than the one in force. After a restore, VERSION must be at least the highest one of
 * the peers; it is also allowed when there are no peers or none has responded. */
bool
config_guard_allows (const struct config_guard *guard,
                     bool store_was_restored,
                     int64_t version,
                     int64_t now_us)
{
  if (!store_was_restored)
    return true;
  if (guard->version > 0)
    return version >= guard->version;
  switch (guard->peers)
    {
    case CONFIG_GUARD_PEERS_NONE:
      return true;
    case CONFIG_GUARD_PEERS_ASKED:
      return now_us - guard->asked_us >= RESPONSE_WAIT_US;
    case CONFIG_GUARD_PEERS_UNKNOWN:
      break;
    }
  return false;
}
