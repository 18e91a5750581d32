#include "budget/budget-private.h"

#include <string.h>

enum
{
  ATTEMPT_MAX_US = 1500000, /* no loan request is sent after this time */
  POLL_MIN_US = 4000,       /* between loan requests to a peer that is fetching tokens */
  POLL_MAX_US = 64000,
  /* A lender that fetches for longer is assumed to hang; with a dead witness it needs 400 ms. */
  PENDING_MAX_US = 600000,
  PRIMARIES_MAX = 2,            /* instances tried before this one draws on the platform */
  DRAWS_MAX = 3,                /* with the first witness, with a second one, and without one */
  LAST_RESORT_ROUNDS = 2,       /* passes over the possible holders */
  LAST_RESORT_PAUSE_US = 30000, /* between passes */
  MEMBERS_MAX = 8,         /* peers asked when the platform's list of holders could not be read */
  CANNOT_LEND_US = 300000, /* after a failed attempt, loan requests are refused for this long */
  AHEAD_PAUSE_US = 500000  /* before tokens are fetched ahead again, after that failed */
};

/* One attempt to get tokens for a budget. */
struct attempt
{
  struct sr_budgets *budgets;
  struct sr_budget_entry *entry;
  int64_t lend_need;   /* tokens that borrowers wait for */
  int64_t lent_before; /* entry->lent when the attempt began */
  int64_t end_us;      /* deadline, monotonic */
  bool recall;
  bool is_primary;    /* no primary was reachable: this instance draws ahead of demand itself */
  bool exhausted;     /* the platform's record has too few tokens left */
  bool cannot_lend;   /* borrowers are to be refused for a while */
  bool platform_read; /* the platform responded, the list of holders is up to date */
  bool gained;        /* tokens came from a primary */
};

static void borrow_from_primaries_ (struct attempt *attempt);
static void borrow_from_primary_ (struct attempt *attempt, const char *primary, bool *unreachable);
static void draw_ (struct attempt *attempt);
static void borrow_from_peers_ (struct attempt *attempt);
static GPtrArray *possible_holders_ (struct attempt *attempt);
static int64_t needed_locked_ (const struct attempt *attempt);
static int64_t missing_locked_ (const struct attempt *attempt, bool ahead);
static int64_t needed_ (const struct attempt *attempt);
static int64_t missing_ (const struct attempt *attempt, bool ahead);
static void finish_ (struct attempt *attempt);

/* Obtains the tokens that reservations and borrowers of ENTRY wait for, and some ahead of demand:
 * from the primary of its data centre, else from the platform, and as a last resort from any peer
 * that holds some. Called by a worker, with the entry marked busy and without the mutex; blocks for
 * calls to the platform and to peers. */
void
sr_budget_acquire (struct sr_budgets *budgets, struct sr_budget_entry *entry)
{
  struct attempt attempt = { .budgets = budgets,
                             .entry = entry,
                             .is_primary = true,
                             .end_us = g_get_monotonic_time () + ATTEMPT_MAX_US };

  pthread_mutex_lock (&budgets->mutex);
  entry->started++;
  attempt.lend_need = entry->lend_need;
  attempt.lent_before = entry->lent;
  attempt.recall = entry->recall;
  entry->lend_need = 0;
  entry->recall = false;
  pthread_mutex_unlock (&budgets->mutex);
  if (attempt.recall)
    sr_budget_recall (budgets, entry);
  sr_budget_raise (budgets, entry, needed_ (&attempt));
  if (missing_ (&attempt, true) > 0)
    borrow_from_primaries_ (&attempt);
  if (missing_ (&attempt, attempt.is_primary) > 0)
    draw_ (&attempt);
  if (missing_ (&attempt, false) > 0)
    sr_budget_recall (budgets, entry);
  attempt.cannot_lend
      = missing_ (&attempt, false) > 0 && (attempt.exhausted || !attempt.platform_read);
  attempt.lend_need = 0; /* borrowed tokens are not lent on: borrowers ask other peers themselves */
  if (missing_ (&attempt, false) > 0)
    borrow_from_peers_ (&attempt);
  finish_ (&attempt);
}

/* Borrows the tokens that reservations of ENTRY wait for from any peer that may hold some, until
 * END_US, while the worker that processes ENTRY is blocked. Called with the mutex held; releases it
 * during the calls. */
