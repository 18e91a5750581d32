/* Runs the stand-in of the users' platform, with a port on which tests control it. */
#include "emulator/site/site.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ODD_DEPTH = 100000,          /* of nesting in an odd entry */
  START_TIME_DEFAULT_MS = 1000 /* start time of all backend servers until a test sets another */
};

/* A connection to the control port, with its current request. */
struct control_session_
{
  const struct net_http_owner_vtable *vtable; /* first: the connection's owner */
  struct site *site;
  struct net_http_conn *conn;
  char *target;
  GString *body;
};

static void on_head_ (void *owner, const struct net_http_head *head);
static void on_body_ (void *owner, const char *data, size_t length);
static void on_operator_timer_ (uv_timer_t *timer);
static void on_message_end_ (void *owner);
static void on_ended_ (void *owner, enum net_end_reason end);

static const struct net_http_owner_vtable control_vtable_ = {
  .head = on_head_,
  .body = on_body_,
  .message_end = on_message_end_,
  .ended = on_ended_,
};

static const char *const store_modes_[] = { [SITE_STORE_UP] = "up",
                                            [SITE_STORE_SILENT] = "silent",
                                            [SITE_STORE_UNAVAILABLE] = "busy",
                                            [SITE_STORE_LOSE_RESPONSES] = "lost",
                                            [SITE_STORE_MISS_CHANGES] = "blind" };
static const char *const backend_modes_[] = {
  [SITE_BACKEND_OK] = "ok",
  [SITE_BACKEND_SHED] = "shed",
  [SITE_BACKEND_CUT] = "cut",
  [SITE_BACKEND_RESET] = "reset",
  [SITE_BACKEND_SILENT] = "silent",
  [SITE_BACKEND_ERROR] = "error",
  [SITE_BACKEND_EXTRA] = "extra",
  [SITE_BACKEND_UNFRAMED] = "unframed",
  [SITE_BACKEND_WRONG_INSTANCE] = "other",
  [SITE_BACKEND_ENDLESS] = "endless",
  [SITE_BACKEND_STALE] = "stale",
  [SITE_BACKEND_STALE_421] = "stale421",
  [SITE_BACKEND_JSON_ERROR] = "json",
  [SITE_BACKEND_TORN] = "torn",
  [SITE_BACKEND_TORN_UNFRAMED] = "torn_unframed",
  [SITE_BACKEND_RESET_UNFRAMED] = "reset_unframed",
  [SITE_BACKEND_SHORT_UNFRAMED] = "short_unframed",
  [SITE_BACKEND_UNNAMED_421] = "unnamed421",
  [SITE_BACKEND_REPEAT] = "repeat",
};

static const char *const endless_names_[] = {
  [SITE_ENDLESS_HEAD] = "head",       [SITE_ENDLESS_LINE] = "line",
  [SITE_ENDLESS_INTERIM] = "interim", [SITE_ENDLESS_CHUNK_SIZE] = "chunk_size",
  [SITE_ENDLESS_TRAILER] = "trailer", [SITE_ENDLESS_EVENT] = "event",
  [SITE_ENDLESS_EVENTS] = "events",   [SITE_ENDLESS_BODY] = "body",
  [SITE_ENDLESS_EXCESS] = "beyond",   [SITE_ENDLESS_WRONG_REQUEST] = "other",
};

static int
index_of_ (const char *const *names, size_t count, const char *name)
{
  for (size_t i = 0; name != NULL && i < count; i++)
    if (strcmp (names[i], name) == 0)
      return (int)i;
  return -1;
}

/* Listens on PORT of the stand-in's address. Returns false when that fails. */
bool
site_listen (struct site *site, uv_tcp_t *listener, unsigned port, uv_connection_cb accept)
{
  struct sockaddr_in address;

  uv_ip4_addr (site->address, (int)port, &address);
  uv_tcp_init (&site->loop, listener);
  return uv_tcp_bind (listener, (struct sockaddr *)&address, 0) == 0
         && uv_listen ((uv_stream_t *)listener, 512, accept) == 0;
}

/* Sends a response with HEADERS, complete lines with CRLF, and BODY. */
void
site_reply (struct net_http_conn *conn, unsigned status, const char *headers, const char *body)
{
  g_autofree char *head = g_strdup_printf ("HTTP/1.1 %u X\r\n%sContent-Length: %zu\r\n\r\n", status,
                                           headers, strlen (body));
  const struct net_string_view parts[] = { net_string_view_of (head), net_string_view_of (body) };

  net_http_conn_write (conn, parts, 2);
}

