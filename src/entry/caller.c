#include "entry/caller.h"

#include "entry/reply.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  STREAM_BLOCK_BYTES = 4096,
  MS_PER_S = 1000,
  HEADER_NUMBER_BYTES = 24
};

static void resume_ (void *data);
static void suspend_until_more_ (struct sr_caller *caller, bool whole);
static enum MHD_Result reply_end_ (struct sr_caller *caller);
static enum MHD_Result reply_stream_ (struct sr_caller *caller);
static ssize_t read_stream_ (void *data, uint64_t position, char *buffer, size_t size);
static void make_lines_ (struct sr_caller *caller);
static ssize_t take_lines_ (struct sr_caller *caller, char *buffer, size_t size);
static enum MHD_Result queue_ (struct sr_caller *caller,
                               int status,
                               const char *type,
                               struct MHD_Response *response,
                               int64_t retry_after_ms);

/* Creates the state of a request on CONNECTION. The caller owns it. */
struct sr_caller *
sr_caller_new (struct sr_entry *entry, struct MHD_Connection *connection)
{
  struct sr_caller *caller = g_new0 (struct sr_caller, 1);

  caller->entry = entry;
  caller->connection = connection;
  caller->link.data = caller;
  caller->body = g_string_new (NULL);
  caller->lines = g_string_new (NULL);
  pthread_mutex_init (&caller->mutex, NULL);
  return caller;
}

/* Stops listening to the run and frees CALLER. */
void
sr_caller_delete (struct sr_caller *caller)
{
  if (caller->run != NULL)
    sr_run_drop_listener (caller->run, caller);
  sr_run_unref (caller->run);
  g_string_free (caller->body, TRUE);
  g_string_free (caller->lines, TRUE);
  if (caller->request != NULL)
    g_string_free (caller->request, TRUE);
  pthread_mutex_destroy (&caller->mutex);
  g_free (caller);
}

/* Sets the request id that every reply carries. */
void
sr_caller_set_request (struct sr_caller *caller, const char *request)
{
  g_assert (caller->request == NULL);
  caller->request = g_string_new (request);
}

/* Makes CALLER wait for RUN, of which it takes a reference. */
void
sr_caller_listen (struct sr_caller *caller, struct sr_run *run)
{
  g_assert (caller->run == NULL);
  caller->run = sr_run_ref (run);
  sr_run_add_listener (run);
}

/* Replies when there is something to say, else suspends the connection until there is. */
enum MHD_Result
sr_caller_go_on (struct sr_caller *caller)
{
  bool done = sr_run_state (caller->run) == SR_RUN_DONE;

  if (atomic_load (&caller->gone))
    return MHD_NO;
  if (caller->stream && sr_run_text_length (caller->run) > 0)
    return reply_stream_ (caller);
  if (done)
    return reply_end_ (caller);
  suspend_until_more_ (caller, !caller->stream);
  return MHD_YES;
}

/* Looks whether CALLER, when its connection is suspended, has closed it; if so, wakes the
 * connection up to be ended. Called by the entry's sweeper. */
void
sr_caller_check_gone (struct sr_caller *caller)
{
  const union MHD_ConnectionInfo *info;
  bool wake = false;
  ssize_t got;
  char byte;

  pthread_mutex_lock (&caller->mutex);
  if (caller->suspended && !atomic_load (&caller->gone))
    {
      info = MHD_get_connection_info (caller->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      got = recv (info->connect_fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
      wake = got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }
  if (wake)
    atomic_store (&caller->gone, true);
  pthread_mutex_unlock (&caller->mutex);
  if (wake)
    resume_ (caller);
}

/* Replies with STATUS and TEXT of the media type TYPE. */
enum MHD_Result
sr_caller_reply_text (struct sr_caller *caller, int status, const char *type, const char *text)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);

  return queue_ (caller, status, type, response, 0);
}

/* Replies that the request was not answered. RETRY_AFTER_MS is 0 when coming back does not help. */
enum MHD_Result
sr_caller_reply_error (struct sr_caller *caller,
                       enum sr_outcome outcome,
                       enum sr_error error,
                       int64_t retry_after_ms)
{
  const char *request = caller->request != NULL ? caller->request->str : NULL;
  char *text = sr_reply_error (request, outcome, error, retry_after_ms);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);

  return queue_ (caller, sr_error_http_status (error), "application/json", response,
                 retry_after_ms);
}

/* Replies that RUN has not ended. */
enum MHD_Result
sr_caller_reply_in_progress (struct sr_caller *caller, struct sr_run *run)
{
  char *text = sr_reply_in_progress (run);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);

  return queue_ (caller, SR_HTTP_ACCEPTED, "application/json", response, 0);
}

