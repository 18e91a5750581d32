#include "budget/record.h"

#include <jansson.h>
#include <string.h>

enum
{
  CLOSED_SPENT_INDEX = 3,   /* in an entry of the list of closed holders */
  LARGEST_SHARE_DIVISOR = 4 /* a grant ahead of demand is at most 1/4 of the remaining tokens */
};

static const int64_t PREPAID_MAX_TOKENS = INT64_C (1) << 60; /* tokens; far within int64_t */

static void top_up_free_ (void *data);
static bool parse_top_ups_ (struct sr_record *record, const json_t *list);
static bool parse_holders_ (struct sr_record *record, const json_t *list);
static struct sr_record_closed *closed_of_ (const struct sr_record *record, const char *instance);
static bool is_later_ (const struct sr_holder_id *id, const struct sr_holder_id *than);
static void add_closed_ (struct sr_record *record, const struct sr_holder_id *id, int64_t spent);
static bool merge_holder_ (struct sr_record *record, const struct sr_record_holder *known);
static bool merge_closed_entry_ (struct sr_record *record,
                                 const struct sr_record *known_record,
                                 const struct sr_record_closed *known);
static bool parse_closed_ (struct sr_record *record, json_t *list);
static int64_t unassigned_ (const struct sr_record *record);
static bool parse_missing_ (struct sr_record *record, json_t *list);
static json_t *missing_to_json_ (const struct sr_record *record);
static json_t *closed_to_json_ (const struct sr_record *record);
static bool parse_limit_ (json_t *json, struct sr_spend_limit *limit);
static json_t *limit_to_json_ (const struct sr_spend_limit *limit);
static bool copy_name_ (char *target, const char *source);
static json_t *holder_to_json_ (const struct sr_record_holder *holder);
static json_t *top_up_to_json_ (const struct sr_record_top_up *top_up);

bool
sr_holder_id_equal (const struct sr_holder_id *left, const struct sr_holder_id *right)
{
  return left->incarnation == right->incarnation && left->generation == right->generation
         && strcmp (left->instance, right->instance) == 0;
}

/* Creates the record of a budget without top-ups. Freed with sr_record_delete. */
struct sr_record *
sr_record_new (void)
{
  struct sr_record *record = g_new0 (struct sr_record, 1);

  record->top_ups = g_ptr_array_new_with_free_func (top_up_free_);
  record->holders = g_array_new (FALSE, TRUE, sizeof (struct sr_record_holder));
  record->closed = g_array_new (FALSE, TRUE, sizeof (struct sr_record_closed));
  record->missing = g_array_new (FALSE, TRUE, sizeof (struct sr_record_missing));
  return record;
}

/* Returns a copy of RECORD, which the caller owns. */
struct sr_record *
sr_record_copy (const struct sr_record *record)
{
  json_t *json = sr_record_to_json (record);
  struct sr_record *copy = sr_record_from_json (json);

  json_decref (json);
  g_assert (copy != NULL);
  return copy;
}

/* Frees RECORD. NULL is allowed. */
void
sr_record_delete (struct sr_record *record)
{
  if (record == NULL)
    return;
  g_ptr_array_unref (record->top_ups);
  g_array_unref (record->holders);
  g_array_unref (record->closed);
  g_array_unref (record->missing);
  g_free (record);
}

/* Parses the JSON that sr_record_print writes. Returns NULL when it is malformed; else the caller
 * owns the record. */
struct sr_record *
sr_record_parse (const char *text, size_t length)
{
  json_t *root = json_loadb (text, length, 0, NULL);
  struct sr_record *record = sr_record_from_json (root);

  json_decref (root);
  return record;
}

/* Converts ROOT, as from sr_record_to_json, to a record. ROOT remains owned by the caller and may
 * be NULL. Returns NULL when it is malformed; else the caller owns the record. */
