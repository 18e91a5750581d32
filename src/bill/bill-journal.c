#include "bill/bill-journal.h"

#include <string.h>

struct sr_bill_journal
{
  struct sr_bill_instance self;
  GQueue *lines; /* own and adopted lines not yet written, struct sr_bill_line, oldest first */
  uint64_t last_number;
  uint64_t own_batch;         /* number of the next batch of own lines */
  struct sr_bill_batch batch; /* being written; length 0 if none */
  GPtrArray *copies;          /* struct copies_ */
  GHashTable *keeper_states;  /* name of the keeper to struct keeper_state_ */
};

/* Copies kept for one incarnation of a peer. */
struct copies_
{
  struct sr_bill_instance owner;
  uint64_t written_up_to;
  GQueue *lines;
};

/* The highest line number sent to a keeper, and the number up to which it was notified that lines
 * are written. */
struct keeper_state_
{
  uint64_t last_sent;
  uint64_t notified_up_to;
};

static void line_free_ (void *data);
static void copies_free_ (void *data);
static bool is_same_ (const struct sr_bill_instance *left, const struct sr_bill_instance *right);
static struct sr_bill_line *find_ (GQueue *lines, uint64_t number);
static void add_line_ (struct sr_bill_journal *journal,
                       const char *text,
                       const struct sr_bill_instance *origin,
                       uint64_t first_batch);
static void choose_batch_ (struct sr_bill_journal *journal);
static char *line_key_ (const struct sr_bill_instance *origin, const char *text);
static struct copies_ *copies_of_ (struct sr_bill_journal *journal,
                                   const struct sr_bill_instance *owner);
static void copies_drop_ (struct copies_ *copies, uint64_t up_to);

/* Creates the empty journal of instance SELF, to be freed with sr_bill_journal_delete. */
struct sr_bill_journal *
sr_bill_journal_new (const struct sr_bill_instance *self)
{
  struct sr_bill_journal *journal = g_new0 (struct sr_bill_journal, 1);

  journal->self = *self;
  journal->lines = g_queue_new ();
  journal->own_batch = 1;
  journal->copies = g_ptr_array_new_with_free_func (copies_free_);
  journal->keeper_states = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return journal;
}

/* JOURNAL may be NULL. */
void
sr_bill_journal_delete (struct sr_bill_journal *journal)
{
  if (journal == NULL)
    return;
  g_queue_free_full (journal->lines, line_free_);
  g_ptr_array_unref (journal->copies);
  g_hash_table_unref (journal->keeper_states);
  g_free (journal);
}

/* Appends the own line TEXT, a JSON object. Returns its number, or 0 when the journal is full. */
uint64_t
sr_bill_journal_append (struct sr_bill_journal *journal, const char *text)
{
  if (sr_bill_journal_length (journal) >= SR_BILL_JOURNAL_LINES_MAX)
    return 0;
  add_line_ (journal, text, &journal->self, journal->own_batch);
  return journal->last_number;
}

/* Records that KEEPER holds a copy of line NUMBER. No effect if the line has been written
 * meanwhile. */
void
sr_bill_journal_set_keeper (struct sr_bill_journal *journal,
                            uint64_t number,
                            const struct sr_bill_instance *keeper)
{
  struct sr_bill_line *line = find_ (journal->lines, number);

  if (line != NULL)
    line->keeper = *keeper;
}

/* Returns the first line with a number above AFTER whose copy is not held by KEEPER, or NULL. */
const struct sr_bill_line *
sr_bill_journal_next_not_at (struct sr_bill_journal *journal,
                             const struct sr_bill_instance *keeper,
                             uint64_t after)
{
  for (GList *each = journal->lines->head; each != NULL; each = each->next)
    {
      const struct sr_bill_line *line = each->data;

      if (line->number > after && !is_same_ (&line->keeper, keeper))
        return line;
    }
  return NULL;
}

/* Returns line NUMBER, or NULL when it has been written. */
const struct sr_bill_line *
sr_bill_journal_find (const struct sr_bill_journal *journal, uint64_t number)
{
  return find_ (journal->lines, number);
}

/* Returns the number up to which all lines are on the platform. */
uint64_t
sr_bill_journal_written_up_to (const struct sr_bill_journal *journal)
{
  const struct sr_bill_line *oldest = g_queue_peek_head (journal->lines);

  return oldest != NULL ? oldest->number - 1 : journal->last_number;
}

/* Returns the number of lines that are not on the platform yet. */
unsigned
sr_bill_journal_length (const struct sr_bill_journal *journal)
{
  return g_queue_get_length (journal->lines);
}

/* Returns how many of the unwritten lines have no copy at a peer. */
unsigned
sr_bill_journal_uncopied_lines (const struct sr_bill_journal *journal)
{
  unsigned count = 0;

  for (GList *each = journal->lines->head; each != NULL; each = each->next)
    {
      const struct sr_bill_line *line = each->data;

      count += line->keeper.name[0] == '\0';
    }
  return count;
}

/* Describes the next batch in *BATCH and appends its JSON array to BODY: the oldest consecutive
 * lines with the same origin. Repeated calls give the same batch until it is reported as written
 * or as a conflict. Length 0: there is nothing to write. */
