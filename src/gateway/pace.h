/* Adaptive limit (pace) for the requests that this instance has in flight to a backend server that
 * has just appeared or returned. Such a server looks empty to all instances at the same time. The
 * limit for the fleet grows with time, so that instances that know nothing of each other start one
 * after the other, and the limit of each follows the responses that it gets. No thread, socket or
 * clock. See docs/design/pace.md. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct gw_pace_options
{
  double position; /* of this instance in the fleet, from 0 to 1, by a hash of both names: different
                    * for each server */
  unsigned instances; /* that may use the server, with this one */
  unsigned slots;     /* requests that the server runs at once */
};

/* All zeros: there is no limit. */
struct gw_pace
{
  bool is_active;
  struct gw_pace_options options;
  int64_t since_us;        /* when the limit for the fleet began to grow */
  double window;           /* requests of this instance, by its responses */
  bool is_cautious;        /* there was a bad response: the window grows slowly */
  int64_t bad_us;          /* of the last decrease; 0: none */
  int64_t closed_until_us; /* no request before, after bad responses in a row */
  int64_t close_us;        /* duration of the next such pause */
};

void gw_pace_begin (struct gw_pace *pace, const struct gw_pace_options *options, int64_t now_us);
unsigned gw_pace_limit (struct gw_pace *pace, int64_t now_us);
void gw_pace_note_good (struct gw_pace *pace, unsigned in_flight, int64_t now_us);
void gw_pace_note_bad (struct gw_pace *pace, int64_t now_us);
