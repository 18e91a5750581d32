#include "http/exchange.h"

#include "net/http-conn.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>

enum
{
  HEAD_MAX_BYTES = 65536, /* far above what backend servers and the platform answer with */
  READ_BLOCK_BYTES = 4096,
  HTTP_PORT = 80,
  MS_PER_S = 1000
};

/* Everything happens on a loop of its own that runs only inside the calls below. */
struct sr_exchange
{
  const struct net_http_owner_vtable *vtable; /* first: the connection's owner */
  uv_loop_t loop;
  uv_timer_t timer;
  struct net_http_conn *conn; /* NULL: has ended */
  struct sockaddr_in server;
  unsigned connect_timeout_ms;
  unsigned idle_timeout_ms;
  GString *request; /* its head */
  const char *body;
  size_t body_length;
  /* What has happened. */
  bool connected;
  bool has_head;
  bool is_whole;
  bool has_news; /* since the timer was set */
  bool timed_out;
  int code;
  GHashTable *headers; /* name in lower case: value */
  GString *received;   /* of the body, not read yet */
};

static pthread_once_t signal_once = PTHREAD_ONCE_INIT;
static const char *const exchange_status_strings[] = { "ok", "not sent", "timeout", "broken" };

static void ignore_broken_pipes_ (void);
static void on_connected_ (void *owner);
static void on_head_ (void *owner, const struct net_http_head *head);
static void on_body_ (void *owner, const char *data, size_t length);
static void on_message_end_ (void *owner);
static void on_ended_ (void *owner, enum net_end end);
static void on_timer_ (uv_timer_t *timer);
static void print_request_ (struct sr_exchange *exchange,
                            const struct sr_exchange_options *options);
static void run_once_ (struct sr_exchange *exchange, unsigned limit_ms);
static enum sr_exchange_status failure_ (const struct sr_exchange *exchange);

static const struct net_http_owner_vtable owner_vtable = {
  .connected = on_connected_,
  .head = on_head_,
  .body = on_body_,
  .message_end = on_message_end_,
  .ended = on_ended_,
};

/* Prepares an exchange. OPTIONS' strings are copied, but its body must stay until the exchange has
 * begun. Returns NULL when an address of OPTIONS is not an IP number. The caller owns the exchange.
 */
struct sr_exchange *
sr_exchange_new (const struct sr_exchange_options *options)
{
  struct sockaddr_in source = { .sin_family = AF_INET };
  struct sockaddr_in server
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)options->port) };
  struct net_http_conn_options conn = { .is_patient = true, .head_max_bytes = HEAD_MAX_BYTES };
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
  print_request_ (exchange, options);
  uv_loop_init (&exchange->loop);
  uv_timer_init (&exchange->loop, &exchange->timer);
  exchange->timer.data = exchange;
  conn.loop = &exchange->loop;
  exchange->conn = net_http_conn_new (&conn, exchange);
  return exchange;
}

/* Closes the connection, whatever its state, and frees EXCHANGE. NULL is allowed. */
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

/* Connects, sends the request and reads the answer's head. Call it once. After any status but OK
 * the exchange can only be deleted. */
enum sr_exchange_status
sr_exchange_begin (struct sr_exchange *exchange)
{
  if (!net_http_conn_connect (exchange->conn, &exchange->server))
    {
      exchange->conn = NULL;
      return SR_EXCHANGE_NOT_SENT;
    }
  while (!exchange->connected && exchange->conn != NULL && !exchange->timed_out)
    run_once_ (exchange, exchange->connect_timeout_ms);
  while (!exchange->has_head && exchange->conn != NULL && !exchange->timed_out)
    run_once_ (exchange, exchange->idle_timeout_ms);
  return exchange->has_head ? SR_EXCHANGE_OK : failure_ (exchange);
}

/* Reads what has come of the answer's body, at most SIZE bytes, waiting for at least one. *LENGTH
 * is 0 at the end of the body, which a broken connection never looks like when the server gives a
 * length or chunks. */
enum sr_exchange_status
sr_exchange_read (struct sr_exchange *exchange, char *buffer, size_t size, size_t *length)
{
  while (exchange->received->len == 0 && !exchange->is_whole && exchange->conn != NULL
         && !exchange->timed_out)
    run_once_ (exchange, exchange->idle_timeout_ms);
  *length = MIN (size, exchange->received->len);
  memcpy (buffer, exchange->received->str, *length);
  g_string_erase (exchange->received, 0, (gssize)*length);
  return *length > 0 || exchange->is_whole ? SR_EXCHANGE_OK : SR_EXCHANGE_BROKEN;
}

