/* Retries that reach another instance: asks a request's home who has it, and fetches the answer
 * from there. */
#pragma once

#include "member/member.h"
#include "peer/peer.h"
#include "request/registry.h"
#include "request/table.h"

struct sr_run_peers;

/* All pointers must outlive the peers. */
struct sr_run_peers_options
{
  struct sr_members *members;
  struct sr_peer_client *client;
  struct sr_run_table *table;
  const char *instance;
  uint64_t incarnation;
  unsigned entries_max;
  int64_t entry_kept_us;
};

enum sr_run_followed
{
  SR_RUN_FOLLOWED_TO_END, /* the result is given */
  SR_RUN_FOLLOWED_OURS,   /* nobody else has the request: carry it out from where it is */
  SR_RUN_FOLLOWED_OTHER_BODY
};

struct sr_run_peers *sr_run_peers_new (const struct sr_run_peers_options *options);
void sr_run_peers_delete (struct sr_run_peers *peers);
void sr_run_peers_add_to_server (struct sr_run_peers *peers, struct sr_peer_server *server);
enum sr_run_followed sr_run_peers_follow (struct sr_run_peers *peers,
                                          struct sr_run *run,
                                          struct sr_run_result *result,
                                          bool *may_have_run);
