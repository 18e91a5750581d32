#include "allotment/book-private.h"

#include "base/event-log.h"
#include "base/rendezvous.h"

#include <string.h>

enum
{
  US_PER_MS = 1000,
  STAND_IN_US = 3000000, /* what was drawn in place of the home is kept, as that may stay away */
  STORE_LATE_US = 150 * US_PER_MS, /* a call that takes longer is not waited for: others may have */
  STORE_OUT_US = 500 * US_PER_MS,  /* one team's failed call speaks for all this long; doubles */
  STORE_OUT_MAX_US = 4000000,      /* the watches tell sooner that the store is back */
  STORE_RETRY_US = 50 * US_PER_MS, /* after a conflict or a lost answer */
  STORE_DOWN_RETRY_US = 300 * US_PER_MS, /* while the store refuses or can't be reached */
  FRESH_US = 150 * US_PER_MS,            /* a record read this long ago still tells what remains */
  EMPTY_FRESH_US
  = 1000000 /* the same of one that has nothing left: it rarely gets something back */
};

/* Where tokens come from. */
enum source_
{
  SOURCE_NONE,
  SOURCE_STORE,
  SOURCE_PEER
};

static void
check_late_write_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us);
static int64_t
ended_by_ms_ (const struct allotment_book *book, const struct sr_holder_id *id, int64_t now_us);
static void renew_limit_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us);
static void pump_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us);
static bool store_is_out_ (const struct allotment_book *book,
                           const struct allotment_team *team,
                           int64_t now_us);
static bool may_call_store_ (const struct allotment_book *book,
                             const struct allotment_team *team,
                             int64_t now_us);
static void
fetch_ (struct allotment_book *book, struct allotment_team *team, int64_t need, int64_t now_us);
static enum source_ source_ (struct allotment_book *book,
                             struct allotment_team *team,
                             bool down,
                             struct allotment_peer **peer,
                             int64_t now_us);
static void draw_ (struct allotment_book *book,
                   struct allotment_team *team,
                   int64_t need,
                   int64_t want,
                   int64_t now_us);
static void read_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us);
static void write_ (struct allotment_book *book,
                    struct allotment_team *team,
                    struct sr_record *record,
                    int64_t need,
                    int64_t now_us);
static struct sr_record *
edit_record_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us);
static bool is_dead_ (const struct allotment_book *book, const struct sr_holder_id *id);
static void begin_ask_ (struct allotment_book *book,
                        struct allotment_team *team,
                        const char *peer,
                        const struct sr_source *loan,
                        int64_t need,
                        int64_t now_us);
static void borrow_ (struct allotment_book *book,
                     struct allotment_team *team,
                     struct allotment_peer *home,
                     int64_t need,
                     int64_t now_us);
static struct sr_source *loan_to_return_ (const struct allotment_book *book,
                                          const struct allotment_team *team,
                                          const struct allotment_peer *home,
                                          int64_t now_us);

/* Serves what can be served and fetches what is missing, from the home or from the store. Who is
 * served may settle or reserve at once: that is looked at afterwards, as the queues are in use. */
void
allotment_pump_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us)
{
  team->pump_is_due = true;
  if (team->is_pumped)
    return;
  team->is_pumped = true;
  while (team->pump_is_due)
    {
      team->pump_is_due = false;
      pump_ (book, team, now_us);
    }
  team->is_pumped = false;
}

static void
pump_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us)
{
  struct allotment_peer *home = allotment_home_ (book, team, now_us);
  int64_t need;

  sr_ledger_pass_time (team->ledger, now_us);
  check_late_write_ (book, team, now_us);
  allotment_serve_waiters_ (team, now_us);
  allotment_serve_asks_ (book, team, now_us);
  if (book->stopping)
    {
      allotment_refuse_waiters_ (team, INT64_MAX, now_us);
      return;
    }
  need = allotment_needed_by_waiters_ (team) + allotment_needed_by_asks_ (team)
         - sr_ledger_available (team->ledger);
  if (home == NULL || (need > 0 && !g_queue_is_empty (&team->asks)))
    {
      /* Asks are met from the store; who asks knows others to turn to. */
      int64_t target = home == NULL ? allotment_home_target_ (book, team, now_us)
                                    : allotment_stand_in_target_ (book, team, now_us);
      int64_t available = sr_ledger_available (team->ledger) + allotment_held_back_ (team);

      if (need > 0 || available < target * 3 / 4)
        draw_ (book, team, MAX (need, 0), MAX (target - available, 0), now_us);
    }
  need = allotment_needed_by_waiters_ (team) - sr_ledger_available (team->ledger);
  if (need > 0 && !g_queue_is_empty (&team->waiters))
    fetch_ (book, team, need, now_us);
  allotment_refuse_late_ (book, team, now_us);
  renew_limit_ (book, team, now_us);
}

