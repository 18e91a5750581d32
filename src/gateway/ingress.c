#include "gateway/ingress.h"

#include "base/counters.h"
#include "base/event-log.h"
#include "gateway/exchange.h"
#include "net/http-reply.h"

#include <string.h>

enum
{
  BACKLOG = 1024,         /* for the burst of new connections after another instance has exited */
  HEAD_MAX_BYTES = 16384, /* until a configuration has been received */
  FIRST_REQUEST_WAIT_MS
  = 1000, /* time for a new caller's first request to arrive, also over a full link */
  SHORT_BODY_MAX_BYTES = 2048, /* a shorter body usually arrives together with its head */
  UNREAD_WAIT_MS = 10,         /* for the loop to read what has arrived */
  IDLE_GRACE_MS = 1000,        /* for a request sent at the idle limit to arrive, as above */
  REQUEST_LINE_BYTES = 2048,   /* added to the header limit: room for the request line */
  MEMORY_CHECK_MS = 250,
  MS_PER_S = 1000
};

/* Why the connection of a caller was ended. */
enum caller_end_
{
  CALLER_END_CALLER,      /* the caller closed it, or it failed */
  CALLER_END_RESPONSE,    /* after a response that announced it */
  CALLER_END_IDLE,        /* the idle limit was over */
  CALLER_END_INCOMPLETE,  /* a request head or body stopped arriving; refused with 408 */
  CALLER_END_UNREAD_BODY, /* refused without reading the rest of the body */
  CALLER_END_MALFORMED,   /* what arrived was no valid request */
  CALLER_END_CUT,         /* a response that had begun can't be completed */
  CALLER_END_STOPPING,    /* idle at a planned stop */
  CALLER_END_EVICTED      /* memory or descriptors have run short */
};

struct gw_ingress
{
  struct gw_context *context;
  uv_tcp_t listener;
  uv_check_t memory_check; /* after each iteration of the loop */
  uv_timer_t memory_timer; /* for what the kernel holds */
  GHashTable *callers;     /* struct caller_ */
};

struct caller_
{
  const struct net_http_owner_vtable *vtable; /* must be first: the owner of conn */
  const struct gw_caller_vtable
      *response_vtable; /* for the exchange, which gets the address of this field as its caller */
  struct gw_ingress *ingress;
  struct net_http_conn *conn;
  struct gw_exchange *exchange;
  uv_timer_t timer;
  uint64_t connected_ms;
  uint64_t idle_since_ms;
  uint64_t idle_limit_ms; /* announced with the last response */
  size_t unsent_bytes;    /* of the last response, when the timer last expired */
  bool has_sent_request;  /* has sent a request head */
  bool is_reading;        /* the current request has not been received completely */
  bool is_answered;       /* the response to the current request is complete */
  bool is_chunked;        /* the response has a chunked body */
  bool closes;            /* close the connection after this response */
  bool has_long_body;     /* the request's, longer than SHORT_BODY_MAX_BYTES or of unknown length */
  bool refuses_body;      /* close without reading the rest of the request body */
  bool stalled;           /* a request head was incomplete when the timer last expired */
  bool is_closed;
};

static void note_end_ (const struct caller_ *caller, enum caller_end_ end);
static void on_connection_ (uv_stream_t *listener, int status);
static void on_head_ (void *owner, const struct net_http_head *head);
static void on_body_ (void *owner, const char *data, size_t length);
static void on_message_end_ (void *owner);
static void on_written_ (void *owner);
static void on_ended_ (void *owner, enum net_end_reason end);
static void on_bad_request_ (void *owner, enum net_end_reason end);
static void on_evicted_ (void *owner, bool closes);
static void on_memory_check_ (uv_check_t *check);
static void on_memory_timer_ (uv_timer_t *timer);
static void reject_connection_ (struct gw_ingress *ingress, uv_stream_t *listener);
static void set_held_ (struct caller_ *caller, enum net_memory_kind kind, size_t bytes);
static void begin_response_ (void *user, const struct gw_caller_response *response);
static void write_body_ (void *user, const struct net_string_view *parts, size_t n_parts);
static size_t queued_bytes_ (void *user);
static void note_buffered_ (void *user, size_t bytes);
static void finish_response_ (void *user);
static void reset_ (void *user);
static void next_request_ (struct caller_ *caller);
static void begin_idle_ (struct caller_ *caller);
static void set_timer_ (struct caller_ *caller);
static void end_slow_ (struct caller_ *caller);
static void on_timer_ (uv_timer_t *timer);
static void free_ (struct caller_ *caller);
static void on_timer_closed_ (uv_handle_t *handle);
static const struct gw_limits *limits_ (const struct caller_ *caller);
static struct caller_ *caller_from_user_ (void *user);

