#include "emulator/site/site.h"

#include <stdlib.h>
#include <string.h>

/* A connection to the store, with its current request. */
struct store_session_
{
  const struct net_http_owner_vtable *vtable; /* first: the connection's owner */
  struct site *site;
  struct net_http_conn *conn;
  char *method;
  char *target;
  GString *body;
  /* A pending watch: the kind watched and the revision after which changes are reported. */
  char *kind;
  int64_t after;
  uv_timer_t timer;
};

static void on_head_ (void *owner, const struct net_http_head *head);
static void on_body_ (void *owner, const char *data, size_t length);
static void on_message_end_ (void *owner);
static void on_ended_ (void *owner, enum net_end_reason end);

static const struct net_http_owner_vtable vtable_ = {
  .head = on_head_,
  .body = on_body_,
  .message_end = on_message_end_,
  .ended = on_ended_,
};

/* Accepts a connection to the store. */
void
site_store_accept (uv_stream_t *listener, int status)
{
  struct site *site = listener->data;
  const struct net_http_conn_options options
      = { .loop = &site->loop, .is_server = true, .head_max_bytes = 16384 };
  struct store_session_ *session;

  if (status != 0)
    return;
  session = g_new0 (struct store_session_, 1);
  session->vtable = &vtable_;
  session->site = site;
  session->body = g_string_new (NULL);
  session->conn = net_http_conn_new (&options, session);
  uv_timer_init (&site->loop, &session->timer);
  session->timer.data = session;
  net_http_conn_accept (session->conn, listener);
}

static void
reply_json_ (struct store_session_ *session, unsigned status, json_t *json)
{
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);
  g_autoptr (GString) written = g_string_new (text == NULL ? "{}" : text);
  g_autofree char *headers
      = g_strdup_printf ("Content-Type: application/json\r\nStore-Era: %" G_GINT64_FORMAT "\r\n",
                         (gint64)objects_era (session->site->objects));

  if (session->site->odd_value != NULL)
    g_string_replace (written, "\"" SITE_ODD_VALUE_MARK "\"", session->site->odd_value, 0);
  site_reply (session->conn, status, headers, written->str);
  net_http_conn_hold_messages (session->conn, false);
  free (text);
  json_decref (json);
}

/* Replies to a watch when there are changes, or without any when EXPIRED. Returns whether it
 * replied. */
static bool
reply_watch_ (struct store_session_ *session, bool expired)
{
  json_t *events = objects_changes (session->site->objects, session->kind, session->after);

  if (session->site->store_mode == SITE_STORE_MISS_CHANGES)
    json_array_clear (events);
  if (json_array_size (events) == 0 && !expired)
    {
      json_decref (events);
      return false;
    }
  g_ptr_array_remove (session->site->watches, session);
  uv_timer_stop (&session->timer);
  reply_json_ (session, 200,
               json_pack ("{s:o,s:I}", "events", events, "at",
                          (json_int_t)objects_revision (session->site->objects)));
  return true;
}

/* Call after every write: replies to the pending watches that it concerns. */
void
site_store_changed (struct site *site)
{
  for (unsigned i = site->watches->len; i > 0; i--)
    reply_watch_ (site->watches->pdata[i - 1], false);
}

static void
on_timer_ (uv_timer_t *timer)
{
  reply_watch_ (timer->data, true);
}

static void
on_head_ (void *owner, const struct net_http_head *head)
{
  struct store_session_ *session = owner;

  g_free (session->method);
  g_free (session->target);
  session->method = g_strndup (head->method.data, head->method.length);
  session->target = g_strndup (head->target.data, head->target.length);
  g_string_truncate (session->body, 0);
}

static void
on_body_ (void *owner, const char *data, size_t length)
{
  g_string_append_len (((struct store_session_ *)owner)->body, data, (gssize)length);
}

