#include "audit/audit-top-up.h"

#include "platform/platform-retry.h"

#include <string.h>

static struct sr_audit_entry *
entry_new_ (const char *budget, const struct sr_record_top_up *top_up, int64_t prepaid_before);
static void entry_free_ (void *data);

/* Returns an entry (struct sr_audit_entry) for each top-up and correction in RECORD of BUDGET, in
 * the same order. The caller owns the array, which owns the entries. The entry depends on the
 * record alone, so all instances derive the same one. */
GPtrArray *
sr_audit_top_up_entries (const char *budget, const struct sr_record *record)
{
  GPtrArray *entries = g_ptr_array_new_with_free_func (entry_free_);
  int64_t total_prepaid = 0;

  for (size_t i = 0; i < record->top_ups->len; i++)
    {
      const struct sr_record_top_up *top_up = g_ptr_array_index (record->top_ups, i);

      g_ptr_array_add (entries, entry_new_ (budget, top_up, total_prepaid));
      total_prepaid += top_up->tokens;
    }
  return entries;
}

/* Reads the record of BUDGET and writes the entries of its top-ups whose id is ID, or of all if ID
 * is NULL. Idempotent. Blocks until DEADLINE_US (monotonic) at the latest. Returns OK once the
 * entries are in the trail, SR_PLATFORM_UNKNOWN when the record can't be parsed. */
enum sr_platform_status
sr_audit_write_top_ups (struct sr_platform *platform,
                        const char *budget,
                        const char *id,
                        int64_t deadline_us)
{
  g_autoptr (GString) body = g_string_new (NULL);
  g_autoptr (GPtrArray) entries = NULL;
  struct sr_record *record;
  enum sr_platform_status status;
  int64_t version;

  status
      = sr_platform_get_with_retry (platform, SR_BUDGET_KIND, budget, body, &version, deadline_us);
  if (status != SR_PLATFORM_OK)
    return status;
  record = sr_record_parse (body->str, body->len);
  if (record == NULL)
    return SR_PLATFORM_UNKNOWN;
  entries = sr_audit_top_up_entries (budget, record);
  for (size_t i = 0; i < entries->len && status == SR_PLATFORM_OK; i++)
    {
      const struct sr_record_top_up *top_up = g_ptr_array_index (record->top_ups, i);

      if (id == NULL || strcmp (top_up->id->str, id) == 0)
        status = sr_audit_write (platform, g_ptr_array_index (entries, i), deadline_us);
    }
  sr_record_delete (record);
  return status;
}

static struct sr_audit_entry *
entry_new_ (const char *budget, const struct sr_record_top_up *top_up, int64_t prepaid_before)
{
  g_autofree char *id = g_strdup_printf ("%s.%s", budget, top_up->id->str);
  enum sr_audit_type type = top_up->tokens > 0 ? SR_AUDIT_TOP_UP : SR_AUDIT_CORRECTION;
  struct sr_audit_entry *entry = sr_audit_entry_new (type, id, top_up->who->str, top_up->time_ms);

  g_string_printf (entry->subject, "budget %s, id %s, %" G_GINT64_FORMAT " tokens", budget,
                   top_up->id->str, top_up->tokens);
  g_string_printf (entry->before, "prepaid = %" G_GINT64_FORMAT, prepaid_before);
  g_string_printf (entry->after, "prepaid = %" G_GINT64_FORMAT, prepaid_before + top_up->tokens);
  return entry;
}

static void
entry_free_ (void *data)
{
  sr_audit_entry_delete (data);
}
