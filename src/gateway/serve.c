#include "gateway/serve.h"

#include "base/counters.h"
#include "base/event-log.h"
#include "gateway/exchange.h"
#include "gateway/gateway.h"
#include "gateway/ingress.h"
#include "gateway/probe.h"
#include "gateway/upstream.h"
#include "mesh/mesh.h"
#include "store/watcher.h"

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  /* A watch can be deaf to a change. One of the fleet's ends at least this often, finds out, and
   * tells the others: in time for the two seconds in which a change must be in force. */
  WATCH_FLEET_MS = 170,
  ROUTES_PAUSE_MS = 50,    /* changes that come in quick succession are read together */
  BACKENDS_PAUSE_MS = 150, /* the same; small against the time in which a leaving one is dropped */
  INSTANCES_PAUSE_MS = 1000, /* all start at once, and each announcement would wake all others */
  WATCH_MIN_MS = 1200,
  WATCH_MAX_MS
  = 10000, /* instances that reach nobody else find out by themselves after this time */
  LEASE_RETURN_MS = 2200,   /* entries that lapsed in an outage are back two seconds after it */
  WORK_INTERVAL_MS = 60,    /* the time in which 4,000 tokens are read */
  WORK_LEAST_TOKENS = 3000, /* shorter prompts delay nobody for long */
  ANNOUNCE_RETRY_MS = 100,
  BALANCER_NOTICE_MS = 3200, /* two questions of the balancer, a second each, go unanswered */
  STOP_LOOK_MS = 50,
  STOP_MARGIN_MS = 300, /* before the process would be killed */
  HAND_BACK_MS = 400    /* for giving tokens back at the end */
};

#define KIND_INSTANCES "sapphirerun-instances"
#define KIND_BUDGETS "sapphirerun-budgets"

struct gateway_
{
  const struct allotment_link_vtable *link_vtable; /* first: the book's link */
  const struct gw_settings *settings;
  const char *settings_path;
  const struct gw_platform *platform;
  struct gw_context context;
  uv_loop_t loop;
  struct store *store;
  struct watcher *routes_watcher;
  struct watcher *backends_watcher;
  struct watcher *instances_watcher;
  struct mesh *mesh;
  struct gw_ingress *ingress;
  uv_timer_t book_timer;
  uv_timer_t work_timer;
  uv_timer_t lease_timer;
  uv_timer_t announce_timer;
  uv_timer_t stop_timer;
  uv_signal_t term;
  uv_signal_t interrupt;
  uv_signal_t hang_up;
  char nonce[32]; /* tells this start's announcement from earlier ones */
  bool backends_listed;
  bool announced;
  bool handing_back;
  int64_t announced_revision;
  GHashTable *leaving;     /* names of instances that stop: they lend no more */
  int64_t outage_ended_us; /* of the store, as far as this instance has seen */
  int64_t stop_us;
};

/* One call for the record of a team. */
struct record_call_
{
  struct gateway_ *gateway;
  char *team;
};

