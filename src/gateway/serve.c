#include "gateway/serve-private.h"

#include "base/counters.h"
#include "base/event-log.h"
#include "gateway/exchange.h"
#include "gateway/probe.h"
#include "gateway/stop.h"
#include "gateway/upstream.h"

#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <xxhash.h>

enum
{
  GOSSIP_INTERVAL_MS
  = 500, /* several repetitions in the two seconds in which a change must be in force */
  INSTANCES_PAUSE_MS
  = 1000, /* instances start together, and each announcement would end the watches of all others */
  INCARNATION_ERA_SHIFT = 40, /* bits of an incarnation below its era, which hold the revision:
                               * enough for a million changes per second for days */
  ANNOUNCE_RETRY_MS = 100,
  STOP_CHECK_INTERVAL_MS = 50
};

#define KIND_INSTANCES "sapphirerun-instances"

static bool start_ (struct gateway *gateway);
static void open_watchers_ (struct gateway *gateway);
static void handle_signals_ (struct gateway *gateway);
static void on_announcement_read_ (const struct store_result *result, void *data);
static bool announcement_is_current_ (const struct gateway *gateway, json_t *content);
static json_t *new_announcement_ (const struct gateway *gateway);
static void on_announced_ (const struct store_result *result, void *data);
static void on_announce_timer_ (uv_timer_t *timer);
static void finish_announcement_ (struct gateway *gateway, const struct store_object *object);
static void open_allotments_ (struct gateway *gateway, uint64_t incarnation);
static unsigned respond_readiness_ (const char *path, GString *body, void *data);
static unsigned respond_metrics_ (const char *path, GString *body, void *data);
static bool link_is_overloaded_ (struct gw_link_load *link);
static bool is_ready_ (const struct gateway *gateway);
static void on_stop_signal_ (uv_signal_t *handle, int number);
static void on_hang_up_ (uv_signal_t *handle, int number);
static bool callers_compete_ (const struct gateway *gateway, const struct gw_settings *settings);
static struct net_memory_limits memory_limits_from_settings_ (const struct gw_settings *settings);
static struct gw_retry_budget_options
retry_options_from_settings_ (const struct gw_settings *settings);
static void on_withdrawn_ (const struct store_result *result, void *data);
static void on_stop_timer_ (uv_timer_t *timer);

static const struct allotment_link_vtable link_vtable_ = {
  .read_record = gateway_read_record_,
  .write_record = gateway_write_record_,
  .send_loan_request = gateway_send_loan_request_,
  .send_loan_reply = gateway_send_loan_reply_,
  .real_time = gateway_get_real_time_bounds_,
};

/* Runs a gateway until SIGTERM or SIGINT. Returns the exit code of the process. */
int
gw_serve (const struct gw_settings *settings,
          const char *settings_path,
          const struct gw_platform *platform)
{
  struct gateway *gateway;
  sigset_t signals;
  int code = 1;

  /* Signals that arrive before the loop runs stay pending. */
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGHUP);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  net_memory_configure_heap ();
  if (!sr_event_log_start (settings->name->str))
    return 1;
  gateway = g_new0 (struct gateway, 1); /* never freed: its loop keeps open handles */
  gateway->link_vtable = &link_vtable_;
  gateway->settings = settings;
  gateway->settings_path = settings_path;
  gateway->platform = platform;
  uv_loop_init (&gateway->loop);
  if (start_ (gateway))
    {
      sr_event (SR_EVENT_INFO, "started", "{s:s,s:s}", "data_centre", settings->data_centre->str,
                "store", settings->store_host->str);
      pthread_sigmask (SIG_UNBLOCK, &signals, NULL);
      uv_run (&gateway->loop, UV_RUN_DEFAULT);
      sr_event (SR_EVENT_INFO, "stopped", "{s:i,s:i,s:b}", "unfinished",
                (int)gateway->context.exchanges, "finishing", (int)net_http_finished_count (),
                "tokens_returned",
                gateway->context.allotments == NULL
                    || allotment_manager_has_returned_all (gateway->context.allotments));
      code = 0;
    }
  sr_event_log_stop ();
  return code;
}

