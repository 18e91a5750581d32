#include "request/run-peers.h"

#include "base/counters.h"
#include "request/request_xdr.h"

#include <stdio.h>
#include <string.h>

enum
{
  CALL_TIMEOUT_MS = 300,
  FETCH_FAILURES_MAX = 4,
  POLL_INTERVAL_MIN_US = 10000,
  POLL_INTERVAL_MAX_US = 100000,
  OWNERS_TRIED_MAX = 3
};

struct sr_run_peers
{
  struct sr_run_peers_options options;
  struct sr_registry *registry;
};

/* Copies the answer of a run at another instance into a run of this one. */
struct follower
{
  struct sr_run_peers *peers;
  struct sr_run *run;
  struct sr_peer_address address;
  GString *pending; /* bytes fetched that may end within a token */
  struct sr_run_result *result;
};

static struct sr_counter followed_total
    = { .name = "requests_followed_total",
        .help = "Retries answered from a run of another instance." };
static struct sr_counter taken_over_total
    = { .name = "requests_taken_over_total", .help = "Retries whose earlier run was gone." };

static bool handle_claim_ (void *in, void *out, void *data);
static bool handle_fetch_ (void *in, void *out, void *data);
static void fill_part_ (struct sr_run *run, size_t offset, sr_request_part *part);
static void fill_result_ (const struct sr_run_result *result, sr_request_part *part);
static enum sr_registry_verdict claim_at_directory_ (struct sr_run_peers *peers,
                                                     struct sr_run *run,
                                                     uint64_t instead_of,
                                                     struct sr_registry_owner *owner);
static bool
find_directory_ (struct sr_run_peers *peers, const char *key, struct sr_member *directory);
static bool find_member_ (struct sr_run_peers *peers,
                          const char *name,
                          uint64_t incarnation,
                          struct sr_peer_address *address);
static bool call_directory_ (struct sr_run_peers *peers,
                             const struct sr_member *directory,
                             const struct sr_registry_claim *claim,
                             enum sr_registry_verdict *verdict,
                             struct sr_registry_owner *owner);
static bool follow_owner_ (struct follower *follower);
static bool fetch_ (struct follower *follower, sr_request_part *part);
static void append_part_ (struct follower *follower, const sr_request_part *part);
static char *key_of_ (const struct sr_run_params *params);

static const struct sr_peer_procedure procedures[] = {
  { SR_REQUEST_CLAIM, (xdrproc_t)xdr_sr_request_claim, sizeof (sr_request_claim),
    (xdrproc_t)xdr_sr_request_place, sizeof (sr_request_place), handle_claim_ },
  { SR_REQUEST_FETCH, (xdrproc_t)xdr_sr_request_fetch, sizeof (sr_request_fetch),
    (xdrproc_t)xdr_sr_request_part, sizeof (sr_request_part), handle_fetch_ },
};

/* Also creates the registry of the requests that this instance is the directory instance of. */
struct sr_run_peers *
sr_run_peers_new (const struct sr_run_peers_options *options)
{
  struct sr_run_peers *peers = g_new0 (struct sr_run_peers, 1);
  struct sr_registry_options registry
      = { .entries_max = options->entries_max, .entry_kept_us = options->entry_kept_us };

  peers->options = *options;
  peers->registry = sr_registry_new (&registry);
  sr_counter_register (&followed_total);
  sr_counter_register (&taken_over_total);
  return peers;
}

/* The server that PEERS was added to must be stopped. NULL is allowed. */
void
sr_run_peers_delete (struct sr_run_peers *peers)
{
  if (peers == NULL)
    return;
  sr_registry_delete (peers->registry);
  g_free (peers);
}

/* Registers the handlers for calls from peers. */
void
sr_run_peers_add_to_server (struct sr_run_peers *peers, struct sr_peer_server *server)
{
  sr_peer_server_add (server, SR_PEER_PROGRAM_REQUEST, procedures, G_N_ELEMENTS (procedures),
                      peers);
}

/* Asks the directory instance of RUN's request whether another instance runs it, and if so copies
 * the answer from there into RUN until that run ends. COMPLETED: *RESULT is set. RUN_HERE with
 * *MAY_HAVE_RUN set: another instance had begun, and RUN holds the whole tokens copied from it.
 * Blocks; call it from a worker. */
