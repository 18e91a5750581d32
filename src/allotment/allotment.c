#include "allotment/allotment.h"

#include "base/event-log.h"
#include "base/rendezvous.h"

#include <math.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  HOME_COVER_US = 12000000,  /* demand a home holds: the longest cut that is expected, and bursts */
  LEFT_DIVISOR = 4,          /* of what is left of a scarce budget: what a crash may lose of it */
  IDLE_US = 1500000,         /* after this time without demand loans go back */
  DEMAND_TIME_US = 8000000,  /* over which demand is averaged: a burst is covered while it lasts */
  DEMAND_LEAST_US = 1500000, /* of it must have passed before the average says much */
  FIRST_SHARE_DIVISOR = 5,   /* of an untouched budget: demand of ten seconds of a short day */
  FLOOR_DIVISOR = 40,        /* of any budget, until demand is known: the largest of requests */
  LEAST_DRAW_DIVISOR = 200,  /* of the budget: less is not worth a write unless it is needed now */
  FIRST_DRAW_DELAY_US = 1500000,  /* all instances have announced themselves by then */
  ASK_REPEAT_US = 25 * US_PER_MS, /* several round trips, and a processor that is taken up */
  ASK_TRIES = 3,                  /* doubling pauses: given up after 175 ms */
  SUSPECT_FIRST_US = 1000000,     /* a peer that did not answer is passed over; doubles */
  SUSPECT_MAX_US = 16000000,
  STORE_LATE_US = 150 * US_PER_MS, /* a call that takes longer is not waited for: others may have */
  STORE_OUT_US = 500 * US_PER_MS,  /* one team's failed call speaks for all this long */
  STORE_RETRY_US = 50 * US_PER_MS, /* after a conflict or a lost answer */
  STORE_DOWN_RETRY_US = 300 * US_PER_MS, /* while the store refuses or can't be reached */
  WAIT_MAX_US
  = 600 * US_PER_MS,          /* two calls to a slow store; then the caller hears when to return */
  FRESH_US = 150 * US_PER_MS, /* a record read this long ago still tells what remains */
  DRY_MEMORY_US = 800 * US_PER_MS, /* a home that had nothing is not asked again at once */
  TICK_US = 200 * US_PER_MS        /* between looks at demand to come */
};

enum store_step_
{
  STEP_IDLE,
  STEP_READING,
  STEP_WRITING
};

/* Tokens asked for, a decaying average. */
struct demand_
{
  double per_us;
  int64_t first_us;
  int64_t at_us;
};

/* What the store may still give to who waits here. */
enum supply_
{
  SUPPLY_MAY_COME,
  SUPPLY_OUT_OF_REACH,
  SUPPLY_EMPTY /* nothing is left on the record */
};

/* Where tokens come from. */
enum source_
{
  SOURCE_NONE,
  SOURCE_STORE,
  SOURCE_PEER
};

struct peer_
{
  char *name;
  int64_t suspect_until_us;
  unsigned failures; /* in a row */
};

struct waiter_
{
  int64_t tokens;
  int64_t since_us;
  allotment_callback done;
  void *data;
};

/* An ask of another instance that waits for a draw. */
struct pending_ask_
{
  uint64_t handle;
  int64_t since_us;
  uint32_t number;
  char borrower[SR_BUDGET_NAME_MAX_BYTES];
  uint64_t borrower_incarnation;
  struct sr_holder_id lender;
  int64_t returned;
  int64_t need;
  int64_t want;
  int64_t missing; /* what has to be drawn before it can be met */
};

struct team_
{
  char *name;
  int64_t prepaid_tokens;
  struct sr_ledger *ledger;
  struct demand_ demand;
  GQueue waiters; /* struct waiter_ */
  GQueue asks;    /* struct pending_ask_ */
  /* The store. */
  enum store_step_ step;
  int64_t step_us;          /* when it began */
  struct sr_record *record; /* as last read or written; NULL: not known */
  int64_t revision;         /* of record; 0: there is none yet */
  int64_t record_us;
  struct sr_record *edited; /* being written */
  int64_t retry_us;
  bool store_is_down;
  /* Borrowing. */
  bool asking;
  uint32_t number;
  unsigned tries;
  int64_t asked_us;
  char asked[SR_BUDGET_NAME_MAX_BYTES];
  struct sr_holder_id asked_lender;
  int64_t asked_returned;
  int64_t asked_need;
  int64_t asked_want;
  GHashTable *dry; /* name of an instance that could get nothing: until when (int64_t) */
};

struct allotment_book
{
  struct allotment_book_options options;
  GHashTable *teams;          /* name: struct team_ */
  GPtrArray *peers;           /* struct peer_, not this instance */
  int64_t peers_since_us;     /* when they were first known; 0: not yet */
  int64_t store_out_until_us; /* it could not be reached by any team's call; 0: it answers */
  bool leaving;               /* others are the homes from now on */
  bool stopping;
};

static void demand_count_ (struct demand_ *demand, int64_t tokens, int64_t now_us);
static int64_t demand_in_ (struct demand_ *demand, int64_t span_us, int64_t now_us);
static const struct allotment_link_vtable *link_ (const struct allotment_book *book);
static struct team_ *team_new_ (struct allotment_book *book, const char *name);
static void team_free_ (void *data);
static void pump_ (struct allotment_book *book, struct team_ *team, int64_t now_us);
static int64_t home_target_ (const struct allotment_book *book, struct team_ *team, int64_t now_us);
static void fetch_ (struct allotment_book *book, struct team_ *team, int64_t need, int64_t now_us);
static bool
store_is_out_ (const struct allotment_book *book, const struct team_ *team, int64_t now_us);
static enum source_ source_ (struct allotment_book *book,
                             struct team_ *team,
                             bool down,
                             struct peer_ **peer,
                             int64_t now_us);
