/* Stand-in of a model engine: streams tokens at a fixed rate; the text is a function of the prompt.
 */
#include "emulator/common/server.h"
#include "emulator/common/text.h"
#include "emulator/engine/engine.h"

#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  RESPONSE_BLOCK_BYTES = 1024,
  QUEUE_MAX_DEFAULT = 256,
  PREFIXES_DEFAULT = 16384
};

/* A response being sent; LINE is the current line, SENT the bytes of it already sent. */
struct stream_
{
  struct engine_run *run;
  struct standin_request *request;
  GString *line;
  size_t sent;
  bool ended;
};

static enum MHD_Result handle_ (struct standin_request *request, void *data);
static enum MHD_Result generate_ (struct engine *engine, struct standin_request *request);
static bool parse_call_ (json_t *body, struct engine_call *call);
static enum MHD_Result refuse_ (struct standin_request *request, enum engine_verdict verdict);
static enum MHD_Result stream_ (struct engine_run *run, struct standin_request *request);
static ssize_t read_stream_ (void *data, uint64_t position, char *buffer, size_t size);
static bool format_next_line_ (struct stream_ *stream);
static void free_stream_ (void *data);
static enum MHD_Result cancel_ (struct engine *engine, struct standin_request *request);
static enum MHD_Result control_ (struct engine *engine, struct standin_request *request);
static GPtrArray *split_models_ (const char *list);

int
main (int argc, char **argv)
{
  struct arg_str *address = arg_str1 (NULL, "address", "IP", "address to listen on");
  struct arg_int *port = arg_int1 (NULL, "port", "PORT", "port to listen on");
  struct arg_str *name = arg_str1 (NULL, "name", "NAME", "name of the engine");
  struct arg_str *models = arg_str1 (NULL, "models", "M1,M2", "models it serves");
  struct arg_int *slots = arg_int1 (NULL, "slots", "S", "requests that run at once");
  struct arg_int *queue = arg_int0 (NULL, "queue", "Q", "requests that wait at most");
  struct arg_int *pace = arg_int1 (NULL, "pace-ms", "T", "time between tokens");
  struct arg_int *prefill = arg_int0 (NULL, "prefill-us-per-token", "U", "time per prompt token");
  struct arg_int *prefixes = arg_int0 (NULL, "prefixes", "N", "prefixes kept in the cache");
  struct arg_int *lag = arg_int0 (NULL, "load-lag-ms", "L", "age of the load reported");
  struct arg_lit *fence = arg_lit0 (NULL, "fence", "refuse old fencing numbers");
  struct arg_int *seed = arg_int0 (NULL, "seed", "S", "seed of random choices");
  struct arg_end *end = arg_end (8);
  void *table[] = { address, port,     name, models, slots, queue, pace,
                    prefill, prefixes, lag,  fence,  seed,  end };
  struct engine_options engine_options;
  struct standin_server_options options;

  queue->ival[0] = QUEUE_MAX_DEFAULT;
  prefixes->ival[0] = PREFIXES_DEFAULT;
  if (!standin_arguments_parse (argc, argv, table))
    return 2;
  engine_options = (struct engine_options){
    .models = split_models_ (models->sval[0]),
    .slots = slots->ival[0],
    .queue_max = queue->ival[0],
    .token_interval_us = (int64_t)pace->ival[0] * US_PER_MS,
    .prefill_us_per_token = prefill->count > 0 ? prefill->ival[0] : 0,
    .load_lag_us = lag->count > 0 ? (int64_t)lag->ival[0] * US_PER_MS : 0,
    .prefix_capacity = (unsigned)prefixes->ival[0],
    .checks_fence = fence->count > 0,
  };
  options = (struct standin_server_options){ .address = address->sval[0],
                                             .port = (unsigned)port->ival[0],
                                             .handle = handle_,
                                             .data = engine_new (&engine_options) };
  return standin_server_run (&options);
}

static enum MHD_Result
handle_ (struct standin_request *request, void *data)
{
  struct engine *engine = data;

  if (standin_request_is (request, "POST", "/v1/generate"))
    return generate_ (engine, request);
  if (standin_request_is (request, "POST", "/v1/cancel"))
    return cancel_ (engine, request);
  if (standin_request_is (request, "GET", "/v1/load"))
    return standin_reply_json (request, MHD_HTTP_OK, engine_load (engine));
  return control_ (engine, request);
}

static enum MHD_Result
generate_ (struct engine *engine, struct standin_request *request)
{
  json_t *body = json_loadb (request->body->str, request->body->len, 0, NULL);
  struct engine_call call = { 0 };
  struct engine_run *run = NULL;
  enum engine_verdict verdict = ENGINE_ADMITTED;
  bool valid = body != NULL && parse_call_ (body, &call);

  if (valid)
    verdict = engine_admit (engine, &call, &run);
  json_decref (body);
  if (!valid)
    return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "body");
  if (verdict != ENGINE_ADMITTED)
    return refuse_ (request, verdict);
  if (!engine_run_start (run, request))
    {
      engine_run_finish (run);
      return MHD_NO;
    }
  return stream_ (run, request);
}

/* Decodes a call from BODY, which owns the strings. Returns false when it is invalid. */
static bool
parse_call_ (json_t *body, struct engine_call *call)
{
  json_int_t max_tokens, offset = 0, priority = 0, fence = 0;

  if (json_unpack (body, "{s:s,s:s,s:s,s:s%,s:I,s?I,s?I,s?I}", "request", &call->request, "budget",
                   &call->budget, "model", &call->model, "prompt", &call->prompt,
                   &call->prompt_length, "max_tokens", &max_tokens, "offset", &offset, "priority",
                   &priority, "fence", &fence)
      != 0)
    return false;
  call->max_tokens = max_tokens;
  call->offset = offset;
  call->priority = (int)priority;
  call->fence = fence;
  return max_tokens >= 0 && offset >= 0;
}