struct sr_record *
sr_record_from_json (json_t *root)
{
  struct sr_record *record = sr_record_new ();
  json_t *top_ups;
  json_t *holders;
  json_t *closed = NULL;
  json_t *missing = NULL;
  json_int_t frozen = 0;
  json_int_t prepaid;
  json_int_t settled;
  json_int_t written_off;
  bool is_valid;

  is_valid
      = root != NULL
        && json_unpack (root, "{s:I,s:I,s:I,s:o,s:o,s?o,s?o,s?I}", "prepaid", &prepaid, "settled",
                        &settled, "written_off", &written_off, "top_ups", &top_ups, "holders",
                        &holders, "closed", &closed, "missing", &missing, "frozen", &frozen)
               == 0
        && parse_top_ups_ (record, top_ups) && parse_holders_ (record, holders)
        && parse_closed_ (record, closed) && parse_missing_ (record, missing);
  if (is_valid)
    {
      record->prepaid = prepaid;
      record->settled = settled;
      record->written_off = written_off;
      record->frozen = frozen;
    }
  if (is_valid)
    return record;
  sr_record_delete (record);
  return NULL;
}

/* Appends RECORD as one JSON object to OUT. */
void
sr_record_print (const struct sr_record *record, GString *out)
{
  json_t *root = sr_record_to_json (record);
  char *text = json_dumps (root, JSON_COMPACT);

  g_string_append (out, text);
  free (text);
  json_decref (root);
}

/* Returns RECORD as a JSON object, which the caller owns. */
json_t *
sr_record_to_json (const struct sr_record *record)
{
  json_t *top_ups = json_array ();
  json_t *holders = json_array ();
  json_t *missing = missing_to_json_ (record);

  for (unsigned i = 0; i < record->top_ups->len; i++)
    json_array_append_new (top_ups, top_up_to_json_ (record->top_ups->pdata[i]));
  for (unsigned i = 0; i < record->holders->len; i++)
    json_array_append_new (
        holders, holder_to_json_ (&g_array_index (record->holders, struct sr_record_holder, i)));
  return json_pack ("{s:I,s:I,s:I,s:o,s:o,s:o*,s:o*,s:o*}", "prepaid", (json_int_t)record->prepaid,
                    "settled", (json_int_t)record->settled, "written_off",
                    (json_int_t)record->written_off, "top_ups", top_ups, "holders", holders,
                    "closed", closed_to_json_ (record), "missing", missing, "frozen",
                    missing == NULL ? NULL : json_integer ((json_int_t)record->frozen));
}

/* Returns the tokens granted to the open holders, spent or not. */
int64_t
sr_record_outstanding (const struct sr_record *record)
{
  int64_t sum = 0;

  for (unsigned i = 0; i < record->holders->len; i++)
    sum += g_array_index (record->holders, struct sr_record_holder, i).granted;
  return sum;
}

/* Returns the tokens that can still be granted. Negative after a correction that removed tokens
 * already granted or settled, or while tokens are frozen that were granted after all. */
int64_t
sr_record_remaining (const struct sr_record *record)
{
  if (record->missing->len > 0 && record->frozen < 0)
    return MIN (unassigned_ (record), 0);
  return unassigned_ (record) - (record->missing->len > 0 ? record->frozen : 0);
}

/* Returns the tokens that are neither granted nor settled, frozen or not. */
static int64_t
unassigned_ (const struct sr_record *record)
{
  return record->prepaid - record->settled - sr_record_outstanding (record);
}

/* Notes that INCARNATION of INSTANCE may have been granted tokens that RECORD, after a restore of
 * the platform, does not show: nothing is granted until sr_record_freeze. Returns whether RECORD
 * was changed. */
bool
sr_record_add_missing (struct sr_record *record, const char *instance, uint64_t incarnation)
{
  struct sr_record_missing fresh = { .incarnation = incarnation };

  for (unsigned i = 0; i < record->missing->len; i++)
    {
      const struct sr_record_missing *missing
          = &g_array_index (record->missing, struct sr_record_missing, i);

      if (missing->incarnation == incarnation && strcmp (missing->instance, instance) == 0)
        return false;
    }
  g_strlcpy (fresh.instance, instance, sizeof fresh.instance);
  g_array_append_val (record->missing, fresh);
  record->frozen = -1;
  return true;
}

