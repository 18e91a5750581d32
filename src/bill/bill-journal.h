/* The bill journal: the bill lines that this instance has not yet written to the platform, and
 * the copies of lines that it keeps for its peers. A state machine without thread, lock or
 * clock; the caller serializes access. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  SR_BILL_NAME_MAX_BYTES = 64,
  SR_BILL_JOURNAL_LINES_MAX = 60000, /* own lines; copies for one owner have the same limit */
  SR_BILL_BATCH_LINES_MAX = 1000
};

/* One incarnation of an instance. An empty name means none. */
struct sr_bill_instance
{
  char name[SR_BILL_NAME_MAX_BYTES];
  uint64_t incarnation;
};

struct sr_bill_line
{
  uint64_t number;                /* sequence number among the owner's lines, from 1 */
  char *text;                     /* one JSON object */
  struct sr_bill_instance keeper; /* peer that holds the second copy */
  struct sr_bill_instance origin; /* instance that ran the billed request */
  uint64_t first_batch; /* no batch of the origin with a lower number contains this line */
};

/* A batch of lines is written to the platform as one object, which is never overwritten. */
struct sr_bill_batch
{
  struct sr_bill_instance origin;
  uint64_t number; /* of the origin's batches, from 1 */
  unsigned length; /* in lines */
};

struct sr_bill_journal;

struct sr_bill_journal *sr_bill_journal_new (const struct sr_bill_instance *self);
void sr_bill_journal_delete (struct sr_bill_journal *journal);

/* Own lines, and adopted lines of dead instances. */
uint64_t sr_bill_journal_append (struct sr_bill_journal *journal, const char *text);
void sr_bill_journal_set_keeper (struct sr_bill_journal *journal,
                                 uint64_t number,
                                 const struct sr_bill_instance *keeper);
const struct sr_bill_line *sr_bill_journal_next_not_at (struct sr_bill_journal *journal,
                                                        const struct sr_bill_instance *keeper,
                                                        uint64_t after);
uint64_t sr_bill_journal_written_up_to (const struct sr_bill_journal *journal);
unsigned sr_bill_journal_length (const struct sr_bill_journal *journal);
unsigned sr_bill_journal_uncopied_lines (const struct sr_bill_journal *journal);
const struct sr_bill_line *sr_bill_journal_find (const struct sr_bill_journal *journal,
                                                 uint64_t number);
void sr_bill_journal_next_batch (struct sr_bill_journal *journal,
                                 GString *body,
                                 struct sr_bill_batch *batch);
void sr_bill_journal_batch_written (struct sr_bill_journal *journal);
unsigned sr_bill_journal_batch_conflict (struct sr_bill_journal *journal, GHashTable *texts);

/* Keepers that were sent copies of own lines and may not have been notified that these are
 * written. */
void
sr_bill_journal_note_sent (struct sr_bill_journal *journal, const char *keeper, uint64_t number);
void sr_bill_journal_note_notified (struct sr_bill_journal *journal,
                                    const char *keeper,
                                    uint64_t written_up_to);
GPtrArray *sr_bill_journal_keepers_to_notify (const struct sr_bill_journal *journal);

/* Copies kept for peers. */
bool sr_bill_journal_store_copy (struct sr_bill_journal *journal,
                                 const struct sr_bill_instance *owner,
                                 const struct sr_bill_line *line,
                                 uint64_t written_up_to);
GPtrArray *sr_bill_journal_copy_owners (const struct sr_bill_journal *journal);
unsigned sr_bill_journal_adopt (struct sr_bill_journal *journal,
                                const struct sr_bill_instance *owner);
