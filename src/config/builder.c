#include "config/config.h"
#include "sapphirerun/config.h"
#include "settings/ini-reader.h"

#include <string.h>

enum
{
  NAME_BYTES = 64
};

struct sr_builder
{
  GString *text;
  struct sr_findings *findings; /* about values that cannot be written in the syntax of the file */
};

static void begin_section_ (struct sr_builder *builder, const char *kind, const char *name);
static void add_text_ (struct sr_builder *builder, const char *key, const char *value);
static void add_number_ (struct sr_builder *builder, const char *key, unsigned value);
static void add_flag_ (struct sr_builder *builder, const char *key, bool value);
static void add_keys_ (struct sr_builder *builder, const char *const *keys);
static bool check_value_ (struct sr_builder *builder, const char *key, const char *value);

/* Creates an empty configuration. The caller owns it and frees it with sr_builder_delete. */
struct sr_builder *
sr_builder_new (void)
{
  struct sr_builder *builder = g_new0 (struct sr_builder, 1);

  builder->text = g_string_new (NULL);
  builder->findings = sr_findings_new ();
  return builder;
}

/* NULL is allowed. */
void
sr_builder_delete (struct sr_builder *builder)
{
  if (builder == NULL)
    return;
  g_string_free (builder->text, TRUE);
  sr_findings_delete (builder->findings);
  g_free (builder);
}

/* Adds a team. Only the digests of its keys are kept. */
void
sr_builder_add_team (struct sr_builder *builder, const struct sr_builder_team *team)
{
  begin_section_ (builder, "team", team->name);
  add_keys_ (builder, team->keys);
  add_text_ (builder, "budgets", team->default_budget);
  add_number_ (builder, "weight", team->weight);
}

void
sr_builder_add_budget (struct sr_builder *builder, const struct sr_builder_budget *budget)
{
  begin_section_ (builder, "budget", budget->name);
  add_text_ (builder, "team", budget->team);
}

/* Adds a service. Members of SERVICE that are for the other kind have to be NULL or 0. */
void
sr_builder_add_service (struct sr_builder *builder, const struct sr_builder_service *service)
{
  begin_section_ (builder, "service", service->name);
  add_text_ (builder, "kind", service->kind == SR_BUILDER_MODEL ? "model" : "plain");
  add_flag_ (builder, "repeatable", service->repeatable);
  add_text_ (builder, "model", service->model);
  add_text_ (builder, "version", service->version);
  add_text_ (builder, "adapter", service->adapter);
  add_number_ (builder, "bytes_per_token_min", service->bytes_per_token_min);
  add_number_ (builder, "max_output_tokens", service->max_output_tokens);
  add_number_ (builder, "call_tokens", service->call_tokens);
}

void
sr_builder_add_backend (struct sr_builder *builder, const struct sr_builder_backend *backend)
{
  begin_section_ (builder, "backend", backend->name);
  add_text_ (builder, "service", backend->service);
  add_text_ (builder, "address", backend->address);
  add_number_ (builder, "port", backend->port);
  add_text_ (builder, "data_centre", backend->data_centre);
  add_number_ (builder, "slots", backend->slots);
  add_flag_ (builder, "checks_fence", backend->checks_fence);
  add_flag_ (builder, "leaving", backend->leaving);
}

/* Checks the configuration and prints it to CONFIGURATION. If it has faults, prints every one to
 * FINDINGS, nothing to CONFIGURATION, and returns false. Returns false as well when CONFIGURATION
 * cannot be written. */
bool
sr_builder_print (struct sr_builder *builder, FILE *configuration, FILE *findings)
{
  struct sr_findings *found = sr_findings_new ();
  struct sr_config *config
      = sr_config_parse ("configuration", builder->text->str, builder->text->len, 0, found);
  bool valid = config != NULL && sr_findings_count (builder->findings) == 0;

  sr_findings_print (builder->findings, findings);
  sr_findings_print (found, findings);
  if (valid)
    valid = fwrite (builder->text->str, 1, builder->text->len, configuration) == builder->text->len
            && fflush (configuration) == 0;
  sr_config_unref (config);
  sr_findings_delete (found);
  return valid;
}

/* Parses "NAME=IP:PORT", as an argument of a command line. Returns false when TEXT is not of this
 * form; NAME may then be overwritten. */
bool
sr_builder_parse_place (const char *text, char name[64], char address[16], unsigned *port)
{
  const char *equals = strchr (text, '=');

  if (equals == NULL || equals - text >= NAME_BYTES)
    return false;
  g_strlcpy (name, text, (gsize)(equals - text) + 1);
  return sr_ini_is_name (name) && sr_ini_parse_address_port (equals + 1, address, port);
}

static void
begin_section_ (struct sr_builder *builder, const char *kind, const char *name)
{
  g_assert (name != NULL);
  if (check_value_ (builder, kind, name))
    g_string_append_printf (builder->text, "%s[%s %s]\n", builder->text->len > 0 ? "\n" : "", kind,
                            name);
}

/* Adds an entry unless VALUE is NULL. */
static void
add_text_ (struct sr_builder *builder, const char *key, const char *value)
{
  if (value != NULL && check_value_ (builder, key, value))
    g_string_append_printf (builder->text, "%s = %s\n", key, value);
}

/* Adds an entry unless VALUE is 0, which means the default. */
static void
add_number_ (struct sr_builder *builder, const char *key, unsigned value)
{
  if (value != 0)
    g_string_append_printf (builder->text, "%s = %u\n", key, value);
}

static void
add_flag_ (struct sr_builder *builder, const char *key, bool value)
{
  if (value)
    g_string_append_printf (builder->text, "%s = yes\n", key);
}

static void
add_keys_ (struct sr_builder *builder, const char *const *keys)
{
  g_string_append (builder->text, "key_digest = ");
  for (size_t i = 0; keys != NULL && keys[i] != NULL; i++)
    {
      g_autofree char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, keys[i], -1);

      g_string_append_printf (builder->text, "%s%s", i > 0 ? ", " : "", digest);
    }
  g_string_append_c (builder->text, '\n');
}

/* Checks that VALUE can be written as one value of an INI file; adds a finding if it cannot. */
static bool
check_value_ (struct sr_builder *builder, const char *key, const char *value)
{
  for (const char *c = value; *c != '\0'; c++)
    if (g_ascii_iscntrl (*c) || strchr ("[];#", *c) != NULL)
      {
        sr_findings_add (builder->findings, "configuration", 0, NULL, key,
                         "contains a control character or one of [];#");
        return false;
      }
  return true;
}
