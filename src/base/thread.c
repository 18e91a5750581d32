#include "base/thread.h"

#include <errno.h>
#include <glib.h>
#include <time.h>

enum
{
  US_PER_S = 1000000,
  NS_PER_US = 1000
};

/* Initialises COND for sr_cond_wait_until, which uses the monotonic clock. */
void
sr_cond_init (pthread_cond_t *cond)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (cond, &attributes);
  pthread_condattr_destroy (&attributes);
}

/* Waits on COND, with MUTEX held, until it is signalled or the monotonic clock
 * (g_get_monotonic_time) reaches END_US microseconds. Returns false on timeout. */
bool
sr_cond_wait_until (pthread_cond_t *cond, pthread_mutex_t *mutex, int64_t end_us)
{
  struct timespec end = { .tv_sec = end_us / US_PER_S, .tv_nsec = end_us % US_PER_S * NS_PER_US };

  return pthread_cond_timedwait (cond, mutex, &end) != ETIMEDOUT;
}

/* Starts a joinable thread that runs BODY on DATA, with a stack of STACK_BYTES (0: the default
 * size). Returns false when the thread can't be created. */
bool
sr_thread_start (pthread_t *thread, size_t stack_bytes, void *(*body) (void *), void *data)
{
  pthread_attr_t attributes;
  int error;

  pthread_attr_init (&attributes);
  if (stack_bytes > 0)
    pthread_attr_setstacksize (&attributes, stack_bytes);
  error = pthread_create (thread, &attributes, body, data);
  pthread_attr_destroy (&attributes);
  return error == 0;
}
