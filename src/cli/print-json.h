/* JSON for people: an array of objects becomes one line each of key=value. */
#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

void
cli_print_json (const json_t *json, bool as_json, FILE *stream);
