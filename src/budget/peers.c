#include "budget/budget-private.h"

#include "budget/budget_xdr.h"
#include "budget/messages.h"

#include <string.h>

enum
{
  CALL_TIMEOUT_MS = 200 /* of one call to a peer */
};

/* A borrower, and the own record that lent to it. */
struct recall
{
  char borrower[SR_BUDGET_NAME_MAX_BYTES];
  struct sr_holder_id id;
};

/* A loan request. returned, need and want are totals since the beginning of the loan. */
struct loan_request
{
  struct sr_holder_id loan; /* the lender's record; empty instance: not known */
  int64_t returned;
  int64_t need;
  int64_t want;
  bool last_resort;
};

static bool
address_of_ (struct sr_budgets *budgets, const char *name, struct sr_peer_address *address);
static bool report_return_ (struct sr_budgets *budgets,
                            struct sr_budget_entry *entry,
                            const struct sr_budget_loan_return *loan_return);
static enum sr_borrow_result request_loan_ (struct sr_budgets *budgets,
                                            struct sr_budget_entry *entry,
                                            const char *lender,
                                            const struct loan_request *loan_request);
static void add_recalls_ (const struct sr_source *own, GArray *recalls);
static void recall_from_ (struct sr_budgets *budgets,
                          struct sr_budget_entry *entry,
                          const char *borrower,
                          const struct sr_holder_id *id);

/* Returns a view of the instances, which the caller releases with sr_member_view_unref, or NULL
 * when this instance has no peers. */
struct sr_member_view *
sr_budget_view (struct sr_budgets *budgets)
{
  if (budgets->options.peers == NULL)
    return NULL;
  if (budgets->options.view != NULL)
    return budgets->options.view (budgets->options.view_data);
  return budgets->options.members == NULL ? NULL : sr_members_view (budgets->options.members);
}

/* Sets WITNESS to the peer that acknowledges ceilings for new records of this instance: the same
 * for all budgets, so that raises share a message, and of the same data centre if possible. Returns
 * false when there is none. Called with the mutex held. */
bool
sr_budget_pick_witness (struct sr_budgets *budgets, struct sr_member *witness)
{
  const char *const data_centres[] = { budgets->data_centre, NULL };
  int64_t now_us = g_get_monotonic_time ();
  bool in_backoff = now_us < budgets->failed_witness_until_us;
  struct sr_member_view *view;
  bool found = false;

  if (budgets->options.without_witness || now_us < budgets->no_witness_until_us
      || (view = sr_budget_view (budgets)) == NULL)
    return false;
  for (unsigned i = 0; i < G_N_ELEMENTS (data_centres) && !found; i++)
    {
      GPtrArray *order = sr_member_view_order (view, budgets->instance, data_centres[i]);

      for (unsigned j = 0; j < order->len && !found; j++)
        {
          const char *name = order->pdata[j];

          if (strcmp (name, budgets->instance) == 0
              || (in_backoff && strcmp (name, budgets->failed_witness) == 0))
            continue;
          *witness = *sr_member_view_find (view, name);
          found = witness->incarnation != 0;
        }
      g_ptr_array_unref (order);
    }
  sr_member_view_unref (view);
  return found;
}

/* Sends a loan request to instance LENDER for NEED more tokens, and without LAST_RESORT also some
 * ahead of demand. Blocks for one call; called without the mutex. */
enum sr_borrow_result
sr_budget_borrow (struct sr_budgets *budgets,
                  struct sr_budget_entry *entry,
                  const char *lender,
                  int64_t need,
                  bool last_resort)
{
  struct loan_request loan_request = { .last_resort = last_resort };
  const struct sr_source *source;
  int64_t ahead;

  pthread_mutex_lock (&budgets->mutex);
  source = sr_ledger_loan_from (entry->ledger, lender);
  ahead = last_resort ? 0 : sr_ledger_missing_ahead (entry->ledger, g_get_monotonic_time ());
  if (source != NULL)
    {
      loan_request.loan = source->id;
      loan_request.returned = source->transferred;
      loan_request.need = source->granted;
    }
  pthread_mutex_unlock (&budgets->mutex);
  loan_request.want = loan_request.need + MAX (need, ahead);
  loan_request.need += need;
  return request_loan_ (budgets, entry, lender, &loan_request);
}

/* Returns the available tokens of each loan to its lender; WITH_CLOSED also those of closed loans,
 * whose lender may ignore the return. Returns that a lender has not acknowledged are reported
 * again. Returns false when a lender could not be reached. Blocks for one call for each; called
 * without the mutex. */
