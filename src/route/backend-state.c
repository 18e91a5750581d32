#include "route/backend-state.h"

#include <math.h>
#include <string.h>

enum
{
  US_PER_S = 1000000,
  REPORT_HALF_LIFE_US = 2 * US_PER_S,
  PRIOR_HALF_LIFE_US = 5 * US_PER_S,
  SLOW_START_US = 10 * US_PER_S,
  PROBE_PAUSE_MIN_US = 1 * US_PER_S,
  PROBE_PAUSE_MAX_US = 60 * US_PER_S,
  PROBE_PAUSE_DOUBLINGS_MAX = 6,
  EJECTIONS_FORGOTTEN_US = 60 * US_PER_S
};

static const double SLOW_START_SHARE_MIN = 0.1;
/* An instance with nothing in flight may still use a backend server this full. */
static const double FIRST_LOAD_MAX = 1.5;
static const double PRIOR_GAIN = 0.1;
/* Means of the latency of first bytes, and how far the short one may rise above the long one. */
static const double LATENCY_SHORT_GAIN = 0.2;
static const double LATENCY_LONG_GAIN = 0.01;
static const double LATENCY_TOLERANCE = 2.0;
static const double LIMIT_BACKOFF_SLOW = 0.9;
static const double LIMIT_BACKOFF_REFUSED = 0.7;

static double decay_ (int64_t age_us, int64_t half_life_us);
static double prior_others_ (const struct sr_backend_state *state,
                             const struct sr_load_prior *prior,
                             int64_t now_us);
static void note_load_ (struct sr_backend_state *state,
                        struct sr_load_prior *prior,
                        const struct sr_route_report *report);
static void note_latency_ (struct sr_backend_state *state, const struct sr_route_report *report);
static void decrease_limit_ (struct sr_backend_state *state, double factor, int64_t now_us);
static void note_success_ (struct sr_backend_state *state, int64_t now_us);

/* Creates the state of BACKEND, as if it had been in use for long. The caller owns it. */
struct sr_backend_state *
sr_backend_state_new (const struct sr_config_backend *backend)
{
  struct sr_backend_state *state = g_new0 (struct sr_backend_state, 1);

  state->name = g_string_new (backend->name->str);
  state->data_centre = g_string_new (NULL);
  state->limit = MAX (backend->slots, 1U);
  state->joined_us = -SLOW_START_US;
  return state;
}

/* Frees STATE. */
void
sr_backend_state_delete (struct sr_backend_state *state)
{
  g_string_free (state->name, TRUE);
  g_string_free (state->data_centre, TRUE);
  g_free (state);
}

/* Takes over what the configuration says of BACKEND; what was learned stays. DATA_CENTRE is that of
 * this instance. */
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

/* Returns how many requests of the whole fleet STATE should hold: its slots, or a growing part of
 * them after it joined. */
double
sr_backend_state_capacity (const struct sr_backend_state *state, int64_t now_us)
{
  double share = (double)(now_us - state->joined_us) / SLOW_START_US;

  return MAX (1.0, state->slots * CLAMP (share, SLOW_START_SHARE_MIN, 1.0));
}

/* Returns the load expected now: what is in flight here, and what others have there. The report of
 * their load counts less with its age, and the average of the service more; that one ages too, so
 * that a service nobody has heard of is tried again. */
double
sr_backend_state_load (const struct sr_backend_state *state,
                       const struct sr_load_prior *prior,
                       int64_t now_us)
{
  double trust = 0;
  double others;

  if (state->report_is_plausible)
    trust = decay_ (now_us - state->reported_us, REPORT_HALF_LIFE_US);
  others = trust * state->others + (1 - trust) * prior_others_ (state, prior, now_us);
  return state->in_flight + others;
}

/* Returns how many requests more this instance may send to STATE, apart from probes: below its own
 * learned limit, and below the free slots of the backend server. */
unsigned
sr_backend_state_room (const struct sr_backend_state *state,
                       const struct sr_load_prior *prior,
                       int64_t now_us)
{
  double capacity = sr_backend_state_capacity (state, now_us);
  double load = sr_backend_state_load (state, prior, now_us);
  double own_limit = MIN (floor (state->limit), capacity);
  double room;

  if (state->retired || state->ejected)
    return 0;
  room = MIN (own_limit - state->in_flight, ceil (capacity - load));
  if (room >= 1)
    return (unsigned)room;
  return state->in_flight == 0 && load < FIRST_LOAD_MAX * state->slots ? 1 : 0;
}

