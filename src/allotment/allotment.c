/* The interface of the allotment manager: its teams and peers, and the events that are reported to
 * it. */
#include "allotment/allotment-private.h"

#include "base/event-log.h"

#include <string.h>

enum
{
  US_PER_MS = 1000,
  LOAN_IDLE_US = 300000, /* loans are returned after this time without demand */
  REQUEST_RETRY_US
  = 25 * US_PER_MS,           /* several round trips, even at a peer whose processor is busy */
  REQUEST_ATTEMPTS_MAX = 3,   /* the pauses double: given up after 175 ms */
  SUSPECT_FIRST_US = 1000000, /* a peer that did not reply is passed over; doubles each time */
  SUSPECT_MAX_US = 16000000,
  REFUSAL_MEMORY_US = 800 * US_PER_MS, /* a peer that could not lend is passed over for this long */
  TICK_INTERVAL_US
  = 200 * US_PER_MS /* longest interval between ticks: the demand is compared with the holding */
};

static struct allotment_team *team_new_ (struct allotment_manager *manager, const char *name);
static void note_store_reachable_ (struct allotment_manager *manager, int64_t now_us);
static void team_free_ (void *data);
static void adopt_record_ (const struct allotment_manager *manager,
                           struct allotment_team *team,
                           struct sr_record *record,
                           int64_t revision,
                           int64_t now_us);
static bool return_available_loan_ (struct allotment_team *team, const char *lender);
static void suspect_peer_ (struct allotment_peer *peer, int64_t now_us);

static const char *const verdict_names_[] = {
  [ALLOTMENT_GRANTED] = "granted",
  [ALLOTMENT_EXHAUSTED] = "exhausted",
  [ALLOTMENT_OUT_OF_REACH] = "later",
};

const char *
allotment_verdict_to_string (enum allotment_verdict verdict)
{
  g_assert ((size_t)verdict < G_N_ELEMENTS (verdict_names_));
  return verdict_names_[verdict];
}

/* Creates a manager without teams or peers. The link and the strings of OPTIONS must outlive it. */
struct allotment_manager *
allotment_manager_new (const struct allotment_manager_options *options)
{
  struct allotment_manager *manager = g_new0 (struct allotment_manager, 1);

  manager->options = *options;
  manager->restored_us = options->restored_us;
  manager->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, team_free_);
  manager->peers = g_ptr_array_new ();
  manager->unmerged = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  manager->incarnations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  manager->ended = g_ptr_array_new_with_free_func (allotment_ended_free_);
  return manager;
}

/* Frees MANAGER. Reservations that still wait are dropped without a call of their callback. */
void
allotment_manager_delete (struct allotment_manager *manager)
{
  g_hash_table_unref (manager->teams);
  for (unsigned i = 0; i < manager->peers->len; i++)
    {
      struct allotment_peer *peer = manager->peers->pdata[i];

      g_free (peer->name);
      g_free (peer);
    }
  g_ptr_array_unref (manager->peers);
  g_hash_table_unref (manager->unmerged);
  g_hash_table_unref (manager->incarnations);
  g_ptr_array_unref (manager->ended);
  g_free (manager);
}

/* Sets the names of all other instances: NAMES (char *), copied. */
void
allotment_manager_set_peers (struct allotment_manager *manager, GPtrArray *names, int64_t now_us)
{
  GPtrArray *previous = manager->peers;
  GHashTableIter iter;
  void *team;

  manager->peers = g_ptr_array_new ();
  for (unsigned i = 0; i < names->len; i++)
    {
      struct allotment_peer *peer = NULL;

      for (unsigned k = 0; k < previous->len && peer == NULL; k++)
        if (strcmp (((struct allotment_peer *)previous->pdata[k])->name, names->pdata[i]) == 0)
          peer = g_ptr_array_steal_index_fast (previous, k);
      if (peer == NULL)
        {
          peer = g_new0 (struct allotment_peer, 1);
          peer->name = g_strdup (names->pdata[i]);
        }
      g_ptr_array_add (manager->peers, peer);
    }
  for (unsigned k = 0; k < previous->len; k++)
    {
      g_free (((struct allotment_peer *)previous->pdata[k])->name);
      g_free (previous->pdata[k]);
    }
  g_ptr_array_unref (previous);
  if (manager->peers_since_us == 0)
    {
      manager->peers_since_us = now_us;
      if (manager->restored_us != 0)
        allotment_set_unmerged_ (manager, names);
    }
  g_hash_table_iter_init (&iter, manager->teams);
  while (g_hash_table_iter_next (&iter, NULL, &team))
    allotment_process_team_ (manager, team, now_us);
}

