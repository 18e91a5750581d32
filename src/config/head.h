/* The head object on the platform: names the parts of the revision in force and holds the latest
 * changes. Internal to src/config. */
#pragma once

#include "audit/audit.h"

#include <glib.h>
#include <stdint.h>

enum
{
  CONFIG_HEAD_CHANGES_KEPT = 8, /* changes */
  CONFIG_HEAD_RETIRED_KEPT = 64 /* names of parts */
};

struct config_head
{
  int64_t revision;   /* 0: no configuration was ever accepted */
  GPtrArray *parts;   /* names (GString); their number is a power of two */
  GPtrArray *changes; /* struct sr_audit_entry by revision; the last one made this revision */
  GPtrArray *retired; /* names (GString) of replaced parts not yet removed, oldest first */
};

struct config_head *config_head_new (void);
void config_head_delete (struct config_head *head);
char *config_head_encode (const struct config_head *head);
struct config_head *config_head_decode (const char *body, size_t length);
const struct sr_audit_entry *config_head_find_change (const struct config_head *head,
                                                      const char *id);
