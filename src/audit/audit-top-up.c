#include "audit/audit-top-up.h"

#include "platform/platform-retry.h"

#include <string.h>

static struct sr_audit_entry *
make_entry_ (const char *budget, const struct sr_record_top_up *top_up, int64_t before);
static void entry_free_ (void *data);

/* Returns an entry (struct sr_audit_entry) for each top-up and correction that RECORD of BUDGET
 * holds, in their order. The caller owns the array, which owns the entries. The same top-up always
 * gives the same entry, whoever makes it. */
GPtrArray *
sr_audit_top_ups (const char *budget, const struct sr_record *record)
{
  GPtrArray *entries = g_ptr_array_new_with_free_func (entry_free_);
  int64_t prepaid = 0;

  for (size_t i = 0; i < record->top_ups->len; i++)
    {
      const struct sr_record_top_up *top_up = g_ptr_array_index (record->top_ups, i);

      g_ptr_array_add (entries, make_entry_ (budget, top_up, prepaid));
      prepaid += top_up->tokens;
    }
  return entries;
}

/* Reads the record of BUDGET and writes into the trail those of its top-ups whose id is ID, or all
 * when ID is NULL. May be repeated. Blocks until DEADLINE_US (monotonic) at the latest; returns OK
 * once they are in the trail, UNKNOWN when the record cannot be read. */
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
      = sr_platform_get_patiently (platform, SR_BUDGET_KIND, budget, body, &version, deadline_us);
  if (status != SR_PLATFORM_OK)
    return status;
  record = sr_record_parse (body->str, body->len);
  if (record == NULL)
    return SR_PLATFORM_UNKNOWN;
  entries = sr_audit_top_ups (budget, record);
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
make_entry_ (const char *budget, const struct sr_record_top_up *top_up, int64_t before)
{
  g_autofree char *id = g_strdup_printf ("%s.%s", budget, top_up->id->str);
  enum sr_audit_type type = top_up->tokens > 0 ? SR_AUDIT_TOP_UP : SR_AUDIT_CORRECTION;
  struct sr_audit_entry *entry = sr_audit_entry_new (type, id, top_up->who->str, top_up->time_ms);

  g_string_printf (entry->subject, "budget %s, id %s, %" G_GINT64_FORMAT " tokens", budget,
                   top_up->id->str, top_up->tokens);
  g_string_printf (entry->before, "prepaid = %" G_GINT64_FORMAT, before);
  g_string_printf (entry->after, "prepaid = %" G_GINT64_FORMAT, before + top_up->tokens);
  return entry;
}

static void
entry_free_ (void *data)
{
  sr_audit_entry_delete (data);
}
