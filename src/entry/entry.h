/* HTTP server of an instance for its callers. It has its own thread and loop. */
#pragma once

#include "config/config.h"
#include "dispatch/dispatch.h"
#include "request/table.h"
#include "settings/settings.h"

#include <stdbool.h>

struct sr_entry;

/* All pointers must outlive the entry. */
struct sr_entry_options
{
  const struct sr_settings *settings;
  struct sr_config_current *current;
  struct sr_run_table *table;
  struct sr_dispatch *dispatch;
  uint64_t incarnation;
  unsigned
      idle_max_ms; /* time without a request after which a connection is closed; 0: two minutes */
  /* Appends the JSON of GET /status to out. */
  void (*print_status) (GString *out, void *data);
  void *data;
};

struct sr_entry *sr_entry_new (const struct sr_entry_options *options);
void sr_entry_delete (struct sr_entry *entry);
bool sr_entry_start (struct sr_entry *entry);
void sr_entry_set_ready (struct sr_entry *entry, bool ready);
void sr_entry_close_listener (struct sr_entry *entry);
unsigned sr_entry_open_requests (struct sr_entry *entry);
