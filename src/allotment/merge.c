/* After a restore of the store from an older copy, each instance writes the tokens that it holds
 * back into the records (the merge), and no instance draws before its peers have merged. Designed
 * for the loss of the last seconds of all records while the holders' processes live on. */
#include "allotment/allotment-private.h"

#include "base/event-log.h"

enum
{
  US_PER_MS = 1000,
  MERGE_WAIT_MIN_US = 2000000, /* after a restore, for holders that are not known here */
  MERGE_WAIT_MAX_US = 10000000 /* for known peers that have not announced that they have merged */
};

/* Reports that the store was restored from an older copy: its records may lack tokens that are held
 * here and at the peers INSTANCES (char *, copied), and its revisions can't be compared with
 * earlier ones. */
void
allotment_manager_store_restored (struct allotment_manager *manager,
                                  GPtrArray *instances,
                                  int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  manager->restored_us = now_us;
  allotment_set_unmerged_ (manager, instances);
  g_hash_table_iter_init (&iter, manager->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct allotment_team *team = value;

      /* The results of calls that are under way are ignored from now on; a write may still take
       * effect. */
      team->step = STEP_IDLE;
      team->call = 0;
      team->check_call = 0;
      sr_record_delete (team->edited);
      team->edited = NULL;
      allotment_forget_record_ (team);
      team->revision = 0;
      sr_ledger_reset_versions (team->ledger);
      team->merge_is_due = sr_ledger_needs_merge (team->ledger) || team->known != NULL;
      allotment_process_team_ (manager, team, now_us);
    }
}

/* Reports that the restored records include all tokens that peer NAME holds, or that it has
 * stopped. */
void
allotment_manager_peer_merged (struct allotment_manager *manager, const char *name, int64_t now_us)
{
  if (g_hash_table_remove (manager->unmerged, name) && g_hash_table_size (manager->unmerged) == 0)
    {
      sr_event (SR_EVENT_INFO, "records_merged", "{s:I}", "after_ms",
                (json_int_t)((now_us - manager->restored_us) / US_PER_MS));
      allotment_manager_tick (manager, now_us);
    }
}

/* Returns whether the restored records include all tokens that are held here; true without a
 * restore. */
bool
allotment_manager_is_merged (const struct allotment_manager *manager)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, manager->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const struct allotment_team *)value)->merge_is_due)
      return false;
  return true;
}

/* Notes that the record of TEAM in the store may be another one by now. What it showed is kept: the
 * store may be restored before the record is read again. */
void
allotment_forget_record_ (struct allotment_team *team)
{
  team->record_us = 0;
  if (team->record == NULL)
    return;
  sr_record_delete (team->known);
  team->known = team->record;
  team->record = NULL;
}

/* Puts into RECORD, read at REVISION from a restored store, what is known here and it lacks: the
 * tokens held here, and the grants and closings of other instances that were on the record before
 * the restore, as those instances may have ended since. Returns whether RECORD must be written. */
bool
allotment_merge_record_ (const struct allotment_manager *manager,
                         struct allotment_team *team,
                         struct sr_record *record,
                         int64_t revision)
{
  bool changed;

  /* The content comes from an earlier era: it is a copy, or was written by instances that had not
   * learned of the restore. */
  if (revision == 0)
    sr_record_clear_limits (record);
  changed = sr_ledger_merge (team->ledger, record, revision);
  if (team->known != NULL
      && sr_record_merge (record, team->known, manager->options.instance,
                          manager->options.incarnation))
    changed = true;
  /* While the restored store has no record (revision 0), the first one that is written to it may be
   * another instance's: the merge stays due until a write succeeds. */
  return changed
         || (revision == 0 && (sr_ledger_needs_merge (team->ledger) || team->known != NULL));
}

/* Makes NAMES (char *, copied) the peers of which no merge has been reported. */
void
allotment_set_unmerged_ (struct allotment_manager *manager, const GPtrArray *names)
{
  g_hash_table_remove_all (manager->unmerged);
  for (unsigned i = 0; i < names->len; i++)
    g_hash_table_add (manager->unmerged, g_strdup (names->pdata[i]));
}

/* Returns whether peers may still be about to write tokens into the record that the restore lost.
 */
bool
allotment_peers_may_be_merging_ (const struct allotment_manager *manager, int64_t now_us)
{
  int64_t wait_us
      = g_hash_table_size (manager->unmerged) > 0 ? MERGE_WAIT_MAX_US : MERGE_WAIT_MIN_US;

  return manager->restored_us != 0 && now_us - manager->restored_us < wait_us;
}
