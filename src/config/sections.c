#include "config/snapshot.h"
#include "settings/ini-reader.h"

#include <stddef.h>
#include <string.h>

enum
{
  PORT_MAX = 65535,
  DIGEST_HEX = 2 * CONFIG_DIGEST_BYTES,
  STRINGS_BLOCK_BYTES = 512
};

/* What the adding of one section needs. */
struct adding_
{
  struct config_sections *sections;
  const struct sr_ini_document *document;
  const struct sr_ini_section *section;
  const char *name; /* the section's name after its kind */
  struct config_origin origin;
  struct sr_findings *findings;
};

/* One kind of section. */
struct kind_
{
  const char *word;
  void (*add) (struct adding_ *adding);
};

static struct config_sections *sections_new_ (void);
static void add_section_ (struct adding_ *adding);
static void add_team_ (struct adding_ *adding);
static void add_budget_ (struct adding_ *adding);
static void add_service_ (struct adding_ *adding);
static void add_backend_ (struct adding_ *adding);
static void team_free_ (void *data);
static void budget_free_ (void *data);
static void service_free_ (void *data);
static void backend_free_ (void *data);
static void check_service_ (const struct adding_ *adding, struct sr_config_service *service);
static const char *check_digest_ (const char *item);
static void
fill_ (const struct adding_ *adding, const struct sr_ini_key *keys, size_t n_keys, void *target);
static bool has_key_ (const struct sr_ini_section *section, const char *key);
static void add_finding_ (const struct adding_ *adding, const char *key, const char *message);

static const struct kind_ kinds_[] = {
  { "team", add_team_ },
  { "budget", add_budget_ },
  { "service", add_service_ },
  { "backend", add_backend_ },
};

static const char *const service_kinds_[] = { "model", "plain", NULL };

#define TEAM(member) offsetof (struct sr_config_team, member)

static const struct sr_ini_key team_keys_[] = {
  { .name = "key_digest",
    .type = SR_INI_LIST,
    .offset = TEAM (key_digests),
    .required = true,
    .check_item = check_digest_ },
  { .name = "budgets",
    .type = SR_INI_LIST,
    .offset = TEAM (budgets),
    .check_item = sr_ini_check_name },
  { .name = "weight",
    .type = SR_INI_UNSIGNED,
    .offset = TEAM (weight),
    .min = 1,
    .max = 1000,
    .fallback = "1" },
};

/* Members of a budget's section. */
struct budget_fields_
{
  GString *team;
};

static const struct sr_ini_key budget_keys_[] = {
  { .name = "team",
    .type = SR_INI_NAME,
    .offset = offsetof (struct budget_fields_, team),
    .required = true },
};

#define SERVICE(member) offsetof (struct sr_config_service, member)

static const struct sr_ini_key service_keys_[] = {
  { .name = "kind",
    .type = SR_INI_CHOICE,
    .offset = SERVICE (kind),
    .required = true,
    .choices = service_kinds_ },
  { .name = "repeatable", .type = SR_INI_BOOL, .offset = SERVICE (repeatable) },
  { .name = "model", .type = SR_INI_NAME, .offset = SERVICE (model) },
  { .name = "version", .type = SR_INI_NAME, .offset = SERVICE (version) },
  { .name = "adapter", .type = SR_INI_NAME, .offset = SERVICE (adapter) },
  { .name = "bytes_per_token_min",
    .type = SR_INI_UNSIGNED,
    .offset = SERVICE (bytes_per_token_min),
    .min = 1,
    .max = 64,
    .fallback = "1" },
  { .name = "max_output_tokens",
    .type = SR_INI_UNSIGNED,
    .offset = SERVICE (max_output_tokens),
    .min = 1,
    .max = 1 << 20 },
  { .name = "call_tokens",
    .type = SR_INI_UNSIGNED,
    .offset = SERVICE (call_tokens),
    .max = 1 << 30 },
};

#define BACKEND(member) offsetof (struct sr_config_backend, member)

