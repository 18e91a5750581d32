/* Obtains tokens from the store or from peers, and returns those that are not needed. */
#include "allotment/allotment-private.h"

#include "base/event-log.h"
#include "base/rendezvous.h"

#include <string.h>

enum
{
  US_PER_MS = 1000,
  SUBSTITUTE_KEEP_US
  = 3000000, /* a substitute keeps what it drew, as the primary may stay unreachable */
  STORE_CALL_LATE_US
  = 150 * US_PER_MS, /* after this time a call is not waited for: peers may have tokens */
  STORE_BACKOFF_US = 500 * US_PER_MS, /* pause of all teams after a failed call of one; doubles */
  STORE_BACKOFF_MAX_US = 4000000,     /* usually the store's watches report it reachable sooner */
  STORE_RETRY_US = 50 * US_PER_MS,    /* after a call whose reply was lost */
  STORE_DOWN_RETRY_US = 300 * US_PER_MS, /* after any other failure */
  RECORD_FRESH_US = 150 * US_PER_MS, /* age up to which a record is trusted to show what remains */
  EXHAUSTED_RECORD_FRESH_US
  = 1000000 /* the same if nothing remains on it, as tokens are rarely returned */
};

enum token_source_
{
  SOURCE_NONE,
  SOURCE_STORE,
  SOURCE_PEER
};

static void verify_overdue_write_ (struct allotment_manager *manager,
                                   struct allotment_team *team,
                                   int64_t now_us);
static int64_t latest_end_ms_ (const struct allotment_manager *manager,
                               const struct sr_holder_id *id,
                               int64_t now_us);
static void write_record_if_due_ (struct allotment_manager *manager,
                                  struct allotment_team *team,
                                  int64_t now_us);
static bool freeze_is_due_ (const struct allotment_manager *manager,
                            const struct allotment_team *team,
                            int64_t now_us);
static void
process_team_once_ (struct allotment_manager *manager, struct allotment_team *team, int64_t now_us);
static bool store_is_unavailable_ (const struct allotment_manager *manager,
                                   const struct allotment_team *team,
                                   int64_t now_us);
static bool may_call_store_ (const struct allotment_manager *manager,
                             const struct allotment_team *team,
                             int64_t now_us);
static void fetch_for_waiters_ (struct allotment_manager *manager,
                                struct allotment_team *team,
                                int64_t need,
                                int64_t now_us);
static enum token_source_ choose_token_source_ (struct allotment_manager *manager,
                                                struct allotment_team *team,
                                                bool store_down,
                                                struct allotment_peer **peer,
                                                int64_t now_us);
static void draw_ (struct allotment_manager *manager,
                   struct allotment_team *team,
                   int64_t need,
                   int64_t want,
                   int64_t now_us);
static void read_ (struct allotment_manager *manager, struct allotment_team *team, int64_t now_us);
static void write_ (struct allotment_manager *manager,
                    struct allotment_team *team,
                    struct sr_record *record,
                    int64_t need,
                    int64_t now_us);
static struct sr_record *copy_record_for_write_ (struct allotment_manager *manager,
                                                 struct allotment_team *team,
                                                 int64_t now_us);
static bool is_dead_ (const struct allotment_manager *manager, const struct sr_holder_id *id);
static void begin_loan_request_ (struct allotment_manager *manager,
                                 struct allotment_team *team,
                                 const char *peer,
                                 const struct sr_source *loan,
                                 int64_t need,
                                 int64_t now_us);
static void borrow_ (struct allotment_manager *manager,
                     struct allotment_team *team,
                     struct allotment_peer *lender,
                     int64_t need,
                     int64_t now_us);
static struct sr_source *loan_to_return_ (const struct allotment_manager *manager,
                                          const struct allotment_team *team,
                                          const struct allotment_peer *primary,
                                          int64_t now_us);

/* Serves the reservations and loan requests of TEAM that can be served, and requests missing tokens
 * from the primary or the store. A callback may settle or reserve, which calls this again while the
 * queues are in use: the inner call only has the outer one repeat its work. */
