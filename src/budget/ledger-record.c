#include "budget/ledger-private.h"

enum
{
  CLOSED_MAX = 64 /* closed records kept per budget: those of some minutes, while the copy that a
                     platform is restored from is much younger */
};

static void store_closed_ (struct sr_ledger *ledger, const struct sr_source *source);
static void mark_in_doubt_ (struct sr_ledger *ledger,
                            struct sr_source *source,
                            struct sr_record_holder *holder,
                            int64_t version,
                            int64_t granted);
static struct sr_source *
open_own_ (struct sr_ledger *ledger, const char *witness, uint64_t witness_incarnation);
static void apply_read_to_source_ (struct sr_ledger *ledger,
                                   struct sr_source *source,
                                   const struct sr_record *record,
                                   int64_t version);

/* Applies RECORD, read at VERSION, to the own records. A write in doubt is resolved once the
 * version shows that it can no longer take effect. An own record that RECORD lacks was closed. */
void
sr_ledger_apply_read (struct sr_ledger *ledger, const struct sr_record *record, int64_t version)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      if (source->is_own)
        apply_read_to_source_ (ledger, source, record, version);
    }
  sr_ledger_free_empty_ (ledger);
}

/* Tells whether a retired own record has available tokens: one that is not drawn on any more, but
 * still on the platform's record. */
bool
sr_ledger_has_retired (const struct sr_ledger *ledger)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      const struct sr_source *source = ledger->sources->pdata[i];

      if (source->is_own && !source->open && !source->closed_on_record
          && sr_source_available (source) > 0)
        return true;
    }
  return false;
}

/* Edits the retired own records in RECORD that are still open there: reduces the grant of each to
 * the tokens that may still be used, and closes it, as having spent the committed tokens, once
 * those are used up and its loans are returned. With a CLOSE_MODE that closes, the rest is returned
 * at once and may not be used any more. Returns whether RECORD was changed. */
bool
sr_ledger_close_retired (struct sr_ledger *ledger,
                         struct sr_record *record,
                         enum sr_ledger_close_mode close_mode)
{
  bool changed = false;

  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];
      struct sr_record_holder *holder = sr_record_find (record, &source->id);
      int64_t committed = source->used + source->reserved + source->transferred;
      int64_t usable = MIN (sr_source_granted (source), source->ceiling);

      if (!source->is_own || source->open || holder == NULL)
        continue;
      if (source->reserved == 0
          && (close_mode != SR_LEDGER_KEEP_OPEN || sr_source_available (source) == 0)
          && (close_mode == SR_LEDGER_CLOSE || sr_source_open_loans (source) == 0))
        {
          source->granted = MIN (source->granted, committed);
          sr_record_close (record, &source->id, committed);
          changed = true;
        }
      else if (holder->granted > usable)
        {
          holder->granted = usable;
          changed = true;
        }
    }
  return changed;
}

/* Edits RECORD, which was read at VERSION and passed to sr_ledger_apply_read, so that the own
 * record is granted NEED and up to WANT more tokens, see sr_record_grant. Without an own record
 * that is drawn on, opens one with WITNESS (NULL: none). The caller then writes RECORD
 * conditionally on VERSION. After success it calls sr_ledger_apply_write, else it reads again. */
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
    own = open_own_ (ledger, witness, witness_incarnation);
  holder = sr_record_find (record, &own->id);
  if (holder == NULL)
    holder = sr_record_open (record, &own->id, ledger->options.data_centre);
  g_strlcpy (holder->witness, own->witness, sizeof holder->witness);
  holder->witness_incarnation = own->witness_incarnation;
  holder->spent = MIN (sr_ledger_spent_of (ledger, &own->id), holder->granted);
  sr_record_grant (record, holder, need, want);
  mark_in_doubt_ (ledger, own, holder, version, holder->granted);
}

/* Edits RECORD, see sr_ledger_draw, so that the own record keeps at most KEEP tokens beyond the
 * committed ones, or is closed when CLOSE_MODE says so and none of its tokens are reserved. Returns
 * false when there is nothing to write. */
