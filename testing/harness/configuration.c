#include "testing/harness/harness.h"

enum
{
  MAX_OUTPUT_TOKENS = 4096,
  SERVICE_SLOTS = 64
};

static void add_backend_ (const struct harness *harness,
                          GString *text,
                          unsigned number,
                          const char *service,
                          unsigned slots);

/* Generates the fleet's configuration file; the caller frees it. */
GString *
harness_configuration (const struct harness *harness)
{
  const struct harness_options *options = &harness->options;
  GString *text = g_string_new (NULL);

  for (unsigned team = 1; team <= options->teams; team++)
    {
      g_autofree char *key = g_strdup_printf ("key-%u", team);
      g_autofree char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);

      g_string_append_printf (text,
                              "[team team-%u]\nkey_digest = %s\n"
                              "[budget budget-%u]\nteam = team-%u\n",
                              team, digest, team, team);
    }
  if (options->engines > 0)
    g_string_append_printf (text,
                            "[service diary]\nkind = model\nmodel = coder\nversion = 1\n"
                            "max_output_tokens = %d\n",
                            MAX_OUTPUT_TOKENS);
  if (options->services > 0)
    g_string_append (text, "[service relief]\nkind = plain\nrepeatable = no\ncall_tokens = 10\n"
                           "[service lookup]\nkind = plain\nrepeatable = yes\ncall_tokens = 1\n");
  for (unsigned i = 1; i <= options->engines; i++)
    add_backend_ (harness, text, i, "diary", options->slots);
  for (unsigned i = options->engines + 1; i <= options->engines + options->services; i++)
    {
      add_backend_ (harness, text, i, "relief", SERVICE_SLOTS);
      add_backend_ (harness, text, i, "lookup", SERVICE_SLOTS);
    }
  return text;
}

static void
add_backend_ (const struct harness *harness,
              GString *text,
              unsigned number,
              const char *service,
              unsigned slots)
{
  g_autofree char *address
      = harness_address (HARNESS_PORT_BACKEND, number, !harness->options.without_proxy);

  g_string_append_printf (
      text,
      "[backend %s-%u]\nservice = %s\naddress = %s\nport = %u\n"
      "data_centre = %s\nslots = %u\nchecks_fence = %s\n",
      service, number, service, address, harness_port (harness, HARNESS_PORT_BACKEND),
      harness_data_centre (harness, number), slots, harness->options.checks_fence ? "yes" : "no");
}
