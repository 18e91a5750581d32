#include "budget/budget-private.h"

#include "budget/budget_xdr.h"
#include "budget/messages.h"

#include <string.h>

enum
{
  CALL_TIMEOUT_MS = 200
};

/* A borrower, and the record that lent to it. */
struct recall
{
  char borrower[SR_BUDGET_NAME_MAX_BYTES];
  struct sr_holder_id id;
};

/* What a lender is asked for; the counters are those of the loan as a whole. */
struct ask
{
  struct sr_holder_id loan; /* its instance is empty for a borrower that knows of none */
  int64_t returned;
  int64_t need;
  int64_t want;
  bool last_resort;
};

static bool
address_of_ (struct sr_budgets *budgets, const char *name, struct sr_peer_address *address);
static bool report_return_ (struct sr_budgets *budgets,
                            struct sr_budget_entry *entry,
                            const struct sr_budget_loan_return *each);
static enum sr_borrow_result request_loan_ (struct sr_budgets *budgets,
                                            struct sr_budget_entry *entry,
                                            const char *lender,
                                            const struct ask *ask);
static void add_recalls_ (const struct sr_source *own, GArray *recalls);
static void recall_from_ (struct sr_budgets *budgets,
                          struct sr_budget_entry *entry,
                          const char *borrower,
                          const struct sr_holder_id *id);

/* Returns the view of the other instances, to be given back with sr_member_view_unref, or NULL when
 * this instance is alone. */
struct sr_member_view *
sr_budget_view (struct sr_budgets *budgets)
{
  if (budgets->options.peers == NULL)
    return NULL;
  if (budgets->options.view != NULL)
    return budgets->options.view (budgets->options.view_data);
  return budgets->options.members == NULL ? NULL : sr_members_view (budgets->options.members);
}

/* Sets WITNESS to the instance that should vouch for the records of this one: the same for all
 * budgets, so that raises share a message, and of the same data centre where there is one. Called
 * with the mutex held. Returns false when there is none. */
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

/* Borrows from instance LENDER so that NEED more tokens can be reserved, and some ahead of demand.
 * Blocks for one call. */
enum sr_borrow_result
sr_budget_borrow (struct sr_budgets *budgets,
                  struct sr_budget_entry *entry,
                  const char *lender,
                  int64_t need,
                  bool last_resort)
{
  struct ask ask = { .last_resort = last_resort };
  const struct sr_source *source;
  int64_t ahead;

  pthread_mutex_lock (&budgets->mutex);
  source = sr_ledger_loan_from (entry->ledger, lender);
  ahead = last_resort ? 0 : sr_ledger_missing_ahead (entry->ledger, g_get_monotonic_time ());
  if (source != NULL)
    {
      ask.loan = source->id;
      ask.returned = source->given;
      ask.need = source->granted;
    }
  pthread_mutex_unlock (&budgets->mutex);
  ask.want = ask.need + MAX (need, ahead);
  ask.need += need;
  return request_loan_ (budgets, entry, lender, &ask);
}

/* Returns to each lender what is available of its loan; WITH_CLOSED of those loans too that are
 * not added to any more, which the lender may not take back. What a lender may not have heard yet
 * is told again. Returns false when one could not be told. */
bool
sr_budget_return_loans (struct sr_budgets *budgets, struct sr_budget_entry *entry, bool with_closed)
{
  GArray *returns;
  bool told = true;

  pthread_mutex_lock (&budgets->mutex);
  for (unsigned i = 0; i < entry->ledger->sources->len; i++)
    {
      const struct sr_source *source = entry->ledger->sources->pdata[i];

      if (!source->own && (source->open || with_closed) && sr_source_available (source) > 0)
        sr_budget_entry_add_return (entry, &source->id,
                                    sr_ledger_return_loan (entry->ledger, &source->id, 0));
    }
  returns = g_array_copy (entry->unacknowledged_returns);
  pthread_mutex_unlock (&budgets->mutex);
  for (unsigned i = 0; i < returns->len; i++)
    {
      const struct sr_budget_loan_return *each
          = &g_array_index (returns, struct sr_budget_loan_return, i);

      told = report_return_ (budgets, entry, each) && told;
    }
  g_array_unref (returns);
  return told;
}

