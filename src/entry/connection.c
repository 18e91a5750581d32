#include "entry/connection.h"

#include "base/counters.h"
#include "base/log.h"
#include "entry/caller.h"
#include "net/http-reply.h"

#include <string.h>
#include <time.h>

enum
{
  HEAD_MAX_BYTES = 16384, /* far above the heads that the API needs */
  CALLER_BYTES = 2048,    /* of a request without its body: struct and texts */
  IDLE_MAX_MS = 120000,   /* longer than clients usually keep an unused connection */
  MS_PER_S = 1000,
  DATE_BYTES = 32
};

struct sr_connection
{
  const struct net_http_owner_vtable *vtable; /* first: the connection's owner */
  struct sr_entry *entry;
  struct net_http_conn *conn;
  GList link;               /* in entry->connections */
  struct sr_caller *caller; /* request that is being read or answered; NULL: none */
  bool is_reading;          /* a request has begun and is not complete */
  bool is_head_request;     /* its reply has no body */
  bool can_chunk;           /* the request is HTTP/1.1 */
  bool is_chunked;          /* the reply */
  bool keeps_alive;
  bool closes;           /* the connection closes after this reply */
  bool is_refused;       /* the request is not read to its end */
  bool is_ending;        /* the reply is complete, but a part of it is still queued */
  uint64_t last_used_ms; /* time of the loop */
};

static struct sr_counter open_requests
    = { .name = "entry_open_requests", .help = "Requests of callers without a complete reply." };
static struct sr_counter callers_left_total
    = { .name = "entry_callers_gone_total", .help = "Callers that left before their reply." };
static struct sr_counter evicted_total
    = { .name = "entry_connections_evicted_total",
        .help = "Connections of callers closed to free memory or descriptors." };
static struct sr_counter rejected_total
    = { .name = "entry_connections_rejected_total",
        .help = "Connections closed at once, because all others were in use." };
static struct sr_counter open_gauge
    = { .name = "entry_connections_open", .help = "Open connections of callers." };
static struct sr_counter bytes_gauge
    = { .name = "entry_caller_bytes", .help = "Bytes held for callers." };

static void on_head_ (void *owner, const struct net_http_head *head);
static void on_body_ (void *owner, const char *data, size_t length);
static void on_message_end_ (void *owner);
static void on_written_ (void *owner);
static void on_bad_request_ (void *owner, enum net_end_reason end);
static void on_ended_ (void *owner, enum net_end_reason end);
static void on_evicted_ (void *owner, bool closes);
static void reject_ (struct sr_entry *entry);
static void reply_complete_ (struct sr_connection *connection);
static void release_caller_ (struct sr_connection *connection, bool is_complete);
static void free_ (struct sr_connection *connection);
static void print_date_ (GString *out);

static const struct net_http_owner_vtable owner_vtable = {
  .head = on_head_,
  .body = on_body_,
  .message_end = on_message_end_,
  .written = on_written_,
  .bad_request = on_bad_request_,
  .evicted = on_evicted_,
  .ended = on_ended_,
};

void
sr_connection_register_metrics (void)
{
  sr_counter_register (&open_requests);
  sr_counter_register (&callers_left_total);
  sr_counter_register (&evicted_total);
  sr_counter_register (&rejected_total);
  sr_counter_register (&open_gauge);
  sr_counter_register (&bytes_gauge);
}

/* Sets the gauges to the current values. */
void
sr_connection_update_metrics (const struct sr_entry *entry)
{
  sr_counter_set (&open_gauge, entry->account.holders.length);
  sr_counter_set (&bytes_gauge, (int64_t)entry->account.total);
}

