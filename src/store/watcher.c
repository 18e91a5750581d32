#include "store/watcher.h"

#include "base/event-log.h"

enum
{
  RETRY_FIRST_MS = 20, /* a watch that was merely cut goes on at once */
  RETRY_MAX_MS = 400,  /* a fifth of the time in which a change must be in force */
  RETURN_WAIT_MS = 20  /* of the first watch after a failure: its answer tells that the store is back */
};

struct watcher
{
  struct watcher_options options;
  uv_timer_t timer;
  int64_t revision; /* 0: list first */
  unsigned retry_ms;
  bool reachable;
  bool stopped;
};

static void ask_ (struct watcher *watcher);
static void on_timer_ (uv_timer_t *timer);
static void on_listed_ (const struct store_result *result, void *data);
static void on_changed_ (const struct store_result *result, void *data);
static void retry_ (struct watcher *watcher, enum store_status status);
static void set_reachable_ (struct watcher *watcher, bool reachable, enum store_status status);

/* Creates a watcher; it lives as long as the process, since calls to the store may be out. */
struct watcher *
watcher_new (const struct watcher_options *options)
{
  struct watcher *watcher = g_new0 (struct watcher, 1);

  watcher->options = *options;
  watcher->retry_ms = RETRY_FIRST_MS;
  watcher->reachable = true;
  uv_timer_init (options->loop, &watcher->timer);
  watcher->timer.data = watcher;
  return watcher;
}

/* Begins to follow. */
void
watcher_start (struct watcher *watcher)
{
  ask_ (watcher);
}

/* Stops following: nothing more is told. */
void
watcher_stop (struct watcher *watcher)
{
  watcher->stopped = true;
  uv_timer_stop (&watcher->timer);
}

static void
ask_ (struct watcher *watcher)
{
  const struct watcher_options *options = &watcher->options;

  if (watcher->stopped)
    return;
  if (watcher->revision == 0)
    store_list (options->store, options->kind, on_listed_, watcher);
  else
    store_watch (options->store, options->kind, watcher->revision,
                 watcher->retry_ms > RETRY_FIRST_MS ? RETURN_WAIT_MS : options->wait_ms, on_changed_,
                 watcher);
}

static void
on_timer_ (uv_timer_t *timer)
{
  ask_ (timer->data);
}

static void
on_listed_ (const struct store_result *result, void *data)
{
  struct watcher *watcher = data;

  if (watcher->stopped)
    return;
  if (result->status != STORE_OK)
    {
      retry_ (watcher, result->status);
      return;
    }
  set_reachable_ (watcher, true, result->status);
  watcher->retry_ms = RETRY_FIRST_MS;
  watcher->revision = result->revision;
  watcher->options.listed (result, watcher->options.data);
  ask_ (watcher);
}

static void
on_changed_ (const struct store_result *result, void *data)
{
  struct watcher *watcher = data;

  if (watcher->stopped)
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
  watcher->revision = MAX (watcher->revision, result->revision);
  if (result->n_objects > 0)
    watcher->options.changed (result, watcher->options.data);
  ask_ (watcher);
}

/* Asks again a little later; the pause doubles up to its limit. */
static void
retry_ (struct watcher *watcher, enum store_status status)
{
  if (watcher->retry_ms > RETRY_FIRST_MS)
    set_reachable_ (watcher, false, status);
  uv_timer_start (&watcher->timer, on_timer_, watcher->retry_ms, 0);
  watcher->retry_ms = MIN (watcher->retry_ms * 2, (unsigned)RETRY_MAX_MS);
}

static void
set_reachable_ (struct watcher *watcher, bool reachable, enum store_status status)
{
  if (watcher->reachable == reachable)
    return;
  watcher->reachable = reachable;
  sr_event (reachable ? SR_EVENT_INFO : SR_EVENT_FAILURE,
            reachable ? "store_regained" : "store_lost", "{s:s,s:s,s:I}", "kind",
            watcher->options.kind, "status", store_status_to_string (status), "revision",
            (json_int_t)watcher->revision);
  if (watcher->options.reachable != NULL)
    watcher->options.reachable (reachable, watcher->options.data);
}