/* Returns the retry budget of SERVICE, which is created on first use. */
struct gw_retry_budget *
gw_context_retry_budget (struct gw_context *context, const char *service)
{
  struct gw_retry_budget *budget = g_hash_table_lookup (context->retry_budgets, service);

  if (budget == NULL)
    {
      budget = g_new0 (struct gw_retry_budget, 1);
      gw_retry_budget_init (budget, &context->retry_options, context->started_us,
                            g_get_monotonic_time ());
      g_hash_table_insert (context->retry_budgets, g_strdup (service), budget);
    }
  return budget;
}

/* Returns the precedence among requests to SERVICE, which is created on first use. */
struct gw_precedence *
gw_context_precedence (struct gw_context *context, const char *service)
{
  struct gw_precedence *precedence = g_hash_table_lookup (context->precedences, service);

  if (precedence == NULL)
    {
      precedence = gw_precedence_new (g_get_monotonic_time ());
      g_hash_table_insert (context->precedences, g_strdup (service), precedence);
    }
  return precedence;
}

static bool
start_ (struct gateway *gateway)
{
  const struct gw_settings *settings = gateway->settings;
  const struct net_memory_limits limits = memory_limits_from_settings_ (settings);
  struct gw_context *context = &gateway->context;
  const struct mesh_options mesh = {
    .loop = &gateway->loop,
    .address = settings->peer_address,
    .instance = settings->name->str,
    .data = gateway,
    .on_loan_request = gateway_on_loan_request_,
    .on_loan_reply = gateway_on_loan_reply_,
    .on_update = gateway_on_peer_update_,
    .on_update_request = gateway_fill_update_,
    .on_replaced = gateway_on_backend_replaced_,
    .on_leaving = gateway_on_peer_reported_leaving_,
    .on_time = gateway_on_peer_time_,
    .on_part_reports = gateway_on_part_reports_,
    .on_part_reports_request = gateway_fill_part_reports_,
  };
  struct gw_probe_options probe = { .loop = &gateway->loop,
                                    .address = settings->ready_address,
                                    .connections_max = limits.status_max,
                                    .data = gateway,
                                    .respond = respond_readiness_ };
  uv_timer_t *timers[]
      = { &gateway->allotment_timer,    &gateway->gossip_timer,    &gateway->lease_timer,
          &gateway->config_guard_timer, &gateway->announce_timer,  &gateway->stop_timer,
          &gateway->cancel_timer,       &gateway->quarantine_timer };

  gw_exchange_register_metrics ();
  gw_upstream_register_metrics ();
  gateway_register_update_metrics_ ();
  context->started_us = g_get_monotonic_time ();
  context->loop = &gateway->loop;
  context->announce_replaced = gateway_announce_replaced_;
  context->dialect = gateway->platform->dialect;
  context->data_centre = settings->data_centre->str;
  context->backends = gw_backends_new ();
  gw_backends_set_leaving_func (context->backends, gateway_on_backend_leaving_, gateway);
  context->retry_budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  context->precedences = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                (GDestroyNotify)gw_precedence_delete);
  context->retry_options = retry_options_from_settings_ (settings);
  context->instances = 1;
  gw_link_load_init (&context->link, settings->link_megabits_per_s);
  net_memory_account_init (&context->account, &limits);
  context->part_cache_lifetime_us = (int64_t)(settings->part_memory_s * G_USEC_PER_SEC);
  context->backend_leave_limit_us = (int64_t)settings->leave_ms * GATEWAY_US_PER_MS;
  context->callers_compete = callers_compete_ (gateway, settings);
  context->refuses_early = context->callers_compete && settings->refuses_early;
  context->paces_backends = settings->paces_backends;
  context->instance_hash = XXH3_64bits (settings->name->str, settings->name->len);
  gateway->leaving_instances = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  context->cold_start = gw_cold_start_new (settings->name->str);
  gw_cold_start_set_limits (context->cold_start, settings->cold_overage, settings->cold_slack);
  context->random = g_rand_new ();
  gateway_open_quarantine_ (gateway);
  for (size_t i = 0; i < G_N_ELEMENTS (timers); i++)
    {
      uv_timer_init (&gateway->loop, timers[i]);
      timers[i]->data = gateway;
    }
  gateway->clock = fleet_clock_new ();
  gateway->mesh = mesh_new (&mesh);
  gateway->ingress = gw_ingress_new (context, &settings->entry_address);
  if (gateway->mesh == NULL || gateway->ingress == NULL || !gw_probe_listen (&probe))
    return false;
  probe.address = settings->metrics_address;
  probe.respond = respond_metrics_;
  if (!gw_probe_listen (&probe))
    return false;
  handle_signals_ (gateway);

  open_watchers_ (gateway);
  g_snprintf (gateway->nonce, sizeof gateway->nonce, "%08x%08x", g_rand_int (context->random),
              g_rand_int (context->random));
  gateway_announce_ (gateway);
  uv_timer_start (&gateway->gossip_timer, gateway_on_gossip_timer_, GOSSIP_INTERVAL_MS,
                  GOSSIP_INTERVAL_MS);
  gateway_on_quarantine_timer_ (&gateway->quarantine_timer);
  return true;
}

