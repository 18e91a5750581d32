/* Serves reservations of this instance and loan requests of peers from what the ledger holds, and
 * refuses those that nothing more can be obtained for. */
#include "allotment/allotment-private.h"

enum
{
  US_PER_MS = 1000,
  WAITER_TIMEOUT_US
  = 600 * US_PER_MS, /* two calls to a slow store; the caller is then refused with a retry-after */
};

static void send_pending_reply_ (struct allotment_manager *manager,
                                 const struct allotment_team *team,
                                 struct allotment_pending_loan_request *request);
static bool serve_loan_request_ (struct allotment_manager *manager,
                                 struct allotment_team *team,
                                 struct allotment_pending_loan_request *request,
                                 enum allotment_supply supply,
                                 int64_t now_us);

/* Grants the waiting reservations that fit, the oldest first; a large one that waits for a draw
 * does not hold up smaller ones behind it. A callback may settle, reserve or cancel, which changes
 * the queue, so the scan restarts after each grant. */
void
allotment_serve_waiters_ (struct allotment_team *team, int64_t now_us)
{
  GList *link = team->waiters.head;

  while (link != NULL)
    {
      struct allotment_waiter copy = *(struct allotment_waiter *)link->data;
      GArray *parts = sr_ledger_reserve (team->ledger, copy.tokens, now_us);

      if (parts == NULL)
        {
          link = link->next;
          continue;
        }
      g_free (link->data);
      g_queue_delete_link (&team->waiters, link);
      allotment_demand_add_ (&team->demand, copy.tokens, now_us);
      copy.done (ALLOTMENT_GRANTED, parts, copy.data);
      link = team->waiters.head;
    }
}

/* Replies to the loan requests that can be met now, and notifies the other borrowers once that
 * their requests wait. While the manager is stopping, all get a final reply. */
void
allotment_serve_loan_requests_ (struct allotment_manager *manager,
                                struct allotment_team *team,
                                int64_t now_us)
{
  for (GList *link = team->loan_requests.head, *next; link != NULL; link = next)
    {
      next = link->next;
      if (!serve_loan_request_ (manager, team, link->data,
                                manager->stopping ? SUPPLY_OUT_OF_REACH : SUPPLY_MAY_COME, now_us))
        {
          send_pending_reply_ (manager, team, link->data);
          continue;
        }
      g_free (link->data);
      g_queue_delete_link (&team->loan_requests, link);
    }
}

/* Ends all waiting reservations, as no more tokens can be obtained. Those that do not fit are
 * refused: as exhausted if they need more than LEFT_AT_MOST, the upper bound of what is left of the
 * whole budget (INT64_MAX: unknown). */
void
allotment_refuse_waiters_ (struct allotment_team *team, int64_t left_at_most, int64_t now_us)
{
  GQueue refused = team->waiters;
  struct allotment_waiter *waiter;

  g_queue_init (&team->waiters);
  while ((waiter = g_queue_pop_head (&refused)) != NULL)
    {
      struct allotment_waiter copy = *waiter;
      GArray *parts = sr_ledger_reserve (team->ledger, copy.tokens, now_us);

      g_free (waiter);
      if (parts != NULL)
        copy.done (ALLOTMENT_GRANTED, parts, copy.data);
      else
        copy.done (copy.tokens > left_at_most ? ALLOTMENT_EXHAUSTED : ALLOTMENT_OUT_OF_REACH, NULL,
                   copy.data);
    }
}

/* Calls allotment_refuse_waiters_ after REPORTED_BY, this instance or a peer, has found the budget
 * exhausted, and notes that for allotment_manager_budget_status. */
void
allotment_refuse_exhausted_ (struct allotment_team *team,
                             const char *reported_by,
                             int64_t left_at_most,
                             int64_t now_us)
{
  team->left_at_most = left_at_most;
  team->left_reported_us = now_us;
  g_strlcpy (team->left_reported_by, reported_by, sizeof team->left_reported_by);
  allotment_refuse_waiters_ (team, left_at_most, now_us);
}

/* Refuses reservations and loan requests that have waited for WAITER_TIMEOUT_US. */
void
allotment_refuse_overdue_ (struct allotment_manager *manager,
                           struct allotment_team *team,
                           int64_t now_us)
{
  struct allotment_waiter *waiter;
  struct allotment_pending_loan_request *request;

  while ((waiter = g_queue_peek_head (&team->waiters)) != NULL
         && now_us - waiter->since_us >= WAITER_TIMEOUT_US)
    {
      struct allotment_waiter copy = *waiter;

      g_free (g_queue_pop_head (&team->waiters));
      copy.done (ALLOTMENT_OUT_OF_REACH, NULL, copy.data);
    }
  while ((request = g_queue_peek_head (&team->loan_requests)) != NULL
         && now_us - request->since_us >= WAITER_TIMEOUT_US)
    {
      g_queue_pop_head (&team->loan_requests);
      serve_loan_request_ (manager, team, request, SUPPLY_OUT_OF_REACH, now_us);
      g_free (request);
    }
}

/* Replies to all loan requests that wait for the store, as it provides nothing more: SUPPLY says
 * why. */