/* Asks the borrowers of the own record to return what they do not need. Blocks for one call each.
 */
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

/* Tells the lender what was returned of a loan. One that is no member any more never hears it: its
 * record on the platform decides. Returns false when it could not be reached. */
static bool
report_return_ (struct sr_budgets *budgets,
                struct sr_budget_entry *entry,
                const struct sr_budget_loan_return *each)
{
  const struct ask ask = { .loan = each->loan, .returned = each->returned, .last_resort = true };
  struct sr_member_view *view = sr_budget_view (budgets);
  bool is_member = view != NULL && sr_member_view_find (view, each->loan.instance) != NULL;

  sr_member_view_unref (view);
  if (is_member)
    return request_loan_ (budgets, entry, each->loan.instance, &ask) != SR_BORROW_UNREACHABLE;
  pthread_mutex_lock (&budgets->mutex);
  sr_budget_entry_ack_return (entry, &each->loan, each->returned);
  pthread_mutex_unlock (&budgets->mutex);
  return true;
}

/* Sends ASK to instance LENDER and takes over its answer. */
static enum sr_borrow_result
request_loan_ (struct sr_budgets *budgets,
               struct sr_budget_entry *entry,
               const char *lender,
               const struct ask *ask)
{
  sr_budget_borrow_msg request = { .borrower_incarnation = budgets->options.incarnation,
                                   .lender = sr_holder_to_message (&ask->loan),
                                   .returned = ask->returned,
                                   .need = ask->need,
                                   .want = ask->want,
                                   .last_resort = ask->last_resort };
  sr_budget_borrowed_msg reply = { 0 };
  struct sr_loan_answer answer = { 0 };
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
  answer.has_record = reply.has_record;
  answer.lent = reply.lent;
  sr_holder_from_message (&reply.lender, &answer.lender);
  pthread_mutex_lock (&budgets->mutex);
  sr_budget_entry_ack_return (entry, &ask->loan, ask->returned);
  gained = sr_ledger_borrowed (entry->ledger, &answer) > 0;
  if (gained)
    pthread_cond_broadcast (&budgets->changed);
  pthread_mutex_unlock (&budgets->mutex);
  if (gained && !reply.pending)
    return SR_BORROW_GAINED;
  if (answer.has_record && !sr_holder_id_equal (&answer.lender, &ask->loan))
    return SR_BORROW_PENDING; /* the lender's record is a new one: ask again under its name */
  if (reply.pending)
    return SR_BORROW_PENDING;
  return reply.exhausted ? SR_BORROW_EXHAUSTED : SR_BORROW_NOTHING;
}

/* Adds the borrowers of an own record that have not returned all of their loan. */
static void
add_recalls_ (const struct sr_source *own, GArray *recalls)
{
  for (unsigned i = 0; own->own && i < own->loans->len; i++)
    {
      const struct sr_loan *loan = &g_array_index (own->loans, struct sr_loan, i);
      struct recall recall = { .id = own->id };

      g_strlcpy (recall.borrower, loan->borrower, sizeof recall.borrower);
      if (loan->lent > loan->returned)
        g_array_append_val (recalls, recall);
    }
}

/* Has the witness of HOLDER's record of budget NAME seal it, and sets CEILING to what it had
 * acknowledged. Returns false when the witness cannot be asked, or has lost its memory. */
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

/* An instance that is believed dead is not called: the belief may be wrong, but then it is asked
 * again as soon as it is heard. */
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
  sr_ledger_note_open (entry->ledger, id, borrower, reply.incarnation, reply.lent, reply.open);
  sr_ledger_take_return (entry->ledger, id, borrower, reply.incarnation, reply.returned);
  pthread_cond_broadcast (&budgets->changed);
  pthread_mutex_unlock (&budgets->mutex);
}
