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

/* Where a second copy of a line is. An empty instance: nowhere yet. */
struct sr_bill_keeper
{
  char instance[SR_BILL_NAME_MAX_BYTES];
  uint64_t incarnation;
};

struct sr_bill_line
{
  uint64_t number; /* of the owner's lines, from 1 */
  char *text;      /* one JSON object */
  struct sr_bill_keeper keeper;
};

struct sr_book;

struct sr_book *sr_book_new (void);
void sr_book_delete (struct sr_book *book);

/* Own lines. */
uint64_t sr_book_add (struct sr_book *book, const char *text);
void
sr_book_set_keeper (struct sr_book *book, uint64_t number, const struct sr_bill_keeper *keeper);
const struct sr_bill_line *
sr_book_next_without (struct sr_book *book, const struct sr_bill_keeper *keeper, uint64_t after);
uint64_t sr_book_written_up_to (const struct sr_book *book);
unsigned sr_book_length (const struct sr_book *book);
unsigned sr_book_without_copy (const struct sr_book *book);
unsigned sr_book_batch (struct sr_book *book, GString *body, uint64_t *batch_number);
void sr_book_batch_written (struct sr_book *book);

/* Lines kept for others. */
bool sr_book_keep (struct sr_book *book,
                   const char *owner,
                   uint64_t incarnation,
                   uint64_t number,
                   const char *text,
                   uint64_t written_up_to);
GPtrArray *sr_book_owners (const struct sr_book *book);
unsigned sr_book_adopt (struct sr_book *book, const struct sr_bill_keeper *owner);
