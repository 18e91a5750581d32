/* Follows the store's evacuations for the decisions of evacuation.c. */
#include "gateway/serve-private.h"

#include "base/counters.h"
#include "base/event-log.h"

#include <string.h>

enum
{
  /* A pending watch counts as one store call however long it waits, so it waits for as long as the
   * store allows. The time is random, so that the watches of the fleet do not all end together. */
  WATCH_MAX_MS = 30000,
  WATCH_MIN_MS = 24000,
  PAUSE_MS = 100, /* between a change and the next watch: one call reads evacuations that are
                     requested together */
  /* A watch can miss a change or show it late; lists in parallel with the watches find it. The
   * first instance to see it notifies its peers, which then list too. Mean interval of these lists
   * over the whole fleet, as a percentage of the limit: at random times, they are more than half of
   * the limit apart in one of 500 cases. */
  LIST_PERCENT = 8,
  /* Lower limit of the mean interval of one instance, also as a percentage. An interval is up
   * to 1.5 times as long, which leaves half of the limit to an instance that has no peers. */
  LIST_MIN_PERCENT = 24,
  LIST_MIN_MS = 100,
  /* An instance that receives nothing from peers for so long depends on its own lists. With
   * repeated updates of all peers twice a second, that happens by chance to one of 2,500 at most.
   */
  ALONE_US = 2000000
};

static void on_listed_ (const struct store_result *result, void *data);
static void on_changes_ (const struct store_result *result, void *data);
static void on_evacuation_ (const char *data_centre, bool is_evacuated, void *data);
static void on_hold_timer_ (uv_timer_t *timer);

static struct sr_counter evacuated_gauge_
    = { .name = "sapphirerun_evacuated_data_centres",
        .help = "Data centres whose backend servers get no new requests." };

/* Starts to follow the store's evacuations with OPTIONS for the watcher, if the settings ask for
 * it. */
void
gateway_open_evacuations_ (struct gateway *gateway, const struct watcher_options *options)
{
  const struct evacuation_options evacuation
      = { .hold_us = (int64_t)gateway->settings->evacuation_limit_ms * GATEWAY_US_PER_MS,
          .changed = on_evacuation_,
          .data = gateway };
  struct watcher_options watch = *options;

  if (gateway->settings->evacuation_limit_ms == 0)
    return;
  sr_counter_register (&evacuated_gauge_);
  gateway->context.evacuation = evacuation_new (&evacuation);
  uv_timer_init (&gateway->loop, &gateway->evacuation_timer);
  gateway->evacuation_timer.data = gateway;
  watch.kind = gateway->platform->evacuation_kind;
  watch.wait_min_ms = WATCH_MIN_MS;
  watch.wait_max_ms = WATCH_MAX_MS;
  watch.pause_ms = PAUSE_MS;
  watch.listed = on_listed_;
  watch.checked = NULL;
  watch.changed = on_changes_;
  watch.reachable = NULL;
  gateway->evacuations_watcher = watcher_new (&watch);
  watcher_start (gateway->evacuations_watcher);
  gateway_set_evacuation_lists_ (gateway);
}

/* Sets the interval of the lists in parallel with the watch. Call this regularly, as it depends on
 * the number of instances and on whether peers are heard from. */
void
gateway_set_evacuation_lists_ (struct gateway *gateway)
{
  unsigned limit_ms = gateway->settings->evacuation_limit_ms;
  unsigned min_ms = MAX (limit_ms * LIST_MIN_PERCENT / 100, (unsigned)LIST_MIN_MS);
  unsigned interval_ms = MAX (gateway->context.instances * (limit_ms * LIST_PERCENT / 100), min_ms);

  if (gateway->evacuations_watcher == NULL)
    return;
  if (g_get_monotonic_time () - mesh_last_received_us (gateway->mesh) > ALONE_US)
    interval_ms = min_ms;
  /* A much shorter interval takes effect at once, not after the current one; a fleet that shrinks
   * one by one would otherwise put off its lists again and again. */
  if (interval_ms < gateway->evacuation_list_ms / 2)
    watcher_set_list_interval (gateway->evacuations_watcher, 0);
  watcher_set_list_interval (gateway->evacuations_watcher, interval_ms);
  gateway->evacuation_list_ms = interval_ms;
}

