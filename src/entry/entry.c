#include "entry/entry.h"

#include "base/counters.h"
#include "base/log.h"
#include "base/thread.h"
#include "entry/caller.h"
#include "entry/entry-private.h"
#include "entry/raw-request.h"
#include "entry/reply.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

enum
{
  GENERATED_ID_BYTES = 160,
  BACKLOG = 1024, /* for the burst of new connections when a peer stops or fails */
  IDLE_CHECK_INTERVAL_MS = 1000
};

static const char services_prefix[] = "/v1/services/";
static const char requests_prefix[] = "/v1/requests/";

static void *thread_main_ (void *data);
static void on_new_connection_ (uv_stream_t *listener, int status);
static void on_wake_ (uv_async_t *wake);
static void on_idle_check_ (uv_timer_t *timer);
static void on_listener_closed_ (uv_handle_t *handle);
static struct sr_caller *next_woken_ (struct sr_entry *entry);
static bool refuse_if_closed_ (struct sr_caller *caller, enum sr_outcome outcome);
static void handle_get_ (struct sr_entry *entry, struct sr_caller *caller);
static void handle_service_ (struct sr_entry *entry, struct sr_caller *caller, const char *service);
static void handle_request_ (struct sr_entry *entry, struct sr_caller *caller, const char *id);
static void look_up_order_ (struct sr_entry *entry,
                            struct sr_caller *caller,
                            struct sr_config *config,
                            const struct sr_config_team *team,
                            const char *id);
static void begin_run_ (struct sr_entry *entry,
                        struct sr_caller *caller,
                        struct sr_config *config,
                        struct sr_run_params *params);
static void reply_metrics_ (struct sr_caller *caller);
static void reply_status_ (struct sr_entry *entry, struct sr_caller *caller);

/* Creates an entry; sr_entry_start makes it listen. The caller owns it. */
struct sr_entry *
sr_entry_new (const struct sr_entry_options *options)
{
  const struct net_memory_limits limits = net_memory_limits (
      options->settings->memory_mb, net_memory_descriptors (options->settings->descriptors));
  struct sr_entry *entry = g_new0 (struct sr_entry, 1);

  entry->options = *options;
  net_memory_account_init (&entry->account, &limits);
  pthread_mutex_init (&entry->mutex, NULL);
  sr_cond_init (&entry->listener_closed_cond);
  sr_connection_register_metrics ();
  return entry;
}

/* Stops listening, closes all connections at once and frees ENTRY. All runs must have ended. NULL
 * is allowed. */
void
sr_entry_delete (struct sr_entry *entry)
{
  if (entry == NULL)
    return;
  if (entry->started)
    {
      atomic_store (&entry->stopping, true);
      uv_async_send (&entry->wake);
      pthread_join (entry->thread, NULL);
      if (uv_loop_close (&entry->loop) != 0)
        sr_log (G_LOG_LEVEL_WARNING, "entry", "event loop still has open handles at the stop");
    }
  pthread_cond_destroy (&entry->listener_closed_cond);
  pthread_mutex_destroy (&entry->mutex);
  g_free (entry);
}

/* Starts the thread and listens at the settings' address. Returns false when that can't be bound or
 * the thread can't be started. */
bool
sr_entry_start (struct sr_entry *entry)
{
  const struct sr_settings *settings = entry->options.settings;
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)settings->entry_port) };
  int error;

  if (inet_pton (AF_INET, settings->listen_address->str, &address.sin_addr) != 1)
    return false;
  uv_loop_init (&entry->loop);
  uv_tcp_init (&entry->loop, &entry->listener);
  uv_async_init (&entry->loop, &entry->wake, on_wake_);
  uv_timer_init (&entry->loop, &entry->idle_check);
  entry->listener.data = entry->wake.data = entry->idle_check.data = entry;
  error = uv_tcp_bind (&entry->listener, (const struct sockaddr *)&address, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)&entry->listener, BACKLOG, on_new_connection_);
  if (error == 0)
    error = uv_timer_start (&entry->idle_check, on_idle_check_, IDLE_CHECK_INTERVAL_MS,
                            IDLE_CHECK_INTERVAL_MS);
  if (error == 0)
    entry->started = sr_thread_start (&entry->thread, 0, thread_main_, entry);
  else
    sr_log (G_LOG_LEVEL_CRITICAL, "entry", "listening failed: %s", uv_strerror (error));
  if (!entry->started)
    {
      uv_close ((uv_handle_t *)&entry->listener, NULL);
      uv_close ((uv_handle_t *)&entry->wake, NULL);
      uv_close ((uv_handle_t *)&entry->idle_check, NULL);
      uv_run (&entry->loop, UV_RUN_DEFAULT);
      uv_loop_close (&entry->loop);
    }
  return entry->started;
}

