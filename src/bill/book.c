#include "bill/book.h"

#include <string.h>

struct sr_book
{
  struct sr_bill_instance self;
  GQueue
      *lines; /* own ones and taken over ones not yet written, struct sr_bill_line, oldest first */
  uint64_t last_number;
  uint64_t own_batch;         /* number of the next batch of own lines */
  struct sr_bill_batch batch; /* being written; a length of 0: none */
  GPtrArray *kept;            /* struct kept */
  GHashTable *debts;          /* keeper's name to struct debt */
};

/* What is kept for one incarnation of another instance. */
struct kept
{
  struct sr_bill_instance owner;
  uint64_t written_up_to;
  GQueue *lines;
};

/* What a keeper has been sent and told. */
struct debt
{
  uint64_t last_number;
  uint64_t told_up_to;
};

static void line_free_ (void *data);
static void kept_free_ (void *data);
static bool is_same_ (const struct sr_bill_instance *left, const struct sr_bill_instance *right);
static struct sr_bill_line *find_ (GQueue *lines, uint64_t number);
static void add_line_ (struct sr_book *book,
                       const char *text,
                       const struct sr_bill_instance *origin,
                       uint64_t first_batch);
static void fix_batch_ (struct sr_book *book);
static char *identity_ (const struct sr_bill_instance *origin, const char *text);
static struct kept *kept_of_ (struct sr_book *book, const struct sr_bill_instance *owner);
static void kept_forget_ (struct kept *kept, uint64_t up_to);

/* Creates the empty book of SELF, to be freed with sr_book_delete. */
struct sr_book *
sr_book_new (const struct sr_bill_instance *self)
{
  struct sr_book *book = g_new0 (struct sr_book, 1);

  book->self = *self;
  book->lines = g_queue_new ();
  book->own_batch = 1;
  book->kept = g_ptr_array_new_with_free_func (kept_free_);
  book->debts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return book;
}

/* Frees BOOK. NULL is allowed. */
void
sr_book_delete (struct sr_book *book)
{
  if (book == NULL)
    return;
  g_queue_free_full (book->lines, line_free_);
  g_ptr_array_unref (book->kept);
  g_hash_table_unref (book->debts);
  g_free (book);
}

/* Adds the own line TEXT, a JSON object. Returns its number, or 0 when the book is full. */
uint64_t
sr_book_add (struct sr_book *book, const char *text)
{
  if (sr_book_length (book) >= SR_BOOK_LINES_MAX)
    return 0;
  add_line_ (book, text, &book->self, book->own_batch);
  return book->last_number;
}

/* Notes that KEEPER has a copy of the own line NUMBER, unless it was written meanwhile. */
void
sr_book_set_keeper (struct sr_book *book, uint64_t number, const struct sr_bill_instance *keeper)
{
  struct sr_bill_line *line = find_ (book->lines, number);

  if (line != NULL)
    line->keeper = *keeper;
}

/* Returns the first own line after number AFTER whose copy is not at KEEPER, or NULL. */
const struct sr_bill_line *
sr_book_next_without (struct sr_book *book, const struct sr_bill_instance *keeper, uint64_t after)
{
  for (GList *each = book->lines->head; each != NULL; each = each->next)
    {
      const struct sr_bill_line *line = each->data;

      if (line->number > after && !is_same_ (&line->keeper, keeper))
        return line;
    }
  return NULL;
}

/* Returns the own line NUMBER, or NULL when it has been written. */
const struct sr_bill_line *
sr_book_find (const struct sr_book *book, uint64_t number)
{
  return find_ (book->lines, number);
}

/* Returns the number up to which all own lines are on the platform. */
uint64_t
sr_book_written_up_to (const struct sr_book *book)
{
  const struct sr_bill_line *oldest = g_queue_peek_head (book->lines);

  return oldest != NULL ? oldest->number - 1 : book->last_number;
}

/* Returns the number of own lines that are not on the platform. */
unsigned
sr_book_length (const struct sr_book *book)
{
  return g_queue_get_length (book->lines);
}

/* Returns how many of them are nowhere but here. */
unsigned
sr_book_without_copy (const struct sr_book *book)
{
  unsigned count = 0;

  for (GList *each = book->lines->head; each != NULL; each = each->next)
    {
      const struct sr_bill_line *line = each->data;

      count += line->keeper.name[0] == '\0';
    }
  return count;
}

