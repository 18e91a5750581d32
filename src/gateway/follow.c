#include "gateway/serve-private.h"

#include "base/event-log.h"

#include <arpa/inet.h>
#include <string.h>

enum
{
  ANNOUNCED_AGAIN_MS = 1500, /* in which instances have put themselves on their list again */
  RESTART_SPREAD_MS = 300,   /* in which all instances list anew, three kinds each */
  UP_MAX_MS = 86400000,   /* a longer time is no time that a process was up before it announced */
  GUARD_REPEAT_MS = 250,  /* while others are asked for the version that they have */
  LEASE_RETURN_MS = 2200, /* entries that lapsed in an outage are back two seconds after it */
};

static void take_routes_ (struct gateway *gateway, struct gw_routes *routes);
static void take_held_routes_ (struct gateway *gateway);
static void on_guard_timer_ (uv_timer_t *timer);
static bool
take_backends_ (struct gateway *gateway, const struct store_result *result, bool doubtful);
static void put_backend_ (struct gateway *gateway, const struct store_object *object);
static bool leases_doubtful_ (const struct gateway *gateway);
static void on_lease_timer_ (uv_timer_t *timer);
static void put_instance_ (struct gateway *gateway, const struct store_object *object);
static int64_t started_us_ (const struct store_object *object);
static void forget_instance_ (struct gateway *gateway, const char *name);
static void peers_changed_ (struct gateway *gateway);
static void note_starts_ (struct gateway *gateway, const struct store_result *result);
static struct mesh_news news_ (const struct gateway *gateway);
static void spread_news_ (struct gateway *gateway);

/* A list or a change of the kind that holds the configuration. A lower version is never taken. */
void
gateway_on_routes_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;
  struct gw_context *context = &gateway->context;

  for (size_t i = 0; i < result->n_objects; i++)
    {
      struct gw_routes *routes;

      if (result->objects[i].deleted || !gateway->platform->is_configuration (&result->objects[i]))
        continue;
      routes = gateway->platform->decode_routes (&result->objects[i]);
      if (routes == NULL)
        continue;
      if (context->routes != NULL && routes->version <= context->routes->version)
        {
          gw_routes_unref (routes);
          continue;
        }
      if (context->routes == NULL)
        {
          gw_routes_unref (gateway->held_routes);
          gateway->held_routes = routes;
          take_held_routes_ (gateway);
        }
      else
        take_routes_ (gateway, routes);
    }
}

/* Puts ROUTES, which it takes over, in force. */
static void
take_routes_ (struct gateway *gateway, struct gw_routes *routes)
{
  struct gw_context *context = &gateway->context;

  gw_routes_unref (context->routes);
  context->routes = routes;
  spread_news_ (gateway);
  sr_event (SR_EVENT_INFO, "configuration", "{s:I,s:I,s:i,s:i}", "version",
            (json_int_t)routes->version, "revision",
            (json_int_t)watcher_seen (gateway->routes_watcher), "routes", (int)routes->routes->len,
            "teams", (int)g_hash_table_size (routes->teams));
  gateway_tell_totals_ (gateway);
}

/* Tells the book, if there is one, what the teams of the configuration in force have paid for. */
void
gateway_tell_totals_ (struct gateway *gateway)
{
  const struct gw_context *context = &gateway->context;
  GHashTableIter iter;
  void *value;

  if (context->book == NULL || context->routes == NULL)
    return;
  g_hash_table_iter_init (&iter, context->routes->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct gw_team *team = value;

      if (team->is_prepaid)
        allotment_book_set_team (context->book, team->name->str, team->prepaid_tokens,
                                 g_get_monotonic_time ());
    }
}

/* Puts the first configuration in force once it is known not to be an older one than others have.
 */
