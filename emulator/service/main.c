/* Stand-in of a plain service: executes calls, counts the executions by key (X-Request) and fails
 * as the test sets by control calls. */
#include "emulator/common/server.h"

#include <argtable2.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  HANG_POLL_MS = 50,
  REPORTED_SLOTS = 64 /* in the reported load only; not enforced */
};

enum fault_
{
  FAULT_NONE,
  FAULT_CLOSE_BEFORE_RUN,
  FAULT_CLOSE_AFTER_RUN,
  FAULT_HANG,
  FAULT_REFUSE,
  FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT]
    = { "none", "close_before_run", "close_after_run", "hang", "refuse" };

struct service_
{
  pthread_mutex_t mutex;
  GHashTable *executions;     /* key -> number of executions */
  GHashTable *highest_fences; /* key -> highest fencing number received */
  int64_t executions_total;
  int64_t calls;
  int running;
  bool checks_fence;
  int64_t delay_ms;
  enum fault_ fault;
  int64_t fault_count; /* number of further calls it applies to; 0: all until changed */
  int64_t fault_delay_ms;
};

static enum MHD_Result handle_ (struct standin_request *request, void *data);
static enum MHD_Result call_ (struct service_ *service, struct standin_request *request);
static enum fault_ next_fault_ (struct service_ *service, int64_t *delay_ms);
static bool is_fence_current_ (struct service_ *service, const char *key, const char *fence);
static int64_t begin_execution_ (struct service_ *service, const char *key);
static enum MHD_Result hang_ (struct standin_request *request);
static enum MHD_Result set_fault_ (struct service_ *service, struct standin_request *request);
static enum MHD_Result ledger_ (struct service_ *service, struct standin_request *request);

int
main (int argc, char **argv)
{
  struct arg_str *address = arg_str1 (NULL, "address", "IP", "address to listen on");
  struct arg_int *port = arg_int1 (NULL, "port", "PORT", "port to listen on");
  struct arg_str *name = arg_str1 (NULL, "name", "NAME", "name of the service");
  struct arg_int *delay = arg_int0 (NULL, "delay-ms", "D", "time a call takes");
  struct arg_lit *fence = arg_lit0 (NULL, "fence", "refuse old fencing numbers");
  struct arg_end *end = arg_end (8);
  void *table[] = { address, port, name, delay, fence, end };
  struct service_ service = { .mutex = PTHREAD_MUTEX_INITIALIZER };
  struct standin_server_options options;

  if (!standin_arguments_parse (argc, argv, table))
    return 2;
  service.executions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  service.highest_fences = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  service.delay_ms = delay->count > 0 ? delay->ival[0] : 0;
  service.checks_fence = fence->count > 0;
  options = (struct standin_server_options){ .address = address->sval[0],
                                             .port = (unsigned)port->ival[0],
                                             .handle = handle_,
                                             .data = &service };
  return standin_server_run (&options);
}

static enum MHD_Result
handle_ (struct standin_request *request, void *data)
{
  struct service_ *service = data;

  if (standin_request_is (request, "POST", "/v1/call"))
    return call_ (service, request);
  if (standin_request_is (request, "POST", "/control/fault"))
    return set_fault_ (service, request);
  if (standin_request_is (request, "GET", "/control/ledger"))
    return ledger_ (service, request);
  return standin_reply_error (request, MHD_HTTP_NOT_FOUND, "path");
}

static enum MHD_Result
call_ (struct service_ *service, struct standin_request *request)
{
  const char *key = standin_header (request, "X-Request");
  json_t *body = json_loadb (request->body->str, request->body->len, JSON_DECODE_ANY, NULL);
  int64_t delay_ms = 0;
  enum fault_ fault = next_fault_ (service, &delay_ms);
  struct MHD_Response *response;
  int64_t execution;
  char *text;

  if (fault == FAULT_CLOSE_BEFORE_RUN || key == NULL || body == NULL)
    {
      json_decref (body);
      return fault == FAULT_CLOSE_BEFORE_RUN
                 ? MHD_NO
                 : standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "bad");
    }
  if (fault == FAULT_REFUSE
      || !is_fence_current_ (service, key, standin_header (request, "X-Fence")))
    {
      json_decref (body);
      return fault == FAULT_REFUSE
                 ? standin_reply_error (request, MHD_HTTP_TOO_MANY_REQUESTS, "full")
                 : standin_reply_error (request, MHD_HTTP_CONFLICT, "fence");
    }
  execution = begin_execution_ (service, key);
  g_usleep ((gulong)(service->delay_ms + delay_ms) * US_PER_MS);
  pthread_mutex_lock (&service->mutex);
  service->running--;
  body = json_pack ("{s:s,s:I,s:o,s:{s:i,s:i,s:i}}", "request", key, "execution",
                    (json_int_t)execution, "echo", body, "load", "running", service->running,
                    "waiting", 0, "slots", REPORTED_SLOTS);
  pthread_mutex_unlock (&service->mutex);
  if (fault == FAULT_CLOSE_AFTER_RUN || fault == FAULT_HANG)
    {
      json_decref (body);
      return fault == FAULT_HANG ? hang_ (request) : MHD_NO;
    }
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  response = standin_response (text, strlen (text), "application/json");
  free (text);
  MHD_add_response_header (response, "X-Request", key);
  return standin_send (request, MHD_HTTP_OK, response);
}

