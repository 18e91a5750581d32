#include "budget/ledger.h"

#include <math.h>
#include <string.h>

static const double US_PER_S = 1e6;
static const double RATE_TIME_CONSTANT_S = 10;

static struct sr_source *
source_new_ (struct sr_ledger *ledger, const struct sr_holder_id *id, bool own);
static void source_free_ (void *data);
static void source_doubt_ (struct sr_source *source, int64_t version, int64_t granted);
static int64_t source_take_ (struct sr_source *source, int64_t tokens, GArray *parts);
static struct sr_source *
own_open_ (struct sr_ledger *ledger, const char *witness, uint64_t witness_incarnation);
static void own_close_ (struct sr_ledger *ledger, struct sr_source *source);
static void read_source_ (struct sr_ledger *ledger,
                          struct sr_source *source,
                          const struct sr_record *record,
                          int64_t version);
static void forget_empty_ (struct sr_ledger *ledger);
static void count_demand_ (struct sr_ledger *ledger, int64_t tokens, int64_t now_us);
static bool has_open_loans_ (const struct sr_source *source);
static struct sr_source *source_by_id_ (const struct sr_ledger *ledger,
                                        const struct sr_holder_id *id);
static struct sr_loan *
loan_of_ (struct sr_source *source, const char *borrower, uint64_t incarnation);

/* Creates the empty ledger of one budget. The strings of OPTIONS must outlive it. */
struct sr_ledger *
sr_ledger_new (const struct sr_ledger_options *options)
{
  struct sr_ledger *ledger = g_new0 (struct sr_ledger, 1);

  ledger->options = *options;
  ledger->sources = g_ptr_array_new_with_free_func (source_free_);
  return ledger;
}

/* Frees LEDGER; no reservation of it may be left. NULL is allowed. */
void
sr_ledger_delete (struct sr_ledger *ledger)
{
  if (ledger == NULL)
    return;
  g_ptr_array_unref (ledger->sources);
  g_free (ledger);
}

/* Returns the tokens that may ever be used out of SOURCE, those already used included. */
int64_t
sr_source_limit (const struct sr_source *source)
{
  int64_t limit = MIN (source->granted, source->ceiling);

  return source->in_doubt ? MIN (limit, source->doubt_granted) : limit;
}

/* Returns the tokens of SOURCE that can be reserved, lent or given back now. */
int64_t
sr_source_available (const struct sr_source *source)
{
  return MAX (sr_source_limit (source) - source->used - source->reserved - source->given, 0);
}

/* Returns the tokens that can be reserved now. */
int64_t
sr_ledger_available (const struct sr_ledger *ledger)
{
  int64_t sum = 0;

  for (unsigned i = 0; i < ledger->sources->len; i++)
    sum += sr_source_available (ledger->sources->pdata[i]);
  return sum;
}

/* Returns the tokens that could be reserved if the witness acknowledged the whole grant. */
int64_t
sr_ledger_held (const struct sr_ledger *ledger)
{
  const struct sr_source *own = ledger->own;
  int64_t sum = sr_ledger_available (ledger);

  if (own == NULL)
    return sum;
  sum -= sr_source_available (own);
  return sum
         + MAX ((own->in_doubt ? MIN (own->granted, own->doubt_granted) : own->granted)
                    - sr_ledger_committed (ledger),
                0);
}

/* Returns the tokens of the own open record that are used, reserved or out on loan. */
int64_t
sr_ledger_committed (const struct sr_ledger *ledger)
{
  const struct sr_source *own = ledger->own;

  return own == NULL ? 0 : own->used + own->reserved + own->given;
}

/* Reserves TOKENS (> 0) at NOW_US: closed sources are used up first, then loans, then the own
 * record. Returns the parts, owned by the caller until sr_ledger_settle, or NULL, without effect,
 * when fewer are available. */
GArray *
sr_ledger_reserve (struct sr_ledger *ledger, int64_t tokens, int64_t now_us)
{
  GArray *parts;

  ledger->last_use_us = now_us;
  if (sr_ledger_available (ledger) < tokens)
    return NULL;
  count_demand_ (ledger, tokens, now_us);
  parts = g_array_new (FALSE, FALSE, sizeof (struct sr_part));
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      if (!source->open)
        tokens -= source_take_ (source, tokens, parts);
    }
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      if (source->open && !source->own)
        tokens -= source_take_ (source, tokens, parts);
    }
  if (ledger->own != NULL)
    tokens -= source_take_ (ledger->own, tokens, parts);
  g_assert (tokens == 0);
  return parts;
}

