/* Sends one request to an instance and prints its outcome in one line, or gets one document and
 * prints its body. Exits with 0 if the status is 200. */
#include "emulator/common/address.h"
#include "testing/harness/caller.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

enum
{
  HEADER_SLOTS = 16, /* names and values, with the NULL at the end */
  RESULT_SHOWN_BYTES = 24,
  HTTP_OK = 200
};

static void add_header_ (const char **headers, const char *name, const char *value);
static void print_row_ (const char *service, const struct harness_http_response *reply);

int
main (int argc, char **argv)
{
  struct arg_str *target = arg_str1 (NULL, "target", "IP:PORT", "address of the instance");
  struct arg_str *get = arg_str0 (NULL, "get", "PATH", "get this document, send no request");
  struct arg_str *service = arg_str0 (NULL, "service", "NAME", "service to call");
  struct arg_str *key = arg_str0 (NULL, "key", "KEY", "key of the team");
  struct arg_str *id = arg_str0 (NULL, "id", "ID", "Idempotency-Key");
  struct arg_lit *first_attempt = arg_lit0 (NULL, "first", "send X-Attempt: 1");
  struct arg_str *priority = arg_str0 (NULL, "priority", "P", "X-Priority");
  struct arg_str *body = arg_str0 (NULL, NULL, "BODY", "request body");
  struct arg_end *end = arg_end (8);
  void *table[] = { target, get, service, key, id, first_attempt, priority, body, end };
  const char *headers[HEADER_SLOTS] = { NULL };
  g_autofree char *authorization = NULL;
  g_autofree char *path = NULL;
  char ip[ADDRESS_IP_BYTES];
  struct sockaddr_in address;
  struct harness_call call;
  struct harness_http_response *reply;
  int status;

  if (arg_parse (argc, argv, table) != 0 || !address_parse (target->sval[0], &address)
      || (get->count == 0 && (service->count == 0 || key->count == 0 || body->count == 0)))
    {
      fprintf (stderr, "usage: %s", argv[0]);
      arg_print_syntax (stderr, table, "\n");
      return 2;
    }
  address_print_ip (&address, ip);
  path = get->count > 0 ? g_strdup (get->sval[0])
                        : g_strdup_printf ("/v1/services/%s", service->sval[0]);
  authorization = key->count > 0 ? g_strdup_printf ("Bearer %s", key->sval[0]) : NULL;
  add_header_ (headers, "Authorization", authorization);
  add_header_ (headers, "Idempotency-Key", id->count > 0 ? id->sval[0] : NULL);
  add_header_ (headers, "X-Attempt", first_attempt->count > 0 ? "1" : NULL);
  add_header_ (headers, "X-Priority", priority->count > 0 ? priority->sval[0] : NULL);
  call = (struct harness_call){ .address = ip,
                                .port = ntohs (address.sin_port),
                                .path = path,
                                .headers = headers,
                                .body = body->count > 0 ? body->sval[0] : NULL };
  reply = harness_call (&call);
  status = reply->status;
  if (get->count > 0)
    printf ("%s\n", reply->body->str);
  else
    print_row_ (service->sval[0], reply);
  harness_reply_free (reply);
  return status == HTTP_OK ? 0 : 1;
}

static void
add_header_ (const char **headers, const char *name, const char *value)
{
  unsigned count = 0;

  if (value == NULL)
    return;
  while (headers[count] != NULL)
    count++;
  headers[count] = name;
  headers[count + 1] = value;
}

/* Prints service, request ID, HTTP status, outcome, error code, billed tokens, and the beginning of
 * the result. */
static void
print_row_ (const char *service, const struct harness_http_response *reply)
{
  json_t *body = harness_reply_json (reply);
  const json_t *result = json_object_get (body, "result");
  char *text = json_dumps (result != NULL ? result : json_object_get (body, "text"),
                           JSON_COMPACT | JSON_ENCODE_ANY);
  const char *code = harness_json_text (body, "error.code");

  printf ("%-10s %-22s %3d  %-9s %-12s %6d  %.*s\n", service, harness_json_text (body, "request"),
          reply->status, harness_json_text (body, "outcome"), code,
          (int)harness_json_number (body, "billed_tokens"), RESULT_SHOWN_BYTES,
          text != NULL ? text : "");
  free (text);
  json_decref (body);
}
