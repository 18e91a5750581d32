#include "platform/platform-memory.h"

#include <pthread.h>
#include <string.h>

struct memory_object_
{
  GString *body;
  int64_t version;
};

struct memory_platform_
{
  struct sr_platform base;
  pthread_mutex_t mutex;
  GTree *objects; /* "KIND/NAME" to struct memory_object_ */
  int64_t last_version;
  bool unreachable;
  unsigned responses_to_lose;
  unsigned writes;
};

struct list_walk_
{
  const char *kind_prefix;
  const char *after;
  size_t kind_length;
  unsigned limit;
  GPtrArray *names;
  bool more;
};

static enum sr_platform_status get_ (struct sr_platform *platform,
                                     const char *kind,
                                     const char *name,
                                     GString *body,
                                     int64_t *version);
static enum sr_platform_status put_ (struct sr_platform *platform,
                                     const char *kind,
                                     const char *name,
                                     const char *body,
                                     size_t length,
                                     int64_t expected_version,
                                     int64_t *version);
static enum sr_platform_status list_ (struct sr_platform *platform,
                                      const char *kind,
                                      const char *prefix,
                                      const char *after,
                                      unsigned limit,
                                      GPtrArray *names,
                                      bool *more);
static enum sr_platform_status watch_ (struct sr_platform *platform,
                                       const char *kind,
                                       const char *name,
                                       int64_t after_version,
                                       int wait_ms,
                                       GString *body,
                                       int64_t *version);
static enum sr_platform_status instances_ (struct sr_platform *platform, GString *body);
static enum sr_platform_status remove_ (struct sr_platform *platform,
                                        const char *kind,
                                        const char *name,
                                        int64_t expected_version);
static void finish_ (struct sr_platform *platform);
static gboolean list_visit_ (gpointer key, gpointer value, gpointer data);
static gint compare_ (gconstpointer left, gconstpointer right, gpointer data);
static void object_free_ (gpointer data);
static bool lose_response_ (struct memory_platform_ *memory);

static const struct sr_platform_vtable memory_vtable = {
  .get = get_,
  .put = put_,
  .list = list_,
  .watch = watch_,
  .instances = instances_,
  .remove = remove_,
  .finish = finish_,
};

/* The caller owns the one reference. */
struct sr_platform *
sr_platform_memory_new (void)
{
  struct memory_platform_ *memory = g_new0 (struct memory_platform_, 1);

  memory->base.vtable = &memory_vtable;
  memory->base.reference_count = 1;
  pthread_mutex_init (&memory->mutex, NULL);
  memory->objects = g_tree_new_full (compare_, NULL, g_free, object_free_);
  return &memory->base;
}

/* Starts or ends an outage, in which every call except sr_platform_instances returns UNREACHABLE.
 */
void
sr_platform_memory_set_unreachable (struct sr_platform *platform, bool unreachable)
{
  struct memory_platform_ *memory = (struct memory_platform_ *)platform;

  pthread_mutex_lock (&memory->mutex);
  memory->unreachable = unreachable;
  pthread_mutex_unlock (&memory->mutex);
}

/* Makes the next COUNT writes that take effect return UNKNOWN. */
void
sr_platform_memory_lose_responses (struct sr_platform *platform, unsigned count)
{
  struct memory_platform_ *memory = (struct memory_platform_ *)platform;

  pthread_mutex_lock (&memory->mutex);
  memory->responses_to_lose = count;
  pthread_mutex_unlock (&memory->mutex);
}

/* Returns how many puts and removals were requested, whatever their result. */
unsigned
sr_platform_memory_writes (struct sr_platform *platform)
{
  struct memory_platform_ *memory = (struct memory_platform_ *)platform;
  unsigned writes;

  pthread_mutex_lock (&memory->mutex);
  writes = memory->writes;
  pthread_mutex_unlock (&memory->mutex);
  return writes;
}

static enum sr_platform_status
get_ (struct sr_platform *platform,
      const char *kind,
      const char *name,
      GString *body,
      int64_t *version)
{
  struct memory_platform_ *memory = (struct memory_platform_ *)platform;
  g_autofree char *key = g_strdup_printf ("%s/%s", kind, name);
  enum sr_platform_status status = SR_PLATFORM_ABSENT;
  struct memory_object_ *object;

  *version = 0;
  pthread_mutex_lock (&memory->mutex);
  object = g_tree_lookup (memory->objects, key);
  if (memory->unreachable)
    status = SR_PLATFORM_UNREACHABLE;
  else if (object != NULL)
    {
      g_string_truncate (body, 0);
      g_string_append_len (body, object->body->str, (gssize)object->body->len);
      *version = object->version;
      status = SR_PLATFORM_OK;
    }
  pthread_mutex_unlock (&memory->mutex);
  return status;
}