/* Ends the reservation PARTS, of which USED tokens were consumed, and frees it. More than was
 * reserved is counted as well: it is a fault of the backend server that the bill must show. */
void
sr_ledger_settle (struct sr_ledger *ledger, GArray *parts, int64_t used)
{
  for (unsigned i = 0; i < parts->len; i++)
    {
      struct sr_part *part = &g_array_index (parts, struct sr_part, i);
      bool last = i == parts->len - 1;
      int64_t share = last ? used : MIN (used, part->tokens);

      part->source->reserved -= part->tokens;
      part->source->used += share;
      used -= share;
    }
  g_array_unref (parts);
  forget_empty_ (ledger);
}

/* Returns the tokens that demand asks for in COVER_US microseconds from NOW_US on. */
int64_t
sr_ledger_demand (struct sr_ledger *ledger, int64_t now_us, int64_t cover_us)
{
  count_demand_ (ledger, 0, now_us);
  return (int64_t)(ledger->rate * (double)cover_us / US_PER_S);
}

/* Returns the tokens that are missing for the demand to come, as soon as less than half of them is
 * held: a holder covers more of it than a borrower. */
int64_t
sr_ledger_missing_ahead (struct sr_ledger *ledger, int64_t now_us)
{
  int64_t cover_us = ledger->own != NULL ? ledger->options.cover_us : ledger->options.loan_cover_us;
  int64_t target = sr_ledger_demand (ledger, now_us, cover_us);
  int64_t held = sr_ledger_held (ledger);

  return held < target / 2 ? target - held : 0;
}

/* Tells whether nothing was reserved or lent for the idle time of the options. */
bool
sr_ledger_is_idle (const struct sr_ledger *ledger, int64_t now_us)
{
  return now_us - ledger->last_use_us >= ledger->options.idle_us;
}

/* Takes over what RECORD, read at VERSION, says of the own records. It settles every doubt about
 * an earlier write, once the version shows that this write can no longer take effect. A record that
 * is no longer there was closed by another instance. */
void
sr_ledger_read (struct sr_ledger *ledger, const struct sr_record *record, int64_t version)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      if (source->own)
        read_source_ (ledger, source, record, version);
    }
  forget_empty_ (ledger);
}

/* Tells whether something is left of an own record that is not drawn on any more. */
bool
sr_ledger_has_left_over (const struct sr_ledger *ledger)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      const struct sr_source *source = ledger->sources->pdata[i];

      if (source->own && !source->open && !source->gone && sr_source_available (source) > 0)
        return true;
    }
  return false;
}

/* Edits in RECORD the own records that are not drawn on any more and that nobody has closed yet.
 * Such a record shrinks to what may still be used of it, and is closed as having spent what was
 * used once that is used up, or, when it is the FINAL update, with what is left given back: that
 * may then not be used any more. Returns whether there was something to change. */
bool
sr_ledger_close_left_over (struct sr_ledger *ledger, struct sr_record *record, bool final)
{
  bool changed = false;

  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];
      struct sr_record_holder *holder = sr_record_find (record, &source->id);
      int64_t committed = source->used + source->reserved + source->given;

      if (!source->own || source->open || holder == NULL)
        continue;
      if (source->reserved == 0 && (final || sr_source_available (source) == 0))
        {
          source->granted = MIN (source->granted, committed);
          sr_record_close (record, &source->id, committed);
          changed = true;
        }
      else if (holder->granted > sr_source_limit (source))
        {
          holder->granted = sr_source_limit (source);
          changed = true;
        }
    }
  return changed;
}

/* Edits RECORD, which was read at VERSION and given to sr_ledger_read, so that the own record gets
 * NEED and up to WANT more tokens, see sr_record_grant. A new record names WITNESS and its
 * incarnation (NULL: no witness). The caller then writes RECORD conditionally on VERSION: after
 * success it calls sr_ledger_written, and after anything else it reads again. */