static const struct sr_ini_key backend_keys_[] = {
  { .name = "service", .type = SR_INI_NAME, .offset = BACKEND (service), .required = true },
  { .name = "address", .type = SR_INI_IP, .offset = BACKEND (address), .required = true },
  { .name = "port",
    .type = SR_INI_UNSIGNED,
    .offset = BACKEND (port),
    .required = true,
    .min = 1,
    .max = PORT_MAX },
  { .name = "data_centre", .type = SR_INI_NAME, .offset = BACKEND (data_centre), .required = true },
  { .name = "slots",
    .type = SR_INI_UNSIGNED,
    .offset = BACKEND (slots),
    .min = 1,
    .max = 65536,
    .fallback = "8" },
  { .name = "checks_fence", .type = SR_INI_BOOL, .offset = BACKEND (checks_fence) },
  { .name = "leaving", .type = SR_INI_BOOL, .offset = BACKEND (leaving) },
};

/* Reads the sections in LENGTH bytes of TEXT, one part of a configuration or the whole. Every fault
 * of a section becomes one of FINDINGS; FILE_NAME is only for these. Returns what was read with one
 * reference, the caller's. */
struct config_sections *
config_sections_parse (const char *file_name,
                       const char *text,
                       size_t length,
                       struct sr_findings *findings)
{
  struct sr_ini_document *document = sr_ini_read (file_name, text, length, findings);
  struct config_sections *sections = sections_new_ ();
  struct adding_ adding = { .sections = sections, .document = document, .findings = findings };

  adding.origin.file = g_string_chunk_insert_const (sections->strings, file_name);
  for (size_t i = 0; i < document->sections->len; i++)
    {
      adding.section = g_ptr_array_index (document->sections, i);
      adding.origin.line = adding.section->line;
      add_section_ (&adding);
    }
  sr_ini_document_delete (document);
  return sections;
}

/* Takes a reference to SECTIONS and returns them. Any thread. */
struct config_sections *
config_sections_ref (struct config_sections *sections)
{
  atomic_fetch_add (&sections->reference_count, 1);
  return sections;
}

/* Gives a reference back; the last one frees SECTIONS. NULL is allowed. Any thread. */
void
config_sections_unref (struct config_sections *sections)
{
  if (sections == NULL || atomic_fetch_sub (&sections->reference_count, 1) != 1)
    return;
  g_ptr_array_unref (sections->teams);
  g_ptr_array_unref (sections->budgets);
  g_ptr_array_unref (sections->services);
  g_ptr_array_unref (sections->backends);
  g_string_chunk_free (sections->strings);
  g_free (sections);
}

static struct config_sections *
sections_new_ (void)
{
  struct config_sections *sections = g_new0 (struct config_sections, 1);

  sections->teams = g_ptr_array_new_with_free_func (team_free_);
  sections->budgets = g_ptr_array_new_with_free_func (budget_free_);
  sections->services = g_ptr_array_new_with_free_func (service_free_);
  sections->backends = g_ptr_array_new_with_free_func (backend_free_);
  sections->strings = g_string_chunk_new (STRINGS_BLOCK_BYTES);
  atomic_store (&sections->reference_count, 1);
  return sections;
}

/* Adds one section by the kind that its name begins with. */
static void
add_section_ (struct adding_ *adding)
{
  const char *whole = adding->section->name->str;
  size_t word_length = strcspn (whole, " ");

  for (size_t i = 0; i < G_N_ELEMENTS (kinds_); i++)
    if (strlen (kinds_[i].word) == word_length && memcmp (kinds_[i].word, whole, word_length) == 0)
      {
        adding->name = whole + word_length + strspn (whole + word_length, " ");
        if (sr_ini_is_name (adding->name))
          kinds_[i].add (adding);
        else
          add_finding_ (adding, NULL, "the section's kind is not followed by a name");
        return;
      }
  add_finding_ (adding, NULL, "unknown section: not team, budget, service or backend NAME");
}

static void
add_team_ (struct adding_ *adding)
{
  struct config_team *node = g_new0 (struct config_team, 1);

  node->origin = adding->origin;
  node->team.name = g_string_new (adding->name);
  fill_ (adding, team_keys_, G_N_ELEMENTS (team_keys_), &node->team);
  g_ptr_array_add (adding->sections->teams, node);
}

