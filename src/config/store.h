/* Submits a configuration to the platform: it is checked as a whole and put in force by one
 * conditional update of the head object. */
#pragma once

#include "base/findings.h"
#include "platform/platform.h"

#include <glib.h>
#include <stdint.h>

enum
{
  SR_SUBMIT_BASE_CURRENT = -1 /* base_revision: replace whatever revision is in force */
};

enum sr_submit_verdict
{
  SR_SUBMIT_ACCEPTED,
  SR_SUBMIT_UNCHANGED,   /* the configuration in force is the same */
  SR_SUBMIT_FAULTY,      /* see the findings */
  SR_SUBMIT_CONFLICT,    /* another submission was accepted since the base revision */
  SR_SUBMIT_UNREACHABLE, /* the platform did not respond in time: not accepted */
  SR_SUBMIT_UNKNOWN      /* outcome unknown: submit again with the same id */
};

struct sr_submission
{
  const char *file_name; /* for findings */
  const char *text;
  size_t length;
  int64_t base_revision; /* revision that it was made from, or SR_SUBMIT_BASE_CURRENT */
  const char *who;
  int64_t when_ms;     /* real time */
  uint64_t id;         /* random; a repeated submission has the same */
  int64_t deadline_us; /* monotonic */
};

struct sr_submit_result
{
  enum sr_submit_verdict verdict;
  int64_t revision; /* in force, as far as known */
  GString *message; /* for a conflict: the changes since the base revision; else empty */
};

void sr_config_submit (struct sr_platform *platform,
                       const struct sr_submission *submission,
                       struct sr_submit_result *result,
                       struct sr_findings *findings);
void sr_submit_result_clear (struct sr_submit_result *result);
const char *sr_submit_verdict_to_string (enum sr_submit_verdict verdict);
enum sr_platform_status sr_config_fetch (struct sr_platform *platform,
                                         GString *text,
                                         int64_t *revision,
                                         int64_t deadline_us);
enum sr_platform_status
sr_config_read_audit_trail (struct sr_platform *platform, GPtrArray *entries, int64_t deadline_us);
