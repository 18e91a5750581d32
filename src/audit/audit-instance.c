#include "audit/audit-instance.h"

/* Writes an entry of TYPE (SR_AUDIT_LEAVING or SR_AUDIT_STOP) at WHEN_MS (real time) with DETAIL,
 * the outcome, as the new state. Its id is made of INSTANCE and INCARNATION, so that a repeated
 * write adds nothing. Blocks until DEADLINE_US (monotonic) at the latest. If the platform is
 * unavailable until then, the entry is lost. */
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
