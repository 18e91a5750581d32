/* An instance that forwards callers' requests to backend servers as they are, on one event loop. */
#pragma once

#include "allotment/allotment.h"
#include "gateway/backends.h"
#include "gateway/dialect.h"
#include "gateway/link-load.h"
#include "gateway/placement.h"
#include "gateway/retry-budget.h"
#include "gateway/routes.h"

#include <glib.h>
#include <uv.h>

/* What requests share. The duties beside them keep it up to date. */
struct gw_context
{
  uv_loop_t *loop;
  const struct gw_dialect *dialect;
  const char *data_centre;
  struct gw_routes *routes; /* NULL until the first configuration is there */
  struct gw_backends *backends;
  struct allotment_book *book; /* NULL until this instance is announced */
  GHashTable *retry_budgets;   /* service: struct gw_retry_budget */
  struct gw_retry_budget_options retry_options;
  struct gw_link_load link;
  int64_t part_memory_us; /* a part of a prompt is believed cached for this long; 0: not set */
  unsigned instances;     /* this one included */
  int64_t started_us;
  int64_t store_out_since_us; /* 0: it answers */
  int64_t leave_us;           /* after which a backend server that leaves gets no new request */
  GRand *random;
  bool stopping;
  int64_t stopping_since_us;
  int64_t stop_by_us; /* when what still runs is cut off */
  unsigned exchanges; /* in progress */
  /* Tells other instances that another one answers at the address of BACKEND. */
  void (*tell_replaced) (struct gw_context *context, const struct gw_backend *backend);
};

struct gw_retry_budget *gw_context_retry_budget (struct gw_context *context, const char *service);
