#include "net/string-view.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

bool
net_string_view_equal (struct net_string_view left, struct net_string_view right)
{
  return left.length == right.length
         && (left.length == 0 || memcmp (left.data, right.data, left.length) == 0);
}

bool
net_string_view_is (struct net_string_view text, const char *value)
{
  return text.length == strlen (value)
         && (text.length == 0 || memcmp (text.data, value, text.length) == 0);
}

bool
net_string_view_is_nocase (struct net_string_view text, const char *value)
{
  return text.length == strlen (value)
         && (text.length == 0 || strncasecmp (text.data, value, text.length) == 0);
}

/* Returns a view of VALUE, which must outlive it. */
struct net_string_view
net_string_view_of (const char *value)
{
  return (struct net_string_view){ value, strlen (value) };
}

/* Returns a copy of TEXT, "" if it is empty. The caller frees it. */
char *
net_string_view_dup (struct net_string_view text)
{
  return text.length == 0 ? g_strdup ("") : g_strndup (text.data, text.length);
}

/* Parses TEXT as a non-negative decimal number of at most 18 digits. Returns false, with *VALUE
 * unchanged, when it is not one. */
bool
net_string_view_to_int (struct net_string_view text, int64_t *value)
{
  int64_t sum = 0;

  if (text.length == 0 || text.length > 18)
    return false;
  for (size_t i = 0; i < text.length; i++)
    {
      if (!g_ascii_isdigit (text.data[i]))
        return false;
      sum = sum * 10 + (text.data[i] - '0');
    }
  *value = sum;
  return true;
}
