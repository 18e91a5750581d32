#include "store/watcher.h"

#include "base/event-log.h"

enum
{
  US_PER_MS = 1000,
  RETRY_FIRST_MS = 20,  /* a watch that was merely cut goes on at once */
  RETRY_MAX_MS = 800,   /* less than half of the time in which a change must be in force */
  LOOK_DELAY_MS = 120,  /* in which the own watch is likely to show what others have seen */
  TOLD_MAX = 20000,     /* objects remembered, several times those of a large deployment */
  LED_RETRY_MS = 5000,  /* while the leader asks; for a failure that is not the leader's */
  EARLY_PAUSE_MS = 200, /* after a watch without a change that ended early, and may do so again */
  RETURN_WAIT_MS
  = 20 /* of the first watch after a failure: its answer tells that the store is back */
};

struct watcher
{
  struct watcher_options options;
  uv_timer_t timer;
  uv_timer_t look_timer;
  uv_timer_t check_timer;
  unsigned check_ms;      /* mean time between whole lists beside the watch; 0: none */
  bool looking;           /* a list beside the watch is out */
  bool pausing;           /* the next watch begins when the timer ends */
  int64_t wanted;         /* a revision that others have seen */
  int64_t seen;           /* of the latest change that was told */
  int64_t complete;       /* of the last whole list: nothing up to it can have been missed */
  int64_t revision;       /* 0: list first */
  int64_t asked_us;       /* when the call that is out was made */
  unsigned asked_wait_ms; /* how long it may wait */
  unsigned retry_ms;
  GPtrArray *led;   /* watchers that this one leads */
  GHashTable *told; /* name of an object: revision (int64_t) of its latest change that was told */
  bool reachable;
  bool stopped;
  unsigned restarts; /* calls of before the last one tell nothing */
};

/* One call that is out. */
struct call_
{
  struct watcher *watcher;
  unsigned restarts; /* of the watcher when it was made */
};

static struct call_ *call_new_ (struct watcher *watcher);
static struct watcher *call_end_ (void *data);
static void ask_ (struct watcher *watcher);
static void ask_after_change_ (struct watcher *watcher);
static unsigned open_ms_ (const struct watcher *watcher);
static unsigned wait_of_ (const struct watcher_options *options);
static void on_timer_ (uv_timer_t *timer);
static void on_look_timer_ (uv_timer_t *timer);
static void on_check_timer_ (uv_timer_t *timer);
static void set_check_timer_ (struct watcher *watcher);
static bool is_behind_ (const struct watcher *watcher);
static void list_beside_ (struct watcher *watcher, store_callback done);
static void on_looked_list_ (const struct store_result *result, void *data);
static void on_checked_list_ (const struct store_result *result, void *data);
static bool end_list_beside_ (struct watcher *watcher, const struct store_result *result);
static void take_list_ (struct watcher *watcher,
                        const struct store_result *result,
                        void (*tell) (const struct store_result *, void *));
static bool note_told_ (struct watcher *watcher, const struct store_object *object);
static void take_changes_ (struct watcher *watcher, const struct store_result *result);
static void on_listed_ (const struct store_result *result, void *data);
static void on_changed_ (const struct store_result *result, void *data);
static void retry_ (struct watcher *watcher, enum store_status status);
static void set_reachable_ (struct watcher *watcher, bool reachable, enum store_status status);
static void ask_early_ (struct watcher *watcher);

/* Creates a watcher. */
struct watcher *
watcher_new (const struct watcher_options *options)
{
  struct watcher *watcher = g_new0 (struct watcher, 1);

  watcher->options = *options;
  watcher->retry_ms = RETRY_FIRST_MS;
  watcher->reachable = true;
  watcher->led = g_ptr_array_new ();
  watcher->told = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (options->leader != NULL)
    g_ptr_array_add (options->leader->led, watcher);
  uv_timer_init (options->loop, &watcher->timer);
  uv_timer_init (options->loop, &watcher->look_timer);
  uv_timer_init (options->loop, &watcher->check_timer);
  watcher->timer.data = watcher->look_timer.data = watcher->check_timer.data = watcher;
  return watcher;
}

/* Begins to follow. */
void
watcher_start (struct watcher *watcher)
{
  ask_ (watcher);
}

/* Sets how long watches are open from the next one on: a time between the two, by chance. All
 * instances open theirs after the same change, and must not all end them at the same moment. */
