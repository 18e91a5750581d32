#include "peer/peer.h"

#include "base/counters.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  IDLE_HANDLES_MAX = 256,
  IDLE_HANDLES_PER_PEER_MAX = 4,
  RETRANSMIT_INTERVAL_MS = 100,
  HANDLE_KEY_MAX_BYTES = 64,
  MS_PER_S = 1000,
  US_PER_MS = 1000
};

/* An RPC client handle and the socket that belongs to it. */
struct peer_handle_
{
  CLIENT *client;
  int socket;
};

struct sr_peer_client
{
  pthread_mutex_t mutex;
  GHashTable *idle; /* "IP:PORT/PROGRAM" to GPtrArray of struct peer_handle_ */
  unsigned n_idle;
  GString *source_address;
};

static struct sr_counter calls_total
    = { .name = "peer_calls_total", .help = "Calls made to peers." };
static struct sr_counter failed_total
    = { .name = "peer_calls_unanswered_total", .help = "Calls to peers without an answer." };

static struct peer_handle_ *handle_acquire_ (struct sr_peer_client *client, const char *key);
static void
handle_release_ (struct sr_peer_client *client, const char *key, struct peer_handle_ *handle);
static struct peer_handle_ *handle_new_ (struct sr_peer_client *client,
                                         const struct sr_peer_address *address,
                                         uint32_t program);
static int bind_source_ (const struct sr_peer_client *client);
static void handle_free_ (void *data);
static void handles_free_ (void *data);

/* The caller owns the client. It may be shared by several threads. */
struct sr_peer_client *
sr_peer_client_new (const struct sr_peer_client_options *options)
{
  struct sr_peer_client *client = g_new0 (struct sr_peer_client, 1);

  pthread_mutex_init (&client->mutex, NULL);
  client->idle = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, handles_free_);
  if (options->source_address != NULL)
    client->source_address = g_string_new (options->source_address);
  sr_counter_register (&calls_total);
  sr_counter_register (&failed_total);
  return client;
}

/* Frees CLIENT; no call may be in progress. NULL is allowed. */
void
sr_peer_client_delete (struct sr_peer_client *client)
{
  if (client == NULL)
    return;
  g_hash_table_unref (client->idle);
  pthread_mutex_destroy (&client->mutex);
  if (client->source_address != NULL)
    g_string_free (client->source_address, TRUE);
  g_free (client);
}

/* Calls PROCEDURE of PROGRAM at ADDRESS with IN. Blocks for at most TIMEOUT_MS, and retransmits the
 * call every 100 ms. OUT must be zeroed by the caller, who frees its contents with xdr_free on OK.
 * On UNREACHABLE the call may have been executed. */
enum sr_peer_status
sr_peer_call (struct sr_peer_client *client,
              const struct sr_peer_address *address,
              uint32_t program,
              uint32_t procedure,
              xdrproc_t xdr_in,
              void *in,
              xdrproc_t xdr_out,
              void *out,
              int timeout_ms)
{
  struct timeval timeout
      = { .tv_sec = timeout_ms / MS_PER_S, .tv_usec = timeout_ms % MS_PER_S * US_PER_MS };
  char key[HANDLE_KEY_MAX_BYTES];
  struct peer_handle_ *handle;
  enum clnt_stat status;

  snprintf (key, sizeof key, "%s:%u/%x", address->ip, address->port, program);
  sr_counter_add (&calls_total, 1);
  handle = handle_acquire_ (client, key);
  if (handle == NULL)
    handle = handle_new_ (client, address, program);
  if (handle == NULL)
    return SR_PEER_UNREACHABLE;
  status = clnt_call (handle->client, procedure, xdr_in, in, xdr_out, out, timeout);
  if (status == RPC_SUCCESS)
    {
      handle_release_ (client, key, handle);
      return SR_PEER_OK;
    }
  sr_counter_add (&failed_total, 1);
  handle_free_ (handle);
  switch (status)
    {
    case RPC_PROGUNAVAIL:
    case RPC_PROCUNAVAIL:
    case RPC_PROGVERSMISMATCH:
    case RPC_CANTDECODEARGS:
    case RPC_SYSTEMERROR:
      return SR_PEER_REFUSED;
    default:
      return SR_PEER_UNREACHABLE;
    }
}

static struct peer_handle_ *
handle_acquire_ (struct sr_peer_client *client, const char *key)
{
  struct peer_handle_ *handle = NULL;
  GPtrArray *handles;

  pthread_mutex_lock (&client->mutex);
  handles = g_hash_table_lookup (client->idle, key);
  if (handles != NULL && handles->len > 0)
    {
      handle = g_ptr_array_steal_index_fast (handles, handles->len - 1);
      client->n_idle--;
    }
  pthread_mutex_unlock (&client->mutex);
  return handle;
}

static void
handle_release_ (struct sr_peer_client *client, const char *key, struct peer_handle_ *handle)
{
  GPtrArray *handles;
  bool kept = false;

  pthread_mutex_lock (&client->mutex);
  handles = g_hash_table_lookup (client->idle, key);
  if (handles == NULL)
    {
      handles = g_ptr_array_new_with_free_func (handle_free_);
      g_hash_table_insert (client->idle, g_strdup (key), handles);
    }
  if (handles->len < IDLE_HANDLES_PER_PEER_MAX && client->n_idle < IDLE_HANDLES_MAX)
    {
      g_ptr_array_add (handles, handle);
      client->n_idle++;
      kept = true;
    }
  pthread_mutex_unlock (&client->mutex);
  if (!kept)
    handle_free_ (handle);
}

static struct peer_handle_ *
handle_new_ (struct sr_peer_client *client, const struct sr_peer_address *address, uint32_t program)
{
  struct sockaddr_in target
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)address->port) };
  struct timeval retransmit_interval = { .tv_usec = RETRANSMIT_INTERVAL_MS * US_PER_MS };
  struct peer_handle_ *handle;
  int fd;

  if (inet_pton (AF_INET, address->ip, &target.sin_addr) != 1 || address->port == 0)
    return NULL;
  fd = bind_source_ (client);
  if (fd < 0)
    return NULL;
  handle = g_new0 (struct peer_handle_, 1);
  handle->socket = fd;
  handle->client
      = clntudp_bufcreate (&target, program, SR_PEER_VERSION, retransmit_interval, &handle->socket,
                           SR_PEER_MESSAGE_MAX_BYTES, SR_PEER_MESSAGE_MAX_BYTES);
  if (handle->client == NULL)
    {
      close (fd);
      g_free (handle);
      return NULL;
    }
  return handle;
}

static int
bind_source_ (const struct sr_peer_client *client)
{
  struct sockaddr_in source = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  if (fd < 0 || client->source_address == NULL)
    return fd;
  if (inet_pton (AF_INET, client->source_address->str, &source.sin_addr) != 1
      || bind (fd, (struct sockaddr *)&source, sizeof source) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void
handle_free_ (void *data)
{
  struct peer_handle_ *handle = data;

  clnt_destroy (handle->client);
  close (handle->socket);
  g_free (handle);
}

static void
handles_free_ (void *data)
{
  g_ptr_array_unref (data);
}
