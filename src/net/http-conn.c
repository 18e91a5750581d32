#include "net/http-conn.h"

#include "net/http-body.h"
#include "net/http-head.h"

#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

enum
{
  SWITCHING_PROTOCOLS = 101,
  SKIP_BODY = 1,            /* to the parser, which only sees heads */
  READ_CHUNK_BYTES = 32768, /* most prompts fit into one or two reads */
  HELD_MAX_BYTES = 65536,   /* of pipelined requests that wait for the current one */
  /* Requests of one connection that are handled in one iteration of the loop. What each of them has
   * used is freed at the end of the iteration, and other connections are to have their turn. */
  TURN_REQUESTS_MAX = 16,
  REFRESH_MS = 200,          /* a link of 200 Mbit/s carries 5 MB in this time */
  TURN_MS = 1,               /* libuv runs a timer of 0 ms again in the same iteration */
  INPUT_KEPT_BYTES = 4096,   /* a larger input buffer is freed once it is empty */
  LINGER_MS = 1000,          /* several round trips over any link */
  LINGER_UNREAD_MS = 300,    /* shorter, because the peer may be blocked in sending */
  LINGER_UNREAD_CHECKS = 10, /* at most, while the peer has not acknowledged the response */
  SEND_CHECK_MS = 1000,      /* between checks whether a slow peer still takes bytes */
  SEND_STALLED_CHECKS = 5,   /* without progress, after which the rest is dropped */
  /* Of callers' connections, what the kernel holds: it counts towards the machine's memory. The
   * kernel would let the first grow to several megabytes for a caller who sends fast, and the
   * second for one that does not read. The first is doubled by the kernel, and carries 200 Mbit/s
   * over 5 ms; the second does not slow a caller down, as it leaves out what is on its way. */
  CALLER_RECEIVE_BYTES = 131072,
  CALLER_NOT_SENT_BYTES = 65536,
  /* An unreachable peer is detected in about 3 s, the time after a fault in which guarantees must
   * hold again: by keepalive probes when the connection is idle, by UNACKNOWLEDGED_MAX_MS when sent
   * bytes are not acknowledged. */
  KEEPALIVE_IDLE_S = 1,
  KEEPALIVE_INTERVAL_S = 1,
  KEEPALIVE_PROBES = 2,
  UNACKNOWLEDGED_MAX_MS = 3000
};

enum conn_state_
{
  CONN_CONNECTING,
  CONN_OPEN,
  CONN_LINGERING, /* last response written; input is discarded */
  CONN_CLOSED
};

struct net_http_conn
{
  uv_tcp_t tcp; /* its data points to this struct */
  const struct net_http_owner_vtable **owner;
  enum conn_state_ state;
  bool is_server;
  bool disable_dead_peer_detection;
  bool awaits_response; /* outgoing: a request was sent and its response is not complete */
  bool in_body;         /* the head of a message has been parsed, its end has not been found */
  bool skips_body;
  bool head_complete; /* the parser has found the end of the head that it was given */
  bool held;
  bool paused;
  bool reading;
  bool awaits_turn;       /* has handled TURN_REQUESTS_MAX requests in this millisecond */
  int64_t turn_ms;        /* time of the loop at its last request */
  unsigned turn_requests; /* at that time */
  bool has_received;
  bool parsing;
  bool has_failed; /* a call on the socket; see fail_ */
  size_t head_max_bytes;
  size_t queued_bytes;
  unsigned pending_requests; /* libuv requests pending on this handle */
  unsigned open_handles;
  GByteArray *input;                  /* received bytes not parsed yet */
  size_t input_peak_bytes;            /* highest length of input, whose memory it keeps */
  struct net_memory_account *account; /* NULL: none */
  struct net_memory_holder holder;    /* in the account while the connection is open */
  size_t scanned;                     /* bytes of input already searched for the end of the head */
  struct net_http_head head;
  http_parser parser; /* for heads */
  struct net_http_body body;
  uv_connect_t connect_request;
  uv_shutdown_t shutdown_request;
  uv_timer_t linger;
  GList finished_link; /* in finished_ */
  bool is_unsent;      /* finished, and its queued bytes are not all sent */
  bool lingers_unread;
  unsigned linger_checks; /* while it lingers unread */
  uint64_t dropped_bytes; /* received after the last response */
  size_t unsent_bytes;    /* at the last check */
  unsigned stalled_checks;
};

struct queued_write_
{
  uv_write_t request; /* first member: on_write_ casts it */
  struct net_http_conn *conn;
  size_t length;
  GByteArray *shared; /* holds the last bytes, which are not copied; NULL: none */
  char bytes[];
};

