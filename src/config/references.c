#include "config/snapshot.h"

#include <string.h>

static void resolve_budgets_ (struct sr_config *config, struct sr_findings *findings);
static void resolve_team_ (struct sr_config *config,
                           struct config_team *team,
                           GPtrArray *owned,
                           struct sr_findings *findings);
static void resolve_backends_ (struct sr_config *config, struct sr_findings *findings);
static void collect_digests_ (struct sr_config *config, struct sr_findings *findings);
static void
add_digest_ (struct sr_config *config, const struct sr_config_team *team, const char *hex);
static GPtrArray *sorted_values_ (GHashTable *table);
static int compare_keys_ (const void *a, const void *b);
static int compare_names_ (const void *a, const void *b);
static void add_finding_ (struct sr_findings *findings,
                          const struct config_origin *origin,
                          const char *kind,
                          const GString *name,
                          const char *key,
                          const char *message,
                          const char *subject);

/* Completes CONFIG after the last config_add_sections: resolves and checks the references between
 * sections and fills the tables for look-ups. Returns false after adding faults to FINDINGS; CONFIG
 * can then only be released. */
bool
config_finish (struct sr_config *config, struct sr_findings *findings)
{
  size_t before = sr_findings_count (findings);

  if (g_hash_table_size (config->teams) == 0)
    sr_findings_add (findings, "configuration", 0, NULL, NULL, "no team is defined");
  resolve_budgets_ (config, findings);
  resolve_backends_ (config, findings);
  collect_digests_ (config, findings);
  return sr_findings_count (findings) == before;
}

/* Sets the budgets of each team: first those that its section lists, in that order, then the other
 * budgets whose section names the team, sorted by name. */
static void
resolve_budgets_ (struct sr_config *config, struct sr_findings *findings)
{
  g_autoptr (GHashTable) owned
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  g_autoptr (GPtrArray) teams = sorted_values_ (config->teams);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, config->budgets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct config_budget *budget = value;
      GPtrArray *list = g_hash_table_lookup (owned, budget->team);

      g_ptr_array_add (config->all_budgets, budget->name);
      if (*budget->team != '\0' && !g_hash_table_contains (config->teams, budget->team))
        add_finding_ (findings, &budget->origin, "budget", budget->name, "team", "unknown team ",
                      budget->team);
      if (list == NULL)
        {
          list = g_ptr_array_new ();
          g_hash_table_insert (owned, (char *)budget->team, list);
        }
      g_ptr_array_add (list, budget->name);
    }
  for (size_t i = 0; i < teams->len; i++)
    {
      struct config_team *team = g_ptr_array_index (teams, i);

      resolve_team_ (config, team, g_hash_table_lookup (owned, team->team.name->str), findings);
    }
}

/* Replaces the list of budgets from the section of TEAM by the complete one. OWNED holds the names
 * of the budgets whose section names the team; NULL if there is none. */
static void
resolve_team_ (struct sr_config *config,
               struct config_team *team,
               GPtrArray *owned,
               struct sr_findings *findings)
{
  g_autoptr (GHashTable) included = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *listed = team->team.budgets;

  team->team.budgets = g_ptr_array_new ();
  for (size_t i = 0; i < listed->len; i++)
    {
      const GString *name = g_ptr_array_index (listed, i);
      const struct config_budget *budget = g_hash_table_lookup (config->budgets, name->str);
      const char *problem = NULL;

      if (budget == NULL)
        problem = "unknown budget ";
      else if (strcmp (budget->team, team->team.name->str) != 0)
        problem = "budget belongs to another team: ";
      else if (!g_hash_table_add (included, budget->name->str))
        problem = "duplicate budget ";
      else
        g_ptr_array_add (team->team.budgets, budget->name);
      if (problem != NULL)
        add_finding_ (findings, &team->origin, "team", team->team.name, "budgets", problem,
                      name->str);
    }
  g_ptr_array_unref (listed);
  if (owned != NULL)
    g_ptr_array_sort (owned, compare_names_);
  for (size_t i = 0; owned != NULL && i < owned->len; i++)
    {
      GString *name = g_ptr_array_index (owned, i);

      if (!g_hash_table_contains (included, name->str))
        g_ptr_array_add (team->team.budgets, name);
    }
}

