#include "member/gossip-state.h"

#include <arpa/inet.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  TRANSMISSIONS_PER_SIZE_BIT = 2,
  PORT_MAX = 65535,
  /* Largest plausible difference between two heartbeats of one incarnation. A heartbeat rises only
   * when a fact is refuted and when the instance leaves. */
  HEARTBEAT_STEP_MAX = 1000000
};

/* Leaves room for this instance to refute a fact by a higher incarnation. */
static const uint64_t incarnation_max = UINT64_MAX / 2;

static bool fact_is_valid_ (const member_fact *fact);
static void
merge_fact_ (struct sr_gossip *gossip, int64_t now_us, const member_fact *fact, const char *sender);
static void refute_ (struct sr_gossip *gossip, const member_fact *fact);
static void merge_unknown_ (struct sr_gossip *gossip, int64_t now_us, const member_fact *fact);
static void merge_newer_ (struct sr_gossip *gossip,
                          int64_t now_us,
                          struct sr_gossip_record *record,
                          const member_fact *fact,
                          const char *sender);
static void copy_fact_ (struct sr_gossip_record *record, const member_fact *fact);
static int compare_versions_ (const struct sr_gossip_record *record, const member_fact *fact);
static void mark_contact_ (struct sr_gossip *gossip, int64_t now_us, const member_fact *sender);
static bool is_suspect_or_dead_ (const member_fact *fact);

/* Applies the sender and the facts of MESSAGE. Returns false, and counts the message as invalid, if
 * it has another format or an invalid sender; it is ignored then. Invalid facts are counted and
 * skipped. */
bool
sr_gossip_merge_message (struct sr_gossip *gossip, int64_t now_us, const member_message *message)
{
  const member_fact *sender = &message->sender;

  if (message->format != MEMBER_FORMAT || !fact_is_valid_ (sender) || is_suspect_or_dead_ (sender)
      || strcmp (sender->name, gossip->self->member.name) == 0)
    {
      gossip->counts.invalid++;
      return false;
    }
  merge_fact_ (gossip, now_us, sender, sender->name);
  mark_contact_ (gossip, now_us, sender);
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

/* Applies the helper's report of how long ago it received a message from failing members. For a
 * member seen by the helper after its first failed probe, the suspicion time-out starts again from
 * that moment, and a suspect or dead member recovers. */
void
sr_gossip_merge_ages (struct sr_gossip *gossip, int64_t now_us, const member_message *message)
{
  for (u_int i = 0; i < message->ages.ages_len; i++)
    {
      const member_age *age = &message->ages.ages_val[i];
      struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, age->name);
      int64_t seen_us = now_us - (int64_t)age->age_ms * US_PER_MS;

      if (record == NULL || record->failing_since_us == 0 || seen_us <= record->failing_since_us)
        continue;
      record->failing_since_us = seen_us;
      record->member.last_seen_us = MAX (record->member.last_seen_us, seen_us);
      if (record->member.state != SR_MEMBER_SUSPECT && record->member.state != SR_MEMBER_DEAD)
        continue;
      gossip->counts.recoveries++;
      record->false_suspicions++;
      record->member.state = record->leaving ? SR_MEMBER_LEAVING : SR_MEMBER_ALIVE;
    }
}

/* Adds RECORD to the next outgoing messages. Their number grows with the logarithm of the fleet
 * size, so that the change reaches all instances with high probability. */
void
sr_gossip_disseminate (struct sr_gossip *gossip, struct sr_gossip_record *record)
{
  size_t length = sr_gossip_table_length (gossip->table);

  record->transmissions_left = TRANSMISSIONS_PER_SIZE_BIT * (1 + g_bit_storage (length));
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
is_suspect_or_dead_ (const member_fact *fact)
{
  return fact->state == SR_MEMBER_SUSPECT || fact->state == SR_MEMBER_DEAD;
}

static void
merge_fact_ (struct sr_gossip *gossip, int64_t now_us, const member_fact *fact, const char *sender)
{
  struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, fact->name);
  int order;

  if (record == gossip->self)
    {
      refute_ (gossip, fact);
      return;
    }
  if (record == NULL)
    {
      merge_unknown_ (gossip, now_us, fact);
      return;
    }
  order = compare_versions_ (record, fact);
  if (order > 0)
    {
      gossip->counts.stale++;
      return;
    }
  if (order < 0)
    merge_newer_ (gossip, now_us, record, fact, sender);
  record->member.revision = MAX (record->member.revision, fact->revision);
  if (is_suspect_or_dead_ (fact) && record->member.state == SR_MEMBER_ALIVE
      && now_us - record->last_message_us > gossip->interval_us)
    record->probe_requested = true;
}

