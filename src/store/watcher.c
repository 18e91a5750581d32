#include "store/watcher.h"

#include "base/event-log.h"

enum
{
  US_PER_MS = 1000,
  WATCH_DELAY_US = 3000000, /* a change may be missing in the result of a watch that ends this long
                             * after it */
  RETRY_FIRST_MS = 20,      /* a watch whose connection was merely cut continues almost at once */
  RETRY_MAX_MS = 800, /* less than half of the two seconds in which a change must be in force */
  CATCH_UP_DELAY_MS
  = 120, /* time for this watcher's watch to show a change that peers have reported */
  REPORTED_MAX = 20000, /* objects whose reported revision is remembered; several times those of a
                           large deployment */
  FOLLOWER_RETRY_MS
  = 5000, /* retry interval while the leader retries too, in case only the leader's calls fail */
  EARLY_END_PAUSE_MS
  = 200, /* after a watch that ended early without a change: the next one may do so too */
  PROBE_WAIT_MS = 20 /* duration of the first watch after a failure: its response shows that the
                      * store is reachable again */
};

struct watcher
{
  struct watcher_options options;
  uv_timer_t timer;
  uv_timer_t catch_up_timer;
  uv_timer_t check_timer;
  unsigned check_ms;         /* mean interval of the periodic lists; 0: none */
  bool list_pending;         /* a list in parallel with the watch is pending */
  bool pausing;              /* after a change or restart: the timer starts the next call */
  int64_t peer_revision;     /* highest revision that peers have reported */
  int64_t reported_revision; /* of the latest change reported to the user */
  int64_t listed_revision;   /* of the last list: no change up to it can have been missed */
  int64_t watch_revision;    /* position of the watch; 0: list first */
  int64_t call_started_us;   /* start of the latest list or watch call */
  int64_t list_started_us;   /* start of the latest list in parallel */
  int64_t confirmed_us;      /* changes up to this time have been reported; 0: none yet */
  unsigned call_wait_ms;     /* the duration requested for that watch */
  unsigned retry_ms;         /* until the next retry; above RETRY_FIRST_MS after a failure */
  GPtrArray *followers;      /* watchers whose leader this is */
  GHashTable *reported;      /* object name: int64_t revision of its latest reported change */
  bool reachable;
  bool stopped;
  unsigned restarts; /* number of watcher_restart calls; results of calls made before the last one
                        are ignored */
};

/* A pending store call. */
struct call_
{
  struct watcher *watcher;
  unsigned restarts; /* the watcher's when the call was made */
};

static struct call_ *call_new_ (struct watcher *watcher);
static struct watcher *call_end_ (void *data);
static void start_call_ (struct watcher *watcher);
static void start_call_after_pause_ (struct watcher *watcher);
static unsigned call_duration_ms_ (const struct watcher *watcher);
static unsigned random_wait_ms_ (const struct watcher_options *options);
static void on_timer_ (uv_timer_t *timer);
static void on_catch_up_timer_ (uv_timer_t *timer);
static void on_check_timer_ (uv_timer_t *timer);
static void set_check_timer_ (struct watcher *watcher);
static bool is_behind_ (const struct watcher *watcher);
static void list_in_parallel_ (struct watcher *watcher, store_callback done);
static void on_catch_up_list_ (const struct store_result *result, void *data);
static void on_periodic_list_ (const struct store_result *result, void *data);
static bool end_parallel_list_ (struct watcher *watcher, const struct store_result *result);
static void report_list_ (struct watcher *watcher,
                          const struct store_result *result,
                          void (*report) (const struct store_result *, void *));
static bool note_reported_ (struct watcher *watcher, const struct store_object *object);
static void report_changes_ (struct watcher *watcher, const struct store_result *result);
static void on_listed_ (const struct store_result *result, void *data);
static void on_changed_ (const struct store_result *result, void *data);
static int64_t confirmed_by_watch_us_ (const struct watcher *watcher,
                                       const struct store_result *result);
static void retry_ (struct watcher *watcher, enum store_status status);
static void set_reachable_ (struct watcher *watcher, bool reachable, enum store_status status);
static void retry_now_ (struct watcher *watcher);

