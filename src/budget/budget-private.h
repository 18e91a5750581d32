/* Shared by the files of this slice: the threads around the ledgers. */
#pragma once

#include "base/ring.h"
#include "budget/budget.h"
#include "budget/ledger.h"
#include "budget/witness.h"

#include <pthread.h>

enum
{
  SR_BUDGET_WORKERS = 4
};

/* Tokens of a loan that were returned in all, as far as the lender may not have heard it. */
struct sr_budget_loan_return
{
  struct sr_holder_id loan;
  int64_t returned;
};

/* One budget at this instance. All fields but the name are under the mutex of the budgets. */
struct sr_budget_entry
{
  char *name;
  struct sr_ledger *ledger;
  GPtrArray *holders;             /* other instances on the record as last read (char *) */
  bool queued;                    /* in the ring of the workers */
  bool busy;                      /* a worker is at it */
  bool fallback_running;          /* others are asked beside a worker that hangs */
  GArray *unacknowledged_returns; /* struct sr_budget_loan_return */
  int64_t return_retry_us;        /* a lender could not be told: not again until then */
  int64_t waiting;                /* tokens that reservations wait for */
  int64_t lend_need;              /* tokens that borrowers asked for and did not get */
  int64_t lent;                   /* to borrowers, since the start */
  bool recall;                    /* a borrower's peer needs what is out on loan */
  int64_t recall_after_us;
  int64_t ahead_after_us; /* no tokens are fetched ahead of demand until then */
  uint64_t started;       /* attempts to get tokens */
  uint64_t finished;
  enum sr_budget_verdict verdict; /* of the last attempt */
  int64_t refused_until_us;       /* an exhausted budget is not asked for again until then */
  int64_t cannot_lend_until_us;   /* borrowers are told so, without another attempt */
  int64_t synced_used;            /* of the own record, as last written to the platform */
  int64_t synced_us;
};

struct sr_budgets
{
  struct sr_budgets_options options;
  char *instance;
  char *data_centre;
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  GHashTable *entries;                           /* name to struct sr_budget_entry */
  struct sr_witness *witness;                    /* what this instance acknowledged to others */
  struct sr_ring *work;                          /* entries that want tokens */
  char failed_witness[SR_BUDGET_NAME_MAX_BYTES]; /* did not answer lately */
  int64_t failed_witness_until_us;
  int64_t no_witness_until_us; /* none answers: records are opened without one */
  int64_t started_us;
  int64_t platform_failed_us; /* when a call for a budget last failed */
  int64_t platform_backoff_until_us;
  bool leaving; /* everything is being given back: nothing is lent or fetched ahead */
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
  SR_DRAW_SHORT,      /* the platform's record holds fewer tokens than needed */
  SR_DRAW_UNREACHABLE /* the platform could not be asked */
};

enum sr_borrow_result
{
  SR_BORROW_GAINED,
  SR_BORROW_NOTHING,
  SR_BORROW_PENDING,   /* the peer is fetching tokens */
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
                          enum sr_ledger_ending ending);

/* recover.c */
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
