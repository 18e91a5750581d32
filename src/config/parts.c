#include "config/parts.h"

#include "settings/ini-reader.h"

#include <string.h>
#include <xxhash.h>

enum
{
  HASH_HEX_DIGITS = 16,
  SUBJECT_MAX_BYTES = 512,
  TEXT_MAX_BYTES = 512
};

static const char change_symbols_[] = "+-~";

static struct sr_ini_document *parse_sections_ (const char *text, size_t length);
static size_t choose_part_count_ (size_t total_bytes, size_t previous_count);
static GString *section_name_ (const struct sr_ini_section *section);
static void print_section_ (const struct sr_ini_section *section, GString *out);
static void append_change_ (GPtrArray *changes,
                            enum config_change_kind kind,
                            const GString *name,
                            const struct sr_ini_section *before,
                            const struct sr_ini_section *after);
static int compare_sections_ (const void *a, const void *b);
static void append_bounded_ (GString *out, const GString *text, size_t limit);
static void change_free_ (void *data);
static void string_free_ (void *data);

/* Splits LENGTH bytes of TEXT, a valid configuration, into parts whose number is a power of two.
 * A section belongs to the part that the hash of its name selects; within a part the sections are
 * sorted by name. The number of parts stays PREVIOUS_COUNT (0 for none) unless the mean size leaves
 * the range from a quarter to about double of CONFIG_PART_TARGET_BYTES, so that a change of one
 * section changes one part. Returns the texts of the parts (GString), owned by the caller. */
GPtrArray *
config_parts_split (const char *text, size_t length, size_t previous_count)
{
  struct sr_ini_document *document = parse_sections_ (text, length);
  size_t count = choose_part_count_ (length, previous_count);
  GPtrArray *parts = g_ptr_array_new_with_free_func (string_free_);

  for (size_t i = 0; i < count; i++)
    g_ptr_array_add (parts, g_string_new (NULL));
  g_ptr_array_sort (document->sections, compare_sections_);
  for (size_t i = 0; i < document->sections->len; i++)
    {
      const struct sr_ini_section *section = g_ptr_array_index (document->sections, i);
      GString *name = section_name_ (section);
      size_t index = XXH3_64bits (name->str, name->len) & (count - 1);

      print_section_ (section, g_ptr_array_index (parts, index));
      g_string_free (name, TRUE);
    }
  sr_ini_document_delete (document);
  return parts;
}

/* Returns the name of the part with this TEXT that the submission SUBMISSION_ID (16 hex digits)
 * creates; the caller frees it. The name contains the submission so that the name of a removed part
 * is never used again, even for the same text. */
GString *
config_part_name (const GString *text, const char *submission_id)
{
  GString *name = g_string_new (NULL);

  g_string_printf (name, "%016" G_GINT64_MODIFIER "x-%s",
                   (guint64)XXH3_64bits (text->str, text->len), submission_id);
  return name;
}

bool
config_part_name_is_valid (const char *name)
{
  static const char digits[] = "0123456789abcdef";

  return strlen (name) == CONFIG_PART_NAME_BYTES && strspn (name, digits) == HASH_HEX_DIGITS
         && name[HASH_HEX_DIGITS] == '-'
         && strspn (name + HASH_HEX_DIGITS + 1, digits) == HASH_HEX_DIGITS;
}

/* Checks LENGTH bytes of TEXT against the hash in the name of their part. */
bool
config_part_matches_name (const char *name, const char *text, size_t length)
{
  char hash[HASH_HEX_DIGITS + 1];

  g_snprintf (hash, sizeof (hash), "%016" G_GINT64_MODIFIER "x",
              (guint64)XXH3_64bits (text, length));
  return strncmp (name, hash, HASH_HEX_DIGITS) == 0;
}

/* Returns the differences between the sections of two valid texts (struct config_section_change),
 * owned by the caller. */
GPtrArray *
config_parts_compare (const GString *before, const GString *after)
{
  GPtrArray *changes = g_ptr_array_new_with_free_func (change_free_);
  struct sr_ini_document *old = parse_sections_ (before->str, before->len);
  struct sr_ini_document *new = parse_sections_ (after->str, after->len);

  for (size_t i = 0; i < new->sections->len; i++)
    {
      const struct sr_ini_section *section = g_ptr_array_index (new->sections, i);
      const struct sr_ini_section *former = sr_ini_find_section (old, section->name->str);

      append_change_ (changes, former == NULL ? CONFIG_SECTION_ADDED : CONFIG_SECTION_CHANGED,
                      section->name, former, section);
    }
  for (size_t i = 0; i < old->sections->len; i++)
    {
      const struct sr_ini_section *section = g_ptr_array_index (old->sections, i);

      if (sr_ini_find_section (new, section->name->str) == NULL)
        append_change_ (changes, CONFIG_SECTION_REMOVED, section->name, section, NULL);
    }
  sr_ini_document_delete (old);
  sr_ini_document_delete (new);
  return changes;
}

