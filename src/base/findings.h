/* Findings of a configuration check, each with its location, collected and reported together. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

/* LINE is counted from 1; 0 means the whole file. SECTION and KEY may be empty. */
struct sr_finding
{
  GString *file;
  unsigned line;
  GString *section;
  GString *key;
  GString *message;
};

struct sr_findings;

struct sr_findings *sr_findings_new (void);
void sr_findings_delete (struct sr_findings *findings);
void sr_findings_add (struct sr_findings *findings,
                      const char *file,
                      unsigned line,
                      const char *section,
                      const char *key,
                      const char *format,
                      ...) G_GNUC_PRINTF (6, 7);
size_t sr_findings_count (const struct sr_findings *findings);
const struct sr_finding *sr_findings_get (const struct sr_findings *findings, size_t index);
void sr_findings_print (const struct sr_findings *findings, FILE *stream);