static void serve_waiters_ (struct team_ *team, int64_t now_us);
static void serve_asks_ (struct allotment_book *book, struct team_ *team, int64_t now_us);
static bool serve_ask_ (struct allotment_book *book,
                        struct team_ *team,
                        struct pending_ask_ *ask,
                        enum supply_ supply,
                        int64_t now_us);
static void refuse_waiters_ (struct team_ *team, int64_t left_at_most, int64_t now_us);
static void refuse_late_ (struct allotment_book *book, struct team_ *team, int64_t now_us);
static struct peer_ *home_ (struct allotment_book *book, const struct team_ *team, int64_t now_us);
static struct peer_ *peer_find_ (const struct allotment_book *book, const char *name);
static void peer_suspect_ (struct peer_ *peer, int64_t now_us);
static void
draw_ (struct allotment_book *book, struct team_ *team, int64_t need, int64_t want, int64_t now_us);
static void read_ (struct allotment_book *book, struct team_ *team, int64_t now_us);
static void
write_ (struct allotment_book *book, struct team_ *team, struct sr_record *record, int64_t now_us);
static void store_failed_ (struct allotment_book *book,
                           struct team_ *team,
                           enum store_status status,
                           int64_t now_us);
static void
take_record_ (struct team_ *team, struct sr_record *record, int64_t revision, int64_t now_us);
static struct sr_record *edit_record_ (struct allotment_book *book, struct team_ *team);
static void
answer_asks_ (struct allotment_book *book, struct team_ *team, enum supply_ supply, int64_t now_us);
static int64_t left_at_most_ (const struct team_ *team);
static void borrow_ (struct allotment_book *book,
                     struct team_ *team,
                     struct peer_ *home,
                     int64_t need,
                     int64_t now_us);
static void send_ask_ (struct allotment_book *book, struct team_ *team);
static void return_idle_ (struct allotment_book *book, struct team_ *team, int64_t now_us);
static int64_t needed_by_waiters_ (const struct team_ *team);
static int64_t needed_by_asks_ (struct team_ *team);
static struct sr_source *any_open_loan_ (const struct team_ *team);

static const char *const verdict_names_[] = {
  [ALLOTMENT_GRANTED] = "granted",
  [ALLOTMENT_EXHAUSTED] = "exhausted",
  [ALLOTMENT_LATER] = "later",
};

/* Returns the word for VERDICT in logs. */
const char *
allotment_verdict_to_string (enum allotment_verdict verdict)
{
  g_assert ((size_t)verdict < G_N_ELEMENTS (verdict_names_));
  return verdict_names_[verdict];
}

/* Creates an empty book. The strings of OPTIONS must outlive it. */
struct allotment_book *
allotment_book_new (const struct allotment_book_options *options)
{
  struct allotment_book *book = g_new0 (struct allotment_book, 1);

  book->options = *options;
  book->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, team_free_);
  book->peers = g_ptr_array_new ();
  return book;
}

/* Frees BOOK; no reservation may be left. */
void
allotment_book_delete (struct allotment_book *book)
{
  g_hash_table_unref (book->teams);
  for (unsigned i = 0; i < book->peers->len; i++)
    {
      struct peer_ *peer = book->peers->pdata[i];

      g_free (peer->name);
      g_free (peer);
    }
  g_ptr_array_unref (book->peers);
  g_free (book);
}

/* Says which other instances there are: NAMES (char *), copied. */
void
allotment_book_set_peers (struct allotment_book *book, GPtrArray *names, int64_t now_us)
{
  GPtrArray *known = book->peers;
  GHashTableIter iter;
  void *team;

  book->peers = g_ptr_array_new ();
  for (unsigned i = 0; i < names->len; i++)
    {
      struct peer_ *peer = NULL;

      for (unsigned k = 0; k < known->len && peer == NULL; k++)
        if (strcmp (((struct peer_ *)known->pdata[k])->name, names->pdata[i]) == 0)
          peer = g_ptr_array_steal_index_fast (known, k);
      if (peer == NULL)
        {
          peer = g_new0 (struct peer_, 1);
          peer->name = g_strdup (names->pdata[i]);
        }
      g_ptr_array_add (book->peers, peer);
    }
  for (unsigned k = 0; k < known->len; k++)
    {
      g_free (((struct peer_ *)known->pdata[k])->name);
      g_free (known->pdata[k]);
    }
  g_ptr_array_unref (known);
  if (book->peers_since_us == 0)
    book->peers_since_us = now_us;
  g_hash_table_iter_init (&iter, book->teams);
  while (g_hash_table_iter_next (&iter, NULL, &team))
    pump_ (book, team, now_us);
}

/* Says what TEAM has paid for in all; the total never falls. */
void
allotment_book_set_team (struct allotment_book *book,
                         const char *name,
                         int64_t prepaid_tokens,
                         int64_t now_us)
{
  struct team_ *team = g_hash_table_lookup (book->teams, name);

  if (team == NULL)
    team = team_new_ (book, name);
  if (prepaid_tokens > team->prepaid_tokens)
    {
      sr_event (SR_EVENT_INFO, "budget_paid", "{s:s,s:I,s:I}", "team", name, "prepaid",
                (json_int_t)prepaid_tokens, "before", (json_int_t)team->prepaid_tokens);
      team->prepaid_tokens = prepaid_tokens;
      g_hash_table_remove_all (team->dry);
      team->record_us = 0;
    }
  pump_ (book, team, now_us);
}

