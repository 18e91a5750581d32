/* Graceful shutdown of an instance: requests in progress are finished, and the bills and allotments
 * held here are handed over.
 *
 * Use, in the main thread:
 *   sr_drain_block_signals ();           before the first other thread is started
 *   drain = sr_drain_new (&options);
 *   .. start the instance ..
 *   clean = sr_drain_run (drain);        waits for SIGTERM or SIGINT, then performs the stop
 *   .. stop and free the other parts, if clean ..
 *   sr_drain_delete (drain);
 *   exit code: clean ? 0 : 1
 * When sr_drain_run returns false, requests or bills were left. They may still be in progress if a
 * second signal or the time limit ended the stop, so the process should exit without waiting for
 * them. */
#pragma once

#include "drain/drain-core.h"

/* leave, close and in_progress are called from the thread of sr_drain_run and return at once;
 * hand_over_bills and hand_over_budgets are called, in this order, from a separate thread, may
 * block until end_us (monotonic) and return whether everything was handed over. */
struct sr_drain_vtable
{
  void (*leave) (void *data); /* turn readiness off and announce the departure to the peers */
  void (*close) (void *data); /* stop accepting requests */
  unsigned (*in_progress) (void *data);
  bool (*hand_over_bills) (int64_t end_us, void *data);
  bool (*hand_over_budgets) (int64_t end_us, void *data);
};

struct sr_drain_options
{
  const struct sr_drain_vtable *vtable;
  void *data;
  unsigned leave_ms; /* time that load balancers are given to notice that this instance leaves */
  unsigned limit_s;  /* setting stop_limit_s: time limit of the whole stop */
};

struct sr_drain;

void sr_drain_block_signals (void);
struct sr_drain *sr_drain_new (const struct sr_drain_options *options);
void sr_drain_delete (struct sr_drain *drain);
void sr_drain_request (struct sr_drain *drain);
bool sr_drain_run (struct sr_drain *drain);
enum sr_drain_state sr_drain_state (struct sr_drain *drain);