void
watcher_set_wait (struct watcher *watcher, unsigned wait_min_ms, unsigned wait_ms)
{
  watcher->options.wait_min_ms = wait_min_ms;
  watcher->options.wait_ms = wait_ms;
}

/* Sets the pause between a change and the next watch, see watcher_options. */
void
watcher_set_pause (struct watcher *watcher, unsigned pause_ms)
{
  watcher->options.pause_ms = pause_ms;
}

/* Has everything listed beside the watch now and then, INTERVAL_MS apart on the mean (0: never): a
 * change that no watch of any instance shows is known to nobody who could tell of it. That happens
 * when the store loses all open watches without closing them: each finds out at its end. */
void
watcher_set_check (struct watcher *watcher, unsigned interval_ms)
{
  bool begins = watcher->check_ms == 0;

  watcher->check_ms = interval_ms;
  if (interval_ms == 0)
    uv_timer_stop (&watcher->check_timer);
  else if (begins)
    set_check_timer_ (watcher);
}

/* Others have seen REVISION: unless the own watch shows it soon, the store is asked once more
 * beside it. To be told again as long as they say so, as the call may fail. */
void
watcher_look_after (struct watcher *watcher, int64_t revision)
{
  if (watcher->stopped || !watcher->reachable || watcher->revision == 0)
    return;
  watcher->wanted = MAX (watcher->wanted, revision);
  if (is_behind_ (watcher) && !watcher->looking
      && !uv_is_active ((uv_handle_t *)&watcher->look_timer))
    uv_timer_start (&watcher->look_timer, on_look_timer_, LOOK_DELAY_MS, 0);
}

/* Returns the revision of the latest change that was told. */
int64_t
watcher_seen (const struct watcher *watcher)
{
  return watcher->seen;
}

/* The store has come back from a copy: its revisions say nothing of those before. Everything is
 * listed anew, within SPREAD_MS by chance, as all instances do so. */
void
watcher_restart (struct watcher *watcher, unsigned spread_ms)
{
  if (watcher->stopped)
    return;
  watcher->restarts++;
  watcher->wanted = watcher->seen = watcher->complete = watcher->revision = 0;
  watcher->looking = false;
  g_hash_table_remove_all (watcher->told);
  uv_timer_stop (&watcher->look_timer);
  watcher->pausing = true;
  uv_timer_start (&watcher->timer, on_timer_,
                  (uint64_t)g_random_int_range (0, (gint32)spread_ms + 1), 0);
}

/* Stops following: nothing more is told. */
void
watcher_stop (struct watcher *watcher)
{
  watcher->stopped = true;
  uv_timer_stop (&watcher->timer);
  uv_timer_stop (&watcher->look_timer);
  uv_timer_stop (&watcher->check_timer);
}

/* Frees a stopped watcher. Its calls must have been answered, and its timers closed by a run of the
 * loop, which this function makes. */
