/* The bills that this instance has yet to write, and those it keeps for others: a state machine
 * without thread, lock or clock. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  SR_BILL_NAME_MAX_BYTES = 64,
  SR_BOOK_LINES_MAX = 60000, /* own ones, and as many of others */
  SR_BATCH_LINES_MAX = 1000
};

/* One life of an instance. An empty name: none. */
struct sr_bill_instance
{
  char name[SR_BILL_NAME_MAX_BYTES];
  uint64_t incarnation;
};

struct sr_bill_line
{
  uint64_t number;                /* of the owner's lines, from 1 */
  char *text;                     /* one JSON object */
  struct sr_bill_instance keeper; /* where a second copy is */
  struct sr_bill_instance origin; /* whose request it bills */
  uint64_t first_batch;           /* no batch of the origin before this one has the line */
};

/* A batch is an object of its own, created once. */
struct sr_bill_batch
{
  struct sr_bill_instance origin;
  uint64_t number; /* of the origin's batches, from 1 */
  unsigned length; /* in lines */
};

struct sr_book;

struct sr_book *sr_book_new (const struct sr_bill_instance *self);
void sr_book_delete (struct sr_book *book);

/* Own lines. */
uint64_t sr_book_add (struct sr_book *book, const char *text);
void
sr_book_set_keeper (struct sr_book *book, uint64_t number, const struct sr_bill_instance *keeper);
const struct sr_bill_line *
sr_book_next_without (struct sr_book *book, const struct sr_bill_instance *keeper, uint64_t after);
uint64_t sr_book_written_up_to (const struct sr_book *book);
unsigned sr_book_length (const struct sr_book *book);
unsigned sr_book_without_copy (const struct sr_book *book);
const struct sr_bill_line *sr_book_find (const struct sr_book *book, uint64_t number);
void sr_book_batch (struct sr_book *book, GString *body, struct sr_bill_batch *batch);
void sr_book_batch_written (struct sr_book *book);
unsigned sr_book_batch_taken (struct sr_book *book, GHashTable *texts);

/* Who has had copies of own lines and may not know yet that they are written. */
void sr_book_owe (struct sr_book *book, const char *keeper, uint64_t number);
void sr_book_told (struct sr_book *book, const char *keeper, uint64_t written_up_to);
GPtrArray *sr_book_owed (const struct sr_book *book);

/* Lines kept for others. */
bool sr_book_keep (struct sr_book *book,
                   const struct sr_bill_instance *owner,
                   const struct sr_bill_line *line,
                   uint64_t written_up_to);
GPtrArray *sr_book_owners (const struct sr_book *book);
unsigned sr_book_adopt (struct sr_book *book, const struct sr_bill_instance *owner);
