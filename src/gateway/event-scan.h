/* Finds the ends of server-sent events in a byte stream that arrives in pieces. */
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
  uint64_t events;                     /* number of complete ones */
  char last_id[GW_EVENT_ID_MAX_BYTES]; /* of the last complete event; empty: none */
  char line[GW_EVENT_ID_MAX_BYTES + 8];
  size_t line_length; /* of the incomplete line; may exceed the size of line, which then holds its
                         beginning */
  char pending_id[GW_EVENT_ID_MAX_BYTES]; /* of the incomplete event */
  bool has_content;                       /* the incomplete event has a line */
  bool has_id;                            /* the incomplete event has an id of its own */
  bool went_back; /* an event had a number that is not above the one before: the rest of the bytes
                     is not scanned */
};

size_t gw_event_scan_feed (struct gw_event_scan *scan, const char *data, size_t length);
