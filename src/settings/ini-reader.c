#include "settings/ini-reader.h"

#include <arpa/inet.h>
#include <ini.h>
#include <pthread.h>
#include <string.h>

enum
{
  LINE_MAX_BYTES = 65536,
  NAME_MAX_BYTES = 63,
  PORT_MAX = 65535
};

/* State of one parse, shared by the callbacks of inih. */
struct parse_
{
  struct sr_ini_document *document;
  struct sr_findings *findings;
  const char *next; /* start of the line to be read next */
  const char *end;
  unsigned line;
  bool entry_expected;            /* the current line is not blank, a comment or a header */
  bool entry_seen;                /* inih reported an entry for the current line */
  struct sr_ini_section *section; /* NULL before the first header and after a faulty one */
  bool skipping;                  /* ignores the entries of a section whose header was faulty */
};

static void configure_inih_ (void);
static char *read_line_ (char *buffer, int size, void *stream);
static void
copy_line_ (struct parse_ *parse, const char *start, size_t length, char *buffer, size_t size);
static void examine_line_ (struct parse_ *parse, const char *line);
static void end_line_ (struct parse_ *parse);
static void open_section_ (struct parse_ *parse, const char *header);
static int add_entry_ (void *user, const char *section, const char *key, const char *value);
static const struct sr_ini_entry *find_entry_ (const struct sr_ini_section *section,
                                               const char *key);
static const struct sr_ini_key *
find_key_ (const struct sr_ini_key *keys, size_t n_keys, const char *name);
static const char *set_value_ (const struct sr_ini_key *key, const char *value, void *target);
static const char *
set_unsigned_ (const struct sr_ini_key *key, const char *value, unsigned *member);
static const char *set_choice_ (const struct sr_ini_key *key, const char *value, int *member);
static const char *set_list_ (const struct sr_ini_key *key, const char *value, GPtrArray *list);
static void set_default_ (const struct sr_ini_key *key, void *target);
static const char *
append_range_ (const struct sr_ini_key *key, const char *problem, char *buffer, size_t size);
static void entry_free_ (void *data);
static void section_free_ (void *data);
static void string_free_ (void *data);

/* Returns the text of the file at PATH, which the caller frees with g_free, or NULL after adding
 * the reason to FINDINGS. */
char *
sr_ini_load (const char *path, size_t *length, struct sr_findings *findings)
{
  g_autoptr (GError) error = NULL;
  char *text = NULL;
  gsize bytes = 0;

  if (!g_file_get_contents (path, &text, &bytes, &error))
    sr_findings_add (findings, path, 0, NULL, NULL, "%s", error->message);
  *length = bytes;
  return text;
}

/* Parses LENGTH bytes of TEXT as an INI file; FILE_NAME is used in the findings only. Malformed or
 * too long lines, duplicate sections and duplicate keys are added to FINDINGS and skipped; the rest
 * is in the document. Never returns NULL. The caller frees the document with
 * sr_ini_document_delete. */
struct sr_ini_document *
sr_ini_read (const char *file_name, const char *text, size_t length, struct sr_findings *findings)
{
  static pthread_once_t once = PTHREAD_ONCE_INIT;
  struct sr_ini_document *document = g_new0 (struct sr_ini_document, 1);
  struct parse_ parse
      = { .document = document, .findings = findings, .next = text, .end = text + length };

  pthread_once (&once, configure_inih_);
  document->file = g_string_new (file_name);
  document->sections = g_ptr_array_new_with_free_func (section_free_);
  document->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  ini_parse_stream (read_line_, &parse, add_entry_, &parse);
  return document;
}

/* NULL is allowed. */
void
sr_ini_document_delete (struct sr_ini_document *document)
{
  if (document == NULL)
    return;
  g_hash_table_unref (document->by_name);
  g_ptr_array_unref (document->sections);
  g_string_free (document->file, TRUE);
  g_free (document);
}

/* Returns the section whose header is SECTION, owned by DOCUMENT, or NULL. */
const struct sr_ini_section *
sr_ini_find_section (const struct sr_ini_document *document, const char *section)
{
  return g_hash_table_lookup (document->by_name, section);
}

/* Fills the members of TARGET that KEYS describe with the values in SECTION. SECTION is NULL if the
 * file does not have it; SECTION_NAME is used in the findings. Unknown keys, missing required keys
 * and invalid values are added to FINDINGS. Every member is set: without a valid value to the
 * default of its key, or if there is none to an empty string or list, 0 or false. TARGET owns its
 * strings and lists afterwards. */