static bool start_ (struct gateway_ *gateway);
static void announce_ (struct gateway_ *gateway);
static void on_announced_ (const struct store_result *result, void *data);
static void on_announcement_read_ (const struct store_result *result, void *data);
static void on_announce_timer_ (uv_timer_t *timer);
static void on_withdrawn_ (const struct store_result *result, void *data);
static json_t *announcement_ (const struct gateway_ *gateway);
static void open_book_ (struct gateway_ *gateway, uint64_t incarnation);
static void on_routes_ (const struct store_result *result, void *data);
static void on_backends_listed_ (const struct store_result *result, void *data);
static void on_backends_changed_ (const struct store_result *result, void *data);
static void on_backends_reachable_ (bool reachable, void *data);
static void on_lease_timer_ (uv_timer_t *timer);
static void on_instances_listed_ (const struct store_result *result, void *data);
static void on_instances_changed_ (const struct store_result *result, void *data);
static void put_backend_ (struct gateway_ *gateway, const struct store_object *object);
static void put_instance_ (struct gateway_ *gateway, const struct store_object *object);
static void forget_instance_ (struct gateway_ *gateway, const char *name);
static void peers_changed_ (struct gateway_ *gateway);
static bool leases_doubtful_ (const struct gateway_ *gateway);
static void read_record_ (void *link, const char *team);
static void
write_record_ (void *link, const char *team, json_t *content, int64_t expected_revision);
static void on_record_read_ (const struct store_result *result, void *data);
static void on_record_written_ (const struct store_result *result, void *data);
static void send_ask_ (void *link, const char *peer, const struct allotment_ask *ask);
static void send_answer_ (void *link, uint64_t handle, const struct allotment_answer *answer);
static void on_asked_ (uint64_t handle, const struct allotment_ask *ask, void *data);
static void on_answered_ (const char *peer, const struct allotment_answer *answer, void *data);
static void on_told_ (const struct mesh_news *news, void *data);
static void spread_news_ (struct gateway_ *gateway);
static void on_work_timer_ (uv_timer_t *timer);
static void on_works_ (uint64_t peer, const struct mesh_work *work, unsigned n_work, void *data);
static void on_book_timer_ (uv_timer_t *timer);
static unsigned answer_ready_ (const char *path, GString *body, void *data);
static unsigned answer_metrics_ (const char *path, GString *body, void *data);
static bool is_ready_ (const struct gateway_ *gateway);
static void on_stop_signal_ (uv_signal_t *handle, int number);
static void on_hang_up_ (uv_signal_t *handle, int number);
static void on_stop_timer_ (uv_timer_t *timer);

static const struct allotment_link_vtable link_vtable_ = {
  .read = read_record_,
  .write = write_record_,
  .ask = send_ask_,
  .answer = send_answer_,
};

/* Runs a gateway until it is told to stop. Returns the exit code of the process. */
int
gw_serve (const struct gw_settings *settings,
          const char *settings_path,
          const struct gw_platform *platform)
{
  struct gateway_ *gateway;
  int code = 1;

  signal (SIGPIPE, SIG_IGN);
  if (!sr_event_log_start (settings->name->str))
    return 1;
  gateway = g_new0 (struct gateway_, 1); /* as long as the process: its loop has open handles */
  gateway->link_vtable = &link_vtable_;
  gateway->settings = settings;
  gateway->settings_path = settings_path;
  gateway->platform = platform;
  uv_loop_init (&gateway->loop);
  if (start_ (gateway))
    {
      sr_event (SR_EVENT_INFO, "started", "{s:s,s:s}", "data_centre", settings->data_centre->str,
                "store", settings->store_host->str);
      uv_run (&gateway->loop, UV_RUN_DEFAULT);
      sr_event (SR_EVENT_INFO, "stopped", "{s:i,s:b}", "unfinished",
                (int)gateway->context.exchanges, "tokens_returned",
                gateway->context.book == NULL || allotment_book_is_empty (gateway->context.book));
      code = 0;
    }
  sr_event_log_stop ();
  return code;
}

/* Returns the retry budget of SERVICE. */
struct gw_retry_budget *
gw_context_retry_budget (struct gw_context *context, const char *service)
{
  struct gw_retry_budget *budget = g_hash_table_lookup (context->retry_budgets, service);

  if (budget == NULL)
    {
      budget = g_new0 (struct gw_retry_budget, 1);
      gw_retry_budget_init (budget, &context->retry_options, g_get_monotonic_time ());
      g_hash_table_insert (context->retry_budgets, g_strdup (service), budget);
    }
  return budget;
}