/* Opens the store, and follows its objects. */
static void
open_watchers_ (struct gateway *gateway)
{
  struct watcher_options watch
      = { .loop = &gateway->loop, .wait_max_ms = GATEWAY_WATCH_MIN_MS, .data = gateway };

  gateway->store = gateway->platform->open_store (&gateway->loop, gateway->settings);
  store_on_restored (gateway->store, gateway_on_restored_, gateway);
  watch.store = gateway->store;
  watch.kind = gateway->platform->backend_kind;
  watch.listed = gateway_on_backends_listed_;
  watch.pause_ms = GATEWAY_BACKENDS_PAUSE_MIN_MS;
  watch.checked = gateway_on_backends_checked_;
  watch.changed = gateway_on_backends_changed_;
  watch.reachable = gateway_on_backends_reachable_;
  gateway->backends_watcher = watcher_new (&watch);
  watch.leader = gateway->backends_watcher;
  gateway_open_evacuations_ (gateway, &watch);
  watch.reachable = NULL;
  watch.checked = NULL;
  watch.kind = gateway->platform->configuration_kind;
  watch.listed = watch.changed = gateway_on_routes_;
  watch.pause_ms = GATEWAY_ROUTES_PAUSE_MIN_MS;
  gateway->routes_watcher = watcher_new (&watch);
  watch.kind = KIND_INSTANCES;
  watch.wait_max_ms = GATEWAY_WATCH_MAX_MS;
  watch.pause_ms = INSTANCES_PAUSE_MS;
  watch.listed = gateway_on_instances_listed_;
  watch.changed = gateway_on_instances_changed_;
  gateway->instances_watcher = watcher_new (&watch);
  watcher_start (gateway->routes_watcher);
  watcher_start (gateway->backends_watcher);
}

static void
handle_signals_ (struct gateway *gateway)
{
  uv_signal_init (&gateway->loop, &gateway->term);
  uv_signal_init (&gateway->loop, &gateway->interrupt);
  uv_signal_init (&gateway->loop, &gateway->hang_up);
  gateway->term.data = gateway->interrupt.data = gateway->hang_up.data = gateway;
  uv_signal_start (&gateway->term, on_stop_signal_, SIGTERM);
  uv_signal_start (&gateway->interrupt, on_stop_signal_, SIGINT);
  uv_signal_start (&gateway->hang_up, on_hang_up_, SIGHUP);
}

/* Writes this instance's announcement to the store, unless the store has a current one. The
 * revision of the first write determines the incarnation, see gateway_incarnation_; if a restore
 * loses the announcement, it is written again with the same incarnation. */
void
gateway_announce_ (struct gateway *gateway)
{
  if (gateway->announcing || gateway->context.stopping)
    return;
  gateway->announcing = true;
  store_read (gateway->store, KIND_INSTANCES, gateway->settings->name->str, on_announcement_read_,
              gateway);
}

/* Announces to peers, once per era, that the restored store has all tokens held here in its
 * records. */
void
gateway_announce_merged_ (struct gateway *gateway)
{
  if (gateway->store->era <= STORE_ERA_FIRST || gateway->merged_era == gateway->store->era
      || !allotment_manager_is_merged (gateway->context.allotments))
    return;
  gateway->merged_era = gateway->store->era;
  gateway_announce_ (gateway);
}

/* Returns true if CONTENT, which may be NULL, is this process's announcement and up to date. */
static bool
announcement_is_current_ (const struct gateway *gateway, json_t *content)
{
  const char *nonce = json_string_value (json_object_get (content, "nonce"));
  json_int_t merged_era = json_integer_value (json_object_get (content, FIELD_MERGED_ERA));

  return nonce != NULL && strcmp (nonce, gateway->nonce) == 0
         && (gateway->merged_era == 0 || merged_era == gateway->merged_era);
}

