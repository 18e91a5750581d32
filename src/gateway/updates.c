#include "gateway/serve-private.h"

#include "base/counters.h"
#include "base/event-log.h"

#include <arpa/inet.h>
#include <string.h>

enum
{
  REANNOUNCE_WAIT_MS = 1500, /* after a restore: time for the instances to register again */
  RELIST_SPREAD_MS
  = 300, /* after a restore: all instances list three kinds each, spread over this time */
  UPTIME_MAX_MS = 86400000, /* limit for the uptime in an announcement; a process announces itself
                             * soon after its start, so that a longer one is wrong */
  INSTANCES_CHECK_MIN_MS = 10000, /* between lists of the instances, each of which costs a call */
  GUARD_RETRY_MS = 250,           /* between requests to peers for their configuration version */
  LEASE_RENEWAL_MS
  = 2200, /* entries that expired in an outage are renewed within two seconds of its end */
};

static void apply_routes_ (struct gateway *gateway, struct gw_routes *routes);
static void apply_pending_routes_ (struct gateway *gateway);
static void on_guard_timer_ (uv_timer_t *timer);
static bool apply_backend_list_ (struct gateway *gateway,
                                 const struct store_result *result,
                                 bool may_be_renewed);
static void put_backend_ (struct gateway *gateway, const struct store_object *object);
static void
note_cold_entry_ (struct gateway *gateway, const struct store_object *object, int64_t cold_ms);
static bool entries_may_be_missing_ (const struct gateway *gateway);
static void on_lease_timer_ (uv_timer_t *timer);
static void put_instance_ (struct gateway *gateway, const struct store_object *object);
static int64_t process_started_us_ (const struct store_object *object);
static void remove_instance_ (struct gateway *gateway, const char *name);
static void update_peers_ (struct gateway *gateway);
static void report_peer_starts_ (struct gateway *gateway, const struct store_result *result);
static struct mesh_update own_update_ (const struct gateway *gateway);

static struct sr_histogram configuration_histogram_
    = { .name = "sapphirerun_configuration_microseconds",
        .help = "Time in which a new configuration was decoded and put in force." };

/* Call once at start. */
void
gateway_register_update_metrics_ (void)
{
  sr_histogram_register (&configuration_histogram_);
}

/* Handles a list or changes of the configuration's kind. A lower version than the one in force is
 * ignored. */
void
gateway_on_routes_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;
  struct gw_context *context = &gateway->context;

  for (size_t i = 0; i < result->n_objects; i++)
    {
      int64_t begun_us = g_get_monotonic_time ();
      struct gw_routes *routes;

      if (result->objects[i].deleted || !gateway->platform->is_configuration (&result->objects[i])
          || (gateway->routes_revision > 0
              && result->objects[i].revision == gateway->routes_revision
              && gateway->store->era == gateway->routes_era))
        continue;
      routes = gateway->platform->decode_routes (&result->objects[i], context->routes);
      if (routes == NULL)
        continue;
      gateway->routes_revision = result->objects[i].revision;
      gateway->routes_era = gateway->store->era;
      if (context->routes != NULL && routes->version <= context->routes->version)
        {
          gw_routes_unref (routes);
          continue;
        }
      if (context->routes == NULL)
        {
          gw_routes_unref (gateway->pending_routes);
          gateway->pending_routes = routes;
          apply_pending_routes_ (gateway);
        }
      else
        apply_routes_ (gateway, routes);
      sr_histogram_observe (&configuration_histogram_, g_get_monotonic_time () - begun_us);
    }
}

/* Puts ROUTES in force; takes ownership of them. */
static void
apply_routes_ (struct gateway *gateway, struct gw_routes *routes)
{
  struct gw_context *context = &gateway->context;

  gw_routes_unref (context->routes);
  context->routes = routes;
  gateway_gossip_update_ (gateway);
  sr_event (SR_EVENT_INFO, "configuration", "{s:I,s:I,s:i,s:i,s:I}", "version",
            (json_int_t)routes->version, "revision",
            (json_int_t)watcher_reported_revision (gateway->routes_watcher), "routes",
            (int)routes->routes->len, "teams", (int)g_hash_table_size (routes->teams), "idle_ms",
            (json_int_t)routes->limits.idle_timeout_ms);
  gateway_set_team_totals_ (gateway);
}

