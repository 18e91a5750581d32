#include "config/snapshot.h"
#include "settings/ini-reader.h"

#include <stddef.h>
#include <string.h>

enum
{
  PORT_MAX = 65535,
  DIGEST_HEX_DIGITS = 2 * CONFIG_DIGEST_BYTES,
  STRINGS_BLOCK_BYTES = 512
};

/* The section that is being added, and where it comes from. */
struct context_
{
  struct config_sections *sections;
  const struct sr_ini_document *document;
  const struct sr_ini_section *section;
  const char *name; /* second word of the header: "team NAME" */
  struct config_origin origin;
  struct sr_findings *findings;
};

struct section_kind_
{
  const char *word;
  void (*add) (struct context_ *context);
};

static struct config_sections *sections_new_ (void);
static void add_section_ (struct context_ *context);
static void add_team_ (struct context_ *context);
static void add_budget_ (struct context_ *context);
static void add_service_ (struct context_ *context);
static void add_backend_ (struct context_ *context);
static void team_free_ (void *data);
static void budget_free_ (void *data);
static void service_free_ (void *data);
static void backend_free_ (void *data);
static void check_service_ (const struct context_ *context, struct sr_config_service *service);
static const char *check_digest_ (const char *item);
static void
fill_ (const struct context_ *context, const struct sr_ini_key *keys, size_t n_keys, void *target);
static bool has_key_ (const struct sr_ini_section *section, const char *key);
static void add_finding_ (const struct context_ *context, const char *key, const char *message);

static const struct section_kind_ section_kinds_[] = {
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
    .default_value = "1" },
};

/* Target of sr_ini_fill for a budget's section. */
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
    .default_value = "1" },
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
    .default_value = "8" },
  { .name = "checks_fence", .type = SR_INI_BOOL, .offset = BACKEND (checks_fence) },
  { .name = "leaving", .type = SR_INI_BOOL, .offset = BACKEND (leaving) },
};

/* Parses the sections in LENGTH bytes of TEXT, one part of a configuration or the header. Every
 * fault within a section is added to FINDINGS with FILE_NAME. Returns the sections, never NULL,
 * with one reference, which the caller owns. */
struct config_sections *
config_sections_parse (const char *file_name,
                       const char *text,
                       size_t length,
                       struct sr_findings *findings)
{
  struct sr_ini_document *document = sr_ini_read (file_name, text, length, findings);
  struct config_sections *sections = sections_new_ ();
  struct context_ context = { .sections = sections, .document = document, .findings = findings };

  context.origin.file = g_string_chunk_insert_const (sections->strings, file_name);
  for (size_t i = 0; i < document->sections->len; i++)
    {
      context.section = g_ptr_array_index (document->sections, i);
      context.origin.line = context.section->line;
      add_section_ (&context);
    }
  sr_ini_document_delete (document);
  return sections;
}

/* May be called in any thread. */
struct config_sections *
config_sections_ref (struct config_sections *sections)
{
  atomic_fetch_add (&sections->reference_count, 1);
  return sections;
}

/* NULL is allowed. May be called in any thread. */
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

/* Adds one section. The first word of its header is its kind. */
static void
add_section_ (struct context_ *context)
{
  const char *header = context->section->name->str;
  size_t word_length = strcspn (header, " ");

  for (size_t i = 0; i < G_N_ELEMENTS (section_kinds_); i++)
    if (strlen (section_kinds_[i].word) == word_length
        && memcmp (section_kinds_[i].word, header, word_length) == 0)
      {
        context->name = header + word_length + strspn (header + word_length, " ");
        if (sr_ini_is_name (context->name))
          section_kinds_[i].add (context);
        else
          add_finding_ (context, NULL, "the section header has no valid name after its kind");
        return;
      }
  add_finding_ (context, NULL, "unknown section, expected team, budget, service or backend NAME");
}

static void
add_team_ (struct context_ *context)
{
  struct config_team *team = g_new0 (struct config_team, 1);

  team->origin = context->origin;
  team->team.name = g_string_new (context->name);
  fill_ (context, team_keys_, G_N_ELEMENTS (team_keys_), &team->team);
  g_ptr_array_add (context->sections->teams, team);
}