/* FACT is about this instance. Refutes a suspicion by a heartbeat higher than the fact's. A fact
 * that is newer than this instance's own state, because its clock was set back or a message was
 * forged, is refuted in the same way: this instance raises its incarnation or heartbeat above the
 * fact's. */
static void
refute_ (struct sr_gossip *gossip, const member_fact *fact)
{
  struct sr_gossip_record *self = gossip->self;
  uint32_t step = fact->heartbeat - self->heartbeat;

  if (fact->incarnation > self->member.incarnation && fact->incarnation < incarnation_max)
    {
      self->member.incarnation = fact->incarnation + 1;
      gossip->counts.refuted++;
    }
  if (fact->incarnation != self->member.incarnation || fact->heartbeat < self->heartbeat
      || (step == 0 && !is_suspect_or_dead_ (fact)))
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
  record->member.last_seen_us = now_us;
  record->probe_requested = fact->state == SR_MEMBER_SUSPECT;
  gossip->new_members++;
  /* A starting instance reads the tables of its peers, which know these members already. */
  if (gossip->joined)
    sr_gossip_disseminate (gossip, record);
}

/* A newer fact ends the suspicion of the member. If the member was suspect or dead here, the sender
 * becomes the helper, since it evidently reaches the member. */
static void
merge_newer_ (struct sr_gossip *gossip,
              int64_t now_us,
              struct sr_gossip_record *record,
              const member_fact *fact,
              const char *sender)
{
  if (record->member.state == SR_MEMBER_SUSPECT || record->member.state == SR_MEMBER_DEAD)
    {
      gossip->counts.recoveries++;
      record->false_suspicions++;
      g_strlcpy (gossip->helper, sender, sizeof gossip->helper);
    }
  if (fact->incarnation > record->member.incarnation)
    {
      record->leaving = false;
      record->false_suspicions = 0;
      record->member.revision = 0;
    }
  copy_fact_ (record, fact);
  if (record->failing_since_us != 0)
    record->failing_since_us = now_us;
  record->member.last_seen_us = now_us;
  sr_gossip_disseminate (gossip, record);
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

/* Returns a negative value if FACT is newer than RECORD, a positive one if it is older. */
static int
compare_versions_ (const struct sr_gossip_record *record, const member_fact *fact)
{
  if (record->member.incarnation != fact->incarnation)
    return record->member.incarnation < fact->incarnation ? -1 : 1;
  if (record->heartbeat != fact->heartbeat)
    return record->heartbeat < fact->heartbeat ? -1 : 1;
  return fact->state == SR_MEMBER_LEAVING && !record->leaving ? -1 : 0;
}

/* A message from the member itself proves that it is alive, whatever the heartbeat, unless it is of
 * an earlier incarnation. */
static void
mark_contact_ (struct sr_gossip *gossip, int64_t now_us, const member_fact *sender)
{
  struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, sender->name);

  if (record == NULL || record->member.incarnation != sender->incarnation)
    return;
  record->last_message_us = now_us;
  record->member.last_seen_us = now_us;
  record->failing_since_us = 0;
  record->false_suspicions = 0;
  record->probe_requested = false;
  record->leaving = record->leaving || sender->state == SR_MEMBER_LEAVING;
  if (record->member.state == SR_MEMBER_SUSPECT || record->member.state == SR_MEMBER_DEAD)
    gossip->counts.recoveries++;
  record->member.state = record->leaving ? SR_MEMBER_LEAVING : SR_MEMBER_ALIVE;
}
