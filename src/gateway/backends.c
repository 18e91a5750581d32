#include "gateway/backends.h"

#include "base/event-log.h"
#include "gateway/latency-model.h"
#include "gateway/placement.h"

#include <string.h>
#include <xxhash.h>

enum
{
  LEAVING_PROCESSES_MAX = 4096 /* enough for several roll-outs of a large service */
};

/* A backend server process that has reported that it is leaving. */
struct leaving_process_
{
  uint64_t key; /* the key of the table */
  int64_t started_ms;
  struct sockaddr_in address; /* of the process; port 0: not known */
  int64_t reported_us;
};

struct gw_backends
{
  GHashTable *by_id;             /* id: struct gw_backend */
  GHashTable *by_key;            /* gw_backend_key: struct gw_backend */
  GHashTable *leaving_processes; /* key: struct leaving_process_ of the last process of this id to
                                    report it */
  gw_backends_leaving_func on_leaving;
  void *on_leaving_data;
  GHashTable *by_service; /* service: GPtrArray of struct gw_backend, without removed ones */
  GHashTable
      *models;   /* service: struct gw_latency_model; they outlive the servers they learned from */
  bool has_list; /* a complete list has been read */
  GHashTable *listed; /* ids put since gw_backends_begin_list; NULL: no list is being read */
};

static void index_add_ (struct gw_backends *backends, struct gw_backend *backend);
static void index_remove_ (struct gw_backends *backends, struct gw_backend *backend);
static void drop_ (struct gw_backends *backends, struct gw_backend *backend, const char *reason);
static struct gw_latency_model *model_of_ (struct gw_backends *backends, const char *service);
static bool is_same_process_ (const struct gw_backend_facts *a, const struct gw_backend_facts *b);
static bool is_process_leaving_ (const struct gw_backends *backends,
                                 uint64_t key,
                                 const struct gw_backend_facts *facts);
static bool is_same_address_ (const struct sockaddr_in *a, const struct sockaddr_in *b);
static void remove_oldest_leaving_process_ (struct gw_backends *backends);

/* Frees the texts of FACTS, but not FACTS. */
void
gw_backend_facts_clear (struct gw_backend_facts *facts)
{
  g_clear_pointer (&facts->id, g_free);
  g_clear_pointer (&facts->service, g_free);
  g_clear_pointer (&facts->data_centre, g_free);
}

/* Returns the hash by which instances refer to the backend server ID in their messages. */
uint64_t
gw_backend_key (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

struct gw_backends *
gw_backends_new (void)
{
  struct gw_backends *backends = g_new0 (struct gw_backends, 1);

  backends->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)gw_backend_unref);
  backends->models = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)gw_latency_model_unref);
  backends->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  backends->leaving_processes = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  backends->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  return backends;
}

/* Frees the table. Backend servers that requests hold outlive it. */
void
gw_backends_delete (struct gw_backends *backends)
{
  if (backends->listed != NULL)
    g_hash_table_unref (backends->listed);
  g_hash_table_unref (backends->by_service);
  g_hash_table_unref (backends->by_key);
  g_hash_table_unref (backends->models);
  g_hash_table_unref (backends->leaving_processes);
  g_hash_table_unref (backends->by_id);
  g_free (backends);
}

struct gw_backend *
gw_backend_ref (struct gw_backend *backend)
{
  backend->reference_count++;
  return backend;
}

/* BACKEND may be NULL. Its idle connections must be closed before its last reference goes. */
void
gw_backend_unref (struct gw_backend *backend)
{
  if (backend == NULL || --backend->reference_count > 0)
    return;
  g_assert (g_queue_is_empty (&backend->idle_connections));
  gw_backend_load_delete (backend->load);
  gw_latency_model_unref (backend->latency_model);
  gw_cold_server_clear (&backend->cold);
  gw_backend_facts_clear (&backend->facts);
  g_free (backend);
}

/* Sets the function that gw_backends_set_leaving calls for each new report. */
void
gw_backends_set_leaving_func (struct gw_backends *backends,
                              gw_backends_leaving_func func,
                              void *data)
{
  backends->on_leaving = func;
  backends->on_leaving_data = data;
}

/* Adds or updates a backend server by its entry, and clears FACTS. One that has reported that it is
 * leaving stays so, as its entry may be older than the report. */
