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
  GPtrArray *backends; /* struct sr_config_backend, not owned */
};

struct config_backend
{
  struct sr_config_backend backend;
  struct config_origin origin;
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
  GHashTable *teams;    /* name to struct config_team, which it owns */
  GHashTable *budgets;  /* name to struct config_budget, which it owns */
  GHashTable *services; /* name to struct config_service, which it owns */
  GHashTable *backends; /* name to struct config_backend, which it owns */
  GPtrArray *all_services;
  GPtrArray *all_backends;
  GPtrArray *all_budgets;
  GArray *digests;       /* struct config_digest */
  GStringChunk *strings; /* interned */
};

struct sr_config *
config_new (int64_t revision);
void
config_add_sections (struct sr_config *config,
                     const char *file_name,
                     const char *text,
                     size_t length,
                     struct sr_findings *findings);
bool
config_finish (struct sr_config *config, struct sr_findings *findings);
