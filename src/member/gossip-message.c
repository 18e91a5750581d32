#include "member/gossip-state.h"

#include <arpa/inet.h>
#include <string.h>

enum
{
  US_PER_MS = 1000
};

static void fact_fill_ (const struct sr_gossip_record *record, member_fact *fact);
static void add_fact_ (member_message *message, const struct sr_gossip_record *record);
static void add_changes_ (struct sr_gossip *gossip, member_message *message);
static int compare_transmissions_ (const void *left, const void *right);

/* Fills MESSAGE, which must be zeroed, for RECEIVER (empty if its name is not known) with the
 * sender, the latest changes, and the receiver's own record if it is not alive here or is newer
 * than RECEIVER_INCARNATION (0 if not known), so that the receiver can refute it. The contents are
 * freed with xdr_free. */
void
sr_gossip_message_begin (struct sr_gossip *gossip,
                         const char *receiver,
                         uint64_t receiver_incarnation,
                         member_message *message)
{
  const struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, receiver);

  message->format = MEMBER_FORMAT;
  fact_fill_ (gossip->self, &message->sender);
  message->after = g_strdup (gossip->page_cursor);
  message->page_length = gossip->joined ? SR_GOSSIP_PAGE_LENGTH : MEMBER_FACTS_MAX;
  message->facts.facts_val = g_new0 (member_fact, MEMBER_FACTS_MAX);
  message->checks.checks_val = g_new0 (member_name, MEMBER_CHECKS_MAX);
  message->ages.ages_val = g_new0 (member_age, MEMBER_CHECKS_MAX);
  if (record != NULL && record != gossip->self
      && (record->member.state != SR_MEMBER_ALIVE
          || (receiver_incarnation > 0 && record->member.incarnation > receiver_incarnation)))
    add_fact_ (message, record);
  add_changes_ (gossip, message);
}

/* Adds to REPLY the next page of the table: the facts of the names after REQUEST's position, up to
 * its page length. Sets REPLY's position to the last name of the page, or to empty at the table's
 * end. */
void
sr_gossip_message_add_page (struct sr_gossip *gossip,
                            const member_message *request,
                            member_message *reply)
{
  size_t index = sr_gossip_table_index_after (gossip->table, request->after);
  size_t length = sr_gossip_table_length (gossip->table);

  g_free (reply->after);
  reply->after = g_strdup ("");
  reply->page_length = 0;
  for (; index < length && reply->page_length < request->page_length; index++)
    {
      const struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, index);

      if (reply->facts.facts_len == MEMBER_FACTS_MAX)
        return;
      g_free (reply->after);
      reply->after = g_strdup (record->member.name);
      reply->page_length++;
      if (record->member.incarnation > 0)
        add_fact_ (reply, record);
    }
  if (index == length)
    {
      g_free (reply->after);
      reply->after = g_strdup ("");
    }
}

/* Adds to REQUEST the names of failing members, continuing from the previous request, for the
 * helper to report when it last received a message from them. */
void
sr_gossip_message_add_checks (struct sr_gossip *gossip, member_message *request)
{
  size_t length = sr_gossip_table_length (gossip->table);
  size_t start = gossip->next_check_index;

  for (size_t i = 0; i < length && request->checks.checks_len < MEMBER_CHECKS_MAX; i++)
    {
      size_t index = (start + i) % length;
      const struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, index);

      if (record->failing_since_us == 0 || record->member.state == SR_MEMBER_DEAD)
        continue;
      request->checks.checks_val[request->checks.checks_len++] = g_strdup (record->member.name);
      gossip->next_check_index = index + 1;
    }
}

/* Adds to REPLY how long ago this instance received a message from the members that REQUEST asks
 * about, and requests a probe of those whose last message is older than half an interval. */
void
sr_gossip_message_add_ages (struct sr_gossip *gossip,
                            int64_t now_us,
                            const member_message *request,
                            member_message *reply)
{
  for (u_int i = 0; i < request->checks.checks_len; i++)
    {
      const char *name = request->checks.checks_val[i];
      struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, name);
      member_age *age = &reply->ages.ages_val[reply->ages.ages_len];
      int64_t age_us;

      if (record == NULL || record == gossip->self)
        continue;
      age_us = now_us - record->last_message_us;
      if (record->last_message_us == 0 || age_us > gossip->interval_us / 2)
        record->probe_requested = true;
      if (record->last_message_us == 0 || age_us / US_PER_MS > G_MAXINT32)
        continue;
      age->name = g_strdup (name);
      age->age_ms = (u_int)(age_us / US_PER_MS);
      reply->ages.ages_len++;
    }
}

static void
fact_fill_ (const struct sr_gossip_record *record, member_fact *fact)
{
  struct in_addr ip = { 0 };

  inet_pton (AF_INET, record->member.peer.ip, &ip);
  fact->name = g_strdup (record->member.name);
  fact->data_centre = g_strdup (record->member.data_centre);
  fact->ip = ntohl (ip.s_addr);
  fact->peer_port = record->member.peer.port;
  fact->entry_port = record->member.entry_port;
  fact->incarnation = record->member.incarnation;
  fact->heartbeat = record->heartbeat;
  fact->state = record->member.state;
  fact->revision = record->member.revision;
}

static void
add_fact_ (member_message *message, const struct sr_gossip_record *record)
{
  for (u_int i = 0; i < message->facts.facts_len; i++)
    {
      if (strcmp (message->facts.facts_val[i].name, record->member.name) == 0)
        return;
    }
  if (message->facts.facts_len < MEMBER_FACTS_MAX)
    fact_fill_ (record, &message->facts.facts_val[message->facts.facts_len++]);
}

static void
add_changes_ (struct sr_gossip *gossip, member_message *message)
{
  g_autoptr (GPtrArray) changed = g_ptr_array_new ();

  for (size_t i = 0; i < sr_gossip_table_length (gossip->table); i++)
    {
      struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, i);

      if (record->transmissions_left > 0 && record != gossip->self
          && record->member.incarnation > 0)
        g_ptr_array_add (changed, record);
    }
  g_ptr_array_sort (changed, compare_transmissions_);
  for (guint i = 0; i < changed->len && i < SR_GOSSIP_CHANGES_MAX; i++)
    {
      struct sr_gossip_record *record = changed->pdata[i];

      add_fact_ (message, record);
      record->transmissions_left--;
    }
}

static int
compare_transmissions_ (const void *left, const void *right)
{
  const struct sr_gossip_record *a = *(struct sr_gossip_record *const *)left;
  const struct sr_gossip_record *b = *(struct sr_gossip_record *const *)right;

  if (a->transmissions_left != b->transmissions_left)
    return a->transmissions_left > b->transmissions_left ? -1 : 1;
  return strcmp (a->member.name, b->member.name);
}
