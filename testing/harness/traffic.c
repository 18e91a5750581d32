#include "testing/harness/traffic.h"

#include "base/thread.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  US_PER_S = 1000000,
  STACK_BYTES = 256 * 1024,
  PERCENT = 100,
  SEED_MULTIPLIER = 0x9e3779b9, /* odd, so that request numbers give distinct seeds */
  ADDRESS_BYTES = 32
};

struct traffic
{
  const struct traffic_options *options;
  struct traffic_result *result;
  _Atomic int64_t next;
  int64_t start_us;
  pthread_mutex_t mutex; /* protects result */
};

/* Parameters of one request of the mix, determined by the seed and the request's number. */
struct request_plan
{
  unsigned target;
  unsigned team;
  const char *priority;
  bool stream;
  GString *prompt;
  unsigned tokens;
};

/* Arrival times of the lines of one streamed response. */
struct stream_timing
{
  struct traffic *traffic;
  int64_t due_us;
  int64_t last_us;
  bool interactive;
};

static void *run_caller_ (void *data);
static bool wait_until_due_ (struct traffic *traffic, int64_t number, int64_t *due_us);
static struct request_plan plan_request_ (const struct traffic_options *options, int64_t number);
static void
send_request_ (struct traffic *traffic, const struct request_plan *plan, int64_t due_us);
static bool record_line_time_ (void *data, const char *bytes, size_t length);
static void record_result_ (struct traffic *traffic, const struct harness_result *answer);

/* Sends the whole mix and blocks until it is complete. The caller frees the result. */
struct traffic_result *
traffic_run (const struct traffic_options *options)
{
  struct traffic traffic = { .options = options, .mutex = PTHREAD_MUTEX_INITIALIZER };
  pthread_t *threads = g_new0 (pthread_t, options->callers);
  unsigned started = 0;

  traffic.result = g_new0 (struct traffic_result, 1);
  traffic.result->codes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  traffic.result->first_token_us = samples_new ();
  traffic.result->interactive_first_token_us = samples_new ();
  traffic.result->between_tokens_us = samples_new ();
  traffic.result->total_us = samples_new ();
  traffic.start_us = g_get_monotonic_time ();
  while (started < options->callers
         && sr_thread_start (&threads[started], STACK_BYTES, run_caller_, &traffic))
    started++;
  for (unsigned i = 0; i < started; i++)
    pthread_join (threads[i], NULL);
  traffic.result->duration_us = g_get_monotonic_time () - traffic.start_us;
  g_free (threads);
  return traffic.result;
}

/* Accepts NULL. */
void
traffic_result_delete (struct traffic_result *result)
{
  if (result == NULL)
    return;
  g_hash_table_destroy (result->codes);
  samples_delete (result->first_token_us);
  samples_delete (result->interactive_first_token_us);
  samples_delete (result->between_tokens_us);
  samples_delete (result->total_us);
  g_free (result);
}

/* The results as a JSON object, times in milliseconds. The caller owns it. */
json_t *
traffic_result_json (struct traffic_result *result)
{
  struct
  {
    const char *name;
    struct samples *samples;
    double percent;
  } times[] = {
    { "first_token_p50_ms", result->first_token_us, 50 },
    { "first_token_p95_ms", result->first_token_us, 95 },
    { "first_token_p99_ms", result->first_token_us, 99 },
    { "interactive_first_token_p95_ms", result->interactive_first_token_us, 95 },
    { "between_tokens_p95_ms", result->between_tokens_us, 95 },
    { "total_p50_ms", result->total_us, 50 },
    { "total_p95_ms", result->total_us, 95 },
    { "total_p99_ms", result->total_us, 99 },
  };
  double took_s = (double)result->duration_us / US_PER_S;
  json_t *json = json_object ();
  json_t *codes = json_object ();
  GHashTableIter iter;
  gpointer code, count;

  for (unsigned i = 0; i < TRAFFIC_OUTCOMES; i++)
    json_object_set_new (json, harness_outcome_to_string (i), json_integer (result->outcomes[i]));
  g_hash_table_iter_init (&iter, result->codes);
  while (g_hash_table_iter_next (&iter, &code, &count))
    json_object_set_new (codes, code, json_integer (GPOINTER_TO_INT (count)));
  json_object_set_new (json, "codes", codes);
  for (unsigned i = 0; i < G_N_ELEMENTS (times); i++)
    json_object_set_new (
        json, times[i].name,
        json_real ((double)samples_percentile (times[i].samples, times[i].percent) / US_PER_MS));
  json_object_set_new (json, "output_tokens", json_integer (result->output_tokens));
  json_object_set_new (json, "billed_tokens", json_integer (result->billed_tokens));
  json_object_set_new (json, "seconds", json_real (took_s));
  json_object_set_new (json, "answered_per_s",
                       json_real ((double)result->outcomes[HARNESS_COMPLETED] / took_s));
  json_object_set_new (json, "goodput_tokens_per_s",
                       json_real ((double)result->output_tokens / took_s));
  return json;
}

/* Prints one result per line. */
void
traffic_result_print (struct traffic_result *result, FILE *stream)
{
  json_t *json = traffic_result_json (result);
  const char *name, *code;
  json_t *value, *count;

  json_object_foreach (json, name, value)
  {
    if (json_is_integer (value))
      fprintf (stream, "  %-32s %12" JSON_INTEGER_FORMAT "\n", name, json_integer_value (value));
    else if (json_is_real (value))
      fprintf (stream, "  %-32s %12.1f\n", name, json_real_value (value));
    else
      json_object_foreach (value, code, count)
          fprintf (stream, "  refused as %-21s %12" JSON_INTEGER_FORMAT "\n", code,
                   json_integer_value (count));
  }
  json_decref (json);
}