/* Reserves TOKENS of TEAM, which must be known, and tells DONE, perhaps at once. */
void
allotment_reserve (struct allotment_book *book,
                   const char *name,
                   int64_t tokens,
                   allotment_callback done,
                   void *data,
                   int64_t now_us)
{
  struct team_ *team = g_hash_table_lookup (book->teams, name);
  struct waiter_ *waiter;

  g_assert (team != NULL && tokens > 0);
  if (tokens > team->prepaid_tokens)
    {
      done (ALLOTMENT_EXHAUSTED, NULL, data);
      return;
    }
  waiter = g_new0 (struct waiter_, 1);
  *waiter = (struct waiter_){ tokens, now_us, done, data };
  g_queue_push_tail (&team->waiters, waiter);
  pump_ (book, team, now_us);
}

/* Takes back a reservation of DATA that has not been told its end. Returns false when there is
 * none.
 */
bool
allotment_cancel (struct allotment_book *book, const char *name, void *data)
{
  struct team_ *team = g_hash_table_lookup (book->teams, name);

  for (GList *link = team == NULL ? NULL : team->waiters.head; link != NULL; link = link->next)
    if (((struct waiter_ *)link->data)->data == data)
      {
        g_free (link->data);
        g_queue_delete_link (&team->waiters, link);
        return true;
      }
  return false;
}

/* Ends the reservation PARTS, of which USED tokens were consumed. */
void
allotment_settle (
    struct allotment_book *book, const char *name, GArray *parts, int64_t used, int64_t now_us)
{
  struct team_ *team = g_hash_table_lookup (book->teams, name);
  int64_t reserved = 0;

  g_assert (team != NULL);
  for (unsigned i = 0; i < parts->len; i++)
    reserved += g_array_index (parts, struct sr_part, i).tokens;
  demand_count_ (&team->demand, used - reserved, now_us);
  sr_ledger_settle (team->ledger, parts, used);
  if (!g_queue_is_empty (&team->waiters) || !g_queue_is_empty (&team->asks))
    pump_ (book, team, now_us);
}

/* The read of the record of TEAM has ended. CONTENT may be NULL and stays the caller's. */
void
allotment_book_read_done (struct allotment_book *book,
                          const char *name,
                          enum store_status status,
                          json_t *content,
                          int64_t revision,
                          int64_t now_us)
{
  struct team_ *team = g_hash_table_lookup (book->teams, name);
  struct sr_record *record;

  g_assert (team != NULL && team->step == STEP_READING);
  team->step = STEP_IDLE;
  if (status == STORE_OK || status == STORE_ABSENT)
    book->store_out_until_us = 0;
  if (status == STORE_ABSENT)
    take_record_ (team, sr_record_new (), 0, now_us);
  else if (status != STORE_OK)
    store_failed_ (book, team, status, now_us);
  else if ((record = sr_record_from_json (content)) != NULL)
    take_record_ (team, record, revision, now_us);
  else
    store_failed_ (book, team, STORE_INVALID, now_us);
  pump_ (book, team, now_us);
}

/* The write of the record of TEAM has ended; after a conflict, CONTENT is the record as it is. */
void
allotment_book_write_done (struct allotment_book *book,
                           const char *name,
                           enum store_status status,
                           json_t *content,
                           int64_t revision,
                           int64_t now_us)
{
  struct team_ *team = g_hash_table_lookup (book->teams, name);
  struct sr_record *edited = team->edited;
  struct sr_record *current;

  g_assert (team->step == STEP_WRITING);
  team->step = STEP_IDLE;
  team->edited = NULL;
  if (status == STORE_OK || status == STORE_CONFLICT)
    book->store_out_until_us = 0;
  if (status == STORE_OK)
    {
      sr_ledger_written (team->ledger, edited);
      take_record_ (team, edited, revision, now_us);
      sr_event (SR_EVENT_INFO, "allotment_written", "{s:s,s:I,s:I,s:I,s:I,s:I,s:I}", "team", name,
                "revision", (json_int_t)revision, "available",
                (json_int_t)sr_ledger_available (team->ledger), "remaining",
                (json_int_t)sr_record_remaining (edited), "settled", (json_int_t)edited->settled,
                "written_off", (json_int_t)edited->written_off, "prepaid",
                (json_int_t)edited->prepaid);
    }
  else
    {
      sr_record_delete (edited);
      current = status == STORE_CONFLICT ? sr_record_from_json (content) : NULL;
      if (current != NULL)
        {
          sr_ledger_read (team->ledger, current, revision);
          take_record_ (team, current, revision, now_us);
        }
      else
        {
          /* Whether it took effect only a read can tell. */
          team->record_us = 0;
          sr_record_delete (team->record);
          team->record = NULL;
          if (status != STORE_CONFLICT && status != STORE_ABSENT)
            store_failed_ (book, team, status, now_us);
        }
    }
  pump_ (book, team, now_us);
}