/* Sets the response of /readyz. Requests are served all the same, but while the entry is not ready
 * each reply closes its connection. */
void
sr_entry_set_ready (struct sr_entry *entry, bool ready)
{
  atomic_store (&entry->ready, ready);
}

/* Closes the listener and waits until it is closed. Requests in progress continue; those that
 * arrive on open connections from now on are refused, so that none is in progress any more once
 * sr_entry_open_requests has returned 0. */
void
sr_entry_close_listener (struct sr_entry *entry)
{
  if (!entry->started)
    return;
  atomic_store (&entry->closed, true);
  uv_async_send (&entry->wake);
  pthread_mutex_lock (&entry->mutex);
  while (!entry->listener_closed)
    pthread_cond_wait (&entry->listener_closed_cond, &entry->mutex);
  pthread_mutex_unlock (&entry->mutex);
}

/* Returns the number of requests whose reply is not complete. */
unsigned
sr_entry_open_requests (struct sr_entry *entry)
{
  return atomic_load (&entry->open_requests);
}

/* Handles the request of CALLER once its body is complete. CALLER may be freed by it. */
void
sr_entry_handle_ (struct sr_caller *caller)
{
  struct sr_entry *entry = caller->entry;

  if (!sr_connection_begin_service (caller->connection))
    {
      sr_caller_reply_error (caller, sr_caller_refusal_outcome (caller), SR_ERROR_QUEUE_FULL,
                             SR_ENTRY_SHORT_RETRY_AFTER_MS);
      return;
    }
  if (strcmp (caller->method, "POST") == 0 && g_str_has_prefix (caller->path, services_prefix))
    {
      if (!refuse_if_closed_ (caller, sr_caller_refusal_outcome (caller)))
        handle_service_ (entry, caller, caller->path + strlen (services_prefix));
    }
  else if (strcmp (caller->method, "GET") == 0)
    handle_get_ (entry, caller);
  else
    sr_caller_reply_text (caller, SR_HTTP_METHOD_NOT_ALLOWED, "text/plain", "method not allowed\n");
}

static void *
thread_main_ (void *data)
{
  struct sr_entry *entry = data;

  uv_run (&entry->loop, UV_RUN_DEFAULT);
  return NULL;
}

static void
on_new_connection_ (uv_stream_t *listener, int status)
{
  if (status == 0)
    sr_connection_accept (listener->data);
  else
    sr_log (G_LOG_LEVEL_WARNING, "entry", "accepting a connection failed: %s",
            uv_strerror (status));
}

/* Another thread has woken this one: runs have changed, the listener is to be closed, or the
 * entry is being deleted. */
static void
on_wake_ (uv_async_t *wake)
{
  struct sr_entry *entry = wake->data;
  /* Both flags are read only once: setting them later sends another wake-up. */
  bool stopping = atomic_load (&entry->stopping);
  bool closed = stopping || atomic_load (&entry->closed);
  struct sr_caller *caller;

  while ((caller = next_woken_ (entry)) != NULL)
    sr_caller_advance (caller);
  if (closed && !uv_is_closing ((uv_handle_t *)&entry->listener))
    uv_close ((uv_handle_t *)&entry->listener, on_listener_closed_);
  if (stopping && !uv_is_closing ((uv_handle_t *)&entry->wake))
    {
      sr_connection_close_all (entry);
      uv_close ((uv_handle_t *)&entry->idle_check, NULL);
      uv_close ((uv_handle_t *)&entry->wake, NULL);
    }
}

static void
on_idle_check_ (uv_timer_t *timer)
{
  struct sr_entry *entry = timer->data;

  sr_connection_close_idle (entry);
  net_http_account_refresh (&entry->account, (int64_t)uv_now (&entry->loop));
  net_http_account_relieve (&entry->account, (int64_t)uv_now (&entry->loop));
}