void
sr_ini_fill (const struct sr_ini_document *document,
             const struct sr_ini_section *section,
             const char *section_name,
             const struct sr_ini_key *keys,
             size_t n_keys,
             void *target,
             struct sr_findings *findings)
{
  const char *file = document->file->str;

  for (size_t i = 0; section != NULL && i < section->entries->len; i++)
    {
      const struct sr_ini_entry *entry = g_ptr_array_index (section->entries, i);

      if (find_key_ (keys, n_keys, entry->key->str) == NULL)
        sr_findings_add (findings, file, entry->line, section_name, entry->key->str, "unknown key");
    }
  for (size_t i = 0; i < n_keys; i++)
    {
      const struct sr_ini_key *key = &keys[i];
      const struct sr_ini_entry *entry = find_entry_ (section, key->name);
      const char *problem;
      char range[96];

      set_default_ (key, target);
      if (entry == NULL && key->required)
        sr_findings_add (findings, file, section != NULL ? section->line : 0, section_name,
                         key->name, "is missing");
      if (entry == NULL)
        continue;
      problem = set_value_ (key, entry->value->str, target);
      if (problem != NULL)
        sr_findings_add (findings, file, entry->line, section_name, key->name, "%s",
                         append_range_ (key, problem, range, sizeof (range)));
    }
}

/* Checks whether TEXT is a valid name of a team, budget, service, backend server, instance or data
 * centre: 1 to 63 bytes of ASCII letters, digits, '.', '_' and '-'. */
bool
sr_ini_is_name (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length > NAME_MAX_BYTES)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (text[i]) && strchr ("._-", text[i]) == NULL)
      return false;
  return true;
}

/* For sr_ini_key.check_item. */
const char *
sr_ini_check_name (const char *item)
{
  return sr_ini_is_name (item) ? NULL : "has an item that is not a name";
}

/* For sr_ini_key.check_item. */
const char *
sr_ini_check_address_port (const char *item)
{
  char ip[16];
  unsigned port;

  return sr_ini_parse_address_port (item, ip, &port) ? NULL : "has an item that is not IP:PORT";
}

/* Parses "IP:PORT", an IPv4 address and a port from 1 to 65535. Returns false, with nothing
 * written, when TEXT is not of this form. */
bool
sr_ini_parse_address_port (const char *text, char ip[16], unsigned *port)
{
  const char *colon = strchr (text, ':');
  size_t length = colon != NULL ? (size_t)(colon - text) : 0;
  struct in_addr parsed;
  char address[16];
  guint64 number;

  if (length == 0 || length >= sizeof (address))
    return false;
  memcpy (address, text, length);
  address[length] = '\0';
  if (inet_pton (AF_INET, address, &parsed) != 1)
    return false;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 1, PORT_MAX, &number, NULL))
    return false;
  memcpy (ip, address, length + 1);
  *port = (unsigned)number;
  return true;
}

/* Sets the global options of inih: lines of up to LINE_MAX_BYTES on the heap, no multi-line values.
 */
static void
configure_inih_ (void)
{
  ini_use_stack = false;
  ini_max_line = LINE_MAX_BYTES;
  ini_initial_alloc = LINE_MAX_BYTES;
  ini_allow_multiline = false;
}

/* Line reader of inih, like fgets: copies the next line into BUFFER and returns it, NULL at the
 * end. */
static char *
read_line_ (char *buffer, int size, void *stream)
{
  struct parse_ *parse = stream;
  const char *start = parse->next;
  const char *stop;

  end_line_ (parse);
  if (start >= parse->end)
    return NULL;
  stop = memchr (start, '\n', (size_t)(parse->end - start));
  parse->next = stop != NULL ? stop + 1 : parse->end;
  parse->line++;
  copy_line_ (parse, start, (size_t)(parse->next - start), buffer, (size_t)size);
  examine_line_ (parse, buffer);
  return buffer;
}

/* Copies one line into BUFFER. A line that is too long or malformed is replaced by a blank one and
 * becomes a finding. */
static void
copy_line_ (struct parse_ *parse, const char *start, size_t length, char *buffer, size_t size)
{
  const char *problem = NULL;

  if (length + 1 > size)
    problem = "the line is too long";
  else if (memchr (start, '\0', length) != NULL)
    problem = "the line contains a zero byte";
  else if (!g_utf8_validate_len (start, length, NULL))
    problem = "the line is not UTF-8";
  if (problem == NULL)
    {
      memcpy (buffer, start, length);
      buffer[length] = '\0';
      return;
    }
  sr_findings_add (parse->findings, parse->document->file->str, parse->line, NULL, NULL, "%s",
                   problem);
  g_strlcpy (buffer, "\n", size);
}