static void on_alloc_ (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_read_ (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer);
static void on_connect_ (uv_connect_t *request, int status);
static void on_write_ (uv_write_t *request, int status);
static void on_shutdown_ (uv_shutdown_t *request, int status);
static void write_ (struct net_http_conn *conn,
                    const struct net_string_view *parts,
                    size_t n_parts,
                    GByteArray *shared);
static void free_write_ (struct queued_write_ *write);
static void finish_ (struct net_http_conn *conn, bool reads_input);
static void start_linger_ (struct net_http_conn *conn);
static ssize_t peek_ (struct net_http_conn *conn);
static void fail_ (struct net_http_conn *conn, int error);
static void fail_sending_ (struct net_http_conn *conn, int error);
static bool has_ended_in_order_ (struct net_http_conn *conn);
static void note_unused_input_ (struct net_http_conn *conn);
static void set_sent_ (struct net_http_conn *conn);
static void on_send_check_ (uv_timer_t *timer);
static void on_linger_timeout_ (uv_timer_t *timer);
static bool has_unacknowledged_ (const struct net_http_conn *conn);
static void on_handle_closed_ (uv_handle_t *handle);
static void end_ (struct net_http_conn *conn, enum net_end_reason end);
static void parse_ (struct net_http_conn *conn);
static bool parse_head_ (struct net_http_conn *conn);
static void on_turn_ (uv_timer_t *timer);
static size_t find_head_end_ (struct net_http_conn *conn);
static bool head_is_valid_ (const struct net_http_conn *conn, size_t length);
static void skip_empty_lines_ (struct net_http_conn *conn);
static bool parse_body_ (struct net_http_conn *conn);
static bool finish_message_ (struct net_http_conn *conn);
static void update_reading_ (struct net_http_conn *conn);
static struct net_http_conn *conn_of_holder_ (struct net_memory_holder *holder);
static int64_t now_ms_ (const struct net_http_conn *conn);
static void release_input_ (struct net_http_conn *conn);
static void note_unsent_ (struct net_http_conn *conn);
static void note_kernel_ (struct net_http_conn *conn);
static void evict_ (struct net_http_conn *conn, bool closes);
static void set_socket_options_ (struct net_http_conn *conn);
static void set_options_ (int fd, const int (*options)[3], size_t n_options);

static int on_url_ (http_parser *parser, const char *at, size_t length);
static int on_status_ (http_parser *parser, const char *at, size_t length);
static int on_field_ (http_parser *parser, const char *at, size_t length);
static int on_value_ (http_parser *parser, const char *at, size_t length);
static int on_headers_complete_ (http_parser *parser);
static enum net_body_framing framing_ (const struct net_http_conn *conn);
static bool read_transfer_coding_ (struct net_http_head *head);

static const http_parser_settings parser_settings_ = {
  .on_url = on_url_,
  .on_status = on_status_,
  .on_header_field = on_field_,
  .on_header_value = on_value_,
  .on_headers_complete = on_headers_complete_,
};

static const char *const end_names_[] = {
  [NET_END_CONNECT_FAILED] = "connect_failed",
  [NET_END_EOF] = "eof",
  [NET_END_RESET] = "reset",
  [NET_END_MALFORMED] = "malformed",
  [NET_END_HEAD_TOO_LARGE] = "head_too_large",
  [NET_END_UNSOLICITED] = "unsolicited",
};

/* Per thread: a loop runs on one thread and reads one connection at a time, so all its connections
 * share them without locks. */
static _Thread_local struct net_traffic traffic_;
static _Thread_local char read_buffer_[READ_CHUNK_BYTES];
static _Thread_local GQueue finished_ = G_QUEUE_INIT; /* connections in CONN_LINGERING */
static _Thread_local unsigned unsent_count_;

const struct net_traffic *
net_traffic (void)
{
  return &traffic_;
}

/* Returns how many connections of this thread were finished and have not sent all of their bytes.
 */
unsigned
net_http_unsent_count (void)
{
  return unsent_count_;
}

/* Returns how many connections of this thread were finished and still wait for their peers to take
 * all bytes and close. */
unsigned
net_http_finished_count (void)
{
  return finished_.length;
}

/* Resets the connections that net_http_unsent_count counts. */
void
net_http_reset_unsent (void)
{
  for (GList *link = finished_.head; link != NULL;)
    {
      struct net_http_conn *conn = link->data;

      link = link->next;
      if (conn->is_unsent)
        net_http_conn_reset (conn);
    }
}

/* Returns the name of END for log lines. */
const char *
net_end_reason_to_string (enum net_end_reason end)
{
  g_assert ((size_t)end < G_N_ELEMENTS (end_names_));
  return end_names_[end];
}

/* Creates a connection that calls OWNER, whose first member points to its net_http_owner_vtable. It
 * frees itself on the loop after a close, finish or reset, or after `ended` was called. When the
 * source address can't be bound, it logs a warning and any other one is used. */
struct net_http_conn *
net_http_conn_new (const struct net_http_conn_options *options, void *owner)
{
  struct net_http_conn *conn = g_new0 (struct net_http_conn, 1);

  conn->owner = owner;
  conn->is_server = options->is_server;
  conn->disable_dead_peer_detection = options->disable_dead_peer_detection;
  conn->head_max_bytes = options->head_max_bytes;
  conn->account = options->account;
  conn->input = g_byte_array_new ();
  conn->head.headers = g_array_new (FALSE, FALSE, sizeof (struct net_header));
  uv_tcp_init (options->loop, &conn->tcp);
  uv_timer_init (options->loop, &conn->linger);
  conn->tcp.data = conn;
  conn->linger.data = conn;
  conn->open_handles = 2;
  if (options->source != NULL
      && uv_tcp_bind (&conn->tcp, (const struct sockaddr *)options->source, 0) != 0)
    g_warning ("binding the source address failed; the kernel chooses one");
  conn->parser.data = conn;
  return conn;
}

/* Accepts the next connection of LISTENER. On failure it closes CONN and returns false. */
bool
net_http_conn_accept (struct net_http_conn *conn, uv_stream_t *listener)
{
  if (uv_accept (listener, (uv_stream_t *)&conn->tcp) != 0)
    {
      net_http_conn_close (conn);
      return false;
    }
  conn->state = CONN_OPEN;
  if (conn->account != NULL)
    net_memory_holder_open (&conn->holder, conn->account, now_ms_ (conn));
  set_socket_options_ (conn);
  update_reading_ (conn);
  return true;
}

/* Starts connecting to ADDRESS. On failure it closes CONN and returns false. */
bool
net_http_conn_connect (struct net_http_conn *conn, const struct sockaddr_in *address)
{
  if (uv_tcp_connect (&conn->connect_request, &conn->tcp, (const struct sockaddr *)address,
                      on_connect_)
      != 0)
    {
      net_http_conn_close (conn);
      return false;
    }
  conn->pending_requests++;
  return true;
}

/* Sets the size limit of message heads that are parsed from now on. */
void
net_http_conn_set_head_max (struct net_http_conn *conn, size_t bytes)
{
  conn->head_max_bytes = bytes;
}

/* Call it before a request is sent: until its response is complete, bytes of the peer are parsed;
 * at any other time they end the connection. HAS_NO_BODY: the response has no body whatever its
 * headers say, as for HEAD. */
void
net_http_conn_expect_response (struct net_http_conn *conn, bool has_no_body)
{
  g_assert (!conn->is_server);
  conn->awaits_response = true;
  conn->skips_body = has_no_body;
}

/* Sends the parts (at most 8) in order. What the kernel does not accept at once is copied and
 * queued; net_http_conn_queued returns how many bytes. A server reads and parses no further request
 * until the queue is empty. Does nothing unless CONN is open. */
void
net_http_conn_write (struct net_http_conn *conn,
                     const struct net_string_view *parts,
                     size_t n_parts)
{
  write_ (conn, parts, n_parts, NULL);
}

/* Sends HEAD and BODY like net_http_conn_write. What has to be queued of BODY is not copied but
 * referenced, so it must not change any more. */
void
net_http_conn_write_shared (struct net_http_conn *conn,
                            struct net_string_view head,
                            GByteArray *body)
{
  const struct net_string_view parts[] = { head, { (const char *)body->data, body->len } };

  write_ (conn, parts, G_N_ELEMENTS (parts), body);
}

/* Returns how many written bytes the kernel has not accepted yet. */
size_t
net_http_conn_queued (const struct net_http_conn *conn)
{
  return uv_stream_get_write_queue_size ((const uv_stream_t *)&conn->tcp);
}

/* Returns whether received bytes wait to be parsed. */
bool
net_http_conn_has_received (const struct net_http_conn *conn)
{
  return conn->input->len > 0;
}

/* Returns whether requests wait until the peer has taken the responses before them, or until other
 * connections have had their turn. */
bool
net_http_conn_is_backlogged (const struct net_http_conn *conn)
{
  return conn->is_server && (conn->queued_bytes > 0 || conn->awaits_turn);
}

/* Returns what the connection holds of its account, for its owner to add what it holds itself. */
struct net_memory_holder *
net_http_conn_holder (struct net_http_conn *conn)
{
  return &conn->holder;
}

/* Tells the account whether a complete request of the connection is being served. */
void
net_http_conn_note_served (struct net_http_conn *conn, bool is_served)
{
  net_memory_holder_set_served (&conn->holder, is_served);
}

/* Closes the connection that has been without progress for the longest time, if ACCOUNT has no
 * place for a further one; if it FORCES that, also one that the account protects. Returns whether
 * there is a place now. */
bool
net_http_account_make_room (struct net_memory_account *account, bool forces, int64_t now_ms)
{
  struct net_memory_holder *holder;

  if (!net_memory_account_is_full (account))
    return true;
  net_http_account_refresh (account, now_ms);
  holder = net_memory_account_pick_oldest (account, now_ms);
  if (holder == NULL && forces)
    holder = net_memory_account_pick_any (account);
  if (holder == NULL)
    return false;
  evict_ (conn_of_holder_ (holder), true);
  return !net_memory_account_is_full (account);
}

/* Accounts for what callers have taken since, and for what the kernel holds for connections that
 * aren't read: that counts towards the machine's memory, too. At most every REFRESH_MS, because it
 * asks the kernel for each connection. */
void
net_http_account_refresh (struct net_memory_account *account, int64_t now_ms)
{
  if (now_ms - account->refreshed_ms < REFRESH_MS)
    return;
  account->refreshed_ms = now_ms;
  for (GList *link = account->holders.head; link != NULL; link = link->next)
    {
      struct net_http_conn *conn = conn_of_holder_ (link->data);

      note_unsent_ (conn);
      note_kernel_ (conn);
    }
}

/* Closes connections, those that hold the most for the longest time first, if ACCOUNT is short of
 * memory. Not to be called while one of them is parsing. */
void
net_http_account_relieve (struct net_memory_account *account, int64_t now_ms)
{
  struct net_memory_holder *holder;

  if (!net_memory_account_is_short (account))
    return;
  net_http_account_refresh (account, now_ms);
  while (net_memory_account_excess (account) > 0
         && (holder = net_memory_account_pick_largest (account, now_ms)) != NULL)
    evict_ (conn_of_holder_ (holder), false);
}

/* Returns whether the socket has something to read that the loop has not read yet: bytes, the end
 * of the connection, or an error. */
bool
net_http_conn_has_unread (struct net_http_conn *conn)
{
  return peek_ (conn) >= 0 || conn->has_failed;
}

/* Returns whether CONN is open and between two messages: everything written has been sent, and the
 * peer has sent nothing since the last message, also not into the socket's buffer. */
bool
net_http_conn_is_clean (struct net_http_conn *conn)
{
  return conn->state == CONN_OPEN && !conn->in_body && !conn->awaits_response
         && conn->input->len == 0 && conn->queued_bytes == 0 && !net_http_conn_has_unread (conn);
}

/* While HOLD is set, further messages stay unparsed in the buffer. The end of the connection is
 * still reported. */
void
net_http_conn_hold_messages (struct net_http_conn *conn, bool hold)
{
  conn->held = hold;
  if (!hold && !conn->parsing && conn->state == CONN_OPEN)
    parse_ (conn);
}

/* While PAUSE is set, nothing is read, so that TCP flow control slows the peer down. */
void
net_http_conn_pause (struct net_http_conn *conn, bool pause)
{
  conn->paused = pause;
  update_reading_ (conn);
}

/* Closes CONN at once without any further callback. Queued bytes are lost. */
void
net_http_conn_close (struct net_http_conn *conn)
{
  if (conn->state == CONN_CLOSED)
    return;
  note_unused_input_ (conn);
  set_sent_ (conn);
  if (conn->state == CONN_LINGERING)
    g_queue_unlink (&finished_, &conn->finished_link);
  net_memory_holder_close (&conn->holder);
  conn->state = CONN_CLOSED;
  conn->owner = NULL;
  uv_close ((uv_handle_t *)&conn->tcp, on_handle_closed_);
  uv_close ((uv_handle_t *)&conn->linger, on_handle_closed_);
}

/* Sends what is queued, however slowly the peer takes it, shuts the sending side down and discards
 * input until the peer closes, at most LINGER_MS from then on: closing a socket with unread input
 * would reset the connection, and the peer could lose the response. If the peer takes no byte for
 * SEND_STALLED_CHECKS checks, the connection is reset, so that the response does not look complete.
 * No callback follows. */
void
net_http_conn_finish (struct net_http_conn *conn)
{
  finish_ (conn, true);
}

/* Like net_http_conn_finish, for a response sent before the whole request has arrived: the rest of
 * the request is not read, so that it does not use the link's bandwidth. The connection is reset
 * LINGER_UNREAD_MS after the response has been acknowledged. */
void
net_http_conn_finish_unread (struct net_http_conn *conn)
{
  finish_ (conn, false);
}

/* Closes CONN at once with a TCP reset, so that the peer can't take an unfinished response for a
 * complete one. No callback follows. */
void
net_http_conn_reset (struct net_http_conn *conn)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  uv_os_fd_t fd;

  if (conn->state == CONN_CLOSED)
    return;
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0
      && setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger) != 0)
    g_debug ("a connection is closed without a reset");
  net_http_conn_close (conn);
}

