#include "http/exchange.h"

#include "net/http-conn.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>

enum
{
  HEAD_MAX_BYTES = 65536, /* far above the heads of backend servers and the platform */
  READ_BLOCK_BYTES = 4096,
  HTTP_PORT = 80,
  MS_PER_S = 1000
};

/* Each exchange has its own loop, which runs only inside the functions below. */
struct sr_exchange
{
  const struct net_http_owner_vtable *vtable; /* first: the connection's owner */
  uv_loop_t loop;
  uv_timer_t timer;
  struct net_http_conn *conn; /* NULL once it has ended */
  struct sockaddr_in server;
  unsigned connect_timeout_ms;
  unsigned idle_timeout_ms;
  GString *request; /* request line and headers */
  const char *body;
  size_t body_length;
  /* Progress of the response. */
  bool connected;
  bool has_head;
  bool is_complete;
  bool has_progressed; /* any callback since the timer was started */
  bool timed_out;
  int http_status;
  GHashTable *headers; /* name in lower case -> value */
  GString *received;   /* part of the body that the caller has not read yet */
};

static pthread_once_t signal_once = PTHREAD_ONCE_INIT;
static const char *const status_names[] = { "ok", "not sent", "timeout", "broken" };

static void ignore_broken_pipes_ (void);
static void on_connected_ (void *owner);
static void on_head_ (void *owner, const struct net_http_head *head);
static void on_body_ (void *owner, const char *data, size_t length);
static void on_message_end_ (void *owner);
static void on_ended_ (void *owner, enum net_end_reason end);
static void on_timer_ (uv_timer_t *timer);
static void format_request_ (struct sr_exchange *exchange,
                             const struct sr_exchange_options *options);
static void wait_for_progress_ (struct sr_exchange *exchange, unsigned timeout_ms);
static enum sr_exchange_status failure_status_ (const struct sr_exchange *exchange);

static const struct net_http_owner_vtable owner_vtable = {
  .connected = on_connected_,
  .head = on_head_,
  .body = on_body_,
  .message_end = on_message_end_,
  .ended = on_ended_,
};

/* Creates an exchange without connecting. The strings of OPTIONS are copied, except for the body,
 * which must stay valid until sr_exchange_begin returns. Returns NULL when an address of OPTIONS is
 * not an IPv4 address. The caller owns the exchange. Makes the process ignore SIGPIPE. */
struct sr_exchange *
sr_exchange_new (const struct sr_exchange_options *options)
{
  struct sockaddr_in source = { .sin_family = AF_INET };
  struct sockaddr_in server
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)options->port) };
  struct net_http_conn_options conn
      = { .disable_dead_peer_detection = true, .head_max_bytes = HEAD_MAX_BYTES };
  struct sr_exchange *exchange;

  if (inet_pton (AF_INET, options->address, &server.sin_addr) != 1)
    return NULL;
  if (options->source_address != NULL)
    {
      if (inet_pton (AF_INET, options->source_address, &source.sin_addr) != 1)
        return NULL;
      conn.source = &source;
    }
  pthread_once (&signal_once, ignore_broken_pipes_);
  exchange = g_new0 (struct sr_exchange, 1);
  exchange->vtable = &owner_vtable;
  exchange->server = server;
  exchange->connect_timeout_ms = (unsigned)MAX (options->connect_timeout_s, 1) * MS_PER_S;
  exchange->idle_timeout_ms = (unsigned)MAX (options->idle_timeout_s, 1) * MS_PER_S;
  exchange->body = options->body;
  exchange->body_length = options->body != NULL ? options->body_length : 0;
  exchange->headers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  exchange->received = g_string_new (NULL);
  exchange->request = g_string_new (NULL);
  format_request_ (exchange, options);
  uv_loop_init (&exchange->loop);
  uv_timer_init (&exchange->loop, &exchange->timer);
  exchange->timer.data = exchange;
  conn.loop = &exchange->loop;
  exchange->conn = net_http_conn_new (&conn, exchange);
  return exchange;
}