/* Returns the incarnation of the process that wrote the announcement OBJECT. It is higher than that
 * of any earlier start of the instance, including one whose announcement was lost in a restore. */
uint64_t
gateway_incarnation_ (const struct gateway *gateway, const struct store_object *object)
{
  json_int_t incarnation = json_integer_value (json_object_get (object->content, "incarnation"));

  if (incarnation > 0)
    return (uint64_t)incarnation;
  return ((uint64_t)gateway->store->era << INCARNATION_ERA_SHIFT) + (uint64_t)object->revision;
}

static void
on_announcement_read_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;
  const struct gw_settings *settings = gateway->settings;
  json_t *content;

  if (gateway->context.stopping)
    return;
  if (result->status != STORE_OK && result->status != STORE_ABSENT)
    {
      uv_timer_start (&gateway->announce_timer, on_announce_timer_, ANNOUNCE_RETRY_MS, 0);
      return;
    }
  if (result->status == STORE_OK && announcement_is_current_ (gateway, result->objects[0].content))
    {
      finish_announcement_ (gateway, &result->objects[0]);
      return;
    }
  content = new_announcement_ (gateway);
  store_write (gateway->store, KIND_INSTANCES, settings->name->str, content,
               result->status == STORE_OK ? result->objects[0].revision : 0, on_announced_,
               gateway);
  json_decref (content);
}

static json_t *
new_announcement_ (const struct gateway *gateway)
{
  const struct gw_settings *settings = gateway->settings;
  int64_t up_us = g_get_monotonic_time () - gateway->context.started_us;
  json_t *content = json_pack (
      "{s:s,s:i,s:s,s:s,s:b,s:I}", "address", settings->address->str, "peer_port",
      (int)settings->peer_port, "data_centre", settings->data_centre->str, "nonce", gateway->nonce,
      "leaving", gateway->context.stopping, "up_ms", (json_int_t)(up_us / GATEWAY_US_PER_MS));

  if (gateway->incarnation != 0)
    json_object_set_new (content, "incarnation", json_integer ((json_int_t)gateway->incarnation));
  if (gateway->merged_era != 0)
    json_object_set_new (content, FIELD_MERGED_ERA, json_integer ((json_int_t)gateway->merged_era));
  return content;
}

static void
on_announced_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;

  if (result->status == STORE_OK && result->n_objects == 1)
    finish_announcement_ (gateway, &result->objects[0]);
  else
    uv_timer_start (&gateway->announce_timer, on_announce_timer_, ANNOUNCE_RETRY_MS, 0);
}

static void
on_announce_timer_ (uv_timer_t *timer)
{
  struct gateway *gateway = timer->data;

  gateway->announcing = false;
  gateway_announce_ (gateway);
}

/* The store has OBJECT as the announcement. */
static void
finish_announcement_ (struct gateway *gateway, const struct store_object *object)
{
  gateway->announcing = false;
  gateway->announced_revision = object->revision;
  if (!gateway->announced)
    open_allotments_ (gateway, gateway_incarnation_ (gateway, object));
  else if (!announcement_is_current_ (gateway, object->content))
    gateway_announce_ (gateway);
}

static void
open_allotments_ (struct gateway *gateway, uint64_t incarnation)
{
  const struct allotment_manager_options options = {
    .link = gateway,
    .instance = gateway->settings->name->str,
    .data_centre = gateway->settings->data_centre->str,
    .incarnation = incarnation,
    .started_us = gateway->context.started_us,
    .restored_us = gateway->store->era > STORE_ERA_FIRST ? g_get_monotonic_time () : 0,
  };

  gateway->announced = true;
  gateway->incarnation = incarnation;
  sr_event (SR_EVENT_INFO, "announced", "{s:I}", "incarnation", (json_int_t)incarnation);
  gateway->context.allotments = allotment_manager_new (&options);
  gateway_set_team_totals_ (gateway);
  watcher_start (gateway->instances_watcher);
  gateway_on_allotment_timer_ (&gateway->allotment_timer);
}

