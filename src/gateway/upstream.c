#include "gateway/upstream.h"

#include "base/counters.h"
#include "base/event-log.h"
#include "gateway/link-load.h"
#include "gateway/placement.h"

#include <jansson.h>
#include <string.h>

enum
{
  HTTP_MISDIRECTED = 421,
  HEAD_MAX_BYTES = 32768,
  US_PER_MS = 1000,
  IDLE_MAX_MS
  = 4000, /* below the shortest idle timeout that servers announce, which is in whole seconds */
  IDLE_MAX_NOT_REPEATABLE_MS
  = 1500, /* for requests that must not run twice: well before the server closes */
  IDLE_MIN_NOT_REPEATABLE_MS
  = 20,                        /* and late enough that a stray second response would have arrived */
  KEEP_ALIVE_MARGIN_MS = 1000, /* subtracted from the time that a server announced */
  IDLE_CONNECTIONS_MAX
  = 16 /* per backend server: about the number of requests that end within one idle time */
};

struct gw_upstream
{
  const struct net_http_owner_vtable *vtable; /* must be first: the owner of conn */
  struct net_http_conn *conn;
  struct gw_link_load *link;
  struct gw_backends *backends;
  struct gw_backend *backend;
  const struct gw_dialect *dialect;
  uv_loop_t *loop;
  uv_timer_t timer;                            /* handshake timeout, later idle timeout */
  const struct gw_upstream_user_vtable **user; /* NULL while idle */
  char *request_id;                            /* of the current request; NULL while idle */
  GString *headers;
  int64_t opened_us;      /* start of the handshake */
  bool is_open;           /* the handshake is complete */
  bool has_responded;     /* has received a complete response to an earlier request */
  bool discards_response; /* discarding a response to another request */
  bool keeps_alive;       /* the response allows reuse of the connection */
  bool is_closed;
  uint64_t idle_since_ms;
  unsigned idle_max_ms;
};

static void on_connected_ (void *owner);
static void on_head_ (void *owner, const struct net_http_head *head);
static bool may_be_stray_ (const struct gw_upstream *upstream);
static void on_body_ (void *owner, const char *data, size_t length);
static void on_message_end_ (void *owner);
static void on_ended_ (void *owner, enum net_end_reason end);
static void on_timer_ (uv_timer_t *timer);
static void on_timer_closed_ (uv_handle_t *handle);
static void wait_for_handshake_ (struct gw_upstream *upstream, int64_t waited_ms);
static void fail_ (struct gw_upstream *upstream, enum gw_upstream_failure failure);
static void close_ (struct gw_upstream *upstream);
static void free_ (struct gw_upstream *upstream);
static void note_server_state_ (struct gw_upstream *upstream,
                                unsigned status,
                                const struct gw_response_head *response);
static struct gw_upstream *take_idle_ (const struct gw_upstream_options *options);

static const struct net_http_owner_vtable owner_vtable_ = {
  .connected = on_connected_,
  .head = on_head_,
  .body = on_body_,
  .message_end = on_message_end_,
  .ended = on_ended_,
};

static const char *const failure_names_[] = {
  [GW_UPSTREAM_NOT_CONNECTED] = "not_connected",
  [GW_UPSTREAM_LINK_BUSY] = "link_busy",
  [GW_UPSTREAM_CLOSED] = "closed",
  [GW_UPSTREAM_MALFORMED] = "malformed",
};

static struct sr_counter opened_counter_ = { .name = "sapphirerun_backend_connections_opened_total",
                                             .help = "Connections opened to backend servers." };
static struct sr_counter stray_responses_counter_
    = { .name = "sapphirerun_backend_stray_answers_total",
        .help = "Answers of backend servers that belonged to no request in progress." };

/* Returns the log name of FAILURE. */
const char *
gw_upstream_failure_to_string (enum gw_upstream_failure failure)
{
  g_assert ((size_t)failure < G_N_ELEMENTS (failure_names_));
  return failure_names_[failure];
}

/* Call once at start. */
void
gw_upstream_register_metrics (void)
{
  sr_counter_register (&opened_counter_);
  sr_counter_register (&stray_responses_counter_);
}

