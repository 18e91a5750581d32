/* The tokens of one budget at one instance. A state machine without threads, locks or clock: the
 * caller serialises calls and passes monotonic times in microseconds. */
#pragma once

#include "budget/record.h"

struct sr_ledger_options
{
  const char *instance;
  const char *data_centre;
  uint64_t incarnation;
  int64_t cover_us;         /* demand that an allotment covers */
  int64_t loan_cover_us;    /* demand that a loan covers */
  int64_t ceiling_cover_us; /* demand that a raise of the ceiling covers */
  int64_t idle_us;          /* after this long without a reservation or loan, the budget is idle */
};

/* A loan from an own record to one incarnation of a borrower. lent and returned are totals that
 * only grow, so that lost, repeated and reordered messages are harmless. */
struct sr_loan
{
  char borrower[SR_BUDGET_NAME_MAX_BYTES];
  uint64_t incarnation;
  int64_t lent;
  int64_t returned;
  int64_t open; /* tokens that the borrower may still return, by its last report */
};

/* Tokens this instance may use: granted by the platform (own record), or lent by a peer (loan). */
struct sr_source
{
  struct sr_holder_id id; /* the own record, or the lender's */
  bool is_own;            /* own record; else a loan */
  bool open;              /* false: the rest may be used, but nothing is added or returned */
  bool on_record;         /* own: a read has shown it on the platform's record */
  bool closed_on_record;  /* own: a read has shown that it was closed */
  int64_t granted;        /* own: by the last read or write; loan: total lent */
  int64_t ceiling;        /* own: acknowledged by the witness; INT64_MAX: no witness */
  int64_t spend_cap;      /* own: what the spend limits allow now; INT64_MAX: no limit */
  int64_t used;           /* tokens consumed by settled reservations */
  int64_t reserved;
  int64_t transferred;    /* own: out on loan; loan: total returned to the lender */
  int64_t reported_total; /* loan: used plus returned tokens as last reported to the lender */
  char witness[SR_BUDGET_NAME_MAX_BYTES]; /* own: empty: none */
  uint64_t witness_incarnation;
  GArray *loans;  /* own: struct sr_loan */
  GArray *limits; /* own: struct sr_spend_limit, all that the record may hold */
  /* A write whose result is unknown. Until a read shows a later version, the smaller of the grants
   * before and after it counts. */
  bool in_doubt;
  int64_t doubt_version; /* version on which the write was conditional */
  int64_t doubt_granted; /* grant that it sets; the smallest, if several are in doubt */
  uint64_t doubt_serial; /* serial of the first write in doubt */
};

/* Whether an update that returns tokens also closes the record. */
enum sr_ledger_close_mode
{
  SR_LEDGER_KEEP_OPEN,
  SR_LEDGER_CLOSE_RETURNED, /* closed unless borrowers may still return tokens */
  SR_LEDGER_CLOSE           /* closed; tokens out on loan count as spent */
};

/* An own record that was closed. Remembered because a restore of the platform from an older copy
 * may lose the closing. */
struct sr_closed_record
{
  struct sr_holder_id id;
  int64_t spent;
};

/* The tokens that a reservation takes from one source. */
struct sr_reservation_part
{
  struct sr_source *source;
  int64_t tokens;
};

struct sr_ledger
{
  struct sr_ledger_options options;
  GPtrArray *sources;    /* struct sr_source, owned */
  struct sr_source *own; /* the own record that is drawn on, or NULL */
  GArray *closed;        /* struct sr_closed_record, in the order of generations */
  uint64_t generation;   /* of the last own record */
  uint64_t serial;       /* of the last write that set a grant of an own record */
  double rate;           /* demand in tokens per second, exponentially decaying average */
  int64_t rate_us;       /* when rate was updated */
  int64_t last_use_us;   /* last reservation or loan */
};

