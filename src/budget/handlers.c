#include "budget/budget-private.h"

#include "budget/messages.h"

#include <string.h>

enum
{
  RECALL_PAUSE_US = 100000 /* least time between recalls at the request of peers */
};

static void copy_name_ (char *target, const char *source);
static bool handle_borrow_ (void *in, void *out, void *data);
static bool handle_recall_ (void *in, void *out, void *data);
static bool handle_raise_ (void *in, void *out, void *data);
static bool handle_seal_ (void *in, void *out, void *data);
static void queue_shortage_ (struct sr_budgets *budgets,
                             struct sr_budget_entry *entry,
                             const sr_budget_borrow_msg *request,
                             sr_budget_borrowed_msg *reply);

static const struct sr_peer_procedure procedures[] = {
  { SR_BUDGET_PROCEDURE_BORROW, (xdrproc_t)xdr_sr_budget_borrow_msg, sizeof (sr_budget_borrow_msg),
    (xdrproc_t)xdr_sr_budget_borrowed_msg, sizeof (sr_budget_borrowed_msg), handle_borrow_ },
  { SR_BUDGET_PROCEDURE_RECALL, (xdrproc_t)xdr_sr_budget_recall_msg, sizeof (sr_budget_recall_msg),
    (xdrproc_t)xdr_sr_budget_recalled_msg, sizeof (sr_budget_recalled_msg), handle_recall_ },
  { SR_BUDGET_PROCEDURE_RAISE, (xdrproc_t)xdr_sr_budget_raise_msg, sizeof (sr_budget_raise_msg),
    (xdrproc_t)xdr_sr_budget_raised_msg, sizeof (sr_budget_raised_msg), handle_raise_ },
  { SR_BUDGET_PROCEDURE_SEAL, (xdrproc_t)xdr_sr_budget_seal_msg, sizeof (sr_budget_seal_msg),
    (xdrproc_t)xdr_sr_budget_sealed_msg, sizeof (sr_budget_sealed_msg), handle_seal_ },
};

/* Registers the procedures of SR_PEER_PROGRAM_BUDGET with SERVER, before it is started. */
void
sr_budgets_add_to_server (struct sr_budgets *budgets, struct sr_peer_server *server)
{
  sr_peer_server_add (server, SR_PEER_PROGRAM_BUDGET, procedures, G_N_ELEMENTS (procedures),
                      budgets);
}

sr_budget_holder_msg
sr_holder_to_message (const struct sr_holder_id *id)
{
  sr_budget_holder_msg message = { .incarnation = id->incarnation, .generation = id->generation };

  g_strlcpy (message.instance, id->instance, sizeof message.instance);
  return message;
}

void
sr_holder_from_message (const sr_budget_holder_msg *message, struct sr_holder_id *id)
{
  *id = (struct sr_holder_id){ .incarnation = message->incarnation,
                               .generation = message->generation };
  copy_name_ (id->instance, message->instance);
}

/* Copies a name of SR_BUDGET_NAME_MAX_BYTES from a message, where it may lack the final NUL. */
static void
copy_name_ (char *target, const char *source)
{
  memcpy (target, source, SR_BUDGET_NAME_MAX_BYTES);
  target[SR_BUDGET_NAME_MAX_BYTES - 1] = '\0';
}

/* Lends what is available at once, and has a worker fetch missing tokens; the borrower then
 * requests them again. */
static bool
handle_borrow_ (void *in, void *out, void *data)
{
  const sr_budget_borrow_msg *request = in;
  sr_budget_borrowed_msg *reply = out;
  struct sr_budgets *budgets = data;
  struct sr_budget_entry *entry;
  struct sr_loan_reply loan_reply;
  struct sr_holder_id lender;
  char budget[SR_BUDGET_NAME_MAX_BYTES];
  char borrower[SR_BUDGET_NAME_MAX_BYTES];

  copy_name_ (budget, request->budget);
  copy_name_ (borrower, request->borrower);
  sr_holder_from_message (&request->lender, &lender);
  pthread_mutex_lock (&budgets->mutex);
  entry = sr_budget_entry_get (budgets, budget);
  entry->lent += sr_ledger_lend (entry->ledger, &lender, request->borrower,
                                 request->borrower_incarnation, request->returned, request->need,
                                 request->want, g_get_monotonic_time (), &loan_reply);
  reply->has_record = loan_reply.has_record;
  reply->lent = loan_reply.lent;
  reply->lender = sr_holder_to_message (&loan_reply.lender);
  if (loan_reply.lent < request->need && !budgets->stopping && !budgets->leaving)
    queue_shortage_ (budgets, entry, request, reply);
  pthread_mutex_unlock (&budgets->mutex);
  return true;
}

