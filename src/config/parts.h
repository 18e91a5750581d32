/* Splits the text of a configuration into parts that are small enough for an object on the
 * platform, and compares the sections of two texts. Internal to src/config. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

enum
{
  CONFIG_PART_TARGET_BYTES = 16384,
  CONFIG_PARTS_MAX = 4096,    /* a power of two */
  CONFIG_PART_NAME_BYTES = 33 /* hash, '-', submission id; 16 hex digits each */
};

enum config_change_kind
{
  CONFIG_SECTION_ADDED,
  CONFIG_SECTION_REMOVED,
  CONFIG_SECTION_CHANGED
};

struct config_section_change
{
  enum config_change_kind kind;
  GString *name;
  GString *before; /* text of the section; empty if it was added */
  GString *after;  /* text of the section; empty if it was removed */
};

GPtrArray *config_parts_split (const char *text, size_t length, size_t previous_count);
GString *config_part_name (const GString *text, const char *submission_id);
bool config_part_name_is_valid (const char *name);
bool config_part_matches_name (const char *name, const char *text, size_t length);
GPtrArray *config_parts_compare (const GString *before, const GString *after);
void config_changes_describe (const GPtrArray *changes,
                              GString *subject,
                              GString *before,
                              GString *after);
