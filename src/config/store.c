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
  ID_BYTES = 17,
  READ_AGAIN_MAX = 5,
  RETRY_WAIT_US = 50000
};

static const char *const verdict_strings_[]
    = { "accepted", "unchanged", "faulty", "conflict", "platform out", "unknown" };

/* The state of one submission while it is carried out. */
struct submit_
{
  struct sr_platform *platform;
  const struct sr_submission *submission;
  struct sr_submit_result *result;
  char id[ID_BYTES];
  struct config_bundle *base; /* what it replaces */
  int64_t base_version;       /* of the head object */
  struct config_head *next;   /* what it puts in force */
  GPtrArray *texts;           /* of the next head's parts (GString) */
  GPtrArray *created;         /* names (GString, not owned) of the parts that it creates */
  GPtrArray *overflow;        /* names (GString) of retired parts that the next head forgets */
};

static bool check_ (struct submit_ *submit, struct sr_findings *findings);
static bool read_base_ (struct submit_ *submit, struct sr_findings *findings);
static bool accept_base_ (struct submit_ *submit);
static bool build_next_ (struct submit_ *submit);
static void reuse_part_ (struct submit_ *submit, size_t index, GString *before, GString *after);
static void retire_parts_ (struct submit_ *submit);
static void add_change_ (struct submit_ *submit, const GString *before, const GString *after);
static bool store_parts_ (struct submit_ *submit);
static bool store_trail_ (struct submit_ *submit);
static void put_head_ (struct submit_ *submit);
static bool settle_by_reading_ (struct submit_ *submit);
static void settle_lost_race_ (struct submit_ *submit, const struct config_head *now);
static bool trail_has_our_change_ (struct submit_ *submit);
static void
tell_changes_ (struct submit_ *submit, const struct config_head *now, int64_t base_revision);
static void clean_up_ (struct submit_ *submit);
static void remove_part_ (struct submit_ *submit, const char *name);
static void copy_names_ (GPtrArray *to, const GPtrArray *from);
static void copy_changes_ (GPtrArray *to, const GPtrArray *from);
static bool finish_ (struct submit_ *submit, enum sr_submit_verdict verdict, int64_t revision);
static void string_free_ (void *data);

/* Checks SUBMISSION and puts it in force by one conditional update of the head object. Blocks until
 * the submission's deadline (monotonic) at the latest. RESULT tells what came of it; the caller
 * clears it with sr_submit_result_clear. Whatever happens, instances see either all of the
 * submission or nothing of it. A lost answer is settled by reading back: the head carries the ids
 * of the last submissions, and the audit trail those of the earlier ones. */
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
  submit.overflow = g_ptr_array_new_with_free_func (string_free_);
  if (check_ (&submit, findings) && read_base_ (&submit, findings) && accept_base_ (&submit)
      && build_next_ (&submit) && store_parts_ (&submit) && store_trail_ (&submit))
    put_head_ (&submit);
  clean_up_ (&submit);
}

/* Frees what RESULT holds. */
void
sr_submit_result_clear (struct sr_submit_result *result)
{
  g_string_free (result->message, TRUE);
  result->message = NULL;
}

/* Returns a word for VERDICT. */
const char *
sr_submit_verdict_to_string (enum sr_submit_verdict verdict)
{
  g_assert ((size_t)verdict < G_N_ELEMENTS (verdict_strings_));
  return verdict_strings_[verdict];
}

/* Checks the submission by itself. */
static bool
check_ (struct submit_ *submit, struct sr_findings *findings)
{
  const struct sr_submission *submission = submit->submission;
  struct sr_config *config = NULL;

  if (submission->length > TEXT_MAX_BYTES)
    sr_findings_add (findings, submission->file_name, 0, NULL, NULL, "is too large");
  else
    config = sr_config_parse (submission->file_name, submission->text, submission->length, 0,
                              findings);
  sr_config_unref (config);
  return config != NULL || finish_ (submit, SR_SUBMIT_FAULTY, 0);
}

