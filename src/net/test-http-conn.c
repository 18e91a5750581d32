/* HTTP connections over loopback; the peer is a plain socket that the test writes to directly. */
#include "net/http-conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  TIMEOUT_MS = 5000, /* of one condition in RUN_UNTIL */
  BLOCK_BYTES = 1 << 20,
  BLOCKS = 16,
  SLOW_MS = 1600, /* longer than a finished connection lingers */
  SLOW_READ_BYTES = 65536,
  SLOW_READ_INTERVAL_MS = 10,
  RESETS = 20, /* with each call that may be the first to meet them */
  CUT_SEEDS = 300,
  CUTS_PER_SEED = 3,
  CUT_BYTES_MAX = 24,
  PIPELINED_REQUESTS = 2000,
  PIPELINED_RESPONSE_BYTES = 16384, /* together more than kernels buffer on both sides */
  INPUT_MAX_BYTES = 65536
};

/* Owner of the tested connection: records its callbacks. */
struct recorder_
{
  const struct net_http_owner_vtable *vtable;
  struct net_http_conn *conn;
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_timer_t timeout;
  int peer; /* the plain socket */
  unsigned heads;
  unsigned n_messages;
  bool connected;
  bool is_bad_request;
  bool ended;
  enum net_end_reason end;
  unsigned status;
  bool ends_with_connection;
  GString *target;
  GString *headers; /* names and values of the last head */
  GString *body;
  bool holds_after_message;
  const char *response;       /* sent at the end of each message */
  const char *early_response; /* sent as soon as the head is parsed; the body is not read */
  bool timed_out;
  GString *events;   /* what the owner was told; NULL: not recorded */
  bool expects_more; /* a client's connection expects a response after each one */
  bool in_body;      /* the last event was a part of a body */
};

static void
note_ (struct recorder_ *recorder, const char *event)
{
  recorder->in_body = false;
  if (recorder->events != NULL)
    g_string_append_printf (recorder->events, "%s\n", event);
}

static const struct net_http_owner_vtable client_vtable_;

static void
connected_ (void *owner)
{
  ((struct recorder_ *)owner)->connected = true;
}

static void
head_ (void *owner, const struct net_http_head *head)
{
  struct recorder_ *recorder = owner;

  recorder->heads++;
  recorder->status = head->status;
  recorder->ends_with_connection = head->ends_with_connection;
  g_string_truncate (recorder->target, 0);
  g_string_append_len (recorder->target, head->target.data, (gssize)head->target.length);
  g_string_truncate (recorder->headers, 0);
  for (unsigned i = 0; i < head->headers->len; i++)
    {
      const struct net_header *header = &g_array_index (head->headers, struct net_header, i);

      g_string_append_printf (recorder->headers, "%.*s=%.*s;", (int)header->name.length,
                              header->name.data, (int)header->value.length, header->value.data);
    }
  if (recorder->events != NULL)
    g_string_append_printf (recorder->events, "head %u %s %s %d %d %d\n", head->status,
                            recorder->target->str, recorder->headers->str, (int)head->has_length,
                            (int)head->is_chunked, (int)head->keeps_alive);
  recorder->in_body = false;
  if (recorder->early_response != NULL)
    {
      const struct net_string_view part = net_string_view_of (recorder->early_response);

      net_http_conn_write (recorder->conn, &part, 1);
      net_http_conn_finish_unread (recorder->conn);
      recorder->conn = NULL;
    }
}

static void
body_ (void *owner, const char *data, size_t length)
{
  struct recorder_ *recorder = owner;

  g_string_append_len (recorder->body, data, (gssize)length);
  if (recorder->events == NULL)
    return;
  if (!recorder->in_body)
    g_string_append (recorder->events, "body ");
  g_string_append_len (recorder->events, data, (gssize)length);
  recorder->in_body = true;
}

static void
message_end_ (void *owner)
{
  struct recorder_ *recorder = owner;

  recorder->n_messages++;
  note_ (recorder, "\nend of message");
  if (recorder->expects_more && recorder->vtable == &client_vtable_)
    net_http_conn_expect_response (recorder->conn, false);
  if (recorder->response != NULL)
    {
      const struct net_string_view part = net_string_view_of (recorder->response);

      net_http_conn_write (recorder->conn, &part, 1);
    }
  if (recorder->holds_after_message)
    net_http_conn_hold_messages (recorder->conn, true);
}

static void
bad_request_ (void *owner, enum net_end_reason end)
{
  struct recorder_ *recorder = owner;

  recorder->is_bad_request = true;
  recorder->end = end;
  note_ (recorder, net_end_reason_to_string (end));
  net_http_conn_close (recorder->conn);
  recorder->conn = NULL;
}

static void
ended_ (void *owner, enum net_end_reason end)
{
  struct recorder_ *recorder = owner;

  recorder->ended = true;
  recorder->end = end;
  note_ (recorder, net_end_reason_to_string (end));
  recorder->conn = NULL;
}

static const struct net_http_owner_vtable server_vtable_ = { .head = head_,
                                                             .body = body_,
                                                             .message_end = message_end_,
                                                             .bad_request = bad_request_,
                                                             .ended = ended_ };
static const struct net_http_owner_vtable client_vtable_ = { .connected = connected_,
                                                             .head = head_,
                                                             .body = body_,
                                                             .message_end = message_end_,
                                                             .ended = ended_ };

static void
on_timeout_ (uv_timer_t *timer)
{
  ((struct recorder_ *)timer->data)->timed_out = true;
}

static void
on_connection_ (uv_stream_t *listener, int status)
{
  struct recorder_ *recorder = listener->data;

  assert_int_equal (status, 0);
  assert_true (net_http_conn_accept (recorder->conn, listener));
}

