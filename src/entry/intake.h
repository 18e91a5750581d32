/* From a caller's headers and body to a checked order. */
#pragma once

#include "config/config.h"
#include "request/run.h"

/* What the headers and the path say; NULL where a header is absent. */
struct sr_intake
{
  const char *service;
  const char *authorization;
  const char *idempotency_key;
  const char *deadline_ms;
  const char *priority;
  const char *budget;
  const char *attempt;
  const GString *body;
};

struct sr_intake_options
{
  struct sr_config *config;
  const char *made_id; /* request id when the caller gives none */
  int64_t default_deadline_ms;
  int64_t now_us;
};

enum sr_error sr_intake_read (const struct sr_intake *intake,
                              const struct sr_intake_options *options,
                              struct sr_run_params **order,
                              bool *stream);
enum sr_error sr_intake_team (struct sr_config *config,
                              const char *authorization,
                              const struct sr_config_team **team);
bool sr_intake_id_is_valid (const char *id);
