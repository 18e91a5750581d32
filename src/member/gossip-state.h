/* Internal to gossip: its state, and the functions that its source files share. */
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
  GPtrArray *probe_round;                /* names (owned) still to be probed in this round */
  char helper[SR_MEMBER_NAME_MAX_BYTES]; /* peer asked about failing members; may be empty */
  /* Position of the pass over the tables of peers: the last name received; empty at its start. */
  char page_cursor[SR_MEMBER_NAME_MAX_BYTES];
  bool joined;              /* the last pass over the tables of peers found no unknown member */
  size_t new_members;       /* members found in this pass */
  size_t next_urgent_index; /* table index from which the next urgent probes are chosen */
  size_t next_check_index;  /* table index from which the next checks are chosen */
};

/* gossip-merge.c: applies received messages. */
bool
sr_gossip_merge_message (struct sr_gossip *gossip, int64_t now_us, const member_message *message);
void sr_gossip_merge_ages (struct sr_gossip *gossip, int64_t now_us, const member_message *message);
void sr_gossip_disseminate (struct sr_gossip *gossip, struct sr_gossip_record *record);

/* gossip-message.c: fills messages to send. */
void sr_gossip_message_begin (struct sr_gossip *gossip,
                              const char *receiver,
                              uint64_t receiver_incarnation,
                              member_message *message);
void sr_gossip_message_add_page (struct sr_gossip *gossip,
                                 const member_message *request,
                                 member_message *reply);
void sr_gossip_message_add_checks (struct sr_gossip *gossip, member_message *request);
void sr_gossip_message_add_ages (struct sr_gossip *gossip,
                                 int64_t now_us,
                                 const member_message *request,
                                 member_message *reply);