void
gw_backends_put (struct gw_backends *backends, struct gw_backend_facts *facts)
{
  struct gw_backend *known = g_hash_table_lookup (backends->by_id, facts->id);
  uint64_t key = gw_backend_key (facts->id);

  facts->is_leaving = facts->is_leaving || is_process_leaving_ (backends, key, facts);
  if (backends->listed != NULL)
    g_hash_table_add (backends->listed, g_strdup (facts->id));
  if (known != NULL && is_same_process_ (&known->facts, facts))
    {
      if (!known->facts.is_leaving && facts->is_leaving)
        sr_event (SR_EVENT_INFO, "backend_leaving", "{s:s,s:s}", "backend", facts->id, "reason",
                  "its entry says that it is leaving");
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
  known->key = key;
  *facts = (struct gw_backend_facts){ 0 };
  known->is_new = backends->has_list;
  known->load = gw_backend_load_new ();
  known->latency_model = gw_latency_model_ref (model_of_ (backends, known->facts.service));
  g_queue_init (&known->idle_connections);
  g_hash_table_replace (backends->by_id, known->facts.id, known);
  g_hash_table_replace (backends->by_key, &known->key, known);
  index_add_ (backends, known);
  sr_event (SR_EVENT_INFO, "backend_found", "{s:s,s:s,s:s,s:b}", "backend", known->facts.id,
            "service", known->facts.service, "data_centre", known->facts.data_centre, "leaving",
            known->facts.is_leaving);
}

/* Removes backend server ID, whose entry was removed. If MAY_BE_RENEWED, entries may have been
 * removed only because leases expired during an outage: a server that is not leaving is then marked
 * missing and used until gw_backends_drop_missing. */
void
gw_backends_remove (struct gw_backends *backends, const char *id, bool may_be_renewed)
{
  struct gw_backend *known = g_hash_table_lookup (backends->by_id, id);

  if (known == NULL)
    return;
  if (may_be_renewed && !known->facts.is_leaving)
    known->is_missing = true;
  else
    drop_ (backends, known, "entry removed");
}

/* Begins a complete list of the servers, each added by gw_backends_put. */
void
gw_backends_begin_list (struct gw_backends *backends)
{
  if (backends->listed != NULL)
    g_hash_table_unref (backends->listed);
  backends->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Ends a complete list: removes the servers that it did not hold, see gw_backends_remove. Returns
 * whether some of these are marked missing. */
bool
gw_backends_end_list (struct gw_backends *backends, bool may_be_renewed)
{
  g_autoptr (GPtrArray) absent = g_ptr_array_new_with_free_func (g_free);
  bool some_missing = false;
  GHashTableIter iter;
  void *id;

  g_hash_table_iter_init (&iter, backends->by_id);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (!g_hash_table_contains (backends->listed, id))
      g_ptr_array_add (absent, g_strdup (id));
  for (unsigned i = 0; i < absent->len; i++)
    {
      gw_backends_remove (backends, absent->pdata[i], may_be_renewed);
      some_missing = some_missing || g_hash_table_contains (backends->by_id, absent->pdata[i]);
    }
  g_hash_table_unref (backends->listed);
  backends->listed = NULL;
  backends->has_list = true;
  return some_missing;
}

/* Removes the servers that are still marked missing. */
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
    drop_ (backends, missing->pdata[i], "entry still missing after a store outage");
}

/* Notes that the process of server KEY that started at STARTED_MS is leaving, by its own response
 * or by report of a peer. It gets no new requests, whatever its entry says, until a later process
 * has started under its id. Returns false when that was already known. */
bool
gw_backends_set_leaving (struct gw_backends *backends, uint64_t key, int64_t started_ms)
{
  struct leaving_process_ *process = g_hash_table_lookup (backends->leaving_processes, &key);
  struct gw_backend *backend = gw_backends_find (backends, key);

  if (process != NULL && process->started_ms >= started_ms)
    return false;
  if (process == NULL)
    {
      if (g_hash_table_size (backends->leaving_processes) >= LEAVING_PROCESSES_MAX)
        remove_oldest_leaving_process_ (backends);
      process = g_new0 (struct leaving_process_, 1);
      process->key = key;
      g_hash_table_insert (backends->leaving_processes, &process->key, process);
    }
  process->started_ms = started_ms;
  process->reported_us = g_get_monotonic_time ();
  process->address = (struct sockaddr_in){ 0 };
  if (backend != NULL && backend->facts.started_ms == started_ms)
    {
      process->address = backend->facts.address;
      sr_event (SR_EVENT_INFO, "backend_leaving", "{s:s,s:s}", "backend", backend->facts.id,
                "reason", "reported by the server or a peer");
      backend->facts.is_leaving = true;
      gw_upstream_close_idle (backend);
    }
  if (backends->on_leaving != NULL)
    backends->on_leaving (key, started_ms, backends->on_leaving_data);
  return true;
}

/* All servers of DATA_CENTRE may have become cold, as after an evacuation, with the cold times of
 * ROUTES. Each instance notices the cause at a time of its own, and counts from then on. */
void
gw_backends_assume_cold (struct gw_backends *backends,
                         const struct gw_routes *routes,
                         const char *data_centre,
                         int64_t now_us)
{
  unsigned count = 0;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, backends->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct gw_backend *backend = value;
      const struct gw_service *service = gw_routes_service (routes, backend->facts.service);

      if (service == NULL || service->cold_per_s <= 0
          || strcmp (backend->facts.data_centre, data_centre) != 0)
        continue;
      gw_cold_server_note_remaining (&backend->cold, service->cold_ms, now_us);
      count++;
    }
  if (count > 0)
    sr_event (SR_EVENT_INFO, "backends_assumed_cold", "{s:s,s:i}", "data_centre", data_centre,
              "backends", (int)count);
}

