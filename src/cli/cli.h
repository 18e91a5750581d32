/* What the subcommands share: the table's row, the exit codes and the reading of arguments. */
#pragma once

#include <argtable2.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sr_platform;

enum cli_exit
{
  CLI_EXIT_OK = 0,
  CLI_EXIT_REFUSED = 1, /* findings, a conflict, or the other side would not */
  CLI_EXIT_USAGE = 2
};

/* One subcommand. argv[0] is its own name. */
struct cli_command
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
};

enum
{
  CLI_GO_ON = -1
};

/* Takes one line of a file; returns whether it was one of the kind that is looked for. */
typedef bool (*cli_line_callback) (void *data, const char *line);

int cli_parse (int argc,
               char **argv,
               void **table,
               const struct arg_lit *help,
               struct arg_end *end,
               const char *description);
bool cli_read_file (const char *path, char **text, size_t *length);
bool cli_each_log_line (const char *command, const char *path, cli_line_callback take, void *data);
struct sr_platform *cli_open_platform (const char *command, const char *address);
int64_t cli_deadline_us (void);

int cli_command_account (int argc, char **argv);
int cli_command_audit (int argc, char **argv);
int cli_command_check (int argc, char **argv);
int cli_command_explain (int argc, char **argv);
int cli_command_serve (int argc, char **argv);
int cli_command_show (int argc, char **argv);
int cli_command_submit (int argc, char **argv);
int cli_command_version (int argc, char **argv);
