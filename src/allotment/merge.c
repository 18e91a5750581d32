/* After the store has come back from a copy: what is held here is put back into its records, and
 * nobody draws before the others have done so. Answers the loss of the last seconds of all records
 * while the holders live. */
#include "allotment/book-private.h"

#include "base/event-log.h"

enum
{
  US_PER_MS = 1000,
  MERGE_WAIT_MIN_US = 2000000, /* after the store's return, for holders that are not known here */
  MERGE_WAIT_MAX_US = 10000000 /* for those that are known and do not say that they have merged */
};

/* The store has come back from a copy of some time ago: its records may lack what is held here and
 * at the other INSTANCES (char *, copied), and their revisions say nothing of those that were
 * known.
 */
void
allotment_book_store_restored (struct allotment_book *manager, GPtrArray *instances, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  manager->restored_us = now_us;
  allotment_set_unmerged_ (manager, instances);
  g_hash_table_iter_init (&iter, manager->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct allotment_team *team = value;

      /* What is still out tells nothing any more; a write of it may take effect all the same. */
      team->step = STEP_IDLE;
      team->call = 0;
      team->check_call = 0;
      sr_record_delete (team->edited);
      sr_record_delete (team->record);
      team->edited = team->record = NULL;
      team->revision = 0;
      team->record_us = 0;
      sr_ledger_forget_versions (team->ledger);
      team->merge_is_due = sr_ledger_has_held (team->ledger);
      allotment_process_team_ (manager, team, now_us);
    }
}

/* Instance NAME holds nothing that the records of the store, as it has come back, lack. */
void
allotment_book_peer_merged (struct allotment_book *manager, const char *name, int64_t now_us)
{
  if (g_hash_table_remove (manager->unmerged, name) && g_hash_table_size (manager->unmerged) == 0)
    {
      sr_event (SR_EVENT_INFO, "records_merged", "{s:I}", "after_ms",
                (json_int_t)((now_us - manager->restored_us) / US_PER_MS));
      allotment_book_tick (manager, now_us);
    }
}

/* Tells whether the records hold all that is held here, as far as the store has come back from a
 * copy. */
bool
allotment_book_is_merged (const struct allotment_book *manager)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, manager->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const struct allotment_team *)value)->merge_is_due)
      return false;
  return true;
}

/* Remembers that none of the instances NAMES (char *, copied) has said that it has merged. */
void
allotment_set_unmerged_ (struct allotment_book *manager, const GPtrArray *names)
{
  g_hash_table_remove_all (manager->unmerged);
  for (unsigned i = 0; i < names->len; i++)
    g_hash_table_add (manager->unmerged, g_strdup (names->pdata[i]));
}

/* Tells whether holders may still be about to put into the record what the store has lost of it. */
bool
allotment_peers_may_be_merging_ (const struct allotment_book *manager, int64_t now_us)
{
  int64_t wait_us
      = g_hash_table_size (manager->unmerged) > 0 ? MERGE_WAIT_MAX_US : MERGE_WAIT_MIN_US;

  return manager->restored_us != 0 && now_us - manager->restored_us < wait_us;
}
