#include "net/http-head.h"

#include <glib.h>
#include <string.h>

enum
{
  LINES_MAX = 128, /* far above what real messages have */
  STATUS_BYTES = 3,
  DELETE_BYTE = 127
};

/* Offsets in a status line, such as "HTTP/1.1 200 OK". */
enum status_line_offset_
{
  MINOR_VERSION_OFFSET = 7,
  VERSION_END_OFFSET = 8,
  STATUS_OFFSET = 9,
  STATUS_END_OFFSET = STATUS_OFFSET + STATUS_BYTES
};

static const char start_[] = "HTTP/1.";

static bool has_status_line_ (const uint8_t *bytes, size_t length);

/* Returns whether the lines behind the first one of the head BYTES are fields whose names are
 * tokens (RFC 9110, 5.6.2) in front of a colon, and each line ends with CR and LF. Two parsers
 * could split other heads differently, which allows request smuggling: bare CR or LF, NUL, folded
 * lines, white space in a field's name, lines without a colon. A head of more than LINES_MAX lines
 * is not valid.
 */
bool
net_http_head_lines_are_valid (const uint8_t *bytes, size_t length)
{
  unsigned lines = 0;
  size_t line = 0;      /* offset of the current line */
  bool in_name = false; /* in a field line, before the colon */

  for (size_t i = 0; i < length; i++)
    {
      if (bytes[i] == '\r' && (i + 1 == length || bytes[i + 1] != '\n'))
        return false;
      if (bytes[i] == 0)
        return false;
      if (bytes[i] == '\n')
        {
          if (i == 0 || bytes[i - 1] != '\r' || ++lines > LINES_MAX)
            return false;
          if (in_name && i - line > 1) /* not the empty line */
            return false;
          line = i + 1;
          in_name = true;
        }
      else if (in_name && bytes[i] == ':')
        {
          if (i == line)
            return false;
          in_name = false;
        }
      else if (in_name && bytes[i] != '\r' && !net_http_is_token_char (bytes[i]))
        return false;
    }
  return true;
}

/* Returns whether the head BYTES of a response begins with a version 1.x, a status of three digits
 * from 100 to 599, and no reason or a reason that is text. */
bool
net_http_status_line_is_valid (const uint8_t *bytes, size_t length)
{
  if (!net_http_may_begin_response (bytes, length) || !has_status_line_ (bytes, length)
      || bytes[STATUS_OFFSET] < '1' || bytes[STATUS_OFFSET] > '5')
    return false;
  for (size_t i = STATUS_END_OFFSET; i < length && bytes[i] != '\r'; i++)
    if (!net_http_is_text_char (bytes[i]))
      return false;
  return true;
}

/* Returns whether a status line stands in the head BYTES of a response behind its first one: a
 * response that was broken off, and the next one right behind it, would be read as one message. */
bool
net_http_head_has_second_status_line (const uint8_t *bytes, size_t length)
{
  const uint8_t *at = bytes + 1;
  const uint8_t *end = bytes + length;

  while ((at = memmem (at, (size_t)(end - at), start_, strlen (start_))) != NULL)
    {
      if (has_status_line_ (at, (size_t)(end - at)))
        return true;
      at++;
    }
  return false;
}

/* Returns false if BYTES, the first ones of a message, can't begin a response. */
bool
net_http_may_begin_response (const uint8_t *bytes, size_t length)
{
  return memcmp (bytes, start_, MIN (length, strlen (start_))) == 0;
}

/* Returns whether BYTE may stand in the name of a field (RFC 9110, 5.6.2). */
bool
net_http_is_token_char (uint8_t byte)
{
  return g_ascii_isalnum ((char)byte) || (byte != 0 && strchr ("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* Returns whether BYTE may stand in the value of a field, a reason or the extension of a chunk: it
 * is no control character but the tabulator. */
bool
net_http_is_text_char (uint8_t byte)
{
  return byte == '\t' || (byte >= ' ' && byte != DELETE_BYTE);
}

/* Returns whether BYTES, which begin with start_, go on as a status line does. */
static bool
has_status_line_ (const uint8_t *bytes, size_t length)
{
  if (length <= STATUS_END_OFFSET || !g_ascii_isdigit (bytes[MINOR_VERSION_OFFSET])
      || bytes[VERSION_END_OFFSET] != ' '
      || (bytes[STATUS_END_OFFSET] != ' ' && bytes[STATUS_END_OFFSET] != '\r'))
    return false;
  for (unsigned i = 0; i < STATUS_BYTES; i++)
    if (!g_ascii_isdigit (bytes[STATUS_OFFSET + i]))
      return false;
  return true;
}
