#include "emulator/engine/load.h"

#include <glib.h>

struct sample_
{
  int64_t time_us;
  struct load load;
};

struct load_history
{
  int64_t lag_us;
  struct sample_ visible;
  GQueue *pending; /* struct sample_ * not yet visible, the oldest first */
};

/* Creates a history whose samples become visible LAG_US after they were added. It is not
 * thread-safe: the caller locks around every call. */
struct load_history *
load_history_new (int64_t lag_us)
{
  struct load_history *history = g_new0 (struct load_history, 1);

  history->lag_us = lag_us;
  history->pending = g_queue_new ();
  return history;
}

void
load_history_add (struct load_history *history, struct load load, int64_t now_us)
{
  struct sample_ *sample = g_new (struct sample_, 1);

  *sample = (struct sample_){ now_us, load };
  g_queue_push_tail (history->pending, sample);
  load_history_read (history, now_us);
}

/* Returns the load as it was LAG_US before NOW_US. */
struct load
load_history_read (struct load_history *history, int64_t now_us)
{
  struct sample_ *next;

  while ((next = g_queue_peek_head (history->pending)) != NULL
         && next->time_us + history->lag_us <= now_us)
    {
      history->visible = *next;
      g_free (g_queue_pop_head (history->pending));
    }
  return history->visible.load;
}