/* Creates a watcher. The texts in OPTIONS must outlive it. */
struct watcher *
watcher_new (const struct watcher_options *options)
{
  struct watcher *watcher = g_new0 (struct watcher, 1);

  watcher->options = *options;
  watcher->retry_ms = RETRY_FIRST_MS;
  watcher->reachable = true;
  watcher->followers = g_ptr_array_new ();
  watcher->reported = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (options->leader != NULL)
    g_ptr_array_add (options->leader->followers, watcher);
  uv_timer_init (options->loop, &watcher->timer);
  uv_timer_init (options->loop, &watcher->catch_up_timer);
  uv_timer_init (options->loop, &watcher->check_timer);
  watcher->timer.data = watcher->catch_up_timer.data = watcher->check_timer.data = watcher;
  return watcher;
}

void
watcher_start (struct watcher *watcher)
{
  start_call_ (watcher);
}

/* Sets the duration of the next watches: a random time between the two. All instances start a watch
 * after the same change, and these must not all end at the same moment. */
void
watcher_set_wait (struct watcher *watcher, unsigned wait_min_ms, unsigned wait_max_ms)
{
  watcher->options.wait_min_ms = wait_min_ms;
  watcher->options.wait_max_ms = wait_max_ms;
}

/* Sets the pause between a change and the next watch, see watcher_options. */
void
watcher_set_pause (struct watcher *watcher, unsigned pause_ms)
{
  watcher->options.pause_ms = pause_ms;
}

/* Lists all objects periodically in parallel with the watch, at random intervals with a mean of
 * INTERVAL_MS (0: never). This finds changes that the watches of all instances have missed, so that
 * no peer can report them. That happens if the store loses all open watches without closing them:
 * each instance would notice only when its watch ends. */
void
watcher_set_list_interval (struct watcher *watcher, unsigned interval_ms)
{
  bool begins = watcher->check_ms == 0;

  watcher->check_ms = interval_ms;
  if (interval_ms == 0)
    uv_timer_stop (&watcher->check_timer);
  else if (begins)
    set_check_timer_ (watcher);
}

/* Peers have seen REVISION: unless this watcher's watch shows it soon, the objects are listed
 * in parallel. Call this for each such report, as a list that fails is not retried by itself. */
void
watcher_notify_revision (struct watcher *watcher, int64_t revision)
{
  if (watcher->stopped || !watcher->reachable || watcher->watch_revision == 0)
    return;
  watcher->peer_revision = MAX (watcher->peer_revision, revision);
  if (is_behind_ (watcher) && !watcher->list_pending
      && !uv_is_active ((uv_handle_t *)&watcher->catch_up_timer))
    uv_timer_start (&watcher->catch_up_timer, on_catch_up_timer_, CATCH_UP_DELAY_MS, 0);
}

/* Returns the revision of the latest reported change; 0: none. */
int64_t
watcher_reported_revision (const struct watcher *watcher)
{
  return watcher->reported_revision;
}

/* Returns the time up to which all changes have been reported, unless a watch has missed one
 * without a later list; 0: no list yet. */
int64_t
watcher_confirmed_us (const struct watcher *watcher)
{
  return watcher->confirmed_us;
}

/* The store was restored: earlier revisions are meaningless. Lists everything again after a random
 * delay of up to SPREAD_MS, as all instances do so. */
void
watcher_restart (struct watcher *watcher, unsigned spread_ms)
{
  if (watcher->stopped)
    return;
  watcher->restarts++;
  watcher->peer_revision = watcher->reported_revision = watcher->listed_revision
      = watcher->watch_revision = 0;
  watcher->list_pending = false;
  g_hash_table_remove_all (watcher->reported);
  uv_timer_stop (&watcher->catch_up_timer);
  watcher->pausing = true;
  uv_timer_start (&watcher->timer, on_timer_,
                  (uint64_t)g_random_int_range (0, (gint32)spread_ms + 1), 0);
}

/* Stops the watcher: no callback is called any more. */
void
watcher_stop (struct watcher *watcher)
{
  watcher->stopped = true;
  uv_timer_stop (&watcher->timer);
  uv_timer_stop (&watcher->catch_up_timer);
  uv_timer_stop (&watcher->check_timer);
}

/* Frees the watcher. All its store calls must have ended. Runs the event loop once to close its
 * timers. */
void
watcher_delete (struct watcher *watcher)
{
  uv_loop_t *loop = watcher->options.loop;

  watcher_stop (watcher);
  g_assert (watcher->followers->len == 0);
  g_ptr_array_unref (watcher->followers);
  g_hash_table_unref (watcher->reported);
  if (watcher->options.leader != NULL)
    g_ptr_array_remove (watcher->options.leader->followers, watcher);
  uv_close ((uv_handle_t *)&watcher->timer, NULL);
  uv_close ((uv_handle_t *)&watcher->catch_up_timer, NULL);
  uv_close ((uv_handle_t *)&watcher->check_timer, NULL);
  uv_run (loop, UV_RUN_NOWAIT);
  g_free (watcher);
}