/* Accepts the next connection of ENTRY's listener; logs when that fails. */
void
sr_connection_accept (struct sr_entry *entry)
{
  const struct net_http_conn_options options = { .loop = &entry->loop,
                                                 .is_server = true,
                                                 .head_max_bytes = HEAD_MAX_BYTES,
                                                 .account = &entry->account };
  struct sr_connection *connection;

  if (!net_http_account_make_room (&entry->account, false, (int64_t)uv_now (&entry->loop)))
    {
      reject_ (entry);
      return;
    }
  connection = g_new0 (struct sr_connection, 1);
  connection->vtable = &owner_vtable;
  connection->entry = entry;
  connection->link.data = connection;
  connection->last_used_ms = uv_now (&entry->loop);
  connection->conn = net_http_conn_new (&options, connection);
  if (!net_http_conn_accept (connection->conn, (uv_stream_t *)&entry->listener))
    {
      sr_log (G_LOG_LEVEL_WARNING, "entry",
              "accepting a connection failed, probably for lack of file descriptors");
      g_free (connection);
      return;
    }
  g_queue_push_tail_link (&entry->connections, &connection->link);
}

/* Accepts and closes a connection, as all others have requests in progress. */
static void
reject_ (struct sr_entry *entry)
{
  const struct net_http_conn_options options
      = { .loop = &entry->loop, .is_server = true, .head_max_bytes = HEAD_MAX_BYTES };
  struct net_http_conn *conn = net_http_conn_new (&options, NULL);

  sr_counter_add (&rejected_total, 1);
  sr_log (G_LOG_LEVEL_WARNING, "entry", "rejected a connection: %u of %u are open and in use",
          entry->account.holders.length, entry->account.connections_max);
  if (net_http_conn_accept (conn, (uv_stream_t *)&entry->listener))
    net_http_conn_reset (conn);
}

/* Closes all connections of ENTRY at once; queued bytes of replies are lost. */
void
sr_connection_close_all (struct sr_entry *entry)
{
  while (!g_queue_is_empty (&entry->connections))
    {
      struct sr_connection *connection = g_queue_peek_head (&entry->connections);

      net_http_conn_close (connection->conn);
      free_ (connection);
    }
}

/* Closes connections that have been idle for the limit. What arrives from then on is not read, so
 * that its caller knows that it has not run. A request that has begun to arrive is refused. */
void
sr_connection_close_idle (struct sr_entry *entry)
{
  uint64_t now_ms = uv_now (&entry->loop);
  uint64_t idle_max_ms = entry->options.idle_max_ms > 0 ? entry->options.idle_max_ms : IDLE_MAX_MS;

  for (GList *each = entry->connections.head; each != NULL;)
    {
      struct sr_connection *connection = each->data;

      each = each->next;
      if ((connection->caller != NULL && !connection->is_reading)
          || now_ms - connection->last_used_ms < idle_max_ms
          || net_http_conn_has_unread (connection->conn))
        continue;
      if (connection->is_reading || net_http_conn_has_received (connection->conn))
        {
          sr_log (G_LOG_LEVEL_INFO, "entry", "a request stopped arriving; refused");
          net_http_write_request_timeout (connection->conn);
          net_http_conn_finish (connection->conn);
        }
      else if (net_http_conn_queued (connection->conn) > 0)
        net_http_conn_finish_unread (connection->conn);
      else
        net_http_conn_close (connection->conn);
      free_ (connection);
    }
}

