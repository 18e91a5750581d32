/* The backend servers of one service as seen by one instance, and the selection among them. A state
 * machine without threads, locks or clock: the caller serialises calls and passes the time. */
#pragma once

#include "route/backend-state.h"

struct sr_service_state
{
  GString *name;
  GPtrArray *backends; /* of struct sr_backend_state */
  struct sr_load_prior prior;
  bool has_all_backends; /* backends is not a subset */
};

enum
{
  SR_SUBSET_MAX = 64,      /* backend servers of a service that one instance uses */
  SR_SUBSET_LOCAL_MAX = 48 /* of these in its own data centre, if there are remote ones */
};

struct sr_service_state *sr_service_state_new (const char *name);
void sr_service_state_delete (struct sr_service_state *service);
void sr_service_state_apply (struct sr_service_state *service,
                             const GPtrArray *backends,
                             const struct sr_router_options *options,
                             int64_t now_us);
enum sr_route_verdict sr_service_state_pick (struct sr_service_state *service,
                                             const struct sr_route_query *query,
                                             GRand *random,
                                             struct sr_route *route);
bool sr_service_state_report (struct sr_service_state *service,
                              const char *backend,
                              const struct sr_route_report *report,
                              GRand *random);
unsigned sr_service_state_free_slots (const struct sr_service_state *service, int64_t now_us);
