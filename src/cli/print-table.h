/* Prints JSON objects as a table or as lines of JSON. */
#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

void cli_print_rows (const json_t *rows, const char *const *columns, bool as_json, FILE *stream);
