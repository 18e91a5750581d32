/* Load generator: many callers send a seeded mix of requests and compare every byte of the
 * responses with the expected ones. */
#pragma once

#include "testing/harness/caller.h"
#include "testing/harness/samples.h"

#include <stdio.h>

struct traffic_options
{
  const char *const *targets; /* "IP:PORT", NULL-terminated */
  unsigned callers;           /* concurrent */
  double rate_per_s;          /* 0: closed loop; else an open loop with this arrival rate */
  int64_t requests;           /* total */
  int64_t duration_limit_s;   /* no request starts after this time; 0: no limit */
  uint32_t seed;
  const char *service; /* model service */
  unsigned teams;
  unsigned large_team_percent;  /* share of team 1; the other teams split the remainder evenly */
  unsigned stream_percent;      /* the remainder is not streamed */
  unsigned interactive_percent; /* the remainder is half normal, half batch */
  unsigned prefixes;            /* distinct prompt prefixes */
  unsigned prefix_bytes;
  unsigned tokens_min; /* output tokens per request */
  unsigned tokens_max;
  int64_t deadline_ms; /* 0: no deadline is sent */
};

enum
{
  TRAFFIC_OUTCOMES = HARNESS_WRONG + 1
};

struct traffic_result
{
  int64_t outcomes[TRAFFIC_OUTCOMES];
  GHashTable *codes; /* error code -> count (GINT_TO_POINTER) */
  int64_t output_tokens;
  int64_t billed_tokens;
  int64_t duration_us;
  struct samples *first_token_us;
  struct samples *interactive_first_token_us;
  struct samples *between_tokens_us;
  struct samples *total_us;
};

struct traffic_result *traffic_run (const struct traffic_options *options);
void traffic_result_delete (struct traffic_result *result);
json_t *traffic_result_json (struct traffic_result *result);
void traffic_result_print (struct traffic_result *result, FILE *stream);
