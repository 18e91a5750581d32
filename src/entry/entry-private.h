/* State of an entry, shared by the files of this folder. */
#pragma once

#include "entry/entry.h"
#include "net/memory-account.h"

#include <pthread.h>
#include <stdatomic.h>
#include <uv.h>

enum
{
  SR_ENTRY_STARTING_RETRY_AFTER_MS
  = 1000, /* for requests received before the first configuration */
  SR_ENTRY_STOPPING_RETRY_AFTER_MS = 1000, /* balancers have removed this instance by then */
  SR_ENTRY_SHORT_RETRY_AFTER_MS = 1000     /* for requests that there is no memory for */
};

struct sr_caller;

struct sr_entry
{
  struct sr_entry_options options;
  /* Used by the entry's thread only. */
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_timer_t idle_check;
  GQueue connections;                /* struct sr_connection */
  struct net_memory_account account; /* of what is held for callers */
  /* Used by all threads. */
  pthread_t thread;
  uv_async_t wake;
  pthread_mutex_t mutex;
  pthread_cond_t listener_closed_cond;
  GQueue woken;         /* struct sr_caller whose run has changed; protected by mutex */
  bool listener_closed; /* protected by mutex */
  bool started;
  atomic_bool ready;
  atomic_bool closed; /* no new connections and requests; every reply closes its connection */
  atomic_bool stopping;
  atomic_uint open_requests;
  _Atomic uint64_t next_id; /* for request ids generated here */
};

void sr_entry_handle_ (struct sr_caller *caller);
