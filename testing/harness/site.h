/* Gateways as real processes before the stand-in of the users' platform. */
#pragma once

#include "testing/harness/client.h"
#include "testing/harness/process.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

enum
{
  SITE_INSTANCES_MAX = 16
};

struct site_options
{
  const char *name;   /* of the folder of logs */
  unsigned port_base; /* a test program has its own; ports up to 20 above are used */
  unsigned instances;
  unsigned models;
  unsigned plains;
  unsigned pace_ms; /* between events */
  int64_t prepaid;  /* of the one team */
  unsigned stop_limit_s;
  bool with_proxy; /* between each instance and the store: site_fleet_rule */
};

struct site_fleet
{
  struct site_options options;
  char *directory;
  int turn;
  struct harness_process *site;
  struct harness_process *proxy;
  struct harness_process *instances[SITE_INSTANCES_MAX + 1]; /* from 1 */
  int64_t version;                                           /* of the configuration */
};

enum site_verdict
{
  SITE_ANSWERED,
  SITE_NOT_RUN, /* refused with a status that promises it */
  SITE_FAILED,  /* an answer that promises nothing */
  SITE_CUT,     /* the answer has no end */
  SITE_NO_ANSWER,
  SITE_WRONG /* looks whole, and is not the right one */
};

struct site_request
{
  unsigned instance;
  const char *path; /* /stream/, /once/ or /safe/ and more */
  const char *id;
  int64_t input_tokens;  /* streams */
  int64_t output_tokens; /* streams: a multiple of what an event holds */
  int64_t deadline_ms;   /* 0: 10 s */
};

struct site_answer
{
  enum site_verdict verdict;
  int status;
  int64_t took_ms;
  double retry_after_s;
  int64_t events; /* whole ones that the caller has received */
};

struct site_fleet *site_fleet_start (const struct site_options *options);
void site_fleet_stop (struct site_fleet *fleet);
bool site_fleet_start_instance (struct site_fleet *fleet, unsigned instance);
bool site_fleet_wait_ready (struct site_fleet *fleet, unsigned instance, int64_t limit_ms);
int site_fleet_ready_status (struct site_fleet *fleet, unsigned instance);
bool site_fleet_configure (struct site_fleet *fleet, int64_t prepaid, bool with_extra_route);
bool site_fleet_control (struct site_fleet *fleet, const char *path);
bool site_fleet_set_backends (struct site_fleet *fleet,
                              unsigned from,
                              unsigned to,
                              const char *settings);
bool site_fleet_rule (struct site_fleet *fleet, unsigned instance, const char *mode, int delay_ms);
bool site_fleet_clear_rules (struct site_fleet *fleet);
json_t *site_fleet_counts (struct site_fleet *fleet);
char *site_instance_address (unsigned instance);
struct site_answer site_ask (struct site_fleet *fleet, const struct site_request *request);
unsigned site_runs_of (json_t *counts, const char *id);
