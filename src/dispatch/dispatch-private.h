/* Shared by the dispatcher thread, which takes requests from the queues, and by the workers. */
#pragma once

#include "dispatch/dispatch.h"
#include "dispatch/workers.h"

#include <pthread.h>
#include <stdatomic.h>

struct sr_dispatch
{
  struct sr_dispatch_options options;
  struct sr_workers *workers;
  pthread_t thread;
  pthread_mutex_t mutex;
  pthread_cond_t wake;
  bool started;
  bool stopping;
  bool wake_requested;
  /* Service name to the number of runs that have a worker but no slot at a backend server yet,
   * under mutex. They are subtracted from the free slots that the router reports. */
  GHashTable *awaiting_slot;
  int64_t revision; /* of the configuration last applied to the router */
  _Atomic uint64_t next_attempt;
  _Atomic uint64_t next_nonce;
};

void sr_dispatch_register_metrics_ (void);
void sr_dispatch_execute_ (struct sr_dispatch *dispatch, struct sr_run *run);
void sr_dispatch_end_slot_wait_ (struct sr_dispatch *dispatch, struct sr_run *run);
void sr_dispatch_finish_ (struct sr_dispatch *dispatch,
                          struct sr_run *run,
                          const struct sr_run_result *result);
void sr_dispatch_wake_ (struct sr_dispatch *dispatch);