static struct recorder_ *
recorder_new_ (bool is_server)
{
  struct recorder_ *recorder = g_new0 (struct recorder_, 1);
  const struct net_http_conn_options options
      = { .loop = &recorder->loop, .is_server = is_server, .head_max_bytes = 2048 };

  signal (SIGPIPE, SIG_IGN);
  recorder->vtable = is_server ? &server_vtable_ : &client_vtable_;
  recorder->target = g_string_new (NULL);
  recorder->headers = g_string_new (NULL);
  recorder->body = g_string_new (NULL);
  uv_loop_init (&recorder->loop);
  uv_timer_init (&recorder->loop, &recorder->timeout);
  recorder->timeout.data = recorder;
  recorder->conn = net_http_conn_new (&options, recorder);
  return recorder;
}

/* The tested connection is the server's side, the plain socket is connected to it. */
static struct recorder_ *
server_new_ (void)
{
  struct recorder_ *recorder = recorder_new_ (true);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int length = sizeof address;

  uv_tcp_init (&recorder->loop, &recorder->listener);
  recorder->listener.data = recorder;
  assert_int_equal (uv_tcp_bind (&recorder->listener, (struct sockaddr *)&address, 0), 0);
  assert_int_equal (uv_listen ((uv_stream_t *)&recorder->listener, 4, on_connection_), 0);
  uv_tcp_getsockname (&recorder->listener, (struct sockaddr *)&address, &length);
  recorder->peer = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (recorder->peer, (struct sockaddr *)&address, sizeof address), 0);
  return recorder;
}

/* The tested connection is the client's side, the plain socket is what its server accepted. */
static struct recorder_ *
client_new_ (void)
{
  struct recorder_ *recorder = recorder_new_ (false);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  assert_int_equal (bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (listener, 1), 0);
  getsockname (listener, (struct sockaddr *)&address, &length);
  assert_true (net_http_conn_connect (recorder->conn, &address));
  recorder->peer = accept (listener, NULL, NULL);
  assert_true (recorder->peer >= 0);
  close (listener);
  while (!recorder->connected)
    uv_run (&recorder->loop, UV_RUN_ONCE);
  net_http_conn_expect_response (recorder->conn, false);
  return recorder;
}

static void
free_ (struct recorder_ *recorder)
{
  if (recorder->conn != NULL)
    net_http_conn_close (recorder->conn);
  if (recorder->vtable == &server_vtable_)
    uv_close ((uv_handle_t *)&recorder->listener, NULL);
  uv_close ((uv_handle_t *)&recorder->timeout, NULL);
  uv_run (&recorder->loop, UV_RUN_DEFAULT);
  uv_loop_close (&recorder->loop);
  if (recorder->peer >= 0)
    close (recorder->peer);
  g_string_free (recorder->target, TRUE);
  g_string_free (recorder->headers, TRUE);
  g_string_free (recorder->body, TRUE);
  g_free (recorder);
}

/* Runs the loop until the connection has read LENGTH more bytes than BEFORE, or has ended. */
static void
run_until_read_ (struct recorder_ *recorder, uint64_t before, size_t length)
{
  while (!recorder->ended && !recorder->is_bad_request && recorder->conn != NULL
         && net_traffic ()->received - before < length)
    uv_run (&recorder->loop, UV_RUN_ONCE);
}

static void
send_text_ (struct recorder_ *recorder, const char *text)
{
  assert_int_equal (send (recorder->peer, text, strlen (text), 0), strlen (text));
}

static void
close_peer_ (struct recorder_ *recorder, bool by_reset)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (by_reset)
    setsockopt (recorder->peer, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (recorder->peer);
  recorder->peer = -1;
}

/* Runs the loop until CONDITION holds; fails after TIMEOUT_MS. */
#define RUN_UNTIL(recorder, condition)                                                             \
  do                                                                                               \
    {                                                                                              \
      uv_timer_start (&(recorder)->timeout, on_timeout_, TIMEOUT_MS, 0);                           \
      while (!(condition) && !(recorder)->timed_out)                                               \
        uv_run (&(recorder)->loop, UV_RUN_ONCE);                                                   \
      uv_timer_stop (&(recorder)->timeout);                                                        \
      assert_true (condition);                                                                     \
    }                                                                                              \
  while (0)