static const struct net_http_owner_vtable owner_vtable_ = {
  .head = on_head_,
  .body = on_body_,
  .message_end = on_message_end_,
  .written = on_written_,
  .bad_request = on_bad_request_,
  .evicted = on_evicted_,
  .ended = on_ended_,
};

static const struct gw_caller_vtable response_vtable_ = {
  .begin = begin_response_,
  .body = write_body_,
  .queued = queued_bytes_,
  .buffered = note_buffered_,
  .finish = finish_response_,
  .reset = reset_,
};

static const char *const end_names_[] = {
  [CALLER_END_CALLER] = "caller",
  [CALLER_END_RESPONSE] = "response",
  [CALLER_END_IDLE] = "idle",
  [CALLER_END_INCOMPLETE] = "incomplete",
  [CALLER_END_UNREAD_BODY] = "unread_body",
  [CALLER_END_MALFORMED] = "malformed",
  [CALLER_END_CUT] = "cut",
  [CALLER_END_STOPPING] = "stopping",
  [CALLER_END_EVICTED] = "evicted",
};

static struct sr_counter connections_counter_
    = { .name = "sapphirerun_caller_connections_total", .help = "Connections of callers." };

static struct sr_counter end_counters_[] = {
  [CALLER_END_CALLER] = { .name = "sapphirerun_caller_connections_left_total",
                          .help = "Connections that their callers ended." },
  [CALLER_END_RESPONSE] = { .name = "sapphirerun_caller_connections_closed_total",
                            .help = "Connections of callers closed after a response." },
  [CALLER_END_IDLE] = { .name = "sapphirerun_caller_connections_idle_total",
                        .help = "Connections of callers closed at the idle limit." },
  [CALLER_END_INCOMPLETE] = { .name = "sapphirerun_caller_connections_incomplete_total",
                              .help = "Connections closed because a request stopped arriving." },
  [CALLER_END_UNREAD_BODY] = { .name = "sapphirerun_caller_connections_unread_total",
                               .help = "Connections closed without reading a refused body." },
  [CALLER_END_MALFORMED] = { .name = "sapphirerun_caller_connections_malformed_total",
                             .help = "Connections closed because of an invalid request." },
  [CALLER_END_CUT] = { .name = "sapphirerun_caller_connections_cut_total",
                       .help = "Connections reset in the middle of a response." },
  [CALLER_END_STOPPING] = { .name = "sapphirerun_caller_connections_stopping_total",
                            .help = "Idle connections closed by a planned stop." },
  [CALLER_END_EVICTED] = { .name = "sapphirerun_caller_connections_evicted_total",
                           .help = "Connections of callers closed to free memory or descriptors." },
};

static struct sr_counter rejected_counter_
    = { .name = "sapphirerun_caller_connections_rejected_total",
        .help = "Connections closed at once, because all others were in use." };
static struct sr_counter open_gauge_
    = { .name = "sapphirerun_caller_connections_open", .help = "Open connections of callers." };
static struct sr_counter open_max_gauge_
    = { .name = "sapphirerun_caller_connections_limit", .help = "Most connections of callers." };
static struct sr_counter bytes_max_gauge_
    = { .name = "sapphirerun_caller_bytes_limit", .help = "Most bytes held for callers." };
