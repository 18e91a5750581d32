/* Stand-in of the platform's object API, in memory. */
#include "emulator/common/server.h"
#include "emulator/platform/faults.h"
#include "emulator/platform/store.h"

#include <argtable2.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BODY_MAX_BYTES = 1024 * 1024,
  NAME_MAX_BYTES = 200,
  LIST_LIMIT_DEFAULT = 1000,
  US_PER_MS = 1000
};

enum call_type_
{
  CALL_GET,
  CALL_PUT,
  CALL_DELETE,
  CALL_LIST,
  CALL_WATCH,
  CALL_INSTANCES,
  CALL_COUNT
};

static const char *const call_names[CALL_COUNT]
    = { "get", "put", "delete", "list", "watch", "instances" };

struct platform_
{
  struct store *store;
  struct faults *faults;
  _Atomic int64_t calls[CALL_COUNT];
  _Atomic int64_t conflicts;
  _Atomic int64_t refused;
};

/* A call of the object API, as parsed from the request line. */
struct api_call_
{
  enum call_type_ type;
  char *kind;
  char *name;
};

static enum MHD_Result handle_ (struct standin_request *request, void *data);
static bool parse_ (const struct standin_request *request, struct api_call_ *call);
static bool
parse_object_ (const struct standin_request *request, char **parts, struct api_call_ *call);
static bool name_is_valid_ (const char *name);
static enum MHD_Result
serve_ (struct platform_ *platform, struct standin_request *request, const struct api_call_ *call);
static enum MHD_Result read_object_ (struct platform_ *platform,
                                     struct standin_request *request,
                                     const struct api_call_ *call);
static enum MHD_Result write_object_ (struct platform_ *platform,
                                      struct standin_request *request,
                                      const struct api_call_ *call);
static enum MHD_Result
list_ (struct platform_ *platform, struct standin_request *request, const struct api_call_ *call);
static enum MHD_Result reply_version_ (struct standin_request *request,
                                       unsigned status,
                                       const GString *body,
                                       int64_t version);
static enum MHD_Result counts_ (struct platform_ *platform, struct standin_request *request);

int
main (int argc, char **argv)
{
  struct arg_str *address = arg_str1 (NULL, "address", "IP", "address to listen on");
  struct arg_int *port = arg_int1 (NULL, "port", "PORT", "port to listen on");
  struct arg_int *seed = arg_int0 (NULL, "seed", "S", "seed of random choices");
  struct arg_end *end = arg_end (8);
  void *table[] = { address, port, seed, end };
  struct platform_ platform = { 0 };
  struct standin_server_options options;

  if (!standin_arguments_parse (argc, argv, table))
    return 2;
  platform.store = store_new ();
  platform.faults = faults_new ();
  options = (struct standin_server_options){ .address = address->sval[0],
                                             .port = (unsigned)port->ival[0],
                                             .handle = handle_,
                                             .data = &platform };
  return standin_server_run (&options);
}

static enum MHD_Result
handle_ (struct standin_request *request, void *data)
{
  struct platform_ *platform = data;
  struct api_call_ call = { 0 };
  enum MHD_Result result;
  bool write;

  if (standin_request_is (request, "GET", "/control/counts"))
    return counts_ (platform, request);
  if (faults_control (platform->faults, request, &result))
    return result;
  if (!parse_ (request, &call))
    {
      result = standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "path");
      goto out;
    }
  platform->calls[call.type]++;
  write = call.type == CALL_PUT || call.type == CALL_DELETE;
  switch (faults_admit (platform->faults, request, write))
    {
    case PLATFORM_PASS:
      result = serve_ (platform, request, &call);
      break;
    case PLATFORM_UNAVAILABLE:
      platform->refused++;
      result = standin_reply_error (request, MHD_HTTP_SERVICE_UNAVAILABLE, "outage");
      break;
    case PLATFORM_RATE_LIMITED:
      platform->refused++;
      result = reply_version_ (request, MHD_HTTP_TOO_MANY_REQUESTS, NULL, 0);
      break;
    default:
      result = MHD_NO;
      break;
    }
out:
  g_free (call.kind);
  g_free (call.name);
  return result;
}

/* Parses the request line into CALL, whose kind and name the caller frees, also after false. */
static bool
parse_ (const struct standin_request *request, struct api_call_ *call)
{
  char **parts = g_strsplit (request->path, "/", -1); /* "", "v1", collection, kind, name */
  bool valid = false;

  if (g_strv_length (parts) < 3 || strcmp (parts[1], "v1") != 0)
    goto out;
  if (standin_request_is (request, "GET", "/v1/instances"))
    {
      call->type = CALL_INSTANCES;
      valid = true;
    }
  else if (strcmp (parts[2], "objects") == 0 || strcmp (parts[2], "watch") == 0)
    valid = parse_object_ (request, parts, call);
out:
  g_strfreev (parts);
  return valid;
}

