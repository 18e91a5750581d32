/* A bounded pool of threads with small stacks, one for each call in progress. Threads are started
 * on demand and kept until the pool is deleted. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

struct sr_workers;

struct sr_workers_options
{
  unsigned threads_max;
  size_t stack_bytes;
  void (*work) (void *item, void *data); /* called in a worker thread for each item */
  void *data;
};

struct sr_workers *sr_workers_new (const struct sr_workers_options *options);
void sr_workers_delete (struct sr_workers *workers);
bool sr_workers_submit (struct sr_workers *workers, void *item);
unsigned sr_workers_idle_count (struct sr_workers *workers);
