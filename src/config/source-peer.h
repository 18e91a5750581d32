/* Reads the head and the parts from a peer, and serves them to peers. Internal to src/config. */
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
void config_fill_chunk (const struct config_bundle *bundle,
                        const config_chunk_query *query,
                        config_chunk *chunk);
