#include "order/order.h"

#include "base/counters.h"
#include "order/key-day.h"
#include "order/order-record.h"

#include <pthread.h>
#include <string.h>

enum
{
  WRITE_TRIES_MAX = 4,
  WRITE_RETRY_WINDOW_S = 4, /* no further try starts later, so that a caller is not held up */
  PENDING_OUTCOMES_MAX = 1024,
  US_PER_S = 1000000,
  /* A claim that took longer might have been created after the expired claim of the same key was
   * removed, so it is not dispatched. Must be well below REMOVAL_MARGIN_HOURS in key-day.c. */
  CLAIM_DURATION_MAX_S = 3600
};

static const char ORDER_KIND[] = "order";

static const char *const verdict_strings[]
    = { "won", "taken", "other body", "expired", "platform out", "doubt", "absent" };

/* An outcome that the platform has not confirmed. */
struct pending_outcome
{
  GString *name;
  struct sr_order_record record;
  int64_t version;
};

struct sr_orders
{
  struct sr_platform *platform;
  pthread_mutex_t mutex;   /* guards pending */
  GQueue pending;          /* of struct pending_outcome */
  GString *removal_cursor; /* the last name that sr_orders_remove_expired checked */
};

static struct sr_counter claims_won
    = { .name = "sr_order_claims_won_total", .help = "Orders claimed by this instance." };
static struct sr_counter claims_taken
    = { .name = "sr_order_claims_taken_total", .help = "Claims that found an earlier claim." };
static struct sr_counter claims_refused
    = { .name = "sr_order_claims_refused_total",
        .help = "Claims refused: expired key, other body, platform out." };
static struct sr_counter claims_unconfirmed
    = { .name = "sr_order_claims_doubtful_total",
        .help = "Claims whose write could not be confirmed; never dispatched." };
static struct sr_counter outcomes_pending
    = { .name = "sr_order_outcomes_pending", .help = "Outcomes the platform has not yet stored." };

static enum sr_claim_verdict write_claim_ (struct sr_orders *orders,
                                           const struct sr_claim_request *request,
                                           const char *name,
                                           struct sr_claim *claim);
static bool may_try_ (int tries, int64_t start_us);
static enum sr_platform_status read_claim_ (struct sr_orders *orders,
                                            const char *name,
                                            struct sr_order_record *record,
                                            int64_t *version);
static enum sr_claim_verdict compare_record_ (const struct sr_claim_request *request,
                                              const struct sr_order_record *record,
                                              struct sr_claim *claim);
static void describe_record_ (const struct sr_order_record *record, struct sr_claim *claim);
static void set_outcome_ (const struct sr_claim_request *request, struct sr_claim *claim);
static void count_verdict_ (enum sr_claim_verdict verdict);
static enum sr_platform_status store_outcome_ (struct sr_orders *orders,
                                               const char *name,
                                               const struct sr_order_record *record,
                                               int64_t version);
static enum sr_platform_status
read_outcome_ (struct sr_orders *orders, const char *name, const struct sr_order_record *written);
static void add_pending_ (struct sr_orders *orders,
                          const char *name,
                          struct sr_order_record *record,
                          int64_t version);
static void pending_free_ (void *data);
static GString *object_name_ (const char *team, const char *request);
static void record_from_request_ (struct sr_order_record *record,
                                  const struct sr_claim_request *request);
static bool remove_claim_ (struct sr_orders *orders, const char *name);

/* Takes a reference to PLATFORM, where the claims are stored. */
struct sr_orders *
sr_orders_new (struct sr_platform *platform)
{
  struct sr_orders *orders = g_new0 (struct sr_orders, 1);

  orders->platform = sr_platform_ref (platform);
  pthread_mutex_init (&orders->mutex, NULL);
  g_queue_init (&orders->pending);
  orders->removal_cursor = g_string_new (NULL);
  sr_counter_register (&claims_won);
  sr_counter_register (&claims_taken);
  sr_counter_register (&claims_refused);
  sr_counter_register (&claims_unconfirmed);
  sr_counter_register (&outcomes_pending);
  return orders;
}

/* Pending outcomes are lost, see sr_order_maintenance_flush. NULL is allowed. */
void
sr_orders_delete (struct sr_orders *orders)
{
  if (orders == NULL)
    return;
  g_queue_clear_full (&orders->pending, pending_free_);
  g_string_free (orders->removal_cursor, TRUE);
  pthread_mutex_destroy (&orders->mutex);
  sr_platform_unref (orders->platform);
  g_free (orders);
}