/* Tells whether STATE is ejected and its pause over, with no probe under way. */
bool
sr_backend_state_is_probe_due (const struct sr_backend_state *state, int64_t now_us)
{
  return state->ejected && !state->retired && !state->probing && now_us >= state->probe_due_us;
}

/* Takes in the end of one request, which is no longer counted in flight. PRIOR is updated by the
 * load that came along. Ejection is the caller's decision, see sr_backend_state_eject. */
void
sr_backend_state_report (struct sr_backend_state *state,
                         struct sr_load_prior *prior,
                         const struct sr_route_report *report)
{
  if (state->in_flight > 0)
    state->in_flight--;
  if (report->running >= 0 && report->waiting >= 0)
    note_load_ (state, prior, report);
  switch (report->result)
    {
    case SR_ROUTE_RESULT_OK:
      if (report->first_byte_us > 0)
        note_latency_ (state, report);
      note_success_ (state, report->now_us);
      break;
    case SR_ROUTE_RESULT_REFUSED:
      decrease_limit_ (state, LIMIT_BACKOFF_REFUSED, report->now_us);
      note_success_ (state, report->now_us);
      break;
    case SR_ROUTE_RESULT_FAILED:
      state->failures++;
      break;
    case SR_ROUTE_RESULT_CANCELLED:
      state->probing = false;
      break;
    }
}

/* Gives STATE no work until a probe succeeds. The first probe is due after a pause that doubles
 * with each ejection or failed probe in a row; RANDOM, from 0 to 1, spreads it. */
void
sr_backend_state_eject (struct sr_backend_state *state, int64_t now_us, double random)
{
  int64_t pause_us;

  if (!state->ejected && now_us - state->joined_us > EJECTIONS_FORGOTTEN_US)
    state->ejections = 0;
  pause_us = (int64_t)PROBE_PAUSE_MIN_US << MIN (state->ejections, PROBE_PAUSE_DOUBLINGS_MAX);
  pause_us = MIN (pause_us, PROBE_PAUSE_MAX_US);
  state->ejected = true;
  state->probing = false;
  state->ejections++;
  state->probe_due_us = now_us + pause_us / 2 + (int64_t)((double)pause_us * random / 2);
}

static double
decay_ (int64_t age_us, int64_t half_life_us)
{
  return exp2 (-(double)MAX (age_us, 0) / (double)half_life_us);
}

static double
prior_others_ (const struct sr_backend_state *state,
               const struct sr_load_prior *prior,
               int64_t now_us)
{
  return prior->others_per_slot * state->slots
         * decay_ (now_us - prior->updated_us, PRIOR_HALF_LIFE_US);
}

/* A report below what this instance alone has there cannot be true, and one of zero after it says
 * nothing: until a plausible load is heard again, the average of the service stands in. */
static void
note_load_ (struct sr_backend_state *state,
            struct sr_load_prior *prior,
            const struct sr_route_report *report)
{
  double reported = (double)report->running + report->waiting;

  if (reported < state->in_flight)
    state->report_is_plausible = false;
  else if (reported > 0 || state->reported_us == 0)
    state->report_is_plausible = true;
  state->others = MAX (reported - state->in_flight, 0);
  state->reported_us = report->now_us;
  if (!state->report_is_plausible)
    return;
  prior->others_per_slot += PRIOR_GAIN * (state->others / state->slots - prior->others_per_slot);
  prior->updated_us = report->now_us;
}

/* Learns the limit from the latency of first bytes, as a gradient: it sinks while the latest
 * latency is well above the long-term one, and rises again while the limit is in use. The slots
 * bound it. */
static void
note_latency_ (struct sr_backend_state *state, const struct sr_route_report *report)
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
    decrease_limit_ (state, LIMIT_BACKOFF_SLOW, report->now_us);
  else if (state->in_flight + 1 >= state->limit / 2)
    state->limit = MIN (state->limit + 1.0 / state->limit, state->slots);
}

/* At most one decrease in the time of one answer: those in flight cannot know of it. */
static void
decrease_limit_ (struct sr_backend_state *state, double factor, int64_t now_us)
{
  if (state->decreased_us != 0 && (double)(now_us - state->decreased_us) < state->latency_short_us)
    return;
  state->limit = MAX (state->limit * factor, 1.0);
  state->decreased_us = now_us;
}

static void
note_success_ (struct sr_backend_state *state, int64_t now_us)
{
  state->failures = 0;
  state->probing = false;
  if (!state->ejected)
    return;
  state->ejected = false;
  state->joined_us = now_us;
}