static unsigned
respond_readiness_ (const char *path, GString *body, void *data)
{
  struct gateway *gateway = data;
  bool ready = is_ready_ (gateway) && !link_is_overloaded_ (&gateway->context.link);

  g_string_append (body, ready ? "ready\n" : "not ready\n");
  return ready ? 200 : 503;
}

static unsigned
respond_metrics_ (const char *path, GString *body, void *data)
{
  struct gateway *gateway = data;

  if (strcmp (path, "/blocked-prompt-parts") == 0)
    {
      quarantine_print (gateway->context.quarantine, body, g_get_monotonic_time ());
      return 200;
    }
  if (strcmp (path, "/metrics") != 0)
    return 404;
  gw_ingress_update_metrics (gateway->ingress);
  sr_counters_print (body);
  return 200;
}

/* Returns true while this instance's link is overloaded: it is then not ready, as new callers are
 * better served by other instances. Logs each change. */
static bool
link_is_overloaded_ (struct gw_link_load *link)
{
  bool before = link->overloaded;

  gw_link_load_note_traffic (link, net_traffic (), g_get_monotonic_time ());
  if (gw_link_load_is_overloaded (link, g_get_monotonic_time ()) != before)
    sr_event (before ? SR_EVENT_INFO : SR_EVENT_WARNING,
              before ? "link_recovered" : "link_overloaded", "{s:f}", "share",
              gw_link_load_share (link));
  return link->overloaded;
}

/* A store outage does not make an instance unready: all instances would become unready at once. */
static bool
is_ready_ (const struct gateway *gateway)
{
  return gateway->context.routes != NULL && gateway->backends_listed && gateway->announced
         && !gateway->context.stopping
         && (gateway->context.evacuation == NULL
             || evacuation_is_known (gateway->context.evacuation));
}

static void
on_stop_signal_ (uv_signal_t *handle, int number)
{
  struct gateway *gateway = handle->data;

  if (gateway->context.stopping)
    return;
  gateway->context.stopping = true;
  gateway->stop_started_us = g_get_monotonic_time ();
  gateway->context.stopping_since_us = gateway->stop_started_us;
  gateway->context.stop_by_us
      = gateway->stop_started_us
        + ((int64_t)gateway->settings->stop_limit_s * 1000 - GW_STOP_MARGIN_MS) * GATEWAY_US_PER_MS;
  sr_event (SR_EVENT_INFO, "stopping", "{s:i,s:i,s:i}", "signal", number, "requests",
            (int)gateway->context.exchanges, "connections",
            (int)gw_ingress_connection_count (gateway->ingress));
  uv_timer_start (&gateway->stop_timer, on_stop_timer_, STOP_CHECK_INTERVAL_MS,
                  STOP_CHECK_INTERVAL_MS);
  if (gateway->context.allotments != NULL)
    {
      json_t *content = new_announcement_ (gateway);

      store_write (gateway->store, KIND_INSTANCES, gateway->settings->name->str, content,
                   gateway->announced_revision, on_withdrawn_, NULL);
      json_decref (content);
      allotment_manager_drain (gateway->context.allotments, gateway->stop_started_us);
    }
}

/* Reloads the settings. Limits and ratios take effect at once; names and addresses need a restart.
 * Invalid settings change nothing. */
static void
on_hang_up_ (uv_signal_t *handle, int number)
{
  struct gateway *gateway = handle->data;
  struct gw_context *context = &gateway->context;
  struct sr_findings *findings = sr_findings_new ();
  struct gw_settings *settings = gw_settings_load (gateway->settings_path, findings);
  struct net_memory_limits limits;
  GHashTableIter iter;
  void *budget;

  if (settings == NULL)
    sr_event (SR_EVENT_WARNING, "settings_refused", "{s:i,s:s,s:s,s:s}", "findings",
              (int)sr_findings_count (findings), "section",
              sr_findings_get (findings, 0)->section->str, "key",
              sr_findings_get (findings, 0)->key->str, "reason",
              sr_findings_get (findings, 0)->message->str);
  else
    {
      context->retry_options = retry_options_from_settings_ (settings);
      g_hash_table_iter_init (&iter, context->retry_budgets);
      while (g_hash_table_iter_next (&iter, NULL, &budget))
        ((struct gw_retry_budget *)budget)->options = context->retry_options;
      gw_link_load_init (&context->link, settings->link_megabits_per_s);
      limits = memory_limits_from_settings_ (settings);
      net_memory_account_set_limits (&context->account, &limits);
      context->part_cache_lifetime_us = (int64_t)(settings->part_memory_s * G_USEC_PER_SEC);
      context->backend_leave_limit_us = (int64_t)settings->leave_ms * GATEWAY_US_PER_MS;
      context->callers_compete = callers_compete_ (gateway, settings);
      context->refuses_early = context->callers_compete && settings->refuses_early;
      context->paces_backends = settings->paces_backends;
      gw_cold_start_set_limits (context->cold_start, settings->cold_overage, settings->cold_slack);
      gateway_set_exempt_parts_ (gateway, settings);
      sr_event (SR_EVENT_INFO, "settings_reloaded", "{s:f,s:i,s:f}", "retry_ratio",
                settings->retry_ratio, "retry_extra", (int)settings->retry_extra, "link_mbps",
                settings->link_megabits_per_s);
    }
  gw_settings_delete (settings);
  sr_findings_delete (findings);
}

