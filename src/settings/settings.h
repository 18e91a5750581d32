/* The settings of one instance, read from an INI file. */
#pragma once

#include "base/findings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Keys have the names of the members, except that the name of the section is not repeated: name is
 * [instance] name, platform_port is [platform] port. */
struct sr_settings
{
  /* [instance] */
  GString *name;
  GString *data_centre;
  GString *listen_address; /* of the sockets for callers and peers; outgoing connections are bound
                              to it */
  GString *advertise_address; /* address that peers use; default: the listen address */
  unsigned entry_port;
  unsigned peer_port;
  /* [platform] */
  GString *platform_address;
  unsigned platform_port;
  unsigned platform_timeout_s;
  unsigned platform_watch_ms;
  /* [peers] */
  GPtrArray *seeds; /* "IP:PORT" (GString) */
  unsigned gossip_interval_ms;
  unsigned gossip_fanout;
  unsigned suspect_after_ms;
  unsigned dead_after_ms;
  /* [limits] */
  unsigned calls_max; /* concurrent calls to backend servers */
  unsigned queue_max; /* requests waiting in queues */
  unsigned body_max_bytes;
  unsigned answers_kept_max; /* responses of finished requests kept for retries */
  unsigned answer_kept_s;    /* how long such a response is kept */
  unsigned default_deadline_ms;
  unsigned memory_mb;   /* memory of the machine in units of 1024 KiB; 0: not known */
  unsigned descriptors; /* file descriptors that this process may open; 0: not known */
  /* [backend] */
  unsigned connect_timeout_s;
  unsigned idle_timeout_s; /* longest time without data in a stream */
  /* [budget] */
  unsigned allotment_cover_s; /* an allotment covers the demand of this time */
  unsigned idle_return_s;     /* unused for this time, tokens are returned */
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
