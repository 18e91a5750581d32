#include "cli/print-table.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  COLUMNS_MAX = 16,
  COLUMN_GAP_CHARS = 2
};

static void print_lines_ (const json_t *rows, FILE *stream);
static char *cell_text_ (const json_t *row, const char *column);
static void measure_columns_ (const json_t *rows, const char *const *columns, size_t *widths);
static void print_cell_ (const char *text, size_t width, bool is_last, FILE *stream);

/* Prints ROWS, an array of objects, on STREAM: with AS_JSON each complete object as one line of
 * JSON, otherwise a table with a heading whose columns are the members named by COLUMNS (at most
 * 16, ends with NULL). An absent member or empty string is printed as "-". */
void
cli_print_rows (const json_t *rows, const char *const *columns, bool as_json, FILE *stream)
{
  size_t widths[COLUMNS_MAX];
  size_t i;
  json_t *row;

  if (as_json)
    {
      print_lines_ (rows, stream);
      return;
    }
  measure_columns_ (rows, columns, widths);
  for (size_t j = 0; columns[j] != NULL; j++)
    print_cell_ (columns[j], widths[j], columns[j + 1] == NULL, stream);
  json_array_foreach (rows, i, row)
  {
    for (size_t j = 0; columns[j] != NULL; j++)
      {
        char *text = cell_text_ (row, columns[j]);

        print_cell_ (text, widths[j], columns[j + 1] == NULL, stream);
        g_free (text);
      }
  }
}

static void
print_lines_ (const json_t *rows, FILE *stream)
{
  size_t i;
  json_t *row;

  json_array_foreach (rows, i, row)
  {
    char *text = json_dumps (row, JSON_COMPACT | JSON_PRESERVE_ORDER);

    fprintf (stream, "%s\n", text != NULL ? text : "null");
    free (text);
  }
}

static char *
cell_text_ (const json_t *row, const char *column)
{
  const json_t *value = json_object_get (row, column);
  char *dumped;
  char *text;

  if (value == NULL)
    return g_strdup ("-");
  if (json_is_string (value))
    return g_strdup (json_string_length (value) > 0 ? json_string_value (value) : "-");
  dumped = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  text = g_strdup (dumped != NULL ? dumped : "-");
  free (dumped);
  return text;
}

static void
measure_columns_ (const json_t *rows, const char *const *columns, size_t *widths)
{
  size_t i;
  json_t *row;

  for (size_t j = 0; columns[j] != NULL; j++)
    {
      g_assert (j < COLUMNS_MAX);
      widths[j] = strlen (columns[j]);
      json_array_foreach (rows, i, row)
      {
        char *text = cell_text_ (row, columns[j]);

        widths[j] = MAX (widths[j], strlen (text));
        g_free (text);
      }
    }
}

static void
print_cell_ (const char *text, size_t width, bool is_last, FILE *stream)
{
  if (is_last)
    fprintf (stream, "%s\n", text);
  else
    fprintf (stream, "%-*s", (int)(width + COLUMN_GAP_CHARS), text);
}