void
sr_ledger_draw (struct sr_ledger *ledger,
                struct sr_record *record,
                int64_t version,
                int64_t need,
                int64_t want,
                const char *witness,
                uint64_t witness_incarnation)
{
  struct sr_source *own = ledger->own;
  struct sr_record_holder *holder;

  if (own == NULL)
    own = own_open_ (ledger, witness, witness_incarnation);
  holder = sr_record_find (record, &own->id);
  if (holder == NULL)
    holder = sr_record_open (record, &own->id, ledger->options.data_centre);
  g_strlcpy (holder->witness, own->witness, sizeof holder->witness);
  holder->witness_incarnation = own->witness_incarnation;
  holder->spent = MIN (own->used, holder->granted);
  sr_record_grant (record, holder, need, want);
  source_doubt_ (own, version, holder->granted);
}

/* Edits RECORD, see sr_ledger_draw, so that the own record keeps no more than KEEP tokens that are
 * not in use, or is closed when CLOSE is set and none of it is reserved (tokens out on loan count
 * as spent). Returns false when there is nothing to write. */
bool
sr_ledger_give_back (
    struct sr_ledger *ledger, struct sr_record *record, int64_t version, int64_t keep, bool close)
{
  struct sr_source *own = ledger->own;
  struct sr_record_holder *holder = own == NULL ? NULL : sr_record_find (record, &own->id);
  int64_t committed = sr_ledger_committed (ledger);
  int64_t granted;

  if (holder == NULL)
    return false;
  holder->spent = MIN (own->used, holder->granted);
  granted = MIN (holder->granted, committed + keep);
  if (close && own->reserved == 0)
    {
      sr_record_close (record, &own->id, committed);
      granted = committed;
    }
  else
    holder->granted = granted;
  source_doubt_ (own, version, granted);
  return true;
}

/* Takes over that RECORD, edited by sr_ledger_draw or sr_ledger_give_back, was written. */
void
sr_ledger_written (struct sr_ledger *ledger, const struct sr_record *record)
{
  sr_ledger_read (ledger, record, INT64_MAX);
}

/* Returns the ceiling to ask the witness for, so that NEED tokens and those of the demand to come
 * can be reserved, or 0 when the acknowledged one is high enough, or there is no witness. */
int64_t
sr_ledger_ceiling_wanted (struct sr_ledger *ledger, int64_t need, int64_t now_us)
{
  const struct sr_source *own = ledger->own;
  int64_t ahead = sr_ledger_demand (ledger, now_us, ledger->options.ceiling_cover_us);
  int64_t committed = sr_ledger_committed (ledger);
  int64_t wanted;

  if (own == NULL || own->witness[0] == '\0' || !own->on_record)
    return 0;
  if (own->ceiling - committed >= MAX (need, ahead / 2))
    return 0;
  wanted = MIN (committed + MAX (need, 0) + ahead, own->granted);
  return wanted > own->ceiling ? wanted : 0;
}

/* Takes over the witness' answer for record ID: it acknowledges CEILING. When it has sealed the
 * record, what the ceiling allows may still be used, and the next draw opens a new record. */
void
sr_ledger_raised (struct sr_ledger *ledger,
                  const struct sr_holder_id *id,
                  int64_t ceiling,
                  bool sealed)
{
  struct sr_source *own = ledger->own;

  if (own == NULL || !sr_holder_id_equal (&own->id, id))
    return;
  own->ceiling = MAX (own->ceiling, ceiling);
  if (sealed)
    own_close_ (ledger, own);
}

/* Stops using the witness of the own record, which could not be reached or has lost its memory:
 * what was acknowledged may still be used, and the next draw opens a new record. */
void
sr_ledger_abandon (struct sr_ledger *ledger)
{
  if (ledger->own != NULL)
    own_close_ (ledger, ledger->own);
}

/* Gives up the own record for good: no more of it is used than now (tokens out on loan count as
 * used). Returns that number, to be told to the witness, so that the rest can be taken back at
 * once. There must be an own record. */
int64_t
sr_ledger_finish (struct sr_ledger *ledger)
{
  int64_t committed = sr_ledger_committed (ledger);

  ledger->own->ceiling = MIN (ledger->own->ceiling, committed);
  own_close_ (ledger, ledger->own);
  return committed;
}

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
      count_demand_ (ledger, tokens, now_us);
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
 * an earlier incarnation of the borrower. */
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

      if (strcmp (loan->borrower, borrower) != 0)
        continue;
      loan->open = loan->incarnation == incarnation ? open + MAX (loan->lent - lent, 0) : 0;
    }
}

