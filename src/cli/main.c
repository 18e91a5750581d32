/* Entry point of the program sapphirerun: runs the subcommand. */
#include "cli/cli.h"
#include "cli/command-topup.h"

#include <stdio.h>
#include <string.h>

static const struct cli_command commands_[] = {
  { "account", "tell from a log where the tokens of budgets went", cli_command_account },
  { "audit", "print the trail of accepted changes", cli_command_audit },
  { "check", "check files of settings or of configuration", cli_command_check },
  { "explain", "tell the cause of failed requests from a log", cli_command_explain },
  { "serve", "run one instance", cli_command_serve },
  { "show", "print what an instance or the platform knows", cli_command_show },
  { "submit", "put a configuration in force", cli_command_submit },
  { "topup", "pay tokens into a budget", cli_command_topup },
  { "version", "print the version", cli_command_version },
};

static void
print_usage_ (FILE *stream)
{
  fprintf (stream, "usage: sapphirerun COMMAND [--help] ...\n");
  for (size_t i = 0; i < G_N_ELEMENTS (commands_); i++)
    fprintf (stream, "  %-10s %s\n", commands_[i].name, commands_[i].summary);
}

int
main (int argc, char **argv)
{
  if (argc >= 2 && strcmp (argv[1], "--help") == 0)
    {
      print_usage_ (stdout);
      return CLI_EXIT_OK;
    }
  for (size_t i = 0; argc >= 2 && i < G_N_ELEMENTS (commands_); i++)
    if (strcmp (commands_[i].name, argv[1]) == 0)
      return commands_[i].run (argc - 1, argv + 1);
  print_usage_ (stderr);
  return CLI_EXIT_USAGE;
}
