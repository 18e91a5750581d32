#include "store/era-object.h"

#include "base/event-log.h"

enum
{
  ERAS_BACK_MAX = 1000 /* a read each: more returns than a store lives through */
};

struct call_
{
  struct store *store;
  char *kind;
  char *name;
  int64_t era;       /* of the store when the call was made; 0: not known */
  int64_t asked_era; /* whose object is being read */
  store_callback done;
  void *data;
};

static struct call_ *call_new_ (
    struct store *store, const char *kind, const char *name, store_callback done, void *data);
static void call_end_ (struct call_ *call, const struct store_result *result);
static void ask_ (struct call_ *call);
static bool is_outdated_ (const struct call_ *call);
static char *kind_of_ (const char *kind, int64_t era);
static void on_read_ (const struct store_result *result, void *data);
static void on_written_ (const struct store_result *result, void *data);

/* Reads object NAME of KIND as it is in the era of STORE. One of an earlier era has revision 0,
 * with which a write creates the one of this era. */
void
era_object_read (
    struct store *store, const char *kind, const char *name, store_callback done, void *data)
{
  ask_ (call_new_ (store, kind, name, done, data));
}

/* Writes CONTENT, which stays the caller's, as object NAME of KIND in the era of STORE, see
 * store_write. */
void
era_object_write (struct store *store,
                  const char *kind,
                  const char *name,
                  json_t *content,
                  int64_t expected_revision,
                  store_callback done,
                  void *data)
{
  struct call_ *call = call_new_ (store, kind, name, done, data);
  g_autofree char *kind_of_era = kind_of_ (kind, call->era);

  store_write (store, kind_of_era, name, content, expected_revision, on_written_, call);
}

static struct call_ *
call_new_ (struct store *store, const char *kind, const char *name, store_callback done, void *data)
{
  struct call_ *call = g_new0 (struct call_, 1);

  call->store = store;
  call->kind = g_strdup (kind);
  call->name = g_strdup (name);
  call->era = call->asked_era = MAX (store->era, STORE_ERA_FIRST);
  call->done = done;
  call->data = data;
  return call;
}

static void
call_end_ (struct call_ *call, const struct store_result *result)
{
  call->done (result, call->data);
  g_free (call->kind);
  g_free (call->name);
  g_free (call);
}

static void
ask_ (struct call_ *call)
{
  g_autofree char *kind = kind_of_ (call->kind, call->asked_era);

  store_read (call->store, kind, call->name, on_read_, call);
}

/* Tells whether the store has come back since CALL was made, or its era has become known: the
 * object that was asked for is not the one that counts. */
static bool
is_outdated_ (const struct call_ *call)
{
  return MAX (call->store->era, STORE_ERA_FIRST) != call->era;
}

/* Returns the kind of the objects of ERA. Those of the first era have KIND as it is. */
static char *
kind_of_ (const char *kind, int64_t era)
{
  if (era <= STORE_ERA_FIRST)
    return g_strdup (kind);
  return g_strdup_printf ("%s-%" G_GINT64_FORMAT, kind, (gint64)era);
}

static void
on_read_ (const struct store_result *result, void *data)
{
  struct call_ *call = data;
  const struct store_result unknown = { .status = STORE_UNKNOWN };
  const struct store_result invalid = { .status = STORE_INVALID };
  struct store_result older = *result;
  struct store_object object;

  if (is_outdated_ (call))
    {
      call_end_ (call, &unknown);
      return;
    }
  if (result->status == STORE_ABSENT && call->asked_era > STORE_ERA_FIRST)
    {
      if (call->era - call->asked_era >= ERAS_BACK_MAX)
        {
          sr_event (SR_EVENT_FAILURE, "era_not_plausible", "{s:s,s:s,s:I}", "kind", call->kind,
                    "name", call->name, "era", (json_int_t)call->era);
          call_end_ (call, &invalid);
          return;
        }
      call->asked_era--;
      ask_ (call);
      return;
    }
  if (result->status != STORE_OK || call->asked_era == call->era || result->n_objects == 0)
    {
      call_end_ (call, result);
      return;
    }
  object = result->objects[0];
  object.revision = 0;
  older.objects = &object;
  older.n_objects = 1;
  call_end_ (call, &older);
}

/* What was written to the object of an earlier era is not part of the one that counts. */
static void
on_written_ (const struct store_result *result, void *data)
{
  struct call_ *call = data;
  const struct store_result unknown = { .status = STORE_UNKNOWN };

  call_end_ (call, is_outdated_ (call) ? &unknown : result);
}