void
allotment_process_team_ (struct allotment_manager *manager,
                         struct allotment_team *team,
                         int64_t now_us)
{
  team->process_again = true;
  if (team->is_processing)
    return;
  team->is_processing = true;
  while (team->process_again)
    {
      team->process_again = false;
      process_team_once_ (manager, team, now_us);
    }
  team->is_processing = false;
}

static void
process_team_once_ (struct allotment_manager *manager, struct allotment_team *team, int64_t now_us)
{
  struct allotment_peer *primary = allotment_primary_ (manager, team, now_us);
  int64_t need;

  sr_ledger_advance_time (team->ledger, now_us);
  verify_overdue_write_ (manager, team, now_us);
  allotment_serve_waiters_ (team, now_us);
  allotment_serve_loan_requests_ (manager, team, now_us);
  if (manager->stopping)
    {
      allotment_refuse_waiters_ (team, INT64_MAX, now_us);
      return;
    }
  need = allotment_needed_by_waiters_ (team) + allotment_needed_by_loan_requests_ (team)
         - sr_ledger_available (team->ledger);
  if (primary == NULL || (need > 0 && !g_queue_is_empty (&team->loan_requests)))
    {
      /* Loan requests are met from the store, not by borrowing: the borrower knows the other peers.
       */
      int64_t target = primary == NULL ? allotment_primary_target_ (manager, team, now_us)
                                       : allotment_substitute_target_ (manager, team, now_us);
      int64_t available = sr_ledger_available (team->ledger) + allotment_held_back_ (team);

      if (need > 0 || available < target * 3 / 4)
        draw_ (manager, team, MAX (need, 0), MAX (target - available, 0), now_us);
    }
  need = allotment_needed_by_waiters_ (team) - sr_ledger_available (team->ledger);
  if (need > 0 && !g_queue_is_empty (&team->waiters))
    fetch_for_waiters_ (manager, team, need, now_us);
  allotment_refuse_overdue_ (manager, team, now_us);
  write_record_if_due_ (manager, team, now_us);
}

/* Returns unused loans to their lender, and the own allotment to the store if this instance is not
 * the primary, holds far more than the demand, or stops. */
void
allotment_return_idle_ (struct allotment_manager *manager,
                        struct allotment_team *team,
                        int64_t now_us)
{
  const struct allotment_peer *primary = allotment_primary_ (manager, team, now_us);
  struct sr_source *loan
      = team->is_borrowing ? NULL : loan_to_return_ (manager, team, primary, now_us);
  enum sr_ledger_close_mode ending = SR_LEDGER_KEEP_OPEN;
  int64_t keep = 0;
  struct sr_record *record;

  if (loan != NULL)
    {
      const struct sr_holder_id lender = loan->id;

      sr_ledger_return_loan (team->ledger, &lender, 0);
      loan->reported_total = loan->used + loan->transferred;
      begin_loan_request_ (manager, team, lender.instance, loan, 0, now_us);
    }
  if (team->ledger->own == NULL || !may_call_store_ (manager, team, now_us))
    return;
  /* After a write whose reply was lost, only a read shows what can be returned. */
  if (team->record == NULL)
    {
      if (primary != NULL || manager->stopping)
        read_ (manager, team, now_us);
      return;
    }
  if (manager->stopping)
    ending = SR_LEDGER_CLOSE;
  else if (primary == NULL)
    keep = allotment_primary_target_ (manager, team, now_us);
  else if (!manager->draining && team->last_draw_us != 0
           && now_us - team->last_draw_us < SUBSTITUTE_KEEP_US)
    keep = allotment_substitute_target_ (manager, team, now_us);
  else if (team->ledger->own->reserved == 0 && sr_source_open_loans (team->ledger->own) == 0)
    ending = SR_LEDGER_CLOSE_RETURNED;
  if (ending == SR_LEDGER_KEEP_OPEN
      && sr_source_available (team->ledger->own) + allotment_held_back_ (team)
             <= keep * 3 / 2 + MAX (team->prepaid_tokens / ALLOTMENT_MIN_DRAW_DIVISOR_, 1))
    return;
  record = copy_record_for_write_ (manager, team, now_us);
  if (sr_ledger_give_back (team->ledger, record, team->revision, keep, ending))
    write_ (manager, team, record, 0, now_us);
  else
    sr_record_delete (record);
}

