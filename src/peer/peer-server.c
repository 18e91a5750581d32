#include "peer/peer.h"

#include "base/counters.h"
#include "base/thread.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PROGRAMS_MAX = 8,
  SERVERS_MAX = 16,       /* in one process */
  POLL_INTERVAL_MS = 100, /* a stop takes up to this time */
  RECEIVE_BUFFER_BYTES = 1 << 20
};

struct served_program_
{
  uint32_t number;
  const struct sr_peer_procedure *procedures;
  size_t n_procedures;
  void *data;
};

struct sr_peer_server
{
  SVCXPRT *transport;
  int socket;
  struct served_program_ programs[PROGRAMS_MAX];
  size_t n_programs;
  pthread_t thread;
  bool started;
  atomic_bool stopping;
};

static struct sr_counter served_total
    = { .name = "peer_calls_served_total", .help = "Calls of peers that were answered." };
static struct sr_counter dropped_total
    = { .name = "peer_calls_dropped_total",
        .help = "Calls of peers that were refused or malformed." };

/* libtirpc passes no user data to the dispatch function, so it looks its server up by the
 * transport. */
static pthread_mutex_t servers_mutex = PTHREAD_MUTEX_INITIALIZER;
static struct sr_peer_server *servers[SERVERS_MAX];

static int bind_socket_ (const struct sr_peer_server_options *options);
static void *server_run_ (void *data);
static void dispatch_ (struct svc_req *request, SVCXPRT *transport);
static struct sr_peer_server *server_by_transport_ (const SVCXPRT *transport);
static const struct sr_peer_procedure *
find_procedure_ (const struct sr_peer_server *server, const struct svc_req *request, void **data);
static void execute_ (SVCXPRT *transport, const struct sr_peer_procedure *procedure, void *data);

/* Binds a UDP socket to OPTIONS' address. Returns NULL when the address is invalid or can't be
 * bound. The caller owns the server. */
struct sr_peer_server *
sr_peer_server_new (const struct sr_peer_server_options *options)
{
  struct sr_peer_server *server = g_new0 (struct sr_peer_server, 1);
  bool registered = false;

  server->socket = bind_socket_ (options);
  if (server->socket < 0)
    goto fail;
  server->transport
      = svcudp_bufcreate (server->socket, SR_PEER_MESSAGE_MAX_BYTES, SR_PEER_MESSAGE_MAX_BYTES);
  if (server->transport == NULL)
    goto fail;
  pthread_mutex_lock (&servers_mutex);
  for (size_t i = 0; i < SERVERS_MAX && !registered; i++)
    {
      if (servers[i] == NULL)
        {
          servers[i] = server;
          registered = true;
        }
    }
  pthread_mutex_unlock (&servers_mutex);
  g_assert (registered);
  sr_counter_register (&served_total);
  sr_counter_register (&dropped_total);
  return server;

fail:
  if (server->socket >= 0)
    close (server->socket);
  g_free (server);
  return NULL;
}

/* Stops and frees SERVER. NULL is allowed. */
void
sr_peer_server_delete (struct sr_peer_server *server)
{
  if (server == NULL)
    return;
  sr_peer_server_stop (server);
  pthread_mutex_lock (&servers_mutex);
  for (size_t i = 0; i < SERVERS_MAX; i++)
    {
      if (servers[i] == server)
        servers[i] = NULL;
    }
  pthread_mutex_unlock (&servers_mutex);
  svc_destroy (server->transport);
  g_free (server);
}

/* Registers PROGRAM with its N_PROCEDURES PROCEDURES, which must outlive SERVER. DATA is passed to
 * the handlers. To be called before sr_peer_server_start. */
