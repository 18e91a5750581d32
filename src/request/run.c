#include "request/run.h"

enum
{
  /* Time without listeners after which a run is abandoned: only a caller that chose the id can
   * retry and join the run again. */
  ABANDON_GRACE_WITHOUT_KEY_US = 0,
  ABANDON_GRACE_WITH_KEY_US = 5000000,
  HTTP_OK = 200
};

struct waiting_listener
{
  sr_run_listener call;
  void *data;
  bool until_end; /* to be called only when the run has ended */
};

struct sr_run
{
  int reference_count;
  struct sr_run_params *params;
  struct sr_config *config;
  const struct sr_config_service *service;
  pthread_mutex_t mutex;
  enum sr_run_state state;
  GString *text;
  int64_t tokens;
  struct sr_run_result result;
  int64_t finished_us;
  GArray *waiting; /* struct waiting_listener */
  unsigned n_listeners;
  int64_t abandoned_us; /* when the last listener was removed; 0 while there is one */
};

struct error_description
{
  const char *code;
  const char *message;
  int http_status;
};

static const char *const state_strings[] = { "queued", "running", "done" };

static const struct error_description errors[] = {
  { "none", "", 200 },
  { "bad_json", "the body is not JSON", 400 },
  { "bad_field",
    "the body is no object, or a field of it is missing, of the wrong type or out of range", 400 },
  { "bad_header", "a header is malformed or missing", 400 },
  { "truncated", "the body ended before its length", 400 },
  { "bad_key", "no team has this key", 401 },
  { "no_budget", "the budget does not hold the upper bound of this request", 402 },
  { "budget_not_yours", "the budget belongs to another team", 403 },
  { "unknown_service", "there is no such service", 404 },
  { "unknown_request", "nothing is known of this request", 404 },
  { "key_reused", "the key was used before with another body", 409 },
  { "key_expired", "the day of the key is over, not yet come, or missing", 410 },
  { "too_large", "the body is too large", 413 },
  { "queue_full", "too many requests are waiting", 429 },
  { "deadline", "it can't be served before its deadline", 429 },
  { "backend_failed", "the backend server failed", 502 },
  { "platform_out", "the platform is out of reach", 503 },
  { "no_backend", "no backend server takes new work", 503 },
  { "stopping", "this instance is stopping", 503 },
  { "starting", "this instance has no configuration yet", 503 },
  { "timeout", "the answer did not come in time", 504 },
  { "in_progress", "the request is still being carried out", 409 },
  { "abandoned", "all its callers had gone", 504 },
  { "bill_not_placed", "no second place can take the bill", 503 },
};

static void notify_listeners_ (struct sr_run *run);

/* Creates a run of a request with PARAMS under CONFIG. Takes ownership of PARAMS and a reference
 * to CONFIG. The service in PARAMS must be in CONFIG unless it is a look-up. Returns the only
 * reference. */
struct sr_run *
sr_run_new (struct sr_run_params *params, struct sr_config *config)
{
  struct sr_run *run = g_new0 (struct sr_run, 1);

  run->reference_count = 1;
  run->params = params;
  run->config = sr_config_ref (config);
  run->service = params->service != NULL ? sr_config_service (config, params->service->str) : NULL;
  g_assert (params->is_look_up || run->service != NULL);
  pthread_mutex_init (&run->mutex, NULL);
  run->text = g_string_new (NULL);
  run->waiting = g_array_new (FALSE, FALSE, sizeof (struct waiting_listener));
  return run;
}

struct sr_run *
sr_run_ref (struct sr_run *run)
{
  g_atomic_int_inc (&run->reference_count);
  return run;
}

/* NULL is allowed. */
void
sr_run_unref (struct sr_run *run)
{
  if (run == NULL || !g_atomic_int_dec_and_test (&run->reference_count))
    return;
  sr_run_params_free (run->params);
  sr_config_unref (run->config);
  pthread_mutex_destroy (&run->mutex);
  g_string_free (run->text, TRUE);
  g_array_unref (run->waiting);
  g_free (run);
}

/* NULL is allowed. */
void
sr_run_params_free (struct sr_run_params *params)
{
  GString *strings[5];

  if (params == NULL)
    return;
  strings[0] = params->team;
  strings[1] = params->id;
  strings[2] = params->service;
  strings[3] = params->budget;
  strings[4] = params->text;
  for (size_t i = 0; i < G_N_ELEMENTS (strings); i++)
    {
      if (strings[i] != NULL)
        g_string_free (strings[i], TRUE);
    }
  g_free (params);
}

