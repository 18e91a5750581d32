#include "entry/serve.h"

#include "admit/admit.h"
#include "base/counters.h"
#include "base/log.h"
#include "bill/bill.h"
#include "budget/budget.h"
#include "config/watch.h"
#include "dispatch/dispatch.h"
#include "drain/drain.h"
#include "entry/entry.h"
#include "member/member.h"
#include "order/upkeep.h"
#include "peer/peer.h"
#include "platform/platform-http.h"
#include "request/run-peers.h"
#include "request/table.h"
#include "route/route.h"

#include <jansson.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <time.h>

enum
{
  EXIT_OK = 0,
  EXIT_FAILED = 1,
  US_PER_S = 1000000,
  NS_PER_MS = 1000000,
  LEAVE_MS = 500,
  ORDER_RETRY_MS = 1000,
  ORDER_REMOVAL_S = 60,
  ORDER_REMOVAL_PAGE = 100,
  ROUTE_SEED_SALT = 1,
  ADMIT_SEED_SALT = 2,
  DISPATCH_SEED_SALT = 3,
  BUDGET_SEED_SALT = 4,
  MEMBER_SEED_SALT = 5,
  CONFIG_SEED_SALT = 6
};

/* All that an instance is made of, in the order it is built. */
struct instance
{
  const struct sr_settings *settings;
  uint64_t incarnation;
  uint32_t seed;
  struct sr_platform *platform;
  struct sr_peer_client *peer_client;
  struct sr_peer_server *peer_server;
  struct sr_members *members;
  struct sr_config_current *current;
  struct sr_config_watch *watch;
  struct sr_budgets *budgets;
  struct sr_bills *bills;
  struct sr_orders *orders;
  struct sr_order_upkeep *order_upkeep;
  struct sr_router *router;
  struct sr_admit *admit;
  struct sr_run_table *table;
  struct sr_run_peers *run_peers;
  struct sr_dispatch *dispatch;
  struct sr_entry *entry;
  _Atomic bool stopping;
};

static bool
build_ (struct instance *instance);
static bool
build_network_ (struct instance *instance);
static bool
build_members_ (struct instance *instance);
static bool
build_configuration_ (struct instance *instance);
static bool
build_money_ (struct instance *instance);
static bool
build_work_ (struct instance *instance);
static bool
start_ (struct instance *instance);
static void
tear_down_ (struct instance *instance);
static bool
run_until_stopped_ (struct instance *instance);
static size_t
list_config_peers_ (struct sr_config_peer *peers, size_t max, void *data);
static void
config_applied_ (struct sr_config *config, void *data);
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
static void
print_status_ (GString *out, void *data);
static void
print_members_ (struct instance *instance, GString *out);

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
  struct instance instance = { .settings = settings,
                               .incarnation = (uint64_t)g_get_real_time (),
                               .seed = (uint32_t)g_random_int () };
  int status = EXIT_FAILED;

  signal (SIGPIPE, SIG_IGN);
  sr_drain_block_signals ();
  if (!build_ (&instance) || !start_ (&instance))
    goto out;
  sr_log (G_LOG_LEVEL_MESSAGE, "start", "listening on %s:%u, peers on %u",
          settings->listen_address->str, settings->entry_port, settings->peer_port);
  /* What is left may still be in use: the process ends around it. */
  if (!run_until_stopped_ (&instance))
    return EXIT_FAILED;
  status = EXIT_OK;

out:
  tear_down_ (&instance);
  return status;
}

static bool
build_ (struct instance *instance)
{
  return build_network_ (instance) && build_members_ (instance) && build_configuration_ (instance)
         && build_money_ (instance) && build_work_ (instance);
}

