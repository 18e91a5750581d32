/* What the parts of a running gateway share: its start and stop, what it follows in the store, and
 * the book's way to the store and to other instances. */
#pragma once

#include "clock/fleet-clock.h"
#include "gateway/config-guard.h"
#include "gateway/gateway.h"
#include "gateway/ingress.h"
#include "gateway/serve.h"
#include "mesh/mesh.h"
#include "store/watcher.h"

#define FIELD_MERGED_ERA "merged_era" /* of the announcement of an instance */

enum
{
  GATEWAY_US_PER_MS = 1000,
  /* A watch can be deaf to a change, or tell of it late. Lists beside the watches find it: several
   * by the fleet in the two seconds in which a change must be in force, with time left to tell the
   * others, also while a third of the fleet is cut off. */
  GATEWAY_CHECK_FLEET_MS = 250, /* times the instances */
  GATEWAY_CHECK_MIN_MS = 1000,  /* of one instance */
  /* Watches are open for a time by chance, so that they do not all end together. */
  GATEWAY_WATCH_FLEET_MS = 170, /* times the instances: the longest time */
  GATEWAY_WATCH_MIN_MS = 1200,
  GATEWAY_WATCH_MAX_MS = 15000, /* who reaches nobody else finds out by itself after this time */
  GATEWAY_WATCH_SHORTEST_PERCENT = 60, /* of the longest time; each end costs a call */
  /* Between changes, which are read together: each change costs a call of every instance. At most a
   * third of the time in which a leaving server must be dropped, a sixth of that in which a
   * configuration must be in force. */
  GATEWAY_ROUTES_PAUSE_FLEET_MS = 4, /* times the instances */
  GATEWAY_ROUTES_PAUSE_MIN_MS = 50,
  GATEWAY_ROUTES_PAUSE_MAX_MS = 300,
  GATEWAY_BACKENDS_PAUSE_FLEET_MS = 8, /* times the instances */
  GATEWAY_BACKENDS_PAUSE_MIN_MS = 150,
  GATEWAY_BACKENDS_PAUSE_MAX_MS = 600
};

struct gateway
{
  const struct allotment_link_vtable *link_vtable; /* first: the book's link */
  const struct gw_settings *settings;
  const char *settings_path;
  const struct gw_platform *platform;
  struct gw_context context;
  uv_loop_t loop;
  struct mesh_news spread; /* what others were told last */
  struct config_guard config_guard;
  struct gw_routes *held_routes; /* not in force: the guard does not allow them yet; or NULL */
  struct store *store;
  struct watcher *routes_watcher;
  struct watcher *backends_watcher;
  struct watcher *instances_watcher;
  struct mesh *mesh;
  struct fleet_clock *clock;
  int64_t time_asked_us; /* of other instances, last; 0: never */
  struct gw_ingress *ingress;
  uv_timer_t book_timer;
  uv_timer_t news_timer;
  uv_timer_t lease_timer;
  uv_timer_t guard_timer;
  uv_timer_t announce_timer;
  uv_timer_t stop_timer;
  uv_signal_t term;
  uv_signal_t interrupt;
  uv_signal_t hang_up;
  char nonce[32]; /* tells this start's announcement from earlier ones */
  bool backends_listed;
  bool announced;
  bool handing_back;
  bool announcing;      /* a call for the announcement is out, or due */
  uint64_t incarnation; /* of this start; 0: not announced yet */
  int64_t announced_revision;
  int64_t merged_era;  /* in which all that the book holds is in the store; 0: not known to be */
  GHashTable *leaving; /* names of instances that stop: they lend no more */
  int64_t outage_ended_us; /* of the store, as far as this instance has seen */
  int64_t stop_us;
};

void gateway_announce_ (struct gateway *gateway);
void gateway_announce_merged_ (struct gateway *gateway);
uint64_t gateway_incarnation_ (const struct gateway *gateway, const struct store_object *object);
void gateway_tell_totals_ (struct gateway *gateway);
void gateway_on_restored_ (int64_t era, void *data);
void gateway_on_routes_ (const struct store_result *result, void *data);
void gateway_on_backends_listed_ (const struct store_result *result, void *data);
void gateway_on_backends_checked_ (const struct store_result *result, void *data);
void gateway_on_backends_changed_ (const struct store_result *result, void *data);
void gateway_on_backends_reachable_ (bool reachable, void *data);
void gateway_on_instances_listed_ (const struct store_result *result, void *data);
void gateway_on_instances_changed_ (const struct store_result *result, void *data);
void gateway_read_record_ (void *link, const char *team, uint64_t call);
void gateway_write_record_ (
    void *link, const char *team, uint64_t call, json_t *content, int64_t expected_revision);
void gateway_send_ask_ (void *link, const char *peer, const struct allotment_ask *ask);
void gateway_send_answer_ (void *link, uint64_t handle, const struct allotment_answer *answer);
void gateway_on_asked_ (uint64_t handle, const struct allotment_ask *ask, void *data);
void gateway_on_answered_ (const char *peer, const struct allotment_answer *answer, void *data);
bool gateway_real_time_ (void *link, int64_t *earliest_ms, int64_t *latest_ms);
void gateway_on_told_time_ (const char *peer, int64_t real_ms, int64_t asked_us, void *data);
void gateway_on_news_timer_ (uv_timer_t *timer);
void gateway_on_asked_news_ (struct mesh_news *news, void *data);
void gateway_on_told_ (const struct mesh_news *news, void *data);
void gateway_tell_replaced_ (struct gw_context *context, const struct gw_backend *backend);
void gateway_on_replaced_ (uint64_t key, void *data);
void gateway_on_left_ (uint64_t key, int64_t started_ms, void *data);
void gateway_on_told_left_ (uint64_t key, int64_t started_ms, void *data);
void gateway_on_book_timer_ (uv_timer_t *timer);
