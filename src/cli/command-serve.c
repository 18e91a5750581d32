#include "base/log.h"
#include "cli/cli.h"
#include "entry/serve.h"
#include "gateway/serve.h"
#include "platform/adapter.h"
#include "settings/settings.h"

#include <stdio.h>

static int serve_gateway_ (const char *path, struct sr_findings *findings);

/* Runs "serve": loads the settings and runs one instance until it receives a stop signal. Without
 * --settings the instance is a gateway, by default with the settings file that the platform wrote.
 * Findings are printed on stderr. */
int
cli_command_serve (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_file *path = arg_file0 (NULL, "settings", "FILE", "settings of this instance");
  struct arg_file *gateway = arg_file0 (NULL, "gateway", "FILE",
                                        "settings of a gateway, as deploy/instance.ini has them");
  struct arg_end *end = arg_end (10);
  void *table[] = { help, path, gateway, end };
  struct sr_findings *findings = sr_findings_new ();
  struct sr_settings *settings = NULL;
  int code = cli_parse (argc, argv, table, help, end, "Runs one instance.");

  if (code != CLI_CONTINUE)
    goto out;
  if (path->count == 0)
    {
      code = serve_gateway_ (gateway->count > 0 ? gateway->filename[0] : platform_settings_path (),
                             findings);
      goto out;
    }
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

static int
serve_gateway_ (const char *path, struct sr_findings *findings)
{
  struct gw_settings *settings;
  int code;

  if (path == NULL)
    {
      fprintf (
          stderr,
          "serve: neither --settings nor --gateway is given, and the platform names no file\n");
      return CLI_EXIT_USAGE;
    }
  settings = gw_settings_load (path, findings);
  if (settings == NULL)
    {
      sr_findings_print (findings, stderr);
      return CLI_EXIT_REFUSED;
    }
  code = gw_serve (settings, path, platform_adapter ());
  gw_settings_delete (settings);
  return code;
}
