/* Gossip between instances. Generated code: rpcgen -h -o member_xdr.h, rpcgen -c -o member_xdr.c. */

const MEMBER_NAME_MAX = 63;
const MEMBER_FACTS_MAX = 36;
const MEMBER_CHECKS_MAX = 8;
const MEMBER_FORMAT = 1;

typedef string member_name<MEMBER_NAME_MAX>;

/* What the sender knows of one instance. A pair (incarnation, heartbeat) is newer when it is higher. */
struct member_fact
{
  member_name name;
  member_name data_centre;
  unsigned int ip;
  unsigned int peer_port;
  unsigned int entry_port;
  unsigned hyper incarnation;
  unsigned int heartbeat;
  unsigned int state;
  hyper revision;
};

/* How long ago the sender had an answer or a call of this instance itself. */
struct member_age
{
  member_name name;
  unsigned int age_ms;
};

struct member_message
{
  unsigned int format;
  member_fact sender;
  member_name after;
  unsigned int page_length;
  member_fact facts<MEMBER_FACTS_MAX>;
  member_name checks<MEMBER_CHECKS_MAX>;
  member_age ages<MEMBER_CHECKS_MAX>;
};
