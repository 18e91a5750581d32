#include "entry/instance.h"

#include "base/log.h"
#include "entry/status.h"
#include "platform/platform-http.h"

enum
{
  US_PER_S = 1000000,
  ORDER_RETRY_MS = 1000,
  ORDER_REMOVAL_S = 60,
  ORDER_REMOVAL_PAGE_CLAIMS = 100, /* examined per removal interval */
  /* Added to the instance's seed, so that components draw different random numbers. */
  ROUTE_SEED_SALT = 1,
  ADMIT_SEED_SALT = 2,
  DISPATCH_SEED_SALT = 3,
  BUDGET_SEED_SALT = 4,
  MEMBER_SEED_SALT = 5,
  CONFIG_SEED_SALT = 6
};

static bool build_network_ (struct sr_instance *instance);
static void build_members_ (struct sr_instance *instance);
static void build_configuration_ (struct sr_instance *instance);
static void build_budgets_and_bills_ (struct sr_instance *instance);
static void build_request_handling_ (struct sr_instance *instance);
static void build_dispatch_and_entry_ (struct sr_instance *instance);
static size_t list_config_peers_ (struct sr_config_peer *peers, size_t max, void *data);
static void config_applied_ (struct sr_config *config, void *data);

/* Creates an instance from SETTINGS, which must outlive it, without starting any thread. Returns
 * NULL and logs when the address for peers can't be bound. The caller owns the instance. */
struct sr_instance *
sr_instance_new (const struct sr_settings *settings)
{
  struct sr_instance *instance = g_new0 (struct sr_instance, 1);

  instance->settings = settings;
  instance->incarnation = (uint64_t)g_get_real_time ();
  instance->seed = (uint32_t)g_random_int ();
  if (!build_network_ (instance))
    {
      sr_instance_delete (instance);
      return NULL;
    }
  build_members_ (instance);
  build_configuration_ (instance);
  build_budgets_and_bills_ (instance);
  build_request_handling_ (instance);
  build_dispatch_and_entry_ (instance);
  return instance;
}

/* Starts the threads of INSTANCE. Returns false and logs when a thread can't be started or the
 * address for callers can't be bound; INSTANCE can then only be deleted. */
bool
sr_instance_start (struct sr_instance *instance)
{
  if (!sr_peer_server_start (instance->peer_server) || !sr_members_start (instance->members)
      || !sr_budgets_start (instance->budgets) || !sr_bills_start (instance->bills)
      || !sr_dispatch_start (instance->dispatch)
      || !sr_order_maintenance_start (instance->order_maintenance))
    {
      sr_log (G_LOG_LEVEL_CRITICAL, "start", "starting a thread failed");
      return false;
    }
  if (!sr_entry_start (instance->entry))
    {
      sr_log (G_LOG_LEVEL_CRITICAL, "start", "listening for callers failed");
      return false;
    }
  if (!sr_config_watch_start (instance->watch))
    {
      sr_log (G_LOG_LEVEL_CRITICAL, "start", "starting a thread failed");
      return false;
    }
  return true;
}

/* Stops the threads and frees the components, users before what they use. NULL is allowed, and so
 * is an instance that was created or started only in part. */
void
sr_instance_delete (struct sr_instance *instance)
{
  if (instance == NULL)
    return;
  if (instance->watch != NULL)
    sr_config_watch_stop (instance->watch);
  if (instance->dispatch != NULL)
    sr_dispatch_stop (instance->dispatch);
  sr_entry_delete (instance->entry);
  sr_dispatch_delete (instance->dispatch);
  sr_admit_delete (instance->admit);
  sr_router_delete (instance->router);
  sr_order_maintenance_delete (instance->order_maintenance);
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
  g_free (instance);
}

