#include "platform/platform-http.h"

#include "base/counters.h"
#include "base/log.h"
#include "http/exchange.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  BODY_MAX_BYTES = 4 << 20,
  HTTP_OK = 200,
  HTTP_NO_CONTENT = 204,
  HTTP_NOT_FOUND = 404,
  HTTP_PRECONDITION_FAILED = 412,
  HTTP_TOO_LARGE = 413,
  HTTP_TOO_MANY_REQUESTS = 429,
  CONNECT_TIMEOUT_S = 1,
  FAILURES_BEFORE_OPEN = 2,
  PROBE_INTERVAL_US = 500000,
  US_PER_MS = 1000,
  MS_PER_S = 1000
};

/* Circuit breaker: fails calls immediately during a known outage, except for one probe per
 * interval. */
struct outage_breaker_
{
  pthread_mutex_t mutex;
  unsigned failures;
  int64_t next_probe_us;
};

struct http_platform_
{
  struct sr_platform base;
  GString *address;
  GString *source_address;
  unsigned port;
  int timeout_s;
  struct outage_breaker_ breaker;
};

/* One call: the request, and its response. */
struct http_call_
{
  const char *method;
  const char *path;
  const char *body;
  size_t length;
  int64_t expected_version;
  bool is_conditional;
  int watch_wait_s;
  GString *response;
  int64_t version;
};

static struct sr_counter calls_total
    = { .name = "platform_calls_total", .help = "Calls to the platform that were sent." };
static struct sr_counter failures_total
    = { .name = "platform_failures_total",
        .help = "Calls to the platform without a usable answer." };
static struct sr_counter fast_refusals_total
    = { .name = "platform_fast_refusals_total", .help = "Calls not sent in a known outage." };

static enum sr_platform_status get_ (struct sr_platform *platform,
                                     const char *kind,
                                     const char *name,
                                     GString *body,
                                     int64_t *version);
static enum sr_platform_status put_ (struct sr_platform *platform,
                                     const char *kind,
                                     const char *name,
                                     const char *body,
                                     size_t length,
                                     int64_t expected_version,
                                     int64_t *version);
static enum sr_platform_status list_ (struct sr_platform *platform,
                                      const char *kind,
                                      const char *prefix,
                                      const char *after,
                                      unsigned limit,
                                      GPtrArray *names,
                                      bool *more);
static enum sr_platform_status watch_ (struct sr_platform *platform,
                                       const char *kind,
                                       const char *name,
                                       int64_t after_version,
                                       int wait_ms,
                                       GString *body,
                                       int64_t *version);
static enum sr_platform_status instances_ (struct sr_platform *platform, GString *body);
static enum sr_platform_status remove_ (struct sr_platform *platform,
                                        const char *kind,
                                        const char *name,
                                        int64_t expected_version);
static void finish_ (struct sr_platform *platform);
static enum sr_platform_status call_ (struct http_platform_ *http, struct http_call_ *call);
static enum sr_platform_status call_send_ (struct http_platform_ *http, struct http_call_ *call);
static enum sr_platform_status status_from_response_ (struct sr_exchange *exchange,
                                                      struct http_call_ *call);
static bool breaker_allow_ (struct http_platform_ *http);
static void breaker_record_ (struct http_platform_ *http, bool failed);
static bool list_decode_ (const GString *response, GPtrArray *names, bool *more);
static char *object_path_ (const char *collection, const char *kind, const char *name);

static const struct sr_platform_vtable http_vtable = {
  .get = get_,
  .put = put_,
  .list = list_,
  .watch = watch_,
  .instances = instances_,
  .remove = remove_,
  .finish = finish_,
};

/* Creates a client of the platform without connecting to it. The caller owns the one reference. */
struct sr_platform *
sr_platform_http_new (const struct sr_platform_http_options *options)
{
  struct http_platform_ *http = g_new0 (struct http_platform_, 1);

  http->base.vtable = &http_vtable;
  http->base.reference_count = 1;
  http->address = g_string_new (options->address);
  http->source_address
      = options->source_address != NULL ? g_string_new (options->source_address) : NULL;
  http->port = options->port;
  http->timeout_s = options->idle_timeout_s;
  pthread_mutex_init (&http->breaker.mutex, NULL);
  sr_counter_register (&calls_total);
  sr_counter_register (&failures_total);
  sr_counter_register (&fast_refusals_total);
  return &http->base;
}

static enum sr_platform_status
get_ (struct sr_platform *platform,
      const char *kind,
      const char *name,
      GString *body,
      int64_t *version)
{
  g_autofree char *path = object_path_ ("objects", kind, name);
  struct http_call_ call = { .method = "GET", .path = path, .response = body };
  enum sr_platform_status status;

  status = call_ ((struct http_platform_ *)platform, &call);
  *version = call.version;
  return status == SR_PLATFORM_UNKNOWN ? SR_PLATFORM_UNREACHABLE : status;
}

