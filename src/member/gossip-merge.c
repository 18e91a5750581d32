#include "member/gossip-state.h"

#include <arpa/inet.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  TRANSMISSIONS_PER_DOUBLING = 2,
  PORT_MAX = 65535,
  /* Nobody suspects an instance more often than this during one incarnation. */
  HEARTBEAT_STEP_MAX = 1000000
};

static const uint64_t incarnation_max = UINT64_MAX / 2;

static bool fact_is_valid_ (const member_fact *fact);
static void
merge_fact_ (struct sr_gossip *gossip, int64_t now_us, const member_fact *fact, const char *sender);
static void merge_own_ (struct sr_gossip *gossip, const member_fact *fact);
static void merge_unknown_ (struct sr_gossip *gossip, int64_t now_us, const member_fact *fact);
static void merge_newer_ (struct sr_gossip *gossip,
                          int64_t now_us,
                          struct sr_gossip_record *record,
                          const member_fact *fact,
                          const char *sender);
static void copy_fact_ (struct sr_gossip_record *record, const member_fact *fact);
static int compare_age_ (const struct sr_gossip_record *record, const member_fact *fact);
static void contact_ (struct sr_gossip *gossip, int64_t now_us, const member_fact *sender);
static bool is_accusation_ (const member_fact *fact);

/* Takes over what MESSAGE says. Returns false, and counts it, when it is of another format or its
 * sender is not valid: nothing of it is taken then. Facts that are not valid are passed over. */
bool
sr_gossip_merge_message (struct sr_gossip *gossip, int64_t now_us, const member_message *message)
{
  const member_fact *sender = &message->sender;

  if (message->format != MEMBER_FORMAT || !fact_is_valid_ (sender) || is_accusation_ (sender)
      || strcmp (sender->name, gossip->self->member.name) == 0)
    {
      gossip->counts.invalid++;
      return false;
    }
  merge_fact_ (gossip, now_us, sender, sender->name);
  contact_ (gossip, now_us, sender);
  for (u_int i = 0; i < message->facts.facts_len; i++)
    {
      const member_fact *fact = &message->facts.facts_val[i];

      if (fact_is_valid_ (fact))
        merge_fact_ (gossip, now_us, fact, sender->name);
      else
        gossip->counts.invalid++;
    }
  return true;
}

/* Takes the ages that a helper gave for failing members: a member heard by the helper after its
 * first failure is vouched for, and its time to be suspected starts anew from there. */
void
sr_gossip_merge_ages (struct sr_gossip *gossip, int64_t now_us, const member_message *message)
{
  for (u_int i = 0; i < message->ages.ages_len; i++)
    {
      const member_age *age = &message->ages.ages_val[i];
      struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, age->name);
      int64_t heard_us = now_us - (int64_t)age->age_ms * US_PER_MS;

      if (record == NULL || record->failing_since_us == 0 || heard_us <= record->failing_since_us)
        continue;
      record->failing_since_us = heard_us;
      record->member.last_heard_us = MAX (record->member.last_heard_us, heard_us);
      if (record->member.state != SR_MEMBER_SUSPECT && record->member.state != SR_MEMBER_DEAD)
        continue;
      gossip->counts.returns++;
      record->suspicions++;
      record->member.state = record->leaving ? SR_MEMBER_LEAVING : SR_MEMBER_ALIVE;
    }
}

/* Lets the next messages carry what has changed of RECORD: a few for each doubling of the fleet, so
 * that the change reaches everybody with high probability. */
void
sr_gossip_spread (struct sr_gossip *gossip, struct sr_gossip_record *record)
{
  size_t length = sr_gossip_table_length (gossip->table);

  record->transmissions_left = TRANSMISSIONS_PER_DOUBLING * (1 + g_bit_storage (length));
}

static bool
fact_is_valid_ (const member_fact *fact)
{
  return fact->name[0] != '\0' && fact->data_centre[0] != '\0' && fact->ip != 0
         && fact->peer_port > 0 && fact->peer_port <= PORT_MAX && fact->entry_port <= PORT_MAX
         && fact->incarnation > 0 && fact->incarnation <= incarnation_max + 1
         && fact->state <= SR_MEMBER_DEAD && fact->revision >= 0;
}

static bool
is_accusation_ (const member_fact *fact)
{
  return fact->state == SR_MEMBER_SUSPECT || fact->state == SR_MEMBER_DEAD;
}

static void
merge_fact_ (struct sr_gossip *gossip, int64_t now_us, const member_fact *fact, const char *sender)
{
  struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, fact->name);
  int age;

  if (record == gossip->self)
    {
      merge_own_ (gossip, fact);
      return;
    }
  if (record == NULL)
    {
      merge_unknown_ (gossip, now_us, fact);
      return;
    }
  age = compare_age_ (record, fact);
  if (age > 0)
    {
      gossip->counts.stale++;
      return;
    }
  if (age < 0)
    merge_newer_ (gossip, now_us, record, fact, sender);
  record->member.revision = MAX (record->member.revision, fact->revision);
  if (is_accusation_ (fact) && record->member.state == SR_MEMBER_ALIVE
      && now_us - record->contact_us > gossip->interval_us)
    record->probe_wanted = true;
}

