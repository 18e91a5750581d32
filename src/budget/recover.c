#include "budget/budget-private.h"

#include <string.h>

enum
{
  SEALS_MAX = 4,         /* of one update: each waits for a peer */
  SETTLING_US = 10000000 /* after the start, an instance that is not heard of may be alive */
};

enum fate
{
  FATE_IN_USE,
  FATE_SUSPECT,   /* believed dead: sealing is safe even when it is not */
  FATE_SUPERSEDED /* a later incarnation runs */
};

static enum fate
fate_of_ (struct sr_budgets *budgets,
          const struct sr_member_view *view,
          const char *instance,
          uint64_t incarnation);

/* Closes in RECORD of budget NAME the holders that are believed dead: as having spent the ceiling,
 * once their witness has sealed it; as having spent everything, when both the holder and its
 * witness are superseded by later incarnations. Returns whether RECORD was changed. Called without
 * the mutex; blocks for a few calls to witnesses. */
bool
sr_budget_recover (struct sr_budgets *budgets, const char *name, struct sr_record *record)
{
  struct sr_member_view *view = sr_budget_view (budgets);
  unsigned seals = 0;
  bool changed = false;

  for (unsigned i = record->holders->len; view != NULL && i > 0; i--)
    {
      struct sr_record_holder holder
          = g_array_index (record->holders, struct sr_record_holder, i - 1);
      enum fate fate = fate_of_ (budgets, view, holder.id.instance, holder.id.incarnation);
      enum fate witness = fate_of_ (budgets, view, holder.witness, holder.witness_incarnation);
      int64_t ceiling;

      if (fate == FATE_IN_USE)
        continue;
      if (holder.witness[0] != '\0' && witness == FATE_IN_USE && seals++ < SEALS_MAX
          && sr_budget_seal (budgets, name, &holder, &ceiling))
        {
          sr_record_close (record, &holder.id, MIN (ceiling, holder.granted));
          changed = true;
        }
      else if (fate == FATE_SUPERSEDED && (holder.witness[0] == '\0' || witness == FATE_SUPERSEDED))
        {
          sr_record_write_off (record, &holder.id);
          changed = true;
        }
    }
  sr_member_view_unref (view);
  return changed;
}

static enum fate
fate_of_ (struct sr_budgets *budgets,
          const struct sr_member_view *view,
          const char *instance,
          uint64_t incarnation)
{
  const struct sr_member *member = sr_member_view_find (view, instance);

  if (strcmp (instance, budgets->instance) == 0)
    return incarnation == budgets->options.incarnation ? FATE_IN_USE : FATE_SUPERSEDED;
  if (member == NULL)
    return g_get_monotonic_time () - budgets->started_us > SETTLING_US ? FATE_SUSPECT : FATE_IN_USE;
  if (member->incarnation > incarnation)
    return FATE_SUPERSEDED;
  return member->state == SR_MEMBER_DEAD ? FATE_SUSPECT : FATE_IN_USE;
}
