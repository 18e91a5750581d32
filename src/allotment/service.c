#include "allotment/book-private.h"

enum
{
  US_PER_MS = 1000,
  WAIT_MAX_US
  = 600 * US_PER_MS, /* two calls to a slow store; then the caller hears when to return */
};

static void tell_pending_ (struct allotment_book *book,
                           const struct allotment_team *team,
                           struct allotment_pending_ask *ask);
static bool serve_ask_ (struct allotment_book *book,
                        struct allotment_team *team,
                        struct allotment_pending_ask *ask,
                        enum allotment_supply supply,
                        int64_t now_us);

/* Serves what fits, the oldest first: a large reservation that waits for a draw stops nobody. Who
 * is told may settle, reserve or cancel at once, which changes the queue. */
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
      allotment_demand_count_ (&team->demand, copy.tokens, now_us);
      copy.done (ALLOTMENT_GRANTED, parts, copy.data);
      link = team->waiters.head;
    }
}

void
allotment_serve_asks_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us)
{
  for (GList *link = team->asks.head, *next; link != NULL; link = next)
    {
      next = link->next;
      if (!serve_ask_ (book, team, link->data,
                       book->stopping ? SUPPLY_OUT_OF_REACH : SUPPLY_MAY_COME, now_us))
        {
          tell_pending_ (book, team, link->data);
          continue;
        }
      g_free (link->data);
      g_queue_delete_link (&team->asks, link);
    }
}

/* Nothing more can be fetched: LEFT_AT_MOST is what can be left of the whole budget. */
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
        copy.done (copy.tokens > left_at_most ? ALLOTMENT_EXHAUSTED : ALLOTMENT_LATER, NULL,
                   copy.data);
    }
}

/* The same, and notes that TOLD_BY knows so. */
void
allotment_refuse_exhausted_ (struct allotment_team *team,
                             const char *told_by,
                             int64_t left_at_most,
                             int64_t now_us)
{
  team->left_at_most = left_at_most;
  team->left_us = now_us;
  g_strlcpy (team->left_told_by, told_by, sizeof team->left_told_by);
  allotment_refuse_waiters_ (team, left_at_most, now_us);
}

/* Refuses reservations that have waited too long, and asks of others too. */
void
allotment_refuse_late_ (struct allotment_book *book, struct allotment_team *team, int64_t now_us)
{
  struct allotment_waiter *waiter;
  struct allotment_pending_ask *ask;

  while ((waiter = g_queue_peek_head (&team->waiters)) != NULL
         && now_us - waiter->since_us >= WAIT_MAX_US)
    {
      struct allotment_waiter copy = *waiter;

      g_free (g_queue_pop_head (&team->waiters));
      copy.done (ALLOTMENT_LATER, NULL, copy.data);
    }
  while ((ask = g_queue_peek_head (&team->asks)) != NULL && now_us - ask->since_us >= WAIT_MAX_US)
    {
      g_queue_pop_head (&team->asks);
      serve_ask_ (book, team, ask, SUPPLY_OUT_OF_REACH, now_us);
      g_free (ask);
    }
}

/* Answers all asks that wait for the store, which is not going to help them. */
void
allotment_answer_asks_ (struct allotment_book *book,
                        struct allotment_team *team,
                        enum allotment_supply supply,
                        int64_t now_us)
{
  while (!g_queue_is_empty (&team->asks))
    {
      struct allotment_pending_ask *ask = g_queue_pop_head (&team->asks);

      serve_ask_ (book, team, ask, supply, now_us);
      g_free (ask);
    }
}

int64_t
allotment_needed_by_waiters_ (const struct allotment_team *team)
{
  int64_t sum = 0;

  for (const GList *link = team->waiters.head; link != NULL; link = link->next)
    sum += ((const struct allotment_waiter *)link->data)->tokens;
  return sum;
}

