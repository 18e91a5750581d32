#include "entry/caller.h"

#include "entry/reply.h"

#include <stdlib.h>
#include <string.h>

enum
{
  QUEUED_MAX_BYTES = 65536, /* of a streamed reply: limits the memory for a slow caller */
  LINE_MAX_BYTES = 16384    /* of text in one line: a fraction of that limit */
};

static const char *const header_names[SR_HEADERS] = {
  [SR_HEADER_AUTHORIZATION] = "Authorization",
  [SR_HEADER_IDEMPOTENCY_KEY] = "Idempotency-Key",
  [SR_HEADER_DEADLINE_MS] = "X-Deadline-Ms",
  [SR_HEADER_PRIORITY] = "X-Priority",
  [SR_HEADER_BUDGET] = "X-Budget",
  [SR_HEADER_ATTEMPT] = "X-Attempt",
};

static void wake_ (void *data);
static bool advance_once_ (struct sr_caller *caller);
static bool reply_to_ended_run_ (struct sr_caller *caller);
static bool send_stream_ (struct sr_caller *caller);
static void begin_stream_ (struct sr_caller *caller);
static void format_lines_ (struct sr_caller *caller);
static void reply_ (struct sr_caller *caller,
                    unsigned status,
                    const char *type,
                    const char *text,
                    int64_t retry_after_ms);
static char *decoded_path_ (struct net_string_view target);

/* Creates the state of a request whose head is HEAD. CONNECTION owns it. */
struct sr_caller *
sr_caller_new (struct sr_entry *entry,
               struct sr_connection *connection,
               const struct net_http_head *head)
{
  struct sr_caller *caller = g_new0 (struct sr_caller, 1);

  caller->entry = entry;
  caller->connection = connection;
  caller->method = net_string_view_dup (head->method);
  caller->path = decoded_path_ (head->target);
  for (unsigned i = 0; i < head->headers->len; i++)
    {
      const struct net_header *header = &g_array_index (head->headers, struct net_header, i);

      for (unsigned k = 0; k < SR_HEADERS; k++)
        if (caller->headers[k] == NULL && net_string_view_is_nocase (header->name, header_names[k]))
          caller->headers[k] = net_string_view_dup (header->value);
    }
  caller->woken_link.data = caller;
  caller->body = g_string_new (NULL);
  caller->lines = g_string_new (NULL);
  return caller;
}

/* Detaches CALLER from its run, if any, and frees it. */
void
sr_caller_delete (struct sr_caller *caller)
{
  if (caller->run != NULL)
    sr_run_remove_listener (caller->run, caller);
  pthread_mutex_lock (&caller->entry->mutex);
  if (caller->woken)
    g_queue_unlink (&caller->entry->woken, &caller->woken_link);
  pthread_mutex_unlock (&caller->entry->mutex);
  sr_run_unref (caller->run);
  for (unsigned i = 0; i < SR_HEADERS; i++)
    g_free (caller->headers[i]);
  g_string_free (caller->body, TRUE);
  g_string_free (caller->lines, TRUE);
  if (caller->request != NULL)
    g_string_free (caller->request, TRUE);
  g_free (caller->method);
  g_free (caller->path);
  g_free (caller);
}

/* Appends a part of the request's body. Once the body exceeds the limit, the rest is discarded and
 * the request will be refused when it is complete. */
void
sr_caller_append_body (struct sr_caller *caller, const char *data, size_t length)
{
  if (caller->body->len + length > caller->entry->options.settings->body_max_bytes)
    caller->body_too_large = true;
  else
    g_string_append_len (caller->body, data, (gssize)length);
}

/* Frees the body, which is not needed any more. */
void
sr_caller_free_body (struct sr_caller *caller)
{
  g_string_free (caller->body, TRUE);
  caller->body = g_string_new (NULL);
}

/* Sets the request id, which the reply then carries. Call it at most once. */
void
sr_caller_set_request (struct sr_caller *caller, const char *request)
{
  g_assert (caller->request == NULL);
  caller->request = g_string_new (request);
}

/* Attaches CALLER to RUN, which it references until it is freed. Call it at most once. */
void
sr_caller_attach_run (struct sr_caller *caller, struct sr_run *run)
{
  g_assert (caller->run == NULL);
  caller->run = sr_run_ref (run);
  sr_run_add_listener (run);
}

/* Sends what the run allows to be sent now; if more is to come, waits for the run. CALLER may be
 * freed by it. */
void
sr_caller_advance (struct sr_caller *caller)
{
  while (advance_once_ (caller))
    continue;
}

/* To be called when the kernel has accepted all bytes sent so far. CALLER may be freed by it. */
void
sr_caller_drained (struct sr_caller *caller)
{
  if (!caller->waits_for_drain)
    return;
  caller->waits_for_drain = false;
  sr_caller_advance (caller);
}

/* Returns the outcome to report for a request that is refused before it has a run; see
 * sr_run_refusal_outcome. */
enum sr_outcome
sr_caller_refusal_outcome (const struct sr_caller *caller)
{
  const struct sr_run_params params
      = { .id_is_from_caller = caller->headers[SR_HEADER_IDEMPOTENCY_KEY] != NULL,
          .is_first_attempt = g_strcmp0 (caller->headers[SR_HEADER_ATTEMPT], "1") == 0 };

  return sr_run_refusal_outcome (&params);
}

/* Replies with HTTP STATUS and body TEXT of media type TYPE. CALLER may be freed by it. */
void
sr_caller_reply_text (struct sr_caller *caller, unsigned status, const char *type, const char *text)
{
  reply_ (caller, status, type, text, 0);
}

