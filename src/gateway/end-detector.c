#include "gateway/end-detector.h"

#include "base/counters.h"
#include "base/event-log.h"
#include "gateway/upstream.h"

#include <string.h>

enum
{
  SETTLE_MS = 30,           /* in which all connections to a server that has ended are closed */
  LOST_CONNECTIONS_MIN = 2, /* fewer closed ones are no proof: the server is called */
  REQUESTS_MAX = 64         /* unanswered ones of one end that are looked at */
};

struct end_detector
{
  struct gw_context *context;
  GHashTable *checks; /* struct gw_backend: struct check_ */
};

/* A backend server that may have ended. */
struct check_
{
  const struct gw_upstream_user_vtable *vtable; /* must be first: the user of a gw_upstream */
  struct end_detector *detector;
  struct gw_backend *backend;
  int64_t closed_us;
  unsigned lost_before;     /* connections_lost before the first unanswered request was cut off */
  GArray *requests;         /* struct unanswered_ */
  struct gw_upstream *call; /* NULL: none */
  uv_timer_t timer;
};

struct unanswered_
{
  struct quarantine_parts parts;
  uint64_t team;
  enum quarantine_progress progress;
};

static void on_settled_ (uv_timer_t *timer);
static void call_server_ (struct check_ *check);
static void on_ready_ (void *user);
static void on_failed_ (void *user, enum gw_upstream_failure failure);
static void on_head_ (void *user,
                      const struct net_http_head *head,
                      const struct gw_response_head *response,
                      const GString *headers);
static void on_body_ (void *user, const char *data, size_t length);
static void on_complete_ (void *user);
static void report_end_ (const struct check_ *check, const char *evidence);
static void delete_check_ (struct check_ *check);
static void on_timer_closed_ (uv_handle_t *handle);

/* A call only opens a connection, so there is no response. */
static const struct gw_upstream_user_vtable call_vtable_ = {
  .ready = on_ready_,
  .head = on_head_,
  .body = on_body_,
  .complete = on_complete_,
  .failed = on_failed_,
};

static struct sr_counter ends_counter_
    = { .name = "sapphirerun_backend_ends_total",
        .help = "Ends of backend server processes under unanswered requests of this instance." };

struct end_detector *
end_detector_new (struct gw_context *context)
{
  struct end_detector *detector = g_new0 (struct end_detector, 1);

  sr_counter_register (&ends_counter_);
  detector->context = context;
  detector->checks = g_hash_table_new (NULL, NULL);
  return detector;
}

/* Notes that the connection of a request with PARTS of TEAM (hash; 0: none) was closed by BACKEND
 * before its answer got under way. A server that has announced that it is leaving ends as planned.
 */
void
end_detector_note_closed (struct end_detector *detector,
                          struct gw_backend *backend,
                          const struct quarantine_parts *parts,
                          uint64_t team,
                          enum quarantine_progress progress)
{
  struct check_ *check = g_hash_table_lookup (detector->checks, backend);
  const struct unanswered_ request = { .parts = *parts, .team = team, .progress = progress };

  if (parts->n == 0 || backend->facts.is_leaving || backend->is_removed)
    return;
  if (check == NULL)
    {
      check = g_new0 (struct check_, 1);
      check->vtable = &call_vtable_;
      check->detector = detector;
      check->backend = gw_backend_ref (backend);
      check->closed_us = g_get_monotonic_time ();
      check->lost_before = backend->connections_lost - 1;
      check->requests = g_array_new (FALSE, FALSE, sizeof request);
      uv_timer_init (detector->context->loop, &check->timer);
      check->timer.data = check;
      uv_timer_start (&check->timer, on_settled_, SETTLE_MS, 0);
      g_hash_table_insert (detector->checks, backend, check);
    }
  if (check->requests->len < REQUESTS_MAX)
    g_array_append_val (check->requests, request);
}

static void
on_settled_ (uv_timer_t *timer)
{
  struct check_ *check = timer->data;
  const struct gw_backend *backend = check->backend;

  if (backend->open_connections > 0 || backend->facts.is_leaving)
    {
      delete_check_ (check);
      return;
    }
  if (backend->connections_lost - check->lost_before >= LOST_CONNECTIONS_MIN)
    {
      report_end_ (check, "all connections were closed");
      delete_check_ (check);
      return;
    }
  call_server_ (check);
}

/* Opens a connection to the server: it has ended if it accepts none. A server in an evacuated data
 * centre is not called, as it must get nothing new; whether it has ended stays open then. */
static void
call_server_ (struct check_ *check)
{
  struct gw_context *context = check->detector->context;
  const struct gw_upstream_options options = {
    .loop = context->loop,
    .dialect = context->dialect,
    .link = &context->link,
    .backends = context->backends,
    .backend = check->backend,
    .request_id = "",
    .user = check,
  };

  if (!evacuation_excludes (context->evacuation, check->backend->facts.data_centre))
    check->call = gw_upstream_open (&options);
  if (check->call == NULL)
    {
      sr_event (SR_EVENT_WARNING, "backend_not_called", "{s:s}", "backend",
                check->backend->facts.id);
      delete_check_ (check);
    }
}

static void
on_ready_ (void *user)
{
  struct check_ *check = user;

  gw_upstream_abandon (check->call);
  delete_check_ (check);
}

static void
on_failed_ (void *user, enum gw_upstream_failure failure)
{
  struct check_ *check = user;

  if (failure == GW_UPSTREAM_NOT_CONNECTED)
    report_end_ (check, "its connection was closed and it accepts no other");
  delete_check_ (check);
}

static void
on_head_ (void *user,
          const struct net_http_head *head,
          const struct gw_response_head *response,
          const GString *headers)
{
}

static void
on_body_ (void *user, const char *data, size_t length)
{
}

static void
on_complete_ (void *user)
{
}

static void
report_end_ (const struct check_ *check, const char *evidence)
{
  const struct gw_backend *backend = check->backend;
  g_autofree struct quarantine_request *requests
      = g_new0 (struct quarantine_request, check->requests->len);
  const struct quarantine_process_end end = { .backend = backend->key,
                                              .started_ms = backend->facts.started_ms,
                                              .at_us = check->closed_us,
                                              .requests = requests,
                                              .n_requests = check->requests->len };

  for (unsigned i = 0; i < check->requests->len; i++)
    {
      const struct unanswered_ *request = &g_array_index (check->requests, struct unanswered_, i);

      requests[i] = (struct quarantine_request){ .parts = &request->parts,
                                                 .team = request->team,
                                                 .progress = request->progress };
    }
  sr_counter_add (&ends_counter_, 1);
  sr_event (SR_EVENT_WARNING, "backend_ended", "{s:s,s:o,s:I,s:i,s:s}", "backend",
            backend->facts.id, "backend_key",
            json_sprintf ("%" G_GINT64_MODIFIER "x", backend->key), "started_ms",
            (json_int_t)backend->facts.started_ms, "unanswered", (int)check->requests->len,
            "evidence", evidence);
  quarantine_note_end (check->detector->context->quarantine, &end, g_get_monotonic_time ());
}

static void
delete_check_ (struct check_ *check)
{
  g_hash_table_remove (check->detector->checks, check->backend);
  gw_backend_unref (check->backend);
  check->backend = NULL;
  uv_close ((uv_handle_t *)&check->timer, on_timer_closed_);
}

static void
on_timer_closed_ (uv_handle_t *handle)
{
  struct check_ *check = handle->data;

  g_array_unref (check->requests);
  g_free (check);
}