/* Returns the value of a header, owned by the caller, or NULL. */
char *
site_header (const struct net_http_head *head, const char *name)
{
  for (unsigned i = 0; i < head->headers->len; i++)
    {
      const struct net_header *header = &g_array_index (head->headers, struct net_header, i);

      if (net_string_view_is_nocase (header->name, name))
        return g_strndup (header->value.data, header->value.length);
    }
  return NULL;
}

/* Returns the value of NAME in the query of TARGET as it stands there, owned by the caller, or
 * NULL.
 */
char *
site_query (const char *target, const char *name)
{
  g_autofree char *before_fragment = g_strndup (target, strcspn (target, "#"));
  const char *query = strchr (before_fragment, '?');
  g_auto (GStrv) pairs = g_strsplit (query == NULL ? "" : query + 1, "&", -1);
  size_t length = strlen (name);

  for (unsigned i = 0; pairs[i] != NULL; i++)
    if (strncmp (pairs[i], name, length) == 0 && pairs[i][length] == '=')
      return g_strdup (pairs[i] + length + 1);
  return NULL;
}

/* Decodes VALUE of a query: percent-encoding, and a plus sign for a blank. Returns NULL if it is
 * not valid; the caller owns the result. */
char *
site_decode (const char *value)
{
  g_autofree char *copy = g_strdelimit (g_strdup (value), "+", ' ');

  return g_uri_unescape_string (copy, NULL);
}

/* Accepts a connection to the control port. */
void
site_control_accept (uv_stream_t *listener, int status)
{
  struct site *site = listener->data;
  const struct net_http_conn_options options
      = { .loop = &site->loop, .is_server = true, .head_max_bytes = 16384 };
  struct control_session_ *session;

  if (status != 0)
    return;
  session = g_new0 (struct control_session_, 1);
  session->vtable = &control_vtable_;
  session->site = site;
  session->body = g_string_new (NULL);
  session->conn = net_http_conn_new (&options, session);
  net_http_conn_accept (session->conn, listener);
}

static void
on_head_ (void *owner, const struct net_http_head *head)
{
  struct control_session_ *session = owner;

  g_free (session->target);
  session->target = g_strndup (head->target.data, head->target.length);
  g_string_truncate (session->body, 0);
}

static void
on_body_ (void *owner, const char *data, size_t length)
{
  g_string_append_len (((struct control_session_ *)owner)->body, data, (gssize)length);
}

/* Returns the highest number of ARRIVALS, which are in order, in any second. */
static unsigned
arrivals_max_ (const GArray *arrivals)
{
  unsigned first = 0;
  unsigned max = 0;

  for (unsigned i = 0; i < arrivals->len; i++)
    {
      while (g_array_index (arrivals, int64_t, i) - g_array_index (arrivals, int64_t, first)
             >= G_USEC_PER_SEC)
        first++;
      max = MAX (max, i - first + 1);
    }
  return max;
}

static json_t *
counts_ (const struct site *site)
{
  json_t *leaving = json_array ();
  json_t *paused = json_array ();
  json_t *evacuated = json_array ();
  json_t *received = json_array ();
  json_t *cold = json_array ();
  json_t *cold_max = json_array ();

  for (unsigned i = 0; i < site->n_backends; i++)
    {
      json_array_append_new (leaving, json_integer (site->backends[i].latest_after_leaving_ms));
      json_array_append_new (paused, json_integer (site->backends[i].arrivals_paused));
      json_array_append_new (evacuated,
                             json_integer (site->backends[i].latest_after_evacuation_ms));
      json_array_append_new (received, json_integer (site->backends[i].arrivals));
      json_array_append_new (cold, json_integer (site->backends[i].cold_arrivals_us->len));
      json_array_append_new (cold_max,
                             json_integer (arrivals_max_ (site->backends[i].cold_arrivals_us)));
    }
  return json_pack (
      "{s:O,s:O,s:O,s:O,s:i,s:i,s:i,s:o,s:o,s:i,s:i,s:o,s:o,s:i,s:o,s:o}", "runs", site->runs,
      "urgencies", site->urgencies, "statuses", site->statuses, "consumed", site->consumed,
      "abandoned", (int)site->abandoned, "arrivals", (int)site->arrivals, "keys_seen",
      (int)site->keys_seen, "latest_after_leaving_ms", leaving, "arrivals_paused", paused,
      "crashes", (int)site->crashes, "crash_arrivals", (int)site->crash_arrivals,
      "latest_after_evacuation_ms", evacuated, "received", received, "evacuation_calls",
      (int)site->evacuation_calls, "arrivals_cold", cold, "arrivals_cold_max", cold_max);
}