/* Notes that what INCARNATION of INSTANCE was granted is in RECORD. When no others are missing, the
 * frozen tokens can be granted again. Returns whether RECORD was changed. */
bool
sr_record_remove_missing (struct sr_record *record, const char *instance, uint64_t incarnation)
{
  for (unsigned i = 0; i < record->missing->len; i++)
    {
      const struct sr_record_missing *missing
          = &g_array_index (record->missing, struct sr_record_missing, i);

      if (missing->incarnation != incarnation || strcmp (missing->instance, instance) != 0)
        continue;
      g_array_remove_index (record->missing, i);
      if (record->missing->len == 0)
        record->frozen = 0;
      return true;
    }
  return false;
}

/* Determines the frozen tokens of RECORD, if instances are missing and that has not been done:
 * everything that is left. Call when all other instances have put back what they were granted.
 * Returns whether RECORD was changed. */
bool
sr_record_freeze (struct sr_record *record)
{
  if (record->missing->len == 0 || record->frozen >= 0)
    return false;
  record->frozen = MAX (unassigned_ (record), 0);
  return true;
}

/* Returns the open holder ID of RECORD, or NULL. Valid until a holder is added or removed. */
struct sr_record_holder *
sr_record_find (const struct sr_record *record, const struct sr_holder_id *id)
{
  for (unsigned i = 0; i < record->holders->len; i++)
    {
      struct sr_record_holder *holder
          = &g_array_index (record->holders, struct sr_record_holder, i);

      if (sr_holder_id_equal (&holder->id, id))
        return holder;
    }
  return NULL;
}

/* Adds an open holder ID without tokens. The result is valid until a holder is added or removed. */
struct sr_record_holder *
sr_record_open (struct sr_record *record, const struct sr_holder_id *id, const char *data_centre)
{
  struct sr_record_holder holder = { .id = *id };

  g_strlcpy (holder.data_centre, data_centre, sizeof holder.data_centre);
  g_array_append_val (record->holders, holder);
  return sr_record_find (record, id);
}

/* Grants HOLDER of RECORD NEED more tokens, or up to WANT, capped at a quarter of the remaining
 * tokens, if that is more: grants ahead of demand shrink geometrically as the budget runs out. When
 * fewer than NEED remain, grants all of them: holders then pool the rest by loans. Returns the
 * tokens granted, 0 when none remain. */
int64_t
sr_record_grant (struct sr_record *record,
                 struct sr_record_holder *holder,
                 int64_t need,
                 int64_t want)
{
  int64_t remaining = MAX (sr_record_remaining (record), 0);
  int64_t ahead = MIN (want, remaining / LARGEST_SHARE_DIVISOR);
  int64_t tokens = MIN (MAX (need, ahead), remaining);

  tokens = MAX (tokens, 0);
  holder->granted += tokens;
  return tokens;
}

/* Closes holder ID, if it is open, as having spent SPENT tokens, at most its grant. The rest can be
 * granted again. */
void
sr_record_close (struct sr_record *record, const struct sr_holder_id *id, int64_t spent)
{
  struct sr_record_holder *holder = sr_record_find (record, id);

  if (holder == NULL)
    return;
  spent = CLAMP (spent, 0, holder->granted);
  record->settled += spent;
  add_closed_ (record, id, spent);
  g_array_remove_index (record->holders,
                        holder - &g_array_index (record->holders, struct sr_record_holder, 0));
}

/* Tells whether holder ID of RECORD was closed. Only the last closed holder of each instance is
 * stored: as an instance opens its records in order, an earlier one that is not open was closed. */
