/* Prepaid tokens at an instance on an event loop: the ledgers of all teams, fed from the store and
 * from other instances. Each team has a home, an instance that draws allotments from the store; the
 * others borrow from it, so that a cut from the store stops nobody as long as instances reach each
 * other, and large requests find their tokens in one place. Which instance is the home is a hint:
 * whoever can't reach it draws for itself, and every draw is conditional on the record's revision.
 * Answers cuts of ten seconds and teams whose demand doubles. No thread, socket or clock: the link
 * carries out what is asked of the store and of peers, and tells how it ended. */
#pragma once

#include "budget/ledger.h"
#include "store/store.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum allotment_verdict
{
  ALLOTMENT_GRANTED,
  ALLOTMENT_EXHAUSTED, /* what can be left of the budget does not hold the request */
  ALLOTMENT_LATER      /* tokens are left, but out of reach now */
};

const char *allotment_verdict_to_string (enum allotment_verdict verdict);

/* Asks for a loan. need and want count from the beginning of the lender's record, as returned does.
 */
struct allotment_ask
{
  const char *team;
  uint32_t number; /* of this ask, to tell its answer */
  const char *borrower;
  uint64_t borrower_incarnation;
  struct sr_holder_id lender; /* empty instance: not known */
  int64_t returned;
  int64_t need;
  int64_t want;
  int64_t arrived;        /* of the loan, here */
  int64_t open;           /* of that, neither used nor returned */
  int64_t prepaid_tokens; /* of the team, in the newest configuration known here */
};

struct allotment_answer
{
  const char *team;
  uint32_t number;
  uint64_t borrower_incarnation; /* the start of the borrower that was lent to */
  struct sr_loan_answer loan;
  bool is_dry;          /* the lender can't get more now */
  bool is_empty;        /* nobody can: the record of the budget has nothing left */
  int64_t left_at_most; /* then, of the whole budget */
  bool is_leaving;      /* the lender stops: ask another one from now on */
  int64_t opens_ms;     /* until the lender has more without the store; 0: it has none */
  bool is_pending;      /* the lender waits for the store: it answers once more */
};

/* How the book reaches the store and other instances. Every implementation begins with a pointer to
 * this table. */
struct allotment_link_vtable
{
  /* Ends with allotment_book_read_done, which is given CALL. */
  void (*read) (void *link, const char *team, uint64_t call);
  /* CONTENT becomes the link's. Ends with allotment_book_write_done, which is given CALL. */
  void (*write) (
      void *link, const char *team, uint64_t call, json_t *content, int64_t expected_revision);
  void (*ask) (void *link, const char *peer, const struct allotment_ask *request);
  /* Answers whoever sent the ask with HANDLE. */
  void (*answer) (void *link, uint64_t handle, const struct allotment_answer *reply);
  /* Sets *EARLIEST_MS and *LATEST_MS, between which the real time is now. Returns false when too
   * few instances have told theirs to be sure. */
  bool (*real_time) (void *link, int64_t *earliest_ms, int64_t *latest_ms);
};

/* Called once for each reservation: PARTS are given back by allotment_settle, and NULL unless
 * granted. */
typedef void (*allotment_callback) (enum allotment_verdict verdict, GArray *parts, void *data);

struct allotment_book;

struct allotment_book_options
{
  void *link;
  const char *instance;
  const char *data_centre;
  uint64_t incarnation; /* higher with each start of this instance */
  int64_t started_us;   /* its process; earlier ones had ended by then */
  int64_t restored_us;  /* when the store may last have come back from a copy; 0: it never did */
};

struct allotment_book *allotment_book_new (const struct allotment_book_options *options);
void allotment_book_delete (struct allotment_book *manager);
void allotment_book_set_peers (struct allotment_book *manager, GPtrArray *names, int64_t now_us);
void allotment_book_set_team (struct allotment_book *manager,
                              const char *team,
                              int64_t prepaid_tokens,
                              int64_t now_us);
void allotment_reserve (struct allotment_book *manager,
                        const char *team,
                        int64_t tokens,
                        allotment_callback done,
                        void *data,
                        int64_t now_us);
bool allotment_cancel (struct allotment_book *manager, const char *team, void *data);
void allotment_settle (
    struct allotment_book *manager, const char *team, GArray *parts, int64_t used, int64_t now_us);
void allotment_book_read_done (struct allotment_book *manager,
                               const char *team,
                               uint64_t call,
                               enum store_status status,
                               json_t *content,
                               int64_t revision,
                               int64_t now_us);
void allotment_book_write_done (struct allotment_book *manager,
                                const char *team,
                                uint64_t call,
                                enum store_status status,
                                json_t *content,
                                int64_t revision,
                                int64_t now_us);
void allotment_book_asked (struct allotment_book *manager,
                           uint64_t handle,
                           const struct allotment_ask *request,
                           int64_t now_us);
void allotment_book_answered (struct allotment_book *manager,
                              const char *peer,
                              const struct allotment_answer *reply,
                              int64_t now_us);
int64_t allotment_book_tick (struct allotment_book *manager, int64_t now_us);
void allotment_book_peer_started (struct allotment_book *manager,
                                  const char *name,
                                  uint64_t incarnation,
                                  int64_t started_us);
void allotment_book_store_lost (struct allotment_book *manager);
void allotment_book_store_returned (struct allotment_book *manager, int64_t now_us);
void allotment_book_store_restored (struct allotment_book *manager,
                                    GPtrArray *instances,
                                    int64_t now_us);
void allotment_book_peer_merged (struct allotment_book *manager, const char *name, int64_t now_us);
bool allotment_book_is_merged (const struct allotment_book *manager);
void allotment_book_leave (struct allotment_book *manager, int64_t now_us);
void allotment_book_stop (struct allotment_book *manager, int64_t now_us);
bool allotment_book_is_empty (const struct allotment_book *manager);
int64_t allotment_book_available (const struct allotment_book *manager, const char *team);

/* What an instance knows of one budget, for those who look for the reason of a refusal. */
struct allotment_known
{
  int64_t prepaid_tokens;
  int64_t available;     /* here, without asking anybody */
  int64_t record_left;   /* on the record as last seen; -1: not known, or topped up since */
  int64_t record_age_ms; /* since then; -1 as above */
  bool store_is_down;    /* the last call for the record failed */
  int64_t opens_ms;      /* until more is there without the store; 0: that is not known */
  /* What was last heard to be left of the whole budget at most. */
  int64_t left_at_most; /* -1: nothing was */
  int64_t left_age_ms;  /* -1: nothing was */
  const char *left_told_by;
};

void allotment_book_known (const struct allotment_book *manager,
                           const char *team,
                           int64_t now_us,
                           struct allotment_known *known);
