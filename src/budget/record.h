/* The record of one budget on the platform: top-ups, settled tokens, and the holders of grants. */
#pragma once

#include "budget/spend-limit.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define SR_BUDGET_KIND "budget"

enum
{
  SR_BUDGET_NAME_MAX_BYTES = 64,
  SR_TOP_UP_ID_MAX_BYTES = 64
};

/* Identifies a holder's record; never reused. Each start of an instance's process is a new
 * incarnation, and each further record that it opens a new generation. */
struct sr_holder_id
{
  char instance[SR_BUDGET_NAME_MAX_BYTES];
  uint64_t incarnation;
  uint64_t generation;
};

/* An open holder. It may use up to granted tokens in total, and no more than the ceiling that its
 * witness has acknowledged. */
struct sr_record_holder
{
  struct sr_holder_id id;
  char data_centre[SR_BUDGET_NAME_MAX_BYTES];
  int64_t granted;
  int64_t spent;                          /* by the holder's last write; at most granted */
  uint64_t serial;                        /* of the holder's write that set granted */
  char witness[SR_BUDGET_NAME_MAX_BYTES]; /* empty: none, no ceiling applies */
  uint64_t witness_incarnation;
  struct sr_spend_limit limit; /* kept by the holder from the write on */
};

/* What an instance has closed. Entries of the same instance are compared by both fields, so that
 * records of different ages can be merged. */
struct sr_record_closed
{
  struct sr_holder_id id; /* the last closed holder of the instance */
  int64_t spent;          /* by all closed holders of the instance; part of settled */
};

/* An instance that ended around a restore of the platform, or was out of reach, so that nobody
 * knows what it had been granted since the copy. */
struct sr_record_missing
{
  char instance[SR_BUDGET_NAME_MAX_BYTES];
  uint64_t incarnation;
};

struct sr_record_top_up
{
  GString *id;
  GString *who;
  int64_t tokens;
  int64_t time_ms; /* when it was applied, Unix time */
};

struct sr_record
{
  int64_t prepaid;     /* sum of the top-ups and corrections */
  int64_t settled;     /* spent by closed holders */
  int64_t written_off; /* part of settled that was assumed, not reported, as spent */
  GPtrArray *top_ups;  /* struct sr_record_top_up */
  GArray *holders;     /* struct sr_record_holder, open ones */
  GArray *closed;      /* struct sr_record_closed, one for each instance */
  GArray *missing;     /* struct sr_record_missing */
  int64_t frozen;      /* if any are missing: not granted, as they may have been granted it; -1: not
                          determined yet, nothing is granted */
};

enum sr_top_up_verdict
{
  SR_TOP_UP_APPLIED,
  SR_TOP_UP_REPEATED, /* this id was applied before with the same number of tokens */
  SR_TOP_UP_CONFLICT, /* this id was applied before with another number of tokens */
  SR_TOP_UP_OVERFLOW  /* the sum would exceed 2^60 or fall below zero */
};

bool sr_holder_id_equal (const struct sr_holder_id *left, const struct sr_holder_id *right);
struct sr_record *sr_record_new (void);
struct sr_record *sr_record_copy (const struct sr_record *record);
void sr_record_delete (struct sr_record *record);
struct sr_record *sr_record_parse (const char *text, size_t length);
struct sr_record *sr_record_from_json (json_t *root);
void sr_record_print (const struct sr_record *record, GString *out);
json_t *sr_record_to_json (const struct sr_record *record);
int64_t sr_record_outstanding (const struct sr_record *record);
int64_t sr_record_remaining (const struct sr_record *record);
struct sr_record_holder *sr_record_find (const struct sr_record *record,
                                         const struct sr_holder_id *id);
struct sr_record_holder *
sr_record_open (struct sr_record *record, const struct sr_holder_id *id, const char *data_centre);
int64_t sr_record_grant (struct sr_record *record,
                         struct sr_record_holder *holder,
                         int64_t need,
                         int64_t want);
void sr_record_close (struct sr_record *record, const struct sr_holder_id *id, int64_t spent);
bool sr_record_is_closed (const struct sr_record *record, const struct sr_holder_id *id);
bool
sr_record_merge_closed (struct sr_record *record, const struct sr_holder_id *id, int64_t spent);
bool sr_record_merge (struct sr_record *record,
                      const struct sr_record *known,
                      const char *instance,
                      uint64_t incarnation);
bool sr_record_add_missing (struct sr_record *record, const char *instance, uint64_t incarnation);
bool
sr_record_remove_missing (struct sr_record *record, const char *instance, uint64_t incarnation);
bool sr_record_freeze (struct sr_record *record);
void sr_record_clear_limits (struct sr_record *record);
int64_t sr_record_max_spent (const struct sr_record_holder *holder, int64_t end_ms);
void sr_record_write_off (struct sr_record *record, const struct sr_holder_id *id, int64_t end_ms);
enum sr_top_up_verdict sr_record_top_up (
    struct sr_record *record, const char *id, int64_t tokens, const char *who, int64_t time_ms);
