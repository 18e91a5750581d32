#include "request/run-peers.h"

#include "base/counters.h"
#include "request/request_xdr.h"

#include <stdio.h>
#include <string.h>

enum
{
  CALL_TIMEOUT_MS = 300,
  FETCH_FAILURES_MAX = 4,
  POLL_FIRST_US = 10000,
  POLL_LAST_US = 100000,
  TAKE_OVERS_MAX = 3
};

struct sr_run_peers
{
  struct sr_run_peers_options options;
  struct sr_registry *registry;
};

/* The answer of another instance being followed. */
struct following
{
  struct sr_run_peers *peers;
  struct sr_run *run;
  struct sr_peer_address address;
  GString *pending; /* fetched, and not known to end with a whole token */
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
static enum sr_registry_verdict claim_at_home_ (struct sr_run_peers *peers,
                                                struct sr_run *run,
                                                uint64_t instead_of,
                                                struct sr_registry_owner *owner);
static bool find_home_ (struct sr_run_peers *peers, const char *key, struct sr_member *home);
static bool find_member_ (struct sr_run_peers *peers,
                          const char *name,
                          uint64_t incarnation,
                          struct sr_peer_address *address);
static bool call_home_ (struct sr_run_peers *peers,
                        const struct sr_member *home,
                        const struct sr_registry_claim *claim,
                        enum sr_registry_verdict *verdict,
                        struct sr_registry_owner *owner);
static bool follow_owner_ (struct following *following);
static bool fetch_ (struct following *following, sr_request_part *part);
static void take_part_ (struct following *following, const sr_request_part *part);
static char *key_of_ (const struct sr_run_order *order);

static const struct sr_peer_procedure procedures[] = {
  { SR_REQUEST_CLAIM, (xdrproc_t)xdr_sr_request_claim, sizeof (sr_request_claim),
    (xdrproc_t)xdr_sr_request_place, sizeof (sr_request_place), handle_claim_ },
  { SR_REQUEST_FETCH, (xdrproc_t)xdr_sr_request_fetch, sizeof (sr_request_fetch),
    (xdrproc_t)xdr_sr_request_part, sizeof (sr_request_part), handle_fetch_ },
};

/* Creates the peers' side of requests. The caller owns it. */
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

/* Frees PEERS; the server must be stopped. NULL is allowed. */
void
sr_run_peers_delete (struct sr_run_peers *peers)
{
  if (peers == NULL)
    return;
  sr_registry_delete (peers->registry);
  g_free (peers);
}

/* Answers other instances' calls in SERVER. */
void
sr_run_peers_add_to_server (struct sr_run_peers *peers, struct sr_peer_server *server)
{
  sr_peer_server_add (server, SR_PEER_PROGRAM_REQUEST, procedures, G_N_ELEMENTS (procedures),
                      peers);
}

/* Asks the home of RUN's request whether another instance has it, and if so takes that one's answer
 * over into RUN until it ends. TO_END sets *RESULT. After OURS with *MAY_HAVE_RUN set, another
 * instance had begun; RUN holds the whole tokens that were taken over. Blocks, in a worker. */
enum sr_run_followed
sr_run_peers_follow (struct sr_run_peers *peers,
                     struct sr_run *run,
                     struct sr_run_result *result,
                     bool *may_have_run)
{
  struct following following = { .peers = peers, .run = run, .result = result };
  enum sr_run_followed followed = SR_RUN_FOLLOWED_OURS;
  uint64_t instead_of = 0;

  following.pending = g_string_new (NULL);

  for (unsigned i = 0; i < TAKE_OVERS_MAX; i++)
    {
      struct sr_registry_owner owner = { 0 };
      enum sr_registry_verdict verdict = claim_at_home_ (peers, run, instead_of, &owner);

      if (verdict == SR_REGISTRY_OTHER_BODY)
        followed = SR_RUN_FOLLOWED_OTHER_BODY;
      if (verdict != SR_REGISTRY_ELSEWHERE)
        break;
      *may_have_run = true;
      if (find_member_ (peers, owner.instance, owner.incarnation, &following.address)
          && follow_owner_ (&following))
        {
          sr_counter_add (&followed_total, 1);
          followed = SR_RUN_FOLLOWED_TO_END;
          break;
        }
      sr_counter_add (&taken_over_total, 1);
      instead_of = owner.incarnation;
    }
  g_string_free (following.pending, TRUE);
  return followed;
}

static bool
handle_claim_ (void *in, void *out, void *data)
{
  struct sr_run_peers *peers = data;
  const sr_request_claim *asked = in;
  sr_request_place *place = out;
  struct sr_registry_claim claim
      = { .key = asked->key.team_and_id,
          .fingerprint = { asked->fingerprint_high, asked->fingerprint_low },
          .owner.incarnation = asked->incarnation,
          .instead_of = asked->instead_of,
          .now_us = g_get_monotonic_time () };
  struct sr_registry_owner owner;

  g_strlcpy (claim.owner.instance, asked->instance, sizeof claim.owner.instance);
  place->kind = (sr_request_place_kind)sr_registry_claim (peers->registry, &claim, &owner);
  place->instance = strdup (owner.instance);
  place->incarnation = owner.incarnation;
  return true;
}

static bool
handle_fetch_ (void *in, void *out, void *data)
{
  struct sr_run_peers *peers = data;
  const sr_request_fetch *asked = in;
  sr_request_part *part = out;
  char **names = g_strsplit (asked->key.team_and_id, "/", 2);
  struct sr_run *run = NULL;

  if (names[0] != NULL && names[1] != NULL)
    run = sr_run_table_find (peers->options.table, names[0], names[1]);
  if (run != NULL)
    fill_part_ (run, asked->offset, part);
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

  sr_run_copy_from (run, offset, text, &tokens);
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

/* An unreachable home counts as YOURS: it is only a hint. */
static enum sr_registry_verdict
claim_at_home_ (struct sr_run_peers *peers,
                struct sr_run *run,
                uint64_t instead_of,
                struct sr_registry_owner *owner)
{
  const struct sr_run_order *order = sr_run_order (run);
  g_autofree char *key = key_of_ (order);
  struct sr_registry_claim claim
      = { .key = key,
          .fingerprint = { order->fingerprint[0], order->fingerprint[1] },
          .owner.incarnation = peers->options.incarnation,
          .instead_of = instead_of,
          .now_us = g_get_monotonic_time () };
  enum sr_registry_verdict verdict;
  struct sr_member home;

  g_strlcpy (claim.owner.instance, peers->options.instance, sizeof claim.owner.instance);
  if (!find_home_ (peers, key, &home))
    return SR_REGISTRY_YOURS;
  if (home.is_self)
    return sr_registry_claim (peers->registry, &claim, owner);
  if (!call_home_ (peers, &home, &claim, &verdict, owner))
    return SR_REGISTRY_YOURS;
  return verdict;
}

static bool
find_home_ (struct sr_run_peers *peers, const char *key, struct sr_member *home)
{
  struct sr_member_view *view = sr_members_view (peers->options.members);
  g_autoptr (GPtrArray) order = sr_member_view_order (view, key, NULL);
  const struct sr_member *found = NULL;

  if (order->len > 0)
    found = sr_member_view_find (view, order->pdata[0]);
  if (found != NULL)
    *home = *found;
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
  bool usable = found != NULL && !found->is_self
                && (found->incarnation == incarnation || found->incarnation == 0);

  if (usable)
    *address = found->peer;
  sr_member_view_unref (view);
  return usable;
}

static bool
call_home_ (struct sr_run_peers *peers,
            const struct sr_member *home,
            const struct sr_registry_claim *claim,
            enum sr_registry_verdict *verdict,
            struct sr_registry_owner *owner)
{
  sr_request_claim asked = { .key.team_and_id = (char *)claim->key,
                             .fingerprint_high = claim->fingerprint[0],
                             .fingerprint_low = claim->fingerprint[1],
                             .instance = (char *)claim->owner.instance,
                             .incarnation = claim->owner.incarnation,
                             .instead_of = claim->instead_of };
  sr_request_place place = { 0 };

  if (sr_peer_call (peers->options.client, &home->peer, SR_PEER_PROGRAM_REQUEST, SR_REQUEST_CLAIM,
                    (xdrproc_t)xdr_sr_request_claim, &asked, (xdrproc_t)xdr_sr_request_place,
                    &place, CALL_TIMEOUT_MS)
      != SR_PEER_OK)
    return false;
  *verdict = (enum sr_registry_verdict)place.kind;
  g_strlcpy (owner->instance, place.instance, sizeof owner->instance);
  owner->incarnation = place.incarnation;
  xdr_free ((xdrproc_t)xdr_sr_request_place, (char *)&place);
  return true;
}

/* Takes over what the owner has until it ends. Returns false when the owner is out of reach or does
 * not know the request any more. */
static bool
follow_owner_ (struct following *following)
{
  const struct sr_run_order *order = sr_run_order (following->run);
  int64_t poll_us = POLL_FIRST_US;
  unsigned failures = 0;

  g_string_truncate (following->pending, 0);
  while (failures < FETCH_FAILURES_MAX && g_get_monotonic_time () < order->deadline_us)
    {
      sr_request_part part = { 0 };
      bool ended;

      if (!fetch_ (following, &part))
        {
          failures++;
          continue;
        }
      failures = 0;
      ended = part.progress != SR_REQUEST_PROGRESS_RUNNING;
      take_part_ (following, &part);
      xdr_free ((xdrproc_t)xdr_sr_request_part, (char *)&part);
      if (ended)
        return part.progress == SR_REQUEST_PROGRESS_DONE;
      if (following->pending->len > 0)
        continue;
      g_usleep ((gulong)poll_us);
      poll_us = MIN (poll_us * 2, POLL_LAST_US);
    }
  return false;
}

static bool
fetch_ (struct following *following, sr_request_part *part)
{
  g_autofree char *key = key_of_ (sr_run_order (following->run));
  sr_request_fetch asked
      = { .key.team_and_id = key,
          .offset = sr_run_text_length (following->run) + following->pending->len };

  return sr_peer_call (following->peers->options.client, &following->address,
                       SR_PEER_PROGRAM_REQUEST, SR_REQUEST_FETCH, (xdrproc_t)xdr_sr_request_fetch,
                       &asked, (xdrproc_t)xdr_sr_request_part, part, CALL_TIMEOUT_MS)
         == SR_PEER_OK;
}

static void
take_part_ (struct following *following, const sr_request_part *part)
{
  int64_t gained = MAX (part->tokens - sr_run_tokens (following->run), 0);
  GString *pending = following->pending;

  if (part->progress == SR_REQUEST_PROGRESS_ABSENT)
    return;
  g_string_append_len (pending, part->text.text_val, part->text.text_len);
  if (part->reaches_end && pending->len > 0)
    {
      sr_run_append (following->run, pending->str, pending->len, (unsigned)gained);
      g_string_truncate (pending, 0);
    }
  if (part->progress == SR_REQUEST_PROGRESS_DONE)
    *following->result = (struct sr_run_result){ .outcome = (enum sr_outcome)part->outcome,
                                                 .error = (enum sr_error)part->error,
                                                 .retry_after_ms = part->retry_after_ms,
                                                 .prompt_tokens = part->prompt_tokens,
                                                 .output_tokens = part->output_tokens,
                                                 .billed_tokens = part->billed_tokens };
}

static char *
key_of_ (const struct sr_run_order *order)
{
  return g_strdup_printf ("%s/%s", order->team->str, order->request->str);
}