/* The result is immutable and owned by RUN. */
const struct sr_run_params *
sr_run_params (const struct sr_run *run)
{
  return run->params;
}

/* The result is owned by RUN; it is NULL for a look-up. */
const struct sr_config_service *
sr_run_service (const struct sr_run *run)
{
  return run->service;
}

enum sr_run_state
sr_run_state (struct sr_run *run)
{
  enum sr_run_state state;

  pthread_mutex_lock (&run->mutex);
  state = run->state;
  pthread_mutex_unlock (&run->mutex);
  return state;
}

/* Marks RUN, which must be queued, as taken out of the queue. */
void
sr_run_set_running (struct sr_run *run)
{
  pthread_mutex_lock (&run->mutex);
  g_assert (run->state == SR_RUN_QUEUED);
  run->state = SR_RUN_RUNNING;
  pthread_mutex_unlock (&run->mutex);
}

/* Appends LENGTH bytes of TEXT, which is whole UTF-8 characters and TOKENS whole tokens, to the
 * answer and calls the waiting listeners. */
void
sr_run_append (struct sr_run *run, const char *text, size_t length, unsigned tokens)
{
  pthread_mutex_lock (&run->mutex);
  g_assert (run->state != SR_RUN_DONE);
  g_string_append_len (run->text, text, (gssize)length);
  run->tokens += tokens;
  notify_listeners_ (run);
  pthread_mutex_unlock (&run->mutex);
}

/* Replaces the answer by TEXT, the JSON result of a plain service. Calls no listener. */
void
sr_run_set_result_text (struct sr_run *run, const char *text, size_t length)
{
  pthread_mutex_lock (&run->mutex);
  g_assert (run->state != SR_RUN_DONE);
  g_string_truncate (run->text, 0);
  g_string_append_len (run->text, text, (gssize)length);
  pthread_mutex_unlock (&run->mutex);
}

/* Ends RUN with RESULT and calls the waiting listeners. Call it once per run. */
void
sr_run_finish (struct sr_run *run, const struct sr_run_result *result)
{
  pthread_mutex_lock (&run->mutex);
  g_assert (run->state != SR_RUN_DONE);
  run->state = SR_RUN_DONE;
  run->result = *result;
  run->finished_us = g_get_monotonic_time ();
  notify_listeners_ (run);
  pthread_mutex_unlock (&run->mutex);
}

/* RUN must have ended. The result is immutable and owned by RUN. */
const struct sr_run_result *
sr_run_result (struct sr_run *run)
{
  g_assert (sr_run_state (run) == SR_RUN_DONE);
  return &run->result;
}

/* Returns the number of tokens of the answer so far. */
int64_t
sr_run_tokens (struct sr_run *run)
{
  int64_t tokens;

  pthread_mutex_lock (&run->mutex);
  tokens = run->tokens;
  pthread_mutex_unlock (&run->mutex);
  return tokens;
}

/* Returns when RUN ended (monotonic microseconds), or 0 if it has not. */
int64_t
sr_run_finished_us (struct sr_run *run)
{
  int64_t finished_us;

  pthread_mutex_lock (&run->mutex);
  finished_us = run->finished_us;
  pthread_mutex_unlock (&run->mutex);
  return finished_us;
}

/* Returns the length of the answer so far, in bytes. */
size_t
sr_run_text_length (struct sr_run *run)
{
  size_t length;

  pthread_mutex_lock (&run->mutex);
  length = run->text->len;
  pthread_mutex_unlock (&run->mutex);
  return length;
}

/* Appends to OUT the answer so far from byte OFFSET on. */
void
sr_run_copy_text (struct sr_run *run, size_t offset, GString *out)
{
  int64_t tokens;

  sr_run_copy_text_and_tokens (run, offset, out, &tokens);
}

/* Appends at most MAX_BYTES (at least 4) of the answer from byte OFFSET on to OUT, without
 * splitting a UTF-8 character. */
void
sr_run_copy_text_bounded (struct sr_run *run, size_t offset, size_t max_bytes, GString *out)
{
  size_t length;

  pthread_mutex_lock (&run->mutex);
  length = run->text->len - MIN (offset, run->text->len);
  if (length > max_bytes)
    for (length = max_bytes; length > 0 && (run->text->str[offset + length] & 0xc0) == 0x80;)
      length--;
  if (length > 0)
    g_string_append_len (out, run->text->str + offset, (gssize)length);
  pthread_mutex_unlock (&run->mutex);
}

