/* The inside of a snapshot, shared by the files of this slice only. */
#pragma once

#include "config/config.h"

#include <stdatomic.h>

enum
{
  CONFIG_DIGEST_BYTES = 32
};

/* Where a section stood, for findings about references. file is interned. */
struct config_origin
{
  const char *file;
  unsigned line;
};

/* A team; in a part its budgets are those it lists, in a snapshot all. */
struct config_team
{
  struct sr_config_team team;
  struct config_origin origin;
};

struct config_budget
{
  GString *name;
  const char *team; /* interned */
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

/* What was read from one part: immutable, counted by references, shared by all snapshots that have
 * this part. The arrays own what is in them. */
struct config_sections
{
  _Atomic int reference_count;
  GPtrArray *teams;      /* struct config_team */
  GPtrArray *budgets;    /* struct config_budget */
  GPtrArray *services;   /* struct config_service */
  GPtrArray *backends;   /* struct config_backend */
  GStringChunk *strings; /* interned */
};

/* A service and its backend servers in one snapshot. */
struct config_pool
{
  const struct config_service *service;
  GPtrArray *backends; /* struct sr_config_backend, not owned */
};

/* One key of a team. */
struct config_digest
{
  unsigned char bytes[CONFIG_DIGEST_BYTES];
  const struct sr_config_team *team;
};

struct sr_config
{
  _Atomic int reference_count;
  int64_t revision;
  GPtrArray *sections;  /* struct config_sections, a reference each */
  GHashTable *teams;    /* name to struct config_team, a copy that it owns */
  GHashTable *budgets;  /* name to struct config_budget */
  GHashTable *services; /* name to struct config_pool, which it owns */
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