void
allotment_reply_to_loan_requests_ (struct allotment_manager *manager,
                                   struct allotment_team *team,
                                   enum allotment_supply supply,
                                   int64_t now_us)
{
  while (!g_queue_is_empty (&team->loan_requests))
    {
      struct allotment_pending_loan_request *request = g_queue_pop_head (&team->loan_requests);

      serve_loan_request_ (manager, team, request, supply, now_us);
      g_free (request);
    }
}

/* Returns the tokens of all waiting reservations together. */
int64_t
allotment_needed_by_waiters_ (const struct allotment_team *team)
{
  int64_t sum = 0;

  for (const GList *link = team->waiters.head; link != NULL; link = link->next)
    sum += ((const struct allotment_waiter *)link->data)->tokens;
  return sum;
}

/* Returns the tokens that the smallest waiting reservation or loan request needs. */
int64_t
allotment_smallest_need_ (const struct allotment_team *team)
{
  int64_t least = INT64_MAX;

  for (const GList *link = team->waiters.head; link != NULL; link = link->next)
    least = MIN (least, ((const struct allotment_waiter *)link->data)->tokens);
  for (const GList *link = team->loan_requests.head; link != NULL; link = link->next)
    least = MIN (least, ((const struct allotment_pending_loan_request *)link->data)->missing);
  return least == INT64_MAX ? 0 : least;
}

/* Returns the tokens that the waiting loan requests need together. One that only needs this
 * instance to have a record counts as one token, so that there is a draw. */
int64_t
allotment_needed_by_loan_requests_ (struct allotment_team *team)
{
  int64_t sum = 0;

  for (const GList *link = team->loan_requests.head; link != NULL; link = link->next)
    sum += MAX (((const struct allotment_pending_loan_request *)link->data)->missing, 1);
  return sum;
}

/* Notifies the borrower that REQUEST waits for the store; without a reply it would consider this
 * instance unreachable. */
static void
send_pending_reply_ (struct allotment_manager *manager,
                     const struct allotment_team *team,
                     struct allotment_pending_loan_request *request)
{
  const struct allotment_loan_reply reply = { .team = team->name,
                                              .number = request->number,
                                              .borrower_incarnation = request->borrower_incarnation,
                                              .is_draining = manager->draining,
                                              .is_pending = true };

  if (request->is_notified)
    return;
  request->is_notified = true;
  allotment_link_ (manager)->send_loan_reply (manager->options.link, request->handle, &reply);
}

/* Replies to REQUEST if it can be met in full, or in any case if SUPPLY says that no more tokens
 * can come. Returns false when it has to wait. */
static bool
serve_loan_request_ (struct allotment_manager *manager,
                     struct allotment_team *team,
                     struct allotment_pending_loan_request *request,
                     enum allotment_supply supply,
                     int64_t now_us)
{
  struct allotment_loan_reply reply = { .team = team->name,
                                        .number = request->number,
                                        .borrower_incarnation = request->borrower_incarnation,
                                        .is_draining = manager->draining };
  const struct sr_ledger *ledger = team->ledger;
  bool is_first = request->lender.instance[0] == '\0';
  int64_t before = sr_ledger_committed (ledger);
  int64_t opens_us;

  sr_ledger_apply_return (team->ledger, &request->lender, request->borrower,
                          request->borrower_incarnation, request->returned);
  sr_ledger_set_open_loan (team->ledger, &request->lender, request->borrower,
                           request->borrower_incarnation, request->received, request->outstanding);
  request->missing = MAX (request->need - request->received, 0);
  if (ledger->own == NULL && request->need > 0 && supply == SUPPLY_MAY_COME)
    return false;
  /* Lend nothing yet, only find out what has been lent. A loan is never made in part: the borrower
   * could not use it, and other borrowers would lack it. */
  sr_ledger_lend (team->ledger, &request->lender, request->borrower, request->borrower_incarnation,
                  request->returned, 0, 0, now_us, &reply.loan);
  request->missing = 0;
  if (reply.loan.has_record
      && (sr_holder_id_equal (&request->lender, &reply.loan.lender)
          || (is_first && reply.loan.lent == 0)))
    request->missing = MAX (request->need - reply.loan.lent, 0);
  if (request->missing > (ledger->own == NULL ? 0 : sr_source_available (ledger->own))
      || (!reply.loan.has_record && request->need > 0))
    {
      if (supply == SUPPLY_MAY_COME)
        return false;
      reply.is_refused = true;
      /* The budget is not reported as exhausted to a borrower that knows of a larger prepaid total
       * than this instance. */
      reply.is_exhausted
          = supply == SUPPLY_EXHAUSTED && request->prepaid_tokens <= team->prepaid_tokens;
      opens_us = allotment_limit_opens_us_ (team, now_us);
      reply.limit_opens_ms = opens_us == 0 ? 0 : (opens_us - now_us) / US_PER_MS + 1;
      reply.left_at_most
          = reply.is_exhausted ? allotment_left_upper_bound_ (manager, team, now_us) : 0;
    }
  else if (!manager->stopping)
    sr_ledger_lend (team->ledger, &request->lender, request->borrower,
                    request->borrower_incarnation, request->returned, request->need, request->want,
                    now_us, &reply.loan);
  allotment_demand_add_ (&team->demand, sr_ledger_committed (ledger) - before, now_us);
  allotment_link_ (manager)->send_loan_reply (manager->options.link, request->handle, &reply);
  return true;
}