bool
sr_record_is_closed (const struct sr_record *record, const struct sr_holder_id *id)
{
  const struct sr_record_closed *closed = closed_of_ (record, id->instance);

  return closed != NULL && !is_later_ (id, &closed->id) && sr_record_find (record, id) == NULL;
}

/* Makes sure that RECORD counts holder ID as closed with SPENT tokens, after a restore of the
 * platform may have lost the write that closed it. Idempotent. The holders of one instance must be
 * passed in the order of their generations. Returns whether RECORD was changed. */
bool
sr_record_merge_closed (struct sr_record *record, const struct sr_holder_id *id, int64_t spent)
{
  struct sr_record_holder *holder = sr_record_find (record, id);

  if (holder != NULL)
    {
      holder->granted = MAX (holder->granted, spent);
      sr_record_close (record, id, spent);
      return true;
    }
  if (sr_record_is_closed (record, id))
    return false;
  record->settled += spent;
  add_closed_ (record, id, spent);
  return true;
}

/* Puts into RECORD, from a platform restored from an older copy, what KNOWN shows that it lacks:
 * KNOWN is the record as an instance last read or wrote it before the restore. Holders of
 * INCARNATION of INSTANCE, which is that instance, are left to sr_ledger_merge. A holder that has
 * written its grant since, in a later write by its serial, knows better and is left as it is.
 * Idempotent. Returns whether RECORD was changed. */
bool
sr_record_merge (struct sr_record *record,
                 const struct sr_record *known,
                 const char *instance,
                 uint64_t incarnation)
{
  bool changed = false;

  for (unsigned i = 0; i < known->closed->len; i++)
    if (merge_closed_entry_ (record, known,
                             &g_array_index (known->closed, struct sr_record_closed, i)))
      changed = true;
  for (unsigned i = 0; i < known->holders->len; i++)
    {
      const struct sr_record_holder *holder
          = &g_array_index (known->holders, struct sr_record_holder, i);

      if ((holder->id.incarnation != incarnation || strcmp (holder->id.instance, instance) != 0)
          && merge_holder_ (record, holder))
        changed = true;
    }
  for (unsigned i = 0; i < known->missing->len; i++)
    {
      const struct sr_record_missing *missing
          = &g_array_index (known->missing, struct sr_record_missing, i);

      if (sr_record_add_missing (record, missing->instance, missing->incarnation))
        changed = true;
    }
  return changed;
}

/* Removes the spend limits of RECORD, which was read from a platform restored from an older copy:
 * the holders may have written higher ones since. */
void
sr_record_clear_limits (struct sr_record *record)
{
  for (unsigned i = 0; i < record->holders->len; i++)
    g_array_index (record->holders, struct sr_record_holder, i).limit
        = (struct sr_spend_limit){ 0 };
}

/* Makes sure that RECORD grants the holder KNOWN at least as much as KNOWN does, unless a later
 * write is on it or the holder was closed. Its spend limit is not put back, as the holder may have
 * written a higher one since. Returns whether RECORD was changed. */
static bool
merge_holder_ (struct sr_record *record, const struct sr_record_holder *known)
{
  struct sr_record_holder *holder = sr_record_find (record, &known->id);

  if (holder == NULL && sr_record_is_closed (record, &known->id))
    return false;
  if (holder == NULL)
    holder = sr_record_open (record, &known->id, known->data_centre);
  else if (holder->serial >= known->serial)
    return false;
  *holder = *known;
  holder->limit = (struct sr_spend_limit){ 0 };
  return true;
}

/* Makes sure that RECORD counts as settled what the closed holders of one instance have spent by
 * the entry KNOWN of KNOWN_RECORD. Returns whether RECORD was changed. */
