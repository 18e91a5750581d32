#include "emulator/platform/store.h"

#include "base/thread.h"

#include <pthread.h>
#include <string.h>

struct object_
{
  GString *body;
  int64_t version;
};

struct store
{
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  GHashTable *kinds;    /* kind -> GTree of name -> struct object_ */
  int64_t last_version; /* one counter for all objects */
};

static struct object_ *find_ (struct store *store, const char *kind, const char *name);
static GTree *names_of_kind_ (struct store *store, const char *kind);
static void free_object_ (gpointer data);
static int compare_names_ (gconstpointer a, gconstpointer b, gpointer data);

/* Creates an empty store. It is never freed. */
struct store *
store_new (void)
{
  struct store *store = g_new0 (struct store, 1);

  pthread_mutex_init (&store->mutex, NULL);
  sr_cond_init (&store->changed);
  store->kinds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_tree_unref);
  return store;
}

/* Copies an object into BODY and VERSION; returns STORE_ABSENT when there is none. */
enum store_status
store_get (struct store *store, const char *kind, const char *name, GString *body, int64_t *version)
{
  return store_wait (store, kind, name, -1, 0, body, version);
}

/* Writes an object if its version is EXPECTED_VERSION (0: absent). Sets VERSION to the new version,
 * or on STORE_CONFLICT to the current one. */
enum store_status
store_put (struct store *store,
           const char *kind,
           const char *name,
           const GString *body,
           int64_t expected_version,
           int64_t *version)
{
  enum store_status status = STORE_CONFLICT;
  struct object_ *object;

  pthread_mutex_lock (&store->mutex);
  object = find_ (store, kind, name);
  *version = object != NULL ? object->version : 0;
  if (*version != expected_version)
    goto out;
  if (object == NULL)
    {
      object = g_new0 (struct object_, 1);
      object->body = g_string_new (NULL);
      g_tree_insert (names_of_kind_ (store, kind), g_strdup (name), object);
    }
  g_string_truncate (object->body, 0);
  g_string_append_len (object->body, body->str, (gssize)body->len);
  object->version = ++store->last_version;
  *version = object->version;
  pthread_cond_broadcast (&store->changed);
  status = STORE_OK;
out:
  pthread_mutex_unlock (&store->mutex);
  return status;
}

/* Removes an object if its version is EXPECTED_VERSION. Sets VERSION to the version before. */
enum store_status
store_remove (struct store *store,
              const char *kind,
              const char *name,
              int64_t expected_version,
              int64_t *version)
{
  enum store_status status = STORE_OK;
  struct object_ *object;

  pthread_mutex_lock (&store->mutex);
  object = find_ (store, kind, name);
  *version = object != NULL ? object->version : 0;
  if (object == NULL)
    status = STORE_ABSENT;
  else if (object->version != expected_version)
    status = STORE_CONFLICT;
  else
    {
      g_tree_remove (names_of_kind_ (store, kind), name);
      store->last_version++;
    }
  pthread_mutex_unlock (&store->mutex);
  return status;
}

/* Waits until the object's version is above AFTER_VERSION and copies it; returns STORE_ABSENT when
 * that is not the case by END_US (monotonic). */
enum store_status
store_wait (struct store *store,
            const char *kind,
            const char *name,
            int64_t after_version,
            int64_t end_us,
            GString *body,
            int64_t *version)
{
  enum store_status status = STORE_ABSENT;
  struct object_ *object;

  pthread_mutex_lock (&store->mutex);
  for (;;)
    {
      object = find_ (store, kind, name);
      if ((object != NULL && object->version > after_version) || g_get_monotonic_time () >= end_us)
        break;
      sr_cond_wait_until (&store->changed, &store->mutex, end_us);
    }
  if (object != NULL && object->version > after_version)
    {
      g_string_append_len (body, object->body->str, (gssize)object->body->len);
      *version = object->version;
      status = STORE_OK;
    }
  pthread_mutex_unlock (&store->mutex);
  return status;
}

/* Returns the list document: up to LIMIT names that begin with PREFIX, in order, after AFTER (NULL:
 * from the first), and whether there are more. The caller owns it. */
json_t *
store_list (
    struct store *store, const char *kind, const char *prefix, const char *after, int64_t limit)
{
  json_t *objects = json_array ();
  bool more = false;
  GTreeNode *node;

  pthread_mutex_lock (&store->mutex);
  if (after != NULL && strcmp (after, prefix) >= 0)
    node = g_tree_upper_bound (names_of_kind_ (store, kind), after);
  else
    node = g_tree_lower_bound (names_of_kind_ (store, kind), prefix);
  for (; node != NULL; node = g_tree_node_next (node))
    {
      const char *name = g_tree_node_key (node);
      const struct object_ *object = g_tree_node_value (node);

      if (!g_str_has_prefix (name, prefix))
        break;
      if ((int64_t)json_array_size (objects) >= limit)
        {
          more = true;
          break;
        }
      json_array_append_new (
          objects, json_pack ("{s:s,s:I}", "name", name, "version", (json_int_t)object->version));
    }
  pthread_mutex_unlock (&store->mutex);
  return json_pack ("{s:o,s:b}", "objects", objects, "more", (int)more);
}

static struct object_ *
find_ (struct store *store, const char *kind, const char *name)
{
  return g_tree_lookup (names_of_kind_ (store, kind), name);
}

static GTree *
names_of_kind_ (struct store *store, const char *kind)
{
  GTree *names = g_hash_table_lookup (store->kinds, kind);

  if (names == NULL)
    {
      names = g_tree_new_full (compare_names_, NULL, g_free, free_object_);
      g_hash_table_insert (store->kinds, g_strdup (kind), names);
    }
  return names;
}

static void
free_object_ (gpointer data)
{
  struct object_ *object = data;

  g_string_free (object->body, TRUE);
  g_free (object);
}

static int
compare_names_ (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}
