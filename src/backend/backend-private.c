#include "backend/backend-private.h"

enum
{
  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  HTTP_TOO_MANY_REQUESTS = 429,
  HTTP_UNAVAILABLE = 503
};

/* Creates an exchange that will POST BODY to PATH of CALL's backend server. BODY must stay valid
 * until the exchange has begun. Returns NULL when an address of CALL is not valid. */
struct sr_exchange *
sr_backend_post_ (const struct sr_backend_call *call,
                  const char *path,
                  const char *body,
                  size_t length,
                  const char *const *headers)
{
  struct sr_exchange_options options = { .address = call->address,
                                         .port = call->port,
                                         .source_address = call->source_address,
                                         .connect_timeout_s = call->connect_timeout_s,
                                         .idle_timeout_s = call->idle_timeout_s,
                                         .method = "POST",
                                         .path = path,
                                         .headers = headers,
                                         .body = body,
                                         .body_length = length };

  return sr_exchange_new (&options);
}

/* Returns the call's status after sr_exchange_begin has failed with STATUS. */
enum sr_backend_status
sr_backend_status_of_failure_ (struct sr_exchange *exchange, enum sr_exchange_status status)
{
  if (!sr_exchange_was_connected (exchange))
    return SR_BACKEND_NOT_SENT;
  return status == SR_EXCHANGE_TIMEOUT ? SR_BACKEND_TIMEOUT : SR_BACKEND_FAILED;
}

/* Returns the call's status for a response whose HTTP status is not 200. */
enum sr_backend_status
sr_backend_status_of_error_ (struct sr_exchange *exchange)
{
  switch (sr_exchange_http_status (exchange))
    {
    case HTTP_CONFLICT:
      return SR_BACKEND_FENCED;
    case HTTP_NOT_FOUND:
    case HTTP_TOO_MANY_REQUESTS:
    case HTTP_UNAVAILABLE:
      return SR_BACKEND_REFUSED;
    default:
      return SR_BACKEND_FAILED;
    }
}

/* Sets the load in REPORT from the "load" member of RESPONSE, if it has a valid one. */
void
sr_backend_read_load_ (const json_t *response, struct sr_backend_report *report)
{
  const json_t *load = json_object_get (response, "load");
  const json_t *running = json_object_get (load, "running");
  const json_t *waiting = json_object_get (load, "waiting");

  if (json_is_integer (running) && json_is_integer (waiting))
    {
      report->running = (int)json_integer_value (running);
      report->waiting = (int)json_integer_value (waiting);
    }
}
