/* The members that gossip knows, by name and in the order of names. */
#pragma once

#include "member/member.h"

#include <glib.h>

/* One member and what this instance has found out about it. */
struct sr_gossip_record
{
  struct sr_member member;
  uint32_t heartbeat;
  bool leaving;                /* as the member said itself */
  int64_t contact_us;          /* its last own message; 0 for none */
  int64_t failing_since_us;    /* probes fail and nobody vouches since then; 0 for not failing */
  int64_t dead_since_us;       /* valid when dead */
  unsigned suspicions;         /* suspicions that turned out wrong, without a contact since */
  unsigned transmissions_left; /* messages that shall still carry the latest change */
  bool probe_wanted;           /* another instance suspects it or asks about it */
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
