/* Connections over loopback, with a plain socket on the other side. */
#include "net/http-conn.h"

#include <arpa/inet.h>
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
  LIMIT_MS = 5000
};

/* Records what a connection tells its owner. */
struct record_
{
  const struct net_http_owner_vtable *vtable;
  struct net_http_conn *conn;
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_timer_t limit;
  int peer; /* the plain socket */
  unsigned heads;
  unsigned ends;
  bool connected;
  bool refusable;
  bool ended;
  enum net_end end;
  unsigned status;
  bool ends_with_connection;
  GString *target;
  GString *body;
  bool holds_after_message;
  const char *early_answer; /* given on the head, and the rest is not read */
  bool timed_out;
};

static void
connected_ (void *owner)
{
  ((struct record_ *)owner)->connected = true;
}

static void
head_ (void *owner, const struct net_http_head *head)
{
  struct record_ *record = owner;

  record->heads++;
  record->status = head->status;
  record->ends_with_connection = head->ends_with_connection;
  g_string_truncate (record->target, 0);
  g_string_append_len (record->target, head->target.data, (gssize)head->target.length);
  if (record->early_answer != NULL)
    {
      const struct net_text part = net_text_of (record->early_answer);

      net_http_conn_write (record->conn, &part, 1);
      net_http_conn_finish_unread (record->conn);
      record->conn = NULL;
    }
}

static void
body_ (void *owner, const char *data, size_t length)
{
  g_string_append_len (((struct record_ *)owner)->body, data, (gssize)length);
}

static void
message_end_ (void *owner)
{
  struct record_ *record = owner;

  record->ends++;
  if (record->holds_after_message)
    net_http_conn_hold_messages (record->conn, true);
}

static void
refusable_ (void *owner, enum net_end end)
{
  struct record_ *record = owner;

  record->refusable = true;
  record->end = end;
  net_http_conn_close (record->conn);
  record->conn = NULL;
}

static void
ended_ (void *owner, enum net_end end)
{
  struct record_ *record = owner;

  record->ended = true;
  record->end = end;
  record->conn = NULL;
}

static const struct net_http_owner_vtable server_vtable_ = { .head = head_,
                                                             .body = body_,
                                                             .message_end = message_end_,
                                                             .refusable = refusable_,
                                                             .ended = ended_ };
static const struct net_http_owner_vtable client_vtable_ = { .connected = connected_,
                                                             .head = head_,
                                                             .body = body_,
                                                             .message_end = message_end_,
                                                             .ended = ended_ };

static void
on_limit_ (uv_timer_t *timer)
{
  ((struct record_ *)timer->data)->timed_out = true;
}

static void
on_connection_ (uv_stream_t *listener, int status)
{
  struct record_ *record = listener->data;

  assert_int_equal (status, 0);
  assert_true (net_http_conn_accept (record->conn, listener));
}

static struct record_ *
record_new_ (bool is_server)
{
  struct record_ *record = g_new0 (struct record_, 1);
  const struct net_http_conn_options options
      = { .loop = &record->loop, .is_server = is_server, .head_max_bytes = 2048 };

  signal (SIGPIPE, SIG_IGN);
  record->vtable = is_server ? &server_vtable_ : &client_vtable_;
  record->target = g_string_new (NULL);
  record->body = g_string_new (NULL);
  uv_loop_init (&record->loop);
  uv_timer_init (&record->loop, &record->limit);
  record->limit.data = record;
  record->conn = net_http_conn_new (&options, record);
  return record;
}

/* The connection is the server's side; a plain client is connected to it. */
static struct record_ *
server_ (void)
{
  struct record_ *record = record_new_ (true);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int length = sizeof address;

  uv_tcp_init (&record->loop, &record->listener);
  record->listener.data = record;
  assert_int_equal (uv_tcp_bind (&record->listener, (struct sockaddr *)&address, 0), 0);
  assert_int_equal (uv_listen ((uv_stream_t *)&record->listener, 4, on_connection_), 0);
  uv_tcp_getsockname (&record->listener, (struct sockaddr *)&address, &length);
  record->peer = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (record->peer, (struct sockaddr *)&address, sizeof address), 0);
  return record;
}

