#include "testing/harness/caller.h"

#include "emulator/common/text.h"

#include <string.h>

enum
{
  HEADERS_MAX = 16,
  HTTP_OK = 200
};

static const char *const verdict_names[]
    = { "answered", "refused", "unknown", "aborted", "unreachable", "wrong" };

/* Text and final line of a response, collected from its lines. */
struct parsed_response
{
  GString *text;
  json_t *end;
  unsigned pieces;
};

static char *make_body_ (const struct harness_ask *ask);
static bool parse_response_ (const struct harness_ask *ask,
                             const struct harness_reply *reply,
                             struct parsed_response *parsed);
static bool is_expected_ (const struct harness_ask *ask, const struct parsed_response *parsed);
static void parse_error_ (const struct harness_reply *reply, struct harness_answer *answer);

/* Sends the request ASK and returns the unchecked response; the caller frees it. */
struct harness_reply *
harness_ask_raw (const struct harness_ask *ask)
{
  g_autofree char *path = g_strdup_printf ("/v1/services/%s", ask->service);
  g_autofree char *key = g_strdup_printf ("Bearer key-%u", ask->team);
  g_autofree char *deadline = g_strdup_printf ("%" G_GINT64_FORMAT, ask->deadline_ms);
  g_autofree char *body = ask->body != NULL ? g_strdup (ask->body) : make_body_ (ask);
  const char *optional[][2] = { { "Idempotency-Key", ask->key },
                                { "X-Attempt", ask->first_attempt ? "1" : NULL },
                                { "X-Budget", ask->budget },
                                { "X-Priority", ask->priority },
                                { "X-Deadline-Ms", ask->deadline_ms > 0 ? deadline : NULL } };
  const char *headers[HEADERS_MAX] = { "Authorization", key };
  struct harness_call call = { .address = ask->address,
                               .port = ask->port,
                               .source = ask->source,
                               .path = path,
                               .headers = headers,
                               .body = body,
                               .piece = ask->piece,
                               .data = ask->data };
  unsigned used = 2;

  for (unsigned i = 0; i < G_N_ELEMENTS (optional); i++)
    if (optional[i][1] != NULL)
      {
        headers[used++] = optional[i][0];
        headers[used++] = optional[i][1];
      }
  return harness_call (&call);
}

/* Sends the request ASK and compares every byte of the response with the expected one. */
struct harness_answer
harness_ask (const struct harness_ask *ask)
{
  struct harness_reply *reply = harness_ask_raw (ask);
  struct harness_answer answer = harness_judge (ask, reply);

  harness_reply_free (reply);
  return answer;
}

/* Classifies a response. For a model service, its text must be what the engine stand-in generates
 * for the prompt; for a plain service, it must echo the request body. */
struct harness_answer
harness_judge (const struct harness_ask *ask, const struct harness_reply *reply)
{
  struct harness_answer answer = { .verdict = HARNESS_WRONG,
                                   .status = reply->status,
                                   .first_byte_us = reply->first_byte_us,
                                   .total_us = reply->total_us };
  struct parsed_response parsed = { .text = g_string_new (NULL) };

  if (reply->status == 0)
    answer.verdict = HARNESS_UNREACHABLE;
  else if (!reply->whole)
    answer.verdict = HARNESS_ABORTED;
  else if (reply->status != HTTP_OK)
    parse_error_ (reply, &answer);
  else if (parse_response_ (ask, reply, &parsed))
    {
      if (is_expected_ (ask, &parsed))
        answer.verdict = HARNESS_ANSWERED;
      answer.prompt_tokens = harness_json_number (parsed.end, "prompt_tokens");
      answer.output_tokens = harness_json_number (parsed.end, "output_tokens");
      answer.billed_tokens = harness_json_number (parsed.end, "billed_tokens");
      g_strlcpy (answer.request, harness_json_text (parsed.end, "request"), sizeof answer.request);
    }
  answer.pieces = parsed.pieces;
  g_string_free (parsed.text, TRUE);
  json_decref (parsed.end);
  return answer;
}

const char *
harness_verdict_to_string (enum harness_verdict verdict)
{
  return verdict_names[verdict];
}

static char *
make_body_ (const struct harness_ask *ask)
{
  json_t *body = json_pack ("{s:s,s:I,s:b}", "prompt", ask->prompt, "max_tokens",
                            (json_int_t)ask->max_tokens, "stream", (int)ask->stream);
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  return text;
}

/* Parses a response; false when it is malformed or truncated. */
static bool
parse_response_ (const struct harness_ask *ask,
                 const struct harness_reply *reply,
                 struct parsed_response *parsed)
{
  char **lines;
  bool valid = true;

  if (!ask->stream)
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
is_expected_ (const struct harness_ask *ask, const struct parsed_response *parsed)
{
  bool right = strcmp (harness_json_text (parsed->end, "outcome"), "answered") == 0;

  if (ask->prompt != NULL)
    {
      GString *expected = standin_answer_text (ask->prompt, strlen (ask->prompt), ask->max_tokens);

      right = right && g_string_equal (expected, parsed->text);
      g_string_free (expected, TRUE);
    }
  else
    {
      const json_t *result = json_object_get (parsed->end, "result");
      json_t *sent = json_loads (ask->body, 0, NULL);

      right = right && json_equal (sent, json_object_get (result, "echo"));
      json_decref (sent);
    }
  if (ask->key != NULL)
    right = right && strcmp (harness_json_text (parsed->end, "request"), ask->key) == 0;
  return right;
}

static void
parse_error_ (const struct harness_reply *reply, struct harness_answer *answer)
{
  json_t *body = harness_reply_json (reply);
  const char *outcome = harness_json_text (body, "outcome");

  g_strlcpy (answer->code, harness_json_text (body, "error.code"), sizeof answer->code);
  g_strlcpy (answer->request, harness_json_text (body, "request"), sizeof answer->request);
  if (strcmp (outcome, "not run") == 0)
    answer->verdict = HARNESS_REFUSED;
  else if (strcmp (outcome, "unknown") == 0)
    answer->verdict = HARNESS_UNKNOWN;
  json_decref (body);
}
