#include "route/backend-state.h"

#include <math.h>
#include <string.h>

enum
{
  US_PER_S = 1000000,
  REPORT_HALF_LIFE_US = 2 * US_PER_S,
  PRIOR_HALF_LIFE_US = 5 * US_PER_S,
  SLOW_START_US = 10 * US_PER_S,
  PROBE_DELAY_MIN_US = 1 * US_PER_S,
  PROBE_DELAY_MAX_US = 60 * US_PER_S,
  PROBE_DELAY_DOUBLINGS_MAX = 6,
  EJECTION_COUNT_RESET_US = 60 * US_PER_S
};

static const double SLOW_START_SHARE_MIN = 0.1;
/* Load per slot up to which an instance with nothing in flight may still send one request, so that
 * a server filled by peers is not closed to it. */
static const double FIRST_REQUEST_LOAD_MAX = 1.5;
static const double PRIOR_GAIN = 0.1;
/* Gains of the short-term and long-term moving averages of first-byte latency, and the ratio of
 * short-term to long-term above which the limit is decreased. */
static const double LATENCY_SHORT_GAIN = 0.2;
static const double LATENCY_LONG_GAIN = 0.01;
static const double LATENCY_TOLERANCE = 2.0;
static const double LIMIT_FACTOR_SLOW = 0.9;
static const double LIMIT_FACTOR_REFUSED = 0.7;

static double decay_ (int64_t age_us, int64_t half_life_us);
static double prior_peer_load_ (const struct sr_backend_state *state,
                                const struct sr_load_prior *prior,
                                int64_t now_us);
static void record_load_ (struct sr_backend_state *state,
                          struct sr_load_prior *prior,
                          const struct sr_route_report *report);
static void record_latency_ (struct sr_backend_state *state, const struct sr_route_report *report);
static void decrease_limit_ (struct sr_backend_state *state, double factor, int64_t now_us);
static void record_success_ (struct sr_backend_state *state, int64_t now_us);

/* Creates the state of BACKEND with the slow start already over; set slow_start_begin_us to start
 * slowly. */
struct sr_backend_state *
sr_backend_state_new (const struct sr_config_backend *backend)
{
  struct sr_backend_state *state = g_new0 (struct sr_backend_state, 1);

  state->name = g_string_new (backend->name->str);
  state->data_centre = g_string_new (NULL);
  state->limit = MAX (backend->slots, 1U);
  state->slow_start_begin_us = -SLOW_START_US;
  return state;
}

void
sr_backend_state_delete (struct sr_backend_state *state)
{
  g_string_free (state->name, TRUE);
  g_string_free (state->data_centre, TRUE);
  g_free (state);
}

/* Applies the configuration of BACKEND and keeps the measured state, except that a change of slots
 * resets the limit. DATA_CENTRE is that of this instance. */
void
sr_backend_state_configure (struct sr_backend_state *state,
                            const struct sr_config_backend *backend,
                            const char *data_centre)
{
  g_strlcpy (state->address, backend->address->str, sizeof state->address);
  g_string_assign (state->data_centre, backend->data_centre->str);
  state->is_local = strcmp (data_centre, backend->data_centre->str) == 0;
  state->port = backend->port;
  state->checks_fence = backend->checks_fence;
  if (state->slots != backend->slots)
    state->limit = MAX (backend->slots, 1U);
  state->slots = MAX (backend->slots, 1U);
  state->retired = backend->leaving;
}

/* Returns how many concurrent requests STATE should hold from all instances together: its slots, or
 * a linearly growing part of them during slow start. */
double
sr_backend_state_capacity (const struct sr_backend_state *state, int64_t now_us)
{
  double share = (double)(now_us - state->slow_start_begin_us) / SLOW_START_US;

  return MAX (1.0, state->slots * CLAMP (share, SLOW_START_SHARE_MIN, 1.0));
}

/* Returns the estimated number of requests at the server: those in flight from this instance plus
 * the load from peers. The latter moves from the last report to the mean of the service as the
 * report ages. The mean decays too, so that a full service without new reports is tried again. */
double
sr_backend_state_load (const struct sr_backend_state *state,
                       const struct sr_load_prior *prior,
                       int64_t now_us)
{
  double report_weight = 0;
  double peer_load;

  if (state->report_is_plausible)
    report_weight = decay_ (now_us - state->reported_us, REPORT_HALF_LIFE_US);
  peer_load = report_weight * state->peer_load
              + (1 - report_weight) * prior_peer_load_ (state, prior, now_us);
  return state->in_flight + peer_load;
}

/* Returns how many more requests this instance may send to STATE, not counting probes: bounded by
 * its adaptive limit and by the estimated free slots of the server. */
unsigned
sr_backend_state_free_slots (const struct sr_backend_state *state,
                             const struct sr_load_prior *prior,
                             int64_t now_us)
{
  double capacity = sr_backend_state_capacity (state, now_us);
  double load = sr_backend_state_load (state, prior, now_us);
  double own_limit = MIN (floor (state->limit), capacity);
  double free_slots;

  if (state->retired || state->ejected)
    return 0;
  free_slots = MIN (own_limit - state->in_flight, ceil (capacity - load));
  if (free_slots >= 1)
    return (unsigned)free_slots;
  return state->in_flight == 0 && load < FIRST_REQUEST_LOAD_MAX * state->slots ? 1 : 0;
}