static bool
build_network_ (struct instance *instance)
{
  const struct sr_settings *settings = instance->settings;
  struct sr_platform_http_options platform = { .address = settings->platform_address->str,
                                               .port = settings->platform_port,
                                               .source_address = settings->listen_address->str,
                                               .timeout_s = (int)settings->platform_timeout_s };
  struct sr_peer_client_options client = { .source_address = settings->listen_address->str };
  struct sr_peer_server_options server
      = { .address = settings->listen_address->str, .port = settings->peer_port };

  instance->platform = sr_platform_http_new (&platform);
  instance->peer_client = sr_peer_client_new (&client);
  instance->peer_server = sr_peer_server_new (&server);
  if (instance->peer_server == NULL)
    sr_log (G_LOG_LEVEL_CRITICAL, "start", "the peers' address %s:%u can't be had",
            settings->listen_address->str, settings->peer_port);
  return instance->peer_server != NULL;
}

static bool
build_members_ (struct instance *instance)
{
  const struct sr_settings *settings = instance->settings;
  struct sr_members_options options = { .name = settings->name->str,
                                        .data_centre = settings->data_centre->str,
                                        .advertise_address = settings->advertise_address->str,
                                        .peer_port = settings->peer_port,
                                        .entry_port = settings->entry_port,
                                        .incarnation = instance->incarnation,
                                        .seeds = settings->seeds,
                                        .gossip_interval_ms = settings->gossip_interval_ms,
                                        .gossip_fanout = settings->gossip_fanout,
                                        .suspect_after_ms = settings->suspect_after_ms,
                                        .dead_after_ms = settings->dead_after_ms,
                                        .seed = instance->seed + MEMBER_SEED_SALT,
                                        .client = instance->peer_client,
                                        .platform = instance->platform };

  instance->members = sr_members_new (&options);
  sr_members_add_to_server (instance->members, instance->peer_server);
  return true;
}

static bool
build_configuration_ (struct instance *instance)
{
  struct sr_config_watch_options options = { .platform = instance->platform,
                                             .client = instance->peer_client,
                                             .watch_ms = (int)instance->settings->platform_watch_ms,
                                             .seed = instance->seed + CONFIG_SEED_SALT,
                                             .list_peers = list_config_peers_,
                                             .applied = config_applied_,
                                             .data = instance };

  instance->current = sr_config_current_new ();
  options.current = instance->current;
  instance->watch = sr_config_watch_new (&options);
  sr_config_watch_add_to_server (instance->watch, instance->peer_server);
  return true;
}

static bool
build_money_ (struct instance *instance)
{
  const struct sr_settings *settings = instance->settings;
  struct sr_budgets_options budgets = { .platform = instance->platform,
                                        .peers = instance->peer_client,
                                        .members = instance->members,
                                        .instance = settings->name->str,
                                        .data_centre = settings->data_centre->str,
                                        .incarnation = instance->incarnation,
                                        .allotment_cover_s = settings->allotment_cover_s,
                                        .idle_return_s = settings->idle_return_s,
                                        .settle_interval_ms = settings->settle_interval_ms,
                                        .seed = instance->seed + BUDGET_SEED_SALT };
  struct sr_bills_options bills = { .platform = instance->platform,
                                    .peers = instance->peer_client,
                                    .members = instance->members,
                                    .instance = settings->name->str,
                                    .data_centre = settings->data_centre->str,
                                    .incarnation = instance->incarnation };
  struct sr_order_upkeep_options upkeep;

  instance->budgets = sr_budgets_new (&budgets);
  sr_budgets_add_to_server (instance->budgets, instance->peer_server);
  instance->bills = sr_bills_new (&bills);
  sr_bills_add_to_server (instance->bills, instance->peer_server);
  instance->orders = sr_orders_new (instance->platform);
  upkeep = (struct sr_order_upkeep_options){ .orders = instance->orders,
                                             .retry_interval_ms = ORDER_RETRY_MS,
                                             .removal_interval_s = ORDER_REMOVAL_S,
                                             .removal_page = ORDER_REMOVAL_PAGE };
  instance->order_upkeep = sr_order_upkeep_new (&upkeep);
  return true;
}

