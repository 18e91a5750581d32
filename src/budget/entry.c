#include "budget/budget-private.h"

#include <string.h>

enum
{
  US_PER_S = 1000000,
  LOAN_COVER_S = 2,   /* seconds of demand that a loan covers */
  CEILING_COVER_S = 2 /* seconds of demand that a raise of the ceiling covers */
};

static struct sr_budget_loan_return *return_of_ (const struct sr_budget_entry *entry,
                                                 const struct sr_holder_id *loan);

/* Returns the entry of budget NAME, created when there is none. Called with the mutex held. The
 * upkeep thread frees entries that have been unused for a while. */
struct sr_budget_entry *
sr_budget_entry_get (struct sr_budgets *budgets, const char *name)
{
  struct sr_budget_entry *entry = g_hash_table_lookup (budgets->entries, name);
  struct sr_ledger_options options = {
    .instance = budgets->instance,
    .data_centre = budgets->data_centre,
    .incarnation = budgets->options.incarnation,
    .cover_us = (int64_t)budgets->options.allotment_cover_s * US_PER_S,
    .loan_cover_us = (int64_t)LOAN_COVER_S * US_PER_S,
    .ceiling_cover_us = (int64_t)CEILING_COVER_S * US_PER_S,
    .idle_us = (int64_t)budgets->options.idle_return_s * US_PER_S,
  };

  if (entry != NULL)
    return entry;
  entry = g_new0 (struct sr_budget_entry, 1);
  entry->name = g_strdup (name);
  entry->ledger = sr_ledger_new (&options);
  entry->holders = g_ptr_array_new_with_free_func (g_free);
  entry->unacknowledged_returns = g_array_new (FALSE, FALSE, sizeof (struct sr_budget_loan_return));
  g_hash_table_insert (budgets->entries, entry->name, entry);
  return entry;
}

void
sr_budget_entry_free (void *data)
{
  struct sr_budget_entry *entry = data;

  sr_ledger_delete (entry->ledger);
  g_ptr_array_unref (entry->holders);
  g_array_unref (entry->unacknowledged_returns);
  g_free (entry->name);
  g_free (entry);
}

/* Queues ENTRY for the workers, unless it is queued already. Called with the mutex held. */
void
sr_budget_entry_enqueue (struct sr_budgets *budgets, struct sr_budget_entry *entry)
{
  if (!entry->queued)
    entry->queued = sr_ring_try_push (budgets->work, entry);
}

/* Stores the names of the peers that hold tokens according to RECORD. Called with the mutex held.
 */
void
sr_budget_entry_set_holders (struct sr_budgets *budgets,
                             struct sr_budget_entry *entry,
                             const struct sr_record *record)
{
  g_ptr_array_set_size (entry->holders, 0);
  for (unsigned i = 0; i < record->holders->len; i++)
    {
      const struct sr_record_holder *holder
          = &g_array_index (record->holders, struct sr_record_holder, i);

      if (strcmp (holder->id.instance, budgets->instance) != 0)
        g_ptr_array_add (entry->holders, g_strdup (holder->id.instance));
    }
}

/* Stores that a total of RETURNED tokens of LOAN was returned, until its lender has acknowledged
 * it. Called with the mutex held. */
void
sr_budget_entry_add_return (struct sr_budget_entry *entry,
                            const struct sr_holder_id *loan,
                            int64_t returned)
{
  struct sr_budget_loan_return *known = return_of_ (entry, loan);
  const struct sr_budget_loan_return fresh = { .loan = *loan, .returned = returned };

  if (known != NULL)
    known->returned = MAX (known->returned, returned);
  else if (returned > 0)
    g_array_append_val (entry->unacknowledged_returns, fresh);
}

/* Handles the lender's acknowledgement that a total of RETURNED tokens of LOAN was returned. Called
 * with the mutex held. */
void
sr_budget_entry_ack_return (struct sr_budget_entry *entry,
                            const struct sr_holder_id *loan,
                            int64_t returned)
{
  struct sr_budget_loan_return *known = return_of_ (entry, loan);

  if (known != NULL && known->returned <= returned)
    g_array_remove_index_fast (
        entry->unacknowledged_returns,
        (guint)(known
                - &g_array_index (entry->unacknowledged_returns, struct sr_budget_loan_return, 0)));
}

/* Returns the total of LOAN that was returned, or 0 when its lender has acknowledged it. Called
 * with the mutex held. */
int64_t
sr_budget_entry_returned (const struct sr_budget_entry *entry, const struct sr_holder_id *loan)
{
  const struct sr_budget_loan_return *known = return_of_ (entry, loan);

  return known == NULL ? 0 : known->returned;
}

static struct sr_budget_loan_return *
return_of_ (const struct sr_budget_entry *entry, const struct sr_holder_id *loan)
{
  for (unsigned i = 0; i < entry->unacknowledged_returns->len; i++)
    {
      struct sr_budget_loan_return *each
          = &g_array_index (entry->unacknowledged_returns, struct sr_budget_loan_return, i);

      if (sr_holder_id_equal (&each->loan, loan))
        return each;
    }
  return NULL;
}
