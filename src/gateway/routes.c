#include "gateway/routes.h"

#include <string.h>

/* Used until a configuration sets them; common defaults of HTTP servers. */
static const struct gw_limits default_limits_ = {
  .header_max_bytes = 16384,
  .body_max_bytes = 4 * 1024 * 1024,
  .header_timeout_ms = 3000,
  .idle_timeout_ms = 15000,
};

static void route_free_ (void *data);
static void service_free_ (void *data);
static void team_free_ (void *data);
static int compare_prefixes_ (const void *left, const void *right);

/* Creates an empty configuration of VERSION; the caller owns a reference. */
struct gw_routes *
gw_routes_new (int64_t version)
{
  struct gw_routes *routes = g_new0 (struct gw_routes, 1);

  routes->reference_count = 1;
  routes->version = version;
  routes->limits = default_limits_;
  routes->routes = g_ptr_array_new_with_free_func (route_free_);
  routes->by_host
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  routes->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free_);
  routes->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, team_free_);
  routes->teams_by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return routes;
}

struct gw_routes *
gw_routes_ref (struct gw_routes *routes)
{
  routes->reference_count++;
  return routes;
}

/* ROUTES may be NULL. */
void
gw_routes_unref (struct gw_routes *routes)
{
  if (routes == NULL || --routes->reference_count > 0)
    return;
  g_hash_table_unref (routes->teams_by_key);
  g_hash_table_unref (routes->by_host);
  g_ptr_array_unref (routes->routes);
  g_hash_table_unref (routes->services);
  g_hash_table_unref (routes->teams);
  g_free (routes);
}

/* Adds a route, whose fields the caller fills before gw_routes_finish. ROUTES owns it. */
struct gw_route *
gw_routes_add_route (struct gw_routes *routes, const char *name)
{
  struct gw_route *route = g_new0 (struct gw_route, 1);

  route->name = g_string_new (name);
  route->host = g_string_new (NULL);
  route->path_prefix = g_string_new (NULL);
  route->targets = g_array_new (FALSE, FALSE, sizeof (struct gw_route_target));
  g_ptr_array_add (routes->routes, route);
  return route;
}

/* Adds a service, replacing an earlier one of that name. ROUTES owns it. */
struct gw_service *
gw_routes_add_service (struct gw_routes *routes, const char *name)
{
  struct gw_service *service = g_new0 (struct gw_service, 1);

  service->name = g_string_new (name);
  service->health_path = g_string_new (NULL);
  g_hash_table_replace (routes->services, service->name->str, service);
  return service;
}

/* Adds a team; its name must not be in use. ROUTES owns it. */
struct gw_team *
gw_routes_add_team (struct gw_routes *routes, const char *name)
{
  struct gw_team *team = g_new0 (struct gw_team, 1);

  team->name = g_string_new (name);
  g_hash_table_replace (routes->teams, team->name->str, team);
  return team;
}

/* Gives KEY, an access key, to TEAM. */
void
gw_routes_add_key (struct gw_routes *routes, const char *key, struct gw_team *team)
{
  g_hash_table_replace (routes->teams_by_key, g_strdup (key), team);
}

/* Adds a service that receives requests of ROUTE in proportion to WEIGHT. */
void
gw_route_add_target (struct gw_route *route, const char *service, unsigned weight)
{
  struct gw_route_target target = { .service = g_string_new (service), .weight = weight };

  g_array_append_val (route->targets, target);
}

/* Builds the tables for gw_routes_match; nothing may be added afterwards. */
void
gw_routes_finish (struct gw_routes *routes)
{
  GHashTableIter iter;
  void *value;

  for (unsigned i = 0; i < routes->routes->len; i++)
    {
      struct gw_route *route = routes->routes->pdata[i];
      GPtrArray *list = g_hash_table_lookup (routes->by_host, route->host->str);

      if (list == NULL)
        {
          list = g_ptr_array_new ();
          g_hash_table_insert (routes->by_host, route->host->str, list);
        }
      g_ptr_array_add (list, route);
    }
  g_hash_table_iter_init (&iter, routes->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_sort (value, compare_prefixes_);
}

/* Returns the route with the longest prefix of PATH at HOST, or NULL. A port after the host name is
 * ignored, and so is case. */
const struct gw_route *
gw_routes_match (const struct gw_routes *routes,
                 struct net_string_view host,
                 struct net_string_view path)
{
  char name[256];
  const char *colon = memchr (host.data, ':', host.length);
  size_t length = colon != NULL ? (size_t)(colon - host.data) : host.length;
  const GPtrArray *list;

  if (length >= sizeof name)
    return NULL;
  for (size_t i = 0; i < length; i++)
    name[i] = g_ascii_tolower (host.data[i]);
  name[length] = '\0';
  list = g_hash_table_lookup (routes->by_host, name);
  for (unsigned i = 0; list != NULL && i < list->len; i++)
    {
      const struct gw_route *route = list->pdata[i];

      if (route->path_prefix->len <= path.length
          && memcmp (route->path_prefix->str, path.data, route->path_prefix->len) == 0)
        return route;
    }
  return NULL;
}

/* Returns the team that holds KEY, or NULL. */
const struct gw_team *
gw_routes_team (const struct gw_routes *routes, struct net_string_view key)
{
  char text[256];

  if (key.length == 0 || key.length >= sizeof text)
    return NULL;
  memcpy (text, key.data, key.length);
  text[key.length] = '\0';
  return g_hash_table_lookup (routes->teams_by_key, text);
}

const struct gw_service *
gw_routes_service (const struct gw_routes *routes, const char *name)
{
  return g_hash_table_lookup (routes->services, name);
}

/* Picks a service of ROUTE by weight; RANDOM is any random number. Returns its name, or NULL when
 * there is none with a weight. */
const GString *
gw_route_pick_service (const struct gw_route *route, uint32_t random)
{
  unsigned sum = 0;
  unsigned at;

  for (unsigned i = 0; i < route->targets->len; i++)
    sum += g_array_index (route->targets, struct gw_route_target, i).weight;
  if (sum == 0)
    return NULL;
  at = random % sum;
  for (unsigned i = 0; i < route->targets->len; i++)
    {
      const struct gw_route_target *target
          = &g_array_index (route->targets, struct gw_route_target, i);

      if (at < target->weight)
        return target->service;
      at -= target->weight;
    }
  return NULL;
}

static void
route_free_ (void *data)
{
  struct gw_route *route = data;

  for (unsigned i = 0; i < route->targets->len; i++)
    g_string_free (g_array_index (route->targets, struct gw_route_target, i).service, TRUE);
  g_array_unref (route->targets);
  g_string_free (route->name, TRUE);
  g_string_free (route->host, TRUE);
  g_string_free (route->path_prefix, TRUE);
  g_free (route);
}

static void
service_free_ (void *data)
{
  struct gw_service *service = data;

  g_string_free (service->name, TRUE);
  g_string_free (service->health_path, TRUE);
  g_free (service);
}

static void
team_free_ (void *data)
{
  struct gw_team *team = data;

  g_string_free (team->name, TRUE);
  g_free (team);
}

static int
compare_prefixes_ (const void *left, const void *right)
{
  const struct gw_route *const *a = left;
  const struct gw_route *const *b = right;

  return (*a)->path_prefix->len < (*b)->path_prefix->len
             ? 1
             : -((*a)->path_prefix->len > (*b)->path_prefix->len);
}
