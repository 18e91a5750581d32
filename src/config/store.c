#include "config/store.h"

#include "audit/audit.h"
#include "config/bundle.h"
#include "config/config.h"
#include "config/parts.h"
#include "platform/platform-retry.h"

#include <stdlib.h>
#include <string.h>

enum
{
  TEXT_MAX_BYTES = 64 << 20,
  ID_BYTES = 17,         /* 16 hex digits and NUL */
  READ_ATTEMPTS_MAX = 5, /* while other submissions replace the head */
  RETRY_WAIT_US = 50000
};

static const char *const verdict_strings_[]
    = { "accepted", "unchanged", "faulty", "conflict", "platform unreachable", "unknown" };

/* State of one submission while it is processed. */
struct submit_
{
  struct sr_platform *platform;
  const struct sr_submission *submission;
  struct sr_submit_result *result;
  char id[ID_BYTES];
  struct config_bundle *base; /* configuration that it replaces */
  int64_t base_version;       /* of the head object, 0: there is none */
  struct config_head *next;   /* head that it puts in force */
  GPtrArray *texts;           /* texts (GString) of the parts of next */
  GPtrArray *created;         /* names (GString, owned by next) of the parts that it creates */
  GPtrArray *excess_retired;  /* names (GString) of retired parts that next has no room for */
};

static bool check_text_ (struct submit_ *submit, struct sr_findings *findings);
static bool read_base_ (struct submit_ *submit, struct sr_findings *findings);
static bool check_base_revision_ (struct submit_ *submit);
static bool build_next_ (struct submit_ *submit);
static void add_part_ (struct submit_ *submit, size_t index, GString *before, GString *after);
static void retire_parts_ (struct submit_ *submit);
static void add_change_ (struct submit_ *submit, const GString *before, const GString *after);
static bool store_parts_ (struct submit_ *submit);
static bool store_audit_entries_ (struct submit_ *submit);
static void put_head_ (struct submit_ *submit);
static bool resolve_by_reading_back_ (struct submit_ *submit);
static void resolve_conflict_ (struct submit_ *submit, const struct config_head *current);
static bool audit_trail_has_our_change_ (struct submit_ *submit);
static void describe_changes_ (struct submit_ *submit,
                               const struct config_head *current,
                               int64_t base_revision);
static void clean_up_ (struct submit_ *submit);
static void remove_part_ (struct submit_ *submit, const char *name);
static void copy_names_ (GPtrArray *to, const GPtrArray *from);
static void copy_changes_ (GPtrArray *to, const GPtrArray *from);
static bool set_result_ (struct submit_ *submit, enum sr_submit_verdict verdict, int64_t revision);
static void string_free_ (void *data);

/* Checks SUBMISSION and puts it in force by one conditional update of the head object, so that
 * instances see either all of it or nothing. Blocks until the submission's deadline at the latest.
 * Fills RESULT, which the caller clears with sr_submit_result_clear. If the response to the update
 * is lost, the outcome is found by reading back: the head holds the ids of the latest submissions
 * and the audit trail those of earlier ones. */
void
sr_config_submit (struct sr_platform *platform,
                  const struct sr_submission *submission,
                  struct sr_submit_result *result,
                  struct sr_findings *findings)
{
  struct submit_ submit = { .platform = platform, .submission = submission, .result = result };

  g_snprintf (submit.id, sizeof (submit.id), "%016" G_GINT64_MODIFIER "x", submission->id);
  result->message = g_string_new (NULL);
  submit.next = config_head_new ();
  submit.created = g_ptr_array_new ();
  submit.excess_retired = g_ptr_array_new_with_free_func (string_free_);
  if (check_text_ (&submit, findings) && read_base_ (&submit, findings)
      && check_base_revision_ (&submit) && build_next_ (&submit) && store_parts_ (&submit)
      && store_audit_entries_ (&submit))
    put_head_ (&submit);
  clean_up_ (&submit);
}

