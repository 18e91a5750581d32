/* HTTP exchanges with a server that sends fixed bytes over a plain socket. */
#include "http/exchange.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  REQUEST_MAX_BYTES = 8192,
  BODY_MAX_BYTES = 4096,
  RESETS = 5,
  REST_DELAY_US = 20000,
  TIMEOUT_S = 1 /* for connecting, and while the server sends nothing */
};

/* Accepts one connection, reads the request's head and sends fixed bytes. */
struct server
{
  int listener;
  unsigned port;
  pthread_t thread;
  const char *response;
  const char *rest; /* sent REST_DELAY_US after RESPONSE; NULL: nothing */
  bool resets;      /* closes the connection with a TCP reset */
  bool stalls;      /* keeps the connection open after RESPONSE */
  char request[REQUEST_MAX_BYTES];
  char peer[INET_ADDRSTRLEN];
};

static void *
serve_ (void *data)
{
  struct server *server = data;
  struct sockaddr_in peer;
  socklen_t length = sizeof peer;
  int fd = accept (server->listener, (struct sockaddr *)&peer, &length);
  const struct linger linger = { .l_onoff = 1 };
  size_t got = 0;

  if (fd < 0)
    return NULL;
  inet_ntop (AF_INET, &peer.sin_addr, server->peer, sizeof server->peer);
  while (strstr (server->request, "\r\n\r\n") == NULL)
    {
      ssize_t n = read (fd, server->request + got, sizeof server->request - got - 1);

      if (n <= 0)
        break;
      got += (size_t)n;
    }
  if (server->response != NULL)
    (void)!write (fd, server->response, strlen (server->response));
  if (server->rest != NULL)
    {
      usleep (REST_DELAY_US);
      (void)!write (fd, server->rest, strlen (server->rest));
    }
  if (server->stalls)
    (void)!read (fd, server->request + got, 1);
  if (server->resets)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
  return NULL;
}

static void
start_ (struct server *server)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (server->listener, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (server->listener, 1), 0);
  assert_int_equal (getsockname (server->listener, (struct sockaddr *)&address, &length), 0);
  server->port = ntohs (address.sin_port);
  assert_int_equal (pthread_create (&server->thread, NULL, serve_, server), 0);
}

static void
stop_ (struct server *server)
{
  shutdown (server->listener, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->listener);
}

static struct sr_exchange *
exchange_new_ (const struct server *server, const char *body)
{
  static const char *const headers[] = { "X-Name", "value", NULL };
  const struct sr_exchange_options options = { .address = "127.0.0.1",
                                               .port = server->port,
                                               .source_address = "127.0.0.9",
                                               .connect_timeout_s = TIMEOUT_S,
                                               .idle_timeout_s = TIMEOUT_S,
                                               .method = body != NULL ? "POST" : "GET",
                                               .path = "/p?q=1",
                                               .headers = headers,
                                               .body = body,
                                               .body_length = body != NULL ? strlen (body) : 0 };
  struct sr_exchange *exchange = sr_exchange_new (&options);

  assert_non_null (exchange);
  return exchange;
}

/* Asserts the status of sr_exchange_begin and of sr_exchange_read_all for the response BYTES, and
 * its body. */
static void
assert_response_ (const char *bytes,
                  enum sr_exchange_status begin,
                  enum sr_exchange_status read_all,
                  const char *body)
{
  struct server server = { .response = bytes };
  g_autoptr (GString) read = g_string_new (NULL);
  struct sr_exchange *exchange;

  start_ (&server);
  exchange = exchange_new_ (&server, NULL);
  assert_int_equal (sr_exchange_begin (exchange), begin);
  if (begin == SR_EXCHANGE_OK)
    assert_int_equal (sr_exchange_read_all (exchange, read, BODY_MAX_BYTES), read_all);
  if (read_all == SR_EXCHANGE_OK)
    assert_string_equal (read->str, body);
  sr_exchange_delete (exchange);
  stop_ (&server);
}

static void
request_line_headers_and_body_length_are_sent (void **state)
{
  struct server server
      = { .response = "HTTP/1.1 201 Created\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n" };
  struct sr_exchange *exchange;

  start_ (&server);
  exchange = exchange_new_ (&server, "body");
  assert_int_equal (sr_exchange_begin (exchange), SR_EXCHANGE_OK);
  assert_int_equal (sr_exchange_http_status (exchange), 201);
  assert_string_equal (sr_exchange_header (exchange, "x-id"), "7");
  assert_null (sr_exchange_header (exchange, "X-Other"));
  assert_true (sr_exchange_was_connected (exchange));
  sr_exchange_delete (exchange);
  stop_ (&server);
  assert_string_equal (server.peer, "127.0.0.9");
  assert_true (g_str_has_prefix (server.request, "POST /p?q=1 HTTP/1.1\r\nHost: 127.0.0.1:"));
  assert_non_null (strstr (server.request, "\r\nX-Name: value\r\n"));
  assert_non_null (strstr (server.request, "\r\nConnection: close\r\n"));
  assert_non_null (strstr (server.request, "\r\nContent-Length: 4\r\n"));
}

