/* The configuration: teams, budgets, services and backend servers. A snapshot is immutable and
 * reference-counted; the one in force is replaced with RCU. */
#pragma once

#include "base/findings.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum sr_service_kind
{
  SR_SERVICE_MODEL,
  SR_SERVICE_PLAIN
};

struct sr_config; /* opaque snapshot */

struct sr_config_team
{
  GString *name;
  GPtrArray *key_digests;         /* lower-case hex SHA-256 of each key, GString */
  GPtrArray *budgets;             /* names (GString), the default budget first */
  unsigned weight;                /* share in queues, default 1 */
  const struct sr_config *config; /* snapshot that owns the team */
};

struct sr_config_service
{
  GString *name;
  enum sr_service_kind kind;
  bool repeatable; /* whether a call may be executed more than once */
  GString *model;
  GString *version;
  GString *adapter;
  unsigned bytes_per_token_min; /* model: fewest bytes of prompt per token */
  unsigned max_output_tokens;   /* model: limit of one response */
  unsigned call_tokens;         /* plain: tokens charged for a call */
};

struct sr_config_backend
{
  GString *name;
  GString *service;
  GString *address;
  unsigned port;
  GString *data_centre;
  unsigned slots;    /* concurrent calls that it accepts */
  bool checks_fence; /* refuses an order with an outdated fencing token */
  bool leaving;      /* draining: gets no new requests */
};

/* Pointers returned by the look-ups are valid while the caller holds a reference to the snapshot.
 */
struct sr_config *sr_config_parse (const char *file_name,
                                   const char *text,
                                   size_t length,
                                   int64_t revision,
                                   struct sr_findings *findings);
struct sr_config *sr_config_ref (struct sr_config *config);
void sr_config_unref (struct sr_config *config);
int64_t sr_config_revision (const struct sr_config *config);
const struct sr_config_team *
sr_config_team_by_key (const struct sr_config *config, const char *key, size_t key_length);
const struct sr_config_team *sr_config_team (const struct sr_config *config, const char *name);
bool sr_config_team_owns_budget (const struct sr_config_team *team, const char *budget);
const struct sr_config_service *sr_config_service (const struct sr_config *config,
                                                   const char *name);
const GPtrArray *sr_config_service_backends (const struct sr_config *config, const char *service);
const GPtrArray *sr_config_services (const struct sr_config *config);
const GPtrArray *sr_config_backends (const struct sr_config *config);
const GPtrArray *sr_config_budgets (const struct sr_config *config); /* names, GString */

/* Holder of the snapshot in force. */
struct sr_config_current;

struct sr_config_current *sr_config_current_new (void);
void sr_config_current_delete (struct sr_config_current *current);
struct sr_config *sr_config_current_get (struct sr_config_current *current);
bool sr_config_current_apply (struct sr_config_current *current,
                              struct sr_config *config); /* false: revision not higher */