void
sr_submit_result_clear (struct sr_submit_result *result)
{
  g_string_free (result->message, TRUE);
  result->message = NULL;
}

const char *
sr_submit_verdict_to_string (enum sr_submit_verdict verdict)
{
  g_assert ((size_t)verdict < G_N_ELEMENTS (verdict_strings_));
  return verdict_strings_[verdict];
}

/* Checks the text of the submission, independently of the configuration in force. */
static bool
check_text_ (struct submit_ *submit, struct sr_findings *findings)
{
  const struct sr_submission *submission = submit->submission;
  struct sr_config *config = NULL;

  if (submission->length > TEXT_MAX_BYTES)
    sr_findings_add (findings, submission->file_name, 0, NULL, NULL, "is too large");
  else
    config = sr_config_parse (submission->file_name, submission->text, submission->length, 0,
                              findings);
  sr_config_unref (config);
  return config != NULL || set_result_ (submit, SR_SUBMIT_FAULTY, 0);
}

/* Reads the configuration in force. A missing part means that the head was replaced after it was
 * read, so both are read again. */
static bool
read_base_ (struct submit_ *submit, struct sr_findings *findings)
{
  enum config_bundle_status status = CONFIG_BUNDLE_SUPERSEDED;
  struct config_source_platform source;

  config_source_platform_init (&source, submit->platform, submit->submission->deadline_us);
  for (int i = 0; i < READ_ATTEMPTS_MAX && status == CONFIG_BUNDLE_SUPERSEDED; i++)
    {
      g_autoptr (GString) body = g_string_new (NULL);
      enum sr_platform_status got
          = sr_platform_get_with_retry (submit->platform, "config", "head", body,
                                        &submit->base_version, submit->submission->deadline_us);

      if (got == SR_PLATFORM_ABSENT)
        {
          submit->base_version = 0;
          submit->base = config_bundle_new_empty ();
          return true;
        }
      status = CONFIG_BUNDLE_UNREACHABLE;
      if (got == SR_PLATFORM_OK)
        status = config_bundle_read_parts (&source.base, body, NULL, &submit->base);
    }
  if (status == CONFIG_BUNDLE_OK)
    return true;
  if (status != CONFIG_BUNDLE_CORRUPT)
    return set_result_ (submit, SR_SUBMIT_UNREACHABLE, 0);
  sr_findings_add (findings, "config/head", 0, NULL, NULL,
                   "the configuration on the platform is corrupt");
  return set_result_ (submit, SR_SUBMIT_FAULTY, 0);
}

/* Checks that the operator's base revision is in force. A repeated submission that was accepted
 * before ends here as accepted. */
static bool
check_base_revision_ (struct submit_ *submit)
{
  const struct config_head *head = submit->base->head;
  const struct sr_audit_entry *ours = config_head_find_change (head, submit->id);
  int64_t base_revision = submit->submission->base_revision;

  if (ours != NULL)
    return set_result_ (submit, SR_SUBMIT_ACCEPTED, ours->revision);
  if (base_revision == SR_SUBMIT_BASE_CURRENT || base_revision == head->revision)
    return true;
  describe_changes_ (submit, head, base_revision);
  return set_result_ (submit, SR_SUBMIT_CONFLICT, head->revision);
}

/* Builds the next head. Parts whose text is unchanged keep their names. */
static bool
build_next_ (struct submit_ *submit)
{
  const struct config_head *base = submit->base->head;
  g_autoptr (GString) before = g_string_new (NULL);
  g_autoptr (GString) after = g_string_new (NULL);

  submit->texts
      = config_parts_split (submit->submission->text, submit->submission->length, base->parts->len);
  submit->next->revision = base->revision + 1;
  for (size_t i = 0; i < submit->texts->len; i++)
    add_part_ (submit, i, before, after);
  if (submit->texts->len != base->parts->len)
    for (size_t i = 0; i < submit->base->texts->len; i++)
      {
        gsize length;
        const char *text = g_bytes_get_data (g_ptr_array_index (submit->base->texts, i), &length);

        g_string_append_len (before, text, (gssize)length);
      }
  if (submit->created->len == 0)
    return set_result_ (submit, SR_SUBMIT_UNCHANGED, base->revision);
  retire_parts_ (submit);
  add_change_ (submit, before, after);
  return true;
}