static struct sr_counter bytes_gauges_[NET_MEMORY_KINDS] = {
  [NET_MEMORY_CONNECTION] = { .name = "sapphirerun_caller_bytes_connections",
                              .help = "Bytes held for the connections of callers themselves." },
  [NET_MEMORY_INPUT] = { .name = "sapphirerun_caller_bytes_input",
                         .help = "Bytes received from callers and not parsed yet." },
  [NET_MEMORY_BODY] = { .name = "sapphirerun_caller_bytes_requests",
                        .help = "Bytes of requests that are read or served." },
  [NET_MEMORY_RESPONSE] = { .name = "sapphirerun_caller_bytes_responses",
                            .help = "Bytes of responses that are buffered until complete." },
  [NET_MEMORY_UNSENT] = { .name = "sapphirerun_caller_bytes_unsent",
                          .help = "Bytes of responses that the kernel has not taken yet." },
  [NET_MEMORY_KERNEL] = { .name = "sapphirerun_caller_bytes_kernel",
                          .help = "Bytes in the kernel that are not read or not acknowledged." },
};

/* Listens on ADDRESS. Logs the error and returns NULL if that fails. */
struct gw_ingress *
gw_ingress_new (struct gw_context *context, const struct sockaddr_in *address)
{
  struct gw_ingress *ingress = g_new0 (struct gw_ingress, 1);
  int error;

  ingress->context = context;
  ingress->callers = g_hash_table_new (NULL, NULL);
  sr_counter_register (&connections_counter_);
  for (size_t i = 0; i < G_N_ELEMENTS (end_counters_); i++)
    sr_counter_register (&end_counters_[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (bytes_gauges_); i++)
    sr_counter_register (&bytes_gauges_[i]);
  sr_counter_register (&rejected_counter_);
  sr_counter_register (&open_gauge_);
  sr_counter_register (&open_max_gauge_);
  sr_counter_register (&bytes_max_gauge_);
  uv_check_init (context->loop, &ingress->memory_check);
  ingress->memory_check.data = ingress;
  uv_check_start (&ingress->memory_check, on_memory_check_);
  uv_unref ((uv_handle_t *)&ingress->memory_check);
  uv_timer_init (context->loop, &ingress->memory_timer);
  ingress->memory_timer.data = ingress;
  uv_timer_start (&ingress->memory_timer, on_memory_timer_, MEMORY_CHECK_MS, MEMORY_CHECK_MS);
  uv_unref ((uv_handle_t *)&ingress->memory_timer);
  uv_tcp_init (context->loop, &ingress->listener);
  ingress->listener.data = ingress;
  error = uv_tcp_bind (&ingress->listener, (const struct sockaddr *)address, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)&ingress->listener, BACKLOG, on_connection_);
  if (error == 0)
    return ingress;
  sr_event (SR_EVENT_WARNING, "listen_failed", "{s:s}", "reason", uv_strerror (error));
  return NULL;
}

/* Closes idle connections, for a planned stop. A request that arrives at the same moment is not
 * read, so its caller can safely send it to another instance. A connection that is younger than
 * FIRST_REQUEST_WAIT_MS and has not sent a request yet stays open. */
void
gw_ingress_close_idle (struct gw_ingress *ingress)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, ingress->callers);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      struct caller_ *caller = value;

      if (caller->exchange != NULL || caller->is_reading
          || net_http_conn_has_received (caller->conn) || net_http_conn_queued (caller->conn) > 0
          || net_http_conn_has_unread (caller->conn)
          || (!caller->has_sent_request
              && uv_now (ingress->context->loop) - caller->connected_ms < FIRST_REQUEST_WAIT_MS))
        continue;
      g_hash_table_iter_remove (&iter);
      note_end_ (caller, CALLER_END_STOPPING);
      net_http_conn_close (caller->conn);
      free_ (caller);
    }
}

/* Accepts no further connections. Those that the kernel has accepted in the meantime are reset with
 * their requests unread. */
void
gw_ingress_stop_listening (struct gw_ingress *ingress)
{
  if (gw_ingress_is_listening (ingress))
    uv_close ((uv_handle_t *)&ingress->listener, NULL);
}

bool
gw_ingress_is_listening (const struct gw_ingress *ingress)
{
  return !uv_is_closing ((const uv_handle_t *)&ingress->listener);
}

/* Closes all connections, as the process is about to exit and no request is in progress. Those with
 * unsent bytes are reset, so that no response looks complete. */
