/* One revision of the configuration as it is stored: the head object and the texts of all its
 * parts. Internal to src/config. */
#pragma once

#include "config/config.h"
#include "config/head.h"
#include "config/snapshot.h"

/* Interface for reading the head and the parts. An implementation has this as its first member. The
 * functions replace BODY and return ABSENT when the source does not have the object. */
struct config_source
{
  enum sr_platform_status (*get_head) (struct config_source *source, GString *body);
  enum sr_platform_status (*get_part) (struct config_source *source,
                                       const char *name,
                                       GString *body);
};

struct config_source_platform
{
  struct config_source base;
  struct sr_platform *platform; /* not owned */
  int64_t deadline_us;          /* monotonic */
};

struct config_bundle
{
  struct config_head *head;
  GString *head_body;
  GPtrArray *texts;    /* GBytes, one for each part of the head, in its order */
  GPtrArray *sections; /* struct config_sections of each text, NULL while it is not parsed */
};

enum config_bundle_status
{
  CONFIG_BUNDLE_OK,
  CONFIG_BUNDLE_NONE,        /* no configuration was ever accepted */
  CONFIG_BUNDLE_UNREACHABLE, /* the source did not respond in time */
  CONFIG_BUNDLE_SUPERSEDED,  /* a part was removed, so a newer head exists: read again */
  CONFIG_BUNDLE_CORRUPT      /* the head cannot be decoded, or a part does not match its hash */
};

void config_source_platform_init (struct config_source_platform *source,
                                  struct sr_platform *platform,
                                  int64_t deadline_us);
enum config_bundle_status config_bundle_read (struct config_source *source,
                                              const struct config_bundle *former,
                                              struct config_bundle **bundle);
enum config_bundle_status config_bundle_read_parts (struct config_source *source,
                                                    const GString *head_body,
                                                    const struct config_bundle *former,
                                                    struct config_bundle **bundle);
struct config_bundle *config_bundle_new_empty (void);
void config_bundle_delete (struct config_bundle *bundle);
struct sr_config *config_bundle_parse (struct config_bundle *bundle, struct sr_findings *findings);
const char *config_bundle_status_to_string (enum config_bundle_status status);
