/* Shared by the kinds of backend server. */
#pragma once

#include "backend/backend.h"
#include "http/exchange.h"

#include <jansson.h>

enum
{
  SR_BACKEND_BODY_MAX_BYTES = 1 << 20 /* of a response that is not streamed */
};

struct sr_exchange *sr_backend_post_ (const struct sr_backend_call *call,
                                      const char *path,
                                      const char *body,
                                      size_t length,
                                      const char *const *headers);
enum sr_backend_status sr_backend_status_of_failure_ (struct sr_exchange *exchange,
                                                      enum sr_exchange_status status);
enum sr_backend_status sr_backend_status_of_error_ (struct sr_exchange *exchange);
void sr_backend_read_load_ (const json_t *response, struct sr_backend_report *report);
