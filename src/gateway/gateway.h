/* State that all requests of a gateway instance share. A gateway forwards callers' requests to
 * backend servers unchanged, on a single-threaded event loop. */
#pragma once

#include "allotment/allotment.h"
#include "gateway/backends.h"
#include "gateway/dialect.h"
#include "gateway/evacuation.h"
#include "gateway/link-load.h"
#include "gateway/placement.h"
#include "gateway/precedence.h"
#include "gateway/retry-budget.h"
#include "gateway/routes.h"
#include "net/memory-account.h"
#include "quarantine/quarantine.h"

#include <glib.h>
#include <uv.h>

struct end_detector;

/* Written by the event handlers in serve.c and updates.c, read by requests. */
struct gw_context
{
  uv_loop_t *loop;
  const struct gw_dialect *dialect;
  const char *data_centre;
  struct gw_routes *routes; /* NULL until the first configuration has been received */
  struct gw_backends *backends;
  struct evacuation *evacuation;        /* NULL: evacuations are not followed */
  struct allotment_manager *allotments; /* NULL until this instance is registered in the store */
  GHashTable *retry_budgets;            /* service name: struct gw_retry_budget */
  struct gw_retry_budget_options retry_options;
  struct gw_fleet_size fleet_size; /* that shares the fixed part of the retry budgets */
  struct gw_link_load link;
  struct net_memory_account account; /* of what is held for callers */
  int64_t part_cache_lifetime_us; /* a prompt part is assumed cached on a server for this long; 0:
                                     default */
  unsigned instances;             /* number of instances in the fleet, including this one */
  int64_t started_us;
  int64_t store_outage_since_us;  /* start of the store outage; 0: the store is reachable */
  int64_t backend_leave_limit_us; /* a backend server must get no new requests once this long has
                                     passed since it announced its shutdown */
  bool refuses_early;             /* while callers compete: see precedence.h */
  bool paces_backends;            /* new and returning ones: see pace.h */
  uint64_t instance_hash;         /* of the name of this instance */
  bool callers_compete;    /* for too little capacity: servers are told the ranks of requests */
  GHashTable *precedences; /* service name: struct gw_precedence; used while callers compete */
  GRand *random;
  bool stopping;
  int64_t stopping_since_us;
  int64_t stop_by_us; /* when requests that are still running are cut off */
  unsigned exchanges; /* requests in progress */
  struct quarantine *quarantine;
  struct end_detector *end_detector;
  struct gw_cold_start *cold_start; /* off unless the settings have it */
  GQueue unanswered; /* struct gw_exchange with shared prompt parts that were sent and have no byte
                        of an answer yet */
  /* Reports to peers that a different server responds at the address of BACKEND. */
  void (*announce_replaced) (struct gw_context *context, const struct gw_backend *backend);
};

struct gw_precedence *gw_context_precedence (struct gw_context *context, const char *service);
struct gw_retry_budget *gw_context_retry_budget (struct gw_context *context, const char *service);