static bool
parse_object_ (const struct standin_request *request, char **parts, struct api_call_ *call)
{
  bool get = strcmp (request->method, "GET") == 0;
  unsigned length = g_strv_length (parts);

  if (length < 4 || length > 5)
    return false;
  call->kind = g_strdup (parts[3]);
  call->name = g_strdup (parts[4]);
  if (!name_is_valid_ (call->kind))
    return false;
  if (length == 4)
    {
      call->type = CALL_LIST;
      return get && strcmp (parts[2], "objects") == 0;
    }
  if (!name_is_valid_ (call->name))
    return false;
  if (strcmp (parts[2], "watch") == 0)
    {
      call->type = CALL_WATCH;
      return get;
    }
  call->type = get ? CALL_GET : strcmp (request->method, "PUT") == 0 ? CALL_PUT : CALL_DELETE;
  return get || call->type == CALL_PUT || strcmp (request->method, "DELETE") == 0;
}

static bool
name_is_valid_ (const char *name)
{
  size_t length = strlen (name);

  if (length == 0 || length > NAME_MAX_BYTES)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (name[i]) && strchr ("._:-", name[i]) == NULL)
      return false;
  return true;
}

static enum MHD_Result
serve_ (struct platform_ *platform, struct standin_request *request, const struct api_call_ *call)
{
  switch (call->type)
    {
    case CALL_GET:
    case CALL_WATCH:
      return read_object_ (platform, request, call);
    case CALL_PUT:
    case CALL_DELETE:
      return write_object_ (platform, request, call);
    case CALL_LIST:
      return list_ (platform, request, call);
    default:
      return standin_reply_json (request, MHD_HTTP_OK, faults_instances (platform->faults));
    }
}

static enum MHD_Result
read_object_ (struct platform_ *platform,
              struct standin_request *request,
              const struct api_call_ *call)
{
  int64_t after = -1, end_us = 0, version = 0;
  GString *body = g_string_new (NULL);
  enum MHD_Result result;

  if (call->type == CALL_WATCH)
    {
      after = standin_query_number (request, "after", 0);
      end_us = g_get_monotonic_time () + standin_query_number (request, "wait_ms", 0) * US_PER_MS;
    }
  if (store_wait (platform->store, call->kind, call->name, after, end_us, body, &version)
      == STORE_OK)
    result = reply_version_ (request, MHD_HTTP_OK, body, version);
  else if (call->type == CALL_WATCH)
    result = reply_version_ (request, MHD_HTTP_NO_CONTENT, NULL, 0);
  else
    result = standin_reply_error (request, MHD_HTTP_NOT_FOUND, "absent");
  g_string_free (body, TRUE);
  return result;
}

static enum MHD_Result
write_object_ (struct platform_ *platform,
               struct standin_request *request,
               const struct api_call_ *call)
{
  const char *match = standin_header (request, "If-Match");
  enum store_status status;
  int64_t expected, version;

  if (match == NULL)
    return standin_reply_error (request, MHD_HTTP_PRECONDITION_REQUIRED, "If-Match");
  if (request->body->len > BODY_MAX_BYTES)
    return standin_reply_error (request, MHD_HTTP_CONTENT_TOO_LARGE, "body");
  expected = strtoll (match, NULL, 10);
  if (call->type == CALL_PUT)
    status = store_put (platform->store, call->kind, call->name, request->body, expected, &version);
  else
    status = store_remove (platform->store, call->kind, call->name, expected, &version);
  if (status == STORE_ABSENT)
    return standin_reply_error (request, MHD_HTTP_NOT_FOUND, "absent");
  if (status == STORE_CONFLICT)
    {
      platform->conflicts++;
      return reply_version_ (request, MHD_HTTP_PRECONDITION_FAILED, NULL, version);
    }
  if (faults_lose_response (platform->faults, call->kind))
    return MHD_NO;
  return reply_version_ (request, MHD_HTTP_OK, NULL, version);
}

static enum MHD_Result
list_ (struct platform_ *platform, struct standin_request *request, const struct api_call_ *call)
{
  const char *prefix = standin_query (request, "prefix");
  json_t *document = store_list (platform->store, call->kind, prefix != NULL ? prefix : "",
                                 standin_query (request, "after"),
                                 standin_query_number (request, "limit", LIST_LIMIT_DEFAULT));

  return standin_reply_json (request, MHD_HTTP_OK, document);
}

/* Replies with VERSION in the X-Version header and BODY, which may be NULL. Status 429 gets a
 * Retry-After of 1 s. */
static enum MHD_Result
reply_version_ (struct standin_request *request,
                unsigned status,
                const GString *body,
                int64_t version)
{
  struct MHD_Response *response = standin_response (
      body != NULL ? body->str : "", body != NULL ? body->len : 0, "application/json");
  g_autofree char *text = g_strdup_printf ("%" G_GINT64_FORMAT, version);

  MHD_add_response_header (response, "X-Version", text);
  if (status == MHD_HTTP_TOO_MANY_REQUESTS)
    MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, "1");
  return standin_send (request, status, response);
}

static enum MHD_Result
counts_ (struct platform_ *platform, struct standin_request *request)
{
  json_t *reply = json_object ();

  for (unsigned i = 0; i < CALL_COUNT; i++)
    json_object_set_new (reply, call_names[i], json_integer ((json_int_t)platform->calls[i]));
  json_object_set_new (reply, "conflicts", json_integer ((json_int_t)platform->conflicts));
  json_object_set_new (reply, "refused", json_integer ((json_int_t)platform->refused));
  return standin_reply_json (request, MHD_HTTP_OK, reply);
}