static bool
merge_closed_entry_ (struct sr_record *record,
                     const struct sr_record *known_record,
                     const struct sr_record_closed *known)
{
  struct sr_record_closed *closed = closed_of_ (record, known->id.instance);
  bool is_later = closed == NULL || is_later_ (&known->id, &closed->id);
  int64_t missing = known->spent - (closed == NULL ? 0 : closed->spent);
  bool changed = false;

  for (unsigned i = record->holders->len; is_later && i > 0; i--)
    {
      const struct sr_record_holder *holder
          = &g_array_index (record->holders, struct sr_record_holder, i - 1);

      if (strcmp (holder->id.instance, known->id.instance) == 0
          && !is_later_ (&holder->id, &known->id)
          && sr_record_find (known_record, &holder->id) == NULL)
        g_array_remove_index (record->holders, i - 1);
    }
  if (is_later || missing > 0)
    {
      record->settled += MAX (missing, 0);
      add_closed_ (record, &known->id, MAX (missing, 0));
      changed = true;
    }
  return changed;
}

/* Returns the entry for the closed holders of INSTANCE, or NULL. */
static struct sr_record_closed *
closed_of_ (const struct sr_record *record, const char *instance)
{
  for (unsigned i = 0; i < record->closed->len; i++)
    {
      struct sr_record_closed *closed = &g_array_index (record->closed, struct sr_record_closed, i);

      if (strcmp (closed->id.instance, instance) == 0)
        return closed;
    }
  return NULL;
}

static bool
is_later_ (const struct sr_holder_id *id, const struct sr_holder_id *than)
{
  return id->incarnation > than->incarnation
         || (id->incarnation == than->incarnation && id->generation > than->generation);
}

/* Counts holder ID, which has spent SPENT tokens, among the closed holders of its instance. */
static void
add_closed_ (struct sr_record *record, const struct sr_holder_id *id, int64_t spent)
{
  const struct sr_record_closed fresh = { *id, spent };
  struct sr_record_closed *closed = closed_of_ (record, id->instance);

  if (closed == NULL)
    {
      g_array_append_val (record->closed, fresh);
      return;
    }
  closed->spent += spent;
  if (is_later_ (id, &closed->id))
    closed->id = *id;
}

/* Returns the most tokens that HOLDER can have spent if its process ended by END_MS, a Unix time;
 * SR_TIME_UNKNOWN when that is not known. */
int64_t
sr_record_max_spent (const struct sr_record_holder *holder, int64_t end_ms)
{
  return MIN (holder->granted, sr_spend_limit_at_time (&holder->limit, end_ms));
}

/* Closes holder ID, if it is open, as having spent the most that it can have spent until END_MS,
 * see sr_record_max_spent. Its process must have ended by END_MS. */
void
sr_record_write_off (struct sr_record *record, const struct sr_holder_id *id, int64_t end_ms)
{
  struct sr_record_holder *holder = sr_record_find (record, id);
  int64_t spent;

  if (holder == NULL)
    return;
  spent = sr_record_max_spent (holder, end_ms);
  record->written_off += MAX (spent - holder->spent, 0);
  sr_record_close (record, id, spent);
}

/* Applies the top-up ID of TOKENS (negative: a correction) to RECORD, unless it was applied before.
 */
enum sr_top_up_verdict
sr_record_top_up (
    struct sr_record *record, const char *id, int64_t tokens, const char *who, int64_t time_ms)
{
  struct sr_record_top_up *top_up;

  for (unsigned i = 0; i < record->top_ups->len; i++)
    {
      const struct sr_record_top_up *known = record->top_ups->pdata[i];

      if (strcmp (known->id->str, id) == 0)
        return known->tokens == tokens ? SR_TOP_UP_REPEATED : SR_TOP_UP_CONFLICT;
    }
  if (tokens > PREPAID_MAX_TOKENS - record->prepaid || tokens < -record->prepaid)
    return SR_TOP_UP_OVERFLOW;
  top_up = g_new0 (struct sr_record_top_up, 1);
  top_up->id = g_string_new (id);
  top_up->who = g_string_new (who);
  top_up->tokens = tokens;
  top_up->time_ms = time_ms;
  g_ptr_array_add (record->top_ups, top_up);
  record->prepaid += tokens;
  return SR_TOP_UP_APPLIED;
}