static enum sr_platform_status
put_ (struct sr_platform *platform,
      const char *kind,
      const char *name,
      const char *body,
      size_t length,
      int64_t expected_version,
      int64_t *version)
{
  g_autofree char *path = object_path_ ("objects", kind, name);
  g_autoptr (GString) response = g_string_new (NULL);
  struct http_call_ call = { .method = "PUT",
                             .path = path,
                             .body = body,
                             .length = length,
                             .expected_version = expected_version,
                             .is_conditional = true,
                             .response = response };
  enum sr_platform_status status;

  status = call_ ((struct http_platform_ *)platform, &call);
  *version = call.version;
  return status;
}

static enum sr_platform_status
list_ (struct sr_platform *platform,
       const char *kind,
       const char *prefix,
       const char *after,
       unsigned limit,
       GPtrArray *names,
       bool *more)
{
  g_autofree char *encoded_prefix = g_uri_escape_string (prefix != NULL ? prefix : "", NULL, FALSE);
  g_autofree char *encoded_after = g_uri_escape_string (after != NULL ? after : "", NULL, FALSE);
  g_autofree char *path = g_strdup_printf ("/v1/objects/%s?prefix=%s&after=%s&limit=%u", kind,
                                           encoded_prefix, encoded_after, limit);
  g_autoptr (GString) response = g_string_new (NULL);
  struct http_call_ call = { .method = "GET", .path = path, .response = response };
  enum sr_platform_status status;

  status = call_ ((struct http_platform_ *)platform, &call);
  if (status == SR_PLATFORM_OK && !list_decode_ (response, names, more))
    return SR_PLATFORM_UNREACHABLE;
  return status == SR_PLATFORM_UNKNOWN ? SR_PLATFORM_UNREACHABLE : status;
}

static enum sr_platform_status
watch_ (struct sr_platform *platform,
        const char *kind,
        const char *name,
        int64_t after_version,
        int wait_ms,
        GString *body,
        int64_t *version)
{
  g_autofree char *object = object_path_ ("watch", kind, name);
  g_autofree char *path = g_strdup_printf ("%s?after=%" G_GINT64_FORMAT "&wait_ms=%d", object,
                                           after_version, wait_ms);
  struct http_call_ call = { .method = "GET",
                             .path = path,
                             .response = body,
                             .watch_wait_s = (wait_ms + MS_PER_S - 1) / MS_PER_S };
  enum sr_platform_status status;

  status = call_ ((struct http_platform_ *)platform, &call);
  *version = call.version;
  return status == SR_PLATFORM_UNKNOWN ? SR_PLATFORM_UNREACHABLE : status;
}

static enum sr_platform_status
instances_ (struct sr_platform *platform, GString *body)
{
  struct http_call_ call = { .method = "GET", .path = "/v1/instances", .response = body };
  enum sr_platform_status status = call_ ((struct http_platform_ *)platform, &call);

  return status == SR_PLATFORM_UNKNOWN ? SR_PLATFORM_UNREACHABLE : status;
}

static enum sr_platform_status
remove_ (struct sr_platform *platform, const char *kind, const char *name, int64_t expected_version)
{
  g_autofree char *path = object_path_ ("objects", kind, name);
  g_autoptr (GString) response = g_string_new (NULL);
  struct http_call_ call = { .method = "DELETE",
                             .path = path,
                             .expected_version = expected_version,
                             .is_conditional = true,
                             .response = response };

  return call_ ((struct http_platform_ *)platform, &call);
}

static void
finish_ (struct sr_platform *platform)
{
  struct http_platform_ *http = (struct http_platform_ *)platform;

  g_string_free (http->address, TRUE);
  if (http->source_address != NULL)
    g_string_free (http->source_address, TRUE);
  pthread_mutex_destroy (&http->breaker.mutex);
  g_free (http);
}

static enum sr_platform_status
call_ (struct http_platform_ *http, struct http_call_ *call)
{
  enum sr_platform_status status;

  if (!breaker_allow_ (http))
    {
      sr_counter_add (&fast_refusals_total, 1);
      return SR_PLATFORM_UNREACHABLE;
    }
  sr_counter_add (&calls_total, 1);
  status = call_send_ (http, call);
  breaker_record_ (http, status == SR_PLATFORM_UNREACHABLE || status == SR_PLATFORM_UNKNOWN);
  return status;
}

