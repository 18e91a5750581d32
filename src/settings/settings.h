/* The settings of one instance, read from an INI file and checked whole. */
#pragma once

#include "base/findings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Sections and keys of the file carry the names of the members, without the section's own name
 * before them: name is [instance] name, platform_port is [platform] port. */
struct sr_settings
{
  /* [instance] */
  GString *name;
  GString *data_centre;
  GString *listen_address; /* entry and peers listen here; outgoing connections are bound to it */
  GString *advertise_address; /* what others are told; the listen address when absent */
  unsigned entry_port;
  unsigned peer_port;
  /* [platform] */
  GString *platform_address;
  unsigned platform_port;
  unsigned platform_timeout_s;
  unsigned platform_watch_ms;
  /* [peers] */
  GPtrArray *seeds; /* "IP:PORT" strings */
  unsigned gossip_interval_ms;
  unsigned gossip_fanout;
  unsigned suspect_after_ms;
  unsigned dead_after_ms;
  /* [limits] */
  unsigned calls_max; /* calls to backend servers in progress at once */
  unsigned queue_max; /* requests waiting at once */
  unsigned body_max_bytes;
  unsigned answers_kept_max; /* finished answers kept for retries */
  unsigned answer_kept_s;
  unsigned default_deadline_ms;
  /* [backend] */
  unsigned connect_timeout_s;
  unsigned idle_timeout_s; /* longest silence of a stream */
  /* [budget] */
  unsigned allotment_cover_s; /* seconds of demand an allotment covers */
  unsigned idle_return_s;
  unsigned settle_interval_ms;
  /* [stop] */
  unsigned stop_limit_s;
};

struct sr_settings *sr_settings_load (const char *path, struct sr_findings *findings);
struct sr_settings *sr_settings_parse (const char *file_name,
                                       const char *text,
                                       size_t length,
                                       struct sr_findings *findings);
void sr_settings_delete (struct sr_settings *settings);