void
sr_budget_borrow_fallback (struct sr_budgets *budgets,
                           struct sr_budget_entry *entry,
                           int64_t end_us)
{
  struct attempt attempt
      = { .budgets = budgets, .entry = entry, .lent_before = entry->lent, .end_us = end_us };

  entry->fallback_running = true;
  pthread_mutex_unlock (&budgets->mutex);
  borrow_from_peers_ (&attempt);
  pthread_mutex_lock (&budgets->mutex);
  entry->fallback_running = false;
}

/* The primary is the first alive instance of the data centre in the order that the view derives
 * from the budget's name. It is a hint, so that few instances draw on the platform: instances may
 * disagree on it without harm. */
static void
borrow_from_primaries_ (struct attempt *attempt)
{
  struct sr_budgets *budgets = attempt->budgets;
  struct sr_member_view *view = sr_budget_view (budgets);
  unsigned asked = 0;
  GPtrArray *order;

  if (view == NULL)
    return;
  order = sr_member_view_order (view, attempt->entry->name, budgets->data_centre);
  for (unsigned i = 0; i < order->len && asked < PRIMARIES_MAX; i++)
    {
      bool unreachable = false;

      if (strcmp (order->pdata[i], budgets->instance) == 0)
        break;
      asked++;
      borrow_from_primary_ (attempt, order->pdata[i], &unreachable);
      if (!unreachable)
        {
          attempt->is_primary = false;
          break;
        }
    }
  g_ptr_array_unref (order);
  sr_member_view_unref (view);
}

static void
borrow_from_primary_ (struct attempt *attempt, const char *primary, bool *unreachable)
{
  int64_t end_us = MIN (attempt->end_us, g_get_monotonic_time () + PENDING_MAX_US);
  int64_t pause_us = POLL_MIN_US;

  while (g_get_monotonic_time () < end_us)
    {
      int64_t missing = missing_ (attempt, false);
      enum sr_borrow_result result
          = sr_budget_borrow (attempt->budgets, attempt->entry, primary, missing, false);

      *unreachable = result == SR_BORROW_UNREACHABLE;
      attempt->gained = attempt->gained || result == SR_BORROW_GAINED;
      if (missing_ (attempt, false) == 0)
        return;
      if (result != SR_BORROW_PENDING && result != SR_BORROW_GAINED)
        return;
      g_usleep ((gulong)pause_us);
      pause_us = MIN (pause_us * 2, POLL_MAX_US);
    }
}

/* When the witness of the new record fails, the record is retired and the next draw opens another:
 * with a second witness, and without one when that fails too. */
static void
draw_ (struct attempt *attempt)
{
  struct sr_budgets *budgets = attempt->budgets;
  enum sr_draw_result result = SR_DRAW_UNREACHABLE;
  bool in_backoff;

  for (unsigned i = 0; i < DRAWS_MAX; i++)
    {
      pthread_mutex_lock (&budgets->mutex);
      in_backoff = sr_budget_platform_in_backoff (budgets, g_get_monotonic_time ());
      pthread_mutex_unlock (&budgets->mutex);
      if (in_backoff)
        break;
      result = sr_budget_draw (budgets, attempt->entry, needed_ (attempt));
      if (result == SR_DRAW_UNREACHABLE
          || sr_budget_raise (budgets, attempt->entry, needed_ (attempt)))
        break;
    }
  attempt->platform_read = result != SR_DRAW_UNREACHABLE;
  attempt->exhausted = attempt->exhausted || result == SR_DRAW_SHORT;
}

static void
borrow_from_peers_ (struct attempt *attempt)
{
  GPtrArray *holders = possible_holders_ (attempt);
  bool pending = true;

  for (unsigned round = 0; round < LAST_RESORT_ROUNDS && pending; round++)
    {
      if (round > 0)
        g_usleep (LAST_RESORT_PAUSE_US);
      pending = false;
      for (unsigned i = 0; i < holders->len; i++)
        {
          int64_t missing = missing_ (attempt, false);

          if (missing == 0 || g_get_monotonic_time () >= attempt->end_us)
            break;
          if (sr_budget_borrow (attempt->budgets, attempt->entry, holders->pdata[i], missing, true)
              == SR_BORROW_PENDING)
            pending = true;
        }
      if (missing_ (attempt, false) == 0)
        break;
    }
  g_ptr_array_unref (holders);
}