/* Closes the connection in any state and frees EXCHANGE. NULL is allowed. */
void
sr_exchange_delete (struct sr_exchange *exchange)
{
  if (exchange == NULL)
    return;
  if (exchange->conn != NULL)
    net_http_conn_close (exchange->conn);
  uv_close ((uv_handle_t *)&exchange->timer, NULL);
  uv_run (&exchange->loop, UV_RUN_DEFAULT);
  uv_loop_close (&exchange->loop);
  g_hash_table_unref (exchange->headers);
  g_string_free (exchange->received, TRUE);
  g_string_free (exchange->request, TRUE);
  g_free (exchange);
}

/* Connects, sends the request and waits for the response's head. Call it once. After any status but
 * SR_EXCHANGE_OK the exchange can only be deleted. */
enum sr_exchange_status
sr_exchange_begin (struct sr_exchange *exchange)
{
  if (!net_http_conn_connect (exchange->conn, &exchange->server))
    {
      exchange->conn = NULL;
      return SR_EXCHANGE_NOT_SENT;
    }
  while (!exchange->connected && exchange->conn != NULL && !exchange->timed_out)
    wait_for_progress_ (exchange, exchange->connect_timeout_ms);
  while (!exchange->has_head && exchange->conn != NULL && !exchange->timed_out)
    wait_for_progress_ (exchange, exchange->idle_timeout_ms);
  return exchange->has_head ? SR_EXCHANGE_OK : failure_status_ (exchange);
}

/* Waits for at least one byte of the response's body and reads at most SIZE bytes. *LENGTH is 0 at
 * the end of the body; a lost connection is never taken for it when the response has a
 * Content-Length or is chunked. When the server sends nothing for idle_timeout_s, the status is
 * SR_EXCHANGE_BROKEN, not SR_EXCHANGE_TIMEOUT. */
enum sr_exchange_status
sr_exchange_read (struct sr_exchange *exchange, char *buffer, size_t size, size_t *length)
{
  while (exchange->received->len == 0 && !exchange->is_complete && exchange->conn != NULL
         && !exchange->timed_out)
    wait_for_progress_ (exchange, exchange->idle_timeout_ms);
  *length = MIN (size, exchange->received->len);
  memcpy (buffer, exchange->received->str, *length);
  g_string_erase (exchange->received, 0, (gssize)*length);
  return *length > 0 || exchange->is_complete ? SR_EXCHANGE_OK : SR_EXCHANGE_BROKEN;
}

/* Returns SR_EXCHANGE_OK when the response is complete and has been read to its end, else
 * SR_EXCHANGE_BROKEN. */
enum sr_exchange_status
sr_exchange_check_complete (struct sr_exchange *exchange)
{
  return exchange->is_complete && exchange->received->len == 0 ? SR_EXCHANGE_OK
                                                               : SR_EXCHANGE_BROKEN;
}

/* Appends the rest of the body to BODY. Returns SR_EXCHANGE_BROKEN when it is incomplete, or when
 * BODY would become longer than MAX_BYTES. */
enum sr_exchange_status
sr_exchange_read_all (struct sr_exchange *exchange, GString *body, size_t max_bytes)
{
  char buffer[READ_BLOCK_BYTES];
  enum sr_exchange_status status;
  size_t length;

  do
    {
      status = sr_exchange_read (exchange, buffer, sizeof buffer, &length);
      if (status != SR_EXCHANGE_OK)
        return status;
      if (body->len + length > max_bytes)
        return SR_EXCHANGE_BROKEN;
      g_string_append_len (body, buffer, (gssize)length);
    }
  while (length > 0);
  return sr_exchange_check_complete (exchange);
}

/* Returns the HTTP status code, valid once sr_exchange_begin has returned SR_EXCHANGE_OK. */
int
sr_exchange_http_status (const struct sr_exchange *exchange)
{
  return exchange->http_status;
}

/* Returns the value of response header NAME (in any case), owned by EXCHANGE, or NULL. Of repeated
 * headers it is the last. */
const char *
sr_exchange_header (const struct sr_exchange *exchange, const char *name)
{
  g_autofree char *key = g_ascii_strdown (name, -1);

  return g_hash_table_lookup (exchange->headers, key);
}

