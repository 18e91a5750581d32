/* Maintenance thread for the claims of orders: retries storing pending outcomes, and removes
 * expired claims. */
#pragma once

#include "order/order.h"

struct sr_order_upkeep;

struct sr_order_upkeep_options
{
  struct sr_orders *orders; /* must outlive the thread */
  unsigned retry_interval_ms;
  unsigned removal_interval_s;
  unsigned removal_page; /* claims checked per removal interval */
};

struct sr_order_upkeep *sr_order_upkeep_new (const struct sr_order_upkeep_options *options);
void sr_order_upkeep_delete (struct sr_order_upkeep *upkeep);
bool sr_order_upkeep_start (struct sr_order_upkeep *upkeep);
bool sr_order_upkeep_hand_over (struct sr_order_upkeep *upkeep, int64_t deadline_us);
