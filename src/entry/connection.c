#include "entry/connection.h"

#include "base/counters.h"
#include "base/log.h"
#include "entry/caller.h"
#include "net/http-reply.h"

#include <string.h>
#include <time.h>

enum
{
  HEAD_MAX_BYTES = 16384, /* far above what the pages of the interface ask for */
  IDLE_MAX_MS = 120000,   /* longer than callers commonly keep an unused connection */
  MS_PER_S = 1000,
  DATE_BYTES = 32
};

struct sr_connection
{
  const struct net_http_owner_vtable *vtable; /* first: the connection's owner */
  struct sr_entry *entry;
  struct net_http_conn *conn;
  GList link;               /* in the entry's list */
  struct sr_caller *caller; /* of the request that is read or answered; NULL: none */
  bool is_reading;
  bool is_head_request; /* its reply has no body */
  bool can_chunk;
  bool is_chunked;
  bool keeps_alive;
  bool closes;    /* after this reply */
  bool is_ending; /* the reply is complete; the caller has yet to read a part of it */
  uint64_t heard_ms;
};

static struct sr_counter open_requests
    = { .name = "entry_open_requests", .help = "Requests of callers without a complete reply." };
static struct sr_counter gone_total
    = { .name = "entry_callers_gone_total", .help = "Callers that left before their reply." };

static void on_head_ (void *owner, const struct net_http_head *head);
static void on_body_ (void *owner, const char *data, size_t length);
static void on_message_end_ (void *owner);
static void on_written_ (void *owner);
static void on_refusable_ (void *owner, enum net_end end);
static void on_ended_ (void *owner, enum net_end end);
static void replied_ (struct sr_connection *connection);
static void forget_caller_ (struct sr_connection *connection, bool replied);
static void free_ (struct sr_connection *connection);
static void print_date_ (GString *out);

static const struct net_http_owner_vtable owner_vtable = {
  .head = on_head_,
  .body = on_body_,
  .message_end = on_message_end_,
  .written = on_written_,
  .refusable = on_refusable_,
  .ended = on_ended_,
};

/* Registers the counters of connections. */
void
sr_connection_register_metrics (void)
{
  sr_counter_register (&open_requests);
  sr_counter_register (&gone_total);
}

/* Takes the next connection of ENTRY's listener. */
void
sr_connection_accept (struct sr_entry *entry)
{
  const struct net_http_conn_options options
      = { .loop = &entry->loop, .is_server = true, .head_max_bytes = HEAD_MAX_BYTES };
  struct sr_connection *connection = g_new0 (struct sr_connection, 1);

  connection->vtable = &owner_vtable;
  connection->entry = entry;
  connection->link.data = connection;
  connection->heard_ms = uv_now (&entry->loop);
  connection->conn = net_http_conn_new (&options, connection);
  if (!net_http_conn_accept (connection->conn, (uv_stream_t *)&entry->listener))
    {
      sr_log (G_LOG_LEVEL_WARNING, "entry", "a connection was not taken: no descriptor left");
      g_free (connection);
      return;
    }
  g_queue_push_tail_link (&entry->connections, &connection->link);
}

/* Closes all connections of ENTRY at once. */
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

/* Closes the connections on which no request has come, or gone on, for long. */
void
sr_connection_close_idle (struct sr_entry *entry)
{
  uint64_t now_ms = uv_now (&entry->loop);

  for (GList *each = entry->connections.head; each != NULL;)
    {
      struct sr_connection *connection = each->data;

      each = each->next;
      if ((connection->caller != NULL && !connection->is_reading)
          || now_ms - connection->heard_ms < IDLE_MAX_MS)
        continue;
      net_http_conn_finish (connection->conn);
      free_ (connection);
    }
}

/* Begins the reply to the request of CONNECTION. */
void
sr_connection_begin (struct sr_connection *connection, const struct sr_reply_head *head)
{
  struct sr_entry *entry = connection->entry;
  GString *text = g_string_new (NULL);
  struct net_text part;

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
  part = (struct net_text){ text->str, text->len };
  net_http_conn_write (connection->conn, &part, 1);
  g_string_free (text, TRUE);
}

