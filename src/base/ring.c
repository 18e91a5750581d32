#include "base/ring.h"

#include "base/thread.h"

#include <glib.h>

struct sr_ring
{
  pthread_mutex_t mutex;
  pthread_cond_t not_empty;
  size_t capacity;
  size_t head;
  size_t length;
  bool closed;
  void **items;
};

/* Creates a ring that holds at most CAPACITY (> 0) pointers, to be freed with sr_ring_delete.
 * Never fails: GLib aborts the process when memory runs out. */
struct sr_ring *
sr_ring_new (size_t capacity)
{
  struct sr_ring *ring;

  g_assert (capacity > 0);
  ring = g_new0 (struct sr_ring, 1);
  pthread_mutex_init (&ring->mutex, NULL);
  sr_cond_init (&ring->not_empty);
  ring->capacity = capacity;
  ring->items = g_new0 (void *, capacity);
  return ring;
}

/* Frees RING, which may be NULL. Items still in it remain owned by the caller; no thread may be
 * waiting on it. */
void
sr_ring_delete (struct sr_ring *ring)
{
  if (ring == NULL)
    return;
  pthread_mutex_destroy (&ring->mutex);
  pthread_cond_destroy (&ring->not_empty);
  g_free (ring->items);
  g_free (ring);
}

/* Appends ITEM (not NULL). Returns false, without waiting, when the ring is full or closed; the
 * caller then keeps ITEM. */
bool
sr_ring_try_push (struct sr_ring *ring, void *item)
{
  bool pushed = false;

  g_assert (item != NULL);
  pthread_mutex_lock (&ring->mutex);
  if (!ring->closed && ring->length < ring->capacity)
    {
      ring->items[(ring->head + ring->length) % ring->capacity] = item;
      ring->length++;
      pushed = true;
      pthread_cond_signal (&ring->not_empty);
    }
  pthread_mutex_unlock (&ring->mutex);
  return pushed;
}

/* Removes the oldest item, waiting at most WAIT_US microseconds for one; a negative WAIT_US
 * waits without limit until there is an item or the ring is closed. Returns NULL on timeout, or
 * when the ring is closed and empty. */
void *
sr_ring_pop (struct sr_ring *ring, int64_t wait_us)
{
  void *item = NULL;
  int64_t end_us = g_get_monotonic_time () + wait_us;

  pthread_mutex_lock (&ring->mutex);
  while (ring->length == 0 && !ring->closed)
    {
      if (wait_us < 0)
        pthread_cond_wait (&ring->not_empty, &ring->mutex);
      else if (!sr_cond_wait_until (&ring->not_empty, &ring->mutex, end_us))
        break;
    }
  if (ring->length > 0)
    {
      item = ring->items[ring->head];
      ring->head = (ring->head + 1) % ring->capacity;
      ring->length--;
    }
  pthread_mutex_unlock (&ring->mutex);
  return item;
}

/* Closes RING: later pushes fail, and sr_ring_pop returns NULL once it is empty. */
void
sr_ring_close (struct sr_ring *ring)
{
  pthread_mutex_lock (&ring->mutex);
  ring->closed = true;
  pthread_cond_broadcast (&ring->not_empty);
  pthread_mutex_unlock (&ring->mutex);
}

bool
sr_ring_is_closed (struct sr_ring *ring)
{
  bool closed;

  pthread_mutex_lock (&ring->mutex);
  closed = ring->closed;
  pthread_mutex_unlock (&ring->mutex);
  return closed;
}

/* Returns the current number of items, which other threads may change at any time. */
size_t
sr_ring_length (struct sr_ring *ring)
{
  size_t length;

  pthread_mutex_lock (&ring->mutex);
  length = ring->length;
  pthread_mutex_unlock (&ring->mutex);
  return length;
}
