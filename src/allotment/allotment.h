/* The allotment manager of an instance: reserves prepaid tokens for requests of all teams, and
 * obtains them from the store and from peers. Each team has a primary, an instance that draws
 * allotments from the store; its peers borrow from it. So requests are served while the store is
 * unreachable, as long as instances reach each other, and the tokens for a large request are held
 * by one instance. Which instance is the primary is only a hint: an instance that can't reach it
 * draws for itself, and every draw is conditional on the record's revision. Designed for store
 * outages of ten seconds and for teams whose demand doubles. Uses no thread, socket or clock: the
 * caller supplies the time, and the link carries out calls to the store and messages to peers and
 * reports their results. */
#pragma once

#include "budget/ledger.h"
#include "store/store.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum allotment_verdict
{
  ALLOTMENT_GRANTED,
  ALLOTMENT_EXHAUSTED,   /* the request needs more than can be left of the whole budget */
  ALLOTMENT_OUT_OF_REACH /* tokens are left, but can't be obtained now */
};

const char *allotment_verdict_to_string (enum allotment_verdict verdict);

/* A loan request, or the return of a loan. returned, need and want are totals since the lender's
 * record was opened, so that lost, repeated and reordered requests are harmless. */
struct allotment_loan_request
{
  const char *team;
  uint32_t number; /* echoed in the reply, to match it with the request */
  const char *borrower;
  uint64_t borrower_incarnation;
  struct sr_holder_id lender; /* record lent from; empty instance: none yet */
  int64_t returned;
  int64_t need;           /* total to have been lent; 0: nothing is borrowed, a loan is returned */
  int64_t want;           /* the same as far as the lender can spare it */
  int64_t received;       /* tokens of the loan that the borrower has received */
  int64_t outstanding;    /* of those, neither used nor returned */
  int64_t prepaid_tokens; /* of the team, in the newest configuration that the borrower knows */
};

/* The reply to a loan request. */
struct allotment_loan_reply
{
  const char *team;
  uint32_t number;
  uint64_t borrower_incarnation; /* of the process that the loan was made to */
  struct sr_loan_reply loan;
  bool is_refused;      /* the lender can't obtain the tokens now */
  bool is_exhausted;    /* is_refused because nothing remains on the budget's record */
  int64_t left_at_most; /* if is_exhausted: upper bound of what is left of the whole budget */
  bool is_draining;     /* the lender is draining: send further requests to another peer */
  int64_t
      limit_opens_ms; /* until the lender's spend limit allows more, without the store; 0: never */
  bool is_pending;    /* the lender waits for the store and will send another reply */
};

/* How the manager reaches the store and its peers. Every implementation begins with a pointer to
 * this table. */
struct allotment_link_vtable
{
  /* Reads the record of TEAM; the result goes to allotment_manager_read_done with the same CALL. */
  void (*read_record) (void *link, const char *team, uint64_t call);
  /* Writes the record of TEAM if it still has EXPECTED_REVISION (0: if there is none), and takes
   * ownership of CONTENT. The result goes to allotment_manager_write_done with the same CALL. */
  void (*write_record) (
      void *link, const char *team, uint64_t call, json_t *content, int64_t expected_revision);
  /* Sends REQUEST to PEER; it may be lost. */
  void (*send_loan_request) (void *link,
                             const char *peer,
                             const struct allotment_loan_request *request);
  /* Replies to the sender of the loan request that was received with HANDLE. */
  void (*send_loan_reply) (void *link, uint64_t handle, const struct allotment_loan_reply *reply);
  /* Sets *EARLIEST_MS and *LATEST_MS, bounds of the current real time. Returns false when too few
   * peers have reported theirs for the bounds to be reliable. */
  bool (*real_time) (void *link, int64_t *earliest_ms, int64_t *latest_ms);
};

/* Called once for each reservation that is not cancelled. PARTS is NULL unless granted; it must be
 * passed to allotment_manager_settle. The callback may call the manager. */
typedef void (*allotment_callback) (enum allotment_verdict verdict, GArray *parts, void *data);

struct allotment_manager;

