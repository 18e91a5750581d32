/* One HTTP/1.1 connection on a libuv loop, of either side: libuv moves the bytes, http-parser reads
 * them. Messages are handed over as they arrive and nothing is ever sent again by itself. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* A slice of memory that somebody else owns. */
struct net_text
{
  const char *data;
  size_t length;
};

struct net_header
{
  struct net_text name;
  struct net_text value;
};

/* The head of one message. All texts point into the connection's buffer and hold until the head
 * callback returns. */
struct net_http_head
{
  struct net_text method; /* requests */
  struct net_text target; /* requests */
  unsigned status;        /* responses */
  struct net_text reason; /* responses */
  unsigned minor_version;
  bool has_length;
  uint64_t length;
  bool is_chunked;
  bool ends_with_connection; /* a response that has neither length nor chunks */
  bool keeps_alive;
  GArray *headers; /* struct net_header */
};

enum net_end
{
  NET_END_CONNECT_FAILED, /* nothing was sent */
  NET_END_EOF,            /* the peer closed; inside a message, it is incomplete */
  NET_END_RESET,          /* an error of the socket */
  NET_END_MALFORMED,      /* the bytes are no message */
  NET_END_HEAD_TOO_LARGE
};

/* Bytes of all connections of this thread, since its start. */
struct net_traffic
{
  uint64_t received;
  uint64_t sent;
};

const struct net_traffic *net_traffic (void);
const char *net_end_to_string (enum net_end end);

struct net_http_conn;

/* What the owner of a connection is told. An owner begins with a pointer to this table. After
 * `ended` the connection is gone for the owner. */
struct net_http_owner_vtable
{
  void (*connected) (void *owner); /* outgoing connections only; may be NULL */
  void (*head) (void *owner, const struct net_http_head *head);
  void (*body) (void *owner, const char *data, size_t length);
  void (*message_end) (void *owner);
  void (*written) (void *owner); /* all queued bytes are with the kernel; may be NULL */
  /* Servers, instead of `ended`: what came is no request, but can be answered. The owner closes. */
  void (*refusable) (void *owner, enum net_end end);
  void (*ended) (void *owner, enum net_end end);
};

struct net_http_conn_options
{
  uv_loop_t *loop;
  bool is_server;
  /* Outgoing: how long the peer may be silent is the owner's matter, not that of the sockets. */
  bool is_patient;
  const struct sockaddr_in *source; /* outgoing: bound for the connection; NULL: any */
  size_t head_max_bytes;
};

struct net_http_conn *net_http_conn_new (const struct net_http_conn_options *options, void *owner);
bool net_http_conn_accept (struct net_http_conn *conn, uv_stream_t *listener);
bool net_http_conn_connect (struct net_http_conn *conn, const struct sockaddr_in *address);
void net_http_conn_set_head_max (struct net_http_conn *conn, size_t bytes);
void net_http_conn_expect_no_body (struct net_http_conn *conn);
void net_http_conn_write (struct net_http_conn *conn, const struct net_text *parts, size_t n_parts);
size_t net_http_conn_queued (const struct net_http_conn *conn);
bool net_http_conn_has_received (const struct net_http_conn *conn);
void net_http_conn_hold_messages (struct net_http_conn *conn, bool hold);
void net_http_conn_pause (struct net_http_conn *conn, bool pause);
void net_http_conn_close (struct net_http_conn *conn);
void net_http_conn_finish (struct net_http_conn *conn);
void net_http_conn_finish_unread (struct net_http_conn *conn);
void net_http_conn_reset (struct net_http_conn *conn);

bool net_text_equal (struct net_text left, struct net_text right);
bool net_text_is (struct net_text text, const char *value);
bool net_text_is_nocase (struct net_text text, const char *value);
struct net_text net_text_of (const char *value);
bool net_text_to_int (struct net_text text, int64_t *value);
