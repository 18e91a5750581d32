/* What the cases of this review share: a small deployment of the project's own programs on loopback
 * addresses (the gateways as the deploy file starts them, in front of the project's stand-in for
 * the platform), blocking HTTP calls, and the record of a run. */
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum
{
  GATEWAYS_MAX = 40,
  TEXT_MAX = 262144
};

enum exit_code
{
  EXIT_HELD = 0,
  EXIT_BROKEN = 1,
  EXIT_NOT_RUN = 2
};

struct deployment
{
  char directory[256]; /* temporary, for settings and logs */
  unsigned base_port;
  unsigned gateways;
  unsigned grace_s; /* graceS of the deployment */
  pid_t platform;
  pid_t gateway_pids[GATEWAYS_MAX + 1]; /* from 1; 0: not running */
};

struct response
{
  int status;         /* 0: no complete response */
  size_t received;    /* bytes, of the head and the body */
  bool closed;        /* the connection ended */
  unsigned events;    /* complete events of a stream */
  double retry_after; /* seconds; 0: not stated */
};

extern FILE *record;

int64_t now_ms (void);
int64_t now_us (void);
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
bool trouble_is_wanted (void);
void fail_to_run (const char *reason) __attribute__ ((noreturn));

void deployment_start (struct deployment *deployment,
                       unsigned gateways,
                       unsigned models,
                       unsigned plains,
                       unsigned event_interval_ms);
void deployment_configure (struct deployment *deployment, const char *configuration);
void deployment_start_gateway (struct deployment *deployment, unsigned gateway);
bool deployment_wait_ready (const struct deployment *deployment, unsigned gateway, int limit_ms);
void deployment_control (const struct deployment *deployment, const char *path);
char *deployment_counts (const struct deployment *deployment);
char *
deployment_object (const struct deployment *deployment, const char *kind, const char *name);
void
deployment_put_object (const struct deployment *deployment, const char *kind, const char *object);
int deployment_connect (const struct deployment *deployment, unsigned gateway);
bool deployment_log_has (const struct deployment *deployment, unsigned gateway, const char *text);
unsigned
deployment_log_count (const struct deployment *deployment, unsigned gateway, const char *text);
void deployment_end (struct deployment *deployment);

struct response read_response (int peer, int limit_ms);
bool send_all (int peer, const char *bytes, size_t length);
