#include "audit/audit.h"

#include "platform/platform-retry.h"

#include <string.h>
#include <time.h>
#include <xxhash.h>

enum
{
  ID_MAX_BYTES = 170,
  ID_PREFIX_BYTES = 130, /* of a longer id, followed by its hash */
  TEXT_MAX_BYTES = 65536,
  RETENTION_DAYS = 35,
  PRUNE_BATCH_ENTRIES = 16, /* removed by one call at most */
  LIST_PAGE_NAMES = 200,
  DAY_TEXT_BYTES = 9, /* YYYYMMDD and the final NUL */
  MS_PER_S = 1000,
  S_PER_DAY = 86400
};

static const char kind_[] = "audit";

static const char *const type_names_[]
    = { "config", "top-up", "correction", "take-back", "leaving", "stop" };

static void shorten_id_ (GString *id);
static bool id_is_valid_ (const char *id);
static bool type_from_string_ (const char *text, enum sr_audit_type *type);
static void print_day_ (int64_t when_ms, char day[DAY_TEXT_BYTES]);
static enum sr_platform_status read_entry_ (struct sr_platform *platform,
                                            const char *name,
                                            GPtrArray *entries,
                                            int64_t deadline_us);
static int compare_entries_ (const void *a, const void *b);

/* Creates an entry whose subject, before and after are empty, to be filled in by the caller, who
 * owns it. ID consists of the characters allowed in an object's name; if it is too long, its end is
 * replaced by a hash of the whole. WHEN_MS is real time, since the Unix epoch. */
struct sr_audit_entry *
sr_audit_entry_new (enum sr_audit_type type, const char *id, const char *actor, int64_t when_ms)
{
  struct sr_audit_entry *entry = g_new0 (struct sr_audit_entry, 1);

  entry->type = type;
  entry->id = g_string_new (id);
  shorten_id_ (entry->id);
  g_assert (id_is_valid_ (entry->id->str));
  entry->actor = g_string_new (actor);
  entry->subject = g_string_new (NULL);
  entry->before = g_string_new (NULL);
  entry->after = g_string_new (NULL);
  entry->when_ms = when_ms;
  return entry;
}

/* NULL is allowed. */
void
sr_audit_entry_delete (struct sr_audit_entry *entry)
{
  if (entry == NULL)
    return;
  g_string_free (entry->id, TRUE);
  g_string_free (entry->actor, TRUE);
  g_string_free (entry->subject, TRUE);
  g_string_free (entry->before, TRUE);
  g_string_free (entry->after, TRUE);
  g_free (entry);
}

/* The caller owns the copy. */
struct sr_audit_entry *
sr_audit_entry_copy (const struct sr_audit_entry *entry)
{
  struct sr_audit_entry *copy
      = sr_audit_entry_new (entry->type, entry->id->str, entry->actor->str, entry->when_ms);

  copy->revision = entry->revision;
  g_string_assign (copy->subject, entry->subject->str);
  g_string_assign (copy->before, entry->before->str);
  g_string_assign (copy->after, entry->after->str);
  return copy;
}

/* Returns ENTRY as a JSON object, which the caller owns. */
json_t *
sr_audit_entry_encode (const struct sr_audit_entry *entry)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I}", "type",
                    sr_audit_type_to_string (entry->type), "id", entry->id->str, "who",
                    entry->actor->str, "subject", entry->subject->str, "before", entry->before->str,
                    "after", entry->after->str, "revision", (json_int_t)entry->revision, "when_ms",
                    (json_int_t)entry->when_ms);
}

