/* Finds the ends of server-sent events in the bytes of a stream, as they arrive. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  GW_EVENT_ID_MAX_BYTES = 64 /* with the final NUL */
};

struct gw_event_scan
{
  uint64_t events;                     /* complete ones */
  char last_id[GW_EVENT_ID_MAX_BYTES]; /* of the last complete event; empty for none */
  char line[GW_EVENT_ID_MAX_BYTES + 8];
  size_t line_length; /* of the line that is not complete; may exceed what line holds */
  char pending_id[GW_EVENT_ID_MAX_BYTES];
  bool has_content; /* the event that is not complete has a line */
};

size_t gw_event_scan_feed (struct gw_event_scan *scan, const char *data, size_t length);