/* Returns the upper bound of what is left of the budget: the prepaid total less what is settled,
 * what this instance and its borrowers have spent, what other holders have reported as spent, and
 * what dead holders may have spent. */
int64_t
allotment_left_upper_bound_ (const struct allotment_manager *manager,
                             const struct allotment_team *team,
                             int64_t now_us)
{
  const struct sr_record *record = team->record;
  int64_t left = MAX (record->prepaid, team->prepaid_tokens) - record->settled;

  for (unsigned i = 0; i < record->holders->len; i++)
    {
      const struct sr_record_holder *holder
          = &g_array_index (record->holders, struct sr_record_holder, i);

      left -= is_dead_ (manager, &holder->id)
                  ? sr_record_max_spent (holder, latest_end_ms_ (manager, &holder->id, now_us))
                  : MAX (sr_ledger_spent_of (team->ledger, &holder->id), holder->spent);
    }
  return left;
}

/* Handles a failed store call of TEAM: sets when calls are made again. */
void
allotment_store_failed_ (struct allotment_manager *manager,
                         struct allotment_team *team,
                         enum store_status status,
                         int64_t now_us)
{
  /* The reply was lost while later ones arrived: the store itself is reachable. */
  bool only_reply_lost
      = status == STORE_UNKNOWN && manager->store_answered_us > team->step_started_us;

  team->store_retry_us = now_us + (status == STORE_UNKNOWN ? STORE_RETRY_US : STORE_DOWN_RETRY_US);
  team->store_is_down = true;
  if (!only_reply_lost && status != STORE_INVALID && manager->store_out_until_us != INT64_MAX)
    manager->store_out_until_us
        = now_us
          + MIN ((int64_t)STORE_BACKOFF_US << MIN (manager->store_failures, 8U),
                 (int64_t)STORE_BACKOFF_MAX_US);
  if (!only_reply_lost)
    manager->store_failures++;
  sr_event (SR_EVENT_WARNING, "allotment_store_failed", "{s:s,s:s,s:I}", "team", team->name,
            "status", store_status_to_string (status), "available",
            (json_int_t)sr_ledger_available (team->ledger));
  if (!only_reply_lost)
    allotment_reply_to_loan_requests_ (manager, team, SUPPLY_OUT_OF_REACH, now_us);
}

/* Returns whether no result of the store can be expected soon. */
static bool
store_is_unavailable_ (const struct allotment_manager *manager,
                       const struct allotment_team *team,
                       int64_t now_us)
{
  return now_us < manager->store_out_until_us
         || (team->store_is_down && now_us < team->store_retry_us)
         || (team->step != STEP_IDLE && now_us - team->step_started_us > STORE_CALL_LATE_US);
}

/* Returns whether a store call for the record of TEAM can be made now. */
static bool
may_call_store_ (const struct allotment_manager *manager,
                 const struct allotment_team *team,
                 int64_t now_us)
{
  return team->step == STEP_IDLE && now_us >= team->store_retry_us
         && now_us >= manager->store_out_until_us;
}

struct allotment_peer *
allotment_peer_find_ (const struct allotment_manager *manager, const char *name)
{
  for (unsigned i = 0; i < manager->peers->len; i++)
    if (strcmp (((struct allotment_peer *)manager->peers->pdata[i])->name, name) == 0)
      return manager->peers->pdata[i];
  return NULL;
}

/* Reads the record of TEAM if a peer has ended that may have drawn since the last read: after a
 * restore of the store, what it drew would be known to nobody. */
void
allotment_read_after_end_ (struct allotment_manager *manager,
                           struct allotment_team *team,
                           int64_t now_us)
{
  if (may_call_store_ (manager, team, now_us)
      && allotment_ended_holder_is_unread_ (manager, team, now_us))
    read_ (manager, team, now_us);
}

