/* The contents of a snapshot. Internal to src/config. */
#pragma once

#include "config/config.h"

#include <stdatomic.h>

enum
{
  CONFIG_DIGEST_BYTES = 32
};

/* Source location of a section, for findings about references. */
struct config_origin
{
  const char *file; /* owned by config_sections.strings */
  unsigned line;    /* counted from 1 */
};

/* A team. In struct config_sections its list of budgets holds only those that its section names, in
 * a finished snapshot all that belong to it. */
struct config_team
{
  struct sr_config_team team;
  struct config_origin origin;
};

struct config_budget
{
  GString *name;
  const char *team; /* owned by config_sections.strings */
  struct config_origin origin;
};

struct config_service
{
  struct sr_config_service service;
  struct config_origin origin;
};

struct config_backend
{
  struct sr_config_backend backend;
  struct config_origin origin;
};

/* The parsed sections of one part: immutable, reference-counted, shared by all snapshots that have
 * this part. The arrays own their elements. */
struct config_sections
{
  _Atomic int reference_count;
  GPtrArray *teams;      /* struct config_team */
  GPtrArray *budgets;    /* struct config_budget */
  GPtrArray *services;   /* struct config_service */
  GPtrArray *backends;   /* struct config_backend */
  GStringChunk *strings; /* interned strings */
};

/* A service and its backend servers in one snapshot. */
struct config_pool
{
  const struct config_service *service;
  GPtrArray *backends; /* struct sr_config_backend, not owned */
};

/* SHA-256 of one key of a team. */
struct config_digest
{
  unsigned char bytes[CONFIG_DIGEST_BYTES];
  const struct sr_config_team *team;
};

struct sr_config
{
  _Atomic int reference_count;
  int64_t revision;
  GPtrArray *sections;  /* struct config_sections, one reference each */
  GHashTable *teams;    /* name to struct config_team, a copy owned by the table */
  GHashTable *budgets;  /* name to struct config_budget */
  GHashTable *services; /* name to struct config_pool, owned by the table */
  GHashTable *backends; /* name to struct config_backend */
  GPtrArray *all_backends;
  GPtrArray *all_budgets;
  GPtrArray *all_services;
  GArray *digests; /* struct config_digest */
};

struct config_sections *config_sections_parse (const char *file_name,
                                               const char *text,
                                               size_t length,
                                               struct sr_findings *findings);
struct config_sections *config_sections_ref (struct config_sections *sections);
void config_sections_unref (struct config_sections *sections);

struct sr_config *config_new (int64_t revision);
void config_add_sections (struct sr_config *config,
                          struct config_sections *sections,
                          struct sr_findings *findings);
bool config_finish (struct sr_config *config, struct sr_findings *findings);
