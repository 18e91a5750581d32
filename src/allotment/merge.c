/* After a restore of the store from an older copy, each instance writes the tokens that it holds
 * back into the records (the merge), and no instance draws before its peers have merged. Designed
 * for the loss of the last seconds of all records while the holders' processes live on. */
#include "allotment/allotment-private.h"

#include "base/event-log.h"
#include "base/rendezvous.h"

#include <string.h>

enum
{
  US_PER_MS = 1000,
  ENDED_MEMORY_US = 60000000,  /* far above the age of a copy and the time to learn of a restore */
  MERGE_WAIT_MIN_US = 2000000, /* after a restore, for holders that are not known here */
  MERGE_WAIT_MAX_US = 10000000 /* for known peers that have not announced that they have merged */
};

static bool ended_recently_ (const struct allotment_manager *manager, const char *name);
static bool answers_for_ended_ (const struct allotment_manager *manager,
                                const struct allotment_team *team,
                                int64_t now_us);
static bool may_have_drawn_ (const struct allotment_manager *manager,
                             const struct allotment_team *team,
                             const struct sr_record *record,
                             const char *name);

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
  allotment_prune_ended_ (manager, now_us);
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
      team->seen_before_us = team->seen_us;
      sr_ledger_reset_versions (team->ledger);
      team->merge_is_due = sr_ledger_needs_merge (team->ledger) || team->known != NULL
                           || allotment_add_missing_ (manager, team, NULL, now_us);
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
                         int64_t revision,
                         int64_t now_us)
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
  if (allotment_add_missing_ (manager, team, record, now_us))
    changed = true;
  /* Another instance took this one for ended. */
  if (sr_record_remove_missing (record, manager->options.instance, manager->options.incarnation))
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

void
allotment_ended_free_ (void *data)
{
  struct allotment_ended *ended = data;

  g_free (ended->name);
  g_free (ended);
}

/* Notes that INCARNATION of the peer NAME ended by ENDED_US. Its successor holds no tokens, and
 * nobody has to wait for its merge. */
void
allotment_note_ended_ (struct allotment_manager *manager,
                       const char *name,
                       uint64_t incarnation,
                       int64_t ended_us,
                       int64_t now_us)
{
  struct allotment_ended *ended = g_new0 (struct allotment_ended, 1);
  GHashTableIter iter;
  void *value;

  allotment_prune_ended_ (manager, now_us);
  *ended = (struct allotment_ended){ g_strdup (name), incarnation, MIN (ended_us, now_us),
                                     g_hash_table_contains (manager->unmerged, name) };
  g_ptr_array_add (manager->ended, ended);
  allotment_manager_peer_merged (manager, name, now_us);
  if (manager->restored_us == 0)
    return;
  g_hash_table_iter_init (&iter, manager->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct allotment_team *team = value;

      if (allotment_add_missing_ (manager, team, team->record, now_us))
        team->merge_is_due = true;
    }
}

/* Adds to RECORD the instances that may have been granted tokens of TEAM which nobody can put back
 * after the restore: those that ended after the record was last read here before the restore, and
 * without a merge, and those that were heard of since and have not merged in time. Only the
 * instance that answers for the ended ones does so: the one after them in the order of primaries.
 * Returns whether RECORD was changed, or without one (NULL) whether there are such instances. */
