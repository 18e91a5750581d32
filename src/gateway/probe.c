#include "gateway/probe.h"

#include "base/event-log.h"
#include "net/http-conn.h"

#include <jansson.h>

enum
{
  BACKLOG = 16,
  HEAD_MAX_BYTES = 4096,
  CONNECTION_MAX_BYTES
  = 65536 /* of all connections on average: what has been read, and a response */
};

struct probe_
{
  struct gw_probe_options options;
  uv_tcp_t listener;
  struct net_memory_account account; /* of its connections, apart from those of callers */
};

struct client_
{
  const struct net_http_owner_vtable *vtable; /* first: the connection's owner */
  struct probe_ *probe;
  struct net_http_conn *conn;
  char path[64];
  bool keeps_alive;
};

static void on_connection_ (uv_stream_t *listener, int status);
static void on_head_ (void *owner, const struct net_http_head *head);
static void on_body_ (void *owner, const char *data, size_t length);
static void on_message_end_ (void *owner);
static void on_ended_ (void *owner, enum net_end_reason end);
static void on_evicted_ (void *owner, bool closes);

static const struct net_http_owner_vtable owner_vtable_ = {
  .head = on_head_,
  .body = on_body_,
  .message_end = on_message_end_,
  .ended = on_ended_,
  .evicted = on_evicted_,
};

/* Starts to listen. Returns false when that fails, which it logs. */
bool
gw_probe_listen (const struct gw_probe_options *options)
{
  struct probe_ *probe = g_new0 (struct probe_, 1);
  const struct net_memory_limits limits
      = { .bytes = (size_t)options->connections_max * CONNECTION_MAX_BYTES,
          .callers_max = options->connections_max };
  int error;

  probe->options = *options;
  net_memory_account_init (&probe->account, &limits);
  uv_tcp_init (options->loop, &probe->listener);
  probe->listener.data = probe;
  error = uv_tcp_bind (&probe->listener, (const struct sockaddr *)&options->address, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)&probe->listener, BACKLOG, on_connection_);
  if (error != 0)
    sr_event (SR_EVENT_WARNING, "listen_failed", "{s:s}", "reason", uv_strerror (error));
  return error == 0;
}

static void
on_connection_ (uv_stream_t *listener, int status)
{
  struct probe_ *probe = listener->data;
  const struct net_http_conn_options options = { .loop = probe->options.loop,
                                                 .is_server = true,
                                                 .head_max_bytes = HEAD_MAX_BYTES,
                                                 .account = &probe->account };
  struct client_ *client;

  if (status != 0)
    return;
  net_http_account_make_room (&probe->account, true, (int64_t)uv_now (probe->options.loop));
  client = g_new0 (struct client_, 1);
  client->vtable = &owner_vtable_;
  client->probe = probe;
  client->conn = net_http_conn_new (&options, client);
  if (!net_http_conn_accept (client->conn, listener))
    g_free (client);
}

static void
on_head_ (void *owner, const struct net_http_head *head)
{
  struct client_ *client = owner;

  g_snprintf (client->path, sizeof client->path, "%.*s", (int)head->target.length,
              head->target.data);
  client->keeps_alive = head->keeps_alive;
}

static void
on_body_ (void *owner, const char *data, size_t length)
{
}

static void
on_message_end_ (void *owner)
{
  struct client_ *client = owner;
  const struct gw_probe_options *options = &client->probe->options;
  GString *body = g_string_new (NULL);
  unsigned status = options->respond (client->path, body, options->data);
  g_autofree char *head
      = g_strdup_printf ("HTTP/1.1 %u %s\r\nContent-Type: text/plain; version=0.0.4\r\n"
                         "Content-Length: %zu\r\n\r\n",
                         status, status == 200 ? "OK" : "Unavailable", body->len);
  const struct net_string_view parts[] = { net_string_view_of (head), { body->str, body->len } };

  net_http_conn_write (client->conn, parts, body->len > 0 ? 2 : 1);
  g_string_free (body, TRUE);
  if (client->keeps_alive)
    return;
  net_http_conn_finish (client->conn);
  g_free (client);
}

static void
on_ended_ (void *owner, enum net_end_reason end)
{
  g_free (owner);
}

/* The connection was used longest ago, and a new one needs its place, or all together hold too
 * much. */
static void
on_evicted_ (void *owner, bool closes)
{
  struct client_ *client = owner;
  const struct net_memory_holder *holder = net_http_conn_holder (client->conn);

  sr_event (SR_EVENT_WARNING, "probe_client_evicted", "{s:s,s:I,s:I,s:i}", "reason",
            closes ? "descriptors" : "memory", "bytes", (json_int_t)holder->total, "unsent",
            (json_int_t)holder->bytes[NET_MEMORY_UNSENT], "limit",
            (int)client->probe->options.connections_max);
  if (net_http_conn_queued (client->conn) > 0)
    net_http_conn_reset (client->conn);
  else
    net_http_conn_close (client->conn);
  g_free (client);
}