/* Returns the tokens that the smallest of those who wait, here or elsewhere, asks for. */
int64_t
allotment_least_needed_ (const struct allotment_team *team)
{
  int64_t least = INT64_MAX;

  for (const GList *link = team->waiters.head; link != NULL; link = link->next)
    least = MIN (least, ((const struct allotment_waiter *)link->data)->tokens);
  for (const GList *link = team->asks.head; link != NULL; link = link->next)
    least = MIN (least, ((const struct allotment_pending_ask *)link->data)->missing);
  return least == INT64_MAX ? 0 : least;
}

/* Returns the tokens that asks of others wait for; one that merely has to learn of a record here
 * waits for a single token. */
int64_t
allotment_needed_by_asks_ (struct allotment_team *team)
{
  int64_t sum = 0;

  for (const GList *link = team->asks.head; link != NULL; link = link->next)
    sum += MAX (((const struct allotment_pending_ask *)link->data)->missing, 1);
  return sum;
}

/* Tells who sent ASK that it waits for the store: silence would mean that this instance is gone. */
static void
tell_pending_ (struct allotment_book *book,
               const struct allotment_team *team,
               struct allotment_pending_ask *ask)
{
  const struct allotment_answer answer = { .team = team->name,
                                           .number = ask->number,
                                           .borrower_incarnation = ask->borrower_incarnation,
                                           .is_leaving = book->leaving,
                                           .is_pending = true };

  if (ask->is_told)
    return;
  ask->is_told = true;
  allotment_link_ (book)->answer (book->options.link, ask->handle, &answer);
}

/* Answers ASK if it can be met in full, or, when no more can come, in any case. */
static bool
serve_ask_ (struct allotment_book *book,
            struct allotment_team *team,
            struct allotment_pending_ask *ask,
            enum allotment_supply supply,
            int64_t now_us)
{
  struct allotment_answer answer = { .team = team->name,
                                     .number = ask->number,
                                     .borrower_incarnation = ask->borrower_incarnation,
                                     .is_leaving = book->leaving };
  const struct sr_ledger *ledger = team->ledger;
  bool is_first = ask->lender.instance[0] == '\0';
  int64_t before = sr_ledger_committed (ledger);
  int64_t opens_us;

  sr_ledger_take_return (team->ledger, &ask->lender, ask->borrower, ask->borrower_incarnation,
                         ask->returned);
  sr_ledger_note_open (team->ledger, &ask->lender, ask->borrower, ask->borrower_incarnation,
                       ask->arrived, ask->open);
  ask->missing = ask->need;
  if (ledger->own == NULL && ask->need > 0 && supply == SUPPLY_MAY_COME)
    return false;
  /* Nothing is lent in part: the borrower could not use it, and the next one would miss it. */
  sr_ledger_lend (team->ledger, &ask->lender, ask->borrower, ask->borrower_incarnation,
                  ask->returned, 0, 0, now_us, &answer.loan);
  ask->missing = 0;
  if (answer.loan.has_record
      && (sr_holder_id_equal (&ask->lender, &answer.loan.lender)
          || (is_first && answer.loan.lent == 0)))
    ask->missing = MAX (ask->need - answer.loan.lent, 0);
  if (ask->missing > (ledger->own == NULL ? 0 : sr_source_available (ledger->own))
      || (!answer.loan.has_record && ask->need > 0))
    {
      if (supply == SUPPLY_MAY_COME)
        return false;
      answer.is_dry = true;
      /* Who knows of a larger total than this instance is not told that nothing is left. */
      answer.is_empty = supply == SUPPLY_EMPTY && ask->prepaid_tokens <= team->prepaid_tokens;
      opens_us = allotment_opens_us_ (team, now_us);
      answer.opens_ms = opens_us == 0 ? 0 : (opens_us - now_us) / US_PER_MS + 1;
      answer.left_at_most = answer.is_empty ? allotment_left_at_most_ (book, team, now_us) : 0;
    }
  else if (!book->stopping)
    sr_ledger_lend (team->ledger, &ask->lender, ask->borrower, ask->borrower_incarnation,
                    ask->returned, ask->need, ask->want, now_us, &answer.loan);
  allotment_demand_count_ (&team->demand, sr_ledger_committed (ledger) - before, now_us);
  allotment_link_ (book)->answer (book->options.link, ask->handle, &answer);
  return true;
}