static void
list_ (struct store_session_ *session, const char *kind)
{
  struct objects *objects = session->site->objects;
  g_autofree char *encoded = site_query (session->target, "afterRev");
  g_autofree char *after = encoded == NULL ? NULL : site_decode (encoded);
  bool more;
  json_t *items;

  if (encoded != NULL && after == NULL)
    {
      reply_json_ (session, 400, NULL);
      return;
    }
  items = objects_list (objects, kind, after, session->site->page_objects, &more);
  reply_json_ (session, 200,
               json_pack ("{s:o,s:b,s:I}", "items", items, "hasMore", more, "at",
                          (json_int_t)objects_revision (objects)));
}

static void
get_ (struct store_session_ *session, const char *kind, const char *name)
{
  struct objects *objects = session->site->objects;
  g_autofree char *after = site_query (session->target, "watch");
  g_autofree char *wait_ms = site_query (session->target, "waitMs");
  json_t *object;

  if (strcmp (kind, SITE_KIND_EVACUATIONS) == 0)
    session->site->evacuation_calls++;
  if (name != NULL)
    {
      object = objects_get (objects, kind, name);
      reply_json_ (session, object == NULL ? 404 : 200, object);
      return;
    }
  if (after == NULL)
    {
      list_ (session, kind);
      return;
    }
  g_free (session->kind);
  session->kind = g_strdup (kind);
  session->after = g_ascii_strtoll (after, NULL, 10);
  if (session->after > objects_revision (objects))
    {
      reply_json_ (session, 410, NULL);
      return;
    }
  g_ptr_array_add (session->site->watches, session);
  if (!reply_watch_ (session, false))
    uv_timer_start (&session->timer, on_timer_,
                    wait_ms == NULL ? 0 : g_ascii_strtoull (wait_ms, NULL, 10), 0);
}

static void
put_ (struct store_session_ *session, const char *kind, const char *name)
{
  struct site *site = session->site;
  json_t *body = json_loadb (session->body->str, session->body->len, 0, NULL);
  json_t *metadata = json_object_get (body, "metadata");
  json_t *revision = json_object_get (metadata, "revision");
  int64_t expected = name == NULL ? 0 : revision == NULL ? -1 : json_integer_value (revision);
  const char *target = name != NULL ? name : json_string_value (json_object_get (metadata, "name"));
  bool done
      = target != NULL
        && objects_put (site->objects, kind, target, json_object_get (body, "spec"), expected);

  if (site->store_mode != SITE_STORE_LOSE_RESPONSES)
    reply_json_ (session, done ? 200 : 409,
                 target == NULL ? NULL : objects_get (site->objects, kind, target));
  json_decref (body);
  site_store_changed (site);
}

static void
on_message_end_ (void *owner)
{
  struct store_session_ *session = owner;
  g_autofree char *path = g_strndup (session->target, strcspn (session->target, "?#"));
  g_auto (GStrv) parts = g_strsplit (path, "/", 5);
  const char *kind = parts[0] != NULL && parts[1] != NULL ? parts[2] : NULL;
  const char *encoded = kind != NULL ? parts[3] : NULL;
  g_autofree char *name = encoded == NULL ? NULL : g_uri_unescape_string (encoded, NULL);

  net_http_conn_hold_messages (session->conn, true);
  if (session->site->store_mode == SITE_STORE_SILENT)
    return;
  if (session->site->store_mode == SITE_STORE_UNAVAILABLE)
    reply_json_ (session, 503, NULL);
  else if (kind == NULL || strcmp (parts[1], "objects") != 0)
    reply_json_ (session, 404, NULL);
  else if (encoded != NULL && (name == NULL || parts[4] != NULL))
    reply_json_ (session, 400, NULL);
  else if (strcmp (session->method, "GET") == 0)
    get_ (session, kind, name);
  else if (strcmp (session->method, "DELETE") == 0 && name != NULL)
    {
      reply_json_ (session, objects_remove (session->site->objects, kind, name) ? 200 : 404, NULL);
      site_store_changed (session->site);
    }
  else
    put_ (session, kind, name);
}

static void
on_timer_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
on_ended_ (void *owner, enum net_end_reason end)
{
  struct store_session_ *session = owner;

  g_ptr_array_remove (session->site->watches, session);
  g_free (session->method);
  g_free (session->target);
  g_free (session->kind);
  g_string_free (session->body, TRUE);
  uv_close ((uv_handle_t *)&session->timer, on_timer_closed_);
}
