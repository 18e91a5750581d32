#include "emulator/engine/load.h"

#include <glib.h>

struct sample
{
  int64_t time_us;
  struct load load;
};

struct load_history
{
  int64_t lag_us;
  struct sample visible;
  GQueue *later; /* struct sample *, the oldest first */
};

/* A history that shows what was added LAG_US ago. The caller holds a lock around every call. */
struct load_history *
load_history_new (int64_t lag_us)
{
  struct load_history *history = g_new0 (struct load_history, 1);

  history->lag_us = lag_us;
  history->later = g_queue_new ();
  return history;
}

/* Adds the load as it is at NOW_US. */
void
load_history_add (struct load_history *history, struct load load, int64_t now_us)
{
  struct sample *sample = g_new (struct sample, 1);

  *sample = (struct sample){ now_us, load };
  g_queue_push_tail (history->later, sample);
  load_history_read (history, now_us);
}

/* The load as it was the lag before NOW_US. */
struct load
load_history_read (struct load_history *history, int64_t now_us)
{
  struct sample *next;

  while ((next = g_queue_peek_head (history->later)) != NULL
         && next->time_us + history->lag_us <= now_us)
    {
      history->visible = *next;
      g_free (g_queue_pop_head (history->later));
    }
  return history->visible.load;
}