static bool
start_ (struct gateway_ *gateway)
{
  const struct gw_settings *settings = gateway->settings;
  struct gw_context *context = &gateway->context;
  struct watcher_options watch
      = { .loop = &gateway->loop, .wait_ms = WATCH_MIN_MS, .data = gateway };
  const struct mesh_options mesh = {
    .loop = &gateway->loop,
    .address = settings->peer_address,
    .instance = settings->name->str,
    .data = gateway,
    .asked = on_asked_,
    .answered = on_answered_,
    .told = on_told_,
    .works = on_works_,
  };
  struct gw_probe_options probe = { .loop = &gateway->loop,
                                    .address = settings->ready_address,
                                    .data = gateway,
                                    .answer = answer_ready_ };
  uv_timer_t *timers[] = { &gateway->book_timer, &gateway->work_timer, &gateway->lease_timer,
                           &gateway->announce_timer, &gateway->stop_timer };

  gw_exchange_register_metrics ();
  gw_upstream_register_metrics ();
  context->loop = &gateway->loop;
  context->dialect = gateway->platform->dialect;
  context->data_centre = settings->data_centre->str;
  context->backends = gw_backends_new ();
  context->retry_budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  context->retry_options = (struct gw_retry_budget_options){
    .ratio = settings->retry_ratio,
    .extra = settings->retry_extra,
    .window_us = (int64_t)settings->retry_window_s * 1000 * US_PER_MS,
  };
  context->instances = 1;
  gw_link_load_init (&context->link, settings->link_megabits_per_s);
  gateway->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  context->random = g_rand_new ();
  for (size_t i = 0; i < G_N_ELEMENTS (timers); i++)
    {
      uv_timer_init (&gateway->loop, timers[i]);
      timers[i]->data = gateway;
    }
  gateway->mesh = mesh_new (&mesh);
  gateway->ingress = gw_ingress_new (context, &settings->entry_address);
  if (gateway->mesh == NULL || gateway->ingress == NULL || !gw_probe_listen (&probe))
    return false;
  probe.address = settings->metrics_address;
  probe.answer = answer_metrics_;
  if (!gw_probe_listen (&probe))
    return false;
  uv_signal_init (&gateway->loop, &gateway->term);
  uv_signal_init (&gateway->loop, &gateway->interrupt);
  uv_signal_init (&gateway->loop, &gateway->hang_up);
  gateway->term.data = gateway->interrupt.data = gateway->hang_up.data = gateway;
  uv_signal_start (&gateway->term, on_stop_signal_, SIGTERM);
  uv_signal_start (&gateway->interrupt, on_stop_signal_, SIGINT);
  uv_signal_start (&gateway->hang_up, on_hang_up_, SIGHUP);

  gateway->store = gateway->platform->open_store (&gateway->loop, settings);
  watch.store = gateway->store;
  watch.kind = gateway->platform->kind_of_configuration;
  watch.listed = watch.changed = on_routes_;
  watch.pause_ms = ROUTES_PAUSE_MS;
  gateway->routes_watcher = watcher_new (&watch);
  watch.kind = gateway->platform->kind_of_backends;
  watch.listed = on_backends_listed_;
  watch.pause_ms = BACKENDS_PAUSE_MS;
  watch.changed = on_backends_changed_;
  watch.reachable = on_backends_reachable_;
  gateway->backends_watcher = watcher_new (&watch);
  watch.kind = KIND_INSTANCES;
  watch.wait_ms = WATCH_MAX_MS;
  watch.pause_ms = INSTANCES_PAUSE_MS;
  watch.listed = on_instances_listed_;
  watch.changed = on_instances_changed_;
  watch.reachable = NULL;
  gateway->instances_watcher = watcher_new (&watch);
  watcher_start (gateway->routes_watcher);
  watcher_start (gateway->backends_watcher);
  g_snprintf (gateway->nonce, sizeof gateway->nonce, "%08x%08x", g_rand_int (context->random),
              g_rand_int (context->random));
  announce_ (gateway);
  uv_timer_start (&gateway->work_timer, on_work_timer_, WORK_INTERVAL_MS, WORK_INTERVAL_MS);
  return true;
}

