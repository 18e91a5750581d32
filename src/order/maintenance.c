#include "order/maintenance.h"

#include "base/thread.h"

enum
{
  US_PER_MS = 1000,
  US_PER_S = 1000000
};

struct sr_order_maintenance
{
  struct sr_order_maintenance_options options;
  pthread_t thread;
  pthread_mutex_t mutex;
  pthread_cond_t wake;
  bool started;
  bool stopping; /* under mutex */
};

static void *maintenance_loop_ (void *data);
static bool wait_ (struct sr_order_maintenance *maintenance, int64_t wait_us);
static void stop_ (struct sr_order_maintenance *maintenance);

/* OPTIONS is copied. The thread is not started yet. */
struct sr_order_maintenance *
sr_order_maintenance_new (const struct sr_order_maintenance_options *options)
{
  struct sr_order_maintenance *maintenance = g_new0 (struct sr_order_maintenance, 1);

  g_assert (options->retry_interval_ms > 0 && options->removal_page > 0);
  maintenance->options = *options;
  pthread_mutex_init (&maintenance->mutex, NULL);
  sr_cond_init (&maintenance->wake);
  return maintenance;
}

/* Stops the thread; pending outcomes stay with the orders. NULL is allowed. */
void
sr_order_maintenance_delete (struct sr_order_maintenance *maintenance)
{
  if (maintenance == NULL)
    return;
  stop_ (maintenance);
  pthread_cond_destroy (&maintenance->wake);
  pthread_mutex_destroy (&maintenance->mutex);
  g_free (maintenance);
}

/* Returns false when the thread cannot be created. */
bool
sr_order_maintenance_start (struct sr_order_maintenance *maintenance)
{
  g_assert (!maintenance->started);
  maintenance->started = sr_thread_start (&maintenance->thread, 0, maintenance_loop_, maintenance);
  return maintenance->started;
}

/* Stops the thread and tries to store the pending outcomes until DEADLINE_US (monotonic). Returns
 * false when some were not stored: retries of these orders then get the outcome UNKNOWN. */
bool
sr_order_maintenance_flush (struct sr_order_maintenance *maintenance, int64_t deadline_us)
{
  unsigned left;

  stop_ (maintenance);
  while ((left = sr_orders_retry_pending (maintenance->options.orders)) > 0
         && g_get_monotonic_time () < deadline_us)
    g_usleep ((gulong)maintenance->options.retry_interval_ms * US_PER_MS);
  return left == 0;
}

static void *
maintenance_loop_ (void *data)
{
  struct sr_order_maintenance *maintenance = data;
  const struct sr_order_maintenance_options *options = &maintenance->options;
  int64_t next_removal_us
      = g_get_monotonic_time () + (int64_t)options->removal_interval_s * US_PER_S;

  while (wait_ (maintenance, (int64_t)options->retry_interval_ms * US_PER_MS))
    {
      sr_orders_retry_pending (options->orders);
      if (g_get_monotonic_time () < next_removal_us)
        continue;
      sr_orders_remove_expired (options->orders, g_get_real_time () / US_PER_MS,
                                options->removal_page);
      next_removal_us += (int64_t)options->removal_interval_s * US_PER_S;
    }
  return NULL;
}

/* Waits for WAIT_US. Returns false when the thread is to stop. */
static bool
wait_ (struct sr_order_maintenance *maintenance, int64_t wait_us)
{
  int64_t end_us = g_get_monotonic_time () + wait_us;
  bool stopping;

  pthread_mutex_lock (&maintenance->mutex);
  while (!maintenance->stopping
         && sr_cond_wait_until (&maintenance->wake, &maintenance->mutex, end_us))
    ;
  stopping = maintenance->stopping;
  pthread_mutex_unlock (&maintenance->mutex);
  return !stopping;
}

static void
stop_ (struct sr_order_maintenance *maintenance)
{
  if (!maintenance->started)
    return;
  pthread_mutex_lock (&maintenance->mutex);
  maintenance->stopping = true;
  pthread_cond_signal (&maintenance->wake);
  pthread_mutex_unlock (&maintenance->mutex);
  pthread_join (maintenance->thread, NULL);
  maintenance->started = false;
}