/* Sets the backend servers of each service, sorted by name. */
static void
resolve_backends_ (struct sr_config *config, struct sr_findings *findings)
{
  g_autoptr (GHashTable) endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GPtrArray) services = sorted_values_ (config->services);
  g_autoptr (GPtrArray) backends = sorted_values_ (config->backends);

  for (size_t i = 0; i < services->len; i++)
    {
      const struct config_pool *pool = g_ptr_array_index (services, i);

      g_ptr_array_add (config->all_services, (void *)&pool->service->service);
    }
  for (size_t i = 0; i < backends->len; i++)
    {
      struct config_backend *entry = g_ptr_array_index (backends, i);
      struct sr_config_backend *backend = &entry->backend;
      struct config_pool *pool = g_hash_table_lookup (config->services, backend->service->str);
      char *endpoint = g_strdup_printf ("%s at %s:%u", backend->service->str, backend->address->str,
                                        backend->port);

      g_ptr_array_add (config->all_backends, backend);
      if (pool != NULL)
        g_ptr_array_add (pool->backends, backend);
      else if (backend->service->len > 0)
        add_finding_ (findings, &entry->origin, "backend", backend->name, "service",
                      "unknown service ", backend->service->str);
      if (backend->port != 0 && g_hash_table_contains (endpoints, endpoint))
        add_finding_ (findings, &entry->origin, "backend", backend->name, "address",
                      "duplicate backend server for ", endpoint);
      g_hash_table_add (endpoints, endpoint);
    }
}

/* Collects the key digests of all teams. A digest identifies one team, so duplicates are faults. */
static void
collect_digests_ (struct sr_config *config, struct sr_findings *findings)
{
  g_autoptr (GHashTable) known_digests = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) teams = sorted_values_ (config->teams);

  for (size_t i = 0; i < teams->len; i++)
    {
      const struct config_team *team = g_ptr_array_index (teams, i);

      for (size_t j = 0; j < team->team.key_digests->len; j++)
        {
          const GString *hex = g_ptr_array_index (team->team.key_digests, j);

          if (g_hash_table_add (known_digests, hex->str))
            add_digest_ (config, &team->team, hex->str);
          else
            add_finding_ (findings, &team->origin, "team", team->team.name, "key_digest",
                          "duplicate key digest: ", hex->str);
        }
    }
}

static void
add_digest_ (struct sr_config *config, const struct sr_config_team *team, const char *hex)
{
  struct config_digest digest = { .team = team };

  for (int i = 0; i < CONFIG_DIGEST_BYTES; i++)
    digest.bytes[i] = (unsigned char)(g_ascii_xdigit_value (hex[2 * i]) << 4
                                      | g_ascii_xdigit_value (hex[2 * i + 1]));
  g_array_append_val (config->digests, digest);
}

/* Returns the values of TABLE, whose keys are strings, in the order of the keys; the caller frees
 * the array. */
static GPtrArray *
sorted_values_ (GHashTable *table)
{
  GPtrArray *values = g_ptr_array_sized_new (g_hash_table_size (table));
  g_autofree void **keys = g_hash_table_get_keys_as_array (table, NULL);

  qsort (keys, g_hash_table_size (table), sizeof (*keys), compare_keys_);
  for (unsigned i = 0; i < g_hash_table_size (table); i++)
    g_ptr_array_add (values, g_hash_table_lookup (table, keys[i]));
  return values;
}

static int
compare_keys_ (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static int
compare_names_ (const void *a, const void *b)
{
  return strcmp ((*(GString *const *)a)->str, (*(GString *const *)b)->str);
}

static void
add_finding_ (struct sr_findings *findings,
              const struct config_origin *origin,
              const char *kind,
              const GString *name,
              const char *key,
              const char *message,
              const char *subject)
{
  g_autofree char *section = g_strdup_printf ("%s %s", kind, name->str);

  sr_findings_add (findings, origin->file, origin->line, section, key, "%s%s", message, subject);
}