static void
on_listener_closed_ (uv_handle_t *handle)
{
  struct sr_entry *entry = handle->data;

  pthread_mutex_lock (&entry->mutex);
  entry->listener_closed = true;
  pthread_cond_broadcast (&entry->listener_closed_cond);
  pthread_mutex_unlock (&entry->mutex);
}

static struct sr_caller *
next_woken_ (struct sr_entry *entry)
{
  struct sr_caller *caller = NULL;
  GList *link;

  pthread_mutex_lock (&entry->mutex);
  link = g_queue_pop_head_link (&entry->woken);
  if (link != NULL)
    {
      caller = link->data;
      caller->woken = false;
    }
  pthread_mutex_unlock (&entry->mutex);
  return caller;
}

/* Refuses the request of CALLER with OUTCOME, and frees CALLER, if the listener has been closed:
 * what began now could outlast the process. Returns whether it did. */
static bool
refuse_if_closed_ (struct sr_caller *caller, enum sr_outcome outcome)
{
  if (!atomic_load (&caller->entry->closed))
    return false;
  sr_caller_reply_error (caller, outcome, SR_ERROR_STOPPING, SR_ENTRY_STOPPING_RETRY_AFTER_MS);
  return true;
}

static void
handle_get_ (struct sr_entry *entry, struct sr_caller *caller)
{
  const char *path = caller->path;
  bool ready = atomic_load (&entry->ready);

  if (g_str_has_prefix (path, requests_prefix))
    {
      /* Says nothing about the request that is asked for, which may have run. */
      if (!refuse_if_closed_ (caller, SR_OUTCOME_UNKNOWN))
        handle_request_ (entry, caller, path + strlen (requests_prefix));
    }
  else if (strcmp (path, "/healthz") == 0)
    sr_caller_reply_text (caller, SR_HTTP_OK, "text/plain", "ok\n");
  else if (strcmp (path, "/readyz") == 0)
    sr_caller_reply_text (caller, ready ? SR_HTTP_OK : SR_HTTP_UNAVAILABLE, "text/plain",
                          ready ? "ready\n" : "not ready\n");
  else if (strcmp (path, "/metrics") == 0)
    reply_metrics_ (caller);
  else if (strcmp (path, "/status") == 0)
    reply_status_ (entry, caller);
  else
    sr_caller_reply_text (caller, SR_HTTP_NOT_FOUND, "text/plain", "not found\n");
}

static void
handle_service_ (struct sr_entry *entry, struct sr_caller *caller, const char *service)
{
  struct sr_config *config = sr_config_current_get (entry->options.current);
  char generated_id[GENERATED_ID_BYTES];
  struct sr_raw_request request = { .service = service,
                                    .authorization = caller->headers[SR_HEADER_AUTHORIZATION],
                                    .idempotency_key = caller->headers[SR_HEADER_IDEMPOTENCY_KEY],
                                    .deadline_ms = caller->headers[SR_HEADER_DEADLINE_MS],
                                    .priority = caller->headers[SR_HEADER_PRIORITY],
                                    .budget = caller->headers[SR_HEADER_BUDGET],
                                    .attempt = caller->headers[SR_HEADER_ATTEMPT],
                                    .body = caller->body };
  struct sr_raw_request_options options
      = { .config = config,
          .generated_id = generated_id,
          .default_deadline_ms = entry->options.settings->default_deadline_ms,
          .now_us = g_get_monotonic_time () };
  struct sr_run_params *params = NULL;
  enum sr_error error;
  bool stream;

  if (config == NULL)
    {
      sr_caller_reply_error (caller, sr_caller_refusal_outcome (caller), SR_ERROR_STARTING,
                             SR_ENTRY_STARTING_RETRY_AFTER_MS);
      return;
    }
  g_snprintf (generated_id, sizeof generated_id,
              "%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "u",
              entry->options.settings->name->str, entry->options.incarnation,
              (guint64)atomic_fetch_add (&entry->next_id, 1));
  if (caller->body_too_large)
    error = SR_ERROR_TOO_LARGE;
  else
    error = sr_raw_request_parse (&request, &options, &params, &stream);
  if (error != SR_ERROR_NONE)
    {
      sr_config_unref (config);
      sr_caller_reply_error (caller, sr_caller_refusal_outcome (caller), error, 0);
      return;
    }
  caller->stream = stream;
  sr_caller_free_body (caller); /* the run has its own text */
  begin_run_ (entry, caller, config, params);
  sr_config_unref (config);
  if (caller->run == NULL)
    sr_caller_reply_error (caller, sr_caller_refusal_outcome (caller), SR_ERROR_KEY_REUSED, 0);
  else
    sr_caller_advance (caller);
}