/* Returns a connection to the backend server of OPTIONS for one request: an idle one, which is
 * ready at once (see gw_upstream_is_ready), or a new one, which calls `ready` after its handshake.
 * Returns NULL if no connection can be opened. */
struct gw_upstream *
gw_upstream_open (const struct gw_upstream_options *options)
{
  const struct net_http_conn_options conn_options
      = { .loop = options->loop, .head_max_bytes = HEAD_MAX_BYTES };
  struct gw_upstream *upstream = take_idle_ (options);

  if (upstream != NULL)
    {
      upstream->user = options->user;
      upstream->request_id = g_strdup (options->request_id);
      return upstream;
    }
  upstream = g_new0 (struct gw_upstream, 1);
  upstream->vtable = &owner_vtable_;
  upstream->link = options->link;
  upstream->opened_us = g_get_monotonic_time ();
  upstream->backends = options->backends;
  upstream->backend = gw_backend_ref (options->backend);
  upstream->dialect = options->dialect;
  upstream->loop = options->loop;
  upstream->user = options->user;
  upstream->request_id = g_strdup (options->request_id);
  upstream->headers = g_string_new (NULL);
  upstream->conn = net_http_conn_new (&conn_options, upstream);
  uv_timer_init (options->loop, &upstream->timer);
  upstream->timer.data = upstream;
  options->backend->connections++;
  sr_counter_add (&opened_counter_, 1);
  if (!net_http_conn_connect (upstream->conn, &options->backend->facts.address))
    {
      upstream->conn = NULL;
      free_ (upstream);
      return NULL;
    }
  wait_for_handshake_ (upstream, 0);
  return upstream;
}

/* Returns true if a request can be sent now; `ready` is then not called. */
bool
gw_upstream_is_ready (const struct gw_upstream *upstream)
{
  return upstream->is_open;
}

/* Sends a request, given as consecutive PARTS. The connection must be ready. EXPECTS_NO_BODY: the
 * response has no body, as for HEAD. */
void
gw_upstream_send (struct gw_upstream *upstream,
                  const struct net_string_view *parts,
                  size_t n_parts,
                  bool expects_no_body)
{
  if (expects_no_body)
    net_http_conn_expect_no_body (upstream->conn);
  net_http_conn_write (upstream->conn, parts, n_parts);
}

void
gw_upstream_pause (struct gw_upstream *upstream, bool pause)
{
  net_http_conn_pause (upstream->conn, pause);
}

/* Closes and frees the connection, which cancels the request. `failed` is not called. */
void
gw_upstream_abandon (struct gw_upstream *upstream)
{
  upstream->user = NULL;
  close_ (upstream);
}

/* Closes the idle connections to BACKEND, which is leaving or has been removed. */
void
gw_upstream_close_idle (struct gw_backend *backend)
{
  struct gw_upstream *upstream;

  while ((upstream = g_queue_pop_head (&backend->idle_connections)) != NULL)
    close_ (upstream);
}

static void
on_connected_ (void *owner)
{
  struct gw_upstream *upstream = owner;
  int64_t now_us = g_get_monotonic_time ();

  uv_timer_stop (&upstream->timer);
  upstream->is_open = true;
  upstream->backend->open_connections++;
  gw_link_load_note_handshake (upstream->link, now_us - upstream->opened_us, true, now_us);
  (*upstream->user)->ready (upstream->user);
}

/* Matches the response with the request by its id. A response to another request is discarded, as
 * the right one may follow. */
