/* What the parts of gossip share: its state, and the steps between them. */
#pragma once

#include "member/gossip-table.h"
#include "member/gossip.h"

struct sr_gossip
{
  struct sr_gossip_table *table;
  struct sr_gossip_record *self;
  struct sr_gossip_counts counts;
  GRand *random;
  GArray *seeds; /* struct sr_peer_address */
  int64_t interval_us;
  unsigned fanout;
  int64_t suspect_after_us;
  int64_t dead_after_us;
  int64_t forget_after_us;
  int64_t last_tick_us;
  GPtrArray *round; /* names, as strings of its own, still to be probed in this round */
  char helper[SR_MEMBER_NAME_MAX_BYTES]; /* who is asked about failing members; empty for none */
  char page_after[SR_MEMBER_NAME_MAX_BYTES];
  bool joined;   /* the last pass over the tables of others brought no news */
  size_t learnt; /* members that this pass brought */
  size_t urgent_turn;
  size_t check_turn;
};

/* gossip-merge.c: what is learnt from a message. */
bool
sr_gossip_merge_message (struct sr_gossip *gossip, int64_t now_us, const member_message *message);
void sr_gossip_merge_ages (struct sr_gossip *gossip, int64_t now_us, const member_message *message);
void sr_gossip_spread (struct sr_gossip *gossip, struct sr_gossip_record *record);

/* gossip-message.c: what is put into a message. */
void sr_gossip_message_begin (struct sr_gossip *gossip,
                              const char *receiver,
                              uint64_t receiver_incarnation,
                              member_message *message);
void sr_gossip_message_add_page (struct sr_gossip *gossip,
                                 const member_message *request,
                                 member_message *answer);
void sr_gossip_message_add_checks (struct sr_gossip *gossip, member_message *request);
void sr_gossip_message_add_ages (struct sr_gossip *gossip,
                                 int64_t now_us,
                                 const member_message *request,
                                 member_message *answer);