static void *
run_caller_ (void *data)
{
  struct traffic *traffic = data;
  int64_t number, due_us;

  while ((number = traffic->next++) < traffic->options->requests
         && wait_until_due_ (traffic, number, &due_us))
    {
      struct request_plan plan = plan_request_ (traffic->options, number);

      send_request_ (traffic, &plan, due_us);
      g_string_free (plan.prompt, TRUE);
    }
  return NULL;
}

/* In an open loop, sleeps until the request's scheduled start. A late caller starts immediately,
 * and the delay counts towards the measured latency. Returns false after the time limit. */
static bool
wait_until_due_ (struct traffic *traffic, int64_t number, int64_t *due_us)
{
  const struct traffic_options *options = traffic->options;
  int64_t now_us = g_get_monotonic_time ();

  *due_us = now_us;
  if (options->rate_per_s > 0)
    *due_us = traffic->start_us + (int64_t)((double)number / options->rate_per_s * US_PER_S);
  if (options->duration_limit_s > 0
      && *due_us - traffic->start_us > options->duration_limit_s * US_PER_S)
    return false;
  if (*due_us > now_us)
    g_usleep ((gulong)(*due_us - now_us));
  return true;
}

static struct request_plan
plan_request_ (const struct traffic_options *options, int64_t number)
{
  GRand *random = g_rand_new_with_seed (options->seed + (guint32)number * SEED_MULTIPLIER);
  unsigned targets = g_strv_length ((char **)options->targets);
  struct request_plan plan = { .target = (unsigned)number % targets };
  int roll = g_rand_int_range (random, 0, PERCENT);

  plan.team = 1;
  if (options->teams > 1 && roll >= (int)options->large_team_percent)
    plan.team = (unsigned)g_rand_int_range (random, 2, (gint32)options->teams + 1);
  roll = g_rand_int_range (random, 0, PERCENT);
  plan.priority = roll < (int)options->interactive_percent ? "interactive"
                  : roll % 2 == 0                          ? "normal"
                                                           : "batch";
  plan.stream = g_rand_int_range (random, 0, PERCENT) < (gint32)options->stream_percent;
  plan.tokens = (unsigned)g_rand_int_range (random, (gint32)options->tokens_min,
                                            (gint32)options->tokens_max + 1);
  plan.prompt = g_string_new (NULL);
  if (options->prefixes > 0)
    {
      int prefix = g_rand_int_range (random, 0, (gint32)options->prefixes);

      while (plan.prompt->len < options->prefix_bytes)
        g_string_append_printf (plan.prompt, "diary of household %d, ", prefix);
    }
  g_string_append_printf (plan.prompt, "request %u-%" G_GINT64_FORMAT " [n=%u]", options->seed,
                          number, plan.tokens);
  g_rand_free (random);
  return plan;
}

static void
send_request_ (struct traffic *traffic, const struct request_plan *plan, int64_t due_us)
{
  char **parts = g_strsplit (traffic->options->targets[plan->target], ":", 2);
  struct stream_timing timing = { traffic, due_us, 0, strcmp (plan->priority, "interactive") == 0 };
  struct harness_request request = { .address = parts[0],
                                     .port = (unsigned)strtoul (parts[1], NULL, 10),
                                     .service = traffic->options->service,
                                     .team = plan->team,
                                     .priority = plan->priority,
                                     .deadline_ms = traffic->options->deadline_ms,
                                     .prompt = plan->prompt->str,
                                     .max_tokens = plan->tokens,
                                     .stream = plan->stream,
                                     .on_body_part = plan->stream ? record_line_time_ : NULL,
                                     .data = &timing };
  struct harness_result answer = harness_send (&request);

  if (answer.outcome == HARNESS_COMPLETED)
    samples_add (traffic->result->total_us, g_get_monotonic_time () - due_us);
  record_result_ (traffic, &answer);
  g_strfreev (parts);
}

/* Records the arrival times of a response's lines. Error responses have no line that begins with
 * {"t". */
static bool
record_line_time_ (void *data, const char *bytes, size_t length)
{
  static const char token_line[] = "{\"t\"";
  struct stream_timing *timing = data;
  int64_t now_us = g_get_monotonic_time ();

  if (timing->last_us > 0)
    samples_add (timing->traffic->result->between_tokens_us, now_us - timing->last_us);
  else
    {
      if (length < strlen (token_line) || strncmp (bytes, token_line, strlen (token_line)) != 0)
        return true;
      samples_add (timing->traffic->result->first_token_us, now_us - timing->due_us);
      if (timing->interactive)
        samples_add (timing->traffic->result->interactive_first_token_us, now_us - timing->due_us);
    }
  timing->last_us = now_us;
  return true;
}

static void
record_result_ (struct traffic *traffic, const struct harness_result *answer)
{
  struct traffic_result *result = traffic->result;

  pthread_mutex_lock (&traffic->mutex);
  result->outcomes[answer->outcome]++;
  if (answer->outcome == HARNESS_COMPLETED)
    {
      result->output_tokens += answer->output_tokens;
      result->billed_tokens += answer->billed_tokens;
    }
  if (answer->code[0] != '\0')
    {
      gpointer count = g_hash_table_lookup (result->codes, answer->code);

      g_hash_table_insert (result->codes, g_strdup (answer->code),
                           GINT_TO_POINTER (GPOINTER_TO_INT (count) + 1));
    }
  pthread_mutex_unlock (&traffic->mutex);
}
