/* One request of a caller, from its head to the last byte of its reply. Only the entry's thread
 * touches it. */
#pragma once

#include "entry/connection.h"
#include "net/http-conn.h"

/* Headers of a request that the interface knows. */
enum sr_caller_header
{
  SR_HEADER_AUTHORIZATION,
  SR_HEADER_IDEMPOTENCY_KEY,
  SR_HEADER_DEADLINE_MS,
  SR_HEADER_PRIORITY,
  SR_HEADER_BUDGET,
  SR_HEADER_ATTEMPT,
  SR_HEADERS
};

struct sr_caller
{
  struct sr_entry *entry;
  struct sr_connection *connection;
  char *method;
  char *path;                /* decoded, without its query */
  char *headers[SR_HEADERS]; /* NULL: not given */
  GString *body;
  bool body_too_large;
  GString *request; /* id, once known */
  struct sr_run *run;
  bool stream;          /* wanted */
  bool is_streaming;    /* begun */
  bool waits_for_drain; /* the caller reads slowly */
  bool last_line_made;
  size_t sent;    /* bytes of the run's text already in lines */
  GString *lines; /* of a streamed reply, not yet sent */
  GList woken_link;
  bool woken; /* under the entry's mutex */
};

struct sr_caller *sr_caller_new (struct sr_entry *entry,
                                 struct sr_connection *connection,
                                 const struct net_http_head *head);
void sr_caller_delete (struct sr_caller *caller);
void sr_caller_take_body (struct sr_caller *caller, const char *data, size_t length);
void sr_caller_set_request (struct sr_caller *caller, const char *request);
void sr_caller_listen (struct sr_caller *caller, struct sr_run *run);
void sr_caller_go_on (struct sr_caller *caller);
void sr_caller_drained (struct sr_caller *caller);
void sr_caller_reply_text (struct sr_caller *caller,
                           unsigned status,
                           const char *type,
                           const char *text);
void sr_caller_reply_error (struct sr_caller *caller,
                            enum sr_outcome outcome,
                            enum sr_error error,
                            int64_t retry_after_ms);
void sr_caller_reply_in_progress (struct sr_caller *caller, struct sr_run *run);
