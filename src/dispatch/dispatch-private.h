/* What the queue side and the worker side of dispatch share. */
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
  bool woken;
  GHashTable
      *handed;      /* service name to count of runs with a worker and no place yet, under mutex */
  int64_t revision; /* of the configuration the router knows */
  _Atomic uint64_t next_attempt;
  _Atomic uint64_t next_nonce;
};

void sr_dispatch_register_metrics_ (void);
void sr_dispatch_perform_ (struct sr_dispatch *dispatch, struct sr_run *run);
void sr_dispatch_got_place_ (struct sr_dispatch *dispatch, struct sr_run *run);
void sr_dispatch_finish_ (struct sr_dispatch *dispatch,
                          struct sr_run *run,
                          const struct sr_run_result *result);
void sr_dispatch_wake_ (struct sr_dispatch *dispatch);