/* Obtains NEED tokens for waiting reservations: from the first instance in the team's rendezvous
 * order that can be expected to have or draw them. Refuses the reservations if there is none. */
static void
fetch_for_waiters_ (struct allotment_manager *manager,
                    struct allotment_team *team,
                    int64_t need,
                    int64_t now_us)
{
  struct allotment_peer *peer = NULL;
  bool store_down = store_is_unavailable_ (manager, team, now_us);
  int64_t prefetch;

  if (team->is_borrowing || (team->step != STEP_IDLE && !store_down))
    return;
  switch (choose_token_source_ (manager, team, store_down, &peer, now_us))
    {
    case SOURCE_STORE:
      prefetch = allotment_substitute_target_ (manager, team, now_us)
                 - sr_ledger_available (team->ledger);
      draw_ (manager, team, need, MAX (prefetch, 0), now_us);
      return;
    case SOURCE_PEER:
      borrow_ (manager, team, peer, need, now_us);
      return;
    case SOURCE_NONE:
      allotment_refuse_waiters_ (team, INT64_MAX, now_us);
      return;
    }
}

/* Chooses where to obtain tokens of TEAM, in the order of rendezvous hashing. Passed over are peers
 * that recently did not reply or could not lend, and this instance if STORE_DOWN. *PEER is set for
 * SOURCE_PEER. */
static enum token_source_
choose_token_source_ (struct allotment_manager *manager,
                      struct allotment_team *team,
                      bool store_down,
                      struct allotment_peer **peer,
                      int64_t now_us)
{
  size_t length = strlen (team->name);
  uint64_t own = manager->draining
                     ? 0
                     : sr_rendezvous_weight (team->name, length, manager->options.instance);
  enum token_source_ source = store_down ? SOURCE_NONE : SOURCE_STORE;
  uint64_t best = store_down ? 0 : own;

  for (unsigned i = 0; i < manager->peers->len; i++)
    {
      struct allotment_peer *each = manager->peers->pdata[i];
      const int64_t *refused_until_us = g_hash_table_lookup (team->refused_until, each->name);
      uint64_t weight;

      if (each->suspect_until_us > now_us
          || (refused_until_us != NULL && *refused_until_us > now_us))
        continue;
      weight = sr_rendezvous_weight (team->name, length, each->name);
      if (weight < best)
        continue;
      best = weight;
      *peer = each;
      source = SOURCE_PEER;
    }
  return source;
}

/* Returns the primary of TEAM, or NULL when it is this instance. Peers that recently did not reply
 * are passed over. */
struct allotment_peer *
allotment_primary_ (struct allotment_manager *manager,
                    const struct allotment_team *team,
                    int64_t now_us)
{
  size_t length = strlen (team->name);
  uint64_t best = manager->draining
                      ? 0
                      : sr_rendezvous_weight (team->name, length, manager->options.instance);
  struct allotment_peer *primary = NULL;

  for (unsigned i = 0; i < manager->peers->len; i++)
    {
      struct allotment_peer *peer = manager->peers->pdata[i];
      uint64_t weight;

      if (peer->suspect_until_us > now_us)
        continue;
      weight = sr_rendezvous_weight (team->name, length, peer->name);
      if (weight > best)
        {
          best = weight;
          primary = peer;
        }
    }
  return primary;
}

/* Draws NEED and up to WANT more tokens from the store, unless a call is under way or the store has
 * recently failed. Tokens that are held already but kept back by a spend limit only need a new
 * limit. Nothing is drawn that would serve no waiting request, so that peers can draw it. */