/* Returns loans that nobody needs to their lender, and an own allotment to the store when this is
 * not the home, or far more than the demand, or the instance stops. */
void
allotment_return_idle_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us)
{
  const struct allotment_peer *home = allotment_home_ (book, team, now_us);
  struct sr_source *loan = team->asking ? NULL : loan_to_return_ (book, team, home, now_us);
  enum sr_ledger_ending ending = SR_LEDGER_KEEP_OPEN;
  int64_t keep = 0;
  struct sr_record *record;

  if (loan != NULL)
    {
      const struct sr_holder_id lender = loan->id;

      sr_ledger_return_loan (team->ledger, &lender, 0);
      loan->told = loan->used + loan->given;
      begin_ask_ (book, team, lender.instance, loan, 0, now_us);
    }
  if (team->ledger->own == NULL || !may_call_store_ (book, team, now_us))
    return;
  /* A write whose answer was lost: what can be given back is known after a read. */
  if (team->record == NULL)
    {
      if (home != NULL || book->stopping)
        read_ (book, team, now_us);
      return;
    }
  if (book->stopping)
    ending = SR_LEDGER_CLOSE;
  else if (home == NULL)
    keep = allotment_home_target_ (book, team, now_us);
  else if (!book->leaving && team->drew_us != 0 && now_us - team->drew_us < STAND_IN_US)
    keep = allotment_stand_in_target_ (book, team, now_us);
  else if (team->ledger->own->reserved == 0 && sr_source_open_loans (team->ledger->own) == 0)
    ending = SR_LEDGER_CLOSE_RETURNED;
  if (ending == SR_LEDGER_KEEP_OPEN
      && sr_source_available (team->ledger->own) + allotment_held_back_ (team)
             <= keep * 3 / 2 + MAX (team->prepaid_tokens / ALLOTMENT_LEAST_DIVISOR_, 1))
    return;
  record = edit_record_ (book, team, now_us);
  if (sr_ledger_give_back (team->ledger, record, team->revision, keep, ending))
    write_ (book, team, record, 0, now_us);
  else
    sr_record_delete (record);
}

/* Returns what can at most be left of the budget: what is paid for, less what is settled, what this
 * instance and its borrowers have used, what other holders said they have, and what the dead held.
 */
int64_t
allotment_left_at_most_ (const struct allotment_book *book,
                         const struct allotment_team *team,
                         int64_t now_us)
{
  const struct sr_record *record = team->record;
  int64_t left = MAX (record->prepaid, team->prepaid_tokens) - record->settled;

  for (unsigned i = 0; i < record->holders->len; i++)
    {
      const struct sr_record_holder *holder
          = &g_array_index (record->holders, struct sr_record_holder, i);

      left -= is_dead_ (book, &holder->id)
                  ? sr_record_spent_at_most (holder, ended_by_ms_ (book, &holder->id, now_us))
                  : MAX (sr_ledger_spent_of (team->ledger, &holder->id), holder->spent);
    }
  return left;
}

void
allotment_store_failed_ (struct allotment_book *book,
                         struct allotment_team *team,
                         enum store_status status,
                         int64_t now_us)
{
  /* An answer that was lost while others arrived: the store itself is there. */
  bool is_lone = status == STORE_UNKNOWN && book->store_answered_us > team->step_us;

  team->retry_us = now_us + (status == STORE_UNKNOWN ? STORE_RETRY_US : STORE_DOWN_RETRY_US);
  team->store_is_down = true;
  if (!is_lone && status != STORE_INVALID && book->store_out_until_us != INT64_MAX)
    book->store_out_until_us = now_us
                               + MIN ((int64_t)STORE_OUT_US << MIN (book->store_failures, 8U),
                                      (int64_t)STORE_OUT_MAX_US);
  if (!is_lone)
    book->store_failures++;
  sr_event (SR_EVENT_FAILURE, "allotment_store_failed", "{s:s,s:s,s:I}", "team", team->name,
            "status", store_status_to_string (status), "available",
            (json_int_t)sr_ledger_available (team->ledger));
  if (!is_lone)
    allotment_answer_asks_ (book, team, SUPPLY_OUT_OF_REACH, now_us);
}

