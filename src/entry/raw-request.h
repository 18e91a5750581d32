/* Validates a caller's request and converts it into the parameters of a run. */
#pragma once

#include "config/config.h"
#include "request/run.h"

/* The parts of a request as they were received; NULL for absent headers. */
struct sr_raw_request
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

struct sr_raw_request_options
{
  struct sr_config *config;
  const char *generated_id; /* request id for a caller that sends no idempotency key */
  int64_t default_deadline_ms;
  int64_t now_us; /* monotonic time, from which the deadline counts */
};

enum sr_error sr_raw_request_parse (const struct sr_raw_request *request,
                                    const struct sr_raw_request_options *options,
                                    struct sr_run_params **params,
                                    bool *stream);
enum sr_error sr_authorized_team (struct sr_config *config,
                                  const char *authorization,
                                  const struct sr_config_team **team);
bool sr_request_id_is_valid (const char *id);