/* Returns the entry encoded in JSON, owned by the caller, or NULL if JSON is not a valid entry. */
struct sr_audit_entry *
sr_audit_entry_decode (const json_t *json)
{
  const char *type_name;
  const char *id;
  const char *actor;
  const char *text[3];
  json_int_t revision;
  json_int_t when_ms;
  enum sr_audit_type type;
  struct sr_audit_entry *entry;

  if (json_unpack ((json_t *)json, "{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I}", "type", &type_name,
                   "id", &id, "who", &actor, "subject", &text[0], "before", &text[1], "after",
                   &text[2], "revision", &revision, "when_ms", &when_ms)
      != 0)
    return NULL;
  if (!type_from_string_ (type_name, &type) || !id_is_valid_ (id) || revision < 0 || when_ms < 0)
    return NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (text); i++)
    if (strlen (text[i]) > TEXT_MAX_BYTES)
      return NULL;
  entry = sr_audit_entry_new (type, id, actor, when_ms);
  entry->revision = revision;
  g_string_assign (entry->subject, text[0]);
  g_string_assign (entry->before, text[1]);
  g_string_assign (entry->after, text[2]);
  return entry;
}

/* Returns the name of ENTRY's object, DAY.TYPE.ID, which the caller frees. It begins with the day
 * (UTC), so that sorting the names sorts the entries by day. */
GString *
sr_audit_entry_name (const struct sr_audit_entry *entry)
{
  GString *name = g_string_new (NULL);
  char day[DAY_TEXT_BYTES];

  print_day_ (entry->when_ms, day);
  g_string_printf (name, "%s.%s.%s", day, sr_audit_type_to_string (entry->type), entry->id->str);
  return name;
}

/* Adds ENTRY to the trail unless it is there already. Blocks until DEADLINE_US (monotonic) at the
 * latest. Returns OK once the entry is in the trail; after any other status the same entry may be
 * written again. */
enum sr_platform_status
sr_audit_write (struct sr_platform *platform,
                const struct sr_audit_entry *entry,
                int64_t deadline_us)
{
  json_t *json = sr_audit_entry_encode (entry);
  char *body = json != NULL ? json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS) : NULL;
  GString *name = sr_audit_entry_name (entry);
  enum sr_platform_status status = SR_PLATFORM_TOO_LARGE;

  if (body != NULL)
    status = sr_platform_create_with_retry (platform, kind_, name->str, body, strlen (body),
                                            deadline_us);
  g_string_free (name, TRUE);
  free (body);
  json_decref (json);
  return status;
}

/* Appends all entries (struct sr_audit_entry, to be freed with sr_audit_entry_delete) of the trail
 * to ENTRIES and sorts them by time. Blocks until DEADLINE_US (monotonic) at the latest. Objects
 * that hold no valid entry are skipped. */
enum sr_platform_status
sr_audit_read (struct sr_platform *platform, GPtrArray *entries, int64_t deadline_us)
{
  g_autofree char *after = NULL;
  enum sr_platform_status status = SR_PLATFORM_OK;
  bool more = true;

  while (more && status == SR_PLATFORM_OK)
    {
      g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);

      status = sr_platform_list (platform, kind_, "", after, LIST_PAGE_NAMES, names, &more);
      for (size_t i = 0; i < names->len && status == SR_PLATFORM_OK; i++)
        status = read_entry_ (platform, g_ptr_array_index (names, i), entries, deadline_us);
      if (names->len == 0)
        break;
      g_free (after);
      after = g_strdup (g_ptr_array_index (names, names->len - 1));
    }
  g_ptr_array_sort (entries, compare_entries_);
  return status;
}

/* Removes up to PRUNE_BATCH_ENTRIES entries that are older than RETENTION_DAYS at NOW_MS (real
 * time). The caller runs it after each accepted configuration, which keeps the trail bounded.
 * Failures are ignored: the next call tries again. */
