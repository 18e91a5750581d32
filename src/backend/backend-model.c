#include "backend/backend-private.h"

#include <string.h>

enum
{
  READ_BLOCK_BYTES = 4096,
  LINE_MAX_BYTES = 65536, /* of the response stream */
  HTTP_OK = 200
};

/* State of reading one streamed response, which is a JSON object on each line. */
struct response_stream
{
  const struct sr_backend_call *call;
  struct sr_backend_report *report;
  GString *line;      /* received part of the current line */
  int64_t next_index; /* of the next token expected */
  bool has_end_line;
};

static void call_ (const struct sr_backend_call *call, struct sr_backend_report *report);
static bool cancel_ (const struct sr_backend_call *call, int64_t *consumed_tokens);
static char *format_request_ (const struct sr_backend_call *call);
static enum sr_backend_status read_response_ (struct sr_exchange *exchange,
                                              struct response_stream *stream);
static enum sr_backend_status
parse_bytes_ (struct response_stream *stream, const char *bytes, size_t length);
static enum sr_backend_status parse_line_ (struct response_stream *stream);
static enum sr_backend_status parse_token_line_ (struct response_stream *stream,
                                                 const json_t *line);
static enum sr_backend_status parse_end_line_ (struct response_stream *stream, const json_t *line);
static bool read_cancel_response_ (struct sr_exchange *exchange, int64_t *consumed_tokens);

const struct sr_backend_kind sr_backend_model = { .call = call_, .cancel = cancel_ };

/* Implements the protocol of docs/PROTOCOLS.md, "Model engine". */
static void
call_ (const struct sr_backend_call *call, struct sr_backend_report *report)
{
  struct response_stream stream = { .call = call, .report = report, .next_index = call->offset };
  char *body = format_request_ (call);
  struct sr_exchange *exchange;
  enum sr_exchange_status status;

  *report = (struct sr_backend_report){ .running = -1, .waiting = -1 };
  exchange = sr_backend_post_ (call, "/v1/generate", body, strlen (body), NULL);
  if (exchange == NULL)
    {
      report->status = SR_BACKEND_NOT_SENT;
      goto done;
    }
  status = sr_exchange_begin (exchange);
  if (status != SR_EXCHANGE_OK)
    report->status = sr_backend_status_of_failure_ (exchange, status);
  else if (sr_exchange_http_status (exchange) != HTTP_OK)
    report->status = sr_backend_status_of_error_ (exchange);
  else
    report->status = read_response_ (exchange, &stream);

done:
  sr_exchange_delete (exchange);
  free (body);
}

static bool
cancel_ (const struct sr_backend_call *call, int64_t *consumed_tokens)
{
  json_t *root = json_pack ("{s:s}", "request", call->request);
  char *body = json_dumps (root, JSON_COMPACT);
  struct sr_exchange *exchange = sr_backend_post_ (call, "/v1/cancel", body, strlen (body), NULL);
  bool known = false;

  if (exchange != NULL && sr_exchange_begin (exchange) == SR_EXCHANGE_OK
      && sr_exchange_http_status (exchange) == HTTP_OK)
    known = read_cancel_response_ (exchange, consumed_tokens);
  sr_exchange_delete (exchange);
  free (body);
  json_decref (root);
  return known;
}

static char *
format_request_ (const struct sr_backend_call *call)
{
  json_t *root = json_object ();
  char *text;

  json_object_set_new (root, "request", json_string (call->request));
  json_object_set_new (root, "team", json_string (call->team));
  json_object_set_new (root, "budget", json_string (call->budget));
  json_object_set_new (root, "model", json_string (call->model));
  json_object_set_new (root, "version", json_string (call->version));
  json_object_set_new (root, "adapter", json_string (call->adapter));
  json_object_set_new (root, "prompt", json_stringn (call->text->str, call->text->len));
  json_object_set_new (root, "max_tokens", json_integer (call->max_tokens));
  json_object_set_new (root, "offset", json_integer (call->offset));
  json_object_set_new (root, "priority", json_integer (call->priority));
  if (call->fence > 0)
    json_object_set_new (root, "fence", json_integer (call->fence));
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  g_assert (text != NULL);
  return text;
}