void
gw_ingress_close_all (struct gw_ingress *ingress)
{
  g_autoptr (GList) callers = g_hash_table_get_keys (ingress->callers);

  for (GList *link = callers; link != NULL; link = link->next)
    {
      struct caller_ *caller = link->data;
      struct net_http_conn *conn = caller->conn;

      g_assert (caller->exchange == NULL);
      note_end_ (caller, CALLER_END_STOPPING);
      caller->conn = NULL;
      if (net_http_conn_queued (conn) > 0)
        net_http_conn_reset (conn);
      else
        net_http_conn_close (conn);
      free_ (caller);
    }
}

/* Ends all requests in progress, as the process is about to exit: each is refused, or its response,
 * which has begun, is cut. */
void
gw_ingress_end_requests (struct gw_ingress *ingress)
{
  g_autoptr (GList) callers = g_hash_table_get_keys (ingress->callers);

  for (GList *link = callers; link != NULL; link = link->next)
    {
      struct caller_ *caller = link->data;

      caller->closes = true;
      if (caller->exchange != NULL)
        gw_exchange_stop (caller->exchange);
    }
}

/* Sets the gauges to the current values. */
void
gw_ingress_update_metrics (const struct gw_ingress *ingress)
{
  const struct net_memory_account *account = &ingress->context->account;

  for (size_t i = 0; i < G_N_ELEMENTS (bytes_gauges_); i++)
    sr_counter_set (&bytes_gauges_[i], (int64_t)account->bytes[i]);
  sr_counter_set (&bytes_max_gauge_, (int64_t)account->limit);
  sr_counter_set (&open_gauge_, account->holders.length);
  sr_counter_set (&open_max_gauge_, account->connections_max);
}

unsigned
gw_ingress_connection_count (const struct gw_ingress *ingress)
{
  return g_hash_table_size (ingress->callers);
}

/* Counts the END of the connection by this instance, and logs it if a request is incomplete or
 * bytes of a response are still queued. Call it before the connection is given up. */
static void
note_end_ (const struct caller_ *caller, enum caller_end_ end)
{
  size_t queued = net_http_conn_queued (caller->conn);
  bool has_received = net_http_conn_has_received (caller->conn);

  sr_counter_add (&end_counters_[end], 1);
  if (!caller->is_reading && !has_received && queued == 0)
    return;
  sr_event (SR_EVENT_WARNING, "caller_connection_ended", "{s:s,s:b,s:b,s:b,s:I,s:I,s:I}", "reason",
            end_names_[end], "reading", (int)caller->is_reading, "answered",
            (int)caller->is_answered, "partial_head", (int)(has_received && !caller->is_reading),
            "unsent_bytes", (json_int_t)queued, "idle_ms",
            (json_int_t)(uv_now (caller->ingress->context->loop) - caller->idle_since_ms),
            "idle_limit_ms", (json_int_t)caller->idle_limit_ms);
}

static void
on_connection_ (uv_stream_t *listener, int status)
{
  struct gw_ingress *ingress = listener->data;
  const struct net_http_conn_options options = { .loop = ingress->context->loop,
                                                 .is_server = true,
                                                 .head_max_bytes = HEAD_MAX_BYTES,
                                                 .account = &ingress->context->account };
  struct caller_ *caller;

  if (status != 0)
    {
      sr_event (SR_EVENT_WARNING, "accept_failed", "{s:s}", "reason", uv_strerror (status));
      return;
    }
  if (!net_http_account_make_room (&ingress->context->account, false,
                                   (int64_t)uv_now (ingress->context->loop)))
    {
      reject_connection_ (ingress, listener);
      return;
    }
  caller = g_new0 (struct caller_, 1);
  caller->vtable = &owner_vtable_;
  caller->response_vtable = &response_vtable_;
  caller->ingress = ingress;
  caller->conn = net_http_conn_new (&options, caller);
  caller->connected_ms = uv_now (ingress->context->loop);
  uv_timer_init (ingress->context->loop, &caller->timer);
  caller->timer.data = caller;
  g_hash_table_add (ingress->callers, caller);
  sr_counter_add (&connections_counter_, 1);
  if (!net_http_conn_accept (caller->conn, listener))
    {
      sr_event (SR_EVENT_WARNING, "accept_failed", "{s:s}", "reason", "no file descriptor left");
      caller->conn = NULL;
      free_ (caller);
      return;
    }
  caller->idle_limit_ms = (uint64_t)limits_ (caller)->idle_timeout_ms;
  begin_idle_ (caller);
}