void
sr_audit_prune (struct sr_platform *platform, int64_t now_ms)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  char first_retained_day[DAY_TEXT_BYTES];
  bool more;

  print_day_ (now_ms - (int64_t)RETENTION_DAYS * S_PER_DAY * MS_PER_S, first_retained_day);
  if (sr_platform_list (platform, kind_, "", NULL, PRUNE_BATCH_ENTRIES, names, &more)
      != SR_PLATFORM_OK)
    return;
  for (size_t i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      g_autoptr (GString) body = g_string_new (NULL);
      int64_t version;

      if (strncmp (name, first_retained_day, DAY_TEXT_BYTES - 1) >= 0)
        return;
      if (sr_platform_get (platform, kind_, name, body, &version) == SR_PLATFORM_OK)
        sr_platform_remove (platform, kind_, name, version);
    }
}

/* Returns whether ENTRIES contains an entry with the type and id of ENTRY. */
bool
sr_audit_contains (const GPtrArray *entries, const struct sr_audit_entry *entry)
{
  for (size_t i = 0; i < entries->len; i++)
    {
      const struct sr_audit_entry *other = g_ptr_array_index (entries, i);

      if (other->type == entry->type && g_string_equal (other->id, entry->id))
        return true;
    }
  return false;
}

/* Returns the name of TYPE as used in object names and JSON. */
const char *
sr_audit_type_to_string (enum sr_audit_type type)
{
  g_assert ((size_t)type < G_N_ELEMENTS (type_names_));
  return type_names_[type];
}

static void
shorten_id_ (GString *id)
{
  XXH128_hash_t hash;

  if (id->len <= ID_MAX_BYTES)
    return;
  hash = XXH3_128bits (id->str, id->len);
  g_string_truncate (id, ID_PREFIX_BYTES);
  g_string_append_printf (id, "-%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
                          (guint64)hash.high64, (guint64)hash.low64);
}

static bool
id_is_valid_ (const char *id)
{
  size_t length = strlen (id);

  if (length == 0 || length > ID_MAX_BYTES)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (id[i]) && strchr ("._:-", id[i]) == NULL)
      return false;
  return true;
}

static bool
type_from_string_ (const char *text, enum sr_audit_type *type)
{
  for (size_t i = 0; i < G_N_ELEMENTS (type_names_); i++)
    if (strcmp (type_names_[i], text) == 0)
      {
        *type = (enum sr_audit_type)i;
        return true;
      }
  return false;
}

/* Prints the day (UTC) of WHEN_MS as YYYYMMDD. */
static void
print_day_ (int64_t when_ms, char day[DAY_TEXT_BYTES])
{
  time_t seconds = when_ms / MS_PER_S;
  struct tm parts;

  if (gmtime_r (&seconds, &parts) == NULL || strftime (day, DAY_TEXT_BYTES, "%Y%m%d", &parts) == 0)
    g_strlcpy (day, "00000000", DAY_TEXT_BYTES);
}

static enum sr_platform_status
read_entry_ (struct sr_platform *platform,
             const char *name,
             GPtrArray *entries,
             int64_t deadline_us)
{
  g_autoptr (GString) body = g_string_new (NULL);
  struct sr_audit_entry *entry;
  enum sr_platform_status status;
  json_t *json;
  int64_t version;

  status = sr_platform_get_with_retry (platform, kind_, name, body, &version, deadline_us);
  if (status == SR_PLATFORM_ABSENT)
    return SR_PLATFORM_OK;
  if (status != SR_PLATFORM_OK)
    return status;
  json = json_loadb (body->str, body->len, 0, NULL);
  entry = json != NULL ? sr_audit_entry_decode (json) : NULL;
  if (entry != NULL)
    g_ptr_array_add (entries, entry);
  json_decref (json);
  return SR_PLATFORM_OK;
}

/* By time, then by revision. */
static int
compare_entries_ (const void *a, const void *b)
{
  const struct sr_audit_entry *left = *(struct sr_audit_entry *const *)a;
  const struct sr_audit_entry *right = *(struct sr_audit_entry *const *)b;

  if (left->when_ms != right->when_ms)
    return left->when_ms < right->when_ms ? -1 : 1;
  return (left->revision > right->revision) - (left->revision < right->revision);
}
