/* Strings in memory that is owned elsewhere. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Not terminated by NUL. */
struct net_string_view
{
  const char *data;
  size_t length;
};

bool net_string_view_equal (struct net_string_view left, struct net_string_view right);
bool net_string_view_is (struct net_string_view text, const char *value);
bool net_string_view_is_nocase (struct net_string_view text, const char *value);
struct net_string_view net_string_view_of (const char *value);
char *net_string_view_dup (struct net_string_view text);
bool net_string_view_to_int (struct net_string_view text, int64_t *value);