static void
take_held_routes_ (struct gateway *gateway)
{
  const struct config_guard *guard = &gateway->config_guard;
  struct gw_routes *routes = gateway->held_routes;

  if (routes == NULL)
    return;
  if (config_guard_allows (guard, gateway->store->era > STORE_ERA_FIRST, routes->version,
                           g_get_monotonic_time ()))
    {
      gateway->held_routes = NULL;
      take_routes_ (gateway, routes);
      return;
    }
  sr_event (SR_EVENT_INFO, "configuration_held", "{s:I,s:I}", "version",
            (json_int_t)routes->version, "others", (json_int_t)guard->version);
  if (guard->version > 0 || guard->peers != CONFIG_GUARD_PEERS_ASKED)
    return;
  mesh_ask_news (gateway->mesh, gateway->context.random);
  uv_timer_start (&gateway->guard_timer, on_guard_timer_, GUARD_REPEAT_MS, 0);
}

static void
on_guard_timer_ (uv_timer_t *timer)
{
  take_held_routes_ (timer->data);
}

void
gateway_on_backends_listed_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;

  take_backends_ (gateway, result, leases_doubtful_ (gateway));
  gateway->backends_listed = true;
  spread_news_ (gateway);
}

/* A list beside the watch. What is missing in it may have lapsed in an outage that has not been
 * noticed yet: it gets the time to return. */
void
gateway_on_backends_checked_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;

  bool some_missing = take_backends_ (gateway, result, true);

  spread_news_ (gateway);
  if (some_missing && !uv_is_active ((uv_handle_t *)&gateway->lease_timer))
    uv_timer_start (&gateway->lease_timer, on_lease_timer_, LEASE_RETURN_MS, 0);
}

void
gateway_on_backends_changed_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;

  spread_news_ (gateway);
  for (size_t i = 0; i < result->n_objects; i++)
    if (result->objects[i].deleted)
      gw_backends_remove (gateway->context.backends, result->objects[i].name,
                          leases_doubtful_ (gateway));
    else
      put_backend_ (gateway, &result->objects[i]);
}

/* Takes over a whole list, see gw_backends_end_list. */
static bool
take_backends_ (struct gateway *gateway, const struct store_result *result, bool doubtful)
{
  gw_backends_begin_list (gateway->context.backends);
  for (size_t i = 0; i < result->n_objects; i++)
    put_backend_ (gateway, &result->objects[i]);
  return gw_backends_end_list (gateway->context.backends, doubtful);
}

static void
put_backend_ (struct gateway *gateway, const struct store_object *object)
{
  struct gw_backend_facts facts;

  if (gateway->platform->decode_backend (object, &facts))
    gw_backends_put (gateway->context.backends, &facts);
}

void
gateway_on_backends_reachable_ (bool reachable, void *data)
{
  struct gateway *gateway = data;

  if (!reachable)
    {
      if (gateway->context.store_out_since_us == 0)
        gateway->context.store_out_since_us = g_get_monotonic_time ();
      if (gateway->context.book != NULL)
        allotment_book_store_lost (gateway->context.book);
      uv_timer_stop (&gateway->lease_timer);
      return;
    }
  gateway->context.store_out_since_us = 0;
  gateway->outage_ended_us = g_get_monotonic_time ();
  if (gateway->context.book != NULL)
    allotment_book_store_returned (gateway->context.book, gateway->outage_ended_us);
  uv_timer_start (&gateway->lease_timer, on_lease_timer_, LEASE_RETURN_MS, 0);
}

/* Tells whether entries may be missing only because the store was away. */
static bool
leases_doubtful_ (const struct gateway *gateway)
{
  return gateway->outage_ended_us != 0
         && g_get_monotonic_time () - gateway->outage_ended_us
                < LEASE_RETURN_MS * GATEWAY_US_PER_MS;
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
        forget_instance_ (gateway, known->pdata[k]);
    }
  for (size_t i = 0; i < result->n_objects; i++)
    put_instance_ (gateway, &result->objects[i]);
  peers_changed_ (gateway);
  note_starts_ (gateway, result);
  config_guard_note_peers (&gateway->config_guard, gateway->context.instances - 1,
                           g_get_monotonic_time ());
  if (!uv_is_active ((uv_handle_t *)&gateway->guard_timer))
    take_held_routes_ (gateway);
}