/* Like sr_run_copy_text, and sets *TOKENS to the number of tokens of the whole answer at that
 * moment. */
void
sr_run_copy_text_and_tokens (struct sr_run *run, size_t offset, GString *out, int64_t *tokens)
{
  pthread_mutex_lock (&run->mutex);
  if (offset < run->text->len)
    g_string_append_len (out, run->text->str + offset, (gssize)(run->text->len - offset));
  *tokens = run->tokens;
  pthread_mutex_unlock (&run->mutex);
}

/* Returns true when RUN has ended or, unless UNTIL_END, has text beyond OFFSET. Otherwise returns
 * false and calls LISTENER with DATA once, as soon as that is the case. */
bool
sr_run_wait_for_more (
    struct sr_run *run, size_t offset, bool until_end, sr_run_listener listener, void *data)
{
  struct waiting_listener entry = { .call = listener, .data = data, .until_end = until_end };
  bool ready;

  pthread_mutex_lock (&run->mutex);
  ready = run->state == SR_RUN_DONE || (!until_end && run->text->len > offset);
  if (!ready)
    g_array_append_val (run->waiting, entry);
  pthread_mutex_unlock (&run->mutex);
  return ready;
}

/* Registers a caller that wants the answer; a run without listeners is abandoned. */
void
sr_run_add_listener (struct sr_run *run)
{
  pthread_mutex_lock (&run->mutex);
  run->n_listeners++;
  run->abandoned_us = 0;
  pthread_mutex_unlock (&run->mutex);
}

/* Undoes one sr_run_add_listener. Listeners waiting with DATA will not be called after this
 * returns. */
void
sr_run_remove_listener (struct sr_run *run, void *data)
{
  pthread_mutex_lock (&run->mutex);
  g_assert (run->n_listeners > 0);
  run->n_listeners--;
  if (run->n_listeners == 0)
    run->abandoned_us = g_get_monotonic_time ();
  for (guint i = run->waiting->len; i > 0; i--)
    {
      if (g_array_index (run->waiting, struct waiting_listener, i - 1).data == data)
        g_array_remove_index_fast (run->waiting, i - 1);
    }
  pthread_mutex_unlock (&run->mutex);
}

/* Returns whether RUN has had no listeners for longer than the grace period. */
bool
sr_run_is_abandoned (struct sr_run *run, int64_t now_us)
{
  int64_t grace_us
      = run->params->id_is_from_caller ? ABANDON_GRACE_WITH_KEY_US : ABANDON_GRACE_WITHOUT_KEY_US;
  bool abandoned;

  pthread_mutex_lock (&run->mutex);
  abandoned = run->abandoned_us != 0 && now_us - run->abandoned_us >= grace_us;
  pthread_mutex_unlock (&run->mutex);
  return abandoned;
}

/* Returns the outcome to report for a request that this instance has not run: not run, or unknown
 * when an earlier attempt, here or at another instance, may have run it. */
enum sr_outcome
sr_run_refusal_outcome (const struct sr_run_params *params)
{
  if (params->id_is_from_caller && !params->is_first_attempt)
    return SR_OUTCOME_UNKNOWN;
  return SR_OUTCOME_NOT_RUN;
}

const char *
sr_run_state_to_string (enum sr_run_state state)
{
  g_assert ((size_t)state < G_N_ELEMENTS (state_strings));
  return state_strings[state];
}

/* Returns the code of ERROR in replies. */
const char *
sr_error_code (enum sr_error error)
{
  g_assert ((size_t)error < G_N_ELEMENTS (errors));
  return errors[error].code;
}

/* Returns the human-readable message of ERROR in replies. */
const char *
sr_error_message (enum sr_error error)
{
  g_assert ((size_t)error < G_N_ELEMENTS (errors));
  return errors[error].message;
}

int
sr_error_http_status (enum sr_error error)
{
  g_assert ((size_t)error < G_N_ELEMENTS (errors));
  return errors[error].http_status;
}

/* Calls and removes the waiting listeners whose condition is met. The mutex stays locked meanwhile,
 * so that no listener is called after sr_run_remove_listener has returned. */
static void
notify_listeners_ (struct sr_run *run)
{
  for (guint i = run->waiting->len; i > 0; i--)
    {
      struct waiting_listener entry = g_array_index (run->waiting, struct waiting_listener, i - 1);

      if (entry.until_end && run->state != SR_RUN_DONE)
        continue;
      g_array_remove_index_fast (run->waiting, i - 1);
      entry.call (entry.data);
    }
}