static void
add_budget_ (struct adding_ *adding)
{
  struct config_budget *node = g_new0 (struct config_budget, 1);
  struct budget_fields_ fields;

  fill_ (adding, budget_keys_, G_N_ELEMENTS (budget_keys_), &fields);
  node->origin = adding->origin;
  node->name = g_string_new (adding->name);
  node->team = g_string_chunk_insert_const (adding->sections->strings, fields.team->str);
  g_string_free (fields.team, TRUE);
  g_ptr_array_add (adding->sections->budgets, node);
}

static void
add_service_ (struct adding_ *adding)
{
  struct config_service *node = g_new0 (struct config_service, 1);

  node->origin = adding->origin;
  node->service.name = g_string_new (adding->name);
  fill_ (adding, service_keys_, G_N_ELEMENTS (service_keys_), &node->service);
  check_service_ (adding, &node->service);
  g_ptr_array_add (adding->sections->services, node);
}

static void
add_backend_ (struct adding_ *adding)
{
  struct config_backend *node = g_new0 (struct config_backend, 1);

  node->origin = adding->origin;
  node->backend.name = g_string_new (adding->name);
  fill_ (adding, backend_keys_, G_N_ELEMENTS (backend_keys_), &node->backend);
  g_ptr_array_add (adding->sections->backends, node);
}

/* Checks which keys go with the service's kind. A model call only computes, so it may always be
 * repeated; a plain call may be only when the section says so. */
static void
check_service_ (const struct adding_ *adding, struct sr_config_service *service)
{
  static const char *const of_models[]
      = { "model", "version", "adapter", "bytes_per_token_min", "max_output_tokens" };
  const struct sr_ini_section *section = adding->section;

  if (service->kind == SR_SERVICE_PLAIN)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (of_models); i++)
        if (has_key_ (section, of_models[i]))
          add_finding_ (adding, of_models[i], "is only for kind = model");
      return;
    }
  if (has_key_ (section, "repeatable") && !service->repeatable)
    add_finding_ (adding, "repeatable", "is always yes for kind = model");
  service->repeatable = true;
  if (!has_key_ (section, "model"))
    add_finding_ (adding, "model", "is missing");
  if (!has_key_ (section, "max_output_tokens"))
    add_finding_ (adding, "max_output_tokens", "is missing");
  if (has_key_ (section, "call_tokens"))
    add_finding_ (adding, "call_tokens", "is only for kind = plain");
}

static const char *
check_digest_ (const char *item)
{
  if (strlen (item) == DIGEST_HEX && strspn (item, "0123456789abcdef") == DIGEST_HEX)
    return NULL;
  return "holds something that is no SHA-256 in lower-case hex";
}

static void
fill_ (const struct adding_ *adding, const struct sr_ini_key *keys, size_t n_keys, void *target)
{
  sr_ini_fill (adding->document, adding->section, adding->section->name->str, keys, n_keys, target,
               adding->findings);
}

static bool
has_key_ (const struct sr_ini_section *section, const char *key)
{
  for (size_t i = 0; i < section->entries->len; i++)
    {
      const struct sr_ini_entry *entry = g_ptr_array_index (section->entries, i);

      if (strcmp (entry->key->str, key) == 0)
        return true;
    }
  return false;
}

static void
add_finding_ (const struct adding_ *adding, const char *key, const char *message)
{
  sr_findings_add (adding->findings, adding->origin.file, adding->origin.line,
                   adding->section->name->str, key, "%s", message);
}

static void
team_free_ (void *data)
{
  struct config_team *node = data;

  g_string_free (node->team.name, TRUE);
  g_ptr_array_unref (node->team.key_digests);
  g_ptr_array_unref (node->team.budgets);
  g_free (node);
}

static void
budget_free_ (void *data)
{
  struct config_budget *node = data;

  g_string_free (node->name, TRUE);
  g_free (node);
}

static void
service_free_ (void *data)
{
  struct config_service *node = data;

  g_string_free (node->service.name, TRUE);
  g_string_free (node->service.model, TRUE);
  g_string_free (node->service.version, TRUE);
  g_string_free (node->service.adapter, TRUE);
  g_free (node);
}

static void
backend_free_ (void *data)
{
  struct config_backend *node = data;

  g_string_free (node->backend.name, TRUE);
  g_string_free (node->backend.service, TRUE);
  g_string_free (node->backend.address, TRUE);
  g_string_free (node->backend.data_centre, TRUE);
  g_free (node);
}