/* Sets the total of tokens that the team NAME has prepaid; adds the team if it is new. A total
 * lower than one set before is ignored. */
void
allotment_manager_set_prepaid (struct allotment_manager *manager,
                               const char *name,
                               int64_t prepaid_tokens,
                               int64_t now_us)
{
  struct allotment_team *team = g_hash_table_lookup (manager->teams, name);

  if (team == NULL)
    team = team_new_ (manager, name);
  if (prepaid_tokens > team->prepaid_tokens)
    {
      sr_event (SR_EVENT_INFO, "budget_paid", "{s:s,s:I,s:I}", "team", name, "prepaid",
                (json_int_t)prepaid_tokens, "before", (json_int_t)team->prepaid_tokens);
      team->prepaid_tokens = prepaid_tokens;
      g_hash_table_remove_all (team->refused_until);
      team->record_us = 0;
    }
  allotment_process_team_ (manager, team, now_us);
}

/* Reserves TOKENS of the team NAME, which must have been set, and calls DONE with the result,
 * perhaps before it returns. */
void
allotment_manager_reserve (struct allotment_manager *manager,
                           const char *name,
                           int64_t tokens,
                           allotment_callback done,
                           void *data,
                           int64_t now_us)
{
  struct allotment_team *team = g_hash_table_lookup (manager->teams, name);
  struct allotment_waiter *waiter;

  g_assert (team != NULL && tokens > 0);
  if (tokens > team->prepaid_tokens)
    {
      done (ALLOTMENT_EXHAUSTED, NULL, data);
      return;
    }
  waiter = g_new0 (struct allotment_waiter, 1);
  *waiter = (struct allotment_waiter){ tokens, now_us, done, data };
  g_queue_push_tail (&team->waiters, waiter);
  allotment_process_team_ (manager, team, now_us);
}

/* Cancels the waiting reservation that was made with DATA; its callback is not called. Returns
 * false when none waits. */
bool
allotment_manager_cancel (struct allotment_manager *manager, const char *name, void *data)
{
  struct allotment_team *team = g_hash_table_lookup (manager->teams, name);

  for (GList *link = team == NULL ? NULL : team->waiters.head; link != NULL; link = link->next)
    if (((struct allotment_waiter *)link->data)->data == data)
      {
        g_free (link->data);
        g_queue_delete_link (&team->waiters, link);
        return true;
      }
  return false;
}

/* Ends a granted reservation, of which USED tokens were consumed, possibly more than were reserved.
 * Takes ownership of PARTS. */
void
allotment_manager_settle (struct allotment_manager *manager,
                          const char *name,
                          GArray *parts,
                          int64_t used,
                          int64_t now_us)
{
  struct allotment_team *team = g_hash_table_lookup (manager->teams, name);
  int64_t reserved = 0;

  g_assert (team != NULL);
  for (unsigned i = 0; i < parts->len; i++)
    reserved += g_array_index (parts, struct sr_reservation_part, i).tokens;
  allotment_demand_add_ (&team->demand, used - reserved, now_us);
  sr_ledger_settle (team->ledger, parts, used);
  if (!g_queue_is_empty (&team->waiters) || !g_queue_is_empty (&team->loan_requests))
    allotment_process_team_ (manager, team, now_us);
}

/* Reports the end of the read CALL of a team's record. CONTENT may be NULL and stays the caller's.
 */