/* Wakes CALLER's connection, if it sleeps. Called by the run and by the sweeper. */
static void
resume_ (void *data)
{
  struct sr_caller *caller = data;
  bool was_suspended;

  pthread_mutex_lock (&caller->mutex);
  was_suspended = caller->suspended;
  caller->suspended = false;
  if (was_suspended)
    MHD_resume_connection (caller->connection);
  pthread_mutex_unlock (&caller->mutex);
}

static void
suspend_until_more_ (struct sr_caller *caller, bool whole)
{
  pthread_mutex_lock (&caller->mutex);
  MHD_suspend_connection (caller->connection);
  caller->suspended = true;
  pthread_mutex_unlock (&caller->mutex);
  if (sr_run_wait_for_more (caller->run, caller->sent, whole, resume_, caller))
    resume_ (caller);
}

static enum MHD_Result
reply_end_ (struct sr_caller *caller)
{
  const struct sr_run_result *result = sr_run_result (caller->run);
  struct MHD_Response *response;
  char *text;

  if (result->outcome != SR_OUTCOME_ANSWERED)
    return sr_caller_reply_error (caller, result->outcome, result->error, result->retry_after_ms);
  if (caller->stream)
    return reply_stream_ (caller);
  text = sr_reply_answer (caller->run);
  response = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  return queue_ (caller, SR_HTTP_OK, "application/json", response, 0);
}

static enum MHD_Result
reply_stream_ (struct sr_caller *caller)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream_, caller, NULL);

  return queue_ (caller, SR_HTTP_OK, "application/x-ndjson", response, 0);
}

/* Gives libmicrohttpd the next bytes of a streamed reply. A run that failed ends with an error,
 * which aborts the connection, so that the reply does not look whole. */
static ssize_t
read_stream_ (void *data, uint64_t position, char *buffer, size_t size)
{
  struct sr_caller *caller = data;

  if (atomic_load (&caller->gone))
    return MHD_CONTENT_READER_END_WITH_ERROR;
  make_lines_ (caller);
  if (caller->lines_taken < caller->lines->len)
    return take_lines_ (caller, buffer, size);
  if (caller->last_line_made)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (sr_run_state (caller->run) == SR_RUN_DONE
      && sr_run_result (caller->run)->outcome != SR_OUTCOME_ANSWERED)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  suspend_until_more_ (caller, false);
  return 0;
}

static void
make_lines_ (struct sr_caller *caller)
{
  g_autoptr (GString) text = NULL;
  bool done = sr_run_state (caller->run) == SR_RUN_DONE;

  if (caller->last_line_made)
    return;
  text = g_string_new (NULL);
  sr_run_copy_text (caller->run, caller->sent, text);
  if (text->len > 0)
    sr_reply_stream_text (text, caller->lines);
  caller->sent += text->len;
  if (done && sr_run_result (caller->run)->outcome == SR_OUTCOME_ANSWERED)
    {
      sr_reply_stream_end (caller->run, caller->lines);
      caller->last_line_made = true;
    }
}

static ssize_t
take_lines_ (struct sr_caller *caller, char *buffer, size_t size)
{
  size_t length = MIN (size, caller->lines->len - caller->lines_taken);

  memcpy (buffer, caller->lines->str + caller->lines_taken, length);
  caller->lines_taken += length;
  if (caller->lines_taken == caller->lines->len)
    {
      g_string_truncate (caller->lines, 0);
      caller->lines_taken = 0;
    }
  return (ssize_t)length;
}

static enum MHD_Result
queue_ (struct sr_caller *caller,
        int status,
        const char *type,
        struct MHD_Response *response,
        int64_t retry_after_ms)
{
  char seconds[HEADER_NUMBER_BYTES];
  enum MHD_Result queued;

  MHD_add_response_header (response, "Content-Type", type);
  if (caller->request != NULL)
    MHD_add_response_header (response, "X-Request-Id", caller->request->str);
  if (retry_after_ms > 0)
    {
      snprintf (seconds, sizeof seconds, "%" G_GINT64_FORMAT,
                (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
      MHD_add_response_header (response, "Retry-After", seconds);
    }
  if (atomic_load (&caller->entry->closed) || !atomic_load (&caller->entry->ready))
    MHD_add_response_header (response, "Connection", "close");
  queued = MHD_queue_response (caller->connection, (unsigned)status, response);
  MHD_destroy_response (response);
  return queued;
}
