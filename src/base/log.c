#include "base/log.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static char *instance_name;

static GLogWriterOutput
write_json_ (GLogLevelFlags level, const GLogField *fields, gsize n_fields, void *user_data);
static const char *level_name_ (GLogLevelFlags level);

/* Sets the writer of GLib's structured log for the whole process. INSTANCE is part of every
 * line. Call it once, before other threads start. */
void
sr_log_init (const char *instance)
{
  instance_name = g_strdup (instance);
  g_log_set_writer_func (write_json_, NULL, NULL);
}

/* Logs a change of state: EVENT is a constant identifier for it, followed by a printf-like
 * message. */
void
sr_log (GLogLevelFlags level, const char *event, const char *format, ...)
{
  GString *message = g_string_new (NULL);
  va_list args;

  va_start (args, format);
  g_string_vprintf (message, format, args);
  va_end (args);
  g_log_structured (G_LOG_DOMAIN, level, "EVENT", event, "MESSAGE", "%s", message->str);
  g_string_free (message, TRUE);
}

static GLogWriterOutput
write_json_ (GLogLevelFlags level, const GLogField *fields, gsize n_fields, void *user_data)
{
  json_t *line = json_object ();
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  char *text;

  json_object_set_new (line, "time", json_string (time));
  json_object_set_new (line, "level", json_string (level_name_ (level)));
  json_object_set_new (line, "instance", json_string (instance_name != NULL ? instance_name : ""));
  for (gsize i = 0; i < n_fields; i++)
    {
      const char *value = (const char *)fields[i].value;

      if (strcmp (fields[i].key, "EVENT") == 0)
        json_object_set_new (line, "event", json_string (value));
      else if (strcmp (fields[i].key, "MESSAGE") == 0)
        json_object_set_new (line, "message", json_string (value));
    }
  text = json_dumps (line, JSON_COMPACT | JSON_PRESERVE_ORDER);
  if (text != NULL)
    fprintf (stderr, "%s\n", text);
  free (text);
  json_decref (line);
  return G_LOG_WRITER_HANDLED;
}

static const char *
level_name_ (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  return "info";
}
