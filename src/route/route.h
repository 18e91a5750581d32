/* Load balancing: selects the backend server for one attempt of a request. */
#pragma once

#include "config/config.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sr_router;

struct sr_router_options
{
  const char *data_centre;
  const char *instance; /* its name selects the subset of a large service; NULL means "" */
  uint32_t seed;
};

enum sr_route_verdict
{
  SR_ROUTE_PICKED,
  SR_ROUTE_BUSY, /* all are at their limit: retry when a slot is free */
  SR_ROUTE_NONE  /* the service has no backend server that accepts new requests */
};

struct sr_route_query
{
  const char *service;
  uint64_t affinity;         /* hash of the prompt prefix, 0 for no affinity */
  const GPtrArray *excluded; /* names (char *) that already failed this request; may be NULL */
  int64_t now_us;
};

/* A slot taken at a backend server, to be released by sr_router_release. The strings are copies. */
struct sr_route
{
  char service[64];
  char backend[64];
  char address[16];
  unsigned port;
  bool checks_fence;
  bool is_probe; /* the server is ejected: probe it on a new connection */
  int64_t picked_us;
};

enum sr_route_result
{
  SR_ROUTE_RESULT_OK,
  SR_ROUTE_RESULT_REFUSED, /* overloaded: it answered with an error and ran nothing */
  SR_ROUTE_RESULT_FAILED,  /* connection error, timeout, truncated or malformed response */
  SR_ROUTE_RESULT_CANCELLED
};

struct sr_route_report
{
  enum sr_route_result result;
  int64_t first_byte_us; /* latency; 0 when no byte was received */
  int running;           /* load in the response headers; -1 when not reported */
  int waiting;
  int64_t now_us;
};

struct sr_router *sr_router_new (const struct sr_router_options *options);
void sr_router_delete (struct sr_router *router);
void sr_router_apply (struct sr_router *router, struct sr_config *config, int64_t now_us);
void sr_router_apply_backends (struct sr_router *router, const GPtrArray *backends, int64_t now_us);
enum sr_route_verdict sr_router_pick (struct sr_router *router,
                                      const struct sr_route_query *query,
                                      struct sr_route *route);
void sr_router_release (struct sr_router *router,
                        const struct sr_route *route,
                        const struct sr_route_report *report);
unsigned sr_router_free_slots (struct sr_router *router, const char *service_name, int64_t now_us);
void sr_router_print_status (struct sr_router *router, GString *json, int64_t now_us);
