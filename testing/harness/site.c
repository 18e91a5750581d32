#include "testing/harness/site.h"

#include "testing/harness/harness.h"
#include "testing/harness/raw-http.h"
#include "testing/harness/port-lock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READY_LIMIT_MS = 20000,
  IDLE_TIMEOUT_MS = 15000,
  TOKENS_PER_EVENT = 6,
  BODY_MAX_BYTES = 65536,
  SILENCE_LIMIT_S = 20,
  PROXIED_STORE_BASE = 150, /* last byte of an instance's proxied store address, less its number */
  /* Ports, as offsets from port_base, which is the store's port. */
  CONTROL_OFFSET = 1,
  PROXY_CONTROL_OFFSET = 17,
  ENTRY_OFFSET = 18,
  READY_OFFSET = 19,
  PEERS_OFFSET = 20
};

/* Time in which a backend server is cold after its start. */
static const double COLD_S = 3.0;

static const char site_address_[] = "127.0.6.100";

static bool start_proxy_ (struct site_fleet *fleet);
static int
connect_ (struct site_fleet *fleet, unsigned instance, unsigned offset, bool has_small_windows);
static bool write_settings_ (const struct site_fleet *fleet, unsigned instance);
static enum site_outcome classify_ (const struct site_request *request,
                                    const struct raw_http_response *reply);

/* The IP address of INSTANCE; the caller frees it. */
char *
site_instance_address (unsigned instance)
{
  return g_strdup_printf ("127.0.6.%u", instance);
}

/* Starts the stand-in and all instances, and waits until they are ready. Returns NULL, with the
 * reason on stderr, when that fails. */
struct site_fleet *
site_fleet_start (const struct site_options *options)
{
  const char *build = g_getenv ("BUILD") != NULL ? g_getenv ("BUILD") : "build";
  struct site_fleet *fleet = g_new0 (struct site_fleet, 1);
  GPtrArray *arguments = g_ptr_array_new_with_free_func (g_free);

  fleet->options = *options;
  fleet->idle_timeout_ms = IDLE_TIMEOUT_MS;
  fleet->directory = g_strdup_printf ("%s/test-logs/%s", build, options->name);
  g_mkdir_with_parents (fleet->directory, 0755);
  fleet->port_lock = harness_lock_ports (options->port_base + 22, 120000);
  g_ptr_array_add (arguments, g_strdup_printf ("%s/standin-site", build));
  g_ptr_array_add (arguments, g_strdup ("--address"));
  g_ptr_array_add (arguments, g_strdup (site_address_));
  g_ptr_array_add (arguments, g_strdup ("--port"));
  g_ptr_array_add (arguments, g_strdup_printf ("%u", options->port_base));
  g_ptr_array_add (arguments, g_strdup ("--models"));
  g_ptr_array_add (arguments, g_strdup_printf ("%u", options->model_backends));
  g_ptr_array_add (arguments, g_strdup ("--plains"));
  g_ptr_array_add (arguments, g_strdup_printf ("%u", options->plain_backends));
  g_ptr_array_add (arguments, g_strdup ("--pace-ms"));
  g_ptr_array_add (arguments, g_strdup_printf ("%u", options->event_interval_ms));
  g_ptr_array_add (arguments, g_strdup ("--zones"));
  g_ptr_array_add (arguments, g_strdup_printf ("%u", MAX (options->zones, 1U)));
  fleet->platform = harness_process_new (fleet->directory, "site", arguments);
  if (!harness_process_start (fleet->platform)
      || !harness_process_wait_ready (fleet->platform, READY_LIMIT_MS)
      || !site_fleet_configure (fleet, options->prepaid, false))
    {
      fprintf (stderr, "the stand-in for the platform did not start\n");
      site_fleet_stop (fleet);
      return NULL;
    }
  if (options->with_proxy && !start_proxy_ (fleet))
    {
      fprintf (stderr, "the fault proxy did not start\n");
      site_fleet_stop (fleet);
      return NULL;
    }
  for (unsigned i = 1; i <= options->instances; i++)
    {
      g_autofree char *name = g_strdup_printf ("instance-%u", i);

      arguments = g_ptr_array_new_with_free_func (g_free);
      g_ptr_array_add (arguments, g_strdup_printf ("%s/sapphirerun", build));
      g_ptr_array_add (arguments, g_strdup ("serve"));
      g_ptr_array_add (arguments, g_strdup ("--gateway"));
      g_ptr_array_add (arguments, g_strdup_printf ("%s/%s.ini", fleet->directory, name));
      fleet->instances[i] = harness_process_new (fleet->directory, name, arguments);
      if (!write_settings_ (fleet, i) || !site_fleet_start_instance (fleet, i))
        {
          fprintf (stderr, "instance %u did not start\n", i);
          site_fleet_stop (fleet);
          return NULL;
        }
    }
  for (unsigned i = 1; i <= options->instances; i++)
    if (!site_fleet_wait_ready (fleet, i, READY_LIMIT_MS))
      {
        fprintf (stderr, "instance %u did not become ready\n", i);
        site_fleet_stop (fleet);
        return NULL;
      }
  return fleet;
}

