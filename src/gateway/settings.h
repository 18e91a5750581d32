/* Settings of a gateway, read from an INI file and validated. */
#pragma once

#include "base/findings.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

struct gw_settings
{
  /* [instance] */
  GString *name;
  GString *data_centre;
  /* [listen] */
  struct sockaddr_in entry_address;
  struct sockaddr_in ready_address;
  struct sockaddr_in peer_address;    /* UDP, between instances */
  struct sockaddr_in metrics_address; /* TCP, same address and port */
  /* [store] */
  GString *store_host; /* "IP:PORT" */
  struct sockaddr_in store_address;
  /* [retries] */
  double retry_ratio;
  unsigned retry_extra;
  unsigned retry_window_s;
  /* [limits] */
  double link_megabits_per_s; /* capacity of each direction; 0: not known */
  double memory_mb;           /* memory of the machine in units of 1024 KiB; 0: not known */
  unsigned descriptors;       /* file descriptors that this process may open; 0: not known */
  /* [prompts] */
  double part_memory_s;        /* a prompt part is assumed cached this long after use; 0: default */
  GArray *never_blocked_parts; /* uint64_t: ids of prompt parts */
  /* [backends] */
  unsigned leave_ms;   /* upper bound until a leaving server gets no new request */
  bool paces_backends; /* new and returning servers get requests by how they respond */
  /* [callers] */
  bool callers_compete; /* callers compete for too little capacity; see gw_platform as well */
  bool refuses_early;   /* while callers compete: some are refused so that others are in time */
  GPtrArray *contracts; /* GString: names that the platform adapter knows */
  /* [evacuation] */
  unsigned evacuation_limit_ms; /* upper bound until the servers of an evacuated data centre get no
                                   new request; 0: evacuations are not followed */
  /* [cold] */
  double cold_overage; /* a cold server may get this many times what it sustains; 0: no limit */
  unsigned cold_slack; /* requests per second beyond that */
  /* [stop] */
  unsigned stop_limit_s; /* time from a stop signal until the process is killed */

  /* Texts of the file; gw_settings_load converts them into the fields above. */
  GString *entry_text;
  GString *ready_text;
  GString *address;
  unsigned peer_port;
  GString *retry_ratio_text;
  GString *link_text;
  GString *memory_text;
  GString *descriptors_text;
  GString *part_memory_text;
  GString *never_block_text;
  GString *cold_overage_text;
};

struct gw_settings *gw_settings_load (const char *path, struct sr_findings *findings);
struct gw_settings *gw_settings_parse (const char *file_name,
                                       const char *text,
                                       size_t length,
                                       struct sr_findings *findings);
void gw_settings_delete (struct gw_settings *settings);
