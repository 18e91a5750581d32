#include "gateway/pace.h"

#include <glib.h>
#include <math.h>

enum
{
  DOUBLE_US = 1000000, /* in which the limit for the fleet doubles: those that have not sent yet
                        * learn nothing from the responses of others, which may take as long */
  DECREASE_INTERVAL_US
  = 250000,                /* bad responses within this time have one cause, and count as one */
  CLOSE_FIRST_US = 250000, /* first pause; doubles with each further one in a row */
  CLOSE_MAX_US = 4000000   /* nothing is learned about a server that gets no requests */
};

/* Of the slots: the limit for the fleet when the server appears. */
static const double START_PART = 0.0625;
/* Of the slots: once the limit for the fleet has reached this without bad responses, it ends. */
static const double END_PART = 4;
/* Growth of the window with each good response before the first bad one: it doubles in the time of
 * a response. Later it grows by one in that time. */
static const double GROWTH_FAST = 1;
static const double DECREASE_FACTOR = 0.5;

static double fleet_limit_ (const struct gw_pace *pace, int64_t now_us);

/* The server has appeared or returned. */
void
gw_pace_begin (struct gw_pace *pace, const struct gw_pace_options *options, int64_t now_us)
{
  *pace = (struct gw_pace){ .is_active = true,
                            .options = *options,
                            .since_us = now_us,
                            .window = 1,
                            .close_us = CLOSE_FIRST_US };
}

/* Returns how many requests this instance may have in flight to the server. The limit for the fleet
 * is divided by its instances; the rest of less than one request goes to those with the lowest
 * positions. */
unsigned
gw_pace_limit (struct gw_pace *pace, int64_t now_us)
{
  double limit;
  double share;

  if (!pace->is_active)
    return G_MAXUINT;
  if (now_us < pace->closed_until_us)
    return 0;
  limit = fleet_limit_ (pace, now_us);
  if (limit >= END_PART * pace->options.slots
      && (pace->bad_us == 0 || now_us - pace->bad_us >= 2 * DOUBLE_US))
    {
      pace->is_active = false;
      return G_MAXUINT;
    }
  share = limit / MAX (pace->options.instances, 1U);
  share = floor (share) + (pace->options.position < share - floor (share));
  return (unsigned)MIN (share, MAX (pace->window, 1));
}

/* A response was as fast as its size explains. IN_FLIGHT requests were there with it: the window
 * grows only if it was used. */
void
gw_pace_note_good (struct gw_pace *pace, unsigned in_flight, int64_t now_us)
{
  if (!pace->is_active)
    return;
  pace->close_us = CLOSE_FIRST_US;
  if (in_flight * 2.0 >= pace->window)
    pace->window += pace->is_cautious ? 1 / MAX (pace->window, 1) : GROWTH_FAST;
}

/* A response was slow beyond what its size explains, or there was none, or the server refused the
 * request. */
void
gw_pace_note_bad (struct gw_pace *pace, int64_t now_us)
{
  if (!pace->is_active || (pace->bad_us != 0 && now_us - pace->bad_us < DECREASE_INTERVAL_US))
    return;
  pace->bad_us = now_us;
  pace->is_cautious = true;
  pace->window *= DECREASE_FACTOR;
  pace->since_us = MIN (pace->since_us + DOUBLE_US, now_us);
  if (pace->window >= 1)
    return;
  /* The position spreads the returns of the instances. */
  pace->window = 1;
  pace->closed_until_us
      = now_us + (int64_t)((double)pace->close_us * (0.5 + pace->options.position));
  /* A server that gets nothing shows nothing: the limit for the fleet waits. */
  pace->since_us = MAX (pace->since_us, pace->closed_until_us);
  pace->close_us = MIN (2 * pace->close_us, (int64_t)CLOSE_MAX_US);
}

static double
fleet_limit_ (const struct gw_pace *pace, int64_t now_us)
{
  double doublings = (double)(now_us - pace->since_us) / DOUBLE_US;

  return MAX (START_PART * pace->options.slots, 1) * exp2 (MIN (doublings, 30));
}
