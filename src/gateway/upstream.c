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

/* Bytes of a server that are no response to the request that uses the connection, or to any. */
enum refused_bytes_
{
  REFUSED_UNSOLICITED,   /* while no request used the connection */
  REFUSED_AFTER_MESSAGE, /* right behind a complete response */
  REFUSED_MALFORMED,     /* not valid HTTP */
  REFUSED_HEAD_TOO_LARGE,
  REFUSED_AMBIGUOUS, /* a header that must be unique is there twice */
  REFUSED_UNSIGNED,  /* a success without the server's signature */
  REFUSED_WRONG_ID,  /* a response to another request */
  REFUSED_NO_ID      /* a response that names no request */
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
  int64_t opened_us;         /* start of the handshake */
  bool is_open;              /* the handshake is complete */
  bool discards_response;    /* discarding a response to another request */
  bool has_strayed;          /* has carried bytes that belonged to no request: it is not reused */
  bool expects_no_body;      /* the response to the current request has no body, as for HEAD */
  bool keeps_alive;          /* the response allows reuse of the connection */
  bool in_response;          /* the user has got the head of a response and not its end */
  bool ends_with_connection; /* this response */
  bool is_closed;
  uint64_t idle_since_ms;
  unsigned idle_max_ms;
};

static void on_connected_ (void *owner);
static void on_head_ (void *owner, const struct net_http_head *head);
static void refuse_bytes_ (struct gw_upstream *upstream, enum refused_bytes_ kind);
static bool note_refused_end_ (struct gw_upstream *upstream, enum net_end_reason end);
static void note_cut_ (const struct gw_upstream *upstream, enum net_end_reason end);
static bool is_reusable_ (const struct gw_upstream *upstream);
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
static const char *const refused_names_[] = {
  [REFUSED_UNSOLICITED] = "unsolicited", [REFUSED_AFTER_MESSAGE] = "after_message",
  [REFUSED_MALFORMED] = "malformed",     [REFUSED_HEAD_TOO_LARGE] = "head_too_large",
  [REFUSED_AMBIGUOUS] = "ambiguous",     [REFUSED_UNSIGNED] = "unsigned",
  [REFUSED_WRONG_ID] = "wrong_id",       [REFUSED_NO_ID] = "no_id",
};

static struct sr_counter refused_counters_[] = {
  [REFUSED_UNSOLICITED] = { .name = "sapphirerun_backend_bytes_unsolicited_total",
                            .help = "Connections to backend servers that were closed because bytes "
                                    "arrived between two requests." },
  [REFUSED_AFTER_MESSAGE] = { .name = "sapphirerun_backend_bytes_after_message_total",
                              .help = "Responses of backend servers with bytes behind their end." },
  [REFUSED_MALFORMED] = { .name = "sapphirerun_backend_answers_malformed_total",
                          .help = "Responses of backend servers that were not valid HTTP." },
  [REFUSED_HEAD_TOO_LARGE]
  = { .name = "sapphirerun_backend_heads_too_large_total",
      .help = "Responses of backend servers whose head exceeded the limit." },
  [REFUSED_AMBIGUOUS] = { .name = "sapphirerun_backend_heads_ambiguous_total",
                          .help = "Responses of backend servers with a unique header twice." },
  [REFUSED_UNSIGNED] = { .name = "sapphirerun_backend_answers_unsigned_total",
                         .help = "Successes of backend servers without their signature." },
  [REFUSED_WRONG_ID]
  = { .name = "sapphirerun_backend_stray_answers_total",
      .help = "Answers of backend servers that belonged to no request in progress." },
  [REFUSED_NO_ID] = { .name = "sapphirerun_backend_answers_without_id_total",
                      .help = "Answers of backend servers that named no request." },
};

static struct sr_counter cut_counter_
    = { .name = "sapphirerun_backend_answers_cut_total",
        .help = "Responses of backend servers whose connection ended before they did." };
static struct sr_counter ended_counter_
    = { .name = "sapphirerun_backend_answers_ended_by_close_total",
        .help = "Responses of backend servers that an orderly end of their connection completed." };

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
  sr_counter_register (&cut_counter_);
  sr_counter_register (&ended_counter_);
  for (size_t i = 0; i < G_N_ELEMENTS (refused_counters_); i++)
    sr_counter_register (&refused_counters_[i]);
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

/* Sends a request with HEAD and BODY, which must not change any more. The connection must be ready.
 * EXPECTS_NO_BODY: the response has no body, as for HEAD. */
