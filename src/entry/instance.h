/* Creates the components of one instance from its settings and connects them. */
#pragma once

#include "admit/admit.h"
#include "bill/bill.h"
#include "budget/budget.h"
#include "config/watch.h"
#include "dispatch/dispatch.h"
#include "entry/entry.h"
#include "member/member.h"
#include "order/maintenance.h"
#include "peer/peer.h"
#include "platform/platform.h"
#include "request/run-peers.h"
#include "request/table.h"
#include "route/route.h"
#include "settings/settings.h"

#include <stdatomic.h>

/* All components of an instance, in the order in which they are created. */
struct sr_instance
{
  const struct sr_settings *settings;
  uint64_t incarnation; /* start time, so that it grows with each start */
  uint32_t seed;        /* base of the components' random seeds */
  struct sr_platform *platform;
  struct sr_peer_client *peer_client;
  struct sr_peer_server *peer_server;
  struct sr_members *members;
  struct sr_config_current *current;
  struct sr_config_watch *watch;
  struct sr_budgets *budgets;
  struct sr_bills *bills;
  struct sr_orders *orders;
  struct sr_order_maintenance *order_maintenance;
  struct sr_router *router;
  struct sr_admit *admit;
  struct sr_run_table *table;
  struct sr_run_peers *run_peers;
  struct sr_dispatch *dispatch;
  struct sr_entry *entry;
  _Atomic bool stopping;
  int64_t stop_began_ms; /* real time */
};

struct sr_instance *sr_instance_new (const struct sr_settings *settings);
bool sr_instance_start (struct sr_instance *instance);
void sr_instance_delete (struct sr_instance *instance);
