/* What the parts of a book share: its teams, what waits in them, and the steps between them. */
#pragma once

#include "allotment/allotment.h"
#include "allotment/demand.h"

enum allotment_store_step
{
  STEP_IDLE,
  STEP_READING,
  STEP_WRITING
};

enum
{
  ALLOTMENT_MIN_DRAW_DIVISOR_
  = 200 /* of the budget: less is not worth a write unless it is needed now */
};

/* What the store may still give to who waits here. */
enum allotment_supply
{
  SUPPLY_MAY_COME,
  SUPPLY_OUT_OF_REACH,
  SUPPLY_EMPTY /* nothing is left on the record */
};

struct allotment_peer
{
  char *name;
  uint64_t incarnation; /* the highest one known; 0: none */
  int64_t started_us;   /* when it became known: earlier starts had ended by then */
  int64_t suspect_until_us;
  unsigned failures; /* in a row */
};

struct allotment_waiter
{
  int64_t tokens;
  int64_t since_us;
  allotment_callback done;
  void *data;
};

/* An ask of another instance that waits for a draw. */
struct allotment_pending_request
{
  uint64_t handle;
  int64_t since_us;
  uint32_t number;
  char borrower[SR_BUDGET_NAME_MAX_BYTES];
  uint64_t borrower_incarnation;
  struct sr_holder_id lender;
  int64_t returned;
  int64_t need;
  int64_t want;
  int64_t arrived;
  int64_t open;
  int64_t prepaid_tokens;
  int64_t missing;  /* what has to be drawn before it can be met */
  bool is_notified; /* the borrower knows that it waits */
};

struct allotment_team
{
  char *name;
  int64_t prepaid_tokens;
  struct sr_ledger *ledger;
  struct allotment_demand demand;
  GQueue waiters;       /* struct allotment_waiter */
  GQueue loan_requests; /* struct allotment_pending_ask */
  bool is_processing;
  bool process_again; /* something has changed since the pump began */
  /* The store. */
  enum allotment_store_step step;
  int64_t step_us;          /* when it began */
  uint64_t call;            /* of the step */
  bool merge_is_due;        /* the record in the store lacks what is held here */
  uint64_t check_call;      /* a read beside a write that is late; 0: none for this write yet */
  struct sr_record *record; /* as last read or written; NULL: not known */
  int64_t revision;         /* of record; 0: there is none yet */
  int64_t record_us;
  struct sr_record *edited; /* being written */
  int64_t retry_us;
  bool store_is_down;
  int64_t last_draw_us; /* when this instance last drew; 0: never */
  /* The spend limit of the own record. */
  int64_t limit_written_us; /* when it was written last; 0: never */
  bool is_limited;
  int64_t limit_per_s;
  int64_t limit_committed; /* tokens in use when it was written */
  /* Borrowing. */
  bool is_borrowing;
  uint32_t number;
  unsigned request_attempts;
  int64_t request_sent_us;
  char requested_peer[SR_BUDGET_NAME_MAX_BYTES];
  struct sr_holder_id requested_lender;
  int64_t requested_returned;
  int64_t requested_need;
  /* What was last heard to be left of the whole budget at most. */
  int64_t left_at_most;
  int64_t left_us; /* 0: never */
  char left_told_by[SR_BUDGET_NAME_MAX_BYTES];
  int64_t opens_us; /* when the lender that was asked last has more without the store; 0: never */
  GHashTable *refused_until; /* name of an instance that could get nothing: until when (int64_t) */
};

struct allotment_book
{
  struct allotment_book_options options;
  GHashTable *teams;      /* name: struct allotment_team */
  GPtrArray *peers;       /* struct allotment_peer, not this instance */
  int64_t peers_since_us; /* when they were first known; 0: not yet */
  /* It could not be reached by any team's call; 0: it answers, INT64_MAX: until it returns. */
  int64_t store_out_until_us;
  unsigned store_failures;   /* in a row, of all teams */
  int64_t store_answered_us; /* any team's call; 0: never */
  uint64_t calls;            /* made so far */
  int64_t restored_us;       /* when the store last came back from a copy; 0: never */
  GHashTable *unmerged;      /* names of instances that may hold what it has lost since */
  bool draining;             /* others are the homes from now on */
  bool stopping;
};

/* After the store's return, see merge.c. */
void allotment_set_unmerged_ (struct allotment_book *manager, const GPtrArray *names);
bool allotment_peers_may_be_merging_ (const struct allotment_book *manager, int64_t now_us);

/* How much is held and how fast it is spent, see holding.c. */
int64_t allotment_primary_target_ (const struct allotment_book *manager,
                                   struct allotment_team *team,
                                   int64_t now_us);
int64_t allotment_substitute_target_ (const struct allotment_book *manager,
                                      struct allotment_team *team,
                                      int64_t now_us);
int64_t allotment_limit_opens_us_ (const struct allotment_team *team, int64_t now_us);
int64_t allotment_held_back_ (const struct allotment_team *team);
void allotment_set_spend_limit_ (struct allotment_book *manager,
                                 struct allotment_team *team,
                                 struct sr_record *record,
                                 int64_t need,
                                 int64_t now_us);
bool allotment_spend_limit_is_due_ (struct allotment_book *manager,
                                    struct allotment_team *team,
                                    int64_t now_us);

struct allotment_peer *allotment_primary_ (struct allotment_book *manager,
                                           const struct allotment_team *team,
                                           int64_t now_us);
void allotment_process_team_ (struct allotment_book *manager,
                              struct allotment_team *team,
                              int64_t now_us);
void allotment_return_idle_ (struct allotment_book *manager,
                             struct allotment_team *team,
                             int64_t now_us);
int64_t allotment_left_upper_bound_ (const struct allotment_book *manager,
                                     const struct allotment_team *team,
                                     int64_t now_us);
void allotment_store_failed_ (struct allotment_book *manager,
                              struct allotment_team *team,
                              enum store_status status,
                              int64_t now_us);
struct allotment_peer *allotment_peer_find_ (const struct allotment_book *manager,
                                             const char *name);
void allotment_send_loan_request_ (struct allotment_book *manager, struct allotment_team *team);
void allotment_serve_waiters_ (struct allotment_team *team, int64_t now_us);
void allotment_serve_loan_requests_ (struct allotment_book *manager,
                                     struct allotment_team *team,
                                     int64_t now_us);
void allotment_refuse_waiters_ (struct allotment_team *team, int64_t left_at_most, int64_t now_us);
void allotment_refuse_exhausted_ (struct allotment_team *team,
                                  const char *reported_by,
                                  int64_t left_at_most,
                                  int64_t now_us);
void allotment_refuse_overdue_ (struct allotment_book *manager,
                                struct allotment_team *team,
                                int64_t now_us);
void allotment_reply_to_loan_requests_ (struct allotment_book *manager,
                                        struct allotment_team *team,
                                        enum allotment_supply supply,
                                        int64_t now_us);
int64_t allotment_needed_by_waiters_ (const struct allotment_team *team);
int64_t allotment_smallest_need_ (const struct allotment_team *team);
int64_t allotment_needed_by_loan_requests_ (struct allotment_team *team);
const struct allotment_link_vtable *allotment_link_ (const struct allotment_book *manager);
