/* The subcommand topup. */
#pragma once

int cli_command_topup (int argc, char **argv);