/* Puts this instance on the list of instances. The revision of that write numbers this start: it is
 * higher than that of any earlier one. */
static void
announce_ (struct gateway_ *gateway)
{
  store_read (gateway->store, KIND_INSTANCES, gateway->settings->name->str, on_announcement_read_,
              gateway);
}

static void
on_announcement_read_ (const struct store_result *result, void *data)
{
  struct gateway_ *gateway = data;
  const struct gw_settings *settings = gateway->settings;
  const char *nonce;
  json_t *content;

  if (gateway->context.stopping)
    return;
  if (result->status != STORE_OK && result->status != STORE_ABSENT)
    {
      uv_timer_start (&gateway->announce_timer, on_announce_timer_, ANNOUNCE_RETRY_MS, 0);
      return;
    }
  nonce = result->status == STORE_OK
              ? json_string_value (json_object_get (result->objects[0].content, "nonce"))
              : NULL;
  if (nonce != NULL && strcmp (nonce, gateway->nonce) == 0)
    {
      open_book_ (gateway, (uint64_t)result->objects[0].revision);
      return;
    }
  content = announcement_ (gateway);
  store_write (gateway->store, KIND_INSTANCES, settings->name->str, content,
               result->status == STORE_OK ? result->objects[0].revision : 0, on_announced_,
               gateway);
  json_decref (content);
}

static json_t *
announcement_ (const struct gateway_ *gateway)
{
  const struct gw_settings *settings = gateway->settings;

  return json_pack ("{s:s,s:i,s:s,s:s,s:b}", "address", settings->address->str, "peer_port",
                    (int)settings->peer_port, "data_centre", settings->data_centre->str, "nonce",
                    gateway->nonce, "leaving", gateway->context.stopping);
}

static void
on_announced_ (const struct store_result *result, void *data)
{
  struct gateway_ *gateway = data;

  if (result->status == STORE_OK && result->n_objects == 1)
    open_book_ (gateway, (uint64_t)result->objects[0].revision);
  else
    uv_timer_start (&gateway->announce_timer, on_announce_timer_, ANNOUNCE_RETRY_MS, 0);
}

static void
on_announce_timer_ (uv_timer_t *timer)
{
  announce_ (timer->data);
}

static void
open_book_ (struct gateway_ *gateway, uint64_t incarnation)
{
  const struct allotment_book_options options = {
    .link = gateway,
    .instance = gateway->settings->name->str,
    .data_centre = gateway->settings->data_centre->str,
    .incarnation = incarnation,
  };

  if (gateway->announced)
    return;
  gateway->announced = true;
  gateway->announced_revision = (int64_t)incarnation;
  sr_event (SR_EVENT_INFO, "announced", "{s:I}", "incarnation", (json_int_t)incarnation);
  gateway->context.book = allotment_book_new (&options);
  if (gateway->context.routes != NULL)
    {
      GHashTableIter iter;
      void *value;

      g_hash_table_iter_init (&iter, gateway->context.routes->teams);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const struct gw_team *team = value;

          if (team->is_prepaid)
            allotment_book_set_team (gateway->context.book, team->name->str, team->prepaid_tokens,
                                     g_get_monotonic_time ());
        }
    }
  watcher_start (gateway->instances_watcher);
  on_book_timer_ (&gateway->book_timer);
}