static struct call_ *
call_new_ (struct watcher *watcher)
{
  struct call_ *call = g_new0 (struct call_, 1);

  call->watcher = watcher;
  call->restarts = watcher->restarts;
  return call;
}

/* Frees the call DATA. Returns its watcher, or NULL if the result must be ignored. */
static struct watcher *
call_end_ (void *data)
{
  struct call_ *call = data;
  struct watcher *watcher = call->watcher;
  bool counts = !watcher->stopped && call->restarts == watcher->restarts;

  g_free (call);
  return counts ? watcher : NULL;
}

static void
start_call_ (struct watcher *watcher)
{
  const struct watcher_options *options = &watcher->options;

  watcher->pausing = false;
  if (watcher->stopped)
    return;
  watcher->call_started_us = g_get_monotonic_time ();
  if (watcher->watch_revision == 0)
    {
      store_list (options->store, options->kind, on_listed_, call_new_ (watcher));
      return;
    }
  watcher->call_wait_ms
      = watcher->retry_ms > RETRY_FIRST_MS ? PROBE_WAIT_MS : random_wait_ms_ (options);
  store_watch (options->store, options->kind, watcher->watch_revision, watcher->call_wait_ms,
               on_changed_, call_new_ (watcher));
}

/* Starts the next call after the configured pause, in which further changes accumulate. */
static void
start_call_after_pause_ (struct watcher *watcher)
{
  if (watcher->options.pause_ms == 0)
    {
      start_call_ (watcher);
      return;
    }
  watcher->pausing = true;
  uv_timer_start (&watcher->timer, on_timer_, watcher->options.pause_ms, 0);
}

/* Returns the time since the start of the latest call. */
static unsigned
call_duration_ms_ (const struct watcher *watcher)
{
  return (unsigned)((g_get_monotonic_time () - watcher->call_started_us) / US_PER_MS);
}

static unsigned
random_wait_ms_ (const struct watcher_options *options)
{
  if (options->wait_min_ms == 0 || options->wait_min_ms >= options->wait_max_ms)
    return options->wait_max_ms;
  return (unsigned)g_random_int_range ((gint32)options->wait_min_ms, (gint32)options->wait_max_ms);
}

static void
on_timer_ (uv_timer_t *timer)
{
  start_call_ (timer->data);
}

static void
on_catch_up_timer_ (uv_timer_t *timer)
{
  struct watcher *watcher = timer->data;

  /* During a pause no list is needed: the watch after it will show the change. */
  if (watcher->stopped || watcher->list_pending || watcher->pausing || watcher->watch_revision == 0
      || !is_behind_ (watcher))
    return;
  /* What is arriving is likely the change; a second copy would only delay it. */
  if (store_is_receiving (watcher->options.store, watcher->options.kind))
    {
      uv_timer_start (timer, on_catch_up_timer_, CATCH_UP_DELAY_MS, 0);
      return;
    }
  sr_event (SR_EVENT_INFO, "watch_is_behind", "{s:s,s:I,s:I}", "kind", watcher->options.kind,
            "revision", (json_int_t)watcher->watch_revision, "others",
            (json_int_t)watcher->peer_revision);
  list_in_parallel_ (watcher, on_catch_up_list_);
}

static void
on_check_timer_ (uv_timer_t *timer)
{
  struct watcher *watcher = timer->data;

  set_check_timer_ (watcher);
  if (watcher->list_pending || watcher->watch_revision == 0 || !watcher->reachable)
    return;
  list_in_parallel_ (watcher,
                     watcher->options.checked != NULL ? on_periodic_list_ : on_catch_up_list_);
}

/* The interval is random so that instances that started together do not list together. */
static void
set_check_timer_ (struct watcher *watcher)
{
  if (watcher->check_ms == 0 || watcher->stopped)
    return;
  uv_timer_start (
      &watcher->check_timer, on_check_timer_,
      (uint64_t)g_random_double_range (watcher->check_ms * 0.5, watcher->check_ms * 1.5), 0);
}