/* Passes the prepaid tokens of all teams in the current configuration to the allotment manager, if
 * that is open. */
void
gateway_set_team_totals_ (struct gateway *gateway)
{
  const struct gw_context *context = &gateway->context;
  GHashTableIter iter;
  void *value;

  if (context->allotments == NULL || context->routes == NULL)
    return;
  g_hash_table_iter_init (&iter, context->routes->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct gw_team *team = value;

      if (team->is_prepaid)
        allotment_manager_set_prepaid (context->allotments, team->name->str, team->prepaid_tokens,
                                       g_get_monotonic_time ());
    }
}

/* Puts the first configuration in force as soon as config_guard allows it: it must not be older
 * than the one that peers have. */
static void
apply_pending_routes_ (struct gateway *gateway)
{
  const struct config_guard *guard = &gateway->config_guard;
  struct gw_routes *routes = gateway->pending_routes;

  if (routes == NULL)
    return;
  if (config_guard_allows (guard, gateway->store->era > STORE_ERA_FIRST, routes->version,
                           g_get_monotonic_time ()))
    {
      gateway->pending_routes = NULL;
      apply_routes_ (gateway, routes);
      return;
    }
  sr_event (SR_EVENT_INFO, "configuration_held", "{s:I,s:I}", "version",
            (json_int_t)routes->version, "others", (json_int_t)guard->version);
  if (guard->version > 0 || guard->peers != CONFIG_GUARD_PEERS_ASKED)
    return;
  mesh_request_updates (gateway->mesh, gateway->context.random);
  uv_timer_start (&gateway->config_guard_timer, on_guard_timer_, GUARD_RETRY_MS, 0);
}

static void
on_guard_timer_ (uv_timer_t *timer)
{
  apply_pending_routes_ (timer->data);
}

void
gateway_on_backends_listed_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;

  apply_backend_list_ (gateway, result, entries_may_be_missing_ (gateway));
  gateway->backends_listed = true;
  gateway_gossip_update_ (gateway);
}

/* Handles a periodic list, made in parallel with the watch. An entry that is missing in it may have
 * expired in a store outage that has not been noticed yet, so it stays in use until
 * LEASE_RENEWAL_MS have passed. */
void
gateway_on_backends_checked_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;

  bool some_missing = apply_backend_list_ (gateway, result, true);

  gateway_gossip_update_ (gateway);
  if (some_missing && !uv_is_active ((uv_handle_t *)&gateway->lease_timer))
    uv_timer_start (&gateway->lease_timer, on_lease_timer_, LEASE_RENEWAL_MS, 0);
}

void
gateway_on_backends_changed_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;

  gateway_gossip_update_ (gateway);
  for (size_t i = 0; i < result->n_objects; i++)
    if (result->objects[i].deleted)
      gw_backends_remove (gateway->context.backends, result->objects[i].name,
                          entries_may_be_missing_ (gateway));
    else
      put_backend_ (gateway, &result->objects[i]);
}

/* Replaces the known entries by those of a list, see gw_backends_end_list. */
static bool
apply_backend_list_ (struct gateway *gateway,
                     const struct store_result *result,
                     bool may_be_renewed)
{
  gw_backends_begin_list (gateway->context.backends);
  for (size_t i = 0; i < result->n_objects; i++)
    put_backend_ (gateway, &result->objects[i]);
  return gw_backends_end_list (gateway->context.backends, may_be_renewed);
}

static void
put_backend_ (struct gateway *gateway, const struct store_object *object)
{
  struct gw_backend_facts facts;
  int64_t cold_ms;

  if (!gateway->platform->decode_backend (object, &facts))
    return;
  cold_ms = facts.warm_up_ms;
  gw_backends_put (gateway->context.backends, &facts);
  note_cold_entry_ (gateway, object, cold_ms);
}

/* The entry OBJECT says that its backend server stays cold for COLD_MS. */
static void
note_cold_entry_ (struct gateway *gateway, const struct store_object *object, int64_t cold_ms)
{
  struct gw_backend *backend
      = gw_backends_find (gateway->context.backends, gw_backend_key (object->name));

  if (backend == NULL || !gw_cold_start_is_on (gateway->context.cold_start)
      || !gw_cold_server_note_entry (&backend->cold, gateway->store->era, object->revision, cold_ms,
                                     g_get_monotonic_time ()))
    return;
  sr_event (SR_EVENT_INFO, "backend_cold", "{s:s,s:I,s:s}", "backend", backend->facts.id, "cold_ms",
            (json_int_t)cold_ms, "source", "entry");
}