/* Accepts and closes a connection, as all others have requests in progress. */
static void
reject_connection_ (struct gw_ingress *ingress, uv_stream_t *listener)
{
  const struct net_http_conn_options options
      = { .loop = ingress->context->loop, .is_server = true, .head_max_bytes = HEAD_MAX_BYTES };
  struct net_http_conn *conn = net_http_conn_new (&options, NULL);

  sr_counter_add (&rejected_counter_, 1);
  sr_event (SR_EVENT_WARNING, "caller_rejected", "{s:s,s:i,s:i}", "reason", "descriptors", "open",
            (int)ingress->context->account.holders.length, "limit",
            (int)ingress->context->account.connections_max);
  if (net_http_conn_accept (conn, listener))
    net_http_conn_reset (conn);
}

/* Frees memory if it has run short other than by what has just been read from a caller. */
static void
on_memory_check_ (uv_check_t *check)
{
  struct gw_ingress *ingress = check->data;

  net_http_account_relieve (&ingress->context->account, (int64_t)uv_now (ingress->context->loop));
}

static void
on_memory_timer_ (uv_timer_t *timer)
{
  struct gw_ingress *ingress = timer->data;

  net_http_account_refresh (
      &ingress->context->account,
      (int64_t)uv_now (ingress->context->loop)); /* on_memory_check_ follows */
}

static void
on_head_ (void *owner, const struct net_http_head *head)
{
  struct caller_ *caller = owner;
  struct gw_context *context = caller->ingress->context;
  GString *headers = g_string_sized_new (512);
  struct gw_exchange *exchange;
  struct gw_request_head request;

  caller->has_sent_request = true;
  caller->idle_since_ms = uv_now (context->loop);
  caller->is_reading = true;
  caller->is_answered = false;
  caller->stalled = false;
  caller->closes = !head->keeps_alive || context->stopping;
  caller->has_long_body = head->is_chunked || head->length > SHORT_BODY_MAX_BYTES;
  caller->refuses_body = false;
  context->dialect->decode_request (head, &request, headers);
  exchange = gw_exchange_new (context, &caller->response_vtable, head, &request, headers);
  if (exchange == NULL)
    {
      if (caller->refuses_body)
        {
          note_end_ (caller, CALLER_END_UNREAD_BODY);
          net_http_conn_finish_unread (caller->conn);
          caller->conn = NULL;
          free_ (caller);
        }
      return;
    }
  caller->exchange = exchange;
  set_held_ (caller, NET_MEMORY_BODY, gw_exchange_request_bytes (exchange));
  if (head->has_length && head->length > limits_ (caller)->body_max_bytes)
    {
      caller->closes = true;
      gw_exchange_refuse_too_large (exchange);
      note_end_ (caller, CALLER_END_UNREAD_BODY);
      net_http_conn_finish (caller->conn);
      caller->conn = NULL;
      free_ (caller);
    }
  else if (request.expects_continue)
    net_http_write_continue (caller->conn);
}

static void
on_body_ (void *owner, const char *data, size_t length)
{
  struct caller_ *caller = owner;

  caller->idle_since_ms = uv_now (caller->ingress->context->loop);
  if (caller->exchange == NULL)
    return;
  if (!gw_exchange_body (caller->exchange, data, length))
    {
      /* Close instead of reading and discarding the rest of the body, which may be long. */
      note_end_ (caller, CALLER_END_UNREAD_BODY);
      net_http_conn_finish (caller->conn);
      caller->conn = NULL;
      free_ (caller);
      return;
    }
  set_held_ (caller, NET_MEMORY_BODY, gw_exchange_request_bytes (caller->exchange));
}

