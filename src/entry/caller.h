/* One request of a caller, from its head to the last byte of its reply. It is used on the entry's
 * thread only, except for `woken` and `woken_link`. */
#pragma once

#include "entry/connection.h"
#include "net/http-conn.h"

/* Request headers that the API defines. */
enum sr_caller_header
{
  SR_HEADER_AUTHORIZATION,
  SR_HEADER_IDEMPOTENCY_KEY,
  SR_HEADER_DEADLINE_MS,
  SR_HEADER_PRIORITY,
  SR_HEADER_BUDGET,
  SR_HEADER_ATTEMPT,
  SR_HEADERS /* number of them */
};

struct sr_caller
{
  struct sr_entry *entry;
  struct sr_connection *connection;
  char *method;
  char *path;                /* percent-decoded, without the query */
  char *headers[SR_HEADERS]; /* NULL: absent */
  GString *body;
  bool body_too_large;
  GString *request; /* request id; NULL until known */
  struct sr_run *run;
  bool stream;          /* the request asks for a streamed reply */
  bool is_streaming;    /* the streamed reply has begun */
  bool waits_for_drain; /* too much is queued; the reply continues when it has been sent */
  bool has_last_line;
  size_t sent;      /* bytes of the run's text already put into lines */
  GString *lines;   /* of the streamed reply, not yet sent */
  GList woken_link; /* in entry->woken; protected by the entry's mutex */
  bool woken;       /* in entry->woken; protected by the entry's mutex */
};

struct sr_caller *sr_caller_new (struct sr_entry *entry,
                                 struct sr_connection *connection,
                                 const struct net_http_head *head);
void sr_caller_delete (struct sr_caller *caller);
void sr_caller_append_body (struct sr_caller *caller, const char *data, size_t length);
void sr_caller_free_body (struct sr_caller *caller);
void sr_caller_set_request (struct sr_caller *caller, const char *request);
void sr_caller_attach_run (struct sr_caller *caller, struct sr_run *run);
void sr_caller_advance (struct sr_caller *caller);
void sr_caller_drained (struct sr_caller *caller);
enum sr_outcome sr_caller_refusal_outcome (const struct sr_caller *caller);
void sr_caller_reply_text (struct sr_caller *caller,
                           unsigned status,
                           const char *type,
                           const char *text);
void sr_caller_reply_error (struct sr_caller *caller,
                            enum sr_outcome outcome,
                            enum sr_error error,
                            int64_t retry_after_ms);
void sr_caller_reply_in_progress (struct sr_caller *caller, struct sr_run *run);
