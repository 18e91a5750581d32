#include "budget/budget-private.h"

#include "base/counters.h"
#include "base/log.h"
#include "base/thread.h"

#include <string.h>

enum
{
  US_PER_MS = 1000,
  WORK_RING_CAPACITY = 4096,    /* entries */
  WITNESS_HOLDERS_MAX = 100000, /* holders' records for which this instance is witness */
  WAIT_MAX_US = 2000000,        /* longest time that a reservation waits for tokens */
  FALLBACK_AFTER_US = 700000,   /* then peers are asked; a hanging primary takes 600 ms of it */
  REFUSAL_CACHE_US = 300000,    /* after a refusal, further ones follow without an attempt */
  RETRY_UNREACHABLE_MS = 1000,  /* retry-after while the platform is unreachable */
  RETRY_EXHAUSTED_MS = 30000,   /* retry-after for an exhausted budget: only a top-up helps */
  RETURN_POLL_US = 20000,       /* between passes over the budgets */
  LOANS_WAIT_MAX_US = 5000000   /* time for borrowers to return unused tokens */
};

struct sr_reservation
{
  struct sr_budget_entry *entry;
  GArray *parts; /* struct sr_reservation_part */
  int64_t tokens;
};

static struct sr_counter reserved_total
    = { .name = "budget_reservations_total", .help = "Reservations granted." };
static struct sr_counter exhausted_total
    = { .name = "budget_exhausted_total", .help = "Reservations refused: no tokens left." };
static struct sr_counter unreachable_total
    = { .name = "budget_unreachable_total", .help = "Reservations refused: nobody to ask." };

static GArray *wait_for_tokens_ (struct sr_budgets *budgets,
                                 struct sr_budget_entry *entry,
                                 int64_t tokens,
                                 int64_t end_us);
static void
enqueue_ahead_ (struct sr_budgets *budgets, struct sr_budget_entry *entry, int64_t now_us);
static bool
return_entry_ (struct sr_budgets *budgets, struct sr_budget_entry *entry, int64_t loans_until_us);
static GPtrArray *entries_with_tokens_ (struct sr_budgets *budgets);

/* Creates the budgets of one instance, without threads: see sr_budgets_start. Freed with
 * sr_budgets_delete. */
struct sr_budgets *
sr_budgets_new (const struct sr_budgets_options *options)
{
  struct sr_budgets *budgets = g_new0 (struct sr_budgets, 1);

  budgets->options = *options;
  budgets->instance = g_strdup (options->instance);
  budgets->data_centre = g_strdup (options->data_centre);
  pthread_mutex_init (&budgets->mutex, NULL);
  sr_cond_init (&budgets->changed);
  budgets->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, sr_budget_entry_free);
  budgets->work = sr_ring_new (WORK_RING_CAPACITY);
  budgets->witness = sr_witness_new (WITNESS_HOLDERS_MAX);
  budgets->started_us = g_get_monotonic_time ();
  sr_counter_register (&reserved_total);
  sr_counter_register (&exhausted_total);
  sr_counter_register (&unreachable_total);
  return budgets;
}

/* Stops and frees BUDGETS. All reservations must have been settled. NULL is allowed. */
void
sr_budgets_delete (struct sr_budgets *budgets)
{
  if (budgets == NULL)
    return;
  sr_budgets_stop (budgets);
  g_hash_table_unref (budgets->entries);
  sr_ring_delete (budgets->work);
  sr_witness_delete (budgets->witness);
  pthread_cond_destroy (&budgets->changed);
  pthread_mutex_destroy (&budgets->mutex);
  g_free (budgets->instance);
  g_free (budgets->data_centre);
  g_free (budgets);
}

/* Starts the threads of BUDGETS. Returns false, with none running, when one could not be created.
 */
bool
sr_budgets_start (struct sr_budgets *budgets)
{
  while (budgets->n_workers < SR_BUDGET_WORKERS)
    {
      if (!sr_thread_start (&budgets->workers[budgets->n_workers], 0, sr_budget_worker_run,
                            budgets))
        goto fail;
      budgets->n_workers++;
    }
  if (!sr_thread_start (&budgets->upkeep, 0, sr_budget_upkeep_run, budgets))
    goto fail;
  budgets->upkeep_started = true;
  if (!sr_thread_start (&budgets->raiser, 0, sr_budget_raiser_run, budgets))
    goto fail;
  budgets->raiser_started = true;
  return true;

fail:
  sr_budgets_stop (budgets);
  return false;
}