/* Sends the head of the reply to CONNECTION's request. */
void
sr_connection_begin_reply (struct sr_connection *connection, const struct sr_reply_head *head)
{
  struct sr_entry *entry = connection->entry;
  GString *text = g_string_new (NULL);
  struct net_string_view part;

  connection->closes = connection->closes || !connection->keeps_alive
                       || atomic_load (&entry->closed) || !atomic_load (&entry->ready)
                       || (head->is_streamed && !connection->can_chunk);
  connection->is_chunked = head->is_streamed && connection->can_chunk;
  g_string_printf (text, "HTTP/1.1 %u %s\r\n", head->status, net_http_reason (head->status));
  print_date_ (text);
  g_string_append_printf (text, "Content-Type: %s\r\n", head->type);
  if (head->request != NULL)
    g_string_append_printf (text, "X-Request-Id: %s\r\n", head->request);
  if (head->retry_after_ms > 0)
    g_string_append_printf (text, "Retry-After: %" G_GINT64_FORMAT "\r\n",
                            (head->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
  if (connection->is_chunked)
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  else if (!head->is_streamed)
    g_string_append_printf (text, "Content-Length: %zu\r\n", head->length);
  if (connection->closes)
    g_string_append (text, "Connection: close\r\n");
  g_string_append (text, "\r\n");
  part = (struct net_string_view){ text->str, text->len };
  net_http_conn_write (connection->conn, &part, 1);
  g_string_free (text, TRUE);
}

/* Sends LENGTH bytes of the reply's body, as one chunk when the reply is chunked. */
void
sr_connection_send_body (struct sr_connection *connection, const char *data, size_t length)
{
  const struct net_string_view part = { data, length };

  if (length == 0 || connection->is_head_request)
    return;
  if (connection->is_chunked)
    net_http_write_chunk (connection->conn, &part, 1);
  else
    net_http_conn_write (connection->conn, &part, 1);
}

/* Returns the number of bytes of the reply that the kernel has not accepted yet. */
size_t
sr_connection_queued_bytes (const struct sr_connection *connection)
{
  return net_http_conn_queued (connection->conn);
}

/* Ends the reply. The caller is freed, and the next request handled, once the kernel has accepted
 * all its bytes, which may be at once. */
void
sr_connection_end_reply (struct sr_connection *connection)
{
  if (connection->is_chunked && !connection->is_head_request)
    net_http_write_last_chunk (connection->conn);
  connection->is_ending = net_http_conn_queued (connection->conn) > 0;
  if (!connection->is_ending)
    reply_complete_ (connection);
}

/* The request of CONNECTION is complete and is going to be handled. Returns false if there is no
 * memory for it. */
bool
sr_connection_begin_service (struct sr_connection *connection)
{
  if (!net_memory_account_admits (&connection->entry->account,
                                  net_http_conn_holder (connection->conn)))
    return false;
  net_http_conn_note_served (connection->conn, true);
  return true;
}

/* Resets the connection, so that the caller can't take the reply for complete, and frees it and its
 * caller. */
void
sr_connection_reset (struct sr_connection *connection)
{
  net_http_conn_reset (connection->conn);
  free_ (connection);
}

static void
reply_complete_ (struct sr_connection *connection)
{
  connection->is_ending = false;
  release_caller_ (connection, true);
  net_http_conn_note_served (connection->conn, false);
  net_memory_holder_set (net_http_conn_holder (connection->conn), NET_MEMORY_BODY, 0);
  if (connection->closes)
    {
      if (connection->is_refused)
        net_http_conn_finish_unread (connection->conn);
      else
        net_http_conn_finish (connection->conn);
      free_ (connection);
      return;
    }
  connection->last_used_ms = uv_now (&connection->entry->loop);
  net_http_conn_hold_messages (connection->conn, false);
}

static void
on_head_ (void *owner, const struct net_http_head *head)
{
  struct sr_connection *connection = owner;

  connection->last_used_ms = uv_now (&connection->entry->loop);
  connection->is_reading = true;
  connection->is_head_request = net_string_view_is (head->method, "HEAD");
  connection->can_chunk = head->minor_version >= 1;
  connection->keeps_alive = head->keeps_alive;
  connection->caller = sr_caller_new (connection->entry, connection, head);
  net_memory_holder_set (net_http_conn_holder (connection->conn), NET_MEMORY_BODY, CALLER_BYTES);
  atomic_fetch_add (&connection->entry->open_requests, 1);
  sr_counter_add (&open_requests, 1);
  for (unsigned i = 0; i < head->headers->len; i++)
    {
      const struct net_header *header = &g_array_index (head->headers, struct net_header, i);

      if (net_string_view_is_nocase (header->name, "Expect")
          && net_string_view_is_nocase (header->value, "100-continue"))
        net_http_write_continue (connection->conn);
    }
}

static void
on_body_ (void *owner, const char *data, size_t length)
{
  struct sr_connection *connection = owner;

  connection->last_used_ms = uv_now (&connection->entry->loop);
  if (connection->is_refused)
    return;
  sr_caller_append_body (connection->caller, data, length);
  net_memory_holder_set (net_http_conn_holder (connection->conn), NET_MEMORY_BODY,
                         CALLER_BYTES + connection->caller->body->len);
}

static void
on_message_end_ (void *owner)
{
  struct sr_connection *connection = owner;

  connection->is_reading = false;
  net_http_conn_hold_messages (connection->conn, true);
  sr_entry_handle_ (connection->caller);
}

static void
on_written_ (void *owner)
{
  struct sr_connection *connection = owner;

  if (connection->is_ending)
    reply_complete_ (connection);
  else if (connection->caller != NULL && !connection->is_reading)
    sr_caller_drained (connection->caller);
}

/* Malformed request: sends an error response, unless a reply has begun or is due, and closes. */
static void
on_bad_request_ (void *owner, enum net_end_reason end)
{
  struct sr_connection *connection = owner;

  sr_log (G_LOG_LEVEL_INFO, "entry", "rejected an invalid HTTP request: %s",
          net_end_reason_to_string (end));
  if (connection->caller == NULL || connection->is_reading)
    net_http_write_bad_request (connection->conn, end);
  net_http_conn_finish (connection->conn);
  free_ (connection);
}

/* Memory or descriptors have run short, and this caller holds the most of it for the longest time.
 * A request that is still arriving has not run and is refused; a reply that the caller does not
 * take is cut. */
static void
on_evicted_ (void *owner, bool closes)
{
  struct sr_connection *connection = owner;
  const struct net_memory_holder *holder = net_http_conn_holder (connection->conn);
  struct sr_caller *caller = connection->caller;

  sr_counter_add (&evicted_total, 1);
  sr_log (G_LOG_LEVEL_WARNING, "entry",
          "closed a connection for lack of %s: it held %zu bytes (input %zu, request %zu, unsent "
          "%zu) and was without progress for %" G_GINT64_FORMAT " ms",
          closes ? "descriptors" : "memory", holder->total, holder->bytes[NET_MEMORY_INPUT],
          holder->bytes[NET_MEMORY_BODY], holder->bytes[NET_MEMORY_UNSENT],
          (int64_t)uv_now (&connection->entry->loop) - holder->progress_ms);
  if (!closes && caller != NULL && connection->is_reading && !connection->is_refused
      && net_http_conn_queued (connection->conn) == 0)
    {
      connection->closes = true;
      connection->is_refused = true;
      connection->is_reading = false;
      net_http_conn_pause (connection->conn, true);
      sr_caller_free_body (caller);
      net_memory_holder_set (net_http_conn_holder (connection->conn), NET_MEMORY_BODY,
                             CALLER_BYTES);
      sr_caller_reply_error (caller, sr_caller_refusal_outcome (caller), SR_ERROR_QUEUE_FULL,
                             SR_ENTRY_SHORT_RETRY_AFTER_MS);
      return;
    }
  if (net_http_conn_queued (connection->conn) > 0)
    net_http_conn_reset (connection->conn);
  else
    net_http_conn_close (connection->conn);
  free_ (connection);
}

static void
on_ended_ (void *owner, enum net_end_reason end)
{
  free_ (owner);
}

static void
release_caller_ (struct sr_connection *connection, bool is_complete)
{
  if (connection->caller == NULL)
    return;
  sr_caller_delete (connection->caller);
  connection->caller = NULL;
  atomic_fetch_sub (&connection->entry->open_requests, 1);
  sr_counter_add (&open_requests, -1);
  if (!is_complete)
    sr_counter_add (&callers_left_total, 1);
}

/* Frees CONNECTION, whose net_http_conn is already closed or being finished. */
static void
free_ (struct sr_connection *connection)
{
  release_caller_ (connection, false);
  g_queue_unlink (&connection->entry->connections, &connection->link);
  g_free (connection);
}

static void
print_date_ (GString *out)
{
  time_t now = time (NULL);
  struct tm parts;
  char text[DATE_BYTES];

  gmtime_r (&now, &parts);
  strftime (text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &parts);
  g_string_append_printf (out, "Date: %s\r\n", text);
}