static void
on_message_end_ (void *owner)
{
  struct caller_ *caller = owner;

  caller->is_reading = false;
  if (caller->is_answered)
    {
      next_request_ (caller);
      return;
    }
  if (!net_memory_account_admits (&caller->ingress->context->account,
                                  net_http_conn_holder (caller->conn)))
    {
      gw_exchange_refuse_short (caller->exchange);
      return;
    }
  net_http_conn_hold_messages (caller->conn, true);
  net_http_conn_note_served (caller->conn, true);
  gw_exchange_start (caller->exchange);
}

static void
on_written_ (void *owner)
{
  struct caller_ *caller = owner;

  if (caller->exchange != NULL)
    gw_exchange_on_caller_drained (caller->exchange);
  else
    caller->idle_since_ms = uv_now (caller->ingress->context->loop);
}

/* The caller closed the connection, or the connection failed. */
static void
on_ended_ (void *owner, enum net_end_reason end)
{
  struct caller_ *caller = owner;

  sr_counter_add (&end_counters_[CALLER_END_CALLER], 1);
  caller->conn = NULL;
  if (caller->exchange != NULL)
    {
      struct gw_exchange *exchange = caller->exchange;

      caller->exchange = NULL;
      gw_exchange_abandon (exchange);
    }
  free_ (caller);
}

/* Memory or descriptors have run short, and this caller holds the most of it for the longest time.
 * A request that is still arriving has not run and is refused; a response that the caller does not
 * take is cut. */
static void
on_evicted_ (void *owner, bool closes)
{
  struct caller_ *caller = owner;
  struct net_http_conn *conn = caller->conn;
  const struct net_memory_holder *holder = net_http_conn_holder (conn);
  struct gw_exchange *exchange = caller->exchange;

  sr_counter_add (&end_counters_[CALLER_END_EVICTED], 1);
  sr_event (SR_EVENT_WARNING, "caller_evicted", "{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:b,s:I,s:I}",
            "reason", closes ? "descriptors" : "memory", "bytes", (json_int_t)holder->total,
            "input", (json_int_t)holder->bytes[NET_MEMORY_INPUT], "request",
            (json_int_t)holder->bytes[NET_MEMORY_BODY], "response",
            (json_int_t)holder->bytes[NET_MEMORY_RESPONSE], "unsent",
            (json_int_t)holder->bytes[NET_MEMORY_UNSENT], "kernel",
            (json_int_t)holder->bytes[NET_MEMORY_KERNEL], "idle_ms",
            (json_int_t)((int64_t)uv_now (caller->ingress->context->loop) - holder->progress_ms),
            "reading", (int)caller->is_reading, "held", (json_int_t)holder->account->total, "limit",
            (json_int_t)holder->account->limit);
  if (exchange != NULL && caller->is_reading)
    {
      caller->closes = true;
      gw_exchange_refuse_short (exchange);
      caller->conn = NULL;
      net_http_conn_finish_unread (conn);
      free_ (caller);
      return;
    }
  caller->exchange = NULL;
  caller->conn = NULL;
  if (exchange != NULL)
    gw_exchange_abandon (exchange);
  if (net_http_conn_queued (conn) > 0)
    net_http_conn_reset (conn);
  else
    net_http_conn_close (conn);
  free_ (caller);
}

/* The bytes received are not a valid request: sends an error response, unless the request has been
 * answered already, and closes. */
static void
on_bad_request_ (void *owner, enum net_end_reason end)
{
  struct caller_ *caller = owner;
  struct net_http_conn *conn = caller->conn;

  sr_event (SR_EVENT_WARNING, "request_unreadable", "{s:s}", "reason",
            net_end_reason_to_string (end));
  if (caller->exchange != NULL)
    {
      struct gw_exchange *exchange = caller->exchange;

      caller->exchange = NULL;
      gw_exchange_abandon (exchange);
    }
  if (!caller->is_answered)
    net_http_write_bad_request (conn, end);
  sr_counter_add (&end_counters_[CALLER_END_MALFORMED], 1);
  caller->conn = NULL;
  net_http_conn_finish (conn);
  free_ (caller);
}

