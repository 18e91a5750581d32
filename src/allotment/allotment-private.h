/* State and functions that the source files of the allotment manager share. */
#pragma once

#include "allotment/allotment.h"
#include "allotment/demand.h"

/* The store call for a team's record that is under way. */
enum allotment_store_step
{
  STEP_IDLE,
  STEP_READING,
  STEP_WRITING
};

enum
{
  ALLOTMENT_MIN_DRAW_DIVISOR_ = 200 /* a draw or return of less than 1/200 of the prepaid total is
                                       not worth a write unless requests wait for it */
};

/* Whether the store may still provide tokens for the reservations and loan requests that wait. */
enum allotment_supply
{
  SUPPLY_MAY_COME,
  SUPPLY_OUT_OF_REACH,
  SUPPLY_EXHAUSTED /* nothing remains on the record */
};

struct allotment_peer
{
  char *name;
  uint64_t incarnation;     /* the highest one known; 0: none */
  int64_t started_us;       /* of that incarnation, at the latest: earlier ones had ended by then */
  int64_t heard_us;         /* when it last sent anything, or announced itself; 0: never */
  int64_t suspect_until_us; /* not used as a lender or primary until then */
  unsigned failures;        /* unanswered loan requests in a row */
};

/* A process of a peer that has ended. */
struct allotment_ended
{
  char *name;
  uint64_t incarnation; /* 0: not known */
  int64_t ended_us;     /* at the latest */
  bool is_unmerged;     /* it ended after a restore of the store, and had not reported its merge */
};

/* A reservation that waits for tokens. */
struct allotment_waiter
{
  int64_t tokens;
  int64_t since_us;
  allotment_callback done;
  void *data;
};

/* A loan request of a peer that waits for a draw, see struct allotment_loan_request. */
struct allotment_pending_loan_request
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
  int64_t received;
  int64_t outstanding;
  int64_t prepaid_tokens;
  int64_t missing;  /* tokens to draw before it can be met */
  bool is_notified; /* a reply with is_pending has been sent */
};

struct allotment_team
{
  char *name;
  int64_t prepaid_tokens;
  struct sr_ledger *ledger;
  struct allotment_demand demand;
  GQueue waiters;       /* struct allotment_waiter */
  GQueue loan_requests; /* struct allotment_pending_loan_request */
  bool is_processing;   /* allotment_process_team_ is running */
  bool process_again;   /* and was called again meanwhile, by a callback */
  /* The store. */
  enum allotment_store_step step;
  int64_t step_started_us;  /* when it began */
  uint64_t call;            /* number of the step's call */
  bool merge_is_due;        /* after a restore: the record lacks tokens that are held here */
  uint64_t check_call;      /* number of the read that verifies an overdue write; 0: none yet */
  struct sr_record *record; /* as last read or written; NULL: not known */
  int64_t seen_us;          /* when the call that last showed the record began; 0: never */
  int64_t seen_before_us;   /* the same before the last restore */
  struct sr_record *known;  /* before a restore or a write with an unknown result; may be NULL */
  int64_t revision;         /* of record; 0: there is none yet */
  int64_t record_us;        /* when record was read or written; 0: outdated */
  struct sr_record *edited; /* being written */
  int64_t store_retry_us;   /* no store call before then */
  bool store_is_down;       /* the last store call for this record failed */
  int64_t last_draw_us;     /* 0: never */
  /* The spend limit of the own record. */
  int64_t limit_written_us; /* 0: never */
  bool limit_is_set;
  int64_t limit_per_s;
  int64_t limit_committed; /* tokens reserved or spent when it was written */
  /* The loan request that was sent last. */
  bool is_borrowing; /* its reply is pending */
  uint32_t request_number;
  unsigned request_attempts; /* times it was sent; back to 1 when the lender says it is waiting */
  int64_t request_sent_us;
  char requested_peer[SR_BUDGET_NAME_MAX_BYTES];
  struct sr_holder_id requested_lender;
  int64_t requested_returned;
  int64_t requested_need;
  /* See struct allotment_budget_status. */
  int64_t left_at_most;
  int64_t left_reported_us; /* when it was found; 0: never */
  char left_reported_by[SR_BUDGET_NAME_MAX_BYTES];
  int64_t lender_limit_opens_us; /* as the last lender reported; 0: unknown */
  GHashTable *refused_until;     /* peer that could not lend: passed over until (int64_t) */
};