void
gateway_on_backends_reachable_ (bool reachable, void *data)
{
  struct gateway *gateway = data;

  if (!reachable)
    {
      if (gateway->context.store_outage_since_us == 0)
        gateway->context.store_outage_since_us = g_get_monotonic_time ();
      if (gateway->context.allotments != NULL)
        allotment_manager_store_unreachable (gateway->context.allotments);
      uv_timer_stop (&gateway->lease_timer);
      return;
    }
  gateway->context.store_outage_since_us = 0;
  gateway->outage_ended_us = g_get_monotonic_time ();
  if (gateway->context.allotments != NULL)
    allotment_manager_store_reachable (gateway->context.allotments, gateway->outage_ended_us);
  uv_timer_start (&gateway->lease_timer, on_lease_timer_, LEASE_RENEWAL_MS, 0);
}

/* Returns true if entries may be missing only because of the last store outage or restore. */
static bool
entries_may_be_missing_ (const struct gateway *gateway)
{
  return gateway->outage_ended_us != 0
         && g_get_monotonic_time () - gateway->outage_ended_us
                < LEASE_RENEWAL_MS * GATEWAY_US_PER_MS;
}

static void
on_lease_timer_ (uv_timer_t *timer)
{
  struct gateway *gateway = timer->data;

  gw_backends_drop_missing (gateway->context.backends);
}

void
gateway_on_instances_listed_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;
  g_autoptr (GPtrArray) known = mesh_peer_names (gateway->mesh);

  for (unsigned k = 0; k < known->len; k++)
    {
      bool listed = false;

      for (size_t i = 0; i < result->n_objects && !listed; i++)
        listed = strcmp (result->objects[i].name, known->pdata[k]) == 0;
      if (!listed)
        remove_instance_ (gateway, known->pdata[k]);
    }
  for (size_t i = 0; i < result->n_objects; i++)
    put_instance_ (gateway, &result->objects[i]);
  update_peers_ (gateway);
  report_peer_starts_ (gateway, result);
  if (!gateway->peers_asked && gateway->context.instances > 1)
    {
      gateway->peers_asked = true;
      mesh_request_updates (gateway->mesh, gateway->context.random);
    }
  config_guard_note_peers (&gateway->config_guard, gateway->context.instances - 1,
                           g_get_monotonic_time ());
  if (!uv_is_active ((uv_handle_t *)&gateway->config_guard_timer))
    apply_pending_routes_ (gateway);
}

void
gateway_on_instances_changed_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;

  for (size_t i = 0; i < result->n_objects; i++)
    if (result->objects[i].deleted)
      remove_instance_ (gateway, result->objects[i].name);
    else
      put_instance_ (gateway, &result->objects[i]);
  update_peers_ (gateway);
  report_peer_starts_ (gateway, result);
}

/* The store was restored from an older copy. As after an outage, entries may be missing until they
 * are written again; writes of this instance may be lost. */
void
gateway_on_restored_ (int64_t era, void *data)
{
  struct gateway *gateway = data;
  g_autoptr (GPtrArray) names = mesh_peer_names (gateway->mesh);

  gateway->outage_ended_us = g_get_monotonic_time ();
  gateway->merged_era = 0;
  watcher_restart (gateway->routes_watcher, RELIST_SPREAD_MS);
  watcher_restart (gateway->backends_watcher, RELIST_SPREAD_MS);
  gateway_restore_evacuations_ (gateway, RELIST_SPREAD_MS);
  uv_timer_start (&gateway->lease_timer, on_lease_timer_, LEASE_RENEWAL_MS + RELIST_SPREAD_MS, 0);
  if (gateway->announced)
    watcher_restart (gateway->instances_watcher, REANNOUNCE_WAIT_MS);
  if (gateway->context.allotments != NULL)
    allotment_manager_store_restored (gateway->context.allotments, names, gateway->outage_ended_us);
  gateway_announce_ (gateway);
}

