/* Parses lines of a gateway's log. */
#pragma once

#include <jansson.h>

json_t *log_line_parse (const char *text);
const char *log_line_text (const json_t *line, const char *key);