enum sr_run_follow_result
sr_run_peers_follow (struct sr_run_peers *peers,
                     struct sr_run *run,
                     struct sr_run_result *result,
                     bool *may_have_run)
{
  struct follower follower = { .peers = peers, .run = run, .result = result };
  enum sr_run_follow_result follow_result = SR_RUN_FOLLOW_RUN_HERE;
  uint64_t instead_of = 0;

  follower.pending = g_string_new (NULL);

  for (unsigned i = 0; i < OWNERS_TRIED_MAX; i++)
    {
      struct sr_registry_owner owner = { 0 };
      enum sr_registry_verdict verdict = claim_at_directory_ (peers, run, instead_of, &owner);

      if (verdict == SR_REGISTRY_OTHER_BODY)
        follow_result = SR_RUN_FOLLOW_OTHER_BODY;
      if (verdict != SR_REGISTRY_ELSEWHERE)
        break;
      *may_have_run = true;
      if (find_member_ (peers, owner.instance, owner.incarnation, &follower.address)
          && follow_owner_ (&follower))
        {
          sr_counter_add (&followed_total, 1);
          follow_result = SR_RUN_FOLLOW_COMPLETED;
          break;
        }
      sr_counter_add (&taken_over_total, 1);
      instead_of = owner.incarnation;
    }
  g_string_free (follower.pending, TRUE);
  return follow_result;
}

static bool
handle_claim_ (void *in, void *out, void *data)
{
  struct sr_run_peers *peers = data;
  const sr_request_claim *request = in;
  sr_request_place *place = out;
  struct sr_registry_claim claim
      = { .key = request->key.team_and_id,
          .fingerprint = { request->fingerprint_high, request->fingerprint_low },
          .owner.incarnation = request->incarnation,
          .instead_of = request->instead_of,
          .now_us = g_get_monotonic_time () };
  struct sr_registry_owner owner;

  g_strlcpy (claim.owner.instance, request->instance, sizeof claim.owner.instance);
  place->kind = (sr_request_place_kind)sr_registry_claim (peers->registry, &claim, &owner);
  place->instance = strdup (owner.instance);
  place->incarnation = owner.incarnation;
  return true;
}

static bool
handle_fetch_ (void *in, void *out, void *data)
{
  struct sr_run_peers *peers = data;
  const sr_request_fetch *request = in;
  sr_request_part *part = out;
  char **names = g_strsplit (request->key.team_and_id, "/", 2);
  struct sr_run *run = NULL;

  if (names[0] != NULL && names[1] != NULL)
    run = sr_run_table_find (peers->options.table, names[0], names[1]);
  if (run != NULL)
    fill_part_ (run, request->offset, part);
  sr_run_unref (run);
  g_strfreev (names);
  return true;
}

static void
fill_part_ (struct sr_run *run, size_t offset, sr_request_part *part)
{
  bool done = sr_run_state (run) == SR_RUN_DONE;
  g_autoptr (GString) text = g_string_new (NULL);
  int64_t tokens = 0;
  size_t length;

  sr_run_copy_text_and_tokens (run, offset, text, &tokens);
  length = MIN (text->len, SR_REQUEST_CHUNK_MAX_BYTES);
  part->reaches_end = length == text->len;
  part->progress
      = done && part->reaches_end ? SR_REQUEST_PROGRESS_DONE : SR_REQUEST_PROGRESS_RUNNING;
  part->text.text_val = malloc (length + 1);
  memcpy (part->text.text_val, text->str, length);
  part->text.text_len = (u_int)length;
  part->tokens = tokens;
  if (part->progress == SR_REQUEST_PROGRESS_DONE)
    fill_result_ (sr_run_result (run), part);
}

static void
fill_result_ (const struct sr_run_result *result, sr_request_part *part)
{
  part->outcome = (int)result->outcome;
  part->error = (int)result->error;
  part->retry_after_ms = result->retry_after_ms;
  part->prompt_tokens = result->prompt_tokens;
  part->output_tokens = result->output_tokens;
  part->billed_tokens = result->billed_tokens;
}

/* If the directory instance is unreachable, the request is run here: the registry is only a hint.
 */
static enum sr_registry_verdict
claim_at_directory_ (struct sr_run_peers *peers,
                     struct sr_run *run,
                     uint64_t instead_of,
                     struct sr_registry_owner *owner)
{
  const struct sr_run_params *params = sr_run_params (run);
  g_autofree char *key = key_of_ (params);
  struct sr_registry_claim claim
      = { .key = key,
          .fingerprint = { params->fingerprint[0], params->fingerprint[1] },
          .owner.incarnation = peers->options.incarnation,
          .instead_of = instead_of,
          .now_us = g_get_monotonic_time () };
  enum sr_registry_verdict verdict;
  struct sr_member directory;

  g_strlcpy (claim.owner.instance, peers->options.instance, sizeof claim.owner.instance);
  if (!find_directory_ (peers, key, &directory))
    return SR_REGISTRY_YOURS;
  if (directory.is_self)
    return sr_registry_claim (peers->registry, &claim, owner);
  if (!call_directory_ (peers, &directory, &claim, &verdict, owner))
    return SR_REGISTRY_YOURS;
  return verdict;
}

static bool
find_directory_ (struct sr_run_peers *peers, const char *key, struct sr_member *directory)
{
  struct sr_member_view *view = sr_members_view (peers->options.members);
  g_autoptr (GPtrArray) order = sr_member_view_order (view, key, NULL);
  const struct sr_member *found = NULL;

  if (order->len > 0)
    found = sr_member_view_find (view, order->pdata[0]);
  if (found != NULL)
    *directory = *found;
  sr_member_view_unref (view);
  return found != NULL;
}

