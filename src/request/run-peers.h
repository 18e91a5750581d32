/* Retries that reach an instance other than the one that runs the request: asks the directory
 * instance of the request which instance runs it, and copies the answer from that one. */
#pragma once

#include "member/member.h"
#include "peer/peer.h"
#include "request/registry.h"
#include "request/table.h"

struct sr_run_peers;

/* All pointers must outlive struct sr_run_peers. */
struct sr_run_peers_options
{
  struct sr_members *members;
  struct sr_peer_client *client;
  struct sr_run_table *table;
  const char *instance;
  uint64_t incarnation;
  unsigned entries_max;  /* see struct sr_registry_options */
  int64_t entry_kept_us; /* likewise */
};

enum sr_run_follow_result
{
  SR_RUN_FOLLOW_COMPLETED, /* the whole answer was copied */
  SR_RUN_FOLLOW_RUN_HERE,  /* no other instance runs the request: run it, after the tokens copied so
                              far */
  SR_RUN_FOLLOW_OTHER_BODY /* the request id was used before with another body */
};

struct sr_run_peers *sr_run_peers_new (const struct sr_run_peers_options *options);
void sr_run_peers_delete (struct sr_run_peers *peers);
void sr_run_peers_add_to_server (struct sr_run_peers *peers, struct sr_peer_server *server);
enum sr_run_follow_result sr_run_peers_follow (struct sr_run_peers *peers,
                                               struct sr_run *run,
                                               struct sr_run_result *result,
                                               bool *may_have_run);