void
sr_bill_journal_next_batch (struct sr_bill_journal *journal,
                            GString *body,
                            struct sr_bill_batch *batch)
{
  const GList *each = journal->lines->head;

  if (journal->batch.length == 0)
    choose_batch_ (journal);
  *batch = journal->batch;
  g_string_append_c (body, '[');
  for (unsigned i = 0; i < batch->length; i++, each = each->next)
    {
      const struct sr_bill_line *line = each->data;

      if (i > 0)
        g_string_append_c (body, ',');
      g_string_append (body, line->text);
    }
  g_string_append_c (body, ']');
}

/* Removes the lines of the current batch after the platform has stored it. */
void
sr_bill_journal_batch_written (struct sr_bill_journal *journal)
{
  if (is_same_ (&journal->batch.origin, &journal->self))
    journal->own_batch++;
  for (; journal->batch.length > 0; journal->batch.length--)
    line_free_ (g_queue_pop_head (journal->lines));
}

/* To be called when the platform already has an object under the number of the current batch.
 * TEXTS (char *) are the lines in that object, written by a peer that considered the origin
 * dead, by the origin itself, or by an earlier write of this instance whose response was lost.
 * Lines found in TEXTS count as written; the others move to the next batch number. Returns how
 * many were found. */
unsigned
sr_bill_journal_batch_conflict (struct sr_bill_journal *journal, GHashTable *texts)
{
  uint64_t next = journal->batch.number + 1;
  unsigned found = 0;

  for (GList *each = journal->lines->head; each != NULL;)
    {
      GList *following = each->next;
      struct sr_bill_line *line = each->data;

      if (is_same_ (&line->origin, &journal->batch.origin))
        {
          if (g_hash_table_contains (texts, line->text))
            {
              g_queue_delete_link (journal->lines, each);
              line_free_ (line);
              found++;
            }
          else if (line->first_batch == journal->batch.number)
            line->first_batch = next;
        }
      each = following;
    }
  if (is_same_ (&journal->batch.origin, &journal->self))
    journal->own_batch = next;
  journal->batch.length = 0;
  return found;
}

/* Records that line NUMBER is being sent to KEEPER, which must later be notified once the line
 * is written. */
void
sr_bill_journal_note_sent (struct sr_bill_journal *journal, const char *keeper, uint64_t number)
{
  struct keeper_state_ *state = g_hash_table_lookup (journal->keeper_states, keeper);

  if (state == NULL)
    {
      state = g_new0 (struct keeper_state_, 1);
      g_hash_table_insert (journal->keeper_states, g_strdup (keeper), state);
    }
  state->last_sent = MAX (state->last_sent, number);
}

/* Records that KEEPER was notified that the lines up to WRITTEN_UP_TO are written. */
void
sr_bill_journal_note_notified (struct sr_bill_journal *journal,
                               const char *keeper,
                               uint64_t written_up_to)
{
  struct keeper_state_ *state = g_hash_table_lookup (journal->keeper_states, keeper);

  if (state == NULL)
    return;
  state->notified_up_to = MAX (state->notified_up_to, written_up_to);
  if (state->notified_up_to >= state->last_sent)
    g_hash_table_remove (journal->keeper_states, keeper);
}

/* Returns the names of the keepers that have not been notified of all written lines (char *,
 * owned by the array, which the caller frees). */
GPtrArray *
sr_bill_journal_keepers_to_notify (const struct sr_bill_journal *journal)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  uint64_t written_up_to = sr_bill_journal_written_up_to (journal);
  GHashTableIter iter;
  void *name;
  void *value;

  g_hash_table_iter_init (&iter, journal->keeper_states);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct keeper_state_ *state = value;

      if (state->notified_up_to < written_up_to)
        g_ptr_array_add (names, g_strdup (name));
    }
  return names;
}

/* Keeps a copy of LINE (may be NULL) for OWNER, and drops the copies of its lines up to
 * WRITTEN_UP_TO. Idempotent; messages may arrive in any order. Returns false when the limit of
 * copies is reached. */
bool
sr_bill_journal_store_copy (struct sr_bill_journal *journal,
                            const struct sr_bill_instance *owner,
                            const struct sr_bill_line *line,
                            uint64_t written_up_to)
{
  struct copies_ *copies = copies_of_ (journal, owner);
  struct sr_bill_line *copy;

  copies_drop_ (copies, written_up_to);
  if (line == NULL || line->number <= copies->written_up_to)
    return true;
  if (find_ (copies->lines, line->number) != NULL)
    return true;
  if (g_queue_get_length (copies->lines) >= SR_BILL_JOURNAL_LINES_MAX)
    return false;
  copy = g_memdup2 (line, sizeof *line);
  copy->text = g_strdup (line->text);
  copy->keeper = (struct sr_bill_instance){ 0 };
  g_queue_push_tail (copies->lines, copy);
  return true;
}

/* Returns the instances for which copies are kept (struct sr_bill_instance, owned by the array,
 * which the caller frees). */
