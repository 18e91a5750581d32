#include "entry/raw-request.h"

#include <errno.h>
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

enum
{
  REQUEST_ID_MAX_BYTES = 128,
  DEADLINE_MAX_MS = 3600 * 1000,
  US_PER_MS = 1000
};

static const char bearer_prefix[] = "Bearer ";
static const char *const priority_names[] = { "interactive", "normal", "batch" };

static enum sr_error read_headers_ (const struct sr_raw_request *request,
                                    const struct sr_raw_request_options *options,
                                    struct sr_run_params *params);
static enum sr_error read_budget_ (const struct sr_raw_request *request,
                                   const struct sr_config_team *team,
                                   struct sr_run_params *params);
static enum sr_error read_body_ (const struct sr_raw_request *request,
                                 const struct sr_config_service *service,
                                 struct sr_run_params *params,
                                 bool *stream);
static enum sr_error read_model_body_ (const json_t *root,
                                       const struct sr_config_service *service,
                                       struct sr_run_params *params,
                                       bool *stream);
static bool read_priority_ (const char *text, enum sr_priority *priority);
static void set_fingerprint_ (const struct sr_raw_request *request, struct sr_run_params *params);

/* Validates REQUEST against the configuration. On SR_ERROR_NONE the caller owns *PARAMS, and
 * *STREAM is set to whether the reply is to be streamed. On any other value *PARAMS is NULL. */
enum sr_error
sr_raw_request_parse (const struct sr_raw_request *request,
                      const struct sr_raw_request_options *options,
                      struct sr_run_params **params,
                      bool *stream)
{
  const struct sr_config_service *service = sr_config_service (options->config, request->service);
  const struct sr_config_team *team = NULL;
  struct sr_run_params *parsed = NULL;
  enum sr_error error;

  *params = NULL;
  *stream = false;
  error = sr_authorized_team (options->config, request->authorization, &team);
  if (error != SR_ERROR_NONE)
    return error;
  if (service == NULL)
    return SR_ERROR_UNKNOWN_SERVICE;
  parsed = g_new0 (struct sr_run_params, 1);
  parsed->team = g_string_new (team->name->str);
  parsed->team_weight = team->weight;
  parsed->service = g_string_new (service->name->str);
  error = read_headers_ (request, options, parsed);
  if (error != SR_ERROR_NONE)
    goto fail;
  if (service->kind == SR_SERVICE_PLAIN && !service->repeatable && !parsed->id_is_from_caller)
    {
      error = SR_ERROR_BAD_HEADER;
      goto fail;
    }
  error = read_budget_ (request, team, parsed);
  if (error != SR_ERROR_NONE)
    goto fail;
  error = read_body_ (request, service, parsed, stream);
  if (error != SR_ERROR_NONE)
    goto fail;
  set_fingerprint_ (request, parsed);
  *params = parsed;
  return SR_ERROR_NONE;

fail:
  sr_run_params_free (parsed);
  return error;
}

/* Finds the team by the key in AUTHORIZATION, the value of that header (NULL: absent). CONFIG owns
 * *TEAM. Returns SR_ERROR_BAD_KEY when there is none. */
enum sr_error
sr_authorized_team (struct sr_config *config,
                    const char *authorization,
                    const struct sr_config_team **team)
{
  const char *key;

  if (authorization == NULL || !g_str_has_prefix (authorization, bearer_prefix))
    return SR_ERROR_BAD_KEY;
  key = authorization + strlen (bearer_prefix);
  *team = sr_config_team_by_key (config, key, strlen (key));
  return *team != NULL ? SR_ERROR_NONE : SR_ERROR_BAD_KEY;
}

/* Returns whether ID has the form of a request id: 1 to 128 bytes of [A-Za-z0-9._:-]. */
bool
sr_request_id_is_valid (const char *id)
{
  size_t length = strlen (id);

  if (length == 0 || length > REQUEST_ID_MAX_BYTES)
    return false;
  for (size_t i = 0; i < length; i++)
    {
      if (!g_ascii_isalnum (id[i]) && strchr ("._:-", id[i]) == NULL)
        return false;
    }
  return true;
}

static enum sr_error
read_headers_ (const struct sr_raw_request *request,
               const struct sr_raw_request_options *options,
               struct sr_run_params *params)
{
  gint64 deadline_ms = options->default_deadline_ms;

