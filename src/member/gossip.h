/* The decisions of gossip: a deterministic state machine without thread, socket or clock. */
#pragma once

#include "member/member.h"
#include "member/member_xdr.h"

#include <glib.h>
#include <stdint.h>

enum
{
  SR_GOSSIP_CHANGES_MAX = 6, /* facts that changed of late, in one message */
  SR_GOSSIP_PAGE_LENGTH = 2, /* further facts in an answer, in turn */
  SR_GOSSIP_MEMBERS_MAX = 4096
};

/* Times are microseconds of one monotonic clock. Strings are copied. */
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
  unsigned fanout;
  int64_t suspect_after_us;
  int64_t dead_after_us;
  int64_t forget_after_us; /* a dead member is dropped after this time; 0 for the default */
  uint32_t seed;
};

/* A call to make: the answer goes to sr_gossip_handle_answer, its lack to sr_gossip_handle_failure,
 * both with the same target. name is empty when only the address is known. */
struct sr_gossip_target
{
  char name[SR_MEMBER_NAME_MAX_BYTES];
  struct sr_peer_address address;
};

/* Counts of messages and facts that were dropped, and of changes of state. */
struct sr_gossip_counts
{
  uint64_t invalid;  /* another format, or values out of range */
  uint64_t stale;    /* of an earlier incarnation */
  uint64_t full;     /* no room for another member */
  uint64_t suspects; /* members that became suspect */
  uint64_t deaths;
  uint64_t returns; /* suspect or dead members that were heard again */
  uint64_t refuted; /* suspicions of this instance that it refuted */
  uint64_t pauses;  /* jumps of the clock: this instance did not run for a while */
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
                               member_message *answer);
void sr_gossip_handle_answer (struct sr_gossip *gossip,
                              int64_t now_us,
                              const struct sr_gossip_target *target,
                              const member_message *answer);
void sr_gossip_handle_failure (struct sr_gossip *gossip,
                               int64_t now_us,
                               const struct sr_gossip_target *target);
void
sr_gossip_add_listed (struct sr_gossip *gossip, int64_t now_us, const struct sr_member *listed);
void sr_gossip_set_revision (struct sr_gossip *gossip, int64_t revision);
void sr_gossip_set_leaving (struct sr_gossip *gossip);
struct sr_member_view *sr_gossip_view (const struct sr_gossip *gossip, int64_t now_us);
const struct sr_gossip_counts *sr_gossip_counts (const struct sr_gossip *gossip);
