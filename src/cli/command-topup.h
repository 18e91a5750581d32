/* The subcommand topup. */
#pragma once

int sr_command_topup (int argc, char **argv);
