#include "gateway/end-detector.h"
#include "gateway/exchange.h"
#include "gateway/serve-private.h"

#include <string.h>
#include <xxhash.h>

static unsigned trial_rank_ (uint64_t part, void *data);
static void announce_ (const struct quarantine_report *reports, unsigned n_reports, void *data);
static void on_blocked_ (uint64_t part, void *data);
static void on_cancel_timer_ (uv_timer_t *timer);
static bool is_contradicted_ (const struct gateway *gateway,
                              const struct quarantine_report *report);

/* Creates the quarantine of prompt parts and what feeds it. */
void
gateway_open_quarantine_ (struct gateway *gateway)
{
  const struct quarantine_options options = {
    .trial_rank = trial_rank_,
    .announce = announce_,
    .blocked = on_blocked_,
    .data = gateway,
  };

  quarantine_register_metrics ();
  g_queue_init (&gateway->context.unanswered);
  gateway->context.quarantine = quarantine_new (&options);
  gateway->context.end_detector = end_detector_new (&gateway->context);
  gateway_set_exempt_parts_ (gateway, gateway->settings);
}

/* Sets the parts that the operator has exempted in SETTINGS. */
void
gateway_set_exempt_parts_ (struct gateway *gateway, const struct gw_settings *settings)
{
  const GArray *parts = settings->never_blocked_parts;

  quarantine_set_exempt (gateway->context.quarantine, (const uint64_t *)(const void *)parts->data,
                         parts->len);
}

/* Merges the reports of a peer. */
void
gateway_on_part_reports_ (const struct quarantine_report *reports, unsigned n_reports, void *data)
{
  struct gateway *gateway = data;
  struct quarantine_report accepted[MESH_PART_REPORTS_MAX];
  unsigned n_accepted = 0;

  g_assert (n_reports <= MESH_PART_REPORTS_MAX);
  for (unsigned i = 0; i < n_reports; i++)
    if (!is_contradicted_ (gateway, &reports[i]))
      accepted[n_accepted++] = reports[i];
  quarantine_merge (gateway->context.quarantine, accepted, n_accepted, g_get_monotonic_time ());
}

/* A peer requests what this instance knows: sets up to MAX REPORTS, and returns their number. */
unsigned
gateway_fill_part_reports_ (struct quarantine_report *reports, unsigned max, void *data)
{
  struct gateway *gateway = data;

  return quarantine_reports (gateway->context.quarantine, true, reports, max,
                             g_get_monotonic_time ());
}

/* Repeats reports to a few peers; to be called regularly. */
void
gateway_repeat_part_reports_ (struct gateway *gateway)
{
  struct quarantine_report reports[MESH_PART_REPORTS_MAX];
  unsigned n = quarantine_reports (gateway->context.quarantine, false, reports,
                                   MESH_PART_REPORTS_MAX, g_get_monotonic_time ());

  if (n > 0)
    mesh_repeat_part_reports (gateway->mesh, reports, n, gateway->context.random);
}

/* Ranks the instances by rendezvous hashing, so that they agree without communication. */
static unsigned
trial_rank_ (uint64_t part, void *data)
{
  const struct gateway *gateway = data;
  g_autoptr (GPtrArray) names = mesh_peer_names (gateway->mesh);
  const GString *own_name = gateway->settings->name;
  uint64_t own = XXH3_64bits_withSeed (own_name->str, own_name->len, part);
  unsigned rank = 0;

  for (unsigned i = 0; i < names->len; i++)
    {
      const char *name = names->pdata[i];

      if (!g_hash_table_contains (gateway->leaving_instances, name)
          && XXH3_64bits_withSeed (name, strlen (name), part) > own)
        rank++;
    }
  return rank;
}

static void
announce_ (const struct quarantine_report *reports, unsigned n_reports, void *data)
{
  struct gateway *gateway = data;

  mesh_announce_part_reports (gateway->mesh, reports, n_reports, gateway->context.random);
}

/* The requests are cancelled by a timer, as the caller may be a request itself. */
static void
on_blocked_ (uint64_t part, void *data)
{
  struct gateway *gateway = data;

  uv_timer_start (&gateway->cancel_timer, on_cancel_timer_, 0, 0);
}

static void
on_cancel_timer_ (uv_timer_t *timer)
{
  struct gateway *gateway = timer->data;

  gw_exchange_cancel_blocked (&gateway->context);
}

/* Returns whether this instance has an open connection to the process that is reported to have
 * ended. */
static bool
is_contradicted_ (const struct gateway *gateway, const struct quarantine_report *report)
{
  const struct gw_backend *backend;

  if (report->kind != QUARANTINE_ENDED || report->started_ms == 0)
    return false;
  backend = gw_backends_find (gateway->context.backends, report->backend);
  return backend != NULL && backend->facts.started_ms == report->started_ms
         && backend->open_connections > 0;
}