void
allotment_manager_read_done (struct allotment_manager *manager,
                             const char *name,
                             uint64_t call,
                             enum store_status status,
                             json_t *content,
                             int64_t revision,
                             int64_t now_us)
{
  struct allotment_team *team = g_hash_table_lookup (manager->teams, name);
  struct sr_record *record;

  g_assert (team != NULL);
  if (status == STORE_OK || status == STORE_ABSENT)
    note_store_reachable_ (manager, now_us);
  if (call == team->check_call)
    {
      /* A revision later than the write expected: the write took effect or never will, and the
       * record shows which. */
      team->check_call = 0;
      if (team->step != STEP_WRITING || (status != STORE_OK && status != STORE_ABSENT))
        return;
      if (status == STORE_OK && revision > team->revision)
        allotment_manager_write_done (manager, name, team->call, STORE_CONFLICT, content, revision,
                                      now_us);
      return;
    }
  if (call != team->call)
    return;
  g_assert (team->step == STEP_READING);
  team->step = STEP_IDLE;
  if (status == STORE_ABSENT)
    adopt_record_ (manager, team, sr_record_new (), 0, now_us);
  else if (status != STORE_OK)
    allotment_store_failed_ (manager, team, status, now_us);
  else if ((record = sr_record_from_json (content)) != NULL)
    adopt_record_ (manager, team, record, revision, now_us);
  else
    allotment_store_failed_ (manager, team, STORE_INVALID, now_us);
  allotment_process_team_ (manager, team, now_us);
}

/* Reports the end of the write CALL of a team's record. After a conflict, CONTENT is the record
 * that the store holds; it stays the caller's. */
void
allotment_manager_write_done (struct allotment_manager *manager,
                              const char *name,
                              uint64_t call,
                              enum store_status status,
                              json_t *content,
                              int64_t revision,
                              int64_t now_us)
{
  struct allotment_team *team = g_hash_table_lookup (manager->teams, name);
  struct sr_record *edited = team->edited;
  struct sr_record *current;

  if (status == STORE_OK || status == STORE_CONFLICT)
    note_store_reachable_ (manager, now_us);
  if (call != team->call)
    return; /* a read has already shown how it ended */
  g_assert (team->step == STEP_WRITING);
  team->step = STEP_IDLE;
  team->call = 0;
  team->check_call = 0;
  team->edited = NULL;
  if (status == STORE_OK)
    {
      team->merge_is_due = false;
      sr_ledger_apply_write (team->ledger, edited);
      adopt_record_ (manager, team, edited, revision, now_us);
      sr_event (SR_EVENT_INFO, "allotment_written", "{s:s,s:I,s:I,s:I,s:I,s:I,s:I}", "team", name,
                "revision", (json_int_t)revision, "available",
                (json_int_t)sr_ledger_available (team->ledger), "remaining",
                (json_int_t)sr_record_remaining (edited), "settled", (json_int_t)edited->settled,
                "written_off", (json_int_t)edited->written_off, "prepaid",
                (json_int_t)edited->prepaid);
    }
  else
    {
      sr_record_delete (edited);
      current = status == STORE_CONFLICT ? sr_record_from_json (content) : NULL;
      if (current != NULL)
        {
          adopt_record_ (manager, team, current, revision, now_us);
        }
      else
        {
          /* Only a read can show whether it took effect. */
          allotment_forget_record_ (team);
          if (status != STORE_CONFLICT && status != STORE_ABSENT)
            allotment_store_failed_ (manager, team, status, now_us);
        }
    }
  allotment_process_team_ (manager, team, now_us);
}

/* Handles a loan request of a peer. HANDLE is the link's and is passed back with the reply. A newer
 * request of the same borrower replaces one that still waits. */
void
allotment_manager_loan_requested (struct allotment_manager *manager,
                                  uint64_t handle,
                                  const struct allotment_loan_request *request,
                                  int64_t now_us)
{
  struct allotment_team *team = g_hash_table_lookup (manager->teams, request->team);
  struct allotment_peer *peer = allotment_peer_find_ (manager, request->borrower);
  struct allotment_pending_loan_request *pending;

  if (peer != NULL)
    peer->heard_us = now_us;
  if (team == NULL)
    return; /* its configuration is not known here yet: the borrower sends the request again */
  for (GList *link = team->loan_requests.head; link != NULL; link = link->next)
    {
      pending = link->data;
      if (strcmp (pending->borrower, request->borrower) == 0)
        {
          g_free (pending);
          g_queue_delete_link (&team->loan_requests, link);
          break;
        }
    }
  pending = g_new0 (struct allotment_pending_loan_request, 1);
  *pending = (struct allotment_pending_loan_request){
    .handle = handle,
    .since_us = now_us,
    .number = request->number,
    .borrower_incarnation = request->borrower_incarnation,
    .lender = request->lender,
    .returned = request->returned,
    .need = request->need,
    .want = request->want,
    .received = request->received,
    .outstanding = request->outstanding,
    .prepaid_tokens = request->prepaid_tokens,
  };
  g_strlcpy (pending->borrower, request->borrower, sizeof pending->borrower);
  g_queue_push_tail (&team->loan_requests, pending);
  allotment_process_team_ (manager, team, now_us);
}