static void
begin_response_ (void *user, const struct gw_caller_response *response)
{
  struct caller_ *caller = caller_from_user_ (user);
  GString *head = g_string_sized_new (512);
  struct net_string_view part;

  caller->is_chunked = !response->has_length && !response->ends_with_connection
                       && response->status != 204 && response->status != 304;
  g_string_printf (head, "HTTP/1.1 %u ", response->status);
  g_string_append_len (head, response->reason.data, (gssize)response->reason.length);
  g_string_append (head, "\r\n");
  g_string_append_len (head, response->headers.data, (gssize)response->headers.length);
  if (response->has_length)
    g_string_append_printf (head, "Content-Length: %" G_GUINT64_FORMAT "\r\n", response->length);
  else if (caller->is_chunked)
    g_string_append (head, "Transfer-Encoding: chunked\r\n");
  caller->refuses_body = response->refuses_body && caller->is_reading && caller->has_long_body;
  caller->closes = caller->closes || response->ends_with_connection || caller->refuses_body
                   || gw_link_load_sheds_callers (&caller->ingress->context->link)
                   || caller->ingress->context->stopping;
  caller->idle_limit_ms = (uint64_t)limits_ (caller)->idle_timeout_ms;
  if (caller->closes)
    g_string_append (head, "Connection: close\r\n");
  else if (caller->idle_limit_ms >= MS_PER_S)
    g_string_append_printf (head, "Keep-Alive: timeout=%" G_GUINT64_FORMAT "\r\n",
                            caller->idle_limit_ms / MS_PER_S);
  g_string_append (head, "\r\n");
  part = (struct net_string_view){ head->str, head->len };
  net_http_conn_write (caller->conn, &part, 1);
  g_string_free (head, TRUE);
}

static void
write_body_ (void *user, const struct net_string_view *parts, size_t n_parts)
{
  struct caller_ *caller = caller_from_user_ (user);

  g_assert (n_parts <= NET_CHUNK_PARTS_MAX);
  if (caller->is_chunked)
    net_http_write_chunk (caller->conn, parts, n_parts);
  else
    net_http_conn_write (caller->conn, parts, n_parts);
}

static size_t
queued_bytes_ (void *user)
{
  return net_http_conn_queued (caller_from_user_ (user)->conn);
}

static void
note_buffered_ (void *user, size_t bytes)
{
  set_held_ (caller_from_user_ (user), NET_MEMORY_RESPONSE, bytes);
}

static void
finish_response_ (void *user)
{
  struct caller_ *caller = caller_from_user_ (user);

  set_held_ (caller, NET_MEMORY_BODY, 0);
  set_held_ (caller, NET_MEMORY_RESPONSE, 0);
  net_http_conn_note_served (caller->conn, false);
  if (caller->is_chunked)
    net_http_write_last_chunk (caller->conn);
  caller->exchange = NULL;
  caller->is_answered = true;
  if (!caller->is_reading)
    next_request_ (caller);
}

static void
reset_ (void *user)
{
  struct caller_ *caller = caller_from_user_ (user);
  struct net_http_conn *conn = caller->conn;

  sr_counter_add (&end_counters_[CALLER_END_CUT], 1);
  caller->exchange = NULL;
  caller->conn = NULL;
  net_http_conn_reset (conn);
  free_ (caller);
}

/* The request has been received completely and its response sent: closes the connection, or waits
 * for the next request. */
static void
next_request_ (struct caller_ *caller)
{
  if (caller->closes)
    {
      struct net_http_conn *conn = caller->conn;

      sr_counter_add (&end_counters_[CALLER_END_RESPONSE], 1);
      caller->conn = NULL;
      net_http_conn_finish (conn);
      free_ (caller);
      return;
    }
  begin_idle_ (caller);
  net_http_conn_hold_messages (caller->conn, false);
}

/* The connection waits for its next request. */
static void
begin_idle_ (struct caller_ *caller)
{
  caller->is_answered = false;
  caller->idle_since_ms = uv_now (caller->ingress->context->loop);
  caller->unsent_bytes = net_http_conn_queued (caller->conn);
  net_http_conn_set_head_max (caller->conn,
                              limits_ (caller)->header_max_bytes + REQUEST_LINE_BYTES);
  set_timer_ (caller);
}

