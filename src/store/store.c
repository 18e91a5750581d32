#include "store/store.h"

#include "base/event-log.h"

static const char *const status_names_[] = {
  [STORE_OK] = "ok",
  [STORE_ABSENT] = "absent",
  [STORE_CONFLICT] = "conflict",
  [STORE_HISTORY_EXPIRED] = "history_gone",
  [STORE_BUSY] = "busy",
  [STORE_UNREACHABLE] = "unreachable",
  [STORE_UNKNOWN] = "unknown",
  [STORE_INVALID] = "invalid",
};

/* Returns the log name of STATUS. */
const char *
store_status_to_string (enum store_status status)
{
  g_assert ((size_t)status < G_N_ELEMENTS (status_names_));
  return status_names_[status];
}

/* Sets the callback for a restore of the store. It is called before the callback of the call that
 * showed the restore. */
void
store_on_restored (struct store *store, store_restored_callback restored, void *data)
{
  store->restored = restored;
  store->restored_data = data;
}

/* For implementations: notes the ERA (> 0) of a response of STORE and reports a restore. Returns
 * false if the response is from before the last restore and must be ignored. */
bool
store_observe_era (struct store *store, int64_t era)
{
  int64_t known = store->era;

  g_assert (era > 0);
  if (era < known)
    {
      sr_event (SR_EVENT_WARNING, "store_answer_outdated", "{s:I,s:I}", "era", (json_int_t)era,
                "known", (json_int_t)known);
      return false;
    }
  if (era == known)
    return true;
  store->era = era;
  if (known == 0)
    return true;
  sr_event (SR_EVENT_WARNING, "store_restored", "{s:I,s:I}", "before", (json_int_t)known, "era",
            (json_int_t)era);
  if (store->restored != NULL)
    store->restored (era, store->restored_data);
  return true;
}

/* Reads object NAME of KIND. The result is never stale. */
void
store_read (
    struct store *store, const char *kind, const char *name, store_callback done, void *data)
{
  store->vtable->read (store, kind, name, done, data);
}

/* Lists all objects of KIND. The result is never stale. */
void
store_list (struct store *store, const char *kind, store_callback done, void *data)
{
  store->vtable->list (store, kind, done, data);
}

/* Waits up to WAIT_MS for changes to objects of KIND after AFTER_REVISION. A result without objects
 * means that there were none. */
void
store_watch (struct store *store,
             const char *kind,
             int64_t after_revision,
             unsigned wait_ms,
             store_callback done,
             void *data)
{
  store->vtable->watch (store, kind, after_revision, wait_ms, done, data);
}

/* Writes CONTENT as object NAME of KIND if the object has EXPECTED_REVISION, or creates it if that
 * is 0. The caller keeps its reference to CONTENT. */
void
store_write (struct store *store,
             const char *kind,
             const char *name,
             json_t *content,
             int64_t expected_revision,
             store_callback done,
             void *data)
{
  store->vtable->write (store, kind, name, content, expected_revision, done, data);
}

/* Removes object NAME of KIND regardless of its revision. */
void
store_remove (
    struct store *store, const char *kind, const char *name, store_callback done, void *data)
{
  store->vtable->remove (store, kind, name, done, data);
}

/* Returns whether objects of KIND are arriving, in the response to a list or watch that is not
 * complete yet. */
bool
store_is_receiving (struct store *store, const char *kind)
{
  return store->vtable->is_receiving != NULL && store->vtable->is_receiving (store, kind);
}
