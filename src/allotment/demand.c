#include "allotment/demand.h"

#include <glib.h>
#include <math.h>

enum
{
  DEMAND_TIME_CONSTANT_US
  = 8000000, /* time constant of the average: long enough to cover a burst while it lasts */
  DEMAND_MIN_OBSERVED_US
  = 1500000, /* a shorter observation is scaled as if it had lasted this long */
  LARGEST_TIME_CONSTANT_US
  = 30000000 /* time constant with which the largest reservation is forgotten */
};

/* Adds a reservation of TOKENS, or corrects an earlier one by a negative number. */
void
allotment_demand_add_ (struct allotment_demand *demand, int64_t tokens, int64_t now_us)
{
  if (demand->first_us == 0)
    demand->first_us = demand->at_us = now_us;
  demand->largest *= exp (-(double)(now_us - demand->at_us) / LARGEST_TIME_CONSTANT_US);
  demand->largest = MAX (demand->largest, (double)tokens);
  demand->per_us *= exp (-(double)(now_us - demand->at_us) / DEMAND_TIME_CONSTANT_US);
  demand->per_us = MAX (demand->per_us + (double)tokens / DEMAND_TIME_CONSTANT_US, 0);
  demand->at_us = now_us;
}

/* Returns the tokens that are expected to be requested in SPAN_US. Soon after the first reservation
 * the average is scaled up, as it has covered only a part of its time constant. */
int64_t
allotment_demand_expected_ (struct allotment_demand *demand, int64_t span_us, int64_t now_us)
{
  double observed_share;

  if (demand->first_us == 0)
    return 0;
  allotment_demand_add_ (demand, 0, now_us);
  observed_share = 1
                   - exp (-(double)MAX (now_us - demand->first_us, DEMAND_MIN_OBSERVED_US)
                          / DEMAND_TIME_CONSTANT_US);
  return (int64_t)(demand->per_us / observed_share * (double)span_us);
}

int64_t
allotment_demand_largest_ (const struct allotment_demand *demand)
{
  return (int64_t)demand->largest;
}