/* A list or a change of the kind that holds the configuration. A lower version is never taken. */
static void
on_routes_ (const struct store_result *result, void *data)
{
  struct gateway_ *gateway = data;
  struct gw_context *context = &gateway->context;

  for (size_t i = 0; i < result->n_objects; i++)
    {
      struct gw_routes *routes;
      GHashTableIter iter;
      void *value;

      if (result->objects[i].deleted || !gateway->platform->is_configuration (&result->objects[i]))
        continue;
      routes = gateway->platform->decode_routes (&result->objects[i]);
      if (routes == NULL)
        continue;
      if (context->routes != NULL && routes->version <= context->routes->version)
        {
          gw_routes_unref (routes);
          continue;
        }
      gw_routes_unref (context->routes);
      context->routes = routes;
      spread_news_ (gateway);
      sr_event (SR_EVENT_INFO, "configuration", "{s:I,s:I,s:i,s:i}", "version",
                (json_int_t)routes->version, "revision", (json_int_t)result->objects[i].revision,
                "routes", (int)routes->routes->len, "teams",
                (int)g_hash_table_size (routes->teams));
      g_hash_table_iter_init (&iter, routes->teams);
      while (context->book != NULL && g_hash_table_iter_next (&iter, NULL, &value))
        {
          const struct gw_team *team = value;

          if (team->is_prepaid)
            allotment_book_set_team (context->book, team->name->str, team->prepaid_tokens,
                                     g_get_monotonic_time ());
        }
    }
}

static void
on_backends_listed_ (const struct store_result *result, void *data)
{
  struct gateway_ *gateway = data;

  gw_backends_begin_list (gateway->context.backends);
  for (size_t i = 0; i < result->n_objects; i++)
    put_backend_ (gateway, &result->objects[i]);
  gw_backends_end_list (gateway->context.backends, leases_doubtful_ (gateway));
  gateway->backends_listed = true;
  spread_news_ (gateway);
}

static void
on_backends_changed_ (const struct store_result *result, void *data)
{
  struct gateway_ *gateway = data;

  spread_news_ (gateway);
  for (size_t i = 0; i < result->n_objects; i++)
    if (result->objects[i].deleted)
      gw_backends_remove (gateway->context.backends, result->objects[i].name,
                          leases_doubtful_ (gateway));
    else
      put_backend_ (gateway, &result->objects[i]);
}

static void
put_backend_ (struct gateway_ *gateway, const struct store_object *object)
{
  struct gw_backend_facts facts;

  if (gateway->platform->decode_backend (object, &facts))
    gw_backends_put (gateway->context.backends, &facts);
}

static void
on_backends_reachable_ (bool reachable, void *data)
{
  struct gateway_ *gateway = data;

  if (!reachable)
    {
      uv_timer_stop (&gateway->lease_timer);
      return;
    }
  gateway->outage_ended_us = g_get_monotonic_time ();
  if (gateway->context.book != NULL)
    allotment_book_store_returned (gateway->context.book, gateway->outage_ended_us);
  uv_timer_start (&gateway->lease_timer, on_lease_timer_, LEASE_RETURN_MS, 0);
}

/* Tells whether entries may be missing only because the store was away. */
static bool
leases_doubtful_ (const struct gateway_ *gateway)
{
  return gateway->outage_ended_us != 0
         && g_get_monotonic_time () - gateway->outage_ended_us < LEASE_RETURN_MS * US_PER_MS;
}

static void
on_lease_timer_ (uv_timer_t *timer)
{
  struct gateway_ *gateway = timer->data;

  gw_backends_drop_missing (gateway->context.backends);
}

static void
on_instances_listed_ (const struct store_result *result, void *data)
{
  struct gateway_ *gateway = data;
  g_autoptr (GPtrArray) known = mesh_peer_names (gateway->mesh);

  for (unsigned k = 0; k < known->len; k++)
    {
      bool listed = false;

      for (size_t i = 0; i < result->n_objects && !listed; i++)
        listed = strcmp (result->objects[i].name, known->pdata[k]) == 0;
      if (!listed)
        forget_instance_ (gateway, known->pdata[k]);
    }
  for (size_t i = 0; i < result->n_objects; i++)
    put_instance_ (gateway, &result->objects[i]);
  peers_changed_ (gateway);
}

static void
on_instances_changed_ (const struct store_result *result, void *data)
{
  struct gateway_ *gateway = data;

  for (size_t i = 0; i < result->n_objects; i++)
    if (result->objects[i].deleted)
      forget_instance_ (gateway, result->objects[i].name);
    else
      put_instance_ (gateway, &result->objects[i]);
  peers_changed_ (gateway);
}