bool
sr_budget_return_loans (struct sr_budgets *budgets, struct sr_budget_entry *entry, bool with_closed)
{
  GArray *returns;
  bool acknowledged = true;

  pthread_mutex_lock (&budgets->mutex);
  for (unsigned i = 0; i < entry->ledger->sources->len; i++)
    {
      const struct sr_source *source = entry->ledger->sources->pdata[i];

      if (!source->is_own && (source->open || with_closed) && sr_source_available (source) > 0)
        sr_budget_entry_add_return (entry, &source->id,
                                    sr_ledger_return_loan (entry->ledger, &source->id, 0));
    }
  returns = g_array_copy (entry->unacknowledged_returns);
  pthread_mutex_unlock (&budgets->mutex);
  for (unsigned i = 0; i < returns->len; i++)
    {
      const struct sr_budget_loan_return *each
          = &g_array_index (returns, struct sr_budget_loan_return, i);

      acknowledged = report_return_ (budgets, entry, each) && acknowledged;
    }
  g_array_unref (returns);
  return acknowledged;
}

/* Asks all borrowers of the own records to return the tokens that they do not need. Blocks for one
 * call for each; called without the mutex. */
void
sr_budget_recall (struct sr_budgets *budgets, struct sr_budget_entry *entry)
{
  GArray *recalls = g_array_new (FALSE, TRUE, sizeof (struct recall));

  pthread_mutex_lock (&budgets->mutex);
  for (unsigned i = 0; i < entry->ledger->sources->len; i++)
    add_recalls_ (entry->ledger->sources->pdata[i], recalls);
  pthread_mutex_unlock (&budgets->mutex);
  for (unsigned i = 0; i < recalls->len; i++)
    {
      const struct recall *recall = &g_array_index (recalls, struct recall, i);

      recall_from_ (budgets, entry, recall->borrower, &recall->id);
    }
  g_array_unref (recalls);
}

/* Reports the total returned of a loan to its lender. When the lender is not a member any more, the
 * return is dropped: its record on the platform will be closed without it. Returns false when the
 * lender could not be reached. */
static bool
report_return_ (struct sr_budgets *budgets,
                struct sr_budget_entry *entry,
                const struct sr_budget_loan_return *loan_return)
{
  const struct loan_request loan_request
      = { .loan = loan_return->loan, .returned = loan_return->returned, .last_resort = true };
  struct sr_member_view *view = sr_budget_view (budgets);
  bool is_member = view != NULL && sr_member_view_find (view, loan_return->loan.instance) != NULL;

  sr_member_view_unref (view);
  if (is_member)
    return request_loan_ (budgets, entry, loan_return->loan.instance, &loan_request)
           != SR_BORROW_UNREACHABLE;
  pthread_mutex_lock (&budgets->mutex);
  sr_budget_entry_ack_return (entry, &loan_return->loan, loan_return->returned);
  pthread_mutex_unlock (&budgets->mutex);
  return true;
}

/* Sends LOAN_REQUEST to instance LENDER and applies the reply. */
static enum sr_borrow_result
request_loan_ (struct sr_budgets *budgets,
               struct sr_budget_entry *entry,
               const char *lender,
               const struct loan_request *loan_request)
{
  sr_budget_borrow_msg request = { .borrower_incarnation = budgets->options.incarnation,
                                   .lender = sr_holder_to_message (&loan_request->loan),
                                   .returned = loan_request->returned,
                                   .need = loan_request->need,
                                   .want = loan_request->want,
                                   .last_resort = loan_request->last_resort };
  sr_budget_borrowed_msg reply = { 0 };
  struct sr_loan_reply loan_reply = { 0 };
  struct sr_peer_address address;
  enum sr_peer_status status;
  bool gained;

  if (!address_of_ (budgets, lender, &address))
    return SR_BORROW_UNREACHABLE;
  g_strlcpy (request.budget, entry->name, sizeof request.budget);
  g_strlcpy (request.borrower, budgets->instance, sizeof request.borrower);
  status = sr_peer_call (budgets->options.peers, &address, SR_PEER_PROGRAM_BUDGET,
                         SR_BUDGET_PROCEDURE_BORROW, (xdrproc_t)xdr_sr_budget_borrow_msg, &request,
                         (xdrproc_t)xdr_sr_budget_borrowed_msg, &reply, CALL_TIMEOUT_MS);
  if (status != SR_PEER_OK)
    return SR_BORROW_UNREACHABLE;
  loan_reply.has_record = reply.has_record;
  loan_reply.lent = reply.lent;
  sr_holder_from_message (&reply.lender, &loan_reply.lender);
  pthread_mutex_lock (&budgets->mutex);
  sr_budget_entry_ack_return (entry, &loan_request->loan, loan_request->returned);
  gained = sr_ledger_apply_loan_reply (entry->ledger, &loan_reply) > 0;
  if (gained)
    pthread_cond_broadcast (&budgets->changed);
  pthread_mutex_unlock (&budgets->mutex);
  if (gained && !reply.pending)
    return SR_BORROW_GAINED;
  if (loan_reply.has_record && !sr_holder_id_equal (&loan_reply.lender, &loan_request->loan))
    return SR_BORROW_PENDING; /* the lender has opened a new record: request again with its id */
  if (reply.pending)
    return SR_BORROW_PENDING;
  return reply.exhausted ? SR_BORROW_EXHAUSTED : SR_BORROW_NOTHING;
}