bool
sr_ledger_give_back (struct sr_ledger *ledger,
                     struct sr_record *record,
                     int64_t version,
                     int64_t keep,
                     enum sr_ledger_close_mode close_mode)
{
  struct sr_source *own = ledger->own;
  struct sr_record_holder *holder = own == NULL ? NULL : sr_record_find (record, &own->id);
  int64_t committed = sr_ledger_committed (ledger);
  int64_t granted;

  if (holder == NULL)
    return false;
  holder->spent = MIN (sr_ledger_spent_of (ledger, &own->id), holder->granted);
  granted = MIN (holder->granted, committed + keep);
  if (own->reserved == 0
      && (close_mode == SR_LEDGER_CLOSE
          || (close_mode == SR_LEDGER_CLOSE_RETURNED && sr_source_open_loans (own) == 0)))
    {
      sr_record_close (record, &own->id, committed);
      holder = NULL;
      granted = committed;
    }
  else
    holder->granted = granted;
  mark_in_doubt_ (ledger, own, holder, version, granted);
  return true;
}

/* Called after a restore of the platform, when its versions start anew and no longer resolve a
 * write in doubt: keeps the smaller of the grants before and after it. */
void
sr_ledger_reset_versions (struct sr_ledger *ledger)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      if (!source->is_own)
        continue;
      source->granted = sr_source_granted (source);
      source->in_doubt = false;
    }
}

/* Tells whether, after a restore of the platform, its record may lack anything that sr_ledger_merge
 * would put back. */
bool
sr_ledger_needs_merge (const struct sr_ledger *ledger)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      const struct sr_source *source = ledger->sources->pdata[i];

      if (source->is_own && !source->closed_on_record)
        return true;
    }
  return ledger->closed->len > 0;
}

/* Puts the state held here into RECORD, which was read at VERSION from a platform restored from an
 * older copy: own records that it lacks, their grants as known here, and records closed since. A
 * grant that is not known here was drawn before the restore was noticed, and is returned.
 * Idempotent. Returns whether RECORD was changed. */
bool
sr_ledger_merge (const struct sr_ledger *ledger, struct sr_record *record, int64_t version)
{
  bool changed = false;

  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      const struct sr_source *source = ledger->sources->pdata[i];
      int64_t granted = source->granted;
      struct sr_record_holder *holder = sr_record_find (record, &source->id);

      if (!source->is_own || source->closed_on_record || (granted == 0 && holder == NULL)
          || sr_record_is_closed (record, &source->id))
        continue;
      /* The write in doubt has taken effect: the grant on the record is the right one. */
      if (source->in_doubt && version > source->doubt_version && holder != NULL
          && holder->serial >= source->doubt_serial)
        continue;
      if (holder == NULL)
        holder = sr_record_open (record, &source->id, ledger->options.data_centre);
      if (holder->granted == granted)
        continue;
      holder->granted = granted;
      holder->spent = MIN (sr_ledger_spent_of (ledger, &source->id), granted);
      holder->limit = (struct sr_spend_limit){ 0 };
      changed = true;
    }
  for (unsigned i = 0; i < ledger->closed->len; i++)
    {
      const struct sr_closed_record *closed
          = &g_array_index (ledger->closed, struct sr_closed_record, i);

      if (sr_record_merge_closed (record, &closed->id, closed->spent))
        changed = true;
    }
  return changed;
}

/* Stores that SOURCE was closed, as having spent its committed tokens, for sr_ledger_merge. */
static void
store_closed_ (struct sr_ledger *ledger, const struct sr_source *source)
{
  const struct sr_closed_record closed
      = { source->id, source->used + source->reserved + source->transferred };
  unsigned at;

  if (source->closed_on_record || !source->on_record)
    return;
  if (ledger->closed->len >= CLOSED_MAX)
    g_array_remove_index (ledger->closed, 0);
  at = ledger->closed->len;
  while (at > 0
         && g_array_index (ledger->closed, struct sr_closed_record, at - 1).id.generation
                > closed.id.generation)
    at--;
  g_array_insert_val (ledger->closed, at, closed);
}

/* Edits RECORD, see sr_ledger_draw, so that it sets LIMIT as the spend limit of the own record. The
 * base of LIMIT counts beyond the tokens that are committed now. The ledger keeps the limit from
 * now on, as the write may take effect at any time, until a read shows which limit the record
 * holds. */