static void
put_instance_ (struct gateway_ *gateway, const struct store_object *object)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  const char *ip = json_string_value (json_object_get (object->content, "address"));
  json_int_t port = json_integer_value (json_object_get (object->content, "peer_port"));

  if (strcmp (object->name, gateway->settings->name->str) == 0)
    return;
  if (ip == NULL || inet_pton (AF_INET, ip, &address.sin_addr) != 1 || port < 1 || port > 65535)
    {
      sr_event (SR_EVENT_FAILURE, "object_not_readable", "{s:s,s:s}", "object", object->name,
                "reason", "is no entry of an instance");
      return;
    }
  address.sin_port = htons ((uint16_t)port);
  mesh_set_peer (gateway->mesh, object->name, &address);
  if (json_is_true (json_object_get (object->content, "leaving")))
    g_hash_table_add (gateway->leaving, g_strdup (object->name));
  else
    {
      g_hash_table_remove (gateway->leaving, object->name);
      allotment_book_peer_started (gateway->context.book, object->name);
    }
}

static void
forget_instance_ (struct gateway_ *gateway, const char *name)
{
  g_hash_table_remove (gateway->leaving, name);
  mesh_remove_peer (gateway->mesh, name);
}

static void
peers_changed_ (struct gateway_ *gateway)
{
  g_autoptr (GPtrArray) names = mesh_peer_names (gateway->mesh);
  unsigned wait_ms;

  for (unsigned i = names->len; i > 0; i--)
    if (g_hash_table_contains (gateway->leaving, names->pdata[i - 1]))
      g_ptr_array_remove_index (names, i - 1);
  gateway->context.instances = names->len + 1;
  wait_ms = CLAMP (gateway->context.instances * WATCH_FLEET_MS, (unsigned)WATCH_MIN_MS,
                   (unsigned)WATCH_MAX_MS);
  watcher_set_wait (gateway->routes_watcher, wait_ms);
  watcher_set_wait (gateway->backends_watcher, wait_ms);
  allotment_book_set_peers (gateway->context.book, names, g_get_monotonic_time ());
  sr_event (SR_EVENT_INFO, "instances", "{s:i}", "count", (int)gateway->context.instances);
}

static void
read_record_ (void *link, const char *team)
{
  struct gateway_ *gateway = link;
  struct record_call_ *call = g_new0 (struct record_call_, 1);

  call->gateway = gateway;
  call->team = g_strdup (team);
  store_read (gateway->store, KIND_BUDGETS, team, on_record_read_, call);
}

static void
write_record_ (void *link, const char *team, json_t *content, int64_t expected_revision)
{
  struct gateway_ *gateway = link;
  struct record_call_ *call = g_new0 (struct record_call_, 1);

  call->gateway = gateway;
  call->team = g_strdup (team);
  store_write (gateway->store, KIND_BUDGETS, team, content, expected_revision, on_record_written_,
               call);
  json_decref (content);
}

static void
on_record_read_ (const struct store_result *result, void *data)
{
  struct record_call_ *call = data;

  allotment_book_read_done (call->gateway->context.book, call->team, result->status,
                            result->n_objects > 0 ? result->objects[0].content : NULL,
                            result->n_objects > 0 ? result->objects[0].revision : 0,
                            g_get_monotonic_time ());
  g_free (call->team);
  g_free (call);
}

static void
on_record_written_ (const struct store_result *result, void *data)
{
  struct record_call_ *call = data;

  allotment_book_write_done (call->gateway->context.book, call->team, result->status,
                             result->n_objects > 0 ? result->objects[0].content : NULL,
                             result->n_objects > 0 ? result->objects[0].revision : 0,
                             g_get_monotonic_time ());
  g_free (call->team);
  g_free (call);
}