static bool
find_member_ (struct sr_run_peers *peers,
              const char *name,
              uint64_t incarnation,
              struct sr_peer_address *address)
{
  struct sr_member_view *view = sr_members_view (peers->options.members);
  const struct sr_member *found = sr_member_view_find (view, name);
  bool is_usable = found != NULL && !found->is_self
                   && (found->incarnation == incarnation || found->incarnation == 0);

  if (is_usable)
    *address = found->peer;
  sr_member_view_unref (view);
  return is_usable;
}

static bool
call_directory_ (struct sr_run_peers *peers,
                 const struct sr_member *directory,
                 const struct sr_registry_claim *claim,
                 enum sr_registry_verdict *verdict,
                 struct sr_registry_owner *owner)
{
  sr_request_claim request = { .key.team_and_id = (char *)claim->key,
                               .fingerprint_high = claim->fingerprint[0],
                               .fingerprint_low = claim->fingerprint[1],
                               .instance = (char *)claim->owner.instance,
                               .incarnation = claim->owner.incarnation,
                               .instead_of = claim->instead_of };
  sr_request_place place = { 0 };

  if (sr_peer_call (peers->options.client, &directory->peer, SR_PEER_PROGRAM_REQUEST,
                    SR_REQUEST_CLAIM, (xdrproc_t)xdr_sr_request_claim, &request,
                    (xdrproc_t)xdr_sr_request_place, &place, CALL_TIMEOUT_MS)
      != SR_PEER_OK)
    return false;
  *verdict = (enum sr_registry_verdict)place.kind;
  g_strlcpy (owner->instance, place.instance, sizeof owner->instance);
  owner->incarnation = place.incarnation;
  xdr_free ((xdrproc_t)xdr_sr_request_place, (char *)&place);
  return true;
}

/* Copies the answer from the owner until the run ends there. Returns false when the owner is
 * unreachable, no longer knows the request, or does not finish before the deadline. */
static bool
follow_owner_ (struct follower *follower)
{
  const struct sr_run_params *params = sr_run_params (follower->run);
  int64_t poll_interval_us = POLL_INTERVAL_MIN_US;
  unsigned failures = 0;

  g_string_truncate (follower->pending, 0);
  while (failures < FETCH_FAILURES_MAX && g_get_monotonic_time () < params->deadline_us)
    {
      sr_request_part part = { 0 };
      bool ended;

      if (!fetch_ (follower, &part))
        {
          failures++;
          continue;
        }
      failures = 0;
      ended = part.progress != SR_REQUEST_PROGRESS_RUNNING;
      append_part_ (follower, &part);
      xdr_free ((xdrproc_t)xdr_sr_request_part, (char *)&part);
      if (ended)
        return part.progress == SR_REQUEST_PROGRESS_DONE;
      if (follower->pending->len > 0)
        continue;
      g_usleep ((gulong)poll_interval_us);
      poll_interval_us = MIN (poll_interval_us * 2, POLL_INTERVAL_MAX_US);
    }
  return false;
}

static bool
fetch_ (struct follower *follower, sr_request_part *part)
{
  g_autofree char *key = key_of_ (sr_run_params (follower->run));
  sr_request_fetch request
      = { .key.team_and_id = key,
          .offset = sr_run_text_length (follower->run) + follower->pending->len };

  return sr_peer_call (follower->peers->options.client, &follower->address, SR_PEER_PROGRAM_REQUEST,
                       SR_REQUEST_FETCH, (xdrproc_t)xdr_sr_request_fetch, &request,
                       (xdrproc_t)xdr_sr_request_part, part, CALL_TIMEOUT_MS)
         == SR_PEER_OK;
}

static void
append_part_ (struct follower *follower, const sr_request_part *part)
{
  int64_t new_tokens = MAX (part->tokens - sr_run_tokens (follower->run), 0);
  GString *pending = follower->pending;

  if (part->progress == SR_REQUEST_PROGRESS_ABSENT)
    return;
  g_string_append_len (pending, part->text.text_val, part->text.text_len);
  if (part->reaches_end && pending->len > 0)
    {
      sr_run_append (follower->run, pending->str, pending->len, (unsigned)new_tokens);
      g_string_truncate (pending, 0);
    }
  if (part->progress == SR_REQUEST_PROGRESS_DONE)
    *follower->result = (struct sr_run_result){ .outcome = (enum sr_outcome)part->outcome,
                                                .error = (enum sr_error)part->error,
                                                .retry_after_ms = part->retry_after_ms,
                                                .prompt_tokens = part->prompt_tokens,
                                                .output_tokens = part->output_tokens,
                                                .billed_tokens = part->billed_tokens };
}

static char *
key_of_ (const struct sr_run_params *params)
{
  return g_strdup_printf ("%s/%s", params->team->str, params->id->str);
}
