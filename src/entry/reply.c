#include "entry/reply.h"

#include <jansson.h>

static json_t *outcome_and_tokens_ (struct sr_run *run);
static char *dump_and_free_ (json_t *root);

/* Returns the body for a request that was not answered, to be freed with free. The fields of
 * RETRY_AFTER_MS and REQUEST are left out when these are 0 and NULL. */
char *
sr_reply_error (const char *request,
                enum sr_outcome outcome,
                enum sr_error error,
                int64_t retry_after_ms)
{
  json_t *root = json_object ();
  json_t *description = json_object ();

  json_object_set_new (description, "code", json_string (sr_error_code (error)));
  json_object_set_new (description, "message", json_string (sr_error_message (error)));
  if (request != NULL)
    json_object_set_new (root, "request", json_string (request));
  json_object_set_new (root, "outcome", json_string (sr_outcome_to_string (outcome)));
  json_object_set_new (root, "error", description);
  if (retry_after_ms > 0)
    json_object_set_new (root, "retry_after_ms", json_integer (retry_after_ms));
  return dump_and_free_ (root);
}

/* Returns the body with the complete answer of RUN, whose outcome must be SR_OUTCOME_ANSWERED, to
 * be freed with free. */
char *
sr_reply_answer (struct sr_run *run)
{
  const struct sr_config_service *service = sr_run_service (run);
  json_t *root = outcome_and_tokens_ (run);
  g_autoptr (GString) text = g_string_new (NULL);

  sr_run_copy_text (run, 0, text);
  if (service != NULL && service->kind == SR_SERVICE_MODEL)
    json_object_set_new (root, "text", json_stringn (text->str, text->len));
  else
    json_object_set_new (root, "result", json_loadb (text->str, text->len, JSON_DECODE_ANY, NULL));
  return dump_and_free_ (root);
}

/* Returns the body for a request that has not ended, to be freed with free. */
char *
sr_reply_in_progress (struct sr_run *run)
{
  json_t *root = json_object ();

  json_object_set_new (root, "request", json_string (sr_run_params (run)->id->str));
  json_object_set_new (root, "state", json_string (sr_run_state_to_string (sr_run_state (run))));
  return dump_and_free_ (root);
}

/* Appends the line of a streamed reply that carries TEXT to OUT. */
void
sr_reply_stream_text (const GString *text, GString *out)
{
  json_t *root = json_object ();
  char *line;

  json_object_set_new (root, "t", json_stringn (text->str, text->len));
  line = dump_and_free_ (root);
  g_string_append (out, line);
  g_string_append_c (out, '\n');
  free (line);
}

/* Appends the last line of RUN's streamed reply to OUT: its outcome and token counts. */
void
sr_reply_stream_end (struct sr_run *run, GString *out)
{
  char *line = dump_and_free_ (outcome_and_tokens_ (run));

  g_string_append (out, line);
  g_string_append_c (out, '\n');
  free (line);
}

static json_t *
outcome_and_tokens_ (struct sr_run *run)
{
  const struct sr_run_result *result = sr_run_result (run);
  json_t *root = json_object ();

  json_object_set_new (root, "request", json_string (sr_run_params (run)->id->str));
  json_object_set_new (root, "outcome", json_string (sr_outcome_to_string (result->outcome)));
  json_object_set_new (root, "prompt_tokens", json_integer (result->prompt_tokens));
  json_object_set_new (root, "output_tokens", json_integer (result->output_tokens));
  json_object_set_new (root, "billed_tokens", json_integer (result->billed_tokens));
  return root;
}

static char *
dump_and_free_ (json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT | JSON_PRESERVE_ORDER);

  g_assert (text != NULL);
  json_decref (root);
  return text;
}