static bool
build_work_ (struct instance *instance)
{
  const struct sr_settings *settings = instance->settings;
  struct sr_router_options router = { .data_centre = settings->data_centre->str,
                                      .instance = settings->name->str,
                                      .seed = instance->seed + ROUTE_SEED_SALT };
  struct sr_admit_options admit
      = { .queue_max = settings->queue_max, .seed = instance->seed + ADMIT_SEED_SALT };
  struct sr_run_table_options table
      = { .answers_kept_max = settings->answers_kept_max,
          .answer_kept_us = (int64_t)settings->answer_kept_s * US_PER_S };
  struct sr_run_peers_options peers
      = { .members = instance->members,
          .client = instance->peer_client,
          .instance = settings->name->str,
          .incarnation = instance->incarnation,
          .entries_max = settings->answers_kept_max,
          .entry_kept_us = (int64_t)settings->answer_kept_s * US_PER_S };
  struct sr_dispatch_options dispatch;
  struct sr_entry_options entry;

  instance->router = sr_router_new (&router);
  instance->admit = sr_admit_new (&admit);
  instance->table = sr_run_table_new (&table);
  peers.table = instance->table;
  instance->run_peers = sr_run_peers_new (&peers);
  sr_run_peers_add_to_server (instance->run_peers, instance->peer_server);
  dispatch = (struct sr_dispatch_options){ .settings = settings,
                                           .current = instance->current,
                                           .table = instance->table,
                                           .admit = instance->admit,
                                           .router = instance->router,
                                           .budgets = instance->budgets,
                                           .bills = instance->bills,
                                           .orders = instance->orders,
                                           .peers = instance->run_peers,
                                           .incarnation = instance->incarnation,
                                           .seed = instance->seed + DISPATCH_SEED_SALT };
  instance->dispatch = sr_dispatch_new (&dispatch);
  entry = (struct sr_entry_options){ .settings = settings,
                                     .current = instance->current,
                                     .table = instance->table,
                                     .dispatch = instance->dispatch,
                                     .incarnation = instance->incarnation,
                                     .print_status = print_status_,
                                     .data = instance };
  instance->entry = sr_entry_new (&entry);
  return true;
}

static bool
start_ (struct instance *instance)
{
  if (!sr_peer_server_start (instance->peer_server) || !sr_members_start (instance->members)
      || !sr_budgets_start (instance->budgets) || !sr_bills_start (instance->bills)
      || !sr_dispatch_start (instance->dispatch) || !sr_order_upkeep_start (instance->order_upkeep))
    {
      sr_log (G_LOG_LEVEL_CRITICAL, "start", "a thread could not be started");
      return false;
    }
  if (!sr_entry_start (instance->entry))
    {
      sr_log (G_LOG_LEVEL_CRITICAL, "start", "the entry's address can't be had");
      return false;
    }
  if (!sr_config_watch_start (instance->watch))
    {
      sr_log (G_LOG_LEVEL_CRITICAL, "start", "a thread could not be started");
      return false;
    }
  return true;
}

/* Frees what was built, the last first, so that nothing outlives what it uses. */
static void
tear_down_ (struct instance *instance)
{
  if (instance->watch != NULL)
    sr_config_watch_stop (instance->watch);
  if (instance->dispatch != NULL)
    sr_dispatch_stop (instance->dispatch);
  sr_entry_delete (instance->entry);
  sr_dispatch_delete (instance->dispatch);
  sr_admit_delete (instance->admit);
  sr_router_delete (instance->router);
  sr_order_upkeep_delete (instance->order_upkeep);
  sr_orders_delete (instance->orders);
  if (instance->peer_server != NULL)
    sr_peer_server_stop (instance->peer_server);
  sr_run_peers_delete (instance->run_peers);
  sr_run_table_delete (instance->table);
  sr_bills_delete (instance->bills);
  if (instance->budgets != NULL)
    sr_budgets_stop (instance->budgets);
  sr_budgets_delete (instance->budgets);
  sr_config_watch_delete (instance->watch);
  sr_config_current_delete (instance->current);
  sr_members_delete (instance->members);
  sr_peer_server_delete (instance->peer_server);
  sr_peer_client_delete (instance->peer_client);
  sr_platform_unref (instance->platform);
}