static bool
set_backend_ (struct site *site, const char *target)
{
  g_autofree char *index = site_query (target, "index");
  g_autofree char *mode = site_query (target, "mode");
  g_autofree char *state = site_query (target, "state");
  g_autofree char *leaving = site_query (target, "says_leaving");
  g_autofree char *started = site_query (target, "started_ms");
  g_autofree char *endless = site_query (target, "endless");
  g_autofree char *drips = site_query (target, "drips");
  g_autofree char *crash_part = site_query (target, "crash_part");
  g_autofree char *down_ms = site_query (target, "down_ms");
  g_autofree char *crash = site_query (target, "crash");
  g_autofree char *cold_ms = site_query (target, "cold_ms");
  char *retry_after = site_query (target, "retry_after");
  unsigned backend_index
      = index == NULL ? SITE_BACKENDS_MAX : (unsigned)g_ascii_strtoull (index, NULL, 10);
  int mode_index = index_of_ (backend_modes_, G_N_ELEMENTS (backend_modes_), mode);
  int endless_index = index_of_ (endless_names_, G_N_ELEMENTS (endless_names_), endless);

  if (backend_index >= site->n_backends || (mode != NULL && mode_index < 0)
      || (endless != NULL && endless_index < 0))
    {
      g_free (retry_after);
      return false;
    }
  if (endless != NULL)
    site->backends[backend_index].endless = (enum site_endless)endless_index;
  site->backends[backend_index].trickles = g_strcmp0 (drips, "1") == 0;
  if (leaving != NULL)
    site->backends[backend_index].announces_leaving = strcmp (leaving, "1") == 0;
  if (started != NULL)
    {
      site->backends[backend_index].started_ms = g_ascii_strtoll (started, NULL, 10);
      site->backends[backend_index].leaving_since_us = 0;
    }
  if (retry_after != NULL)
    {
      g_free (site->backends[backend_index].retry_after);
      site->backends[backend_index].retry_after = retry_after;
    }
  if (cold_ms != NULL)
    {
      site->backends[backend_index].cold_until_us
          = g_get_monotonic_time () + g_ascii_strtoll (cold_ms, NULL, 10) * 1000;
      site->backends[backend_index].cold_count++;
      g_array_set_size (site->backends[backend_index].cold_arrivals_us, 0);
    }
  if (crash_part != NULL)
    site->backends[backend_index].crash_part = g_ascii_strtoull (crash_part, NULL, 16);
  if (down_ms != NULL)
    site->backends[backend_index].down_ms = (unsigned)g_ascii_strtoull (down_ms, NULL, 10);
  if (g_strcmp0 (crash, "1") == 0)
    site_backend_crash (&site->backends[backend_index]);
  site_reply_form_set (&site->backends[backend_index].form, target);
  if (mode != NULL)
    site->backends[backend_index].mode = (enum site_backend_mode)mode_index;
  if (state != NULL)
    site_backend_announce (&site->backends[backend_index], state);
  return true;
}

/* Another program writes an entry NAME (NULL: "odd") among those of the backend servers, which is
 * odd in its name or in one WAY. Returns false if that is not known. */
static bool
write_odd_entry_ (struct site *site, const char *way, const char *name)
{
  json_t *spec
      = json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s}", "service", "model", "address", "127.0.6.100:9",
                   "zone", "zone-1", "state", "ready", "slots", 64, "more", SITE_ODD_VALUE_MARK);
  bool done = true;

  g_clear_pointer (&site->odd_value, g_free);
  if (g_strcmp0 (way, "deep") == 0)
    {
      g_autofree char *open = g_strnfill (ODD_DEPTH, '[');
      g_autofree char *close = g_strnfill (ODD_DEPTH, ']');

      site->odd_value = g_strconcat (open, close, NULL);
    }
  else if (g_strcmp0 (way, "number") == 0)
    site->odd_value = g_strdup ("123456789012345678901234567890");
  else if (g_strcmp0 (way, "real") == 0)
    site->odd_value = g_strdup ("1e999");
  else if (g_strcmp0 (way, "bytes") == 0)
    site->odd_value = g_strdup ("\"\xff\\u0000\"");
  else if (g_strcmp0 (way, "port") == 0)
    json_object_set_new (spec, "address", json_string ("127.0.6.100:99999"));
  else if (g_strcmp0 (way, "unnamed") == 0)
    {
      name = SITE_ODD_VALUE_MARK;
      site->odd_value = g_strdup ("\"\xff\"");
    }
  else
    done = g_strcmp0 (way, "name") == 0 && name != NULL;
  if (done)
    objects_put (site->objects, "servers", name == NULL ? "odd" : name, spec, -1);
  json_decref (spec);
  site_store_changed (site);
  return done;
}

