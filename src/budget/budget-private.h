/* Shared by the files of this slice: the threads around the ledgers. */
#pragma once

#include "base/ring.h"
#include "budget/budget.h"
#include "budget/ledger.h"

#include <pthread.h>

enum
{
  SR_BUDGET_WORKERS = 4
};

/* One budget at this instance. All fields but the name are under the mutex of the budgets. */
struct sr_budget_entry
{
  char *name;
  struct sr_ledger *ledger;
  bool queued;      /* in the ring of the workers */
  bool busy;        /* a worker is at it */
  int64_t waiting;  /* tokens that reservations wait for */
  uint64_t started; /* attempts to get tokens */
  uint64_t finished;
  enum sr_budget_verdict verdict; /* of the last attempt */
  int64_t refused_until_us;       /* an exhausted budget is not asked for again until then */
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
  GHashTable *entries;  /* name to struct sr_budget_entry */
  struct sr_ring *work; /* entries that want tokens */
  int64_t platform_out_until_us;
  bool stopping;
  bool started;
  unsigned n_workers;
  pthread_t workers[SR_BUDGET_WORKERS];
  pthread_t upkeep;
};

enum sr_draw_result
{
  SR_DRAW_DONE,
  SR_DRAW_SHORT, /* the platform's record holds fewer tokens than needed */
  SR_DRAW_OUT    /* the platform could not be asked */
};

/* entry.c */
struct sr_budget_entry *
sr_budget_entry_get (struct sr_budgets *budgets, const char *name);
void
sr_budget_entry_free (void *data);
void
sr_budget_entry_enqueue (struct sr_budgets *budgets, struct sr_budget_entry *entry);

/* draw.c */
bool
sr_budget_platform_is_out (struct sr_budgets *budgets, int64_t now_us);
enum sr_draw_result
sr_budget_draw (struct sr_budgets *budgets, struct sr_budget_entry *entry, int64_t need);
bool
sr_budget_give_back (struct sr_budgets *budgets, struct sr_budget_entry *entry, bool close);

/* worker.c */
void *
sr_budget_worker_run (void *data);
void *
sr_budget_upkeep_run (void *data);