static void
draw_ (struct allotment_manager *manager,
       struct allotment_team *team,
       int64_t need,
       int64_t want,
       int64_t now_us)
{
  int64_t held_back = allotment_held_back_ (team);
  struct sr_record *record;
  int64_t least;
  int64_t before;
  int64_t after;

  if (store_is_unavailable_ (manager, team, now_us))
    allotment_reply_to_loan_requests_ (manager, team, SUPPLY_OUT_OF_REACH, now_us);
  if (!may_call_store_ (manager, team, now_us))
    return;
  if (team->record == NULL)
    {
      read_ (manager, team, now_us);
      return;
    }
  if (allotment_peers_may_be_merging_ (manager, now_us))
    {
      if (need > held_back)
        return;
      want = 0;
    }
  record = copy_record_for_write_ (manager, team, now_us);
  before = sr_record_outstanding (record);
  least = need == 0 ? MAX (team->prepaid_tokens / ALLOTMENT_MIN_DRAW_DIVISOR_, 1)
                    : allotment_smallest_need_ (team) - sr_ledger_available (team->ledger);
  if (need == 0 || least > held_back)
    {
      int64_t missing = need == 0 ? least : MAX (least - held_back, 1);

      if (MIN (MAX (need - held_back, 0) + want, sr_record_remaining (record)) < missing)
        {
          sr_record_delete (record);
          if (need == 0)
            return;
          if (now_us - team->record_us > EXHAUSTED_RECORD_FRESH_US)
            read_ (manager, team, now_us);
          else
            {
              allotment_reply_to_loan_requests_ (manager, team, SUPPLY_EXHAUSTED, now_us);
              allotment_refuse_exhausted_ (team, manager->options.instance,
                                           allotment_left_upper_bound_ (manager, team, now_us),
                                           now_us);
            }
          return;
        }
      if (need - held_back > sr_record_remaining (record)
          && now_us - team->record_us > RECORD_FRESH_US)
        {
          sr_record_delete (record);
          read_ (manager, team, now_us);
          return;
        }
    }
  team->last_draw_us = now_us;
  sr_ledger_draw (team->ledger, record, team->revision, MAX (need - held_back, 0), want, NULL, 0);
  after = sr_record_outstanding (record);
  sr_event (SR_EVENT_INFO, "allotment_draw", "{s:s,s:I,s:I,s:I,s:I,s:I}", "team", team->name,
            "revision", (json_int_t)team->revision, "need", (json_int_t)need, "held_back",
            (json_int_t)held_back, "want", (json_int_t)want, "drawn", (json_int_t)(after - before));
  write_ (manager, team, record, need, now_us);
}

static void
read_ (struct allotment_manager *manager, struct allotment_team *team, int64_t now_us)
{
  sr_event (SR_EVENT_INFO, "allotment_read", "{s:s,s:I}", "team", team->name, "revision",
            (json_int_t)team->revision);
  team->step = STEP_READING;
  team->step_started_us = now_us;
  team->call = ++manager->last_call;
  allotment_link_ (manager)->read_record (manager->options.link, team->name, team->call);
}

/* The reply to an overdue write may be lost, and until the call times out everything waits for it:
 * reads the record meanwhile, which shows whether the write took effect. */
static void
verify_overdue_write_ (struct allotment_manager *manager,
                       struct allotment_team *team,
                       int64_t now_us)
{
  bool has_waiting = manager->stopping || team->merge_is_due || !g_queue_is_empty (&team->waiters)
                     || !g_queue_is_empty (&team->loan_requests);

  if (team->step != STEP_WRITING || team->check_call != 0 || !has_waiting
      || now_us - team->step_started_us < STORE_CALL_LATE_US)
    return;
  sr_event (SR_EVENT_INFO, "allotment_check", "{s:s,s:I}", "team", team->name, "revision",
            (json_int_t)team->revision);
  team->check_call = ++manager->last_call;
  allotment_link_ (manager)->read_record (manager->options.link, team->name, team->check_call);
}

static void
write_ (struct allotment_manager *manager,
        struct allotment_team *team,
        struct sr_record *record,
        int64_t need,
        int64_t now_us)
{
  allotment_set_spend_limit_ (manager, team, record, need, now_us);
  if (record->written_off > team->record->written_off)
    sr_event (SR_EVENT_INFO, "allotment_written_off", "{s:s,s:I}", "team", team->name, "tokens",
              (json_int_t)(record->written_off - team->record->written_off));
  if (record->missing->len > 0 && record->frozen >= 0 && team->record->frozen != record->frozen)
    sr_event (SR_EVENT_WARNING, "tokens_frozen", "{s:s,s:I,s:s}", "team", team->name, "tokens",
              (json_int_t)record->frozen, "instance",
              g_array_index (record->missing, struct sr_record_missing, 0).instance);
  team->step = STEP_WRITING;
  team->step_started_us = now_us;
  team->edited = record;
  team->call = ++manager->last_call;
  team->check_call = 0;
  allotment_link_ (manager)->write_record (manager->options.link, team->name, team->call,
                                           sr_record_to_json (record), team->revision);
}