/* Requests (or ends) the evacuation of the data centre NAME. Notes the time of the write for its
 * backend servers. Returns false if the store had no such object to remove. */
static bool
set_evacuation_ (struct site *site, const char *name, bool is_evacuated)
{
  json_t *spec = json_object ();
  bool done = is_evacuated ? objects_put (site->objects, SITE_KIND_EVACUATIONS, name, spec, -1)
                           : objects_remove (site->objects, SITE_KIND_EVACUATIONS, name);

  for (unsigned i = 0; i < site->n_backends; i++)
    {
      struct site_backend *backend = &site->backends[i];
      g_autofree char *zone = g_strdup_printf ("zone-%u", backend->zone);

      if (strcmp (zone, name) == 0)
        {
          backend->evacuated_since_us = is_evacuated ? g_get_monotonic_time () : 0;
          if (is_evacuated)
            backend->latest_after_evacuation_ms = 0;
        }
    }
  json_decref (spec);
  site_store_changed (site);
  return done;
}

/* Restores the store as it was AGE_MS ago. The backend servers write their entries again
 * at once, and the operator writes the configuration again after OPERATOR_MS. */
static void
restore_ (struct site *site, int64_t age_ms, int64_t operator_ms)
{
  /* While the operator's write of an earlier restore is pending, the configuration it saved is
   * newer than the one in the store. */
  if (!uv_is_active ((uv_handle_t *)&site->operator_timer))
    {
      json_decref (site->saved_configuration);
      site->saved_configuration = objects_get (site->objects, "config", "main");
    }
  objects_restore (site->objects, age_ms);
  uv_timer_start (&site->operator_timer, on_operator_timer_, (uint64_t)MAX (operator_ms, 0), 0);
  for (unsigned i = 0; i < site->n_backends; i++)
    site_backend_announce (&site->backends[i],
                           site->backends[i].leaving_since_us != 0 ? "draining" : "ready");
  site_store_changed (site);
}

static void
on_operator_timer_ (uv_timer_t *timer)
{
  struct site *site = timer->data;

  if (site->saved_configuration != NULL)
    objects_put (site->objects, "config", "main",
                 json_object_get (site->saved_configuration, "spec"), -1);
  site_store_changed (site);
}

static void
on_message_end_ (void *owner)
{
  struct control_session_ *session = owner;
  struct site *site = session->site;
  json_t *reply = NULL;
  bool done = false;
  char *text;

  if (g_str_has_prefix (session->target, "/counts"))
    {
      reply = counts_ (site);
      done = true;
    }
  else if (g_str_has_prefix (session->target, "/restore"))
    {
      g_autofree char *age_ms = site_query (session->target, "age_ms");
      g_autofree char *operator_ms = site_query (session->target, "operator_ms");

      done = age_ms != NULL;
      if (done)
        restore_ (site, g_ascii_strtoll (age_ms, NULL, 10),
                  operator_ms == NULL ? 0 : g_ascii_strtoll (operator_ms, NULL, 10));
    }
  else if (g_str_has_prefix (session->target, "/store"))
    {
      g_autofree char *mode = site_query (session->target, "mode");
      int mode_index = index_of_ (store_modes_, G_N_ELEMENTS (store_modes_), mode);

      done = mode_index >= 0;
      if (done)
        site->store_mode = (enum site_store_mode)mode_index;
    }
  else if (g_str_has_prefix (session->target, "/evacuation"))
    {
      g_autofree char *zone = site_query (session->target, "zone");
      g_autofree char *on = site_query (session->target, "on");

      done = zone != NULL && set_evacuation_ (site, zone, g_strcmp0 (on, "1") == 0);
    }
  else if (g_str_has_prefix (session->target, "/odd-entry"))
    {
      g_autofree char *way = site_query (session->target, "way");
      g_autofree char *encoded = site_query (session->target, "name");
      g_autofree char *name = encoded == NULL ? NULL : site_decode (encoded);

      done = write_odd_entry_ (site, way, name);
    }
  else if (g_str_has_prefix (session->target, "/page"))
    {
      g_autofree char *count = site_query (session->target, "objects");

      done = count != NULL && atoi (count) > 0;
      if (done)
        site->page_objects = (unsigned)atoi (count);
    }
  else if (g_str_has_prefix (session->target, "/backend"))
    done = set_backend_ (site, session->target);
  else if (g_str_has_prefix (session->target, "/configuration"))
    {
      json_t *spec = json_loadb (session->body->str, session->body->len, 0, NULL);

      done = spec != NULL && objects_put (site->objects, "config", "main", spec, -1);
      json_decref (spec);
      site_store_changed (site);
    }
  text = reply == NULL ? NULL : json_dumps (reply, JSON_COMPACT);
  site_reply (session->conn, done ? 200 : 400, "Content-Type: application/json\r\n",
              text == NULL ? "{}" : text);
  free (text);
  json_decref (reply);
}