void
sr_peer_server_add (struct sr_peer_server *server,
                    uint32_t program,
                    const struct sr_peer_procedure *procedures,
                    size_t n_procedures,
                    void *data)
{
  struct served_program_ *entry = &server->programs[server->n_programs];

  g_assert (!server->started);
  g_assert (server->n_programs < PROGRAMS_MAX);
  *entry = (struct served_program_){
    .number = program, .procedures = procedures, .n_procedures = n_procedures, .data = data
  };
  server->n_programs++;
  svc_register (server->transport, program, SR_PEER_VERSION, dispatch_, 0);
}

/* Starts the server's thread. Returns false when the thread can't be created. */
bool
sr_peer_server_start (struct sr_peer_server *server)
{
  g_assert (!server->started);
  server->started = sr_thread_start (&server->thread, 0, server_run_, server);
  return server->started;
}

/* Stops the thread. Calls that arrive later get no reply. */
void
sr_peer_server_stop (struct sr_peer_server *server)
{
  if (!server->started)
    return;
  atomic_store (&server->stopping, true);
  pthread_join (server->thread, NULL);
  server->started = false;
}

static int
bind_socket_ (const struct sr_peer_server_options *options)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)options->port) };
  int buffer_bytes = RECEIVE_BUFFER_BYTES;
  int fd;

  if (inet_pton (AF_INET, options->address, &address.sin_addr) != 1)
    return -1;
  fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void *
server_run_ (void *data)
{
  struct sr_peer_server *server = data;
  struct pollfd poll_entry = { .fd = server->socket, .events = POLLIN };

  while (!atomic_load (&server->stopping))
    {
      if (poll (&poll_entry, 1, POLL_INTERVAL_MS) > 0)
        svc_getreq_common (server->socket);
    }
  return NULL;
}

static void
dispatch_ (struct svc_req *request, SVCXPRT *transport)
{
  struct sr_peer_server *server = server_by_transport_ (transport);
  const struct sr_peer_procedure *procedure;
  void *data = NULL;

  if (request->rq_proc == NULLPROC)
    {
      svc_sendreply (transport, (xdrproc_t)(void (*) (void))xdr_void, NULL);
      return;
    }
  procedure = server != NULL ? find_procedure_ (server, request, &data) : NULL;
  if (procedure == NULL)
    {
      sr_counter_add (&dropped_total, 1);
      svcerr_noproc (transport);
      return;
    }
  execute_ (transport, procedure, data);
}

static struct sr_peer_server *
server_by_transport_ (const SVCXPRT *transport)
{
  struct sr_peer_server *found = NULL;

  pthread_mutex_lock (&servers_mutex);
  for (size_t i = 0; i < SERVERS_MAX; i++)
    {
      if (servers[i] != NULL && servers[i]->transport == transport)
        found = servers[i];
    }
  pthread_mutex_unlock (&servers_mutex);
  return found;
}

static const struct sr_peer_procedure *
find_procedure_ (const struct sr_peer_server *server, const struct svc_req *request, void **data)
{
  for (size_t i = 0; i < server->n_programs; i++)
    {
      const struct served_program_ *program = &server->programs[i];

      if (program->number != request->rq_prog)
        continue;
      *data = program->data;
      for (size_t j = 0; j < program->n_procedures; j++)
        {
          if (program->procedures[j].number == request->rq_proc)
            return &program->procedures[j];
        }
    }
  return NULL;
}

static void
execute_ (SVCXPRT *transport, const struct sr_peer_procedure *procedure, void *data)
{
  void *in = g_malloc0 (procedure->in_bytes);
  void *out = g_malloc0 (procedure->out_bytes);

  if (!svc_getargs (transport, procedure->xdr_in, in))
    {
      sr_counter_add (&dropped_total, 1);
      svcerr_decode (transport);
    }
  else if (procedure->handler (in, out, data) && svc_sendreply (transport, procedure->xdr_out, out))
    sr_counter_add (&served_total, 1);
  else
    {
      sr_counter_add (&dropped_total, 1);
      svcerr_systemerr (transport);
    }
  svc_freeargs (transport, procedure->xdr_in, in);
  xdr_free (procedure->xdr_out, out);
  g_free (in);
  g_free (out);
}
