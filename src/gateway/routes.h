/* The configuration in force at a gateway: routes to services, access keys, teams and their prepaid
 * tokens, limits. Immutable after gw_routes_finish; reference counted. */
#pragma once

#include "net/http-conn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum gw_route_kind
{
  GW_ROUTE_REPEATABLE, /* may run more than once */
  GW_ROUTE_ONCE,       /* runs at most once */
  GW_ROUTE_STREAM      /* responds with events; runs at most once, unless it can be resumed */
};

/* Identifies the text that a route was decoded from: a hash of 128 bits. */
struct gw_route_source
{
  uint64_t low;
  uint64_t high;
};

struct gw_route_target
{
  GString *service;
  unsigned weight;
};

/* Immutable once it is part of finished routes; shared by those whose document has it unchanged. */
struct gw_route
{
  int reference_count;
  struct gw_route_source source;
  GString *name;
  GString *host;
  GString *path_prefix;
  enum gw_route_kind kind;
  bool resumable;
  bool is_public;        /* requires no key */
  bool carries_prompts;  /* its requests state prompt parts and output length */
  unsigned timeout_ms;   /* until the caller has its final response */
  unsigned objective_ms; /* latency objective; for a stream, of the first event */
  unsigned priority;     /* 0: highest */
  unsigned attempts_max; /* backend servers to which one request may be sent */
  GArray *targets;       /* struct gw_route_target */
};

struct gw_service
{
  GString *name;
  GString *health_path;
  unsigned connections_max; /* to one backend server */
  bool is_model;
  unsigned tokens_per_event; /* upper bound */
  unsigned slots;            /* requests that one backend server runs at once */
  int64_t memory_tokens;     /* cache memory of one backend server */
  int64_t cold_ms;           /* a backend server is cold for this long after its start */
  double cold_per_s;         /* requests that a cold one sustains; 0: never cold */
};

struct gw_team
{
  GString *name;
  bool is_prepaid;
  int64_t prepaid_tokens;
  bool has_priority;
  unsigned priority; /* overrides the route's */
};

struct gw_limits
{
  unsigned header_max_bytes;
  unsigned body_max_bytes;
  unsigned header_timeout_ms;
  unsigned idle_timeout_ms;
};

struct gw_routes
{
  int reference_count;
  int64_t version;
  GPtrArray *routes;        /* struct gw_route */
  GHashTable *by_host;      /* host in lower case: struct host_routes_ */
  GHashTable *by_source;    /* set of struct gw_route */
  GHashTable *services;     /* name: struct gw_service */
  GHashTable *teams;        /* name: struct gw_team */
  GHashTable *teams_by_key; /* key: struct gw_team */
  struct gw_limits limits;
};

struct gw_routes *gw_routes_new (int64_t version);
struct gw_routes *gw_routes_ref (struct gw_routes *routes);
void gw_routes_unref (struct gw_routes *routes);
struct gw_route *gw_routes_add_route (struct gw_routes *routes, const char *name);
void gw_routes_set_source (struct gw_routes *routes,
                           struct gw_route *route,
                           struct gw_route_source source);
bool gw_routes_share_route (struct gw_routes *routes,
                            const struct gw_routes *previous,
                            struct gw_route_source source);
struct gw_service *gw_routes_add_service (struct gw_routes *routes, const char *name);
struct gw_team *gw_routes_add_team (struct gw_routes *routes, const char *name);
void gw_routes_add_key (struct gw_routes *routes, const char *key, struct gw_team *team);
void gw_route_add_target (struct gw_route *route, const char *service, unsigned weight);
void gw_routes_finish (struct gw_routes *routes);
const struct gw_route *gw_routes_match (const struct gw_routes *routes,
                                        struct net_string_view host,
                                        struct net_string_view path);
const struct gw_team *gw_routes_team (const struct gw_routes *routes, struct net_string_view key);
const struct gw_service *gw_routes_service (const struct gw_routes *routes, const char *name);
unsigned gw_request_rank (const struct gw_route *route, const struct gw_team *team);
const GString *gw_route_pick_service (const struct gw_route *route, uint32_t random);
