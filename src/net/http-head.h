/* Checks of the head of an HTTP/1.1 message that the parser does not make. Each depends on the
 * bytes of the whole head only. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

bool net_http_head_lines_are_valid (const uint8_t *bytes, size_t length);
bool net_http_status_line_is_valid (const uint8_t *bytes, size_t length);
bool net_http_head_has_second_status_line (const uint8_t *bytes, size_t length);
bool net_http_may_begin_response (const uint8_t *bytes, size_t length);
bool net_http_is_token_char (uint8_t byte);
bool net_http_is_text_char (uint8_t byte);
