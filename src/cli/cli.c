#include "cli/cli.h"

#include "platform/platform-http.h"
#include "settings/ini-reader.h"

#include <stdio.h>

enum
{
  PLATFORM_TIMEOUT_S = 5,
  COMMAND_TIMEOUT_US = 20000000
};

/* Parses the arguments of a subcommand into TABLE, whose last entry is END. Returns CLI_CONTINUE
 * when the command is to run; otherwise its exit code, after printing the help on stdout or the
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
  return CLI_CONTINUE;
}

/* Reads the file at PATH into TEXT, which the caller frees with g_free. Returns false after
 * printing the reason on stderr. */
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

/* Calls CALLBACK for each line of the log at PATH. Returns false, after printing an error prefixed
 * with COMMAND on stderr, when the file can't be read or CALLBACK accepted none of its lines. */
bool
cli_for_each_log_line (const char *command,
                       const char *path,
                       cli_line_callback callback,
                       void *data)
{
  FILE *stream = fopen (path, "r");
  char *line = NULL;
  size_t size = 0;
  unsigned accepted = 0;

  if (stream == NULL)
    {
      fprintf (stderr, "%s: %s: %s\n", command, path, g_strerror (errno));
      return false;
    }
  while (getline (&line, &size, stream) >= 0)
    accepted += callback (data, line);
  free (line);
  fclose (stream);
  if (accepted == 0)
    fprintf (stderr, "%s: %s: no gateway log lines found\n", command, path);
  return accepted > 0;
}

/* Creates a client of the platform at ADDRESS (IP:PORT); connects to nothing yet. The caller owns
 * the reference. Returns NULL, after printing an error prefixed with COMMAND on stderr, when
 * ADDRESS is not valid. */
struct sr_platform *
cli_open_platform (const char *command, const char *address)
{
  struct sr_platform_http_options options = { .idle_timeout_s = PLATFORM_TIMEOUT_S };
  char ip[16];

  if (!sr_ini_parse_address_port (address, ip, &options.port))
    {
      fprintf (stderr, "%s: %s is not IP:PORT\n", command, address);
      return NULL;
    }
  options.address = ip;
  return sr_platform_http_new (&options);
}

/* Returns the time (monotonic, in microseconds) until which a command retries its platform calls.
 */
int64_t
cli_deadline_us (void)
{
  return g_get_monotonic_time () + COMMAND_TIMEOUT_US;
}
