#include "entry/entry.h"

#include "base/counters.h"
#include "base/thread.h"
#include "entry/caller.h"
#include "entry/entry-private.h"
#include "entry/intake.h"
#include "entry/reply.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

enum
{
  HTTP_THREADS = 2,
  CONNECTION_TIMEOUT_S = 120,
  CONNECTION_MEMORY_BYTES = 16384,
  PREFIX_ID_BYTES = 160,
  SWEEP_INTERVAL_US = 250000
};

static const char services_prefix[] = "/v1/services/";
static const char requests_prefix[] = "/v1/requests/";

static struct sr_counter open_requests
    = { .name = "entry_open_requests", .help = "Requests of callers without a complete reply." };
static struct sr_counter gone_total
    = { .name = "entry_callers_gone_total", .help = "Callers that left before their reply." };

static enum MHD_Result access_ (void *data,
                                struct MHD_Connection *connection,
                                const char *url,
                                const char *method,
                                const char *version,
                                const char *upload,
                                size_t *upload_length,
                                void **state);
static enum MHD_Result
take_upload_ (struct sr_entry *entry, struct sr_caller *caller, const char *upload, size_t *length);
static enum MHD_Result
handle_ (struct sr_entry *entry, struct sr_caller *caller, const char *url, const char *method);
static enum MHD_Result
handle_get_ (struct sr_entry *entry, struct sr_caller *caller, const char *url);
static enum MHD_Result
handle_service_ (struct sr_entry *entry, struct sr_caller *caller, const char *service);
static enum MHD_Result
handle_request_ (struct sr_entry *entry, struct sr_caller *caller, const char *id);
static enum MHD_Result look_up_order_ (struct sr_entry *entry,
                                       struct sr_caller *caller,
                                       struct sr_config *config,
                                       const struct sr_config_team *team,
                                       const char *id);
static void begin_run_ (struct sr_entry *entry,
                        struct sr_caller *caller,
                        struct sr_config *config,
                        struct sr_run_order *order);
static void completed_ (void *data,
                        struct MHD_Connection *connection,
                        void **state,
                        enum MHD_RequestTerminationCode code);
static const char *header_ (struct sr_caller *caller, const char *name);
static enum MHD_Result reply_metrics_ (struct sr_caller *caller);
static enum MHD_Result reply_status_ (struct sr_entry *entry, struct sr_caller *caller);
static void *sweep_ (void *data);

/* Creates an entry that does not listen yet. The caller owns it. */
struct sr_entry *
sr_entry_new (const struct sr_entry_options *options)
{
  struct sr_entry *entry = g_new0 (struct sr_entry, 1);

  entry->options = *options;
  pthread_mutex_init (&entry->mutex, NULL);
  g_queue_init (&entry->callers);
  sr_counter_register (&open_requests);
  sr_counter_register (&gone_total);
  return entry;
}

/* Stops listening, ends all connections and frees ENTRY. All runs must be done. NULL is allowed. */
void
sr_entry_delete (struct sr_entry *entry)
{
  if (entry == NULL)
    return;
  if (entry->started)
    {
      sr_entry_close_listener (entry);
      atomic_store (&entry->stopping, true);
      pthread_join (entry->sweeper, NULL);
      MHD_stop_daemon (entry->daemon);
    }
  pthread_mutex_destroy (&entry->mutex);
  g_free (entry);
}

/* Listens at the settings' address. Returns false when it can't be had. */
bool
sr_entry_start (struct sr_entry *entry)
{
  const struct sr_settings *settings = entry->options.settings;
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)settings->entry_port) };

  if (inet_pton (AF_INET, settings->listen_address->str, &address.sin_addr) != 1)
    return false;
  entry->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO, 0, NULL, NULL,
      access_, entry, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_THREAD_POOL_SIZE,
      (unsigned)HTTP_THREADS, MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_TIMEOUT_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_NOTIFY_COMPLETED, completed_, entry,
      MHD_OPTION_END);
  if (entry->daemon == NULL)
    return false;
  entry->started = sr_thread_start (&entry->sweeper, 0, sweep_, entry);
  return entry->started;
}

/* Sets what /readyz says. It does not change what is served. */
void
sr_entry_set_ready (struct sr_entry *entry, bool ready)
{
  atomic_store (&entry->ready, ready);
}

/* Stops taking new connections; those open go on, and end after their next reply. */
void
sr_entry_close_listener (struct sr_entry *entry)
{
  MHD_socket listener;

  if (entry->daemon == NULL || atomic_exchange (&entry->closed, true))
    return;
  listener = MHD_quiesce_daemon (entry->daemon);
  if (listener != MHD_INVALID_SOCKET)
    close (listener);
}

/* Returns how many requests have not had their complete reply. */
unsigned
sr_entry_open_requests (struct sr_entry *entry)
{
  unsigned length;

  pthread_mutex_lock (&entry->mutex);
  length = entry->callers.length;
  pthread_mutex_unlock (&entry->mutex);
  return length;
}