/* Examines a line before inih parses it: opens a section, or records that inih is expected to
 * report an entry. Sections are opened here because inih does not report their headers. */
static void
examine_line_ (struct parse_ *parse, const char *line)
{
  static const char byte_order_mark[] = "\xEF\xBB\xBF";

  if (parse->line == 1 && g_str_has_prefix (line, byte_order_mark))
    line += strlen (byte_order_mark);
  while (g_ascii_isspace (*line))
    line++;
  parse->entry_seen = false;
  parse->entry_expected = *line != '\0' && *line != ';' && *line != '#' && *line != '[';
  if (*line == '[')
    open_section_ (parse, line + 1);
}

/* Ends a line. If it looked like an entry but inih did not report one, it is a finding. */
static void
end_line_ (struct parse_ *parse)
{
  if (parse->entry_expected && !parse->entry_seen)
    sr_findings_add (parse->findings, parse->document->file->str, parse->line,
                     parse->section != NULL ? parse->section->name->str : NULL, NULL,
                     "the line is not a section, key = value or comment");
  parse->entry_expected = false;
}

/* Begins a section. HEADER is the rest of the line after the opening bracket. */
static void
open_section_ (struct parse_ *parse, const char *header)
{
  const char *file = parse->document->file->str;
  const char *close = strchr (header, ']');
  struct sr_ini_section *section;

  parse->section = NULL;
  parse->skipping = true;
  if (close == NULL)
    {
      sr_findings_add (parse->findings, file, parse->line, NULL, NULL, "the section has no ]");
      return;
    }
  section = g_new0 (struct sr_ini_section, 1);
  section->name = g_string_new_len (header, close - header);
  section->line = parse->line;
  section->entries = g_ptr_array_new_with_free_func (entry_free_);
  if (g_hash_table_contains (parse->document->by_name, section->name->str))
    {
      sr_findings_add (parse->findings, file, parse->line, section->name->str, NULL,
                       "the section is defined twice");
      section_free_ (section);
      return;
    }
  g_ptr_array_add (parse->document->sections, section);
  g_hash_table_insert (parse->document->by_name, section->name->str, section);
  parse->section = section;
  parse->skipping = false;
}

/* Entry handler of inih: adds the entry to the current section. Returns 1, success, also after a
 * finding. */
static int
add_entry_ (void *user, const char *section, const char *key, const char *value)
{
  struct parse_ *parse = user;
  const char *file = parse->document->file->str;
  struct sr_ini_entry *entry;

  parse->entry_seen = true;
  if (parse->skipping)
    return 1;
  if (parse->section == NULL)
    {
      sr_findings_add (parse->findings, file, parse->line, NULL, key, "is before any section");
      return 1;
    }
  if (find_entry_ (parse->section, key) != NULL)
    {
      sr_findings_add (parse->findings, file, parse->line, parse->section->name->str, key,
                       "is set twice");
      return 1;
    }
  entry = g_new0 (struct sr_ini_entry, 1);
  entry->key = g_string_new (key);
  entry->value = g_string_new (value);
  entry->line = parse->line;
  g_ptr_array_add (parse->section->entries, entry);
  return 1;
}

static const struct sr_ini_entry *
find_entry_ (const struct sr_ini_section *section, const char *key)
{
  for (size_t i = 0; section != NULL && i < section->entries->len; i++)
    {
      const struct sr_ini_entry *entry = g_ptr_array_index (section->entries, i);

      if (strcmp (entry->key->str, key) == 0)
        return entry;
    }
  return NULL;
}

static const struct sr_ini_key *
find_key_ (const struct sr_ini_key *keys, size_t n_keys, const char *name)
{
  for (size_t i = 0; i < n_keys; i++)
    if (strcmp (keys[i].name, name) == 0)
      return &keys[i];
  return NULL;
}