/* Describes the next batch in *BATCH and appends its JSON array to BODY: the oldest lines, as far
 * as they have the same origin. Until it is written or taken it is the same each time. A length of
 * 0: there is nothing to write. */
void
sr_book_batch (struct sr_book *book, GString *body, struct sr_bill_batch *batch)
{
  const GList *each = book->lines->head;

  if (book->batch.length == 0)
    fix_batch_ (book);
  *batch = book->batch;
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

/* Forgets the lines of the batch: the platform has them. */
void
sr_book_batch_written (struct sr_book *book)
{
  if (is_same_ (&book->batch.origin, &book->self))
    book->own_batch++;
  for (; book->batch.length > 0; book->batch.length--)
    line_free_ (g_queue_pop_head (book->lines));
}

/* The platform has another object under the batch's number, with the lines TEXTS (char *): written
 * by who took the origin for dead, by the origin itself, or here and the answer was lost. Those of
 * its lines are written; the others go on to the next number. Returns how many were found there. */
unsigned
sr_book_batch_taken (struct sr_book *book, GHashTable *texts)
{
  uint64_t next = book->batch.number + 1;
  unsigned found = 0;

  for (GList *each = book->lines->head; each != NULL;)
    {
      GList *following = each->next;
      struct sr_bill_line *line = each->data;

      if (is_same_ (&line->origin, &book->batch.origin))
        {
          if (g_hash_table_contains (texts, line->text))
            {
              g_queue_delete_link (book->lines, each);
              line_free_ (line);
              found++;
            }
          else if (line->first_batch == book->batch.number)
            line->first_batch = next;
        }
      each = following;
    }
  if (is_same_ (&book->batch.origin, &book->self))
    book->own_batch = next;
  book->batch.length = 0;
  return found;
}

/* Notes that the own line NUMBER is being sent to KEEPER. */
void
sr_book_owe (struct sr_book *book, const char *keeper, uint64_t number)
{
  struct debt *debt = g_hash_table_lookup (book->debts, keeper);

  if (debt == NULL)
    {
      debt = g_new0 (struct debt, 1);
      g_hash_table_insert (book->debts, g_strdup (keeper), debt);
    }
  debt->last_number = MAX (debt->last_number, number);
}

/* Notes that KEEPER knows that the lines up to WRITTEN_UP_TO are written. */
void
sr_book_told (struct sr_book *book, const char *keeper, uint64_t written_up_to)
{
  struct debt *debt = g_hash_table_lookup (book->debts, keeper);

  if (debt == NULL)
    return;
  debt->told_up_to = MAX (debt->told_up_to, written_up_to);
  if (debt->told_up_to >= debt->last_number)
    g_hash_table_remove (book->debts, keeper);
}

/* Returns the names of the keepers that can forget more than they know (char *, owned by the array,
 * which the caller frees). */
GPtrArray *
sr_book_owed (const struct sr_book *book)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  uint64_t written_up_to = sr_book_written_up_to (book);
  GHashTableIter iter;
  void *name;
  void *value;

  g_hash_table_iter_init (&iter, book->debts);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct debt *debt = value;

      if (debt->told_up_to < written_up_to)
        g_ptr_array_add (names, g_strdup (name));
    }
  return names;
}

/* Keeps LINE of OWNER (NULL: none), and forgets its lines up to WRITTEN_UP_TO. Idempotent; messages
 * may overtake each other. Returns false when there is no room. */
bool
sr_book_keep (struct sr_book *book,
              const struct sr_bill_instance *owner,
              const struct sr_bill_line *line,
              uint64_t written_up_to)
{
  struct kept *kept = kept_of_ (book, owner);
  struct sr_bill_line *copy;

  kept_forget_ (kept, written_up_to);
  if (line == NULL || line->number <= kept->written_up_to)
    return true;
  if (find_ (kept->lines, line->number) != NULL)
    return true;
  if (g_queue_get_length (kept->lines) >= SR_BOOK_LINES_MAX)
    return false;
  copy = g_memdup2 (line, sizeof *line);
  copy->text = g_strdup (line->text);
  copy->keeper = (struct sr_bill_instance){ 0 };
  g_queue_push_tail (kept->lines, copy);
  return true;
}

/* Returns for whom lines are kept (struct sr_bill_instance, owned by the array, which the caller
 * frees). */
