#include "gateway/serve-private.h"
#include "store/era-object.h"

#include <time.h>

enum
{
  TIME_ROUND_TRIP_MAX_US = 1000000, /* a longer one, as of a paused peer, gives loose bounds */
  TIME_INTERVAL_US = 4000000,       /* several requests in the time for which a response counts */
};

#define KIND_BUDGETS "sapphirerun-budgets"

/* A pending store call for the budget record of a team. */
struct record_call_
{
  struct gateway *gateway;
  char *team;
  uint64_t number; /* given by the allotment manager */
};

static struct record_call_ *
record_call_new_ (struct gateway *gateway, const char *team, uint64_t number);
static void request_time_ (struct gateway *gateway);
static int64_t boot_time_us_ (void);
static void on_record_read_ (const struct store_result *result, void *data);
static void on_record_written_ (const struct store_result *result, void *data);

void
gateway_read_record_ (void *link, const char *team, uint64_t call)
{
  struct gateway *gateway = link;

  era_object_read (gateway->store, KIND_BUDGETS, team, on_record_read_,
                   record_call_new_ (gateway, team, call));
}

void
gateway_write_record_ (
    void *link, const char *team, uint64_t call, json_t *content, int64_t expected_revision)
{
  struct gateway *gateway = link;

  era_object_write (gateway->store, KIND_BUDGETS, team, content, expected_revision,
                    on_record_written_, record_call_new_ (gateway, team, call));
  json_decref (content);
}

static struct record_call_ *
record_call_new_ (struct gateway *gateway, const char *team, uint64_t number)
{
  struct record_call_ *call = g_new0 (struct record_call_, 1);

  call->gateway = gateway;
  call->team = g_strdup (team);
  call->number = number;
  return call;
}

static void
on_record_read_ (const struct store_result *result, void *data)
{
  struct record_call_ *call = data;

  allotment_manager_read_done (
      call->gateway->context.allotments, call->team, call->number, result->status,
      result->n_objects > 0 ? result->objects[0].content : NULL,
      result->n_objects > 0 ? result->objects[0].revision : 0, g_get_monotonic_time ());
  g_free (call->team);
  g_free (call);
}

static void
on_record_written_ (const struct store_result *result, void *data)
{
  struct record_call_ *call = data;

  allotment_manager_write_done (
      call->gateway->context.allotments, call->team, call->number, result->status,
      result->n_objects > 0 ? result->objects[0].content : NULL,
      result->n_objects > 0 ? result->objects[0].revision : 0, g_get_monotonic_time ());
  g_free (call->team);
  g_free (call);
}

void
gateway_send_loan_request_ (void *link,
                            const char *peer,
                            const struct allotment_loan_request *request)
{
  struct gateway *gateway = link;

  mesh_send_loan_request (gateway->mesh, peer, request);
}

void
gateway_send_loan_reply_ (void *link, uint64_t handle, const struct allotment_loan_reply *reply)
{
  struct gateway *gateway = link;

  mesh_send_loan_reply (gateway->mesh, handle, reply);
}

void
gateway_on_loan_request_ (uint64_t handle, const struct allotment_loan_request *request, void *data)
{
  struct gateway *gateway = data;

  if (gateway->context.allotments != NULL)
    allotment_manager_loan_requested (gateway->context.allotments, handle, request,
                                      g_get_monotonic_time ());
}

void
gateway_on_loan_reply_ (const char *peer, const struct allotment_loan_reply *reply, void *data)
{
  struct gateway *gateway = data;

  if (gateway->context.allotments != NULL)
    allotment_manager_loan_replied (gateway->context.allotments, peer, reply,
                                    g_get_monotonic_time ());
}

bool
gateway_get_real_time_bounds_ (void *link, int64_t *earliest_ms, int64_t *latest_ms)
{
  struct gateway *gateway = link;
  const struct fleet_time now
      = { .steady_us = boot_time_us_ (), .real_ms = g_get_real_time () / GATEWAY_US_PER_MS };

  return fleet_clock_bounds (gateway->clock, &now, earliest_ms, latest_ms);
}

/* Notes the time of day of a peer. Ignored unless it was requested within the last second. */
void
gateway_on_peer_time_ (const char *peer, int64_t real_ms, int64_t requested_us, void *data)
{
  struct gateway *gateway = data;
  int64_t now_us = boot_time_us_ ();

  if (requested_us <= now_us && now_us - requested_us <= TIME_ROUND_TRIP_MAX_US)
    fleet_clock_add_reading (gateway->clock, peer, real_ms, requested_us, now_us);
}

/* Requests the time of day from peers, every TIME_INTERVAL_US, and on each call while too few peers
 * have responded. */
static void
request_time_ (struct gateway *gateway)
{
  int64_t now_us = boot_time_us_ ();

  if (gateway->time_requested_us != 0 && now_us - gateway->time_requested_us < TIME_INTERVAL_US
      && fleet_clock_has_quorum (gateway->clock, now_us))
    return;
  gateway->time_requested_us = now_us;
  mesh_request_time (gateway->mesh, now_us, gateway->context.random);
}

/* Monotonic clock that, unlike g_get_monotonic_time, goes on while the system is suspended. */
static int64_t
boot_time_us_ (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

void
gateway_on_allotment_timer_ (uv_timer_t *timer)
{
  struct gateway *gateway = timer->data;
  int64_t now_us = g_get_monotonic_time ();
  int64_t due_us;

  request_time_ (gateway);
  due_us = allotment_manager_tick (gateway->context.allotments, now_us);
  gateway_announce_merged_ (gateway);
  uv_timer_start (timer, gateway_on_allotment_timer_,
                  (uint64_t)((due_us - now_us) / GATEWAY_US_PER_MS + 1), 0);
}

void
gateway_announce_replaced_ (struct gw_context *context, const struct gw_backend *backend)
{
  struct gateway *gateway
      = (struct gateway *)((char *)context - offsetof (struct gateway, context));

  mesh_announce_replaced (gateway->mesh, backend->key, context->random);
}

/* A peer has found that another server responds at the address of the backend server with KEY.
 * Announces it to further peers the first time. */
void
gateway_on_backend_replaced_ (uint64_t key, void *data)
{
  struct gateway *gateway = data;
  struct gw_backend *backend = gw_backends_find (gateway->context.backends, key);

  if (backend != NULL && gw_placement_set_replaced (backend, g_get_monotonic_time ()))
    mesh_announce_replaced (gateway->mesh, key, gateway->context.random);
}

/* A backend server is newly known to be leaving, by its own response or by report of a peer:
 * announces it to peers. */
void
gateway_on_backend_leaving_ (uint64_t key, int64_t started_ms, void *data)
{
  struct gateway *gateway = data;

  mesh_announce_leaving (gateway->mesh, key, started_ms, gateway->context.random);
}

/* A peer reports that a backend server is leaving. */
void
gateway_on_peer_reported_leaving_ (uint64_t key, int64_t started_ms, void *data)
{
  struct gateway *gateway = data;

  gw_backends_set_leaving (gateway->context.backends, key, started_ms);
}