/* Adds the borrowers of OWN, if it is an own record, that have not returned all of their loan. */
static void
add_recalls_ (const struct sr_source *own, GArray *recalls)
{
  for (unsigned i = 0; own->is_own && i < own->loans->len; i++)
    {
      const struct sr_loan *loan = &g_array_index (own->loans, struct sr_loan, i);
      struct recall recall = { .id = own->id };

      g_strlcpy (recall.borrower, loan->borrower, sizeof recall.borrower);
      if (loan->lent > loan->returned)
        g_array_append_val (recalls, recall);
    }
}

/* Seals HOLDER's record of budget NAME at its witness, and sets CEILING to the ceiling that the
 * witness has acknowledged. Returns false when the witness cannot be reached, or was restarted and
 * knows nothing of the record. Blocks for one call; called without the mutex. */
bool
sr_budget_seal (struct sr_budgets *budgets,
                const char *name,
                const struct sr_record_holder *holder,
                int64_t *ceiling)
{
  sr_budget_seal_msg request = { 0 };
  sr_budget_sealed_msg reply = { 0 };
  struct sr_peer_address address;
  enum sr_peer_status status;

  if (strcmp (holder->witness, budgets->instance) == 0)
    {
      if (holder->witness_incarnation != budgets->options.incarnation)
        return false;
      pthread_mutex_lock (&budgets->mutex);
      *ceiling = sr_witness_seal (budgets->witness, name, &holder->id);
      pthread_mutex_unlock (&budgets->mutex);
      return true;
    }
  if (!address_of_ (budgets, holder->witness, &address))
    return false;
  g_strlcpy (request.budget, name, sizeof request.budget);
  request.holder = sr_holder_to_message (&holder->id);
  request.witness_incarnation = holder->witness_incarnation;
  status = sr_peer_call (budgets->options.peers, &address, SR_PEER_PROGRAM_BUDGET,
                         SR_BUDGET_PROCEDURE_SEAL, (xdrproc_t)xdr_sr_budget_seal_msg, &request,
                         (xdrproc_t)xdr_sr_budget_sealed_msg, &reply, CALL_TIMEOUT_MS);
  *ceiling = reply.ceiling;
  return status == SR_PEER_OK && reply.known;
}

/* Returns false for an instance that is assumed dead, so that it is not called. If it is alive, it
 * can be called again as soon as a message from it is received. */
static bool
address_of_ (struct sr_budgets *budgets, const char *name, struct sr_peer_address *address)
{
  struct sr_member_view *view = sr_budget_view (budgets);
  const struct sr_member *member = view == NULL ? NULL : sr_member_view_find (view, name);
  bool known = member != NULL && !member->is_self && member->state != SR_MEMBER_DEAD;

  if (known)
    *address = member->peer;
  sr_member_view_unref (view);
  return known;
}

static void
recall_from_ (struct sr_budgets *budgets,
              struct sr_budget_entry *entry,
              const char *borrower,
              const struct sr_holder_id *id)
{
  sr_budget_recall_msg request = { .lender = sr_holder_to_message (id) };
  sr_budget_recalled_msg reply = { 0 };
  struct sr_peer_address address;
  enum sr_peer_status status;

  if (!address_of_ (budgets, borrower, &address))
    return;
  g_strlcpy (request.budget, entry->name, sizeof request.budget);
  status = sr_peer_call (budgets->options.peers, &address, SR_PEER_PROGRAM_BUDGET,
                         SR_BUDGET_PROCEDURE_RECALL, (xdrproc_t)xdr_sr_budget_recall_msg, &request,
                         (xdrproc_t)xdr_sr_budget_recalled_msg, &reply, CALL_TIMEOUT_MS);
  if (status != SR_PEER_OK)
    return;
  pthread_mutex_lock (&budgets->mutex);
  sr_ledger_set_open_loan (entry->ledger, id, borrower, reply.incarnation, reply.lent, reply.open);
  sr_ledger_apply_return (entry->ledger, id, borrower, reply.incarnation, reply.returned);
  pthread_cond_broadcast (&budgets->changed);
  pthread_mutex_unlock (&budgets->mutex);
}