/* Returns true if peers have seen a change that may have been missed here. The
 * position of the watch is no evidence: a watch that missed a change continues after it. */
static bool
is_behind_ (const struct watcher *watcher)
{
  return watcher->peer_revision > MAX (watcher->reported_revision, watcher->listed_revision);
}

/* Lists all objects in parallel with the watch. A second watch could miss the same changes. */
static void
list_in_parallel_ (struct watcher *watcher, store_callback done)
{
  watcher->list_pending = true;
  watcher->list_started_us = g_get_monotonic_time ();
  store_list (watcher->options.store, watcher->options.kind, done, call_new_ (watcher));
}

static void
on_catch_up_list_ (const struct store_result *result, void *data)
{
  struct watcher *watcher = call_end_ (data);

  if (watcher == NULL || !end_parallel_list_ (watcher, result))
    return;
  watcher->confirmed_us = MAX (watcher->confirmed_us, watcher->list_started_us);
  watcher->watch_revision = MAX (watcher->watch_revision, result->revision);
  report_list_ (watcher, result, watcher->options.listed);
}

/* Leaves the position of the watch as it is: the removal of an object that is missing in the list
 * has still to be reported by the watch. */
static void
on_periodic_list_ (const struct store_result *result, void *data)
{
  struct watcher *watcher = call_end_ (data);

  if (watcher != NULL && end_parallel_list_ (watcher, result))
    report_list_ (watcher, result, watcher->options.checked);
}

/* Returns true if RESULT can be reported. One that is older than a change or a list already
 * reported would undo that. */
static bool
end_parallel_list_ (struct watcher *watcher, const struct store_result *result)
{
  watcher->list_pending = false;
  return result->status == STORE_OK
         && result->revision >= MAX (watcher->reported_revision, watcher->listed_revision);
}

static void
report_list_ (struct watcher *watcher,
              const struct store_result *result,
              void (*report) (const struct store_result *, void *))
{
  watcher->listed_revision = MAX (watcher->listed_revision, result->revision);
  for (size_t i = 0; i < result->n_objects; i++)
    {
      watcher->reported_revision = MAX (watcher->reported_revision, result->objects[i].revision);
      note_reported_ (watcher, &result->objects[i]);
    }
  report (result, watcher->options.data);
}

/* Reports the changes in RESULT, except those that are older than what a list has already reported:
 * a watch may lag behind a list made in parallel. */
static void
report_changes_ (struct watcher *watcher, const struct store_result *result)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct store_object));
  struct store_result filtered = *result;

  watcher->watch_revision = MAX (watcher->watch_revision, result->revision);
  for (size_t i = 0; i < result->n_objects; i++)
    {
      watcher->reported_revision = MAX (watcher->reported_revision, result->objects[i].revision);
      /* The list has covered all earlier writes, and the object may have been removed since. */
      if (!result->objects[i].deleted && result->objects[i].revision <= watcher->listed_revision)
        continue;
      if (note_reported_ (watcher, &result->objects[i]))
        g_array_append_val (changes, result->objects[i]);
    }
  filtered.objects = (const struct store_object *)changes->data;
  filtered.n_objects = changes->len;
  if (changes->len > 0)
    watcher->options.changed (&filtered, watcher->options.data);
  g_array_unref (changes);
}

/* Remembers the revision of OBJECT as reported. Returns false if a later one has been reported. */
static bool
note_reported_ (struct watcher *watcher, const struct store_object *object)
{
  const int64_t *known = g_hash_table_lookup (watcher->reported, object->name);

  if (known != NULL && object->revision < *known)
    return false;
  if (g_hash_table_size (watcher->reported) >= REPORTED_MAX)
    g_hash_table_remove_all (watcher->reported);
  g_hash_table_replace (watcher->reported, g_strdup (object->name),
                        g_memdup2 (&object->revision, sizeof object->revision));
  return true;
}

static void
on_listed_ (const struct store_result *result, void *data)
{
  struct watcher *watcher = call_end_ (data);

  if (watcher == NULL)
    return;
  if (result->status != STORE_OK)
    {
      retry_ (watcher, result->status);
      return;
    }
  set_reachable_ (watcher, true, result->status);
  watcher->retry_ms = RETRY_FIRST_MS;
  watcher->watch_revision = MAX (watcher->watch_revision, result->revision);
  watcher->confirmed_us = MAX (watcher->confirmed_us, watcher->call_started_us);
  report_list_ (watcher, result, watcher->options.listed);
  start_call_after_pause_ (watcher);
}

