#include "budget/budget-private.h"

#include "audit/audit.h"
#include "base/log.h"

#include <string.h>
#include <xxhash.h>

enum
{
  US_PER_MS = 1000,
  AUDIT_LIMIT_US = 1000000,   /* for writing one audit entry */
  SEALS_MAX = 4,              /* per update: each blocks for a call to a peer */
  STARTUP_GRACE_US = 10000000 /* until then, instances missing from the view may be alive */
};

enum liveness
{
  LIVENESS_ALIVE,
  LIVENESS_SUSPECT,   /* assumed dead: sealing is safe even if it is alive */
  LIVENESS_SUPERSEDED /* a later incarnation was seen: the process has ended */
};

static char *reclaim_id_ (const char *name, const struct sr_holder_id *id);
static enum liveness liveness_of_ (struct sr_budgets *budgets,
                                   const struct sr_member_view *view,
                                   const char *instance,
                                   uint64_t incarnation);

/* Closes dead holders in RECORD of budget NAME. A holder that is assumed dead is closed as having
 * spent its ceiling, once its witness has sealed it. A holder that is superseded, and has no
 * witness or one that is superseded too, is written off as having spent its whole grant. Adds the
 * closed holders to CLOSED (struct sr_record_holder, with spent set). Returns whether RECORD was
 * changed. Called without the mutex; blocks for a few calls to witnesses. */
bool
sr_budget_reclaim (struct sr_budgets *budgets,
                   const char *name,
                   struct sr_record *record,
                   GArray *closed)
{
  struct sr_member_view *view = sr_budget_view (budgets);
  unsigned seals = 0;

  for (unsigned i = record->holders->len; view != NULL && i > 0; i--)
    {
      struct sr_record_holder holder
          = g_array_index (record->holders, struct sr_record_holder, i - 1);
      enum liveness liveness
          = liveness_of_ (budgets, view, holder.id.instance, holder.id.incarnation);
      enum liveness witness
          = liveness_of_ (budgets, view, holder.witness, holder.witness_incarnation);
      int64_t ceiling;

      if (liveness == LIVENESS_ALIVE)
        continue;
      if (holder.witness[0] != '\0' && witness == LIVENESS_ALIVE && seals++ < SEALS_MAX
          && sr_budget_seal (budgets, name, &holder, &ceiling))
        {
          holder.spent = MIN (ceiling, holder.granted);
          sr_record_close (record, &holder.id, holder.spent);
          g_array_append_val (closed, holder);
        }
      else if (liveness == LIVENESS_SUPERSEDED
               && (holder.witness[0] == '\0' || witness == LIVENESS_SUPERSEDED))
        {
          sr_record_write_off (record, &holder.id, SR_TIME_UNKNOWN);
          holder.spent = holder.granted;
          g_array_append_val (closed, holder);
        }
    }
  sr_member_view_unref (view);
  return closed->len > 0;
}

/* Writes an audit entry for each of the holders CLOSED of budget NAME whose tokens were reclaimed.
 * An entry that could not be written is logged. */
void
sr_budget_audit_reclaimed (struct sr_budgets *budgets, const char *name, const GArray *closed)
{
  for (unsigned i = 0; i < closed->len; i++)
    {
      const struct sr_record_holder *holder = &g_array_index (closed, struct sr_record_holder, i);
      g_autofree char *id = reclaim_id_ (name, &holder->id);
      struct sr_audit_entry *entry = sr_audit_entry_new (SR_AUDIT_RECLAIM, id, budgets->instance,
                                                         g_get_real_time () / US_PER_MS);

      g_string_printf (entry->subject, "budget %s", name);
      g_string_printf (entry->before, "%" G_GINT64_FORMAT " tokens held by %s", holder->granted,
                       holder->id.instance);
      g_string_printf (entry->after, "%" G_GINT64_FORMAT " tokens settled", holder->spent);
      sr_log (G_LOG_LEVEL_MESSAGE, "take-back", "budget %s: %s: %s, %s", name, holder->id.instance,
              entry->before->str, entry->after->str);
      if (sr_audit_write (budgets->options.platform, entry,
                          g_get_monotonic_time () + AUDIT_LIMIT_US)
          != SR_PLATFORM_OK)
        sr_log (G_LOG_LEVEL_WARNING, "audit",
                "no audit entry was written for the reclaimed record %s", id);
      sr_audit_entry_delete (entry);
    }
}

static enum liveness
liveness_of_ (struct sr_budgets *budgets,
              const struct sr_member_view *view,
              const char *instance,
              uint64_t incarnation)
{
  const struct sr_member *member = sr_member_view_find (view, instance);

  if (strcmp (instance, budgets->instance) == 0)
    return incarnation == budgets->options.incarnation ? LIVENESS_ALIVE : LIVENESS_SUPERSEDED;
  if (member == NULL)
    return g_get_monotonic_time () - budgets->started_us > STARTUP_GRACE_US ? LIVENESS_SUSPECT
                                                                            : LIVENESS_ALIVE;
  if (member->incarnation > incarnation)
    return LIVENESS_SUPERSEDED;
  return member->state == SR_MEMBER_DEAD ? LIVENESS_SUSPECT : LIVENESS_ALIVE;
}

/* Returns the id of the audit entry. It holds a hash of the holder's id, which may be longer than
 * an entry's id can be. */
static char *
reclaim_id_ (const char *name, const struct sr_holder_id *id)
{
  g_autofree char *key = g_strdup_printf ("%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
                                          id->instance, id->incarnation, id->generation);

  return g_strdup_printf ("%s.%016" G_GINT64_MODIFIER "x", name,
                          (guint64)XXH3_64bits (key, strlen (key)));
}