/* Claims the order of REQUEST by creating its claim object, which succeeds for at most one attempt
 * among all instances. Only WON permits a dispatch, and only one. Blocks for at most
 * WRITE_TRIES_MAX writes and as many reads; an outage of the platform is reported after the first
 * write that fails.
 *
 * CLAIM is overwritten; clear it with sr_claim_clear. Unless the verdict is WON, its outcome is the
 * one to report. It is NOT_RUN only if no attempt of the key can have been dispatched: after an
 * outage, for a first attempt, but UNKNOWN for a possible retry. */
void
sr_orders_claim (struct sr_orders *orders,
                 const struct sr_claim_request *request,
                 struct sr_claim *claim)
{
  GString *name = object_name_ (request->team, request->request);
  int64_t start_us = g_get_monotonic_time ();

  memset (claim, 0, sizeof *claim);
  if (sr_key_day_state (request->request, request->now_ms) != SR_KEY_DAY_ACCEPTED)
    claim->verdict = SR_CLAIM_EXPIRED;
  else
    claim->verdict = write_claim_ (orders, request, name->str, claim);
  if (g_get_monotonic_time () - start_us > (int64_t)CLAIM_DURATION_MAX_S * US_PER_S)
    claim->verdict = SR_CLAIM_UNCONFIRMED;
  set_outcome_ (request, claim);
  count_verdict_ (claim->verdict);
  g_string_free (name, TRUE);
}

/* Stores OUTCOME and, for an answered order, the LENGTH bytes of ANSWER in the claim that REQUEST
 * won, so that retries get them. An answer above SR_ORDER_ANSWER_MAX_BYTES is not stored, and
 * retries get UNKNOWN. Store NOT_RUN only when the order cannot have been executed; its key is not
 * dispatched again even so.
 *
 * Returns true when the platform has confirmed the outcome. Otherwise, unless the claim no longer
 * exists, the outcome is kept in memory for sr_orders_retry_pending (above PENDING_OUTCOMES_MAX the
 * oldest is dropped). Until it is stored, and permanently if this instance stops first, retries
 * find the order in progress, with the outcome UNKNOWN. */
bool
sr_orders_finish (struct sr_orders *orders,
                  const struct sr_claim_request *request,
                  struct sr_claim *claim,
                  enum sr_outcome outcome,
                  const char *answer,
                  size_t length)
{
  static const enum sr_order_state states[]
      = { SR_ORDER_ANSWERED, SR_ORDER_NOT_RUN, SR_ORDER_UNKNOWN };
  GString *name = object_name_ (request->team, request->request);
  struct sr_order_record record;
  enum sr_platform_status status;

  g_assert (claim->verdict == SR_CLAIM_WON);
  record_from_request_ (&record, request);
  record.state = states[outcome];
  if (outcome == SR_OUTCOME_ANSWERED && answer != NULL && length <= SR_ORDER_ANSWER_MAX_BYTES)
    {
      record.has_answer = true;
      g_string_append_len (record.answer, answer, (gssize)length);
    }
  status = store_outcome_ (orders, name->str, &record, claim->version);
  if (status == SR_PLATFORM_OK || status == SR_PLATFORM_ABSENT)
    sr_order_record_clear (&record);
  else
    add_pending_ (orders, name->str, &record, claim->version);
  g_string_free (name, TRUE);
  return status == SR_PLATFORM_OK;
}

/* Reads the claim of REQUEST of TEAM into CLAIM without claiming. The verdict is TAKEN, ABSENT or
 * PLATFORM_OUT. Clear CLAIM with sr_claim_clear. */
void
sr_orders_look_up (struct sr_orders *orders,
                   const char *team,
                   const char *request,
                   struct sr_claim *claim)
{
  GString *name = object_name_ (team, request);
  struct sr_order_record record;
  enum sr_platform_status status;