static void
top_up_free_ (void *data)
{
  struct sr_record_top_up *top_up = data;

  g_string_free (top_up->id, TRUE);
  g_string_free (top_up->who, TRUE);
  g_free (top_up);
}

static bool
parse_top_ups_ (struct sr_record *record, const json_t *list)
{
  size_t index;
  json_t *each;

  if (!json_is_array (list))
    return false;
  json_array_foreach (list, index, each)
  {
    struct sr_record_top_up *top_up;
    const char *id;
    const char *who;
    json_int_t tokens;
    json_int_t time_ms;

    if (json_unpack (each, "{s:s,s:s,s:I,s:I}", "id", &id, "who", &who, "tokens", &tokens,
                     "time_ms", &time_ms)
        != 0)
      return false;
    top_up = g_new0 (struct sr_record_top_up, 1);
    top_up->id = g_string_new (id);
    top_up->who = g_string_new (who);
    top_up->tokens = tokens;
    top_up->time_ms = time_ms;
    g_ptr_array_add (record->top_ups, top_up);
  }
  return true;
}

static bool
parse_holders_ (struct sr_record *record, const json_t *list)
{
  size_t index;
  json_t *each;

  if (!json_is_array (list))
    return false;
  json_array_foreach (list, index, each)
  {
    struct sr_record_holder holder = { 0 };
    const char *instance;
    const char *data_centre;
    const char *witness;
    json_int_t numbers[6] = { 0 };
    json_t *limit = NULL;

    if (json_unpack (each, "{s:s,s:I,s:I,s:s,s:I,s:I,s:s,s:I,s?I,s?o}", "instance", &instance,
                     "incarnation", &numbers[0], "generation", &numbers[1], "data_centre",
                     &data_centre, "granted", &numbers[2], "spent", &numbers[3], "witness",
                     &witness, "witness_incarnation", &numbers[4], "serial", &numbers[5], "limit",
                     &limit)
            != 0
        || !parse_limit_ (limit, &holder.limit) || !copy_name_ (holder.id.instance, instance)
        || !copy_name_ (holder.data_centre, data_centre) || !copy_name_ (holder.witness, witness))
      return false;
    holder.id.incarnation = (uint64_t)numbers[0];
    holder.id.generation = (uint64_t)numbers[1];
    holder.granted = numbers[2];
    holder.spent = numbers[3];
    holder.witness_incarnation = (uint64_t)numbers[4];
    holder.serial = (uint64_t)numbers[5];
    g_array_append_val (record->holders, holder);
  }
  return true;
}

/* Parses the list from closed_to_json_. A missing one (NULL) means that none were closed. Earlier
 * versions write no spent tokens, which counts as 0: a merge then counts too many as settled. */
static bool
parse_closed_ (struct sr_record *record, json_t *list)
{
  size_t index;
  json_t *each;

  json_array_foreach (list, index, each)
  {
    struct sr_record_closed closed = { 0 };
    const char *instance;
    json_int_t incarnation;
    json_int_t generation;

    if (json_unpack (each, "[s,I,I]", &instance, &incarnation, &generation) != 0
        || !copy_name_ (closed.id.instance, instance))
      return false;
    closed.id.incarnation = (uint64_t)incarnation;
    closed.id.generation = (uint64_t)generation;
    closed.spent = json_integer_value (json_array_get (each, CLOSED_SPENT_INDEX));
    g_array_append_val (record->closed, closed);
  }
  return true;
}

static json_t *
closed_to_json_ (const struct sr_record *record)
{
  json_t *list;

  if (record->closed->len == 0)
    return NULL;
  list = json_array ();
  for (unsigned i = 0; i < record->closed->len; i++)
    {
      const struct sr_record_closed *closed
          = &g_array_index (record->closed, struct sr_record_closed, i);

      json_array_append_new (
          list, json_pack ("[s,I,I,I]", closed->id.instance, (json_int_t)closed->id.incarnation,
                           (json_int_t)closed->id.generation, (json_int_t)closed->spent));
    }
  return list;
}

