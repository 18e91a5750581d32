#include "gateway/settings.h"

#include "settings/ini-reader.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stddef.h>
#include <stdlib.h>

#define NO_PARTS "none" /* value of never_block */

enum
{
  PORT_MAX = 65535,
  PART_MEMORY_MAX_S = 3600,
  COLD_OVERAGE_MAX = 1000,
  MEMORY_MAX_MB = 1048576,
  DESCRIPTORS_MAX = 1048576
};

#define MEMBER(member) offsetof (struct gw_settings, member)

static const struct sr_ini_key instance_keys_[] = {
  { .name = "name", .type = SR_INI_NAME, .offset = MEMBER (name), .required = true },
  { .name = "data_centre", .type = SR_INI_NAME, .offset = MEMBER (data_centre), .required = true },
};

static const struct sr_ini_key listen_keys_[] = {
  { .name = "address", .type = SR_INI_IP, .offset = MEMBER (address), .required = true },
  { .name = "entry", .type = SR_INI_TEXT, .offset = MEMBER (entry_text), .required = true },
  { .name = "ready", .type = SR_INI_TEXT, .offset = MEMBER (ready_text), .required = true },
  { .name = "peer_port",
    .type = SR_INI_UNSIGNED,
    .offset = MEMBER (peer_port),
    .required = true,
    .min = 1,
    .max = PORT_MAX },
};

static const struct sr_ini_key store_keys_[] = {
  { .name = "address", .type = SR_INI_TEXT, .offset = MEMBER (store_host), .required = true },
};

static const struct sr_ini_key retries_keys_[] = {
  { .name = "ratio",
    .type = SR_INI_TEXT,
    .offset = MEMBER (retry_ratio_text),
    .default_value = "0.1" }, /* a usual ratio of retry budgets */
  { .name = "extra",
    .type = SR_INI_UNSIGNED,
    .offset = MEMBER (retry_extra),
    .max = 1000000,
    .default_value = "10" },
  { .name = "window_s",
    .type = SR_INI_UNSIGNED,
    .offset = MEMBER (retry_window_s),
    .min = 1,
    .max = 3600,
    .default_value = "10" },
};

static const struct sr_ini_key limits_keys_[] = {
  { .name = "link_mbps", .type = SR_INI_TEXT, .offset = MEMBER (link_text), .default_value = "0" },
  { .name = "memory_mb",
    .type = SR_INI_TEXT,
    .offset = MEMBER (memory_text),
    .default_value = "0" },
  { .name = "descriptors",
    .type = SR_INI_TEXT,
    .offset = MEMBER (descriptors_text),
    .default_value = "0" },
};

static const struct sr_ini_key prompts_keys_[] = {
  { .name = "part_memory_s",
    .type = SR_INI_TEXT,
    .offset = MEMBER (part_memory_text),
    .default_value = "0" },
  { .name = "never_block",
    .type = SR_INI_TEXT,
    .offset = MEMBER (never_block_text),
    .default_value = NO_PARTS },
};

static const struct sr_ini_key backends_keys_[] = {
  { .name = "leave_ms",
    .type = SR_INI_UNSIGNED,
    .offset = MEMBER (leave_ms),
    .min = 1,
    .max = 600000,
    .default_value = "2000" },
  { .name = "pace", .type = SR_INI_BOOL, .offset = MEMBER (paces_backends), .default_value = "no" },
};

static const struct sr_ini_key callers_keys_[] = {
  { .name = "compete",
    .type = SR_INI_BOOL,
    .offset = MEMBER (callers_compete),
    .default_value = "no" },
  { .name = "early_refusal",
    .type = SR_INI_BOOL,
    .offset = MEMBER (refuses_early),
    .default_value = "yes" },
  { .name = "contracts", .type = SR_INI_LIST, .offset = MEMBER (contracts) },
};

static const struct sr_ini_key evacuation_keys_[] = {
  { .name = "limit_ms",
    .type = SR_INI_UNSIGNED,
    .offset = MEMBER (evacuation_limit_ms),
    .max = 600000,
    .default_value = "0" },
};

static const struct sr_ini_key cold_keys_[] = {
  { .name = "overage",
    .type = SR_INI_TEXT,
    .offset = MEMBER (cold_overage_text),
    .default_value = "0" },
  { .name = "slack",
    .type = SR_INI_UNSIGNED,
    .offset = MEMBER (cold_slack),
    .max = 1000000,
    .default_value = "0" },
};

