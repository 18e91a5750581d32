#include "cli/failure-report.h"

#include "cli/log-line.h"

#include <stdlib.h>
#include <string.h>

enum
{
  STATUS_FAILED_MIN = 400 /* HTTP status: this and above are failures */
};

struct failure_report
{
  GHashTable *requests; /* "INSTANCE/REQUEST": struct request_ */
  GPtrArray *order;     /* struct request_, by first line */
  GHashTable *starts;   /* instance: number of its starts so far (GUINT) */
};

struct request_
{
  char *key;
  unsigned start; /* number of starts of the instance before the first line */
  GPtrArray *lines;
};

/* Refusal reasons that need no decision inputs, as they depend on the request alone. */
static const char *const self_contained_reasons_[] = { "malformed", "no_key", "body_too_large" };
/* Refusal reasons that are caused by the selected backend server. */
static const char *const backend_reasons_[] = { "not_executed",
                                                "not_connected",
                                                "closed",
                                                "silent",
                                                "timeout",
                                                "encoded_answer",
                                                "unclear_answer",
                                                "malformed",
                                                "prompt_part_suspected",
                                                "prompt_part_blocked" };

static void request_free_ (void *data);
static struct request_ *get_request_ (struct failure_report *report, const json_t *line);
static const json_t *last_line_ (const struct request_ *request, const char *event);
static bool has_failed_ (const struct request_ *request);
static char *find_cause_ (const struct failure_report *report, const struct request_ *request);
static char *refusal_cause_ (const struct request_ *request, const json_t *refused);
static char *backend_cause_ (const struct request_ *request, const char *summary);
static bool is_among_ (const char *word, const char *const *words, size_t n_words);

/* Creates an empty report, to be freed with failure_report_delete. */
struct failure_report *
failure_report_new (void)
{
  struct failure_report *report = g_new0 (struct failure_report, 1);

  report->requests = g_hash_table_new (g_str_hash, g_str_equal);
  report->order = g_ptr_array_new_with_free_func (request_free_);
  report->starts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return report;
}

/* Frees REPORT. NULL is allowed. */
void
failure_report_delete (struct failure_report *report)
{
  if (report == NULL)
    return;
  g_hash_table_unref (report->requests);
  g_ptr_array_unref (report->order);
  g_hash_table_unref (report->starts);
  g_free (report);
}

/* Adds a LINE of a log; text before its JSON object is skipped. Returns false when LINE is not an
 * event of an instance. The lines of one instance must be added in the order they were written. */
bool
failure_report_add (struct failure_report *report, const char *line)
{
  json_t *root = log_line_parse (line);
  const char *instance = log_line_text (root, "instance");
  bool is_line = instance != NULL;

  if (is_line && strcmp (log_line_text (root, "event"), "started") == 0)
    {
      unsigned starts = GPOINTER_TO_UINT (g_hash_table_lookup (report->starts, instance));

      g_hash_table_replace (report->starts, g_strdup (instance), GUINT_TO_POINTER (starts + 1));
    }
  if (is_line && log_line_text (root, "request") != NULL)
    g_ptr_array_add (get_request_ (report, root)->lines, json_incref (root));
  json_decref (root);
  return is_line;
}

/* Calls CALLBACK for each failed request, in the order of their first lines. Returns their number.
 * The failure is valid only during the call. */
unsigned
failure_report_for_each (struct failure_report *report, failure_callback callback, void *data)
{
  unsigned count = 0;

  for (unsigned i = 0; i < report->order->len; i++)
    {
      const struct request_ *request = report->order->pdata[i];
      struct failure failure = { .lines = request->lines };

      if (!has_failed_ (request))
        continue;
      failure.request = log_line_text (request->lines->pdata[0], "request");
      failure.instance = log_line_text (request->lines->pdata[0], "instance");
      failure.cause = find_cause_ (report, request);
      callback (&failure, data);
      g_free (failure.cause);
      count++;
    }
  return count;
}

static void
request_free_ (void *data)
{
  struct request_ *request = data;

  g_ptr_array_unref (request->lines);
  g_free (request->key);
  g_free (request);
}

