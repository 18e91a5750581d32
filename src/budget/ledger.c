#include "budget/ledger-private.h"

#include <math.h>
#include <string.h>

static const double US_PER_S = 1e6;
static const double RATE_TIME_CONSTANT_S = 10; /* decay of the demand average */

static void source_free_ (void *data);
static int64_t source_take_ (struct sr_source *source, int64_t tokens, GArray *parts);

/* Creates the empty ledger of one budget. The strings of OPTIONS must outlive it. */
struct sr_ledger *
sr_ledger_new (const struct sr_ledger_options *options)
{
  struct sr_ledger *ledger = g_new0 (struct sr_ledger, 1);

  ledger->options = *options;
  ledger->sources = g_ptr_array_new_with_free_func (source_free_);
  ledger->closed = g_array_new (FALSE, FALSE, sizeof (struct sr_closed_record));
  return ledger;
}

/* Frees LEDGER, which must have no open reservations. NULL is allowed. */
void
sr_ledger_delete (struct sr_ledger *ledger)
{
  if (ledger == NULL)
    return;
  g_ptr_array_unref (ledger->sources);
  g_array_unref (ledger->closed);
  g_free (ledger);
}

/* Returns the tokens that are granted to SOURCE whether or not a write in doubt has taken effect.
 */
int64_t
sr_source_granted (const struct sr_source *source)
{
  return source->in_doubt ? MIN (source->granted, source->doubt_granted) : source->granted;
}

/* Returns the total that may be used of SOURCE, including tokens already used, as of the last call
 * of sr_ledger_advance_time. */
int64_t
sr_source_limit (const struct sr_source *source)
{
  return MIN (sr_source_granted (source), MIN (source->ceiling, source->spend_cap));
}

/* Returns the tokens of SOURCE that are granted, but not yet allowed by its ceiling and its spend
 * limits. */
int64_t
sr_source_held_back (const struct sr_source *source)
{
  int64_t committed = source->used + source->reserved + source->transferred;

  return MAX (sr_source_granted (source) - MAX (sr_source_limit (source), committed), 0);
}

/* Returns the monotonic time from which all spend limits of SOURCE rise above their base. */
int64_t
sr_source_rise_start_us (const struct sr_source *source)
{
  int64_t opens_us = 0;

  for (unsigned i = 0; source->is_own && i < source->limits->len; i++)
    {
      const struct sr_spend_limit *limit
          = &g_array_index (source->limits, struct sr_spend_limit, i);

      if (limit->is_set)
        opens_us = MAX (opens_us, limit->since_us + limit->after_us);
    }
  return opens_us;
}

/* Updates what the spend limits allow to the monotonic time NOW_US. */
void
sr_ledger_advance_time (struct sr_ledger *ledger, int64_t now_us)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      source->spend_cap = INT64_MAX;
      for (unsigned k = 0; source->is_own && k < source->limits->len; k++)
        {
          const struct sr_spend_limit *limit
              = &g_array_index (source->limits, struct sr_spend_limit, k);

          source->spend_cap = MIN (source->spend_cap,
                                   sr_spend_limit_at_elapsed (limit, now_us - limit->since_us));
        }
    }
}

/* Returns the tokens of SOURCE that can be reserved, lent or returned now. */
int64_t
sr_source_available (const struct sr_source *source)
{
  return MAX (sr_source_limit (source) - source->used - source->reserved - source->transferred, 0);
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

/* Returns the tokens that could be reserved if the witness acknowledged the whole grant and no
 * spend limit applied to the own record. */
int64_t
sr_ledger_held (const struct sr_ledger *ledger)
{
  const struct sr_source *own = ledger->own;
  int64_t sum = sr_ledger_available (ledger);

  if (own == NULL)
    return sum;
  sum -= sr_source_available (own);
  return sum + MAX (sr_source_granted (own) - sr_ledger_committed (ledger), 0);
}

/* Returns the committed tokens of the own record: those used, reserved or out on loan. */
int64_t
sr_ledger_committed (const struct sr_ledger *ledger)
{
  const struct sr_source *own = ledger->own;

  return own == NULL ? 0 : own->used + own->reserved + own->transferred;
}

/* Reserves TOKENS (> 0) at NOW_US, from closed sources first, then from loans, then from the own
 * record. Returns the parts, owned by the caller until sr_ledger_settle; NULL, with nothing
 * reserved, when fewer are available. */
GArray *
sr_ledger_reserve (struct sr_ledger *ledger, int64_t tokens, int64_t now_us)
{
  GArray *parts;

  ledger->last_use_us = now_us;
  if (sr_ledger_available (ledger) < tokens)
    return NULL;
  sr_ledger_count_demand_ (ledger, tokens, now_us);
  parts = g_array_new (FALSE, FALSE, sizeof (struct sr_reservation_part));
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      if (!source->open)
        tokens -= source_take_ (source, tokens, parts);
    }
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      if (source->open && !source->is_own)
        tokens -= source_take_ (source, tokens, parts);
    }
  if (ledger->own != NULL)
    tokens -= source_take_ (ledger->own, tokens, parts);
  g_assert (tokens == 0);
  return parts;
}

