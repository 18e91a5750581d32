#include "emulator/common/server.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

enum
{
  STACK_BYTES = 128 * 1024, /* of the thread of a connection */
  BACKLOG_CONNECTIONS = 1024,
  CONNECTIONS_MAX = 8000
};

static void raise_file_limit_ (void);
static enum MHD_Result on_request_ (void *data,
                                    struct MHD_Connection *connection,
                                    const char *url,
                                    const char *method,
                                    const char *version,
                                    const char *upload_data,
                                    size_t *upload_size,
                                    void **state);
static void on_completed_ (void *data,
                           struct MHD_Connection *connection,
                           void **state,
                           enum MHD_RequestTerminationCode code);

/* Serves until SIGTERM or SIGINT, then ends the process with code 0. Returns 1 when it
 * can't listen. OPTIONS and what it points to live as long as the process. */
int
standin_server_run (const struct standin_server_options *options)
{
  standin_block_signals ();
  if (!standin_server_start (options))
    return 1;
  standin_announce (options->address, options->port);
  standin_wait_for_stop ();
  return 0;
}

/* Starts serving on threads of its own; returns false on failure. Call standin_block_signals
 * before.
 */
bool
standin_server_start (const struct standin_server_options *options)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)options->port) };
  struct MHD_Daemon *daemon;

  raise_file_limit_ ();
  if (inet_pton (AF_INET, options->address, &address.sin_addr) != 1)
    {
      fprintf (stderr, "not an IPv4 address: %s\n", options->address);
      return false;
    }
  daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL, 0, NULL, NULL,
      on_request_, (void *)options, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_BYTES, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      (unsigned)BACKLOG_CONNECTIONS, MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed_, NULL, MHD_OPTION_END);
  if (daemon == NULL)
    fprintf (stderr, "cannot listen on %s:%u\n", options->address, options->port);
  return daemon != NULL;
}

/* Blocks SIGTERM and SIGINT for this thread and those it starts, and ignores SIGPIPE. */
void
standin_block_signals (void)
{
  sigset_t set;

  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
}

/* Prints on stdout that the server is listening; the process that started this one waits for the
 * line. */
void
standin_announce (const char *address, unsigned port)
{
  printf ("ready %s:%u\n", address, port);
  fflush (stdout);
}

/* Waits for SIGTERM or SIGINT, then exits with code 0; the kernel closes the connections. */
void
standin_wait_for_stop (void)
{
  sigset_t set;
  int number;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigwait (&set, &number);
  fflush (NULL);
  _Exit (0);
}

/* Parses the command line into TABLE, whose last entry is an arg_end. On errors prints them with
 * the usage on stderr and returns false. */
bool
standin_arguments_parse (int argc, char **argv, void **table)
{
  struct arg_end *end;
  size_t last = 0;

  if (arg_nullcheck (table) != 0)
    return false;
  while (!(((struct arg_hdr *)table[last])->flag & ARG_TERMINATOR))
    last++;
  end = table[last];
  if (arg_parse (argc, argv, table) == 0)
    return true;
  arg_print_errors (stderr, end, argv[0]);
  fprintf (stderr, "usage: %s", argv[0]);
  arg_print_syntax (stderr, table, "\n");
  return false;
}

/* Returns whether the request has this method and exactly this path. */
bool
standin_request_is (const struct standin_request *request, const char *method, const char *path)
{
  return strcmp (request->method, method) == 0 && strcmp (request->path, path) == 0;
}

/* Returns the value of a query argument, or NULL. */
const char *
standin_query (const struct standin_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns the value of a query argument as a number; FALLBACK when it is absent or not a number. */
int64_t
standin_query_number (const struct standin_request *request, const char *name, int64_t fallback)
{
  const char *text = standin_query (request, name);
  char *end;
  int64_t value;

  if (text == NULL || *text == '\0')
    return fallback;
  value = strtoll (text, &end, 10);
  return *end == '\0' ? value : fallback;
}

/* Returns the value of a header, or NULL. */
const char *
standin_header (const struct standin_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, name);
}

/* Returns whether the client has closed or reset the connection of the request. */
bool
standin_peer_closed (const struct standin_request *request)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;
  ssize_t got;

  if (info == NULL)
    return true;
  got = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

/* Creates a response with a copy of LENGTH bytes at BODY, to be sent with standin_send. */
struct MHD_Response *
standin_response (const char *body, size_t length, const char *content_type)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (length, (void *)body, MHD_RESPMEM_MUST_COPY);

  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  return response;
}

/* Sends RESPONSE and releases the caller's reference. */
enum MHD_Result
standin_send (struct standin_request *request, unsigned status, struct MHD_Response *response)
{
  enum MHD_Result result = MHD_queue_response (request->connection, status, response);

  MHD_destroy_response (response);
  return result;
}

/* Replies with BODY and takes over its reference. */
enum MHD_Result
standin_reply_json (struct standin_request *request, unsigned status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  struct MHD_Response *response = standin_response (text, strlen (text), "application/json");

  free (text);
  json_decref (body);
  return standin_send (request, status, response);
}

/* Replies 200 with an empty object. */
enum MHD_Result
standin_reply_ok (struct standin_request *request)
{
  return standin_reply_json (request, MHD_HTTP_OK, json_object ());
}

/* Replies {"error":CODE}. */
enum MHD_Result
standin_reply_error (struct standin_request *request, unsigned status, const char *code)
{
  return standin_reply_json (request, status, json_pack ("{s:s}", "error", code));
}

static void
raise_file_limit_ (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

static enum MHD_Result
on_request_ (void *data,
             struct MHD_Connection *connection,
             const char *url,
             const char *method,
             const char *version,
             const char *upload_data,
             size_t *upload_size,
             void **state)
{
  const struct standin_server_options *options = data;
  struct standin_request *request = *state;

  if (request == NULL)
    {
      request = g_new0 (struct standin_request, 1);
      request->connection = connection;
      request->body = g_string_new (NULL);
      *state = request;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      g_string_append_len (request->body, upload_data, (gssize)*upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  request->method = method;
  request->path = url;
  return options->handle (request, options->data);
}

static void
on_completed_ (void *data,
               struct MHD_Connection *connection,
               void **state,
               enum MHD_RequestTerminationCode code)
{
  struct standin_request *request = *state;

  if (request == NULL)
    return;
  g_string_free (request->body, TRUE);
  g_free (request);
  *state = NULL;
}
