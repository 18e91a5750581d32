/* INI files by inih: sections with their lines, a table-driven schema, findings with their place.
 */
#pragma once

#include "base/findings.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* One "key = value" line. Lines are counted from 1. */
struct sr_ini_entry
{
  GString *key;
  GString *value;
  unsigned line;
};

struct sr_ini_section
{
  GString *name; /* all that stands between the brackets */
  unsigned line;
  GPtrArray *entries; /* struct sr_ini_entry */
};

struct sr_ini_document
{
  GString *file;
  GPtrArray *sections; /* struct sr_ini_section, in the order of the file */
  GHashTable *by_name;
};

enum sr_ini_type
{
  SR_INI_TEXT,     /* GString *: any text */
  SR_INI_NAME,     /* GString *: an identifier, see sr_ini_is_name */
  SR_INI_IP,       /* GString *: an IPv4 number */
  SR_INI_UNSIGNED, /* unsigned: within min and max */
  SR_INI_BOOL,     /* bool: yes or no */
  SR_INI_CHOICE,   /* int: index into choices */
  SR_INI_LIST      /* GPtrArray *: GStrings parted by commas, each passing the item check */
};

/* Checks one item of a list; returns NULL or what is wrong with it. */
typedef const char *(*sr_ini_item_check) (const char *item);

/* One key of a section: which member of the target it fills. */
struct sr_ini_key
{
  const char *name;
  enum sr_ini_type type;
  size_t offset;        /* of the member in the target */
  bool required;        /* missing is a finding */
  const char *fallback; /* value text when absent and not required; NULL for empty */
  unsigned min;
  unsigned max;
  const char *const *choices; /* ends with NULL */
  sr_ini_item_check check_item;
};

char *sr_ini_load (const char *path, size_t *length, struct sr_findings *findings);
struct sr_ini_document *
sr_ini_read (const char *file_name, const char *text, size_t length, struct sr_findings *findings);
void sr_ini_document_delete (struct sr_ini_document *document);
const struct sr_ini_section *sr_ini_find (const struct sr_ini_document *document,
                                          const char *section);
void sr_ini_fill (const struct sr_ini_document *document,
                  const struct sr_ini_section *section,
                  const char *section_name,
                  const struct sr_ini_key *keys,
                  size_t n_keys,
                  void *target,
                  struct sr_findings *findings);
bool sr_ini_is_name (const char *text);
const char *sr_ini_check_name (const char *item);
const char *sr_ini_check_address_port (const char *item);
bool sr_ini_parse_address_port (const char *text, char ip[16], unsigned *port);
