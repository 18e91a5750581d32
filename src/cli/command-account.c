#include "cli/cli.h"
#include "cli/token-account.h"

#include <stdio.h>

static int run_ (const char *path);
static bool add_line_ (void *data, const char *line);
static void print_row_ (const struct token_account_row *row, void *data);
static double percent_ (int64_t part, int64_t whole);

/* Runs "account": prints, from a log, what the prepaid tokens of each team were used for. */
int
cli_command_account (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_file *file = arg_file1 (NULL, NULL, "LOG", "lines of all gateways");
  struct arg_end *end = arg_end (10);
  void *table[] = { help, file, end };
  int code = cli_parse (argc, argv, table, help, end,
                        "Prints what the tokens of each team were used for, in percent of the "
                        "prepaid ones, and how many of the requests that were refused for lack of "
                        "tokens the remaining ones could have served.");

  if (code == CLI_CONTINUE)
    code = run_ (file->filename[0]);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static int
run_ (const char *path)
{
  struct token_account *account = token_account_new ();
  struct token_account_row sum = { .team = "all" };
  int code = CLI_EXIT_USAGE;

  if (cli_for_each_log_line ("account", path, add_line_, account))
    {
      printf ("%-16s %12s %9s %11s %12s %8s %8s %8s %9s\n", "team", "prepaid", "answered",
              "unfinished", "written off", "unspent", "refused", "wanted", "servable");
      token_account_for_each_team (account, print_row_, &sum);
      print_row_ (&sum, NULL);
      code = CLI_EXIT_OK;
    }
  token_account_delete (account);
  return code;
}

static bool
add_line_ (void *data, const char *line)
{
  return token_account_add (data, line);
}

/* Prints ROW and adds its numbers to the sum at DATA, unless that is NULL. */
static void
print_row_ (const struct token_account_row *row, void *data)
{
  struct token_account_row *sum = data;

  printf ("%-16s %12" G_GINT64_FORMAT " %8.1f%% %10.1f%% %11.1f%% %7.1f%% %8u %7.1f%% %9u\n",
          row->team, (gint64)row->prepaid, percent_ (row->answered, row->prepaid),
          percent_ (row->unfinished, row->prepaid), percent_ (row->written_off, row->prepaid),
          percent_ (row->unspent, row->prepaid), row->refused,
          percent_ (row->refused_tokens, row->prepaid), row->servable);
  if (sum == NULL)
    return;
  sum->prepaid += row->prepaid;
  sum->answered += row->answered;
  sum->unfinished += row->unfinished;
  sum->written_off += row->written_off;
  sum->unspent += row->unspent;
  sum->refused += row->refused;
  sum->refused_tokens += row->refused_tokens;
  sum->servable += row->servable;
}

static double
percent_ (int64_t part, int64_t whole)
{
  return whole == 0 ? 0 : 100.0 * (double)part / (double)whole;
}
