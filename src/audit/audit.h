/* The audit trail: one object in the platform's store for each change, never modified. */
#pragma once

#include "platform/platform.h"

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum sr_audit_type
{
  SR_AUDIT_CONFIG,     /* a configuration was accepted */
  SR_AUDIT_TOP_UP,     /* tokens were added to a budget */
  SR_AUDIT_CORRECTION, /* an operator removed tokens from a budget */
  SR_AUDIT_RECLAIM,    /* the allotment of a dead instance was reclaimed */
  SR_AUDIT_LEAVING,    /* an instance began its graceful shutdown */
  SR_AUDIT_STOP        /* an instance finished its graceful shutdown */
};

/* One entry. Its object's name is made of the day, the type and the id, so that writing the same
 * entry twice adds only one. Whoever may write an entry again must therefore take when_ms from the
 * record of the change, not from the clock. */
struct sr_audit_entry
{
  enum sr_audit_type type;
  GString *id;      /* unique among entries of its type: letters, digits, '.', '_', ':', '-' */
  GString *actor;   /* operator or instance that made the change */
  GString *subject; /* what was changed, and its state before and after; free text */
  GString *before;
  GString *after;
  int64_t revision; /* of the configuration; 0 for none */
  int64_t when_ms;  /* real time, since the Unix epoch */
};

struct sr_audit_entry *
sr_audit_entry_new (enum sr_audit_type type, const char *id, const char *actor, int64_t when_ms);
void sr_audit_entry_delete (struct sr_audit_entry *entry);
struct sr_audit_entry *sr_audit_entry_copy (const struct sr_audit_entry *entry);
json_t *sr_audit_entry_encode (const struct sr_audit_entry *entry);
struct sr_audit_entry *sr_audit_entry_decode (const json_t *json);
GString *sr_audit_entry_name (const struct sr_audit_entry *entry);
enum sr_platform_status sr_audit_write (struct sr_platform *platform,
                                        const struct sr_audit_entry *entry,
                                        int64_t deadline_us);
enum sr_platform_status
sr_audit_read (struct sr_platform *platform, GPtrArray *entries, int64_t deadline_us);
bool sr_audit_contains (const GPtrArray *entries, const struct sr_audit_entry *entry);
void sr_audit_prune (struct sr_platform *platform, int64_t now_ms);
const char *sr_audit_type_to_string (enum sr_audit_type type);