static void
request_split_over_reads_is_parsed (void **state)
{
  struct recorder_ *recorder = server_new_ ();

  send_text_ (recorder, "POST /a/b HTTP/1.1\r\nHost: h\r\nTransfer-");
  RUN_UNTIL (recorder, net_http_conn_has_received (recorder->conn));
  send_text_ (recorder, "Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  RUN_UNTIL (recorder, recorder->body->len == 3);
  assert_int_equal (recorder->n_messages, 0);
  send_text_ (recorder, "2\r\nde\r\n0\r\n\r\n");
  RUN_UNTIL (recorder, recorder->n_messages == 1);
  assert_string_equal (recorder->target->str, "/a/b");
  assert_string_equal (recorder->body->str, "abcde");
  free_ (recorder);
}

static void
ambiguous_framing_is_rejected (void **state)
{
  const struct
  {
    const char *headers;
    const char *body;
  } cases[] = {
    { "Content-Length: 3\r\nContent-Length: 4\r\n", "abcd" },
    { "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" },
    { "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n" },
    { "X: a\nY: b\r\n", "" },
    { "X: a\rb\r\n", "" },
    { "X: a\r\n folded\r\n", "" },
    { "X : a\r\n", "" },
    { "Content-Length: +3\r\n", "abc" },
    { "no colon\r\n", "" },
    { "nocolon\r\n", "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct recorder_ *recorder = server_new_ ();

      send_text_ (recorder, "POST / HTTP/1.1\r\nHost: h\r\n");
      send_text_ (recorder, cases[i].headers);
      send_text_ (recorder, "\r\n");
      send_text_ (recorder, cases[i].body);
      RUN_UNTIL (recorder, recorder->is_bad_request || recorder->n_messages > 0);
      assert_true (recorder->is_bad_request);
      assert_int_equal (recorder->end, NET_END_MALFORMED);
      assert_int_equal (recorder->n_messages, 0);
      free_ (recorder);
    }
}

/* Such a head would be passed on with values that belong to nothing, or read differently by the
 * caller. */
static void
ambiguous_response_head_is_rejected (void **state)
{
  const char *const heads[] = {
    "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX: a\nY: b\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX: a\rY\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX: a\r\n folded\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX : a\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nnocolon\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OKHTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX: HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX: aHTTP/1.0 500\r\nContent-Length: 0\r\n\r\n",
    "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 700 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 0\r\n\r\n",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      struct recorder_ *recorder = client_new_ ();

      send_text_ (recorder, heads[i]);
      RUN_UNTIL (recorder, recorder->ended || recorder->n_messages > 0);
      assert_true (recorder->ended);
      assert_int_equal (recorder->end, NET_END_MALFORMED);
      assert_int_equal (recorder->heads, 0);
      free_ (recorder);
    }
}

/* Empty lines in front of a head, which arrives in two pieces, once made the parser take the pieces
 * as parts of a body: the views of the head's texts then pointed to bytes that had been replaced.
 */
static void
empty_lines_do_not_spoil_the_next_head (void **state)
{
  struct recorder_ *recorder = server_new_ ();
  uint64_t before = net_traffic ()->received;
  const char *const pieces[]
      = { "\r", "\n\r\n", "GET /first HTTP/1.1\r\nHost: one.example\r\nX-Fi",
          "rst: 1\r\n\r\n\r\n\r\nGET /second HTTP/1.1\r\nHost: two.example\r\n",
          "X-Second: 2\r\n\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (pieces); i++)
    {
      send_text_ (recorder, pieces[i]);
      run_until_read_ (recorder, before, strlen (pieces[i]));
      before = net_traffic ()->received;
      if (i == 3)
        {
          assert_string_equal (recorder->target->str, "/first");
          assert_string_equal (recorder->headers->str, "Host=one.example;X-First=1;");
        }
    }
  assert_int_equal (recorder->n_messages, 2);
  assert_string_equal (recorder->target->str, "/second");
  assert_string_equal (recorder->headers->str, "Host=two.example;X-Second=2;");
  free_ (recorder);
}

static void
malformed_request_line_is_rejected (void **state)
{
  const char *const texts[] = { "nonsense\r\n\r\n", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct recorder_ *recorder = server_new_ ();

      send_text_ (recorder, texts[i]);
      RUN_UNTIL (recorder, recorder->is_bad_request);
      assert_int_equal (recorder->end, NET_END_MALFORMED);
      free_ (recorder);
    }
}

static void
oversized_head_is_rejected (void **state)
{
  struct recorder_ *recorder = server_new_ ();
  g_autofree char *filler = g_strnfill (4096, 'x');

  send_text_ (recorder, "GET / HTTP/1.1\r\nHost: h\r\nX: ");
  send_text_ (recorder, filler);
  RUN_UNTIL (recorder, recorder->is_bad_request);
  assert_int_equal (recorder->end, NET_END_HEAD_TOO_LARGE);
  free_ (recorder);
}

static void
held_request_is_not_parsed_and_peer_close_is_reported (void **state)
{
  struct recorder_ *recorder = server_new_ ();

  recorder->holds_after_message = true;
  send_text_ (recorder, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  RUN_UNTIL (recorder, recorder->n_messages == 1);
  assert_true (net_http_conn_has_received (recorder->conn));
  assert_int_equal (recorder->heads, 1);
  net_http_conn_hold_messages (recorder->conn, false);
  assert_int_equal (recorder->heads, 2);
  assert_string_equal (recorder->target->str, "/2");
  close_peer_ (recorder, false);
  RUN_UNTIL (recorder, recorder->ended);
  assert_int_equal (recorder->end, NET_END_EOF);
  free_ (recorder);
}

static void
truncated_response_is_not_reported_complete (void **state)
{
  const char *const texts[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Le",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct recorder_ *recorder = client_new_ ();

      send_text_ (recorder, texts[i]);
      close_peer_ (recorder, false);
      RUN_UNTIL (recorder, recorder->ended);
      assert_int_equal (recorder->n_messages, 0);
      free_ (recorder);
    }
}

static void
response_without_length_is_complete_at_eof_but_not_at_reset (void **state)
{
  struct recorder_ *recorder = client_new_ ();

  send_text_ (recorder, "HTTP/1.1 200 OK\r\n\r\nabc");
  RUN_UNTIL (recorder, recorder->body->len == 3);
  assert_true (recorder->ends_with_connection);
  close_peer_ (recorder, false);
  RUN_UNTIL (recorder, recorder->ended);
  assert_int_equal (recorder->n_messages, 1);
  free_ (recorder);

  recorder = client_new_ ();
  send_text_ (recorder, "HTTP/1.1 200 OK\r\n\r\nabc");
  RUN_UNTIL (recorder, recorder->body->len == 3);
  close_peer_ (recorder, true);
  RUN_UNTIL (recorder, recorder->ended);
  assert_int_equal (recorder->n_messages, 0);
  assert_int_equal (recorder->end, NET_END_RESET);
  free_ (recorder);
}

/* Which call on the socket is the first to meet the reset. The kernel reports it to that one only.
 */
enum first_call_
{
  FIRST_READ,
  FIRST_WRITE, /* of the request, after the response */
  FIRST_QUEUED_WRITE,
  FIRST_CHECK, /* whether there is something to read */
  FIRST_READ_AFTER_PAUSE,
  FIRST_CALLS
};

/* A server answers while the request is still being sent, and resets the connection with the last
 * bytes of RESPONSE. */
static struct recorder_ *
answer_and_reset_ (const char *response, enum first_call_ first)
{
  struct recorder_ *recorder = client_new_ ();
  g_autofree char *block = g_strnfill (BLOCK_BYTES, 'x');
  const struct net_string_view part = { block, BLOCK_BYTES };

  if (first == FIRST_QUEUED_WRITE)
    while (net_http_conn_queued (recorder->conn) == 0)
      net_http_conn_write (recorder->conn, &part, 1);
  if (first == FIRST_READ_AFTER_PAUSE)
    net_http_conn_pause (recorder->conn, true);
  send_text_ (recorder, response);
  close_peer_ (recorder, true);
  if (first == FIRST_WRITE)
    net_http_conn_write (recorder->conn, &part, 1);
  if (first == FIRST_CHECK)
    assert_true (net_http_conn_has_unread (recorder->conn));
  if (first == FIRST_READ_AFTER_PAUSE)
    {
      uv_run (&recorder->loop, UV_RUN_NOWAIT);
      net_http_conn_pause (recorder->conn, false);
    }
  RUN_UNTIL (recorder, recorder->ended);
  return recorder;
}

/* The end of such a body is vouched for by an orderly end of the connection only. libuv reports one
 * when a reset arrives with the last bytes, and so does the kernel to a read after another call has
 * met the reset. */
static void
response_without_length_is_not_complete_at_a_reset_with_its_last_bytes (void **state)
{
  for (unsigned i = 0; i < RESETS * FIRST_CALLS; i++)
    {
      struct recorder_ *recorder
          = answer_and_reset_ ("HTTP/1.1 200 OK\r\n\r\nabc", i % FIRST_CALLS);

      assert_int_equal (recorder->n_messages, 0);
      assert_int_equal (recorder->end, NET_END_RESET);
      free_ (recorder);
    }
}

/* A whole response was dropped when the rest of the request, which its server did not read, could
 * not be sent. */
static void
response_with_its_end_is_complete_although_its_request_can_not_be_sent (void **state)
{
  static const char *const responses[]
      = { "HTTP/1.1 413 No\r\nContent-Length: 3\r\n\r\nabc",
          "HTTP/1.1 413 No\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" };

  for (unsigned i = 0; i < RESETS * FIRST_CALLS; i++)
    {
      struct recorder_ *recorder
          = answer_and_reset_ (responses[i / FIRST_CALLS % 2], i % FIRST_CALLS);

      assert_int_equal (recorder->n_messages, 1);
      assert_string_equal (recorder->body->str, "abc");
      free_ (recorder);
    }
}

static void
response_without_length_is_complete_at_an_orderly_end_before_its_request_is_sent (void **state)
{
  struct recorder_ *recorder = client_new_ ();
  g_autofree char *block = g_strnfill (BLOCK_BYTES, 'x');
  const struct net_string_view part = { block, BLOCK_BYTES };

  while (net_http_conn_queued (recorder->conn) == 0)
    net_http_conn_write (recorder->conn, &part, 1);
  send_text_ (recorder, "HTTP/1.1 200 OK\r\n\r\nabc");
  shutdown (recorder->peer, SHUT_WR);
  RUN_UNTIL (recorder, recorder->ended);
  assert_int_equal (recorder->n_messages, 1);
  assert_int_equal (recorder->end, NET_END_EOF);
  free_ (recorder);
}

static void
malformed_response_ends_the_connection (void **state)
{
  struct recorder_ *recorder = client_new_ ();

  send_text_ (recorder, "\x01\x02 no answer at all\r\n\r\n");
  RUN_UNTIL (recorder, recorder->ended);
  assert_int_equal (recorder->end, NET_END_MALFORMED);
  free_ (recorder);
}

/* Such bytes were once kept, and the next response was read as their continuation. */
static void
bytes_behind_a_response_end_the_connection (void **state)
{
  const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const char *const strays[] = {
    "\r",    "\r\n", "HTTP", "HTTP/1.1 200 OK\r\nX-Stray: ", "x", "HTTP/1.1 100 Continue\r\n\r\n",
    response
  };

  for (size_t i = 0; i < 2 * G_N_ELEMENTS (strays); i++)
    {
      struct recorder_ *recorder = client_new_ ();
      const char *stray = strays[i / 2];
      g_autofree char *both = g_strconcat (response, stray, NULL);
      bool at_once = i % 2 == 0;

      send_text_ (recorder, at_once ? both : response);
      RUN_UNTIL (recorder, recorder->n_messages == 1);
      if (!at_once)
        {
          assert_true (net_http_conn_is_clean (recorder->conn));
          send_text_ (recorder, stray);
          assert_false (net_http_conn_is_clean (recorder->conn));
        }
      RUN_UNTIL (recorder, recorder->ended);
      assert_int_equal (recorder->end, NET_END_UNSOLICITED);
      assert_int_equal (recorder->heads, 1);
      assert_string_equal (recorder->body->str, "ok");
      free_ (recorder);
    }
}

static void
a_connection_is_not_clean_before_its_response_is_complete (void **state)
{
  struct recorder_ *recorder = client_new_ ();

  assert_false (net_http_conn_is_clean (recorder->conn));
  send_text_ (recorder, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
  RUN_UNTIL (recorder, recorder->body->len == 1);
  assert_false (net_http_conn_is_clean (recorder->conn));
  send_text_ (recorder, "k");
  RUN_UNTIL (recorder, recorder->n_messages == 1);
  assert_true (net_http_conn_is_clean (recorder->conn));
  close_peer_ (recorder, false);
  assert_false (net_http_conn_is_clean (recorder->conn));
  free_ (recorder);
}

static void
bytes_not_read_by_a_slow_peer_are_counted_as_queued (void **state)
{
  struct recorder_ *recorder = server_new_ ();
  g_autofree char *block = g_strnfill (1 << 20, 'x');
  const struct net_string_view part = { block, 1 << 20 };

  send_text_ (recorder, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  RUN_UNTIL (recorder, recorder->n_messages == 1);
  for (unsigned i = 0; i < 16; i++)
    net_http_conn_write (recorder->conn, &part, 1);
  assert_true (net_http_conn_queued (recorder->conn) > 0);
  close_peer_ (recorder, true);
  RUN_UNTIL (recorder, recorder->ended);
  free_ (recorder);
}

/* A response sent before the request's body has arrived must reach the peer completely, while the
 * rest of the body is not read, so that flow control stops the sender and saves bandwidth. */
static void
body_is_not_read_after_early_response (void **state)
{
  struct recorder_ *recorder = server_new_ ();
  g_autofree char *block = g_strnfill (1 << 20, 'x');
  const char response[] = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n"
                          "Connection: close\r\n\r\nno";
  const uint64_t before = net_traffic ()->received;
  char received[256] = "";
  ssize_t sent = 0;
  ssize_t length;

  recorder->early_response = response;
  send_text_ (recorder, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n");
  RUN_UNTIL (recorder, recorder->heads == 1);
  for (unsigned i = 0; i < 16; i++)
    {
      length = send (recorder->peer, block, 1 << 20, MSG_DONTWAIT | MSG_NOSIGNAL);
      sent += MAX (length, 0);
      uv_run (&recorder->loop, UV_RUN_NOWAIT);
    }
  length = recv (recorder->peer, received, sizeof received - 1, 0);
  assert_int_equal (length, sizeof response - 1);
  assert_string_equal (received, response);
  assert_true (sent < 16 << 20);
  assert_true (net_traffic ()->received - before < 1024);
  free_ (recorder);
}

static void
finish_now_ (struct recorder_ *recorder)
{
  net_http_conn_finish (recorder->conn);
  recorder->conn = NULL;
}

/* What was unsent a second after the end of a response was dropped, and the connection closed as if
 * the response were complete. */
static void
a_finished_response_is_sent_whole_to_a_slow_peer (void **state)
{
  struct recorder_ *recorder = server_new_ ();
  g_autofree char *block = g_strnfill (BLOCK_BYTES, 'x');
  g_autofree char *buffer = g_malloc (BLOCK_BYTES);
  const struct net_string_view part = { block, BLOCK_BYTES };
  int64_t end_us;
  size_t received = 0;
  ssize_t length = 1;

  send_text_ (recorder, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  RUN_UNTIL (recorder, recorder->n_messages == 1);
  for (unsigned i = 0; i < BLOCKS; i++)
    net_http_conn_write (recorder->conn, &part, 1);
  assert_true (net_http_conn_queued (recorder->conn) > 0);
  finish_now_ (recorder);
  assert_int_equal (net_http_unsent_count (), 1);
  end_us = g_get_monotonic_time () + SLOW_MS * 1000;
  while (g_get_monotonic_time () < end_us)
    {
      uv_run (&recorder->loop, UV_RUN_NOWAIT);
      length = recv (recorder->peer, buffer, 4096, MSG_DONTWAIT);
      received += (size_t)MAX (length, 0);
      g_usleep (1000);
    }
  assert_int_equal (net_http_unsent_count (), 1);
  while (length != 0)
    {
      uv_run (&recorder->loop, UV_RUN_NOWAIT);
      length = recv (recorder->peer, buffer, BLOCK_BYTES, MSG_DONTWAIT);
      assert_true (length >= 0 || errno == EAGAIN);
      received += (size_t)MAX (length, 0);
    }
  assert_int_equal (received, (size_t)BLOCKS * BLOCK_BYTES);
  assert_int_equal (net_http_unsent_count (), 0);
  free_ (recorder);
}

/* The reset of a connection whose input is not read dropped the end of the response, which the
 * kernel had taken but the peer had not. */
static void
a_response_beside_unread_input_is_acknowledged_before_the_reset (void **state)
{
  struct recorder_ *recorder = server_new_ ();
  g_autofree char *block = g_strnfill (BLOCK_BYTES, 'x');
  const struct net_string_view part = { block, BLOCK_BYTES };
  size_t received = 0;
  ssize_t length = 1;

  send_text_ (recorder, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n");
  RUN_UNTIL (recorder, recorder->heads == 1);
  for (unsigned i = 0; i < BLOCKS; i++)
    net_http_conn_write (recorder->conn, &part, 1);
  net_http_conn_finish_unread (recorder->conn);
  recorder->conn = NULL;
  send_text_ (recorder, "the beginning of the body");
  while (length > 0)
    {
      length = recv (recorder->peer, block, SLOW_READ_BYTES, MSG_DONTWAIT);
      if (length < 0 && errno == EAGAIN)
        length = 1; /* nothing yet */
      else
        received += (size_t)MAX (length, 0);
      uv_run (&recorder->loop, UV_RUN_NOWAIT);
      g_usleep (SLOW_READ_INTERVAL_MS * 1000);
    }
  assert_int_equal (received, (size_t)BLOCKS * BLOCK_BYTES);
  free_ (recorder);
}

static void
unsent_responses_are_cut_by_a_reset (void **state)
{
  struct recorder_ *recorder = server_new_ ();
  g_autofree char *block = g_strnfill (BLOCK_BYTES, 'x');
  const struct net_string_view part = { block, BLOCK_BYTES };
  ssize_t length = 1;

  send_text_ (recorder, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  RUN_UNTIL (recorder, recorder->n_messages == 1);
  for (unsigned i = 0; i < BLOCKS; i++)
    net_http_conn_write (recorder->conn, &part, 1);
  finish_now_ (recorder);
  net_http_reset_unsent ();
  assert_int_equal (net_http_unsent_count (), 0);
  for (unsigned i = 0; i < 10; i++)
    uv_run (&recorder->loop, UV_RUN_NOWAIT);
  while (length > 0)
    length = recv (recorder->peer, block, BLOCK_BYTES, 0);
  assert_int_equal (length, -1);
  assert_int_equal (errno, ECONNRESET);
  free_ (recorder);
}

/* Pieces that are put together to streams of messages, sound and not. */
static const char *const response_pieces_[] = {
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello",
  "HTTP/1.1 500 E\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-T: t\r\n\r\n",
  "HTTP/1.1 204 No Content\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\n",
  "HTTP/1.1 103 Hints\r\nContent-Length: 4\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-A: b",
  "HTTP/1.1 200 OK\r\n\r\nuntil the end",
  "\r\n",
  "\r\n\r\n",
  "0\r\n\r\n",
  "stray",
};
/* Responses piled up without a limit when a client sent requests and read nothing. Once it reads,
 * it gets all of them. */
static void
requests_wait_while_responses_are_unread (void **state)
{
  struct recorder_ *recorder = server_new_ ();
  g_autofree char *response = g_strnfill (PIPELINED_RESPONSE_BYTES, 'r');
  static const char request[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  g_autoptr (GString) requests = g_string_new (NULL);
  struct net_memory_account account;
  const struct net_memory_limits limits = { .bytes = 1 << 30, .callers_max = 10 };
  uint64_t received = 0;
  size_t sent = 0;
  unsigned idle_turns = 0;
  char buffer[16384];

  net_memory_account_init (&account, &limits);
  net_memory_holder_open (net_http_conn_holder (recorder->conn), &account, 0);
  recorder->response = response;
  for (unsigned i = 0; i < PIPELINED_REQUESTS; i++)
    g_string_append (requests, request);
  while (idle_turns < 100)
    {
      ssize_t taken = send (recorder->peer, requests->str + sent, requests->len - sent,
                            MSG_DONTWAIT | MSG_NOSIGNAL);

      sent += taken > 0 ? (size_t)taken : 0;
      idle_turns = taken > 0 ? 0 : idle_turns + 1;
      uv_run (&recorder->loop, UV_RUN_NOWAIT);
      assert_true (net_http_conn_queued (recorder->conn) <= PIPELINED_RESPONSE_BYTES);
      assert_true (account.bytes[NET_MEMORY_INPUT] <= INPUT_MAX_BYTES);
    }
  assert_true (net_http_conn_is_backlogged (recorder->conn));
  net_http_account_refresh (&account, INT32_MAX);
  assert_true (account.bytes[NET_MEMORY_KERNEL] > 0);
  assert_true (recorder->n_messages < PIPELINED_REQUESTS);
  uv_timer_start (&recorder->timeout, on_timeout_, TIMEOUT_MS, 0);
  while (received < (uint64_t)PIPELINED_REQUESTS * PIPELINED_RESPONSE_BYTES && !recorder->timed_out)
    {
      ssize_t got = recv (recorder->peer, buffer, sizeof buffer, MSG_DONTWAIT);
      ssize_t taken = send (recorder->peer, requests->str + sent, requests->len - sent,
                            MSG_DONTWAIT | MSG_NOSIGNAL);

      received += got > 0 ? (uint64_t)got : 0;
      sent += taken > 0 ? (size_t)taken : 0;
      uv_run (&recorder->loop, UV_RUN_NOWAIT);
    }
  assert_int_equal (received, (uint64_t)PIPELINED_REQUESTS * PIPELINED_RESPONSE_BYTES);
  assert_int_equal (recorder->n_messages, PIPELINED_REQUESTS);
  free_ (recorder);
  assert_int_equal (account.total, 0);
}

/* A body that the peer takes slowly was copied to the queue. */
static void
a_shared_body_is_sent_whole_to_a_slow_peer (void **state)
{
  struct recorder_ *recorder = client_new_ ();
  GByteArray *body = g_byte_array_new ();
  g_autoptr (GByteArray) expected = g_byte_array_new ();
  g_autoptr (GByteArray) received = g_byte_array_new ();
  const struct net_string_view head = net_string_view_of ("POST / HTTP/1.1\r\n\r\n");
  uint8_t buffer[SLOW_READ_BYTES];

  for (unsigned i = 0; i < BLOCKS * BLOCK_BYTES / sizeof i; i++)
    g_byte_array_append (body, (const guint8 *)&i, sizeof i);
  g_byte_array_append (expected, (const guint8 *)head.data, (guint)head.length);
  g_byte_array_append (expected, body->data, body->len);
  net_http_conn_write_shared (recorder->conn, head, body);
  g_byte_array_unref (body);
  assert_true (net_http_conn_queued (recorder->conn) > 0);
  uv_timer_start (&recorder->timeout, on_timeout_, TIMEOUT_MS, 0);
  while (received->len < expected->len && !recorder->timed_out)
    {
      ssize_t got = recv (recorder->peer, buffer, sizeof buffer, MSG_DONTWAIT);

      if (got > 0)
        g_byte_array_append (received, buffer, (guint)got);
      uv_run (&recorder->loop, UV_RUN_NOWAIT);
    }
  assert_int_equal (received->len, expected->len);
  assert_memory_equal (received->data, expected->data, expected->len);
  free_ (recorder);
}

static const char *const request_pieces_[] = {
  "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
  "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
  "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-T: t\r\n\r\n",
  "GET /d HTTP/1.1\r\nHost: h\r\nX-A: ",
  "\r\n",
  "\r\n\r\n",
  "0\r\n\r\n",
  "stray",
};

/* Writes what the owner of the connection is told of BYTES to EVENTS. Pieces of a body that follow
 * each other are joined. They arrive in pieces whose sizes CUTS draws; NULL: in one. */
static void
record_events_ (bool is_server, const GString *bytes, GRand *cuts, GString *events)
{
  struct recorder_ *recorder = is_server ? server_new_ () : client_new_ ();
  uint64_t before;

  recorder->events = events;
  recorder->expects_more = true;
  for (gsize at = 0; at < bytes->len && recorder->conn != NULL;)
    {
      gsize length = cuts == NULL ? bytes->len : (gsize)g_rand_int_range (cuts, 1, CUT_BYTES_MAX);

      length = MIN (length, bytes->len - at);
      before = net_traffic ()->received;
      if (send (recorder->peer, bytes->str + at, length, MSG_NOSIGNAL) < 0)
        break; /* the connection has ended */
      run_until_read_ (recorder, before, length);
      at += length;
    }
  if (recorder->conn != NULL)
    {
      close_peer_ (recorder, false);
      RUN_UNTIL (recorder, recorder->ended || recorder->is_bad_request);
    }
  free_ (recorder);
}

/* What a message says must not depend on how the network cuts its bytes. */
static void
events_do_not_depend_on_the_cut_of_the_bytes (void **state)
{
  for (unsigned seed = 1; seed <= CUT_SEEDS; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      bool is_server = seed % 2 == 0;
      const char *const *pieces = is_server ? request_pieces_ : response_pieces_;
      gint32 n_pieces
          = (gint32)(is_server ? G_N_ELEMENTS (request_pieces_) : G_N_ELEMENTS (response_pieces_));
      g_autoptr (GString) bytes = g_string_new (NULL);
      g_autoptr (GString) whole = g_string_new (NULL);

      for (gint32 i = g_rand_int_range (random, 1, 6); i > 0; i--)
        g_string_append (bytes, pieces[g_rand_int_range (random, 0, n_pieces)]);
      if (g_rand_int_range (random, 0, 4) == 0)
        bytes->str[g_rand_int_range (random, 0, (gint32)bytes->len)]
            = (char)g_rand_int_range (random, 0, 256);
      record_events_ (is_server, bytes, NULL, whole);
      for (unsigned i = 0; i < CUTS_PER_SEED; i++)
        {
          g_autoptr (GString) cut = g_string_new (NULL);

          record_events_ (is_server, bytes, random, cut);
          if (!g_string_equal (whole, cut))
            print_message ("seed %u\n", seed);
          assert_string_equal (whole->str, cut->str);
        }
      g_rand_free (random);
    }
}

/* Asserts that BYTES, from a server, are no response, however they are cut. */
static void
assert_no_response_ (const char *bytes)
{
  g_autoptr (GString) text = g_string_new (bytes);
  GRand *random = g_rand_new_with_seed ((guint32)text->len);

  for (unsigned i = 0; i <= CUTS_PER_SEED; i++)
    {
      g_autoptr (GString) events = g_string_new (NULL);

      record_events_ (false, text, i == 0 ? NULL : random, events);
      if (strcmp (events->str, "malformed\n") != 0)
        print_message ("%s\n", bytes);
      assert_string_equal (events->str, "malformed\n");
    }
  g_rand_free (random);
}

static const char sound_response_[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/* A status is three digits from 100 to 599 behind one blank. Callers got others as answers, or as
 * 200 where the parser skipped zeros and blanks. No protocol is ever switched to (101). */
static void
a_status_line_of_another_form_is_no_response (void **state)
{
  static const char *const lines[]
      = { "HTTP/1.1 000 OK",   "HTTP/1.1 0200 OK",    "HTTP/1.1 00200 OK", "HTTP/1.1  200 OK",
          "HTTP/1.1\t200 OK",  "HTTP/1.1 \t200 OK",   "HTTP/1.1 099 OK",   "HTTP/1.1 99 OK",
          "HTTP/1.1 600 OK",   "HTTP/1.1 999 OK",     "HTTP/1.1 1000 OK",  "HTTP/1.1 2000 OK",
          "HTTP/1.1 200OK",    "HTTP/1.1 200\tOK",    "HTTP/1.1 +200 OK",  "HTTP/1.1 -200 OK",
          "HTTP/1.1 2 00 OK",  "HTTP/1.1 0x200 OK",   "HTTP/1.1 OK",       "HTTP/1.1",
          "HTTP/1.1 ",         "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 \x7f", "HTTP/1.11 200 OK",
          "HTTP/1.01 200 OK",  "HTTP/2.1 200 OK",     "http/1.1 200 OK",   "HTTP/1.1 101 Other",
          "HTTP/1.1 0100 More" };

  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      g_autofree char *final = g_strconcat (lines[i], "\r\nContent-Length: 2\r\n\r\nok", NULL);
      g_autofree char *interim = g_strconcat (lines[i], "\r\n\r\n", sound_response_, NULL);

      assert_no_response_ (final);
      assert_no_response_ (interim);
    }
}

/* The names of fields are tokens (RFC 9110, 5.6.2). Callers got a response with the line passed on,
 * or read its body differently. */
static void
a_field_name_that_is_no_token_makes_no_response (void **state)
{
  for (unsigned byte = 1; byte < 256; byte++)
    for (unsigned place = 0; place < 3; place++)
      {
        char name[] = "Abc";
        g_autofree char *final = NULL;
        g_autofree char *interim = NULL;

        if (byte == ':' || g_ascii_isalnum ((char)byte)
            || strchr ("!#$%&'*+-.^_`|~", (int)byte) != NULL)
          continue;
        name[place] = (char)byte;
        final = g_strdup_printf ("HTTP/1.1 200 OK\r\n%s: v\r\nContent-Length: 2\r\n\r\nok", name);
        interim = g_strdup_printf ("HTTP/1.1 103 Hints\r\n%s: v\r\n\r\n%s", name, sound_response_);
        assert_no_response_ (final);
        assert_no_response_ (interim);
      }
}

/* Callers got such responses as whole ones, some with a body that was not the server's. */
static void
chunks_and_trailers_of_another_form_cut_the_message (void **state)
{
  static const char *const bodies[] = {
    "2\r\nokXY0\r\n\r\n",
    "2\rxok\r\n0\r\n\r\n",
    "2;a\nb\r\nok\r\n0\r\n\r\n",
    "2 x\r\nok\r\n0\r\n\r\n",
    "2\r\nok\r\n0\r\n\n",
    "2\r\nok\r\n0\r\nX Y: a\r\n\r\n",
    "2\r\nok\r\n0\r\nX : a\r\n\r\n",
    "2\r\nok\r\n0\r\nX: a\n\r\n",
    "2\r\nok\r\n0\r\nX\x01: a\r\n\r\n",
    "2\r\nok\r\n0\r\nA: b\r\n c\r\n\r\n",
  };

  for (unsigned i = 0; i < 2 * G_N_ELEMENTS (bodies); i++)
    {
      bool is_server = i % 2 == 0;
      g_autoptr (GString) bytes
          = g_string_new (is_server ? "POST / HTTP/1.1\r\nHost: h\r\n" : "HTTP/1.1 200 OK\r\n");
      g_autoptr (GString) events = g_string_new (NULL);

      g_string_append_printf (bytes, "Transfer-Encoding: chunked\r\n\r\n%s", bodies[i / 2]);
      record_events_ (is_server, bytes, NULL, events);
      if (!g_str_has_suffix (events->str, "malformed\n"))
        print_message ("%s\n", bodies[i / 2]);
      assert_true (g_str_has_suffix (events->str, "malformed\n"));
      assert_null (strstr (events->str, "end of message"));
    }
}

/* Such bodies were taken for ones that end with the connection, or passed on without saying how
 * they are coded. */
static void
transfer_codings_other_than_chunked_are_rejected (void **state)
{
  static const char *const fields[] = {
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: chunked, gzip\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding: chunked;x\r\n",
    "Transfer-Encoding: \013chunked\r\n",
    "Transfer-Encoding:\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
    "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
  };

  for (unsigned i = 0; i < 2 * G_N_ELEMENTS (fields); i++)
    {
      bool is_server = i % 2 == 0;
      g_autoptr (GString) bytes
          = g_string_new (is_server ? "POST / HTTP/1.1\r\nHost: h\r\n" : "HTTP/1.1 200 OK\r\n");
      g_autoptr (GString) events = g_string_new (NULL);

      g_string_append_printf (bytes, "%s\r\n2\r\nok\r\n0\r\n\r\n", fields[i / 2]);
      record_events_ (is_server, bytes, NULL, events);
      if (strcmp (events->str, "malformed\n") != 0)
        print_message ("%s%s", fields[i / 2], events->str);
      assert_string_equal (events->str, "malformed\n");
    }
  assert_no_response_ ("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
}

static void
a_transfer_coding_between_blanks_is_known (void **state)
{
  g_autoptr (GString) bytes
      = g_string_new ("HTTP/1.1 200 OK\r\nTransfer-Encoding: \tChunked \t\r\n\r\n"
                      "2\r\nok\r\n0\r\n\r\n");
  g_autoptr (GString) events = g_string_new (NULL);

  record_events_ (false, bytes, NULL, events);
  assert_non_null (strstr (events->str, "body ok\nend of message"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (transfer_codings_other_than_chunked_are_rejected),
    cmocka_unit_test (a_transfer_coding_between_blanks_is_known),
    cmocka_unit_test (chunks_and_trailers_of_another_form_cut_the_message),
    cmocka_unit_test (a_status_line_of_another_form_is_no_response),
    cmocka_unit_test (a_field_name_that_is_no_token_makes_no_response),
    cmocka_unit_test (request_split_over_reads_is_parsed),
    cmocka_unit_test (ambiguous_framing_is_rejected),
    cmocka_unit_test (ambiguous_response_head_is_rejected),
    cmocka_unit_test (empty_lines_do_not_spoil_the_next_head),
    cmocka_unit_test (malformed_request_line_is_rejected),
    cmocka_unit_test (oversized_head_is_rejected),
    cmocka_unit_test (held_request_is_not_parsed_and_peer_close_is_reported),
    cmocka_unit_test (truncated_response_is_not_reported_complete),
    cmocka_unit_test (response_without_length_is_complete_at_eof_but_not_at_reset),
    cmocka_unit_test (response_without_length_is_not_complete_at_a_reset_with_its_last_bytes),
    cmocka_unit_test (response_with_its_end_is_complete_although_its_request_can_not_be_sent),
    cmocka_unit_test (
        response_without_length_is_complete_at_an_orderly_end_before_its_request_is_sent),
    cmocka_unit_test (malformed_response_ends_the_connection),
    cmocka_unit_test (body_is_not_read_after_early_response),
    cmocka_unit_test (bytes_behind_a_response_end_the_connection),
    cmocka_unit_test (a_connection_is_not_clean_before_its_response_is_complete),
    cmocka_unit_test (a_finished_response_is_sent_whole_to_a_slow_peer),
    cmocka_unit_test (a_response_beside_unread_input_is_acknowledged_before_the_reset),
    cmocka_unit_test (unsent_responses_are_cut_by_a_reset),
    cmocka_unit_test (events_do_not_depend_on_the_cut_of_the_bytes),
    cmocka_unit_test (requests_wait_while_responses_are_unread),
    cmocka_unit_test (a_shared_body_is_sent_whole_to_a_slow_peer),
    cmocka_unit_test (bytes_not_read_by_a_slow_peer_are_counted_as_queued),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