/* Sets the member of KEY to its default, or to an empty string or list, 0 or false. */
static void
set_default_ (const struct sr_ini_key *key, void *target)
{
  void *member = (char *)target + key->offset;
  const char *problem;

  switch (key->type)
    {
    case SR_INI_TEXT:
    case SR_INI_NAME:
    case SR_INI_IP:
      *(GString **)member = g_string_new (NULL);
      break;
    case SR_INI_LIST:
      *(GPtrArray **)member = g_ptr_array_new_with_free_func (string_free_);
      break;
    case SR_INI_UNSIGNED:
      *(unsigned *)member = 0;
      break;
    case SR_INI_BOOL:
      *(bool *)member = false;
      break;
    case SR_INI_CHOICE:
      *(int *)member = 0;
      break;
    }
  if (key->default_value == NULL)
    return;
  problem = set_value_ (key, key->default_value, target);
  g_assert (problem == NULL);
}

/* Sets the member of KEY from VALUE. Returns NULL, or a message that describes the fault; the
 * member is then unchanged, except that a list may hold the items before the faulty one. */
static const char *
set_value_ (const struct sr_ini_key *key, const char *value, void *target)
{
  void *member = (char *)target + key->offset;
  struct in_addr parsed;

  if (*value == '\0' && key->type != SR_INI_LIST)
    return "has no value";
  switch (key->type)
    {
    case SR_INI_NAME:
      if (!sr_ini_is_name (value))
        return "is not a name (1 to 63 letters, digits, '.', '_', '-')";
      break;
    case SR_INI_IP:
      if (inet_pton (AF_INET, value, &parsed) != 1)
        return "is not an IPv4 address";
      break;
    case SR_INI_UNSIGNED:
      return set_unsigned_ (key, value, member);
    case SR_INI_CHOICE:
      return set_choice_ (key, value, member);
    case SR_INI_LIST:
      return set_list_ (key, value, *(GPtrArray **)member);
    case SR_INI_BOOL:
      if (strcmp (value, "yes") != 0 && strcmp (value, "no") != 0)
        return "is neither yes nor no";
      *(bool *)member = strcmp (value, "yes") == 0;
      return NULL;
    case SR_INI_TEXT:
      break;
    }
  g_string_assign (*(GString **)member, value);
  return NULL;
}

static const char *
set_unsigned_ (const struct sr_ini_key *key, const char *value, unsigned *member)
{
  guint64 number;
  g_autoptr (GError) error = NULL;

  if (g_ascii_string_to_unsigned (value, 10, key->min, key->max, &number, &error))
    {
      *member = (unsigned)number;
      return NULL;
    }
  if (g_error_matches (error, G_NUMBER_PARSER_ERROR, G_NUMBER_PARSER_ERROR_OUT_OF_BOUNDS))
    return "is out of range";
  return "is not a whole number";
}

static const char *
set_choice_ (const struct sr_ini_key *key, const char *value, int *member)
{
  for (int i = 0; key->choices[i] != NULL; i++)
    if (strcmp (key->choices[i], value) == 0)
      {
        *member = i;
        return NULL;
      }
  return "is not one of the allowed words";
}

static const char *
set_list_ (const struct sr_ini_key *key, const char *value, GPtrArray *list)
{
  g_auto (GStrv) items = g_strsplit (value, ",", -1);

  g_ptr_array_set_size (list, 0);
  if (*value == '\0')
    return key->required ? "has no value" : NULL;
  for (size_t i = 0; items[i] != NULL; i++)
    {
      const char *item = g_strstrip (items[i]);
      const char *problem = *item == '\0' ? "has an empty item" : NULL;

      if (problem == NULL && key->check_item != NULL)
        problem = key->check_item (item);
      if (problem != NULL)
        return problem;
      g_ptr_array_add (list, g_string_new (item));
    }
  return NULL;
}

/* For an unsigned key, returns PROBLEM with the valid range appended, in BUFFER of SIZE bytes; else
 * PROBLEM. */
static const char *
append_range_ (const struct sr_ini_key *key, const char *problem, char *buffer, size_t size)
{
  if (key->type != SR_INI_UNSIGNED)
    return problem;
  g_snprintf (buffer, size, "%s (%u to %u)", problem, key->min, key->max);
  return buffer;
}

static void
entry_free_ (void *data)
{
  struct sr_ini_entry *entry = data;

  g_string_free (entry->key, TRUE);
  g_string_free (entry->value, TRUE);
  g_free (entry);
}

static void
section_free_ (void *data)
{
  struct sr_ini_section *section = data;

  g_string_free (section->name, TRUE);
  g_ptr_array_unref (section->entries);
  g_free (section);
}

static void
string_free_ (void *data)
{
  g_string_free (data, TRUE);
}