void
gateway_on_instances_changed_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;

  for (size_t i = 0; i < result->n_objects; i++)
    if (result->objects[i].deleted)
      forget_instance_ (gateway, result->objects[i].name);
    else
      put_instance_ (gateway, &result->objects[i]);
  peers_changed_ (gateway);
  note_starts_ (gateway, result);
}

/* The store has come back from a copy. Entries may be missing until they are written again, as
 * after an outage, and what this instance has written may be gone. */
void
gateway_on_restored_ (int64_t era, void *data)
{
  struct gateway *gateway = data;
  g_autoptr (GPtrArray) names = mesh_peer_names (gateway->mesh);

  gateway->outage_ended_us = g_get_monotonic_time ();
  gateway->merged_era = 0;
  watcher_restart (gateway->routes_watcher, RESTART_SPREAD_MS);
  watcher_restart (gateway->backends_watcher, RESTART_SPREAD_MS);
  uv_timer_start (&gateway->lease_timer, on_lease_timer_, LEASE_RETURN_MS + RESTART_SPREAD_MS, 0);
  if (gateway->announced)
    watcher_restart (gateway->instances_watcher, ANNOUNCED_AGAIN_MS);
  if (gateway->context.book != NULL)
    allotment_book_store_restored (gateway->context.book, names, gateway->outage_ended_us);
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
  if (ip == NULL || inet_pton (AF_INET, ip, &address.sin_addr) != 1 || port < 1 || port > 65535)
    {
      sr_event (SR_EVENT_FAILURE, "object_not_readable", "{s:s,s:s}", "object", object->name,
                "reason", "is no entry of an instance");
      return;
    }
  address.sin_port = htons ((uint16_t)port);
  mesh_set_peer (gateway->mesh, object->name, &address);
  if (json_is_true (json_object_get (object->content, "leaving")))
    g_hash_table_add (gateway->leaving, g_strdup (object->name));
  else
    g_hash_table_remove (gateway->leaving, object->name);
}

/* The book learns which starts there are, of the instances that it knows by now, and which of them
 * have merged what they hold since the store came back; one that is gone has given it back. */
static void
note_starts_ (struct gateway *gateway, const struct store_result *result)
{
  for (size_t i = 0; i < result->n_objects; i++)
    {
      const struct store_object *object = &result->objects[i];
      json_int_t merged_era
          = json_integer_value (json_object_get (object->content, FIELD_MERGED_ERA));

      if (object->deleted || (merged_era != 0 && merged_era == gateway->store->era))
        allotment_book_peer_merged (gateway->context.book, object->name, g_get_monotonic_time ());

      /* The revision of an announcement tells the incarnation, until it is written again to leave.
       */
      if (!object->deleted && !g_hash_table_contains (gateway->leaving, object->name))
        allotment_book_peer_started (gateway->context.book, object->name,
                                     gateway_incarnation_ (gateway, object), started_us_ (object));
    }
}

/* Returns when the process that wrote the announcement OBJECT had started at the latest. */
static int64_t
started_us_ (const struct store_object *object)
{
  json_int_t up_ms = json_integer_value (json_object_get (object->content, "up_ms"));

  return g_get_monotonic_time () - CLAMP (up_ms, 0, UP_MAX_MS) * GATEWAY_US_PER_MS;
}

static void
forget_instance_ (struct gateway *gateway, const char *name)
{
  g_hash_table_remove (gateway->leaving, name);
  mesh_remove_peer (gateway->mesh, name);
}

