#include "bill/book.h"

#include <string.h>

struct sr_book
{
  GQueue *lines; /* own ones not yet written, struct sr_bill_line, oldest first */
  uint64_t last_number;
  uint64_t written_up_to;
  uint64_t batch_number;
  unsigned batch_length; /* of the batch being written: it never changes until it is */
  GPtrArray *kept;       /* struct kept */
};

/* What is kept for one incarnation of another instance. */
struct kept
{
  struct sr_bill_keeper owner;
  GQueue *lines;
};

static void line_free_ (void *data);
static void kept_free_ (void *data);
static struct kept *kept_of_ (struct sr_book *book, const char *owner, uint64_t incarnation);
static void kept_forget_ (struct kept *kept, uint64_t up_to);

/* Creates an empty book. */
struct sr_book *
sr_book_new (void)
{
  struct sr_book *book = g_new0 (struct sr_book, 1);

  book->lines = g_queue_new ();
  book->batch_number = 1;
  book->kept = g_ptr_array_new_with_free_func (kept_free_);
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
  g_free (book);
}

/* Adds the own line TEXT, a JSON object. Returns its number, or 0 when the book is full. */
uint64_t
sr_book_add (struct sr_book *book, const char *text)
{
  struct sr_bill_line *line;

  if (sr_book_length (book) >= SR_BOOK_LINES_MAX)
    return 0;
  line = g_new0 (struct sr_bill_line, 1);
  line->number = ++book->last_number;
  line->text = g_strdup (text);
  g_queue_push_tail (book->lines, line);
  return line->number;
}

/* Notes that KEEPER has a copy of the own line NUMBER, unless it was written meanwhile. */
void
sr_book_set_keeper (struct sr_book *book, uint64_t number, const struct sr_bill_keeper *keeper)
{
  for (GList *each = book->lines->head; each != NULL; each = each->next)
    {
      struct sr_bill_line *line = each->data;

      if (line->number == number)
        {
          line->keeper = *keeper;
          return;
        }
    }
}

/* Returns the first own line after number AFTER whose copy is not at KEEPER, or NULL. */
const struct sr_bill_line *
sr_book_next_without (struct sr_book *book, const struct sr_bill_keeper *keeper, uint64_t after)
{
  for (GList *each = book->lines->head; each != NULL; each = each->next)
    {
      const struct sr_bill_line *line = each->data;

      if (line->number > after
          && (line->keeper.incarnation != keeper->incarnation
              || strcmp (line->keeper.instance, keeper->instance) != 0))
        return line;
    }
  return NULL;
}

/* Returns the number up to which all own lines are on the platform. */
uint64_t
sr_book_written_up_to (const struct sr_book *book)
{
  return book->written_up_to;
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

      count += line->keeper.instance[0] == '\0';
    }
  return count;
}

/* Appends the JSON array of the next batch to BODY and sets its BATCH_NUMBER. Until
 * sr_book_batch_written it is the same batch each time, so that it can be written again after a
 * lost answer. Returns the number of lines, 0 when there are none. */
unsigned
sr_book_batch (struct sr_book *book, GString *body, uint64_t *batch_number)
{
  const GList *each = book->lines->head;

  if (book->batch_length == 0)
    book->batch_length = MIN (sr_book_length (book), SR_BATCH_LINES_MAX);
  *batch_number = book->batch_number;
  g_string_append_c (body, '[');
  for (unsigned i = 0; i < book->batch_length; i++, each = each->next)
    {
      const struct sr_bill_line *line = each->data;

      if (i > 0)
        g_string_append_c (body, ',');
      g_string_append (body, line->text);
    }
  g_string_append_c (body, ']');
  return book->batch_length;
}

/* Forgets the lines of the batch: the platform has them. */
void
sr_book_batch_written (struct sr_book *book)
{
  for (; book->batch_length > 0; book->batch_length--)
    {
      struct sr_bill_line *line = g_queue_pop_head (book->lines);

      book->written_up_to = line->number;
      line_free_ (line);
    }
  book->batch_number++;
}

/* Keeps line NUMBER of OWNER's INCARNATION (TEXT; NULL: none), and forgets its lines up to
 * WRITTEN_UP_TO. Idempotent. Returns false when there is no room. */
bool
sr_book_keep (struct sr_book *book,
              const char *owner,
              uint64_t incarnation,
              uint64_t number,
              const char *text,
              uint64_t written_up_to)
{
  struct kept *kept = kept_of_ (book, owner, incarnation);
  struct sr_bill_line *line;

  kept_forget_ (kept, written_up_to);
  if (text == NULL || number <= written_up_to)
    return true;
  for (GList *each = kept->lines->tail; each != NULL; each = each->prev)
    {
      line = each->data;
      if (line->number == number)
        return true;
    }
  if (g_queue_get_length (kept->lines) >= SR_BOOK_LINES_MAX)
    return false;
  line = g_new0 (struct sr_bill_line, 1);
  line->number = number;
  line->text = g_strdup (text);
  g_queue_push_tail (kept->lines, line);
  return true;
}

/* Returns for whom lines are kept (struct sr_bill_keeper, owned by the array, which the caller
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

/* Makes the lines kept for OWNER own ones, because OWNER is believed dead. When it lives, the lines
 * are written twice, which readers of the bills see through. Returns how many there were. */
unsigned
sr_book_adopt (struct sr_book *book, const struct sr_bill_keeper *owner)
{
  struct kept *kept = kept_of_ (book, owner->instance, owner->incarnation);
  unsigned count = 0;

  while (!g_queue_is_empty (kept->lines) && sr_book_length (book) < SR_BOOK_LINES_MAX)
    {
      struct sr_bill_line *line = g_queue_pop_head (kept->lines);

      sr_book_add (book, line->text);
      line_free_ (line);
      count++;
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

static struct kept *
kept_of_ (struct sr_book *book, const char *owner, uint64_t incarnation)
{
  struct kept *kept;

  for (unsigned i = 0; i < book->kept->len; i++)
    {
      kept = book->kept->pdata[i];
      if (kept->owner.incarnation == incarnation && strcmp (kept->owner.instance, owner) == 0)
        return kept;
    }
  kept = g_new0 (struct kept, 1);
  g_strlcpy (kept->owner.instance, owner, sizeof kept->owner.instance);
  kept->owner.incarnation = incarnation;
  kept->lines = g_queue_new ();
  g_ptr_array_add (book->kept, kept);
  return kept;
}

static void
kept_forget_ (struct kept *kept, uint64_t up_to)
{
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
