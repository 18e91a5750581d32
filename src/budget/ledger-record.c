#include "budget/ledger-private.h"

enum
{
  CLOSED_MAX = 64 /* remembered of one budget: those of minutes, far longer than a copy is old */
};

static void note_closed_ (struct sr_ledger *ledger, const struct sr_source *source);
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
        apply_read_to_source_ (ledger, source, record, version);
    }
  sr_ledger_free_empty_ (ledger);
}

/* Tells whether something is left of an own record that is not drawn on any more. */
bool
sr_ledger_has_retired (const struct sr_ledger *ledger)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      const struct sr_source *source = ledger->sources->pdata[i];

      if (source->own && !source->open && !source->closed_on_record
          && sr_source_available (source) > 0)
        return true;
    }
  return false;
}

/* Edits in RECORD the own records that are not drawn on any more and that nobody has closed yet.
 * Such a record shrinks to what may still be used of it. It is closed as having spent what was used
 * once that is used up and its loans are returned; with an ENDING that closes, what is left is
 * given back and may not be used any more. Returns whether there was something to change. */
bool
sr_ledger_close_left_over (struct sr_ledger *ledger,
                           struct sr_record *record,
                           enum sr_ledger_ending ending)
{
  bool changed = false;

  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];
      struct sr_record_holder *holder = sr_record_find (record, &source->id);
      int64_t committed = source->used + source->reserved + source->given;
      int64_t usable = MIN (sr_source_granted (source), source->ceiling);

      if (!source->own || source->open || holder == NULL)
        continue;
      if (source->reserved == 0
          && (ending != SR_LEDGER_KEEP_OPEN || sr_source_available (source) == 0)
          && (ending == SR_LEDGER_CLOSE || sr_source_open_loans (source) == 0))
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

/* Edits RECORD, see sr_ledger_draw, so that the own record keeps no more than KEEP tokens that are
 * not in use, or is closed when ENDING says so and none of it is reserved. Returns false when there
 * is nothing to write. */
bool
sr_ledger_give_back (struct sr_ledger *ledger,
                     struct sr_record *record,
                     int64_t version,
                     int64_t keep,
                     enum sr_ledger_ending ending)
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
      && (ending == SR_LEDGER_CLOSE
          || (ending == SR_LEDGER_CLOSE_RETURNED && sr_source_open_loans (own) == 0)))
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

/* The platform's versions have begun anew: a write in doubt can't be told by them. The smaller of
 * both grants is kept. */
void
sr_ledger_forget_versions (struct sr_ledger *ledger)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      struct sr_source *source = ledger->sources->pdata[i];

      if (!source->own)
        continue;
      source->granted = sr_source_granted (source);
      source->in_doubt = false;
    }
}

/* Tells whether the platform's record may lack something that this holder knows, after a return
 * from a copy. */
bool
sr_ledger_has_held (const struct sr_ledger *ledger)
{
  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      const struct sr_source *source = ledger->sources->pdata[i];

      if (source->own && !source->closed_on_record)
        return true;
    }
  return ledger->closed->len > 0;
}

/* Puts what is held here into RECORD, which was read from a platform that has come back from a
 * copy: the own records that it lacks, and their grants as they count here. A grant that is not
 * known here was drawn before the return was known, and goes back. It may be done any number of
 * times. Returns whether RECORD was changed. */
bool
sr_ledger_merge (const struct sr_ledger *ledger, struct sr_record *record, int64_t version)
{
  bool changed = false;

  for (unsigned i = 0; i < ledger->sources->len; i++)
    {
      const struct sr_source *source = ledger->sources->pdata[i];
      int64_t granted = source->granted;
      struct sr_record_holder *holder = sr_record_find (record, &source->id);

      if (!source->own || source->closed_on_record || (granted == 0 && holder == NULL)
          || sr_record_is_closed (record, &source->id))
        continue;
      /* A write in doubt that has taken effect. */
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
      const struct sr_closed *closed = &g_array_index (ledger->closed, struct sr_closed, i);

      if (sr_record_merge_closed (record, &closed->id, closed->spent))
        changed = true;
    }
  return changed;
}

/* Remembers that SOURCE was closed, as having spent what is committed of it. */
static void
note_closed_ (struct sr_ledger *ledger, const struct sr_source *source)
{
  const struct sr_closed closed = { source->id, source->used + source->reserved + source->given };
  unsigned at;

  if (source->closed_on_record || !source->on_record)
    return;
  if (ledger->closed->len >= CLOSED_MAX)
    g_array_remove_index (ledger->closed, 0);
  at = ledger->closed->len;
  while (at > 0
         && g_array_index (ledger->closed, struct sr_closed, at - 1).id.generation
                > closed.id.generation)
    at--;
  g_array_insert_val (ledger->closed, at, closed);
}

/* Edits RECORD, see sr_ledger_draw, so that it holds LIMIT for the own record: no more than base
 * tokens beyond those in use now, and per_s more with each second, are spent from LIMIT's times on,
 * until another limit is on the record. The limit is kept from now on, as the write may take effect
 * at any time. */
void
sr_ledger_promise (struct sr_ledger *ledger,
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
  sr_ledger_pass_time (ledger, limit->since_us);
}

/* Takes over that RECORD, edited by sr_ledger_draw or sr_ledger_give_back, was written. */
void
sr_ledger_written (struct sr_ledger *ledger, const struct sr_record *record)
{
  sr_ledger_read (ledger, record, INT64_MAX);
}

/* Gives up the own record for good: no more of it is used than now (tokens out on loan count as
 * used). Returns that number, to be told to the witness, so that the rest can be taken back at
 * once. There must be an own record. */
int64_t
sr_ledger_finalize (struct sr_ledger *ledger)
{
  int64_t committed = sr_ledger_committed (ledger);

  ledger->own->ceiling = MIN (ledger->own->ceiling, committed);
  sr_ledger_retire_ (ledger, ledger->own);
  return committed;
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

/* Stops using the witness of the own record, which could not be reached or has lost its memory:
 * what was acknowledged may still be used, and the next draw opens a new record. */
void
sr_ledger_abandon (struct sr_ledger *ledger)
{
  if (ledger->own != NULL)
    sr_ledger_retire_ (ledger, ledger->own);
}

/* A write that sets the grant of SOURCE as HOLDER (NULL: it closes it) is about to be made. Several
 * may be in doubt on the same version: the smallest grant counts. */
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
      note_closed_ (ledger, source);
      source->closed_on_record = true;
      sr_ledger_retire_ (ledger, source);
    }
  source->in_doubt = false;
}
