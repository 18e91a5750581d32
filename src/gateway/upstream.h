/* Connection pool to backend servers. A connection carries one request at a time and is reused only
 * after a complete response whose framing is unambiguous. Requests are never retried at this level.
 */
#pragma once

#include "gateway/backends.h"
#include "gateway/dialect.h"
#include "net/http-conn.h"

struct gw_upstream;

enum gw_upstream_failure
{
  GW_UPSTREAM_NOT_CONNECTED, /* nothing was sent */
  GW_UPSTREAM_LINK_BUSY, /* nothing was sent, and the likely cause is that this instance's own link
                            is full */
  GW_UPSTREAM_CLOSED,    /* the connection closed before or during the response */
  GW_UPSTREAM_MALFORMED  /* the bytes received are not a valid HTTP response */
};

/* Callbacks to the request that uses a connection. USER points to a struct that begins with a
 * pointer to this table. */
struct gw_upstream_user_vtable
{
  /* The connection is established: call gw_upstream_send. */
  void (*ready) (void *user);
  void (*head) (void *user,
                const struct net_http_head *head,
                const struct gw_response_head *response,
                const GString *headers);
  void (*body) (void *user, const char *data, size_t length);
  /* The response is complete. The connection must not be used any more. */
  void (*complete) (void *user);
  /* The connection was closed and freed. */
  void (*failed) (void *user, enum gw_upstream_failure failure);
};

struct gw_upstream_options
{
  uv_loop_t *loop;
  const struct gw_dialect *dialect;
  struct gw_link_load *link;    /* gets the handshake times */
  struct gw_backends *backends; /* updated when a response says that its server is leaving */
  struct gw_backend *backend;
  const char *request_id; /* empty: the caller gave none */
  bool is_not_repeatable; /* for a request that must not run twice: reuse no idle connection that
                           * the server may be closing */
  void *user;
};

const char *gw_upstream_failure_to_string (enum gw_upstream_failure failure);
void gw_upstream_register_metrics (void);
struct gw_upstream *gw_upstream_open (const struct gw_upstream_options *options);
bool gw_upstream_is_ready (const struct gw_upstream *upstream);
void gw_upstream_send (struct gw_upstream *upstream,
                       struct net_string_view head,
                       GByteArray *body,
                       bool expects_no_body);
void gw_upstream_pause (struct gw_upstream *upstream, bool pause);
void gw_upstream_abandon (struct gw_upstream *upstream);
