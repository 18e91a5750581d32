#include "audit/audit-instance.h"

/* Writes that INSTANCE of INCARNATION began to leave, or ended its stop, at WHEN_MS
 * (real time), with DETAIL as what came of it. Its id is the incarnation's, so that a repeated
 * write adds nothing. Blocks until DEADLINE_US (monotonic) at the latest. In an outage of the
 * platform there is no entry. */
enum sr_platform_status
sr_audit_write_instance (struct sr_platform *platform,
                         enum sr_audit_type type,
                         const char *instance,
                         uint64_t incarnation,
                         const char *detail,
                         int64_t when_ms,
                         int64_t deadline_us)
{
  g_autofree char *id = g_strdup_printf ("%s-%" G_GUINT64_FORMAT, instance, incarnation);
  struct sr_audit_entry *entry = sr_audit_entry_new (type, id, instance, when_ms);
  enum sr_platform_status status;

  g_string_printf (entry->subject, "instance %s", instance);
  g_string_assign (entry->after, detail);
  status = sr_audit_write (platform, entry, deadline_us);
  sr_audit_entry_delete (entry);
  return status;
}
