#include "dispatch/workers.h"

#include "base/ring.h"
#include "base/thread.h"

#include <glib.h>

struct sr_workers
{
  struct sr_workers_options options;
  struct sr_ring *ring;
  pthread_mutex_t mutex;
  pthread_t *threads;
  unsigned n_threads;
  unsigned n_busy; /* items submitted and not finished */
};

static void *work_ (void *data);

/* OPTIONS is copied; its threads_max must not be 0. No thread is started yet. */
struct sr_workers *
sr_workers_new (const struct sr_workers_options *options)
{
  struct sr_workers *workers = g_new0 (struct sr_workers, 1);

  g_assert (options->threads_max > 0);
  workers->options = *options;
  workers->ring = sr_ring_new (options->threads_max);
  pthread_mutex_init (&workers->mutex, NULL);
  workers->threads = g_new0 (pthread_t, options->threads_max);
  return workers;
}

/* Waits until the items submitted so far are finished. NULL is allowed. */
void
sr_workers_delete (struct sr_workers *workers)
{
  if (workers == NULL)
    return;
  sr_ring_close (workers->ring);
  for (unsigned i = 0; i < workers->n_threads; i++)
    pthread_join (workers->threads[i], NULL);
  sr_ring_delete (workers->ring);
  pthread_mutex_destroy (&workers->mutex);
  g_free (workers->threads);
  g_free (workers);
}

/* Has a worker thread process ITEM. Returns false, without taking ITEM, when all threads are busy
 * and no further one can be started. */
bool
sr_workers_submit (struct sr_workers *workers, void *item)
{
  bool accepted = false;

  pthread_mutex_lock (&workers->mutex);
  if (workers->n_busy == workers->n_threads && workers->n_threads < workers->options.threads_max
      && sr_thread_start (&workers->threads[workers->n_threads], workers->options.stack_bytes,
                          work_, workers))
    workers->n_threads++;
  if (workers->n_busy < workers->n_threads)
    {
      workers->n_busy++;
      accepted = true;
    }
  pthread_mutex_unlock (&workers->mutex);
  if (accepted)
    {
      bool pushed = sr_ring_try_push (workers->ring, item);

      g_assert (pushed);
    }
  return accepted;
}

/* Returns how many more items can be submitted now. */
unsigned
sr_workers_idle_count (struct sr_workers *workers)
{
  unsigned n_idle;

  pthread_mutex_lock (&workers->mutex);
  n_idle = workers->options.threads_max - workers->n_busy;
  pthread_mutex_unlock (&workers->mutex);
  return n_idle;
}

static void *
work_ (void *data)
{
  struct sr_workers *workers = data;
  void *item;

  while ((item = sr_ring_pop (workers->ring, -1)) != NULL)
    {
      workers->options.work (item, workers->options.data);
      pthread_mutex_lock (&workers->mutex);
      workers->n_busy--;
      pthread_mutex_unlock (&workers->mutex);
    }
  return NULL;
}