static void
add_budget_ (struct context_ *context)
{
  struct config_budget *budget = g_new0 (struct config_budget, 1);
  struct budget_fields_ fields;

  fill_ (context, budget_keys_, G_N_ELEMENTS (budget_keys_), &fields);
  budget->origin = context->origin;
  budget->name = g_string_new (context->name);
  budget->team = g_string_chunk_insert_const (context->sections->strings, fields.team->str);
  g_string_free (fields.team, TRUE);
  g_ptr_array_add (context->sections->budgets, budget);
}

static void
add_service_ (struct context_ *context)
{
  struct config_service *service = g_new0 (struct config_service, 1);

  service->origin = context->origin;
  service->service.name = g_string_new (context->name);
  fill_ (context, service_keys_, G_N_ELEMENTS (service_keys_), &service->service);
  check_service_ (context, &service->service);
  g_ptr_array_add (context->sections->services, service);
}

static void
add_backend_ (struct context_ *context)
{
  struct config_backend *backend = g_new0 (struct config_backend, 1);

  backend->origin = context->origin;
  backend->backend.name = g_string_new (context->name);
  fill_ (context, backend_keys_, G_N_ELEMENTS (backend_keys_), &backend->backend);
  g_ptr_array_add (context->sections->backends, backend);
}

/* Checks which keys are allowed for the kind of the service. A model call has no side effects, so
 * it may always be repeated; a plain call may be repeated only if its section says so. */
static void
check_service_ (const struct context_ *context, struct sr_config_service *service)
{
  static const char *const model_keys[]
      = { "model", "version", "adapter", "bytes_per_token_min", "max_output_tokens" };
  const struct sr_ini_section *section = context->section;

  if (service->kind == SR_SERVICE_PLAIN)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (model_keys); i++)
        if (has_key_ (section, model_keys[i]))
          add_finding_ (context, model_keys[i], "is allowed only for kind = model");
      return;
    }
  if (has_key_ (section, "repeatable") && !service->repeatable)
    add_finding_ (context, "repeatable", "cannot be no for kind = model");
  service->repeatable = true;
  if (!has_key_ (section, "model"))
    add_finding_ (context, "model", "is missing");
  if (!has_key_ (section, "max_output_tokens"))
    add_finding_ (context, "max_output_tokens", "is missing");
  if (has_key_ (section, "call_tokens"))
    add_finding_ (context, "call_tokens", "is allowed only for kind = plain");
}

static const char *
check_digest_ (const char *item)
{
  if (strlen (item) == DIGEST_HEX_DIGITS && strspn (item, "0123456789abcdef") == DIGEST_HEX_DIGITS)
    return NULL;
  return "has an item that is not a SHA-256 digest in lower-case hex";
}

static void
fill_ (const struct context_ *context, const struct sr_ini_key *keys, size_t n_keys, void *target)
{
  sr_ini_fill (context->document, context->section, context->section->name->str, keys, n_keys,
               target, context->findings);
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
add_finding_ (const struct context_ *context, const char *key, const char *message)
{
  sr_findings_add (context->findings, context->origin.file, context->origin.line,
                   context->section->name->str, key, "%s", message);
}

static void
team_free_ (void *data)
{
  struct config_team *team = data;

  g_string_free (team->team.name, TRUE);
  g_ptr_array_unref (team->team.key_digests);
  g_ptr_array_unref (team->team.budgets);
  g_free (team);
}

static void
budget_free_ (void *data)
{
  struct config_budget *budget = data;

  g_string_free (budget->name, TRUE);
  g_free (budget);
}

static void
service_free_ (void *data)
{
  struct config_service *service = data;

  g_string_free (service->service.name, TRUE);
  g_string_free (service->service.model, TRUE);
  g_string_free (service->service.version, TRUE);
  g_string_free (service->service.adapter, TRUE);
  g_free (service);
}

static void
backend_free_ (void *data)
{
  struct config_backend *backend = data;

  g_string_free (backend->backend.name, TRUE);
  g_string_free (backend->backend.service, TRUE);
  g_string_free (backend->backend.address, TRUE);
  g_string_free (backend->backend.data_centre, TRUE);
  g_free (backend);
}