/* Returns whether STATE is ejected, its probe delay is over and no probe is in flight. */
bool
sr_backend_state_is_probe_due (const struct sr_backend_state *state, int64_t now_us)
{
  return state->ejected && !state->retired && !state->probing && now_us >= state->probe_due_us;
}

/* Records the end of one request, which is no longer counted as in flight, and updates PRIOR from
 * the reported load. Does not eject: the caller decides that, see sr_backend_state_eject. */
void
sr_backend_state_report (struct sr_backend_state *state,
                         struct sr_load_prior *prior,
                         const struct sr_route_report *report)
{
  if (state->in_flight > 0)
    state->in_flight--;
  if (report->running >= 0 && report->waiting >= 0)
    record_load_ (state, prior, report);
  switch (report->result)
    {
    case SR_ROUTE_RESULT_OK:
      if (report->first_byte_us > 0)
        record_latency_ (state, report);
      record_success_ (state, report->now_us);
      break;
    case SR_ROUTE_RESULT_REFUSED:
      decrease_limit_ (state, LIMIT_FACTOR_REFUSED, report->now_us);
      record_success_ (state, report->now_us);
      break;
    case SR_ROUTE_RESULT_FAILED:
      state->failures++;
      break;
    case SR_ROUTE_RESULT_CANCELLED:
      state->probing = false;
      break;
    }
}

/* Stops sending requests to STATE until a probe succeeds. The probe delay doubles with each
 * consecutive ejection or failed probe; RANDOM, from 0 to 1, adds jitter. */
void
sr_backend_state_eject (struct sr_backend_state *state, int64_t now_us, double random)
{
  int64_t delay_us;

  if (!state->ejected && now_us - state->slow_start_begin_us > EJECTION_COUNT_RESET_US)
    state->ejections = 0;
  delay_us = (int64_t)PROBE_DELAY_MIN_US << MIN (state->ejections, PROBE_DELAY_DOUBLINGS_MAX);
  delay_us = MIN (delay_us, PROBE_DELAY_MAX_US);
  state->ejected = true;
  state->probing = false;
  state->ejections++;
  state->probe_due_us = now_us + delay_us / 2 + (int64_t)((double)delay_us * random / 2);
}

static double
decay_ (int64_t age_us, int64_t half_life_us)
{
  return exp2 (-(double)MAX (age_us, 0) / (double)half_life_us);
}

static double
prior_peer_load_ (const struct sr_backend_state *state,
                  const struct sr_load_prior *prior,
                  int64_t now_us)
{
  return prior->peer_load_per_slot * state->slots
         * decay_ (now_us - prior->updated_us, PRIOR_HALF_LIFE_US);
}

/* A reported load below what this instance alone has in flight is wrong, and a zero after such a
 * report proves nothing (a counter stuck at zero). Until a plausible load is reported, the mean of
 * the service is used instead. */
static void
record_load_ (struct sr_backend_state *state,
              struct sr_load_prior *prior,
              const struct sr_route_report *report)
{
  double reported = (double)report->running + report->waiting;

  if (reported < state->in_flight)
    state->report_is_plausible = false;
  else if (reported > 0 || state->reported_us == 0)
    state->report_is_plausible = true;
  state->peer_load = MAX (reported - state->in_flight, 0);
  state->reported_us = report->now_us;
  if (!state->report_is_plausible)
    return;
  prior->peer_load_per_slot
      += PRIOR_GAIN * (state->peer_load / state->slots - prior->peer_load_per_slot);
  prior->updated_us = report->now_us;
}

/* Adapts the limit to the gradient of first-byte latency: it falls while the short-term mean is
 * well above the long-term one, and rises, up to the slots, while at least half of it is in use. */
static void
record_latency_ (struct sr_backend_state *state, const struct sr_route_report *report)
{
  double latency_us = (double)report->first_byte_us;

  if (state->latency_long_us <= 0)
    {
      state->latency_long_us = latency_us;
      state->latency_short_us = latency_us;
    }
  state->latency_short_us += LATENCY_SHORT_GAIN * (latency_us - state->latency_short_us);
  state->latency_long_us += LATENCY_LONG_GAIN * (latency_us - state->latency_long_us);
  if (state->latency_short_us < state->latency_long_us)
    state->latency_long_us
        += LATENCY_SHORT_GAIN * (state->latency_short_us - state->latency_long_us);
  if (state->latency_short_us > LATENCY_TOLERANCE * state->latency_long_us)
    decrease_limit_ (state, LIMIT_FACTOR_SLOW, report->now_us);
  else if (state->in_flight + 1 >= state->limit / 2)
    state->limit = MIN (state->limit + 1.0 / state->limit, state->slots);
}

/* Decreases at most once per first-byte latency: requests already in flight do not reflect the last
 * decrease yet. */
static void
decrease_limit_ (struct sr_backend_state *state, double factor, int64_t now_us)
{
  if (state->limit_decreased_us != 0
      && (double)(now_us - state->limit_decreased_us) < state->latency_short_us)
    return;
  state->limit = MAX (state->limit * factor, 1.0);
  state->limit_decreased_us = now_us;
}

static void
record_success_ (struct sr_backend_state *state, int64_t now_us)
{
  state->failures = 0;
  state->probing = false;
  if (!state->ejected)
    return;
  state->ejected = false;
  state->slow_start_begin_us = now_us;
}
