/* Reads INI files with inih into sections with line numbers, and fills structs from sections by a
 * table of keys. Faults become findings with file, line, section and key. */
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
  GString *name; /* everything between the brackets */
  unsigned line;
  GPtrArray *entries; /* struct sr_ini_entry */
};

struct sr_ini_document
{
  GString *file;
  GPtrArray *sections; /* struct sr_ini_section, in the order of the file */
  GHashTable *by_name; /* name to struct sr_ini_section, not owned */
};

enum sr_ini_type
{
  SR_INI_TEXT,     /* GString *: any text */
  SR_INI_NAME,     /* GString *: an identifier, see sr_ini_is_name */
  SR_INI_IP,       /* GString *: an IPv4 address */
  SR_INI_UNSIGNED, /* unsigned: within min and max */
  SR_INI_BOOL,     /* bool: yes or no */
  SR_INI_CHOICE,   /* int: index into choices */
  SR_INI_LIST      /* GPtrArray * of GString: separated by commas, each passes check_item */
};

/* Checks one item of a list. Returns NULL, or a static message that describes the fault. */
typedef const char *(*sr_ini_item_check) (const char *item);

/* One key of a section, and the member of the target struct that it fills. */
struct sr_ini_key
{
  const char *name;
  enum sr_ini_type type;
  size_t offset;             /* of the member in the target */
  bool required;             /* a missing key is a finding */
  const char *default_value; /* value, as text, if the key is missing; NULL: empty or 0 */
  unsigned min;              /* SR_INI_UNSIGNED */
  unsigned max;
  const char *const *choices;   /* SR_INI_CHOICE: the words, ends with NULL */
  sr_ini_item_check check_item; /* SR_INI_LIST; NULL: any text */
};

char *sr_ini_load (const char *path, size_t *length, struct sr_findings *findings);
struct sr_ini_document *
sr_ini_read (const char *file_name, const char *text, size_t length, struct sr_findings *findings);
void sr_ini_document_delete (struct sr_ini_document *document);
const struct sr_ini_section *sr_ini_find_section (const struct sr_ini_document *document,
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
