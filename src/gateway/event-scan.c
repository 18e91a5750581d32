#include "gateway/event-scan.h"

#include "net/http-conn.h"

#include <string.h>

static bool goes_back_ (const struct gw_event_scan *scan);
static void end_line_ (struct gw_event_scan *scan);

/* Scans the next LENGTH bytes of the stream. Returns how many of them belong to complete events;
 * the rest is the beginning of the next one, or begins with an event that goes back. Ids of
 * GW_EVENT_ID_MAX_BYTES and more are ignored. */
size_t
gw_event_scan_feed (struct gw_event_scan *scan, const char *data, size_t length)
{
  size_t complete = 0;

  for (size_t i = 0; i < length; i++)
    {
      if (data[i] != '\n')
        {
          if (scan->line_length < sizeof scan->line - 1)
            scan->line[scan->line_length] = data[i];
          scan->line_length++;
          continue;
        }
      if (scan->line_length > 0 && scan->line_length < sizeof scan->line
          && scan->line[scan->line_length - 1] == '\r')
        scan->line_length--;
      if (scan->line_length > 0)
        end_line_ (scan);
      else if (scan->has_content)
        {
          if (goes_back_ (scan))
            {
              scan->went_back = true;
              return complete;
            }
          scan->events++;
          scan->has_id = false;
          memcpy (scan->last_id, scan->pending_id, sizeof scan->last_id);
          scan->has_content = false;
          complete = i + 1;
        }
      else
        complete = i + 1;
      scan->line_length = 0;
    }
  return complete;
}

/* Returns whether the event that is complete now has a number that is not above the one before it.
 * Ids that are no numbers have no order. */
static bool
goes_back_ (const struct gw_event_scan *scan)
{
  int64_t last;
  int64_t current;

  return scan->has_id && net_string_view_to_int (net_string_view_of (scan->last_id), &last)
         && net_string_view_to_int (net_string_view_of (scan->pending_id), &current)
         && current <= last;
}

static void
end_line_ (struct gw_event_scan *scan)
{
  const char *id = scan->line + 3;
  size_t length;

  scan->has_content = true;
  if (scan->line_length >= sizeof scan->line || scan->line_length < 3
      || memcmp (scan->line, "id:", 3) != 0)
    return;
  length = scan->line_length - 3;
  if (length > 0 && *id == ' ')
    {
      id++;
      length--;
    }
  if (length >= sizeof scan->pending_id)
    return;
  memcpy (scan->pending_id, id, length);
  scan->pending_id[length] = '\0';
  scan->has_id = true;
}