GPtrArray *
sr_book_owners (const struct sr_book *book)
{
  GPtrArray *owners = g_ptr_array_new_with_free_func (g_free);

  for (unsigned i = 0; i < book->kept->len; i++)
    {
      const struct kept *kept = book->kept->pdata[i];

      if (!g_queue_is_empty (kept->lines))
        g_ptr_array_add (owners, g_memdup2 (&kept->owner, sizeof kept->owner));
    }
  return owners;
}

/* Takes over the lines kept for OWNER, because OWNER is believed dead. Lines that are here already
 * are not taken twice. Returns how many there were. */
unsigned
sr_book_adopt (struct sr_book *book, const struct sr_bill_instance *owner)
{
  struct kept *kept = kept_of_ (book, owner);
  g_autoptr (GHashTable) here = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  unsigned count = 0;

  for (GList *each = book->lines->head; each != NULL; each = each->next)
    {
      const struct sr_bill_line *line = each->data;

      g_hash_table_add (here, identity_ (&line->origin, line->text));
    }
  while (!g_queue_is_empty (kept->lines) && sr_book_length (book) < SR_BOOK_LINES_MAX)
    {
      struct sr_bill_line *line = g_queue_pop_head (kept->lines);

      /* An own line that comes back is here until it is written. */
      if (!is_same_ (&line->origin, &book->self)
          && g_hash_table_add (here, identity_ (&line->origin, line->text)))
        {
          add_line_ (book, line->text, &line->origin, line->first_batch);
          count++;
        }
      line_free_ (line);
    }
  if (g_queue_is_empty (kept->lines))
    g_ptr_array_remove (book->kept, kept);
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
kept_free_ (void *data)
{
  struct kept *kept = data;

  g_queue_free_full (kept->lines, line_free_);
  g_free (kept);
}

static bool
is_same_ (const struct sr_bill_instance *left, const struct sr_bill_instance *right)
{
  return left->incarnation == right->incarnation && strcmp (left->name, right->name) == 0;
}

/* Returns the line NUMBER of LINES, or NULL. New lines are asked for most often. */
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
add_line_ (struct sr_book *book,
           const char *text,
           const struct sr_bill_instance *origin,
           uint64_t first_batch)
{
  struct sr_bill_line *line = g_new0 (struct sr_bill_line, 1);

  line->number = ++book->last_number;
  line->text = g_strdup (text);
  line->origin = *origin;
  line->first_batch = first_batch;
  g_queue_push_tail (book->lines, line);
}

/* Makes the oldest lines of one origin the batch. */
static void
fix_batch_ (struct sr_book *book)
{
  for (const GList *each = book->lines->head;
       each != NULL && book->batch.length < SR_BATCH_LINES_MAX; each = each->next)
    {
      const struct sr_bill_line *line = each->data;

      if (book->batch.length == 0)
        {
          book->batch.origin = line->origin;
          book->batch.number = line->first_batch;
        }
      if (!is_same_ (&line->origin, &book->batch.origin))
        break;
      book->batch.number = MIN (book->batch.number, line->first_batch);
      book->batch.length++;
    }
  if (is_same_ (&book->batch.origin, &book->self))
    book->batch.number = book->own_batch;
}

/* What makes a line one and the same wherever it is copied: whose it is and its text. */
static char *
identity_ (const struct sr_bill_instance *origin, const char *text)
{
  return g_strdup_printf ("%s/%" G_GINT64_MODIFIER "x/%s", origin->name, origin->incarnation, text);
}

static struct kept *
kept_of_ (struct sr_book *book, const struct sr_bill_instance *owner)
{
  struct kept *kept;

  for (unsigned i = 0; i < book->kept->len; i++)
    {
      kept = book->kept->pdata[i];
      if (is_same_ (&kept->owner, owner))
        return kept;
    }
  kept = g_new0 (struct kept, 1);
  kept->owner = *owner;
  kept->lines = g_queue_new ();
  g_ptr_array_add (book->kept, kept);
  return kept;
}

static void
kept_forget_ (struct kept *kept, uint64_t up_to)
{
  kept->written_up_to = MAX (kept->written_up_to, up_to);
  for (GList *each = kept->lines->head; each != NULL;)
    {
      GList *next = each->next;
      struct sr_bill_line *line = each->data;

      if (line->number <= up_to)
        {
          g_queue_delete_link (kept->lines, each);
          line_free_ (line);
        }
      each = next;
    }
}