/* Ends the reservation PARTS, of which USED tokens were consumed, and frees it. Consumption beyond
 * the reservation is counted too: a backend server that exceeds it is at fault, and the bill must
 * show that. */
void
sr_ledger_settle (struct sr_ledger *ledger, GArray *parts, int64_t used)
{
  for (unsigned i = 0; i < parts->len; i++)
    {
      struct sr_reservation_part *part = &g_array_index (parts, struct sr_reservation_part, i);
      bool last = i == parts->len - 1;
      int64_t share = last ? used : MIN (used, part->tokens);

      part->source->reserved -= part->tokens;
      part->source->used += share;
      used -= share;
    }
  g_array_unref (parts);
  sr_ledger_free_empty_ (ledger);
}

/* Returns the expected demand, in tokens, for COVER_US from NOW_US on. */
int64_t
sr_ledger_demand (struct sr_ledger *ledger, int64_t now_us, int64_t cover_us)
{
  sr_ledger_count_demand_ (ledger, 0, now_us);
  return (int64_t)(ledger->rate * (double)cover_us / US_PER_S);
}

/* Returns the tokens to fetch ahead of demand: 0 while at least half of the expected demand is
 * held. An own record covers a longer time than loans. */
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

/* Adds a source for record ID to LEDGER, which owns it. */
struct sr_source *
sr_ledger_source_new_ (struct sr_ledger *ledger, const struct sr_holder_id *id, bool own)
{
  struct sr_source *source = g_new0 (struct sr_source, 1);

  source->id = *id;
  source->is_own = own;
  source->open = true;
  source->ceiling = INT64_MAX;
  source->spend_cap = INT64_MAX;
  if (own)
    {
      source->loans = g_array_new (FALSE, TRUE, sizeof (struct sr_loan));
      source->limits = g_array_new (FALSE, TRUE, sizeof (struct sr_spend_limit));
    }
  g_ptr_array_add (ledger->sources, source);
  return source;
}

/* Closes SOURCE to further grants; its remaining tokens may be used. */
void
sr_ledger_retire_ (struct sr_ledger *ledger, struct sr_source *source)
{
  source->open = false;
  if (ledger->own == source)
    ledger->own = NULL;
}

/* Frees the closed sources without tokens left, except own records that are still on the platform's
 * record. */
void
sr_ledger_free_empty_ (struct sr_ledger *ledger)
{
  for (unsigned i = ledger->sources->len; i > 0; i--)
    {
      const struct sr_source *source = ledger->sources->pdata[i - 1];

      if (!source->open && source->reserved == 0 && sr_source_available (source) == 0
          && (source->closed_on_record || !source->is_own))
        g_ptr_array_remove_index (ledger->sources, i - 1);
    }
}

/* Counts TOKENS into the decaying average of the demand. */
void
sr_ledger_count_demand_ (struct sr_ledger *ledger, int64_t tokens, int64_t now_us)
{
  double passed_s = (double)(now_us - ledger->rate_us) / US_PER_S;

  if (ledger->rate_us == 0 || passed_s < 0)
    passed_s = 0;
  ledger->rate_us = now_us;
  ledger->rate *= exp (-passed_s / RATE_TIME_CONSTANT_S);
  ledger->rate += (double)tokens / RATE_TIME_CONSTANT_S;
}

static void
source_free_ (void *data)
{
  struct sr_source *source = data;

  if (source->is_own)
    {
      g_array_unref (source->loans);
      g_array_unref (source->limits);
    }
  g_free (source);
}

static int64_t
source_take_ (struct sr_source *source, int64_t tokens, GArray *parts)
{
  struct sr_reservation_part part = { source, MIN (tokens, sr_source_available (source)) };

  if (part.tokens == 0)
    return 0;
  source->reserved += part.tokens;
  g_array_append_val (parts, part);
  return part.tokens;
}
