#include "request/run.h"

enum
{
  ABANDON_GRACE_WITHOUT_KEY_US = 0,
  ABANDON_GRACE_WITH_KEY_US = 5000000,
  HTTP_OK = 200
};

struct waiting_listener
{
  sr_run_listener call;
  void *data;
};

struct sr_run
{
  int reference_count;
  struct sr_run_order *order;
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
  int64_t abandoned_us; /* when the last listener left; 0 while there is one */
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
  { "bad_json", "the body is not a JSON object", 400 },
  { "bad_field", "a field of the body is missing, of the wrong type or out of range", 400 },
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
  { "bill_not_placed", "no second place could take the bill", 504 },
};

/* The mutex stays locked, so that a listener that was dropped is never called. */
static void
wake_ (struct sr_run *run)
{
  for (guint i = 0; i < run->waiting->len; i++)
    {
      struct waiting_listener *entry = &g_array_index (run->waiting, struct waiting_listener, i);

      entry->call (entry->data);
    }
  g_array_set_size (run->waiting, 0);
}
