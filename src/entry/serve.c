#include "entry/serve.h"

#include "base/log.h"
#include "drain/drain.h"
#include "entry/instance.h"

#include <signal.h>

enum
{
  EXIT_OK = 0,
  EXIT_FAILED = 1,
  LEAVE_MS = 500
};

static bool
run_until_stopped_ (struct sr_instance *instance);
static void
leave_ (void *data);
static void
close_ (void *data);
static unsigned
in_progress_ (void *data);
static bool
hand_over_bills_ (int64_t end_us, void *data);
static bool
hand_over_budgets_ (int64_t end_us, void *data);

static const struct sr_drain_vtable drain_vtable = {
  .leave = leave_,
  .close = close_,
  .in_progress = in_progress_,
  .hand_over_bills = hand_over_bills_,
  .hand_over_budgets = hand_over_budgets_,
};

/* Runs an instance by SETTINGS until SIGTERM or SIGINT, then stops it gracefully. Returns the exit
 * status of the process: 0 after a complete stop, 1 when it could not start or something was left.
 */
int
sr_serve (const struct sr_settings *settings)
{
  struct sr_instance *instance;
  int status = EXIT_FAILED;

  signal (SIGPIPE, SIG_IGN);
  sr_drain_block_signals ();
  instance = sr_instance_new (settings);
  if (instance == NULL || !sr_instance_start (instance))
    goto out;
  sr_log (G_LOG_LEVEL_MESSAGE, "start", "listening on %s:%u, peers on %u",
          settings->listen_address->str, settings->entry_port, settings->peer_port);
  /* What is left may still be in use: the process ends around it. */
  if (!run_until_stopped_ (instance))
    return EXIT_FAILED;
  status = EXIT_OK;

out:
  sr_instance_delete (instance);
  return status;
}

/* Waits for a signal and stops in order. Returns whether nothing was left when the stop ended. */
static bool
run_until_stopped_ (struct sr_instance *instance)
{
  struct sr_drain_options options = { .vtable = &drain_vtable,
                                      .data = instance,
                                      .leave_ms = LEAVE_MS,
                                      .limit_s = instance->settings->stop_limit_s };
  struct sr_drain *drain = sr_drain_new (&options);
  bool clean;

  clean = sr_drain_run (drain);
  sr_drain_delete (drain);
  return clean;
}

static void
leave_ (void *data)
{
  struct sr_instance *instance = data;

  atomic_store (&instance->stopping, true);
  sr_entry_set_ready (instance->entry, false);
  sr_members_set_leaving (instance->members);
}

static void
close_ (void *data)
{
  struct sr_instance *instance = data;

  sr_entry_close_listener (instance->entry);
}

static unsigned
in_progress_ (void *data)
{
  struct sr_instance *instance = data;

  return sr_run_table_in_progress (instance->table) + sr_entry_open_requests (instance->entry);
}

static bool
hand_over_bills_ (int64_t end_us, void *data)
{
  struct sr_instance *instance = data;
  bool bills = sr_bills_hand_over (instance->bills, end_us);

  return sr_order_upkeep_hand_over (instance->order_upkeep, end_us) && bills;
}

static bool
hand_over_budgets_ (int64_t end_us, void *data)
{
  struct sr_instance *instance = data;

  return sr_budgets_hand_over (instance->budgets, end_us);
}
