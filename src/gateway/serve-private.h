/* State shared by the source files of a running gateway: serve.c (start and stop), updates.c
 * (updates from the store and from peers), allotment-link.c (access of the allotment manager to the
 * store and to peers), quarantine-link.c (the quarantine's access to peers and to the store) and
 * evacuation-link.c (evacuations from the store and from peers). */
#pragma once

#include "clock/fleet-clock.h"
#include "gateway/config-guard.h"
#include "gateway/gateway.h"
#include "gateway/ingress.h"
#include "gateway/serve.h"
#include "mesh/mesh.h"
#include "store/watcher.h"

#define FIELD_MERGED_ERA "merged_era" /* field of an instance's announcement in the store */

enum
{
  GATEWAY_US_PER_MS = 1000,
  /* Interval of full lists in parallel with the watches. A watch can miss a change or report it
   * late. The lists find it: the fleet makes several within the two seconds in which a change must
   * be in force, which leaves time to notify peers, also while a third of the fleet is cut off. */
  GATEWAY_CHECK_MS_PER_INSTANCE = 250, /* multiplied by the number of instances */
  GATEWAY_CHECK_MIN_MS = 1000,         /* lower limit */
  /* Duration of a watch. It is random, so that the watches of the fleet do not all end together. */
  GATEWAY_WATCH_MS_PER_INSTANCE = 170, /* multiplied by the number of instances: the maximum */
  GATEWAY_WATCH_MIN_MS = 1200,         /* lower limit */
  GATEWAY_WATCH_MAX_MS = 15000, /* upper limit; an instance that reaches no peer notices a missed
                                 * change only when its watch ends */
  GATEWAY_WATCH_MIN_PERCENT
  = 60, /* minimum as a percentage of the maximum; each watch costs a store call */
  /* Pause between a change and the next watch. Changes in the meantime are read with a single call,
   * while each separate change would cost a call of every instance. At most a third of the time in
   * which a leaving server must be dropped, and a sixth of that in which a configuration must be in
   * force. */
  GATEWAY_ROUTES_PAUSE_MS_PER_INSTANCE = 4, /* multiplied by the number of instances */
  GATEWAY_ROUTES_PAUSE_MIN_MS = 50,
  GATEWAY_ROUTES_PAUSE_MAX_MS = 300,
  GATEWAY_BACKENDS_PAUSE_MS_PER_INSTANCE = 8, /* multiplied by the number of instances */
  GATEWAY_BACKENDS_PAUSE_MIN_MS = 150,
  GATEWAY_BACKENDS_PAUSE_MAX_MS = 600
};

struct gateway
{
  const struct allotment_link_vtable
      *link_vtable; /* must be first: the gateway is the link of the allotment manager */
  const struct gw_settings *settings;
  const char *settings_path;
  const struct gw_platform *platform;
  struct gw_context context;
  uv_loop_t loop;
  struct mesh_update last_gossip; /* the last update sent to peers because of a change */
  struct config_guard config_guard;
  /* Of the object with the latest configuration decoded; 0: none. */
  int64_t routes_revision;
  int64_t routes_era;
  struct gw_routes *pending_routes; /* received, but not allowed by config_guard yet; NULL: none */
  struct store *store;
  struct watcher *routes_watcher;
  struct watcher *backends_watcher;
  struct watcher *instances_watcher;
  struct watcher *evacuations_watcher; /* NULL: evacuations are not followed */
  unsigned evacuation_list_ms;         /* mean interval of its lists in parallel with the watch */
  struct mesh *mesh;
  struct fleet_clock *clock;
  int64_t time_requested_us; /* when peers were last asked for the time; 0: never */
  struct gw_ingress *ingress;
  uv_timer_t allotment_timer;
  uv_timer_t gossip_timer;
  uv_timer_t lease_timer;
  uv_timer_t config_guard_timer;
  uv_timer_t announce_timer;
  uv_timer_t stop_timer;
  uv_signal_t term;
  uv_signal_t interrupt;
  uv_signal_t hang_up;
  char nonce[32]; /* random; distinguishes this process's announcement from those of earlier starts
                   */
  bool peers_asked;              /* for updates and reports, after the first list of instances */
  uv_timer_t quarantine_timer;   /* saves and reads blocked prompt parts */
  int64_t quarantine_read_us;    /* when the saved ones were last read; 0: never */
  uv_timer_t evacuation_timer;   /* ends the hold of evacuations after a restore of the store */
  uv_timer_t cancel_timer;       /* requests are cancelled after a prompt part was blocked */
  bool backends_listed;          /* the first list of backend servers has been received */
  bool announced;                /* registered in the store, and the allotment manager is open */
  bool returning_tokens;         /* stopping: returning the tokens */
  bool announcing;               /* a store call for the announcement is pending or scheduled */
  uint64_t incarnation;          /* of this start; 0: not announced yet */
  int64_t announced_revision;    /* store revision of the announcement */
  int64_t merged_era;            /* era whose records contain all tokens held here; 0: none known */
  GHashTable *leaving_instances; /* names of stopping instances, which lend no more tokens */
  int64_t outage_ended_us; /* end of the last store outage or time of a restore; 0: none yet */
  int64_t stop_started_us; /* when the stop signal came */
};