/* Another instance asks for a loan, or returns one. HANDLE is the link's, to answer it. */
void
allotment_book_asked (struct allotment_book *book,
                      uint64_t handle,
                      const struct allotment_ask *ask,
                      int64_t now_us)
{
  struct team_ *team = g_hash_table_lookup (book->teams, ask->team);
  struct pending_ask_ *pending;

  if (team == NULL)
    return; /* a configuration not known here yet: the borrower asks again */
  for (GList *link = team->asks.head; link != NULL; link = link->next)
    {
      pending = link->data;
      if (strcmp (pending->borrower, ask->borrower) == 0)
        {
          g_free (pending);
          g_queue_delete_link (&team->asks, link);
          break;
        }
    }
  pending = g_new0 (struct pending_ask_, 1);
  *pending = (struct pending_ask_){
    .handle = handle,
    .since_us = now_us,
    .number = ask->number,
    .borrower_incarnation = ask->borrower_incarnation,
    .lender = ask->lender,
    .returned = ask->returned,
    .need = ask->need,
    .want = ask->want,
  };
  g_strlcpy (pending->borrower, ask->borrower, sizeof pending->borrower);
  g_queue_push_tail (&team->asks, pending);
  pump_ (book, team, now_us);
}

/* PEER has answered an ask. */
void
allotment_book_answered (struct allotment_book *book,
                         const char *peer_name,
                         const struct allotment_answer *answer,
                         int64_t now_us)
{
  struct team_ *team = g_hash_table_lookup (book->teams, answer->team);
  struct peer_ *peer = peer_find_ (book, peer_name);

  if (peer != NULL)
    {
      peer->failures = 0;
      peer->suspect_until_us = answer->is_leaving ? now_us + SUSPECT_MAX_US : 0;
    }
  if (team == NULL)
    return;
  sr_ledger_borrowed (team->ledger, &answer->loan);
  if (!team->asking || team->number != answer->number)
    return;
  team->asking = false;
  if (answer->is_empty)
    {
      serve_waiters_ (team, now_us);
      refuse_waiters_ (team, answer->left_at_most, now_us);
    }
  else if (answer->is_dry)
    {
      int64_t until_us = now_us + DRY_MEMORY_US;

      g_hash_table_replace (team->dry, g_strdup (peer_name),
                            g_memdup2 (&until_us, sizeof until_us));
    }
  pump_ (book, team, now_us);
}

/* Looks after what is due. Returns when to call again at the latest. */
int64_t
allotment_book_tick (struct allotment_book *book, int64_t now_us)
{
  int64_t due_us = now_us + TICK_US;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, book->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct team_ *team = value;

      if (team->asking && now_us - team->asked_us >= (int64_t)ASK_REPEAT_US << (team->tries - 1))
        {
          if (team->tries < ASK_TRIES)
            send_ask_ (book, team);
          else
            {
              struct peer_ *peer = peer_find_ (book, team->asked);

              team->asking = false;
              sr_event (SR_EVENT_FAILURE, "peer_silent", "{s:s,s:s,s:i}", "peer", team->asked,
                        "team", team->name, "tries", (int)team->tries);
              if (peer != NULL)
                peer_suspect_ (peer, now_us);
            }
        }
      pump_ (book, team, now_us);
      return_idle_ (book, team, now_us);
      if (team->asking)
        due_us = MIN (due_us, team->asked_us + ((int64_t)ASK_REPEAT_US << (team->tries - 1)));
      if (!g_queue_is_empty (&team->waiters) || !g_queue_is_empty (&team->asks))
        due_us = MIN (due_us, now_us + ASK_REPEAT_US);
    }
  return MAX (due_us, now_us + US_PER_MS);
}

/* PEER has started anew: it may be asked again. */
void
allotment_book_peer_started (struct allotment_book *book, const char *name)
{
  struct peer_ *peer = peer_find_ (book, name);

  if (peer == NULL)
    return;
  peer->failures = 0;
  peer->suspect_until_us = 0;
}

/* The store answers again: it is asked at once, whatever failed before. */
void
allotment_book_store_returned (struct allotment_book *book, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  book->store_out_until_us = 0;
  g_hash_table_iter_init (&iter, book->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct team_ *team = value;

      team->retry_us = 0;
      team->store_is_down = false;
      pump_ (book, team, now_us);
    }
}

/* The instance is going to stop: others become the homes, what is not in use goes back to the store
 * and requests are served by loans. */
void
allotment_book_leave (struct allotment_book *book, int64_t now_us)
{
  book->leaving = true;
  allotment_book_tick (book, now_us);
}

/* The instance stops: nothing more is lent or drawn, and what is left goes back, see
 * allotment_book_is_empty. */
void
allotment_book_stop (struct allotment_book *book, int64_t now_us)
{
  book->stopping = true;
  allotment_book_tick (book, now_us);
}

/* Tells, after allotment_book_stop, whether everything that could be given back is. */
bool
allotment_book_is_empty (const struct allotment_book *book)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, book->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct team_ *team = value;

      if (team->asking || team->step != STEP_IDLE || sr_ledger_loans_left (team->ledger)
          || team->ledger->own != NULL)
        return false;
    }
  return true;
}

/* Returns the tokens of TEAM that can be reserved without asking anybody. */
int64_t
allotment_book_available (const struct allotment_book *book, const char *name)
{
  const struct team_ *team = g_hash_table_lookup (book->teams, name);

  return team == NULL ? 0 : sr_ledger_available (team->ledger);
}

static const struct allotment_link_vtable *
link_ (const struct allotment_book *book)
{
  return *(const struct allotment_link_vtable **)book->options.link;
}

static struct team_ *
team_new_ (struct allotment_book *book, const char *name)
{
  const struct sr_ledger_options options = {
    .instance = book->options.instance,
    .data_centre = book->options.data_centre,
    .incarnation = book->options.incarnation,
    .idle_us = IDLE_US,
  };
  struct team_ *team = g_new0 (struct team_, 1);

  team->name = g_strdup (name);
  team->dry = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  team->ledger = sr_ledger_new (&options);
  g_queue_init (&team->waiters);
  g_queue_init (&team->asks);
  g_hash_table_insert (book->teams, team->name, team);
  return team;
}

