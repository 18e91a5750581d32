#include "gateway/routes.h"

#include <string.h>
#include <xxhash.h>

/* The routes of one host. */
struct host_routes_
{
  GHashTable *by_prefix; /* set of struct gw_route, the first one of each path prefix */
  GArray *lengths;       /* unsigned: the different lengths of prefixes, longest first */
};

/* Used until a configuration sets them; common defaults of HTTP servers. */
static const struct gw_limits default_limits_ = {
  .header_max_bytes = 16384,
  .body_max_bytes = 4 * 1024 * 1024,
  .header_timeout_ms = 3000,
  .idle_timeout_ms = 15000,
};

static void route_unref_ (void *data);
static unsigned hash_source_ (const void *data);
static gboolean sources_are_equal_ (const void *left, const void *right);
static unsigned hash_prefix_ (const void *data);
static gboolean prefixes_are_equal_ (const void *left, const void *right);
static struct host_routes_ *host_routes_new_ (void);
static void host_routes_free_ (void *data);
static void host_routes_add_ (struct host_routes_ *host, struct gw_route *route);
static void service_free_ (void *data);
static void team_free_ (void *data);
static int compare_lengths_ (const void *left, const void *right);

/* Creates an empty configuration of VERSION; the caller owns a reference. */
struct gw_routes *
gw_routes_new (int64_t version)
{
  struct gw_routes *routes = g_new0 (struct gw_routes, 1);

  routes->reference_count = 1;
  routes->version = version;
  routes->limits = default_limits_;
  routes->routes = g_ptr_array_new_with_free_func (route_unref_);
  routes->by_host = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, host_routes_free_);
  routes->by_source = g_hash_table_new (hash_source_, sources_are_equal_);
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
  g_hash_table_unref (routes->by_source);
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

  route->reference_count = 1;
  route->name = g_string_new (name);
  route->host = g_string_new (NULL);
  route->path_prefix = g_string_new (NULL);
  route->targets = g_array_new (FALSE, FALSE, sizeof (struct gw_route_target));
  g_ptr_array_add (routes->routes, route);
  return route;
}

/* Notes that ROUTE of ROUTES was decoded from SOURCE, and from nothing else. */
void
gw_routes_set_source (struct gw_routes *routes,
                      struct gw_route *route,
                      struct gw_route_source source)
{
  route->source = source;
  g_hash_table_add (routes->by_source, route);
}

/* Adds the route that PREVIOUS has from SOURCE, without a copy. Returns false if it has none.
 * PREVIOUS may be NULL. */
bool
gw_routes_share_route (struct gw_routes *routes,
                       const struct gw_routes *previous,
                       struct gw_route_source source)
{
  const struct gw_route key = { .source = source };
  struct gw_route *route
      = previous == NULL ? NULL : g_hash_table_lookup (previous->by_source, &key);

  if (route == NULL)
    return false;
  route->reference_count++;
  g_ptr_array_add (routes->routes, route);
  g_hash_table_add (routes->by_source, route);
  return true;
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
      struct host_routes_ *host = g_hash_table_lookup (routes->by_host, route->host->str);

      if (host == NULL)
        {
          host = host_routes_new_ ();
          g_hash_table_insert (routes->by_host, route->host->str, host);
        }
      host_routes_add_ (host, route);
    }
  g_hash_table_iter_init (&iter, routes->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_sort (((struct host_routes_ *)value)->lengths, compare_lengths_);
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
  const struct host_routes_ *list;

  if (length >= sizeof name)
    return NULL;
  for (size_t i = 0; i < length; i++)
    name[i] = g_ascii_tolower (host.data[i]);
  name[length] = '\0';
  list = g_hash_table_lookup (routes->by_host, name);
  for (unsigned i = 0; list != NULL && i < list->lengths->len; i++)
    {
      unsigned prefix_length = g_array_index (list->lengths, unsigned, i);
      GString prefix = { .str = (char *)path.data, .len = prefix_length };
      const struct gw_route key = { .path_prefix = &prefix };
      const struct gw_route *route;

      if (prefix_length > path.length)
        continue;
      route = g_hash_table_lookup (list->by_prefix, &key);
      if (route != NULL)
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

/* Returns the rank of a request: the priority of TEAM, which may be NULL, if it has one, otherwise
 * that of ROUTE. 0 is served first. */
unsigned
gw_request_rank (const struct gw_route *route, const struct gw_team *team)
{
  return team != NULL && team->has_priority ? team->priority : route->priority;
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

static unsigned
hash_source_ (const void *data)
{
  return (unsigned)((const struct gw_route *)data)->source.low;
}

static gboolean
sources_are_equal_ (const void *left, const void *right)
{
  const struct gw_route *a = left;
  const struct gw_route *b = right;

  return a->source.low == b->source.low && a->source.high == b->source.high;
}

static unsigned
hash_prefix_ (const void *data)
{
  const GString *prefix = ((const struct gw_route *)data)->path_prefix;

  return (unsigned)XXH3_64bits (prefix->str, prefix->len);
}

static gboolean
prefixes_are_equal_ (const void *left, const void *right)
{
  const GString *a = ((const struct gw_route *)left)->path_prefix;
  const GString *b = ((const struct gw_route *)right)->path_prefix;

  return a->len == b->len && memcmp (a->str, b->str, a->len) == 0;
}

static struct host_routes_ *
host_routes_new_ (void)
{
  struct host_routes_ *host = g_new0 (struct host_routes_, 1);

  host->by_prefix = g_hash_table_new (hash_prefix_, prefixes_are_equal_);
  host->lengths = g_array_new (FALSE, FALSE, sizeof (unsigned));
  return host;
}

static void
host_routes_free_ (void *data)
{
  struct host_routes_ *host = data;

  g_hash_table_unref (host->by_prefix);
  g_array_unref (host->lengths);
  g_free (host);
}

/* Of several routes with one prefix, the first counts. */
static void
host_routes_add_ (struct host_routes_ *host, struct gw_route *route)
{
  unsigned length = (unsigned)route->path_prefix->len;

  if (g_hash_table_contains (host->by_prefix, route))
    return;
  g_hash_table_add (host->by_prefix, route);
  for (unsigned i = 0; i < host->lengths->len; i++)
    if (g_array_index (host->lengths, unsigned, i) == length)
      return;
  g_array_append_val (host->lengths, length);
}

static void
route_unref_ (void *data)
{
  struct gw_route *route = data;

  if (--route->reference_count > 0)
    return;

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
compare_lengths_ (const void *left, const void *right)
{
  unsigned a = *(const unsigned *)left;
  unsigned b = *(const unsigned *)right;

  return a < b ? 1 : -(a > b);
}
