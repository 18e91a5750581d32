#include "http/exchange.h"

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <pthread.h>

enum
{
  READ_BLOCK_BYTES = 4096
};

struct sr_exchange
{
  ne_session *session;
  ne_request *request;
  ne_inet_addr *server;
  ne_inet_addr *source;
  bool connected;
};

static const char *const exchange_status_strings[] = { "ok", "not sent", "timeout", "broken" };
static pthread_once_t neon_once = PTHREAD_ONCE_INIT;

static void neon_init_ (void);
static void notify_ (void *user, ne_session_status status, const ne_session_status_info *info);
static enum sr_exchange_status status_from_neon_ (const struct sr_exchange *exchange, int code);

/* Prepares an exchange. OPTIONS' strings are copied, but its body must stay until the exchange has
 * begun. Returns NULL when an address of OPTIONS is not an IP number. The caller owns the exchange.
 */
struct sr_exchange *
sr_exchange_new (const struct sr_exchange_options *options)
{
  struct sr_exchange *exchange = g_new0 (struct sr_exchange, 1);
  const ne_inet_addr *servers[1];

  pthread_once (&neon_once, neon_init_);
  exchange->server = ne_iaddr_parse (options->address, ne_iaddr_ipv4);
  if (exchange->server == NULL)
    goto fail;
  exchange->session = ne_session_create ("http", options->address, options->port);
  servers[0] = exchange->server;
  ne_set_addrlist2 (exchange->session, options->port, servers, 1);
  if (options->source_address != NULL)
    {
      exchange->source = ne_iaddr_parse (options->source_address, ne_iaddr_ipv4);
      if (exchange->source == NULL)
        goto fail;
      ne_set_localaddr (exchange->session, exchange->source);
    }
  ne_set_connect_timeout (exchange->session, MAX (options->connect_timeout_s, 1));
  ne_set_read_timeout (exchange->session, MAX (options->idle_timeout_s, 1));
  /* A kept-alive connection lets neon send a request a second time by itself. */
  ne_set_session_flag (exchange->session, NE_SESSFLAG_PERSIST, 0);
  ne_set_notifier (exchange->session, notify_, exchange);
  exchange->request = ne_request_create (exchange->session, options->method, options->path);
  ne_set_request_flag (exchange->request, NE_REQFLAG_IDEMPOTENT, 0);
  for (size_t i = 0; options->headers != NULL && options->headers[i] != NULL; i += 2)
    ne_add_request_header (exchange->request, options->headers[i], options->headers[i + 1]);
  if (options->body != NULL)
    ne_set_request_body_buffer (exchange->request, options->body, options->body_length);
  return exchange;

fail:
  sr_exchange_delete (exchange);
  return NULL;
}

/* Closes the connection, whatever its state, and frees EXCHANGE. NULL is allowed. */
void
sr_exchange_delete (struct sr_exchange *exchange)
{
  if (exchange == NULL)
    return;
  if (exchange->request != NULL)
    ne_request_destroy (exchange->request);
  if (exchange->session != NULL)
    ne_session_destroy (exchange->session);
  if (exchange->server != NULL)
    ne_iaddr_free (exchange->server);
  if (exchange->source != NULL)
    ne_iaddr_free (exchange->source);
  g_free (exchange);
}

/* Connects, sends the request and reads the answer's head. Call it once. After any status but OK
 * the exchange can only be deleted. */
enum sr_exchange_status
sr_exchange_begin (struct sr_exchange *exchange)
{
  return status_from_neon_ (exchange, ne_begin_request (exchange->request));
}

/* Reads what has come of the answer's body, at most SIZE bytes, waiting for at least one. *LENGTH
 * is 0 at the end of the body, which a broken connection never looks like when the server gives a
 * length or chunks. */
enum sr_exchange_status
sr_exchange_read (struct sr_exchange *exchange, char *buffer, size_t size, size_t *length)
{
  ssize_t got = ne_read_response_block (exchange->request, buffer, size);

  *length = got > 0 ? (size_t)got : 0;
  return got >= 0 ? SR_EXCHANGE_OK : SR_EXCHANGE_BROKEN;
}

/* Ends a whole read answer. Anything but OK means that it was not whole. */
enum sr_exchange_status
sr_exchange_finish (struct sr_exchange *exchange)
{
  int code = ne_end_request (exchange->request);

  return code == NE_RETRY ? SR_EXCHANGE_OK : status_from_neon_ (exchange, code);
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
  return ne_get_status (exchange->request)->code;
}

/* Returns the answer's header NAME, owned by EXCHANGE, or NULL. */
const char *
sr_exchange_header (const struct sr_exchange *exchange, const char *name)
{
  return ne_get_response_header (exchange->request, name);
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

static void
neon_init_ (void)
{
  ne_sock_init ();
}

static void
notify_ (void *user, ne_session_status status, const ne_session_status_info *info)
{
  struct sr_exchange *exchange = user;

  if (status == ne_status_connected)
    exchange->connected = true;
}

static enum sr_exchange_status
status_from_neon_ (const struct sr_exchange *exchange, int code)
{
  if (code == NE_OK)
    return SR_EXCHANGE_OK;
  if (!exchange->connected)
    return SR_EXCHANGE_NOT_SENT;
  return code == NE_TIMEOUT ? SR_EXCHANGE_TIMEOUT : SR_EXCHANGE_BROKEN;
}
