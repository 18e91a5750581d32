/* Accepting a configuration on the platform: checked whole, put in force by one conditional update.
 */
#pragma once

#include "base/findings.h"
#include "platform/platform.h"

#include <glib.h>
#include <stdint.h>

enum
{
  SR_SUBMIT_BASE_CURRENT = -1
};

enum sr_submit_verdict
{
  SR_SUBMIT_ACCEPTED,
  SR_SUBMIT_UNCHANGED, /* the same is in force already */
  SR_SUBMIT_FAULTY,    /* see the findings */
  SR_SUBMIT_CONFLICT,  /* another one was accepted since the base */
  SR_SUBMIT_OUT,       /* the platform does not answer: not accepted */
  SR_SUBMIT_UNKNOWN    /* it may be in force: submit again with the same id */
};

struct sr_submission
{
  const char *file_name; /* for findings */
  const char *text;
  size_t length;
  int64_t base_revision; /* that it replaces, or SR_SUBMIT_BASE_CURRENT */
  const char *who;
  int64_t when_ms; /* real time */
  uint64_t id;     /* random, one for each submission */
  int64_t deadline_us;
};

/* message lists, for a conflict, what changed since the base. */
struct sr_submit_result
{
  enum sr_submit_verdict verdict;
  int64_t revision; /* in force, as far as known */
  GString *message;
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
sr_config_read_trail (struct sr_platform *platform, GPtrArray *entries, int64_t deadline_us);
