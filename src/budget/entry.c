#include "budget/budget-private.h"

enum
{
  US_PER_S = 1000000,
  CEILING_COVER_S = 5
};

/* Returns the entry of budget NAME, made when it is new. Called with the mutex held; entries live
 * as long as the budgets. */
struct sr_budget_entry *
sr_budget_entry_get (struct sr_budgets *budgets, const char *name)
{
  struct sr_budget_entry *entry = g_hash_table_lookup (budgets->entries, name);
  struct sr_ledger_options options = {
    .instance = budgets->instance,
    .data_centre = budgets->data_centre,
    .incarnation = budgets->options.incarnation,
    .cover_us = (int64_t)budgets->options.allotment_cover_s * US_PER_S,
    .ceiling_cover_us = (int64_t)CEILING_COVER_S * US_PER_S,
    .idle_us = (int64_t)budgets->options.idle_return_s * US_PER_S,
  };

  if (entry != NULL)
    return entry;
  entry = g_new0 (struct sr_budget_entry, 1);
  entry->name = g_strdup (name);
  entry->ledger = sr_ledger_new (&options);
  g_hash_table_insert (budgets->entries, entry->name, entry);
  return entry;
}

/* Frees an entry. */
void
sr_budget_entry_free (void *data)
{
  struct sr_budget_entry *entry = data;

  sr_ledger_delete (entry->ledger);
  g_free (entry->name);
  g_free (entry);
}

/* Hands ENTRY to the workers, unless it waits there already. Called with the mutex held. */
void
sr_budget_entry_enqueue (struct sr_budgets *budgets, struct sr_budget_entry *entry)
{
  if (!entry->queued)
    entry->queued = sr_ring_try_push (budgets->work, entry);
}
