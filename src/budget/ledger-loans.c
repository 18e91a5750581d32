#include "budget/ledger-private.h"

#include <string.h>

static struct sr_source *source_by_id_ (const struct sr_ledger *ledger,
                                        const struct sr_holder_id *id);
static struct sr_loan *
loan_of_ (struct sr_source *source, const char *borrower, uint64_t incarnation);

/* Handles a loan request: applies the total that BORROWER has RETURNED of record LENDER, then
 * raises the total lent to it to at least NEED, as far as tokens are available, and up to WANT as
 * long as half of the available tokens remain. The totals count from the beginning of record
 * LENDER; its instance is empty when the borrower knows of none. When LENDER is not the open
 * record, nothing is lent, unless the borrower knows of none and has no loan yet. REPLY is filled
 * in any case, so that the borrower learns the open record and the total lent. Returns the tokens
 * lent now. */
int64_t
sr_ledger_lend (struct sr_ledger *ledger,
                const struct sr_holder_id *lender,
                const char *borrower,
                uint64_t incarnation,
                int64_t returned,
                int64_t need,
                int64_t want,
                int64_t now_us,
                struct sr_loan_reply *reply)
{
  struct sr_source *own = ledger->own;
  bool is_first = lender->instance[0] == '\0';
  struct sr_loan *loan;
  int64_t available;
  int64_t tokens;

  *reply = (struct sr_loan_reply){ 0 };
  sr_ledger_apply_return (ledger, lender, borrower, incarnation, returned);
  if (own == NULL)
    return 0;
  loan = loan_of_ (own, borrower, incarnation);
  available = sr_source_available (own);
  if (sr_holder_id_equal (lender, &own->id))
    tokens = MAX (need - loan->lent, MIN (want - loan->lent, available / 2));
  else
    tokens = is_first && loan->lent == 0 ? MAX (need, MIN (want, available / 2)) : 0;
  tokens = CLAMP (tokens, 0, available);
  loan->lent += tokens;
  loan->open += tokens;
  own->transferred += tokens;
  if (tokens > 0)
    {
      sr_ledger_count_demand_ (ledger, tokens, now_us);
      ledger->last_use_us = now_us;
    }
  reply->has_record = true;
  reply->lender = own->id;
  reply->lent = loan->lent;
  return tokens;
}

/* Applies the total that BORROWER has RETURNED of record LENDER, an own record, which may be
 * retired. Smaller totals than before, from reordered messages, are ignored. */
void
sr_ledger_apply_return (struct sr_ledger *ledger,
                        const struct sr_holder_id *lender,
                        const char *borrower,
                        uint64_t incarnation,
                        int64_t returned)
{
  struct sr_source *own = source_by_id_ (ledger, lender);
  struct sr_loan *loan;

  if (own == NULL || !own->is_own)
    return;
  loan = loan_of_ (own, borrower, incarnation);
  returned = MIN (returned, loan->lent);
  if (returned <= loan->returned)
    return;
  own->transferred -= returned - loan->returned;
  loan->returned = returned;
}

/* Returns the open loan from instance LENDER, or NULL. Valid until the ledger changes. */
struct sr_source *
sr_ledger_loan_from (const struct sr_ledger *ledger, const char *lender)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      if (!source->is_own && source->open && strcmp (source->id.instance, lender) == 0)
        return source;
    }
  return NULL;
}

/* Sets LENT to the total received of the loan from record LENDER, open or not, and OPEN to the part
 * that is neither used nor returned. Both are 0 when there is no such loan. */
void
sr_ledger_loan_state (const struct sr_ledger *ledger,
                      const struct sr_holder_id *lender,
                      int64_t *lent,
                      int64_t *open)
{
  const struct sr_source *source = source_by_id_ (ledger, lender);

  *lent = 0;
  *open = 0;
  if (source == NULL || source->is_own)
    return;
  *lent = source->granted;
  *open = source->reserved + sr_source_available (source);
}

/* Applies BORROWER's report on its loan from record LENDER: LENT tokens were received, of which
 * OPEN may still be returned. Tokens lent since, still in a message, count as open too. Earlier
 * incarnations of the borrower can return nothing more; late reports from one are ignored for later
 * incarnations. */
void
sr_ledger_set_open_loan (struct sr_ledger *ledger,
                         const struct sr_holder_id *lender,
                         const char *borrower,
                         uint64_t incarnation,
                         int64_t lent,
                         int64_t open)
{
  struct sr_source *own = source_by_id_ (ledger, lender);

  if (own == NULL || !own->is_own)
    return;
  for (unsigned i = 0; i < own->loans->len; i++)
    {
      struct sr_loan *loan = &g_array_index (own->loans, struct sr_loan, i);

      if (strcmp (loan->borrower, borrower) != 0 || loan->incarnation > incarnation)
        continue;
      loan->open = loan->incarnation == incarnation ? open + MAX (loan->lent - lent, 0) : 0;
    }
}

