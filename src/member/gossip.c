#include "member/gossip-state.h"

#include <string.h>

enum
{
  PAUSE_INTERVALS = 3, /* a longer time between two ticks is taken as a pause of this instance */
  SUSPECT_INTERVALS_MIN = 3,   /* a helper needs two intervals to probe and report */
  SUSPICION_DOUBLINGS_MAX = 4, /* each false suspicion doubles the time-out, up to this often */
  /* One tick in this many, on average, also probes a dead member or an unknown seed. */
  REJOIN_ODDS = 4
};

static const int64_t default_forget_after_us = (int64_t)3600 * 1000 * 1000;

static void finish_pass_ (struct sr_gossip *gossip);
static void detect_pause_ (struct sr_gossip *gossip, int64_t now_us);
static void
update_state_ (struct sr_gossip *gossip, int64_t now_us, struct sr_gossip_record *record);
static void remove_expired_ (struct sr_gossip *gossip, int64_t now_us);
static void add_urgent_targets_ (struct sr_gossip *gossip, GArray *targets);
static void add_regular_targets_ (struct sr_gossip *gossip, GArray *targets);
static void add_rejoin_target_ (struct sr_gossip *gossip, GArray *targets);
static bool add_helper_ (struct sr_gossip *gossip, GArray *targets);
static const struct sr_gossip_record *next_of_probe_round_ (struct sr_gossip *gossip);
static void start_probe_round_ (struct sr_gossip *gossip);
static bool add_record_ (GArray *targets, const struct sr_gossip_record *record);
static bool is_healthy_ (const struct sr_gossip *gossip, const struct sr_gossip_record *record);
static bool is_urgent_ (const struct sr_gossip *gossip, const struct sr_gossip_record *record);
static bool has_failing_ (const struct sr_gossip *gossip);

/* Creates the state of one instance, whose table contains only itself. The caller owns it. */
struct sr_gossip *
sr_gossip_new (const struct sr_gossip_options *options, int64_t now_us)
{
  struct sr_gossip *gossip = g_new0 (struct sr_gossip, 1);
  struct sr_member *self;

  g_assert (options->incarnation > 0);
  g_assert (options->interval_us > 0 && options->fanout > 0);
  gossip->table = sr_gossip_table_new ();
  gossip->self = sr_gossip_table_insert (gossip->table, options->name);
  self = &gossip->self->member;
  g_strlcpy (self->data_centre, options->data_centre, sizeof self->data_centre);
  self->peer = options->address;
  self->entry_port = options->entry_port;
  self->incarnation = options->incarnation;
  self->is_self = true;
  gossip->random = g_rand_new_with_seed (options->seed);
  gossip->seeds = g_array_new (FALSE, FALSE, sizeof (struct sr_peer_address));
  if (options->n_seeds > 0)
    g_array_append_vals (gossip->seeds, options->seeds, (guint)options->n_seeds);
  gossip->probe_round = g_ptr_array_new_with_free_func (g_free);
  gossip->interval_us = options->interval_us;
  gossip->fanout = options->fanout;
  gossip->suspect_after_us
      = MAX (options->suspect_after_us, SUSPECT_INTERVALS_MIN * options->interval_us);
  gossip->dead_after_us
      = MAX (options->dead_after_us, gossip->suspect_after_us + options->interval_us);
  gossip->forget_after_us
      = options->forget_after_us > 0 ? options->forget_after_us : default_forget_after_us;
  gossip->last_tick_us = now_us;
  return gossip;
}

/* NULL is allowed. */
void
sr_gossip_delete (struct sr_gossip *gossip)
{
  if (gossip == NULL)
    return;
  sr_gossip_table_delete (gossip->table);
  g_rand_free (gossip->random);
  g_array_unref (gossip->seeds);
  g_ptr_array_unref (gossip->probe_round);
  g_free (gossip);
}

/* To be called once per interval. Updates the state of members whose probes fail, removes expired
 * ones, and appends to TARGETS (of struct sr_gossip_target) the peers to call now: at most twice
 * the fan-out plus one. */
void
sr_gossip_tick (struct sr_gossip *gossip, int64_t now_us, GArray *targets)
{
  detect_pause_ (gossip, now_us);
  for (size_t i = 0; i < sr_gossip_table_length (gossip->table); i++)
    update_state_ (gossip, now_us, sr_gossip_table_at (gossip->table, i));
  remove_expired_ (gossip, now_us);
  add_urgent_targets_ (gossip, targets);
  add_regular_targets_ (gossip, targets);
  if (sr_gossip_table_length (gossip->table) == 1
      || g_rand_int_range (gossip->random, 0, REJOIN_ODDS) == 0)
    add_rejoin_target_ (gossip, targets);
}

