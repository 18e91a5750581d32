#include "config/bundle.h"
#include "config/store.h"

enum
{
  READ_ATTEMPTS_MAX = 5 /* while other submissions replace the head */
};

static enum sr_platform_status
read_bundle_ (struct sr_platform *platform, struct config_bundle **bundle, int64_t deadline_us);

/* Reads the configuration in force from the platform: appends its text to TEXT and sets REVISION.
 * Blocks until DEADLINE_US (monotonic) at the latest. ABSENT when no configuration was ever
 * accepted; UNKNOWN when the objects on the platform are corrupt. */
enum sr_platform_status
sr_config_fetch (struct sr_platform *platform,
                 GString *text,
                 int64_t *revision,
                 int64_t deadline_us)
{
  struct config_bundle *bundle = NULL;
  enum sr_platform_status status = read_bundle_ (platform, &bundle, deadline_us);

  if (status != SR_PLATFORM_OK)
    return status;
  *revision = bundle->head->revision;
  for (size_t i = 0; i < bundle->texts->len; i++)
    {
      gsize length;
      const char *part = g_bytes_get_data (g_ptr_array_index (bundle->texts, i), &length);

      g_string_append_len (text, part, (gssize)length);
    }
  config_bundle_delete (bundle);
  return SR_PLATFORM_OK;
}

/* Appends the whole audit trail to ENTRIES (struct sr_audit_entry, to be freed with
 * sr_audit_entry_delete) in order of time, each change once: the audit objects, and the changes
 * that are still in the head only. The head is read first, because a change is dropped from it only
 * after its audit object was written. */
enum sr_platform_status
sr_config_read_audit_trail (struct sr_platform *platform, GPtrArray *entries, int64_t deadline_us)
{
  struct config_source_platform source;
  g_autoptr (GString) body = g_string_new (NULL);
  struct config_head *head = NULL;
  enum sr_platform_status status;

  config_source_platform_init (&source, platform, deadline_us);
  status = source.base.get_head (&source.base, body);
  if (status == SR_PLATFORM_OK)
    head = config_head_decode (body->str, body->len);
  else if (status != SR_PLATFORM_ABSENT)
    return status;
  status = sr_audit_read (platform, entries, deadline_us);
  for (size_t i = 0; head != NULL && i < head->changes->len; i++)
    {
      struct sr_audit_entry *change = g_ptr_array_index (head->changes, i);

      if (!sr_audit_contains (entries, change))
        g_ptr_array_add (entries, sr_audit_entry_copy (change));
    }
  config_head_delete (head);
  return status;
}

static enum sr_platform_status
read_bundle_ (struct sr_platform *platform, struct config_bundle **bundle, int64_t deadline_us)
{
  enum config_bundle_status status = CONFIG_BUNDLE_SUPERSEDED;
  struct config_source_platform source;

  config_source_platform_init (&source, platform, deadline_us);
  for (int i = 0; i < READ_ATTEMPTS_MAX && status == CONFIG_BUNDLE_SUPERSEDED; i++)
    status = config_bundle_read (&source.base, NULL, bundle);
  switch (status)
    {
    case CONFIG_BUNDLE_OK:
      return SR_PLATFORM_OK;
    case CONFIG_BUNDLE_NONE:
      return SR_PLATFORM_ABSENT;
    case CONFIG_BUNDLE_CORRUPT:
      return SR_PLATFORM_UNKNOWN;
    default:
      return SR_PLATFORM_UNREACHABLE;
    }
}
