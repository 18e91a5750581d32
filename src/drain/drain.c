#include "drain/drain.h"

#include "base/log.h"
#include "base/thread.h"

#include <glib.h>
#include <signal.h>
#include <stdatomic.h>
#include <time.h>

enum
{
  POLL_MS = 50,
  HAND_OVER_MS = 8000, /* reserved for the hand-over at the end of the limit */
  NS_PER_MS = 1000000,
  US_PER_MS = 1000,
  US_PER_S = 1000000
};

struct sr_drain
{
  const struct sr_drain_vtable *vtable;
  void *data;
  struct sr_drain_core core; /* used only by the thread in sr_drain_run */
  _Atomic int state;         /* enum sr_drain_state: copy of core.state for other threads */
  atomic_uint requests;      /* sr_drain_request calls not yet processed */
  atomic_uint references;    /* the caller's, and the hand-over thread's while it runs */
  int64_t hand_over_end_us;
  atomic_bool handed_over;
  bool all_bills; /* valid once handed_over is set, like all_budgets */
  bool all_budgets;
};

static void fill_stop_signals_ (sigset_t *signals);
static bool wait_for_stop_ (struct sr_drain *drain);
static enum sr_drain_action next_action_ (struct sr_drain *drain);
static void perform_ (struct sr_drain *drain, enum sr_drain_action action);
static void start_hand_over_ (struct sr_drain *drain);
static void *hand_over_run_ (void *data);
static void hand_over_ (struct sr_drain *drain);
static bool log_end_ (const struct sr_drain *drain);

/* Blocks SIGTERM and SIGINT in the calling thread and the threads it starts later, so that only
 * sr_drain_run receives them. Must be called before any other thread is started. */
void
sr_drain_block_signals (void)
{
  sigset_t signals;

  fill_stop_signals_ (&signals);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
}

/* Creates the shutdown controller of one instance; it does nothing until sr_drain_run. OPTIONS'
 * vtable and data must outlive it. The caller owns it. */
struct sr_drain *
sr_drain_new (const struct sr_drain_options *options)
{
  struct sr_drain *drain = g_new0 (struct sr_drain, 1);
  struct sr_drain_core_options core_options = { .leave_us = (int64_t)options->leave_ms * US_PER_MS,
                                                .limit_us = (int64_t)options->limit_s * US_PER_S,
                                                .hand_over_us = (int64_t)HAND_OVER_MS * US_PER_MS };

  atomic_store (&drain->references, 1);
  drain->vtable = options->vtable;
  drain->data = options->data;
  sr_drain_core_init (&drain->core, &core_options);
  return drain;
}

/* Releases DRAIN. If a hand-over is still running, its thread frees DRAIN when it ends, and uses
 * the vtable and data until then. NULL is allowed. */
void
sr_drain_delete (struct sr_drain *drain)
{
  if (drain != NULL && atomic_fetch_sub (&drain->references, 1) == 1)
    g_free (drain);
}

/* Has the effect of one stop signal. Thread-safe, but not to be called from a signal handler. */
void
sr_drain_request (struct sr_drain *drain)
{
  atomic_fetch_add (&drain->requests, 1);
}

/* Waits for a stop signal or sr_drain_request and performs the stop. Logs what was left. Returns
 * true when no request was cut off and all bills were handed over. Allotments that were not handed
 * over don't count: they stay on the platform's record, from which the peers reclaim them. */
bool
sr_drain_run (struct sr_drain *drain)
{
  enum sr_drain_action action;

  do
    {
      action = next_action_ (drain);
      atomic_store (&drain->state, drain->core.state);
      perform_ (drain, action);
    }
  while (action != SR_DRAIN_ACTION_FINISH);
  return log_end_ (drain);
}

/* Thread-safe. */
enum sr_drain_state
sr_drain_state (struct sr_drain *drain)
{
  return (enum sr_drain_state)atomic_load (&drain->state);
}