/* Refutes what others hold against this instance by a higher heartbeat. What goes round as newer
 * than this instance itself, because its clock went back or somebody made it up, is outdone as
 * well. */
static void
merge_own_ (struct sr_gossip *gossip, const member_fact *fact)
{
  struct sr_gossip_record *self = gossip->self;
  uint32_t step = fact->heartbeat - self->heartbeat;

  if (fact->incarnation > self->member.incarnation && fact->incarnation < incarnation_max)
    {
      self->member.incarnation = fact->incarnation + 1;
      gossip->counts.refuted++;
    }
  if (fact->incarnation != self->member.incarnation || fact->heartbeat < self->heartbeat
      || (step == 0 && !is_accusation_ (fact)))
    return;
  if (step > HEARTBEAT_STEP_MAX)
    {
      gossip->counts.invalid++;
      return;
    }
  self->heartbeat = fact->heartbeat + 1;
  gossip->counts.refuted++;
}

static void
merge_unknown_ (struct sr_gossip *gossip, int64_t now_us, const member_fact *fact)
{
  struct sr_gossip_record *record;

  if (fact->state == SR_MEMBER_DEAD)
    return;
  if (sr_gossip_table_length (gossip->table) >= SR_GOSSIP_MEMBERS_MAX)
    {
      gossip->counts.full++;
      return;
    }
  record = sr_gossip_table_insert (gossip->table, fact->name);
  copy_fact_ (record, fact);
  record->member.revision = fact->revision;
  record->member.last_heard_us = now_us;
  record->probe_wanted = fact->state == SR_MEMBER_SUSPECT;
  gossip->learnt++;
  /* What a new instance reads from the tables of others is news to itself alone. */
  if (gossip->joined)
    sr_gossip_spread (gossip, record);
}

/* A newer fact ends what this instance held against the member; who brought it becomes the one to
 * ask about it. */
static void
merge_newer_ (struct sr_gossip *gossip,
              int64_t now_us,
              struct sr_gossip_record *record,
              const member_fact *fact,
              const char *sender)
{
  if (record->member.state == SR_MEMBER_SUSPECT || record->member.state == SR_MEMBER_DEAD)
    {
      gossip->counts.returns++;
      record->suspicions++;
      g_strlcpy (gossip->helper, sender, sizeof gossip->helper);
    }
  if (fact->incarnation > record->member.incarnation)
    {
      record->leaving = false;
      record->suspicions = 0;
      record->member.revision = 0;
    }
  copy_fact_ (record, fact);
  if (record->failing_since_us != 0)
    record->failing_since_us = now_us;
  record->member.last_heard_us = now_us;
  sr_gossip_spread (gossip, record);
}

static void
copy_fact_ (struct sr_gossip_record *record, const member_fact *fact)
{
  struct sr_member *member = &record->member;
  struct in_addr ip = { .s_addr = htonl (fact->ip) };

  g_strlcpy (member->data_centre, fact->data_centre, sizeof member->data_centre);
  inet_ntop (AF_INET, &ip, member->peer.ip, sizeof member->peer.ip);
  member->peer.port = fact->peer_port;
  member->entry_port = fact->entry_port;
  member->incarnation = fact->incarnation;
  record->heartbeat = fact->heartbeat;
  record->leaving = record->leaving || fact->state == SR_MEMBER_LEAVING;
  member->state = record->leaving ? SR_MEMBER_LEAVING : SR_MEMBER_ALIVE;
}

/* Negative when FACT is newer than RECORD, positive when it is older. */
static int
compare_age_ (const struct sr_gossip_record *record, const member_fact *fact)
{
  if (record->member.incarnation != fact->incarnation)
    return record->member.incarnation < fact->incarnation ? -1 : 1;
  if (record->heartbeat != fact->heartbeat)
    return record->heartbeat < fact->heartbeat ? -1 : 1;
  return fact->state == SR_MEMBER_LEAVING && !record->leaving ? -1 : 0;
}

/* A member's own message shows that it lives, whatever its heartbeat, unless it is of a process
 * that was replaced. */
static void
contact_ (struct sr_gossip *gossip, int64_t now_us, const member_fact *sender)
{
  struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, sender->name);

  if (record == NULL || record->member.incarnation != sender->incarnation)
    return;
  record->contact_us = now_us;
  record->member.last_heard_us = now_us;
  record->failing_since_us = 0;
  record->suspicions = 0;
  record->probe_wanted = false;
  record->leaving = record->leaving || sender->state == SR_MEMBER_LEAVING;
  if (record->member.state == SR_MEMBER_SUSPECT || record->member.state == SR_MEMBER_DEAD)
    gossip->counts.returns++;
  record->member.state = record->leaving ? SR_MEMBER_LEAVING : SR_MEMBER_ALIVE;
}