/* Returns the mean time of a response of SERVICE, which may be NULL; 0: not known. */
int64_t
gw_backends_mean_response_ms (const struct gw_backends *backends, const char *service)
{
  const struct gw_latency_model *model
      = service == NULL ? NULL : g_hash_table_lookup (backends->models, service);

  return model == NULL ? 0 : (int64_t)gw_latency_model_response_ms (model);
}

struct gw_backend *
gw_backends_find (const struct gw_backends *backends, uint64_t key)
{
  return g_hash_table_lookup (backends->by_key, &key);
}

/* Returns the backend servers of SERVICE, including leaving and missing ones; NULL: none yet. */
const GPtrArray *
gw_backends_of_service (const struct gw_backends *backends, const char *service)
{
  return g_hash_table_lookup (backends->by_service, service);
}

/* Returns all backend servers (struct gw_backend). The caller owns the array, but no references. */
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

unsigned
gw_backends_count (const struct gw_backends *backends)
{
  return g_hash_table_size (backends->by_id);
}

/* Returns the latency model of SERVICE, created at first use. The table owns the reference. */
static struct gw_latency_model *
model_of_ (struct gw_backends *backends, const char *service)
{
  struct gw_latency_model *model = g_hash_table_lookup (backends->models, service);

  if (model == NULL)
    {
      model = gw_latency_model_new ();
      g_hash_table_insert (backends->models, g_strdup (service), model);
    }
  return model;
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
  backend->is_removed = true;
  index_remove_ (backends, backend);
  gw_upstream_close_idle (backend);
  g_hash_table_remove (backends->by_key, &backend->key);
  g_hash_table_remove (backends->by_id, backend->facts.id);
}

/* Returns whether the process with KEY and FACTS, or a later one of that id, has reported that it
 * is leaving. Where the start is not known, another address means another process. */
static bool
is_process_leaving_ (const struct gw_backends *backends,
                     uint64_t key,
                     const struct gw_backend_facts *facts)
{
  const struct leaving_process_ *process = g_hash_table_lookup (backends->leaving_processes, &key);

  if (process == NULL || process->started_ms < facts->started_ms)
    return false;
  return process->started_ms != 0 || process->address.sin_port == 0
         || is_same_address_ (&process->address, &facts->address);
}

static void
remove_oldest_leaving_process_ (struct gw_backends *backends)
{
  const struct leaving_process_ *oldest = NULL;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, backends->leaving_processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (oldest == NULL || ((struct leaving_process_ *)value)->reported_us < oldest->reported_us)
      oldest = value;
  if (oldest != NULL)
    g_hash_table_remove (backends->leaving_processes, &oldest->key);
}

static bool
is_same_process_ (const struct gw_backend_facts *a, const struct gw_backend_facts *b)
{
  return a->started_ms == b->started_ms && strcmp (a->service, b->service) == 0
         && is_same_address_ (&a->address, &b->address);
}

static bool
is_same_address_ (const struct sockaddr_in *a, const struct sockaddr_in *b)
{
  return a->sin_addr.s_addr == b->sin_addr.s_addr && a->sin_port == b->sin_port;
}
