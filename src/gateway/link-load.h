/* How much of the instance's own network link is taken. Answers a load that the balancer spreads
 * unevenly: an instance whose link is full can't even connect to backend servers, while a caller
 * who is refused at once is served by another instance. No thread, socket or clock. */
#pragma once

#include "net/http-conn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  GW_LINK_STEPS = 10 /* of the time over which the traffic is averaged */
};

struct gw_link_load
{
  double bytes_per_s; /* of one direction; 0: not known, never full */
  int64_t step;
  struct net_traffic total; /* as last told */
  struct net_traffic steps[GW_LINK_STEPS];
  bool overloaded;
};

void gw_link_load_init (struct gw_link_load *load, double megabits_per_s);
void gw_link_load_note (struct gw_link_load *load, const struct net_traffic *total, int64_t now_us);
double gw_link_load_share (const struct gw_link_load *load);
bool gw_link_load_is_overloaded (struct gw_link_load *load);
bool gw_link_load_refuses (const struct gw_link_load *load, GRand *random);