/* Counts a call, returns the fault that applies to it and decrements the count of calls that the
 * fault applies to. Sets DELAY_MS to the additional execution time. */
static enum fault_
next_fault_ (struct service_ *service, int64_t *delay_ms)
{
  enum fault_ fault;

  pthread_mutex_lock (&service->mutex);
  service->calls++;
  fault = service->fault;
  *delay_ms = service->fault_delay_ms;
  if (service->fault_count > 0 && --service->fault_count == 0)
    {
      service->fault = FAULT_NONE;
      service->fault_delay_ms = 0;
    }
  pthread_mutex_unlock (&service->mutex);
  return fault;
}

/* Returns whether a call with this fencing number may run: it is at least the highest one received
 * for its key. A missing number counts as 0. Always true without checks_fence. */
static bool
is_fence_current_ (struct service_ *service, const char *key, const char *fence)
{
  int64_t number = fence != NULL ? strtoll (fence, NULL, 10) : 0;
  bool passes = true;
  int64_t *highest;

  if (!service->checks_fence)
    return true;
  pthread_mutex_lock (&service->mutex);
  highest = g_hash_table_lookup (service->highest_fences, key);
  if (highest == NULL)
    {
      highest = g_new0 (int64_t, 1);
      g_hash_table_insert (service->highest_fences, g_strdup (key), highest);
    }
  if (number < *highest)
    passes = false;
  else
    *highest = number;
  pthread_mutex_unlock (&service->mutex);
  return passes;
}

/* Counts an execution of KEY and the running call; returns the number of executions of KEY. */
static int64_t
begin_execution_ (struct service_ *service, const char *key)
{
  int64_t count;

  pthread_mutex_lock (&service->mutex);
  count = GPOINTER_TO_INT (g_hash_table_lookup (service->executions, key)) + 1;
  g_hash_table_insert (service->executions, g_strdup (key), GINT_TO_POINTER ((int)count));
  service->executions_total++;
  service->running++;
  pthread_mutex_unlock (&service->mutex);
  return count;
}

/* Sends no response and waits until the caller closes the connection. */
static enum MHD_Result
hang_ (struct standin_request *request)
{
  while (!standin_peer_closed (request))
    g_usleep (HANG_POLL_MS * US_PER_MS);
  return MHD_NO;
}

static enum MHD_Result
set_fault_ (struct service_ *service, struct standin_request *request)
{
  const char *mode = standin_query (request, "mode");
  unsigned fault = 0;

  while (fault < FAULT_COUNT && g_strcmp0 (mode, fault_names[fault]) != 0)
    fault++;
  if (fault == FAULT_COUNT)
    return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "mode");
  pthread_mutex_lock (&service->mutex);
  service->fault = fault;
  service->fault_count = standin_query_number (request, "count", 0);
  service->fault_delay_ms = standin_query_number (request, "delay_ms", 0);
  pthread_mutex_unlock (&service->mutex);
  return standin_reply_ok (request);
}

static enum MHD_Result
ledger_ (struct service_ *service, struct standin_request *request)
{
  json_t *requests = json_object ();
  json_t *reply;
  GHashTableIter iter;
  gpointer key, count;

  pthread_mutex_lock (&service->mutex);
  g_hash_table_iter_init (&iter, service->executions);
  while (g_hash_table_iter_next (&iter, &key, &count))
    json_object_set_new (requests, key, json_integer (GPOINTER_TO_INT (count)));
  reply = json_pack ("{s:I,s:o,s:I}", "executions", (json_int_t)service->executions_total,
                     "requests", requests, "calls", (json_int_t)service->calls);
  pthread_mutex_unlock (&service->mutex);
  return standin_reply_json (request, MHD_HTTP_OK, reply);
}