static void
team_free_ (void *data)
{
  struct team_ *team = data;

  g_queue_clear_full (&team->waiters, g_free);
  g_queue_clear_full (&team->asks, g_free);
  sr_record_delete (team->record);
  sr_record_delete (team->edited);
  sr_ledger_delete (team->ledger);
  g_hash_table_unref (team->dry);
  g_free (team->name);
  g_free (team);
}

/* Serves what can be served and fetches what is missing, from the home or from the store. */
static void
pump_ (struct allotment_book *book, struct team_ *team, int64_t now_us)
{
  struct peer_ *home = home_ (book, team, now_us);
  int64_t need;

  serve_waiters_ (team, now_us);
  serve_asks_ (book, team, now_us);
  if (book->stopping)
    {
      refuse_waiters_ (team, INT64_MAX, now_us);
      return;
    }
  need = needed_by_waiters_ (team) + needed_by_asks_ (team) - sr_ledger_available (team->ledger);
  if (home == NULL || (need > 0 && !g_queue_is_empty (&team->asks)))
    {
      /* Asks are met from the store; who asks knows others to turn to. */
      int64_t target = home == NULL ? home_target_ (book, team, now_us) : 0;
      int64_t available = sr_ledger_available (team->ledger);

      if (need > 0 || available < target * 7 / 8)
        draw_ (book, team, MAX (need, 0), MAX (target - available, 0), now_us);
    }
  need = needed_by_waiters_ (team) - sr_ledger_available (team->ledger);
  if (need > 0 && !g_queue_is_empty (&team->waiters))
    fetch_ (book, team, need, now_us);
  refuse_late_ (book, team, now_us);
}

/* Fetches NEED tokens for requests that wait: from the first instance in the order of homes that
 * can be expected to have or get them. */
static void
fetch_ (struct allotment_book *book, struct team_ *team, int64_t need, int64_t now_us)
{
  struct peer_ *peer = NULL;
  bool down = store_is_out_ (book, team, now_us);

  if (team->asking || (team->step != STEP_IDLE && !down))
    return;
  switch (source_ (book, team, down, &peer, now_us))
    {
    case SOURCE_STORE:
      draw_ (book, team, need, 0, now_us);
      return;
    case SOURCE_PEER:
      borrow_ (book, team, peer, need, now_us);
      return;
    case SOURCE_NONE:
      refuse_waiters_ (team, INT64_MAX, now_us);
      return;
    }
}

/* Tells whether the store is not to be counted on now. */
static bool
store_is_out_ (const struct allotment_book *book, const struct team_ *team, int64_t now_us)
{
  return now_us < book->store_out_until_us || (team->store_is_down && now_us < team->retry_us)
         || (team->step != STEP_IDLE && now_us - team->step_us > STORE_LATE_US);
}

/* Chooses where tokens of TEAM come from, in the order of rendezvous hashing. Passed over are
 * instances that do not answer or had nothing a moment ago, and this one while the store is DOWN.
 */
static enum source_
source_ (
    struct allotment_book *book, struct team_ *team, bool down, struct peer_ **peer, int64_t now_us)
{
  size_t length = strlen (team->name);
  uint64_t own
      = book->leaving ? 0 : sr_rendezvous_weight (team->name, length, book->options.instance);
  enum source_ source = down ? SOURCE_NONE : SOURCE_STORE;
  uint64_t best = down ? 0 : own;