static enum sr_backend_status
read_response_ (struct sr_exchange *exchange, struct response_stream *stream)
{
  const char *echoed_request = sr_exchange_header (exchange, "X-Request");
  enum sr_backend_status status = SR_BACKEND_ANSWERED;
  char buffer[READ_BLOCK_BYTES];
  size_t length = 1;

  if (echoed_request == NULL || strcmp (echoed_request, stream->call->request) != 0)
    return SR_BACKEND_FAILED;
  stream->line = g_string_new (NULL);
  while (status == SR_BACKEND_ANSWERED && length > 0)
    {
      int64_t read_start_us = g_get_monotonic_time ();

      if (sr_exchange_read (exchange, buffer, sizeof buffer, &length) == SR_EXCHANGE_OK)
        status = parse_bytes_ (stream, buffer, length);
      else if (g_get_monotonic_time () - read_start_us
               >= stream->call->idle_timeout_s * G_USEC_PER_SEC)
        status = SR_BACKEND_TIMEOUT;
      else
        status = SR_BACKEND_FAILED;
    }
  if (status == SR_BACKEND_ANSWERED
      && (!stream->has_end_line || sr_exchange_check_complete (exchange) != SR_EXCHANGE_OK))
    status = SR_BACKEND_FAILED;
  g_string_free (stream->line, TRUE);
  return status;
}

/* Returns SR_BACKEND_ANSWERED as long as the stream is valid, like the functions below. */
static enum sr_backend_status
parse_bytes_ (struct response_stream *stream, const char *bytes, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      enum sr_backend_status status;

      if (bytes[i] != '\n')
        {
          g_string_append_c (stream->line, bytes[i]);
          if (stream->line->len > LINE_MAX_BYTES)
            return SR_BACKEND_FAILED;
          continue;
        }
      status = parse_line_ (stream);
      g_string_truncate (stream->line, 0);
      if (status != SR_BACKEND_ANSWERED)
        return status;
    }
  return SR_BACKEND_ANSWERED;
}

static enum sr_backend_status
parse_line_ (struct response_stream *stream)
{
  json_t *line = json_loadb (stream->line->str, stream->line->len, 0, NULL);
  enum sr_backend_status status;

  if (stream->has_end_line || !json_is_object (line))
    status = SR_BACKEND_FAILED;
  else if (json_is_true (json_object_get (line, "end")))
    status = parse_end_line_ (stream, line);
  else
    status = parse_token_line_ (stream, line);
  json_decref (line);
  return status;
}

static enum sr_backend_status
parse_token_line_ (struct response_stream *stream, const json_t *line)
{
  const json_t *index = json_object_get (line, "i");
  const json_t *text = json_object_get (line, "t");

  if (!json_is_integer (index) || json_integer_value (index) != stream->next_index
      || !json_is_string (text))
    return SR_BACKEND_FAILED;
  if (stream->report->first_byte_us == 0)
    stream->report->first_byte_us = g_get_monotonic_time ();
  stream->next_index++;
  if (!stream->call->sink (stream->call->sink_data, json_string_value (text),
                           json_string_length (text)))
    return SR_BACKEND_STOPPED;
  return SR_BACKEND_ANSWERED;
}

static enum sr_backend_status
parse_end_line_ (struct response_stream *stream, const json_t *line)
{
  const char *request = json_string_value (json_object_get (line, "request"));
  const json_t *prompt_tokens = json_object_get (line, "prompt_tokens");
  const json_t *output_tokens = json_object_get (line, "output_tokens");

  if (request == NULL || strcmp (request, stream->call->request) != 0)
    return SR_BACKEND_FAILED;
  if (!json_is_integer (prompt_tokens) || !json_is_integer (output_tokens))
    return SR_BACKEND_FAILED;
  if (json_integer_value (output_tokens) != stream->next_index - stream->call->offset)
    return SR_BACKEND_FAILED;
  stream->report->prompt_tokens = json_integer_value (prompt_tokens);
  stream->report->output_tokens = json_integer_value (output_tokens);
  sr_backend_read_load_ (line, stream->report);
  stream->has_end_line = true;
  return SR_BACKEND_ANSWERED;
}

static bool
read_cancel_response_ (struct sr_exchange *exchange, int64_t *consumed_tokens)
{
  g_autoptr (GString) body = g_string_new (NULL);
  const char *state;
  json_t *root;
  bool known;

  if (sr_exchange_read_all (exchange, body, SR_BACKEND_BODY_MAX_BYTES) != SR_EXCHANGE_OK)
    return false;
  root = json_loadb (body->str, body->len, 0, NULL);
  state = json_string_value (json_object_get (root, "state"));
  /* A server that does not know the request may still receive it, because its bytes can be in
   * transit: only in these two states is the consumption final. */
  known = state != NULL && (strcmp (state, "cancelled") == 0 || strcmp (state, "finished") == 0);
  if (known)
    *consumed_tokens = json_integer_value (json_object_get (root, "prompt_tokens"))
                       + json_integer_value (json_object_get (root, "output_tokens"));
  json_decref (root);
  return known;
}