void
gw_upstream_send (struct gw_upstream *upstream,
                  struct net_string_view head,
                  GByteArray *body,
                  bool expects_no_body)
{
  upstream->expects_no_body = expects_no_body;
  net_http_conn_expect_response (upstream->conn, expects_no_body);
  net_http_conn_write_shared (upstream->conn, head, body);
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
 * the right one may follow. What can't be a response to any request fails the current one, of which
 * it says nothing. */
static void
on_head_ (void *owner, const struct net_http_head *head)
{
  struct gw_upstream *upstream = owner;
  bool has_id = upstream->request_id[0] != '\0';
  struct gw_response_head response;

  g_string_truncate (upstream->headers, 0);
  upstream->dialect->decode_response (head, &response, upstream->headers);
  if (response.is_ambiguous)
    {
      refuse_bytes_ (upstream, REFUSED_AMBIGUOUS);
      fail_ (upstream, GW_UPSTREAM_MALFORMED);
      return;
    }
  note_server_state_ (upstream, head->status, &response);
  gw_placement_note_response (upstream->backend, &response, g_get_monotonic_time ());
  if (response.request_id.length == 0 && has_id && head->status == HTTP_MISDIRECTED)
    {
      refuse_bytes_ (upstream, REFUSED_NO_ID);
      fail_ (upstream, GW_UPSTREAM_MALFORMED);
      return;
    }
  if (!net_string_view_is (response.request_id, upstream->request_id))
    {
      refuse_bytes_ (upstream, response.request_id.length == 0 ? REFUSED_NO_ID : REFUSED_WRONG_ID);
      upstream->discards_response = true;
      return;
    }
  if (head->status / 100 == 2 && !response.is_signed)
    {
      refuse_bytes_ (upstream, REFUSED_UNSIGNED);
      fail_ (upstream, GW_UPSTREAM_MALFORMED);
      return;
    }
  upstream->keeps_alive = head->keeps_alive && !head->ends_with_connection;
  upstream->idle_max_ms = IDLE_MAX_MS;
  if (response.has_idle_timeout)
    upstream->idle_max_ms
        = response.idle_timeout_ms > KEEP_ALIVE_MARGIN_MS
              ? MIN (response.idle_timeout_ms - KEEP_ALIVE_MARGIN_MS, (unsigned)IDLE_MAX_MS)
              : 0;
  upstream->in_response = true;
  upstream->ends_with_connection = head->ends_with_connection;
  (*upstream->user)->head (upstream->user, head, &response, upstream->headers);
}

/* Counts and logs bytes of the server that are not passed on. */
static void
refuse_bytes_ (struct gw_upstream *upstream, enum refused_bytes_ kind)
{
  upstream->has_strayed = true;
  sr_counter_add (&refused_counters_[kind], 1);
  sr_event (SR_EVENT_WARNING, "backend_bytes_refused", "{s:s,s:s,s:s}", "backend",
            upstream->backend->facts.id, "reason", refused_names_[kind], "request",
            upstream->request_id == NULL ? "" : upstream->request_id);
}

/* Returns whether bytes of the server caused the END of the connection, and then counts and logs
 * it. */
static bool
note_refused_end_ (struct gw_upstream *upstream, enum net_end_reason end)
{
  switch (end)
    {
    case NET_END_UNSOLICITED:
      refuse_bytes_ (upstream, REFUSED_UNSOLICITED);
      return true;
    case NET_END_MALFORMED:
      refuse_bytes_ (upstream, REFUSED_MALFORMED);
      return true;
    case NET_END_HEAD_TOO_LARGE:
      refuse_bytes_ (upstream, REFUSED_HEAD_TOO_LARGE);
      return true;
    case NET_END_CONNECT_FAILED:
    case NET_END_EOF:
    case NET_END_RESET:
      return false;
    }
  g_assert_not_reached ();
}

/* Counts and logs that the END of the connection has cut the response. */
static void
note_cut_ (const struct gw_upstream *upstream, enum net_end_reason end)
{
  sr_counter_add (&cut_counter_, 1);
  sr_event (SR_EVENT_WARNING, "backend_answer_cut", "{s:s,s:s,s:s,s:b}", "backend",
            upstream->backend->facts.id, "request", upstream->request_id, "end",
            net_end_reason_to_string (end), "without_length", (int)upstream->ends_with_connection);
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
      net_http_conn_expect_response (upstream->conn, upstream->expects_no_body);
      return;
    }
  upstream->user = NULL;
  upstream->in_response = false;
  sr_counter_add (&ended_counter_, upstream->ends_with_connection);
  if (net_http_conn_has_received (upstream->conn))
    refuse_bytes_ (upstream, REFUSED_AFTER_MESSAGE);
  g_clear_pointer (&upstream->request_id, g_free);
  if (is_reusable_ (upstream))
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

/* Returns whether the connection, which has just carried a complete response, may carry another
 * request. If the response came before the whole request was sent, the rest of it is still
 * queued. */
static bool
is_reusable_ (const struct gw_upstream *upstream)
{
  return upstream->keeps_alive && upstream->idle_max_ms > 0 && !upstream->has_strayed
         && net_http_conn_queued (upstream->conn) == 0 && !upstream->backend->is_removed
         && !upstream->backend->facts.is_leaving
         && upstream->backend->idle_connections.length < IDLE_CONNECTIONS_MAX;
}

static void
on_ended_ (void *owner, enum net_end_reason end)
{
  struct gw_upstream *upstream = owner;
  bool is_refused = note_refused_end_ (upstream, end);

  if (upstream->in_response)
    note_cut_ (upstream, end);
  if (upstream->is_open)
    upstream->backend->connections_lost++;
  upstream->conn = NULL;
  if (upstream->user == NULL)
    {
      g_queue_remove (&upstream->backend->idle_connections, upstream);
      free_ (upstream);
      return;
    }
  fail_ (upstream, !upstream->is_open ? GW_UPSTREAM_NOT_CONNECTED
                   : is_refused       ? GW_UPSTREAM_MALFORMED
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
  if (response->cold_ms > 0
      && gw_cold_server_note_remaining (&backend->cold, response->cold_ms, g_get_monotonic_time ()))
    sr_event (SR_EVENT_INFO, "backend_cold", "{s:s,s:I,s:s}", "backend", backend->facts.id,
              "cold_ms", (json_int_t)response->cold_ms, "source", "response");
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
      /* The loop has yet to read what has arrived: bytes, or the end of the connection. */
      if (!net_http_conn_is_clean (upstream->conn))
        continue;
      g_queue_delete_link (&options->backend->idle_connections, link);
      uv_timer_stop (&upstream->timer);
      return upstream;
    }
  return NULL;
}
