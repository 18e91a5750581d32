/* A token bucket that bounds the bytes of one kind of datagrams. No thread, socket or
 * clock.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct mesh_rate_limit
{
  double per_s; /* bytes; also the largest burst */
  double available;
  int64_t updated_us; /* 0: not used yet, and full */
};

bool mesh_rate_limit_take (struct mesh_rate_limit *limit, unsigned bytes, int64_t now_us);
