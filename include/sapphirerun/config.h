/* libsapphirerun-config: builds a configuration, checks it and prints it for "sapphirerun submit".
 *
 * Strings are copied. Errors in what was added are collected and reported together by
 * sr_builder_print, which prints no configuration then. Names are 1 to 63 letters, digits, '.', '_'
 * and '-'. */
#pragma once

#include <stdbool.h>
#include <stdio.h>

struct sr_builder;

/* A team and the keys with which its callers authenticate. */
struct sr_builder_team
{
  const char *name;
  const char *const *keys;    /* in plain text, ends with NULL; only their digests are printed */
  const char *default_budget; /* NULL: the team's first budget in the order of names */
  unsigned weight;            /* relative share of queues, 1 to 1000; 0 for 1 */
};

/* A budget of a team. Tokens are added to it with "sapphirerun topup". */
struct sr_builder_budget
{
  const char *name;
  const char *team;
};

enum sr_builder_service_kind
{
  SR_BUILDER_MODEL,
  SR_BUILDER_PLAIN
};

/* A language model or a plain service. */
struct sr_builder_service
{
  const char *name;
  enum sr_builder_service_kind kind;
  bool repeatable;              /* plain: a call may run more than once */
  const char *model;            /* model */
  const char *version;          /* model, may be NULL */
  const char *adapter;          /* model, may be NULL */
  unsigned bytes_per_token_min; /* model: minimum size of a prompt token; 0 for 1 */
  unsigned max_output_tokens;   /* model: limit for one response */
  unsigned call_tokens;         /* plain: tokens charged for a call */
};

/* A backend server of a service. */
struct sr_builder_backend
{
  const char *name;
  const char *service;
  const char *address; /* IPv4, dotted decimal */
  unsigned port;
  const char *data_centre;
  unsigned slots;    /* concurrent calls; 0 for 8 */
  bool checks_fence; /* refuses a call with an outdated fencing number */
  bool leaving;      /* gets no new calls */
};

/* Freed with sr_builder_delete, which accepts NULL. */
struct sr_builder *sr_builder_new (void);
void sr_builder_delete (struct sr_builder *builder);
void sr_builder_add_team (struct sr_builder *builder, const struct sr_builder_team *team);
void sr_builder_add_budget (struct sr_builder *builder, const struct sr_builder_budget *budget);
void sr_builder_add_service (struct sr_builder *builder, const struct sr_builder_service *service);
void sr_builder_add_backend (struct sr_builder *builder, const struct sr_builder_backend *backend);
/* Returns whether the configuration was valid and was written. */
bool sr_builder_print (struct sr_builder *builder, FILE *configuration, FILE *findings);
/* Splits NAME=IP:PORT. Returns false when TEXT is not of this form. */
bool sr_builder_parse_place (const char *text, char name[64], char address[16], unsigned *port);