/* Sends the parts. SHARED, which may be NULL, holds the bytes of the last one. */
static void
write_ (struct net_http_conn *conn,
        const struct net_string_view *parts,
        size_t n_parts,
        GByteArray *shared)
{
  uv_buf_t buffers[8];
  size_t total = 0;
  size_t sent = 0;
  size_t copied = 0;
  struct queued_write_ *write;
  unsigned n_buffers = 0;
  int error;

  g_assert (n_parts <= G_N_ELEMENTS (buffers));
  if (conn->state != CONN_OPEN || (conn->has_failed && !conn->is_server))
    return;
  for (size_t i = 0; i < n_parts; i++)
    {
      buffers[i] = uv_buf_init ((char *)parts[i].data, (unsigned)parts[i].length);
      total += parts[i].length;
    }
  traffic_.sent += total;
  if (conn->queued_bytes == 0)
    {
      int taken = uv_try_write ((uv_stream_t *)&conn->tcp, buffers, (unsigned)n_parts);

      if (taken < 0 && taken != UV_EAGAIN)
        {
          fail_sending_ (conn, taken);
          if (!conn->is_server)
            return;
        }
      sent = taken > 0 ? (size_t)taken : 0;
      if (taken > 0)
        {
          conn->holder.progress_ms = now_ms_ (conn);
          /* Until the kernel is asked for the bytes that it still holds. */
          conn->holder.unacknowledged += sent;
        }
    }
  if (sent == total)
    return;
  write = g_malloc (sizeof *write
                    + (shared == NULL ? total - sent : total - parts[n_parts - 1].length));
  write->conn = conn;
  write->length = total - sent;
  write->shared = shared == NULL ? NULL : g_byte_array_ref (shared);
  for (size_t i = 0; i < n_parts; i++)
    {
      size_t skip = MIN (sent, parts[i].length);
      size_t left = parts[i].length - skip;

      sent -= skip;
      if (shared != NULL && i + 1 == n_parts)
        {
          if (left > 0)
            buffers[n_buffers++] = uv_buf_init ((char *)parts[i].data + skip, (unsigned)left);
          break;
        }
      memcpy (write->bytes + copied, parts[i].data + skip, left);
      copied += left;
    }
  if (copied > 0)
    {
      if (n_buffers > 0)
        buffers[n_buffers] = buffers[0];
      buffers[0] = uv_buf_init (write->bytes, (unsigned)copied);
      n_buffers++;
    }
  error = uv_write (&write->request, (uv_stream_t *)&conn->tcp, buffers, n_buffers, on_write_);
  if (error != 0)
    {
      g_message ("%zu bytes of a message are dropped: %s", write->length, uv_strerror (error));
      free_write_ (write);
      return;
    }
  conn->pending_requests++;
  conn->queued_bytes += write->length;
  note_unsent_ (conn);
}