/* Reads what is in force. A part that is gone means that the head has moved on. */
static bool
read_base_ (struct submit_ *submit, struct sr_findings *findings)
{
  enum config_bundle_status status = CONFIG_BUNDLE_MOVED;
  struct config_source_platform source;

  config_source_platform_init (&source, submit->platform, submit->submission->deadline_us);
  for (int i = 0; i < READ_AGAIN_MAX && status == CONFIG_BUNDLE_MOVED; i++)
    {
      g_autoptr (GString) body = g_string_new (NULL);
      enum sr_platform_status got
          = sr_platform_get_patiently (submit->platform, "config", "head", body,
                                       &submit->base_version, submit->submission->deadline_us);

      if (got == SR_PLATFORM_ABSENT)
        {
          submit->base_version = 0;
          submit->base = config_bundle_new_empty ();
          return true;
        }
      status = CONFIG_BUNDLE_OUT;
      if (got == SR_PLATFORM_OK)
        status = config_bundle_complete (&source.base, body, NULL, &submit->base);
    }
  if (status == CONFIG_BUNDLE_OK)
    return true;
  if (status != CONFIG_BUNDLE_CORRUPT)
    return finish_ (submit, SR_SUBMIT_OUT, 0);
  sr_findings_add (findings, "config/head", 0, NULL, NULL, "what is on the platform is corrupt");
  return finish_ (submit, SR_SUBMIT_FAULTY, 0);
}

/* Compares the base that the operator named with what is in force. */
static bool
accept_base_ (struct submit_ *submit)
{
  const struct config_head *head = submit->base->head;
  const struct sr_audit_entry *ours = config_head_find_change (head, submit->id);
  int64_t base_revision = submit->submission->base_revision;

  if (ours != NULL)
    return finish_ (submit, SR_SUBMIT_ACCEPTED, ours->revision);
  if (base_revision == SR_SUBMIT_BASE_CURRENT || base_revision == head->revision)
    return true;
  tell_changes_ (submit, head, base_revision);
  return finish_ (submit, SR_SUBMIT_CONFLICT, head->revision);
}

/* Builds the next head: parts with the same text keep their names. */
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
    reuse_part_ (submit, i, before, after);
  if (submit->texts->len != base->parts->len)
    for (size_t i = 0; i < submit->base->texts->len; i++)
      {
        gsize length;
        const char *text = g_bytes_get_data (g_ptr_array_index (submit->base->texts, i), &length);

        g_string_append_len (before, text, (gssize)length);
      }
  if (submit->created->len == 0)
    return finish_ (submit, SR_SUBMIT_UNCHANGED, base->revision);
  retire_parts_ (submit);
  add_change_ (submit, before, after);
  return true;
}

/* Names part INDEX of the next head. When its text differs from that of the base, the texts are
 * appended to BEFORE and AFTER; when the number of parts differs, only to AFTER. */
static void
reuse_part_ (struct submit_ *submit, size_t index, GString *before, GString *after)
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

/* Notes the parts of the base that the next head does not name; the oldest beyond the limit are
 * removed once the next head is in force. */
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
    g_ptr_array_add (submit->overflow, g_ptr_array_steal_index (retired, 0));
}

/* Adds this submission's change to the next head, from which the audit trail is made. */
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
          && sr_platform_create_once (submit->platform, "config-part", name->str, text->str,
                                      text->len, submit->submission->deadline_us)
                 != SR_PLATFORM_OK)
        return finish_ (submit, SR_SUBMIT_OUT, submit->base->head->revision);
    }
  return true;
}

/* Writes into the trail the changes of the base's head that the next one no longer carries. */
static bool
store_trail_ (struct submit_ *submit)
{
  const GPtrArray *changes = submit->base->head->changes;

  for (size_t i = 0; i < changes->len; i++)
    {
      const struct sr_audit_entry *change = g_ptr_array_index (changes, i);

      if (!sr_audit_contains (submit->next->changes, change)
          && sr_audit_write (submit->platform, change, submit->submission->deadline_us)
                 != SR_PLATFORM_OK)
        return finish_ (submit, SR_SUBMIT_OUT, submit->base->head->revision);
    }
  return true;
}

/* Puts the next head in force, once: the update is repeated only with the same expected version,
 * and after a lost answer it is read back. */
static void
put_head_ (struct submit_ *submit)
{
  char *body = config_head_encode (submit->next);
  enum sr_platform_status status = SR_PLATFORM_TOO_LARGE;
  bool doubtful = false;
  bool settled = body == NULL;

  while (!settled)
    {
      int64_t version;

      status = sr_platform_put (submit->platform, "config", "head", body, strlen (body),
                                submit->base_version, &version);
      doubtful = doubtful || status == SR_PLATFORM_UNKNOWN;
      if (status == SR_PLATFORM_OK)
        settled = !finish_ (submit, SR_SUBMIT_ACCEPTED, submit->next->revision);
      else if (status == SR_PLATFORM_CONFLICT)
        settled = settle_by_reading_ (submit);
      else if (status == SR_PLATFORM_TOO_LARGE || (status == SR_PLATFORM_OUT && !doubtful))
        break;
      if (!settled && g_get_monotonic_time () >= submit->submission->deadline_us)
        break;
      if (!settled)
        g_usleep (RETRY_WAIT_US);
    }
  free (body);
  if (!settled)
    finish_ (submit, doubtful ? SR_SUBMIT_UNKNOWN : SR_SUBMIT_OUT, submit->base->head->revision);
}

