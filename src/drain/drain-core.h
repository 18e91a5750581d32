/* State machine of a graceful shutdown. Deterministic: it starts no threads and reads no clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum sr_drain_state
{
  SR_DRAIN_RUNNING,
  SR_DRAIN_LEAVING,      /* announced as leaving; new requests are still served */
  SR_DRAIN_DRAINING,     /* no new requests are accepted; those in progress finish */
  SR_DRAIN_HANDING_OVER, /* bills and allotments are being handed over */
  SR_DRAIN_STOPPED
};

enum sr_drain_event_kind
{
  SR_DRAIN_EVENT_SIGNAL,     /* stop signal; the second one ends the stop immediately */
  SR_DRAIN_EVENT_TICK,       /* periodic; in_progress is valid */
  SR_DRAIN_EVENT_HANDED_OVER /* the hand-over ended; all_bills and all_budgets are valid */
};

struct sr_drain_event
{
  enum sr_drain_event_kind kind;
  unsigned in_progress; /* requests */
  bool all_bills;       /* all bills were handed over */
  bool all_budgets;     /* all allotments were handed over */
};

/* What the caller has to do after a step. FINISH: the stop is over, successful or not. */
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
  int64_t leave_us;     /* from the first signal until new requests are no longer accepted */
  int64_t limit_us;     /* from the first signal to the end, even with work left */
  int64_t hand_over_us; /* part of the limit reserved for the hand-over */
};

/* requests_left, bills_left and budgets_left are valid in state SR_DRAIN_STOPPED. */
struct sr_drain_core
{
  struct sr_drain_core_options options;
  enum sr_drain_state state;
  int64_t signalled_us; /* first signal; monotonic */
  unsigned in_progress;
  unsigned requests_left;
  bool bills_left;
  bool budgets_left;
};

void sr_drain_core_init (struct sr_drain_core *core, const struct sr_drain_core_options *options);
enum sr_drain_action
sr_drain_core_step (struct sr_drain_core *core, const struct sr_drain_event *event, int64_t now_us);
int64_t sr_drain_core_hand_over_deadline_us (const struct sr_drain_core *core);
const char *sr_drain_state_to_string (enum sr_drain_state state);
