/* libsapphirerun-config: builds a configuration, checks it and prints it for "sapphirerun submit".
 *
 * Strings are copied. Whatever is wrong with what was added is collected and reported together by
 * sr_builder_print. Names are 1 to 63 letters, digits, '.', '_' and '-'. */
#pragma once

#include <stdbool.h>
#include <stdio.h>

struct sr_builder;

/* A team and the keys by which its callers are known. */
struct sr_builder_team
{
  const char *name;
  const char *const *keys;    /* as plain text, ends with NULL; only their digests are printed */
  const char *default_budget; /* NULL: the first of its budgets by name */
  unsigned weight;            /* share in queues, 1 to 1000; 0 for 1 */
};

/* A budget of a team; its tokens come by "sapphirerun topup". */
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
  bool repeatable;              /* plain: whether a call may run more than once */
  const char *model;            /* model */
  const char *version;          /* model, may be NULL */
  const char *adapter;          /* model, may be NULL */
  unsigned bytes_per_token_min; /* model: fewest bytes that a prompt token stands for; 0 for 1 */
  unsigned max_output_tokens;   /* model: cap of one answer */
  unsigned call_tokens;         /* plain: price of a call */
};

/* A backend server of a service. */
struct sr_builder_backend
{
  const char *name;
  const char *service;
  const char *address; /* IPv4 number */
  unsigned port;
  const char *data_centre;
  unsigned slots;    /* calls at once; 0 for 8 */
  bool checks_fence; /* refuses an order that carries an old fencing number */
  bool leaving;      /* gets no new work */
};

struct sr_builder *sr_builder_new (void);
void sr_builder_delete (struct sr_builder *builder);
void sr_builder_add_team (struct sr_builder *builder, const struct sr_builder_team *team);
void sr_builder_add_budget (struct sr_builder *builder, const struct sr_builder_budget *budget);
void sr_builder_add_service (struct sr_builder *builder, const struct sr_builder_service *service);
void sr_builder_add_backend (struct sr_builder *builder, const struct sr_builder_backend *backend);
bool sr_builder_print (struct sr_builder *builder, FILE *configuration, FILE *findings);
bool sr_builder_parse_place (const char *text, char name[64], char address[16], unsigned *port);