/* The head has moved: finds out whether this submission moved it. Returns false when it could not
 * be found out. */
static bool
settle_by_reading_ (struct submit_ *submit)
{
  g_autoptr (GString) body = g_string_new (NULL);
  const struct sr_audit_entry *ours;
  struct config_head *now;
  int64_t version;

  if (sr_platform_get_patiently (submit->platform, "config", "head", body, &version,
                                 submit->submission->deadline_us)
      != SR_PLATFORM_OK)
    return false;
  now = config_head_decode (body->str, body->len);
  if (now == NULL)
    return false;
  ours = config_head_find_change (now, submit->id);
  if (ours != NULL)
    finish_ (submit, SR_SUBMIT_ACCEPTED, ours->revision);
  else
    settle_lost_race_ (submit, now);
  config_head_delete (now);
  return true;
}

/* The head NOW does not carry our change: either it never did, or the change has been moved to the
 * trail since. */
static void
settle_lost_race_ (struct submit_ *submit, const struct config_head *now)
{
  if (now->revision > submit->next->revision && trail_has_our_change_ (submit))
    {
      finish_ (submit, SR_SUBMIT_ACCEPTED, submit->next->revision);
      return;
    }
  tell_changes_ (submit, now, submit->base->head->revision);
  finish_ (submit, SR_SUBMIT_CONFLICT, now->revision);
}

static bool
trail_has_our_change_ (struct submit_ *submit)
{
  const GPtrArray *changes = submit->next->changes;
  const struct sr_audit_entry *ours = g_ptr_array_index (changes, changes->len - 1);
  GString *name = sr_audit_entry_name (ours);
  g_autoptr (GString) body = g_string_new (NULL);
  enum sr_platform_status status;
  int64_t version;

  status = sr_platform_get_patiently (submit->platform, "audit", name->str, body, &version,
                                      submit->submission->deadline_us);
  g_string_free (name, TRUE);
  return status == SR_PLATFORM_OK;
}

/* Writes into the result's message what changed after BASE_REVISION, one line a change. */
static void
tell_changes_ (struct submit_ *submit, const struct config_head *now, int64_t base_revision)
{
  GString *message = submit->result->message;
  int64_t oldest_told = now->revision + 1;

  for (size_t i = 0; i < now->changes->len; i++)
    {
      const struct sr_audit_entry *change = g_ptr_array_index (now->changes, i);

      if (change->revision <= base_revision)
        continue;
      oldest_told = MIN (oldest_told, change->revision);
      g_string_append_printf (message, "revision %" G_GINT64_FORMAT " by %s: %s\n",
                              change->revision, change->who->str, change->subject->str);
    }
  if (base_revision > now->revision)
    g_string_append (message, "the base is above the revision in force\n");
  else if (oldest_told > base_revision + 1)
    g_string_append (message, "earlier changes are in the audit trail\n");
}

/* Writes the trail of what was accepted and removes parts that nothing names any more. All of it is
 * repeated by later submissions if it fails here, but for a few parts left over. */
static void
clean_up_ (struct submit_ *submit)
{
  const GPtrArray *changes = submit->next->changes;
  enum sr_submit_verdict verdict = submit->result->verdict;
  bool won = verdict == SR_SUBMIT_ACCEPTED && changes->len > 0;

  if (won)
    {
      sr_audit_write (submit->platform, g_ptr_array_index (changes, changes->len - 1),
                      submit->submission->deadline_us);
      for (size_t i = 0; i < submit->overflow->len; i++)
        remove_part_ (submit, ((GString *)g_ptr_array_index (submit->overflow, i))->str);
      sr_audit_prune (submit->platform, submit->submission->when_ms);
    }
  for (size_t i = 0; verdict == SR_SUBMIT_CONFLICT && i < submit->created->len; i++)
    remove_part_ (submit, ((GString *)g_ptr_array_index (submit->created, i))->str);
  g_ptr_array_unref (submit->created);
  g_ptr_array_unref (submit->overflow);
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

/* Notes the end of a submission. Returns false, for the caller to stop. */
static bool
finish_ (struct submit_ *submit, enum sr_submit_verdict verdict, int64_t revision)
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