/* Fills MESSAGE, which must be zeroed, with the request to TARGET; to be freed with xdr_free. */
void
sr_gossip_fill_request (struct sr_gossip *gossip,
                        const struct sr_gossip_target *target,
                        member_message *message)
{
  sr_gossip_message_begin (gossip, target->name, 0, message);
  if (target->name[0] != '\0' && strcmp (target->name, gossip->helper) == 0)
    sr_gossip_message_add_checks (gossip, message);
}

/* Applies REQUEST and fills REPLY, which must be zeroed and is to be freed with xdr_free. An
 * invalid request is counted; its reply carries no page and no ages. */
void
sr_gossip_handle_request (struct sr_gossip *gossip,
                          int64_t now_us,
                          const member_message *request,
                          member_message *reply)
{
  bool valid;

  /* The reply must contain a suspicion of the sender, which the merge would clear, so that the
   * sender can refute it. */
  sr_gossip_message_begin (gossip, request->sender.name, request->sender.incarnation, reply);
  valid = sr_gossip_merge_message (gossip, now_us, request);
  if (!valid)
    return;
  sr_gossip_message_add_ages (gossip, now_us, request, reply);
  sr_gossip_message_add_page (gossip, request, reply);
}

/* Applies the REPLY of TARGET. An invalid reply, or one from another instance than TARGET names,
 * counts as a failed probe. */
void
sr_gossip_handle_reply (struct sr_gossip *gossip,
                        int64_t now_us,
                        const struct sr_gossip_target *target,
                        const member_message *reply)
{
  bool valid = sr_gossip_merge_message (gossip, now_us, reply);

  if (!valid || (target->name[0] != '\0' && strcmp (target->name, reply->sender.name) != 0))
    sr_gossip_handle_failure (gossip, now_us, target);
  if (!valid)
    return;
  sr_gossip_merge_ages (gossip, now_us, reply);
  g_strlcpy (gossip->page_cursor, reply->after, sizeof gossip->page_cursor);
  if (gossip->page_cursor[0] == '\0')
    finish_pass_ (gossip);
}

/* TARGET did not reply: its suspicion time-out starts, and it is no longer the helper. */
void
sr_gossip_handle_failure (struct sr_gossip *gossip,
                          int64_t now_us,
                          const struct sr_gossip_target *target)
{
  struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, target->name);

  if (strcmp (gossip->helper, target->name) == 0)
    gossip->helper[0] = '\0';
  if (record == NULL || record == gossip->self || record->failing_since_us != 0)
    return;
  if (record->member.state != SR_MEMBER_DEAD)
    record->failing_since_us = now_us;
}

/* Applies one entry of the platform's list. Since the list lags behind, an unknown instance is
 * added as suspect until a message or fact arrives, and an entry never overrides a fact from
 * gossip. */
void
sr_gossip_add_listed (struct sr_gossip *gossip, int64_t now_us, const struct sr_member *listed)
{
  struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, listed->name);

  if (record != NULL && record->member.incarnation > 0)
    return;
  if (record == NULL)
    {
      if (sr_gossip_table_length (gossip->table) >= SR_GOSSIP_MEMBERS_MAX)
        {
          gossip->counts.full++;
          return;
        }
      record = sr_gossip_table_insert (gossip->table, listed->name);
      record->probe_requested = true;
      record->member.state = SR_MEMBER_SUSPECT;
      record->member.last_seen_us = now_us;
    }
  g_strlcpy (record->member.data_centre, listed->data_centre, sizeof record->member.data_centre);
  record->member.peer = listed->peer;
  record->member.entry_port = listed->entry_port;
}

/* Sets the configuration revision in force here, which is sent in every message. A lower one than
 * before has no effect. */
void
sr_gossip_set_revision (struct sr_gossip *gossip, int64_t revision)
{
  gossip->self->member.revision = MAX (gossip->self->member.revision, revision);
}

/* Announces to the peers, until the process ends, that this instance leaves. */
void
sr_gossip_set_leaving (struct sr_gossip *gossip)
{
  if (gossip->self->leaving)
    return;
  gossip->self->leaving = true;
  gossip->self->member.state = SR_MEMBER_LEAVING;
  gossip->self->heartbeat++;
}

