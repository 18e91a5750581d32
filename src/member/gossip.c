#include "member/gossip-state.h"

#include <string.h>

enum
{
  PAUSE_INTERVALS = 3,       /* a longer time between two ticks is a pause of this instance */
  SUSPECT_INTERVALS_MIN = 3, /* a helper needs two intervals to answer */
  SUSPICION_DOUBLINGS_MAX = 4,
  OUTSIDER_ODDS = 4, /* one tick in so many also tries a dead member or a seed */
};

static const int64_t default_forget_after_us = (int64_t)3600 * 1000 * 1000;

static void end_pass_ (struct sr_gossip *gossip);
static void notice_pause_ (struct sr_gossip *gossip, int64_t now_us);
static void judge_ (struct sr_gossip *gossip, int64_t now_us, struct sr_gossip_record *record);
static void forget_ (struct sr_gossip *gossip, int64_t now_us);
static void add_urgent_ (struct sr_gossip *gossip, GArray *targets);
static void add_regular_ (struct sr_gossip *gossip, GArray *targets);
static void add_outsider_ (struct sr_gossip *gossip, GArray *targets);
static bool add_helper_ (struct sr_gossip *gossip, GArray *targets);
static const struct sr_gossip_record *next_of_round_ (struct sr_gossip *gossip);
static void start_round_ (struct sr_gossip *gossip);
static bool add_record_ (GArray *targets, const struct sr_gossip_record *record);
static bool is_sound_ (const struct sr_gossip *gossip, const struct sr_gossip_record *record);
static bool is_urgent_ (const struct sr_gossip *gossip, const struct sr_gossip_record *record);
static bool has_failing_ (const struct sr_gossip *gossip);

/* Creates the gossip of one instance, which knows only itself at NOW_US. The caller owns it. */
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
  gossip->round = g_ptr_array_new_with_free_func (g_free);
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

/* Frees GOSSIP. NULL is allowed. */
void
sr_gossip_delete (struct sr_gossip *gossip)
{
  if (gossip == NULL)
    return;
  sr_gossip_table_delete (gossip->table);
  g_rand_free (gossip->random);
  g_array_unref (gossip->seeds);
  g_ptr_array_unref (gossip->round);
  g_free (gossip);
}

/* One interval has passed: judges the members whose probes fail, and appends to TARGETS (of struct
 * sr_gossip_target) whom to call now: at most twice the fan-out and one. */
void
sr_gossip_tick (struct sr_gossip *gossip, int64_t now_us, GArray *targets)
{
  notice_pause_ (gossip, now_us);
  for (size_t i = 0; i < sr_gossip_table_length (gossip->table); i++)
    judge_ (gossip, now_us, sr_gossip_table_at (gossip->table, i));
  forget_ (gossip, now_us);
  add_urgent_ (gossip, targets);
  add_regular_ (gossip, targets);
  if (sr_gossip_table_length (gossip->table) == 1
      || g_rand_int_range (gossip->random, 0, OUTSIDER_ODDS) == 0)
    add_outsider_ (gossip, targets);
}

/* Fills MESSAGE (zeroed) with the request to TARGET; freed with xdr_free. */
void
sr_gossip_fill_request (struct sr_gossip *gossip,
                        const struct sr_gossip_target *target,
                        member_message *message)
{
  sr_gossip_message_begin (gossip, target->name, 0, message);
  if (target->name[0] != '\0' && strcmp (target->name, gossip->helper) == 0)
    sr_gossip_message_add_checks (gossip, message);
}

/* Takes REQUEST and fills ANSWER (zeroed; freed with xdr_free). An invalid request is counted, and
 * its answer says only who this instance is. */
void
sr_gossip_handle_request (struct sr_gossip *gossip,
                          int64_t now_us,
                          const member_message *request,
                          member_message *answer)
{
  bool valid;

  /* What is held against the sender goes into the answer before its message clears it here. */
  sr_gossip_message_begin (gossip, request->sender.name, request->sender.incarnation, answer);
  valid = sr_gossip_merge_message (gossip, now_us, request);
  if (!valid)
    return;
  sr_gossip_message_add_ages (gossip, now_us, request, answer);
  sr_gossip_message_add_page (gossip, request, answer);
}

