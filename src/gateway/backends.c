#include "gateway/backends.h"

#include "base/event-log.h"
#include "gateway/placement.h"

#include <string.h>

struct gw_backends
{
  GHashTable *by_id;      /* id: struct gw_backend */
  GHashTable *by_service; /* service: GPtrArray of struct gw_backend, without the gone ones */
  GHashTable *listed;     /* ids seen since gw_backends_begin_list */
};

static void index_add_ (struct gw_backends *backends, struct gw_backend *backend);
static void index_remove_ (struct gw_backends *backends, struct gw_backend *backend);
static void drop_ (struct gw_backends *backends, struct gw_backend *backend, const char *reason);
static bool is_same_process_ (const struct gw_backend_facts *a, const struct gw_backend_facts *b);

/* Frees what FACTS hold, not FACTS. */
void
gw_backend_facts_clear (struct gw_backend_facts *facts)
{
  g_clear_pointer (&facts->id, g_free);
  g_clear_pointer (&facts->service, g_free);
  g_clear_pointer (&facts->data_centre, g_free);
}

/* Creates an empty table. */
struct gw_backends *
gw_backends_new (void)
{
  struct gw_backends *backends = g_new0 (struct gw_backends, 1);

  backends->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)gw_backend_unref);
  backends->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  return backends;
}

/* Frees the table; backend servers that requests hold outlive it. */
void
gw_backends_delete (struct gw_backends *backends)
{
  if (backends->listed != NULL)
    g_hash_table_unref (backends->listed);
  g_hash_table_unref (backends->by_service);
  g_hash_table_unref (backends->by_id);
  g_free (backends);
}

/* Takes another reference. */
struct gw_backend *
gw_backend_ref (struct gw_backend *backend)
{
  backend->reference_count++;
  return backend;
}

/* Gives up a reference. NULL is allowed. */
void
gw_backend_unref (struct gw_backend *backend)
{
  if (backend == NULL || --backend->reference_count > 0)
    return;
  g_assert (g_queue_is_empty (&backend->idle_connections));
  gw_backend_load_delete (backend->load);
  gw_backend_facts_clear (&backend->facts);
  g_free (backend);
}

/* Takes over FACTS, what a backend server says now. */
void
gw_backends_put (struct gw_backends *backends, struct gw_backend_facts *facts)
{
  struct gw_backend *known = g_hash_table_lookup (backends->by_id, facts->id);

  if (backends->listed != NULL)
    g_hash_table_add (backends->listed, g_strdup (facts->id));
  if (known != NULL && is_same_process_ (&known->facts, facts))
    {
      if (!known->facts.is_leaving && facts->is_leaving)
        sr_event (SR_EVENT_INFO, "backend_leaving", "{s:s}", "backend", facts->id);
      known->facts.is_leaving = facts->is_leaving;
      known->facts.slots = facts->slots;
      known->facts.warm_up_ms = facts->warm_up_ms;
      known->is_missing = false;
      gw_backend_facts_clear (facts);
      return;
    }
  if (known != NULL)
    drop_ (backends, known, "restarted");
  known = g_new0 (struct gw_backend, 1);
  known->reference_count = 1;
  known->facts = *facts;
  *facts = (struct gw_backend_facts){ 0 };
  known->load = gw_backend_load_new ();
  g_queue_init (&known->idle_connections);
  g_hash_table_replace (backends->by_id, known->facts.id, known);
  index_add_ (backends, known);
  sr_event (SR_EVENT_INFO, "backend_found", "{s:s,s:s,s:s,s:b}", "backend", known->facts.id,
            "service", known->facts.service, "data_centre", known->facts.data_centre, "leaving",
            known->facts.is_leaving);
}

/* The entry of backend server ID was removed. When the platform's leases may have run out by
 * themselves (DOUBTFUL) it is used on until gw_backends_drop_missing. */
void
gw_backends_remove (struct gw_backends *backends, const char *id, bool doubtful)
{
  struct gw_backend *known = g_hash_table_lookup (backends->by_id, id);

  if (known == NULL)
    return;
  if (doubtful && !known->facts.is_leaving)
    known->is_missing = true;
  else
    drop_ (backends, known, "entry removed");
}

/* A complete list follows, by gw_backends_put. */
void
gw_backends_begin_list (struct gw_backends *backends)
{
  if (backends->listed != NULL)
    g_hash_table_unref (backends->listed);
  backends->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* The list is complete: what it did not hold is removed, see gw_backends_remove. Returns whether
 * some of that is used on. */
bool
gw_backends_end_list (struct gw_backends *backends, bool doubtful)
{
  g_autoptr (GPtrArray) absent = g_ptr_array_new_with_free_func (g_free);
  bool some_left = false;
  GHashTableIter iter;
  void *id;

  g_hash_table_iter_init (&iter, backends->by_id);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (!g_hash_table_contains (backends->listed, id))
      g_ptr_array_add (absent, g_strdup (id));
  for (unsigned i = 0; i < absent->len; i++)
    {
      gw_backends_remove (backends, absent->pdata[i], doubtful);
      some_left = some_left || g_hash_table_contains (backends->by_id, absent->pdata[i]);
    }
  g_hash_table_unref (backends->listed);
  backends->listed = NULL;
  return some_left;
}

/* What was missing has had its time to return. */
void
gw_backends_drop_missing (struct gw_backends *backends)
{
  g_autoptr (GPtrArray) missing = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, backends->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct gw_backend *)value)->is_missing)
      g_ptr_array_add (missing, value);
  for (unsigned i = 0; i < missing->len; i++)
    drop_ (backends, missing->pdata[i], "still missing after an outage");
}

/* Returns the backend servers of SERVICE, those that are leaving included, or NULL for none. */
const GPtrArray *
gw_backends_of (const struct gw_backends *backends, const char *service)
{
  return g_hash_table_lookup (backends->by_service, service);
}

/* Returns all backend servers (struct gw_backend); the array is the caller's. */
GPtrArray *
gw_backends_all (const struct gw_backends *backends)
{
  GPtrArray *all = g_ptr_array_sized_new (g_hash_table_size (backends->by_id));
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, backends->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (all, value);
  return all;
}

/* Returns how many backend servers there are. */
unsigned
gw_backends_count (const struct gw_backends *backends)
{
  return g_hash_table_size (backends->by_id);
}

static void
index_add_ (struct gw_backends *backends, struct gw_backend *backend)
{
  GPtrArray *list = g_hash_table_lookup (backends->by_service, backend->facts.service);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (backends->by_service, g_strdup (backend->facts.service), list);
    }
  g_ptr_array_add (list, backend);
}

static void
index_remove_ (struct gw_backends *backends, struct gw_backend *backend)
{
  GPtrArray *list = g_hash_table_lookup (backends->by_service, backend->facts.service);

  if (list != NULL)
    g_ptr_array_remove (list, backend);
}

static void
drop_ (struct gw_backends *backends, struct gw_backend *backend, const char *reason)
{
  sr_event (SR_EVENT_INFO, "backend_gone", "{s:s,s:s}", "backend", backend->facts.id, "reason",
            reason);
  backend->is_gone = true;
  index_remove_ (backends, backend);
  gw_upstream_close_idle (backend);
  g_hash_table_remove (backends->by_id, backend->facts.id);
}

static bool
is_same_process_ (const struct gw_backend_facts *a, const struct gw_backend_facts *b)
{
  return a->started_ms == b->started_ms && strcmp (a->service, b->service) == 0
         && a->address.sin_addr.s_addr == b->address.sin_addr.s_addr
         && a->address.sin_port == b->address.sin_port;
}