/* Ends and joins the threads of BUDGETS; reservations that wait for tokens are refused. */
void
sr_budgets_stop (struct sr_budgets *budgets)
{
  pthread_mutex_lock (&budgets->mutex);
  budgets->stopping = true;
  pthread_cond_broadcast (&budgets->changed);
  pthread_mutex_unlock (&budgets->mutex);
  sr_ring_close (budgets->work);
  for (unsigned i = 0; i < budgets->n_workers; i++)
    pthread_join (budgets->workers[i], NULL);
  budgets->n_workers = 0;
  if (budgets->upkeep_started)
    pthread_join (budgets->upkeep, NULL);
  budgets->upkeep_started = false;
  if (budgets->raiser_started)
    pthread_join (budgets->raiser, NULL);
  budgets->raiser_started = false;
}

/* Reserves TOKENS (> 0) of BUDGET. Returns at once when this instance holds enough; else blocks for
 * more until the monotonic DEADLINE_US, at most for two seconds. On success sets RESERVATION, to be
 * ended by sr_budgets_settle; else RETRY_AFTER_MS, after which a retry can succeed. */
enum sr_budget_verdict
sr_budgets_reserve (struct sr_budgets *budgets,
                    const char *budget,
                    int64_t tokens,
                    int64_t deadline_us,
                    struct sr_reservation **reservation,
                    int64_t *retry_after_ms)
{
  int64_t now_us = g_get_monotonic_time ();
  enum sr_budget_verdict verdict = SR_BUDGET_RESERVED;
  struct sr_budget_entry *entry;
  GArray *parts;

  g_assert (tokens > 0);
  *retry_after_ms = 0;
  pthread_mutex_lock (&budgets->mutex);
  entry = sr_budget_entry_get (budgets, budget);
  parts = sr_ledger_reserve (entry->ledger, tokens, now_us);
  if (parts == NULL && now_us >= entry->refused_until_us)
    parts = wait_for_tokens_ (budgets, entry, tokens, MIN (deadline_us, now_us + WAIT_MAX_US));
  if (parts != NULL)
    {
      *reservation = g_new0 (struct sr_reservation, 1);
      **reservation = (struct sr_reservation){ entry, parts, tokens };
      enqueue_ahead_ (budgets, entry, now_us);
      sr_counter_add (&reserved_total, 1);
    }
  else
    {
      bool exhausted = entry->verdict == SR_BUDGET_EXHAUSTED;

      verdict = exhausted ? SR_BUDGET_EXHAUSTED : SR_BUDGET_UNREACHABLE;
      *retry_after_ms = exhausted ? RETRY_EXHAUSTED_MS : RETRY_UNREACHABLE_MS;
      sr_counter_add (exhausted ? &exhausted_total : &unreachable_total, 1);
    }
  pthread_mutex_unlock (&budgets->mutex);
  return verdict;
}

/* Ends RESERVATION, of which USED_TOKENS were consumed, and frees it. When the consumption is not
 * known, the caller passes the number of reserved tokens. */
void
sr_budgets_settle (struct sr_budgets *budgets,
                   struct sr_reservation *reservation,
                   int64_t used_tokens)
{
  struct sr_budget_entry *entry = reservation->entry;

  pthread_mutex_lock (&budgets->mutex);
  sr_ledger_settle (entry->ledger, reservation->parts, MAX (used_tokens, 0));
  if (entry->waiting > 0)
    pthread_cond_broadcast (&budgets->changed);
  pthread_mutex_unlock (&budgets->mutex);
  g_free (reservation);
}

/* Appends a JSON object to JSON: for each budget's name, the tokens that this instance holds. */
void
sr_budgets_print_status (struct sr_budgets *budgets, GString *json)
{
  GHashTableIter iterator;
  const char *separator = "";
  void *value;

  g_string_append_c (json, '{');
  pthread_mutex_lock (&budgets->mutex);
  g_hash_table_iter_init (&iterator, budgets->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct sr_budget_entry *entry = value;
      const struct sr_source *own = entry->ledger->own;

      g_string_append_printf (json,
                              "%s\"%s\":{\"available\":%" G_GINT64_FORMAT
                              ",\"granted\":%" G_GINT64_FORMAT ",\"used\":%" G_GINT64_FORMAT
                              ",\"reserved\":%" G_GINT64_FORMAT "}",
                              separator, entry->name, sr_ledger_available (entry->ledger),
                              own == NULL ? 0 : own->granted, own == NULL ? 0 : own->used,
                              own == NULL ? 0 : own->reserved);
      separator = ",";
    }
  pthread_mutex_unlock (&budgets->mutex);
  g_string_append_c (json, '}');
}

/* Returns all tokens held here to their lenders and to the platform before a stop, blocking at most
 * until the monotonic DEADLINE_US. Called after the last request has ended. Returns false when some
 * could not be returned: they stay on the platform's record until a peer reclaims them. When only
 * the platform is unreachable, the used tokens are reported to the witness, so that peers can
 * reclaim all of the rest. */
