/* A small HTTP client for tests: each call opens its own connection. */
#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct harness_http_response
{
  int status;    /* 0: no response received */
  bool complete; /* the body was received completely */
  bool connected;
  GString *body;
  char *request_id;      /* X-Request-Id, or NULL */
  char *retry_after;     /* Retry-After, or NULL */
  int64_t first_byte_us; /* from the start of the call */
  int64_t total_us;
};

struct harness_call
{
  const char *address; /* IP address */
  unsigned port;
  const char *source; /* address bound for the connection, or NULL */
  const char *method; /* NULL: GET without a body, else POST */
  const char *path;
  const char *const *headers; /* name, value, .., NULL; may be NULL */
  const char *body;
  size_t body_length; /* 0: strlen of the body */
  int idle_timeout_s; /* 0: 30 */
  /* Called with each part of the body as it is received; may be NULL. Returns false to abort. */
  bool (*on_body_part) (void *data, const char *bytes, size_t length);
  void *data;
};

struct harness_http_response *harness_call (const struct harness_call *call);
void harness_reply_free (struct harness_http_response *reply);
json_t *harness_reply_json (const struct harness_http_response *reply);
json_t *harness_get_json (const char *address, unsigned port, const char *path);
bool harness_post (const char *address, unsigned port, const char *path);
int64_t harness_json_number (const json_t *root, const char *path);
const char *harness_json_text (const json_t *root, const char *path);
