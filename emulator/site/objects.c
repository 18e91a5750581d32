#include "emulator/site/objects.h"

#include <string.h>

struct object_
{
  char *kind;
  char *name;
  int64_t revision;
  int64_t created; /* revision of its creation */
  bool deleted;
  json_t *spec;
};

struct objects
{
  int64_t revision;
  GPtrArray *objects; /* struct object_, deleted ones too */
  int64_t era;
  GQueue snapshots; /* struct snapshot_, the latest at the tail */
};

/* All objects as they were after a write at SINCE_US (monotonic). */
struct snapshot_
{
  int64_t since_us;
  int64_t revision;
  GPtrArray *objects;
};

enum
{
  SNAPSHOTS_MAX = 400
};

static void object_free_ (void *data);
static GPtrArray *copy_objects_ (const GPtrArray *objects);
static void take_snapshot_ (struct objects *objects);
static struct object_ *find_ (const struct objects *objects, const char *kind, const char *name);
static int compare_names_ (const void *left, const void *right);
static json_t *to_json_ (const struct object_ *object);

/* Creates an empty store. It is never freed. */
struct objects *
objects_new (void)
{
  struct objects *objects = g_new0 (struct objects, 1);

  objects->revision = 1;
  objects->era = 1;
  objects->objects = g_ptr_array_new_with_free_func (object_free_);
  g_queue_init (&objects->snapshots);
  return objects;
}

/* Returns the number of restores plus one. */
int64_t
objects_era (const struct objects *objects)
{
  return objects->era;
}

/* Restores the state of AGE_MS ago, or the oldest snapshot when that is more recent. The revision
 * counter goes back too. */
void
objects_restore (struct objects *objects, int64_t age_ms)
{
  int64_t target_us = g_get_monotonic_time () - age_ms * 1000;
  const struct snapshot_ *snapshot = g_queue_peek_head (&objects->snapshots);

  objects->era++;
  if (snapshot == NULL)
    return;
  for (GList *link = objects->snapshots.head; link != NULL; link = link->next)
    if (((struct snapshot_ *)link->data)->since_us <= target_us)
      snapshot = link->data;
  g_ptr_array_unref (objects->objects);
  objects->objects = copy_objects_ (snapshot->objects);
  objects->revision = snapshot->revision;
}

/* Returns an array of up to LIMIT objects of KIND in the order of their names, those behind AFTER
 * (NULL: from the first); the caller owns it. MORE is set if others follow. */
json_t *
objects_list (
    const struct objects *objects, const char *kind, const char *after, unsigned limit, bool *more)
{
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  json_t *list = json_array ();

  for (unsigned i = 0; i < objects->objects->len; i++)
    {
      struct object_ *object = objects->objects->pdata[i];

      if (!object->deleted && strcmp (object->kind, kind) == 0
          && (after == NULL || strcmp (object->name, after) > 0))
        g_ptr_array_add (found, object);
    }
  g_ptr_array_sort (found, compare_names_);
  for (unsigned i = 0; i < MIN (found->len, limit); i++)
    json_array_append_new (list, to_json_ (found->pdata[i]));
  *more = found->len > limit;
  return list;
}

/* Returns an object, owned by the caller, or NULL when absent. */
json_t *
objects_get (const struct objects *objects, const char *kind, const char *name)
{
  const struct object_ *object = find_ (objects, kind, name);

  return object == NULL || object->deleted ? NULL : to_json_ (object);
}

/* Returns the revision of the whole store. */
int64_t
objects_revision (const struct objects *objects)
{
  return objects->revision;
}

/* Writes a copy of SPEC if the object has revision EXPECTED (0: absent; -1: any or absent). Returns
 * false without effect otherwise. Writing an equal SPEC succeeds without a new revision. */
bool
objects_put (
    struct objects *objects, const char *kind, const char *name, json_t *spec, int64_t expected)
{
  struct object_ *object = find_ (objects, kind, name);
  int64_t current = object == NULL || object->deleted ? 0 : object->revision;

