/* Internals of the budgets of one instance: the entries, and the threads that work on them. */
#pragma once

#include "base/ring.h"
#include "budget/budget.h"
#include "budget/ledger.h"
#include "budget/witness.h"

#include <pthread.h>

enum
{
  SR_BUDGET_WORKERS = 4 /* threads that obtain tokens */
};

/* The total that was returned of a loan, kept until the lender has acknowledged it. */
struct sr_budget_loan_return
{
  struct sr_holder_id loan;
  int64_t returned;
};

/* One budget at this instance. The mutex of struct sr_budgets guards all fields but the name.
 * Times (_us) are monotonic. */
struct sr_budget_entry
{
  char *name;
  struct sr_ledger *ledger;
  GPtrArray *holders;             /* peers that hold tokens by the record as last read (char *) */
  bool queued;                    /* it waits in the work ring */
  bool busy;                      /* a worker, upkeep or sr_budgets_return_all processes it */
  bool fallback_running;          /* peers are asked while the worker waits for the platform */
  GArray *unacknowledged_returns; /* struct sr_budget_loan_return */
  int64_t return_retry_us;        /* no upkeep returns before then: a lender was unreachable */
  int64_t waiting;                /* tokens that blocked reservations need */
  int64_t lend_need;              /* tokens that borrowers requested and did not get yet */
  int64_t lent;                   /* tokens lent to borrowers since the process started */
  bool recall;                    /* a peer needs tokens that are out on loan: recall them */
  int64_t recall_after_us;        /* no recall at a peer's request before then */
  int64_t ahead_after_us;         /* no tokens are fetched ahead of demand before then */
  uint64_t started;               /* number of attempts to get tokens */
  uint64_t finished;              /* the last attempt that has ended */
  enum sr_budget_verdict verdict; /* of the last attempt */
  int64_t refused_until_us;       /* until then, what does not fit is refused at once */
  int64_t cannot_lend_until_us;   /* until then, loan requests are refused as exhausted */
  int64_t synced_used;            /* used tokens of the own record, as last written */
  int64_t synced_us;              /* when the own record was last written */
};

struct sr_budgets
{
  struct sr_budgets_options options;
  char *instance;
  char *data_centre;
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  GHashTable *entries;        /* name to struct sr_budget_entry */
  struct sr_witness *witness; /* ceilings that this instance acknowledged to peers */
  struct sr_ring *work;       /* entries that need tokens */
  char failed_witness[SR_BUDGET_NAME_MAX_BYTES]; /* the last one that did not respond */
  int64_t failed_witness_until_us;               /* it is not picked before then */
  int64_t no_witness_until_us; /* two failed in a row: records are opened without one */
  int64_t started_us;
  int64_t platform_failed_us; /* when reading or writing a budget last failed */
  int64_t platform_backoff_until_us;
  bool leaving; /* tokens are being returned before a stop: no lending, no fetching ahead */
  bool stopping;
  bool upkeep_started;
  bool raiser_started;
  unsigned n_workers;
  pthread_t workers[SR_BUDGET_WORKERS];
  pthread_t upkeep;
  pthread_t raiser;
};

enum sr_draw_result
{
  SR_DRAW_DONE,
  SR_DRAW_SHORT,      /* fewer tokens remain on the platform's record than needed */
  SR_DRAW_UNREACHABLE /* the platform could not be read or written */
};

enum sr_borrow_result
{
  SR_BORROW_GAINED,
  SR_BORROW_NOTHING,
  SR_BORROW_PENDING,   /* the peer is fetching tokens: request again soon */
  SR_BORROW_EXHAUSTED, /* the peer has none left and cannot get any */
  SR_BORROW_UNREACHABLE
};

/* entry.c */
struct sr_budget_entry *sr_budget_entry_get (struct sr_budgets *budgets, const char *name);
void sr_budget_entry_free (void *data);
void sr_budget_entry_enqueue (struct sr_budgets *budgets, struct sr_budget_entry *entry);
void sr_budget_entry_add_return (struct sr_budget_entry *entry,
                                 const struct sr_holder_id *loan,
                                 int64_t returned);
void sr_budget_entry_ack_return (struct sr_budget_entry *entry,
                                 const struct sr_holder_id *loan,
                                 int64_t returned);
int64_t sr_budget_entry_returned (const struct sr_budget_entry *entry,
                                  const struct sr_holder_id *loan);
void sr_budget_entry_set_holders (struct sr_budgets *budgets,
                                  struct sr_budget_entry *entry,
                                  const struct sr_record *record);

/* draw.c */
bool sr_budget_platform_in_backoff (struct sr_budgets *budgets, int64_t now_us);
enum sr_draw_result
sr_budget_draw (struct sr_budgets *budgets, struct sr_budget_entry *entry, int64_t need);
bool sr_budget_give_back (struct sr_budgets *budgets,
                          struct sr_budget_entry *entry,
                          enum sr_ledger_close_mode close_mode);

/* reclaim.c */
bool sr_budget_reclaim (struct sr_budgets *budgets,
                        const char *name,
                        struct sr_record *record,
                        GArray *closed);
void sr_budget_audit_reclaimed (struct sr_budgets *budgets, const char *name, const GArray *closed);

/* peers.c */
struct sr_member_view *sr_budget_view (struct sr_budgets *budgets);
bool sr_budget_pick_witness (struct sr_budgets *budgets, struct sr_member *witness);
enum sr_borrow_result sr_budget_borrow (struct sr_budgets *budgets,
                                        struct sr_budget_entry *entry,
                                        const char *lender,
                                        int64_t need,
                                        bool last_resort);
bool sr_budget_return_loans (struct sr_budgets *budgets,
                             struct sr_budget_entry *entry,
                             bool with_closed);
void sr_budget_recall (struct sr_budgets *budgets, struct sr_budget_entry *entry);
bool sr_budget_seal (struct sr_budgets *budgets,
                     const char *name,
                     const struct sr_record_holder *holder,
                     int64_t *ceiling);

/* raise.c */
bool sr_budget_raise (struct sr_budgets *budgets, struct sr_budget_entry *entry, int64_t need);
void sr_budget_report_closed (struct sr_budgets *budgets,
                              const char *name,
                              const struct sr_holder_id *id,
                              const char *witness,
                              uint64_t witness_incarnation);
bool sr_budget_finalize (struct sr_budgets *budgets, struct sr_budget_entry *entry);
void *sr_budget_raiser_run (void *data);

/* acquire.c */
void sr_budget_acquire (struct sr_budgets *budgets, struct sr_budget_entry *entry);
void sr_budget_borrow_fallback (struct sr_budgets *budgets,
                                struct sr_budget_entry *entry,
                                int64_t end_us);

/* worker.c */
void *sr_budget_worker_run (void *data);
void *sr_budget_upkeep_run (void *data);