static void
free_write_ (struct queued_write_ *write)
{
  if (write->shared != NULL)
    g_byte_array_unref (write->shared);
  g_free (write);
}

static void
finish_ (struct net_http_conn *conn, bool reads_input)
{
  if (conn->state != CONN_OPEN)
    {
      net_http_conn_close (conn);
      return;
    }
  conn->state = CONN_LINGERING;
  conn->finished_link.data = conn;
  g_queue_push_tail_link (&finished_, &conn->finished_link);
  conn->owner = NULL;
  net_memory_holder_set_served (&conn->holder, false);
  net_memory_holder_set (&conn->holder, NET_MEMORY_BODY, 0);
  net_memory_holder_set (&conn->holder, NET_MEMORY_RESPONSE, 0);
  if (!conn->parsing)
    {
      g_byte_array_set_size (conn->input, 0);
      release_input_ (conn);
    }
  conn->paused = !reads_input;
  conn->lingers_unread = !reads_input;
  update_reading_ (conn);
  if (conn->queued_bytes > 0)
    {
      conn->is_unsent = true;
      unsent_count_++;
      conn->unsent_bytes = conn->queued_bytes;
      uv_timer_start (&conn->linger, on_send_check_, SEND_CHECK_MS, SEND_CHECK_MS);
    }
  else
    start_linger_ (conn);
  if (uv_shutdown (&conn->shutdown_request, (uv_stream_t *)&conn->tcp, on_shutdown_) == 0)
    conn->pending_requests++;
  else
    net_http_conn_close (conn);
}