static void
truncated_or_malformed_response_is_broken (void **state)
{
  assert_response_ ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", SR_EXCHANGE_OK,
                    SR_EXCHANGE_OK, "whole");
  assert_response_ ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole", SR_EXCHANGE_OK,
                    SR_EXCHANGE_BROKEN, NULL);
  assert_response_ ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
                    SR_EXCHANGE_OK, SR_EXCHANGE_OK, "whole");
  assert_response_ ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
                    SR_EXCHANGE_OK, SR_EXCHANGE_BROKEN, NULL);
  assert_response_ ("HTTP/1.1 200 OK\r\n\r\nto the end", SR_EXCHANGE_OK, SR_EXCHANGE_OK,
                    "to the end");
  assert_response_ ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                    SR_EXCHANGE_OK, SR_EXCHANGE_OK, "ok");
  assert_response_ ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 No\r\n"
                    "Content-Length: 0\r\n\r\n",
                    SR_EXCHANGE_OK, SR_EXCHANGE_OK, "ok");
  assert_response_ ("no head at all\r\n\r\n", SR_EXCHANGE_BROKEN, SR_EXCHANGE_BROKEN, NULL);
  assert_response_ ("", SR_EXCHANGE_BROKEN, SR_EXCHANGE_BROKEN, NULL);
}

static void
reset_is_broken_and_silence_is_timeout (void **state)
{
  struct server resetting = { .response = "HTTP/1.1 200", .resets = true };
  struct server stalling = { .stalls = true };
  struct sr_exchange *exchange;

  start_ (&resetting);
  exchange = exchange_new_ (&resetting, NULL);
  assert_int_equal (sr_exchange_begin (exchange), SR_EXCHANGE_BROKEN);
  sr_exchange_delete (exchange);
  stop_ (&resetting);
  start_ (&stalling);
  exchange = exchange_new_ (&stalling, NULL);
  assert_int_equal (sr_exchange_begin (exchange), SR_EXCHANGE_TIMEOUT);
  assert_true (sr_exchange_was_connected (exchange));
  sr_exchange_delete (exchange);
  stop_ (&stalling);
}

/* The last bytes and the reset are read together. */
static void
response_without_length_that_is_reset_is_broken (void **state)
{
  for (unsigned i = 0; i < RESETS; i++)
    {
      struct server server
          = { .response = "HTTP/1.1 200 OK\r\n\r\n", .rest = "a part", .resets = true };
      g_autoptr (GString) read = g_string_new (NULL);
      struct sr_exchange *exchange;

      start_ (&server);
      exchange = exchange_new_ (&server, NULL);
      assert_int_equal (sr_exchange_begin (exchange), SR_EXCHANGE_OK);
      usleep (4 * REST_DELAY_US);
      assert_int_equal (sr_exchange_read_all (exchange, read, BODY_MAX_BYTES), SR_EXCHANGE_BROKEN);
      sr_exchange_delete (exchange);
      stop_ (&server);
    }
}

static void
response_that_is_none_is_broken (void **state)
{
  static const char *const heads[]
      = { "HTTP/1.1 000 OK\r\n", "HTTP/1.1 0200 OK\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
          "HTTP/1.1 200 OK\r\nX\x01: 1\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      g_autofree char *response = g_strconcat (heads[i], "Content-Length: 2\r\n\r\nok", NULL);

      assert_response_ (response, SR_EXCHANGE_BROKEN, SR_EXCHANGE_BROKEN, NULL);
    }
}

/* A time-out in the middle of a body must not look like the end of the body. */
static void
stalled_body_is_broken (void **state)
{
  struct server server
      = { .response = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", .stalls = true };
  struct sr_exchange *exchange;
  char buffer[16];
  size_t length;

  start_ (&server);
  exchange = exchange_new_ (&server, NULL);
  assert_int_equal (sr_exchange_begin (exchange), SR_EXCHANGE_OK);
  assert_int_equal (sr_exchange_read (exchange, buffer, sizeof buffer, &length), SR_EXCHANGE_OK);
  assert_int_equal (length, 4);
  assert_int_equal (sr_exchange_read (exchange, buffer, sizeof buffer, &length),
                    SR_EXCHANGE_BROKEN);
  assert_int_equal (sr_exchange_check_complete (exchange), SR_EXCHANGE_BROKEN);
  sr_exchange_delete (exchange);
  stop_ (&server);
}

static void
refused_connection_is_not_sent (void **state)
{
  struct server server = { .response = "" };
  struct sr_exchange *exchange;

  start_ (&server);
  stop_ (&server);
  exchange = exchange_new_ (&server, "body");
  assert_int_equal (sr_exchange_begin (exchange), SR_EXCHANGE_NOT_SENT);
  assert_false (sr_exchange_was_connected (exchange));
  sr_exchange_delete (exchange);
}

static void
host_name_as_address_is_rejected (void **state)
{
  const struct sr_exchange_options options
      = { .address = "localhost", .port = 1, .method = "GET", .path = "/" };

  assert_null (sr_exchange_new (&options));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (request_line_headers_and_body_length_are_sent),
    cmocka_unit_test (truncated_or_malformed_response_is_broken),
    cmocka_unit_test (reset_is_broken_and_silence_is_timeout),
    cmocka_unit_test (response_without_length_that_is_reset_is_broken),
    cmocka_unit_test (response_that_is_none_is_broken),
    cmocka_unit_test (stalled_body_is_broken),
    cmocka_unit_test (refused_connection_is_not_sent),
    cmocka_unit_test (host_name_as_address_is_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
