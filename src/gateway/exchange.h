/* One exchange: a caller's request from admission through token reservation and forwarding to a
 * backend server, up to the end of the response. */
#pragma once

#include "gateway/gateway.h"
#include "net/http-conn.h"

struct gw_exchange;

/* Head and framing of the response to the caller. */
struct gw_caller_response
{
  unsigned status;
  struct net_string_view reason;
  struct net_string_view headers; /* header lines, each with CRLF */
  bool has_length;
  uint64_t length;
  /* The backend server gave neither a length nor chunks. The gateway can't tell whether the body is
   * complete, so it must not frame it in a way that claims so. */
  bool ends_with_connection;
  bool refuses_body; /* do not read the rest of a long request body either */
};

/* Callbacks to the caller's connection, whose struct has a pointer to this table; that pointer's
 * address is passed as CALLER. The exchange ends with one call of finish or reset, after which it
 * is freed; after gw_exchange_abandon it calls neither. */
struct gw_caller_vtable
{
  void (*begin) (void *caller, const struct gw_caller_response *response);
  void (*body) (void *caller, const struct net_string_view *parts, size_t n_parts);
  /* Returns the number of response bytes that are not yet written to the socket. */
  size_t (*queued) (void *caller);
  /* Tells how many bytes of a response are held that have not been passed on. */
  void (*buffered) (void *caller, size_t bytes);
  void (*finish) (void *caller);
  /* The response can't be completed. The connection is reset so that the caller sees it as
   * truncated. */
  void (*reset) (void *caller);
};

void gw_exchange_register_metrics (void);
struct gw_exchange *gw_exchange_new (struct gw_context *context,
                                     void *caller,
                                     const struct net_http_head *head,
                                     const struct gw_request_head *request,
                                     GString *headers);
bool gw_exchange_body (struct gw_exchange *exchange, const char *data, size_t length);
void gw_exchange_refuse_too_large (struct gw_exchange *exchange);
void gw_exchange_refuse_incomplete (struct gw_exchange *exchange);
void gw_exchange_refuse_short (struct gw_exchange *exchange);
size_t gw_exchange_request_bytes (const struct gw_exchange *exchange);
void gw_exchange_start (struct gw_exchange *exchange);
void gw_exchange_on_caller_drained (struct gw_exchange *exchange);
void gw_exchange_abandon (struct gw_exchange *exchange);
void gw_exchange_stop (struct gw_exchange *exchange);
void gw_exchange_cancel_blocked (struct gw_context *context);