bool
sr_budgets_return_all (struct sr_budgets *budgets, int64_t deadline_us)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t loans_until_us = now_us + MIN ((deadline_us - now_us) / 2, LOANS_WAIT_MAX_US);
  GPtrArray *entries;
  bool done = false;

  pthread_mutex_lock (&budgets->mutex);
  budgets->leaving = true;
  pthread_mutex_unlock (&budgets->mutex);
  while (!done)
    {
      done = true;
      entries = entries_with_tokens_ (budgets);
      for (unsigned i = 0; i < entries->len; i++)
        {
          if (g_get_monotonic_time () >= deadline_us
              || !return_entry_ (budgets, entries->pdata[i], loans_until_us))
            done = false;
        }
      g_ptr_array_unref (entries);
      if (g_get_monotonic_time () >= deadline_us)
        break;
      if (!done)
        g_usleep (RETURN_POLL_US);
    }
  return done;
}

/* Waits until TOKENS could be reserved, an attempt that began after this call has failed to get
 * them, or END_US. While an attempt is blocked by a platform that does not respond, peers are asked
 * in parallel. Called with the mutex held. Returns the reserved parts, or NULL. */
static GArray *
wait_for_tokens_ (struct sr_budgets *budgets,
                  struct sr_budget_entry *entry,
                  int64_t tokens,
                  int64_t end_us)
{
  uint64_t attempt = entry->started + 1;
  int64_t fallback_us = g_get_monotonic_time () + FALLBACK_AFTER_US;
  GArray *parts = NULL;

  entry->waiting += tokens;
  while (parts == NULL && !budgets->stopping)
    {
      if (!entry->busy)
        sr_budget_entry_enqueue (budgets, entry);
      if (!sr_cond_wait_until (&budgets->changed, &budgets->mutex, MIN (fallback_us, end_us)))
        {
          if (g_get_monotonic_time () >= end_us)
            break;
          fallback_us = end_us;
          if (!entry->fallback_running)
            sr_budget_borrow_fallback (budgets, entry, end_us);
        }
      parts = sr_ledger_reserve (entry->ledger, tokens, g_get_monotonic_time ());
      if (parts == NULL && entry->finished >= attempt && entry->verdict != SR_BUDGET_RESERVED)
        {
          entry->refused_until_us = g_get_monotonic_time () + REFUSAL_CACHE_US;
          break;
        }
    }
  entry->waiting -= tokens;
  return parts;
}

static void
enqueue_ahead_ (struct sr_budgets *budgets, struct sr_budget_entry *entry, int64_t now_us)
{
  if (entry->busy || budgets->leaving || now_us < entry->ahead_after_us)
    return;
  if (sr_ledger_missing_ahead (entry->ledger, now_us) > 0)
    sr_budget_entry_enqueue (budgets, entry);
}

static bool
return_entry_ (struct sr_budgets *budgets, struct sr_budget_entry *entry, int64_t loans_until_us)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t open_loans;
  bool has_returned;
  bool reached = true;
  bool done = false;

  pthread_mutex_lock (&budgets->mutex);
  if (!entry->busy)
    {
      entry->busy = true;
      pthread_mutex_unlock (&budgets->mutex);
      sr_budget_recall (budgets, entry);
      has_returned = sr_budget_return_loans (budgets, entry, true) || now_us >= loans_until_us;
      pthread_mutex_lock (&budgets->mutex);
      open_loans = sr_ledger_open_loans (entry->ledger);
      pthread_mutex_unlock (&budgets->mutex);
      if (open_loans > 0 && now_us >= loans_until_us)
        sr_log (G_LOG_LEVEL_WARNING, "loans_left",
                "budget %s: %" G_GINT64_FORMAT " tokens on loan were not returned, count as spent",
                entry->name, open_loans);
      if (open_loans == 0 || now_us >= loans_until_us)
        reached = sr_budget_give_back (
            budgets, entry, now_us >= loans_until_us ? SR_LEDGER_CLOSE : SR_LEDGER_CLOSE_RETURNED);
      if (!reached && now_us >= loans_until_us)
        sr_budget_finalize (budgets, entry);
      pthread_mutex_lock (&budgets->mutex);
      entry->busy = false;
      open_loans = now_us < loans_until_us ? sr_ledger_open_loans (entry->ledger) : 0;
      done = entry->ledger->own == NULL && !sr_ledger_has_retired (entry->ledger) && open_loans == 0
             && has_returned;
    }
  pthread_mutex_unlock (&budgets->mutex);
  return done;
}

static GPtrArray *
entries_with_tokens_ (struct sr_budgets *budgets)
{
  GPtrArray *entries = g_ptr_array_new ();
  GHashTableIter iterator;
  void *value;

  pthread_mutex_lock (&budgets->mutex);
  g_hash_table_iter_init (&iterator, budgets->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct sr_budget_entry *entry = value;

      if (entry->ledger->sources->len > 0 || entry->unacknowledged_returns->len > 0)
        g_ptr_array_add (entries, entry);
    }
  pthread_mutex_unlock (&budgets->mutex);
  return entries;
}
