#include "store/store.h"

static const char *const status_names_[] = {
  [STORE_OK] = "ok",
  [STORE_ABSENT] = "absent",
  [STORE_CONFLICT] = "conflict",
  [STORE_HISTORY_GONE] = "history_gone",
  [STORE_BUSY] = "busy",
  [STORE_UNREACHABLE] = "unreachable",
  [STORE_UNKNOWN] = "unknown",
  [STORE_INVALID] = "invalid",
};

/* Returns the word for STATUS in logs. */
const char *
store_status_to_string (enum store_status status)
{
  g_assert ((size_t)status < G_N_ELEMENTS (status_names_));
  return status_names_[status];
}

/* Reads object NAME of KIND; the answer is never stale. */
void
store_read (
    struct store *store, const char *kind, const char *name, store_callback done, void *data)
{
  store->vtable->read (store, kind, name, done, data);
}

/* Lists all objects of KIND; the answer is never stale. */
void
store_list (struct store *store, const char *kind, store_callback done, void *data)
{
  store->vtable->list (store, kind, done, data);
}

/* Waits up to WAIT_MS for changes of KIND after AFTER_REVISION; an answer without objects says that
 * there were none. */
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

/* Writes CONTENT, which stays the caller's, as object NAME of KIND if it has EXPECTED_REVISION, or
 * creates it when that is 0. */
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

/* Removes object NAME of KIND, whatever its revision. */
void
store_remove (
    struct store *store, const char *kind, const char *name, store_callback done, void *data)
{
  store->vtable->remove (store, kind, name, done, data);
}
