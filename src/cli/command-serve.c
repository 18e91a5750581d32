#include "base/log.h"
#include "cli/cli.h"
#include "entry/serve.h"
#include "settings/settings.h"

#include <stdio.h>

/* Runs "serve": reads the settings and runs one instance until it is told to stop. Findings are
 * printed on stderr. */
int
cli_command_serve (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_file *path = arg_file1 (NULL, "settings", "FILE", "settings of this instance");
  struct arg_end *end = arg_end (10);
  void *table[] = { help, path, end };
  struct sr_findings *findings = sr_findings_new ();
  struct sr_settings *settings = NULL;
  int code = cli_parse (argc, argv, table, help, end, "Runs one instance.");

  if (code != CLI_GO_ON)
    goto out;
  settings = sr_settings_load (path->filename[0], findings);
  if (settings == NULL)
    {
      sr_findings_print (findings, stderr);
      code = CLI_EXIT_REFUSED;
      goto out;
    }
  sr_log_init (settings->name->str);
  code = sr_serve (settings);

out:
  sr_settings_delete (settings);
  sr_findings_delete (findings);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