/* Ends all processes of FLEET and frees it. Accepts NULL. */
void
site_fleet_stop (struct site_fleet *fleet)
{
  if (fleet == NULL)
    return;
  for (unsigned i = 1; i <= SITE_INSTANCES_MAX; i++)
    harness_process_delete (fleet->instances[i]);
  harness_process_delete (fleet->proxy);
  harness_process_delete (fleet->platform);
  harness_unlock_ports (fleet->port_lock);
  g_free (fleet->directory);
  g_free (fleet);
}

/* Starts an instance that is not running. */
bool
site_fleet_start_instance (struct site_fleet *fleet, unsigned instance)
{
  return harness_process_start (fleet->instances[instance]);
}

/* Waits until INSTANCE reports that it is ready. */
bool
site_fleet_wait_ready (struct site_fleet *fleet, unsigned instance, int64_t limit_ms)
{
  int64_t end_us = g_get_monotonic_time () + limit_ms * 1000;

  while (site_fleet_ready_status (fleet, instance) != 200)
    {
      if (g_get_monotonic_time () >= end_us)
        return false;
      g_usleep (20000);
    }
  return true;
}

/* The HTTP status of the readiness check that a load balancer makes; 0: no response. */
int
site_fleet_ready_status (struct site_fleet *fleet, unsigned instance)
{
  g_autofree char *address = site_instance_address (instance);
  const struct harness_call call
      = { .address = address, .port = fleet->options.port_base + READY_OFFSET, .path = "/ready" };
  struct harness_http_response *reply = harness_call (&call);
  int status = reply->status;

  harness_reply_free (reply);
  return status;
}

/* Activates a configuration with the next version: PREPAID tokens for the team, and an additional
 * route when WITH_EXTRA_ROUTE is set. */