/* Takes the ANSWER of TARGET. */
void
sr_gossip_handle_answer (struct sr_gossip *gossip,
                         int64_t now_us,
                         const struct sr_gossip_target *target,
                         const member_message *answer)
{
  bool valid = sr_gossip_merge_message (gossip, now_us, answer);

  if (!valid || (target->name[0] != '\0' && strcmp (target->name, answer->sender.name) != 0))
    sr_gossip_handle_failure (gossip, now_us, target);
  if (!valid)
    return;
  sr_gossip_merge_ages (gossip, now_us, answer);
  g_strlcpy (gossip->page_after, answer->after, sizeof gossip->page_after);
  if (gossip->page_after[0] == '\0')
    end_pass_ (gossip);
}

/* TARGET gave no answer: its time to be suspected starts, and it helps no longer. */
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

/* Takes one entry of the platform's list, which lags: it makes an unknown instance known as
 * suspect, until it is heard, and never overrides what gossip has said. */
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
      record->probe_wanted = true;
      record->member.state = SR_MEMBER_SUSPECT;
      record->member.last_heard_us = now_us;
    }
  g_strlcpy (record->member.data_centre, listed->data_centre, sizeof record->member.data_centre);
  record->member.peer = listed->peer;
  record->member.entry_port = listed->entry_port;
}

/* Sets the configuration revision in force here; it goes out with every message. */
void
sr_gossip_set_revision (struct sr_gossip *gossip, int64_t revision)
{
  gossip->self->member.revision = MAX (gossip->self->member.revision, revision);
}

/* This instance leaves: told to the others until its process ends. */
void
sr_gossip_set_leaving (struct sr_gossip *gossip)
{
  if (gossip->self->leaving)
    return;
  gossip->self->leaving = true;
  gossip->self->member.state = SR_MEMBER_LEAVING;
  gossip->self->heartbeat++;
}

/* Returns a view of what is known at NOW_US; the caller owns one reference. */
struct sr_member_view *
sr_gossip_view (const struct sr_gossip *gossip, int64_t now_us)
{
  size_t length = sr_gossip_table_length (gossip->table);
  struct sr_member *members = g_new (struct sr_member, length);
  struct sr_member_view *view;

  gossip->self->member.last_heard_us = now_us;
  for (size_t i = 0; i < length; i++)
    members[i] = sr_gossip_table_at (gossip->table, i)->member;
  view = sr_member_view_new (members, length);
  g_free (members);
  return view;
}

/* Returns the counts; they live as long as GOSSIP. */
const struct sr_gossip_counts *
sr_gossip_counts (const struct sr_gossip *gossip)
{
  return &gossip->counts;
}

/* While a pass brings news, as after a start, the next one asks for long pages again. */
static void
end_pass_ (struct sr_gossip *gossip)
{
  gossip->joined = gossip->learnt == 0;
  gossip->learnt = 0;
}

/* An instance that did not run for a while (stopped, or its machine was) has heard nobody in that
 * time; this says nothing of the others, so their times move on by it. */
static void
notice_pause_ (struct sr_gossip *gossip, int64_t now_us)
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
judge_ (struct sr_gossip *gossip, int64_t now_us, struct sr_gossip_record *record)
{
  struct sr_member *member = &record->member;
  int64_t failing_us = now_us - record->failing_since_us;
  unsigned doublings = MIN (record->suspicions, SUSPICION_DOUBLINGS_MAX);
  int64_t suspect_after_us = gossip->suspect_after_us << doublings;

  if (record->failing_since_us == 0 || member->state == SR_MEMBER_DEAD)
    return;
  if (member->state == SR_MEMBER_ALIVE && failing_us >= suspect_after_us)
    {
      member->state = SR_MEMBER_SUSPECT;
      gossip->counts.suspects++;
      sr_gossip_spread (gossip, record);
    }
  else if (member->state != SR_MEMBER_ALIVE
           && failing_us >= suspect_after_us + gossip->dead_after_us - gossip->suspect_after_us)
    {
      member->state = SR_MEMBER_DEAD;
      record->dead_since_us = now_us;
      record->failing_since_us = 0;
      gossip->counts.deaths++;
      sr_gossip_spread (gossip, record);
    }
}

static void
forget_ (struct sr_gossip *gossip, int64_t now_us)
{
  for (size_t i = sr_gossip_table_length (gossip->table); i-- > 0;)
    {
      const struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, i);

      if (record->member.state == SR_MEMBER_DEAD
          && now_us - record->dead_since_us >= gossip->forget_after_us)
        sr_gossip_table_remove_at (gossip->table, i);
    }
}