/* Returns whether a connection was established, so that bytes may have reached the server. */
bool
sr_exchange_was_connected (const struct sr_exchange *exchange)
{
  return exchange->connected;
}

const char *
sr_exchange_status_to_string (enum sr_exchange_status status)
{
  g_assert ((size_t)status < G_N_ELEMENTS (status_names));
  return status_names[status];
}

/* Writing to a connection that the server has closed must fail, not kill this process. */
static void
ignore_broken_pipes_ (void)
{
  signal (SIGPIPE, SIG_IGN);
}

static void
on_connected_ (void *owner)
{
  struct sr_exchange *exchange = owner;
  const struct net_string_view parts[] = { { exchange->request->str, exchange->request->len },
                                           { exchange->body, exchange->body_length } };

  exchange->connected = true;
  exchange->has_progressed = true;
  net_http_conn_expect_response (exchange->conn, false);
  net_http_conn_write (exchange->conn, parts, exchange->body_length > 0 ? 2 : 1);
}

static void
on_head_ (void *owner, const struct net_http_head *head)
{
  struct sr_exchange *exchange = owner;

  exchange->has_head = true;
  exchange->has_progressed = true;
  exchange->http_status = (int)head->status;
  for (unsigned i = 0; i < head->headers->len; i++)
    {
      const struct net_header *header = &g_array_index (head->headers, struct net_header, i);

      g_hash_table_replace (exchange->headers,
                            g_ascii_strdown (header->name.data, (gssize)header->name.length),
                            net_string_view_dup (header->value));
    }
}

static void
on_body_ (void *owner, const char *data, size_t length)
{
  struct sr_exchange *exchange = owner;

  exchange->has_progressed = true;
  g_string_append_len (exchange->received, data, (gssize)length);
}

static void
on_message_end_ (void *owner)
{
  struct sr_exchange *exchange = owner;

  exchange->has_progressed = true;
  exchange->is_complete = true;
  net_http_conn_hold_messages (exchange->conn, true); /* no further response is expected */
}

static void
on_ended_ (void *owner, enum net_end_reason end)
{
  struct sr_exchange *exchange = owner;

  exchange->conn = NULL;
  exchange->has_progressed = true;
}

static void
on_timer_ (uv_timer_t *timer)
{
  struct sr_exchange *exchange = timer->data;

  exchange->timed_out = true;
}

/* Sends "Connection: close": a reused connection could break while the next request is sent on it,
 * and the client could not know whether that request was run. */
static void
format_request_ (struct sr_exchange *exchange, const struct sr_exchange_options *options)
{
  GString *out = exchange->request;

  g_string_printf (out, "%s %s HTTP/1.1\r\nHost: %s", options->method, options->path,
                   options->address);
  if (options->port != HTTP_PORT)
    g_string_append_printf (out, ":%u", options->port);
  g_string_append (out, "\r\nConnection: close\r\n");
  for (size_t i = 0; options->headers != NULL && options->headers[i] != NULL; i += 2)
    g_string_append_printf (out, "%s: %s\r\n", options->headers[i], options->headers[i + 1]);
  if (options->body != NULL)
    g_string_append_printf (out, "Content-Length: %zu\r\n", exchange->body_length);
  g_string_append (out, "\r\n");
}

/* Runs the loop until the connection makes progress or TIMEOUT_MS have passed. */
static void
wait_for_progress_ (struct sr_exchange *exchange, unsigned timeout_ms)
{
  exchange->has_progressed = false;
  uv_update_time (&exchange->loop);
  uv_timer_start (&exchange->timer, on_timer_, timeout_ms, 0);
  while (!exchange->has_progressed && !exchange->timed_out)
    uv_run (&exchange->loop, UV_RUN_ONCE);
  uv_timer_stop (&exchange->timer);
}

static enum sr_exchange_status
failure_status_ (const struct sr_exchange *exchange)
{
  if (!exchange->connected)
    return SR_EXCHANGE_NOT_SENT;
  return exchange->timed_out ? SR_EXCHANGE_TIMEOUT : SR_EXCHANGE_BROKEN;
}