static void
on_head_ (void *owner, const struct net_http_head *head)
{
  struct gw_upstream *upstream = owner;
  struct gw_response_head response;
  bool matches;

  g_string_truncate (upstream->headers, 0);
  upstream->dialect->decode_response (head, &response, upstream->headers);
  if (upstream->user == NULL)
    {
      sr_counter_add (&stray_responses_counter_, 1);
      g_queue_remove (&upstream->backend->idle_connections, upstream);
      note_server_state_ (upstream, head->status, &response);
      close_ (upstream);
      return;
    }
  note_server_state_ (upstream, head->status, &response);
  gw_placement_note_response (upstream->backend, &response, g_get_monotonic_time ());
  if (response.request_id.length == 0 && head->status == HTTP_MISDIRECTED
      && may_be_stray_ (upstream))
    {
      sr_counter_add (&stray_responses_counter_, 1);
      fail_ (upstream, GW_UPSTREAM_MALFORMED);
      return;
    }
  matches = response.request_id.length > 0
                ? net_string_view_is (response.request_id, upstream->request_id)
                : !may_be_stray_ (upstream);
  if (!matches)
    {
      sr_counter_add (&stray_responses_counter_, 1);
      upstream->discards_response = true;
      return;
    }
  upstream->keeps_alive = head->keeps_alive && !head->ends_with_connection;
  upstream->idle_max_ms = IDLE_MAX_MS;
  if (response.has_idle_timeout)
    upstream->idle_max_ms
        = response.idle_timeout_ms > KEEP_ALIVE_MARGIN_MS
              ? MIN (response.idle_timeout_ms - KEEP_ALIVE_MARGIN_MS, (unsigned)IDLE_MAX_MS)
              : 0;
  (*upstream->user)->head (upstream->user, head, &response, upstream->headers);
}

/* Returns whether a response without an id may be one to an earlier request, sent once more: then
 * it says nothing of the current request. Servers send back the id that they were given. */
static bool
may_be_stray_ (const struct gw_upstream *upstream)
{
  return upstream->has_responded && upstream->request_id[0] != '\0';
}

static void
on_body_ (void *owner, const char *data, size_t length)
{
  struct gw_upstream *upstream = owner;

  if (upstream->user != NULL && !upstream->discards_response)
    (*upstream->user)->body (upstream->user, data, length);
}

static void
on_message_end_ (void *owner)
{
  struct gw_upstream *upstream = owner;
  const struct gw_upstream_user_vtable **user = upstream->user;

  if (upstream->discards_response)
    {
      upstream->discards_response = false;
      return;
    }
  if (user == NULL)
    return;
  upstream->user = NULL;
  upstream->has_responded = true;
  g_clear_pointer (&upstream->request_id, g_free);
  /* If the response came before the whole request was sent, the rest of it is still queued, and the
   * connection can't be reused. */
  if (upstream->keeps_alive && upstream->idle_max_ms > 0
      && net_http_conn_queued (upstream->conn) == 0 && !upstream->backend->is_removed
      && !upstream->backend->facts.is_leaving
      && upstream->backend->idle_connections.length < IDLE_CONNECTIONS_MAX)
    {
      upstream->idle_since_ms = uv_now (upstream->loop);
      net_http_conn_pause (upstream->conn, false);
      g_queue_push_tail (&upstream->backend->idle_connections, upstream);
      uv_timer_start (&upstream->timer, on_timer_, upstream->idle_max_ms, 0);
    }
  else
    close_ (upstream);
  (*user)->complete (user);
}

static void
on_ended_ (void *owner, enum net_end_reason end)
{
  struct gw_upstream *upstream = owner;

  if (upstream->is_open)
    upstream->backend->connections_lost++;
  upstream->conn = NULL;
  if (upstream->user == NULL)
    {
      g_queue_remove (&upstream->backend->idle_connections, upstream);
      free_ (upstream);
      return;
    }
  fail_ (upstream, !upstream->is_open         ? GW_UPSTREAM_NOT_CONNECTED
                   : end == NET_END_MALFORMED ? GW_UPSTREAM_MALFORMED
                                              : GW_UPSTREAM_CLOSED);
}

/* Decides whether the handshake, which has taken WAITED_MS so far, gets more time or has failed. */
static void
wait_for_handshake_ (struct gw_upstream *upstream, int64_t waited_ms)
{
  unsigned wait_ms;

  switch (
      gw_link_load_judge_handshake (upstream->link, waited_ms, &wait_ms, g_get_monotonic_time ()))
    {
    case GW_LINK_WAIT:
      uv_timer_start (&upstream->timer, on_timer_, wait_ms, 0);
      break;
    case GW_LINK_SERVER_FAULT:
      fail_ (upstream, GW_UPSTREAM_NOT_CONNECTED);
      break;
    case GW_LINK_OWN_FAULT:
      fail_ (upstream, GW_UPSTREAM_LINK_BUSY);
      break;
    }
}

