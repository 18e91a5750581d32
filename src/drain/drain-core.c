#include "drain/drain-core.h"

#include <glib.h>

enum
{
  HAND_OVER_MARGIN_DIVISOR = 2 /* the margin is the hand-over time divided by this */
};

static const char *const state_names[] = {
  "running", "leaving", "draining", "handing over", "stopped",
};

static enum sr_drain_action handle_signal_ (struct sr_drain_core *core, int64_t now_us);
static enum sr_drain_action handle_tick_ (struct sr_drain_core *core, int64_t now_us);
static enum sr_drain_action hand_over_ (struct sr_drain_core *core);
static enum sr_drain_action stop_ (struct sr_drain_core *core, bool bills_left, bool budgets_left);

/* Returns the name of STATE, as written to the log. */
const char *
sr_drain_state_to_string (enum sr_drain_state state)
{
  g_assert ((size_t)state < G_N_ELEMENTS (state_names));
  return state_names[state];
}

/* Sets CORE to running. The times of OPTIONS must not be negative. hand_over_us is capped at half
 * of limit_us. */
void
sr_drain_core_init (struct sr_drain_core *core, const struct sr_drain_core_options *options)
{
  *core = (struct sr_drain_core){ .options = *options };
  core->options.hand_over_us = MIN (options->hand_over_us, options->limit_us / 2);
}

/* Processes EVENT at NOW_US (monotonic) and returns the action to perform. An event that is not
 * expected in the current state is ignored. */
enum sr_drain_action
sr_drain_core_step (struct sr_drain_core *core, const struct sr_drain_event *event, int64_t now_us)
{
  switch (event->kind)
    {
    case SR_DRAIN_EVENT_SIGNAL:
      return handle_signal_ (core, now_us);
    case SR_DRAIN_EVENT_TICK:
      core->in_progress = event->in_progress;
      return handle_tick_ (core, now_us);
    case SR_DRAIN_EVENT_HANDED_OVER:
      if (core->state == SR_DRAIN_HANDING_OVER)
        return stop_ (core, !event->all_bills, !event->all_budgets);
      break;
    }
  return SR_DRAIN_ACTION_NONE;
}

/* Returns the deadline (monotonic) for the hand-over callbacks. It is earlier than the limit of the
 * stop, since the last call of a callback may overrun its deadline. */
int64_t
sr_drain_core_hand_over_deadline_us (const struct sr_drain_core *core)
{
  int64_t margin_us = core->options.hand_over_us / HAND_OVER_MARGIN_DIVISOR;

  return core->signalled_us + core->options.limit_us - margin_us;
}

static enum sr_drain_action
handle_signal_ (struct sr_drain_core *core, int64_t now_us)
{
  if (core->state == SR_DRAIN_STOPPED)
    return SR_DRAIN_ACTION_NONE;
  if (core->state != SR_DRAIN_RUNNING)
    {
      core->requests_left = core->in_progress;
      return stop_ (core, true, true);
    }
  core->state = SR_DRAIN_LEAVING;
  core->signalled_us = now_us;
  return SR_DRAIN_ACTION_LEAVE;
}

static enum sr_drain_action
handle_tick_ (struct sr_drain_core *core, int64_t now_us)
{
  int64_t elapsed_us = now_us - core->signalled_us;
  int64_t drain_us = core->options.limit_us - core->options.hand_over_us;

  switch (core->state)
    {
    case SR_DRAIN_LEAVING:
      if (elapsed_us < MIN (core->options.leave_us, drain_us))
        return SR_DRAIN_ACTION_NONE;
      core->state = SR_DRAIN_DRAINING;
      return SR_DRAIN_ACTION_CLOSE;
    case SR_DRAIN_DRAINING:
      if (core->in_progress == 0 || elapsed_us >= drain_us)
        return hand_over_ (core);
      return SR_DRAIN_ACTION_NONE;
    case SR_DRAIN_HANDING_OVER:
      if (elapsed_us >= core->options.limit_us)
        return stop_ (core, true, true);
      return SR_DRAIN_ACTION_NONE;
    case SR_DRAIN_RUNNING:
    case SR_DRAIN_STOPPED:
      break;
    }
  return SR_DRAIN_ACTION_NONE;
}

static enum sr_drain_action
hand_over_ (struct sr_drain_core *core)
{
  core->state = SR_DRAIN_HANDING_OVER;
  core->requests_left = core->in_progress;
  return SR_DRAIN_ACTION_HAND_OVER;
}

static enum sr_drain_action
stop_ (struct sr_drain_core *core, bool bills_left, bool budgets_left)
{
  core->state = SR_DRAIN_STOPPED;
  core->bills_left = bills_left;
  core->budgets_left = budgets_left;
  return SR_DRAIN_ACTION_FINISH;
}