  params->id_is_from_caller = request->idempotency_key != NULL;
  if (params->id_is_from_caller && !sr_request_id_is_valid (request->idempotency_key))
    return SR_ERROR_BAD_HEADER;
  params->id
      = g_string_new (params->id_is_from_caller ? request->idempotency_key : options->generated_id);
  if (request->deadline_ms != NULL
      && !g_ascii_string_to_signed (request->deadline_ms, 10, 1, DEADLINE_MAX_MS, &deadline_ms,
                                    NULL))
    return SR_ERROR_BAD_HEADER;
  params->deadline_us = options->now_us + deadline_ms * US_PER_MS;
  params->is_first_attempt = request->attempt != NULL && strcmp (request->attempt, "1") == 0;
  params->priority = SR_PRIORITY_NORMAL;
  if (request->priority != NULL && !read_priority_ (request->priority, &params->priority))
    return SR_ERROR_BAD_HEADER;
  return SR_ERROR_NONE;
}

static enum sr_error
read_budget_ (const struct sr_raw_request *request,
              const struct sr_config_team *team,
              struct sr_run_params *params)
{
  const char *name = request->budget;

  if (name == NULL && team->budgets->len > 0)
    name = ((const GString *)team->budgets->pdata[0])->str;
  if (name == NULL || !sr_config_team_owns_budget (team, name))
    return SR_ERROR_BUDGET_NOT_YOURS;
  params->budget = g_string_new (name);
  return SR_ERROR_NONE;
}

static enum sr_error
read_body_ (const struct sr_raw_request *request,
            const struct sr_config_service *service,
            struct sr_run_params *params,
            bool *stream)
{
  json_t *root = json_loadb (request->body->str, request->body->len, JSON_REJECT_DUPLICATES, NULL);
  enum sr_error error = SR_ERROR_NONE;

  if (root == NULL)
    error = SR_ERROR_BAD_JSON;
  else if (!json_is_object (root))
    error = SR_ERROR_BAD_FIELD;
  else if (service->kind == SR_SERVICE_MODEL)
    error = read_model_body_ (root, service, params, stream);
  else
    params->text = g_string_new_len (request->body->str, (gssize)request->body->len);
  json_decref (root);
  return error;
}

static enum sr_error
read_model_body_ (const json_t *root,
                  const struct sr_config_service *service,
                  struct sr_run_params *params,
                  bool *stream)
{
  const json_t *prompt = json_object_get (root, "prompt");
  const json_t *max_tokens = json_object_get (root, "max_tokens");
  const json_t *streamed = json_object_get (root, "stream");

  if (!json_is_string (prompt))
    return SR_ERROR_BAD_FIELD;
  if (max_tokens != NULL && !json_is_integer (max_tokens))
    return SR_ERROR_BAD_FIELD;
  if (streamed != NULL && !json_is_boolean (streamed))
    return SR_ERROR_BAD_FIELD;
  params->max_tokens
      = max_tokens != NULL ? json_integer_value (max_tokens) : service->max_output_tokens;
  if (params->max_tokens < 1 || params->max_tokens > service->max_output_tokens)
    return SR_ERROR_BAD_FIELD;
  params->text = g_string_new_len (json_string_value (prompt), (gssize)json_string_length (prompt));
  *stream = json_is_true (streamed);
  return SR_ERROR_NONE;
}

static bool
read_priority_ (const char *text, enum sr_priority *priority)
{
  for (size_t i = 0; i < G_N_ELEMENTS (priority_names); i++)
    {
      if (strcmp (text, priority_names[i]) == 0)
        {
          *priority = (enum sr_priority)i;
          return true;
        }
    }
  return false;
}

/* Sets the fingerprint by which a reused idempotency key is detected: another service, budget or
 * body makes it another request. */
static void
set_fingerprint_ (const struct sr_raw_request *request, struct sr_run_params *params)
{
  XXH3_state_t *state = XXH3_createState ();
  XXH128_hash_t hash;

  XXH3_128bits_reset (state);
  XXH3_128bits_update (state, params->service->str, params->service->len + 1);
  XXH3_128bits_update (state, params->budget->str, params->budget->len + 1);
  XXH3_128bits_update (state, request->body->str, request->body->len);
  hash = XXH3_128bits_digest (state);
  XXH3_freeState (state);
  params->fingerprint[0] = hash.high64;
  params->fingerprint[1] = hash.low64;
}