/* Returns a copy of the record to be written, with the updates that every write makes: the prepaid
 * total is raised, dead holders are closed with what they may have spent, what instances that are
 * missing after a restore may have been granted is frozen, and this instance's earlier records
 * shrink or close, see sr_ledger_close_retired. */
static struct sr_record *
copy_record_for_write_ (struct allotment_manager *manager,
                        struct allotment_team *team,
                        int64_t now_us)
{
  json_t *json = sr_record_to_json (team->record);
  struct sr_record *record = sr_record_from_json (json);

  json_decref (json);
  g_assert (record != NULL);
  record->prepaid = MAX (record->prepaid, team->prepaid_tokens);
  /* A holder that is written off counts as closed: a peer that knows of a larger grant could not
   * put it back. */
  for (unsigned i = allotment_peers_may_be_merging_ (manager, now_us) ? 0 : record->holders->len;
       i > 0; i--)
    {
      const struct sr_record_holder *holder
          = &g_array_index (record->holders, struct sr_record_holder, i - 1);
      const struct sr_holder_id id = holder->id;
      int64_t end_ms;

      if (!is_dead_ (manager, &id))
        continue;
      /* With a spend limit, how much is written off depends on when the holder ended: it stays on
       * the record, where its whole grant counts as spent, until the real time is known. */
      end_ms = latest_end_ms_ (manager, &id, now_us);
      if (end_ms != SR_TIME_UNKNOWN || !holder->limit.is_set)
        sr_record_write_off (record, &id, end_ms);
    }
  allotment_add_missing_ (manager, team, record, now_us);
  if (!allotment_peers_may_be_merging_ (manager, now_us))
    sr_record_freeze (record);
  sr_ledger_close_retired (team->ledger, record,
                           manager->stopping ? SR_LEDGER_CLOSE : SR_LEDGER_KEEP_OPEN);
  return record;
}

/* Returns whether holder ID is an earlier incarnation of an instance that has started again. */
static bool
is_dead_ (const struct allotment_manager *manager, const struct sr_holder_id *id)
{
  const struct allotment_peer *peer;

  if (strcmp (id->instance, manager->options.instance) == 0)
    return id->incarnation != manager->options.incarnation;
  peer = allotment_peer_find_ (manager, id->instance);
  return peer != NULL && id->incarnation < peer->incarnation;
}

/* Returns the latest real time at which the process of the dead holder ID can have ended, or
 * SR_TIME_UNKNOWN. */
static int64_t
latest_end_ms_ (const struct allotment_manager *manager,
                const struct sr_holder_id *id,
                int64_t now_us)
{
  const struct allotment_peer *peer = allotment_peer_find_ (manager, id->instance);
  int64_t restarted_us = peer == NULL ? manager->options.started_us : peer->started_us;
  int64_t earliest_ms;
  int64_t latest_ms;

  if (!allotment_link_ (manager)->real_time (manager->options.link, &earliest_ms, &latest_ms))
    return SR_TIME_UNKNOWN;
  return latest_ms - (now_us - restarted_us) / US_PER_MS;
}

/* Writes the record when the spend limit must be renewed, as a crash loses what could have been
 * spent since it was written, or when a restored record lacks tokens that are held here. */