/* Parses the list from missing_to_json_. A missing one (NULL) means that there are none. */
static bool
parse_missing_ (struct sr_record *record, json_t *list)
{
  size_t index;
  json_t *each;

  json_array_foreach (list, index, each)
  {
    struct sr_record_missing missing = { 0 };
    const char *instance;
    json_int_t incarnation;

    if (json_unpack (each, "[s,I]", &instance, &incarnation) != 0
        || !copy_name_ (missing.instance, instance))
      return false;
    missing.incarnation = (uint64_t)incarnation;
    g_array_append_val (record->missing, missing);
  }
  return true;
}

static json_t *
missing_to_json_ (const struct sr_record *record)
{
  json_t *list;

  if (record->missing->len == 0)
    return NULL;
  list = json_array ();
  for (unsigned i = 0; i < record->missing->len; i++)
    {
      const struct sr_record_missing *missing
          = &g_array_index (record->missing, struct sr_record_missing, i);

      json_array_append_new (
          list, json_pack ("[s,I]", missing->instance, (json_int_t)missing->incarnation));
    }
  return list;
}

/* Parses the object from limit_to_json_. A missing one (NULL) means that no limit is set. */
static bool
parse_limit_ (json_t *json, struct sr_spend_limit *limit)
{
  json_int_t numbers[5];

  *limit = (struct sr_spend_limit){ 0 };
  if (json == NULL || json_is_null (json))
    return true;
  if (json_unpack (json, "{s:I,s:I,s:I,s:I,s:I}", "at_ms", &numbers[0], "since_us", &numbers[1],
                   "base", &numbers[2], "after_us", &numbers[3], "per_s", &numbers[4])
          != 0
      || numbers[2] < 0 || numbers[3] < 0 || numbers[4] < 0)
    return false;
  *limit
      = (struct sr_spend_limit){ true, numbers[0], numbers[1], numbers[2], numbers[3], numbers[4] };
  return true;
}

static json_t *
limit_to_json_ (const struct sr_spend_limit *limit)
{
  if (!limit->is_set)
    return NULL;
  return json_pack ("{s:I,s:I,s:I,s:I,s:I}", "at_ms", (json_int_t)limit->at_ms, "since_us",
                    (json_int_t)limit->since_us, "base", (json_int_t)limit->base, "after_us",
                    (json_int_t)limit->after_us, "per_s", (json_int_t)limit->per_s);
}

static bool
copy_name_ (char *target, const char *source)
{
  return g_strlcpy (target, source, SR_BUDGET_NAME_MAX_BYTES) < SR_BUDGET_NAME_MAX_BYTES;
}

static json_t *
holder_to_json_ (const struct sr_record_holder *holder)
{
  return json_pack ("{s:s,s:I,s:I,s:s,s:I,s:I,s:s,s:I,s:I,s:o*}", "instance", holder->id.instance,
                    "incarnation", (json_int_t)holder->id.incarnation, "generation",
                    (json_int_t)holder->id.generation, "data_centre", holder->data_centre,
                    "granted", (json_int_t)holder->granted, "spent", (json_int_t)holder->spent,
                    "witness", holder->witness, "witness_incarnation",
                    (json_int_t)holder->witness_incarnation, "serial", (json_int_t)holder->serial,
                    "limit", limit_to_json_ (&holder->limit));
}

static json_t *
top_up_to_json_ (const struct sr_record_top_up *top_up)
{
  return json_pack ("{s:s,s:s,s:I,s:I}", "id", top_up->id->str, "who", top_up->who->str, "tokens",
                    (json_int_t)top_up->tokens, "time_ms", (json_int_t)top_up->time_ms);
}