  memset (claim, 0, sizeof *claim);
  claim->outcome = SR_OUTCOME_UNKNOWN;
  sr_order_record_init (&record);
  status = read_claim_ (orders, name->str, &record, &claim->version);
  if (status == SR_PLATFORM_OK)
    {
      claim->verdict = SR_CLAIM_TAKEN;
      describe_record_ (&record, claim);
    }
  else
    claim->verdict = status == SR_PLATFORM_ABSENT ? SR_CLAIM_ABSENT : SR_CLAIM_PLATFORM_OUT;
  sr_order_record_clear (&record);
  g_string_free (name, TRUE);
}

/* Like sr_orders_look_up, but compares the claim with REQUEST: the verdict is also OTHER_BODY, or
 * WON if REQUEST itself wrote the claim. Clear CLAIM with sr_claim_clear. */
void
sr_orders_check_claim (struct sr_orders *orders,
                       const struct sr_claim_request *request,
                       struct sr_claim *claim)
{
  GString *name = object_name_ (request->team, request->request);
  struct sr_order_record record;
  enum sr_platform_status status;

  memset (claim, 0, sizeof *claim);
  claim->outcome = SR_OUTCOME_UNKNOWN;
  sr_order_record_init (&record);
  status = read_claim_ (orders, name->str, &record, &claim->version);
  if (status == SR_PLATFORM_OK)
    claim->verdict = compare_record_ (request, &record, claim);
  else
    claim->verdict = status == SR_PLATFORM_ABSENT ? SR_CLAIM_ABSENT : SR_CLAIM_PLATFORM_OUT;
  if (claim->verdict == SR_CLAIM_OTHER_BODY)
    set_outcome_ (request, claim);
  sr_order_record_clear (&record);
  g_string_free (name, TRUE);
}

/* Tries again to store the pending outcomes, oldest first, and stops at the first failure. Returns
 * how many are left. Blocks; call it from one thread only. */
unsigned
sr_orders_retry_pending (struct sr_orders *orders)
{
  struct pending_outcome *pending;
  enum sr_platform_status status;
  unsigned left;

  do
    {
      pthread_mutex_lock (&orders->mutex);
      pending = g_queue_pop_head (&orders->pending);
      left = orders->pending.length;
      pthread_mutex_unlock (&orders->mutex);
      if (pending == NULL)
        return 0;
      status = store_outcome_ (orders, pending->name->str, &pending->record, pending->version);
      if (status == SR_PLATFORM_OK || status == SR_PLATFORM_ABSENT)
        {
          pending_free_ (pending);
          sr_counter_set (&outcomes_pending, left);
          continue;
        }
      pthread_mutex_lock (&orders->mutex);
      g_queue_push_head (&orders->pending, pending);
      left = orders->pending.length;
      pthread_mutex_unlock (&orders->mutex);
      return left;
    }
  while (left > 0);
  return 0;
}

/* Checks the next PAGE claims in order of their names, continuing after those of the last call and
 * starting over at the end. Removes those whose day no instance accepts any more at NOW_MS (real
 * time). Costs one list, and a read and a write per claim removed. Returns how many were removed.
 * Several instances may do this at once; call it from one thread only of each. */
unsigned
sr_orders_remove_expired (struct sr_orders *orders, int64_t now_ms, unsigned page)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  unsigned removed = 0;
  bool more = false;

  if (sr_platform_list (orders->platform, ORDER_KIND, "", orders->removal_cursor->str, page, names,
                        &more)
      != SR_PLATFORM_OK)
    goto out;
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = names->pdata[i];
      const char *colon = strchr (name, ':');

      if (colon != NULL && sr_key_day_is_removable (colon + 1, now_ms)
          && remove_claim_ (orders, name))
        removed++;
    }
  g_string_assign (orders->removal_cursor, more ? names->pdata[names->len - 1] : "");
out:
  g_ptr_array_unref (names);
  return removed;
}

const char *
sr_claim_verdict_to_string (enum sr_claim_verdict verdict)
{
  g_assert ((size_t)verdict < G_N_ELEMENTS (verdict_strings));
  return verdict_strings[verdict];
}

void
sr_claim_clear (struct sr_claim *claim)
{
  if (claim->answer != NULL)
    g_string_free (claim->answer, TRUE);
  claim->answer = NULL;
}

/* Creates the claim object, and reads it back when the result of the write is unknown or a
 * conflict. After a lost response an absent object proves nothing, as the write may still take
 * effect. So the same claim is written again: whichever copy is applied first is recognised by its
 * nonce. */
