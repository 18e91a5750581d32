#include "settings/settings.h"

#include "settings/ini-reader.h"

#include <stddef.h>

enum
{
  PORT_MAX = 65535,
  FILE_MAX_BYTES = 1 << 20,
  HOUR_MS = 3600000,
  DAY_S = 86400
};

#define MEMBER(member) offsetof (struct sr_settings, member)
#define UNSIGNED(key, field, low, high, value)                                                     \
  {                                                                                                \
    .name = (key), .type = SR_INI_UNSIGNED, .offset = MEMBER (field), .min = (low), .max = (high), \
    .default_value = (value)                                                                       \
  }

static const struct sr_ini_key instance_keys_[] = {
  { .name = "name", .type = SR_INI_NAME, .offset = MEMBER (name), .required = true },
  { .name = "data_centre", .type = SR_INI_NAME, .offset = MEMBER (data_centre), .required = true },
  { .name = "listen_address",
    .type = SR_INI_IP,
    .offset = MEMBER (listen_address),
    .required = true },
  { .name = "advertise_address", .type = SR_INI_IP, .offset = MEMBER (advertise_address) },
  UNSIGNED ("entry_port", entry_port, 1, PORT_MAX, "8080"),
  UNSIGNED ("peer_port", peer_port, 1, PORT_MAX, "8081"),
};

static const struct sr_ini_key platform_keys_[] = {
  { .name = "address", .type = SR_INI_IP, .offset = MEMBER (platform_address), .required = true },
  UNSIGNED ("port", platform_port, 1, PORT_MAX, "80"),
  UNSIGNED ("timeout_s", platform_timeout_s, 1, 60, "2"),
  UNSIGNED ("watch_ms", platform_watch_ms, 100, 60000, "4000"),
};

static const struct sr_ini_key peers_keys_[] = {
  { .name = "seeds",
    .type = SR_INI_LIST,
    .offset = MEMBER (seeds),
    .check_item = sr_ini_check_address_port },
  UNSIGNED ("gossip_interval_ms", gossip_interval_ms, 20, 60000, "1000"),
  UNSIGNED ("gossip_fanout", gossip_fanout, 1, 16, "3"),
  UNSIGNED ("suspect_after_ms", suspect_after_ms, 100, HOUR_MS, "5000"),
  UNSIGNED ("dead_after_ms", dead_after_ms, 200, HOUR_MS, "15000"),
};

static const struct sr_ini_key limits_keys_[] = {
  UNSIGNED ("calls_max", calls_max, 1, 65536, "1024"),
  UNSIGNED ("queue_max", queue_max, 1, 1 << 20, "2048"),
  UNSIGNED ("body_max_bytes", body_max_bytes, 1024, 64 << 20, "1048576"),
  UNSIGNED ("answers_kept_max", answers_kept_max, 1, 1 << 20, "4096"),
  UNSIGNED ("answer_kept_s", answer_kept_s, 1, DAY_S, "600"),
  UNSIGNED ("default_deadline_ms", default_deadline_ms, 100, HOUR_MS, "60000"),
  UNSIGNED ("memory_mb", memory_mb, 0, 1 << 20, "0"),
  UNSIGNED ("descriptors", descriptors, 0, 1 << 20, "0"),
};

static const struct sr_ini_key backend_keys_[] = {
  UNSIGNED ("connect_timeout_s", connect_timeout_s, 1, 60, "1"),
  UNSIGNED ("idle_timeout_s", idle_timeout_s, 1, 600, "5"),
};

static const struct sr_ini_key budget_keys_[] = {
  UNSIGNED ("allotment_cover_s", allotment_cover_s, 1, DAY_S, "60"),
  UNSIGNED ("idle_return_s", idle_return_s, 1, DAY_S, "120"),
  UNSIGNED ("settle_interval_ms", settle_interval_ms, 50, HOUR_MS, "5000"),
};

static const struct sr_ini_key stop_keys_[] = {
  UNSIGNED ("limit_s", stop_limit_s, 1, 3600, "60"),
};

#undef UNSIGNED
#undef MEMBER

/* A section of the file and its keys. */
struct schema_
{
  const char *section;
  const struct sr_ini_key *keys;
  size_t n_keys;
};

