#include "base/event-log.h"
#include "gateway/end-detector.h"
#include "gateway/exchange.h"
#include "gateway/serve-private.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  STORE_INTERVAL_MS = 1000,
  SILENCE_MS = 3000, /* without a datagram: no peer is reached, as each repeats its updates */
  READ_MS_PER_INSTANCE = 250, /* multiplied by the number of instances: between two reads */
  READ_MIN_MS = 2000,
  AGE_MAX_MS = 86400000 /* of an end that was saved; older ones count as this old */
};

#define KIND_QUARANTINE "sapphirerun-quarantine"

static unsigned trial_rank_ (uint64_t part, void *data);
static void announce_ (const struct quarantine_report *reports, unsigned n_reports, void *data);
static void on_blocked_ (uint64_t part, void *data);
static void on_cancel_timer_ (uv_timer_t *timer);
static void save_ (struct gateway *gateway, const struct quarantine_report *reports, unsigned n);
static void on_saved_ (const struct store_result *result, void *data);
static bool needs_read_ (const struct gateway *gateway, int64_t now_us);
static void on_read_ (const struct store_result *result, void *data);
static void on_removed_ (const struct store_result *result, void *data);
static json_t *encode_report_ (const struct quarantine_report *report, int64_t now_us);
static bool decode_report_ (const json_t *value, struct quarantine_report *report, int64_t now_us);
static bool decode_hex_ (const json_t *value, uint64_t *number);
static json_t *encode_hex_ (uint64_t number);
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

/* Saves blocked parts in the store, and reads them at the start and while no peer is reached. */
void
gateway_on_quarantine_timer_ (uv_timer_t *timer)
{
  struct gateway *gateway = timer->data;
  int64_t now_us = g_get_monotonic_time ();
  struct quarantine_report reports[QUARANTINE_ENDS_MAX];
  unsigned n = quarantine_take_unsaved (gateway->context.quarantine, reports, now_us);

  if (n > 0)
    save_ (gateway, reports, n);
  if (needs_read_ (gateway, now_us))
    {
      gateway->quarantine_read_us = now_us;
      store_list (gateway->store, KIND_QUARANTINE, on_read_, gateway);
    }
  uv_timer_start (timer, gateway_on_quarantine_timer_, STORE_INTERVAL_MS, 0);
}

/* A part to be saved in the store. */
struct save_call_
{
  struct gateway *gateway;
  uint64_t part;
};

/* The N reports on the ends of one part become an object of their own, so that nothing has to be
 * changed: whoever finds it written by another instance is done. */
static void
save_ (struct gateway *gateway, const struct quarantine_report *reports, unsigned n)
{
  int64_t now_us = g_get_monotonic_time ();
  struct save_call_ *call = g_new0 (struct save_call_, 1);
  g_autofree char *name = NULL;
  json_t *list = json_array ();
  json_t *content;

  for (unsigned i = 0; i < n; i++)
    json_array_append_new (list, encode_report_ (&reports[i], now_us));
  call->gateway = gateway;
  call->part = reports[0].part;
  name = g_strdup_printf ("%" G_GINT64_MODIFIER "x-%u", call->part, n);
  content = json_pack ("{s:o}", "reports", list);
  store_write (gateway->store, KIND_QUARANTINE, name, content, 0, on_saved_, call);
  json_decref (content);
}

static void
on_saved_ (const struct store_result *result, void *data)
{
  struct save_call_ *call = data;

  if (result->status != STORE_OK && result->status != STORE_CONFLICT)
    {
      sr_event (SR_EVENT_WARNING, "prompt_part_not_saved", "{s:o,s:s}", "part",
                encode_hex_ (call->part), "status", store_status_to_string (result->status));
      quarantine_set_unsaved (call->gateway->context.quarantine, call->part);
    }
  g_free (call);
}

static bool
needs_read_ (const struct gateway *gateway, int64_t now_us)
{
  int64_t interval_us
      = (int64_t)MAX (gateway->context.instances * READ_MS_PER_INSTANCE, (unsigned)READ_MIN_MS)
        * GATEWAY_US_PER_MS;

  if (gateway->context.store_outage_since_us != 0)
    return false;
  if (gateway->quarantine_read_us == 0)
    return true;
  return gateway->context.instances > 1
         && now_us - mesh_last_received_us (gateway->mesh) > SILENCE_MS * GATEWAY_US_PER_MS
         && now_us - gateway->quarantine_read_us > interval_us;
}

