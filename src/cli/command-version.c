#include "cli/cli.h"

#include <stdio.h>

#define VERSION "0.1.0"

int
cli_command_version (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[] = { help, end };
  int code = cli_parse (argc, argv, table, help, end, "Prints the version.");

  if (code == CLI_CONTINUE)
    {
      printf ("sapphirerun %s\n", VERSION);
      code = CLI_EXIT_OK;
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
