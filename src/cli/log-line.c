#include "cli/log-line.h"

#include <string.h>

/* Parses the JSON object in TEXT; text before and after it is skipped. Returns it, owned by the
 * caller, or NULL when there is none or it has no "event". */
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

/* Returns the string member KEY of LINE, valid as long as LINE, or NULL. LINE may be NULL. */
const char *
log_line_text (const json_t *line, const char *key)
{
  return json_string_value (json_object_get (line, key));
}