static void
start_linger_ (struct net_http_conn *conn)
{
  uv_timer_start (&conn->linger, on_linger_timeout_,
                  conn->lingers_unread ? LINGER_UNREAD_MS : LINGER_MS, 0);
}

/* Returns 1 if the socket has bytes to read, 0 at their end, -1 if there are none yet or on an
 * error, which it notes. */
static ssize_t
peek_ (struct net_http_conn *conn)
{
  uv_os_fd_t fd;
  char byte;
  ssize_t length;

  if (uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) != 0)
    {
      fail_ (conn, UV_EBADF);
      return -1;
    }
  length = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (length < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
    fail_ (conn, uv_translate_sys_error (errno));
  return length;
}

/* A call on the socket has failed with ERROR of libuv. The kernel reports a reset or a time-out to
 * one call only: to later reads the connection seems to have ended in order. */
static void
fail_ (struct net_http_conn *conn, int error)
{
  if (!conn->has_failed)
    g_debug ("a connection has failed: %s", uv_strerror (error));
  conn->has_failed = true;
}

/* Sending has failed with ERROR of libuv. An outgoing connection is still read to its end, as a
 * whole response may have come before; shutting it down makes sure that there is an end. */
static void
fail_sending_ (struct net_http_conn *conn, int error)
{
  uv_os_fd_t fd;

  fail_ (conn, error);
  if (!conn->is_server && uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) == 0
      && shutdown (fd, SHUT_RDWR) != 0 && errno != ENOTCONN)
    g_debug ("a connection that can't send is not shut down: %s", g_strerror (errno));
}

/* Returns whether the peer has ended its side of the connection in order, after libuv has reported
 * the end of the input. libuv reports it also when it finds the connection closed in both
 * directions behind the last bytes, without asking whether that was by a reset. */
static bool
has_ended_in_order_ (struct net_http_conn *conn)
{
  return !conn->has_failed && peek_ (conn) == 0;
}

/* Logs what a finished connection, which is about to be closed, received without using it. */
static void
note_unused_input_ (struct net_http_conn *conn)
{
  bool is_unread;

  if (!conn->is_server || conn->state != CONN_LINGERING)
    return;
  is_unread = conn->lingers_unread && peek_ (conn) > 0;
  if (conn->dropped_bytes == 0 && !is_unread)
    return;
  g_message ("a finished connection received %" G_GUINT64_FORMAT " bytes that were dropped%s",
             conn->dropped_bytes, is_unread ? ", and is closed with unread bytes" : "");
}

/* All bytes of CONN have been sent, or dropped. */
static void
set_sent_ (struct net_http_conn *conn)
{
  if (!conn->is_unsent)
    return;
  conn->is_unsent = false;
  unsent_count_--;
}

/* Resets a finished connection whose peer has stopped taking bytes. */
static void
on_send_check_ (uv_timer_t *timer)
{
  struct net_http_conn *conn = timer->data;
  size_t unsent = uv_stream_get_write_queue_size ((const uv_stream_t *)&conn->tcp);

  conn->stalled_checks = unsent < conn->unsent_bytes ? 0 : conn->stalled_checks + 1;
  conn->unsent_bytes = unsent;
  if (conn->stalled_checks < SEND_STALLED_CHECKS)
    return;
  g_message ("a peer takes no more bytes; %zu bytes of a response are dropped", unsent);
  net_http_conn_reset (conn);
}

static void
on_alloc_ (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  *buffer = uv_buf_init (read_buffer_, sizeof read_buffer_);
}

static void
on_read_ (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  struct net_http_conn *conn = stream->data;

  if (length == 0)
    return;
  if (conn->state == CONN_LINGERING)
    {
      if (length == UV_EOF && conn->is_unsent)
        conn->paused = true; /* the peer has only ended its own side */
      else if (length < 0)
        net_http_conn_close (conn);
      else
        {
          traffic_.received += (uint64_t)length;
          conn->dropped_bytes += (uint64_t)length;
        }
      return;
    }
  if (length < 0)
    {
      if (length != UV_EOF)
        fail_ (conn, (int)length);
      end_ (conn, length == UV_EOF && has_ended_in_order_ (conn) ? NET_END_EOF : NET_END_RESET);
      return;
    }
  conn->has_received = true;
  traffic_.received += (uint64_t)length;
  if (conn->queued_bytes == 0)
    conn->holder.progress_ms = now_ms_ (conn); /* else only what the peer takes is progress */
  g_byte_array_append (conn->input, (const guint8 *)buffer->base, (guint)length);
  conn->input_peak_bytes = MAX (conn->input_peak_bytes, conn->input->len);
  parse_ (conn);
  if (conn->account != NULL)
    net_http_account_relieve (conn->account, now_ms_ (conn));
}

static void
on_connect_ (uv_connect_t *request, int status)
{
  struct net_http_conn *conn = request->handle->data;

  conn->pending_requests--;
  if (conn->state == CONN_CLOSED)
    return;
  if (status != 0)
    {
      end_ (conn, NET_END_CONNECT_FAILED);
      return;
    }
  conn->state = CONN_OPEN;
  set_socket_options_ (conn);
  update_reading_ (conn);
  if ((*conn->owner)->connected != NULL)
    (*conn->owner)->connected (conn->owner);
}

static void
on_write_ (uv_write_t *request, int status)
{
  struct queued_write_ *write = (struct queued_write_ *)request;
  struct net_http_conn *conn = write->conn;

  conn->pending_requests--;
  conn->queued_bytes -= write->length;
  free_write_ (write);
  note_unsent_ (conn);
  if (conn->state != CONN_OPEN)
    return;
  if (status != 0)
    {
      fail_sending_ (conn, status);
      if (conn->is_server)
        end_ (conn, NET_END_RESET);
      return;
    }
  if (conn->queued_bytes > 0)
    return;
  if ((*conn->owner)->written != NULL)
    (*conn->owner)->written (conn->owner);
  /* Requests that have waited for the peer to take the responses before them. */
  if (conn->state == CONN_OPEN && conn->is_server && !conn->parsing)
    parse_ (conn);
}