static enum sr_claim_verdict
write_claim_ (struct sr_orders *orders,
              const struct sr_claim_request *request,
              const char *name,
              struct sr_claim *claim)
{
  enum sr_claim_verdict verdict = SR_CLAIM_UNCONFIRMED;
  struct sr_order_record record;
  GString *body = g_string_new (NULL);
  int64_t start_us = g_get_monotonic_time ();
  bool is_unconfirmed = false;
  bool is_decided = false;

  record_from_request_ (&record, request);
  sr_order_record_encode (&record, body);
  for (int i = 0; !is_decided && may_try_ (i, start_us); i++)
    {
      enum sr_platform_status status = sr_platform_put (orders->platform, ORDER_KIND, name,
                                                        body->str, body->len, 0, &claim->version);

      if (status == SR_PLATFORM_OK)
        {
          verdict = SR_CLAIM_WON;
          break;
        }
      if (status == SR_PLATFORM_UNKNOWN)
        is_unconfirmed = true;
      else if (status != SR_PLATFORM_CONFLICT)
        {
          verdict = is_unconfirmed ? SR_CLAIM_UNCONFIRMED : SR_CLAIM_PLATFORM_OUT;
          break;
        }
      if (read_claim_ (orders, name, &record, &claim->version) == SR_PLATFORM_OK)
        {
          verdict = compare_record_ (request, &record, claim);
          is_decided = true;
        }
    }
  g_string_free (body, TRUE);
  sr_order_record_clear (&record);
  return verdict;
}

/* A platform that does not respond must not hold up a caller for long. */
static bool
may_try_ (int tries, int64_t start_us)
{
  return tries < WRITE_TRIES_MAX
         && g_get_monotonic_time () - start_us < (int64_t)WRITE_RETRY_WINDOW_S * US_PER_S;
}

static enum sr_platform_status
read_claim_ (struct sr_orders *orders,
             const char *name,
             struct sr_order_record *record,
             int64_t *version)
{
  GString *body = g_string_new (NULL);
  enum sr_platform_status status
      = sr_platform_get (orders->platform, ORDER_KIND, name, body, version);

  if (status == SR_PLATFORM_OK && !sr_order_record_decode (body, record))
    status = SR_PLATFORM_UNKNOWN;
  g_string_free (body, TRUE);
  return status;
}

static enum sr_claim_verdict
compare_record_ (const struct sr_claim_request *request,
                 const struct sr_order_record *record,
                 struct sr_claim *claim)
{
  if (record->nonce == request->nonce)
    return SR_CLAIM_WON;
  if (record->fingerprint[0] != request->fingerprint[0]
      || record->fingerprint[1] != request->fingerprint[1])
    return SR_CLAIM_OTHER_BODY;
  describe_record_ (record, claim);
  return SR_CLAIM_TAKEN;
}

static void
describe_record_ (const struct sr_order_record *record, struct sr_claim *claim)
{
  static const enum sr_outcome outcomes[]
      = { SR_OUTCOME_UNKNOWN, SR_OUTCOME_ANSWERED, SR_OUTCOME_NOT_RUN, SR_OUTCOME_UNKNOWN };

  claim->outcome = outcomes[record->state];
  claim->in_progress = record->state == SR_ORDER_CLAIMED;
  g_strlcpy (claim->holder, record->holder, sizeof claim->holder);
  if (record->state == SR_ORDER_ANSWERED && !record->has_answer)
    claim->outcome = SR_OUTCOME_UNKNOWN;
  if (record->has_answer)
    claim->answer = g_string_new_len (record->answer->str, (gssize)record->answer->len);
}

static void
set_outcome_ (const struct sr_claim_request *request, struct sr_claim *claim)
{
  switch (claim->verdict)
    {
    case SR_CLAIM_TAKEN:
      break;
    case SR_CLAIM_WON:
    case SR_CLAIM_OTHER_BODY:
      claim->outcome = SR_OUTCOME_NOT_RUN;
      break;
    case SR_CLAIM_EXPIRED:
    case SR_CLAIM_PLATFORM_OUT:
      claim->outcome = request->first_attempt ? SR_OUTCOME_NOT_RUN : SR_OUTCOME_UNKNOWN;
      break;
    case SR_CLAIM_UNCONFIRMED:
    case SR_CLAIM_ABSENT:
      claim->outcome = SR_OUTCOME_UNKNOWN;
      break;
    }
}