static void
send_ask_ (void *link, const char *peer, const struct allotment_ask *ask)
{
  struct gateway_ *gateway = link;

  mesh_send_ask (gateway->mesh, peer, ask);
}

static void
send_answer_ (void *link, uint64_t handle, const struct allotment_answer *answer)
{
  struct gateway_ *gateway = link;

  mesh_send_answer (gateway->mesh, handle, answer);
}

static void
on_asked_ (uint64_t handle, const struct allotment_ask *ask, void *data)
{
  struct gateway_ *gateway = data;

  if (gateway->context.book != NULL)
    allotment_book_asked (gateway->context.book, handle, ask, g_get_monotonic_time ());
}

static void
on_answered_ (const char *peer, const struct allotment_answer *answer, void *data)
{
  struct gateway_ *gateway = data;

  if (gateway->context.book != NULL)
    allotment_book_answered (gateway->context.book, peer, answer, g_get_monotonic_time ());
}

static void
on_told_ (const struct mesh_news *news, void *data)
{
  struct gateway_ *gateway = data;

  watcher_look_after (gateway->routes_watcher, news->configuration_revision);
  watcher_look_after (gateway->backends_watcher, news->backends_revision);
}

/* Tells a few others what the own watches have shown, once. */
static void
spread_news_ (struct gateway_ *gateway)
{
  const struct mesh_news news = {
    .configuration_revision = watcher_seen (gateway->routes_watcher),
    .backends_revision = watcher_seen (gateway->backends_watcher),
  };

  mesh_spread_news (gateway->mesh, &news, gateway->context.random);
}

/* Tells others where long prompts of this instance are being read, and once that they are. */
static void
on_work_timer_ (uv_timer_t *timer)
{
  struct gateway_ *gateway = timer->data;
  g_autoptr (GPtrArray) all = gw_backends_all (gateway->context.backends);
  struct mesh_work work[MESH_WORK_MAX];
  unsigned n_work = 0;

  for (unsigned i = 0; i < all->len && n_work < MESH_WORK_MAX; i++)
    {
      int64_t unread = gw_place_unread (all->pdata[i]);

      if (unread >= WORK_LEAST_TOKENS)
        work[n_work++] = (struct mesh_work){ gw_place_key (all->pdata[i]), unread };
    }
  if (n_work > 0)
    mesh_spread_work (gateway->mesh, work, n_work, gateway->context.random);
}

static void
on_works_ (uint64_t peer, const struct mesh_work *work, unsigned n_work, void *data)
{
  struct gateway_ *gateway = data;
  g_autoptr (GPtrArray) all = gw_backends_all (gateway->context.backends);
  int64_t now_us = g_get_monotonic_time ();

  for (unsigned i = 0; i < all->len; i++)
    for (unsigned k = 0; k < n_work; k++)
      if (gw_place_key (all->pdata[i]) == work[k].backend)
        gw_place_others (all->pdata[i], peer, work[k].unread_tokens, now_us);
}

static void
on_book_timer_ (uv_timer_t *timer)
{
  struct gateway_ *gateway = timer->data;
  int64_t now_us = g_get_monotonic_time ();
  int64_t due_us = allotment_book_tick (gateway->context.book, now_us);

  uv_timer_start (timer, on_book_timer_, (uint64_t)((due_us - now_us) / US_PER_MS + 1), 0);
}

static unsigned
answer_ready_ (const char *path, GString *body, void *data)
{
  bool ready = is_ready_ (data);

  g_string_append (body, ready ? "ready\n" : "not ready\n");
  return ready ? 200 : 503;
}

static unsigned
answer_metrics_ (const char *path, GString *body, void *data)
{
  if (strcmp (path, "/metrics") != 0)
    return 404;
  sr_counters_print (body);
  return 200;
}