/* Handles a peer's reply to a loan request. */
void
allotment_manager_loan_replied (struct allotment_manager *manager,
                                const char *peer_name,
                                const struct allotment_loan_reply *reply,
                                int64_t now_us)
{
  struct allotment_team *team = g_hash_table_lookup (manager->teams, reply->team);
  struct allotment_peer *peer = allotment_peer_find_ (manager, peer_name);

  if (peer != NULL)
    {
      peer->heard_us = now_us;
      peer->failures = 0;
      peer->suspect_until_us = reply->is_draining ? now_us + SUSPECT_MAX_US : 0;
    }
  /* An earlier process of this instance may have spent what was lent to it. */
  if (team == NULL || reply->borrower_incarnation != manager->options.incarnation)
    return;
  sr_ledger_apply_loan_reply (team->ledger, &reply->loan);
  if (!team->is_borrowing || team->request_number != reply->number)
    return;
  if (reply->is_pending)
    {
      team->request_attempts = 1;
      team->request_sent_us = now_us;
      return;
    }
  team->is_borrowing = false;
  /* Return what this instance has available of the loan: together with returns of other borrowers,
   * it may enable the lender to serve the waiting reservation. */
  if (reply->is_refused && return_available_loan_ (team, peer_name))
    {
      allotment_process_team_ (manager, team, now_us);
      return;
    }
  if (reply->is_exhausted)
    {
      allotment_serve_waiters_ (team, now_us);
      allotment_refuse_exhausted_ (team, peer_name, reply->left_at_most, now_us);
    }
  else if (reply->is_refused)
    {
      int64_t until_us = now_us + REFUSAL_MEMORY_US;

      if (reply->limit_opens_ms > 0)
        team->lender_limit_opens_us = now_us + reply->limit_opens_ms * US_PER_MS;

      g_hash_table_replace (team->refused_until, g_strdup (peer_name),
                            g_memdup2 (&until_us, sizeof until_us));
    }
  allotment_process_team_ (manager, team, now_us);
}

/* Performs everything that is due by NOW_US. Returns the latest time of the next call. */
int64_t
allotment_manager_tick (struct allotment_manager *manager, int64_t now_us)
{
  int64_t due_us = now_us + TICK_INTERVAL_US;
  GHashTableIter iter;
  void *value;

  allotment_prune_ended_ (manager, now_us);
  g_hash_table_iter_init (&iter, manager->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct allotment_team *team = value;

      if (team->is_borrowing
          && now_us - team->request_sent_us >= (int64_t)REQUEST_RETRY_US
                                                   << (team->request_attempts - 1))
        {
          if (team->request_attempts < REQUEST_ATTEMPTS_MAX)
            allotment_send_loan_request_ (manager, team);
          else
            {
              struct allotment_peer *peer = allotment_peer_find_ (manager, team->requested_peer);

              team->is_borrowing = false;
              sr_event (SR_EVENT_WARNING, "peer_silent", "{s:s,s:s,s:i}", "peer",
                        team->requested_peer, "team", team->name, "tries",
                        (int)team->request_attempts);
              if (peer != NULL)
                suspect_peer_ (peer, now_us);
            }
        }
      allotment_process_team_ (manager, team, now_us);
      allotment_return_idle_ (manager, team, now_us);
      allotment_read_after_end_ (manager, team, now_us);
      if (team->is_borrowing)
        due_us = MIN (due_us, team->request_sent_us
                                  + ((int64_t)REQUEST_RETRY_US << (team->request_attempts - 1)));
      if (!g_queue_is_empty (&team->waiters) || !g_queue_is_empty (&team->loan_requests))
        due_us = MIN (due_us, now_us + REQUEST_RETRY_US);
    }
  return MAX (due_us, now_us + US_PER_MS);
}