static void
on_shutdown_ (uv_shutdown_t *request, int status)
{
  struct net_http_conn *conn = request->handle->data;

  conn->pending_requests--;
  if (conn->state == CONN_CLOSED)
    return;
  if (status != 0)
    {
      net_http_conn_close (conn);
      return;
    }
  if (conn->is_unsent)
    {
      set_sent_ (conn);
      start_linger_ (conn);
    }
}

/* Closes the connection. Closing with unread input resets it, which would drop what the peer has
 * not acknowledged yet, so that waits. */
static void
on_linger_timeout_ (uv_timer_t *timer)
{
  struct net_http_conn *conn = timer->data;

  if (conn->lingers_unread && conn->linger_checks++ < LINGER_UNREAD_CHECKS
      && has_unacknowledged_ (conn))
    start_linger_ (conn);
  else
    net_http_conn_close (conn);
}

/* Returns whether the peer has not acknowledged all bytes that the kernel has taken. */
static bool
has_unacknowledged_ (const struct net_http_conn *conn)
{
  uv_os_fd_t fd;
  int bytes;

  return uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) == 0 && ioctl (fd, SIOCOUTQ, &bytes) == 0
         && bytes > 0;
}

static void
on_handle_closed_ (uv_handle_t *handle)
{
  struct net_http_conn *conn = handle->data;

  if (--conn->open_handles > 0)
    return;
  g_byte_array_unref (conn->input);
  g_array_unref (conn->head.headers);
  g_free (conn);
}

/* Reports the end of the connection to the owner. A response body that is delimited by the end of
 * the connection is completed first. */
static void
end_ (struct net_http_conn *conn, enum net_end_reason end)
{
  const struct net_http_owner_vtable **owner = conn->owner;

  if (conn->state == CONN_CLOSED || owner == NULL)
    return;
  if (conn->in_body && (end == NET_END_EOF || end == NET_END_RESET))
    {
      net_http_body_end_input (&conn->body, end == NET_END_EOF);
      conn->parsing = true;
      finish_message_ (conn);
      conn->parsing = false;
    }
  if (conn->state == CONN_CLOSED || conn->owner == NULL)
    return;
  if ((end == NET_END_MALFORMED || end == NET_END_HEAD_TOO_LARGE) && (*owner)->bad_request != NULL)
    {
      (*owner)->bad_request (owner, end);
      return;
    }
  net_http_conn_close (conn);
  (*owner)->ended (owner, end);
}

/* Parses the buffered input message by message, until it runs out, messages are held or the
 * connection closes. */
static void
parse_ (struct net_http_conn *conn)
{
  conn->parsing = true;
  while (conn->state == CONN_OPEN && conn->input->len > 0)
    {
      if (!conn->in_body && (conn->held || net_http_conn_is_backlogged (conn)))
        break;
      if (conn->in_body ? !parse_body_ (conn) : !parse_head_ (conn))
        break;
    }
  conn->parsing = false;
  if (conn->state == CONN_LINGERING)
    g_byte_array_set_size (conn->input, 0);
  if (conn->state != CONN_CLOSED)
    release_input_ (conn);
  if (conn->state == CONN_OPEN)
    update_reading_ (conn);
}

/* Accounts for the input buffer, and frees its memory if it is large and empty. */
static void
release_input_ (struct net_http_conn *conn)
{
  if (conn->input->len == 0 && conn->input_peak_bytes > INPUT_KEPT_BYTES)
    {
      g_byte_array_unref (conn->input);
      conn->input = g_byte_array_new ();
      conn->input_peak_bytes = 0;
    }
  net_memory_holder_set (&conn->holder, NET_MEMORY_INPUT, conn->input_peak_bytes);
}

/* Accounts for the bytes that the kernel has not taken. */
static void
note_unsent_ (struct net_http_conn *conn)
{
  if (conn->holder.account != NULL)
    net_memory_holder_note_unsent (&conn->holder, net_http_conn_queued (conn), now_ms_ (conn));
}

/* Accounts for the bytes that the kernel has received and this process does not read, and for those
 * that the peer has not acknowledged. */
static void
note_kernel_ (struct net_http_conn *conn)
{
  uv_os_fd_t fd;
  int unread = 0;
  int unacknowledged = 0;

  if (uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) != 0)
    return;
  if (!conn->reading && ioctl (fd, SIOCINQ, &unread) != 0)
    unread = 0;
  if (ioctl (fd, SIOCOUTQ, &unacknowledged) != 0)
    unacknowledged = 0;
  net_memory_holder_note_kernel (&conn->holder, (size_t)MAX (unread, 0),
                                 (size_t)MAX (unacknowledged, 0), now_ms_ (conn));
}

/* Ends the connection, because its account has no room for it. */
static void
evict_ (struct net_http_conn *conn, bool closes)
{
  const struct net_http_owner_vtable **owner = conn->owner;

  if (owner == NULL)
    g_message ("a finished connection that held %zu bytes is closed to free %s", conn->holder.total,
               closes ? "its descriptor" : "memory");
  if (owner != NULL && (*owner)->evicted != NULL)
    (*owner)->evicted (owner, closes);
  else
    {
      /* A response that the kernel has taken is still sent. */
      if (conn->queued_bytes > 0)
        net_http_conn_reset (conn);
      else
        net_http_conn_close (conn);
      if (owner != NULL)
        (*owner)->ended (owner, NET_END_RESET);
    }
  if (closes)
    net_http_conn_close (conn);
}