GPtrArray *
sr_bill_journal_copy_owners (const struct sr_bill_journal *journal)
{
  GPtrArray *owners = g_ptr_array_new_with_free_func (g_free);

  for (unsigned i = 0; i < journal->copies->len; i++)
    {
      const struct copies_ *copies = journal->copies->pdata[i];

      if (!g_queue_is_empty (copies->lines))
        g_ptr_array_add (owners, g_memdup2 (&copies->owner, sizeof copies->owner));
    }
  return owners;
}

/* Adopts the copies kept for OWNER, because OWNER is considered dead: they are written like own
 * lines. Lines that are in the journal already are not added twice. Returns how many were added. */
unsigned
sr_bill_journal_adopt (struct sr_bill_journal *journal, const struct sr_bill_instance *owner)
{
  struct copies_ *copies = copies_of_ (journal, owner);
  g_autoptr (GHashTable) known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  unsigned count = 0;

  for (GList *each = journal->lines->head; each != NULL; each = each->next)
    {
      const struct sr_bill_line *line = each->data;

      g_hash_table_add (known, line_key_ (&line->origin, line->text));
    }
  while (!g_queue_is_empty (copies->lines)
         && sr_bill_journal_length (journal) < SR_BILL_JOURNAL_LINES_MAX)
    {
      struct sr_bill_line *line = g_queue_pop_head (copies->lines);

      /* An adopted copy of an own line is in the journal already, or has been written. */
      if (!is_same_ (&line->origin, &journal->self)
          && g_hash_table_add (known, line_key_ (&line->origin, line->text)))
        {
          add_line_ (journal, line->text, &line->origin, line->first_batch);
          count++;
        }
      line_free_ (line);
    }
  if (g_queue_is_empty (copies->lines))
    g_ptr_array_remove (journal->copies, copies);
  return count;
}

static void
line_free_ (void *data)
{
  struct sr_bill_line *line = data;

  g_free (line->text);
  g_free (line);
}

static void
copies_free_ (void *data)
{
  struct copies_ *copies = data;

  g_queue_free_full (copies->lines, line_free_);
  g_free (copies);
}

static bool
is_same_ (const struct sr_bill_instance *left, const struct sr_bill_instance *right)
{
  return left->incarnation == right->incarnation && strcmp (left->name, right->name) == 0;
}

/* Returns line NUMBER of LINES, or NULL. Searches from the newest, which is looked up most
 * often. */
static struct sr_bill_line *
find_ (GQueue *lines, uint64_t number)
{
  for (GList *each = lines->tail; each != NULL; each = each->prev)
    {
      struct sr_bill_line *line = each->data;

      if (line->number == number)
        return line;
    }
  return NULL;
}

static void
add_line_ (struct sr_bill_journal *journal,
           const char *text,
           const struct sr_bill_instance *origin,
           uint64_t first_batch)
{
  struct sr_bill_line *line = g_new0 (struct sr_bill_line, 1);

  line->number = ++journal->last_number;
  line->text = g_strdup (text);
  line->origin = *origin;
  line->first_batch = first_batch;
  g_queue_push_tail (journal->lines, line);
}

/* Selects the lines of the next batch: the oldest consecutive lines of one origin. */
static void
choose_batch_ (struct sr_bill_journal *journal)
{
  for (const GList *each = journal->lines->head;
       each != NULL && journal->batch.length < SR_BILL_BATCH_LINES_MAX; each = each->next)
    {
      const struct sr_bill_line *line = each->data;

      if (journal->batch.length == 0)
        {
          journal->batch.origin = line->origin;
          journal->batch.number = line->first_batch;
        }
      if (!is_same_ (&line->origin, &journal->batch.origin))
        break;
      journal->batch.number = MIN (journal->batch.number, line->first_batch);
      journal->batch.length++;
    }
  if (is_same_ (&journal->batch.origin, &journal->self))
    journal->batch.number = journal->own_batch;
}

/* Identifies a line across all its copies: its origin and its text. */
static char *
line_key_ (const struct sr_bill_instance *origin, const char *text)
{
  return g_strdup_printf ("%s/%" G_GINT64_MODIFIER "x/%s", origin->name, origin->incarnation, text);
}

static struct copies_ *
copies_of_ (struct sr_bill_journal *journal, const struct sr_bill_instance *owner)
{
  struct copies_ *copies;

  for (unsigned i = 0; i < journal->copies->len; i++)
    {
      copies = journal->copies->pdata[i];
      if (is_same_ (&copies->owner, owner))
        return copies;
    }
  copies = g_new0 (struct copies_, 1);
  copies->owner = *owner;
  copies->lines = g_queue_new ();
  g_ptr_array_add (journal->copies, copies);
  return copies;
}

static void
copies_drop_ (struct copies_ *copies, uint64_t up_to)
{
  copies->written_up_to = MAX (copies->written_up_to, up_to);
  for (GList *each = copies->lines->head; each != NULL;)
    {
      GList *next = each->next;
      struct sr_bill_line *line = each->data;

      if (line->number <= up_to)
        {
          g_queue_delete_link (copies->lines, each);
          line_free_ (line);
        }
      each = next;
    }
}