/* Returns the names of the peers that may hold tokens: those on the record, and when it could not
 * be read also other members. The caller owns the array. */
static GPtrArray *
possible_holders_ (struct attempt *attempt)
{
  struct sr_budgets *budgets = attempt->budgets;
  GPtrArray *holders = g_ptr_array_new_with_free_func (g_free);
  struct sr_member_view *view;
  GPtrArray *order;

  pthread_mutex_lock (&budgets->mutex);
  for (unsigned i = 0; i < attempt->entry->holders->len; i++)
    g_ptr_array_add (holders, g_strdup (attempt->entry->holders->pdata[i]));
  pthread_mutex_unlock (&budgets->mutex);
  view = attempt->platform_read ? NULL : sr_budget_view (budgets);
  if (view == NULL)
    return holders;
  order = sr_member_view_order (view, attempt->entry->name, NULL);
  for (unsigned i = 0; i < order->len && holders->len < MEMBERS_MAX; i++)
    if (strcmp (order->pdata[i], budgets->instance) != 0
        && !g_ptr_array_find_with_equal_func (holders, order->pdata[i], g_str_equal, NULL))
      g_ptr_array_add (holders, g_strdup (order->pdata[i]));
  g_ptr_array_unref (order);
  sr_member_view_unref (view);
  return holders;
}

/* Returns the tokens that reservations and borrowers still wait for. Called with the mutex held. */
static int64_t
needed_locked_ (const struct attempt *attempt)
{
  const struct sr_budget_entry *entry = attempt->entry;
  int64_t lent = entry->lent - attempt->lent_before;

  return entry->waiting + MAX (attempt->lend_need - lent, 0);
}

/* Returns how many of the needed tokens are not available yet. When none are missing, AHEAD counts
 * those for expected demand. Called with the mutex held. */
static int64_t
missing_locked_ (const struct attempt *attempt, bool ahead)
{
  struct sr_ledger *ledger = attempt->entry->ledger;
  int64_t missing = needed_locked_ (attempt) - sr_ledger_available (ledger);

  if (missing > 0)
    return missing;
  return ahead ? sr_ledger_missing_ahead (ledger, g_get_monotonic_time ()) : 0;
}

static int64_t
needed_ (const struct attempt *attempt)
{
  int64_t needed;

  pthread_mutex_lock (&attempt->budgets->mutex);
  needed = needed_locked_ (attempt);
  pthread_mutex_unlock (&attempt->budgets->mutex);
  return needed;
}

static int64_t
missing_ (const struct attempt *attempt, bool ahead)
{
  int64_t missing;

  pthread_mutex_lock (&attempt->budgets->mutex);
  missing = missing_locked_ (attempt, ahead);
  pthread_mutex_unlock (&attempt->budgets->mutex);
  return missing;
}

static void
finish_ (struct attempt *attempt)
{
  struct sr_budgets *budgets = attempt->budgets;
  struct sr_budget_entry *entry = attempt->entry;
  int64_t now_us = g_get_monotonic_time ();

  pthread_mutex_lock (&budgets->mutex);
  entry->busy = false;
  entry->finished = entry->started;
  entry->verdict = attempt->exhausted ? SR_BUDGET_EXHAUSTED : SR_BUDGET_UNREACHABLE;
  /* Requests that began meanwhile may have taken the tokens that arrived. Reservations that still
   * wait are then not refused, but trigger another attempt. */
  if (missing_locked_ (attempt, false) == 0
      || (!attempt->exhausted && (attempt->platform_read || attempt->gained)))
    {
      entry->verdict = SR_BUDGET_RESERVED;
      entry->refused_until_us = 0;
    }
  if (attempt->cannot_lend)
    entry->cannot_lend_until_us = now_us + CANNOT_LEND_US;
  if (missing_locked_ (attempt, true) > 0)
    entry->ahead_after_us = now_us + AHEAD_PAUSE_US;
  if (entry->lend_need > 0 || entry->recall)
    sr_budget_entry_enqueue (budgets, entry);
  pthread_cond_broadcast (&budgets->changed);
  pthread_mutex_unlock (&budgets->mutex);
}