void
sr_ledger_set_spend_limit (struct sr_ledger *ledger,
                           struct sr_record *record,
                           const struct sr_spend_limit *limit)
{
  struct sr_source *own = ledger->own;
  struct sr_record_holder *holder = own == NULL ? NULL : sr_record_find (record, &own->id);

  if (holder == NULL)
    return;
  holder->limit = *limit;
  if (limit->is_set)
    holder->limit.base += sr_ledger_committed (ledger);
  g_array_append_val (own->limits, holder->limit);
  sr_ledger_advance_time (ledger, limit->since_us);
}

/* Applies RECORD, edited by the functions above, after it was written successfully. */
void
sr_ledger_apply_write (struct sr_ledger *ledger, const struct sr_record *record)
{
  sr_ledger_apply_read (ledger, record, INT64_MAX);
}

/* Retires the own record, which must exist, and limits its use to the committed tokens. Returns
 * their number, which the caller reports to the witness as final, so that peers can reclaim the
 * rest at once. */
int64_t
sr_ledger_finalize (struct sr_ledger *ledger)
{
  int64_t committed = sr_ledger_committed (ledger);

  ledger->own->ceiling = MIN (ledger->own->ceiling, committed);
  sr_ledger_retire_ (ledger, ledger->own);
  return committed;
}

/* Returns the ceiling to request from the witness, so that NEED tokens and those of the expected
 * demand can be reserved; 0 when the acknowledged ceiling suffices or cannot rise, or when there is
 * no witness. */
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

/* Applies the witness's reply for record ID: it acknowledges CEILING. When it has sealed the
 * record, tokens up to the ceiling may still be used, and the next draw opens a new record. */
void
sr_ledger_apply_raise (struct sr_ledger *ledger,
                       const struct sr_holder_id *id,
                       int64_t ceiling,
                       bool sealed)
{
  struct sr_source *own = ledger->own;

  if (own == NULL || !sr_holder_id_equal (&own->id, id))
    return;
  own->ceiling = MAX (own->ceiling, ceiling);
  if (sealed)
    sr_ledger_retire_ (ledger, own);
}

/* Retires the own record, if any, because its witness is unreachable or was restarted. Tokens up to
 * the acknowledged ceiling may still be used, and the next draw opens a new record. */
void
sr_ledger_abandon (struct sr_ledger *ledger)
{
  if (ledger->own != NULL)
    sr_ledger_retire_ (ledger, ledger->own);
}

/* Marks SOURCE as in doubt before a write on VERSION that sets its grant to GRANTED. HOLDER is its
 * entry in the record, NULL when the write closes it. Of several writes in doubt, the smallest
 * grant counts. */
static void
mark_in_doubt_ (struct sr_ledger *ledger,
                struct sr_source *source,
                struct sr_record_holder *holder,
                int64_t version,
                int64_t granted)
{
  ledger->serial++;
  if (holder != NULL)
    holder->serial = ledger->serial;
  if (source->in_doubt)
    granted = MIN (granted, source->doubt_granted);
  else
    source->doubt_serial = ledger->serial;
  source->in_doubt = true;
  source->doubt_version = version;
  source->doubt_granted = granted;
}

static struct sr_source *
open_own_ (struct sr_ledger *ledger, const char *witness, uint64_t witness_incarnation)
{
  struct sr_holder_id id = { .incarnation = ledger->options.incarnation };
  struct sr_source *own;

  g_strlcpy (id.instance, ledger->options.instance, sizeof id.instance);
  id.generation = ++ledger->generation;
  own = sr_ledger_source_new_ (ledger, &id, true);
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
apply_read_to_source_ (struct sr_ledger *ledger,
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
      g_array_set_size (source->limits, 0);
      if (holder->limit.is_set)
        g_array_append_val (source->limits, holder->limit);
      source->granted = source->open ? holder->granted : MIN (source->granted, holder->granted);
    }
  else
    {
      if (source->in_doubt)
        source->granted = MIN (source->granted, source->doubt_granted);
      store_closed_ (ledger, source);
      source->closed_on_record = true;
      sr_ledger_retire_ (ledger, source);
    }
  source->in_doubt = false;
}
