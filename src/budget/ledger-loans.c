#include "budget/ledger-private.h"

#include <string.h>

static struct sr_source *source_by_id_ (const struct sr_ledger *ledger,
                                        const struct sr_holder_id *id);
static struct sr_loan *
loan_of_ (struct sr_source *source, const char *borrower, uint64_t incarnation);

/* Lends to BORROWER: takes over what it has RETURNED of record LENDER in all, then raises what was
 * lent in all to at least NEED, and up to WANT as long as that leaves half of what is available.
 * All three count from the beginning of record LENDER, whose instance is empty for a borrower that
 * knows of none. When it is another record than the open one, nothing is lent: ANSWER, which is
 * filled in any case, tells the borrower where it stands. Returns the tokens lent now. */
int64_t
sr_ledger_lend (struct sr_ledger *ledger,
                const struct sr_holder_id *lender,
                const char *borrower,
                uint64_t incarnation,
                int64_t returned,
                int64_t need,
                int64_t want,
                int64_t now_us,
                struct sr_loan_answer *answer)
{
  struct sr_source *own = ledger->own;
  bool is_first = lender->instance[0] == '\0';
  struct sr_loan *loan;
  int64_t available;
  int64_t tokens;

  *answer = (struct sr_loan_answer){ 0 };
  sr_ledger_take_return (ledger, lender, borrower, incarnation, returned);
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
  own->given += tokens;
  if (tokens > 0)
    {
      sr_ledger_count_demand_ (ledger, tokens, now_us);
      ledger->last_use_us = now_us;
    }
  answer->has_record = true;
  answer->lender = own->id;
  answer->lent = loan->lent;
  return tokens;
}

/* Takes over that BORROWER has RETURNED tokens of record LENDER in all. The record may be one that
 * is not drawn on any more. */
void
sr_ledger_take_return (struct sr_ledger *ledger,
                       const struct sr_holder_id *lender,
                       const char *borrower,
                       uint64_t incarnation,
                       int64_t returned)
{
  struct sr_source *own = source_by_id_ (ledger, lender);
  struct sr_loan *loan;

  if (own == NULL || !own->own)
    return;
  loan = loan_of_ (own, borrower, incarnation);
  returned = MIN (returned, loan->lent);
  if (returned <= loan->returned)
    return;
  own->given -= returned - loan->returned;
  loan->returned = returned;
}

/* Returns the open loan from instance LENDER, or NULL. */
struct sr_source *
sr_ledger_loan_from (const struct sr_ledger *ledger, const char *lender)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      if (!source->own && source->open && strcmp (source->id.instance, lender) == 0)
        return source;
    }
  return NULL;
}

/* Sets what has arrived of the loan from record LENDER, open or not, and what of that is neither
 * used nor returned. Both are 0 when there is no such loan. */
void
sr_ledger_loan_state (const struct sr_ledger *ledger,
                      const struct sr_holder_id *lender,
                      int64_t *lent,
                      int64_t *open)
{
  const struct sr_source *source = source_by_id_ (ledger, lender);

  *lent = 0;
  *open = 0;
  if (source == NULL || source->own)
    return;
  *lent = source->granted;
  *open = source->reserved + sr_source_available (source);
}

/* Takes over what BORROWER says of its loan from record LENDER: LENT tokens have arrived, and of
 * these OPEN may still come back. What is on its way counts as open too. Nothing can come back from
 * an earlier incarnation of the borrower, and what such a one has said late changes nothing. */
void
sr_ledger_note_open (struct sr_ledger *ledger,
                     const struct sr_holder_id *lender,
                     const char *borrower,
                     uint64_t incarnation,
                     int64_t lent,
                     int64_t open)
{
  struct sr_source *own = source_by_id_ (ledger, lender);

  if (own == NULL || !own->own)
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

  for (unsigned i = 0; source->own && !source->closed_on_record && i < source->loans->len; i++)
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

/* Tells whether something is available of a loan that can be returned. */
bool
sr_ledger_loans_left (const struct sr_ledger *ledger)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      const struct sr_source *source = ledger->sources->pdata[i];

      if (!source->own && source->open && sr_source_available (source) > 0)
        return true;
    }
  return false;
}

/* Takes over a lender's ANSWER. A loan of an earlier record of that lender is closed: what is left
 * of it may be used, but not returned. Returns the tokens gained. */
int64_t
sr_ledger_borrowed (struct sr_ledger *ledger, const struct sr_loan_answer *answer)
{
  struct sr_source *source;
  int64_t gained;

  if (!answer->has_record)
    return 0;
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      source = ledger->sources->pdata[i];
      if (source->own || strcmp (source->id.instance, answer->lender.instance) != 0)
        continue;
      if (sr_holder_id_equal (&source->id, &answer->lender))
        {
          gained = MAX (answer->lent - source->granted, 0);
          source->granted += gained;
          return gained;
        }
      if (source->id.incarnation > answer->lender.incarnation
          || (source->id.incarnation == answer->lender.incarnation
              && source->id.generation > answer->lender.generation))
        return 0;
      source->open = false;
    }
  source = sr_ledger_source_new_ (ledger, &answer->lender, false);
  source->granted = answer->lent;
  sr_ledger_free_empty_ (ledger);
  return answer->lent;
}

/* Returns to record LENDER what is available of its loan, except KEEP tokens. Returns the tokens
 * returned since the beginning of that record, to be told to the lender. */
int64_t
sr_ledger_return_loan (struct sr_ledger *ledger, const struct sr_holder_id *lender, int64_t keep)
{
  struct sr_source *source = source_by_id_ (ledger, lender);

  if (source == NULL || source->own)
    return 0;
  source->given += MAX (sr_source_available (source) - keep, 0);
  return source->given;
}

/* Returns the tokens of own record ID that are certainly used: here, or by borrowers as far as they
 * have said. 0 when it is not an own record. */
int64_t
sr_ledger_spent_of (const struct sr_ledger *ledger, const struct sr_holder_id *id)
{
  const struct sr_source *own = source_by_id_ (ledger, id);
  int64_t spent;

  if (own == NULL || !own->own)
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
