/* Membership: the instances of the fleet and their states, as far as this instance knows. Suitable
 * for choosing peers to call, but state DEAD does not prove that the process has ended. */
#pragma once

#include "peer/peer.h"
#include "platform/platform.h"

#include <glib.h>
#include <stdint.h>

enum
{
  SR_MEMBER_NAME_MAX_BYTES = 64 /* with the final NUL */
};

enum sr_member_state
{
  SR_MEMBER_ALIVE,
  SR_MEMBER_SUSPECT,
  SR_MEMBER_LEAVING,
  SR_MEMBER_DEAD
};

/* One instance, as this instance knows it. */
struct sr_member
{
  char name[SR_MEMBER_NAME_MAX_BYTES];
  char data_centre[SR_MEMBER_NAME_MAX_BYTES];
  struct sr_peer_address peer; /* advertised address, port of the peer server */
  unsigned entry_port;
  /* Rises with each start of the process; 0 if known only from the platform's list. */
  uint64_t incarnation;
  enum sr_member_state state;
  int64_t revision;     /* latest known configuration revision in force there */
  int64_t last_seen_us; /* latest evidence that it is alive; monotonic clock of this instance */
  bool is_self;
};

/* Immutable snapshot of all members, sorted by name. */
struct sr_member_view
{
  int reference_count;
  size_t length;
  struct sr_member members[];
};

struct sr_members;

/* Strings are copied. The client must outlive the members; the platform is referenced by them. */
struct sr_members_options
{
  const char *name;
  const char *data_centre;
  const char *advertise_address;
  unsigned peer_port;
  unsigned entry_port;
  uint64_t incarnation;   /* must rise with each start, for example the real time in microseconds */
  const GPtrArray *seeds; /* GString "IP:PORT"; NULL for none */
  unsigned gossip_interval_ms;
  unsigned gossip_fanout;
  unsigned suspect_after_ms;     /* from the first failed probe */
  unsigned dead_after_ms;        /* from the first failed probe */
  uint32_t seed;                 /* of the random number generator */
  struct sr_peer_client *client; /* NULL: no gossip messages are sent */
  struct sr_platform *platform;  /* NULL: the platform's list of instances is not read */
  /* Between reads of that list in a small fleet; 0 for the default. */
  unsigned platform_interval_ms;
};

struct sr_members *sr_members_new (const struct sr_members_options *options);
bool sr_members_start (struct sr_members *members);
void sr_members_stop (struct sr_members *members);
void sr_members_delete (struct sr_members *members);
void sr_members_add_to_server (struct sr_members *members, struct sr_peer_server *server);
void sr_members_set_revision (struct sr_members *members, int64_t revision);
void sr_members_set_leaving (struct sr_members *members);

struct sr_member_view *sr_members_view (struct sr_members *members);
struct sr_member_view *sr_member_view_new (const struct sr_member *members, size_t length);
struct sr_member_view *sr_member_view_ref (struct sr_member_view *view);
void sr_member_view_unref (struct sr_member_view *view);
const struct sr_member *sr_member_view_find (const struct sr_member_view *view, const char *name);
const struct sr_member *sr_member_view_self (const struct sr_member_view *view);
GPtrArray *
sr_member_view_order (const struct sr_member_view *view, const char *key, const char *data_centre);
const char *sr_member_state_to_string (enum sr_member_state state);
