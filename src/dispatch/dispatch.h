/* Dispatcher: takes queued requests while backend servers have free slots, and has a worker thread
 * execute each one. */
#pragma once

#include "admit/admit.h"
#include "bill/bill.h"
#include "budget/budget.h"
#include "order/order.h"
#include "request/run-peers.h"
#include "request/run.h"
#include "request/table.h"
#include "route/route.h"
#include "settings/settings.h"

struct sr_dispatch;

/* All pointers must outlive the dispatcher. */
struct sr_dispatch_options
{
  const struct sr_settings *settings;
  struct sr_config_current *current;
  struct sr_run_table *table;
  struct sr_admit *admit;
  struct sr_router *router;
  struct sr_budgets *budgets;
  struct sr_bills *bills;
  struct sr_orders *orders;
  struct sr_run_peers *peers; /* NULL: runs at peers are not looked up */
  uint64_t incarnation;
  uint32_t seed;
};

struct sr_dispatch *sr_dispatch_new (const struct sr_dispatch_options *options);
void sr_dispatch_delete (struct sr_dispatch *dispatch);
bool sr_dispatch_start (struct sr_dispatch *dispatch);
void sr_dispatch_stop (struct sr_dispatch *dispatch);
void sr_dispatch_submit (struct sr_dispatch *dispatch, struct sr_run *run);
void sr_dispatch_look_up (struct sr_dispatch *dispatch, struct sr_run *run);