bool
site_fleet_configure (struct site_fleet *fleet, int64_t prepaid, bool with_extra_route)
{
  json_t *configuration = json_pack (
      "{s:I,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:s,s:i,s:b,s:b},{s:s,s:s,s:s,s:s,s:i,s:i,s:s,s:i,s:b,s:b},"
      "{s:s,s:s,s:s,s:s,s:i,s:i,s:s,s:i},{s:s,s:s,s:s,s:s,s:i,s:i,s:s,s:i}],"
      "s:[{s:s,s:s,s:i,s:{s:i,s:i,s:i}},{s:s,s:s,s:i}],s:{s:i,s:i,s:i,s:i},"
      "s:[{s:s,s:[s],s:I}]}",
      "version", (json_int_t)++fleet->version, "routes", "name", "r-stream", "host", "site.test",
      "pathPrefix", "/stream/", "kind", "streaming", "timeoutMs", 15000, "goalMs", 800, "service",
      "model", "maxAttempts", 2, "sticky", true, "resumable", false, "name", "r-resume", "host",
      "site.test", "pathPrefix", "/resume/", "kind", "streaming", "timeoutMs", 15000, "goalMs", 400,
      "service", "model", "maxAttempts", 2, "sticky", true, "resumable", true, "name", "r-once",
      "host", "site.test", "pathPrefix", "/once/", "kind", "unsafe", "timeoutMs", 1500, "goalMs",
      100, "service", "plain", "maxAttempts", 1, "name", "r-safe", "host", "site.test",
      "pathPrefix", "/safe/", "kind", "safe", "timeoutMs", 3000, "goalMs", 100, "service", "plain",
      "maxAttempts", 2, "services", "name", "model", "healthPath", "/health", "maxConns", 360,
      "engine", "slots", 64, "kvTokens", 460000, "stride", TOKENS_PER_EVENT, "name", "plain",
      "healthPath", "/health", "maxConns", 100, "limits", "maxHeaderBytes", 16384, "maxBodyBytes",
      (int)(fleet->options.body_max_bytes > 0 ? fleet->options.body_max_bytes : BODY_MAX_BYTES),
      "headerTimeoutMs", 3000, "idleTimeoutMs", (int)fleet->idle_timeout_ms, "tenants", "name",
      "team-1", "apiKeys", "key-1", "prepaid", (json_int_t)prepaid);
  g_autofree char *text = NULL;
  struct harness_call call = { .address = site_address_,
                               .port = fleet->options.port_base + CONTROL_OFFSET,
                               .method = "POST",
                               .path = "/configuration" };
  struct harness_http_response *reply;
  bool done;

  g_assert (configuration != NULL);
  if (fleet->options.cold_per_s > 0)
    for (size_t i = 0; i < json_array_size (json_object_get (configuration, "services")); i++)
      {
        json_t *service = json_array_get (json_object_get (configuration, "services"), i);

        json_object_set_new (service, "coldS", json_real (COLD_S));
        json_object_set_new (service, "coldPerS", json_real (fleet->options.cold_per_s));
      }
  if (fleet->options.contracts != NULL)
    for (size_t i = 0; i < json_array_size (json_object_get (configuration, "routes")); i++)
      json_object_set_new (json_array_get (json_object_get (configuration, "routes"), i),
                           "priority", json_integer (SITE_FIRST_PRIORITY + (json_int_t)i));
  if (with_extra_route)
    json_array_append_new (json_object_get (configuration, "routes"),
                           json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:s,s:i}", "name", "r-extra",
                                      "host", "site.test", "pathPrefix", "/extra/", "kind", "safe",
                                      "timeoutMs", 3000, "goalMs", 100, "service", "plain",
                                      "maxAttempts", 2));
  for (unsigned i = 0; i < fleet->unused_routes; i++)
    {
      g_autofree char *name = g_strdup_printf ("r-unused-%u", i);
      g_autofree char *prefix = g_strdup_printf ("/unused-%u/", i);

      json_array_append_new (json_object_get (configuration, "routes"),
                             json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:s,s:i}", "name", name, "host",
                                        "unused.test", "pathPrefix", prefix, "kind", "safe",
                                        "timeoutMs", 3000, "goalMs", 100, "service", "plain",
                                        "maxAttempts", 2));
    }
  text = json_dumps (configuration, JSON_COMPACT);
  call.body = text;
  reply = harness_call (&call);
  done = reply->status == 200;
  harness_reply_free (reply);
  json_decref (configuration);
  return done;
}

/* Sends a control call to the stand-in, for example "/store?mode=silent". */
bool
site_fleet_control (struct site_fleet *fleet, const char *path)
{
  return harness_post (site_address_, fleet->options.port_base + CONTROL_OFFSET, path);
}

/* Sets the behaviour of the backend servers FROM (inclusive) to TO (exclusive) with a query such as
 * "mode=cut". Returns whether all calls succeeded. */
bool
site_fleet_set_backends (struct site_fleet *fleet, unsigned from, unsigned to, const char *settings)
{
  bool done = true;

  for (unsigned i = from; i < to; i++)
    {
      g_autofree char *path = g_strdup_printf ("/backend?index=%u&%s", i, settings);

      done = site_fleet_control (fleet, path) && done;
    }
  return done;
}

/* Sets a mode of the fault proxy on the link from INSTANCE to the store. */
bool
site_fleet_add_rule (struct site_fleet *fleet, unsigned instance, const char *mode, int delay_ms)
{
  g_autofree char *path = g_strdup_printf ("/control/rule?from=*&to=127.0.6.%u&mode=%s&delay_ms=%d",
                                           PROXIED_STORE_BASE + instance, mode, delay_ms);

  return harness_post (site_address_, fleet->options.port_base + PROXY_CONTROL_OFFSET, path);
}

/* Restores all links by removing the rules of the fault proxy. */
bool
site_fleet_clear_rules (struct site_fleet *fleet)
{
  return harness_post (site_address_, fleet->options.port_base + PROXY_CONTROL_OFFSET,
                       "/control/clear");
}

/* The counters of the stand-in; the caller owns the result. */
json_t *
site_fleet_counts (struct site_fleet *fleet)
{
  return harness_get_json (site_address_, fleet->options.port_base + CONTROL_OFFSET, "/counts");
}