static enum sr_platform_status
put_ (struct sr_platform *platform,
      const char *kind,
      const char *name,
      const char *body,
      size_t length,
      int64_t expected_version,
      int64_t *version)
{
  struct memory_platform_ *memory = (struct memory_platform_ *)platform;
  char *key = g_strdup_printf ("%s/%s", kind, name);
  enum sr_platform_status status;
  struct memory_object_ *object;

  pthread_mutex_lock (&memory->mutex);
  memory->writes++;
  object = g_tree_lookup (memory->objects, key);
  *version = object != NULL ? object->version : 0;
  if (memory->unreachable)
    status = SR_PLATFORM_UNREACHABLE;
  else if (*version != expected_version)
    status = SR_PLATFORM_CONFLICT;
  else
    {
      object = g_new0 (struct memory_object_, 1);
      object->body = g_string_new_len (body, (gssize)length);
      object->version = ++memory->last_version;
      g_tree_replace (memory->objects, g_strdup (key), object);
      *version = object->version;
      status = lose_response_ (memory) ? SR_PLATFORM_UNKNOWN : SR_PLATFORM_OK;
    }
  pthread_mutex_unlock (&memory->mutex);
  g_free (key);
  return status;
}

static enum sr_platform_status
list_ (struct sr_platform *platform,
       const char *kind,
       const char *prefix,
       const char *after,
       unsigned limit,
       GPtrArray *names,
       bool *more)
{
  struct memory_platform_ *memory = (struct memory_platform_ *)platform;
  g_autofree char *kind_prefix = g_strdup_printf ("%s/%s", kind, prefix != NULL ? prefix : "");
  struct list_walk_ walk = { .kind_prefix = kind_prefix,
                             .after = after,
                             .kind_length = strlen (kind) + 1,
                             .limit = limit,
                             .names = names };
  bool unreachable;

  pthread_mutex_lock (&memory->mutex);
  unreachable = memory->unreachable;
  if (!unreachable)
    g_tree_foreach (memory->objects, list_visit_, &walk);
  pthread_mutex_unlock (&memory->mutex);
  *more = walk.more;
  return unreachable ? SR_PLATFORM_UNREACHABLE : SR_PLATFORM_OK;
}

static enum sr_platform_status
watch_ (struct sr_platform *platform,
        const char *kind,
        const char *name,
        int64_t after_version,
        int wait_ms,
        GString *body,
        int64_t *version)
{
  enum sr_platform_status status = get_ (platform, kind, name, body, version);

  if (status == SR_PLATFORM_OK && *version > after_version)
    return SR_PLATFORM_OK;
  if (status == SR_PLATFORM_UNREACHABLE)
    return status;
  g_usleep ((gulong)wait_ms * 1000);
  status = get_ (platform, kind, name, body, version);
  if (status == SR_PLATFORM_UNREACHABLE)
    return status;
  return status == SR_PLATFORM_OK && *version > after_version ? SR_PLATFORM_OK
                                                              : SR_PLATFORM_UNCHANGED;
}

static enum sr_platform_status
instances_ (struct sr_platform *platform, GString *body)
{
  g_string_assign (body, "{\"instances\":[]}");
  return SR_PLATFORM_OK;
}

static enum sr_platform_status
remove_ (struct sr_platform *platform, const char *kind, const char *name, int64_t expected_version)
{
  struct memory_platform_ *memory = (struct memory_platform_ *)platform;
  g_autofree char *key = g_strdup_printf ("%s/%s", kind, name);
  enum sr_platform_status status;
  struct memory_object_ *object;

  pthread_mutex_lock (&memory->mutex);
  memory->writes++;
  object = g_tree_lookup (memory->objects, key);
  if (memory->unreachable)
    status = SR_PLATFORM_UNREACHABLE;
  else if (object == NULL)
    status = SR_PLATFORM_ABSENT;
  else if (object->version != expected_version)
    status = SR_PLATFORM_CONFLICT;
  else
    {
      g_tree_remove (memory->objects, key);
      memory->last_version++;
      status = lose_response_ (memory) ? SR_PLATFORM_UNKNOWN : SR_PLATFORM_OK;
    }
  pthread_mutex_unlock (&memory->mutex);
  return status;
}

static void
finish_ (struct sr_platform *platform)
{
  struct memory_platform_ *memory = (struct memory_platform_ *)platform;

  g_tree_unref (memory->objects);
  pthread_mutex_destroy (&memory->mutex);
  g_free (memory);
}

static gboolean
list_visit_ (gpointer key, gpointer value, gpointer data)
{
  struct list_walk_ *walk = data;
  const char *path = key;
  const char *name;

  if (!g_str_has_prefix (path, walk->kind_prefix))
    return FALSE;
  name = path + walk->kind_length;
  if (walk->after != NULL && strcmp (name, walk->after) <= 0)
    return FALSE;
  if (walk->names->len >= walk->limit)
    {
      walk->more = true;
      return TRUE;
    }
  g_ptr_array_add (walk->names, g_strdup (name));
  return FALSE;
}

static gint
compare_ (gconstpointer left, gconstpointer right, gpointer data)
{
  return strcmp (left, right);
}

static void
object_free_ (gpointer data)
{
  struct memory_object_ *object = data;

  g_string_free (object->body, TRUE);
  g_free (object);
}

static bool
lose_response_ (struct memory_platform_ *memory)
{
  if (memory->responses_to_lose == 0)
    return false;
  memory->responses_to_lose--;
  return true;
}
