#include "store/era-object.h"

#include "base/event-log.h"

enum
{
  ERAS_BACK_MAX
  = 1000 /* at most this many reads, one for each era; more than any store has restores */
};

struct call_
{
  struct store *store;
  char *kind;
  char *name;
  int64_t era;      /* of the store when the call was made; STORE_ERA_FIRST if it was not known */
  int64_t read_era; /* era whose object is being read */
  store_callback done;
  void *data;
};

static struct call_ *call_new_ (
    struct store *store, const char *kind, const char *name, store_callback done, void *data);
static void call_end_ (struct call_ *call, const struct store_result *result);
static void read_era_ (struct call_ *call);
static bool is_outdated_ (const struct call_ *call);
static char *kind_for_era_ (const char *kind, int64_t era);
static void on_read_ (const struct store_result *result, void *data);
static void on_written_ (const struct store_result *result, void *data);

/* Reads object NAME of KIND in the current era of STORE. If only an earlier era has it, the result
 * has revision 0, so that a write with that revision creates the object of the current era. The
 * status is STORE_UNKNOWN if the era changes during the call. */
void
era_object_read (
    struct store *store, const char *kind, const char *name, store_callback done, void *data)
{
  read_era_ (call_new_ (store, kind, name, done, data));
}

/* Writes CONTENT as object NAME of KIND in the current era of STORE, see store_write. The status is
 * STORE_UNKNOWN if the era changes during the call. */
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
  g_autofree char *era_kind = kind_for_era_ (kind, call->era);

  store_write (store, era_kind, name, content, expected_revision, on_written_, call);
}

static struct call_ *
call_new_ (struct store *store, const char *kind, const char *name, store_callback done, void *data)
{
  struct call_ *call = g_new0 (struct call_, 1);

  call->store = store;
  call->kind = g_strdup (kind);
  call->name = g_strdup (name);
  call->era = call->read_era = MAX (store->era, STORE_ERA_FIRST);
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
read_era_ (struct call_ *call)
{
  g_autofree char *kind = kind_for_era_ (call->kind, call->read_era);

  store_read (call->store, kind, call->name, on_read_, call);
}

/* Returns true if the store was restored since CALL was made, or its era has become known since:
 * the call then went to the object of another era than the current one. */
static bool
is_outdated_ (const struct call_ *call)
{
  return MAX (call->store->era, STORE_ERA_FIRST) != call->era;
}

/* Returns the kind under which the objects of ERA are stored: KIND itself for the first era,
 * KIND-ERA for later ones. */
static char *
kind_for_era_ (const char *kind, int64_t era)
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
  if (result->status == STORE_ABSENT && call->read_era > STORE_ERA_FIRST)
    {
      if (call->era - call->read_era >= ERAS_BACK_MAX)
        {
          sr_event (SR_EVENT_WARNING, "era_not_plausible", "{s:s,s:s,s:I}", "kind", call->kind,
                    "name", call->name, "era", (json_int_t)call->era);
          call_end_ (call, &invalid);
          return;
        }
      call->read_era--;
      read_era_ (call);
      return;
    }
  if (result->status != STORE_OK || call->read_era == call->era || result->n_objects == 0)
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

/* A write to the object of an earlier era has no effect on that of the current one. */
static void
on_written_ (const struct store_result *result, void *data)
{
  struct call_ *call = data;
  const struct store_result unknown = { .status = STORE_UNKNOWN };

  call_end_ (call, is_outdated_ (call) ? &unknown : result);
}
