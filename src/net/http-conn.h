/* One HTTP/1.1 connection, server or client side, on a libuv loop; http-parser parses the messages.
 * Messages are passed to the owner as they arrive. A connection never retries anything itself. */
#pragma once

#include "net/memory-account.h"
#include "net/string-view.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct net_header
{
  struct net_string_view name;
  struct net_string_view value;
};

/* The head of one message. All texts point into the connection's buffer and are valid until the
 * head callback returns. */
struct net_http_head
{
  struct net_string_view method; /* requests */
  struct net_string_view target; /* requests */
  unsigned status;               /* responses */
  struct net_string_view reason; /* responses */
  unsigned minor_version;
  bool has_length; /* there is a Content-Length */
  uint64_t length;
  bool is_chunked;
  bool ends_with_connection; /* response without Content-Length and chunked encoding */
  bool keeps_alive;
  GArray *headers; /* struct net_header */
};

/* Why a connection ended. */
enum net_end_reason
{
  NET_END_CONNECT_FAILED, /* no connection, so nothing was sent */
  NET_END_EOF,            /* the peer closed in order; a message that has begun is incomplete */
  NET_END_RESET,          /* a reset, a time-out of TCP or another error */
  NET_END_MALFORMED,      /* not valid HTTP */
  NET_END_HEAD_TOO_LARGE,
  NET_END_UNSOLICITED /* outgoing connections: bytes arrived while no response was expected */
};

/* Payload bytes of all connections of this thread since it started. */
struct net_traffic
{
  uint64_t received;
  uint64_t sent;
};

const struct net_traffic *net_traffic (void);
unsigned net_http_unsent_count (void);
unsigned net_http_finished_count (void);
void net_http_reset_unsent (void);
const char *net_end_reason_to_string (enum net_end_reason end);

struct net_http_conn;

/* Callbacks of a connection's owner. The owner struct must begin with a pointer to this table.
 * After `ended` the owner must not use the connection any more. */
struct net_http_owner_vtable
{
  void (*connected) (void *owner); /* outgoing connections only; may be NULL */
  void (*head) (void *owner, const struct net_http_head *head);
  void (*body) (void *owner, const char *data, size_t length);
  /* The message is complete and removed from the buffer. */
  void (*message_end) (void *owner);
  void (*written) (void *owner); /* the kernel has accepted all queued bytes; may be NULL */
  /* Servers only, may be NULL: called instead of `ended` when the request is malformed or its head
   * too large. The connection is still open, so that an error response can be sent; the owner must
   * close it. */
  void (*bad_request) (void *owner, enum net_end_reason end);
  /* The account has no room for what the connection holds. The owner must finish, close or reset it
   * before it returns; CLOSES: without a response, as the descriptor is needed. NULL: the
   * connection is reset and `ended` called. */
  void (*evicted) (void *owner, bool closes);
  void (*ended) (void *owner, enum net_end_reason end);
};

struct net_http_conn_options
{
  uv_loop_t *loop;
  bool is_server;
  /* Outgoing: no TCP keepalive and no TCP_USER_TIMEOUT, because the owner has its own timeout. */
  bool disable_dead_peer_detection;
  const struct sockaddr_in *source; /* outgoing: local address to bind; NULL: any */
  size_t head_max_bytes;
  struct net_memory_account *account; /* servers: for what the connection holds; NULL: none */
};

struct net_http_conn *net_http_conn_new (const struct net_http_conn_options *options, void *owner);
bool net_http_conn_accept (struct net_http_conn *conn, uv_stream_t *listener);
bool net_http_conn_connect (struct net_http_conn *conn, const struct sockaddr_in *address);
void net_http_conn_set_head_max (struct net_http_conn *conn, size_t bytes);
void net_http_conn_expect_response (struct net_http_conn *conn, bool has_no_body);
void net_http_conn_write (struct net_http_conn *conn,
                          const struct net_string_view *parts,
                          size_t n_parts);
void net_http_conn_write_shared (struct net_http_conn *conn,
                                 struct net_string_view head,
                                 GByteArray *body);
size_t net_http_conn_queued (const struct net_http_conn *conn);
bool net_http_conn_has_received (const struct net_http_conn *conn);
bool net_http_conn_is_backlogged (const struct net_http_conn *conn);
struct net_memory_holder *net_http_conn_holder (struct net_http_conn *conn);
void net_http_conn_note_served (struct net_http_conn *conn, bool is_served);
bool net_http_account_make_room (struct net_memory_account *account, bool forces, int64_t now_ms);
void net_http_account_refresh (struct net_memory_account *account, int64_t now_ms);
void net_http_account_relieve (struct net_memory_account *account, int64_t now_ms);
bool net_http_conn_has_unread (struct net_http_conn *conn);
bool net_http_conn_is_clean (struct net_http_conn *conn);
void net_http_conn_hold_messages (struct net_http_conn *conn, bool hold);
void net_http_conn_pause (struct net_http_conn *conn, bool pause);
void net_http_conn_close (struct net_http_conn *conn);
void net_http_conn_finish (struct net_http_conn *conn);
void net_http_conn_finish_unread (struct net_http_conn *conn);
void net_http_conn_reset (struct net_http_conn *conn);