void
watcher_delete (struct watcher *watcher)
{
  uv_loop_t *loop = watcher->options.loop;

  watcher_stop (watcher);
  g_assert (watcher->led->len == 0);
  g_ptr_array_unref (watcher->led);
  g_hash_table_unref (watcher->told);
  if (watcher->options.leader != NULL)
    g_ptr_array_remove (watcher->options.leader->led, watcher);
  uv_close ((uv_handle_t *)&watcher->timer, NULL);
  uv_close ((uv_handle_t *)&watcher->look_timer, NULL);
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

/* Frees the call DATA. Returns its watcher, or NULL when what the call tells is not awaited any
 * more. */
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
ask_ (struct watcher *watcher)
{
  const struct watcher_options *options = &watcher->options;

  watcher->pausing = false;
  if (watcher->stopped)
    return;
  watcher->asked_us = g_get_monotonic_time ();
  if (watcher->revision == 0)
    {
      store_list (options->store, options->kind, on_listed_, call_new_ (watcher));
      return;
    }
  watcher->asked_wait_ms = watcher->retry_ms > RETRY_FIRST_MS ? RETURN_WAIT_MS : wait_of_ (options);
  store_watch (options->store, options->kind, watcher->revision, watcher->asked_wait_ms,
               on_changed_, call_new_ (watcher));
}

/* Goes on after a pause, in which further changes gather. */
static void
ask_after_change_ (struct watcher *watcher)
{
  if (watcher->options.pause_ms == 0)
    {
      ask_ (watcher);
      return;
    }
  watcher->pausing = true;
  uv_timer_start (&watcher->timer, on_timer_, watcher->options.pause_ms, 0);
}

/* Returns for how long the call that is out, or has just ended, was open. */
static unsigned
open_ms_ (const struct watcher *watcher)
{
  return (unsigned)((g_get_monotonic_time () - watcher->asked_us) / US_PER_MS);
}

static unsigned
wait_of_ (const struct watcher_options *options)
{
  if (options->wait_min_ms == 0 || options->wait_min_ms >= options->wait_ms)
    return options->wait_ms;
  return (unsigned)g_random_int_range ((gint32)options->wait_min_ms, (gint32)options->wait_ms);
}

static void
on_timer_ (uv_timer_t *timer)
{
  ask_ (timer->data);
}

static void
on_look_timer_ (uv_timer_t *timer)
{
  struct watcher *watcher = timer->data;

  /* After a pause the next watch shows what is wanted. */
  if (watcher->stopped || watcher->looking || watcher->pausing || watcher->revision == 0
      || !is_behind_ (watcher))
    return;
  sr_event (SR_EVENT_INFO, "watch_is_behind", "{s:s,s:I,s:I}", "kind", watcher->options.kind,
            "revision", (json_int_t)watcher->revision, "others", (json_int_t)watcher->wanted);
  list_beside_ (watcher, on_looked_list_);
}

static void
on_check_timer_ (uv_timer_t *timer)
{
  struct watcher *watcher = timer->data;

  set_check_timer_ (watcher);
  if (watcher->looking || watcher->revision == 0 || !watcher->reachable)
    return;
  list_beside_ (watcher, watcher->options.checked != NULL ? on_checked_list_ : on_looked_list_);
}

/* Instances that began together must not check together. */
static void
set_check_timer_ (struct watcher *watcher)
{
  if (watcher->check_ms == 0 || watcher->stopped)
    return;
  uv_timer_start (
      &watcher->check_timer, on_check_timer_,
      (uint64_t)g_random_double_range (watcher->check_ms * 0.5, watcher->check_ms * 1.5), 0);
}

/* Tells whether others have seen a change that may have been missed here. The position of the watch
 * says nothing of that: one that was deaf to a change goes on behind it. */
static bool
is_behind_ (const struct watcher *watcher)
{
  return watcher->wanted > MAX (watcher->seen, watcher->complete);
}

/* Asks for everything: a second watch may be as deaf as the first one. */
static void
list_beside_ (struct watcher *watcher, store_callback done)
{
  watcher->looking = true;
  store_list (watcher->options.store, watcher->options.kind, done, call_new_ (watcher));
}

static void
on_looked_list_ (const struct store_result *result, void *data)
{
  struct watcher *watcher = call_end_ (data);

  if (watcher == NULL || !end_list_beside_ (watcher, result))
    return;
  watcher->revision = MAX (watcher->revision, result->revision);
  take_list_ (watcher, result, watcher->options.listed);
}

/* Of what is missing in a check the next watch is still to tell: its position stays. */
static void
on_checked_list_ (const struct store_result *result, void *data)
{
  struct watcher *watcher = call_end_ (data);

  if (watcher != NULL && end_list_beside_ (watcher, result))
    take_list_ (watcher, result, watcher->options.checked);
}

/* Tells whether RESULT can be told: one that the watch has overtaken would undo what that has told.
 */
static bool
end_list_beside_ (struct watcher *watcher, const struct store_result *result)
{
  watcher->looking = false;
  return result->status == STORE_OK && result->revision >= watcher->seen;
}

static void
take_list_ (struct watcher *watcher,
            const struct store_result *result,
            void (*tell) (const struct store_result *, void *))
{
  watcher->complete = MAX (watcher->complete, result->revision);
  for (size_t i = 0; i < result->n_objects; i++)
    {
      watcher->seen = MAX (watcher->seen, result->objects[i].revision);
      note_told_ (watcher, &result->objects[i]);
    }
  tell (result, watcher->options.data);
}

/* Tells changes, but for those of objects of which a later one was told: a list beside the watch
 * overtakes it, as a watch may be behind. */
static void
take_changes_ (struct watcher *watcher, const struct store_result *result)
{
  GArray *news = g_array_new (FALSE, FALSE, sizeof (struct store_object));
  struct store_result told = *result;

  watcher->revision = MAX (watcher->revision, result->revision);
  for (size_t i = 0; i < result->n_objects; i++)
    {
      watcher->seen = MAX (watcher->seen, result->objects[i].revision);
      /* A list has shown what was written before it, also that an object is gone. */
      if (!result->objects[i].deleted && result->objects[i].revision <= watcher->complete)
        continue;
      if (note_told_ (watcher, &result->objects[i]))
        g_array_append_val (news, result->objects[i]);
    }
  told.objects = (const struct store_object *)news->data;
  told.n_objects = news->len;
  if (news->len > 0)
    watcher->options.changed (&told, watcher->options.data);
  g_array_unref (news);
}

/* Remembers the revision of OBJECT as told. Returns false when a later one was told before. */
static bool
note_told_ (struct watcher *watcher, const struct store_object *object)
{
  const int64_t *known = g_hash_table_lookup (watcher->told, object->name);

  if (known != NULL && object->revision < *known)
    return false;
  if (g_hash_table_size (watcher->told) >= TOLD_MAX)
    g_hash_table_remove_all (watcher->told);
  g_hash_table_replace (watcher->told, g_strdup (object->name),
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
  watcher->revision = MAX (watcher->revision, result->revision);
  take_list_ (watcher, result, watcher->options.listed);
  ask_after_change_ (watcher);
}

static void
on_changed_ (const struct store_result *result, void *data)
{
  struct watcher *watcher = call_end_ (data);

  if (watcher == NULL)
    return;
  if (result->status == STORE_HISTORY_GONE)
    {
      sr_event (SR_EVENT_INFO, "store_history_gone", "{s:s,s:I}", "kind", watcher->options.kind,
                "revision", (json_int_t)watcher->revision);
      watcher->revision = 0;
      ask_ (watcher);
      return;
    }
  if (result->status != STORE_OK)
    {
      retry_ (watcher, result->status);
      return;
    }
  set_reachable_ (watcher, true, result->status);
  watcher->retry_ms = RETRY_FIRST_MS;
  take_changes_ (watcher, result);
  if (result->n_objects > 0)
    ask_after_change_ (watcher);
  else if (open_ms_ (watcher) < watcher->asked_wait_ms / 2)
    uv_timer_start (&watcher->timer, on_timer_, EARLY_PAUSE_MS, 0);
  else
    ask_ (watcher);
}

/* Asks again a little later; the pause doubles up to its limit. While the leader does not reach the
 * store either, its end of the outage is waited for. */
static void
retry_ (struct watcher *watcher, enum store_status status)
{
  const struct watcher *leader = watcher->options.leader;

  sr_event (SR_EVENT_INFO, "watch_failed", "{s:s,s:s,s:I,s:I}", "kind", watcher->options.kind,
            "status", store_status_to_string (status), "revision", (json_int_t)watcher->revision,
            "open_ms", (json_int_t)open_ms_ (watcher));
  if (watcher->retry_ms > RETRY_FIRST_MS)
    set_reachable_ (watcher, false, status);
  if (!watcher->reachable && leader != NULL && !leader->reachable)
    uv_timer_start (&watcher->timer, on_timer_, LED_RETRY_MS, 0);
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
  sr_event (reachable ? SR_EVENT_INFO : SR_EVENT_FAILURE,
            reachable ? "store_regained" : "store_lost", "{s:s,s:s,s:I}", "kind",
            watcher->options.kind, "status", store_status_to_string (status), "revision",
            (json_int_t)watcher->revision);
  if (watcher->options.reachable != NULL)
    watcher->options.reachable (reachable, watcher->options.data);
  if (!reachable)
    return;
  for (unsigned i = 0; i < watcher->led->len; i++)
    {
      struct watcher *led = watcher->led->pdata[i];

      if (!led->reachable)
        ask_early_ (led);
    }
  /* The leader's call may have been lost with the outage, and its end be seconds away. */
  if (leader != NULL && !leader->reachable)
    {
      leader->retry_ms = RETRY_FIRST_MS;
      set_reachable_ (leader, true, status);
      ask_early_ (leader);
    }
}

/* Ends the pause of a watcher that waits for the end of an outage. */
static void
ask_early_ (struct watcher *watcher)
{
  if (!uv_is_active ((uv_handle_t *)&watcher->timer))
    return;
  uv_timer_stop (&watcher->timer);
  ask_ (watcher);
}