/* Returns the available tokens of a loan, except those that reservations here wait for. */
static bool
handle_recall_ (void *in, void *out, void *data)
{
  const sr_budget_recall_msg *request = in;
  sr_budget_recalled_msg *reply = out;
  struct sr_budgets *budgets = data;
  struct sr_budget_entry *entry;
  struct sr_holder_id lender;
  char budget[SR_BUDGET_NAME_MAX_BYTES];

  copy_name_ (budget, request->budget);
  sr_holder_from_message (&request->lender, &lender);
  pthread_mutex_lock (&budgets->mutex);
  entry = g_hash_table_lookup (budgets->entries, budget);
  if (entry != NULL)
    {
      /* Stored, because the reply may get lost and an empty loan is freed. */
      sr_budget_entry_add_return (entry, &lender,
                                  sr_ledger_return_loan (entry->ledger, &lender, entry->waiting));
      reply->returned = sr_budget_entry_returned (entry, &lender);
      sr_ledger_loan_state (entry->ledger, &lender, &reply->lent, &reply->open);
    }
  reply->incarnation = budgets->options.incarnation;
  pthread_mutex_unlock (&budgets->mutex);
  return true;
}

static bool
handle_raise_ (void *in, void *out, void *data)
{
  const sr_budget_raise_msg *request = in;
  sr_budget_raised_msg *reply = out;
  struct sr_budgets *budgets = data;
  struct sr_holder_id id = { .incarnation = request->incarnation };
  unsigned length = request->items.items_len;
  char budget[SR_BUDGET_NAME_MAX_BYTES];

  if (request->witness_incarnation != budgets->options.incarnation)
    return true;
  copy_name_ (id.instance, request->instance);
  reply->items.items_val = calloc (MAX (length, 1), sizeof (sr_budget_raised_item));
  reply->items.items_len = length;
  pthread_mutex_lock (&budgets->mutex);
  for (unsigned i = 0; i < length; i++)
    {
      const sr_budget_raise_item *item = &request->items.items_val[i];
      sr_budget_raised_item *raised = &reply->items.items_val[i];
      bool sealed = true;

      copy_name_ (budget, item->budget);
      id.generation = item->generation;
      if (item->closed)
        sr_witness_forget (budgets->witness, budget, &id);
      else if (item->final)
        sr_witness_finalize (budgets->witness, budget, &id, item->ceiling);
      else
        raised->ceiling = sr_witness_raise (budgets->witness, budget, &id, item->ceiling, &sealed);
      raised->sealed = sealed;
    }
  pthread_mutex_unlock (&budgets->mutex);
  return true;
}

static bool
handle_seal_ (void *in, void *out, void *data)
{
  const sr_budget_seal_msg *request = in;
  sr_budget_sealed_msg *reply = out;
  struct sr_budgets *budgets = data;
  struct sr_holder_id id;
  char budget[SR_BUDGET_NAME_MAX_BYTES];

  if (request->witness_incarnation != budgets->options.incarnation)
    return true;
  copy_name_ (budget, request->budget);
  sr_holder_from_message (&request->holder, &id);
  pthread_mutex_lock (&budgets->mutex);
  reply->ceiling = sr_witness_seal (budgets->witness, budget, &id);
  pthread_mutex_unlock (&budgets->mutex);
  reply->known = true;
  return true;
}

/* Queues the entry to fetch the tokens that a loan request lacks, and marks REPLY as pending; or as
 * exhausted when that cannot help. A last-resort request does not make this instance draw on the
 * platform: it gets tokens whose ceiling the witness can still raise, or else those that borrowers
 * can return. */
static void
queue_shortage_ (struct sr_budgets *budgets,
                 struct sr_budget_entry *entry,
                 const sr_budget_borrow_msg *request,
                 sr_budget_borrowed_msg *reply)
{
  int64_t now_us = g_get_monotonic_time ();
  const struct sr_source *own = entry->ledger->own;
  int64_t missing = request->need - reply->lent;
  int64_t raisable = sr_ledger_held (entry->ledger) - sr_ledger_available (entry->ledger);

  if (request->last_resort && raisable > 0)
    entry->lend_need += MIN (missing, raisable);
  else if (request->last_resort && own != NULL && own->transferred > 0
           && now_us >= entry->recall_after_us)
    {
      entry->recall = true;
      entry->recall_after_us = now_us + RECALL_PAUSE_US;
    }
  else if (!request->last_resort && now_us >= entry->cannot_lend_until_us)
    entry->lend_need += missing;
  else
    {
      reply->exhausted = true;
      return;
    }
  reply->pending = true;
  if (!entry->busy)
    sr_budget_entry_enqueue (budgets, entry);
}