/* Tells whether the store is not to be counted on now. */
static bool
store_is_out_ (const struct allotment_book *book, const struct allotment_team *team, int64_t now_us)
{
  return now_us < book->store_out_until_us || (team->store_is_down && now_us < team->retry_us)
         || (team->step != STEP_IDLE && now_us - team->step_us > STORE_LATE_US);
}

/* Tells whether a call for the record of TEAM can be made now. */
static bool
may_call_store_ (const struct allotment_book *book,
                 const struct allotment_team *team,
                 int64_t now_us)
{
  return team->step == STEP_IDLE && now_us >= team->retry_us && now_us >= book->store_out_until_us;
}

struct allotment_peer *
allotment_peer_find_ (const struct allotment_book *book, const char *name)
{
  for (unsigned i = 0; i < book->peers->len; i++)
    if (strcmp (((struct allotment_peer *)book->peers->pdata[i])->name, name) == 0)
      return book->peers->pdata[i];
  return NULL;
}

/* Fetches NEED tokens for requests that wait: from the first instance in the order of homes that
 * can be expected to have or get them. */
static void
fetch_ (struct allotment_book *book, struct allotment_team *team, int64_t need, int64_t now_us)
{
  struct allotment_peer *peer = NULL;
  bool down = store_is_out_ (book, team, now_us);
  int64_t ahead;

  if (team->asking || (team->step != STEP_IDLE && !down))
    return;
  switch (source_ (book, team, down, &peer, now_us))
    {
    case SOURCE_STORE:
      ahead = allotment_stand_in_target_ (book, team, now_us) - sr_ledger_available (team->ledger);
      draw_ (book, team, need, MAX (ahead, 0), now_us);
      return;
    case SOURCE_PEER:
      borrow_ (book, team, peer, need, now_us);
      return;
    case SOURCE_NONE:
      allotment_refuse_waiters_ (team, INT64_MAX, now_us);
      return;
    }
}

/* Chooses where tokens of TEAM come from, in the order of rendezvous hashing. Passed over are
 * instances that do not answer or had nothing a moment ago, and this one while the store is DOWN.
 */
static enum source_
source_ (struct allotment_book *book,
         struct allotment_team *team,
         bool down,
         struct allotment_peer **peer,
         int64_t now_us)
{
  size_t length = strlen (team->name);
  uint64_t own
      = book->leaving ? 0 : sr_rendezvous_weight (team->name, length, book->options.instance);
  enum source_ source = down ? SOURCE_NONE : SOURCE_STORE;
  uint64_t best = down ? 0 : own;

  for (unsigned i = 0; i < book->peers->len; i++)
    {
      struct allotment_peer *each = book->peers->pdata[i];
      const int64_t *dry_until_us = g_hash_table_lookup (team->dry, each->name);
      uint64_t weight;

      if (each->suspect_until_us > now_us || (dry_until_us != NULL && *dry_until_us > now_us))
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

/* Returns the instance that holds the allotment of TEAM, or NULL when it is this one. Instances
 * that did not answer lately are passed over. */
struct allotment_peer *
allotment_home_ (struct allotment_book *book, const struct allotment_team *team, int64_t now_us)
{
  size_t length = strlen (team->name);
  uint64_t best
      = book->leaving ? 0 : sr_rendezvous_weight (team->name, length, book->options.instance);
  struct allotment_peer *home = NULL;

  for (unsigned i = 0; i < book->peers->len; i++)
    {
      struct allotment_peer *peer = book->peers->pdata[i];
      uint64_t weight;

      if (peer->suspect_until_us > now_us)
        continue;
      weight = sr_rendezvous_weight (team->name, length, peer->name);
      if (weight > best)
        {
          best = weight;
          home = peer;
        }
    }
  return home;
}

/* Draws NEED and up to WANT more tokens from the store, unless a call is out or the store was down
 * a moment ago. What is held already, but kept back by a spend limit, needs a new limit only. What
 * would serve nobody who waits is left where others can draw it. */
static void
draw_ (struct allotment_book *book,
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

  if (store_is_out_ (book, team, now_us))
    allotment_answer_asks_ (book, team, SUPPLY_OUT_OF_REACH, now_us);
  if (!may_call_store_ (book, team, now_us))
    return;
  if (team->record == NULL)
    {
      read_ (book, team, now_us);
      return;
    }
  if (allotment_others_merge_ (book, now_us))
    {
      if (need > held_back)
        return;
      want = 0;
    }
  record = edit_record_ (book, team, now_us);
  before = sr_record_outstanding (record);
  least = need == 0 ? MAX (team->prepaid_tokens / ALLOTMENT_LEAST_DIVISOR_, 1)
                    : allotment_least_needed_ (team) - sr_ledger_available (team->ledger);
  if (need == 0 || least > held_back)
    {
      int64_t missing = need == 0 ? least : MAX (least - held_back, 1);

      if (MIN (MAX (need - held_back, 0) + want, sr_record_remaining (record)) < missing)
        {
          sr_record_delete (record);
          if (need == 0)
            return;
          if (now_us - team->record_us > EMPTY_FRESH_US)
            read_ (book, team, now_us);
          else
            {
              allotment_answer_asks_ (book, team, SUPPLY_EMPTY, now_us);
              allotment_refuse_exhausted_ (team, book->options.instance,
                                           allotment_left_at_most_ (book, team, now_us), now_us);
            }
          return;
        }
      if (need - held_back > sr_record_remaining (record) && now_us - team->record_us > FRESH_US)
        {
          sr_record_delete (record);
          read_ (book, team, now_us);
          return;
        }
    }
  team->drew_us = now_us;
  sr_ledger_draw (team->ledger, record, team->revision, MAX (need - held_back, 0), want, NULL, 0);
  after = sr_record_outstanding (record);
  sr_event (SR_EVENT_INFO, "allotment_draw", "{s:s,s:I,s:I,s:I,s:I,s:I}", "team", team->name,
            "revision", (json_int_t)team->revision, "need", (json_int_t)need, "held_back",
            (json_int_t)held_back, "want", (json_int_t)want, "drawn", (json_int_t)(after - before));
  write_ (book, team, record, need, now_us);
}

static void
read_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us)
{
  sr_event (SR_EVENT_INFO, "allotment_read", "{s:s,s:I}", "team", team->name, "revision",
            (json_int_t)team->revision);
  team->step = STEP_READING;
  team->step_us = now_us;
  team->call = ++book->calls;
  allotment_link_ (book)->read (book->options.link, team->name, team->call);
}

/* A write whose answer may be lost holds up all who wait for it: a read beside it tells how it
 * ended. */
static void
check_late_write_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us)
{
  bool is_waited_for = book->stopping || team->merge_is_due || !g_queue_is_empty (&team->waiters)
                       || !g_queue_is_empty (&team->asks);

  if (team->step != STEP_WRITING || team->check != 0 || !is_waited_for
      || now_us - team->step_us < STORE_LATE_US)
    return;
  sr_event (SR_EVENT_INFO, "allotment_check", "{s:s,s:I}", "team", team->name, "revision",
            (json_int_t)team->revision);
  team->check = ++book->calls;
  allotment_link_ (book)->read (book->options.link, team->name, team->check);
}

