#include "testing/harness/samples.h"

#include <math.h>
#include <pthread.h>

enum
{
  PERCENT = 100
};

struct samples
{
  pthread_mutex_t mutex;
  GArray *values; /* int64_t */
};

static int compare_ (gconstpointer a, gconstpointer b);

struct samples *
samples_new (void)
{
  struct samples *samples = g_new0 (struct samples, 1);

  pthread_mutex_init (&samples->mutex, NULL);
  samples->values = g_array_new (FALSE, FALSE, sizeof (int64_t));
  return samples;
}

/* Accepts NULL. */
void
samples_delete (struct samples *samples)
{
  if (samples == NULL)
    return;
  g_array_free (samples->values, TRUE);
  pthread_mutex_destroy (&samples->mutex);
  g_free (samples);
}

void
samples_add (struct samples *samples, int64_t value)
{
  pthread_mutex_lock (&samples->mutex);
  g_array_append_val (samples->values, value);
  pthread_mutex_unlock (&samples->mutex);
}

size_t
samples_count (struct samples *samples)
{
  size_t count;

  pthread_mutex_lock (&samples->mutex);
  count = samples->values->len;
  pthread_mutex_unlock (&samples->mutex);
  return count;
}

/* The percentile PERCENT by the nearest-rank method; 0 when there are no samples. */
int64_t
samples_percentile (struct samples *samples, double percent)
{
  int64_t value = 0;

  pthread_mutex_lock (&samples->mutex);
  g_array_sort (samples->values, compare_);
  if (samples->values->len > 0)
    {
      double rank = ceil (percent / PERCENT * samples->values->len);

      value = g_array_index (samples->values, int64_t, (guint)MAX (rank, 1) - 1);
    }
  pthread_mutex_unlock (&samples->mutex);
  return value;
}

static int
compare_ (gconstpointer a, gconstpointer b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return (left > right) - (left < right);
}
