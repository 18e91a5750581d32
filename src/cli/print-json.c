#include "cli/print-json.h"

#include <stdlib.h>

static void
print_line_ (const json_t *json, FILE *stream);

/* Prints JSON on STREAM: as one line of JSON, or for people, an array as one line an item. */
void
cli_print_json (const json_t *json, bool as_json, FILE *stream)
{
  if (as_json)
    {
      char *text = json_dumps (json, JSON_COMPACT | JSON_ENCODE_ANY);

      fprintf (stream, "%s\n", text != NULL ? text : "null");
      free (text);
      return;
    }
  if (!json_is_array (json))
    {
      print_line_ (json, stream);
      return;
    }
  for (size_t i = 0; i < json_array_size (json); i++)
    print_line_ (json_array_get (json, i), stream);
}

static void
print_line_ (const json_t *json, FILE *stream)
{
  const char *key;
  json_t *value;
  const char *gap = "";

  if (!json_is_object (json))
    {
      cli_print_json (json, true, stream);
      return;
    }
  json_object_foreach ((json_t *)json, key, value)
  {
    char *text = json_is_string (value) ? NULL : json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);

    fprintf (stream, "%s%s=%s", gap, key, text != NULL ? text : json_string_value (value));
    free (text);
    gap = " ";
  }
  fputc ('\n', stream);
}
