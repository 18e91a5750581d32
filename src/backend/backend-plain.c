#include "backend/backend-private.h"

#include <stdio.h>
#include <string.h>

enum
{
  HTTP_OK = 200,
  FENCE_TEXT_BYTES = 32
};

static void call_ (const struct sr_backend_call *call, struct sr_backend_report *report);
static bool cancel_ (const struct sr_backend_call *call, int64_t *consumed_tokens);
static enum sr_backend_status read_response_ (struct sr_exchange *exchange,
                                              const struct sr_backend_call *call,
                                              struct sr_backend_report *report);

const struct sr_backend_kind sr_backend_plain = { .call = call_, .cancel = cancel_ };

/* Implements the protocol of docs/PROTOCOLS.md, "Plain service". */
static void
call_ (const struct sr_backend_call *call, struct sr_backend_report *report)
{
  char fence[FENCE_TEXT_BYTES];
  const char *headers[]
      = { "X-Request", call->request, "Content-Type", "application/json", NULL, fence, NULL };
  struct sr_exchange *exchange;
  enum sr_exchange_status status;

  *report = (struct sr_backend_report){ .running = -1, .waiting = -1 };
  snprintf (fence, sizeof fence, "%" G_GINT64_FORMAT, call->fence);
  if (call->fence > 0)
    headers[4] = "X-Fence"; /* its value, fence, is already in the next place */
  exchange = sr_backend_post_ (call, "/v1/call", call->text->str, call->text->len, headers);
  if (exchange == NULL)
    {
      report->status = SR_BACKEND_NOT_SENT;
      return;
    }
  status = sr_exchange_begin (exchange);
  if (status != SR_EXCHANGE_OK)
    report->status = sr_backend_status_of_failure_ (exchange, status);
  else if (sr_exchange_http_status (exchange) != HTTP_OK)
    report->status = sr_backend_status_of_error_ (exchange);
  else
    report->status = read_response_ (exchange, call, report);
  sr_exchange_delete (exchange);
}

/* The protocol of plain services has no cancellation. */
static bool
cancel_ (const struct sr_backend_call *call, int64_t *consumed_tokens)
{
  return false;
}

static enum sr_backend_status
read_response_ (struct sr_exchange *exchange,
                const struct sr_backend_call *call,
                struct sr_backend_report *report)
{
  g_autoptr (GString) body = g_string_new (NULL);
  const char *request;
  json_t *root;

  if (sr_exchange_read_all (exchange, body, SR_BACKEND_BODY_MAX_BYTES) != SR_EXCHANGE_OK)
    return SR_BACKEND_FAILED;
  root = json_loadb (body->str, body->len, 0, NULL);
  request = json_string_value (json_object_get (root, "request"));
  if (request == NULL || strcmp (request, call->request) != 0)
    {
      json_decref (root);
      return SR_BACKEND_FAILED;
    }
  sr_backend_read_load_ (root, report);
  report->first_byte_us = g_get_monotonic_time ();
  report->result = g_string_new_len (body->str, (gssize)body->len);
  json_decref (root);
  return SR_BACKEND_ANSWERED;
}
