/* State machine of the gossip protocol. Deterministic: it starts no threads, opens no sockets and
 * reads no clock; the caller sends the messages and passes in all times.
 *
 * Each instance regularly exchanges messages with a few peers. A message carries facts: the state
 * of a member as its sender knows it, ordered by the member's incarnation and heartbeat. A member
 * whose probes fail becomes suspect, then dead, unless a peer (the helper) has received a message
 * from it since. Suspect and dead are local conclusions: a peer that receives such a fact only
 * probes the member itself. A member that receives one about itself refutes it with a higher
 * heartbeat. */
#pragma once

#include "member/member.h"
#include "member/member_xdr.h"

#include <glib.h>
#include <stdint.h>

enum
{
  SR_GOSSIP_CHANGES_MAX = 6, /* recently changed facts in one message */
  SR_GOSSIP_PAGE_LENGTH = 2, /* records of the table in one reply, once the instance has joined */
  SR_GOSSIP_MEMBERS_MAX = 4096
};

/* Times are microseconds on one monotonic clock. Strings are copied. */
struct sr_gossip_options
{
  const char *name;
  const char *data_centre;
  struct sr_peer_address address;
  unsigned entry_port;
  uint64_t incarnation;
  const struct sr_peer_address *seeds;
  size_t n_seeds;
  int64_t interval_us;
  unsigned fanout;          /* regular probes per interval */
  int64_t suspect_after_us; /* from the first failed probe; at least 3 intervals are used */
  int64_t dead_after_us;    /* from the first failed probe */
  int64_t forget_after_us;  /* from death to removal; 0 for the default, one hour */
  uint32_t seed;
};

/* A call that the caller has to make: it passes the reply to sr_gossip_handle_reply, or reports
 * that there was none to sr_gossip_handle_failure, with the same target. name is empty when only
 * the address is known. */
struct sr_gossip_target
{
  char name[SR_MEMBER_NAME_MAX_BYTES];
  struct sr_peer_address address;
};

/* Counts of dropped messages and facts, and of state changes. */
struct sr_gossip_counts
{
  uint64_t invalid;  /* messages of another format, messages and facts with values out of range */
  uint64_t stale;    /* facts older than the one known, by incarnation and heartbeat */
  uint64_t full;     /* facts about unknown members while the table was full */
  uint64_t suspects; /* members that became suspect */
  uint64_t deaths;
  uint64_t recoveries; /* suspect or dead members that turned out to be alive */
  uint64_t refuted;    /* outdated or false facts about this instance that it refuted */
  uint64_t pauses;     /* ticks that came so late that this instance was presumably not running */
};

struct sr_gossip;

struct sr_gossip *sr_gossip_new (const struct sr_gossip_options *options, int64_t now_us);
void sr_gossip_delete (struct sr_gossip *gossip);
void sr_gossip_tick (struct sr_gossip *gossip, int64_t now_us, GArray *targets);
void sr_gossip_fill_request (struct sr_gossip *gossip,
                             const struct sr_gossip_target *target,
                             member_message *message);
void sr_gossip_handle_request (struct sr_gossip *gossip,
                               int64_t now_us,
                               const member_message *request,
                               member_message *reply);
void sr_gossip_handle_reply (struct sr_gossip *gossip,
                             int64_t now_us,
                             const struct sr_gossip_target *target,
                             const member_message *reply);
void sr_gossip_handle_failure (struct sr_gossip *gossip,
                               int64_t now_us,
                               const struct sr_gossip_target *target);
void
sr_gossip_add_listed (struct sr_gossip *gossip, int64_t now_us, const struct sr_member *listed);
void sr_gossip_set_revision (struct sr_gossip *gossip, int64_t revision);
void sr_gossip_set_leaving (struct sr_gossip *gossip);
struct sr_member_view *sr_gossip_view (const struct sr_gossip *gossip, int64_t now_us);
const struct sr_gossip_counts *sr_gossip_counts (const struct sr_gossip *gossip);
