/* Bounds of the current real time, computed from the clocks of several instances. The system
 * clock jumps on some machines, and a process that has just started can't detect that its own clock
 * has jumped. A pure data structure without threads, sockets or clock reads: the caller passes in
 * all times. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The two clocks of this machine, read at the same moment. */
struct fleet_time
{
  int64_t steady_us; /* monotonic clock that also advances while the machine is suspended */
  int64_t real_ms;   /* real time, since the Unix epoch */
};

struct fleet_clock;

struct fleet_clock *fleet_clock_new (void);
void fleet_clock_delete (struct fleet_clock *clock);
void fleet_clock_set_instances (struct fleet_clock *clock, unsigned instances);
void fleet_clock_add_reading (struct fleet_clock *clock,
                              const char *instance,
                              int64_t real_ms,
                              int64_t sent_us,
                              int64_t received_us);
bool fleet_clock_has_quorum (struct fleet_clock *clock, int64_t steady_us);
bool fleet_clock_bounds (struct fleet_clock *clock,
                         const struct fleet_time *now,
                         int64_t *earliest_ms,
                         int64_t *latest_ms);
