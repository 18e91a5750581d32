/* Heads and parts read from a peer, and given to peers. Private to this slice. */
#pragma once

#include "config/bundle.h"
#include "config/config_xdr.h"
#include "peer/peer.h"

enum
{
  CONFIG_PROCEDURE_CHUNK = 1
};

struct config_source_peer
{
  struct config_source base;
  struct sr_peer_client *client; /* not owned */
  struct sr_peer_address address;
  int64_t deadline_us; /* monotonic */
};

void config_source_peer_init (struct config_source_peer *source,
                              struct sr_peer_client *client,
                              const struct sr_peer_address *address,
                              int64_t deadline_us);
void config_answer_chunk (const struct config_bundle *bundle,
                          const config_chunk_query *query,
                          config_chunk *chunk);
