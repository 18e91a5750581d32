/* One request of a caller on its way through: admitted, its tokens reserved, sent to a backend
 * server and answered. */
#pragma once

#include "gateway/gateway.h"
#include "net/http-conn.h"

struct gw_exchange;

/* How an answer is framed for the caller. */
struct gw_reply
{
  unsigned status;
  struct net_text reason;
  struct net_text headers; /* lines */
  bool has_length;
  uint64_t length;
  /* The backend server gave neither a length nor chunks: whether the body is whole is not known
   * here, and the caller must not be told so. */
  bool ends_with_connection;
  bool refuses_body; /* the rest of a long request is not wanted either */
};

/* Whoever asks. It begins with a pointer to this table. The exchange ends with one call of finish
 * or break_off, after which it is gone. */
struct gw_asker_vtable
{
  void (*begin) (void *asker, const struct gw_reply *reply);
  void (*body) (void *asker, const struct net_text *parts, size_t n_parts);
  size_t (*queued) (void *asker);
  void (*finish) (void *asker);
  /* The answer can't be made whole: it must not look so. */
  void (*break_off) (void *asker);
};

void gw_exchange_register_metrics (void);
struct gw_exchange *gw_exchange_new (struct gw_context *context,
                                     void *asker,
                                     const struct net_http_head *head,
                                     const struct gw_ask *ask,
                                     GString *headers);
bool gw_exchange_body (struct gw_exchange *exchange, const char *data, size_t length);
void gw_exchange_too_large (struct gw_exchange *exchange);
void gw_exchange_start (struct gw_exchange *exchange);
void gw_exchange_drained (struct gw_exchange *exchange);
void gw_exchange_abandon (struct gw_exchange *exchange);