static const struct sr_ini_key stop_keys_[] = {
  { .name = "limit_s",
    .type = SR_INI_UNSIGNED,
    .offset = MEMBER (stop_limit_s),
    .min = 1,
    .max = 3600,
    .default_value = "30" },
};

#undef MEMBER

static const struct
{
  const char *section;
  const struct sr_ini_key *keys;
  size_t n_keys;
} schemas_[] = {
  { "instance", instance_keys_, G_N_ELEMENTS (instance_keys_) },
  { "listen", listen_keys_, G_N_ELEMENTS (listen_keys_) },
  { "store", store_keys_, G_N_ELEMENTS (store_keys_) },
  { "retries", retries_keys_, G_N_ELEMENTS (retries_keys_) },
  { "limits", limits_keys_, G_N_ELEMENTS (limits_keys_) },
  { "prompts", prompts_keys_, G_N_ELEMENTS (prompts_keys_) },
  { "backends", backends_keys_, G_N_ELEMENTS (backends_keys_) },
  { "callers", callers_keys_, G_N_ELEMENTS (callers_keys_) },
  { "evacuation", evacuation_keys_, G_N_ELEMENTS (evacuation_keys_) },
  { "cold", cold_keys_, G_N_ELEMENTS (cold_keys_) },
  { "stop", stop_keys_, G_N_ELEMENTS (stop_keys_) },
};

static void text_free_ (GString *text);
static void
resolve_parts_ (struct gw_settings *settings, const char *file_name, struct sr_findings *findings);
static void
resolve_ (struct gw_settings *settings, const char *file_name, struct sr_findings *findings);
static void resolve_address_ (const char *text,
                              struct sockaddr_in *address,
                              const char *file_name,
                              const char *section,
                              const char *key,
                              struct sr_findings *findings);

/* Reads the settings from the file at PATH. Returns NULL after adding every fault of the file to
 * FINDINGS, each with its line, section and key. The caller owns the settings. */
struct gw_settings *
gw_settings_load (const char *path, struct sr_findings *findings)
{
  size_t length;
  g_autofree char *text = sr_ini_load (path, &length, findings);

  return text == NULL ? NULL : gw_settings_parse (path, text, length, findings);
}

/* Like gw_settings_load, from LENGTH bytes of TEXT; FILE_NAME only appears in FINDINGS. */
struct gw_settings *
gw_settings_parse (const char *file_name,
                   const char *text,
                   size_t length,
                   struct sr_findings *findings)
{
  size_t before = sr_findings_count (findings);
  struct sr_ini_document *document = sr_ini_read (file_name, text, length, findings);
  struct gw_settings *settings = g_new0 (struct gw_settings, 1);

  for (size_t i = 0; document != NULL && i < G_N_ELEMENTS (schemas_); i++)
    sr_ini_fill (document, sr_ini_find_section (document, schemas_[i].section), schemas_[i].section,
                 schemas_[i].keys, schemas_[i].n_keys, settings, findings);
  if (document == NULL && sr_findings_count (findings) == before)
    sr_findings_add (findings, file_name, 0, NULL, NULL, "can't be read as INI");
  if (sr_findings_count (findings) == before)
    resolve_ (settings, file_name, findings);
  if (document != NULL)
    sr_ini_document_delete (document);
  if (sr_findings_count (findings) == before)
    return settings;
  gw_settings_delete (settings);
  return NULL;
}

/* SETTINGS may be NULL. */
void
gw_settings_delete (struct gw_settings *settings)
{
  if (settings == NULL)
    return;
  text_free_ (settings->name);
  text_free_ (settings->data_centre);
  text_free_ (settings->store_host);
  text_free_ (settings->entry_text);
  text_free_ (settings->ready_text);
  text_free_ (settings->address);
  text_free_ (settings->retry_ratio_text);
  text_free_ (settings->link_text);
  text_free_ (settings->memory_text);
  text_free_ (settings->descriptors_text);
  text_free_ (settings->part_memory_text);
  text_free_ (settings->never_block_text);
  if (settings->contracts != NULL)
    g_ptr_array_unref (settings->contracts);
  text_free_ (settings->cold_overage_text);
  if (settings->never_blocked_parts != NULL)
    g_array_unref (settings->never_blocked_parts);
  g_free (settings);
}

static void
text_free_ (GString *text)
{
  if (text != NULL)
    g_string_free (text, TRUE);
}