void gateway_announce_ (struct gateway *gateway);
void gateway_announce_merged_ (struct gateway *gateway);
uint64_t gateway_incarnation_ (const struct gateway *gateway, const struct store_object *object);
void gateway_set_team_totals_ (struct gateway *gateway);
void gateway_on_restored_ (int64_t era, void *data);
void gateway_register_update_metrics_ (void);
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
void gateway_send_loan_request_ (void *link,
                                 const char *peer,
                                 const struct allotment_loan_request *request);
void
gateway_send_loan_reply_ (void *link, uint64_t handle, const struct allotment_loan_reply *reply);
void gateway_on_loan_request_ (uint64_t handle,
                               const struct allotment_loan_request *request,
                               void *data);
void
gateway_on_loan_reply_ (const char *peer, const struct allotment_loan_reply *reply, void *data);
bool gateway_get_real_time_bounds_ (void *link, int64_t *earliest_ms, int64_t *latest_ms);
void gateway_on_peer_time_ (const char *peer, int64_t real_ms, int64_t requested_us, void *data);
void gateway_on_gossip_timer_ (uv_timer_t *timer);
void gateway_gossip_update_ (struct gateway *gateway);
void gateway_fill_update_ (struct mesh_update *update, void *data);
void gateway_on_peer_update_ (const struct mesh_update *update, void *data);
void gateway_announce_replaced_ (struct gw_context *context, const struct gw_backend *backend);
void gateway_on_backend_replaced_ (uint64_t key, void *data);
void gateway_on_backend_leaving_ (uint64_t key, int64_t started_ms, void *data);
void gateway_on_peer_reported_leaving_ (uint64_t key, int64_t started_ms, void *data);
void gateway_on_allotment_timer_ (uv_timer_t *timer);
void gateway_open_evacuations_ (struct gateway *gateway, const struct watcher_options *options);
void gateway_set_evacuation_lists_ (struct gateway *gateway);
void gateway_note_evacuations_revision_ (struct gateway *gateway, int64_t revision);
int64_t gateway_evacuations_revision_ (const struct gateway *gateway);
void gateway_restore_evacuations_ (struct gateway *gateway, unsigned spread_ms);
void gateway_open_quarantine_ (struct gateway *gateway);
void gateway_set_exempt_parts_ (struct gateway *gateway, const struct gw_settings *settings);
void
gateway_on_part_reports_ (const struct quarantine_report *reports, unsigned n_reports, void *data);
unsigned gateway_fill_part_reports_ (struct quarantine_report *reports, unsigned max, void *data);
void gateway_repeat_part_reports_ (struct gateway *gateway);
void gateway_on_quarantine_timer_ (uv_timer_t *timer);
