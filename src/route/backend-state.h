/* State of one backend server as seen by one instance: load, concurrency limit, failures. A state
 * machine without threads, locks or clock: the caller serialises calls and passes the time. */
#pragma once

#include "route/route.h"

struct sr_backend_state
{
  GString *name;
  GString *data_centre;
  char address[16];
  unsigned port;
  unsigned slots;
  bool checks_fence;
  bool retired; /* draining, removed or outside the subset: no new requests */
  bool is_local;

  unsigned in_flight; /* requests of this instance */

  double peer_load; /* reported load minus the requests in flight from this instance */
  int64_t reported_us;
  bool report_is_plausible;

  double limit; /* adaptive limit on in_flight */
  double latency_short_us;
  double latency_long_us;
  int64_t limit_decreased_us;

  unsigned failures; /* consecutive */
  unsigned ejections;
  bool ejected;
  bool probing;
  int64_t probe_due_us;
  int64_t slow_start_begin_us;
};

/* Mean load from peers per slot, over the backend servers of a service. Assumed for a server
 * without a recent load report. */
struct sr_load_prior
{
  double peer_load_per_slot;
  int64_t updated_us;
};

struct sr_backend_state *sr_backend_state_new (const struct sr_config_backend *backend);
void sr_backend_state_delete (struct sr_backend_state *state);
void sr_backend_state_configure (struct sr_backend_state *state,
                                 const struct sr_config_backend *backend,
                                 const char *data_centre);
double sr_backend_state_capacity (const struct sr_backend_state *state, int64_t now_us);
double sr_backend_state_load (const struct sr_backend_state *state,
                              const struct sr_load_prior *prior,
                              int64_t now_us);
unsigned sr_backend_state_free_slots (const struct sr_backend_state *state,
                                      const struct sr_load_prior *prior,
                                      int64_t now_us);
bool sr_backend_state_is_probe_due (const struct sr_backend_state *state, int64_t now_us);
void sr_backend_state_report (struct sr_backend_state *state,
                              struct sr_load_prior *prior,
                              const struct sr_route_report *report);
void sr_backend_state_eject (struct sr_backend_state *state, int64_t now_us, double random);