static struct request_ *
get_request_ (struct failure_report *report, const json_t *line)
{
  const char *instance = log_line_text (line, "instance");
  g_autofree char *key = g_strdup_printf ("%s/%s", instance, log_line_text (line, "request"));
  struct request_ *request = g_hash_table_lookup (report->requests, key);

  if (request != NULL)
    return request;
  request = g_new0 (struct request_, 1);
  request->key = g_steal_pointer (&key);
  request->start = GPOINTER_TO_UINT (g_hash_table_lookup (report->starts, instance));
  request->lines = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  g_hash_table_insert (report->requests, request->key, request);
  g_ptr_array_add (report->order, request);
  return request;
}

static const json_t *
last_line_ (const struct request_ *request, const char *event)
{
  for (unsigned i = request->lines->len; i > 0; i--)
    if (strcmp (log_line_text (request->lines->pdata[i - 1], "event"), event) == 0)
      return request->lines->pdata[i - 1];
  return NULL;
}

static bool
has_failed_ (const struct request_ *request)
{
  const json_t *ended = last_line_ (request, "request_ended");

  if (ended == NULL)
    return true;
  return strcmp (log_line_text (ended, "outcome"), "answered") != 0
         || json_integer_value (json_object_get (ended, "status")) >= STATUS_FAILED_MIN;
}

static char *
find_cause_ (const struct failure_report *report, const struct request_ *request)
{
  const json_t *ended = last_line_ (request, "request_ended");
  const json_t *refused = last_line_ (request, "request_refused");
  const char *instance = log_line_text (request->lines->pdata[0], "instance");
  const char *outcome;

  if (ended == NULL)
    {
      unsigned starts = GPOINTER_TO_UINT (g_hash_table_lookup (report->starts, instance));

      return starts > request->start
                 ? g_strdup_printf ("%s was killed while it ran and started again", instance)
                 : NULL;
    }
  outcome = log_line_text (ended, "outcome");
  if (strcmp (outcome, "caller_left") == 0)
    return g_strdup ("the caller left");
  if (refused != NULL)
    return refusal_cause_ (request, refused);
  if (strcmp (outcome, "answered") == 0)
    {
      g_autofree char *summary = g_strdup_printf (
          "answered %d", (int)json_integer_value (json_object_get (ended, "status")));

      return backend_cause_ (request, summary);
    }
  return backend_cause_ (request, outcome);
}

/* Returns the cause of a refusal, or NULL when its line lacks the inputs of the decision and the
 * reason needs them. */
static char *
refusal_cause_ (const struct request_ *request, const json_t *refused)
{
  const char *reason = log_line_text (refused, "reason");
  const json_t *inputs = json_object_get (refused, "inputs");
  const char *state = log_line_text (refused, "state");
  char *printed;
  char *cause;

  if (reason == NULL)
    return NULL;
  if (inputs == NULL && state != NULL && strcmp (state, "reading") != 0
      && is_among_ (reason, backend_reasons_, G_N_ELEMENTS (backend_reasons_)))
    return backend_cause_ (request, reason);
  if (inputs == NULL)
    return is_among_ (reason, self_contained_reasons_, G_N_ELEMENTS (self_contained_reasons_))
               ? g_strdup (reason)
               : NULL;
  printed = json_dumps (inputs, JSON_COMPACT | JSON_REAL_PRECISION (3));
  cause = g_strdup_printf ("%s: %s", reason, printed);
  free (printed);
  return cause;
}

/* Returns SUMMARY with the backend server of the last attempt and the reason why that failed, or
 * NULL when no line names a backend server. */
static char *
backend_cause_ (const struct request_ *request, const char *summary)
{
  const json_t *sent = last_line_ (request, "request_sent");
  const json_t *failed = last_line_ (request, "attempt_failed");
  const json_t *attempt = sent != NULL ? sent : failed;

  if (attempt == NULL || log_line_text (attempt, "backend") == NULL)
    return NULL;
  return g_strdup_printf ("%s: backend server %s%s%s", summary, log_line_text (attempt, "backend"),
                          failed != NULL ? ", last attempt " : "",
                          failed != NULL ? log_line_text (failed, "reason") : "");
}

static bool
is_among_ (const char *word, const char *const *words, size_t n_words)
{
  for (size_t i = 0; i < n_words; i++)
    if (strcmp (word, words[i]) == 0)
      return true;
  return false;
}