/* Restarts the timer that detects incomplete request heads and idle connections. */
static void
set_timer_ (struct caller_ *caller)
{
  const struct gw_limits *limits = limits_ (caller);

  uv_timer_start (&caller->timer, on_timer_,
                  MIN (limits->header_timeout_ms, limits->idle_timeout_ms), 0);
}

/* The idle limit that the caller has been told holds although a configuration has shortened it
 * since; a longer one holds at once. A response that the caller still takes keeps the connection in
 * use. */
static void
on_timer_ (uv_timer_t *timer)
{
  struct caller_ *caller = timer->data;
  uint64_t now_ms = uv_now (caller->ingress->context->loop);
  bool waits_for_head = caller->exchange == NULL && !caller->is_reading;
  uint64_t limit_ms = MAX (caller->idle_limit_ms, (uint64_t)limits_ (caller)->idle_timeout_ms)
                      + (waits_for_head ? IDLE_GRACE_MS : 0);
  /* Requests that wait for the caller to take responses aren't read; it is the caller who is late.
   */
  bool is_backlogged = net_http_conn_is_backlogged (caller->conn);
  bool has_partial_head
      = waits_for_head && !is_backlogged && net_http_conn_has_received (caller->conn);
  size_t unsent = net_http_conn_queued (caller->conn);
  bool is_idle;

  if (caller->exchange == NULL && unsent < caller->unsent_bytes)
    caller->idle_since_ms = now_ms;
  caller->unsent_bytes = unsent;
  is_idle = (waits_for_head || caller->is_reading) && now_ms - caller->idle_since_ms >= limit_ms;
  if (!is_idle && !(has_partial_head && caller->stalled))
    {
      caller->stalled = has_partial_head;
      set_timer_ (caller);
    }
  else if (!is_backlogged && net_http_conn_has_unread (caller->conn))
    uv_timer_start (&caller->timer, on_timer_, UNREAD_WAIT_MS, 0); /* this process was late */
  else
    end_slow_ (caller);
}

/* Closes the connection of a caller that has been idle, or stuck in a request, for too long. A
 * request that has begun is refused first. What arrives from now on is not read, so that its caller
 * knows that it has not run. */
static void
end_slow_ (struct caller_ *caller)
{
  struct net_http_conn *conn = caller->conn;
  bool has_begun = !caller->is_answered && caller->is_reading;
  bool has_partial_head = !caller->is_reading && !net_http_conn_is_backlogged (conn)
                          && net_http_conn_has_received (conn);

  note_end_ (caller, has_begun || has_partial_head ? CALLER_END_INCOMPLETE : CALLER_END_IDLE);
  if (caller->exchange != NULL)
    {
      caller->closes = true;
      gw_exchange_refuse_incomplete (caller->exchange);
    }
  else if (has_partial_head)
    net_http_write_request_timeout (conn);
  caller->conn = NULL;
  if (has_begun || has_partial_head)
    net_http_conn_finish (conn);
  else if (net_http_conn_queued (conn) > 0)
    net_http_conn_reset (conn);
  else
    net_http_conn_close (conn);
  free_ (caller);
}

static void
free_ (struct caller_ *caller)
{
  if (caller->is_closed)
    return;
  caller->is_closed = true;
  g_hash_table_remove (caller->ingress->callers, caller);
  uv_close ((uv_handle_t *)&caller->timer, on_timer_closed_);
}

static void
on_timer_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
set_held_ (struct caller_ *caller, enum net_memory_kind kind, size_t bytes)
{
  net_memory_holder_set (net_http_conn_holder (caller->conn), kind, bytes);
}

static const struct gw_limits *
limits_ (const struct caller_ *caller)
{
  static const struct gw_limits fallback = { .header_max_bytes = HEAD_MAX_BYTES,
                                             .body_max_bytes = 4 * 1024 * 1024,
                                             .header_timeout_ms = 3000,
                                             .idle_timeout_ms = 15000 };
  const struct gw_routes *routes = caller->ingress->context->routes;

  return routes == NULL ? &fallback : &routes->limits;
}

static struct caller_ *
caller_from_user_ (void *user)
{
  return (struct caller_ *)((char *)user - offsetof (struct caller_, response_vtable));
}