static void
count_verdict_ (enum sr_claim_verdict verdict)
{
  if (verdict == SR_CLAIM_WON)
    sr_counter_add (&claims_won, 1);
  else if (verdict == SR_CLAIM_TAKEN)
    sr_counter_add (&claims_taken, 1);
  else if (verdict == SR_CLAIM_UNCONFIRMED)
    sr_counter_add (&claims_unconfirmed, 1);
  else
    sr_counter_add (&claims_refused, 1);
}

/* Returns OK when the platform holds RECORD, ABSENT when its claim no longer exists, else why it
 * could not be stored. */
static enum sr_platform_status
store_outcome_ (struct sr_orders *orders,
                const char *name,
                const struct sr_order_record *record,
                int64_t version)
{
  GString *body = g_string_new (NULL);
  enum sr_platform_status status = SR_PLATFORM_UNKNOWN;
  int64_t start_us = g_get_monotonic_time ();

  sr_order_record_encode (record, body);
  for (int i = 0; may_try_ (i, start_us); i++)
    {
      int64_t new_version = 0;

      status = sr_platform_put (orders->platform, ORDER_KIND, name, body->str, body->len, version,
                                &new_version);
      if (status == SR_PLATFORM_UNKNOWN || status == SR_PLATFORM_CONFLICT)
        status = read_outcome_ (orders, name, record);
      if (status != SR_PLATFORM_UNKNOWN)
        break;
    }
  g_string_free (body, TRUE);
  return status;
}

/* Returns OK when the platform holds WRITTEN, UNKNOWN when it holds the claim with another state,
 * ABSENT when the claim is missing or of another attempt, else why it could not be read. */
static enum sr_platform_status
read_outcome_ (struct sr_orders *orders, const char *name, const struct sr_order_record *written)
{
  struct sr_order_record found;
  enum sr_platform_status status;
  int64_t version;

  sr_order_record_init (&found);
  status = read_claim_ (orders, name, &found, &version);
  if (status == SR_PLATFORM_OK && found.nonce != written->nonce)
    status = SR_PLATFORM_ABSENT;
  else if (status == SR_PLATFORM_OK && found.state != written->state)
    status = SR_PLATFORM_UNKNOWN;
  sr_order_record_clear (&found);
  return status;
}

/* Takes ownership of the contents of RECORD. */
static void
add_pending_ (struct sr_orders *orders,
              const char *name,
              struct sr_order_record *record,
              int64_t version)
{
  struct pending_outcome *pending = g_new0 (struct pending_outcome, 1);
  struct pending_outcome *dropped = NULL;

  pending->name = g_string_new (name);
  pending->record = *record;
  pending->version = version;
  pthread_mutex_lock (&orders->mutex);
  if (orders->pending.length >= PENDING_OUTCOMES_MAX)
    dropped = g_queue_pop_head (&orders->pending);
  g_queue_push_tail (&orders->pending, pending);
  sr_counter_set (&outcomes_pending, orders->pending.length);
  pthread_mutex_unlock (&orders->mutex);
  if (dropped != NULL)
    pending_free_ (dropped);
}

static void
pending_free_ (void *data)
{
  struct pending_outcome *pending = data;

  g_string_free (pending->name, TRUE);
  sr_order_record_clear (&pending->record);
  g_free (pending);
}

static GString *
object_name_ (const char *team, const char *request)
{
  GString *name = g_string_new (team);

  g_string_append_c (name, ':');
  g_string_append (name, request);
  return name;
}

static void
record_from_request_ (struct sr_order_record *record, const struct sr_claim_request *request)
{
  sr_order_record_init (record);
  record->state = SR_ORDER_CLAIMED;
  record->nonce = request->nonce;
  record->fingerprint[0] = request->fingerprint[0];
  record->fingerprint[1] = request->fingerprint[1];
  g_strlcpy (record->holder, request->instance, sizeof record->holder);
}

static bool
remove_claim_ (struct sr_orders *orders, const char *name)
{
  GString *body = g_string_new (NULL);
  int64_t version;
  bool removed = false;

  if (sr_platform_get (orders->platform, ORDER_KIND, name, body, &version) == SR_PLATFORM_OK)
    removed = sr_platform_remove (orders->platform, ORDER_KIND, name, version) == SR_PLATFORM_OK;
  g_string_free (body, TRUE);
  return removed;
}