static void
peers_changed_ (struct gateway *gateway)
{
  g_autoptr (GPtrArray) names = mesh_peer_names (gateway->mesh);
  unsigned wait_ms;
  unsigned wait_min_ms;
  unsigned check_ms;

  for (unsigned i = names->len; i > 0; i--)
    if (g_hash_table_contains (gateway->leaving, names->pdata[i - 1]))
      g_ptr_array_remove_index (names, i - 1);
  gateway->context.instances = names->len + 1;
  fleet_clock_set_instances (gateway->clock, gateway->context.instances);
  wait_ms = CLAMP (gateway->context.instances * GATEWAY_WATCH_FLEET_MS,
                   (unsigned)GATEWAY_WATCH_MIN_MS, (unsigned)GATEWAY_WATCH_MAX_MS);
  wait_min_ms
      = MAX (wait_ms * GATEWAY_WATCH_SHORTEST_PERCENT / 100, (unsigned)GATEWAY_WATCH_MIN_MS);
  watcher_set_wait (gateway->routes_watcher, wait_min_ms, wait_ms);
  watcher_set_wait (gateway->backends_watcher, wait_min_ms, wait_ms);
  watcher_set_pause (gateway->routes_watcher,
                     CLAMP (gateway->context.instances * GATEWAY_ROUTES_PAUSE_FLEET_MS,
                            (unsigned)GATEWAY_ROUTES_PAUSE_MIN_MS,
                            (unsigned)GATEWAY_ROUTES_PAUSE_MAX_MS));
  watcher_set_pause (gateway->backends_watcher,
                     CLAMP (gateway->context.instances * GATEWAY_BACKENDS_PAUSE_FLEET_MS,
                            (unsigned)GATEWAY_BACKENDS_PAUSE_MIN_MS,
                            (unsigned)GATEWAY_BACKENDS_PAUSE_MAX_MS));
  check_ms
      = MAX (gateway->context.instances * GATEWAY_CHECK_FLEET_MS, (unsigned)GATEWAY_CHECK_MIN_MS);
  watcher_set_check (gateway->routes_watcher, check_ms);
  watcher_set_check (gateway->backends_watcher, check_ms);
  allotment_book_set_peers (gateway->context.book, names, g_get_monotonic_time ());
  sr_event (SR_EVENT_INFO, "instances", "{s:i}", "count", (int)gateway->context.instances);
}

void
gateway_on_told_ (const struct mesh_news *news, void *data)
{
  struct gateway *gateway = data;

  if (config_guard_hear (&gateway->config_guard, news->configuration_version))
    take_held_routes_ (gateway);
  /* Whoever asks the store learns of its return; revisions of another era say nothing here. */
  if (news->era > gateway->store->era)
    gateway_announce_ (gateway);
  if (news->era != gateway->store->era)
    return;
  watcher_look_after (gateway->routes_watcher, news->configuration_revision);
  watcher_look_after (gateway->backends_watcher, news->backends_revision);
}

/* Another instance asks what is known here. */
void
gateway_on_asked_news_ (struct mesh_news *news, void *data)
{
  *news = news_ (data);
}

/* Tells a few others what the store has shown here, once. */
static void
spread_news_ (struct gateway *gateway)
{
  const struct mesh_news news = news_ (gateway);

  if (news.era == gateway->spread.era
      && news.configuration_revision == gateway->spread.configuration_revision
      && news.backends_revision == gateway->spread.backends_revision)
    return;
  gateway->spread = news;
  mesh_spread_news (gateway->mesh, &news, gateway->context.random);
}

/* Tells the same now and then: those whose watch is deaf, and whom the spreading missed, must not
 * depend on the end of their watch. */
void
gateway_on_news_timer_ (uv_timer_t *timer)
{
  struct gateway *gateway = timer->data;
  const struct mesh_news news = news_ (gateway);

  mesh_repeat_news (gateway->mesh, &news, gateway->context.random);
}

static struct mesh_news
news_ (const struct gateway *gateway)
{
  return (struct mesh_news){
    .era = gateway->store->era,
    .configuration_revision = watcher_seen (gateway->routes_watcher),
    .backends_revision = watcher_seen (gateway->backends_watcher),
    .configuration_version = gateway->context.routes == NULL ? 0 : gateway->context.routes->version,
  };
}