/* Reports that peer NAME runs with INCARNATION, since STARTED_US or earlier: loan requests may be
 * sent to it again, and its earlier incarnations have ended. */
void
allotment_manager_peer_started (struct allotment_manager *manager,
                                const char *name,
                                uint64_t incarnation,
                                int64_t started_us,
                                int64_t now_us)
{
  struct allotment_peer *peer = allotment_peer_find_ (manager, name);
  const uint64_t *known = g_hash_table_lookup (manager->incarnations, name);

  if (strcmp (name, manager->options.instance) == 0)
    return;
  if (known != NULL && incarnation > *known)
    allotment_note_ended_ (manager, name, *known, started_us, now_us);
  if (known == NULL || incarnation > *known)
    g_hash_table_replace (manager->incarnations, g_strdup (name),
                          g_memdup2 (&incarnation, sizeof incarnation));
  if (peer == NULL)
    return;
  peer->heard_us = now_us;
  if (incarnation > peer->incarnation)
    {
      peer->incarnation = incarnation;
      peer->started_us = started_us;
    }
  peer->failures = 0;
  peer->suspect_until_us = 0;
}

/* Reports that peer NAME has ended, as its announcement was removed. */
void
allotment_manager_peer_ended (struct allotment_manager *manager, const char *name, int64_t now_us)
{
  const uint64_t *known = g_hash_table_lookup (manager->incarnations, name);

  if (strcmp (name, manager->options.instance) == 0)
    return;
  allotment_note_ended_ (manager, name, known == NULL ? 0 : *known, now_us, now_us);
  g_hash_table_remove (manager->incarnations, name);
}

/* Reports that the store's watcher can't reach the store: it is not called again until
 * allotment_manager_store_reachable. */
void
allotment_manager_store_unreachable (struct allotment_manager *manager)
{
  manager->store_out_until_us = INT64_MAX;
}

/* Reports that the store is reachable: retry delays after earlier failures end. */
void
allotment_manager_store_reachable (struct allotment_manager *manager, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  note_store_reachable_ (manager, now_us);
  g_hash_table_iter_init (&iter, manager->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct allotment_team *team = value;

      team->store_retry_us = 0;
      team->store_is_down = false;
      allotment_process_team_ (manager, team, now_us);
    }
}

/* Begins the drain of this instance: its peers become the primaries, tokens that are not in use are
 * returned to the store, and reservations are served by loans. */
void
allotment_manager_drain (struct allotment_manager *manager, int64_t now_us)
{
  manager->draining = true;
  allotment_manager_tick (manager, now_us);
}

/* Stops: nothing is lent or drawn any more, waiting reservations are refused, and what is left is
 * returned, see allotment_manager_has_returned_all. */
void
allotment_manager_stop (struct allotment_manager *manager, int64_t now_us)
{
  manager->stopping = true;
  allotment_manager_tick (manager, now_us);
}

/* Returns whether, after allotment_manager_stop, everything that can be returned has been. */
bool
allotment_manager_has_returned_all (const struct allotment_manager *manager)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, manager->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct allotment_team *team = value;

      if (team->is_borrowing || team->step != STEP_IDLE || sr_ledger_loans_left (team->ledger)
          || team->ledger->own != NULL)
        return false;
    }
  return true;
}

/* Returns the tokens of a team that can be reserved at once, without the store or a peer. */
int64_t
allotment_manager_available (const struct allotment_manager *manager, const char *name)
{
  const struct allotment_team *team = g_hash_table_lookup (manager->teams, name);

  return team == NULL ? 0 : sr_ledger_available (team->ledger);
}

/* Sets *STATUS to what is known of the budget of the team NAME. Its strings are valid until the
 * next call that changes the manager. */
void
allotment_manager_budget_status (const struct allotment_manager *manager,
                                 const char *name,
                                 int64_t now_us,
                                 struct allotment_budget_status *status)
{
  const struct allotment_team *team = g_hash_table_lookup (manager->teams, name);
  int64_t opens_us;