/* The handshake or the idle time has timed out. */
static void
on_timer_ (uv_timer_t *timer)
{
  struct gw_upstream *upstream = timer->data;

  if (upstream->user != NULL)
    {
      int64_t now_us = g_get_monotonic_time ();

      gw_link_load_note_traffic (upstream->link, net_traffic (), now_us);
      wait_for_handshake_ (upstream, (now_us - upstream->opened_us) / US_PER_MS);
      return;
    }
  g_queue_remove (&upstream->backend->idle_connections, upstream);
  close_ (upstream);
}

static void
fail_ (struct gw_upstream *upstream, enum gw_upstream_failure failure)
{
  const struct gw_upstream_user_vtable **user = upstream->user;

  upstream->user = NULL;
  close_ (upstream);
  (*user)->failed (user, failure);
}

static void
close_ (struct gw_upstream *upstream)
{
  if (upstream->conn != NULL)
    net_http_conn_reset (upstream->conn);
  upstream->conn = NULL;
  free_ (upstream);
}

static void
free_ (struct gw_upstream *upstream)
{
  if (upstream->is_closed)
    return;
  upstream->is_closed = true;
  upstream->backend->connections--;
  if (upstream->is_open)
    upstream->backend->open_connections--;
  gw_backend_unref (upstream->backend);
  upstream->backend = NULL;
  uv_close ((uv_handle_t *)&upstream->timer, on_timer_closed_);
}

static void
on_timer_closed_ (uv_handle_t *handle)
{
  struct gw_upstream *upstream = handle->data;

  g_string_free (upstream->headers, TRUE);
  g_free (upstream->request_id);
  g_free (upstream);
}

/* Applies what a response says about the state of its server (leaving, pause), whichever request it
 * belongs to. A misdirected response (421) comes from another server than the connection was opened
 * to, and applies to that one if it gives its id. */
static void
note_server_state_ (struct gw_upstream *upstream,
                    unsigned status,
                    const struct gw_response_head *response)
{
  struct gw_backend *backend = upstream->backend;

  if (status == HTTP_MISDIRECTED)
    {
      g_autofree char *id = net_string_view_dup (response->backend_id);

      backend = gw_backends_find (upstream->backends, gw_backend_key (id));
    }
  if (backend == NULL)
    return;
  if (response->is_leaving)
    gw_backends_set_leaving (upstream->backends, backend->key, backend->facts.started_ms);
  if (response->retry_after_ms > 0)
    {
      sr_event (SR_EVENT_INFO, "backend_paused", "{s:s,s:I}", "backend", backend->facts.id,
                "pause_ms", (json_int_t)response->retry_after_ms);
      gw_placement_pause (backend, response->retry_after_ms, g_get_monotonic_time ());
    }
}

/* Returns the most recently used idle connection that fits OPTIONS, or NULL. A request without an
 * id gets none, because its response could not be told from a late one to an earlier request. */
static struct gw_upstream *
take_idle_ (const struct gw_upstream_options *options)
{
  uint64_t now_ms = uv_now (options->loop);

  if (options->request_id[0] == '\0')
    return NULL;
  for (GList *link = options->backend->idle_connections.tail; link != NULL; link = link->prev)
    {
      struct gw_upstream *upstream = link->data;
      uint64_t idle_ms = now_ms - upstream->idle_since_ms;

      if (options->is_not_repeatable
          && (idle_ms < IDLE_MIN_NOT_REPEATABLE_MS
              || idle_ms > MIN (upstream->idle_max_ms, (unsigned)IDLE_MAX_NOT_REPEATABLE_MS)))
        continue;
      g_queue_delete_link (&options->backend->idle_connections, link);
      uv_timer_stop (&upstream->timer);
      return upstream;
    }
  return NULL;
}
