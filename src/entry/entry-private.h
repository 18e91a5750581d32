/* The state of an entry, for its callers. */
#pragma once

#include "entry/entry.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

enum
{
  SR_ENTRY_RETRY_MS = 1000
};

struct sr_entry
{
  struct sr_entry_options options;
  struct MHD_Daemon *daemon;
  pthread_t sweeper;
  pthread_mutex_t mutex;
  GQueue callers; /* struct sr_caller, under mutex */
  bool started;
  atomic_bool ready;
  atomic_bool closed; /* the listener is closed: replies end their connection */
  atomic_bool stopping;
  _Atomic uint64_t next_id;
};