static const struct schema_ schemas_[] = {
  { "instance", instance_keys_, G_N_ELEMENTS (instance_keys_) },
  { "platform", platform_keys_, G_N_ELEMENTS (platform_keys_) },
  { "peers", peers_keys_, G_N_ELEMENTS (peers_keys_) },
  { "limits", limits_keys_, G_N_ELEMENTS (limits_keys_) },
  { "backend", backend_keys_, G_N_ELEMENTS (backend_keys_) },
  { "budget", budget_keys_, G_N_ELEMENTS (budget_keys_) },
  { "stop", stop_keys_, G_N_ELEMENTS (stop_keys_) },
};

static void check_section_names_ (const struct sr_ini_document *document,
                                  struct sr_findings *findings);
static void check_relations_ (const struct sr_ini_document *document,
                              const struct sr_settings *settings,
                              struct sr_findings *findings);

/* Reads the settings from the file at PATH. Returns NULL after adding every fault of the file to
 * FINDINGS, each with its line, section and key. The caller frees the settings with
 * sr_settings_delete. */
struct sr_settings *
sr_settings_load (const char *path, struct sr_findings *findings)
{
  size_t length;
  g_autofree char *text = sr_ini_load (path, &length, findings);

  return text == NULL ? NULL : sr_settings_parse (path, text, length, findings);
}

/* Like sr_settings_load, from LENGTH bytes of TEXT; FILE_NAME is used in the findings only. */
struct sr_settings *
sr_settings_parse (const char *file_name,
                   const char *text,
                   size_t length,
                   struct sr_findings *findings)
{
  size_t before = sr_findings_count (findings);
  struct sr_settings *settings;
  struct sr_ini_document *document;

  if (length > FILE_MAX_BYTES)
    {
      sr_findings_add (findings, file_name, 0, NULL, NULL, "is larger than %d bytes",
                       (int)FILE_MAX_BYTES);
      return NULL;
    }
  settings = g_new0 (struct sr_settings, 1);
  document = sr_ini_read (file_name, text, length, findings);
  check_section_names_ (document, findings);
  for (size_t i = 0; i < G_N_ELEMENTS (schemas_); i++)
    sr_ini_fill (document, sr_ini_find_section (document, schemas_[i].section), schemas_[i].section,
                 schemas_[i].keys, schemas_[i].n_keys, settings, findings);
  if (settings->advertise_address->len == 0)
    g_string_assign (settings->advertise_address, settings->listen_address->str);
  check_relations_ (document, settings, findings);
  sr_ini_document_delete (document);
  if (sr_findings_count (findings) == before)
    return settings;
  sr_settings_delete (settings);
  return NULL;
}

/* NULL is allowed. */
void
sr_settings_delete (struct sr_settings *settings)
{
  if (settings == NULL)
    return;
  g_string_free (settings->name, TRUE);
  g_string_free (settings->data_centre, TRUE);
  g_string_free (settings->listen_address, TRUE);
  g_string_free (settings->advertise_address, TRUE);
  g_string_free (settings->platform_address, TRUE);
  g_ptr_array_unref (settings->seeds);
  g_free (settings);
}

static void
check_section_names_ (const struct sr_ini_document *document, struct sr_findings *findings)
{
  for (size_t i = 0; i < document->sections->len; i++)
    {
      const struct sr_ini_section *section = g_ptr_array_index (document->sections, i);
      bool known = false;

      for (size_t j = 0; j < G_N_ELEMENTS (schemas_); j++)
        known = known || g_strcmp0 (schemas_[j].section, section->name->str) == 0;
      if (!known)
        sr_findings_add (findings, document->file->str, section->line, section->name->str, NULL,
                         "unknown section");
    }
}

/* Checks conditions that involve more than one key. */
static void
check_relations_ (const struct sr_ini_document *document,
                  const struct sr_settings *settings,
                  struct sr_findings *findings)
{
  const struct sr_ini_section *instance = sr_ini_find_section (document, "instance");
  const struct sr_ini_section *peers = sr_ini_find_section (document, "peers");
  const char *file = document->file->str;

  if (settings->entry_port == settings->peer_port)
    sr_findings_add (findings, file, instance != NULL ? instance->line : 0, "instance", "peer_port",
                     "is the same as entry_port");
  if (settings->dead_after_ms <= settings->suspect_after_ms)
    sr_findings_add (findings, file, peers != NULL ? peers->line : 0, "peers", "dead_after_ms",
                     "is not above suspect_after_ms");
}