struct allotment_manager_options
{
  void *link;
  const char *instance;
  const char *data_centre;
  uint64_t incarnation; /* increases with each start of this instance */
  int64_t started_us;   /* when its process started; earlier ones had ended by then */
  int64_t restored_us;  /* latest possible time of the store's last restore; 0: never restored */
};

struct allotment_manager *allotment_manager_new (const struct allotment_manager_options *options);
void allotment_manager_delete (struct allotment_manager *manager);
void
allotment_manager_set_peers (struct allotment_manager *manager, GPtrArray *names, int64_t now_us);
void allotment_manager_set_prepaid (struct allotment_manager *manager,
                                    const char *team,
                                    int64_t prepaid_tokens,
                                    int64_t now_us);
void allotment_manager_reserve (struct allotment_manager *manager,
                                const char *team,
                                int64_t tokens,
                                allotment_callback done,
                                void *data,
                                int64_t now_us);
bool allotment_manager_cancel (struct allotment_manager *manager, const char *team, void *data);
void allotment_manager_settle (struct allotment_manager *manager,
                               const char *team,
                               GArray *parts,
                               int64_t used,
                               int64_t now_us);
void allotment_manager_read_done (struct allotment_manager *manager,
                                  const char *team,
                                  uint64_t call,
                                  enum store_status status,
                                  json_t *content,
                                  int64_t revision,
                                  int64_t now_us);
void allotment_manager_write_done (struct allotment_manager *manager,
                                   const char *team,
                                   uint64_t call,
                                   enum store_status status,
                                   json_t *content,
                                   int64_t revision,
                                   int64_t now_us);
void allotment_manager_loan_requested (struct allotment_manager *manager,
                                       uint64_t handle,
                                       const struct allotment_loan_request *request,
                                       int64_t now_us);
void allotment_manager_loan_replied (struct allotment_manager *manager,
                                     const char *peer,
                                     const struct allotment_loan_reply *reply,
                                     int64_t now_us);
int64_t allotment_manager_tick (struct allotment_manager *manager, int64_t now_us);
void allotment_manager_peer_started (struct allotment_manager *manager,
                                     const char *name,
                                     uint64_t incarnation,
                                     int64_t started_us,
                                     int64_t now_us);
void
allotment_manager_peer_ended (struct allotment_manager *manager, const char *name, int64_t now_us);
void allotment_manager_store_unreachable (struct allotment_manager *manager);
void allotment_manager_store_reachable (struct allotment_manager *manager, int64_t now_us);
void allotment_manager_store_restored (struct allotment_manager *manager,
                                       GPtrArray *instances,
                                       int64_t now_us);
void
allotment_manager_peer_merged (struct allotment_manager *manager, const char *name, int64_t now_us);
bool allotment_manager_is_merged (const struct allotment_manager *manager);
void allotment_manager_drain (struct allotment_manager *manager, int64_t now_us);
void allotment_manager_stop (struct allotment_manager *manager, int64_t now_us);
bool allotment_manager_has_returned_all (const struct allotment_manager *manager);
int64_t allotment_manager_available (const struct allotment_manager *manager, const char *team);

/* What this instance knows of one budget, to log with a refusal and to set its retry-after. */
struct allotment_budget_status
{
  int64_t prepaid_tokens;
  int64_t available;   /* can be reserved here without the store or a peer */
  int64_t record_left; /* on the record as last read or written; -1: unknown, or topped up since */
  int64_t record_age_ms;  /* since that read or write; -1 as above */
  bool store_is_down;     /* the last call for the record failed */
  int64_t limit_opens_ms; /* until a spend limit allows more without the store; 0: not known */
  /* Upper bound of what is left of the whole budget, when it was last found exhausted. */
  int64_t left_at_most;         /* -1: it never was */
  int64_t left_age_ms;          /* -1: it never was */
  const char *left_reported_by; /* the instance that found it; owned by the manager */
};

void allotment_manager_budget_status (const struct allotment_manager *manager,
                                      const char *team,
                                      int64_t now_us,
                                      struct allotment_budget_status *status);
