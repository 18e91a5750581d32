/* Helpers shared by the subcommands: command table entry, exit codes, argument parsing. */
#pragma once

#include <argtable2.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sr_platform;

enum cli_exit
{
  CLI_EXIT_OK = 0,
  CLI_EXIT_REFUSED = 1, /* findings, a conflict, or the platform or instance failed */
  CLI_EXIT_USAGE = 2
};

/* A subcommand. run's argv[0] is the name of the subcommand. */
struct cli_command
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
};

enum
{
  CLI_CONTINUE = -1 /* cli_parse: not an exit code, the command is to run */
};

/* Called with one line of a log; returns whether it accepted it as a gateway's log line. */
typedef bool (*cli_line_callback) (void *data, const char *line);

int cli_parse (int argc,
               char **argv,
               void **table,
               const struct arg_lit *help,
               struct arg_end *end,
               const char *description);
bool cli_read_file (const char *path, char **text, size_t *length);
bool cli_for_each_log_line (const char *command,
                            const char *path,
                            cli_line_callback callback,
                            void *data);
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
