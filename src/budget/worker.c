#include "budget/budget-private.h"

#include "base/thread.h"

enum
{
  UPKEEP_INTERVAL_US = 100000, /* pause when there is nothing to do */
  US_PER_MS = 1000,
  RETURN_RETRY_US = 1000000, /* a paused or busy lender is reachable again within seconds */
  ENTRY_UNUSED_US = 60000000 /* after the idle time, an entry without tokens is freed */
};

static struct sr_budget_entry *pick_upkeep_ (struct sr_budgets *budgets, int64_t now_us);
static struct sr_budget_entry *pick_idle_loans_ (struct sr_budgets *budgets, int64_t now_us);
static enum sr_ledger_close_mode close_mode_of_ (const struct sr_ledger *ledger, int64_t now_us);
static gboolean is_unused_ (void *key, void *value, void *data);

/* Main function of a worker thread: obtains tokens for the entries in the work ring until the ring
 * is closed. DATA is the struct sr_budgets. */
void *
sr_budget_worker_run (void *data)
{
  struct sr_budgets *budgets = data;
  struct sr_budget_entry *entry;

  while ((entry = sr_ring_pop (budgets->work, -1)) != NULL)
    {
      pthread_mutex_lock (&budgets->mutex);
      entry->queued = false;
      if (entry->busy)
        entry = NULL; /* it is queued again afterwards when reservations still wait */
      else
        entry->busy = true;
      pthread_mutex_unlock (&budgets->mutex);
      if (entry != NULL)
        sr_budget_acquire (budgets, entry);
    }
  return NULL;
}

/* Main function of the upkeep thread: writes used tokens to the platform and returns unused ones,
 * one entry at a time. DATA is the struct sr_budgets. */
void *
sr_budget_upkeep_run (void *data)
{
  struct sr_budgets *budgets = data;
  int64_t settle_us = (int64_t)budgets->options.settle_interval_ms * US_PER_MS;
  int64_t next_us = g_get_monotonic_time () + settle_us;

  pthread_mutex_lock (&budgets->mutex);
  while (!budgets->stopping)
    {
      int64_t now_us = g_get_monotonic_time ();
      struct sr_budget_entry *entry = pick_idle_loans_ (budgets, now_us);
      enum sr_ledger_close_mode close_mode;

      if (entry != NULL)
        {
          bool acknowledged;

          pthread_mutex_unlock (&budgets->mutex);
          acknowledged = sr_budget_return_loans (budgets, entry, false);
          pthread_mutex_lock (&budgets->mutex);
          if (acknowledged)
            continue;
          entry->return_retry_us = now_us + RETURN_RETRY_US;
          entry = NULL;
        }
      if (now_us >= next_us && !sr_budget_platform_in_backoff (budgets, now_us))
        entry = pick_upkeep_ (budgets, now_us);
      if (entry == NULL)
        {
          if (!budgets->leaving)
            g_hash_table_foreach_remove (budgets->entries, is_unused_, &now_us);
          sr_cond_wait_until (&budgets->changed, &budgets->mutex, now_us + UPKEEP_INTERVAL_US);
          continue;
        }
      entry->busy = true;
      close_mode = close_mode_of_ (entry->ledger, now_us);
      pthread_mutex_unlock (&budgets->mutex);
      if (close_mode == SR_LEDGER_CLOSE_RETURNED)
        sr_budget_recall (budgets, entry);
      sr_budget_give_back (budgets, entry, close_mode);
      pthread_mutex_lock (&budgets->mutex);
      entry->busy = false;
      entry->synced_us = now_us;
      entry->synced_used = entry->ledger->own == NULL ? 0 : entry->ledger->own->used;
      if (entry->waiting > 0 || entry->lend_need > 0 || entry->recall)
        sr_budget_entry_enqueue (budgets, entry);
      next_us = now_us + settle_us;
    }
  pthread_mutex_unlock (&budgets->mutex);
  return NULL;
}

/* Returns the entry whose last write to the platform is the oldest, of those that have used tokens
 * since or are idle; or NULL. */
static struct sr_budget_entry *
pick_upkeep_ (struct sr_budgets *budgets, int64_t now_us)
{
  struct sr_budget_entry *oldest = NULL;
  GHashTableIter iterator;
  void *value;

  g_hash_table_iter_init (&iterator, budgets->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct sr_budget_entry *entry = value;
      const struct sr_source *own = entry->ledger->own;

      if (entry->busy || (own == NULL && !sr_ledger_has_retired (entry->ledger)))
        continue;
      if ((own == NULL || own->used == entry->synced_used)
          && !sr_ledger_is_idle (entry->ledger, now_us))
        continue;
      if (oldest == NULL || entry->synced_us < oldest->synced_us)
        oldest = entry;
    }
  return oldest;
}

/* Returns an idle entry with tokens of a loan left, or with returns that its lender has not
 * acknowledged; or NULL. */
static struct sr_budget_entry *
pick_idle_loans_ (struct sr_budgets *budgets, int64_t now_us)
{
  GHashTableIter iterator;
  void *value;

  g_hash_table_iter_init (&iterator, budgets->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct sr_budget_entry *entry = value;

      if (sr_ledger_is_idle (entry->ledger, now_us) && now_us >= entry->return_retry_us
          && (sr_ledger_loans_left (entry->ledger) || entry->unacknowledged_returns->len > 0))
        return entry;
    }
  return NULL;
}

/* Returns whether the own records of LEDGER are to be closed. An idle one is closed once its loans
 * are returned. Idle borrowers return their loans after the same idle time: those that have not
 * after twice that time count as spent. */
static enum sr_ledger_close_mode
close_mode_of_ (const struct sr_ledger *ledger, int64_t now_us)
{
  if (!sr_ledger_is_idle (ledger, now_us))
    return SR_LEDGER_KEEP_OPEN;
  return sr_ledger_is_idle (ledger, now_us - ledger->options.idle_us) ? SR_LEDGER_CLOSE
                                                                      : SR_LEDGER_CLOSE_RETURNED;
}

/* Tells whether an entry can be freed: it holds no tokens, no thread processes it, and it was
 * unused for so long that messages about it are no longer under way. */
static gboolean
is_unused_ (void *key, void *value, void *data)
{
  const struct sr_budget_entry *entry = value;
  int64_t now_us = *(const int64_t *)data;

  return entry->ledger->sources->len == 0 && entry->unacknowledged_returns->len == 0
         && !entry->queued && !entry->busy && entry->waiting == 0
         && now_us - entry->ledger->last_use_us > entry->ledger->options.idle_us + ENTRY_UNUSED_US;
}