static enum MHD_Result
refuse_ (struct standin_request *request, enum engine_verdict verdict)
{
  switch (verdict)
    {
    case ENGINE_UNKNOWN_MODEL:
      return standin_reply_error (request, MHD_HTTP_NOT_FOUND, "model");
    case ENGINE_OLD_FENCE:
      return standin_reply_error (request, MHD_HTTP_CONFLICT, "fence");
    case ENGINE_CANCELLED:
      return standin_reply_error (request, MHD_HTTP_CONFLICT, "cancelled");
    case ENGINE_LOADING:
      return standin_reply_error (request, MHD_HTTP_SERVICE_UNAVAILABLE, "loading");
    default:
      return standin_reply_error (request, MHD_HTTP_TOO_MANY_REQUESTS, "full");
    }
}

/* Replies with a stream, which finishes the run when it is freed. */
static enum MHD_Result
stream_ (struct engine_run *run, struct standin_request *request)
{
  struct stream_ *stream = g_new0 (struct stream_, 1);
  struct MHD_Response *response;

  stream->run = run;
  stream->request = request;
  stream->line = g_string_new (NULL);
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, RESPONSE_BLOCK_BYTES,
                                                read_stream_, stream, free_stream_);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/x-ndjson");
  MHD_add_response_header (response, "X-Request", engine_run_request (run));
  return standin_send (request, MHD_HTTP_OK, response);
}

/* Copies the next bytes into BUFFER for libmicrohttpd; blocks until the next token is generated. */
static ssize_t
read_stream_ (void *data, uint64_t position, char *buffer, size_t size)
{
  struct stream_ *stream = data;
  size_t length;

  if (stream->sent == stream->line->len)
    {
      if (stream->ended)
        return MHD_CONTENT_READER_END_OF_STREAM;
      if (!format_next_line_ (stream))
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  length = MIN (size, stream->line->len - stream->sent);
  memcpy (buffer, stream->line->str + stream->sent, length);
  stream->sent += length;
  return (ssize_t)length;
}

/* Formats the next line of the response; returns false when the connection is to be closed. */
static bool
format_next_line_ (struct stream_ *stream)
{
  const GString *prompt = engine_run_prompt (stream->run);
  enum engine_step step = engine_run_step (stream->run, stream->request);
  int64_t index = engine_run_next_index (stream->run) - 1;
  json_t *end;
  char *text;

  stream->sent = 0;
  g_string_truncate (stream->line, 0);
  if (step == ENGINE_STEP_CUT)
    return false;
  if (step == ENGINE_STEP_TOKEN)
    {
      g_string_append_printf (stream->line, "{\"i\":%" G_GINT64_FORMAT ",\"t\":\"", index);
      standin_token_append (stream->line, prompt->str, prompt->len, index);
      g_string_append (stream->line, "\"}\n");
      return true;
    }
  end = engine_run_end (stream->run);
  text = json_dumps (end, JSON_COMPACT);
  g_string_append_printf (stream->line, "%s\n", text);
  free (text);
  json_decref (end);
  stream->ended = true;
  return true;
}

static void
free_stream_ (void *data)
{
  struct stream_ *stream = data;

  engine_run_finish (stream->run);
  g_string_free (stream->line, TRUE);
  g_free (stream);
}

static enum MHD_Result
cancel_ (struct engine *engine, struct standin_request *request)
{
  json_t *body = json_loadb (request->body->str, request->body->len, 0, NULL);
  const char *name = json_string_value (json_object_get (body, "request"));
  json_t *reply = name != NULL ? engine_cancel (engine, name) : NULL;

  json_decref (body);
  if (reply == NULL)
    return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "body");
  return standin_reply_json (request, MHD_HTTP_OK, reply);
}

static enum MHD_Result
control_ (struct engine *engine, struct standin_request *request)
{
  if (standin_request_is (request, "GET", "/control/ledger"))
    return standin_reply_json (request, MHD_HTTP_OK, engine_ledger (engine));
  if (standin_request_is (request, "POST", "/control/fault"))
    {
      if (!engine_set_fault (engine, standin_query (request, "mode"),
                             standin_query_number (request, "after_tokens", 0),
                             standin_query_number (request, "count", 0)))
        return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "mode");
      return standin_reply_ok (request);
    }
  if (standin_request_is (request, "POST", "/control/pace"))
    {
      engine_set_token_interval (engine, standin_query_number (request, "ms", 0) * US_PER_MS);
      return standin_reply_ok (request);
    }
  if (standin_request_is (request, "POST", "/control/load"))
    {
      engine_report_no_load (engine, standin_query_number (request, "zero", 0) != 0);
      return standin_reply_ok (request);
    }
  return standin_reply_error (request, MHD_HTTP_NOT_FOUND, "path");
}

/* Returns the names in a comma-separated list. */
static GPtrArray *
split_models_ (const char *list)
{
  GPtrArray *models = g_ptr_array_new_with_free_func (g_free);
  char **names = g_strsplit (list, ",", -1);

  for (unsigned i = 0; names[i] != NULL; i++)
    g_ptr_array_add (models, names[i]);
  g_free (names);
  return models;
}
