/* Table of the members known to gossip, sorted by name. */
#pragma once

#include "member/member.h"

#include <glib.h>

/* One member and what this instance knows about it. */
struct sr_gossip_record
{
  struct sr_member member;
  uint32_t heartbeat;
  bool leaving;            /* announced by the member itself */
  int64_t last_message_us; /* last message received from the member itself; 0 for none */
  /* Start of the suspicion time-out: the first failed probe, or the latest evidence since then,
   * reported by a peer, that the member is alive. 0 while probes succeed and once it is dead. */
  int64_t failing_since_us;
  int64_t dead_since_us;       /* valid when dead */
  unsigned false_suspicions;   /* suspicions that turned out wrong since last_message_us */
  unsigned transmissions_left; /* number of further messages that carry the latest change */
  /* Set by a peer that suspects or checks the member, and for new members that are suspect or known
   * only from the platform's list. */
  bool probe_requested;
};

struct sr_gossip_table;

struct sr_gossip_table *sr_gossip_table_new (void);
void sr_gossip_table_delete (struct sr_gossip_table *table);
struct sr_gossip_record *sr_gossip_table_insert (struct sr_gossip_table *table, const char *name);
void sr_gossip_table_remove_at (struct sr_gossip_table *table, size_t index);
struct sr_gossip_record *sr_gossip_table_find (const struct sr_gossip_table *table,
                                               const char *name);
struct sr_gossip_record *sr_gossip_table_find_address (const struct sr_gossip_table *table,
                                                       const struct sr_peer_address *address);
size_t sr_gossip_table_length (const struct sr_gossip_table *table);
struct sr_gossip_record *sr_gossip_table_at (const struct sr_gossip_table *table, size_t index);
size_t sr_gossip_table_index_after (const struct sr_gossip_table *table, const char *name);