static enum MHD_Result
access_ (void *data,
         struct MHD_Connection *connection,
         const char *url,
         const char *method,
         const char *version,
         const char *upload,
         size_t *upload_length,
         void **state)
{
  struct sr_entry *entry = data;
  struct sr_caller *caller = *state;

  if (caller == NULL)
    {
      caller = sr_caller_new (entry, connection);
      *state = caller;
      pthread_mutex_lock (&entry->mutex);
      g_queue_push_tail_link (&entry->callers, &caller->link);
      pthread_mutex_unlock (&entry->mutex);
      sr_counter_add (&open_requests, 1);
      return MHD_YES;
    }
  if (*upload_length > 0)
    return take_upload_ (entry, caller, upload, upload_length);
  if (caller->run != NULL)
    return sr_caller_go_on (caller);
  return handle_ (entry, caller, url, method);
}

static enum MHD_Result
take_upload_ (struct sr_entry *entry, struct sr_caller *caller, const char *upload, size_t *length)
{
  if (caller->body->len + *length > entry->options.settings->body_max_bytes)
    caller->body_too_large = true;
  else
    g_string_append_len (caller->body, upload, (gssize)*length);
  *length = 0;
  return MHD_YES;
}

static enum MHD_Result
handle_ (struct sr_entry *entry, struct sr_caller *caller, const char *url, const char *method)
{
  if (strcmp (method, "POST") == 0 && g_str_has_prefix (url, services_prefix))
    return handle_service_ (entry, caller, url + strlen (services_prefix));
  if (strcmp (method, "GET") == 0)
    return handle_get_ (entry, caller, url);
  return sr_caller_reply_text (caller, SR_HTTP_METHOD_NOT_ALLOWED, "text/plain",
                               "method not allowed\n");
}

static enum MHD_Result
handle_get_ (struct sr_entry *entry, struct sr_caller *caller, const char *url)
{
  bool ready = atomic_load (&entry->ready);

  if (g_str_has_prefix (url, requests_prefix))
    return handle_request_ (entry, caller, url + strlen (requests_prefix));
  if (strcmp (url, "/healthz") == 0)
    return sr_caller_reply_text (caller, SR_HTTP_OK, "text/plain", "ok\n");
  if (strcmp (url, "/readyz") == 0)
    return sr_caller_reply_text (caller, ready ? SR_HTTP_OK : SR_HTTP_UNAVAILABLE, "text/plain",
                                 ready ? "ready\n" : "not ready\n");
  if (strcmp (url, "/metrics") == 0)
    return reply_metrics_ (caller);
  if (strcmp (url, "/status") == 0)
    return reply_status_ (entry, caller);
  return sr_caller_reply_text (caller, SR_HTTP_NOT_FOUND, "text/plain", "not found\n");
}

static enum MHD_Result
handle_service_ (struct sr_entry *entry, struct sr_caller *caller, const char *service)
{
  struct sr_config *config = sr_config_current_get (entry->options.current);
  char made_id[PREFIX_ID_BYTES];
  struct sr_intake intake = { .service = service,
                              .authorization = header_ (caller, "Authorization"),
                              .idempotency_key = header_ (caller, "Idempotency-Key"),
                              .deadline_ms = header_ (caller, "X-Deadline-Ms"),
                              .priority = header_ (caller, "X-Priority"),
                              .budget = header_ (caller, "X-Budget"),
                              .attempt = header_ (caller, "X-Attempt"),
                              .body = caller->body };
  struct sr_intake_options options
      = { .config = config,
          .made_id = made_id,
          .default_deadline_ms = entry->options.settings->default_deadline_ms,
          .now_us = g_get_monotonic_time () };
  struct sr_run_order *order = NULL;
  enum sr_error error;
  bool stream;

  if (config == NULL)
    return sr_caller_reply_error (caller, SR_OUTCOME_NOT_RUN, SR_ERROR_STARTING, SR_ENTRY_RETRY_MS);
  g_snprintf (made_id, sizeof made_id, "%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "u",
              entry->options.settings->name->str, entry->options.incarnation,
              (guint64)atomic_fetch_add (&entry->next_id, 1));
  if (caller->body_too_large)
    error = SR_ERROR_TOO_LARGE;
  else
    error = sr_intake_read (&intake, &options, &order, &stream);
  if (error != SR_ERROR_NONE)
    {
      sr_config_unref (config);
      return sr_caller_reply_error (caller, SR_OUTCOME_NOT_RUN, error, 0);
    }
  caller->stream = stream;
  begin_run_ (entry, caller, config, order);
  sr_config_unref (config);
  if (caller->run == NULL)
    return sr_caller_reply_error (caller, SR_OUTCOME_NOT_RUN, SR_ERROR_KEY_REUSED, 0);
  return sr_caller_go_on (caller);
}

