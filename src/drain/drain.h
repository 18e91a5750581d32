/* The planned stop of an instance: no request in progress is cut off, nothing held here is lost.
 *
 * Use, in the main thread:
 *   sr_drain_block_signals ();           before the first other thread is started
 *   drain = sr_drain_new (&options);
 *   .. start the instance ..
 *   clean = sr_drain_run (drain);        waits for SIGTERM or SIGINT, then stops in order
 *   .. stop and free the other parts, if clean ..
 *   sr_drain_delete (drain);
 *   exit code: clean ? 0 : 1
 * When sr_drain_run returns false, requests or bills were left; when a second signal or the limit
 * ended the stop, they may still be in progress, and the process should end without waiting for
 * them. */
#pragma once

#include "drain/drain-core.h"

/* leave, close and in_progress are called from the thread of sr_drain_run and return at once;
 * hand_over_bills and hand_over_budgets are called, in this order, from a thread of their own, may
 * take until end_us (monotonic) and return whether all went. */
struct sr_drain_vtable
{
  void (*leave) (void *data); /* readiness off, tell the other instances */
  void (*close) (void *data); /* accept nothing new */
  unsigned (*in_progress) (void *data);
  bool (*hand_over_bills) (int64_t end_us, void *data);
  bool (*hand_over_budgets) (int64_t end_us, void *data);
};

struct sr_drain_options
{
  const struct sr_drain_vtable *vtable;
  void *data;
  unsigned leave_ms; /* how long balancers may take to see that this instance leaves */
  unsigned limit_s;  /* settings stop_limit_s: longest time of the whole stop */
};

struct sr_drain;

void sr_drain_block_signals (void);
struct sr_drain *sr_drain_new (const struct sr_drain_options *options);
void sr_drain_delete (struct sr_drain *drain);
void sr_drain_request (struct sr_drain *drain);
bool sr_drain_run (struct sr_drain *drain);
enum sr_drain_state sr_drain_state (struct sr_drain *drain);
