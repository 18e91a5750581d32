#include "emulator/site/site.h"

#include <stdlib.h>
#include <string.h>

/* One connection to the store. */
struct store_visit_
{
  const struct net_http_owner_vtable *vtable; /* first: the connection's owner */
  struct site *site;
  struct net_http_conn *conn;
  char *method;
  char *target;
  GString *body;
  /* A watch that waits. */
  char *kind;
  int64_t after;
  uv_timer_t timer;
};

static void on_head_ (void *owner, const struct net_http_head *head);
static void on_body_ (void *owner, const char *data, size_t length);
static void on_message_end_ (void *owner);
static void on_ended_ (void *owner, enum net_end end);

static const struct net_http_owner_vtable vtable_ = {
  .head = on_head_,
  .body = on_body_,
  .message_end = on_message_end_,
  .ended = on_ended_,
};

/* Takes a connection to the store. */
void
site_store_accept (uv_stream_t *listener, int status)
{
  struct site *site = listener->data;
  const struct net_http_conn_options options
      = { .loop = &site->loop, .is_server = true, .head_max_bytes = 16384 };
  struct store_visit_ *visit;

  if (status != 0)
    return;
  visit = g_new0 (struct store_visit_, 1);
  visit->vtable = &vtable_;
  visit->site = site;
  visit->body = g_string_new (NULL);
  visit->conn = net_http_conn_new (&options, visit);
  uv_timer_init (&site->loop, &visit->timer);
  visit->timer.data = visit;
  net_http_conn_accept (visit->conn, listener);
}

static void
reply_json_ (struct store_visit_ *visit, unsigned status, json_t *json)
{
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);
  g_autofree char *headers
      = g_strdup_printf ("Content-Type: application/json\r\nStore-Era: %" G_GINT64_FORMAT "\r\n",
                         (gint64)objects_era (visit->site->objects));

  site_reply (visit->conn, status, headers, text == NULL ? "{}" : text);
  net_http_conn_hold_messages (visit->conn, false);
  free (text);
  json_decref (json);
}

/* Answers a watch, with what has changed or, when it ENDS, with nothing. */
static bool
answer_watch_ (struct store_visit_ *visit, bool ends)
{
  json_t *events = objects_changes (visit->site->objects, visit->kind, visit->after);

  if (json_array_size (events) == 0 && !ends)
    {
      json_decref (events);
      return false;
    }
  g_ptr_array_remove (visit->site->watches, visit);
  uv_timer_stop (&visit->timer);
  reply_json_ (visit, 200,
               json_pack ("{s:o,s:I}", "events", events, "at",
                          (json_int_t)objects_revision (visit->site->objects)));
  return true;
}

/* Something was written: whoever waits for it is told. */
void
site_store_changed (struct site *site)
{
  for (unsigned i = site->watches->len; i > 0; i--)
    answer_watch_ (site->watches->pdata[i - 1], false);
}

static void
on_timer_ (uv_timer_t *timer)
{
  answer_watch_ (timer->data, true);
}

static void
on_head_ (void *owner, const struct net_http_head *head)
{
  struct store_visit_ *visit = owner;

  g_free (visit->method);
  g_free (visit->target);
  visit->method = g_strndup (head->method.data, head->method.length);
  visit->target = g_strndup (head->target.data, head->target.length);
  g_string_truncate (visit->body, 0);
}

static void
on_body_ (void *owner, const char *data, size_t length)
{
  g_string_append_len (((struct store_visit_ *)owner)->body, data, (gssize)length);
}

static void
get_ (struct store_visit_ *visit, const char *kind, const char *name)
{
  struct objects *objects = visit->site->objects;
  g_autofree char *after = site_query (visit->target, "watch");
  g_autofree char *wait_ms = site_query (visit->target, "waitMs");
  json_t *object;

  if (name != NULL)
    {
      object = objects_get (objects, kind, name);
      reply_json_ (visit, object == NULL ? 404 : 200, object);
      return;
    }
  if (after == NULL)
    {
      reply_json_ (visit, 200,
                   json_pack ("{s:o,s:b,s:I}", "items", objects_list (objects, kind), "hasMore",
                              false, "at", (json_int_t)objects_revision (objects)));
      return;
    }
  g_free (visit->kind);
  visit->kind = g_strdup (kind);
  visit->after = g_ascii_strtoll (after, NULL, 10);
  if (visit->after > objects_revision (objects))
    {
      reply_json_ (visit, 410, NULL);
      return;
    }
  g_ptr_array_add (visit->site->watches, visit);
  if (!answer_watch_ (visit, false))
    uv_timer_start (&visit->timer, on_timer_,
                    wait_ms == NULL ? 0 : g_ascii_strtoull (wait_ms, NULL, 10), 0);
}

static void
put_ (struct store_visit_ *visit, const char *kind, const char *name)
{
  struct site *site = visit->site;
  json_t *body = json_loadb (visit->body->str, visit->body->len, 0, NULL);
  json_t *metadata = json_object_get (body, "metadata");
  json_t *revision = json_object_get (metadata, "revision");
  int64_t expected = name == NULL ? 0 : revision == NULL ? -1 : json_integer_value (revision);
  const char *target = name != NULL ? name : json_string_value (json_object_get (metadata, "name"));
  bool done
      = target != NULL
        && objects_put (site->objects, kind, target, json_object_get (body, "spec"), expected);

  if (site->store_mode != SITE_STORE_LOST)
    reply_json_ (visit, done ? 200 : 409,
                 target == NULL ? NULL : objects_get (site->objects, kind, target));
  json_decref (body);
  site_store_changed (site);
}

static void
on_message_end_ (void *owner)
{
  struct store_visit_ *visit = owner;
  g_autofree char *path = g_strndup (visit->target, strcspn (visit->target, "?"));
  g_auto (GStrv) parts = g_strsplit (path, "/", 5);
  const char *kind = parts[0] != NULL && parts[1] != NULL ? parts[2] : NULL;
  const char *name = kind != NULL ? parts[3] : NULL;

  net_http_conn_hold_messages (visit->conn, true);
  if (visit->site->store_mode == SITE_STORE_SILENT)
    return;
  if (visit->site->store_mode == SITE_STORE_BUSY)
    reply_json_ (visit, 503, NULL);
  else if (kind == NULL || strcmp (parts[1], "objects") != 0)
    reply_json_ (visit, 404, NULL);
  else if (strcmp (visit->method, "GET") == 0)
    get_ (visit, kind, name);
  else if (strcmp (visit->method, "DELETE") == 0 && name != NULL)
    {
      reply_json_ (visit, objects_remove (visit->site->objects, kind, name) ? 200 : 404, NULL);
      site_store_changed (visit->site);
    }
  else
    put_ (visit, kind, name);
}

static void
on_timer_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
on_ended_ (void *owner, enum net_end end)
{
  struct store_visit_ *visit = owner;

  g_ptr_array_remove (visit->site->watches, visit);
  g_free (visit->method);
  g_free (visit->target);
  g_free (visit->kind);
  g_string_free (visit->body, TRUE);
  uv_close ((uv_handle_t *)&visit->timer, on_timer_closed_);
}