/* Starts the run of PARAMS, or joins the one that its key already has. Takes ownership of PARAMS.
 * CALLER has no run afterwards when the key was used for another body. */
static void
begin_run_ (struct sr_entry *entry,
            struct sr_caller *caller,
            struct sr_config *config,
            struct sr_run_params *params)
{
  struct sr_run *candidate = sr_run_new (params, config);
  struct sr_run *run = NULL;
  enum sr_run_found found;

  sr_caller_set_request (caller, params->id->str);
  found = sr_run_table_find_or_add (entry->options.table, candidate, &run);
  if (found != SR_RUN_FOUND_OTHER_BODY)
    sr_caller_attach_run (caller, run);
  if (found == SR_RUN_FOUND_NEW)
    sr_dispatch_submit (entry->options.dispatch, run);
  sr_run_unref (candidate);
  sr_run_unref (run);
}

static void
handle_request_ (struct sr_entry *entry, struct sr_caller *caller, const char *id)
{
  struct sr_config *config = sr_config_current_get (entry->options.current);
  const struct sr_config_team *team = NULL;
  enum sr_error error;
  struct sr_run *run;

  if (config == NULL)
    {
      sr_caller_reply_error (caller, SR_OUTCOME_UNKNOWN, SR_ERROR_STARTING,
                             SR_ENTRY_STARTING_RETRY_AFTER_MS);
      return;
    }
  error = sr_authorized_team (config, caller->headers[SR_HEADER_AUTHORIZATION], &team);
  if (error == SR_ERROR_NONE && !sr_request_id_is_valid (id))
    error = SR_ERROR_UNKNOWN_REQUEST;
  if (error != SR_ERROR_NONE)
    {
      sr_config_unref (config);
      sr_caller_reply_error (caller, SR_OUTCOME_NOT_RUN, error, 0);
      return;
    }
  sr_caller_set_request (caller, id);
  run = sr_run_table_find (entry->options.table, team->name->str, id);
  if (run == NULL)
    look_up_order_ (entry, caller, config, team, id);
  else if (sr_run_state (run) != SR_RUN_DONE)
    sr_caller_reply_in_progress (caller, run);
  else
    {
      sr_caller_attach_run (caller, run);
      sr_caller_advance (caller);
    }
  sr_run_unref (run);
  sr_config_unref (config);
}

/* Answers from the stored order, because this instance has no run of request ID. */
static void
look_up_order_ (struct sr_entry *entry,
                struct sr_caller *caller,
                struct sr_config *config,
                const struct sr_config_team *team,
                const char *id)
{
  struct sr_run_params *params = g_new0 (struct sr_run_params, 1);
  struct sr_run *run;

  params->team = g_string_new (team->name->str);
  params->id = g_string_new (id);
  params->is_look_up = true;
  run = sr_run_new (params, config);
  sr_caller_attach_run (caller, run);
  sr_dispatch_look_up (entry->options.dispatch, run);
  sr_run_unref (run);
  sr_caller_advance (caller);
}

static void
reply_metrics_ (struct sr_caller *caller)
{
  g_autoptr (GString) out = g_string_new (NULL);

  sr_connection_update_metrics (caller->entry);
  sr_counters_print (out);
  sr_caller_reply_text (caller, SR_HTTP_OK, "text/plain; version=0.0.4", out->str);
}

static void
reply_status_ (struct sr_entry *entry, struct sr_caller *caller)
{
  g_autoptr (GString) out = g_string_new (NULL);

  entry->options.print_status (out, entry->options.data);
  sr_caller_reply_text (caller, SR_HTTP_OK, "application/json", out->str);
}
