/* Requests of a caller to an instance, and validation of the responses. */
#pragma once

#include "testing/harness/harness.h"

struct harness_request
{
  const char *address; /* of an instance or a balancer */
  unsigned port;
  const char *source; /* address of the caller, or NULL */
  const char *service;
  unsigned team;        /* key-TEAM */
  const char *key;      /* Idempotency-Key, or NULL */
  bool first_attempt;   /* X-Attempt: 1 */
  const char *budget;   /* X-Budget, or NULL */
  const char *priority; /* X-Priority, or NULL */
  int64_t deadline_ms;  /* 0: none */
  const char *body;     /* as it is sent; NULL: built from prompt, max_tokens and stream */
  const char *prompt;
  int64_t max_tokens;
  bool stream;
  /* As in struct harness_call; may be NULL. */
  bool (*on_body_part) (void *data, const char *bytes, size_t length);
  void *data;
};

enum harness_outcome
{
  HARNESS_COMPLETED,   /* complete, and every byte as expected */
  HARNESS_REFUSED,     /* an error response with outcome "not run" */
  HARNESS_UNKNOWN,     /* an error response with outcome "unknown" */
  HARNESS_TRUNCATED,   /* the response was truncated */
  HARNESS_UNREACHABLE, /* no response received */
  HARNESS_WRONG        /* anything else, such as a complete response with wrong contents */
};

struct harness_result
{
  enum harness_outcome outcome;
  int status;
  char code[32]; /* error code */
  int64_t prompt_tokens;
  int64_t output_tokens;
  int64_t billed_tokens;
  char request_id[132]; /* request ID from the body */
  int64_t first_byte_us;
  int64_t total_us;
  unsigned stream_lines; /* token lines of a stream */
};

struct harness_http_response *harness_send_raw (const struct harness_request *request);
struct harness_result harness_send (const struct harness_request *request);
struct harness_result harness_classify (const struct harness_request *request,
                                        const struct harness_http_response *reply);
const char *harness_outcome_to_string (enum harness_outcome outcome);
