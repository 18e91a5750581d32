/* Between which real times it is now, by the clocks of several instances: the time of day jumps on
 * some of them, and a process that has just started can't see whether its own has. No thread,
 * socket or clock: all times are given. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* One look at the clocks of this machine. */
struct fleet_instant
{
  int64_t steady_us; /* counts suspensions too */
  int64_t real_ms;
};

struct fleet_clock;

struct fleet_clock *fleet_clock_new (void);
void fleet_clock_delete (struct fleet_clock *clock);
void fleet_clock_set_instances (struct fleet_clock *clock, unsigned instances);
void fleet_clock_note (struct fleet_clock *clock,
                       const char *instance,
                       int64_t real_ms,
                       int64_t asked_us,
                       int64_t answered_us);
bool fleet_clock_has_quorum (struct fleet_clock *clock, int64_t steady_us);
bool fleet_clock_bounds (struct fleet_clock *clock,
                         const struct fleet_instant *now,
                         int64_t *earliest_ms,
                         int64_t *latest_ms);
