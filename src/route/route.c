#include "route/route.h"

#include "base/counters.h"
#include "route/service-state.h"

#include <jansson.h>
#include <pthread.h>
#include <string.h>

struct sr_router
{
  pthread_mutex_t mutex;
  GString *data_centre;
  GString *instance;
  GHashTable *services; /* name to struct sr_service_state */
  GRand *random;
};

static struct sr_counter picked_total
    = { .name = "sr_route_picked_total", .help = "Places taken at backend servers." };
static struct sr_counter busy_total
    = { .name = "sr_route_busy_total", .help = "Picks that found all backend servers full." };
static struct sr_counter none_total
    = { .name = "sr_route_none_total", .help = "Picks that found no backend server." };
static struct sr_counter failed_total
    = { .name = "sr_route_failed_total", .help = "Calls to backend servers that failed." };

static void apply_to_services_ (struct sr_router *router, GHashTable *groups, int64_t now_us);
static GHashTable *group_by_service_ (const GPtrArray *backends);
static void service_free_ (void *data);
static json_t *backend_to_json_ (const struct sr_service_state *service,
                                 const struct sr_backend_state *state,
                                 int64_t now_us);

/* Creates a router without services. The strings of OPTIONS are copied. */
struct sr_router *
sr_router_new (const struct sr_router_options *options)
{
  struct sr_router *router = g_new0 (struct sr_router, 1);

  pthread_mutex_init (&router->mutex, NULL);
  router->data_centre = g_string_new (options->data_centre);
  router->instance = g_string_new (options->instance);
  router->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free_);
  router->random = g_rand_new_with_seed (options->seed);
  sr_counter_register (&picked_total);
  sr_counter_register (&busy_total);
  sr_counter_register (&none_total);
  sr_counter_register (&failed_total);
  return router;
}

/* NULL is allowed. */
void
sr_router_delete (struct sr_router *router)
{
  if (router == NULL)
    return;
  g_hash_table_unref (router->services);
  g_rand_free (router->random);
  g_string_free (router->data_centre, TRUE);
  g_string_free (router->instance, TRUE);
  pthread_mutex_destroy (&router->mutex);
  g_free (router);
}

/* Applies BACKENDS (of struct sr_config_backend, of all services), which are copied. The measured
 * state of a backend server is kept as long as its service and name are configured. Servers that
 * are leaving or removed get no new requests from now on. */
void
sr_router_apply_backends (struct sr_router *router, const GPtrArray *backends, int64_t now_us)
{
  GHashTable *groups = group_by_service_ (backends);

  pthread_mutex_lock (&router->mutex);
  apply_to_services_ (router, groups, now_us);
  pthread_mutex_unlock (&router->mutex);
  g_hash_table_unref (groups);
}

/* Selects a backend server for QUERY and takes a slot at it; ROUTE is set when PICKED. Release each
 * slot once with sr_router_release. NONE: the service is unknown, or has no usable backend server
 * that is not excluded. */
enum sr_route_verdict
sr_router_pick (struct sr_router *router,
                const struct sr_route_query *query,
                struct sr_route *route)
{
  enum sr_route_verdict verdict = SR_ROUTE_NONE;
  struct sr_service_state *service;

  pthread_mutex_lock (&router->mutex);
  service = g_hash_table_lookup (router->services, query->service);
  if (service != NULL)
    verdict = sr_service_state_pick (service, query, router->random, route);
  if (verdict == SR_ROUTE_PICKED)
    g_strlcpy (route->service, query->service, sizeof route->service);
  pthread_mutex_unlock (&router->mutex);
  if (verdict == SR_ROUTE_PICKED)
    sr_counter_add (&picked_total, 1);
  else
    sr_counter_add (verdict == SR_ROUTE_BUSY ? &busy_total : &none_total, 1);
  return verdict;
}

