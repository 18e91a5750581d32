#include "config/config.h"

#include "config/snapshot.h"

#include <string.h>

static void
add_team_ (struct sr_config *config, const struct config_team *team, struct sr_findings *findings);
static void add_service_ (struct sr_config *config,
                          const struct config_service *service,
                          struct sr_findings *findings);
static void check_duplicate_ (GHashTable *table,
                              const GString *name,
                              const char *kind,
                              const struct config_origin *origin,
                              struct sr_findings *findings);
static void team_free_ (void *data);
static void pool_free_ (void *data);
static void sections_free_ (void *data);
static void config_free_ (struct sr_config *config);
static unsigned char digest_difference_ (const unsigned char *a, const unsigned char *b);

/* Parses a whole configuration from LENGTH bytes of TEXT and checks it, including the references
 * between sections. FILE_NAME is used in the findings only. Returns a snapshot of revision REVISION
 * with one reference, which the caller owns, or NULL after adding every fault to FINDINGS. */
struct sr_config *
sr_config_parse (const char *file_name,
                 const char *text,
                 size_t length,
                 int64_t revision,
                 struct sr_findings *findings)
{
  struct sr_config *config = config_new (revision);
  size_t before = sr_findings_count (findings);
  struct config_sections *sections = config_sections_parse (file_name, text, length, findings);

  config_add_sections (config, sections, findings);
  config_sections_unref (sections);
  if (config_finish (config, findings) && sr_findings_count (findings) == before)
    return config;
  sr_config_unref (config);
  return NULL;
}

/* Creates an empty snapshot, to be filled with config_add_sections and completed with
 * config_finish. It has one reference, which the caller owns. */
struct sr_config *
config_new (int64_t revision)
{
  struct sr_config *config = g_new0 (struct sr_config, 1);

  config->revision = revision;
  config->sections = g_ptr_array_new_with_free_func (sections_free_);
  config->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, team_free_);
  config->budgets = g_hash_table_new (g_str_hash, g_str_equal);
  config->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free_);
  config->backends = g_hash_table_new (g_str_hash, g_str_equal);
  config->all_services = g_ptr_array_new ();
  config->all_backends = g_ptr_array_new ();
  config->all_budgets = g_ptr_array_new ();
  config->digests = g_array_new (FALSE, TRUE, sizeof (struct config_digest));
  atomic_store (&config->reference_count, 1);
  return config;
}

/* Adds SECTIONS to CONFIG, before config_finish, and takes a reference to them. A name that is
 * already defined by another part is added to FINDINGS. References between sections are not checked
 * here but in config_finish. */
void
config_add_sections (struct sr_config *config,
                     struct config_sections *sections,
                     struct sr_findings *findings)
{
  g_ptr_array_add (config->sections, config_sections_ref (sections));
  for (size_t i = 0; i < sections->teams->len; i++)
    add_team_ (config, g_ptr_array_index (sections->teams, i), findings);
  for (size_t i = 0; i < sections->services->len; i++)
    add_service_ (config, g_ptr_array_index (sections->services, i), findings);
  for (size_t i = 0; i < sections->budgets->len; i++)
    {
      struct config_budget *budget = g_ptr_array_index (sections->budgets, i);

      check_duplicate_ (config->budgets, budget->name, "budget", &budget->origin, findings);
      g_hash_table_replace (config->budgets, budget->name->str, budget);
    }
  for (size_t i = 0; i < sections->backends->len; i++)
    {
      struct config_backend *backend = g_ptr_array_index (sections->backends, i);

      check_duplicate_ (config->backends, backend->backend.name, "backend", &backend->origin,
                        findings);
      g_hash_table_replace (config->backends, backend->backend.name->str, backend);
    }
}

/* May be called in any thread. */
struct sr_config *
sr_config_ref (struct sr_config *config)
{
  atomic_fetch_add (&config->reference_count, 1);
  return config;
}

/* NULL is allowed. May be called in any thread. */
void
sr_config_unref (struct sr_config *config)
{
  if (config != NULL && atomic_fetch_sub (&config->reference_count, 1) == 1)
    config_free_ (config);
}

int64_t
sr_config_revision (const struct sr_config *config)
{
  return config->revision;
}

/* Returns the team that has this KEY of KEY_LENGTH bytes, or NULL. Takes constant time for a given
 * configuration: the digest of KEY is compared with those of all keys, each to the last byte, so
 * that the time taken reveals nothing about a stored digest. */