static enum sr_platform_status
call_send_ (struct http_platform_ *http, struct http_call_ *call)
{
  char if_match[32];
  const char *headers[] = { "If-Match", if_match, NULL };
  struct sr_exchange_options options
      = { .address = http->address->str,
          .port = http->port,
          .source_address = http->source_address != NULL ? http->source_address->str : NULL,
          .connect_timeout_s = CONNECT_TIMEOUT_S,
          .idle_timeout_s = http->timeout_s + call->watch_wait_s,
          .method = call->method,
          .path = call->path,
          .headers = call->is_conditional ? headers : NULL,
          .body = call->body,
          .body_length = call->length };
  enum sr_platform_status status = SR_PLATFORM_UNKNOWN;
  struct sr_exchange *exchange;

  snprintf (if_match, sizeof if_match, "%" G_GINT64_FORMAT, call->expected_version);
  exchange = sr_exchange_new (&options);
  if (exchange == NULL)
    return SR_PLATFORM_UNREACHABLE;
  if (sr_exchange_begin (exchange) == SR_EXCHANGE_OK)
    status = status_from_response_ (exchange, call);
  else if (!sr_exchange_was_connected (exchange))
    status = SR_PLATFORM_UNREACHABLE;
  sr_exchange_delete (exchange);
  return status;
}

static enum sr_platform_status
status_from_response_ (struct sr_exchange *exchange, struct http_call_ *call)
{
  const char *version = sr_exchange_header (exchange, "X-Version");
  int code = sr_exchange_http_status (exchange);

  call->version = version != NULL ? g_ascii_strtoll (version, NULL, 10) : 0;
  g_string_truncate (call->response, 0);
  if (sr_exchange_read_all (exchange, call->response, BODY_MAX_BYTES) != SR_EXCHANGE_OK)
    return SR_PLATFORM_UNKNOWN;
  switch (code)
    {
    case HTTP_OK:
      return SR_PLATFORM_OK;
    case HTTP_NO_CONTENT:
      return SR_PLATFORM_UNCHANGED;
    case HTTP_NOT_FOUND:
      return SR_PLATFORM_ABSENT;
    case HTTP_PRECONDITION_FAILED:
      return SR_PLATFORM_CONFLICT;
    case HTTP_TOO_LARGE:
      return SR_PLATFORM_TOO_LARGE;
    case HTTP_TOO_MANY_REQUESTS:
      return SR_PLATFORM_RATE_LIMITED;
    default:
      return SR_PLATFORM_UNREACHABLE;
    }
}

static bool
breaker_allow_ (struct http_platform_ *http)
{
  struct outage_breaker_ *breaker = &http->breaker;
  int64_t now_us = g_get_monotonic_time ();
  bool allowed;

  pthread_mutex_lock (&breaker->mutex);
  allowed = breaker->failures < FAILURES_BEFORE_OPEN || now_us >= breaker->next_probe_us;
  if (allowed && breaker->failures >= FAILURES_BEFORE_OPEN)
    breaker->next_probe_us = now_us + PROBE_INTERVAL_US;
  pthread_mutex_unlock (&breaker->mutex);
  return allowed;
}

static void
breaker_record_ (struct http_platform_ *http, bool failed)
{
  struct outage_breaker_ *breaker = &http->breaker;
  bool was_open;
  bool is_open;

  pthread_mutex_lock (&breaker->mutex);
  was_open = breaker->failures >= FAILURES_BEFORE_OPEN;
  breaker->failures = failed ? breaker->failures + 1 : 0;
  is_open = breaker->failures >= FAILURES_BEFORE_OPEN;
  if (is_open && !was_open)
    breaker->next_probe_us = g_get_monotonic_time () + PROBE_INTERVAL_US;
  pthread_mutex_unlock (&breaker->mutex);
  if (failed)
    sr_counter_add (&failures_total, 1);
  if (is_open != was_open)
    sr_log (is_open ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_MESSAGE, "platform", "the platform is %s",
            is_open ? "out" : "back");
}

/* Returns false for a response that is malformed, or by which the list can't be continued. */
static bool
list_decode_ (const GString *response, GPtrArray *names, bool *more)
{
  unsigned n_before = names->len;
  json_t *root = json_loadb (response->str, response->len, 0, NULL);
  json_t *objects = json_object_get (root, "objects");
  json_t *each;
  size_t i;

  if (!json_is_array (objects))
    {
      json_decref (root);
      return false;
    }
  json_array_foreach (objects, i, each)
  {
    const char *name = json_string_value (json_object_get (each, "name"));

    if (name != NULL && *name != '\0')
      g_ptr_array_add (names, g_strdup (name));
  }
  *more = json_is_true (json_object_get (root, "more"));
  json_decref (root);
  return !*more || names->len > n_before;
}

/* Returns the path of object NAME of KIND, owned by the caller. A name may hold any character. */
static char *
object_path_ (const char *collection, const char *kind, const char *name)
{
  g_autofree char *encoded = g_uri_escape_string (name, NULL, FALSE);

  return g_strdup_printf ("/v1/%s/%s/%s", collection, kind, encoded);
}
