#include "testing/harness/settings.h"

/* Short intervals, so that a test fleet detects changes quickly; addresses are added per instance.
 */
static const char *const defaults[] = { "platform",
                                        "timeout_s",
                                        "2",
                                        "platform",
                                        "watch_ms",
                                        "1000",
                                        "peers",
                                        "gossip_interval_ms",
                                        "200",
                                        "peers",
                                        "suspect_after_ms",
                                        "1500",
                                        "peers",
                                        "dead_after_ms",
                                        "4000",
                                        "backend",
                                        "connect_timeout_s",
                                        "1",
                                        "backend",
                                        "idle_timeout_s",
                                        "2",
                                        "budget",
                                        "settle_interval_ms",
                                        "500",
                                        "stop",
                                        "limit_s",
                                        "30",
                                        NULL };

static void set_all_ (GKeyFile *file, const char *const *values);
static char *seeds_ (const struct harness *harness, unsigned instance);

/* Writes the settings file of an instance and returns its path; the caller frees it. */
char *
harness_write_settings (const struct harness *harness, unsigned instance)
{
  g_autoptr (GKeyFile) file = g_key_file_new ();
  bool advertised = !harness->options.without_proxy;
  g_autofree char *name = g_strdup_printf ("entry-%u", instance);
  g_autofree char *listen = harness_address (HARNESS_PORT_ENTRY, instance, false);
  g_autofree char *advertise = harness_address (HARNESS_PORT_ENTRY, instance, advertised);
  g_autofree char *platform = harness_address (HARNESS_PORT_PLATFORM, 0, advertised);
  g_autofree char *seeds = seeds_ (harness, instance);
  char *path = g_strdup_printf ("%s/entry-%u.ini", harness->directory, instance);

  set_all_ (file, defaults);
  g_key_file_set_string (file, "instance", "name", name);
  g_key_file_set_string (file, "instance", "data_centre", harness_data_centre (harness, instance));
  g_key_file_set_string (file, "instance", "listen_address", listen);
  g_key_file_set_string (file, "instance", "advertise_address", advertise);
  g_key_file_set_integer (file, "instance", "entry_port",
                          (int)harness_port (harness, HARNESS_PORT_ENTRY));
  g_key_file_set_integer (file, "instance", "peer_port",
                          (int)harness_port (harness, HARNESS_PORT_PEER));
  g_key_file_set_string (file, "platform", "address", platform);
  g_key_file_set_integer (file, "platform", "port",
                          (int)harness_port (harness, HARNESS_PORT_PLATFORM));
  if (*seeds != '\0')
    g_key_file_set_string (file, "peers", "seeds", seeds);
  if (harness->options.settings != NULL)
    set_all_ (file, harness->options.settings);
  g_assert (g_key_file_save_to_file (file, path, NULL));
  return path;
}

static void
set_all_ (GKeyFile *file, const char *const *values)
{
  for (unsigned i = 0; values[i] != NULL; i += 3)
    g_key_file_set_string (file, values[i], values[i + 1], values[i + 2]);
}

/* The peer addresses of the other instances, separated by commas. */
static char *
seeds_ (const struct harness *harness, unsigned instance)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 1; i <= harness->options.instances; i++)
    {
      g_autofree char *ip = harness_address (HARNESS_PORT_PEER, i, !harness->options.without_proxy);

      if (i != instance)
        g_string_append_printf (text, "%s%s:%u", text->len > 0 ? ", " : "", ip,
                                harness_port (harness, HARNESS_PORT_PEER));
    }
  return g_string_free (text, FALSE);
}