/* The connection is the client's side; a plain server accepts it. */
static struct record_ *
client_ (void)
{
  struct record_ *record = record_new_ (false);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  assert_int_equal (bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (listener, 1), 0);
  getsockname (listener, (struct sockaddr *)&address, &length);
  assert_true (net_http_conn_connect (record->conn, &address));
  record->peer = accept (listener, NULL, NULL);
  assert_true (record->peer >= 0);
  close (listener);
  while (!record->connected)
    uv_run (&record->loop, UV_RUN_ONCE);
  return record;
}

static void
free_ (struct record_ *record)
{
  if (record->conn != NULL)
    net_http_conn_close (record->conn);
  if (record->vtable == &server_vtable_)
    uv_close ((uv_handle_t *)&record->listener, NULL);
  uv_close ((uv_handle_t *)&record->limit, NULL);
  uv_run (&record->loop, UV_RUN_DEFAULT);
  uv_loop_close (&record->loop);
  if (record->peer >= 0)
    close (record->peer);
  g_string_free (record->target, TRUE);
  g_string_free (record->body, TRUE);
  g_free (record);
}

static void
say_ (struct record_ *record, const char *text)
{
  assert_int_equal (send (record->peer, text, strlen (text), 0), strlen (text));
}

static void
hang_up_ (struct record_ *record, bool with_reset)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (with_reset)
    setsockopt (record->peer, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (record->peer);
  record->peer = -1;
}

/* Runs the loop until CONDITION holds. */
#define RUN_UNTIL(record, condition)                                                               \
  do                                                                                               \
    {                                                                                              \
      uv_timer_start (&(record)->limit, on_limit_, LIMIT_MS, 0);                                   \
      while (!(condition) && !(record)->timed_out)                                                 \
        uv_run (&(record)->loop, UV_RUN_ONCE);                                                     \
      uv_timer_stop (&(record)->limit);                                                            \
      assert_true (condition);                                                                     \
    }                                                                                              \
  while (0)

static void
a_request_in_pieces_is_read (void **state)
{
  struct record_ *record = server_ ();

  say_ (record, "POST /a/b HTTP/1.1\r\nHost: h\r\nTransfer-");
  RUN_UNTIL (record, net_http_conn_has_received (record->conn));
  say_ (record, "Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  RUN_UNTIL (record, record->body->len == 3);
  assert_int_equal (record->ends, 0);
  say_ (record, "2\r\nde\r\n0\r\n\r\n");
  RUN_UNTIL (record, record->ends == 1);
  assert_string_equal (record->target->str, "/a/b");
  assert_string_equal (record->body->str, "abcde");
  free_ (record);
}

static void
what_two_readers_could_part_differently_is_refused (void **state)
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
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct record_ *record = server_ ();

      say_ (record, "POST / HTTP/1.1\r\nHost: h\r\n");
      say_ (record, cases[i].headers);
      say_ (record, "\r\n");
      say_ (record, cases[i].body);
      RUN_UNTIL (record, record->refusable || record->ends > 0);
      assert_true (record->refusable);
      assert_int_equal (record->end, NET_END_MALFORMED);
      assert_int_equal (record->ends, 0);
      free_ (record);
    }
}

static void
what_is_no_request_is_refused (void **state)
{
  const char *const texts[] = { "nonsense\r\n\r\n", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct record_ *record = server_ ();

      say_ (record, texts[i]);
      RUN_UNTIL (record, record->refusable);
      assert_int_equal (record->end, NET_END_MALFORMED);
      free_ (record);
    }
}

static void
a_head_beyond_its_limit_is_refused (void **state)
{
  struct record_ *record = server_ ();
  g_autofree char *filler = g_strnfill (4096, 'x');

  say_ (record, "GET / HTTP/1.1\r\nHost: h\r\nX: ");
  say_ (record, filler);
  RUN_UNTIL (record, record->refusable);
  assert_int_equal (record->end, NET_END_HEAD_TOO_LARGE);
  free_ (record);
}