static struct net_http_conn *
conn_of_holder_ (struct net_memory_holder *holder)
{
  return (struct net_http_conn *)((char *)holder - offsetof (struct net_http_conn, holder));
}

static int64_t
now_ms_ (const struct net_http_conn *conn)
{
  return (int64_t)uv_now (conn->tcp.loop);
}

/* Parses the head at the start of the buffer. Returns false when it is incomplete, or the
 * connection has ended. */
static bool
parse_head_ (struct net_http_conn *conn)
{
  size_t length;

  if (conn->is_server)
    skip_empty_lines_ (conn);
  else if (!conn->awaits_response)
    {
      end_ (conn, NET_END_UNSOLICITED);
      return false;
    }
  else if (!net_http_may_begin_response (conn->input->data, conn->input->len))
    {
      end_ (conn, NET_END_MALFORMED);
      return false;
    }
  length = find_head_end_ (conn);
  if (length == 0 && conn->input->len <= conn->head_max_bytes)
    return false;
  if (length == 0 || length > conn->head_max_bytes)
    {
      end_ (conn, NET_END_HEAD_TOO_LARGE);
      return false;
    }
  if (!head_is_valid_ (conn, length))
    {
      end_ (conn, NET_END_MALFORMED);
      return false;
    }
  g_array_set_size (conn->head.headers, 0);
  conn->head.reason = (struct net_string_view){ "", 0 };
  conn->head_complete = false;
  http_parser_init (&conn->parser, conn->is_server ? HTTP_REQUEST : HTTP_RESPONSE);
  http_parser_execute (&conn->parser, &parser_settings_, (const char *)conn->input->data, length);
  if (conn->state != CONN_OPEN)
    return false;
  if (!conn->head_complete || HTTP_PARSER_ERRNO (&conn->parser) != HPE_OK)
    {
      end_ (conn, NET_END_MALFORMED);
      return false;
    }
  conn->scanned = 0;
  g_byte_array_remove_range (conn->input, 0, (guint)length);
  return finish_message_ (conn);
}

/* Returns whether the first LENGTH bytes of the buffer can be the head of a message. */
static bool
head_is_valid_ (const struct net_http_conn *conn, size_t length)
{
  const uint8_t *bytes = conn->input->data;

  return net_http_head_lines_are_valid (bytes, length)
         && (conn->is_server
             || (net_http_status_line_is_valid (bytes, length)
                 && !net_http_head_has_second_status_line (bytes, length)));
}

/* Removes empty lines in front of a request, which some callers send after a body. */
static void
skip_empty_lines_ (struct net_http_conn *conn)
{
  size_t length = 0;

  while (length + 2 <= conn->input->len && memcmp (conn->input->data + length, "\r\n", 2) == 0)
    length += 2;
  if (length == 0)
    return;
  g_byte_array_remove_range (conn->input, 0, (guint)length);
  conn->scanned = 0;
}

/* Passes on the body in the buffer. Returns false if the connection has ended. */
static bool
parse_body_ (struct net_http_conn *conn)
{
  size_t read = 0;

  while (read < conn->input->len && conn->body.state == NET_BODY_READING)
    {
      const struct net_string_view bytes
          = { (const char *)conn->input->data + read, conn->input->len - read };
      struct net_string_view payload;

      read += net_http_body_read (&conn->body, bytes, &payload);
      if (payload.length > 0)
        (*conn->owner)->body (conn->owner, payload.data, payload.length);
      if (conn->state != CONN_OPEN)
        return false;
    }
  g_byte_array_remove_range (conn->input, 0, (guint)read);
  if (conn->body.state == NET_BODY_MALFORMED)
    {
      end_ (conn, NET_END_MALFORMED);
      return false;
    }
  return finish_message_ (conn);
}

/* Reports the end of the message if it is complete. Returns false if the connection has ended. */
static bool
finish_message_ (struct net_http_conn *conn)
{
  if (conn->body.state != NET_BODY_COMPLETE)
    return true;
  conn->in_body = false;
  conn->scanned = 0;
  if (!conn->is_server && conn->parser.status_code / 100 == 1)
    return true;
  conn->awaits_response = false;
  if (conn->turn_ms != now_ms_ (conn))
    {
      conn->turn_ms = now_ms_ (conn);
      conn->turn_requests = 0;
    }
  if (conn->is_server && ++conn->turn_requests >= TURN_REQUESTS_MAX)
    {
      conn->awaits_turn = true;
      uv_timer_start (&conn->linger, on_turn_, TURN_MS, 0);
    }
  (*conn->owner)->message_end (conn->owner);
  return conn->state == CONN_OPEN;
}

/* The loop has begun its next iteration. */
static void
on_turn_ (uv_timer_t *timer)
{
  struct net_http_conn *conn = timer->data;

  conn->awaits_turn = false;
  if (conn->state != CONN_OPEN)
    return;
  parse_ (conn);
  if (conn->account != NULL)
    net_http_account_relieve (conn->account, now_ms_ (conn));
}

/* Returns the length of the head including the empty line, or 0 while it is incomplete. */
static size_t
find_head_end_ (struct net_http_conn *conn)
{
  size_t from = conn->scanned > 3 ? conn->scanned - 3 : 0;
  const uint8_t *found;

  if (conn->input->len <= from)
    return 0;
  found = memmem (conn->input->data + from, conn->input->len - from, "\r\n\r\n", 4);
  conn->scanned = conn->input->len;
  return found == NULL ? 0 : (size_t)(found - conn->input->data) + 4;
}

/* Starts or stops reading: it stops while paused, while the peer does not take responses that stand
 * before its next request, while requests wait for their turn, or while too many held bytes are
 * buffered. */