static void
write_ (struct allotment_book *book,
        struct allotment_team *team,
        struct sr_record *record,
        int64_t need,
        int64_t now_us)
{
  allotment_limit_spending_ (book, team, record, need, now_us);
  if (record->written_off > team->record->written_off)
    sr_event (SR_EVENT_INFO, "allotment_written_off", "{s:s,s:I}", "team", team->name, "tokens",
              (json_int_t)(record->written_off - team->record->written_off));
  team->step = STEP_WRITING;
  team->step_us = now_us;
  team->edited = record;
  team->call = ++book->calls;
  team->check = 0;
  allotment_link_ (book)->write (book->options.link, team->name, team->call,
                                 sr_record_to_json (record), team->revision);
}

/* Returns a copy of the record with what changes by itself: the total that was paid, and holders
 * that are dead, as whatever they held may be spent. */
static struct sr_record *
edit_record_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us)
{
  json_t *json = sr_record_to_json (team->record);
  struct sr_record *record = sr_record_from_json (json);

  json_decref (json);
  g_assert (record != NULL);
  record->prepaid = MAX (record->prepaid, team->prepaid_tokens);
  for (unsigned i = record->holders->len; i > 0; i--)
    {
      const struct sr_record_holder *holder
          = &g_array_index (record->holders, struct sr_record_holder, i - 1);
      const struct sr_holder_id id = holder->id;
      int64_t end_ms;

      if (!is_dead_ (book, &id))
        continue;
      /* Until the time is known, all of its grant counts as spent: as it does on the record. */
      end_ms = ended_by_ms_ (book, &id, now_us);
      if (end_ms != SR_TIME_UNKNOWN || !holder->limit.is_set)
        sr_record_write_off (record, &id, end_ms);
    }
  sr_ledger_close_left_over (team->ledger, record,
                             book->stopping ? SR_LEDGER_CLOSE : SR_LEDGER_KEEP_OPEN);
  return record;
}

