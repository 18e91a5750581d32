/* The decisions of a planned stop: a deterministic state machine without thread or clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum sr_drain_state
{
  SR_DRAIN_RUNNING,
  SR_DRAIN_LEAVING,      /* said to be leaving; what still arrives is served */
  SR_DRAIN_DRAINING,     /* nothing new is accepted; requests in progress finish */
  SR_DRAIN_HANDING_OVER, /* bills and allotments go to others */
  SR_DRAIN_STOPPED
};

enum sr_drain_event_kind
{
  SR_DRAIN_EVENT_SIGNAL,     /* told to stop; for the second time: at once */
  SR_DRAIN_EVENT_TICK,       /* time has passed; in_progress is valid */
  SR_DRAIN_EVENT_HANDED_OVER /* bills and budgets say whether all of them went */
};

struct sr_drain_event
{
  enum sr_drain_event_kind kind;
  unsigned in_progress;
  bool bills;
  bool budgets;
};

/* What the caller has to do after a step. */
enum sr_drain_action
{
  SR_DRAIN_ACTION_NONE,
  SR_DRAIN_ACTION_LEAVE,
  SR_DRAIN_ACTION_CLOSE,
  SR_DRAIN_ACTION_HAND_OVER,
  SR_DRAIN_ACTION_FINISH
};

struct sr_drain_core_options
{
  int64_t leave_us;     /* from the first signal until nothing new is accepted */
  int64_t limit_us;     /* from the first signal to the end, whatever is left */
  int64_t hand_over_us; /* part of the limit that is kept for handing over */
};

/* requests_left, bills_left and budgets_left are valid once stopped. */
struct sr_drain_core
{
  struct sr_drain_core_options options;
  enum sr_drain_state state;
  int64_t signalled_us;
  unsigned in_progress;
  unsigned requests_left;
  bool bills_left;
  bool budgets_left;
};

void sr_drain_core_init (struct sr_drain_core *core, const struct sr_drain_core_options *options);
enum sr_drain_action
sr_drain_core_step (struct sr_drain_core *core, const struct sr_drain_event *event, int64_t now_us);
int64_t sr_drain_core_hand_over_end_us (const struct sr_drain_core *core);
const char *sr_drain_state_to_string (enum sr_drain_state state);
