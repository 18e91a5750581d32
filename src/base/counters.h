/* Metrics of this process: counters, gauges and histograms, served by /metrics in a plain-text
 * exposition format. */
#pragma once

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

/* A monotonic counter or a gauge. Define it as a static variable of the module that counts, with
 * name and help, and register it with sr_counter_register. */
struct sr_counter
{
  const char *name;
  const char *help;
  _Atomic int64_t value;
  struct sr_counter *next;
};

enum
{
  SR_HISTOGRAM_BUCKETS = 16
};

/* A histogram of durations in microseconds with fixed bounds, see sr_histogram_bound_us. */
struct sr_histogram
{
  const char *name;
  const char *help;
  _Atomic int64_t bucket[SR_HISTOGRAM_BUCKETS];
  _Atomic int64_t sum_us;
  _Atomic int64_t count;
  struct sr_histogram *next;
};

void sr_counter_register (struct sr_counter *counter);
void sr_counter_add (struct sr_counter *counter, int64_t amount);
void sr_counter_set (struct sr_counter *counter, int64_t value);
int64_t sr_counter_get (struct sr_counter *counter);
void sr_histogram_register (struct sr_histogram *histogram);
void sr_histogram_observe (struct sr_histogram *histogram, int64_t value_us);
int64_t sr_histogram_bound_us (unsigned bucket);
void sr_counters_print (GString *out);