/* Not ready only for reasons of its own: without the store all instances would leave at once. */
static bool
is_ready_ (const struct gateway_ *gateway)
{
  return gateway->context.routes != NULL && gateway->backends_listed && gateway->announced
         && !gateway->context.stopping;
}

static void
on_stop_signal_ (uv_signal_t *handle, int number)
{
  struct gateway_ *gateway = handle->data;

  if (gateway->context.stopping)
    return;
  gateway->context.stopping = true;
  gateway->stop_us = g_get_monotonic_time ();
  gateway->context.stopping_since_us = gateway->stop_us;
  gateway->context.stop_by_us
      = gateway->stop_us
        + ((int64_t)gateway->settings->stop_limit_s * 1000 - STOP_MARGIN_MS) * US_PER_MS;
  sr_event (SR_EVENT_INFO, "stopping", "{s:i,s:i,s:i}", "signal", number, "requests",
            (int)gateway->context.exchanges, "connections",
            (int)gw_ingress_connections (gateway->ingress));
  uv_timer_start (&gateway->stop_timer, on_stop_timer_, STOP_LOOK_MS, STOP_LOOK_MS);
  if (gateway->context.book != NULL)
    {
      json_t *content = announcement_ (gateway);

      store_write (gateway->store, KIND_INSTANCES, gateway->settings->name->str, content,
                   gateway->announced_revision, on_withdrawn_, NULL);
      json_decref (content);
      allotment_book_leave (gateway->context.book, gateway->stop_us);
    }
}

/* The settings are read once at start; a change of them takes effect with the next start. */
static void
on_hang_up_ (uv_signal_t *handle, int number)
{
  struct gateway_ *gateway = handle->data;
  struct sr_findings *findings = sr_findings_new ();
  struct gw_settings *settings = gw_settings_load (gateway->settings_path, findings);

  sr_event (settings == NULL ? SR_EVENT_FAILURE : SR_EVENT_INFO, "settings_looked_at", "{s:i,s:s}",
            "findings", (int)sr_findings_count (findings), "first",
            sr_findings_count (findings) > 0 ? sr_findings_get (findings, 0)->message->str : "");
  gw_settings_delete (settings);
  sr_findings_delete (findings);
}

/* An announcement that stays costs the others a vain question now and then. */
static void
on_withdrawn_ (const struct store_result *result, void *data)
{
  if (result->status != STORE_OK)
    sr_event (SR_EVENT_FAILURE, "announcement_left", "{s:s}", "status",
              store_status_to_string (result->status));
}

/* Serves on until the balancer has moved the callers, then until what runs has ended, gives the
 * tokens back and leaves. */
static void
on_stop_timer_ (uv_timer_t *timer)
{
  struct gateway_ *gateway = timer->data;
  int64_t now_us = g_get_monotonic_time ();
  int64_t since_ms = (now_us - gateway->stop_us) / US_PER_MS;
  int64_t last_ms = (int64_t)gateway->settings->stop_limit_s * 1000 - STOP_MARGIN_MS;
  bool out_of_time = since_ms >= last_ms - HAND_BACK_MS;

  if (since_ms < BALANCER_NOTICE_MS)
    return;
  gw_ingress_close_idle (gateway->ingress);
  if (!out_of_time
      && (gateway->context.exchanges > 0 || gw_ingress_connections (gateway->ingress) > 0))
    return;
  if (!gateway->handing_back)
    {
      gateway->handing_back = true;
      if (gateway->announced)
        store_remove (gateway->store, KIND_INSTANCES, gateway->settings->name->str, on_withdrawn_,
                      NULL);
      if (gateway->context.book != NULL)
        allotment_book_stop (gateway->context.book, now_us);
      return;
    }
  if (since_ms < last_ms && gateway->context.book != NULL
      && !allotment_book_is_empty (gateway->context.book) && !out_of_time)
    return;
  if (since_ms < last_ms && out_of_time && gateway->context.exchanges > 0)
    return;
  uv_stop (&gateway->loop);
}