/* Returns a snapshot of the table; the caller owns one reference. */
struct sr_member_view *
sr_gossip_view (const struct sr_gossip *gossip, int64_t now_us)
{
  size_t length = sr_gossip_table_length (gossip->table);
  struct sr_member *members = g_new (struct sr_member, length);
  struct sr_member_view *view;

  gossip->self->member.last_seen_us = now_us;
  for (size_t i = 0; i < length; i++)
    members[i] = sr_gossip_table_at (gossip->table, i)->member;
  view = sr_member_view_new (members, length);
  g_free (members);
  return view;
}

/* The counts are valid as long as GOSSIP. */
const struct sr_gossip_counts *
sr_gossip_counts (const struct sr_gossip *gossip)
{
  return &gossip->counts;
}

/* As long as a pass finds unknown members, as after a start, the next one uses long pages again. */
static void
finish_pass_ (struct sr_gossip *gossip)
{
  gossip->joined = gossip->new_members == 0;
  gossip->new_members = 0;
}

/* An instance that was not running for a while (the process or its machine was stopped) received no
 * messages in that time. That is no evidence against its peers, so their suspicion time-outs are
 * extended by the pause. */
static void
detect_pause_ (struct sr_gossip *gossip, int64_t now_us)
{
  int64_t elapsed_us = now_us - gossip->last_tick_us;

  gossip->last_tick_us = now_us;
  if (elapsed_us <= PAUSE_INTERVALS * gossip->interval_us)
    return;
  gossip->counts.pauses++;
  for (size_t i = 0; i < sr_gossip_table_length (gossip->table); i++)
    {
      struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, i);

      if (record->failing_since_us != 0)
        record->failing_since_us = MIN (record->failing_since_us + elapsed_us, now_us);
    }
}

static void
update_state_ (struct sr_gossip *gossip, int64_t now_us, struct sr_gossip_record *record)
{
  struct sr_member *member = &record->member;
  int64_t failing_us = now_us - record->failing_since_us;
  unsigned doublings = MIN (record->false_suspicions, SUSPICION_DOUBLINGS_MAX);
  int64_t suspect_after_us = gossip->suspect_after_us << doublings;

  if (record->failing_since_us == 0 || member->state == SR_MEMBER_DEAD)
    return;
  if (member->state == SR_MEMBER_ALIVE && failing_us >= suspect_after_us)
    {
      member->state = SR_MEMBER_SUSPECT;
      gossip->counts.suspects++;
      sr_gossip_disseminate (gossip, record);
    }
  else if (member->state != SR_MEMBER_ALIVE
           && failing_us >= suspect_after_us + gossip->dead_after_us - gossip->suspect_after_us)
    {
      member->state = SR_MEMBER_DEAD;
      record->dead_since_us = now_us;
      record->failing_since_us = 0;
      gossip->counts.deaths++;
      sr_gossip_disseminate (gossip, record);
    }
}

static void
remove_expired_ (struct sr_gossip *gossip, int64_t now_us)
{
  for (size_t i = sr_gossip_table_length (gossip->table); i-- > 0;)
    {
      const struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, i);

      if (record->member.state == SR_MEMBER_DEAD
          && now_us - record->dead_since_us >= gossip->forget_after_us)
        sr_gossip_table_remove_at (gossip->table, i);
    }
}

/* Adds members whose probes fail or were requested, continuing from the previous tick. */
static void
add_urgent_targets_ (struct sr_gossip *gossip, GArray *targets)
{
  size_t length = sr_gossip_table_length (gossip->table);
  size_t start = gossip->next_urgent_index;
  unsigned added = 0;

  for (size_t i = 0; i < length && added < gossip->fanout; i++)
    {
      size_t index = (start + i) % length;
      struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, index);

      if (!is_urgent_ (gossip, record) || !add_record_ (targets, record))
        continue;
      record->probe_requested = false;
      gossip->next_urgent_index = index + 1;
      added++;
    }
}

/* Adds as many healthy members as the fan-out: the helper first if there are failing members, then
 * the others in rounds of random order. */
