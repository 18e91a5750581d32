/* ONC RPC over UDP between instances. Each component that talks to its peers has its own program
 * number, messages (a file NAME_xdr.x, whose generated code is committed) and procedures. A call
 * may be sent and executed more than once, so every procedure must be idempotent. */
#pragma once

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  SR_PEER_PROGRAM_MEMBER = 0x20005301,
  SR_PEER_PROGRAM_CONFIG = 0x20005302,
  SR_PEER_PROGRAM_BUDGET = 0x20005303,
  SR_PEER_PROGRAM_BILL = 0x20005304,
  SR_PEER_PROGRAM_REQUEST = 0x20005305,
  SR_PEER_VERSION = 1,
  SR_PEER_MESSAGE_MAX_BYTES = 8192
};

enum sr_peer_status
{
  SR_PEER_OK,
  SR_PEER_UNREACHABLE, /* no reply within the timeout: the call may have been executed */
  SR_PEER_REFUSED      /* the peer has no such procedure, could not decode the call, or its handler
                          refused it */
};

struct sr_peer_address
{
  char ip[16];
  unsigned port;
};

/* Server: one thread for all programs. Handlers run in this thread and must not block. */
struct sr_peer_server;

struct sr_peer_server_options
{
  const char *address; /* IPv4 */
  unsigned port;
};

/* Executes one procedure. in points to the decoded argument, out to the zeroed result; the server
 * frees both with xdr_free. Returns false to refuse the call. */
typedef bool (*sr_peer_handler) (void *in, void *out, void *data);

struct sr_peer_procedure
{
  uint32_t number;
  xdrproc_t xdr_in;
  size_t in_bytes;
  xdrproc_t xdr_out;
  size_t out_bytes;
  sr_peer_handler handler;
};

struct sr_peer_server *sr_peer_server_new (const struct sr_peer_server_options *options);
void sr_peer_server_delete (struct sr_peer_server *server);
void sr_peer_server_add (struct sr_peer_server *server,
                         uint32_t program,
                         const struct sr_peer_procedure *procedures,
                         size_t n_procedures,
                         void *data);
bool sr_peer_server_start (struct sr_peer_server *server);
void sr_peer_server_stop (struct sr_peer_server *server);

/* Client: thread-safe. The caller frees decoded results with xdr_free. */
struct sr_peer_client;

struct sr_peer_client_options
{
  const char *source_address; /* IPv4 address to send from; NULL for any */
};

struct sr_peer_client *sr_peer_client_new (const struct sr_peer_client_options *options);
void sr_peer_client_delete (struct sr_peer_client *client);
enum sr_peer_status sr_peer_call (struct sr_peer_client *client,
                                  const struct sr_peer_address *address,
                                  uint32_t program,
                                  uint32_t procedure,
                                  xdrproc_t xdr_in,
                                  void *in,
                                  xdrproc_t xdr_out,
                                  void *out,
                                  int timeout_ms);
