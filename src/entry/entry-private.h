/* The state of an entry, for its connections and callers. */
#pragma once

#include "entry/entry.h"

#include <pthread.h>
#include <stdatomic.h>
#include <uv.h>

enum
{
  SR_ENTRY_RETRY_MS = 1000
};

struct sr_caller;

struct sr_entry
{
  struct sr_entry_options options;
  /* Of the thread alone. */
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_timer_t sweep;
  GQueue connections; /* struct sr_connection */
  /* Of all threads. */
  pthread_t thread;
  uv_async_t wake;
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  GQueue woken;         /* struct sr_caller with something new to say, under mutex */
  bool listener_closed; /* under mutex */
  bool started;
  atomic_bool ready;
  atomic_bool closed; /* no new connections: replies end their connection */
  atomic_bool stopping;
  atomic_uint open_requests;
  _Atomic uint64_t next_id;
};

void sr_entry_handle_ (struct sr_caller *caller);
