#include "order/upkeep.h"

#include "base/thread.h"

enum
{
  US_PER_MS = 1000,
  US_PER_S = 1000000
};

struct sr_order_upkeep
{
  struct sr_order_upkeep_options options;
  pthread_t thread;
  pthread_mutex_t mutex;
  pthread_cond_t wake;
  bool started;
  bool stopping; /* under mutex */
};

static void *upkeep_loop_ (void *data);
static bool wait_ (struct sr_order_upkeep *upkeep, int64_t wait_us);
static void stop_ (struct sr_order_upkeep *upkeep);

/* Creates an upkeep that is not started. The caller owns it. */
struct sr_order_upkeep *
sr_order_upkeep_new (const struct sr_order_upkeep_options *options)
{
  struct sr_order_upkeep *upkeep = g_new0 (struct sr_order_upkeep, 1);

  g_assert (options->retry_interval_ms > 0 && options->removal_page > 0);
  upkeep->options = *options;
  pthread_mutex_init (&upkeep->mutex, NULL);
  sr_cond_init (&upkeep->wake);
  return upkeep;
}

/* Stops and frees UPKEEP. NULL is allowed. */
void
sr_order_upkeep_delete (struct sr_order_upkeep *upkeep)
{
  if (upkeep == NULL)
    return;
  stop_ (upkeep);
  pthread_cond_destroy (&upkeep->wake);
  pthread_mutex_destroy (&upkeep->mutex);
  g_free (upkeep);
}

/* Starts the thread. Returns false when the system gives none. */
bool
sr_order_upkeep_start (struct sr_order_upkeep *upkeep)
{
  g_assert (!upkeep->started);
  upkeep->started = sr_thread_start (&upkeep->thread, 0, upkeep_loop_, upkeep);
  return upkeep->started;
}

/* Ends the thread and stores what is still pending, until DEADLINE_US (monotonic). Returns false
 * when outcomes were left: their callers' retries will hear that it is unknown. */
bool
sr_order_upkeep_hand_over (struct sr_order_upkeep *upkeep, int64_t deadline_us)
{
  unsigned left;

  stop_ (upkeep);
  while ((left = sr_orders_retry_pending (upkeep->options.orders)) > 0
         && g_get_monotonic_time () < deadline_us)
    g_usleep ((gulong)upkeep->options.retry_interval_ms * US_PER_MS);
  return left == 0;
}

static void *
upkeep_loop_ (void *data)
{
  struct sr_order_upkeep *upkeep = data;
  const struct sr_order_upkeep_options *options = &upkeep->options;
  int64_t removal_us = g_get_monotonic_time () + (int64_t)options->removal_interval_s * US_PER_S;

  while (wait_ (upkeep, (int64_t)options->retry_interval_ms * US_PER_MS))
    {
      sr_orders_retry_pending (options->orders);
      if (g_get_monotonic_time () < removal_us)
        continue;
      sr_orders_remove_expired (options->orders, g_get_real_time () / US_PER_MS,
                                options->removal_page);
      removal_us += (int64_t)options->removal_interval_s * US_PER_S;
    }
  return NULL;
}

/* Returns false when the thread is to end. */
static bool
wait_ (struct sr_order_upkeep *upkeep, int64_t wait_us)
{
  int64_t end_us = g_get_monotonic_time () + wait_us;
  bool stopping;

  pthread_mutex_lock (&upkeep->mutex);
  while (!upkeep->stopping && sr_cond_wait_until (&upkeep->wake, &upkeep->mutex, end_us))
    ;
  stopping = upkeep->stopping;
  pthread_mutex_unlock (&upkeep->mutex);
  return !stopping;
}

static void
stop_ (struct sr_order_upkeep *upkeep)
{
  if (!upkeep->started)
    return;
  pthread_mutex_lock (&upkeep->mutex);
  upkeep->stopping = true;
  pthread_cond_signal (&upkeep->wake);
  pthread_mutex_unlock (&upkeep->mutex);
  pthread_join (upkeep->thread, NULL);
  upkeep->started = false;
}