static bool
build_network_ (struct sr_instance *instance)
{
  const struct sr_settings *settings = instance->settings;
  struct sr_platform_http_options platform
      = { .address = settings->platform_address->str,
          .port = settings->platform_port,
          .source_address = settings->listen_address->str,
          .idle_timeout_s = (int)settings->platform_timeout_s };
  struct sr_peer_client_options client = { .source_address = settings->listen_address->str };
  struct sr_peer_server_options server
      = { .address = settings->listen_address->str, .port = settings->peer_port };

  instance->platform = sr_platform_http_new (&platform);
  instance->peer_client = sr_peer_client_new (&client);
  instance->peer_server = sr_peer_server_new (&server);
  if (instance->peer_server == NULL)
    sr_log (G_LOG_LEVEL_CRITICAL, "start", "binding the address for peers, %s:%u, failed",
            settings->listen_address->str, settings->peer_port);
  return instance->peer_server != NULL;
}

static void
build_members_ (struct sr_instance *instance)
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
}

static void
build_configuration_ (struct sr_instance *instance)
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
}

static void
build_budgets_and_bills_ (struct sr_instance *instance)
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
  struct sr_order_maintenance_options maintenance;

  instance->budgets = sr_budgets_new (&budgets);
  sr_budgets_add_to_server (instance->budgets, instance->peer_server);
  instance->bills = sr_bills_new (&bills);
  sr_bills_add_to_server (instance->bills, instance->peer_server);
  instance->orders = sr_orders_new (instance->platform);
  maintenance = (struct sr_order_maintenance_options){ .orders = instance->orders,
                                                       .retry_interval_ms = ORDER_RETRY_MS,
                                                       .removal_interval_s = ORDER_REMOVAL_S,
                                                       .removal_page = ORDER_REMOVAL_PAGE_CLAIMS };
  instance->order_maintenance = sr_order_maintenance_new (&maintenance);
}

static void
build_request_handling_ (struct sr_instance *instance)
{
  const struct sr_settings *settings = instance->settings;
  int64_t kept_us = (int64_t)settings->answer_kept_s * US_PER_S;
  struct sr_router_options router = { .data_centre = settings->data_centre->str,
                                      .instance = settings->name->str,
                                      .seed = instance->seed + ROUTE_SEED_SALT };
  struct sr_admit_options admit
      = { .queue_max = settings->queue_max, .seed = instance->seed + ADMIT_SEED_SALT };
  struct sr_run_table_options table
      = { .answers_kept_max = settings->answers_kept_max, .answer_kept_us = kept_us };
  struct sr_run_peers_options peers = { .members = instance->members,
                                        .client = instance->peer_client,
                                        .instance = settings->name->str,
                                        .incarnation = instance->incarnation,
                                        .entries_max = settings->answers_kept_max,
                                        .entry_kept_us = kept_us };

  instance->router = sr_router_new (&router);
  instance->admit = sr_admit_new (&admit);
  instance->table = sr_run_table_new (&table);
  peers.table = instance->table;
  instance->run_peers = sr_run_peers_new (&peers);
  sr_run_peers_add_to_server (instance->run_peers, instance->peer_server);
}

static void
build_dispatch_and_entry_ (struct sr_instance *instance)
{
  const struct sr_settings *settings = instance->settings;
  struct sr_dispatch_options dispatch = { .settings = settings,
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
  struct sr_entry_options entry = { .settings = settings,
                                    .current = instance->current,
                                    .table = instance->table,
                                    .incarnation = instance->incarnation,
                                    .print_status = sr_status_print,
                                    .data = instance };

  instance->dispatch = sr_dispatch_new (&dispatch);
  entry.dispatch = instance->dispatch;
  instance->entry = sr_entry_new (&entry);
}

/* Lists the peers that may have a configuration: not dead, and with a known revision. */
static size_t
list_config_peers_ (struct sr_config_peer *peers, size_t max, void *data)
{
  struct sr_instance *instance = data;
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

/* Announces the new revision to the peers. The first configuration makes the instance ready. */
static void
config_applied_ (struct sr_config *config, void *data)
{
  struct sr_instance *instance = data;

  sr_members_set_revision (instance->members, sr_config_revision (config));
  sr_entry_set_ready (instance->entry, true);
  if (atomic_load (&instance->stopping)) /* checked last: a stop may have begun meanwhile */
    sr_entry_set_ready (instance->entry, false);
}