/* Lists the other instances that may have a configuration. */
static size_t
list_config_peers_ (struct sr_config_peer *peers, size_t max, void *data)
{
  struct instance *instance = data;
  struct sr_member_view *view = sr_members_view (instance->members);
  size_t count = 0;

  for (size_t i = 0; i < view->length && count < max; i++)
    {
      const struct sr_member *member = &view->members[i];

      if (member->is_self || member->state == SR_MEMBER_DEAD || member->revision == 0)
        continue;
      peers[count].address = member->peer;
      peers[count].revision = member->revision;
      count++;
    }
  sr_member_view_unref (view);
  return count;
}

/* Tells the others of the new revision and takes requests from the first one on. */
static void
config_applied_ (struct sr_config *config, void *data)
{
  struct instance *instance = data;

  sr_members_set_revision (instance->members, sr_config_revision (config));
  sr_entry_set_ready (instance->entry, true);
  if (atomic_load (&instance->stopping))
    sr_entry_set_ready (instance->entry, false);
}

/* Waits for a signal and stops in order. Returns whether nothing was left when the stop ended. */
static bool
run_until_stopped_ (struct instance *instance)
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
  struct instance *instance = data;

  atomic_store (&instance->stopping, true);
  sr_entry_set_ready (instance->entry, false);
  sr_members_set_leaving (instance->members);
}

static void
close_ (void *data)
{
  struct instance *instance = data;

  sr_entry_close_listener (instance->entry);
}

static unsigned
in_progress_ (void *data)
{
  struct instance *instance = data;

  return sr_run_table_in_progress (instance->table) + sr_entry_open_requests (instance->entry);
}

static bool
hand_over_bills_ (int64_t end_us, void *data)
{
  struct instance *instance = data;
  bool bills = sr_bills_hand_over (instance->bills, end_us);

  return sr_order_upkeep_hand_over (instance->order_upkeep, end_us) && bills;
}

static bool
hand_over_budgets_ (int64_t end_us, void *data)
{
  struct instance *instance = data;

  return sr_budgets_hand_over (instance->budgets, end_us);
}

static void
print_status_ (GString *out, void *data)
{
  struct instance *instance = data;
  struct sr_config *config = sr_config_current_get (instance->current);

  g_string_append_printf (
      out, "{\"instance\":\"%s\",\"data_centre\":\"%s\",\"incarnation\":%" G_GUINT64_FORMAT,
      instance->settings->name->str, instance->settings->data_centre->str, instance->incarnation);
  g_string_append_printf (out, ",\"revision\":%" G_GINT64_FORMAT ",\"in_progress\":%u,\"members\":",
                          config != NULL ? sr_config_revision (config) : 0,
                          sr_run_table_in_progress (instance->table));
  print_members_ (instance, out);
  g_string_append (out, ",\"budgets\":");
  sr_budgets_print_status (instance->budgets, out);
  g_string_append (out, ",\"backends\":");
  sr_router_print_status (instance->router, out, g_get_monotonic_time ());
  g_string_append (out, "}\n");
  sr_config_unref (config);
}

static void
print_members_ (struct instance *instance, GString *out)
{
  struct sr_member_view *view = sr_members_view (instance->members);

  g_string_append_c (out, '[');
  for (size_t i = 0; i < view->length; i++)
    {
      const struct sr_member *member = &view->members[i];

      g_string_append_printf (
          out,
          "%s{\"name\":\"%s\",\"data_centre\":\"%s\",\"address\":\"%s\",\"entry_port\":%u,"
          "\"peer_port\":%u,\"incarnation\":%" G_GUINT64_FORMAT
          ",\"state\":\"%s\",\"revision\":%" G_GINT64_FORMAT "}",
          i > 0 ? "," : "", member->name, member->data_centre, member->peer.ip, member->entry_port,
          member->peer.port, member->incarnation, sr_member_state_to_string (member->state),
          member->revision);
    }
  g_string_append_c (out, ']');
  sr_member_view_unref (view);
}