struct allotment_manager
{
  struct allotment_manager_options options;
  GHashTable *teams;      /* name: struct allotment_team */
  GPtrArray *peers;       /* struct allotment_peer, not this instance */
  int64_t peers_since_us; /* when set_peers was first called; 0: not yet */
  /* No store calls before then; 0: it is reachable, INT64_MAX: until it is reported so. */
  int64_t store_out_until_us;
  unsigned store_failures;   /* in a row, calls of all teams */
  int64_t store_answered_us; /* last successful call of any team; 0: never */
  uint64_t last_call;        /* number of the last call */
  int64_t restored_us;       /* when the store was last restored; 0: never */
  GHashTable *unmerged; /* names of peers that may hold tokens which the restored records lack */
  GHashTable *incarnations; /* name of a peer: its highest incarnation known (uint64_t) */
  GPtrArray *ended;         /* struct allotment_ended, of the last ENDED_MEMORY_US */
  bool draining;            /* peers become the primaries of all teams */
  bool stopping;            /* nothing is lent or drawn any more */
};

/* After a restore of the store, see merge.c. */
void allotment_forget_record_ (struct allotment_team *team);
bool allotment_merge_record_ (const struct allotment_manager *manager,
                              struct allotment_team *team,
                              struct sr_record *record,
                              int64_t revision,
                              int64_t now_us);
void allotment_ended_free_ (void *data);
void allotment_note_ended_ (struct allotment_manager *manager,
                            const char *name,
                            uint64_t incarnation,
                            int64_t ended_us,
                            int64_t now_us);
void allotment_prune_ended_ (struct allotment_manager *manager, int64_t now_us);
bool allotment_add_missing_ (const struct allotment_manager *manager,
                             struct allotment_team *team,
                             struct sr_record *record,
                             int64_t now_us);
bool allotment_ended_holder_is_unread_ (const struct allotment_manager *manager,
                                        const struct allotment_team *team,
                                        int64_t now_us);
void allotment_set_unmerged_ (struct allotment_manager *manager, const GPtrArray *names);
bool allotment_peers_may_be_merging_ (const struct allotment_manager *manager, int64_t now_us);

/* How much is held, and spend limits, see holding.c. */
int64_t allotment_primary_target_ (const struct allotment_manager *manager,
                                   struct allotment_team *team,
                                   int64_t now_us);
int64_t allotment_substitute_target_ (const struct allotment_manager *manager,
                                      struct allotment_team *team,
                                      int64_t now_us);
int64_t allotment_limit_opens_us_ (const struct allotment_team *team, int64_t now_us);
int64_t allotment_held_back_ (const struct allotment_team *team);
void allotment_set_spend_limit_ (struct allotment_manager *manager,
                                 struct allotment_team *team,
                                 struct sr_record *record,
                                 int64_t need,
                                 int64_t now_us);
bool allotment_spend_limit_is_due_ (struct allotment_manager *manager,
                                    struct allotment_team *team,
                                    int64_t now_us);

struct allotment_peer *allotment_primary_ (struct allotment_manager *manager,
                                           const struct allotment_team *team,
                                           int64_t now_us);
void allotment_process_team_ (struct allotment_manager *manager,
                              struct allotment_team *team,
                              int64_t now_us);
void allotment_read_after_end_ (struct allotment_manager *manager,
                                struct allotment_team *team,
                                int64_t now_us);
void allotment_return_idle_ (struct allotment_manager *manager,
                             struct allotment_team *team,
                             int64_t now_us);
int64_t allotment_left_upper_bound_ (const struct allotment_manager *manager,
                                     const struct allotment_team *team,
                                     int64_t now_us);
void allotment_store_failed_ (struct allotment_manager *manager,
                              struct allotment_team *team,
                              enum store_status status,
                              int64_t now_us);
struct allotment_peer *allotment_peer_find_ (const struct allotment_manager *manager,
                                             const char *name);
void allotment_send_loan_request_ (struct allotment_manager *manager, struct allotment_team *team);
void allotment_serve_waiters_ (struct allotment_team *team, int64_t now_us);
void allotment_serve_loan_requests_ (struct allotment_manager *manager,
                                     struct allotment_team *team,
                                     int64_t now_us);
void allotment_refuse_waiters_ (struct allotment_team *team, int64_t left_at_most, int64_t now_us);
void allotment_refuse_exhausted_ (struct allotment_team *team,
                                  const char *reported_by,
                                  int64_t left_at_most,
                                  int64_t now_us);
void allotment_refuse_overdue_ (struct allotment_manager *manager,
                                struct allotment_team *team,
                                int64_t now_us);
void allotment_reply_to_loan_requests_ (struct allotment_manager *manager,
                                        struct allotment_team *team,
                                        enum allotment_supply supply,
                                        int64_t now_us);
int64_t allotment_needed_by_waiters_ (const struct allotment_team *team);
int64_t allotment_smallest_need_ (const struct allotment_team *team);
int64_t allotment_needed_by_loan_requests_ (struct allotment_team *team);
const struct allotment_link_vtable *allotment_link_ (const struct allotment_manager *manager);