/* Returns the tokens of SOURCE, an own record, that borrowers may still return. */
int64_t
sr_source_open_loans (const struct sr_source *source)
{
  int64_t tokens = 0;

  for (unsigned i = 0; source->is_own && !source->closed_on_record && i < source->loans->len; i++)
    {
      const struct sr_loan *loan = &g_array_index (source->loans, struct sr_loan, i);

      tokens += CLAMP (loan->open, 0, loan->lent - loan->returned);
    }
  return tokens;
}

/* Returns the tokens of all own records that borrowers may still return. */
int64_t
sr_ledger_open_loans (const struct sr_ledger *ledger)
{
  int64_t tokens = 0;

  for (unsigned i = 0; i < ledger->sources->len; i++)
    tokens += sr_source_open_loans (ledger->sources->pdata[i]);
  return tokens;
}

/* Tells whether tokens of an open loan are available, and can be returned. */
bool
sr_ledger_loans_left (const struct sr_ledger *ledger)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      const struct sr_source *source = ledger->sources->pdata[i];

      if (!source->is_own && source->open && sr_source_available (source) > 0)
        return true;
    }
  return false;
}

/* Applies REPLY, a lender's loan reply. A loan from an earlier record of that lender is closed:
 * its remaining tokens may be used, but are not returned. Replies for an earlier record are
 * ignored. Returns the tokens gained. */
int64_t
sr_ledger_apply_loan_reply (struct sr_ledger *ledger, const struct sr_loan_reply *reply)
{
  struct sr_source *source;
  int64_t gained;

  if (!reply->has_record)
    return 0;
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      source = ledger->sources->pdata[i];
      if (source->is_own || strcmp (source->id.instance, reply->lender.instance) != 0)
        continue;
      if (sr_holder_id_equal (&source->id, &reply->lender))
        {
          gained = MAX (reply->lent - source->granted, 0);
          source->granted += gained;
          return gained;
        }
      if (source->id.incarnation > reply->lender.incarnation
          || (source->id.incarnation == reply->lender.incarnation
              && source->id.generation > reply->lender.generation))
        return 0;
      source->open = false;
    }
  source = sr_ledger_source_new_ (ledger, &reply->lender, false);
  source->granted = reply->lent;
  sr_ledger_free_empty_ (ledger);
  return reply->lent;
}

/* Marks the available tokens of the loan from record LENDER, except KEEP, as returned. Returns the
 * total returned to that record, which the caller reports to the lender. */
int64_t
sr_ledger_return_loan (struct sr_ledger *ledger, const struct sr_holder_id *lender, int64_t keep)
{
  struct sr_source *source = source_by_id_ (ledger, lender);

  if (source == NULL || source->is_own)
    return 0;
  source->transferred += MAX (sr_source_available (source) - keep, 0);
  return source->transferred;
}

/* Returns the tokens of own record ID that are known to be used, here or by borrowers' reports. 0
 * when it is not an own record. */
int64_t
sr_ledger_spent_of (const struct sr_ledger *ledger, const struct sr_holder_id *id)
{
  const struct sr_source *own = source_by_id_ (ledger, id);
  int64_t spent;

  if (own == NULL || !own->is_own)
    return 0;
  spent = own->used;
  for (unsigned i = 0; i < own->loans->len; i++)
    {
      const struct sr_loan *loan = &g_array_index (own->loans, struct sr_loan, i);

      spent += loan->lent - loan->returned - loan->open;
    }
  return spent;
}

static struct sr_source *
source_by_id_ (const struct sr_ledger *ledger, const struct sr_holder_id *id)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      if (sr_holder_id_equal (&source->id, id))
        return source;
    }
  return NULL;
}

static struct sr_loan *
loan_of_ (struct sr_source *source, const char *borrower, uint64_t incarnation)
{
  struct sr_loan fresh = { .incarnation = incarnation };

  for (unsigned i = 0; i < source->loans->len; i++)
    {
      struct sr_loan *loan = &g_array_index (source->loans, struct sr_loan, i);

      if (loan->incarnation == incarnation && strcmp (loan->borrower, borrower) == 0)
        return loan;
    }
  g_strlcpy (fresh.borrower, borrower, sizeof fresh.borrower);
  g_array_append_val (source->loans, fresh);
  return &g_array_index (source->loans, struct sr_loan, source->loans->len - 1);
}
