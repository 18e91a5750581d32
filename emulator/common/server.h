/* HTTP server of the stand-ins, on libmicrohttpd with one thread for each connection. */
#pragma once

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/* A request whose body has been read completely. The strings are valid until the response is sent.
 */
struct standin_request
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  GString *body;
};

/* Replies to one request, on the thread of its connection; may block. MHD_NO closes the connection
 * without a response. */
typedef enum MHD_Result (*standin_handler) (struct standin_request *request, void *data);

struct standin_server_options
{
  const char *address;
  unsigned port;
  standin_handler handle;
  void *data;
};

int standin_server_run (const struct standin_server_options *options);
bool standin_server_start (const struct standin_server_options *options);
void standin_block_signals (void);
void standin_announce (const char *address, unsigned port);
void standin_wait_for_stop (void);
bool standin_arguments_parse (int argc, char **argv, void **table);

bool
standin_request_is (const struct standin_request *request, const char *method, const char *path);
const char *standin_query (const struct standin_request *request, const char *name);
int64_t
standin_query_number (const struct standin_request *request, const char *name, int64_t fallback);
const char *standin_header (const struct standin_request *request, const char *name);
bool standin_peer_closed (const struct standin_request *request);

struct MHD_Response *standin_response (const char *body, size_t length, const char *content_type);
enum MHD_Result
standin_send (struct standin_request *request, unsigned status, struct MHD_Response *response);
enum MHD_Result standin_reply_json (struct standin_request *request, unsigned status, json_t *body);
enum MHD_Result standin_reply_ok (struct standin_request *request);
enum MHD_Result
standin_reply_error (struct standin_request *request, unsigned status, const char *code);