static void
add_regular_targets_ (struct sr_gossip *gossip, GArray *targets)
{
  size_t tries = 2 * sr_gossip_table_length (gossip->table);
  unsigned added = 0;

  if (has_failing_ (gossip) && add_helper_ (gossip, targets))
    added++;
  while (added < gossip->fanout && tries-- > 0)
    {
      const struct sr_gossip_record *record = next_of_probe_round_ (gossip);

      if (record != NULL && add_record_ (targets, record))
        added++;
    }
}

static bool
add_helper_ (struct sr_gossip *gossip, GArray *targets)
{
  const struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, gossip->helper);

  if (record == NULL || !is_healthy_ (gossip, record))
    record = next_of_probe_round_ (gossip);
  if (record == NULL || !add_record_ (targets, record))
    return false;
  g_strlcpy (gossip->helper, record->member.name, sizeof gossip->helper);
  return true;
}

/* Adds a random dead member, or a seed whose address no live member has, so that the parts of a
 * fleet find each other again after a network partition. */
static void
add_rejoin_target_ (struct sr_gossip *gossip, GArray *targets)
{
  g_autoptr (GArray) candidates = g_array_new (FALSE, TRUE, sizeof (struct sr_gossip_target));

  for (size_t i = 0; i < sr_gossip_table_length (gossip->table); i++)
    {
      const struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, i);

      if (record->member.state == SR_MEMBER_DEAD)
        add_record_ (candidates, record);
    }
  for (guint i = 0; i < gossip->seeds->len; i++)
    {
      struct sr_gossip_target target
          = { .address = g_array_index (gossip->seeds, struct sr_peer_address, i) };

      if (sr_gossip_table_find_address (gossip->table, &target.address) == NULL)
        g_array_append_val (candidates, target);
    }
  if (candidates->len > 0)
    {
      guint index = (guint)g_rand_int_range (gossip->random, 0, (gint32)candidates->len);

      g_array_append_val (targets, g_array_index (candidates, struct sr_gossip_target, index));
    }
}

/* Returns the next healthy member of this round, or NULL when a new round has none. */
static const struct sr_gossip_record *
next_of_probe_round_ (struct sr_gossip *gossip)
{
  if (gossip->probe_round->len == 0)
    start_probe_round_ (gossip);
  while (gossip->probe_round->len > 0)
    {
      g_autofree char *name
          = g_ptr_array_steal_index_fast (gossip->probe_round, gossip->probe_round->len - 1);
      const struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, name);

      if (record != NULL && is_healthy_ (gossip, record))
        return record;
    }
  return NULL;
}

static void
start_probe_round_ (struct sr_gossip *gossip)
{
  for (size_t i = 0; i < sr_gossip_table_length (gossip->table); i++)
    {
      const struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, i);

      if (is_healthy_ (gossip, record))
        g_ptr_array_add (gossip->probe_round, g_strdup (record->member.name));
    }
  for (guint i = gossip->probe_round->len; i > 1; i--)
    {
      guint other = (guint)g_rand_int_range (gossip->random, 0, (gint32)i);
      void *name = gossip->probe_round->pdata[i - 1];

      gossip->probe_round->pdata[i - 1] = gossip->probe_round->pdata[other];
      gossip->probe_round->pdata[other] = name;
    }
}

/* Appends RECORD to TARGETS. Returns false if it is already there. */
static bool
add_record_ (GArray *targets, const struct sr_gossip_record *record)
{
  struct sr_gossip_target target = { .address = record->member.peer };

  for (guint i = 0; i < targets->len; i++)
    {
      if (strcmp (g_array_index (targets, struct sr_gossip_target, i).name, record->member.name)
          == 0)
        return false;
    }
  g_strlcpy (target.name, record->member.name, sizeof target.name);
  g_array_append_val (targets, target);
  return true;
}

static bool
is_healthy_ (const struct sr_gossip *gossip, const struct sr_gossip_record *record)
{
  return record != gossip->self && record->failing_since_us == 0
         && (record->member.state == SR_MEMBER_ALIVE || record->member.state == SR_MEMBER_LEAVING);
}

static bool
is_urgent_ (const struct sr_gossip *gossip, const struct sr_gossip_record *record)
{
  return record != gossip->self
         && (record->probe_requested
             || (record->failing_since_us != 0 && record->member.state != SR_MEMBER_DEAD));
}

static bool
has_failing_ (const struct sr_gossip *gossip)
{
  for (size_t i = 0; i < sr_gossip_table_length (gossip->table); i++)
    {
      if (sr_gossip_table_at (gossip->table, i)->failing_since_us != 0)
        return true;
    }
  return false;
}