static void
update_reading_ (struct net_http_conn *conn)
{
  bool wanted;

  if (conn->state != CONN_OPEN && conn->state != CONN_LINGERING)
    return;
  wanted = !conn->paused && !(conn->held && conn->input->len > HELD_MAX_BYTES)
           && !(conn->state == CONN_OPEN && !conn->in_body && !conn->held
                && (conn->awaits_turn ? conn->input->len > 0 : net_http_conn_is_backlogged (conn)));
  if (wanted == conn->reading)
    return;
  conn->reading = wanted;
  if (wanted)
    uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc_, on_read_);
  else
    uv_read_stop ((uv_stream_t *)&conn->tcp);
}

/* TCP keepalive probes and the limit for unacknowledged bytes end a connection whose peer can't be
 * reached, such as behind a network partition; nothing else would. */
static void
set_socket_options_ (struct net_http_conn *conn)
{
  const int server_options[][3] = {
    { IPPROTO_TCP, TCP_NODELAY, 1 },
    { SOL_SOCKET, SO_RCVBUF, CALLER_RECEIVE_BYTES },
    { IPPROTO_TCP, TCP_NOTSENT_LOWAT, CALLER_NOT_SENT_BYTES },
  };
  const int options[][3] = {
    { IPPROTO_TCP, TCP_NODELAY, 1 },
    { SOL_SOCKET, SO_KEEPALIVE, 1 },
    { IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
    { IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
    { IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
    { IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS },
  };
  uv_os_fd_t fd;

  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) != 0)
    return;
  /* No probes for servers: callers may be slow, and an idle timeout closes connections. */
  if (conn->is_server)
    set_options_ (fd, server_options, G_N_ELEMENTS (server_options));
  else
    set_options_ (fd, options, conn->disable_dead_peer_detection ? 1 : G_N_ELEMENTS (options));
}

static void
set_options_ (int fd, const int (*options)[3], size_t n_options)
{
  for (size_t i = 0; i < n_options; i++)
    if (setsockopt (fd, options[i][0], options[i][1], &options[i][2], sizeof (int)) != 0)
      g_debug ("socket option %d of level %d is not available", options[i][1], options[i][0]);
}

static int
on_url_ (http_parser *parser, const char *at, size_t length)
{
  struct net_http_conn *conn = parser->data;

  conn->head.target = (struct net_string_view){ at, length };
  return 0;
}

static int
on_status_ (http_parser *parser, const char *at, size_t length)
{
  struct net_http_conn *conn = parser->data;

  conn->head.reason = (struct net_string_view){ at, length };
  return 0;
}

static int
on_field_ (http_parser *parser, const char *at, size_t length)
{
  struct net_http_conn *conn = parser->data;
  struct net_header header = { .name = { at, length }, .value = { "", 0 } };

  g_array_append_val (conn->head.headers, header);
  return 0;
}

static int
on_value_ (http_parser *parser, const char *at, size_t length)
{
  struct net_http_conn *conn = parser->data;
  GArray *headers = conn->head.headers;

  if (headers->len == 0)
    return -1;
  g_array_index (headers, struct net_header, headers->len - 1).value
      = (struct net_string_view){ at, length };
  return 0;
}

static int
on_headers_complete_ (http_parser *parser)
{
  struct net_http_conn *conn = parser->data;
  struct net_http_head *head = &conn->head;
  bool is_interim = !conn->is_server && parser->status_code / 100 == 1;

  conn->head_complete = true;
  head->minor_version = parser->http_minor;
  if (parser->upgrade || parser->http_major != 1 || !read_transfer_coding_ (head))
    return -1;
  if (!conn->is_server && parser->status_code == SWITCHING_PROTOCOLS)
    return -1; /* no request asks for it */
  conn->in_body = true;
  if (is_interim)
    {
      net_http_body_begin (&conn->body, NET_BODY_ABSENT, 0);
      return SKIP_BODY; /* the final response follows */
    }
  head->has_length = !head->is_chunked && (parser->flags & F_CONTENTLENGTH) != 0;
  head->length = head->has_length ? parser->content_length : 0;
  head->keeps_alive = http_should_keep_alive (parser);
  if (conn->is_server)
    head->method = net_string_view_of (http_method_str (parser->method));
  else
    head->status = parser->status_code;
  net_http_body_begin (&conn->body, framing_ (conn), head->length);
  head->ends_with_connection = conn->body.framing == NET_BODY_CONNECTION;
  conn->skips_body = false;
  (*conn->owner)->head (conn->owner, head);
  return SKIP_BODY;
}

/* Returns how the body behind the head just parsed is framed. */
static enum net_body_framing
framing_ (const struct net_http_conn *conn)
{
  const struct net_http_head *head = &conn->head;

  if (!conn->is_server && (conn->skips_body || head->status == 204 || head->status == 304))
    return NET_BODY_ABSENT;
  if (head->is_chunked)
    return NET_BODY_CHUNKED;
  if (head->has_length)
    return NET_BODY_LENGTH;
  return conn->is_server ? NET_BODY_ABSENT : NET_BODY_CONNECTION;
}

/* Sets is_chunked. Returns false unless HEAD has no transfer coding, or chunked alone as an
 * HTTP/1.1 message may: no other is ever asked for, and the fields that say how a body is coded are
 * not passed on. */
static bool
read_transfer_coding_ (struct net_http_head *head)
{
  head->is_chunked = false;
  for (unsigned i = 0; i < head->headers->len; i++)
    {
      const struct net_header *header = &g_array_index (head->headers, struct net_header, i);

      struct net_string_view coding = header->value;

      if (!net_string_view_is_nocase (header->name, "Transfer-Encoding"))
        continue;
      while (coding.length > 0 && strchr (" \t", coding.data[coding.length - 1]) != NULL)
        coding.length--;
      if (head->is_chunked || head->minor_version == 0
          || !net_string_view_is_nocase (coding, "chunked"))
        return false;
      head->is_chunked = true;
    }
  return true;
}
