#include "cli/cli.h"
#include "config/config.h"
#include "gateway/settings.h"
#include "settings/ini-reader.h"
#include "settings/settings.h"

#include <stdio.h>

enum
{
  FILES_MAX = 100
};

static void check_file_ (const char *path, struct sr_findings *findings);
static bool has_section_ (const char *text, size_t length, const char *section);

/* Runs "check": parses settings and configuration files and prints every finding on stdout. */
int
cli_command_check (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_file *files = arg_filen (NULL, NULL, "FILE", 1, FILES_MAX, "file to check");
  struct arg_end *end = arg_end (10);
  void *table[] = { help, files, end };
  struct sr_findings *findings = sr_findings_new ();
  int code = cli_parse (argc, argv, table, help, end,
                        "Checks files of settings or of configuration as a whole.");

  if (code != CLI_CONTINUE)
    goto out;
  for (int i = 0; i < files->count; i++)
    check_file_ (files->filename[i], findings);
  sr_findings_print (findings, stdout);
  code = sr_findings_count (findings) == 0 ? CLI_EXIT_OK : CLI_EXIT_REFUSED;

out:
  sr_findings_delete (findings);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

/* Checks the file at PATH, whose kind is recognized by its sections. */
static void
check_file_ (const char *path, struct sr_findings *findings)
{
  size_t length;
  g_autofree char *text = sr_ini_load (path, &length, findings);

  if (text == NULL)
    return;
  if (has_section_ (text, length, "store"))
    gw_settings_delete (gw_settings_parse (path, text, length, findings));
  else if (has_section_ (text, length, "instance") || has_section_ (text, length, "platform"))
    sr_settings_delete (sr_settings_parse (path, text, length, findings));
  else
    sr_config_unref (sr_config_parse (path, text, length, 0, findings));
}

/* Distinguishes the kinds of files by their sections: only gateway settings have [store], only
 * instance settings have [instance] or [platform], and a configuration has none of these. */
static bool
has_section_ (const char *text, size_t length, const char *section)
{
  struct sr_findings *ignored = sr_findings_new ();
  struct sr_ini_document *document = sr_ini_read ("", text, length, ignored);
  bool found = sr_ini_find_section (document, section) != NULL;

  sr_ini_document_delete (document);
  sr_findings_delete (ignored);
  return found;
}
