#include "base/findings.h"

#include <stdarg.h>

struct sr_findings
{
  GPtrArray *items;
};

static void finding_free_ (void *data);

/* The caller owns the empty list and frees it with sr_findings_delete. */
struct sr_findings *
sr_findings_new (void)
{
  struct sr_findings *findings = g_new0 (struct sr_findings, 1);

  findings->items = g_ptr_array_new_with_free_func (finding_free_);
  return findings;
}

/* FINDINGS may be NULL. */
void
sr_findings_delete (struct sr_findings *findings)
{
  if (findings == NULL)
    return;
  g_ptr_array_unref (findings->items);
  g_free (findings);
}

/* Adds a finding at FILE and LINE (from 1, or 0 for the whole file), in SECTION and KEY (NULL
 * for none), with a printf-like message. All strings are copied. */
void
sr_findings_add (struct sr_findings *findings,
                 const char *file,
                 unsigned line,
                 const char *section,
                 const char *key,
                 const char *format,
                 ...)
{
  struct sr_finding *finding = g_new0 (struct sr_finding, 1);
  va_list args;

  finding->file = g_string_new (file);
  finding->line = line;
  finding->section = g_string_new (section);
  finding->key = g_string_new (key);
  finding->message = g_string_new (NULL);
  va_start (args, format);
  g_string_vprintf (finding->message, format, args);
  va_end (args);
  g_ptr_array_add (findings->items, finding);
}

size_t
sr_findings_count (const struct sr_findings *findings)
{
  return findings->items->len;
}

/* INDEX must be below the count. The finding stays owned by FINDINGS. */
const struct sr_finding *
sr_findings_get (const struct sr_findings *findings, size_t index)
{
  g_assert (index < findings->items->len);
  return (const struct sr_finding *)g_ptr_array_index (findings->items, index);
}

/* Prints one line per finding, in the order added: FILE:LINE: [SECTION] KEY: MESSAGE. */
void
sr_findings_print (const struct sr_findings *findings, FILE *stream)
{
  for (size_t i = 0; i < findings->items->len; i++)
    {
      const struct sr_finding *finding = sr_findings_get (findings, i);

      fprintf (stream, "%s:%u: ", finding->file->str, finding->line);
      if (finding->section->len > 0)
        fprintf (stream, "[%s] ", finding->section->str);
      if (finding->key->len > 0)
        fprintf (stream, "%s: ", finding->key->str);
      fprintf (stream, "%s\n", finding->message->str);
    }
}

static void
finding_free_ (void *data)
{
  struct sr_finding *finding = data;

  g_string_free (finding->file, TRUE);
  g_string_free (finding->section, TRUE);
  g_string_free (finding->key, TRUE);
  g_string_free (finding->message, TRUE);
  g_free (finding);
}
