/* Demand for a team's tokens: an exponentially decaying average. No thread, socket or clock. */
#pragma once

#include <stdint.h>

struct allotment_demand
{
  double per_us;    /* tokens requested in a microsecond, decaying average */
  double largest;   /* tokens of the largest recent reservation, decaying */
  int64_t first_us; /* time of the first reservation; 0: none yet */
  int64_t at_us;    /* when the values were last updated */
};

void allotment_demand_add_ (struct allotment_demand *demand, int64_t tokens, int64_t now_us);
int64_t allotment_demand_largest_ (const struct allotment_demand *demand);
int64_t
allotment_demand_expected_ (struct allotment_demand *demand, int64_t span_us, int64_t now_us);
