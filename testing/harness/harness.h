/* A fleet of real processes for tests and benches: the platform, backend servers and instances
 * behind the fault proxy. */
#pragma once

#include "testing/harness/client.h"
#include "testing/harness/process.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  HARNESS_INSTANCES_MAX = 64,
  HARNESS_BACKENDS_MAX = 64,
  HARNESS_WAIT_MS = 60000 /* time-out of waits whose duration is not under test */
};

/* Composition of the fleet. Zero selects the default given in parentheses. */
struct harness_options
{
  const char *name;   /* of the log directory */
  unsigned port_base; /* each test program has its own; ten ports are used */
  unsigned instances;
  const char *const *data_centres; /* NULL-terminated (one, "dc1"); assigned round-robin */
  unsigned engines;
  unsigned services;
  unsigned slots;             /* of each engine (8) */
  unsigned queue_max;         /* of each engine (256) */
  unsigned token_interval_ms; /* between tokens (1) */
  unsigned prefill_us_per_token;
  unsigned load_lag_ms;        /* age of the load that engines report */
  unsigned service_delay_ms;   /* time that a call of a plain service takes */
  bool checks_fence;           /* backend servers check fencing numbers */
  unsigned teams;              /* (3) */
  int64_t prepaid_tokens;      /* of each team's budget (1000000); -1: no top-up */
  const char *const *settings; /* "section", "key", "value", .., NULL: overrides */
  bool without_proxy;          /* processes connect directly, not through the fault proxy */
};

/* Team K (from 1) is "team-K" with the key "key-K" and the budget "budget-K". Engines serve
 * "diary"; plain services serve "relief" (not repeatable) and, from the same processes, "lookup"
 * (repeatable). */
struct harness
{
  struct harness_options options;
  char *build;
  char *directory;
  int port_lock; /* see port-lock.h */
  struct harness_process *platform;
  struct harness_process *proxy;
  struct harness_process *instances[HARNESS_INSTANCES_MAX + 1]; /* from 1 */
  struct harness_process *backends[HARNESS_BACKENDS_MAX + 1];   /* engines, then services */
  GPtrArray *other_processes;                                   /* struct harness_process * */
};

enum harness_port
{
  HARNESS_PORT_ENTRY,
  HARNESS_PORT_PEER,
  HARNESS_PORT_PLATFORM,
  HARNESS_PORT_BACKEND,
  HARNESS_PORT_PROXY,
  HARNESS_PORT_BALANCER,
  HARNESS_PORT_BALANCER_CONTROL,
  HARNESS_PORT_LOCK = 9
};

bool harness_wait_until (bool (*condition) (void *data), void *data, int64_t limit_ms);

struct harness *harness_start (const struct harness_options *options);
struct harness *harness_start_standins (const struct harness_options *options);
void harness_stop (struct harness *harness);
bool harness_start_instance (struct harness *harness, unsigned instance);
bool harness_wait_instance_ready (struct harness *harness, unsigned instance, int64_t limit_ms);
bool harness_submit (struct harness *harness, const char *configuration);
bool harness_top_up (struct harness *harness, const char *budget, int64_t tokens, const char *id);
bool harness_run (struct harness *harness, const char *name, GPtrArray *arguments, int *exit_code);
GString *harness_configuration (const struct harness *harness);
const char *harness_data_centre (const struct harness *harness, unsigned number);
unsigned harness_port (const struct harness *harness, enum harness_port port);
char *harness_address (enum harness_port port, unsigned number, bool advertised);

json_t *harness_ledger (struct harness *harness, unsigned backend);
bool harness_control_backend (struct harness *harness, unsigned backend, const char *path);
bool harness_control_platform (struct harness *harness, const char *path);
json_t *harness_platform_counts (struct harness *harness);
bool harness_add_rule (
    struct harness *harness, const char *from, const char *to, const char *mode, int delay_ms);
bool harness_clear_rules (struct harness *harness);
void harness_print_logs (struct harness *harness);
