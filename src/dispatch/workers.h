/* A bounded pool of small-stack threads for calls in progress, started as they are needed. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

struct sr_workers;

struct sr_workers_options
{
  unsigned threads_max;
  size_t stack_bytes;
  void (*work) (void *item, void *data);
  void *data;
};

struct sr_workers *sr_workers_new (const struct sr_workers_options *options);
void sr_workers_delete (struct sr_workers *workers);
bool sr_workers_give (struct sr_workers *workers, void *item);
unsigned sr_workers_free (struct sr_workers *workers);
