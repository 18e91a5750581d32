/* Samples of a quantity and their percentiles. Thread-safe. */
#pragma once

#include <glib.h>
#include <stdint.h>

struct samples;

struct samples *samples_new (void);
void samples_delete (struct samples *samples);
void samples_add (struct samples *samples, int64_t value);
size_t samples_count (struct samples *samples);
int64_t samples_percentile (struct samples *samples, double percent);