  for (unsigned i = 0; i < book->peers->len; i++)
    {
      struct peer_ *each = book->peers->pdata[i];
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

/* Returns the tokens that this instance, as the home of TEAM, should have available: the demand of
 * a cut. When all instances crash, what is held is lost. That is not missed while more is left than
 * was spent; of a scarcer budget only a part is held, since a request that is refused in a cut
 * leaves its tokens to a later one, and a crash does not. */
static int64_t
home_target_ (const struct allotment_book *book, struct team_ *team, int64_t now_us)
{
  int64_t target = demand_in_ (&team->demand, HOME_COVER_US, now_us);
  const struct sr_record *record = team->record;
  bool untouched = record == NULL || (record->holders->len == 0 && record->settled == 0);
  int64_t left;

  if (book->peers_since_us == 0 || now_us - book->peers_since_us < FIRST_DRAW_DELAY_US)
    return 0;
  target = MAX (target, team->prepaid_tokens / (untouched ? FIRST_SHARE_DIVISOR : FLOOR_DIVISOR));
  if (record == NULL)
    return target;
  left = sr_ledger_available (team->ledger) + MAX (sr_record_remaining (record), 0)
         + MAX (team->prepaid_tokens - record->prepaid, 0);
  return MIN (target, MAX (left / LEFT_DIVISOR, 2 * left - team->prepaid_tokens));
}

/* Serves what fits, the oldest first: a large reservation that waits for a draw stops nobody. */
static void
serve_waiters_ (struct team_ *team, int64_t now_us)
{
  for (GList *link = team->waiters.head, *next; link != NULL; link = next)
    {
      struct waiter_ copy = *(struct waiter_ *)link->data;
      GArray *parts = sr_ledger_reserve (team->ledger, copy.tokens, now_us);

      next = link->next;
      if (parts == NULL)
        continue;
      g_free (link->data);
      g_queue_delete_link (&team->waiters, link);
      demand_count_ (&team->demand, copy.tokens, now_us);
      copy.done (ALLOTMENT_GRANTED, parts, copy.data);
    }
}

static void
serve_asks_ (struct allotment_book *book, struct team_ *team, int64_t now_us)
{
  for (GList *link = team->asks.head, *next; link != NULL; link = next)
    {
      next = link->next;
      if (!serve_ask_ (book, team, link->data,
                       book->stopping ? SUPPLY_OUT_OF_REACH : SUPPLY_MAY_COME, now_us))
        continue;
      g_free (link->data);
      g_queue_delete_link (&team->asks, link);
    }
}

/* Answers ASK if it can be met in full, or, when no more can come, in any case. */
static bool
serve_ask_ (struct allotment_book *book,
            struct team_ *team,
            struct pending_ask_ *ask,
            enum supply_ supply,
            int64_t now_us)
{
  struct allotment_answer answer
      = { .team = team->name, .number = ask->number, .is_leaving = book->leaving };
  const struct sr_ledger *ledger = team->ledger;
  bool is_first = ask->lender.instance[0] == '\0';
  int64_t before = sr_ledger_committed (ledger);

  sr_ledger_take_return (team->ledger, &ask->lender, ask->borrower, ask->borrower_incarnation,
                         ask->returned);
  ask->missing = ask->need;
  if (ledger->own == NULL && ask->need > 0 && supply == SUPPLY_MAY_COME)
    return false;
  /* Nothing is lent in part: the borrower could not use it, and the next one would miss it. */
  sr_ledger_lend (team->ledger, &ask->lender, ask->borrower, ask->borrower_incarnation,
                  ask->returned, 0, 0, now_us, &answer.loan);
  ask->missing = 0;
  if (answer.loan.has_record
      && (sr_holder_id_equal (&ask->lender, &answer.loan.lender)
          || (is_first && answer.loan.lent == 0)))
    ask->missing = MAX (ask->need - answer.loan.lent, 0);
  if (ask->missing > (ledger->own == NULL ? 0 : sr_source_available (ledger->own)))
    {
      if (supply == SUPPLY_MAY_COME)
        return false;
      answer.is_dry = true;
      answer.is_empty = supply == SUPPLY_EMPTY;
      answer.left_at_most = answer.is_empty ? left_at_most_ (team) : 0;
    }
  else if (!book->stopping)
    sr_ledger_lend (team->ledger, &ask->lender, ask->borrower, ask->borrower_incarnation,
                    ask->returned, ask->need, ask->want, now_us, &answer.loan);
  demand_count_ (&team->demand, sr_ledger_committed (ledger) - before, now_us);
  answer.is_dry = answer.is_dry || (!answer.loan.has_record && ask->need > 0);
  link_ (book)->answer (book->options.link, ask->handle, &answer);
  return true;
}

/* Nothing more can be fetched: LEFT_AT_MOST is what can be left of the whole budget. */
static void
refuse_waiters_ (struct team_ *team, int64_t left_at_most, int64_t now_us)
{
  GQueue refused = team->waiters;
  struct waiter_ *waiter;

  g_queue_init (&team->waiters);
  while ((waiter = g_queue_pop_head (&refused)) != NULL)
    {
      struct waiter_ copy = *waiter;
      GArray *parts = sr_ledger_reserve (team->ledger, copy.tokens, now_us);

      g_free (waiter);
      if (parts != NULL)
        copy.done (ALLOTMENT_GRANTED, parts, copy.data);
      else
        copy.done (copy.tokens > left_at_most ? ALLOTMENT_EXHAUSTED : ALLOTMENT_LATER, NULL,
                   copy.data);
    }
}

/* Refuses reservations that have waited too long, and asks of others too. */
static void
refuse_late_ (struct allotment_book *book, struct team_ *team, int64_t now_us)
{
  struct waiter_ *waiter;
  struct pending_ask_ *ask;

  while ((waiter = g_queue_peek_head (&team->waiters)) != NULL
         && now_us - waiter->since_us >= WAIT_MAX_US)
    {
      struct waiter_ copy = *waiter;

      g_free (g_queue_pop_head (&team->waiters));
      copy.done (ALLOTMENT_LATER, NULL, copy.data);
    }
  while ((ask = g_queue_peek_head (&team->asks)) != NULL && now_us - ask->since_us >= WAIT_MAX_US)
    {
      g_queue_pop_head (&team->asks);
      serve_ask_ (book, team, ask, SUPPLY_OUT_OF_REACH, now_us);
      g_free (ask);
    }
}

/* Returns the instance that holds the allotment of TEAM, or NULL when it is this one. Instances
 * that did not answer lately are passed over. */
static struct peer_ *
home_ (struct allotment_book *book, const struct team_ *team, int64_t now_us)
{
  size_t length = strlen (team->name);
  uint64_t best
      = book->leaving ? 0 : sr_rendezvous_weight (team->name, length, book->options.instance);
  struct peer_ *home = NULL;

  for (unsigned i = 0; i < book->peers->len; i++)
    {
      struct peer_ *peer = book->peers->pdata[i];
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

static struct peer_ *
peer_find_ (const struct allotment_book *book, const char *name)
{
  for (unsigned i = 0; i < book->peers->len; i++)
    if (strcmp (((struct peer_ *)book->peers->pdata[i])->name, name) == 0)
      return book->peers->pdata[i];
  return NULL;
}

static void
peer_suspect_ (struct peer_ *peer, int64_t now_us)
{
  int64_t span = (int64_t)SUSPECT_FIRST_US << MIN (peer->failures, 8U);

  peer->failures++;
  peer->suspect_until_us = now_us + MIN (span, (int64_t)SUSPECT_MAX_US);
}

/* Draws NEED and up to WANT more tokens from the store, unless a call is out or the store was down
 * a moment ago. */
static void
draw_ (struct allotment_book *book, struct team_ *team, int64_t need, int64_t want, int64_t now_us)
{
  struct sr_record *record;
  int64_t before;
  int64_t after;

  if (store_is_out_ (book, team, now_us))
    answer_asks_ (book, team, SUPPLY_OUT_OF_REACH, now_us);
  if (team->step != STEP_IDLE || now_us < team->retry_us || now_us < book->store_out_until_us)
    return;
  if (team->record == NULL)
    {
      read_ (book, team, now_us);
      return;
    }
  record = edit_record_ (book, team);
  before = sr_record_outstanding (record);
  if (sr_record_remaining (record) <= 0
      || (need == 0
          && MIN (want, sr_record_remaining (record))
                 < MAX (team->prepaid_tokens / LEAST_DRAW_DIVISOR, 1)))
    {
      sr_record_delete (record);
      if (need == 0)
        return;
      if (now_us - team->record_us > FRESH_US)
        read_ (book, team, now_us);
      else
        {
          answer_asks_ (book, team, SUPPLY_EMPTY, now_us);
          refuse_waiters_ (team, left_at_most_ (team), now_us);
        }
      return;
    }
  if (need > sr_record_remaining (record) && now_us - team->record_us > FRESH_US)
    {
      sr_record_delete (record);
      read_ (book, team, now_us);
      return;
    }
  sr_ledger_draw (team->ledger, record, team->revision, need, want, NULL, 0);
  after = sr_record_outstanding (record);
  sr_event (SR_EVENT_INFO, "allotment_draw", "{s:s,s:I,s:I,s:I,s:I}", "team", team->name,
            "revision", (json_int_t)team->revision, "need", (json_int_t)need, "want",
            (json_int_t)want, "drawn", (json_int_t)(after - before));
  write_ (book, team, record, now_us);
}

static void
read_ (struct allotment_book *book, struct team_ *team, int64_t now_us)
{
  team->step = STEP_READING;
  team->step_us = now_us;
  link_ (book)->read (book->options.link, team->name);
}

static void
write_ (struct allotment_book *book, struct team_ *team, struct sr_record *record, int64_t now_us)
{
  if (record->written_off > team->record->written_off)
    sr_event (SR_EVENT_INFO, "allotment_written_off", "{s:s,s:I}", "team", team->name, "tokens",
              (json_int_t)(record->written_off - team->record->written_off));
  team->step = STEP_WRITING;
  team->step_us = now_us;
  team->edited = record;
  link_ (book)->write (book->options.link, team->name, sr_record_to_json (record), team->revision);
}

static void
store_failed_ (struct allotment_book *book,
               struct team_ *team,
               enum store_status status,
               int64_t now_us)
{
  team->retry_us = now_us + (status == STORE_UNKNOWN ? STORE_RETRY_US : STORE_DOWN_RETRY_US);
  team->store_is_down = true;
  if (status == STORE_UNKNOWN || status == STORE_UNREACHABLE)
    book->store_out_until_us = now_us + STORE_OUT_US;
  sr_event (SR_EVENT_FAILURE, "allotment_store_failed", "{s:s,s:s,s:I}", "team", team->name,
            "status", store_status_to_string (status), "available",
            (json_int_t)sr_ledger_available (team->ledger));
  answer_asks_ (book, team, SUPPLY_OUT_OF_REACH, now_us);
}

/* Answers all asks that wait for the store, which is not going to help them. */
static void
answer_asks_ (struct allotment_book *book, struct team_ *team, enum supply_ supply, int64_t now_us)
{
  while (!g_queue_is_empty (&team->asks))
    {
      struct pending_ask_ *ask = g_queue_pop_head (&team->asks);

      serve_ask_ (book, team, ask, supply, now_us);
      g_free (ask);
    }
}

/* Keeps RECORD, which it takes over, as what the store holds at REVISION. */
static void
take_record_ (struct team_ *team, struct sr_record *record, int64_t revision, int64_t now_us)
{
  if (team->record != NULL && team->record != record)
    sr_record_delete (team->record);
  team->record = record;
  team->revision = revision;
  team->record_us = now_us;
  team->store_is_down = false;
  sr_ledger_read (team->ledger, record, revision);
}

/* Returns a copy of the record with what changes by itself: the total that was paid, and holders
 * that are earlier starts of this instance. They are dead, and whatever they held may be spent. */
static struct sr_record *
edit_record_ (struct allotment_book *book, struct team_ *team)
{
  json_t *json = sr_record_to_json (team->record);
  struct sr_record *record = sr_record_from_json (json);

  json_decref (json);
  g_assert (record != NULL);
  record->prepaid = MAX (record->prepaid, team->prepaid_tokens);
  for (unsigned i = record->holders->len; i > 0; i--)
    {
      const struct sr_holder_id id
          = g_array_index (record->holders, struct sr_record_holder, i - 1).id;

      if (strcmp (id.instance, book->options.instance) == 0
          && id.incarnation != book->options.incarnation)
        {
          sr_record_write_off (record, &id);
        }
    }
  sr_ledger_close_left_over (team->ledger, record, book->stopping);
  return record;
}

/* Returns what can at most be left of the budget: what is paid for, less what holders said they
 * have spent. */
static int64_t
left_at_most_ (const struct team_ *team)
{
  const struct sr_record *record = team->record;
  /* Of what was written off nobody knows whether it was spent. */
  int64_t left
      = MAX (record->prepaid, team->prepaid_tokens) - record->settled + record->written_off;

  for (unsigned i = 0; i < record->holders->len; i++)
    left -= g_array_index (record->holders, struct sr_record_holder, i).spent;
  return left;
}

/* Asks HOME for NEED tokens more than are available here. Not for more: a home is a round trip
 * away, and what lies elsewhere can't serve a large request. */
static void
borrow_ (struct allotment_book *book,
         struct team_ *team,
         struct peer_ *home,
         int64_t need,
         int64_t now_us)
{
  struct sr_source *loan = sr_ledger_loan_from (team->ledger, home->name);
  int64_t lent = loan == NULL ? 0 : loan->granted;

  team->asking = true;
  team->tries = 0;
  team->number++;
  g_strlcpy (team->asked, home->name, sizeof team->asked);
  memset (&team->asked_lender, 0, sizeof team->asked_lender);
  if (loan != NULL)
    team->asked_lender = loan->id;
  team->asked_returned = loan == NULL ? 0 : loan->given;
  team->asked_need = lent + need;
  team->asked_want = lent + need;
  team->asked_us = now_us;
  send_ask_ (book, team);
}

static void
send_ask_ (struct allotment_book *book, struct team_ *team)
{
  const struct allotment_ask ask = {
    .team = team->name,
    .number = team->number,
    .borrower = book->options.instance,
    .borrower_incarnation = book->options.incarnation,
    .lender = team->asked_lender,
    .returned = team->asked_returned,
    .need = team->asked_need,
    .want = team->asked_want,
  };

  team->tries++;
  link_ (book)->ask (book->options.link, team->asked, &ask);
}

/* Returns loans that nobody needs to their lender, and an own allotment to the store when this is
 * not the home, or far more than the demand, or the instance stops. */
static void
return_idle_ (struct allotment_book *book, struct team_ *team, int64_t now_us)
{
  bool is_home = home_ (book, team, now_us) == NULL;
  bool idle = book->stopping || sr_ledger_is_idle (team->ledger, now_us);
  struct sr_source *loan = any_open_loan_ (team);
  int64_t keep;
  struct sr_record *record;

  if (loan != NULL && idle && !team->asking && sr_source_available (loan) > 0)
    {
      struct sr_holder_id lender = loan->id;

      team->asking = true;
      team->tries = 0;
      team->number++;
      g_strlcpy (team->asked, lender.instance, sizeof team->asked);
      team->asked_lender = lender;
      team->asked_returned = sr_ledger_return_loan (team->ledger, &lender, 0);
      team->asked_need = 0;
      team->asked_want = 0;
      team->asked_us = now_us;
      send_ask_ (book, team);
    }
  if (team->ledger->own == NULL || team->record == NULL || team->step != STEP_IDLE
      || now_us < team->retry_us)
    return;
  if (!is_home && !book->leaving && !idle)
    return;
  keep = is_home && !book->stopping ? home_target_ (book, team, now_us) : 0;
  if (!book->stopping
      && sr_source_available (team->ledger->own)
             <= keep * 3 / 2 + MAX (team->prepaid_tokens / LEAST_DRAW_DIVISOR, 1))
    return;
  record = edit_record_ (book, team);
  if (sr_ledger_give_back (team->ledger, record, team->revision, keep, book->stopping))
    write_ (book, team, record, now_us);
  else
    sr_record_delete (record);
}

static void
demand_count_ (struct demand_ *demand, int64_t tokens, int64_t now_us)
{
  if (demand->first_us == 0)
    demand->first_us = demand->at_us = now_us;
  demand->per_us *= exp (-(double)(now_us - demand->at_us) / DEMAND_TIME_US);
  demand->per_us = MAX (demand->per_us + (double)tokens / DEMAND_TIME_US, 0);
  demand->at_us = now_us;
}

/* Returns the tokens that DEMAND asks for in SPAN_US. Soon after its first token the average has
 * seen only a part of its time. */
static int64_t
demand_in_ (struct demand_ *demand, int64_t span_us, int64_t now_us)
{
  double seen;

  if (demand->first_us == 0)
    return 0;
  demand_count_ (demand, 0, now_us);
  seen = 1 - exp (-(double)MAX (now_us - demand->first_us, DEMAND_LEAST_US) / DEMAND_TIME_US);
  return (int64_t)(demand->per_us / seen * (double)span_us);
}

static int64_t
needed_by_waiters_ (const struct team_ *team)
{
  int64_t sum = 0;

  for (const GList *link = team->waiters.head; link != NULL; link = link->next)
    sum += ((const struct waiter_ *)link->data)->tokens;
  return sum;
}

/* Returns the tokens that asks of others wait for; one that merely has to learn of a record here
 * waits for a single token. */
static int64_t
needed_by_asks_ (struct team_ *team)
{
  int64_t sum = 0;

  for (const GList *link = team->asks.head; link != NULL; link = link->next)
    sum += MAX (((const struct pending_ask_ *)link->data)->missing, 1);
  return sum;
}

static struct sr_source *
any_open_loan_ (const struct team_ *team)
{
  for (unsigned i = 0; i < team->ledger->sources->len; i++)
    {
      struct sr_source *source = team->ledger->sources->pdata[i];

      if (!source->own && source->open && sr_source_available (source) > 0)
        return source;
    }
  return NULL;
}