  if (expected >= 0 && expected != current)
    return false;
  if (current != 0 && json_equal (object->spec, spec))
    return true;
  if (object == NULL)
    {
      object = g_new0 (struct object_, 1);
      object->kind = g_strdup (kind);
      object->name = g_strdup (name);
      g_ptr_array_add (objects->objects, object);
    }
  if (current == 0)
    object->created = objects->revision + 1;
  json_decref (object->spec);
  object->spec = json_deep_copy (spec);
  object->deleted = false;
  object->revision = ++objects->revision;
  take_snapshot_ (objects);
  return true;
}

/* Removes an object. Returns false when it is absent. */
bool
objects_remove (struct objects *objects, const char *kind, const char *name)
{
  struct object_ *object = find_ (objects, kind, name);

  if (object == NULL || object->deleted)
    return false;
  object->deleted = true;
  object->revision = ++objects->revision;
  take_snapshot_ (objects);
  return true;
}

/* Returns the objects of KIND written or removed after revision AFTER, as an array of events in the
 * order of revisions (only the latest of each object); the caller owns it. */
json_t *
objects_changes (const struct objects *objects, const char *kind, int64_t after)
{
  json_t *events = json_array ();

  for (int64_t revision = after + 1; revision <= objects->revision; revision++)
    for (unsigned i = 0; i < objects->objects->len; i++)
      {
        const struct object_ *object = objects->objects->pdata[i];

        if (object->revision == revision && strcmp (object->kind, kind) == 0)
          json_array_append_new (events, json_pack ("{s:b,s:o}", "deleted", object->deleted,
                                                    "object", to_json_ (object)));
      }
  return events;
}

static void
object_free_ (void *data)
{
  struct object_ *object = data;

  g_free (object->kind);
  g_free (object->name);
  json_decref (object->spec);
  g_free (object);
}

static GPtrArray *
copy_objects_ (const GPtrArray *objects)
{
  GPtrArray *copies = g_ptr_array_new_with_free_func (object_free_);

  for (unsigned i = 0; i < objects->len; i++)
    {
      struct object_ *copy = g_memdup2 (objects->pdata[i], sizeof (struct object_));

      copy->kind = g_strdup (copy->kind);
      copy->name = g_strdup (copy->name);
      copy->spec = json_deep_copy (copy->spec);
      g_ptr_array_add (copies, copy);
    }
  return copies;
}

static void
take_snapshot_ (struct objects *objects)
{
  struct snapshot_ *snapshot = g_new0 (struct snapshot_, 1);

  *snapshot = (struct snapshot_){ g_get_monotonic_time (), objects->revision,
                                  copy_objects_ (objects->objects) };
  g_queue_push_tail (&objects->snapshots, snapshot);
  if (objects->snapshots.length <= SNAPSHOTS_MAX)
    return;
  snapshot = g_queue_pop_head (&objects->snapshots);
  g_ptr_array_unref (snapshot->objects);
  g_free (snapshot);
}

static struct object_ *
find_ (const struct objects *objects, const char *kind, const char *name)
{
  for (unsigned i = 0; i < objects->objects->len; i++)
    {
      struct object_ *object = objects->objects->pdata[i];

      if (strcmp (object->kind, kind) == 0 && strcmp (object->name, name) == 0)
        return object;
    }
  return NULL;
}

static int
compare_names_ (const void *left, const void *right)
{
  return strcmp ((*(struct object_ *const *)left)->name, (*(struct object_ *const *)right)->name);
}

static json_t *
to_json_ (const struct object_ *object)
{
  return json_pack ("{s:{s:s,s:I,s:I,s:[],s:b},s:O,s:n}", "metadata", "name", object->name,
                    "revision", (json_int_t)object->revision, "created",
                    (json_int_t)object->created, "finalizers", "deleting", false, "spec",
                    object->spec, "status");
}
