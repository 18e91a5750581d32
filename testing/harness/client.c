#include "testing/harness/client.h"

#include "http/exchange.h"

#include <string.h>

enum
{
  CONNECT_TIMEOUT_S = 5,
  IDLE_TIMEOUT_S = 30,
  BLOCK_BYTES = 4096
};

static void read_body_ (struct sr_exchange *exchange,
                        const struct harness_call *call,
                        struct harness_http_response *reply,
                        int64_t start_us);
static const json_t *look_up_ (const json_t *root, const char *path);

/* Makes one call and blocks until it ends. The caller frees the reply. */
struct harness_http_response *
harness_call (const struct harness_call *call)
{
  struct harness_http_response *reply = g_new0 (struct harness_http_response, 1);
  struct sr_exchange_options options = {
    .address = call->address,
    .port = call->port,
    .source_address = call->source,
    .connect_timeout_s = CONNECT_TIMEOUT_S,
    .idle_timeout_s = call->idle_timeout_s > 0 ? call->idle_timeout_s : IDLE_TIMEOUT_S,
    .method = call->method != NULL ? call->method
              : call->body != NULL ? "POST"
                                   : "GET",
    .path = call->path,
    .headers = call->headers,
    .body = call->body,
    .body_length = call->body_length,
  };
  int64_t start_us = g_get_monotonic_time ();
  struct sr_exchange *exchange;

  if (call->body != NULL && call->body_length == 0)
    options.body_length = strlen (call->body);
  reply->body = g_string_new (NULL);
  exchange = sr_exchange_new (&options);
  if (exchange != NULL && sr_exchange_begin (exchange) == SR_EXCHANGE_OK)
    {
      reply->status = sr_exchange_http_status (exchange);
      reply->request_id = g_strdup (sr_exchange_header (exchange, "X-Request-Id"));
      reply->retry_after = g_strdup (sr_exchange_header (exchange, "Retry-After"));
      read_body_ (exchange, call, reply, start_us);
    }
  reply->connected = exchange != NULL && sr_exchange_was_connected (exchange);
  reply->total_us = g_get_monotonic_time () - start_us;
  sr_exchange_delete (exchange);
  return reply;
}

/* Accepts NULL. */
void
harness_reply_free (struct harness_http_response *reply)
{
  if (reply == NULL)
    return;
  g_string_free (reply->body, TRUE);
  g_free (reply->request_id);
  g_free (reply->retry_after);
  g_free (reply);
}

/* Parses the body as JSON; NULL when it is invalid. The caller owns the result. */
json_t *
harness_reply_json (const struct harness_http_response *reply)
{
  return json_loadb (reply->body->str, reply->body->len, JSON_DECODE_ANY, NULL);
}

/* Gets a JSON document; NULL unless the status is 200. The caller owns the result. */
json_t *
harness_get_json (const char *address, unsigned port, const char *path)
{
  struct harness_call call = { .address = address, .port = port, .path = path };
  struct harness_http_response *reply = harness_call (&call);
  json_t *json = reply->status == 200 && reply->complete ? harness_reply_json (reply) : NULL;

  harness_reply_free (reply);
  return json;
}

/* Sends a POST without a body, such as a control call of a stand-in; true when the status is 200.
 */
bool
harness_post (const char *address, unsigned port, const char *path)
{
  struct harness_call call = { .address = address, .port = port, .path = path, .method = "POST" };
  struct harness_http_response *reply = harness_call (&call);
  bool done = reply->status == 200;

  harness_reply_free (reply);
  return done;
}

/* The number at PATH, such as "a.b.c" for nested members; 0 when there is none. */
int64_t
harness_json_number (const json_t *root, const char *path)
{
  return json_integer_value (look_up_ (root, path));
}

/* The string at PATH, valid as long as ROOT; "" when there is none. */
const char *
harness_json_text (const json_t *root, const char *path)
{
  const char *text = json_string_value (look_up_ (root, path));

  return text != NULL ? text : "";
}

static void
read_body_ (struct sr_exchange *exchange,
            const struct harness_call *call,
            struct harness_http_response *reply,
            int64_t start_us)
{
  char block[BLOCK_BYTES];
  size_t length = 0;

  do
    {
      if (sr_exchange_read (exchange, block, sizeof block, &length) != SR_EXCHANGE_OK)
        return;
      if (length > 0 && reply->first_byte_us == 0)
        reply->first_byte_us = g_get_monotonic_time () - start_us;
      g_string_append_len (reply->body, block, (gssize)length);
      if (call->on_body_part != NULL && length > 0
          && !call->on_body_part (call->data, block, length))
        return;
    }
  while (length > 0);
  reply->complete = sr_exchange_check_complete (exchange) == SR_EXCHANGE_OK;
}

static const json_t *
look_up_ (const json_t *root, const char *path)
{
  char **keys = g_strsplit (path, ".", -1);
  const json_t *value = root;

  for (unsigned i = 0; value != NULL && keys[i] != NULL; i++)
    value = json_object_get (value, keys[i]);
  g_strfreev (keys);
  return value;
}