/* Replies that the request was not answered. RETRY_AFTER_MS is 0 when a retry would not help.
 * CALLER may be freed by it. */
void
sr_caller_reply_error (struct sr_caller *caller,
                       enum sr_outcome outcome,
                       enum sr_error error,
                       int64_t retry_after_ms)
{
  const char *request = caller->request != NULL ? caller->request->str : NULL;
  char *text = sr_reply_error (request, outcome, error, retry_after_ms);

  reply_ (caller, (unsigned)sr_error_http_status (error), "application/json", text, retry_after_ms);
  free (text);
}

/* Replies that RUN has not ended. CALLER may be freed by it. */
void
sr_caller_reply_in_progress (struct sr_caller *caller, struct sr_run *run)
{
  char *text = sr_reply_in_progress (run);

  reply_ (caller, SR_HTTP_ACCEPTED, "application/json", text, 0);
  free (text);
}

/* Called by the run, on any thread: makes the entry's thread call sr_caller_advance. */
static void
wake_ (void *data)
{
  struct sr_caller *caller = data;
  struct sr_entry *entry = caller->entry;

  pthread_mutex_lock (&entry->mutex);
  if (!caller->woken)
    g_queue_push_tail_link (&entry->woken, &caller->woken_link);
  caller->woken = true;
  pthread_mutex_unlock (&entry->mutex);
  uv_async_send (&entry->wake);
}

/* Sends the next part of the reply. Returns whether to call it again; when not, CALLER waits for
 * the run or the connection, or its reply is complete and it may be freed. */
static bool
advance_once_ (struct sr_caller *caller)
{
  if (caller->is_streaming)
    return send_stream_ (caller);
  if (caller->stream && sr_run_text_length (caller->run) > 0)
    {
      begin_stream_ (caller);
      return true;
    }
  if (sr_run_state (caller->run) == SR_RUN_DONE)
    return reply_to_ended_run_ (caller);
  return sr_run_wait_for_more (caller->run, caller->sent, !caller->stream, wake_, caller);
}

static bool
reply_to_ended_run_ (struct sr_caller *caller)
{
  const struct sr_run_result *result = sr_run_result (caller->run);
  char *text;

  if (result->outcome != SR_OUTCOME_ANSWERED)
    {
      sr_caller_reply_error (caller, result->outcome, result->error, result->retry_after_ms);
      return false;
    }
  if (caller->stream)
    {
      begin_stream_ (caller);
      return true;
    }
  text = sr_reply_answer (caller->run);
  reply_ (caller, SR_HTTP_OK, "application/json", text, 0);
  free (text);
  return false;
}

/* Sends the next lines of a streamed reply; returns the same as advance_once_. When the run has
 * failed, it resets the connection, so that the caller can't take the reply for complete. */
static bool
send_stream_ (struct sr_caller *caller)
{
  if (sr_connection_queued_bytes (caller->connection) > QUEUED_MAX_BYTES)
    {
      caller->waits_for_drain = true;
      return false;
    }
  format_lines_ (caller);
  if (caller->lines->len > 0)
    {
      sr_connection_send_body (caller->connection, caller->lines->str, caller->lines->len);
      g_string_truncate (caller->lines, 0);
      return true;
    }
  if (caller->has_last_line)
    {
      sr_connection_end_reply (caller->connection);
      return false;
    }
  if (sr_run_state (caller->run) == SR_RUN_DONE
      && sr_run_result (caller->run)->outcome != SR_OUTCOME_ANSWERED)
    {
      sr_connection_reset (caller->connection);
      return false;
    }
  return sr_run_wait_for_more (caller->run, caller->sent, false, wake_, caller);
}

static void
begin_stream_ (struct sr_caller *caller)
{
  const struct sr_reply_head head = { .status = SR_HTTP_OK,
                                      .type = "application/x-ndjson",
                                      .request = caller->request->str,
                                      .is_streamed = true };

  sr_connection_begin_reply (caller->connection, &head);
  caller->is_streaming = true;
}

static void
format_lines_ (struct sr_caller *caller)
{
  g_autoptr (GString) text = NULL;
  bool done = sr_run_state (caller->run) == SR_RUN_DONE;

  if (caller->has_last_line)
    return;
  text = g_string_new (NULL);
  sr_run_copy_text_bounded (caller->run, caller->sent, LINE_MAX_BYTES, text);
  if (text->len > 0)
    sr_reply_stream_text (text, caller->lines);
  caller->sent += text->len;
  if (done && caller->sent == sr_run_text_length (caller->run)
      && sr_run_result (caller->run)->outcome == SR_OUTCOME_ANSWERED)
    {
      sr_reply_stream_end (caller->run, caller->lines);
      caller->has_last_line = true;
    }
}

static void
reply_ (struct sr_caller *caller,
        unsigned status,
        const char *type,
        const char *text,
        int64_t retry_after_ms)
{
  const struct sr_reply_head head
      = { .status = status,
          .type = type,
          .request = caller->request != NULL ? caller->request->str : NULL,
          .retry_after_ms = retry_after_ms,
          .length = strlen (text) };

  sr_connection_begin_reply (caller->connection, &head);
  sr_connection_send_body (caller->connection, text, head.length);
  sr_connection_end_reply (caller->connection);
}

static char *
decoded_path_ (struct net_string_view target)
{
  g_autofree char *text = net_string_view_dup (target);
  char *path;

  text[strcspn (text, "?")] = '\0';
  path = g_uri_unescape_string (text, NULL);
  return path != NULL ? path : g_steal_pointer (&text);
}