bool
allotment_add_missing_ (const struct allotment_manager *manager,
                        struct allotment_team *team,
                        struct sr_record *record,
                        int64_t now_us)
{
  unsigned before = record == NULL ? 0 : record->missing->len;
  GHashTableIter iter;
  void *name;

  if (manager->restored_us == 0
      || (manager->ended->len == 0 && g_hash_table_size (manager->unmerged) == 0)
      || !answers_for_ended_ (manager, team, now_us))
    return false;
  for (unsigned i = 0; i < manager->ended->len; i++)
    {
      const struct allotment_ended *ended = manager->ended->pdata[i];

      if ((ended->is_unmerged || ended->ended_us <= manager->restored_us)
          && team->seen_before_us <= ended->ended_us
          && may_have_drawn_ (manager, team, record != NULL ? record : team->known, ended->name))
        {
          if (record == NULL)
            return true;
          sr_record_add_missing (record, ended->name, ended->incarnation);
        }
    }
  if (record == NULL)
    return false;
  g_hash_table_iter_init (&iter, manager->unmerged);
  while (now_us - manager->restored_us >= MERGE_WAIT_MAX_US
         && g_hash_table_iter_next (&iter, &name, NULL))
    {
      const struct allotment_peer *peer = allotment_peer_find_ (manager, name);

      /* One that was not heard of since the record was read had most likely ended before. */
      if (peer != NULL && peer->heard_us >= team->seen_before_us
          && manager->restored_us - peer->heard_us < ENDED_MEMORY_US
          && may_have_drawn_ (manager, team, record, name))
        sr_record_add_missing (record, name, peer->incarnation);
    }
  if (record->missing->len > before)
    sr_event (SR_EVENT_WARNING, "grants_unknown", "{s:s,s:s,s:i}", "team", team->name, "instance",
              g_array_index (record->missing, struct sr_record_missing, before).instance,
              "instances", (int)(record->missing->len - before));
  return record->missing->len > before;
}

/* Returns whether this instance should read the record of TEAM because a peer has ended that may
 * have drawn: after a restore, what a peer drew is known only if someone has read it since. */
bool
allotment_ended_holder_is_unread_ (const struct allotment_manager *manager,
                                   const struct allotment_team *team,
                                   int64_t now_us)
{
  const struct sr_record *record = team->record != NULL ? team->record : team->known;

  if (manager->stopping)
    return false;
  for (unsigned i = 0; i < manager->ended->len; i++)
    {
      const struct allotment_ended *ended = manager->ended->pdata[i];

      if (team->seen_us <= ended->ended_us && may_have_drawn_ (manager, team, record, ended->name))
        return answers_for_ended_ (manager, team, now_us);
    }
  return false;
}

/* Forgets the ends that are too long ago to matter in a restore. */
void
allotment_prune_ended_ (struct allotment_manager *manager, int64_t now_us)
{
  for (unsigned i = manager->ended->len; i > 0; i--)
    if (now_us - ((const struct allotment_ended *)manager->ended->pdata[i - 1])->ended_us
        > ENDED_MEMORY_US)
      g_ptr_array_remove_index (manager->ended, i - 1);
}

static bool
ended_recently_ (const struct allotment_manager *manager, const char *name)
{
  for (unsigned i = 0; i < manager->ended->len; i++)
    if (strcmp (((const struct allotment_ended *)manager->ended->pdata[i])->name, name) == 0)
      return true;
  return false;
}

/* Returns whether this instance is the first in the order of primaries of TEAM among those that
 * have not ended recently and are not late with their merge; instances that have started again
 * don't know what was drawn before. */
static bool
answers_for_ended_ (const struct allotment_manager *manager,
                    const struct allotment_team *team,
                    int64_t now_us)
{
  bool merges_are_late
      = manager->restored_us != 0 && now_us - manager->restored_us >= MERGE_WAIT_MAX_US;
  size_t length = strlen (team->name);
  uint64_t own = sr_rendezvous_weight (team->name, length, manager->options.instance);

  if (manager->draining)
    return false;
  for (unsigned i = 0; i < manager->peers->len; i++)
    {
      const struct allotment_peer *peer = manager->peers->pdata[i];

      if (!ended_recently_ (manager, peer->name)
          && !(merges_are_late && g_hash_table_contains (manager->unmerged, peer->name))
          && sr_rendezvous_weight (team->name, length, peer->name) > own)
        return false;
    }
  return true;
}

/* Returns whether instance NAME may have drawn tokens of TEAM: it was the primary, or is a holder
 * on RECORD (may be NULL). Others draw only while they can't reach the primary. */
static bool
may_have_drawn_ (const struct allotment_manager *manager,
                 const struct allotment_team *team,
                 const struct sr_record *record,
                 const char *name)
{
  size_t length = strlen (team->name);

  for (unsigned i = 0; record != NULL && i < record->holders->len; i++)
    if (strcmp (g_array_index (record->holders, struct sr_record_holder, i).id.instance, name) == 0)
      return true;
  return sr_rendezvous_weight (team->name, length, name)
         > sr_rendezvous_weight (team->name, length, manager->options.instance);
}
