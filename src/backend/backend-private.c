#include "backend/backend-private.h"

enum
{
  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  HTTP_LIMITED = 429,
  HTTP_UNAVAILABLE = 503
};

/* Creates a POST of BODY to PATH at CALL's backend server, on a connection of its own. */
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

/* Returns what a failed exchange means for the call. */
enum sr_backend_status
sr_backend_status_of_failure_ (struct sr_exchange *exchange, enum sr_exchange_status status)
{
  if (!sr_exchange_was_connected (exchange))
    return SR_BACKEND_NOT_SENT;
  return status == SR_EXCHANGE_TIMEOUT ? SR_BACKEND_SILENT : SR_BACKEND_FAILED;
}

/* Returns what an answer with an error status means for the call. */
enum sr_backend_status
sr_backend_status_of_error_ (struct sr_exchange *exchange)
{
  switch (sr_exchange_code (exchange))
    {
    case HTTP_CONFLICT:
      return SR_BACKEND_FENCED;
    case HTTP_NOT_FOUND:
    case HTTP_LIMITED:
    case HTTP_UNAVAILABLE:
      return SR_BACKEND_REFUSED;
    default:
      return SR_BACKEND_FAILED;
    }
}

/* Sets the load in REPORT from the "load" of ANSWER, if it has one. */
void
sr_backend_read_load_ (const json_t *answer, struct sr_backend_report *report)
{
  const json_t *load = json_object_get (answer, "load");
  const json_t *running = json_object_get (load, "running");
  const json_t *waiting = json_object_get (load, "waiting");

  if (json_is_integer (running) && json_is_integer (waiting))
    {
      report->running = (int)json_integer_value (running);
      report->waiting = (int)json_integer_value (waiting);
    }
}