/* Adds the name of part INDEX to the next head: that of the base if the text is unchanged, else a
 * new one. Appends the texts of a changed part to BEFORE and AFTER. When the number of parts
 * differs from that of the base, every part is new and only AFTER is appended to. */
static void
add_part_ (struct submit_ *submit, size_t index, GString *before, GString *after)
{
  const struct config_head *base = submit->base->head;
  const GString *text = g_ptr_array_index (submit->texts, index);
  GString *name = config_part_name (text, submit->id);

  if (submit->texts->len == base->parts->len)
    {
      const GString *former_name = g_ptr_array_index (base->parts, index);
      gsize length;
      const char *former
          = g_bytes_get_data (g_ptr_array_index (submit->base->texts, index), &length);

      if (length == text->len && memcmp (former, text->str, length) == 0)
        {
          g_string_assign (name, former_name->str);
          g_ptr_array_add (submit->next->parts, name);
          return;
        }
      g_string_append_len (before, former, (gssize)length);
    }
  g_string_append_len (after, text->str, (gssize)text->len);
  g_ptr_array_add (submit->next->parts, name);
  g_ptr_array_add (submit->created, name);
}

/* Adds the parts of the base that the next head does not use to its retired parts. The oldest above
 * CONFIG_HEAD_RETIRED_KEPT are removed once the next head is in force. */
static void
retire_parts_ (struct submit_ *submit)
{
  const GPtrArray *former = submit->base->head->parts;
  GPtrArray *retired = submit->next->retired;
  bool same_count = former->len == submit->next->parts->len;

  copy_names_ (retired, submit->base->head->retired);
  for (size_t i = 0; i < former->len; i++)
    {
      const GString *name = g_ptr_array_index (former, i);

      if (!same_count || !g_string_equal (name, g_ptr_array_index (submit->next->parts, i)))
        g_ptr_array_add (retired, g_string_new (name->str));
    }
  while (retired->len > CONFIG_HEAD_RETIRED_KEPT)
    g_ptr_array_add (submit->excess_retired, g_ptr_array_steal_index (retired, 0));
}

/* Adds the change made by this submission to the next head, from which it is copied to the audit
 * trail. */
static void
add_change_ (struct submit_ *submit, const GString *before, const GString *after)
{
  const struct sr_submission *submission = submit->submission;
  g_autoptr (GPtrArray) changes = config_parts_compare (before, after);
  g_autofree char *id
      = g_strdup_printf ("%012" G_GINT64_MODIFIER "d-%s", submit->next->revision, submit->id);
  struct sr_audit_entry *entry
      = sr_audit_entry_new (SR_AUDIT_CONFIG, id, submission->who, submission->when_ms);

  entry->revision = submit->next->revision;
  config_changes_describe (changes, entry->subject, entry->before, entry->after);
  copy_changes_ (submit->next->changes, submit->base->head->changes);
  g_ptr_array_add (submit->next->changes, entry);
  while (submit->next->changes->len > CONFIG_HEAD_CHANGES_KEPT)
    g_ptr_array_remove_index (submit->next->changes, 0);
}

static bool
store_parts_ (struct submit_ *submit)
{
  for (size_t i = 0; i < submit->next->parts->len; i++)
    {
      GString *name = g_ptr_array_index (submit->next->parts, i);
      const GString *text = g_ptr_array_index (submit->texts, i);

      if (g_ptr_array_find (submit->created, name, NULL)
          && sr_platform_create_with_retry (submit->platform, "config-part", name->str, text->str,
                                            text->len, submit->submission->deadline_us)
                 != SR_PLATFORM_OK)
        return set_result_ (submit, SR_SUBMIT_UNREACHABLE, submit->base->head->revision);
    }
  return true;
}

