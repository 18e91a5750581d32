/* What one instance knows of one backend server: load, limit, failures. A state machine without
 * thread, lock or clock. */
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
  bool retired; /* leaving, removed, or outside of the subset: no new work */
  bool is_local;

  unsigned in_flight; /* of this instance */

  double others; /* load reported, less what was in flight here */
  int64_t reported_us;
  bool report_is_plausible;

  double limit; /* in flight of this instance, learned */
  double latency_short_us;
  double latency_long_us;
  int64_t decreased_us;

  unsigned failures; /* consecutive */
  unsigned ejections;
  bool ejected;
  bool probing;
  int64_t probe_due_us;
  int64_t joined_us; /* slow start begins */
};

/* Load of others on the average backend server of the service, per slot: assumed where no report
 * tells. */
struct sr_load_prior
{
  double others_per_slot;
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
unsigned sr_backend_state_room (const struct sr_backend_state *state,
                                const struct sr_load_prior *prior,
                                int64_t now_us);
bool sr_backend_state_is_probe_due (const struct sr_backend_state *state, int64_t now_us);
void sr_backend_state_report (struct sr_backend_state *state,
                              struct sr_load_prior *prior,
                              const struct sr_route_report *report);
void sr_backend_state_eject (struct sr_backend_state *state, int64_t now_us, double random);