/* Tells whether holder ID is an earlier start of an instance that has started again. */
static bool
is_dead_ (const struct allotment_book *book, const struct sr_holder_id *id)
{
  const struct allotment_peer *peer;

  if (strcmp (id->instance, book->options.instance) == 0)
    return id->incarnation != book->options.incarnation;
  peer = allotment_peer_find_ (book, id->instance);
  return peer != NULL && id->incarnation < peer->incarnation;
}

/* Returns the real time by which the process of the dead holder ID had ended at the latest. */
static int64_t
ended_by_ms_ (const struct allotment_book *book, const struct sr_holder_id *id, int64_t now_us)
{
  const struct allotment_peer *peer = allotment_peer_find_ (book, id->instance);
  int64_t known_us = peer == NULL ? book->options.started_us : peer->started_us;
  int64_t earliest_ms;
  int64_t latest_ms;

  if (!allotment_link_ (book)->real_time (book->options.link, &earliest_ms, &latest_ms))
    return SR_TIME_UNKNOWN;
  return latest_ms - (now_us - known_us) / US_PER_MS;
}

/* Writes the record when the spend limit is due: a crash loses what could have been spent since it
 * was written; or when the store has lost what is held here. */
static void
renew_limit_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us)
{
  struct sr_record *record;

  if (!may_call_store_ (book, team, now_us))
    return;
  if (!team->merge_is_due
      && (team->ledger->own == NULL || !allotment_limit_is_due_ (book, team, now_us)))
    return;
  if (team->record == NULL)
    {
      read_ (book, team, now_us);
      return;
    }
  record = edit_record_ (book, team, now_us);
  if (team->ledger->own != NULL)
    sr_ledger_draw (team->ledger, record, team->revision, 0, 0, NULL, 0);
  write_ (book, team, record, 0, now_us);
}

/* Asks HOME for NEED tokens more than are available here. Not for more: a home is a round trip
 * away, and what lies elsewhere can't serve a large request. */
static void
borrow_ (struct allotment_book *book,
         struct allotment_team *team,
         struct allotment_peer *home,
         int64_t need,
         int64_t now_us)
{
  struct sr_source *loan = sr_ledger_loan_from (team->ledger, home->name);
  int64_t lent = loan == NULL ? 0 : loan->granted;

  begin_ask_ (book, team, home->name, loan, lent + need, now_us);
}

/* Asks PEER for NEED tokens in all since the beginning of LOAN (NULL: there is none yet), and tells
 * what of it has been returned. */
static void
begin_ask_ (struct allotment_book *book,
            struct allotment_team *team,
            const char *peer,
            const struct sr_source *loan,
            int64_t need,
            int64_t now_us)
{
  team->asking = true;
  team->tries = 0;
  team->number++;
  g_strlcpy (team->asked, peer, sizeof team->asked);
  memset (&team->asked_lender, 0, sizeof team->asked_lender);
  if (loan != NULL)
    team->asked_lender = loan->id;
  team->asked_returned = loan == NULL ? 0 : loan->given;
  team->asked_need = need;
  team->asked_us = now_us;
  allotment_send_ask_ (book, team);
}

void
allotment_send_ask_ (struct allotment_book *book, struct allotment_team *team)
{
  struct allotment_ask ask = {
    .team = team->name,
    .number = team->number,
    .borrower = book->options.instance,
    .borrower_incarnation = book->options.incarnation,
    .lender = team->asked_lender,
    .returned = team->asked_returned,
    .need = team->asked_need,
    .want = team->asked_need,
    .prepaid_tokens = team->prepaid_tokens,
  };

  sr_ledger_loan_state (team->ledger, &team->asked_lender, &ask.arrived, &ask.open);
  team->tries++;
  allotment_link_ (book)->ask (book->options.link, team->asked, &ask);
}

/* Returns a loan of which the lender should be told, or NULL: one that is not in demand here, or
 * one from an instance that is not the HOME (any more) and waits for its end to close its record.
 */
static struct sr_source *
loan_to_return_ (const struct allotment_book *book,
                 const struct allotment_team *team,
                 const struct allotment_peer *home,
                 int64_t now_us)
{
  bool idle = book->stopping || sr_ledger_is_idle (team->ledger, now_us);

  for (unsigned i = 0; i < team->ledger->sources->len; i++)
    {
      struct sr_source *source = team->ledger->sources->pdata[i];
      bool from_home = home != NULL && strcmp (home->name, source->id.instance) == 0;

      if (source->own || !source->open)
        continue;
      if (idle && sr_source_available (source) > 0)
        return source;
      if (!from_home && source->reserved == 0
          && (sr_source_available (source) > 0 || source->told != source->used + source->given))
        return source;
    }
  return NULL;
}