static void
on_changed_ (const struct store_result *result, void *data)
{
  struct watcher *watcher = call_end_ (data);

  if (watcher == NULL)
    return;
  if (result->status == STORE_HISTORY_EXPIRED)
    {
      sr_event (SR_EVENT_INFO, "store_history_gone", "{s:s,s:I}", "kind", watcher->options.kind,
                "revision", (json_int_t)watcher->watch_revision);
      watcher->watch_revision = 0;
      start_call_ (watcher);
      return;
    }
  if (result->status != STORE_OK)
    {
      retry_ (watcher, result->status);
      return;
    }
  set_reachable_ (watcher, true, result->status);
  watcher->retry_ms = RETRY_FIRST_MS;
  report_changes_ (watcher, result);
  watcher->confirmed_us = MAX (watcher->confirmed_us, confirmed_by_watch_us_ (watcher, result));
  if (result->n_objects > 0)
    start_call_after_pause_ (watcher);
  else if (call_duration_ms_ (watcher) < watcher->call_wait_ms / 2)
    uv_timer_start (&watcher->timer, on_timer_, EARLY_END_PAUSE_MS, 0);
  else
    start_call_ (watcher);
}

/* Returns the time up to which RESULT of the last watch shows all changes. The result may have
 * waited to be read, as in a process that was suspended: only one that is empty after the whole
 * duration is known to be later than the start of the watch. */
static int64_t
confirmed_by_watch_us_ (const struct watcher *watcher, const struct store_result *result)
{
  int64_t wait_us = (int64_t)watcher->call_wait_ms * US_PER_MS;

  if (result->n_objects > 0 || call_duration_ms_ (watcher) < watcher->call_wait_ms)
    return watcher->call_started_us;
  return watcher->call_started_us + MAX (wait_us - WATCH_DELAY_US, 0);
}

/* Retries after a delay, which doubles up to RETRY_MAX_MS. While the leader can't reach the store
 * either, retries rarely, as the leader reports the end of the outage. */
static void
retry_ (struct watcher *watcher, enum store_status status)
{
  const struct watcher *leader = watcher->options.leader;

  sr_event (SR_EVENT_INFO, "watch_failed", "{s:s,s:s,s:I,s:I}", "kind", watcher->options.kind,
            "status", store_status_to_string (status), "revision",
            (json_int_t)watcher->watch_revision, "open_ms",
            (json_int_t)call_duration_ms_ (watcher));
  if (watcher->retry_ms > RETRY_FIRST_MS)
    set_reachable_ (watcher, false, status);
  if (!watcher->reachable && leader != NULL && !leader->reachable)
    uv_timer_start (&watcher->timer, on_timer_, FOLLOWER_RETRY_MS, 0);
  else
    uv_timer_start (&watcher->timer, on_timer_, watcher->retry_ms, 0);
  watcher->retry_ms = MIN (watcher->retry_ms * 2, (unsigned)RETRY_MAX_MS);
}

static void
set_reachable_ (struct watcher *watcher, bool reachable, enum store_status status)
{
  struct watcher *leader = watcher->options.leader;

  if (watcher->reachable == reachable)
    return;
  watcher->reachable = reachable;
  sr_event (reachable ? SR_EVENT_INFO : SR_EVENT_WARNING,
            reachable ? "store_regained" : "store_lost", "{s:s,s:s,s:I}", "kind",
            watcher->options.kind, "status", store_status_to_string (status), "revision",
            (json_int_t)watcher->watch_revision);
  if (watcher->options.reachable != NULL)
    watcher->options.reachable (reachable, watcher->options.data);
  if (!reachable)
    return;
  for (unsigned i = 0; i < watcher->followers->len; i++)
    {
      struct watcher *follower = watcher->followers->pdata[i];

      if (!follower->reachable)
        retry_now_ (follower);
    }
  /* The leader's pending call may have been lost in the outage and take seconds to time out. */
  if (leader != NULL && !leader->reachable)
    {
      leader->retry_ms = RETRY_FIRST_MS;
      set_reachable_ (leader, true, status);
      retry_now_ (leader);
    }
}

/* Starts the next call now if the watcher is waiting to retry. */
static void
retry_now_ (struct watcher *watcher)
{
  if (!uv_is_active ((uv_handle_t *)&watcher->timer))
    return;
  uv_timer_stop (&watcher->timer);
  start_call_ (watcher);
}
