/* How many tokens of a team are asked for: a decaying average. No thread, socket or clock. */
#pragma once

#include <stdint.h>

/* Tokens asked for, a decaying average. */
struct allotment_demand
{
  double per_us;
  double largest; /* reservation of late, decaying */
  int64_t first_us;
  int64_t at_us;
};

void allotment_demand_add_ (struct allotment_demand *demand, int64_t tokens, int64_t now_us);
int64_t allotment_demand_largest_ (const struct allotment_demand *demand);
int64_t allotment_demand_in_ (struct allotment_demand *demand, int64_t span_us, int64_t now_us);