static bool
callers_compete_ (const struct gateway *gateway, const struct gw_settings *settings)
{
  return settings->callers_compete || gateway->platform->callers_compete (settings->contracts);
}

static struct net_memory_limits
memory_limits_from_settings_ (const struct gw_settings *settings)
{
  return net_memory_limits (settings->memory_mb, net_memory_descriptors (settings->descriptors));
}

static struct gw_retry_budget_options
retry_options_from_settings_ (const struct gw_settings *settings)
{
  return (struct gw_retry_budget_options){
    .ratio = settings->retry_ratio,
    .extra = settings->retry_extra,
    .window_us = (int64_t)settings->retry_window_s * 1000 * GATEWAY_US_PER_MS,
  };
}

/* The announcement has been marked as leaving or removed. A failure is only logged: peers then send
 * occasional requests that get no reply. */
static void
on_withdrawn_ (const struct store_result *result, void *data)
{
  if (result->status != STORE_OK)
    sr_event (SR_EVENT_WARNING, "announcement_left", "{s:s}", "status",
              store_status_to_string (result->status));
}

/* Checks the progress of the stop and takes its next step. */
static void
on_stop_timer_ (uv_timer_t *timer)
{
  struct gateway *gateway = timer->data;
  struct allotment_manager *allotments = gateway->context.allotments;
  int64_t now_us = g_get_monotonic_time ();
  const struct gw_stop_state state = {
    .elapsed_ms = (now_us - gateway->stop_started_us) / GATEWAY_US_PER_MS,
    .limit_ms = (int64_t)gateway->settings->stop_limit_s * 1000,
    .requests = (unsigned)gateway->context.exchanges + net_http_unsent_count (),
    .connections = gw_ingress_connection_count (gateway->ingress),
    .finishing = net_http_finished_count (),
    .is_returning_tokens = gateway->returning_tokens,
    .is_listening = gw_ingress_is_listening (gateway->ingress),
    .has_tokens = allotments != NULL && !allotment_manager_has_returned_all (allotments),
  };

  switch (gw_stop_next (&state))
    {
    case GW_STOP_SERVE:
      break;
    case GW_STOP_CLOSE_IDLE:
      gw_ingress_close_idle (gateway->ingress);
      break;
    case GW_STOP_RETURN_TOKENS:
      gw_ingress_close_idle (gateway->ingress);
      if (gateway->returning_tokens)
        break;
      gateway->returning_tokens = true;
      if (gateway->announced)
        store_remove (gateway->store, KIND_INSTANCES, gateway->settings->name->str, on_withdrawn_,
                      NULL);
      if (allotments != NULL)
        allotment_manager_stop (allotments, now_us);
      break;
    case GW_STOP_CLOSE_LISTENER:
      gw_ingress_stop_listening (gateway->ingress);
      gw_ingress_close_idle (gateway->ingress);
      break;
    case GW_STOP_END:
      gw_ingress_stop_listening (gateway->ingress);
      if (gateway->context.exchanges > 0)
        {
          gw_ingress_end_requests (gateway->ingress); /* sent until the next check */
          break;
        }
      /* The loop polls once more after uv_stop: no connection may be left to read a request from.
       */
      gw_ingress_close_all (gateway->ingress);
      net_http_reset_unsent ();
      uv_stop (&gateway->loop);
      break;
    }
}