static void
fill_stop_signals_ (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
}

/* Waits up to POLL_MS for a stop signal. Returns true for a signal or a pending sr_drain_request.
 */
static bool
wait_for_stop_ (struct sr_drain *drain)
{
  struct timespec wait = { .tv_nsec = (long)POLL_MS * NS_PER_MS };
  sigset_t signals;

  if (atomic_load (&drain->requests) > 0)
    {
      atomic_fetch_sub (&drain->requests, 1);
      return true;
    }
  fill_stop_signals_ (&signals);
  return sigtimedwait (&signals, NULL, &wait) > 0;
}

static enum sr_drain_action
next_action_ (struct sr_drain *drain)
{
  struct sr_drain_event event = { .kind = SR_DRAIN_EVENT_TICK };
  int64_t now_us;

  if (wait_for_stop_ (drain))
    event.kind = SR_DRAIN_EVENT_SIGNAL;
  else if (drain->core.state == SR_DRAIN_HANDING_OVER && atomic_load (&drain->handed_over))
    event = (struct sr_drain_event){ .kind = SR_DRAIN_EVENT_HANDED_OVER,
                                     .all_bills = drain->all_bills,
                                     .all_budgets = drain->all_budgets };
  else if (drain->core.state != SR_DRAIN_RUNNING)
    event.in_progress = drain->vtable->in_progress (drain->data);
  now_us = g_get_monotonic_time ();
  return sr_drain_core_step (&drain->core, &event, now_us);
}

static void
perform_ (struct sr_drain *drain, enum sr_drain_action action)
{
  switch (action)
    {
    case SR_DRAIN_ACTION_LEAVE:
      drain->vtable->leave (drain->data);
      break;
    case SR_DRAIN_ACTION_CLOSE:
      drain->vtable->close (drain->data);
      break;
    case SR_DRAIN_ACTION_HAND_OVER:
      start_hand_over_ (drain);
      break;
    case SR_DRAIN_ACTION_NONE:
    case SR_DRAIN_ACTION_FINISH:
      break;
    }
  if (action != SR_DRAIN_ACTION_NONE)
    sr_log (G_LOG_LEVEL_INFO, "stop", "%s, %u requests in progress",
            sr_drain_state_to_string (drain->core.state), drain->core.in_progress);
}

static void
start_hand_over_ (struct sr_drain *drain)
{
  pthread_t thread;

  drain->hand_over_end_us = sr_drain_core_hand_over_deadline_us (&drain->core);
  atomic_fetch_add (&drain->references, 1);
  if (sr_thread_start (&thread, 0, hand_over_run_, drain))
    {
      pthread_detach (thread);
      return;
    }
  atomic_fetch_sub (&drain->references, 1);
  hand_over_ (drain);
}

static void *
hand_over_run_ (void *data)
{
  struct sr_drain *drain = data;

  hand_over_ (drain);
  sr_drain_delete (drain);
  return NULL;
}

static void
hand_over_ (struct sr_drain *drain)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t bills_end_us = now_us + (drain->hand_over_end_us - now_us) / 2;

  /* During a platform outage hand_over_bills blocks until its deadline, so it gets only half of
   * the time. */
  drain->all_bills = drain->vtable->hand_over_bills (bills_end_us, drain->data);
  drain->all_budgets = drain->vtable->hand_over_budgets (drain->hand_over_end_us, drain->data);
  atomic_store (&drain->handed_over, true);
}

static bool
log_end_ (const struct sr_drain *drain)
{
  const struct sr_drain_core *core = &drain->core;

  if (core->requests_left == 0 && !core->bills_left && !core->budgets_left)
    return true;
  sr_log (G_LOG_LEVEL_WARNING, "stop_left", "%u requests, %s bills, %s allotments",
          core->requests_left, core->bills_left ? "some" : "no",
          core->budgets_left ? "some" : "no");
  return core->requests_left == 0 && !core->bills_left;
}