/* Tells whether some borrower may still return tokens of an own record. */
bool
sr_ledger_has_open_loans (const struct sr_ledger *ledger)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      if (has_open_loans_ (ledger->sources->pdata[i]))
        return true;
    }
  return false;
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
  source = source_new_ (ledger, &answer->lender, false);
  source->granted = answer->lent;
  forget_empty_ (ledger);
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

static struct sr_source *
source_new_ (struct sr_ledger *ledger, const struct sr_holder_id *id, bool own)
{
  struct sr_source *source = g_new0 (struct sr_source, 1);

  source->id = *id;
  source->own = own;
  source->open = true;
  source->ceiling = INT64_MAX;
  if (own)
    source->loans = g_array_new (FALSE, TRUE, sizeof (struct sr_loan));
  g_ptr_array_add (ledger->sources, source);
  return source;
}

static void
source_free_ (void *data)
{
  struct sr_source *source = data;

  if (source->loans != NULL)
    g_array_unref (source->loans);
  g_free (source);
}

/* Several writes may be in doubt on the same version: the smallest grant counts. */
static void
source_doubt_ (struct sr_source *source, int64_t version, int64_t granted)
{
  if (source->in_doubt)
    granted = MIN (granted, source->doubt_granted);
  source->in_doubt = true;
  source->doubt_version = version;
  source->doubt_granted = granted;
}

static int64_t
source_take_ (struct sr_source *source, int64_t tokens, GArray *parts)
{
  struct sr_part part = { source, MIN (tokens, sr_source_available (source)) };

  if (part.tokens == 0)
    return 0;
  source->reserved += part.tokens;
  g_array_append_val (parts, part);
  return part.tokens;
}

static struct sr_source *
own_open_ (struct sr_ledger *ledger, const char *witness, uint64_t witness_incarnation)
{
  struct sr_holder_id id = { .incarnation = ledger->options.incarnation };
  struct sr_source *own;

  g_strlcpy (id.instance, ledger->options.instance, sizeof id.instance);
  id.generation = ++ledger->generation;
  own = source_new_ (ledger, &id, true);
  if (witness != NULL)
    {
      g_strlcpy (own->witness, witness, sizeof own->witness);
      own->witness_incarnation = witness_incarnation;
      own->ceiling = 0;
    }
  ledger->own = own;
  return own;
}

static void
own_close_ (struct sr_ledger *ledger, struct sr_source *source)
{
  source->open = false;
  if (ledger->own == source)
    ledger->own = NULL;
}

static void
read_source_ (struct sr_ledger *ledger,
              struct sr_source *source,
              const struct sr_record *record,
              int64_t version)
{
  const struct sr_record_holder *holder = sr_record_find (record, &source->id);

  if (source->in_doubt && version <= source->doubt_version)
    return;
  if (holder != NULL)
    {
      source->on_record = true;
      source->granted = source->open ? holder->granted : MIN (source->granted, holder->granted);
    }
  else
    {
      if (source->in_doubt)
        source->granted = MIN (source->granted, source->doubt_granted);
      source->gone = true;
      own_close_ (ledger, source);
    }
  source->in_doubt = false;
}

static void
forget_empty_ (struct sr_ledger *ledger)
{
  for (unsigned i = ledger->sources->len; i > 0; i--)
    {
      const struct sr_source *source = ledger->sources->pdata[i - 1];

      if (!source->open && source->reserved == 0 && sr_source_available (source) == 0
          && (source->gone || !source->own))
        g_ptr_array_remove_index (ledger->sources, i - 1);
    }
}

static void
count_demand_ (struct sr_ledger *ledger, int64_t tokens, int64_t now_us)
{
  double passed_s = (double)(now_us - ledger->rate_us) / US_PER_S;

  if (ledger->rate_us == 0 || passed_s < 0)
    passed_s = 0;
  ledger->rate_us = now_us;
  ledger->rate *= exp (-passed_s / RATE_TIME_CONSTANT_S);
  ledger->rate += (double)tokens / RATE_TIME_CONSTANT_S;
}

static bool
has_open_loans_ (const struct sr_source *source)
{
  for (unsigned i = 0; source->own && !source->gone && i < source->loans->len; i++)
    {
      const struct sr_loan *loan = &g_array_index (source->loans, struct sr_loan, i);

      if (loan->open > 0 && loan->lent > loan->returned)
        return true;
    }
  return false;
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
