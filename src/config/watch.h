/* Keeps the configuration in force up to date: watches the head object on the platform, and reads
 * from a peer when that has a newer revision than the platform delivered. */
#pragma once

#include "config/config.h"
#include "peer/peer.h"
#include "platform/platform.h"

#include <stdint.h>

/* A peer to read from, and the revision that gossip reports for it. */
struct sr_config_peer
{
  struct sr_peer_address address;
  int64_t revision;
};

/* Fills PEERS with up to MAX peers and returns how many. Called in the watch's thread. */
typedef size_t (*sr_config_list_peers) (struct sr_config_peer *peers, size_t max, void *data);

/* Called in the watch's thread after CONFIG has come into force. CONFIG is valid during the call;
 * to keep it, take a reference. */
typedef void (*sr_config_applied) (struct sr_config *config, void *data);

struct sr_config_watch_options
{
  struct sr_config_current *current; /* not owned */
  struct sr_platform *platform;      /* a reference is taken */
  struct sr_peer_client *client;     /* not owned */
  int watch_ms;                      /* longest time that one call waits for a change */
  uint32_t seed;                     /* of random numbers for jitter and choice of peers */
  sr_config_list_peers list_peers;
  sr_config_applied applied; /* may be NULL */
  void *data;                /* passed to both callbacks */
};

struct sr_config_watch;

struct sr_config_watch *sr_config_watch_new (const struct sr_config_watch_options *options);
bool sr_config_watch_start (struct sr_config_watch *watch);
void sr_config_watch_stop (struct sr_config_watch *watch);
void sr_config_watch_delete (struct sr_config_watch *watch);
void sr_config_watch_add_to_server (struct sr_config_watch *watch, struct sr_peer_server *server);