/* Returns whether the store has the object NAME of KIND. */
bool
site_fleet_has_object (struct site_fleet *fleet, const char *kind, const char *name)
{
  g_autofree char *path = g_strdup_printf ("/objects/%s/%s", kind, name);
  const struct harness_call call
      = { .address = site_address_, .port = fleet->options.port_base, .path = path };
  struct harness_http_response *reply = harness_call (&call);
  bool has_object = reply->status == 200;

  harness_reply_free (reply);
  return has_object;
}

/* Opens a connection to the entry of INSTANCE. HAS_SMALL_WINDOWS: with segments and a receive
 * buffer as on a slow link, so that the instance's kernel can take few bytes ahead. Returns its
 * socket, which the caller closes, or -1. */
int
site_connect (struct site_fleet *fleet, unsigned instance, bool has_small_windows)
{
  return connect_ (fleet, instance, ENTRY_OFFSET, has_small_windows);
}

/* Like site_connect with small windows, to the readiness listener of INSTANCE. */
int
site_connect_readiness (struct site_fleet *fleet, unsigned instance)
{
  return connect_ (fleet, instance, READY_OFFSET, true);
}

static int
connect_ (struct site_fleet *fleet, unsigned instance, unsigned offset, bool has_small_windows)
{
  g_autofree char *address = site_instance_address (instance);
  struct sockaddr_in target = { .sin_family = AF_INET,
                                .sin_port = htons ((uint16_t)(fleet->options.port_base + offset)) };
  const int small_buffer_bytes = 4096;
  const int segment_bytes = 1400;
  int peer = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, address, &target.sin_addr);
  if (has_small_windows)
    {
      setsockopt (peer, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes, sizeof small_buffer_bytes);
      setsockopt (peer, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
    }
  if (connect (peer, (struct sockaddr *)&target, sizeof target) == 0)
    return peer;
  close (peer);
  return -1;
}

/* Sends BYTES to INSTANCE on a new connection. The caller owns the reply. */
struct raw_http_response *
site_call_raw (struct site_fleet *fleet, unsigned instance, const char *bytes)
{
  g_autofree char *address = site_instance_address (instance);

  return raw_http_call (address, fleet->options.port_base + ENTRY_OFFSET, bytes, strlen (bytes),
                        SILENCE_LIMIT_S);
}

/* Sends one request. The caller owns the reply. */
struct raw_http_response *
site_call (struct site_fleet *fleet, const struct site_request *request)
{
  g_autofree char *counts
      = g_strdup_printf ("%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT, (gint64)request->input_tokens,
                         (gint64)request->output_tokens);
  g_autofree char *parts = request->parts != NULL ? g_strdup (request->parts)
                                                  : g_strdup_printf ("5c1e:%" G_GINT64_FORMAT,
                                                                     (gint64)request->input_tokens);
  g_autofree char *deadline = g_strdup_printf (
      "%" G_GINT64_FORMAT, (gint64)(request->deadline_ms > 0 ? request->deadline_ms : 10000));
  g_autofree char *tokens
      = request->output_tokens > 0
            ? g_strdup_printf ("X-Token-Counts: %s\r\nX-Prompt-Prefix: %s\r\n", counts, parts)
            : g_strdup ("");
  g_autofree char *bytes = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %s\r\n"
      "Authorization: Token key-1\r\n%sContent-Length: 4\r\n\r\nbody",
      request->path, request->id, deadline, tokens);

  return site_call_raw (fleet, request->instance, bytes);
}

/* Returns the whole body of the response to the stream REQUEST; the caller owns it. */
GString *
site_expected_events (const struct site_request *request)
{
  GString *expected = g_string_new (NULL);

  for (int64_t i = 1; i <= request->output_tokens / TOKENS_PER_EVENT; i++)
    g_string_append_printf (expected, "id: %" G_GINT64_FORMAT "\ndata: %s-%" G_GINT64_FORMAT "\n\n",
                            (gint64)i, request->id, (gint64)i);
  return expected;
}

/* Sends one request and classifies its response. */
struct site_response
site_send (struct site_fleet *fleet, const struct site_request *request)
{
  int64_t begin_us = g_get_monotonic_time ();
  struct raw_http_response *reply = site_call (fleet, request);
  struct site_response answer = { .outcome = classify_ (request, reply),
                                  .status = reply->status,
                                  .duration_ms = (g_get_monotonic_time () - begin_us) / 1000,
                                  .retry_after_s = reply->retry_after_s };
  const char *at = reply->body->str;

  for (; request->output_tokens > 0 && (at = strstr (at, "\n\n")) != NULL; at += 2)
    answer.events++;

  raw_reply_free (reply);
  return answer;
}

