/* Messages of the gossip protocol between instances.
 * Generated code: rpcgen -h -o member_xdr.h, rpcgen -c -o member_xdr.c. */

const MEMBER_NAME_MAX = 63;
const MEMBER_FACTS_MAX = 36;
const MEMBER_CHECKS_MAX = 8;
const MEMBER_FORMAT = 1;

typedef string member_name<MEMBER_NAME_MAX>;

/* State of one member as the sender knows it. Facts are ordered by incarnation, then by
 * heartbeat. */
struct member_fact
{
  member_name name;
  member_name data_centre;
  unsigned int ip; /* IPv4 address */
  unsigned int peer_port;
  unsigned int entry_port;
  unsigned hyper incarnation;
  unsigned int heartbeat;
  unsigned int state; /* enum sr_member_state */
  hyper revision; /* configuration revision in force at the member */
};

/* Time since the sender last received a message from the member itself. */
struct member_age
{
  member_name name;
  unsigned int age_ms;
};

/* A request or its reply. */
struct member_message
{
  unsigned int format; /* MEMBER_FORMAT */
  member_fact sender;
  /* Request: a page of the receiver's table is requested, of at most page_length members with names
   * after this one. Reply: the last name of the page, empty at the end of the table. */
  member_name after;
  unsigned int page_length; /* in members; reply: of the page sent */
  member_fact facts<MEMBER_FACTS_MAX>; /* recent changes, and in a reply the requested page */
  member_name checks<MEMBER_CHECKS_MAX>; /* request: failing members whose ages are requested */
  member_age ages<MEMBER_CHECKS_MAX>; /* reply: the ages requested, as far as known */
};