/* Peers have seen REVISION of the evacuations; 0: none. */
void
gateway_note_evacuations_revision_ (struct gateway *gateway, int64_t revision)
{
  if (gateway->evacuations_watcher != NULL && revision > 0)
    watcher_notify_revision (gateway->evacuations_watcher, revision);
}

/* Returns the revision of the latest change of the evacuations that this instance has seen; 0:
 * none. */
int64_t
gateway_evacuations_revision_ (const struct gateway *gateway)
{
  return gateway->evacuations_watcher == NULL
             ? 0
             : watcher_reported_revision (gateway->evacuations_watcher);
}

/* The store was restored: lists again within SPREAD_MS. */
void
gateway_restore_evacuations_ (struct gateway *gateway, unsigned spread_ms)
{
  if (gateway->evacuations_watcher == NULL)
    return;
  evacuation_note_restore (gateway->context.evacuation, g_get_monotonic_time ());
  watcher_restart (gateway->evacuations_watcher, spread_ms);
  /* One millisecond later than the hold, as the loop's clock is coarser. */
  uv_timer_start (&gateway->evacuation_timer, on_hold_timer_,
                  gateway->settings->evacuation_limit_ms + 1, 0);
}

static void
on_listed_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;
  struct evacuation *evacuation = gateway->context.evacuation;
  bool was_known = evacuation_is_known (evacuation);
  int64_t now_us = g_get_monotonic_time ();

  evacuation_begin_list (evacuation);
  for (size_t i = 0; i < result->n_objects; i++)
    evacuation_put (evacuation, result->objects[i].name, now_us);
  evacuation_end_list (evacuation, now_us);
  if (!was_known)
    sr_event (SR_EVENT_INFO, "evacuations_known", "{s:i,s:I}", "evacuated",
              (int)evacuation_count (evacuation), "revision", (json_int_t)result->revision);
  gateway_gossip_update_ (gateway);
}

static void
on_changes_ (const struct store_result *result, void *data)
{
  struct gateway *gateway = data;
  struct evacuation *evacuation = gateway->context.evacuation;

  for (size_t i = 0; i < result->n_objects; i++)
    if (result->objects[i].deleted)
      evacuation_remove (evacuation, result->objects[i].name);
    else
      evacuation_put (evacuation, result->objects[i].name, g_get_monotonic_time ());
  gateway_gossip_update_ (gateway);
}

/* A name that no backend server has as its data centre is reported as a warning, as it may be
 * misspelled. */
static void
on_evacuation_ (const char *data_centre, bool is_evacuated, void *data)
{
  struct gateway *gateway = data;
  g_autoptr (GPtrArray) backends = gw_backends_all (gateway->context.backends);
  unsigned there = 0;

  for (unsigned i = 0; i < backends->len; i++)
    there
        += strcmp (((struct gw_backend *)backends->pdata[i])->facts.data_centre, data_centre) == 0;
  sr_event (there > 0 || !gateway->backends_listed ? SR_EVENT_INFO : SR_EVENT_WARNING,
            is_evacuated ? "evacuation_began" : "evacuation_ended", "{s:s,s:i,s:i,s:I,s:I}",
            "evacuated", data_centre, "servers", (int)there, "evacuations",
            (int)evacuation_count (gateway->context.evacuation), "revision",
            (json_int_t)gateway_evacuations_revision_ (gateway), "era",
            (json_int_t)gateway->store->era);
  sr_counter_set (&evacuated_gauge_, evacuation_count (gateway->context.evacuation));
  /* The servers got no requests meanwhile, and their entries may not say yet that they are cold. */
  if (!is_evacuated && gateway->context.routes != NULL
      && gw_cold_start_is_on (gateway->context.cold_start))
    gw_backends_assume_cold (gateway->context.backends, gateway->context.routes, data_centre,
                             g_get_monotonic_time ());
}

static void
on_hold_timer_ (uv_timer_t *timer)
{
  struct gateway *gateway = timer->data;

  evacuation_end_hold (gateway->context.evacuation, g_get_monotonic_time ());
}