/* The number of runs of request ID. */
unsigned
site_run_count (json_t *counts, const char *id)
{
  return (unsigned)json_array_size (json_object_get (json_object_get (counts, "runs"), id));
}

static enum site_outcome
classify_ (const struct site_request *request, const struct raw_http_response *reply)
{
  g_autoptr (GString) expected = site_expected_events (request);

  if (reply->status == 0)
    return SITE_NO_RESPONSE;
  if (reply->status == 503 || reply->status == 429 || reply->status == 408 || reply->status == 421)
    return SITE_NOT_RUN;
  if (reply->status != 200)
    return SITE_FAILED;
  if (!reply->complete)
    return SITE_TRUNCATED;
  if (request->output_tokens == 0)
    g_string_printf (expected, "answer to %s", request->id);
  return g_string_equal (expected, reply->body) ? SITE_COMPLETED : SITE_WRONG;
}

static bool
start_proxy_ (struct site_fleet *fleet)
{
  const char *build = g_getenv ("BUILD") != NULL ? g_getenv ("BUILD") : "build";
  GPtrArray *arguments = g_ptr_array_new_with_free_func (g_free);

  g_ptr_array_add (arguments, g_strdup_printf ("%s/standin-proxy", build));
  g_ptr_array_add (arguments, g_strdup_printf ("--control-address=%s", site_address_));
  g_ptr_array_add (arguments, g_strdup_printf ("--control-port=%u",
                                               fleet->options.port_base + PROXY_CONTROL_OFFSET));
  for (unsigned i = 1; i <= fleet->options.instances; i++)
    g_ptr_array_add (arguments, g_strdup_printf ("--link=127.0.6.%u:%u=%s:%u",
                                                 PROXIED_STORE_BASE + i, fleet->options.port_base,
                                                 site_address_, fleet->options.port_base));
  fleet->proxy = harness_process_new (fleet->directory, "proxy", arguments);
  return harness_process_start (fleet->proxy)
         && harness_process_wait_ready (fleet->proxy, READY_LIMIT_MS);
}

static bool
write_settings_ (const struct site_fleet *fleet, unsigned instance)
{
  g_autofree char *address = site_instance_address (instance);
  g_autofree char *path = g_strdup_printf ("%s/instance-%u.ini", fleet->directory, instance);
  unsigned base = fleet->options.port_base;
  g_autofree char *store = fleet->options.with_proxy
                               ? g_strdup_printf ("127.0.6.%u", PROXIED_STORE_BASE + instance)
                               : g_strdup (site_address_);
  g_autofree char *evacuation
      = fleet->options.evacuation_limit_ms > 0
            ? g_strdup_printf ("[evacuation]\nlimit_ms = %u\n", fleet->options.evacuation_limit_ms)
            : g_strdup ("");
  g_autofree char *limits
      = fleet->options.memory_mb > 0 || fleet->options.descriptors > 0
            ? g_strdup_printf ("[limits]\nmemory_mb = %u\ndescriptors = %u\n",
                               fleet->options.memory_mb, fleet->options.descriptors)
            : g_strdup ("");
  g_autofree char *text = g_strdup_printf (
      "[instance]\nname = instance-%u\ndata_centre = zone-1\n[listen]\naddress = %s\n"
      "entry = %s:%u\nready = %s:%u\npeer_port = %u\n[store]\naddress = %s:%u\n"
      "[retries]\nratio = 0.2\nextra = 50\nwindow_s = 10\n%s%s%s[stop]\nlimit_s = %u\n%s%s%s",
      instance, address, address, base + ENTRY_OFFSET, address, base + READY_OFFSET,
      base + PEERS_OFFSET, store, base,
      fleet->options.contracts == NULL ? "" : "[callers]\ncontracts = ",
      fleet->options.contracts == NULL ? "" : fleet->options.contracts,
      fleet->options.contracts == NULL ? "" : "\n",
      fleet->options.stop_limit_s > 0 ? fleet->options.stop_limit_s : 8, evacuation, limits,
      fleet->options.more_settings == NULL ? "" : fleet->options.more_settings);

  return g_file_set_contents (path, text, -1, NULL);
}
