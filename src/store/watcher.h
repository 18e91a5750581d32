/* Follows the changes of all objects of one kind: lists them, then watches from the list's
 * revision. After a failed watch it continues from the same revision, and lists again if the store
 * no longer has the changes since then. */
#pragma once

#include "store/store.h"

#include <uv.h>

struct watcher;

struct watcher_options
{
  uv_loop_t *loop;
  struct store *store;
  const char *kind;
  unsigned wait_max_ms; /* maximum duration of a watch */
  unsigned wait_min_ms; /* minimum, for a random duration; 0: always wait_max_ms */
  unsigned
      pause_ms; /* between a change and the next watch, so that changes in a row cost one call */
  void *data;
  /* All objects of the kind; replaces what was reported before. */
  void (*listed) (const struct store_result *result, void *data);
  /* The same, from a periodic list (watcher_set_list_interval); NULL: listed is called instead.
   * Objects may be missing that expired in an outage and will be renewed: the watch may not have
   * noticed that outage yet. */
  void (*checked) (const struct store_result *result, void *data);
  /* Changes since the last report, in order. */
  void (*changed) (const struct store_result *result, void *data);
  /* The store has become unreachable (false) or reachable again (true). */
  void (*reachable) (bool reachable, void *data);
  /* Another watcher of the same store, or NULL. While both can't reach the store, only the leader
   * retries frequently. It must outlive this watcher. */
  struct watcher *leader;
};

struct watcher *watcher_new (const struct watcher_options *options);
void watcher_start (struct watcher *watcher);
void watcher_set_wait (struct watcher *watcher, unsigned wait_min_ms, unsigned wait_max_ms);
void watcher_set_pause (struct watcher *watcher, unsigned pause_ms);
void watcher_set_list_interval (struct watcher *watcher, unsigned interval_ms);
void watcher_notify_revision (struct watcher *watcher, int64_t revision);
int64_t watcher_reported_revision (const struct watcher *watcher);
int64_t watcher_confirmed_us (const struct watcher *watcher);
void watcher_restart (struct watcher *watcher, unsigned spread_ms);
void watcher_stop (struct watcher *watcher);
void watcher_delete (struct watcher *watcher);