/* Writes the changes of the base's head that the next head does not hold to the audit trail. */
static bool
store_audit_entries_ (struct submit_ *submit)
{
  const GPtrArray *changes = submit->base->head->changes;

  for (size_t i = 0; i < changes->len; i++)
    {
      const struct sr_audit_entry *change = g_ptr_array_index (changes, i);

      if (!sr_audit_contains (submit->next->changes, change)
          && sr_audit_write (submit->platform, change, submit->submission->deadline_us)
                 != SR_PLATFORM_OK)
        return set_result_ (submit, SR_SUBMIT_UNREACHABLE, submit->base->head->revision);
    }
  return true;
}

/* Puts the next head in force at most once: the update is retried only with the same expected
 * version. On a conflict the head is read back, as an earlier attempt whose response was lost may
 * have succeeded. */
static void
put_head_ (struct submit_ *submit)
{
  char *body = config_head_encode (submit->next);
  enum sr_platform_status status = SR_PLATFORM_TOO_LARGE;
  bool outcome_unknown = false;
  bool resolved = body == NULL;

  while (!resolved)
    {
      int64_t version;

      status = sr_platform_put (submit->platform, "config", "head", body, strlen (body),
                                submit->base_version, &version);
      outcome_unknown = outcome_unknown || status == SR_PLATFORM_UNKNOWN;
      if (status == SR_PLATFORM_OK)
        resolved = !set_result_ (submit, SR_SUBMIT_ACCEPTED, submit->next->revision);
      else if (status == SR_PLATFORM_CONFLICT)
        resolved = resolve_by_reading_back_ (submit);
      else if (status == SR_PLATFORM_TOO_LARGE
               || (status == SR_PLATFORM_UNREACHABLE && !outcome_unknown))
        break;
      if (!resolved && g_get_monotonic_time () >= submit->submission->deadline_us)
        break;
      if (!resolved)
        g_usleep (RETRY_WAIT_US);
    }
  free (body);
  if (!resolved)
    set_result_ (submit, outcome_unknown ? SR_SUBMIT_UNKNOWN : SR_SUBMIT_UNREACHABLE,
                 submit->base->head->revision);
}

/* Finds out whether the head was replaced by this submission. Returns false when it cannot be read.
 */
static bool
resolve_by_reading_back_ (struct submit_ *submit)
{
  g_autoptr (GString) body = g_string_new (NULL);
  const struct sr_audit_entry *ours;
  struct config_head *current;
  int64_t version;

  if (sr_platform_get_with_retry (submit->platform, "config", "head", body, &version,
                                  submit->submission->deadline_us)
      != SR_PLATFORM_OK)
    return false;
  current = config_head_decode (body->str, body->len);
  if (current == NULL)
    return false;
  ours = config_head_find_change (current, submit->id);
  if (ours != NULL)
    set_result_ (submit, SR_SUBMIT_ACCEPTED, ours->revision);
  else
    resolve_conflict_ (submit, current);
  config_head_delete (current);
  return true;
}

/* The head CURRENT does not hold our change: another submission came first, unless ours was
 * accepted and later submissions have moved its change to the audit trail. */
static void
resolve_conflict_ (struct submit_ *submit, const struct config_head *current)
{
  if (current->revision > submit->next->revision && audit_trail_has_our_change_ (submit))
    {
      set_result_ (submit, SR_SUBMIT_ACCEPTED, submit->next->revision);
      return;
    }
  describe_changes_ (submit, current, submit->base->head->revision);
  set_result_ (submit, SR_SUBMIT_CONFLICT, current->revision);
}

