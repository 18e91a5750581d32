#include "mesh/rate-limit.h"

#include <glib.h>

static const double US_PER_S = 1e6;

/* Takes a datagram of BYTES from LIMIT. Returns false if not as much is left now. */
bool
mesh_rate_limit_take (struct mesh_rate_limit *limit, unsigned bytes, int64_t now_us)
{
  double gained = limit->updated_us == 0
                      ? limit->per_s
                      : (double)(now_us - limit->updated_us) / US_PER_S * limit->per_s;

  limit->available = MIN (limit->available + MAX (gained, 0), limit->per_s);
  limit->updated_us = now_us;
  if (limit->available < bytes)
    return false;
  limit->available -= bytes;
  return true;
}