  *status = (struct allotment_budget_status){ .record_left = -1,
                                              .record_age_ms = -1,
                                              .left_at_most = -1,
                                              .left_age_ms = -1,
                                              .left_reported_by = "" };
  if (team == NULL)
    return;
  status->prepaid_tokens = team->prepaid_tokens;
  status->available = sr_ledger_available (team->ledger);
  status->store_is_down = team->store_is_down;
  opens_us = MAX (allotment_limit_opens_us_ (team, now_us), team->lender_limit_opens_us);
  status->limit_opens_ms = MAX ((opens_us - now_us) / US_PER_MS, 0);
  if (team->left_reported_us != 0)
    {
      status->left_at_most = team->left_at_most;
      status->left_age_ms = (now_us - team->left_reported_us) / US_PER_MS;
      status->left_reported_by = team->left_reported_by;
    }
  if (team->record == NULL || team->record_us == 0)
    return;
  status->record_left = sr_record_remaining (team->record);
  status->record_age_ms = (now_us - team->record_us) / US_PER_MS;
}

static struct allotment_team *
team_new_ (struct allotment_manager *manager, const char *name)
{
  const struct sr_ledger_options options = {
    .instance = manager->options.instance,
    .data_centre = manager->options.data_centre,
    .incarnation = manager->options.incarnation,
    .idle_us = LOAN_IDLE_US,
  };
  struct allotment_team *team = g_new0 (struct allotment_team, 1);

  team->name = g_strdup (name);
  team->refused_until = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  team->ledger = sr_ledger_new (&options);
  g_queue_init (&team->waiters);
  g_queue_init (&team->loan_requests);
  g_hash_table_insert (manager->teams, team->name, team);
  return team;
}

static void
team_free_ (void *data)
{
  struct allotment_team *team = data;

  g_queue_clear_full (&team->waiters, g_free);
  g_queue_clear_full (&team->loan_requests, g_free);
  sr_record_delete (team->record);
  sr_record_delete (team->known);
  sr_record_delete (team->edited);
  sr_ledger_delete (team->ledger);
  g_hash_table_unref (team->refused_until);
  g_free (team->name);
  g_free (team);
}

/* Notes that the store holds RECORD, of which it takes ownership, at REVISION (0: it has none). */
static void
adopt_record_ (const struct allotment_manager *manager,
               struct allotment_team *team,
               struct sr_record *record,
               int64_t revision,
               int64_t now_us)
{
  if (team->record != NULL && team->record != record)
    sr_record_delete (team->record);
  if (manager->restored_us != 0)
    team->merge_is_due = allotment_merge_record_ (manager, team, record, revision, now_us);
  if (!team->merge_is_due)
    {
      sr_record_delete (team->known);
      team->known = NULL;
    }
  team->record = record;
  team->revision = revision;
  team->record_us = now_us;
  team->seen_us = team->step_started_us;
  team->store_is_down = false;
  sr_ledger_apply_read (team->ledger, record, revision);
}

/* Returns what is available of the loan from LENDER; the next loan request reports it. Returns
 * false when nothing is available of it, or when no reservation waits. */
static bool
return_available_loan_ (struct allotment_team *team, const char *lender)
{
  struct sr_source *loan = sr_ledger_loan_from (team->ledger, lender);

  if (loan == NULL || sr_source_available (loan) == 0 || g_queue_is_empty (&team->waiters))
    return false;
  sr_ledger_return_loan (team->ledger, &loan->id, 0);
  return true;
}

static void
suspect_peer_ (struct allotment_peer *peer, int64_t now_us)
{
  int64_t span = (int64_t)SUSPECT_FIRST_US << MIN (peer->failures, 8U);

  peer->failures++;
  peer->suspect_until_us = now_us + MIN (span, (int64_t)SUSPECT_MAX_US);
}

const struct allotment_link_vtable *
allotment_link_ (const struct allotment_manager *manager)
{
  return *(const struct allotment_link_vtable **)manager->options.link;
}

static void
note_store_reachable_ (struct allotment_manager *manager, int64_t now_us)
{
  manager->store_answered_us = now_us;
  manager->store_out_until_us = 0;
  manager->store_failures = 0;
}
