#include "budget/budget-private.h"

#include <unistd.h>

enum
{
  TRIES_MAX = 12,  /* conditional writes of one update */
  KEEP_COVERS = 2, /* tokens above this multiple of the demand that a draw covers are returned */
  BACKOFF_MIN_US = 500,     /* before an update is tried again */
  BACKOFF_SPREAD_US = 4000, /* random addition, times the number of tries */
  /* Bounds of the pause after a failed call to the platform, which is twice the call's duration. */
  PLATFORM_BACKOFF_MIN_US = 500000,
  PLATFORM_BACKOFF_MAX_US = 5000000
};

/* One try to update a budget's record on the platform. */
struct update
{
  struct sr_record *record;
  int64_t version;
  bool write; /* the edit changed the record */
  enum sr_draw_result result;
};

/* What an update changes in the record. */
struct edit
{
  void (*function) (struct sr_budgets *budgets,
                    struct sr_budget_entry *entry,
                    const struct edit *edit,
                    struct update *update);
  int64_t need; /* of a draw: tokens */
  enum sr_ledger_close_mode close_mode;
};

static enum sr_draw_result
update_ (struct sr_budgets *budgets, struct sr_budget_entry *entry, const struct edit *edit);
static enum sr_platform_status
read_ (struct sr_budgets *budgets, const char *name, struct update *update);
static enum sr_platform_status
write_ (struct sr_budgets *budgets, const char *name, const struct update *update);
static void
update_backoff_ (struct sr_budgets *budgets, enum sr_platform_status status, int64_t begin_us);
static void edit_draw_ (struct sr_budgets *budgets,
                        struct sr_budget_entry *entry,
                        const struct edit *edit,
                        struct update *update);
static void edit_keep_ (struct sr_budgets *budgets,
                        struct sr_budget_entry *entry,
                        const struct edit *edit,
                        struct update *update);
static void edit_close_ (struct sr_budgets *budgets,
                         struct sr_budget_entry *entry,
                         const struct edit *edit,
                         struct update *update);

/* Tells whether the platform failed so recently that it is not called again yet. A response to any
 * other call since then ends the backoff. Called with the mutex held. */
bool
sr_budget_platform_in_backoff (struct sr_budgets *budgets, int64_t now_us)
{
  return now_us < budgets->platform_backoff_until_us
         && sr_platform_last_response_us (budgets->options.platform) <= budgets->platform_failed_us;
}

/* Draws tokens from the platform so that NEED tokens can be reserved, and those of the expected
 * demand. Called by a worker without the mutex; blocks for calls to the platform and to witnesses.
 */
enum sr_draw_result
sr_budget_draw (struct sr_budgets *budgets, struct sr_budget_entry *entry, int64_t need)
{
  const struct edit edit
      = { .function = edit_draw_, .need = need, .close_mode = SR_LEDGER_KEEP_OPEN };

  return update_ (budgets, entry, &edit);
}

/* Writes the spent tokens to the platform, and returns those that exceed demand. Closes the own
 * records that have no open reservation when CLOSE_MODE says so. Called without the mutex; blocks
 * for calls. Returns false when the platform could not be read or written. */
bool
sr_budget_give_back (struct sr_budgets *budgets,
                     struct sr_budget_entry *entry,
                     enum sr_ledger_close_mode close_mode)
{
  const struct edit edit
      = { .function = close_mode == SR_LEDGER_KEEP_OPEN ? edit_keep_ : edit_close_,
          .close_mode = close_mode };
  struct sr_record_holder closed = { 0 };
  bool reached;

  pthread_mutex_lock (&budgets->mutex);
  if (close_mode != SR_LEDGER_KEEP_OPEN && entry->ledger->own != NULL)
    {
      closed.id = entry->ledger->own->id;
      closed.witness_incarnation = entry->ledger->own->witness_incarnation;
      g_strlcpy (closed.witness, entry->ledger->own->witness, sizeof closed.witness);
    }
  pthread_mutex_unlock (&budgets->mutex);
  reached = update_ (budgets, entry, &edit) != SR_DRAW_UNREACHABLE;
  pthread_mutex_lock (&budgets->mutex);
  if (entry->ledger->own != NULL)
    closed.witness[0] = '\0';
  pthread_mutex_unlock (&budgets->mutex);
  if (reached)
    sr_budget_report_closed (budgets, entry->name, &closed.id, closed.witness,
                             closed.witness_incarnation);
  return reached;
}

/* Reads, edits and conditionally writes the record, until a write succeeds. A write whose response
 * was lost, or that conflicted with another writer's, is resolved by the next read. */