static void
a_held_request_waits_and_a_departure_is_seen (void **state)
{
  struct record_ *record = server_ ();

  record->holds_after_message = true;
  say_ (record, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  RUN_UNTIL (record, record->ends == 1);
  assert_true (net_http_conn_has_received (record->conn));
  assert_int_equal (record->heads, 1);
  net_http_conn_hold_messages (record->conn, false);
  assert_int_equal (record->heads, 2);
  assert_string_equal (record->target->str, "/2");
  hang_up_ (record, false);
  RUN_UNTIL (record, record->ended);
  assert_int_equal (record->end, NET_END_EOF);
  free_ (record);
}

static void
a_cut_answer_is_not_complete (void **state)
{
  const char *const texts[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Le",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct record_ *record = client_ ();

      say_ (record, texts[i]);
      hang_up_ (record, false);
      RUN_UNTIL (record, record->ended);
      assert_int_equal (record->ends, 0);
      free_ (record);
    }
}

static void
an_answer_without_length_ends_with_its_connection_unless_reset (void **state)
{
  struct record_ *record = client_ ();

  say_ (record, "HTTP/1.1 200 OK\r\n\r\nabc");
  RUN_UNTIL (record, record->body->len == 3);
  assert_true (record->ends_with_connection);
  hang_up_ (record, false);
  RUN_UNTIL (record, record->ended);
  assert_int_equal (record->ends, 1);
  free_ (record);

  record = client_ ();
  say_ (record, "HTTP/1.1 200 OK\r\n\r\nabc");
  RUN_UNTIL (record, record->body->len == 3);
  hang_up_ (record, true);
  RUN_UNTIL (record, record->ended);
  assert_int_equal (record->ends, 0);
  assert_int_equal (record->end, NET_END_RESET);
  free_ (record);
}

static void
bytes_that_are_no_answer_end_the_connection (void **state)
{
  struct record_ *record = client_ ();

  say_ (record, "\x01\x02 no answer at all\r\n\r\n");
  RUN_UNTIL (record, record->ended);
  assert_int_equal (record->end, NET_END_MALFORMED);
  free_ (record);
}

static void
a_slow_reader_is_counted_and_stops_nothing (void **state)
{
  struct record_ *record = server_ ();
  g_autofree char *block = g_strnfill (1 << 20, 'x');
  const struct net_text part = { block, 1 << 20 };

  say_ (record, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  RUN_UNTIL (record, record->ends == 1);
  for (unsigned i = 0; i < 16; i++)
    net_http_conn_write (record->conn, &part, 1);
  assert_true (net_http_conn_queued (record->conn) > 0);
  hang_up_ (record, true);
  RUN_UNTIL (record, record->ended);
  free_ (record);
}

/* A request that is refused while its body arrives: the answer is whole, and the body stays with
 * the sender instead of taking up the link. */
static void
the_body_of_a_refused_request_is_not_read (void **state)
{
  struct record_ *record = server_ ();
  g_autofree char *block = g_strnfill (1 << 20, 'x');
  const char answer[] = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n"
                        "Connection: close\r\n\r\nno";
  const uint64_t before = net_traffic ()->received;
  char heard[256] = "";
  ssize_t sent = 0;
  ssize_t length;

  record->early_answer = answer;
  say_ (record, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n");
  RUN_UNTIL (record, record->heads == 1);
  for (unsigned i = 0; i < 16; i++)
    {
      length = send (record->peer, block, 1 << 20, MSG_DONTWAIT | MSG_NOSIGNAL);
      sent += MAX (length, 0);
      uv_run (&record->loop, UV_RUN_NOWAIT);
    }
  length = recv (record->peer, heard, sizeof heard - 1, 0);
  assert_int_equal (length, sizeof answer - 1);
  assert_string_equal (heard, answer);
  assert_true (sent < 16 << 20);
  assert_true (net_traffic ()->received - before < 1024);
  free_ (record);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_request_in_pieces_is_read),
    cmocka_unit_test (what_two_readers_could_part_differently_is_refused),
    cmocka_unit_test (what_is_no_request_is_refused),
    cmocka_unit_test (a_head_beyond_its_limit_is_refused),
    cmocka_unit_test (a_held_request_waits_and_a_departure_is_seen),
    cmocka_unit_test (a_cut_answer_is_not_complete),
    cmocka_unit_test (an_answer_without_length_ends_with_its_connection_unless_reset),
    cmocka_unit_test (bytes_that_are_no_answer_end_the_connection),
    cmocka_unit_test (the_body_of_a_refused_request_is_not_read),
    cmocka_unit_test (a_slow_reader_is_counted_and_stops_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