static void
on_ended_ (void *owner, enum net_end_reason end)
{
  struct control_session_ *session = owner;

  g_free (session->target);
  g_string_free (session->body, TRUE);
  g_free (session);
}

int
main (int argc, char **argv)
{
  struct arg_str *address = arg_str1 (NULL, "address", "IP", "address to listen on");
  struct arg_int *port = arg_int1 (NULL, "port", "PORT",
                                   "of the store; then control, then one for each backend server");
  struct arg_int *models = arg_int1 (NULL, "models", "N", "model engines");
  struct arg_int *plains = arg_int1 (NULL, "plains", "N", "plain services");
  struct arg_int *pace = arg_int0 (NULL, "pace-ms", "MS", "between events (2)");
  struct arg_int *zones = arg_int0 (NULL, "zones", "N", "data centres, in turn (1)");
  struct arg_end *end = arg_end (8);
  void *table[] = { address, port, models, plains, pace, zones, end };
  struct site *site;

  if (arg_parse (argc, argv, table) != 0 || models->ival[0] + plains->ival[0] > SITE_BACKENDS_MAX)
    {
      arg_print_errors (stderr, end, argv[0]);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  site = g_new0 (struct site, 1);
  uv_loop_init (&site->loop);
  uv_timer_init (&site->loop, &site->operator_timer);
  site->operator_timer.data = site;
  site->address = address->sval[0];
  site->event_interval_ms = pace->count > 0 ? (unsigned)pace->ival[0] : 2;
  site->objects = objects_new ();
  site->page_objects = SITE_PAGE_OBJECTS;
  site->watches = g_ptr_array_new ();
  site->runs = json_object ();
  site->statuses = json_object ();
  site->consumed = json_object ();
  site->urgencies = json_object ();
  site->store_listener.data = site->control_listener.data = site;
  if (!site_listen (site, &site->store_listener, (unsigned)port->ival[0], site_store_accept)
      || !site_listen (site, &site->control_listener, (unsigned)port->ival[0] + 1,
                       site_control_accept))
    {
      fprintf (stderr, "cannot listen on %s:%d\n", site->address, port->ival[0]);
      return 1;
    }
  for (int i = 0; i < models->ival[0] + plains->ival[0]; i++)
    {
      struct site_backend *backend = &site->backends[site->n_backends];

      backend->index = site->n_backends++;
      backend->port = (unsigned)port->ival[0] + 2 + backend->index;
      backend->is_model = i < models->ival[0];
      backend->zone
          = 1 + backend->index % (unsigned)(zones->count > 0 ? MAX (zones->ival[0], 1) : 1);
      backend->started_ms = START_TIME_DEFAULT_MS;
      backend->site = site;
      site_backend_init (backend);
      g_snprintf (backend->id, sizeof backend->id, "i-%u", backend->index);
      if (!site_listen (site, &backend->listener, backend->port, site_backend_accept))
        return 1;
      backend->listener.data = backend;
      site_backend_announce (backend, "ready");
    }
  printf ("ready %s:%d\n", site->address, port->ival[0]);
  fflush (stdout);
  uv_run (&site->loop, UV_RUN_DEFAULT);
  return 0;
}
