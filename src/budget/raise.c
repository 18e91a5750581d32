#include "budget/budget-private.h"

#include "base/thread.h"
#include "budget/messages.h"

#include <string.h>

enum
{
  RAISE_INTERVAL_US = 50000,    /* pause of the raiser thread */
  RAISE_TIMEOUT_MS = 200,       /* of one call to a witness */
  WITNESS_BACKOFF_US = 5000000, /* a witness that did not respond is not picked for this long */
  FAILURES_MAX = 2              /* calls before a witness counts as failed */
};

/* Raises sent to one witness in one message. entries: NULL where no reply is to be applied. */
struct batch
{
  char witness[SR_BUDGET_NAME_MAX_BYTES];
  uint64_t witness_incarnation;
  unsigned length;
  struct sr_budget_entry *entries[SR_BUDGET_RAISES_MAX];
  sr_budget_raise_item items[SR_BUDGET_RAISES_MAX];
};

static bool batch_add_ (struct batch *batch, struct sr_budget_entry *entry, int64_t need);
static enum sr_peer_status batch_send_ (struct sr_budgets *budgets, struct batch *batch);
static bool collect_ (struct sr_budgets *budgets, struct batch *batch);
static void set_failed_witness_ (struct sr_budgets *budgets, const char *witness);

/* Raises the ceiling of ENTRY's own record so that NEED tokens can be reserved. Returns false when
 * its witness does not respond, was restarted, or has sealed the record: the record is then
 * retired, and a draw opens a new one. While the platform is in backoff, a witness that does not
 * respond has no such effect. Blocks for calls to the witness; called without the mutex. */
bool
sr_budget_raise (struct sr_budgets *budgets, struct sr_budget_entry *entry, int64_t need)
{
  struct batch batch = { .length = 0 };
  enum sr_peer_status status = SR_PEER_OK;
  bool kept = true;

  for (unsigned i = 0; i < FAILURES_MAX; i++)
    {
      batch.length = 0;
      pthread_mutex_lock (&budgets->mutex);
      batch_add_ (&batch, entry, need);
      pthread_mutex_unlock (&budgets->mutex);
      if (batch.length == 0)
        return true;
      status = batch_send_ (budgets, &batch);
      if (status == SR_PEER_OK)
        break;
    }
  pthread_mutex_lock (&budgets->mutex);
  if (status != SR_PEER_OK && !sr_budget_platform_in_backoff (budgets, g_get_monotonic_time ()))
    {
      set_failed_witness_ (budgets, batch.witness);
      sr_ledger_abandon (entry->ledger);
    }
  kept = entry->ledger->own != NULL;
  pthread_mutex_unlock (&budgets->mutex);
  return kept;
}

/* Reports to WITNESS that the record ID of budget NAME was closed, so that it can forget it. Best
 * effort. An empty WITNESS is allowed. */
void
sr_budget_report_closed (struct sr_budgets *budgets,
                         const char *name,
                         const struct sr_holder_id *id,
                         const char *witness,
                         uint64_t witness_incarnation)
{
  struct batch batch = { .witness_incarnation = witness_incarnation, .length = 1 };

  if (witness[0] == '\0')
    return;
  g_strlcpy (batch.witness, witness, sizeof batch.witness);
  batch.items[0] = (sr_budget_raise_item){ .generation = id->generation, .closed = true };
  g_strlcpy (batch.items[0].budget, name, sizeof batch.items[0].budget);
  batch_send_ (budgets, &batch);
}

/* Retires the own record of ENTRY while the platform is unreachable, and reports the committed
 * tokens to its witness as final, so that peers can reclaim exactly the rest. Returns false when
 * there is no witness, it does not respond, or tokens are still reserved: the record is then
 * reclaimed like that of a crashed holder. */
bool
sr_budget_finalize (struct sr_budgets *budgets, struct sr_budget_entry *entry)
{
  struct batch batch = { .length = 1 };
  const struct sr_source *own;
  bool has_witness;

  pthread_mutex_lock (&budgets->mutex);
  own = entry->ledger->own;
  has_witness = own != NULL && own->witness[0] != '\0' && own->reserved == 0;
  if (has_witness)
    {
      batch.witness_incarnation = own->witness_incarnation;
      g_strlcpy (batch.witness, own->witness, sizeof batch.witness);
      batch.items[0] = (sr_budget_raise_item){ .generation = own->id.generation, .final = true };
      g_strlcpy (batch.items[0].budget, entry->name, sizeof batch.items[0].budget);
      batch.items[0].ceiling = sr_ledger_finalize (entry->ledger);
    }
  pthread_mutex_unlock (&budgets->mutex);
  return has_witness && batch_send_ (budgets, &batch) == SR_PEER_OK;
}

/* Main function of the raiser thread: raises ceilings ahead of demand, for many budgets with one
 * message. DATA is the struct sr_budgets. */
