/* Follows all objects of one kind: a list first, then watches from there. After a failed watch it
 * goes on from the same revision, and lists again when that history is gone. */
#pragma once

#include "store/store.h"

#include <uv.h>

struct watcher;

struct watcher_options
{
  uv_loop_t *loop;
  struct store *store;
  const char *kind;
  unsigned wait_ms;     /* longest time that one watch is open */
  unsigned wait_min_ms; /* shortest; 0: all are equally long */
  unsigned pause_ms;    /* between a change and the next watch: changes in a row cost one call */
  void *data;
  /* All objects there are, in place of all that was known. */
  void (*listed) (const struct store_result *result, void *data);
  /* The same from a list of watcher_set_check; NULL: listed is called. The watch may not have
   * noticed an outage yet, in which entries lapsed that are about to return. */
  void (*checked) (const struct store_result *result, void *data);
  /* Changes since, in their order. */
  void (*changed) (const struct store_result *result, void *data);
  /* The store could not be asked (false), or answers again (true). */
  void (*reachable) (bool reachable, void *data);
  /* Another watcher of the same store, or NULL. While neither reaches it, only that one asks. It
   * must outlive this one. */
  struct watcher *leader;
};

struct watcher *watcher_new (const struct watcher_options *options);
void watcher_start (struct watcher *watcher);
void watcher_set_wait (struct watcher *watcher, unsigned wait_min_ms, unsigned wait_ms);
void watcher_set_pause (struct watcher *watcher, unsigned pause_ms);
void watcher_set_check (struct watcher *watcher, unsigned interval_ms);
void watcher_look_after (struct watcher *watcher, int64_t revision);
int64_t watcher_seen (const struct watcher *watcher);
void watcher_restart (struct watcher *watcher, unsigned spread_ms);
void watcher_stop (struct watcher *watcher);
void watcher_delete (struct watcher *watcher);