/* Merges what was saved. Objects whose parts may be tried again hold no more. */
static void
on_read_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;
  int64_t now_us = g_get_monotonic_time ();

  if (result->status != STORE_OK)
    {
      sr_event (SR_EVENT_WARNING, "prompt_parts_not_read", "{s:s}", "status",
                store_status_to_string (result->status));
      gateway->quarantine_read_us = 0;
      return;
    }
  for (size_t i = 0; i < result->n_objects; i++)
    {
      const json_t *list = json_object_get (result->objects[i].content, "reports");
      struct quarantine_report reports[QUARANTINE_ENDS_MAX];
      unsigned n = 0;
      size_t index;
      json_t *value;

      json_array_foreach (list, index, value) if (n < QUARANTINE_ENDS_MAX
                                                  && decode_report_ (value, &reports[n], now_us))
          n++;
      if (n == 0)
        sr_event (SR_EVENT_WARNING, "object_not_readable", "{s:s,s:s}", "object",
                  result->objects[i].name, "reason", "no valid reports on a prompt part");
      else if (quarantine_is_outdated (reports, n, now_us))
        store_remove (gateway->store, KIND_QUARANTINE, result->objects[i].name, on_removed_, NULL);
      else
        quarantine_merge (gateway->context.quarantine, reports, n, now_us);
    }
}

static void
on_removed_ (const struct store_result *result, void *data)
{
  if (result->status != STORE_OK && result->status != STORE_ABSENT)
    sr_event (SR_EVENT_WARNING, "prompt_part_not_removed", "{s:s}", "status",
              store_status_to_string (result->status));
}

/* Encodes a report on an end for the store, with the time of day. */
static json_t *
encode_report_ (const struct quarantine_report *report, int64_t now_us)
{
  int64_t ended_ms = (g_get_real_time () - (now_us - report->at_us)) / GATEWAY_US_PER_MS;

  return json_pack ("{s:o,s:o,s:I,s:o,s:i,s:b,s:I}", "part", encode_hex_ (report->part), "backend",
                    encode_hex_ (report->backend), "started_ms", (json_int_t)report->started_ms,
                    "team", encode_hex_ (report->team), "progress", (int)report->progress,
                    "answered_before", (int)report->survived_before, "ended_ms",
                    (json_int_t)ended_ms);
}

static bool
decode_report_ (const json_t *value, struct quarantine_report *report, int64_t now_us)
{
  json_int_t progress = json_integer_value (json_object_get (value, "progress"));
  json_int_t ended_ms = json_integer_value (json_object_get (value, "ended_ms"));
  int64_t age_ms = g_get_real_time () / GATEWAY_US_PER_MS - ended_ms;

  *report = (struct quarantine_report){ .kind = QUARANTINE_ENDED };
  if (!decode_hex_ (json_object_get (value, "part"), &report->part)
      || !decode_hex_ (json_object_get (value, "backend"), &report->backend)
      || !decode_hex_ (json_object_get (value, "team"), &report->team) || progress < 0
      || progress > QUARANTINE_BEGUN || ended_ms <= 0)
    return false;
  report->started_ms = json_integer_value (json_object_get (value, "started_ms"));
  report->progress = (enum quarantine_progress)progress;
  report->survived_before = json_is_true (json_object_get (value, "answered_before"));
  report->at_us = now_us - CLAMP (age_ms, 0, AGE_MAX_MS) * GATEWAY_US_PER_MS;
  return true;
}

static json_t *
encode_hex_ (uint64_t number)
{
  return json_sprintf ("%" G_GINT64_MODIFIER "x", number);
}

static bool
decode_hex_ (const json_t *value, uint64_t *number)
{
  const char *text = json_string_value (value);
  char *end;

  if (text == NULL || !g_ascii_isxdigit (*text))
    return false;
  *number = g_ascii_strtoull (text, &end, 16);
  return *end == '\0';
}