/* Ends a whole read answer. Anything but OK means that it was not whole. */
enum sr_exchange_status
sr_exchange_finish (struct sr_exchange *exchange)
{
  return exchange->is_whole && exchange->received->len == 0 ? SR_EXCHANGE_OK : SR_EXCHANGE_BROKEN;
}

/* Appends the whole body to BODY and ends the exchange. A body over MAX_BYTES counts as broken. */
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
  return sr_exchange_finish (exchange);
}

/* Returns the answer's HTTP status code, once begun. */
int
sr_exchange_code (const struct sr_exchange *exchange)
{
  return exchange->code;
}

/* Returns the answer's header NAME, owned by EXCHANGE, or NULL. */
const char *
sr_exchange_header (const struct sr_exchange *exchange, const char *name)
{
  g_autofree char *key = g_ascii_strdown (name, -1);

  return g_hash_table_lookup (exchange->headers, key);
}

/* Tells whether a connection was made, so that bytes may have reached the server. */
bool
sr_exchange_was_connected (const struct sr_exchange *exchange)
{
  return exchange->connected;
}

/* Returns the name of STATUS. */
const char *
sr_exchange_status_to_string (enum sr_exchange_status status)
{
  g_assert ((size_t)status < G_N_ELEMENTS (exchange_status_strings));
  return exchange_status_strings[status];
}

/* A server that has gone is an error of the write, not the end of this process. */
static void
ignore_broken_pipes_ (void)
{
  signal (SIGPIPE, SIG_IGN);
}

static void
on_connected_ (void *owner)
{
  struct sr_exchange *exchange = owner;
  const struct net_text parts[] = { { exchange->request->str, exchange->request->len },
                                    { exchange->body, exchange->body_length } };

  exchange->connected = true;
  exchange->has_news = true;
  net_http_conn_write (exchange->conn, parts, exchange->body_length > 0 ? 2 : 1);
}

static void
on_head_ (void *owner, const struct net_http_head *head)
{
  struct sr_exchange *exchange = owner;

  exchange->has_head = true;
  exchange->has_news = true;
  exchange->code = (int)head->status;
  for (unsigned i = 0; i < head->headers->len; i++)
    {
      const struct net_header *header = &g_array_index (head->headers, struct net_header, i);

      g_hash_table_replace (exchange->headers,
                            g_ascii_strdown (header->name.data, (gssize)header->name.length),
                            g_strndup (header->value.data, header->value.length));
    }
}

static void
on_body_ (void *owner, const char *data, size_t length)
{
  struct sr_exchange *exchange = owner;

  exchange->has_news = true;
  g_string_append_len (exchange->received, data, (gssize)length);
}

static void
on_message_end_ (void *owner)
{
  struct sr_exchange *exchange = owner;

  exchange->has_news = true;
  exchange->is_whole = true;
  net_http_conn_hold_messages (exchange->conn, true); /* nothing more was asked for */
}

static void
on_ended_ (void *owner, enum net_end end)
{
  struct sr_exchange *exchange = owner;

  exchange->conn = NULL;
  exchange->has_news = true;
}

static void
on_timer_ (uv_timer_t *timer)
{
  struct sr_exchange *exchange = timer->data;

  exchange->timed_out = true;
}

/* The connection serves this one request: a kept one could break as it is used again, and nobody
 * would know whether the request was run. */
static void
print_request_ (struct sr_exchange *exchange, const struct sr_exchange_options *options)
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

/* Lets the loop work until something has happened, or nothing for LIMIT_MS. */
static void
run_once_ (struct sr_exchange *exchange, unsigned limit_ms)
{
  exchange->has_news = false;
  uv_update_time (&exchange->loop);
  uv_timer_start (&exchange->timer, on_timer_, limit_ms, 0);
  while (!exchange->has_news && !exchange->timed_out)
    uv_run (&exchange->loop, UV_RUN_ONCE);
  uv_timer_stop (&exchange->timer);
}

static enum sr_exchange_status
failure_ (const struct sr_exchange *exchange)
{
  if (!exchange->connected)
    return SR_EXCHANGE_NOT_SENT;
  return exchange->timed_out ? SR_EXCHANGE_TIMEOUT : SR_EXCHANGE_BROKEN;
}
