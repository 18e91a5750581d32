/* Bounded FIFO queue of pointers between threads, in a ring buffer. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct sr_ring;

struct sr_ring *sr_ring_new (size_t capacity);
void sr_ring_delete (struct sr_ring *ring);
bool sr_ring_try_push (struct sr_ring *ring, void *item);
void *sr_ring_pop (struct sr_ring *ring, int64_t wait_us);
void sr_ring_close (struct sr_ring *ring);
bool sr_ring_is_closed (struct sr_ring *ring);
size_t sr_ring_length (struct sr_ring *ring);
