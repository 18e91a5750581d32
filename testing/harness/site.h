/* A fleet of gateway processes in front of the stand-in for the users' platform (standin-site). */
#pragma once

#include "testing/harness/client.h"
#include "testing/harness/process.h"
#include "testing/harness/raw-http.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

enum
{
  SITE_FIRST_PRIORITY = 2, /* of the route /stream/; the others have the next ones */
  SITE_INSTANCES_MAX = 16
};

struct site_options
{
  const char *name;   /* of the log directory */
  unsigned port_base; /* unique per test program; ports up to 22 above are used */
  unsigned instances;
  unsigned model_backends;
  unsigned plain_backends;
  unsigned event_interval_ms;   /* between events */
  int64_t prepaid;              /* tokens of the only team */
  unsigned stop_limit_s;        /* time for a graceful stop; 0: 8 s */
  unsigned zones;               /* data centres of the backend servers, in turn; 0: 1 */
  unsigned evacuation_limit_ms; /* 0: instances don't follow evacuations */
  bool with_proxy;              /* between each instance and the store: site_fleet_add_rule */
  unsigned body_max_bytes;      /* of a request; 0: 65536 */
  unsigned memory_mb;           /* of an instance's machine, told in its settings; 0: not told */
  unsigned descriptors;         /* likewise */
  double cold_per_s;            /* requests that a cold backend server sustains; 0: never cold */
  const char *more_settings;    /* sections added to an instance's settings; NULL: none */
  const char *contracts;        /* of the settings; NULL: none, and routes have no priority */
};

struct site_fleet
{
  struct site_options options;
  char *directory;
  int port_lock;
  struct harness_process *platform;
  struct harness_process *proxy;
  struct harness_process *instances[SITE_INSTANCES_MAX + 1]; /* from 1 */
  int64_t version;                                           /* of the configuration */
  /* In configurations submitted from now on: */
  unsigned idle_timeout_ms; /* of callers' connections */
  unsigned unused_routes;   /* additional ones that no request uses */
};

enum site_outcome
{
  SITE_COMPLETED,
  SITE_NOT_RUN,   /* refused with a status that guarantees it did not run */
  SITE_FAILED,    /* an error response that leaves open whether it ran */
  SITE_TRUNCATED, /* the response was truncated */
  SITE_NO_RESPONSE,
  SITE_WRONG /* complete, but with wrong contents */
};

struct site_request
{
  unsigned instance;
  const char *path; /* begins with /stream/, /resume/, /once/, /safe/ or /extra/ */
  const char *id;
  int64_t input_tokens;  /* streams */
  int64_t output_tokens; /* streams: a multiple of the tokens per event */
  int64_t deadline_ms;   /* 0: 10 s */
  const char *parts;     /* streams: the prompt's parts, "ID:TOKENS,ID:TOKENS"; NULL: one */
};

struct site_response
{
  enum site_outcome outcome;
  int status;
  int64_t duration_ms;
  double retry_after_s;
  int64_t events; /* received completely by the caller */
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
bool
site_fleet_add_rule (struct site_fleet *fleet, unsigned instance, const char *mode, int delay_ms);
bool site_fleet_clear_rules (struct site_fleet *fleet);
json_t *site_fleet_counts (struct site_fleet *fleet);
bool site_fleet_has_object (struct site_fleet *fleet, const char *kind, const char *name);
char *site_instance_address (unsigned instance);
int site_connect (struct site_fleet *fleet, unsigned instance, bool has_small_windows);
int site_connect_readiness (struct site_fleet *fleet, unsigned instance);
struct raw_http_response *
site_call_raw (struct site_fleet *fleet, unsigned instance, const char *bytes);
struct raw_http_response *site_call (struct site_fleet *fleet, const struct site_request *request);
GString *site_expected_events (const struct site_request *request);
struct site_response site_send (struct site_fleet *fleet, const struct site_request *request);
unsigned site_run_count (json_t *counts, const char *id);