/* Sends LENGTH bytes of the reply's body. */
void
sr_connection_body (struct sr_connection *connection, const char *data, size_t length)
{
  const struct net_text part = { data, length };

  if (length == 0 || connection->is_head_request)
    return;
  if (connection->is_chunked)
    net_http_write_chunk (connection->conn, &part, 1);
  else
    net_http_conn_write (connection->conn, &part, 1);
}

/* Returns the bytes of the reply that the caller has yet to read. */
size_t
sr_connection_queued (const struct sr_connection *connection)
{
  return net_http_conn_queued (connection->conn);
}

/* Ends the reply, and with it the caller once all bytes are with the kernel; then the next request
 * may come. */
void
sr_connection_end (struct sr_connection *connection)
{
  if (connection->is_chunked && !connection->is_head_request)
    net_http_write_last_chunk (connection->conn);
  connection->is_ending = net_http_conn_queued (connection->conn) > 0;
  if (!connection->is_ending)
    replied_ (connection);
}

/* Ends the connection so that the reply does not look whole. */
void
sr_connection_break_off (struct sr_connection *connection)
{
  net_http_conn_reset (connection->conn);
  free_ (connection);
}

static void
replied_ (struct sr_connection *connection)
{
  connection->is_ending = false;
  forget_caller_ (connection, true);
  if (connection->closes)
    {
      net_http_conn_finish (connection->conn);
      free_ (connection);
      return;
    }
  connection->heard_ms = uv_now (&connection->entry->loop);
  net_http_conn_hold_messages (connection->conn, false);
}

static void
on_head_ (void *owner, const struct net_http_head *head)
{
  struct sr_connection *connection = owner;

  connection->heard_ms = uv_now (&connection->entry->loop);
  connection->is_reading = true;
  connection->is_head_request = net_text_is (head->method, "HEAD");
  connection->can_chunk = head->minor_version >= 1;
  connection->keeps_alive = head->keeps_alive;
  connection->caller = sr_caller_new (connection->entry, connection, head);
  atomic_fetch_add (&connection->entry->open_requests, 1);
  sr_counter_add (&open_requests, 1);
  for (unsigned i = 0; i < head->headers->len; i++)
    {
      const struct net_header *header = &g_array_index (head->headers, struct net_header, i);

      if (net_text_is_nocase (header->name, "Expect")
          && net_text_is_nocase (header->value, "100-continue"))
        net_http_write_continue (connection->conn);
    }
}

static void
on_body_ (void *owner, const char *data, size_t length)
{
  struct sr_connection *connection = owner;

  connection->heard_ms = uv_now (&connection->entry->loop);
  sr_caller_take_body (connection->caller, data, length);
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
    replied_ (connection);
  else if (connection->caller != NULL && !connection->is_reading)
    sr_caller_drained (connection->caller);
}

/* What came is no request: say so, unless a reply is on its way, and close. */
static void
on_refusable_ (void *owner, enum net_end end)
{
  struct sr_connection *connection = owner;

  sr_log (G_LOG_LEVEL_INFO, "entry", "what came is no request: %s", net_end_to_string (end));
  if (connection->caller == NULL || connection->is_reading)
    net_http_write_refusal (connection->conn, end);
  net_http_conn_finish (connection->conn);
  free_ (connection);
}

static void
on_ended_ (void *owner, enum net_end end)
{
  free_ (owner);
}

static void
forget_caller_ (struct sr_connection *connection, bool replied)
{
  if (connection->caller == NULL)
    return;
  sr_caller_delete (connection->caller);
  connection->caller = NULL;
  atomic_fetch_sub (&connection->entry->open_requests, 1);
  sr_counter_add (&open_requests, -1);
  if (!replied)
    sr_counter_add (&gone_total, 1);
}

/* The connection itself has been closed or is being finished. */
static void
free_ (struct sr_connection *connection)
{
  forget_caller_ (connection, false);
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