/* Starts or joins the run of ORDER, which it takes over. CALLER has no run after it when the key
 * was used for another body. */
static void
begin_run_ (struct sr_entry *entry,
            struct sr_caller *caller,
            struct sr_config *config,
            struct sr_run_order *order)
{
  struct sr_run *candidate = sr_run_new (order, config);
  struct sr_run *run = NULL;
  enum sr_run_found found;

  sr_caller_set_request (caller, order->request->str);
  found = sr_run_table_begin (entry->options.table, candidate, &run);
  if (found != SR_RUN_FOUND_OTHER_BODY)
    sr_caller_listen (caller, run);
  if (found == SR_RUN_FOUND_NEW)
    sr_dispatch_submit (entry->options.dispatch, run);
  sr_run_unref (candidate);
  sr_run_unref (run);
}

static enum MHD_Result
handle_request_ (struct sr_entry *entry, struct sr_caller *caller, const char *id)
{
  struct sr_config *config = sr_config_current_get (entry->options.current);
  const struct sr_config_team *team = NULL;
  enum MHD_Result sent;
  enum sr_error error;
  struct sr_run *run;

  if (config == NULL)
    return sr_caller_reply_error (caller, SR_OUTCOME_NOT_RUN, SR_ERROR_STARTING, SR_ENTRY_RETRY_MS);
  error = sr_intake_team (config, header_ (caller, "Authorization"), &team);
  if (error == SR_ERROR_NONE && !sr_intake_id_is_valid (id))
    error = SR_ERROR_UNKNOWN_REQUEST;
  if (error != SR_ERROR_NONE)
    {
      sr_config_unref (config);
      return sr_caller_reply_error (caller, SR_OUTCOME_NOT_RUN, error, 0);
    }
  sr_caller_set_request (caller, id);
  run = sr_run_table_find (entry->options.table, team->name->str, id);
  if (run == NULL)
    sent = look_up_order_ (entry, caller, config, team, id);
  else if (sr_run_state (run) != SR_RUN_DONE)
    sent = sr_caller_reply_in_progress (caller, run);
  else
    {
      sr_caller_listen (caller, run);
      sent = sr_caller_go_on (caller);
    }
  sr_run_unref (run);
  sr_config_unref (config);
  return sent;
}

static enum MHD_Result
look_up_order_ (struct sr_entry *entry,
                struct sr_caller *caller,
                struct sr_config *config,
                const struct sr_config_team *team,
                const char *id)
{
  struct sr_run_order *order = g_new0 (struct sr_run_order, 1);
  struct sr_run *run;

  order->team = g_string_new (team->name->str);
  order->request = g_string_new (id);
  order->is_look_up = true;
  run = sr_run_new (order, config);
  sr_caller_listen (caller, run);
  sr_dispatch_look_up (entry->options.dispatch, run);
  sr_run_unref (run);
  return sr_caller_go_on (caller);
}

static void
completed_ (void *data,
            struct MHD_Connection *connection,
            void **state,
            enum MHD_RequestTerminationCode code)
{
  struct sr_entry *entry = data;
  struct sr_caller *caller = *state;

  if (caller == NULL)
    return;
  pthread_mutex_lock (&entry->mutex);
  g_queue_unlink (&entry->callers, &caller->link);
  pthread_mutex_unlock (&entry->mutex);
  sr_counter_add (&open_requests, -1);
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    sr_counter_add (&gone_total, 1);
  sr_caller_delete (caller);
  *state = NULL;
}

static const char *
header_ (struct sr_caller *caller, const char *name)
{
  return MHD_lookup_connection_value (caller->connection, MHD_HEADER_KIND, name);
}

static enum MHD_Result
reply_metrics_ (struct sr_caller *caller)
{
  g_autoptr (GString) out = g_string_new (NULL);

  sr_counters_print (out);
  return sr_caller_reply_text (caller, SR_HTTP_OK, "text/plain; version=0.0.4", out->str);
}

static enum MHD_Result
reply_status_ (struct sr_entry *entry, struct sr_caller *caller)
{
  g_autoptr (GString) out = g_string_new (NULL);

  entry->options.print_status (out, entry->options.data);
  return sr_caller_reply_text (caller, SR_HTTP_OK, "application/json", out->str);
}

/* libmicrohttpd does not look at suspended connections, so callers that left are found here. */
static void *
sweep_ (void *data)
{
  struct sr_entry *entry = data;

  while (!atomic_load (&entry->stopping))
    {
      pthread_mutex_lock (&entry->mutex);
      for (GList *link = entry->callers.head; link != NULL; link = link->next)
        sr_caller_check_gone (link->data);
      pthread_mutex_unlock (&entry->mutex);
      g_usleep (SWEEP_INTERVAL_US);
    }
  return NULL;
}