/* Describes CHANGES in bounded size. Appends to SUBJECT the names of the sections, each with + for
 * added, - for removed or ~ for changed in front, and to BEFORE and AFTER the texts of the
 * sections. */
void
config_changes_describe (const GPtrArray *changes,
                         GString *subject,
                         GString *before,
                         GString *after)
{
  size_t n_named = 0;

  for (size_t i = 0; i < changes->len; i++)
    {
      const struct config_section_change *change = g_ptr_array_index (changes, i);

      if (subject->len + change->name->len < SUBJECT_MAX_BYTES)
        {
          g_string_append_printf (subject, "%s%c[%s]", subject->len > 0 ? " " : "",
                                  change_symbols_[change->kind], change->name->str);
          n_named++;
        }
      append_bounded_ (before, change->before, TEXT_MAX_BYTES);
      append_bounded_ (after, change->after, TEXT_MAX_BYTES);
    }
  if (n_named < changes->len)
    g_string_append_printf (subject, " and %zu more", changes->len - n_named);
}

static struct sr_ini_document *
parse_sections_ (const char *text, size_t length)
{
  struct sr_findings *ignored = sr_findings_new ();
  struct sr_ini_document *document = sr_ini_read ("", text, length, ignored);

  sr_findings_delete (ignored);
  return document;
}

static size_t
choose_part_count_ (size_t total_bytes, size_t previous_count)
{
  size_t count = MAX (previous_count, 1);

  while (count < CONFIG_PARTS_MAX && total_bytes / count > 2 * CONFIG_PART_TARGET_BYTES)
    count *= 2;
  while (count > 1 && total_bytes / count < CONFIG_PART_TARGET_BYTES / 4)
    count /= 2;
  return count;
}

/* Returns the name of SECTION with runs of spaces reduced to one; the caller frees it. */
static GString *
section_name_ (const struct sr_ini_section *section)
{
  GString *name = g_string_new (NULL);

  for (const char *c = section->name->str; *c != '\0'; c++)
    if (*c != ' ' || c[1] != ' ')
      g_string_append_c (name, *c);
  return name;
}

static void
print_section_ (const struct sr_ini_section *section, GString *out)
{
  GString *name = section_name_ (section);

  g_string_append_printf (out, "[%s]\n", name->str);
  g_string_free (name, TRUE);
  for (size_t i = 0; i < section->entries->len; i++)
    {
      const struct sr_ini_entry *entry = g_ptr_array_index (section->entries, i);

      g_string_append_printf (out, "%s = %s\n", entry->key->str, entry->value->str);
    }
}

/* Appends the change from BEFORE (NULL if the section was added) to AFTER (NULL if it was removed),
 * unless both have the same text. */
static void
append_change_ (GPtrArray *changes,
                enum config_change_kind kind,
                const GString *name,
                const struct sr_ini_section *before,
                const struct sr_ini_section *after)
{
  struct config_section_change *change = g_new0 (struct config_section_change, 1);

  change->kind = kind;
  change->name = g_string_new_len (name->str, (gssize)name->len);
  change->before = g_string_new (NULL);
  change->after = g_string_new (NULL);
  if (before != NULL)
    print_section_ (before, change->before);
  if (after != NULL)
    print_section_ (after, change->after);
  if (g_string_equal (change->before, change->after))
    change_free_ (change);
  else
    g_ptr_array_add (changes, change);
}

static int
compare_sections_ (const void *a, const void *b)
{
  const struct sr_ini_section *left = *(struct sr_ini_section *const *)a;
  const struct sr_ini_section *right = *(struct sr_ini_section *const *)b;

  return strcmp (left->name->str, right->name->str);
}

/* Appends TEXT to OUT if OUT does not exceed LIMIT bytes by this; otherwise appends
 * truncation_mark, unless OUT ends with it. */
static void
append_bounded_ (GString *out, const GString *text, size_t limit)
{
  static const char truncation_mark[] = "...\n";

  if (out->len + text->len <= limit)
    g_string_append_len (out, text->str, (gssize)text->len);
  else if (!g_str_has_suffix (out->str, truncation_mark))
    g_string_append (out, truncation_mark);
}

static void
change_free_ (void *data)
{
  struct config_section_change *change = data;

  g_string_free (change->name, TRUE);
  g_string_free (change->before, TRUE);
  g_string_free (change->after, TRUE);
  g_free (change);
}

static void
string_free_ (void *data)
{
  g_string_free (data, TRUE);
}
