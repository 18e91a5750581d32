/* The program sapphirerun: picks the subcommand. */
#include <stdio.h>

int
main (int argc, char **argv)
{
  fprintf (stderr, "usage: %s COMMAND\n", argv[0]);
  return 2;
}