static void
put_instance_ (struct gateway *gateway, const struct store_object *object)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  const char *ip = json_string_value (json_object_get (object->content, "address"));
  json_int_t port = json_integer_value (json_object_get (object->content, "peer_port"));

  if (strcmp (object->name, gateway->settings->name->str) == 0)
    return;
  gw_cold_start_add_instance (gateway->context.cold_start, object->name);
  if (ip == NULL || inet_pton (AF_INET, ip, &address.sin_addr) != 1 || port < 1 || port > 65535)
    {
      sr_event (SR_EVENT_WARNING, "object_not_readable", "{s:s,s:s}", "object", object->name,
                "reason", "no valid address and port of an instance");
      return;
    }
  address.sin_port = htons ((uint16_t)port);
  mesh_set_peer (gateway->mesh, object->name, &address);
  if (json_is_true (json_object_get (object->content, "leaving")))
    g_hash_table_add (gateway->leaving_instances, g_strdup (object->name));
  else
    g_hash_table_remove (gateway->leaving_instances, object->name);
}

/* Reports to the allotment manager the current starts of its peers, and which peers have merged the
 * tokens they hold into the records since the restore. A peer whose announcement is removed has
 * returned its tokens and counts as merged. */
static void
report_peer_starts_ (struct gateway *gateway, const struct store_result *result)
{
  for (size_t i = 0; i < result->n_objects; i++)
    {
      const struct store_object *object = &result->objects[i];
      json_int_t merged_era
          = json_integer_value (json_object_get (object->content, FIELD_MERGED_ERA));

      /* First, as the merge that a new process announces says nothing of the one before it. The
       * revision of an announcement determines the incarnation only until the announcement is
       * rewritten with the leaving flag. */
      if (!object->deleted && !g_hash_table_contains (gateway->leaving_instances, object->name))
        allotment_manager_peer_started (gateway->context.allotments, object->name,
                                        gateway_incarnation_ (gateway, object),
                                        process_started_us_ (object), g_get_monotonic_time ());
      if (object->deleted || (merged_era != 0 && merged_era == gateway->store->era))
        allotment_manager_peer_merged (gateway->context.allotments, object->name,
                                       g_get_monotonic_time ());
      if (object->deleted)
        allotment_manager_peer_ended (gateway->context.allotments, object->name,
                                      g_get_monotonic_time ());
    }
}

/* Returns the latest possible start time of the process that wrote the announcement OBJECT. */
static int64_t
process_started_us_ (const struct store_object *object)
{
  json_int_t up_ms = json_integer_value (json_object_get (object->content, "up_ms"));

  return g_get_monotonic_time () - CLAMP (up_ms, 0, UPTIME_MAX_MS) * GATEWAY_US_PER_MS;
}

static void
remove_instance_ (struct gateway *gateway, const char *name)
{
  g_hash_table_remove (gateway->leaving_instances, name);
  mesh_remove_peer (gateway->mesh, name);
  gw_cold_start_remove_instance (gateway->context.cold_start, name, g_get_monotonic_time ());
}

