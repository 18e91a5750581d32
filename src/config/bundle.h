/* A head with the texts of all its parts, from wherever they come. Private to this slice. */
#pragma once

#include "config/config.h"
#include "config/head.h"
#include "config/snapshot.h"

/* Where heads and parts are read. Every implementation begins with this. */
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
  int64_t deadline_us;
};

struct config_bundle
{
  struct config_head *head;
  GString *head_body;
  GPtrArray *texts;    /* GBytes, one for each part of the head */
  GPtrArray *sections; /* struct config_sections of each text, or NULL: not read yet */
};

enum config_bundle_status
{
  CONFIG_BUNDLE_OK,
  CONFIG_BUNDLE_NONE,   /* nothing was ever accepted */
  CONFIG_BUNDLE_OUT,    /* the source does not answer */
  CONFIG_BUNDLE_MOVED,  /* a part is gone: the head is not the newest, read again */
  CONFIG_BUNDLE_CORRUPT /* what was read is no head or not its part */
};

void config_source_platform_init (struct config_source_platform *source,
                                  struct sr_platform *platform,
                                  int64_t deadline_us);
enum config_bundle_status config_bundle_read (struct config_source *source,
                                              const struct config_bundle *former,
                                              struct config_bundle **bundle);
enum config_bundle_status config_bundle_complete (struct config_source *source,
                                                  const GString *head_body,
                                                  const struct config_bundle *former,
                                                  struct config_bundle **bundle);
struct config_bundle *config_bundle_new_empty (void);
void config_bundle_delete (struct config_bundle *bundle);
struct sr_config *config_bundle_parse (struct config_bundle *bundle, struct sr_findings *findings);
const char *config_bundle_status_to_string (enum config_bundle_status status);
