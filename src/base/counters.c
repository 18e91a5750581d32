#include "base/counters.h"

#include <pthread.h>
#include <stdbool.h>

static pthread_mutex_t registry_mutex = PTHREAD_MUTEX_INITIALIZER;
static struct sr_counter *counters;
static struct sr_histogram *histograms;

static void histogram_print_ (struct sr_histogram *histogram, GString *out);

/* Makes sr_counters_print include COUNTER, which must live as long as the process. Registering
 * it again has no effect. */
void
sr_counter_register (struct sr_counter *counter)
{
  bool registered = false;

  pthread_mutex_lock (&registry_mutex);
  for (struct sr_counter *each = counters; each != NULL; each = each->next)
    registered = registered || each == counter;
  if (!registered)
    {
      counter->next = counters;
      counters = counter;
    }
  pthread_mutex_unlock (&registry_mutex);
}

void
sr_counter_add (struct sr_counter *counter, int64_t amount)
{
  atomic_fetch_add_explicit (&counter->value, amount, memory_order_relaxed);
}

/* Sets COUNTER, which is used as a gauge. */
void
sr_counter_set (struct sr_counter *counter, int64_t value)
{
  atomic_store_explicit (&counter->value, value, memory_order_relaxed);
}

int64_t
sr_counter_get (struct sr_counter *counter)
{
  return atomic_load_explicit (&counter->value, memory_order_relaxed);
}

/* Makes sr_counters_print include HISTOGRAM, which must live as long as the process. Registering
 * it again has no effect. */
void
sr_histogram_register (struct sr_histogram *histogram)
{
  bool registered = false;

  pthread_mutex_lock (&registry_mutex);
  for (struct sr_histogram *each = histograms; each != NULL; each = each->next)
    registered = registered || each == histogram;
  if (!registered)
    {
      histogram->next = histograms;
      histograms = histogram;
    }
  pthread_mutex_unlock (&registry_mutex);
}

void
sr_histogram_observe (struct sr_histogram *histogram, int64_t value_us)
{
  unsigned bucket = 0;

  while (bucket < SR_HISTOGRAM_BUCKETS - 1 && value_us > sr_histogram_bound_us (bucket))
    bucket++;
  atomic_fetch_add_explicit (&histogram->bucket[bucket], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum_us, value_us, memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->count, 1, memory_order_relaxed);
}

/* Returns the inclusive upper bound of BUCKET in microseconds: 100 us for bucket 0, doubled for
 * each further one. The last bucket is unbounded. */
int64_t
sr_histogram_bound_us (unsigned bucket)
{
  return (int64_t)100 << bucket;
}

/* Appends all registered metrics to OUT in the plain-text exposition format. */
void
sr_counters_print (GString *out)
{
  pthread_mutex_lock (&registry_mutex);
  for (struct sr_counter *each = counters; each != NULL; each = each->next)
    {
      g_string_append_printf (out, "# HELP %s %s\n", each->name, each->help);
      g_string_append_printf (out, "%s %" G_GINT64_FORMAT "\n", each->name, sr_counter_get (each));
    }
  for (struct sr_histogram *each = histograms; each != NULL; each = each->next)
    histogram_print_ (each, out);
  pthread_mutex_unlock (&registry_mutex);
}

static void
histogram_print_ (struct sr_histogram *histogram, GString *out)
{
  int64_t cumulative = 0;

  g_string_append_printf (out, "# HELP %s %s\n# TYPE %s histogram\n", histogram->name,
                          histogram->help, histogram->name);
  for (unsigned bucket = 0; bucket < SR_HISTOGRAM_BUCKETS; bucket++)
    {
      cumulative += atomic_load_explicit (&histogram->bucket[bucket], memory_order_relaxed);
      if (bucket < SR_HISTOGRAM_BUCKETS - 1)
        g_string_append_printf (out, "%s_bucket{le=\"%" G_GINT64_FORMAT "\"} ", histogram->name,
                                sr_histogram_bound_us (bucket));
      else
        g_string_append_printf (out, "%s_bucket{le=\"+Inf\"} ", histogram->name);
      g_string_append_printf (out, "%" G_GINT64_FORMAT "\n", cumulative);
    }
  g_string_append_printf (out, "%s_sum %" G_GINT64_FORMAT "\n", histogram->name,
                          (gint64)atomic_load (&histogram->sum_us));
  g_string_append_printf (out, "%s_count %" G_GINT64_FORMAT "\n", histogram->name,
                          (gint64)atomic_load (&histogram->count));
}
