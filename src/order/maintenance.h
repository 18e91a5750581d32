/* Maintenance thread for the claims of orders: retries storing pending outcomes, and removes
 * expired claims. */
#pragma once

#include "order/order.h"

struct sr_order_maintenance;

struct sr_order_maintenance_options
{
  struct sr_orders *orders; /* must outlive the thread */
  unsigned retry_interval_ms;
  unsigned removal_interval_s;
  unsigned removal_page; /* claims checked per removal interval */
};

struct sr_order_maintenance *
sr_order_maintenance_new (const struct sr_order_maintenance_options *options);
void sr_order_maintenance_delete (struct sr_order_maintenance *maintenance);
bool sr_order_maintenance_start (struct sr_order_maintenance *maintenance);
bool sr_order_maintenance_flush (struct sr_order_maintenance *maintenance, int64_t deadline_us);