static enum sr_draw_result
update_ (struct sr_budgets *budgets, struct sr_budget_entry *entry, const struct edit *edit)
{
  enum sr_platform_status status = SR_PLATFORM_UNREACHABLE;
  struct update update = { 0 };
  int64_t begin_us = 0;
  GArray *closed = g_array_new (FALSE, FALSE, sizeof (struct sr_record_holder));

  for (unsigned try = 0; try < TRIES_MAX; try++)
    {
      update = (struct update){ .result = SR_DRAW_DONE };
      begin_us = g_get_monotonic_time ();
      status = read_ (budgets, entry->name, &update);
      if (status != SR_PLATFORM_OK)
        break;
      g_array_set_size (closed, 0);
      update.write = sr_budget_reclaim (budgets, entry->name, update.record, closed);
      pthread_mutex_lock (&budgets->mutex);
      sr_ledger_apply_read (entry->ledger, update.record, update.version);
      sr_budget_entry_set_holders (budgets, entry, update.record);
      update.write |= sr_ledger_close_retired (entry->ledger, update.record, edit->close_mode);
      edit->function (budgets, entry, edit, &update);
      pthread_mutex_unlock (&budgets->mutex);
      if (!update.write)
        break;
      status = write_ (budgets, entry->name, &update);
      if (status == SR_PLATFORM_OK)
        {
          pthread_mutex_lock (&budgets->mutex);
          sr_ledger_apply_write (entry->ledger, update.record);
          pthread_mutex_unlock (&budgets->mutex);
          sr_budget_audit_reclaimed (budgets, entry->name, closed);
          break;
        }
      if (status != SR_PLATFORM_CONFLICT && status != SR_PLATFORM_UNKNOWN)
        break;
      sr_record_delete (update.record);
      update.record = NULL;
      usleep (BACKOFF_MIN_US + (unsigned)g_random_int_range (0, BACKOFF_SPREAD_US) * (try + 1));
    }
  sr_record_delete (update.record);
  g_array_unref (closed);
  pthread_mutex_lock (&budgets->mutex);
  update_backoff_ (budgets, status, begin_us);
  pthread_mutex_unlock (&budgets->mutex);
  return status == SR_PLATFORM_OK ? update.result : SR_DRAW_UNREACHABLE;
}

/* A budget without an object on the platform was never topped up: it reads as an empty record of
 * version 0. */
static enum sr_platform_status
read_ (struct sr_budgets *budgets, const char *name, struct update *update)
{
  GString *body = g_string_new (NULL);
  enum sr_platform_status status;

  status
      = sr_platform_get (budgets->options.platform, SR_BUDGET_KIND, name, body, &update->version);
  if (status == SR_PLATFORM_ABSENT)
    {
      update->record = sr_record_new ();
      update->version = 0;
      status = SR_PLATFORM_OK;
    }
  else if (status == SR_PLATFORM_OK)
    {
      update->record = sr_record_parse (body->str, body->len);
      if (update->record == NULL)
        {
          g_warning ("budget %s: the platform's object is malformed", name);
          status = SR_PLATFORM_UNREACHABLE;
        }
    }
  g_string_free (body, TRUE);
  return status;
}

static enum sr_platform_status
write_ (struct sr_budgets *budgets, const char *name, const struct update *update)
{
  GString *body = g_string_new (NULL);
  enum sr_platform_status status;
  int64_t version;

  sr_record_print (update->record, body);
  status = sr_platform_put (budgets->options.platform, SR_BUDGET_KIND, name, body->str, body->len,
                            update->version, &version);
  g_string_free (body, TRUE);
  return status;
}

static void
update_backoff_ (struct sr_budgets *budgets, enum sr_platform_status status, int64_t begin_us)
{
  int64_t now_us = g_get_monotonic_time ();

  if (status == SR_PLATFORM_OK || status == SR_PLATFORM_CONFLICT)
    budgets->platform_backoff_until_us = 0;
  else
    {
      budgets->platform_failed_us = now_us;
      budgets->platform_backoff_until_us
          = now_us
            + CLAMP (2 * (now_us - begin_us), PLATFORM_BACKOFF_MIN_US, PLATFORM_BACKOFF_MAX_US);
    }
}

static void
edit_draw_ (struct sr_budgets *budgets,
            struct sr_budget_entry *entry,
            const struct edit *edit,
            struct update *update)
{
  struct sr_ledger *ledger = entry->ledger;
  int64_t available = sr_ledger_held (ledger);
  int64_t need = edit->need - available;
  int64_t want = sr_ledger_demand (ledger, g_get_monotonic_time (), ledger->options.cover_us);
  struct sr_member witness;

  want -= available;
  if (MAX (need, want) <= 0)
    return;
  if (sr_record_remaining (update->record) < need)
    update->result = SR_DRAW_SHORT;
  if (sr_record_remaining (update->record) <= 0)
    return;
  if (ledger->own == NULL && sr_budget_pick_witness (budgets, &witness))
    sr_ledger_draw (ledger, update->record, update->version, need, want, witness.name,
                    witness.incarnation);
  else
    sr_ledger_draw (ledger, update->record, update->version, need, want, NULL, 0);
  update->write = true;
}

static void
edit_keep_ (struct sr_budgets *budgets,
            struct sr_budget_entry *entry,
            const struct edit *edit,
            struct update *update)
{
  struct sr_ledger *ledger = entry->ledger;
  int64_t now_us = g_get_monotonic_time ();
  int64_t keep = 0;

  if (sr_record_remaining (update->record) >= 0 && !sr_ledger_is_idle (ledger, now_us))
    keep = sr_ledger_demand (ledger, now_us, KEEP_COVERS * ledger->options.cover_us);
  if (sr_ledger_give_back (ledger, update->record, update->version, keep, edit->close_mode))
    update->write = true;
}

static void
edit_close_ (struct sr_budgets *budgets,
             struct sr_budget_entry *entry,
             const struct edit *edit,
             struct update *update)
{
  if (sr_ledger_give_back (entry->ledger, update->record, update->version, 0, edit->close_mode))
    update->write = true;
}