/* Releases the slot of ROUTE and updates load, limit and failures from REPORT. */
void
sr_router_release (struct sr_router *router,
                   const struct sr_route *route,
                   const struct sr_route_report *report)
{
  struct sr_service_state *service;

  pthread_mutex_lock (&router->mutex);
  service = g_hash_table_lookup (router->services, route->service);
  if (service != NULL)
    sr_service_state_report (service, route->backend, report, router->random);
  pthread_mutex_unlock (&router->mutex);
  if (report->result == SR_ROUTE_RESULT_FAILED)
    sr_counter_add (&failed_total, 1);
}

/* Returns how many requests of SERVICE_NAME could be sent at NOW_US, including probes that are due.
 */
unsigned
sr_router_free_slots (struct sr_router *router, const char *service_name, int64_t now_us)
{
  struct sr_service_state *service;
  unsigned free_slots = 0;

  pthread_mutex_lock (&router->mutex);
  service = g_hash_table_lookup (router->services, service_name);
  if (service != NULL)
    free_slots = sr_service_state_free_slots (service, now_us);
  pthread_mutex_unlock (&router->mutex);
  return free_slots;
}

/* Appends a JSON object to JSON: for each service, the state of its backend servers. */
void
sr_router_print_status (struct sr_router *router, GString *json, int64_t now_us)
{
  json_t *root = json_object ();
  GHashTableIter iter;
  gpointer value;
  char *text;

  pthread_mutex_lock (&router->mutex);
  g_hash_table_iter_init (&iter, router->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct sr_service_state *service = value;
      json_t *list = json_array ();

      for (guint i = 0; i < service->backends->len; i++)
        json_array_append_new (list,
                               backend_to_json_ (service, service->backends->pdata[i], now_us));
      json_object_set_new (root, service->name->str, list);
    }
  pthread_mutex_unlock (&router->mutex);
  text = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  g_string_append (json, text);
  free (text);
  json_decref (root);
}

/* A service that is no longer configured is kept, without usable backend servers, until its last
 * request ends. */
static void
apply_to_services_ (struct sr_router *router, GHashTable *groups, int64_t now_us)
{
  struct sr_router_options options
      = { .data_centre = router->data_centre->str, .instance = router->instance->str };
  GPtrArray *none = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, groups);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (router->services, key))
      {
        struct sr_service_state *service = sr_service_state_new (key);

        g_hash_table_insert (router->services, service->name->str, service);
      }
  g_hash_table_iter_init (&iter, router->services);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const GPtrArray *group = g_hash_table_lookup (groups, key);
      struct sr_service_state *service = value;

      sr_service_state_apply (service, group != NULL ? group : none, &options, now_us);
      if (service->backends->len == 0)
        g_hash_table_iter_remove (&iter);
    }
  g_ptr_array_unref (none);
}

/* Returns a table from service name to a GPtrArray of its BACKENDS; keys and items are owned by
 * BACKENDS. */
static GHashTable *
group_by_service_ (const GPtrArray *backends)
{
  GHashTable *groups
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);

  for (guint i = 0; i < backends->len; i++)
    {
      struct sr_config_backend *backend = backends->pdata[i];
      GPtrArray *group = g_hash_table_lookup (groups, backend->service->str);

      if (group == NULL)
        {
          group = g_ptr_array_new ();
          g_hash_table_insert (groups, backend->service->str, group);
        }
      g_ptr_array_add (group, backend);
    }
  return groups;
}

static void
service_free_ (void *data)
{
  sr_service_state_delete (data);
}

static json_t *
backend_to_json_ (const struct sr_service_state *service,
                  const struct sr_backend_state *state,
                  int64_t now_us)
{
  double load = sr_backend_state_load (state, &service->prior, now_us);

  return json_pack ("{s:s,s:s,s:i,s:f,s:f,s:i,s:b,s:b,s:i}", "name", state->name->str,
                    "data_centre", state->data_centre->str, "in_flight", (int)state->in_flight,
                    "load", load, "limit", state->limit, "room",
                    (int)sr_backend_state_free_slots (state, &service->prior, now_us), "ejected",
                    (int)state->ejected, "retired", (int)state->retired, "failures",
                    (int)state->failures);
}
