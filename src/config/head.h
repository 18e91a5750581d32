/* The head object: which parts make up the revision in force, and the last changes. Private to this
 * slice. */
#pragma once

#include "audit/audit.h"

#include <glib.h>
#include <stdint.h>

enum
{
  CONFIG_HEAD_CHANGES_KEPT = 8,
  CONFIG_HEAD_RETIRED_KEPT = 64
};

struct config_head
{
  int64_t revision;   /* 0: nothing was ever accepted */
  GPtrArray *parts;   /* names (GString), a power of two of them */
  GPtrArray *changes; /* struct sr_audit_entry, rising revisions; the last is this revision's */
  GPtrArray *retired; /* names (GString) of former parts that still exist, oldest first */
};

struct config_head *config_head_new (void);
void config_head_delete (struct config_head *head);
char *config_head_encode (const struct config_head *head);
struct config_head *config_head_decode (const char *body, size_t length);
const struct sr_audit_entry *config_head_find_change (const struct config_head *head,
                                                      const char *id);