/* Converts the texts of addresses and fractional numbers. */
static void
resolve_ (struct gw_settings *settings, const char *file_name, struct sr_findings *findings)
{
  guint64 descriptors;
  char *end;

  g_assert (settings->entry_text != NULL && settings->ready_text != NULL
            && settings->store_host != NULL);
  resolve_address_ (settings->entry_text->str, &settings->entry_address, file_name, "listen",
                    "entry", findings);
  resolve_address_ (settings->ready_text->str, &settings->ready_address, file_name, "listen",
                    "ready", findings);
  resolve_address_ (settings->store_host->str, &settings->store_address, file_name, "store",
                    "address", findings);
  settings->peer_address
      = (struct sockaddr_in){ .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t)settings->peer_port) };
  inet_pton (AF_INET, settings->address->str, &settings->peer_address.sin_addr);
  settings->metrics_address = settings->peer_address;
  errno = 0;
  settings->retry_ratio = g_ascii_strtod (settings->retry_ratio_text->str, &end);
  if (errno != 0 || *end != '\0' || settings->retry_ratio < 0 || settings->retry_ratio > 1)
    sr_findings_add (findings, file_name, 0, "retries", "ratio", "is not a number from 0 to 1");
  settings->link_megabits_per_s = g_ascii_strtod (settings->link_text->str, &end);
  if (errno != 0 || *end != '\0' || settings->link_megabits_per_s < 0)
    sr_findings_add (findings, file_name, 0, "limits", "link_mbps", "is not a number, 0 or above");
  settings->memory_mb = g_ascii_strtod (settings->memory_text->str, &end);
  if (errno != 0 || *end != '\0'
      || !(settings->memory_mb >= 0 && settings->memory_mb <= MEMORY_MAX_MB))
    sr_findings_add (findings, file_name, 0, "limits", "memory_mb",
                     "is not a number from 0 to 1048576");
  descriptors = g_ascii_strtoull (settings->descriptors_text->str, &end, 10);
  if (errno != 0 || *end != '\0' || descriptors > DESCRIPTORS_MAX)
    sr_findings_add (findings, file_name, 0, "limits", "descriptors",
                     "is not a whole number from 0 to 1048576");
  settings->descriptors = (unsigned)MIN (descriptors, DESCRIPTORS_MAX);
  settings->part_memory_s = g_ascii_strtod (settings->part_memory_text->str, &end);
  if (errno != 0 || *end != '\0' || settings->part_memory_s < 0
      || settings->part_memory_s > PART_MEMORY_MAX_S)
    sr_findings_add (findings, file_name, 0, "prompts", "part_memory_s",
                     "is not a number from 0 to 3600");
  errno = 0;
  settings->cold_overage = g_ascii_strtod (settings->cold_overage_text->str, &end);
  /* The comparison is written so that it fails for what is not a number, such as "nan". */
  if (errno != 0 || *end != '\0' || end == settings->cold_overage_text->str
      || !(settings->cold_overage >= 0 && settings->cold_overage <= COLD_OVERAGE_MAX))
    sr_findings_add (findings, file_name, 0, "cold", "overage", "is not a number from 0 to 1000");
  resolve_parts_ (settings, file_name, findings);
}

/* Converts the comma-separated ids of prompt parts that are never blocked. */
static void
resolve_parts_ (struct gw_settings *settings, const char *file_name, struct sr_findings *findings)
{
  const char *text = settings->never_block_text->str;
  g_auto (GStrv) ids = g_strsplit (strcmp (text, NO_PARTS) == 0 ? "" : text, ",", -1);

  settings->never_blocked_parts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (unsigned i = 0; ids[i] != NULL; i++)
    {
      const char *id = g_strstrip (ids[i]);
      char *end;
      uint64_t part;

      errno = 0;
      part = g_ascii_strtoull (id, &end, 16);
      if (!g_ascii_isxdigit (*id) || *end != '\0' || errno != 0)
        {
          sr_findings_add (findings, file_name, 0, "prompts", "never_block",
                           "is not a list of hexadecimal ids, separated by commas");
          return;
        }
      g_array_append_val (settings->never_blocked_parts, part);
    }
}

static void
resolve_address_ (const char *text,
                  struct sockaddr_in *address,
                  const char *file_name,
                  const char *section,
                  const char *key,
                  struct sr_findings *findings)
{
  char ip[16];
  unsigned port;

  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  if (!sr_ini_parse_address_port (text, ip, &port)
      || inet_pton (AF_INET, ip, &address->sin_addr) != 1)
    {
      sr_findings_add (findings, file_name, 0, section, key, "is not an IP:PORT address");
      return;
    }
  address->sin_port = htons ((uint16_t)port);
}
