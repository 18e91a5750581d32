#include "testing/harness/caller.h"

#include "emulator/common/text.h"

#include <string.h>

enum
{
  HEADERS_MAX = 16,
  HTTP_OK = 200
};

static const char *const outcome_names[]
    = { "answered", "refused", "unknown", "aborted", "unreachable", "wrong" };

/* Text and final line of a response, collected from its lines. */
struct parsed_response
{
  GString *text;
  json_t *end;
  unsigned pieces;
};

static char *make_body_ (const struct harness_request *request);
static bool parse_response_ (const struct harness_request *request,
                             const struct harness_http_response *reply,
                             struct parsed_response *parsed);
static bool is_expected_ (const struct harness_request *request,
                          const struct parsed_response *parsed);
static void parse_error_ (const struct harness_http_response *reply, struct harness_result *answer);

/* Sends REQUEST and returns the unchecked response; the caller frees it. */
struct harness_http_response *
harness_send_raw (const struct harness_request *request)
{
  g_autofree char *path = g_strdup_printf ("/v1/services/%s", request->service);
  g_autofree char *key = g_strdup_printf ("Bearer key-%u", request->team);
  g_autofree char *deadline = g_strdup_printf ("%" G_GINT64_FORMAT, request->deadline_ms);
  g_autofree char *body = request->body != NULL ? g_strdup (request->body) : make_body_ (request);
  const char *optional[][2] = { { "Idempotency-Key", request->key },
                                { "X-Attempt", request->first_attempt ? "1" : NULL },
                                { "X-Budget", request->budget },
                                { "X-Priority", request->priority },
                                { "X-Deadline-Ms", request->deadline_ms > 0 ? deadline : NULL } };
  const char *headers[HEADERS_MAX] = { "Authorization", key };
  struct harness_call call = { .address = request->address,
                               .port = request->port,
                               .source = request->source,
                               .path = path,
                               .headers = headers,
                               .body = body,
                               .on_body_part = request->on_body_part,
                               .data = request->data };
  unsigned used = 2;

  for (unsigned i = 0; i < G_N_ELEMENTS (optional); i++)
    if (optional[i][1] != NULL)
      {
        headers[used++] = optional[i][0];
        headers[used++] = optional[i][1];
      }
  return harness_call (&call);
}

/* Sends REQUEST and compares every byte of the response with the expected one. */
struct harness_result
harness_send (const struct harness_request *request)
{
  struct harness_http_response *reply = harness_send_raw (request);
  struct harness_result answer = harness_classify (request, reply);

  harness_reply_free (reply);
  return answer;
}

/* Classifies a response. For a model service, its text must be what the engine stand-in generates
 * for the prompt; for a plain service, it must echo the request body. */
struct harness_result
harness_classify (const struct harness_request *request, const struct harness_http_response *reply)
{
  struct harness_result answer = { .outcome = HARNESS_WRONG,
                                   .status = reply->status,
                                   .first_byte_us = reply->first_byte_us,
                                   .total_us = reply->total_us };
  struct parsed_response parsed = { .text = g_string_new (NULL) };

  if (reply->status == 0)
    answer.outcome = HARNESS_UNREACHABLE;
  else if (!reply->complete)
    answer.outcome = HARNESS_TRUNCATED;
  else if (reply->status != HTTP_OK)
    parse_error_ (reply, &answer);
  else if (parse_response_ (request, reply, &parsed))
    {
      if (is_expected_ (request, &parsed))
        answer.outcome = HARNESS_COMPLETED;
      answer.prompt_tokens = harness_json_number (parsed.end, "prompt_tokens");
      answer.output_tokens = harness_json_number (parsed.end, "output_tokens");
      answer.billed_tokens = harness_json_number (parsed.end, "billed_tokens");
      g_strlcpy (answer.request_id, harness_json_text (parsed.end, "request"),
                 sizeof answer.request_id);
    }
  answer.stream_lines = parsed.pieces;
  g_string_free (parsed.text, TRUE);
  json_decref (parsed.end);
  return answer;
}

const char *
harness_outcome_to_string (enum harness_outcome outcome)
{
  return outcome_names[outcome];
}

static char *
make_body_ (const struct harness_request *request)
{
  json_t *body = json_pack ("{s:s,s:I,s:b}", "prompt", request->prompt, "max_tokens",
                            (json_int_t)request->max_tokens, "stream", (int)request->stream);
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  return text;
}

/* Parses a response; false when it is malformed or truncated. */
static bool
parse_response_ (const struct harness_request *request,
                 const struct harness_http_response *reply,
                 struct parsed_response *parsed)
{
  char **lines;
  bool valid = true;

  if (!request->stream)
    {
      parsed->end = harness_reply_json (reply);
      g_string_assign (parsed->text, harness_json_text (parsed->end, "text"));
      return json_is_object (parsed->end);
    }
  lines = g_strsplit (reply->body->str, "\n", -1);
  for (unsigned i = 0; valid && lines[i] != NULL && *lines[i] != '\0'; i++)
    {
      json_t *line = json_loads (lines[i], 0, NULL);
      const char *text = json_string_value (json_object_get (line, "t"));

      valid = json_is_object (line) && parsed->end == NULL;
      if (text != NULL)
        {
          g_string_append (parsed->text, text);
          parsed->pieces++;
          json_decref (line);
        }
      else
        {
          json_decref (parsed->end);
          parsed->end = line;
        }
    }
  g_strfreev (lines);
  return valid && parsed->end != NULL;
}

static bool
is_expected_ (const struct harness_request *request, const struct parsed_response *parsed)
{
  bool right = strcmp (harness_json_text (parsed->end, "outcome"), "answered") == 0;

  if (request->prompt != NULL)
    {
      GString *expected
          = standin_output_text (request->prompt, strlen (request->prompt), request->max_tokens);

      right = right && g_string_equal (expected, parsed->text);
      g_string_free (expected, TRUE);
    }
  else
    {
      const json_t *result = json_object_get (parsed->end, "result");
      json_t *sent = json_loads (request->body, 0, NULL);

      right = right && json_equal (sent, json_object_get (result, "echo"));
      json_decref (sent);
    }
  if (request->key != NULL)
    right = right && strcmp (harness_json_text (parsed->end, "request"), request->key) == 0;
  return right;
}

static void
parse_error_ (const struct harness_http_response *reply, struct harness_result *answer)
{
  json_t *body = harness_reply_json (reply);
  const char *outcome = harness_json_text (body, "outcome");

  g_strlcpy (answer->code, harness_json_text (body, "error.code"), sizeof answer->code);
  g_strlcpy (answer->request_id, harness_json_text (body, "request"), sizeof answer->request_id);
  if (strcmp (outcome, "not run") == 0)
    answer->outcome = HARNESS_REFUSED;
  else if (strcmp (outcome, "unknown") == 0)
    answer->outcome = HARNESS_UNKNOWN;
  json_decref (body);
}
