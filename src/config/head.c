#include "config/head.h"

#include "config/parts.h"

#include <string.h>

static json_t *encode_names_ (const GPtrArray *names);
static json_t *encode_changes_ (const GPtrArray *changes);
static bool decode_names_ (const json_t *json, GPtrArray *names, size_t limit);
static bool decode_changes_ (const json_t *json, GPtrArray *changes);
static bool is_consistent_ (const struct config_head *head);
static void string_free_ (void *data);
static void entry_free_ (void *data);

/* Creates the head of revision 0, without parts or changes. The caller owns it. */
struct config_head *
config_head_new (void)
{
  struct config_head *head = g_new0 (struct config_head, 1);

  head->parts = g_ptr_array_new_with_free_func (string_free_);
  head->changes = g_ptr_array_new_with_free_func (entry_free_);
  head->retired = g_ptr_array_new_with_free_func (string_free_);
  return head;
}

/* NULL is allowed. */
void
config_head_delete (struct config_head *head)
{
  if (head == NULL)
    return;
  g_ptr_array_unref (head->parts);
  g_ptr_array_unref (head->changes);
  g_ptr_array_unref (head->retired);
  g_free (head);
}

/* Returns HEAD as JSON text, which the caller frees with free, or NULL when it cannot be encoded.
 */
char *
config_head_encode (const struct config_head *head)
{
  json_t *json = json_pack ("{s:I, s:o, s:o, s:o}", "revision", (json_int_t)head->revision, "parts",
                            encode_names_ (head->parts), "changes", encode_changes_ (head->changes),
                            "retired", encode_names_ (head->retired));
  char *text = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;

  json_decref (json);
  return text;
}

/* Returns the head encoded in LENGTH bytes of BODY, owned by the caller, or NULL when they are not
 * a valid head. Safe for arbitrary bytes. */
struct config_head *
config_head_decode (const char *body, size_t length)
{
  json_t *json = json_loadb (body, length, JSON_REJECT_DUPLICATES, NULL);
  struct config_head *head = config_head_new ();
  json_t *parts;
  json_t *changes;
  json_t *retired;
  json_int_t revision;
  bool valid = false;

  if (json != NULL
      && json_unpack (json, "{s:I, s:o, s:o, s:o}", "revision", &revision, "parts", &parts,
                      "changes", &changes, "retired", &retired)
             == 0)
    {
      head->revision = revision;
      valid = decode_names_ (parts, head->parts, CONFIG_PARTS_MAX)
              && decode_names_ (retired, head->retired, CONFIG_HEAD_RETIRED_KEPT)
              && decode_changes_ (changes, head->changes) && is_consistent_ (head);
    }
  json_decref (json);
  if (valid)
    return head;
  config_head_delete (head);
  return NULL;
}

/* Returns the change made by the submission ID (16 hex digits), owned by HEAD, or NULL when the
 * head does not hold it (any more). */
const struct sr_audit_entry *
config_head_find_change (const struct config_head *head, const char *id)
{
  for (size_t i = 0; i < head->changes->len; i++)
    {
      const struct sr_audit_entry *change = g_ptr_array_index (head->changes, i);

      if (g_str_has_suffix (change->id->str, id))
        return change;
    }
  return NULL;
}

static json_t *
encode_names_ (const GPtrArray *names)
{
  json_t *json = json_array ();

  for (size_t i = 0; i < names->len; i++)
    json_array_append_new (json, json_string (((GString *)g_ptr_array_index (names, i))->str));
  return json;
}

static json_t *
encode_changes_ (const GPtrArray *changes)
{
  json_t *json = json_array ();

  for (size_t i = 0; i < changes->len; i++)
    json_array_append_new (json, sr_audit_entry_encode (g_ptr_array_index (changes, i)));
  return json;
}

static bool
decode_names_ (const json_t *json, GPtrArray *names, size_t limit)
{
  if (!json_is_array (json) || json_array_size (json) > limit)
    return false;
  for (size_t i = 0; i < json_array_size (json); i++)
    {
      const char *name = json_string_value (json_array_get (json, i));

      if (name == NULL || !config_part_name_is_valid (name))
        return false;
      g_ptr_array_add (names, g_string_new (name));
    }
  return true;
}

static bool
decode_changes_ (const json_t *json, GPtrArray *changes)
{
  if (!json_is_array (json) || json_array_size (json) > CONFIG_HEAD_CHANGES_KEPT)
    return false;
  for (size_t i = 0; i < json_array_size (json); i++)
    {
      struct sr_audit_entry *change = sr_audit_entry_decode (json_array_get (json, i));

      if (change == NULL)
        return false;
      g_ptr_array_add (changes, change);
    }
  return true;
}

/* Checks that the number of parts is a power of two and that the last change made the revision of
 * the head. */
static bool
is_consistent_ (const struct config_head *head)
{
  const struct sr_audit_entry *last;
  size_t n_parts = head->parts->len;

  if (head->revision < 1 || n_parts == 0 || (n_parts & (n_parts - 1)) != 0
      || head->changes->len == 0)
    return false;
  last = g_ptr_array_index (head->changes, head->changes->len - 1);
  return last->revision == head->revision;
}

static void
string_free_ (void *data)
{
  g_string_free (data, TRUE);
}

static void
entry_free_ (void *data)
{
  sr_audit_entry_delete (data);
}