void *
sr_budget_raiser_run (void *data)
{
  struct sr_budgets *budgets = data;
  struct batch batch;

  pthread_mutex_lock (&budgets->mutex);
  while (!budgets->stopping)
    {
      bool more = collect_ (budgets, &batch);

      if (batch.length > 0)
        {
          pthread_mutex_unlock (&budgets->mutex);
          more = batch_send_ (budgets, &batch) == SR_PEER_OK && more;
          pthread_mutex_lock (&budgets->mutex);
        }
      if (!more && !budgets->stopping)
        {
          int64_t end_us = g_get_monotonic_time () + RAISE_INTERVAL_US;

          while (!budgets->stopping
                 && sr_cond_wait_until (&budgets->changed, &budgets->mutex, end_us))
            continue;
        }
    }
  pthread_mutex_unlock (&budgets->mutex);
  return NULL;
}

/* Adds a raise for ENTRY to BATCH if it needs one. Returns false when it goes to another witness
 * than the batch, or the batch is full. Called with the mutex held. */
static bool
batch_add_ (struct batch *batch, struct sr_budget_entry *entry, int64_t need)
{
  const struct sr_source *own = entry->ledger->own;
  int64_t ceiling = sr_ledger_ceiling_wanted (entry->ledger, need, g_get_monotonic_time ());
  sr_budget_raise_item *item;

  if (ceiling == 0)
    return true;
  if (batch->length == 0)
    {
      g_strlcpy (batch->witness, own->witness, sizeof batch->witness);
      batch->witness_incarnation = own->witness_incarnation;
    }
  if (batch->length == SR_BUDGET_RAISES_MAX || strcmp (batch->witness, own->witness) != 0
      || batch->witness_incarnation != own->witness_incarnation)
    return false;
  batch->entries[batch->length] = entry;
  item = &batch->items[batch->length++];
  *item = (sr_budget_raise_item){ .generation = own->id.generation, .ceiling = ceiling };
  g_strlcpy (item->budget, entry->name, sizeof item->budget);
  return true;
}

static enum sr_peer_status
batch_send_ (struct sr_budgets *budgets, struct batch *batch)
{
  sr_budget_raise_msg request = { .incarnation = budgets->options.incarnation,
                                  .witness_incarnation = batch->witness_incarnation,
                                  .items = { batch->length, batch->items } };
  sr_budget_raised_msg reply = { 0 };
  struct sr_holder_id id = { .incarnation = budgets->options.incarnation };
  struct sr_member_view *view = sr_budget_view (budgets);
  const struct sr_member *witness
      = view == NULL ? NULL : sr_member_view_find (view, batch->witness);
  enum sr_peer_status status = SR_PEER_UNREACHABLE;

  g_strlcpy (id.instance, budgets->instance, sizeof id.instance);
  g_strlcpy (request.instance, budgets->instance, sizeof request.instance);
  if (witness != NULL)
    status = sr_peer_call (budgets->options.peers, &witness->peer, SR_PEER_PROGRAM_BUDGET,
                           SR_BUDGET_PROCEDURE_RAISE, (xdrproc_t)xdr_sr_budget_raise_msg, &request,
                           (xdrproc_t)xdr_sr_budget_raised_msg, &reply, RAISE_TIMEOUT_MS);
  sr_member_view_unref (view);
  if (status != SR_PEER_OK)
    return status;
  pthread_mutex_lock (&budgets->mutex);
  for (unsigned i = 0; i < batch->length; i++)
    {
      const sr_budget_raised_item *item = &reply.items.items_val[i];
      bool restarted = reply.items.items_len != batch->length;

      if (batch->entries[i] == NULL)
        continue;
      id.generation = batch->items[i].generation;
      sr_ledger_apply_raise (batch->entries[i]->ledger, &id, restarted ? 0 : item->ceiling,
                             restarted || item->sealed);
    }
  pthread_cond_broadcast (&budgets->changed);
  pthread_mutex_unlock (&budgets->mutex);
  xdr_free ((xdrproc_t)xdr_sr_budget_raised_msg, (void *)&reply);
  return status;
}

/* Fills BATCH with raises ahead of demand. Returns whether raises for another batch remain. Called
 * with the mutex held. */
static bool
collect_ (struct sr_budgets *budgets, struct batch *batch)
{
  GHashTableIter iterator;
  bool more = false;
  void *value;

  batch->length = 0;
  g_hash_table_iter_init (&iterator, budgets->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (!batch_add_ (batch, value, 0))
      more = true;
  return more;
}

/* Excludes WITNESS from being picked for a while. When a second witness fails within that time,
 * this instance is probably cut off from all peers: it then opens records without a witness for a
 * while, rather than refuse requests. Called with the mutex held. */
static void
set_failed_witness_ (struct sr_budgets *budgets, const char *witness)
{
  int64_t now_us = g_get_monotonic_time ();

  if (now_us < budgets->failed_witness_until_us && strcmp (budgets->failed_witness, witness) != 0)
    budgets->no_witness_until_us = now_us + WITNESS_BACKOFF_US;
  g_strlcpy (budgets->failed_witness, witness, sizeof budgets->failed_witness);
  budgets->failed_witness_until_us = now_us + WITNESS_BACKOFF_US;
}
