#include "cli/log-line.h"

#include <string.h>

/* Returns the JSON object that TEXT holds, the caller's, or NULL when it names no event; what
 * stands before it is passed over. */
json_t *
log_line_parse (const char *text)
{
  const char *object = strchr (text, '{');
  json_t *line = object == NULL ? NULL : json_loads (object, JSON_DISABLE_EOF_CHECK, NULL);

  if (line != NULL && log_line_text (line, "event") != NULL)
    return line;
  json_decref (line);
  return NULL;
}

/* Returns the text of KEY in LINE, or NULL. */
const char *
log_line_text (const json_t *line, const char *key)
{
  return json_string_value (json_object_get (line, key));
}