struct sr_ledger *sr_ledger_new (const struct sr_ledger_options *options);
void sr_ledger_delete (struct sr_ledger *ledger);
int64_t sr_source_granted (const struct sr_source *source);
int64_t sr_source_limit (const struct sr_source *source);
int64_t sr_source_held_back (const struct sr_source *source);
int64_t sr_source_rise_start_us (const struct sr_source *source);
void sr_ledger_advance_time (struct sr_ledger *ledger, int64_t now_us);
int64_t sr_source_available (const struct sr_source *source);
int64_t sr_ledger_available (const struct sr_ledger *ledger);
int64_t sr_ledger_held (const struct sr_ledger *ledger);
int64_t sr_ledger_committed (const struct sr_ledger *ledger);
GArray *sr_ledger_reserve (struct sr_ledger *ledger, int64_t tokens, int64_t now_us);
void sr_ledger_settle (struct sr_ledger *ledger, GArray *parts, int64_t used);
int64_t sr_ledger_demand (struct sr_ledger *ledger, int64_t now_us, int64_t cover_us);
int64_t sr_ledger_missing_ahead (struct sr_ledger *ledger, int64_t now_us);
bool sr_ledger_is_idle (const struct sr_ledger *ledger, int64_t now_us);

/* The own record on the platform: read, edited, and written conditionally by the caller. */
void
sr_ledger_apply_read (struct sr_ledger *ledger, const struct sr_record *record, int64_t version);
bool sr_ledger_has_retired (const struct sr_ledger *ledger);
bool sr_ledger_close_retired (struct sr_ledger *ledger,
                              struct sr_record *record,
                              enum sr_ledger_close_mode close_mode);
void sr_ledger_draw (struct sr_ledger *ledger,
                     struct sr_record *record,
                     int64_t version,
                     int64_t need,
                     int64_t want,
                     const char *witness,
                     uint64_t witness_incarnation);
bool sr_ledger_give_back (struct sr_ledger *ledger,
                          struct sr_record *record,
                          int64_t version,
                          int64_t keep,
                          enum sr_ledger_close_mode close_mode);
void sr_ledger_reset_versions (struct sr_ledger *ledger);
bool sr_ledger_needs_merge (const struct sr_ledger *ledger);
bool sr_ledger_merge (const struct sr_ledger *ledger, struct sr_record *record, int64_t version);
void sr_ledger_set_spend_limit (struct sr_ledger *ledger,
                                struct sr_record *record,
                                const struct sr_spend_limit *limit);
void sr_ledger_apply_write (struct sr_ledger *ledger, const struct sr_record *record);

/* The witness of the own record. */
int64_t sr_ledger_ceiling_wanted (struct sr_ledger *ledger, int64_t need, int64_t now_us);
void sr_ledger_apply_raise (struct sr_ledger *ledger,
                            const struct sr_holder_id *id,
                            int64_t ceiling,
                            bool sealed);

void sr_ledger_abandon (struct sr_ledger *ledger);
int64_t sr_ledger_finalize (struct sr_ledger *ledger);

int64_t sr_ledger_spent_of (const struct sr_ledger *ledger, const struct sr_holder_id *id);

/* Loans, lender's side. */
struct sr_loan_reply
{
  bool has_record; /* false: the lender has no open record, the rest is 0 */
  struct sr_holder_id lender;
  int64_t lent; /* total of the loan */
};

int64_t sr_ledger_lend (struct sr_ledger *ledger,
                        const struct sr_holder_id *lender,
                        const char *borrower,
                        uint64_t incarnation,
                        int64_t returned,
                        int64_t need,
                        int64_t want,
                        int64_t now_us,
                        struct sr_loan_reply *reply);

void sr_ledger_apply_return (struct sr_ledger *ledger,
                             const struct sr_holder_id *lender,
                             const char *borrower,
                             uint64_t incarnation,
                             int64_t returned);

/* Loans, borrower's side. */
struct sr_source *sr_ledger_loan_from (const struct sr_ledger *ledger, const char *lender);
void sr_ledger_loan_state (const struct sr_ledger *ledger,
                           const struct sr_holder_id *lender,
                           int64_t *lent,
                           int64_t *open);
void sr_ledger_set_open_loan (struct sr_ledger *ledger,
                              const struct sr_holder_id *lender,
                              const char *borrower,
                              uint64_t incarnation,
                              int64_t lent,
                              int64_t open);
int64_t sr_ledger_open_loans (const struct sr_ledger *ledger);
bool sr_ledger_loans_left (const struct sr_ledger *ledger);
int64_t sr_source_open_loans (const struct sr_source *source);
int64_t sr_ledger_apply_loan_reply (struct sr_ledger *ledger, const struct sr_loan_reply *reply);
int64_t
sr_ledger_return_loan (struct sr_ledger *ledger, const struct sr_holder_id *lender, int64_t keep);
