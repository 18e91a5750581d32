#include "cli/cli.h"

#include "platform/platform-http.h"
#include "settings/ini-reader.h"

#include <stdio.h>

enum
{
  PLATFORM_TIMEOUT_S = 5,
  DEADLINE_US = 20000000
};

/* Reads the arguments of a subcommand into TABLE, whose last entry is END. Returns CLI_GO_ON when
 * the command is to run; otherwise its exit code, after the help has been printed on stdout or the
 * errors on stderr. */
int
cli_parse (int argc,
           char **argv,
           void **table,
           const struct arg_lit *help,
           struct arg_end *end,
           const char *description)
{
  int errors = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      printf ("usage: sapphirerun %s", argv[0]);
      arg_print_syntax (stdout, table, "\n");
      printf ("%s\n", description);
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      return CLI_EXIT_OK;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      fprintf (stderr, "usage: sapphirerun %s", argv[0]);
      arg_print_syntax (stderr, table, "\n");
      return CLI_EXIT_USAGE;
    }
  return CLI_GO_ON;
}

/* Reads the file at PATH into TEXT, which the caller frees with g_free. Returns false after saying
 * why on stderr. */
bool
cli_read_file (const char *path, char **text, size_t *length)
{
  g_autoptr (GError) error = NULL;
  gsize size;

  if (!g_file_get_contents (path, text, &size, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return false;
    }
  *length = size;
  return true;
}

/* Hands each line of the log at PATH to TAKE. Returns false, with a line on stderr for COMMAND,
 * when it can't be read or none of its lines is one of a gateway. */
bool
cli_each_log_line (const char *command, const char *path, cli_line_callback take, void *data)
{
  FILE *stream = fopen (path, "r");
  char *line = NULL;
  size_t size = 0;
  unsigned lines = 0;

  if (stream == NULL)
    {
      fprintf (stderr, "%s: %s: %s\n", command, path, g_strerror (errno));
      return false;
    }
  while (getline (&line, &size, stream) >= 0)
    lines += take (data, line);
  free (line);
  fclose (stream);
  if (lines == 0)
    fprintf (stderr, "%s: %s: no line of a gateway's log\n", command, path);
  return lines > 0;
}

/* Returns the platform at ADDRESS (IP:PORT), whose reference is the caller's, or NULL after saying
 * on stderr for COMMAND that it is no address. */
struct sr_platform *
cli_open_platform (const char *command, const char *address)
{
  struct sr_platform_http_options options = { .timeout_s = PLATFORM_TIMEOUT_S };
  char ip[16];

  if (!sr_ini_parse_address_port (address, ip, &options.port))
    {
      fprintf (stderr, "%s: %s is not IP:PORT\n", command, address);
      return NULL;
    }
  options.address = ip;
  return sr_platform_http_new (&options);
}

/* Returns the moment (monotonic) up to which a command tries. */
int64_t
cli_deadline_us (void)
{
  return g_get_monotonic_time () + DEADLINE_US;
}
