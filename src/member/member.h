/* Which instances there are: a hint for whom to ask, never proof that somebody is dead. */
#pragma once

#include "peer/peer.h"

#include <glib.h>
#include <stdint.h>

enum sr_member_state
{
  SR_MEMBER_ALIVE,
  SR_MEMBER_SUSPECT,
  SR_MEMBER_LEAVING,
  SR_MEMBER_DEAD
};

/* One instance as seen from here. incarnation rises with each start of the process. */
struct sr_member
{
  char name[64];
  char data_centre[64];
  struct sr_peer_address peer; /* advertised address and peers' port */
  unsigned entry_port;
  uint64_t incarnation;
  enum sr_member_state state;
  int64_t revision;      /* configuration revision in force there, as last heard */
  int64_t last_heard_us; /* monotonic clock of this instance */
  bool is_self;
};

/* The whole view of one moment, immutable. */
struct sr_member_view
{
  int reference_count;
  size_t length;
  struct sr_member members[];
};

struct sr_members;

struct sr_member_view *
sr_members_view (struct sr_members *members);
void
sr_member_view_unref (struct sr_member_view *view);
const struct sr_member *
sr_member_view_find (const struct sr_member_view *view, const char *name);
const struct sr_member *
sr_member_view_self (const struct sr_member_view *view);
GPtrArray *
sr_member_view_order (const struct sr_member_view *view, const char *key, const char *data_centre);
const char *
sr_member_state_to_string (enum sr_member_state state);