static bool
audit_trail_has_our_change_ (struct submit_ *submit)
{
  const GPtrArray *changes = submit->next->changes;
  const struct sr_audit_entry *ours = g_ptr_array_index (changes, changes->len - 1);
  GString *name = sr_audit_entry_name (ours);
  g_autoptr (GString) body = g_string_new (NULL);
  enum sr_platform_status status;
  int64_t version;

  status = sr_platform_get_with_retry (submit->platform, "audit", name->str, body, &version,
                                       submit->submission->deadline_us);
  g_string_free (name, TRUE);
  return status == SR_PLATFORM_OK;
}

/* Writes the changes after BASE_REVISION into the result's message, one line each. */
static void
describe_changes_ (struct submit_ *submit, const struct config_head *current, int64_t base_revision)
{
  GString *message = submit->result->message;
  int64_t oldest_listed = current->revision + 1;

  for (size_t i = 0; i < current->changes->len; i++)
    {
      const struct sr_audit_entry *change = g_ptr_array_index (current->changes, i);

      if (change->revision <= base_revision)
        continue;
      oldest_listed = MIN (oldest_listed, change->revision);
      g_string_append_printf (message, "revision %" G_GINT64_FORMAT " by %s: %s\n",
                              change->revision, change->actor->str, change->subject->str);
    }
  if (base_revision > current->revision)
    g_string_append (message, "the base revision is higher than the revision in force\n");
  else if (oldest_listed > base_revision + 1)
    g_string_append (message, "earlier changes are in the audit trail\n");
}

/* After acceptance writes the audit trail and removes retired parts, after a conflict removes the
 * parts just created; then frees SUBMIT. Failures are ignored: a later submission writes the
 * missing audit entry; parts that could not be removed stay. */
static void
clean_up_ (struct submit_ *submit)
{
  const GPtrArray *changes = submit->next->changes;
  enum sr_submit_verdict verdict = submit->result->verdict;
  bool accepted = verdict == SR_SUBMIT_ACCEPTED && changes->len > 0;

  if (accepted)
    {
      sr_audit_write (submit->platform, g_ptr_array_index (changes, changes->len - 1),
                      submit->submission->deadline_us);
      for (size_t i = 0; i < submit->excess_retired->len; i++)
        remove_part_ (submit, ((GString *)g_ptr_array_index (submit->excess_retired, i))->str);
      sr_audit_prune (submit->platform, submit->submission->when_ms);
    }
  for (size_t i = 0; verdict == SR_SUBMIT_CONFLICT && i < submit->created->len; i++)
    remove_part_ (submit, ((GString *)g_ptr_array_index (submit->created, i))->str);
  g_ptr_array_unref (submit->created);
  g_ptr_array_unref (submit->excess_retired);
  if (submit->texts != NULL)
    g_ptr_array_unref (submit->texts);
  config_head_delete (submit->next);
  config_bundle_delete (submit->base);
}

static void
remove_part_ (struct submit_ *submit, const char *name)
{
  g_autoptr (GString) body = g_string_new (NULL);
  int64_t version;

  if (sr_platform_get (submit->platform, "config-part", name, body, &version) == SR_PLATFORM_OK)
    sr_platform_remove (submit->platform, "config-part", name, version);
}

static void
copy_names_ (GPtrArray *to, const GPtrArray *from)
{
  for (size_t i = 0; i < from->len; i++)
    g_ptr_array_add (to, g_string_new (((GString *)g_ptr_array_index (from, i))->str));
}

static void
copy_changes_ (GPtrArray *to, const GPtrArray *from)
{
  for (size_t i = 0; i < from->len; i++)
    g_ptr_array_add (to, sr_audit_entry_copy (g_ptr_array_index (from, i)));
}

/* Sets the result. Always returns false, which callers return to end the submission. */
static bool
set_result_ (struct submit_ *submit, enum sr_submit_verdict verdict, int64_t revision)
{
  submit->result->verdict = verdict;
  submit->result->revision = revision;
  return false;
}

static void
string_free_ (void *data)
{
  g_string_free (data, TRUE);
}