static void
update_peers_ (struct gateway *gateway)
{
  g_autoptr (GPtrArray) names = mesh_peer_names (gateway->mesh);
  unsigned wait_max_ms;
  unsigned wait_min_ms;
  unsigned check_ms;

  for (unsigned i = names->len; i > 0; i--)
    if (g_hash_table_contains (gateway->leaving_instances, names->pdata[i - 1]))
      g_ptr_array_remove_index (names, i - 1);
  gateway->context.instances = names->len + 1;
  gw_fleet_size_note (&gateway->context.fleet_size, gateway->context.instances,
                      gateway->context.retry_options.window_us, g_get_monotonic_time ());
  fleet_clock_set_instances (gateway->clock, gateway->context.instances);
  wait_max_ms = CLAMP (gateway->context.instances * GATEWAY_WATCH_MS_PER_INSTANCE,
                       (unsigned)GATEWAY_WATCH_MIN_MS, (unsigned)GATEWAY_WATCH_MAX_MS);
  wait_min_ms = MAX (wait_max_ms * GATEWAY_WATCH_MIN_PERCENT / 100, (unsigned)GATEWAY_WATCH_MIN_MS);
  watcher_set_wait (gateway->routes_watcher, wait_min_ms, wait_max_ms);
  watcher_set_wait (gateway->backends_watcher, wait_min_ms, wait_max_ms);
  watcher_set_pause (gateway->routes_watcher,
                     CLAMP (gateway->context.instances * GATEWAY_ROUTES_PAUSE_MS_PER_INSTANCE,
                            (unsigned)GATEWAY_ROUTES_PAUSE_MIN_MS,
                            (unsigned)GATEWAY_ROUTES_PAUSE_MAX_MS));
  watcher_set_pause (gateway->backends_watcher,
                     CLAMP (gateway->context.instances * GATEWAY_BACKENDS_PAUSE_MS_PER_INSTANCE,
                            (unsigned)GATEWAY_BACKENDS_PAUSE_MIN_MS,
                            (unsigned)GATEWAY_BACKENDS_PAUSE_MAX_MS));
  check_ms = MAX (gateway->context.instances * GATEWAY_CHECK_MS_PER_INSTANCE,
                  (unsigned)GATEWAY_CHECK_MIN_MS);
  watcher_set_list_interval (gateway->routes_watcher, check_ms);
  watcher_set_list_interval (gateway->backends_watcher, check_ms);
  /* Only the limit for cold servers depends on a complete list. */
  watcher_set_list_interval (gateway->instances_watcher,
                             gw_cold_start_is_on (gateway->context.cold_start)
                                 ? MAX (check_ms, (unsigned)INSTANCES_CHECK_MIN_MS)
                                 : 0);
  allotment_manager_set_peers (gateway->context.allotments, names, g_get_monotonic_time ());
  sr_event (SR_EVENT_INFO, "instances", "{s:i}", "count", (int)gateway->context.instances);
}

void
gateway_on_peer_update_ (const struct mesh_update *update, void *data)
{
  struct gateway *gateway = data;

  if (config_guard_note_version (&gateway->config_guard, update->configuration_version))
    apply_pending_routes_ (gateway);
  /* The response to the store call of gateway_announce_ shows the restore. Revisions of different
   * eras can't be compared. */
  if (update->era > gateway->store->era)
    gateway_announce_ (gateway);
  if (update->era != gateway->store->era)
    return;
  watcher_notify_revision (gateway->routes_watcher, update->configuration_revision);
  watcher_notify_revision (gateway->backends_watcher, update->backends_revision);
  gateway_note_evacuations_revision_ (gateway, update->evacuations_revision);
}

/* A peer requests this instance's update. */
void
gateway_fill_update_ (struct mesh_update *update, void *data)
{
  *update = own_update_ (data);
}

/* Sends the current revisions and configuration version to a few peers, if they have changed. */
void
gateway_gossip_update_ (struct gateway *gateway)
{
  const struct mesh_update update = own_update_ (gateway);

  if (update.era == gateway->last_gossip.era
      && update.configuration_revision == gateway->last_gossip.configuration_revision
      && update.backends_revision == gateway->last_gossip.backends_revision
      && update.evacuations_revision == gateway->last_gossip.evacuations_revision)
    return;
  gateway->last_gossip = update;
  mesh_announce_update (gateway->mesh, &update, gateway->context.random);
}

/* Repeats the update periodically, for peers whose watch missed a change and that the update did
 * not reach: they would notice the change only when their watch ends. */
void
gateway_on_gossip_timer_ (uv_timer_t *timer)
{
  struct gateway *gateway = timer->data;
  const struct mesh_update update = own_update_ (gateway);

  mesh_repeat_update (gateway->mesh, &update, gateway->context.random);
  gateway_set_evacuation_lists_ (gateway);
  if (watcher_confirmed_us (gateway->instances_watcher) > 0)
    gw_cold_start_confirm_list (gateway->context.cold_start,
                                watcher_confirmed_us (gateway->instances_watcher));
  gateway_repeat_part_reports_ (gateway);
}

static struct mesh_update
own_update_ (const struct gateway *gateway)
{
  return (struct mesh_update){
    .era = gateway->store->era,
    .configuration_revision = watcher_reported_revision (gateway->routes_watcher),
    .backends_revision = watcher_reported_revision (gateway->backends_watcher),
    .configuration_version = gateway->context.routes == NULL ? 0 : gateway->context.routes->version,
    .evacuations_revision = gateway_evacuations_revision_ (gateway),
  };
}
