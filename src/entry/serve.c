#include "entry/serve.h"

#include "audit/audit-instance.h"
#include "base/log.h"
#include "drain/drain.h"
#include "entry/instance.h"
#include "net/memory-account.h"

#include <signal.h>

enum
{
  EXIT_OK = 0,
  EXIT_FAILED = 1,
  LEAVE_MS = 500, /* from reporting not ready until the listener closes */
  US_PER_MS = 1000,
  AUDIT_TIMEOUT_US = 500000 /* of one audit entry, so that it can't delay the stop */
};

static bool run_until_stopped_ (struct sr_instance *instance);
static void leave_ (void *data);
static void close_ (void *data);
static unsigned in_progress_ (void *data);
static void write_audit_ (struct sr_instance *instance,
                          enum sr_audit_type type,
                          const char *detail,
                          int64_t when_ms);
static bool hand_over_bills_ (int64_t end_us, void *data);
static bool hand_over_budgets_ (int64_t end_us, void *data);

static const struct sr_drain_vtable drain_vtable = {
  .leave = leave_,
  .close = close_,
  .in_progress = in_progress_,
  .hand_over_bills = hand_over_bills_,
  .hand_over_budgets = hand_over_budgets_,
};

/* Runs an instance with SETTINGS until SIGTERM or SIGINT, then stops it gracefully. Returns the
 * exit status of the process: 0 after a complete stop, 1 when the instance could not start, or the
 * stop ended with requests or bills left. Tokens left behind are only logged and audited. */
int
sr_serve (const struct sr_settings *settings)
{
  struct sr_instance *instance;
  int status = EXIT_FAILED;

  signal (SIGPIPE, SIG_IGN);
  net_memory_configure_heap ();
  sr_drain_block_signals ();
  instance = sr_instance_new (settings);
  if (instance == NULL || !sr_instance_start (instance))
    goto out;
  sr_log (G_LOG_LEVEL_MESSAGE, "start", "listening on %s:%u, peers on %u",
          settings->listen_address->str, settings->entry_port, settings->peer_port);
  /* Nothing is freed after an incomplete stop: threads may still use it until the process exits. */
  if (!run_until_stopped_ (instance))
    return EXIT_FAILED;
  status = EXIT_OK;

out:
  sr_instance_delete (instance);
  return status;
}

/* Waits for a signal and stops gracefully. Returns whether all requests were finished and all
 * bills handed over in time. */
static bool
run_until_stopped_ (struct sr_instance *instance)
{
  struct sr_drain_options options = { .vtable = &drain_vtable,
                                      .data = instance,
                                      .leave_ms = LEAVE_MS,
                                      .limit_s = instance->settings->stop_limit_s };
  struct sr_drain *drain = sr_drain_new (&options);
  bool is_clean;

  is_clean = sr_drain_run (drain);
  sr_drain_delete (drain);
  return is_clean;
}

static void
leave_ (void *data)
{
  struct sr_instance *instance = data;

  instance->stop_began_ms = g_get_real_time () / US_PER_MS;
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
  bool bills_done;

  write_audit_ (instance, SR_AUDIT_LEAVING, "", instance->stop_began_ms);
  bills_done = sr_bills_flush (instance->bills, end_us);
  return sr_order_maintenance_flush (instance->order_maintenance, end_us) && bills_done;
}

static bool
hand_over_budgets_ (int64_t end_us, void *data)
{
  struct sr_instance *instance = data;
  bool budgets_done = sr_budgets_return_all (instance->budgets, end_us);

  write_audit_ (instance, SR_AUDIT_STOP, budgets_done ? "all handed over" : "tokens were left",
                g_get_real_time () / US_PER_MS);
  return budgets_done;
}

/* Writes an audit entry about this instance. When the platform does not respond, the entry is
 * missing and the stop continues. */
static void
write_audit_ (struct sr_instance *instance,
              enum sr_audit_type type,
              const char *detail,
              int64_t when_ms)
{
  if (sr_audit_write_instance (instance->platform, type, instance->settings->name->str,
                               instance->incarnation, detail, when_ms,
                               g_get_monotonic_time () + AUDIT_TIMEOUT_US)
      != SR_PLATFORM_OK)
    sr_log (G_LOG_LEVEL_WARNING, "audit", "could not write audit entry: %s",
            sr_audit_type_to_string (type));
}