/* Members whose probes fail, or of whom others have asked, in turn. */
static void
add_urgent_ (struct sr_gossip *gossip, GArray *targets)
{
  size_t length = sr_gossip_table_length (gossip->table);
  size_t start = gossip->urgent_turn;
  unsigned added = 0;

  for (size_t i = 0; i < length && added < gossip->fanout; i++)
    {
      size_t index = (start + i) % length;
      struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, index);

      if (!is_urgent_ (gossip, record) || !add_record_ (targets, record))
        continue;
      record->probe_wanted = false;
      gossip->urgent_turn = index + 1;
      added++;
    }
}

/* As many as the fan-out of those that seem well: the helper first, the others in random rounds. */
static void
add_regular_ (struct sr_gossip *gossip, GArray *targets)
{
  size_t tries = 2 * sr_gossip_table_length (gossip->table);
  unsigned added = 0;

  if (has_failing_ (gossip) && add_helper_ (gossip, targets))
    added++;
  while (added < gossip->fanout && tries-- > 0)
    {
      const struct sr_gossip_record *record = next_of_round_ (gossip);

      if (record != NULL && add_record_ (targets, record))
        added++;
    }
}

static bool
add_helper_ (struct sr_gossip *gossip, GArray *targets)
{
  const struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, gossip->helper);

  if (record == NULL || !is_sound_ (gossip, record))
    record = next_of_round_ (gossip);
  if (record == NULL || !add_record_ (targets, record))
    return false;
  g_strlcpy (gossip->helper, record->member.name, sizeof gossip->helper);
  return true;
}

/* A dead member or a seed nobody is known at: so halves of a fleet find each other again. */
static void
add_outsider_ (struct sr_gossip *gossip, GArray *targets)
{
  g_autoptr (GArray) outsiders = g_array_new (FALSE, TRUE, sizeof (struct sr_gossip_target));

  for (size_t i = 0; i < sr_gossip_table_length (gossip->table); i++)
    {
      const struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, i);

      if (record->member.state == SR_MEMBER_DEAD)
        add_record_ (outsiders, record);
    }
  for (guint i = 0; i < gossip->seeds->len; i++)
    {
      struct sr_gossip_target target
          = { .address = g_array_index (gossip->seeds, struct sr_peer_address, i) };

      if (sr_gossip_table_find_address (gossip->table, &target.address) == NULL)
        g_array_append_val (outsiders, target);
    }
  if (outsiders->len > 0)
    {
      guint index = (guint)g_rand_int_range (gossip->random, 0, (gint32)outsiders->len);

      g_array_append_val (targets, g_array_index (outsiders, struct sr_gossip_target, index));
    }
}

/* The next member of this round that seems well, or NULL when a round has none. */
static const struct sr_gossip_record *
next_of_round_ (struct sr_gossip *gossip)
{
  if (gossip->round->len == 0)
    start_round_ (gossip);
  while (gossip->round->len > 0)
    {
      g_autofree char *name = g_ptr_array_steal_index_fast (gossip->round, gossip->round->len - 1);
      const struct sr_gossip_record *record = sr_gossip_table_find (gossip->table, name);

      if (record != NULL && is_sound_ (gossip, record))
        return record;
    }
  return NULL;
}

static void
start_round_ (struct sr_gossip *gossip)
{
  for (size_t i = 0; i < sr_gossip_table_length (gossip->table); i++)
    {
      const struct sr_gossip_record *record = sr_gossip_table_at (gossip->table, i);

      if (is_sound_ (gossip, record))
        g_ptr_array_add (gossip->round, g_strdup (record->member.name));
    }
  for (guint i = gossip->round->len; i > 1; i--)
    {
      guint other = (guint)g_rand_int_range (gossip->random, 0, (gint32)i);
      void *name = gossip->round->pdata[i - 1];

      gossip->round->pdata[i - 1] = gossip->round->pdata[other];
      gossip->round->pdata[other] = name;
    }
}

/* Appends RECORD to TARGETS unless it is there. */
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
is_sound_ (const struct sr_gossip *gossip, const struct sr_gossip_record *record)
{
  return record != gossip->self && record->failing_since_us == 0
         && (record->member.state == SR_MEMBER_ALIVE || record->member.state == SR_MEMBER_LEAVING);
}

static bool
is_urgent_ (const struct sr_gossip *gossip, const struct sr_gossip_record *record)
{
  return record != gossip->self
         && (record->probe_wanted
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