const struct sr_config_team *
sr_config_team_by_key (const struct sr_config *config, const char *key, size_t key_length)
{
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  unsigned char digest[CONFIG_DIGEST_BYTES];
  gsize digest_length = sizeof (digest);
  uintptr_t found = 0;

  g_checksum_update (checksum, (const guchar *)key, (gssize)key_length);
  g_checksum_get_digest (checksum, digest, &digest_length);
  g_checksum_free (checksum);
  for (unsigned i = 0; i < config->digests->len; i++)
    {
      const struct config_digest *known = &g_array_index (config->digests, struct config_digest, i);
      uintptr_t difference = digest_difference_ (known->bytes, digest);
      uintptr_t mask = (difference - 1) >> 8; /* bit 0 is 1 if equal, else 0 */

      mask = (uintptr_t)0 - (mask & 1);
      found |= (uintptr_t)known->team & mask;
    }
  return (const struct sr_config_team *)found; // NOLINT(performance-no-int-to-ptr)
}

/* Returns NULL when there is no team NAME. */
const struct sr_config_team *
sr_config_team (const struct sr_config *config, const char *name)
{
  const struct config_team *team = g_hash_table_lookup (config->teams, name);

  return team != NULL ? &team->team : NULL;
}

bool
sr_config_team_owns_budget (const struct sr_config_team *team, const char *budget)
{
  const struct config_budget *found = g_hash_table_lookup (team->config->budgets, budget);

  return found != NULL && strcmp (found->team, team->name->str) == 0;
}

/* Returns NULL when there is no service NAME. */
const struct sr_config_service *
sr_config_service (const struct sr_config *config, const char *name)
{
  const struct config_pool *pool = g_hash_table_lookup (config->services, name);

  return pool != NULL ? &pool->service->service : NULL;
}

/* Returns the backend servers (struct sr_config_backend) of SERVICE in the order of their names,
 * including those that are leaving, or NULL when there is no such service. */
const GPtrArray *
sr_config_service_backends (const struct sr_config *config, const char *service)
{
  const struct config_pool *found = g_hash_table_lookup (config->services, service);

  return found != NULL ? found->backends : NULL;
}

/* Returns all services (struct sr_config_service) in the order of their names. */
const GPtrArray *
sr_config_services (const struct sr_config *config)
{
  return config->all_services;
}

/* Returns all backend servers (struct sr_config_backend) in the order of their names. */
const GPtrArray *
sr_config_backends (const struct sr_config *config)
{
  return config->all_backends;
}

/* Returns the names (GString) of all budgets, in no particular order. */
const GPtrArray *
sr_config_budgets (const struct sr_config *config)
{
  return config->all_budgets;
}

/* Returns 0 when both digests are equal, else 1 to 255, in constant time. */
static unsigned char
digest_difference_ (const unsigned char *a, const unsigned char *b)
{
  unsigned char difference = 0;

  for (int i = 0; i < CONFIG_DIGEST_BYTES; i++)
    difference |= a[i] ^ b[i];
  return difference;
}

static void
config_free_ (struct sr_config *config)
{
  g_array_unref (config->digests);
  g_ptr_array_unref (config->all_budgets);
  g_ptr_array_unref (config->all_services);
  g_ptr_array_unref (config->all_backends);
  g_hash_table_unref (config->backends);
  g_hash_table_unref (config->services);
  g_hash_table_unref (config->budgets);
  g_hash_table_unref (config->teams);
  g_ptr_array_unref (config->sections);
  g_free (config);
}

/* Adds a copy of TEAM, because its list of budgets differs between snapshots; the strings are
 * shared. Until config_finish the list holds only the budgets that the team's section names. */
static void
add_team_ (struct sr_config *config, const struct config_team *team, struct sr_findings *findings)
{
  struct config_team *copy = g_new0 (struct config_team, 1);

  *copy = *team;
  g_ptr_array_ref (copy->team.budgets);
  copy->team.config = config;
  check_duplicate_ (config->teams, team->team.name, "team", &team->origin, findings);
  g_hash_table_replace (config->teams, copy->team.name->str, copy);
}

static void
add_service_ (struct sr_config *config,
              const struct config_service *service,
              struct sr_findings *findings)
{
  struct config_pool *pool = g_new0 (struct config_pool, 1);

  pool->service = service;
  pool->backends = g_ptr_array_new ();
  check_duplicate_ (config->services, service->service.name, "service", &service->origin, findings);
  g_hash_table_replace (config->services, service->service.name->str, pool);
}

static void
check_duplicate_ (GHashTable *table,
                  const GString *name,
                  const char *kind,
                  const struct config_origin *origin,
                  struct sr_findings *findings)
{
  g_autofree char *section = NULL;

  if (!g_hash_table_contains (table, name->str))
    return;
  section = g_strdup_printf ("%s %s", kind, name->str);
  sr_findings_add (findings, origin->file, origin->line, section, NULL, "duplicate name");
}

static void
team_free_ (void *data)
{
  struct config_team *copy = data;

  g_ptr_array_unref (copy->team.budgets);
  g_free (copy);
}

static void
pool_free_ (void *data)
{
  struct config_pool *pool = data;

  g_ptr_array_unref (pool->backends);
  g_free (pool);
}

static void
sections_free_ (void *data)
{
  config_sections_unref (data);
}