static void
write_record_if_due_ (struct allotment_manager *manager,
                      struct allotment_team *team,
                      int64_t now_us)
{
  struct sr_record *record;

  if (!may_call_store_ (manager, team, now_us))
    return;
  if (!team->merge_is_due && !freeze_is_due_ (manager, team, now_us)
      && (team->ledger->own == NULL || !allotment_spend_limit_is_due_ (manager, team, now_us)))
    return;
  if (team->record == NULL)
    {
      read_ (manager, team, now_us);
      return;
    }
  record = copy_record_for_write_ (manager, team, now_us);
  if (team->ledger->own != NULL)
    sr_ledger_draw (team->ledger, record, team->revision, 0, 0, NULL, 0);
  write_ (manager, team, record, 0, now_us);
}

/* Returns whether what is left must be frozen on the record: all merges are on it, and an instance
 * is missing. */
static bool
freeze_is_due_ (const struct allotment_manager *manager,
                const struct allotment_team *team,
                int64_t now_us)
{
  return team->record != NULL && team->record->missing->len > 0 && team->record->frozen < 0
         && !allotment_peers_may_be_merging_ (manager, now_us);
}

/* Sends a loan request for NEED more tokens to LENDER. Nothing is borrowed ahead of demand: the
 * lender is one round trip away, and tokens spread over borrowers can't serve a large request. */
static void
borrow_ (struct allotment_manager *manager,
         struct allotment_team *team,
         struct allotment_peer *lender,
         int64_t need,
         int64_t now_us)
{
  struct sr_source *loan = sr_ledger_loan_from (team->ledger, lender->name);
  int64_t lent = loan == NULL ? 0 : loan->granted;

  begin_loan_request_ (manager, team, lender->name, loan, lent + need, now_us);
}

/* Starts a loan request to PEER: NEED is the total to have been lent by LOAN (NULL: there is none
 * yet), and what has been returned of it is reported. */
static void
begin_loan_request_ (struct allotment_manager *manager,
                     struct allotment_team *team,
                     const char *peer,
                     const struct sr_source *loan,
                     int64_t need,
                     int64_t now_us)
{
  team->is_borrowing = true;
  team->request_attempts = 0;
  team->request_number++;
  g_strlcpy (team->requested_peer, peer, sizeof team->requested_peer);
  memset (&team->requested_lender, 0, sizeof team->requested_lender);
  if (loan != NULL)
    team->requested_lender = loan->id;
  team->requested_returned = loan == NULL ? 0 : loan->transferred;
  team->requested_need = need;
  team->request_sent_us = now_us;
  allotment_send_loan_request_ (manager, team);
}

/* Sends the current loan request, for the first time or again. */
void
allotment_send_loan_request_ (struct allotment_manager *manager, struct allotment_team *team)
{
  struct allotment_loan_request request = {
    .team = team->name,
    .number = team->request_number,
    .borrower = manager->options.instance,
    .borrower_incarnation = manager->options.incarnation,
    .lender = team->requested_lender,
    .returned = team->requested_returned,
    .need = team->requested_need,
    .want = team->requested_need,
    .prepaid_tokens = team->prepaid_tokens,
  };

  sr_ledger_loan_state (team->ledger, &team->requested_lender, &request.received,
                        &request.outstanding);
  team->request_attempts++;
  allotment_link_ (manager)->send_loan_request (manager->options.link, team->requested_peer,
                                                &request);
}

/* Returns a loan to return or to report to its lender, or NULL: one that is not in demand here, or
 * one of a lender that is not the PRIMARY (any more), which can close its record once the loan is
 * ended. */
static struct sr_source *
loan_to_return_ (const struct allotment_manager *manager,
                 const struct allotment_team *team,
                 const struct allotment_peer *primary,
                 int64_t now_us)
{
  bool idle = manager->stopping || sr_ledger_is_idle (team->ledger, now_us);

  for (unsigned i = 0; i < team->ledger->sources->len; i++)
    {
      struct sr_source *source = team->ledger->sources->pdata[i];
      bool from_primary = primary != NULL && strcmp (primary->name, source->id.instance) == 0;

      if (source->is_own || !source->open)
        continue;
      if (idle && sr_source_available (source) > 0)
        return source;
      if (!from_primary && source->reserved == 0
          && (sr_source_available (source) > 0
              || source->reported_total != source->used + source->transferred))
        return source;
    }
  return NULL;
}
